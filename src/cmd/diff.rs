//! `chivebend diff`: compares a catalogue file with the catalogue in force.

use std::{collections, fmt::Write as _, net, path};

use crate::client::log;
use crate::cmd::check;
use crate::control::catalogue::history;
use crate::{catalogue, cmd, error};

/// Show what publishing a catalogue file would change.
///
/// Lines start with `+` for an added value, `-` for a removed one and `~` for a changed one.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Catalogue file.
    file: path::PathBuf,
    /// Address of the platform's log service.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS", value_name = "IP:PORT")]
    log: net::SocketAddr,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A value that differs between two catalogues.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Path of the value, such as `customer.sala-1.limits.queue`.
    pub place: String,
    /// Value in force, or `None` if it is absent.
    pub from: Option<String>,
    /// Value in the file, or `None` if it is absent.
    pub to: Option<String>,
}

/// JSON output of the command.
#[derive(serde::Serialize)]
struct Json<'a> {
    base: u64,
    differences: &'a [Difference],
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let text = check::read_valid(&args.file)?;
    let reader = history::load(&log::open(args.log))?;
    let differences = compare(&reader.state().toml, &text);
    let base = reader.state().revision;
    if args.json {
        return cmd::print_json(&Json {
            base,
            differences: &differences,
        });
    }
    cmd::print(&format_differences(base, &differences))
}

/// Returns the differences between two catalogues, sorted by path.
pub fn compare(from: &str, to: &str) -> Vec<Difference> {
    let (from, to) = (values(from), values(to));
    let places: collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let changed = places
        .into_iter()
        .filter(|place| from.get(*place) != to.get(*place));
    changed
        .map(|place| Difference {
            place: place.clone(),
            from: from.get(place).cloned(),
            to: to.get(place).cloned(),
        })
        .collect()
}

/// Formats the differences as text, one line each.
pub fn format_differences(base: u64, differences: &[Difference]) -> String {
    let mut text = format!("base revision {base}\n");
    for difference in differences {
        let place = &difference.place;
        let line = match (&difference.from, &difference.to) {
            (Some(from), Some(to)) => format!("~ {place}: {from} -> {to}"),
            (Some(from), None) => format!("- {place}: {from}"),
            (None, Some(to)) => format!("+ {place}: {to}"),
            (None, None) => continue,
        };
        writeln!(text, "{line}").expect("writing to a String never fails");
    }
    if differences.is_empty() {
        text.push_str("no difference\n");
    }
    text
}

/// Returns the values of a catalogue by path. Paths contain the names of customers and services,
/// not their positions.
fn values(text: &str) -> collections::BTreeMap<String, String> {
    let mut values = collections::BTreeMap::new();
    // Never fails: the catalogue in force is valid, and so is the empty one before the first
    // change.
    let parsed = catalogue::parse(text).unwrap_or_default();
    if let Ok(value) = serde_json::to_value(&parsed) {
        flatten("", &value, &mut values);
    }
    values
}

fn flatten(
    place: &str,
    value: &serde_json::Value,
    values: &mut collections::BTreeMap<String, String>,
) {
    let child = |key: &str| {
        if place.is_empty() {
            key.into()
        } else {
            format!("{place}.{key}")
        }
    };
    match value {
        serde_json::Value::Null => {}
        serde_json::Value::Object(map) => {
            for (key, value) in map {
                flatten(&child(key), value, values);
            }
        }
        serde_json::Value::Array(items) if items.iter().any(serde_json::Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                let name = item.get("name").or_else(|| item.get("path"));
                let name = name.and_then(|name| name.as_str());
                flatten(&child(name.unwrap_or(&index.to_string())), item, values);
            }
        }
        _ => {
            values.insert(place.to_owned(), value.to_string());
        }
    }
}
