//! Rate limiter for repeats of the same event.
//!
//! Without it, the refusals of one customer that sends too many requests would overwrite all other
//! events in the ring and use the processor for log lines. Dropped events are counted, and the next
//! recorded event with the same key reports their number.

use std::collections;
use std::time;

use crate::code;
use crate::event::kind;

/// Length of a counting interval.
const COUNTING_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of events recorded per key and interval. A node of the intended size serves about
/// 40 requests a second for all customers, so normal traffic is recorded completely.
const MAX_EVENTS_PER_INTERVAL: u32 = 64;

/// Number of keys from which on new keys no longer distinguish customers but share one count per
/// kind and code, so that memory stays bounded.
const MAX_KEYS: usize = 1024;

/// Key of repeats: two events with equal keys are repeats of each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RepeatKey {
    kind: kind::Kind,
    code: Option<code::Code>,
    customer: Option<String>,
}

/// Counts of one key.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    recorded: u32,
    dropped: u64,
}

/// Counts of the current interval, and of dropped events not reported yet.
#[derive(Debug)]
pub(super) struct RateLimiter {
    interval_start: time::Instant,
    counts: collections::HashMap<RepeatKey, Count>,
}

impl RateLimiter {
    pub(super) fn new(now: time::Instant) -> Self {
        Self {
            interval_start: now,
            counts: collections::HashMap::new(),
        }
    }

    /// Returns the number of repeats dropped before this event, or `None` if this event must be
    /// dropped.
    pub(super) fn admit(
        &mut self,
        now: time::Instant,
        kind: kind::Kind,
        code: Option<code::Code>,
        customer: Option<&str>,
    ) -> Option<u64> {
        if now.saturating_duration_since(self.interval_start) >= COUNTING_INTERVAL {
            self.interval_start = now;
            self.counts.retain(|_, count| count.dropped > 0);
            self.counts
                .values_mut()
                .for_each(|count| count.recorded = 0);
        }
        let mut key = RepeatKey {
            kind,
            code,
            customer: customer.map(String::from),
        };
        if self.counts.len() >= MAX_KEYS && !self.counts.contains_key(&key) {
            key.customer = None;
        }
        let count = self.counts.entry(key).or_default();
        if count.recorded >= MAX_EVENTS_PER_INTERVAL {
            count.dropped += 1;
            return None;
        }
        count.recorded += 1;
        Some(std::mem::take(&mut count.dropped))
    }
}
