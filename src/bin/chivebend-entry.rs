//! The entry process.

use std::process::ExitCode;

use chivebend::{entry, error, logging, process, settings};
use clap::Parser;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Starts a chivebend entry and runs it until SIGTERM or SIGINT.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    settings: settings::Entry,
}

fn main() -> ExitCode {
    let args = Args::parse();
    process::exit(&run(&args.settings))
}

fn run(settings: &settings::Entry) -> error::Result<bool> {
    logging::init(settings.process.log_level)?;
    let handle = entry::spawn(settings)?;
    println!(
        "ready callers={} ops={}",
        handle.caller_address, handle.ops_address
    );
    process::run(move || handle.shutdown())
}
