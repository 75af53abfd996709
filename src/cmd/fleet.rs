//! Queries all processes of a fleet through their operators' ports.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use serde::de;

use crate::client::instances;
use crate::code;
use crate::error;

/// Maximum time that a process may take to respond.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Maximum number of processes queried concurrently. With 1,270 processes that take a few
/// milliseconds each, querying the whole fleet takes less than a second.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Maximum size of a response, in bytes. All events of a full ring are about 4 MB.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Selects the processes to query.
#[derive(Clone, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Address of the platform's instance list, to query all its processes.
    #[arg(long, env = "CHIVEBEND_INSTANCES_ADDRESS", value_name = "IP:PORT")]
    pub instances: Option<net::SocketAddr>,
    /// Operators' port of a process to query; may be repeated.
    #[arg(long, value_name = "IP:PORT")]
    pub ops: Vec<net::SocketAddr>,
}

/// A process to query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Address of its operators' port.
    pub addr: net::SocketAddr,
    /// True if the instance list marks it as leaving, so that it may have exited already.
    pub leaving: bool,
}

/// Responses of the processes.
#[derive(Debug)]
pub struct Responses<T> {
    /// Responses, in the order of the targets.
    pub items: Vec<T>,
    /// Addresses and errors of the processes that should run but did not respond.
    pub failures: Vec<(net::SocketAddr, error::Error)>,
}

impl<T> Responses<T> {
    /// Prints the processes that did not respond to standard error. Fails if there are any.
    pub fn report_failures(&self) -> error::Result<()> {
        for (addr, err) in &self.failures {
            eprintln!("no answer from {addr}: {err}");
        }
        match self.failures.len() {
            0 => Ok(()),
            count => Err(error::Error::coded(
                code::Code::Unreachable,
                format!("{count} processes did not respond"),
            )),
        }
    }
}

impl Args {
    /// Returns the processes to query.
    pub fn targets(&self) -> error::Result<Vec<Target>> {
        let from_flags = self.ops.iter().map(|&addr| Target {
            addr,
            leaving: false,
        });
        let mut targets: Vec<_> = from_flags.collect();
        if let Some(list) = self.instances {
            let list = instances::open(list).list(None)?.unwrap_or_default();
            targets.extend(list.instances.iter().filter_map(target));
        }
        targets.sort_unstable();
        targets.dedup_by_key(|target| target.addr);
        if targets.is_empty() {
            let text = "no processes: give --instances or --ops, or check whether any is running";
            return Err(error::Error::coded(code::Code::BadSettings, text));
        }
        Ok(targets)
    }

    /// Requests a path from every selected process.
    pub fn query<T: de::DeserializeOwned + Send>(&self, path: &str) -> error::Result<Responses<T>> {
        Ok(query(&self.targets()?, path))
    }
}

/// Returns the target for an instance, or `None` if it has no operators' port.
pub fn target(row: &instances::Instance) -> Option<Target> {
    row.ops_address.map(|addr| Target {
        addr,
        leaving: row.state == instances::State::Leaving,
    })
}

/// Creates an HTTP client for operators' ports. These have IP addresses and are never behind a
/// proxy, so proxy settings of the environment are ignored.
pub fn agent() -> ureq::Agent {
    ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .proxy(None)
            .build(),
    )
}

/// Requests a path from every target.
pub fn query<T: de::DeserializeOwned + Send>(targets: &[Target], path: &str) -> Responses<T> {
    let agent = agent();
    let next = atomic::AtomicUsize::new(0);
    let results = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_QUERIES.min(targets.len()) {
            scope.spawn(|| {
                while let Some(&target) = targets.get(next.fetch_add(1, atomic::Ordering::Relaxed))
                {
                    let result = get(&agent, target.addr, path);
                    let mut results = results.lock().unwrap_or_else(sync::PoisonError::into_inner);
                    results.push((target, result));
                }
            });
        }
    });
    let mut results = results
        .into_inner()
        .unwrap_or_else(sync::PoisonError::into_inner);
    results.sort_by_key(|(target, _)| *target);
    let mut all = Responses {
        items: Vec::new(),
        failures: Vec::new(),
    };
    for (target, result) in results {
        match result {
            Ok(response) => all.items.push(response),
            Err(_) if target.leaving => {}
            Err(err) => all.failures.push((target.addr, err)),
        }
    }
    all
}

fn get<T: de::DeserializeOwned>(
    agent: &ureq::Agent,
    addr: net::SocketAddr,
    path: &str,
) -> error::Result<T> {
    let mut res = agent.get(format!("http://{addr}{path}")).call()?;
    let body = res.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    Ok(body.read_json()?)
}
