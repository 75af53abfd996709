//! Validation of settings: the range of each value, and constraints between values.

use std::net;

use clap::builder;

use crate::settings;

/// Maximum length of the name of an instance, zone, region or service, in bytes. Every event
/// contains such names.
const MAX_NAME_BYTES: usize = 64;

/// Maximum size of a request body or a response, in bytes: a quarter of a node's 256 MB.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum memory for stored responses, in bytes: three quarters of a node's 256 MB.
const MAX_ANSWER_MEMORY_BYTES: u64 = 192 << 20;

/// Maximum number of connections: the usual limit of file descriptors of a process.
pub(super) const MAX_CONNECTIONS: i64 = 65_536;

/// Minimum and maximum timeout, in milliseconds. With a shorter timeout, a single slow round trip
/// between zones would abort a request. No caller waits longer than the maximum.
const TIMEOUT_RANGE_MS: (u64, u64) = (100, 600_000);

/// Maximum time that a shutdown may wait, in milliseconds: an hour.
const MAX_SHUTDOWN_MS: u64 = 3_600_000;

/// Minimum and maximum retention of idempotency keys, in milliseconds: a second to a day.
const RETENTION_RANGE_MS: (u64, u64) = (1_000, 86_400_000);

pub(super) fn body_bytes_parser() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(1024..=MAX_BODY_BYTES)
}

pub(super) fn memory_parser() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(0..=MAX_ANSWER_MEMORY_BYTES)
}

pub(super) fn timeout_parser() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(TIMEOUT_RANGE_MS.0..=TIMEOUT_RANGE_MS.1)
}

pub(super) fn shutdown_parser() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(0..=MAX_SHUTDOWN_MS)
}

pub(super) fn retention_parser() -> builder::RangedU64ValueParser<u64> {
    builder::RangedU64ValueParser::new().range(RETENTION_RANGE_MS.0..=RETENTION_RANGE_MS.1)
}

/// Parses a name that is used in events, labels and tables.
pub(super) fn parse_name(text: &str) -> Result<String, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_allowed) {
        return Err(format!(
            "a name has 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' or '.'"
        ));
    }
    Ok(text.to_owned())
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{setting}{value} [{unit}]: {why}")]
pub struct Fault {
    /// Flag and environment variable of the setting.
    pub setting: String,
    /// Given value, formatted as ` = "..."`, or empty.
    pub value: String,
    /// Unit of the setting.
    pub unit: String,
    /// Reason why the value is invalid.
    pub why: String,
}

/// Returns the violated constraints between the settings of an entry, whose values are each in
/// range.
pub fn check_entry(entry: &settings::Entry) -> Vec<Fault> {
    let mut faults = check_process(&entry.process);
    faults.extend(address_conflicts(&[
        ("fleet-address", entry.process.fleet_address),
        ("ops-address", entry.process.ops_address),
        ("caller-address", entry.caller_address),
    ]));
    faults
}

/// Returns the violated constraints between the settings of a sidecar, whose values are each in
/// range.
pub fn check_sidecar(sidecar: &settings::Sidecar) -> Vec<Fault> {
    let mut faults = check_process(&sidecar.process);
    faults.extend(address_conflicts(&[
        ("fleet-address", sidecar.process.fleet_address),
        ("ops-address", sidecar.process.ops_address),
    ]));
    faults.extend(unreachable_fault(
        "backend-address",
        sidecar.backend_address,
    ));
    if sidecar.answer_limit > sidecar.answer_memory {
        let value = format!(" = \"{}\"", sidecar.answer_limit);
        let why = "the largest answer does not fit into --answer-memory".into();
        faults.push(Fault {
            setting: setting_name("answer-limit"),
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
    faults.extend(unreachable_fault("log-address", process.log_address));
    faults.extend(unreachable_fault(
        "instances-address",
        process.instances_address,
    ));
    // The IP address is sent to other processes. The port may be 0, which selects a free one.
    if process.fleet_address.ip().is_unspecified() {
        let why = "other processes cannot connect to this IP address";
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

fn unreachable_fault(flag: &str, addr: net::SocketAddr) -> Option<Fault> {
    let why = "nothing can be reached at this address";
    (addr.port() == 0 || addr.ip().is_unspecified()).then(|| address_fault(flag, addr, why))
}

fn address_conflicts(addrs: &[(&str, net::SocketAddr)]) -> Vec<Fault> {
    let is_taken = |index: usize| {
        addrs[..index]
            .iter()
            .any(|(_, addr)| addr.port() != 0 && *addr == addrs[index].1)
    };
    let why = "another setting takes the same address";
    let conflicts = (1..addrs.len()).filter(|&index| is_taken(index));
    conflicts
        .map(|index| address_fault(addrs[index].0, addrs[index].1, why))
        .collect()
}

fn address_fault(flag: &str, addr: net::SocketAddr, why: &str) -> Fault {
    Fault {
        setting: setting_name(flag),
        value: format!(" = \"{addr}\""),
        unit: "IP:PORT".into(),
        why: why.into(),
    }
}

/// Returns the name of a flag and of its environment variable, which is derived from it.
fn setting_name(flag: &str) -> String {
    let variable = flag.to_uppercase().replace('-', "_");
    format!("--{flag} or CHIVEBEND_{variable}")
}
