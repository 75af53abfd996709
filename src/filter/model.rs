//! Reads the model from the body of a completion request and estimates its cost.

use serde::Deserialize;

use crate::client::usage;
use crate::code;
use crate::filter::{Context, Refusal, Request};

/// Paths of requests whose body names a model.
const COMPLETION_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Number of tokens that a completion is assumed to generate if the caller sets no limit: the usual
/// default of engines with this API.
const DEFAULT_MAX_TOKENS: u64 = 16;

#[derive(Deserialize)]
struct Body {
    model: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

/// Sets the model and the cost hint of a completion request; ignores other paths.
pub fn filter(_context: &Context, request: &mut Request) -> Result<(), Refusal> {
    let path = request.path.split('?').next().unwrap_or_default();
    if !COMPLETION_PATHS.contains(&path) {
        return Ok(());
    }
    let body: Body = serde_json::from_slice(&request.body)
        .map_err(|err| Refusal::new(code::Code::BadRequest, format!("body: {err}")))?;
    let generated = body
        .max_tokens
        .or(body.max_completion_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt = request.body.len() as u64 / usage::BYTES_PER_TOKEN;
    request.cost_hint = prompt.saturating_add(generated);
    request.model = body.model;
    Ok(())
}
