//! The sidecar process.

use std::process::ExitCode;

use chivebend::{error, logging, process, settings, sidecar};
use clap::Parser;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Starts a chivebend sidecar and runs it until SIGTERM or SIGINT.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    settings: settings::Sidecar,
}

fn main() -> ExitCode {
    let args = Args::parse();
    process::exit(&run(&args.settings))
}

fn run(settings: &settings::Sidecar) -> error::Result<bool> {
    logging::init(settings.process.log_level)?;
    let handle = sidecar::spawn(settings)?;
    println!(
        "ready fleet={} ops={}",
        handle.fleet_address, handle.ops_address
    );
    process::run(move || handle.shutdown())
}
