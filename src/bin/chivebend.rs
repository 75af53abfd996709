//! Command-line tool for operators.

use std::process;

use chivebend::cmd;
use clap::Parser as _;

fn main() -> process::ExitCode {
    match cmd::run(cmd::Args::parse().command) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("chivebend: {err}");
            process::ExitCode::from(cmd::exit_code(&err))
        }
    }
}
