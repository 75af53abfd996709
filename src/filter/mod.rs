//! The filter chain that every caller's request passes.
//!
//! Each filter is a function that fills in fields of the [`Request`] or rejects it with a numbered
//! code. After the last filter the request has everything that the dispatcher needs.

mod authenticate;
mod deadline;
mod idempotency;
mod model;
mod prefix;
mod route;

use std::{sync, time};

use bytes::Bytes;

use crate::{catalogue, code, wire};

/// Data that a filter may read besides the request.
#[derive(Debug)]
pub struct Context {
    /// The catalogue in force.
    pub accepted: sync::Arc<catalogue::Accepted>,
}

/// A caller's request, filled in by the filters.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Request id, the same in responses, logs and the timeline.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<wire::Header>,
    /// Complete body.
    pub body: Bytes,
    /// Name of the customer.
    pub customer: String,
    /// Fair-share weight of the customer.
    pub weight: f64,
    /// Limits of the customer.
    pub limits: catalogue::Limits,
    /// Name of the service.
    pub service: String,
    /// Model named in the body, empty for plain services.
    pub model: String,
    /// True if the request may safely run more than once.
    pub idempotent: bool,
    /// Idempotency key from the caller, empty if none.
    pub key: String,
    /// Time from arrival within which the caller wants the complete response.
    pub deadline: Option<time::Duration>,
    /// Estimated cost in tokens or milliseconds; not binding.
    pub cost_hint: u64,
    /// Hash of the start of the prompt, 0 if there is none.
    pub prefix_hash: u64,
    /// Factor by which the charged cost is multiplied.
    pub route_weight: f64,
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered code.
    pub code: code::Code,
    /// Details of the fault, for the caller.
    pub detail: String,
    /// Time after which the caller may send the request again.
    pub retry_after: Option<time::Duration>,
}

/// One filter of the chain.
pub type Filter = fn(&Context, &mut Request) -> Result<(), Refusal>;

/// All filters in order. Authentication comes first, so that no unauthenticated body is parsed.
pub const CHAIN: [Filter; 6] = [
    authenticate::filter,
    model::filter,
    route::filter,
    idempotency::filter,
    deadline::filter,
    prefix::filter,
];

impl Refusal {
    /// Creates a refusal without a `retry_after`.
    pub fn new(code: code::Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }
}

impl Request {
    /// Returns the value of a header as text if it occurs exactly once and is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matches = self.headers.iter().filter(|header| header.name == name);
        let first = matches.next()?;
        if matches.next().is_some() {
            return None;
        }
        str::from_utf8(&first.value).ok()
    }

    /// Removes a header so that it is not forwarded to the backend server.
    pub fn remove_header(&mut self, name: &str) {
        self.headers.retain(|header| header.name != name);
    }
}

/// Applies all filters to a request and stops at the first refusal.
pub fn apply(context: &Context, request: &mut Request) -> Result<(), Refusal> {
    for filter in CHAIN {
        filter(context, request)?;
    }
    Ok(())
}
