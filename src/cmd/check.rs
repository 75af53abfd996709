//! `chivebend check`: the faults of a catalogue file.

use std::fmt::Write as _;
use std::{fs, path};

use crate::{catalogue, cmd, code, error};

/// Checks a catalogue file offline. Prints a line `FILE:LINE:COLUMN: fault` for each fault and ends
/// with 1 if there is any. A file that passes is accepted by every process of this version.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The catalogue file.
    file: path::PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A fault, for machines.
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
        cmd::print(&lines(&args.file, &faults))?;
    }
    refuse(&faults)
}

/// Reads a catalogue file.
pub fn read(file: &path::Path) -> error::Result<String> {
    fs::read_to_string(file).map_err(|err| {
        let text = format!("{}: {err}", file.display());
        error::Error::coded(code::Code::BadSettings, text)
    })
}

/// Reads a catalogue file and fails with its faults if it has any.
pub fn read_valid(file: &path::Path) -> error::Result<String> {
    let text = read(file)?;
    if let Err(faults) = catalogue::parse(&text) {
        eprint!("{}", lines(file, &faults));
        refuse(&faults)?;
    }
    Ok(text)
}

fn lines(file: &path::Path, faults: &[catalogue::Fault]) -> String {
    let mut text = String::new();
    for fault in faults {
        writeln!(text, "{}:{fault}", file.display()).expect("a String takes every write");
    }
    text
}

fn refuse(faults: &[catalogue::Fault]) -> error::Result<()> {
    match faults.len() {
        0 => Ok(()),
        count => Err(error::Error::coded(
            code::Code::CatalogueInvalid,
            format!("faults: {count}"),
        )),
    }
}
