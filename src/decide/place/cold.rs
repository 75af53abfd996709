//! Limits the request rate of cold backend servers.
//!
//! Load pattern: a backend server that has just started, or lost its cache, handles only a few
//! requests a second for some seconds and crashes well above that, while requests for the prompt
//! parts that have their home there keep coming.
//!
//! Only the deciding entry of the backend server sends it requests or grants places there. Entries
//! that can't reach the deciding entry use other backend servers: the limit applies to the sum over
//! all entries, and two entries that each applied it on their own would exceed it.

use std::time;

use super::Fleet;
use crate::key;

/// Maximum number of requests in a burst. It lets requests that an entry sends a turn or two late
/// catch up, so that the rate over a second is kept.
const MAX_BURST: f64 = 2.0;

/// Maximum burst after an idle period, in which another entry may have been the decider.
const IDLE_BURST: f64 = 1.0;

/// Time without requests that counts as an idle period.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Share of its part of the rate that an entry uses while peers are lost. It is below one because
/// the bursts of the parts add up.
const SPLIT_RATE_SHARE: f64 = 0.8;

/// Request limit of a cold backend server, as a bucket of credit that refills at its rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit {
    until: time::Duration,
    per_s: f64,
    // Part of the rate that this entry uses.
    share: f64,
    credit: f64,
    updated_at: time::Duration,
}

impl ColdLimit {
    pub(super) fn new(now: time::Duration, until: time::Duration, per_s: f64, share: f64) -> Self {
        Self {
            until,
            per_s,
            share,
            credit: IDLE_BURST,
            updated_at: now,
        }
    }

    // Extends the cold period and keeps the remaining credit.
    pub(super) fn extend(&mut self, until: time::Duration) {
        self.until = until;
    }

    // Sets the part of the rate that this entry uses from now on.
    pub(super) fn set_share(&mut self, now: time::Duration, share: f64) {
        self.credit = self.credit_at(now);
        self.updated_at = now;
        self.share = share;
    }

    pub(super) fn is_over(&self, now: time::Duration) -> bool {
        now >= self.until
    }

    // Returns the remaining time of the cold period.
    pub(super) fn time_left(&self, now: time::Duration) -> time::Duration {
        self.until.saturating_sub(now)
    }

    fn rate(&self) -> f64 {
        self.per_s * self.share
    }

    fn credit_at(&self, now: time::Duration) -> f64 {
        let idle = now.saturating_sub(self.updated_at);
        let allows_max_burst = idle < IDLE_PERIOD && self.share >= 1.0;
        let burst = if allows_max_burst {
            MAX_BURST
        } else {
            IDLE_BURST
        };
        (self.credit + idle.as_secs_f64() * self.rate()).min(burst)
    }

    // Returns whether a request may be sent now.
    pub(super) fn has_room(&self, now: time::Duration) -> bool {
        self.is_over(now) || self.credit_at(now) >= 1.0
    }

    // Counts a request against the limit.
    pub(super) fn take(&mut self, now: time::Duration) {
        self.credit = self.credit_at(now) - 1.0;
        self.updated_at = now;
    }

    // Returns the expected time until a request behind `before` others may be sent, in
    // milliseconds.
    pub(super) fn wait_ms(&self, now: time::Duration, before: usize) -> f64 {
        if self.is_over(now) {
            return 0.0;
        }
        let missing = before as f64 + 1.0 - self.credit_at(now);
        let warm_ms = self.time_left(now).as_secs_f64() * 1e3;
        (missing / self.rate() * 1e3).clamp(0.0, warm_ms)
    }
}

/// Returns the share of a cold backend server's rate that an entry may use if it is in contact with
/// `reachable` entries, itself included, and has lost `lost` others. Lost entries may still be
/// running and decide about the backend server on their own.
pub fn share(reachable: usize, lost: usize) -> f64 {
    if lost == 0 {
        return 1.0;
    }
    SPLIT_RATE_SHARE * reachable as f64 / (reachable + lost) as f64
}

impl Fleet {
    /// Marks a backend server as cold until this time, with a limit of `per_s` requests a second; a
    /// time that is not in the future marks it as warm.
    pub fn set_cold(
        &mut self,
        now: time::Duration,
        server: key::Sidecar,
        until: time::Duration,
        per_s: f64,
    ) {
        let Some(known) = self.servers.get_mut(server).filter(|_| per_s > 0.0) else {
            return;
        };
        match &mut known.cold {
            cold if until <= now => *cold = None,
            Some(cold) => cold.extend(until),
            cold @ None => *cold = Some(ColdLimit::new(now, until, per_s, self.cold_share)),
        }
    }

    /// Sets the part of the rate of cold backend servers that this entry uses ([`share()`]).
    pub fn set_cold_share(&mut self, now: time::Duration, share: f64) {
        if (share - self.cold_share).abs() < f64::EPSILON {
            return;
        }
        self.cold_share = share;
        let cold = self.servers.values_mut().filter_map(|s| s.cold.as_mut());
        cold.for_each(|cold| cold.set_share(now, share));
    }

    /// Returns the known remaining time for which a backend server is cold, zero if it is warm.
    pub fn cold_for(&self, now: time::Duration, server: key::Sidecar) -> time::Duration {
        let cold = self.servers.get(server).and_then(|s| s.cold);
        cold.map_or(time::Duration::ZERO, |cold| cold.time_left(now))
    }
}
