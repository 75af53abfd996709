//! `chivebend late`: counts the causes of late responses and refused requests of direct entries, by
//! route.

use std::{collections, fs, path};

use crate::cmd;
use crate::cmd::table;
use crate::error;

/// Minimum time from arrival to refusal, in milliseconds, for a request to count as refused after a
/// wait. A request refused on arrival waits for the decision of another entry, which takes about
/// 4 ms.
const MIN_QUEUE_WAIT_MS: f64 = 50.0;

const HEADERS: [&str; 10] = [
    "route", "answered", "late", "waited", "engine", "both", "paused", "at once", "in vain",
    "other",
];

/// Count the causes of late responses and refused requests in the log files of direct entries.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Log files of all direct entries.
    #[arg(required = true)]
    files: Vec<path::PathBuf>,
    /// Objective for the time to the first event, in milliseconds.
    #[arg(long, default_value_t = 600.0)]
    objective: f64,
    /// Maximum pause between two events, in milliseconds.
    #[arg(long, default_value_t = 300.0)]
    pause: f64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Thresholds above which a response counts as late.
#[derive(Clone, Copy, Debug)]
pub struct Thresholds {
    /// Maximum time to the first event, in milliseconds.
    pub objective: f64,
    /// Maximum time between two events, in milliseconds.
    pub pause: f64,
}

/// Number of requests of a route, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Row {
    /// Complete responses.
    pub answered: u64,
    /// Complete responses whose first event was late.
    pub late: u64,
    /// Late responses whose wait in the queue took at least half of the objective.
    pub waited: u64,
    /// Late responses whose backend server alone exceeded the objective.
    pub engine: u64,
    /// Late responses whose shorter wait and backend server together exceeded the objective.
    pub both: u64,
    /// Complete responses with a timely first event and a pause that was too long.
    pub paused: u64,
    /// Requests refused on arrival.
    pub at_once: u64,
    /// Requests refused after a wait.
    pub in_vain: u64,
    /// Requests that failed, or whose callers disconnected.
    pub other: u64,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let thresholds = Thresholds {
        objective: args.objective,
        pause: args.pause,
    };
    let mut rows = collections::BTreeMap::new();
    for file in &args.files {
        let text = fs::read(file)?;
        let text = String::from_utf8_lossy(&text);
        for line in text.lines() {
            count_line(&mut rows, thresholds, line);
        }
    }
    if args.json {
        return cmd::print_json(&rows);
    }
    let cells: Vec<_> = rows.iter().map(|(route, row)| cells(route, row)).collect();
    cmd::print(&table::render(&HEADERS, &cells))
}

/// Counts a log line. Lines without a route, which are not about a finished request, are ignored.
pub fn count_line(
    rows: &mut collections::BTreeMap<String, Row>,
    thresholds: Thresholds,
    line: &str,
) {
    let Some(route) = field(line, "route") else {
        return;
    };
    let row = rows.entry(route.to_owned()).or_default();
    let ms = |key| field(line, key).and_then(|v| v.parse().ok()).unwrap_or(0.0);
    match field(line, "event") {
        Some("answered") => {
            row.answered += 1;
            classify(
                row,
                thresholds,
                ms("waited_ms"),
                ms("first_ms"),
                ms("pause_ms"),
            );
        }
        Some("refused") if field(line, "ran") != Some("no") => row.other += 1,
        Some("refused") if ms("held_ms") < MIN_QUEUE_WAIT_MS => row.at_once += 1,
        Some("refused") => row.in_vain += 1,
        _ => row.other += 1,
    }
}

fn classify(row: &mut Row, thresholds: Thresholds, waited: f64, first: f64, pause: f64) {
    if waited + first <= thresholds.objective {
        row.paused += u64::from(pause > thresholds.pause);
        return;
    }
    row.late += 1;
    if first > thresholds.objective {
        row.engine += 1;
    } else if waited >= thresholds.objective / 2.0 {
        row.waited += 1;
    } else {
        row.both += 1;
    }
}

/// Returns the value of a key in a log line. Values with spaces are quoted.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let index = rest.find(key)?;
        let is_key_start = index == 0 || rest.as_bytes()[index - 1] == b' ';
        let value = &rest[index + key.len()..];
        match value.strip_prefix('=') {
            Some(value) if is_key_start => {
                return match value.strip_prefix('"') {
                    Some(quoted) => quoted.split('"').next(),
                    None => value.split(' ').next(),
                };
            }
            _ => rest = value,
        }
    }
}

fn cells(route: &str, row: &Row) -> Vec<String> {
    let counts = [
        row.answered,
        row.late,
        row.waited,
        row.engine,
        row.both,
        row.paused,
        row.at_once,
        row.in_vain,
        row.other,
    ];
    let counts = counts.iter().map(u64::to_string);
    std::iter::once(route.to_owned()).chain(counts).collect()
}
