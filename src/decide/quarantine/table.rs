//! All requests, and parts of prompts, under which backend servers crashed.

use std::{collections, time};

use super::case::{self, SUSPECT_CRASHES};
use super::{Case, Crash, Fingerprint, INNOCENCE_TIME, Standing};
use crate::decide::random;

/// Window over which crashes are counted to estimate how often backend servers crash.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(30);

/// Time for which a lost connection with an unknown cause counts.
const UNEXPLAINED_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Time for which a suspect waits after a lost connection with an unknown cause. A restarted
/// process appears in the list within this time.
const MAX_CAUSE_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// Maximum number of requests remembered, in total and for one customer.
const MAX_CASES: usize = 2_048;
const MAX_CUSTOMER_CASES: usize = 256;

/// All requests under which backend servers crashed recently.
#[derive(Debug, Default)]
pub struct Table {
    pub(super) cases: collections::HashMap<Fingerprint, Case>,
    // Parts of requests that were completed here, with the time of the last completion.
    pub(super) completed: collections::HashMap<Fingerprint, time::Duration>,
    // Backend servers that crashed recently, by the hash of their process.
    crashes: collections::VecDeque<(u64, time::Duration)>,
    digest: u64,
}

impl Table {
    /// Returns the restrictions that apply to a request.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let case = self.cases.get(&request);
        case.map_or(Standing::Clear, Case::standing)
    }

    /// Returns whether a suspect has to wait, because it may soon be known whether its last attempt
    /// crashed a backend server.
    pub fn awaits_cause(&self, now: time::Duration, request: Fingerprint) -> bool {
        let case = self.cases.get(&request);
        let last = case.and_then(|case| case.unexplained.iter().max());
        last.is_some_and(|at| now < *at + MAX_CAUSE_WAIT)
    }

    /// Returns whether no backend server crashed under any request recently, so that all may run.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns the record of a request.
    pub fn get(&self, request: Fingerprint) -> Option<&Case> {
        self.cases.get(&request)
    }

    /// Returns all records.
    pub fn cases(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        self.cases.iter().map(|(request, case)| (*request, case))
    }

    /// Returns the digest of the quarantined requests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records another attempt of a quarantined request.
    pub fn on_retry(&mut self, now: time::Duration, request: Fingerprint) {
        if let Some(case) = self.cases.get_mut(&request) {
            case.last_seen = now;
        }
    }

    /// Records that a backend server, one of `servers`, crashed under a request that had run there
    /// for `ran`. `server` is the hash of its process; `alone` is true if no other suspect ran
    /// there.
    pub fn on_crash(
        &mut self,
        now: time::Duration,
        request: Fingerprint,
        server: u64,
        servers: usize,
        ran: time::Duration,
        alone: bool,
    ) {
        self.record_crash(now, server);
        let crash = Crash {
            server,
            at: now,
            alone,
            chance: self.chance(now, servers, ran),
            request: 0,
        };
        self.add_crash(request, crash);
    }

    pub(super) fn add_crash(&mut self, request: Fingerprint, crash: Crash) {
        self.make_room(request);
        let case = self.cases.entry(request).or_default();
        case.last_seen = crash.at;
        case.add(crash);
        case.update_quarantine(crash.at);
        self.update_digest();
    }

    /// Records a connection lost under a request when it is unknown whether the process at the
    /// other end has ended.
    pub fn on_connection_lost(&mut self, now: time::Duration, request: Fingerprint) {
        self.make_room(request);
        let case = self.cases.entry(request).or_default();
        case.last_seen = now;
        if case.unexplained.len() >= SUSPECT_CRASHES {
            case.unexplained.remove(0);
        }
        case.unexplained.push(now);
    }

    /// Records that a request ran to completion. Returns whether this cleared it of earlier
    /// crashes or connection losses.
    pub fn on_completion(&mut self, now: time::Duration, request: Fingerprint) -> bool {
        let Some(case) = self.cases.get_mut(&request) else {
            return false;
        };
        if (case.crashes.is_empty() && case.unexplained.is_empty())
            || case.quarantined_since.is_some()
        {
            return false;
        }
        case.cleared_at = Some(now);
        case.forget_cleared();
        true
    }

    /// Releases all requests with this content and returns them.
    pub fn release(&mut self, now: time::Duration, content: u64) -> Vec<Fingerprint> {
        let known = self.cases.iter_mut().filter(|(r, _)| r.content == content);
        let mut released = Vec::new();
        for (request, case) in known {
            case.cleared_at = Some(now);
            case.forget_cleared();
            released.push(*request);
        }
        self.update_digest();
        released
    }

    /// Merges another entry's record of a request. Returns whether the restrictions on it changed.
    pub fn merge(&mut self, request: Fingerprint, other: &Case) -> bool {
        // The completion of a part may arrive before the crashes that it makes irrelevant.
        let is_relevant = other.is_open() || other.is_part;
        if !is_relevant && !self.cases.contains_key(&request) {
            return false;
        }
        let before = self.standing(request);
        for crash in &other.crashes {
            self.record_crash(crash.at, crash.server);
        }
        self.make_room(request);
        let case = self.cases.entry(request).or_default();
        case.cleared_at = case.cleared_at.max(other.cleared_at);
        case.quarantined_since = case.quarantined_since.max(other.quarantined_since);
        case.last_seen = case.last_seen.max(other.last_seen);
        case.is_part |= other.is_part;
        if !other.crashes.is_empty() {
            case.intersect_companions(&other.companions);
        }
        case.completed_at = case.completed_at.max(other.completed_at);
        for crash in &other.crashes {
            case.add(*crash);
        }
        if other.unexplained.len() > case.unexplained.len() {
            case.unexplained.clone_from(&other.unexplained);
        }
        case.forget_cleared();
        case.update_quarantine(other.last_seen);
        self.apply_completion(request);
        self.update_digest();
        self.standing(request) != before
    }

    /// Forgets old records. To be called periodically.
    pub fn sweep(&mut self, now: time::Duration) {
        self.crashes.retain(|(_, at)| now < *at + RATE_WINDOW);
        let before = self.cases.len();
        for case in self.cases.values_mut() {
            let is_recent = |at: &mut time::Duration| now < *at + UNEXPLAINED_RETENTION;
            case.unexplained.retain(is_recent);
        }
        self.cases.retain(|_, case| !case.is_expired(now));
        self.completed.retain(|_, at| now < *at + INNOCENCE_TIME);
        if self.cases.len() != before {
            self.update_digest();
        }
    }

    pub(super) fn record_crash(&mut self, at: time::Duration, server: u64) {
        if !self
            .crashes
            .iter()
            .any(|known| case::is_same_crash(*known, (server, at)))
        {
            self.crashes.push_back((server, at));
        }
        if self.crashes.len() > MAX_CASES {
            self.crashes.pop_front();
        }
    }

    // Probability that one of `servers` backend servers crashes within `ran`, at the recent rate of
    // crashes plus one more crash.
    pub(super) fn chance(&self, now: time::Duration, servers: usize, ran: time::Duration) -> f64 {
        let recent = self
            .crashes
            .iter()
            .filter(|(_, at)| now < *at + RATE_WINDOW);
        let window = RATE_WINDOW.min(now).as_secs_f64().max(1.0);
        let rate = (recent.count() + 1) as f64 / (servers.max(1) as f64 * window);
        1.0 - (-rate * ran.as_secs_f64()).exp()
    }

    // A customer that is at its limit evicts its own requests, the oldest first and quarantined
    // ones last.
    pub(super) fn make_room(&mut self, request: Fingerprint) {
        if self.cases.contains_key(&request) {
            return;
        }
        let own = self.cases.keys().filter(|r| r.customer == request.customer);
        let full = self.cases.len() >= MAX_CASES;
        if own.count() < MAX_CUSTOMER_CASES && !full {
            return;
        }
        let is_evictable = |r: &Fingerprint| full || r.customer == request.customer;
        let cases = self.cases.iter().filter(|(r, _)| is_evictable(r));
        let oldest = cases.min_by_key(|(_, case)| {
            (
                case.quarantined_since.is_some(),
                case.crashes.len(),
                case.last_seen,
            )
        });
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.cases.remove(&oldest);
        }
    }

    pub(super) fn update_digest(&mut self) {
        let quarantined = self
            .cases
            .iter()
            .filter(|(_, case)| case.quarantined_since.is_some());
        let hash = |request: &Fingerprint| {
            random::Random::new(request.customer ^ request.content.rotate_left(32)).bits()
        };
        self.digest = quarantined
            .map(|(request, _)| hash(request))
            .fold(0, |sum, hash| sum ^ hash);
    }
}
