//! How many requests a cold backend server gets.
//!
//! Load pattern: a backend server that has just started, or lost what it keeps, bears a few requests a second for some
//! seconds and crashes well above that, while the parts that have their home at it are asked for as before.

use std::time;

/// Requests that it gets at once: what comes late by an entry's turn or two still keeps the rate within a second.
const AT_ONCE: f64 = 2.0;

/// A cold backend server, and what is left of its rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cold {
    until: time::Duration,
    per_s: f64,
    left: f64,
    at: time::Duration,
}

impl Cold {
    pub(super) fn new(now: time::Duration, until: time::Duration, per_s: f64) -> Self {
        Self {
            until,
            per_s,
            left: AT_ONCE,
            at: now,
        }
    }

    // It is still cold, or is so again: what is left stays.
    pub(super) fn extend(&mut self, until: time::Duration) {
        self.until = until;
    }

    fn left(&self, now: time::Duration) -> f64 {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.per_s;
        (self.left + gained).min(AT_ONCE)
    }

    // Whether it may get one now.
    pub(super) fn has_room(&self, now: time::Duration) -> bool {
        now >= self.until || self.left(now) >= 1.0
    }

    // Counts one that it gets.
    pub(super) fn take(&mut self, now: time::Duration) {
        self.left = self.left(now) - 1.0;
        self.at = now;
    }

    // Milliseconds until it may get one behind so many others.
    pub(super) fn wait_ms(&self, now: time::Duration, before: usize) -> f64 {
        if now >= self.until {
            return 0.0;
        }
        let missing = before as f64 + 1.0 - self.left(now);
        let warm_ms = self.until.saturating_sub(now).as_secs_f64() * 1e3;
        (missing / self.per_s * 1e3).clamp(0.0, warm_ms)
    }
}
