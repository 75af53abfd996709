//! Reads the idempotency key and the caller's statement whether the request is idempotent.

use crate::code;
use crate::filter::{Context, Refusal, Request};

/// Header with the idempotency key; it is also forwarded to the backend server.
pub const KEY: &str = "idempotency-key";

/// Header that states whether the request may safely run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "chivebend-idempotent";

/// Maximum length of a key in bytes; the sidecar stores each key for the retention time.
const MAX_KEY_BYTES: usize = 256;

/// Sets the idempotency key and lets the caller override the route's `idempotent` setting.
pub fn filter(_context: &Context, request: &mut Request) -> Result<(), Refusal> {
    if request.headers.iter().any(|header| header.name == KEY) {
        let key = request.header(KEY).unwrap_or_default();
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let detail = format!("{KEY}: one value of 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::new(code::Code::BadRequest, detail));
        }
        request.key = key.to_owned();
    }
    if request
        .headers
        .iter()
        .any(|header| header.name == IDEMPOTENT)
    {
        request.idempotent = match request.header(IDEMPOTENT) {
            Some("true") => true,
            Some("false") => false,
            _ => {
                let detail = format!("{IDEMPOTENT}: true or false");
                return Err(Refusal::new(code::Code::BadRequest, detail));
            }
        };
        request.remove_header(IDEMPOTENT);
    }
    Ok(())
}
