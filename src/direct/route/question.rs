//! The question where a request would go, and the request that it is about.

use std::{fmt, time};

use smallvec::SmallVec;

use super::fault;
use crate::code;
use crate::decide::place;
use crate::direct::request;

/// Maximum value of a deadline in milliseconds, as of a caller's.
const MAX_DEADLINE_MS: f64 = 1e9;

/// A question where a request would go.
#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Question {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Name of its route, instead of host and path.
    pub route: Option<String>,
    /// Name of its customer.
    pub customer: Option<String>,
    /// API key, instead of the customer's name; it is never shown.
    pub key: Option<String>,
    /// Service, where the route divides its requests among several.
    pub service: Option<String>,
    /// Parts of the prompt, `ID:TOKENS,...`.
    pub parts: String,
    /// Number of prompt tokens and maximum number of output tokens, `IN,OUT`.
    pub usage: String,
    /// Estimate of the number of output tokens.
    pub output: Option<u64>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<f64>,
    /// Fingerprint of the request, 16 hexadecimal digits.
    pub fingerprint: Option<String>,
}

impl fmt::Debug for Question {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The API key is a secret.
        let mut text = f.debug_struct("Question");
        text.field("host", &self.host).field("path", &self.path);
        text.field("route", &self.route).finish_non_exhaustive()
    }
}

/// The request that a question is about.
pub(super) struct Shape {
    pub(super) parts: SmallVec<[place::Part; 4]>,
    pub(super) part_ids: SmallVec<[u64; 4]>,
    pub(super) cost: u64,
    pub(super) timeout: Option<time::Duration>,
    pub(super) content: Option<u64>,
}

impl Shape {
    pub(super) fn new(question: &Question) -> Result<Self, fault::Fault> {
        let has_target = !question.host.is_empty() && question.path.starts_with('/');
        if question.route.is_none() && !has_target {
            let text = "name a host and a path that begins with a slash, or a route";
            return Err(fault::new(code::Code::BadRequest, text));
        }
        if question.customer.is_some() && question.key.is_some() {
            let text = "name a customer or an API key, not both";
            return Err(fault::new(code::Code::BadRequest, text));
        }
        let parts = request::read_parts(&question.parts);
        let given = question.parts.split(',').count().min(request::MAX_PARTS);
        if !question.parts.is_empty() && parts.len() < given {
            let text = format!("part {} is not ID:TOKENS", parts.len() + 1);
            return Err(fault::new(code::Code::BadRequest, text));
        }
        let mut numbers = question.usage.split(',');
        let is_number = |text: &str| text.trim().parse::<u64>().is_ok();
        if !question.usage.is_empty()
            && (question.usage.split(',').count() > 2 || !numbers.all(is_number))
        {
            let text = "the usage is not IN,OUT in tokens";
            return Err(fault::new(code::Code::BadRequest, text));
        }
        let output = question.output.map(|n| n.to_string()).unwrap_or_default();
        Ok(Self {
            parts,
            part_ids: request::read_part_ids(&question.parts),
            cost: request::read_cost(&question.usage, &output),
            timeout: question.deadline_ms.map(read_deadline).transpose()?,
            content: question
                .fingerprint
                .as_deref()
                .map(read_fingerprint)
                .transpose()?,
        })
    }
}

fn read_deadline(ms: f64) -> Result<time::Duration, fault::Fault> {
    if (0.0..=MAX_DEADLINE_MS).contains(&ms) {
        return Ok(time::Duration::from_secs_f64(ms / 1e3));
    }
    let text = "the deadline is not a number of milliseconds";
    Err(fault::new(code::Code::BadDeadline, text))
}

fn read_fingerprint(text: &str) -> Result<u64, fault::Fault> {
    let content = u64::from_str_radix(text, 16).ok();
    let content = content.filter(|_| text.len() == 16);
    let wrong = || {
        let text = "the fingerprint is not 16 hexadecimal digits";
        fault::new(code::Code::BadRequest, text)
    };
    content.ok_or_else(wrong)
}
