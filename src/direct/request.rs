//! Requests of callers: reading, checking and preparing them for forwarding.

use std::{cell, rc, time};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{configuration, dialect};
use crate::code;
use crate::decide::{place, quarantine};

/// Hop-by-hop headers, which concern only one connection or are set again on the next one.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// Hop-by-hop headers that have no constant in the library.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Maximum number of prompt parts that are read; the rest of the prompt counts as not shared with
/// other requests.
pub(super) const MAX_PARTS: usize = 16;

/// Cost of an output token in prompt tokens: engines generate one at about the cost of reading two,
/// and the throughput of customers is counted in these units.
const OUTPUT_COST: u64 = 2;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Id of the caller's attempt.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Host, without port.
    pub host: String,
    /// Path and query, unchanged.
    pub target: http::uri::PathAndQuery,
    /// How long the caller waits, if it said so.
    pub timeout: Option<time::Duration>,
    /// API key; empty if there is none.
    pub key: String,
    /// Parts of the prompt.
    pub parts: SmallVec<[place::Part; 4]>,
    /// Hashes of the ids of the parts, without the last, which belongs to the request itself.
    pub part_ids: SmallVec<[u64; 4]>,
    /// Cost that the customer is charged with, in prompt tokens.
    pub cost: u64,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Stream that the caller takes up, if it does.
    pub taken_up: Option<TakenUp>,
    /// True if the body is sent in chunks.
    pub is_chunked: bool,
    /// True if the caller waits for a response before it sends the body.
    pub expects_continue: bool,
}

/// A stream that the caller takes up after a broken connection.
#[derive(Clone, Debug)]
pub struct TakenUp {
    /// Id of the caller's attempt that brought the first event, if the caller names it.
    pub first_attempt: Option<HeaderValue>,
}

/// A request that was checked and may be forwarded.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head of the request.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
    /// Route that it matched.
    pub route: rc::Rc<configuration::Route>,
    /// Service that it is forwarded to.
    pub service: rc::Rc<str>,
    /// Customer that the API key belongs to; `None` if the route needs no key.
    pub customer: Option<rc::Rc<str>>,
    /// Fingerprint, once it was computed.
    pub fingerprint: cell::OnceCell<quarantine::Fingerprint>,
    /// When its head was received.
    pub received: time::Duration,
    /// When the caller or the timeout of the route ends it.
    pub deadline: time::Duration,
}

impl Request {
    /// Returns the fingerprint, which is the same for all tries of the request. It is computed on
    /// demand, since hashing each body would take too much of a weak processor.
    pub fn fingerprint(&self) -> quarantine::Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let head = &self.head;
            let host = head.host.to_ascii_lowercase();
            let (method, target) = (head.method.as_str(), head.target.as_str());
            let (method, target) = (method.as_bytes(), target.as_bytes());
            let parts = [method, host.as_bytes(), target, &self.body];
            quarantine::Fingerprint::new(self.customer.as_deref().unwrap_or(""), parts)
        })
    }

    /// Returns the fingerprints of the parts of its prompt that other requests may share.
    pub fn part_fingerprints(&self) -> SmallVec<[quarantine::Fingerprint; 4]> {
        let customer = self.customer.as_deref().unwrap_or("");
        let parts = self.head.part_ids.iter();
        parts
            .map(|part| quarantine::Fingerprint::of_part(customer, *part))
            .collect()
    }
}

/// Reads and checks the head of a request.
pub fn read(parts: &http::request::Parts, names: &dialect::Dialect) -> Result<Head, code::Code> {
    let headers = &parts.headers;
    let id = single(headers, &names.request_id)?.ok_or(code::Code::BadRequest)?;
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(code::Code::BadRequest);
    }
    let target = parts.uri.path_and_query().ok_or(code::Code::BadRequest)?;
    if parts.method == Method::CONNECT || !target.as_str().starts_with('/') {
        return Err(code::Code::BadRequest);
    }
    let host = match (single(headers, &header::HOST)?, parts.uri.authority()) {
        (_, Some(authority)) => authority.as_str().to_owned(),
        (Some(host), None) => text(host)?.to_owned(),
        (None, None) => return Err(code::Code::BadRequest),
    };
    let timeout = match single(headers, &names.deadline)? {
        Some(value) => Some(millis(value)?),
        None => None,
    };
    let key = single(headers, &names.api_key)?
        .map_or(Ok(""), text)?
        .to_owned();
    let prefix = single(headers, &names.prefix)?.map_or(Ok(""), text)?;
    let usage = single(headers, &names.usage)?.map_or(Ok(""), text)?;
    let hint = single(headers, &names.length_hint)?.map_or(Ok(""), text)?;
    Ok(Head {
        id: id.clone(),
        method: parts.method.clone(),
        host,
        target: target.clone(),
        timeout,
        key,
        parts: read_parts(prefix),
        part_ids: read_part_ids(prefix),
        cost: read_cost(usage, hint),
        taken_up: read_taken_up(headers, names)?,
        headers: forwarded_headers(headers, names),
        is_chunked: headers.contains_key(header::TRANSFER_ENCODING),
        expects_continue: headers.contains_key(header::EXPECT),
    })
}

