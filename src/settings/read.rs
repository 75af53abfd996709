//! Parser of a process's flags and environment variables that reports all invalid settings at once.

use std::error::Error as _;
use std::ffi;
use std::fmt;
use std::process;

use clap::builder;
use clap::error::{ContextKind, ContextValue, ErrorKind};

use crate::code;
use crate::settings;
use crate::settings::check::{self, Fault};

/// Reason why a process does not start.
#[derive(Debug)]
pub enum StartupError {
    /// `--help` or `--version` was requested, or the command line is malformed.
    Usage(clap::Error),
    /// Settings are invalid.
    Faults(Vec<Fault>),
}

impl StartupError {
    /// Prints the reason and returns the exit code: 0 for `--help` and `--version`, otherwise 2.
    pub fn report(&self) -> process::ExitCode {
        match self {
            Self::Usage(err) => {
                // Fails only if the output is closed, and then nothing can be reported.
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

impl fmt::Display for StartupError {
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

/// Help text for the secret, which has no flag.
const SECRET_HELP: &str = "Environment only: CHIVEBEND_SECRET, the shared secret of the fleet, at \
    least 16 bytes; two secrets, separated by a comma, during rotation: the first is sent, both \
    are accepted.";

#[derive(clap::Parser)]
#[command(name = "chivebend-entry", version, after_help = SECRET_HELP)]
/// Run an entry, which accepts callers' requests and streams back the responses.
struct EntryArgs {
    #[command(flatten)]
    settings: settings::Entry,
}

#[derive(clap::Parser)]
#[command(name = "chivebend-sidecar", version, after_help = SECRET_HELP)]
/// Run a sidecar, through which all requests reach its backend server.
struct SidecarArgs {
    #[command(flatten)]
    settings: settings::Sidecar,
}

/// Parses and validates the settings of an entry. The first argument is the program name.
pub fn entry(
    args: &[ffi::OsString],
    secret: settings::Secret,
) -> Result<settings::Entry, StartupError> {
    let mut settings = parse_args::<EntryArgs>(args, &secret)?.settings;
    settings.process.secret = secret;
    ensure_valid(check::check_entry(&settings)).map(|()| settings)
}

/// Parses and validates the settings of a sidecar. The first argument is the program name.
pub fn sidecar(
    args: &[ffi::OsString],
    secret: settings::Secret,
) -> Result<settings::Sidecar, StartupError> {
    let mut settings = parse_args::<SidecarArgs>(args, &secret)?.settings;
    settings.process.secret = secret;
    ensure_valid(check::check_sidecar(&settings)).map(|()| settings)
}

fn ensure_valid(faults: Vec<Fault>) -> Result<(), StartupError> {
    if faults.is_empty() {
        Ok(())
    } else {
        Err(StartupError::Faults(faults))
    }
}

/// Parses all settings. Since clap stops at the first invalid argument, that argument is recorded,
/// changed to accept any text, and the command line is parsed again.
fn parse_args<T: clap::Parser>(
    args: &[ffi::OsString],
    secret: &settings::Secret,
) -> Result<T, StartupError> {
    let mut cmd = T::command();
    // Built arguments are printed as in clap's errors, but a built command cannot be modified.
    let mut built = cmd.clone();
    built.build();
    let mut faults = Vec::new();
    let mut reported = Vec::new();
    loop {
        let err = match cmd.clone().try_get_matches_from(args) {
            Ok(matches) if faults.is_empty() => {
                return T::from_arg_matches(&matches).map_err(StartupError::Usage);
            }
            Ok(_) => break,
            Err(err) => err,
        };
        let mut ids = invalid_args(&built, &err);
        // A flag without a value is still an error after it accepts any text.
        ids.retain(|id| !reported.contains(id));
        if ids.is_empty() {
            return Err(StartupError::Usage(err));
        }
        for id in ids {
            let arg = built.get_arguments().find(|arg| *arg.get_id() == id);
            faults.extend(arg.map(|arg| fault(arg, &err)));
            reported.push(id.clone());
            cmd = cmd.mut_arg(id, |arg| {
                arg.required(false)
                    .value_parser(builder::ValueParser::os_string())
            });
        }
    }
    faults.extend(check::secret_fault(secret));
    Err(StartupError::Faults(faults))
}

/// Returns the ids of the arguments with invalid or missing values that an error names. Empty for
/// other errors of the command line.
fn invalid_args(cmd: &clap::Command, err: &clap::Error) -> Vec<clap::Id> {
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
