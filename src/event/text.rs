//! Formatting of events as key=value lines. Values are escaped, so that they cannot add pairs or
//! lines of their own.

use crate::event;

/// Maximum length of a field's value, in bytes. Longer values are truncated, so that a caller
/// cannot fill the ring's memory through a header.
const MAX_VALUE_BYTES: usize = 256;

/// Truncates a value to [`MAX_VALUE_BYTES`] at a character boundary.
pub(super) fn truncate(value: &str) -> String {
    prefix(value, MAX_VALUE_BYTES).to_owned()
}

/// Returns the longest prefix of a value that has at most `max_bytes` and ends at a character boundary.
pub(crate) fn prefix(value: &str, max_bytes: usize) -> &str {
    let mut end = max_bytes.min(value.len());
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    &value[..end]
}

/// Appends ` key=value`. An empty value, or one with characters that need quoting, is quoted and
/// escaped.
pub(crate) fn append_pair(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    if !value.is_empty() && value.bytes().all(is_unquoted) {
        line.push_str(value);
        return;
    }
    line.push('"');
    line.extend(value.chars().flat_map(char::escape_debug));
    line.push('"');
}

fn is_unquoted(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_-.:/+@,%".contains(&byte)
}

/// Formats an event as a log line, without time and level.
pub fn format_line(event: &event::Event) -> String {
    let mut line = format!("event={}", event.name);
    append_pair(&mut line, "instance", &event.instance);
    append_pair(&mut line, "zone", &event.zone);
    append_pair(&mut line, "role", &event.role);
    line.push_str(&format_details(event));
    append_pair(&mut line, "stamp", &event.stamp.to_string());
    line
}

/// Formats the optional fields of an event, without its name and identity, as ` key=value` pairs.
pub fn format_details(event: &event::Event) -> String {
    let mut line = String::new();
    let mut append_optional = |key, value: Option<&str>| {
        if let Some(value) = value {
            append_pair(&mut line, key, value);
        }
    };
    append_optional("request", event.request.as_deref());
    append_optional("customer", event.customer.as_deref());
    append_optional("revision", event.revision.map(|n| n.to_string()).as_deref());
    append_optional("code", event.code.map(|n| n.to_string()).as_deref());
    for (key, value) in &event.fields {
        append_optional(key, Some(value));
    }
    if event.repeats > 0 {
        append_optional("repeats", Some(&event.repeats.to_string()));
    }
    line
}
