//! `chivebend held`: lists or releases the requests that direct entries have quarantined because
//! they crash backend servers.

use std::{collections, net};

use crate::cmd;
use crate::cmd::fleet;
use crate::code;
use crate::error;

/// List the requests that entries have quarantined or suspect, or release one.
///
/// Entries share the list of quarantined requests, so each knows all of them, and releasing a
/// request at one entry is sufficient.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Readiness addresses of entries.
    #[arg(required = true, value_name = "IP:PORT")]
    entries: Vec<net::SocketAddr>,
    /// Release the requests with this fingerprint.
    #[arg(long, value_name = "FINGERPRINT")]
    release: Option<String>,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    if let Some(fingerprint) = &args.release {
        return release(&args.entries, fingerprint);
    }
    // Lines are merged by fingerprint, because entries differ in the seconds since the last
    // attempt.
    let mut lines = collections::BTreeMap::new();
    let mut last_error = None;
    for entry in &args.entries {
        match list(*entry) {
            Ok(text) => lines.extend(
                text.lines()
                    .map(|line| (fingerprint_of(line), line.to_owned())),
            ),
            Err(err) => {
                eprintln!("no answer from {entry}: {err}");
                last_error = Some(err);
            }
        }
    }
    for line in lines.values() {
        cmd::print(&format!("{line}\n"))?;
    }
    last_error.map_or(Ok(()), Err)
}

fn fingerprint_of(line: &str) -> String {
    line.split(' ').next().unwrap_or_default().to_owned()
}

fn list(entry: net::SocketAddr) -> error::Result<String> {
    let response = fleet::agent().get(format!("http://{entry}/held")).call();
    let mut response = response.map_err(|err| unreachable(&err))?;
    let text = response.body_mut().read_to_string();
    text.map_err(|err| unreachable(&err))
}

fn release(entries: &[net::SocketAddr], fingerprint: &str) -> error::Result<()> {
    if u64::from_str_radix(fingerprint, 16).is_err() {
        let text = format!("{fingerprint:?} is not a fingerprint of 16 hexadecimal digits");
        return Err(error::Error::coded(code::Code::BadSettings, text));
    }
    let mut last_error = None;
    for entry in entries {
        let path = format!("http://{entry}/held/{fingerprint}");
        match fleet::agent().delete(path).call() {
            Ok(_) => return cmd::print(&format!("{fingerprint} is released\n")),
            Err(ureq::Error::StatusCode(404)) => {
                let text = format!("{entry} has not quarantined {fingerprint}");
                last_error = Some(error::Error::coded(code::Code::BadSettings, text));
            }
            Err(err) => {
                eprintln!("no answer from {entry}: {err}");
                last_error = Some(unreachable(&err));
            }
        }
    }
    last_error.map_or(Ok(()), Err)
}

fn unreachable(err: &ureq::Error) -> error::Error {
    error::Error::coded(code::Code::Unreachable, err.to_string())
}
