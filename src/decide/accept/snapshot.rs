//! When a process puts a snapshot of what is accepted back on the log.
//!
//! Load pattern: the log keeps records for a limited time, and nobody else keeps anything. Without
//! snapshots a fleet that starts with nothing after that time has no catalogue; with one from every
//! process at once the log takes hundreds of copies.
//!
//! There is no leader: any process may do it, after a random delay, and whoever sees another's
//! snapshot meanwhile does not. Duplicates cost bytes and nothing else.

use std::time;

use crate::decide::accept::State;

/// Delays, in the order of urgency.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Most time before a snapshot when the log holds none, and least time between two of one
    /// process.
    pub append_delay: time::Duration,
    /// Time after a snapshot until changes are worth another one. At 1,500 changes a day it
    /// leaves 31 changes to read after the snapshot.
    pub change_interval: time::Duration,
    /// Age at which a snapshot is repeated without any change. The log must keep records at least
    /// four times as long.
    pub refresh_interval: time::Duration,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            append_delay: time::Duration::from_secs(10),
            change_interval: time::Duration::from_secs(1800),
            refresh_interval: time::Duration::from_secs(3600),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    offset: u64,
    revision: u64,
    at: time::Duration,
}

/// What a process knows of the snapshots on the log, and when it means to add one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner {
    seen: Option<Seen>,
    wanted: Option<time::Duration>,
    put: Option<time::Duration>,
}

impl Planner {
    /// A snapshot stands on the log.
    pub fn observe(&mut self, now: time::Duration, offset: u64, revision: u64) {
        self.seen = Some(Seen {
            offset,
            revision,
            at: now,
        });
        self.wanted = None;
    }

    /// Whether to append a snapshot now. `first` is the oldest offset on the log, `part` a random
    /// number in `0.0..1.0`.
    pub fn is_due(
        &mut self,
        pace: Schedule,
        now: time::Duration,
        first: u64,
        state: &State,
        part: f64,
    ) -> bool {
        if state.revision == 0 || !self.is_needed(pace, now, first, state) {
            self.wanted = None;
            return false;
        }
        let recently = self
            .put
            .is_some_and(|put| now.saturating_sub(put) < pace.append_delay);
        let wanted = *self
            .wanted
            .get_or_insert(now + pace.append_delay.mul_f64(part));
        if recently || now < wanted {
            return false;
        }
        self.wanted = None;
        self.put = Some(now);
        true
    }

    fn is_needed(&self, pace: Schedule, now: time::Duration, first: u64, state: &State) -> bool {
        let Some(seen) = self.seen else { return true };
        let age = now.saturating_sub(seen.at);
        seen.offset < first
            || age >= pace.refresh_interval
            || (seen.revision < state.revision && age >= pace.change_interval)
    }
}
