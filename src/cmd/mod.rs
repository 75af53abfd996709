//! Commands of the operators' command-line tool, one module each, and their dispatch.
//!
//! Commands print text by default and JSON with `--json`. The exit code is 0 on success, 1 if
//! something was refused, faulty or unreachable, 2 if the command line or a setting is wrong, and 3
//! if the outcome of a change is not known.

use std::io;
use std::io::Write as _;

use crate::code;
use crate::error;

pub mod catalogue;
pub mod check;
pub mod completions;
pub mod customers;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod fleet;
pub mod held;
pub mod late;
pub mod publish;
pub mod route;
pub mod status;
pub mod table;
pub mod timeline;

/// Inspect and change a chivebend fleet.
#[derive(Debug, clap::Parser)]
#[command(name = "chivebend", version, after_help = EXIT_HELP)]
pub struct Args {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Help text on exit codes.
const EXIT_HELP: &str = "Exit codes: 0 done; 1 refused, faulty or out of reach; 2 wrong command \
    line or setting; 3 outcome not known.";

/// Commands of the tool.
#[derive(Debug, clap::Subcommand)]
pub enum Command {
    /// Run a complete fleet with its platform in this process.
    Demo(demo::Args),
    /// Check a catalogue file.
    Check(check::Args),
    /// Show what publishing a catalogue file would change.
    Diff(diff::Args),
    /// Publish a catalogue file.
    Publish(publish::Args),
    /// Show the catalogue in force.
    Catalogue(catalogue::Args),
    /// Show the processes: revisions, queues, windows, slow or ejected backend servers.
    Status(status::Args),
    /// Show the customers: service, share, waiting requests, refusals by code.
    Customers(customers::Args),
    /// Show the events of all processes in causal order.
    Timeline(timeline::Args),
    /// Count the causes of late responses in the logs of direct entries.
    Late(late::Args),
    /// List the requests that direct entries have quarantined, or release one.
    Held(held::Args),
    /// Explain where a request would go now, and why, without sending it.
    Route(route::Args),
    /// Drain a process, or evacuate an availability zone.
    Drain(drain::Args),
    /// Explain a result code.
    Explain(explain::Args),
    /// Print a shell completion script.
    Completions(completions::Args),
}

/// Runs a command.
pub fn run(command: Command) -> error::Result<()> {
    match command {
        Command::Demo(args) => demo::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args),
        Command::Publish(args) => publish::run(&args),
        Command::Catalogue(args) => catalogue::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Customers(args) => customers::run(&args),
        Command::Timeline(args) => timeline::run(&args),
        Command::Late(args) => late::run(&args),
        Command::Held(args) => held::run(&args),
        Command::Route(args) => route::run(&args),
        Command::Drain(args) => drain::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Completions(args) => completions::run(&args),
    }
}

/// Returns the exit code for an error of a command.
pub fn exit_code(err: &error::Error) -> u8 {
    match err.code() {
        code::Code::PublishUnknown => 3,
        code::Code::BadSettings => 2,
        _ => 1,
    }
}

/// Writes text to standard output. A closed pipe is not an error.
pub fn print(text: &str) -> error::Result<()> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}

/// Writes a value as indented JSON to standard output.
pub fn print_json(value: &impl serde::Serialize) -> error::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    print(&text)
}
