//! Times of a shutdown: until when a process accepts, sends and answers requests.
//!
//! Load pattern: all entries are restarted in turn while backend servers are full. Requests wait for a
//! place at one that leaves, until it ends, and their callers could have been served elsewhere.
//!
//! Times are durations since the process started.

use std::time;

/// Time before the end in which no request waits any more, so that the last answers are sent: many small
/// ones to callers some round trips away, by a process that may be busy.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(500);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// From when on only requests are accepted that can finish.
    pub closing: time::Duration,
    /// When the process ends.
    pub end: time::Duration,
}

impl Window {
    /// Returns by when each request without a response gets its final one.
    pub fn last_answer(&self) -> time::Duration {
        self.end.saturating_sub(ANSWER_TIME)
    }

    /// Returns until when a request may wait to be sent whose answer takes about this objective. One that
    /// is sent later is likely to be cut.
    pub fn last_attempt(&self, objective: time::Duration) -> time::Duration {
        let last = self.end.saturating_sub(objective);
        last.max(self.closing).min(self.last_answer())
    }

    /// Returns whether a request with this deadline is refused as it arrives.
    pub fn refuses(&self, received: time::Duration, deadline: time::Duration) -> bool {
        received >= self.closing && deadline > self.last_answer()
    }
}
