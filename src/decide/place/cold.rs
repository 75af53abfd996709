//! How many requests a cold backend server gets.
//!
//! Load pattern: a backend server that has just started, or lost what it keeps, bears a few requests a second for some
//! seconds and crashes well above that, while the parts that have their home at it are asked for as before.
//!
//! Only the entry that decides about it sends it requests, or gives others a place there. Others that can't ask that entry go to other
//! backend servers: the rate is the sum over all entries, and two that each keep a part of it by themselves exceed it.

use std::time;

use super::Fleet;
use crate::key;

/// Requests that it gets at once: what comes late by an entry's turn or two still keeps the rate within a second.
const AT_ONCE: f64 = 2.0;

/// The same after a while without any, in which another entry may have decided about it.
const AT_ONCE_IDLE: f64 = 1.0;

/// Such a while.
const IDLE: time::Duration = time::Duration::from_secs(1);

/// Share of its part of the rate that an entry uses while others are lost: each part's own bursts add up.
const SPLIT_SHARE: f64 = 0.8;

/// A cold backend server, and what is left of its rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cold {
    until: time::Duration,
    per_s: f64,
    // Part of the rate that this entry uses.
    share: f64,
    left: f64,
    at: time::Duration,
}

impl Cold {
    pub(super) fn new(now: time::Duration, until: time::Duration, per_s: f64, share: f64) -> Self {
        Self {
            until,
            per_s,
            share,
            left: AT_ONCE_IDLE,
            at: now,
        }
    }

    // It is still cold, or is so again: what is left stays.
    pub(super) fn extend(&mut self, until: time::Duration) {
        self.until = until;
    }

    // From now on this entry uses this part of the rate.
    pub(super) fn set_share(&mut self, now: time::Duration, share: f64) {
        self.left = self.left(now);
        self.at = now;
        self.share = share;
    }

    pub(super) fn is_over(&self, now: time::Duration) -> bool {
        now >= self.until
    }

    // Time for which it stays cold.
    pub(super) fn left_for(&self, now: time::Duration) -> time::Duration {
        self.until.saturating_sub(now)
    }

    fn rate(&self) -> f64 {
        self.per_s * self.share
    }

    fn left(&self, now: time::Duration) -> f64 {
        let idle = now.saturating_sub(self.at);
        let is_whole = idle < IDLE && self.share >= 1.0;
        let most = if is_whole { AT_ONCE } else { AT_ONCE_IDLE };
        (self.left + idle.as_secs_f64() * self.rate()).min(most)
    }

    // Whether it may get one now.
    pub(super) fn has_room(&self, now: time::Duration) -> bool {
        self.is_over(now) || self.left(now) >= 1.0
    }

    // Counts one that it gets.
    pub(super) fn take(&mut self, now: time::Duration) {
        self.left = self.left(now) - 1.0;
        self.at = now;
    }

    // Milliseconds until it may get one behind so many others.
    pub(super) fn wait_ms(&self, now: time::Duration, before: usize) -> f64 {
        if self.is_over(now) {
            return 0.0;
        }
        let missing = before as f64 + 1.0 - self.left(now);
        let warm_ms = self.left_for(now).as_secs_f64() * 1e3;
        (missing / self.rate() * 1e3).clamp(0.0, warm_ms)
    }
}

/// Share of a cold backend server's rate that an entry uses that hears so many entries, itself included, and has lost so many others: these
/// may run on, and decide about it for themselves.
pub fn share(heard: usize, lost: usize) -> f64 {
    if lost == 0 {
        return 1.0;
    }
    SPLIT_SHARE * heard as f64 / (heard + lost) as f64
}

impl Fleet {
    /// A backend server is cold until this time and bears so many requests a second meanwhile; until now, if it is warm.
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
            cold @ None => *cold = Some(Cold::new(now, until, per_s, self.cold_share)),
        }
    }

    /// Part of the rate of cold backend servers that this entry uses from now on ([`cold_share`]).
    pub fn set_cold_share(&mut self, now: time::Duration, share: f64) {
        if (share - self.cold_share).abs() < f64::EPSILON {
            return;
        }
        self.cold_share = share;
        let cold = self.servers.values_mut().filter_map(|s| s.cold.as_mut());
        cold.for_each(|cold| cold.set_share(now, share));
    }

    /// Time for which a backend server stays cold, as far as is known; zero if it is warm.
    pub fn cold_for(&self, now: time::Duration, server: key::Sidecar) -> time::Duration {
        let cold = self.servers.get(server).and_then(|s| s.cold);
        cold.map_or(time::Duration::ZERO, |cold| cold.left_for(now))
    }
}
