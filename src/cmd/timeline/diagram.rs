//! HTML diagram of the timeline, with a lane for each process, as a self-contained page.
//!
//! Each event is a row, in causal order. Rows have equal distances, because the order of events
//! matters more than their duration; the time is printed on the left. A line connects the events of
//! a request.

use std::collections;
use std::fmt::Write as _;

use crate::cmd::timeline::timestamp;
use crate::event;

/// Maximum number of events drawn, since browsers render larger diagrams slowly. The newest events
/// are drawn.
const MAX_EVENTS: usize = 5000;

/// Height of a row, in pixels; the following sizes are also in pixels.
const ROW_HEIGHT: usize = 20;
const LANE_WIDTH: usize = 110;
const LEFT_MARGIN: usize = 200;
const TOP_MARGIN: usize = 60;
const DETAILS_WIDTH: usize = 1100;

/// Maximum number of characters of an instance name that fit above its lane.
const MAX_NAME_CHARS: usize = 15;

/// Maximum number of characters drawn of an event's details. The tooltip contains all of them.
const MAX_DETAIL_CHARS: usize = 140;

/// Returns the page. Its content security policy forbids loading resources and running scripts, and
/// all text is escaped.
pub fn html(events: &[event::Event]) -> String {
    let skipped = events.len().saturating_sub(MAX_EVENTS);
    let events = &events[skipped..];
    let lanes = lanes(events);
    let width = LEFT_MARGIN + LANE_WIDTH * lanes.len() + DETAILS_WIDTH;
    let height = TOP_MARGIN + ROW_HEIGHT * (events.len() + 1);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         viewBox=\"0 0 {width} {height}\">\n"
    );
    draw_lanes(&mut svg, &lanes, height);
    draw_requests(&mut svg, events, &lanes);
    for (row, event) in events.iter().enumerate() {
        draw_event(&mut svg, row, event, &lanes);
    }
    svg.push_str("</svg>\n");
    let note = match skipped {
        0 => format!("{} events", events.len()),
        _ => format!(
            "the newest {} events; {skipped} older ones are omitted",
            events.len()
        ),
    };
    format!(
        "{PAGE_HEADER}<p>{note}, in causal order. Orange: warning. Red: fault.</p>\n{svg}</body></html>\n"
    )
}

const PAGE_HEADER: &str = "<!doctype html>
<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Timeline</title>
<meta http-equiv=\"content-security-policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">
<style>
body { font: 13px sans-serif; margin: 16px; color: #222; background: #fff }
text { font: 12px monospace; fill: #222 }
.time { fill: #666 } .head { font-weight: bold } .zone { fill: #666 }
.lane { stroke: #ddd } .request { stroke: #9ab; fill: none; stroke-opacity: 0.6 }
.info { fill: #2a6fb0 } .warn { fill: #e08a00 } .error { fill: #c22 }
</style></head><body><h1>Timeline</h1>
";

/// Lane of a process.
struct Lane<'a> {
    column: usize,
    role: &'a str,
    zone: &'a str,
}

type Lanes<'a> = collections::BTreeMap<&'a str, Lane<'a>>;

/// Returns the lanes by instance name. Entries are left of sidecars; both are sorted by name.
fn lanes(events: &[event::Event]) -> Lanes<'_> {
    let names: collections::BTreeSet<_> = events
        .iter()
        .map(|event| {
            (
                event.role.as_ref(),
                event.instance.as_str(),
                event.zone.as_str(),
            )
        })
        .collect();
    let lane = |(column, (role, name, zone))| (name, Lane { column, role, zone });
    names.into_iter().enumerate().map(lane).collect()
}

fn lane_x(lane: &Lane<'_>) -> usize {
    LEFT_MARGIN + LANE_WIDTH * lane.column + LANE_WIDTH / 2
}

fn row_y(row: usize) -> usize {
    TOP_MARGIN + ROW_HEIGHT * row + ROW_HEIGHT / 2
}

fn draw_lanes(svg: &mut String, lanes: &Lanes<'_>, height: usize) {
    for (name, lane) in lanes {
        let x = lane_x(lane);
        let zone = escape(&format!("{} {}", lane.role, lane.zone));
        push_line(
            svg,
            &format!(
                "<line class=\"lane\" x1=\"{x}\" y1=\"{TOP_MARGIN}\" x2=\"{x}\" y2=\"{height}\"/>"
            ),
        );
        push_line(
            svg,
            &format!(
                "<text class=\"head\" x=\"{x}\" y=\"20\" text-anchor=\"middle\"><title>{}</title>{}</text>",
                escape(name),
                escape(&ellipsize(name, MAX_NAME_CHARS)),
            ),
        );
        push_line(
            svg,
            &format!(
                "<text class=\"zone\" x=\"{x}\" y=\"38\" text-anchor=\"middle\">{zone}</text>"
            ),
        );
    }
}

fn draw_requests(svg: &mut String, events: &[event::Event], lanes: &Lanes<'_>) {
    let mut paths = collections::BTreeMap::<&str, Vec<String>>::new();
    for (row, event) in events.iter().enumerate() {
        if let Some(id) = &event.request {
            let point = format!("{},{}", lane_x(&lanes[event.instance.as_str()]), row_y(row));
            paths.entry(id).or_default().push(point);
        }
    }
    for (id, points) in paths.iter().filter(|(_, points)| points.len() > 1) {
        let (id, points) = (escape(id), points.join(" "));
        push_line(
            svg,
            &format!(
                "<polyline class=\"request\" points=\"{points}\"><title>{id}</title></polyline>"
            ),
        );
    }
}

fn draw_event(svg: &mut String, row: usize, event: &event::Event, lanes: &Lanes<'_>) {
    let (y, x) = (row_y(row), lane_x(&lanes[event.instance.as_str()]));
    let baseline = y + 4;
    let class = level_class(&event.name);
    let text = format!("{}{}", event.name, event::format_details(event));
    push_line(
        svg,
        &format!(
            "<text class=\"time\" x=\"8\" y=\"{baseline}\">{}</text>",
            timestamp::format(event.stamp)
        ),
    );
    push_line(
        svg,
        &format!(
            "<circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"5\"><title>{}</title></circle>",
            escape(&text),
        ),
    );
    let right = LEFT_MARGIN + LANE_WIDTH * lanes.len() + 8;
    push_line(
        svg,
        &format!(
            "<text x=\"{right}\" y=\"{baseline}\"><title>{}</title>{}</text>",
            escape(&text),
            escape(&ellipsize(&text, MAX_DETAIL_CHARS)),
        ),
    );
}

fn level_class(name: &str) -> &'static str {
    let row = event::KINDS.iter().find(|(_, row)| row.name == name);
    match row.map(|(_, row)| row.level) {
        Some(log::Level::Error) => "error",
        Some(log::Level::Warn) => "warn",
        _ => "info",
    }
}

fn push_line(svg: &mut String, element: &str) {
    writeln!(svg, "{element}").expect("a String takes every write");
}

fn ellipsize(text: &str, limit: usize) -> String {
    if text.chars().count() <= limit {
        return text.to_owned();
    }
    let head: String = text.chars().take(limit - 1).collect();
    format!("{head}…")
}

/// Escapes text for HTML. Control characters, which are invalid in XML, become escape sequences.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            c if c.is_control() => out.extend(c.escape_default()),
            c => out.push(c),
        }
    }
    out
}
