//! `chivebend timeline`: shows the events of all processes in causal order.

use std::fs;
use std::path;

use crate::cmd;
use crate::cmd::fleet;
use crate::error;
use crate::event;
use crate::ops;

mod diagram;
mod timestamp;

pub use diagram::html;

/// Show the events of all live processes in causal order.
///
/// Events are sorted by the processes' hybrid logical clocks, so that a cause is shown before its
/// effect. Each process keeps its last 8,192 events in memory only, so the events of a replaced
/// process are lost.
///
/// A TIME is an age (`90s`, `5m`, `2h`), a UTC time (`2026-01-31T12:00:00Z`) or milliseconds since
/// 1970.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    fleet: fleet::Args,
    /// Only events of this request.
    #[arg(long, value_name = "ID")]
    request: Option<String>,
    /// Only events of this customer.
    #[arg(long, value_name = "NAME")]
    customer: Option<String>,
    /// Only events of this instance.
    #[arg(long, value_name = "NAME")]
    instance: Option<String>,
    /// Only events after this time.
    #[arg(long, value_name = "TIME", value_parser = timestamp::parse)]
    since: Option<event::Stamp>,
    /// Only events before this time.
    #[arg(long, value_name = "TIME", value_parser = timestamp::parse)]
    until: Option<event::Stamp>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Write an HTML diagram with a lane for each process to this file.
    #[arg(long, value_name = "FILE", conflicts_with = "json")]
    html: Option<path::PathBuf>,
}

impl Args {
    /// Returns the request path with the filters that the processes apply.
    fn path(&self) -> String {
        let mut path = format!("/events?since={}", self.since.unwrap_or_default());
        for (key, value) in [("request", &self.request), ("customer", &self.customer)] {
            if let Some(value) = value {
                path += &["&", key, "=", &ops::encode(value)].concat();
            }
        }
        path
    }

    /// Returns whether an event matches the filters that the processes do not apply.
    fn accepts(&self, event: &event::Event) -> bool {
        let is_instance = |name: &String| *name == event.instance;
        self.instance.as_ref().is_none_or(is_instance)
            && self.until.is_none_or(|until| event.stamp < until)
    }
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let responses = args.fleet.query::<event::Page>(&args.path())?;
    let overwritten: u64 = responses.items.iter().map(|page| page.overwritten).sum();
    let mut events = merge(
        responses
            .items
            .iter()
            .flat_map(|page| page.events.iter().cloned()),
    );
    events.retain(|event| args.accepts(event));
    if overwritten > 0 {
        eprintln!("{overwritten} older events are missing: the processes have overwritten them");
    }
    if let Some(file) = &args.html {
        fs::write(file, html(&events))?;
        cmd::print(&format!(
            "{} events written to {}\n",
            events.len(),
            file.display()
        ))?;
    } else if args.json {
        cmd::print_json(&events)?;
    } else {
        cmd::print(&text(&events))?;
    }
    responses.report_failures()
}

/// Sorts events of several processes in causal order.
pub fn merge(events: impl Iterator<Item = event::Event>) -> Vec<event::Event> {
    let mut events: Vec<_> = events.collect();
    // Timestamps of one process are unique. Equal timestamps of different processes are ordered by
    // instance name, so that the order is the same on every run.
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    events
}

/// Formats the events as text, one line each.
pub fn text(events: &[event::Event]) -> String {
    let width = events
        .iter()
        .map(|event| event.instance.chars().count())
        .max()
        .unwrap_or(0);
    let line = |event: &event::Event| {
        let time = timestamp::format(event.stamp);
        let instance = cmd::table::printable(&event.instance);
        let name = cmd::table::printable(&event.name);
        format!(
            "{time}  {instance:width$}  {name:20}{}\n",
            event::format_details(event)
        )
    };
    events.iter().map(line).collect()
}
