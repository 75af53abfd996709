//! Stand-ins for the platform and for backend servers, one subcommand each.

use std::{net, thread};

use chivebend::{error, standin};
use clap::Parser;

/// Stand-ins for the platform and for backend servers.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// The platform's log service.
    Log(Address),
    /// The platform's instance list.
    Instances(Address),
}

#[derive(clap::Args)]
struct Address {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: net::SocketAddr,
}

fn main() -> error::Result<()> {
    match Args::parse().command {
        Command::Log(args) => {
            let handle = standin::log::spawn(args.address, standin::log::Switches::default())?;
            forever(handle.addr);
        }
        Command::Instances(args) => {
            let switches = standin::instances::Switches::default();
            let handle = standin::instances::spawn(args.address, switches)?;
            forever(handle.addr);
        }
    }
    Ok(())
}

/// Prints the address, for whoever started the process, and serves until it is killed.
fn forever(addr: net::SocketAddr) {
    println!("listening={addr}");
    loop {
        thread::park();
    }
}
