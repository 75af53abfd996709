//! `chivebend completions`: prints a shell completion script.

use clap::CommandFactory as _;

use crate::cmd;
use crate::error;

/// Print a completion script, to be sourced or installed in the shell's completion directory.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Shell to generate the script for.
    shell: clap_complete::Shell,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let mut buf = Vec::new();
    clap_complete::generate(args.shell, &mut cmd::Args::command(), "chivebend", &mut buf);
    cmd::print(&String::from_utf8_lossy(&buf))
}
