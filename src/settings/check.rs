//! Checks of settings: ranges of each, and what must hold between them.

use std::net;

use clap::builder;

use crate::settings;

/// Longest name of an instance, zone, region or service, in bytes: they stand in every event.
const NAME_MAX: usize = 64;

/// Largest body or answer: a quarter of the node's 256 MB.
const BYTES_MAX: u64 = 64 << 20;

/// Most memory for kept answers: three quarters of the node's 256 MB.
const MEMORY_MAX: u64 = 192 << 20;

/// Most connections: the descriptors a process is commonly allowed.
pub(super) const CONNECTIONS_MAX: i64 = 65_536;

/// Shortest and longest timeouts, in milliseconds. Below the first, one slow round trip between
/// zones ends a request; beyond the second, nobody waits.
const TIMEOUT_MS: (u64, u64) = (100, 600_000);

/// Longest wait of a shutdown, in milliseconds: an hour.
const SHUTDOWN_MAX_MS: u64 = 3_600_000;

/// Shortest and longest memory of idempotency keys, in milliseconds: a second to a day.
const RETENTION_MS: (u64, u64) = (1_000, 86_400_000);

pub(super) fn bytes() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(1024..=BYTES_MAX)
}

pub(super) fn memory() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(0..=MEMORY_MAX)
}

pub(super) fn timeout() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(TIMEOUT_MS.0..=TIMEOUT_MS.1)
}

pub(super) fn shutdown() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(0..=SHUTDOWN_MAX_MS)
}

pub(super) fn retention() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(RETENTION_MS.0..=RETENTION_MS.1)
}

/// A name that stands in events, labels and tables.
pub(super) fn name(text: &str) -> Result<String, String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > NAME_MAX || !text.bytes().all(plain) {
        return Err(format!(
            "a name has 1 to {NAME_MAX} ASCII letters, digits, '-', '_' or '.'"
        ));
    }
    Ok(text.to_owned())
}

/// One thing wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{setting}{value} [{unit}]: {why}")]
pub struct Fault {
    /// The flag and its variable.
    pub setting: String,
    /// ` = "..."` as given, or empty.
    pub value: String,
    /// The setting's unit.
    pub unit: String,
    /// Why it cannot be used.
    pub why: String,
}

/// Faults between an entry's settings, each of which is valid by itself.
pub fn check_entry(entry: &settings::Entry) -> Vec<Fault> {
    let mut faults = check_process(&entry.process);
    faults.extend(same_port(&[
        ("fleet-address", entry.process.fleet_address),
        ("ops-address", entry.process.ops_address),
        ("caller-address", entry.caller_address),
    ]));
    faults
}

/// Faults between a sidecar's settings, each of which is valid by itself.
pub fn check_sidecar(sidecar: &settings::Sidecar) -> Vec<Fault> {
    let mut faults = check_process(&sidecar.process);
    faults.extend(same_port(&[
        ("fleet-address", sidecar.process.fleet_address),
        ("ops-address", sidecar.process.ops_address),
    ]));
    faults.extend(reachable("backend-address", sidecar.backend_address));
    if sidecar.answer_limit > sidecar.answer_memory {
        let value = format!(" = \"{}\"", sidecar.answer_limit);
        let why = "the largest answer does not fit into --answer-memory".into();
        faults.push(Fault {
            setting: setting("answer-limit"),
            value,
            unit: "BYTES".into(),
            why,
        });
    }
    faults
}

fn check_process(process: &settings::Process) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(secret_fault(&process.secret));
    faults.extend(reachable("log-address", process.log_address));
    faults.extend(reachable("instances-address", process.instances_address));
    // It is told to other processes; its port may be 0, which takes a free one.
    if process.fleet_address.ip().is_unspecified() {
        let why = "other processes cannot connect to this IP number";
        faults.push(address_fault("fleet-address", process.fleet_address, why));
    }
    faults
}

pub(super) fn secret_fault(secret: &settings::Secret) -> Option<Fault> {
    let why = secret.fault()?;
    Some(Fault {
        setting: settings::SECRET_VARIABLE.into(),
        value: String::new(),
        unit: "SECRET[,SECRET]".into(),
        why,
    })
}

fn reachable(flag: &str, addr: net::SocketAddr) -> Option<Fault> {
    let why = "nothing can be reached at this address";
    (addr.port() == 0 || addr.ip().is_unspecified()).then(|| address_fault(flag, addr, why))
}

fn same_port(addrs: &[(&str, net::SocketAddr)]) -> Vec<Fault> {
    let taken = |at: usize| {
        addrs[..at]
            .iter()
            .any(|(_, addr)| addr.port() != 0 && *addr == addrs[at].1)
    };
    let why = "another setting takes the same address";
    let twice = (1..addrs.len()).filter(|&at| taken(at));
    twice
        .map(|at| address_fault(addrs[at].0, addrs[at].1, why))
        .collect()
}

fn address_fault(flag: &str, addr: net::SocketAddr, why: &str) -> Fault {
    Fault {
        setting: setting(flag),
        value: format!(" = \"{addr}\""),
        unit: "IP:PORT".into(),
        why: why.into(),
    }
}

/// A flag with its variable, which is named after it.
fn setting(flag: &str) -> String {
    let variable = flag.to_uppercase().replace('-', "_");
    format!("--{flag} or CHIVEBEND_{variable}")
}
