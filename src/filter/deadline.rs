//! Reads the caller's deadline from a header.

use std::time;

use crate::code;
use crate::filter::{Context, Refusal, Request};

/// Header with the time in milliseconds within which the caller wants the complete response.
///
/// A request that cannot meet it is rejected early; one that has started is never cut off.
pub const HEADER: &str = "chivebend-deadline-ms";

/// Maximum deadline in milliseconds: one day; a longer one is taken for a mistake.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Sets the deadline; without the header, the default of the customer's class applies.
pub fn filter(_context: &Context, request: &mut Request) -> Result<(), Refusal> {
    if !request.headers.iter().any(|header| header.name == HEADER) {
        return Ok(());
    }
    let ms = request
        .header(HEADER)
        .and_then(|value| value.parse::<u64>().ok())
        .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
        .ok_or_else(|| {
            let detail = format!("{HEADER}: 1 to {MAX_DEADLINE_MS} milliseconds");
            Refusal::new(code::Code::BadDeadline, detail)
        })?;
    request.deadline = Some(time::Duration::from_millis(ms));
    request.remove_header(HEADER);
    Ok(())
}