fn read_taken_up(
    headers: &HeaderMap,
    names: &dialect::Dialect,
) -> Result<Option<TakenUp>, code::Code> {
    let first_attempt = single(headers, &names.resumes)?.cloned();
    let is_taken_up = first_attempt.is_some() || headers.contains_key(&names.last_event);
    Ok(is_taken_up.then_some(TakenUp { first_attempt }))
}

// The single value of a header; several values are an error, since they contradict each other.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, code::Code> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(code::Code::BadRequest);
    }
    Ok(first)
}

fn text(value: &HeaderValue) -> Result<&str, code::Code> {
    value.to_str().map_err(|_not_ascii| code::Code::BadRequest)
}

fn millis(value: &HeaderValue) -> Result<time::Duration, code::Code> {
    let ms = text(value)?.trim().parse::<f64>();
    match ms {
        Ok(ms) if (0.0..=1e9).contains(&ms) => Ok(time::Duration::from_secs_f64(ms / 1e3)),
        _ => Err(code::Code::BadDeadline),
    }
}

/// Reads `ID:TOKENS,...`. A malformed part ends the list, which matters only for placement, so that
/// the request is served all the same.
pub fn read_parts(prefix: &str) -> SmallVec<[place::Part; 4]> {
    let mut chain = 0;
    let mut parts = SmallVec::new();
    for part in prefix.split(',').take(MAX_PARTS) {
        let Some((id, tokens)) = part.trim().split_once(':') else {
            break;
        };
        let Ok(tokens) = tokens.trim().parse() else {
            break;
        };
        chain = xxh3::xxh3_64_with_seed(id.as_bytes(), chain);
        parts.push(place::Part { chain, tokens });
    }
    parts
}

/// Reads the ids of all parts but the last of `ID:TOKENS,...`, whatever their position.
pub fn read_part_ids(prefix: &str) -> SmallVec<[u64; 4]> {
    let Some((shared, _last)) = prefix.rsplit_once(',') else {
        return SmallVec::new();
    };
    let ids = shared.split(',').take(MAX_PARTS);
    let ids = ids.filter_map(|part| part.trim().split_once(':'));
    ids.map(|(id, _)| xxh3::xxh3_64(id.to_ascii_lowercase().as_bytes()))
        .collect()
}

/// Returns the cost of a request in prompt tokens, from `IN,OUT` and the caller's estimate of the
/// output, which is more accurate than the maximum.
pub fn read_cost(usage: &str, hint: &str) -> u64 {
    let (input, max) = usage.split_once(',').unwrap_or((usage, "0"));
    let number = |text: &str| text.trim().parse::<u64>().unwrap_or(0).min(1 << 32);
    let max = number(max);
    let output = hint.trim().parse::<u64>().map_or(max, |n| n.min(max));
    (number(input) + OUTPUT_COST * output).max(1)
}

fn forwarded_headers(headers: &HeaderMap, names: &dialect::Dialect) -> HeaderMap {
    let listed = connection_options(headers);
    let set_by_entry = [
        &names.api_key,
        &names.customer,
        &names.expected_instance,
        &names.deadline,
    ];
    let always_forwarded = [
        &names.request_id,
        &names.usage,
        &names.prefix,
        &names.last_event,
    ];
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name) || HOP_BY_HOP_NAMES.contains(&name.as_str());
        let is_reserved = set_by_entry.contains(&name) || names.reserved.contains(name);
        let is_listed = listed.iter().any(|l| l.eq_ignore_ascii_case(name.as_str()));
        // `connection` can't remove a header that backend servers need.
        let is_needed = always_forwarded.contains(&name) || names.is_always_forwarded(name);
        if !(is_hop_by_hop || is_reserved || (is_listed && !is_needed)) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

// Headers that `connection` names.
fn connection_options(headers: &HeaderMap) -> SmallVec<[String; 2]> {
    let mut names = SmallVec::new();
    for value in headers.get_all(header::CONNECTION) {
        if let Ok(value) = value.to_str() {
            names.extend(value.split(',').map(|name| name.trim().to_owned()));
        }
    }
    names
}
