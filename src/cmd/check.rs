//! `chivebend check`: lists the faults of a catalogue file.

use std::fmt::Write as _;
use std::{fs, path};

use crate::{catalogue, cmd, code, error};

/// Check a catalogue file offline.
///
/// Prints a line `FILE:LINE:COLUMN: fault` for each fault and exits with 1 if there is any. A file
/// without faults is accepted by every process of this version.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Catalogue file.
    file: path::PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A fault in the JSON output.
#[derive(serde::Serialize)]
struct Json {
    line: usize,
    column: usize,
    text: String,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let text = read(&args.file)?;
    let faults = catalogue::parse(&text).err().unwrap_or_default();
    if args.json {
        let json = |fault: &'_ catalogue::Fault| Json {
            line: fault.line,
            column: fault.column,
            text: fault.text.clone(),
        };
        let rows: Vec<_> = faults.iter().map(json).collect();
        cmd::print_json(&rows)?;
    } else {
        cmd::print(&format_faults(&args.file, &faults))?;
    }
    ensure_none(&faults)
}

/// Reads a catalogue file.
pub fn read(file: &path::Path) -> error::Result<String> {
    fs::read_to_string(file).map_err(|err| {
        let text = format!("{}: {err}", file.display());
        error::Error::coded(code::Code::BadSettings, text)
    })
}

/// Reads a catalogue file. If it has faults, prints them to standard error and returns an error.
pub fn read_valid(file: &path::Path) -> error::Result<String> {
    let text = read(file)?;
    if let Err(faults) = catalogue::parse(&text) {
        eprint!("{}", format_faults(file, &faults));
        ensure_none(&faults)?;
    }
    Ok(text)
}

fn format_faults(file: &path::Path, faults: &[catalogue::Fault]) -> String {
    let mut text = String::new();
    for fault in faults {
        writeln!(text, "{}:{fault}", file.display()).expect("writing to a String never fails");
    }
    text
}

fn ensure_none(faults: &[catalogue::Fault]) -> error::Result<()> {
    match faults.len() {
        0 => Ok(()),
        count => Err(error::Error::coded(
            code::Code::CatalogueInvalid,
            format!("faults: {count}"),
        )),
    }
}
