//! Simulated platform services and backend servers for tests, one subcommand each.

use std::{net, sync, thread};

use chivebend::{error, process, standin};
use clap::Parser;

/// Run a simulated platform service or backend server for tests.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Run the platform's log service.
    Log(Address),
    /// Run the platform's instance list.
    Instances(Address),
    /// Run a model engine.
    Engine(standin::engine::Settings),
    /// Run a plain service that records the requests it ran.
    Service(standin::service::Settings),
}

#[derive(clap::Args)]
struct Address {
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: net::SocketAddr,
}

fn main() -> error::Result<()> {
    match Args::parse().command {
        Command::Log(args) => {
            let handle = standin::log::spawn(args.address, standin::log::Faults::default())?;
            serve_forever(handle.addr);
        }
        Command::Instances(args) => {
            let faults = standin::instances::Faults::default();
            let handle = standin::instances::spawn(args.address, faults)?;
            serve_forever(handle.addr);
        }
        Command::Engine(settings) => {
            let runtime = process::Runtime::open("engine")?;
            let handle = runtime
                .handle()
                .block_on(standin::engine::spawn(settings))?;
            serve_forever(handle.address);
        }
        Command::Service(settings) => {
            let runtime = process::Runtime::open("service")?;
            let record = sync::Arc::default();
            let handle = runtime
                .handle()
                .block_on(standin::service::spawn(settings, record))?;
            serve_forever(handle.address);
        }
    }
    Ok(())
}

/// Prints the listening address for the parent process and blocks until the process is killed.
fn serve_forever(addr: net::SocketAddr) {
    println!("listening={addr}");
    loop {
        thread::park();
    }
}
