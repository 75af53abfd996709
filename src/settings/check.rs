//! Checks of all settings at once, with one message for each fault.

use std::error::Error as _;
use std::ffi;
use std::fmt;
use std::net;
use std::process;

use clap::builder;
use clap::error::{ContextKind, ContextValue, ErrorKind};

use crate::code;
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

/// Why a process does not start.
#[derive(Debug)]
pub enum Stop {
    /// `--help` or `--version` was asked for, or the command line has an unknown flag.
    Usage(clap::Error),
    /// The settings have faults.
    Faults(Vec<Fault>),
}

impl Stop {
    /// Prints the reason; gives 0 after `--help`, else 2.
    pub fn report(&self) -> process::ExitCode {
        match self {
            Self::Usage(err) => {
                // Nothing is left to do if standard error is closed.
                drop(err.print());
                process::ExitCode::from(u8::from(err.use_stderr()) * 2)
            }
            Self::Faults(_) => {
                eprint!("{self}");
                process::ExitCode::from(2)
            }
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(err) => write!(f, "{err}"),
            Self::Faults(faults) => {
                let code = code::Code::BadSettings;
                writeln!(f, "{code}: {} faults in the settings", faults.len())?;
                faults.iter().try_for_each(|fault| writeln!(f, "  {fault}"))
            }
        }
    }
}

/// Help on what no flag shows.
const SECRET_HELP: &str = "Environment alone: CHIVEBEND_SECRET, the secret that the fleet's \
    processes share, at least 16 bytes; two, separated by a comma, while it is rotated: the first \
    is sent, both are accepted.";

#[derive(clap::Parser)]
#[command(name = "chivebend-entry", version, after_help = SECRET_HELP)]
/// An entry instance: takes callers' requests and streams back the answers.
struct EntryArgs {
    #[command(flatten)]
    settings: settings::Entry,
}

#[derive(clap::Parser)]
#[command(name = "chivebend-sidecar", version, after_help = SECRET_HELP)]
/// A sidecar: the only door to the backend server it stands beside.
struct SidecarArgs {
    #[command(flatten)]
    settings: settings::Sidecar,
}

/// Reads and checks an entry's settings; the first argument is the program's name.
pub fn entry(args: &[ffi::OsString], secret: settings::Secret) -> Result<settings::Entry, Stop> {
    let mut settings = read::<EntryArgs>(args, &secret)?.settings;
    settings.process.secret = secret;
    accept(check_entry(&settings)).map(|()| settings)
}

/// Reads and checks a sidecar's settings; the first argument is the program's name.
pub fn sidecar(
    args: &[ffi::OsString],
    secret: settings::Secret,
) -> Result<settings::Sidecar, Stop> {
    let mut settings = read::<SidecarArgs>(args, &secret)?.settings;
    settings.process.secret = secret;
    accept(check_sidecar(&settings)).map(|()| settings)
}

fn accept(faults: Vec<Fault>) -> Result<(), Stop> {
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Stop::Faults(faults))
    }
}

/// Parses all settings. The parser stops at the first fault, so each faulty one is noted, made to
/// take any text, and the rest is parsed again.
fn read<T: clap::Parser>(args: &[ffi::OsString], secret: &settings::Secret) -> Result<T, Stop> {
    let mut cmd = T::command();
    // The copy is complete, as errors print it; a command that was built cannot be changed.
    let mut built = cmd.clone();
    built.build();
    let mut faults = Vec::new();
    let mut noted = Vec::new();
    loop {
        let err = match cmd.clone().try_get_matches_from(args) {
            Ok(matches) if faults.is_empty() => {
                return T::from_arg_matches(&matches).map_err(Stop::Usage);
            }
            Ok(_) => break,
            Err(err) => err,
        };
        let mut named = named(&built, &err);
        // A flag without its value stays wrong whatever text is allowed.
        named.retain(|id| !noted.contains(id));
        if named.is_empty() {
            return Err(Stop::Usage(err));
        }
        for id in named {
            let arg = built.get_arguments().find(|arg| *arg.get_id() == id);
            faults.extend(arg.map(|arg| fault(arg, &err)));
            noted.push(id.clone());
            cmd = cmd.mut_arg(id, |arg| {
                arg.required(false)
                    .value_parser(builder::ValueParser::os_string())
            });
        }
    }
    faults.extend(secret_fault(secret));
    Err(Stop::Faults(faults))
}

/// The settings that an error of the parser is about; none if it is about the command line itself.
fn named(cmd: &clap::Command, err: &clap::Error) -> Vec<clap::Id> {
    let kinds = [
        ErrorKind::InvalidValue,
        ErrorKind::ValueValidation,
        ErrorKind::MissingRequiredArgument,
    ];
    if !kinds.contains(&err.kind()) {
        return Vec::new();
    }
    let texts = match err.get(ContextKind::InvalidArg) {
        Some(ContextValue::String(text)) => std::slice::from_ref(text),
        Some(ContextValue::Strings(texts)) => texts,
        _ => return Vec::new(),
    };
    let args = cmd
        .get_arguments()
        .filter(|arg| texts.contains(&arg.to_string()));
    args.map(|arg| arg.get_id().clone()).collect()
}

fn fault(arg: &clap::Arg, err: &clap::Error) -> Fault {
    let flag = arg.get_long().unwrap_or_default();
    let variable = arg
        .get_env()
        .map(|name| name.to_string_lossy().into_owned());
    let unit = arg.get_value_names().and_then(|names| names.first());
    let value = match err.get(ContextKind::InvalidValue) {
        Some(ContextValue::String(value)) => format!(" = {value:?}"),
        _ => String::new(),
    };
    let why = match err.source() {
        Some(source) => source.to_string(),
        None if err.kind() == ErrorKind::MissingRequiredArgument => "it is missing".into(),
        None => "it is not one of the allowed values".into(),
    };
    Fault {
        setting: format!("--{flag} or {}", variable.unwrap_or_default()),
        value,
        unit: unit.map(ToString::to_string).unwrap_or_default(),
        why,
    }
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

fn secret_fault(secret: &settings::Secret) -> Option<Fault> {
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
