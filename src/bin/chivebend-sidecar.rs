//! Sidecar process. It runs until SIGTERM or SIGINT.

use std::env;
use std::process::ExitCode;

use chivebend::{error, logging, process, settings, sidecar};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os().collect();
    match settings::sidecar(&args, settings::Secret::from_environment()) {
        Ok(settings) => process::exit_code(&run(&settings)),
        Err(err) => err.report(),
    }
}

fn run(settings: &settings::Sidecar) -> error::Result<bool> {
    logging::init(settings.process.log_level)?;
    let handle = sidecar::spawn(settings)?;
    println!(
        "ready fleet={} ops={}",
        handle.fleet_address, handle.ops_address
    );
    process::run_until_signal(move || handle.shutdown())
}
