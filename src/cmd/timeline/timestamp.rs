//! Parsing and formatting of times for the timeline.

use std::time;

use crate::event;

/// Parses an age, an RFC 3339 time or milliseconds since 1970.
pub(super) fn parse(text: &str) -> Result<event::Stamp, String> {
    if let Ok(ms) = text.parse() {
        return Ok(event::Stamp::from_unix_ms(ms));
    }
    if let Some(age) = parse_age(text) {
        let now = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        return Ok(event::Stamp::from_unix_ms(
            now.saturating_sub(age).as_millis() as u64,
        ));
    }
    let parsed = uhlc::NTP64::parse_rfc3339(text);
    parsed
        .map(|time| event::Stamp(time.as_u64()))
        .map_err(|_err| "neither an age like 5m nor a time like 2026-01-31T12:00:00Z".into())
}

fn parse_age(text: &str) -> Option<time::Duration> {
    let unit = text.chars().last()?;
    let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        _ => return None,
    };
    count.checked_mul(seconds).map(time::Duration::from_secs)
}

/// Formats the wall-clock time of a timestamp, in UTC with milliseconds.
pub(super) fn format(stamp: event::Stamp) -> String {
    let text = uhlc::NTP64(stamp.0).to_string_rfc3339_lossy();
    let end = text
        .find('.')
        .map_or(text.len(), |dot| (dot + 4).min(text.len()));
    format!("{}Z", text[..end].trim_end_matches('Z'))
}
