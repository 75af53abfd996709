//! Detects outages of the platform's store in which list entries may have expired.
//!
//! Fault: backend servers that can't renew their list entries during an outage expire although they
//! run, so that afterwards a missing list entry means a removal only once they have had time to
//! report again. Without an outage it means one at once, and a removal that is held back keeps a
//! backend server in use after it has left. A failed call of one entry shows no outage by itself:
//! the network or the entry may have failed, and other entries have had answers meanwhile.

use std::time;

/// Outages, as far as this entry's failed calls and the answers to all entries show them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outages {
    // When the store last answered any entry.
    answered_at: time::Duration,
    // True if a call of this entry has failed since: without a call, silence shows nothing.
    has_failed: bool,
    // When the last outage ended.
    ended_at: Option<time::Duration>,
}

impl Outages {
    /// Records that a call of this entry failed.
    pub fn on_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records that the store answered an entry at time `at`. This ends an outage if a call has
    /// failed and no entry had an answer for `min_length` before.
    pub fn on_answer(&mut self, at: time::Duration, min_length: time::Duration) {
        if at < self.answered_at {
            return;
        }
        if self.has_failed && at >= self.answered_at + min_length {
            self.ended_at = Some(at);
        }
        self.has_failed = false;
        self.answered_at = at;
    }

    /// Returns when the last outage ended; `None` if there was none.
    pub fn ended_at(&self) -> Option<time::Duration> {
        self.ended_at
    }
}
