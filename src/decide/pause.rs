//! Pauses that a backend server asks for, during which this entry sends it nothing.
//!
//! Load pattern: a backend server that is full refuses one request after another, each of which
//! costs a round trip and a retry from the budget. A pause avoids both. Without jitter, all entries
//! that receive a pause in the same second would send again in the same second.

use std::time;

/// Maximum pause that is honoured; after it one request asks again. An error in a backend server's
/// clock or units takes it out of use for no longer than that.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(600);

/// Jitter by which entries and callers retry later, as a share of the pause, and its maximum.
const JITTER: f64 = 0.25;
const MAX_JITTER: time::Duration = time::Duration::from_secs(2);

/// Parses the pause in a header's value, in seconds with fractions. Returns `None` for no pause, a
/// date, or an invalid value.
pub fn parse(value: &str) -> Option<time::Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    let asks = seconds.is_finite() && seconds > 0.0;
    asks.then(|| time::Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}

/// Returns the end of a pause, with jitter from `draw`, a random number in `0.0..1.0`.
pub fn until(now: time::Duration, asked: time::Duration, draw: f64) -> time::Duration {
    now + add_jitter(asked, draw)
}

/// Returns when a refused caller may retry if all backend servers pause, the first of them for
/// `first`.
pub fn retry_after(first: time::Duration, draw: f64) -> time::Duration {
    add_jitter(first, draw)
}

fn add_jitter(pause: time::Duration, draw: f64) -> time::Duration {
    pause + pause.mul_f64(JITTER).min(MAX_JITTER).mul_f64(draw)
}
