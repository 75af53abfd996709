//! Forecast of when an engine will have read the prompts that were sent to it.
//!
//! Load pattern: a full fleet whose engines idle. A prompt counts as unread until its first event
//! has reached the deciding entry, which is a few steps after the engine has read it. An engine
//! that gets the next prompt only then reads nothing for a third to a half of the time, while
//! requests wait and are refused.
//!
//! The forecast follows the clock by the engine's learned speed, and each first event corrects it:
//! engines read prompts in the order in which they were sent. Only requests of customers below
//! their share are sent by it. If those who ask most were, the others would wait behind their
//! prompts in the engine's own order, where fairness between customers has no effect. Without the
//! feature `steady_reading` only first events show what has been read.

use std::time;

use super::server::Server;
use super::{Fleet, Job};
use crate::decide::prefill;
use crate::key;

/// Expected reading time of the prompts ahead, in milliseconds, under which the next one is sent:
/// two steps of an engine, and the way of a place to the entry that asked for it.
const MAX_EXPECTED_MS: f64 = 60.0;

/// Reading time of the prompts without a first event, in milliseconds, up to which another one is
/// sent whatever the forecast: three times the usual, for an engine that stalls.
const MAX_SENT_MS: f64 = 300.0;

/// Shortest and longest pause until the waiting requests are looked at again, in milliseconds. The
/// longest is a step of an engine.
const PAUSE_MS_BOUNDS: (f64, f64) = (5.0, 25.0);

/// Weight of a new time from the end of a prompt to its first event in the moving average.
const BASE_SMOOTHING: f64 = 0.125;

/// When an engine is expected to have read what was sent to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    until: time::Duration,
    // Earliest end of the prompt that was sent last, read alone.
    not_before: time::Duration,
    // Time from the end of a prompt to its first event, by prompts that were sent to an engine with
    // nothing to read: the fit of other prompts depends on this forecast.
    base_ms: f64,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            until: time::Duration::ZERO,
            not_before: time::Duration::ZERO,
            base_ms: prefill::Estimate::default().base_ms(),
        }
    }
}

impl Forecast {
    // Adds a prompt that is sent now and takes this long to read.
    pub(super) fn add(&mut self, now: time::Duration, read_ms: f64) {
        self.until = self.until.max(now) + from_ms(read_ms);
        self.not_before = now + from_ms(read_ms);
    }

    // Removes a prompt that ended without a first event.
    pub(super) fn remove(&mut self, read_ms: f64) {
        self.until = self.until.saturating_sub(from_ms(read_ms));
        self.not_before = self.not_before.min(self.until);
    }

    // Records the time to the first event of a prompt that was sent to an engine with nothing to
    // read.
    pub(super) fn sample_alone(&mut self, took: time::Duration, read_ms: f64) {
        let base_ms = (took.as_secs_f64() * 1e3 - read_ms).clamp(0.0, MAX_SENT_MS);
        self.base_ms += BASE_SMOOTHING * (base_ms - self.base_ms);
    }

    // Corrects the forecast by a first event, given the reading time of the prompts sent after its
    // own.
    pub(super) fn correct(&mut self, now: time::Duration, remaining_ms: f64) {
        let until = (now + from_ms(remaining_ms)).saturating_sub(from_ms(self.base_ms));
        self.until = until.max(self.not_before);
    }

    // Returns the remaining reading time in milliseconds.
    pub(super) fn left_ms(&self, now: time::Duration) -> f64 {
        self.until.saturating_sub(now).as_secs_f64() * 1e3
    }
}

fn from_ms(ms: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

impl Server {
    // Returns the prompt tokens that the engine is expected to have left to read.
    pub(super) fn expected_unread_tokens(&self, now: time::Duration) -> f64 {
        let own = self.prefill.tokens(self.forecast.left_ms(now));
        own.min(self.own.unread_tokens) + self.peers.unread_tokens
    }

    // Returns whether an engine is expected to have read enough for a request of this many tokens,
    // where `share` of the room may be used.
    pub(super) fn is_expected_free(&self, now: time::Duration, tokens: f64, share: f64) -> bool {
        let expected = self.expected_unread_tokens(now);
        let room = share * self.prefill.tokens(MAX_EXPECTED_MS);
        (expected < 1.0 || expected + tokens <= room) && self.is_below_sent_bound()
    }

    fn is_below_sent_bound(&self) -> bool {
        self.prefill.prefill_ms(self.unread_tokens()) <= MAX_SENT_MS
    }

    // Returns the time until waiting requests have room by the forecast, unless it isn't the
    // forecast that they wait for.
    fn forecast_wait_ms(&self, now: time::Duration) -> Option<f64> {
        let is_used = self.is_engine && !self.queue.is_empty();
        let can_start = is_used && self.has_slot(now) && self.is_below_sent_bound();
        let wait_ms = self.forecast.left_ms(now) - MAX_EXPECTED_MS;
        (can_start && wait_ms > 0.0).then_some(wait_ms)
    }
}

impl Fleet {
    /// Returns the time after which waiting requests may have room by the forecast.
    pub fn pause_until_room(&self, now: time::Duration) -> time::Duration {
        let waits = self
            .servers
            .values()
            .filter_map(|s| s.forecast_wait_ms(now));
        let (min, max) = PAUSE_MS_BOUNDS;
        from_ms(waits.fold(max, f64::min).max(min))
    }

    /// Returns the number of requests that were sent before first events showed room for them.
    pub fn early_starts(&self) -> u64 {
        self.early_starts
    }

    // Returns whether no waiting request is served before this one.
    pub(super) fn is_first(&self, now: time::Duration, server: &Server, job: &Job) -> bool {
        if server.queue.is_empty() || !self.features.steady_reading || !server.is_engine {
            return server.queue.is_empty();
        }
        let recent = self.recent_service.fleet_service(now, job.customer);
        let first = server.first_queued(now, &self.recent_service);
        first.is_none_or(|(_, served)| recent < served)
    }

    // Returns why there is room for a request of this many tokens, if there is.
    pub(super) fn room(
        &self,
        now: time::Duration,
        at: key::Sidecar,
        tokens: f64,
        customer: key::Customer,
    ) -> Option<Room> {
        let server = &self.servers[at];
        let recent = self.recent_service.fleet_service(now, customer);
        if server.has_room(now, tokens, recent) {
            return Some(Room::Shown);
        }
        let may_start_early = self.features.steady_reading
            && server.is_engine
            && server.has_slot(now)
            && self.is_below_share(now, customer);
        let share = server.share_of_room(recent);
        let is_free = may_start_early && server.is_expected_free(now, tokens, share);
        is_free.then_some(Room::Expected)
    }
}

/// Why there is room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// First events have shown it.
    Shown,
    /// The forecast says so.
    Expected,
}
