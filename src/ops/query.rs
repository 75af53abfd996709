//! Query parameters of `/events`.

use crate::event;

/// Parses `since=&request=&customer=`. An unknown or malformed parameter is an error, so that a
/// misspelt filter is not mistaken for a filter without matches.
pub(super) fn parse_filter(query: &str) -> Result<event::Filter, String> {
    let mut filter = event::Filter::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value =
            percent_decode(value).ok_or_else(|| format!("{key} is not percent-encoded UTF-8"))?;
        match key {
            "since" => filter.since = event::Stamp(parse_stamp(&value)?),
            "request" => filter.request = Some(value),
            "customer" => filter.customer = Some(value),
            _ => return Err("parameters are since, request and customer".into()),
        }
    }
    Ok(filter)
}

fn parse_stamp(value: &str) -> Result<u64, String> {
    value
        .parse()
        .map_err(|_err| "since is a stamp, a whole number".into())
}

fn percent_decode(value: &str) -> Option<String> {
    let mut bytes = value.bytes();
    let mut buf = Vec::with_capacity(value.len());
    while let Some(byte) = bytes.next() {
        buf.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [bytes.next()?, bytes.next()?];
                if !digits.iter().all(u8::is_ascii_hexdigit) {
                    return None;
                }
                u8::from_str_radix(str::from_utf8(&digits).ok()?, 16).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(buf).ok()
}

/// Percent-encodes a value of a query parameter.
pub fn encode(value: &str) -> String {
    use std::fmt::Write as _;

    value.bytes().fold(String::new(), |mut buf, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            buf.push(char::from(byte));
        } else {
            write!(buf, "%{byte:02X}").expect("a String takes every write");
        }
        buf
    })
}
