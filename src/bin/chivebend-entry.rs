//! Entry process. It runs until SIGTERM or SIGINT.

use std::env;
use std::process::ExitCode;

use chivebend::{entry, error, logging, process, settings};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os().collect();
    match settings::entry(&args, settings::Secret::from_environment()) {
        Ok(settings) => process::exit_code(&run(&settings)),
        Err(err) => err.report(),
    }
}

fn run(settings: &settings::Entry) -> error::Result<bool> {
    logging::init(settings.process.log_level)?;
    let handle = entry::spawn(settings)?;
    println!(
        "ready callers={} ops={}",
        handle.caller_address, handle.ops_address
    );
    process::run_until_signal(move || handle.shutdown())
}
