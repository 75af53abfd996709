//! `chivebend completions`: completions of the command line for a shell.

use clap::CommandFactory as _;

use crate::cmd;
use crate::error;

/// Prints the completions of a shell, to be sourced or put where the shell looks for them.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The shell.
    shell: clap_complete::Shell,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let mut buf = Vec::new();
    clap_complete::generate(args.shell, &mut cmd::Args::command(), "chivebend", &mut buf);
    cmd::print(&String::from_utf8_lossy(&buf))
}
