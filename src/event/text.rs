//! Events as text: one key=value line that a hostile value cannot forge.

use std::fmt::Write as _;

use crate::event;

/// Longest value kept of one field, in bytes; longer ones are cut, so that a caller cannot fill the
/// ring's memory through a header.
const VALUE_LIMIT: usize = 256;

/// Cuts a value to the limit, at a character's edge.
pub(super) fn cut(value: &str) -> String {
    if value.len() <= VALUE_LIMIT {
        return value.to_owned();
    }
    let mut end = VALUE_LIMIT;
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    value[..end].to_owned()
}

/// Appends ` key=value`; a value with anything but plain characters is quoted and escaped.
fn pair(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    if !value.is_empty() && value.bytes().all(plain) {
        line.push_str(value);
        return;
    }
    line.push('"');
    line.extend(value.chars().flat_map(char::escape_debug));
    line.push('"');
}

fn plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_-.:/+@,%".contains(&byte)
}

/// The event's log line, without time and level.
pub fn line(event: &event::Event) -> String {
    let mut line = format!("event={}", event.name);
    pair(&mut line, "instance", &event.instance);
    pair(&mut line, "zone", &event.zone);
    pair(&mut line, "role", &event.role);
    for (key, value) in [("request", &event.request), ("customer", &event.customer)] {
        if let Some(value) = value {
            pair(&mut line, key, value);
        }
    }
    if let Some(revision) = event.revision {
        write!(line, " revision={revision}").expect("a String takes every write");
    }
    if let Some(code) = event.code {
        write!(line, " code={code}").expect("a String takes every write");
    }
    for (key, value) in &event.fields {
        pair(&mut line, key, value);
    }
    if event.repeats > 0 {
        write!(line, " repeats={}", event.repeats).expect("a String takes every write");
    }
    write!(line, " stamp={}", event.stamp).expect("a String takes every write");
    line
}
