//! Hashes the start of the prompt, so that requests with a common prefix can be routed to the
//! backend server that has it cached.

use serde::Deserialize;
use serde_json::value;
use xxhash_rust::xxh3;

use crate::filter::{Context, Refusal, Request};

/// Number of bytes of the prompt that are hashed: about 256 tokens, the length of a system prompt.
/// A longer prefix would separate requests that share one questionnaire, a shorter one would give
/// different prompts the same hash.
const MAX_PREFIX_BYTES: usize = 1024;

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    prompt: Option<&'a value::RawValue>,
    #[serde(borrow)]
    messages: Option<&'a value::RawValue>,
}

/// Sets the prefix hash of a completion request; ignores other requests.
#[expect(clippy::unnecessary_wraps, reason = "has the signature of a filter")]
pub fn filter(_context: &Context, request: &mut Request) -> Result<(), Refusal> {
    if request.model.is_empty() {
        return Ok(());
    }
    let Ok(body) = serde_json::from_slice::<Body<'_>>(&request.body) else {
        return Ok(());
    };
    let text = body
        .messages
        .or(body.prompt)
        .map_or("", value::RawValue::get);
    let bytes = text.as_bytes();
    // The model is the seed, since caches of different models share nothing.
    let seed = xxh3::xxh3_64(request.model.as_bytes());
    request.prefix_hash =
        xxh3::xxh3_64_with_seed(&bytes[..bytes.len().min(MAX_PREFIX_BYTES)], seed);
    Ok(())
}
