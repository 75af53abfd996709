//! `chivebend status`: the processes and their backend servers.

use std::collections;

use crate::cmd;
use crate::cmd::fleet;
use crate::cmd::table;
use crate::error;
use crate::ops;

/// Shows every process with its revision, queue and window, then every backend server as the
/// entries see it: slow and ejected ones first.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    fleet: fleet::Args,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let asked = args.fleet.ask::<ops::Status>("/status")?;
    if args.json {
        cmd::print_json(&asked.answers)?;
    } else {
        cmd::print(&text(&asked.answers))?;
    }
    asked.report()
}

/// The tables for people.
pub fn text(all: &[ops::Status]) -> String {
    let mut rows: Vec<_> = all.iter().collect();
    rows.sort_by(|a, b| (&a.role, &a.instance).cmp(&(&b.role, &b.instance)));
    let rows: Vec<_> = rows.into_iter().map(process).collect();
    let heads = [
        "INSTANCE",
        "ROLE",
        "ZONE",
        "STATE",
        "REVISION",
        "WAITING",
        "RUNNING",
        "WINDOW",
        "SERVES",
        "OPERATORS' PORT",
    ];
    let mut text = table::render(&heads, &rows);
    let backends = backends(all);
    if !backends.is_empty() {
        let heads = [
            "BACKEND SERVER",
            "SERVICE",
            "ZONE",
            "SEEN AS",
            "WAITING",
            "RUNNING",
            "WINDOW",
            "FIRST TOKEN",
            "BETWEEN TOKENS",
        ];
        text.push('\n');
        text.push_str(&table::render(&heads, &backends));
    }
    text
}

fn process(status: &ops::Status) -> Vec<String> {
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let serves = match (&status.service, status.caller_address) {
        (Some(service), _) => service.clone(),
        (None, Some(addr)) => addr.to_string(),
        (None, None) => "-".into(),
    };
    vec![
        status.instance.clone(),
        status.role.clone(),
        status.zone.clone(),
        state.into(),
        dash(status.revision),
        status.waiting.to_string(),
        status.running.to_string(),
        dash(status.window),
        serves,
        status
            .ops_address
            .map_or_else(|| "-".into(), |addr| addr.to_string()),
    ]
}

/// What the entries say of one sidecar.
#[derive(Default)]
struct Seen {
    states: collections::BTreeMap<String, u64>,
    /// As the entry with the longest times sees it.
    worst: ops::Sidecar,
}

fn backends(all: &[ops::Status]) -> Vec<Vec<String>> {
    let mut seen = collections::BTreeMap::<&str, Seen>::new();
    for sidecar in all.iter().flat_map(|status| &status.sidecars) {
        let entry = seen.entry(&sidecar.instance).or_default();
        *entry.states.entry(sidecar.state.clone()).or_default() += 1;
        if entry.worst.instance.is_empty() || slowness(&entry.worst) < slowness(sidecar) {
            entry.worst = sidecar.clone();
        }
    }
    let mut seen: Vec<_> = seen.into_values().collect();
    seen.sort_by_key(|one| (healthy(one), std::cmp::Reverse(slowness(&one.worst))));
    seen.iter().map(backend).collect()
}

fn healthy(seen: &Seen) -> bool {
    seen.states.keys().all(|state| state == "live")
}

fn slowness(sidecar: &ops::Sidecar) -> (u64, u64) {
    (sidecar.first_token_ms, sidecar.between_tokens_us)
}

fn backend(seen: &Seen) -> Vec<String> {
    let states = seen
        .states
        .iter()
        .map(|(state, count)| format!("{state} ({count})"));
    let states: Vec<_> = states.collect();
    let worst = &seen.worst;
    vec![
        worst.instance.clone(),
        worst.service.clone(),
        worst.zone.clone(),
        states.join(", "),
        worst.waiting.to_string(),
        worst.running.to_string(),
        worst.window.to_string(),
        format!("{} ms", worst.first_token_ms),
        format!("{:.1} ms", worst.between_tokens_us as f64 / 1000.0),
    ]
}

fn dash(value: Option<u64>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}
