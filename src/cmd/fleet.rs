//! Asks all processes of a fleet at their operators' ports.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use serde::de;

use crate::client::instances;
use crate::code;
use crate::error;

/// How long one process may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Processes asked at once. With 1,270 processes and a few milliseconds each, the whole fleet takes
/// less than a second.
const AT_ONCE: usize = 32;

/// Largest answer that is read, in bytes: a full ring is about 4 MB.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Which processes to ask.
#[derive(Clone, Debug, clap::Args)]
#[group(skip)]
pub struct Args {
    /// Address of the platform's instance list, which names the processes.
    #[arg(long, env = "CHIVEBEND_INSTANCES_ADDRESS", value_name = "IP:PORT")]
    pub instances: Option<net::SocketAddr>,
    /// Operators' port of a process to ask; may be repeated.
    #[arg(long, value_name = "IP:PORT")]
    pub ops: Vec<net::SocketAddr>,
}

/// A process to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Its operators' port.
    pub addr: net::SocketAddr,
    /// Whether the platform says that it leaves: it may have gone already.
    pub leaving: bool,
}

/// What the processes answered.
#[derive(Debug)]
pub struct Answers<T> {
    /// The answers, in order of the processes.
    pub answers: Vec<T>,
    /// Addresses of the processes that gave none though they should run, and why.
    pub silent: Vec<(net::SocketAddr, error::Error)>,
}

impl<T> Answers<T> {
    /// Names the processes that gave no answer, on standard error; fails if there are any.
    pub fn report(&self) -> error::Result<()> {
        for (addr, err) in &self.silent {
            eprintln!("no answer from {addr}: {err}");
        }
        match self.silent.len() {
            0 => Ok(()),
            count => Err(error::Error::coded(
                code::Code::Unreachable,
                format!("{count} of the processes"),
            )),
        }
    }
}

impl Args {
    /// The processes to ask.
    pub fn targets(&self) -> error::Result<Vec<Target>> {
        let named = self.ops.iter().map(|&addr| Target {
            addr,
            leaving: false,
        });
        let mut targets: Vec<_> = named.collect();
        if let Some(list) = self.instances {
            let list = instances::open(list).list(None)?.unwrap_or_default();
            targets.extend(list.instances.iter().filter_map(target));
        }
        targets.sort_unstable();
        targets.dedup_by_key(|target| target.addr);
        if targets.is_empty() {
            let text = "no processes: give --instances or --ops, or look whether any runs";
            return Err(error::Error::coded(code::Code::BadSettings, text));
        }
        Ok(targets)
    }

    /// Asks every process for a path.
    pub fn ask<T: de::DeserializeOwned + Send>(&self, path: &str) -> error::Result<Answers<T>> {
        Ok(ask(&self.targets()?, path))
    }
}

/// The process of a row, if it has an operators' port.
pub fn target(row: &instances::Instance) -> Option<Target> {
    row.ops_address.map(|addr| Target {
        addr,
        leaving: row.state == instances::State::Leaving,
    })
}

/// An HTTP client for operators' ports, which are named by IP number and never lie behind a proxy.
pub fn agent() -> ureq::Agent {
    ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .proxy(None)
            .build(),
    )
}

/// Asks every target for a path.
pub fn ask<T: de::DeserializeOwned + Send>(targets: &[Target], path: &str) -> Answers<T> {
    let agent = agent();
    let next = atomic::AtomicUsize::new(0);
    let results = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_ONCE.min(targets.len()) {
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
    let mut all = Answers {
        answers: Vec::new(),
        silent: Vec::new(),
    };
    for (target, result) in results {
        match result {
            Ok(answer) => all.answers.push(answer),
            Err(_) if target.leaving => {}
            Err(err) => all.silent.push((target.addr, err)),
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
    let body = res.body_mut().with_config().limit(ANSWER_LIMIT);
    Ok(body.read_json()?)
}
