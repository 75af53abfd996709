//! `chivebend status`: shows the processes and their backend servers.

use std::collections;

use crate::cmd;
use crate::cmd::fleet;
use crate::cmd::table;
use crate::error;
use crate::ops;

/// Show the processes and the backend servers.
///
/// Prints every process with its revision, queue and window, then every backend server as the
/// entries see it, with ejected and slow ones first.
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
    let responses = args.fleet.query::<ops::Status>("/status")?;
    if args.json {
        cmd::print_json(&responses.items)?;
    } else {
        cmd::print(&text(&responses.items))?;
    }
    responses.report_failures()
}

/// Formats the states of all processes as tables.
pub fn text(statuses: &[ops::Status]) -> String {
    let mut rows: Vec<_> = statuses.iter().collect();
    rows.sort_by(|a, b| (&a.role, &a.instance).cmp(&(&b.role, &b.instance)));
    let rows: Vec<_> = rows.into_iter().map(process_cells).collect();
    let headers = [
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
    let mut text = table::render(&headers, &rows);
    let backends = backend_rows(statuses);
    if !backends.is_empty() {
        let headers = [
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
        text.push_str(&table::render(&headers, &backends));
    }
    text
}

fn process_cells(status: &ops::Status) -> Vec<String> {
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
        or_dash(status.revision),
        status.waiting.to_string(),
        status.running.to_string(),
        or_dash(status.window),
        serves,
        status
            .ops_address
            .map_or_else(|| "-".into(), |addr| addr.to_string()),
    ]
}

/// A backend server as the entries see it.
#[derive(Default)]
struct BackendView {
    /// Number of entries by the state that they report.
    states: collections::BTreeMap<String, u64>,
    /// Report of the entry that observes the longest times.
    worst: ops::Sidecar,
}

fn backend_rows(statuses: &[ops::Status]) -> Vec<Vec<String>> {
    let mut views = collections::BTreeMap::<&str, BackendView>::new();
    for sidecar in statuses.iter().flat_map(|status| &status.sidecars) {
        let view = views.entry(&sidecar.instance).or_default();
        *view.states.entry(sidecar.state.clone()).or_default() += 1;
        if view.worst.instance.is_empty() || latency(&view.worst) < latency(sidecar) {
            view.worst = sidecar.clone();
        }
    }
    let mut views: Vec<_> = views.into_values().collect();
    views.sort_by_key(|view| (is_healthy(view), std::cmp::Reverse(latency(&view.worst))));
    views.iter().map(backend_cells).collect()
}

fn is_healthy(view: &BackendView) -> bool {
    view.states.keys().all(|state| state == "live")
}

fn latency(sidecar: &ops::Sidecar) -> (u64, u64) {
    (sidecar.first_token_ms, sidecar.between_tokens_us)
}

fn backend_cells(view: &BackendView) -> Vec<String> {
    let states = view
        .states
        .iter()
        .map(|(state, count)| format!("{state} ({count})"));
    let states: Vec<_> = states.collect();
    let worst = &view.worst;
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

fn or_dash(value: Option<u64>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}
