//! State of one backend server as one entry knows it: load, reading speed, cached prompt parts and
//! waiting requests.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::cold::ColdLimit;
use super::{Job, Load, ServerInfo, State, reading};
use crate::code;
use crate::decide::capacity::speed;
use crate::decide::{binding, prefill, quarantine, recent};

/// Maximum reading time of the prompts that were sent to an engine and not yet read, in
/// milliseconds. An engine reads one chunk a step, about 25 ms, and a prompt counts as read only
/// with its first event, four steps later, so the engine would idle with less. With more, prompts
/// that were sent early delay more urgent ones.
pub const MAX_UNREAD_MS: f64 = 100.0;

/// Share of the room that an entry uses while a peer holds a request that is served first. It
/// keeps the engine busy until the peer's turn, one heartbeat later.
const YIELDED_ROOM_SHARE: f64 = 0.6;

/// Number of requests beyond its slots that a plain backend server is given, so that it can start
/// the next one while an answer is on its way to the entry.
const SPARE_REQUESTS: u32 = 1;

/// Number of service times that an arriving request for a plain backend server reserves for its
/// own execution. With one, about half of the requests that wait to the limit are late, because
/// their own service time is above the mean.
const OWN_SERVICE_TIMES: f64 = 1.5;

/// Weight of a new service time in the moving average. It covers about the last twenty requests,
/// a fifth of a second of a fully loaded backend server with six slots of 60 ms.
const SERVICE_SMOOTHING: f64 = 0.05;

/// Typical reading time of the prompts ahead of a waiting request when it is sent, in
/// milliseconds: most of [`MAX_UNREAD_MS`], because room is used as soon as it is free. Without
/// this allowance a request that waits to its limit is late by that time.
const TYPICAL_AHEAD_MS: f64 = 80.0;

/// Time after which a backend server of unknown version gets new streams all the same: the list tells the
/// version within a second, unless the store is away. Then the capacity is worth more than what is lost if
/// the process ends before its version is known.
const MAX_UNKNOWN_TIME: time::Duration = time::Duration::from_secs(3);

/// Time for which an unused prompt part is assumed to stay in an engine's cache; engines evict the
/// least recently used parts.
const CACHED_PART_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// A backend server as one entry knows it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) service: u32,
    pub(super) hash: u64,
    pub(super) slots: u32,
    pub(super) is_engine: bool,
    pub(super) is_near: bool,
    pub(super) version: binding::Version,
    // False as long as the version stands for that of the process, which may soon be known.
    pub(super) begins_streams: bool,
    // When it was added.
    pub(super) added_at: time::Duration,
    pub(super) state: State,
    // When it last became ready; unchanged while it drains.
    pub(super) ready_since: time::Duration,
    pub(super) own: Load,
    pub(super) peers: Load,
    pub(super) prefill: prefill::Estimate,
    pub(super) speed: speed::Speed,
    // Mean time from sending a request to its answer, in milliseconds, for a plain backend server;
    // zero before the first answer.
    pub(super) service_ms: f64,
    // Rate limit while it is cold, if it ever was.
    pub(super) cold: Option<ColdLimit>,
    // The suspect request that runs there, if any.
    pub(super) suspect: Option<quarantine::Fingerprint>,
    // In order of arrival.
    pub(super) queue: Vec<Queued>,
    // Hashes of prompt parts assumed to be cached, with the time of their last use.
    pub(super) cached_parts: collections::HashMap<u64, time::Duration>,
    // When it will have read what was sent to it.
    pub(super) forecast: reading::Forecast,
}

/// A request that waits for the backend server.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) request: u64,
    pub(super) job: Job,
    pub(super) until: time::Duration,
    pub(super) tokens: f64,
}

impl Server {
    pub(super) fn new(now: time::Duration, info: ServerInfo<'_>) -> Self {
        Self {
            service: info.service,
            hash: xxh3::xxh3_64(info.id.as_bytes()),
            slots: info.slots.max(1),
            is_engine: info.is_engine,
            is_near: info.is_near,
            version: info.version,
            begins_streams: info.is_version_known,
            added_at: now,
            state: State::Ready,
            ready_since: now,
            own: Load::default(),
            peers: Load::default(),
            prefill: prefill::Estimate::default(),
            speed: speed::Speed::default(),
            service_ms: 0.0,
            cold: None,
            suspect: None,
            queue: Vec::new(),
            cached_parts: collections::HashMap::new(),
            forecast: reading::Forecast::default(),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.own.in_flight.saturating_add(self.peers.in_flight)
    }

    pub(super) fn unread_tokens(&self) -> f64 {
        self.own.unread_tokens + self.peers.unread_tokens
    }

    // Returns the code that a suspect request is refused with while another try of it, or another
    // suspect, runs or waits here: if the process crashed, it would be unclear which request caused
    // it.
    pub(super) fn suspect_refusal(&self, request: quarantine::Fingerprint) -> Option<code::Code> {
        let waits = || self.queue.iter().find_map(|w| w.job.suspect);
        let there = self.suspect.or_else(waits)?;
        Some(if there == request {
            code::Code::RequestTried
        } else {
            code::Code::DeadlineUnreachable
        })
    }

    // Returns whether a request may be sent whose customer has this much recent service.
    pub(super) fn has_room(&self, now: time::Duration, tokens: f64, served: f64) -> bool {
        if !self.is_engine {
            let limit = self.slots.saturating_add(SPARE_REQUESTS);
            return self.is_within_cold_limit(now) && self.in_flight() < limit;
        }
        let share = self.share_of_room(served);
        let room = self.unread_tokens() + tokens <= share * self.prefill.tokens(MAX_UNREAD_MS)
            || self.unread_tokens() < 1.0;
        room && self.has_slot(now)
    }

    // Returns whether an engine runs one more request, whatever it has to read.
    pub(super) fn has_slot(&self, now: time::Duration) -> bool {
        self.is_within_cold_limit(now) && self.in_flight() < self.slots
    }

    fn is_within_cold_limit(&self, now: time::Duration) -> bool {
        self.cold.is_none_or(|cold| cold.has_room(now))
    }

    // Returns the share of an engine's room for a customer with this much recent service.
    pub(super) fn share_of_room(&self, served: f64) -> f64 {
        // A peer holds a request that is served first: leave room for it.
        let is_second = self.peers.least_service.is_some_and(|least| least < served);
        if is_second { YIELDED_ROOM_SHARE } else { 1.0 }
    }

    // Returns the waiting request that is served first, the oldest of the customer with the least
    // recent service. Expired ones are skipped, since they leave the queue by themselves.
    pub(super) fn first_queued(
        &self,
        now: time::Duration,
        recent: &recent::Table,
    ) -> Option<(usize, f64)> {
        let due = self.queue.iter().enumerate().filter(|(_, w)| now < w.until);
        let served = due.map(|(at, w)| (at, recent.fleet_service(now, w.job.customer)));
        served.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    // Records the service time of an answer from a plain backend server.
    pub(super) fn record_service_time(&mut self, took: time::Duration) {
        let ms = took.as_secs_f64() * 1e3;
        let weight = if self.service_ms == 0.0 {
            1.0
        } else {
            SERVICE_SMOOTHING
        };
        self.service_ms += weight * (ms - self.service_ms);
    }

    // Returns the prompt tokens of the job that the engine has not cached.
    pub(super) fn uncached_tokens(&self, now: time::Duration, job: &Job) -> f64 {
        let mut is_cached = true;
        let mut tokens = 0.0;
        for part in &job.parts {
            is_cached = is_cached && self.has_cached(now, part.chain);
            if !is_cached {
                tokens += f64::from(part.tokens);
            }
        }
        tokens
    }

    pub(super) fn has_cached(&self, now: time::Duration, chain: u64) -> bool {
        self.cached_parts
            .get(&chain)
            .is_some_and(|at| now < *at + CACHED_PART_LIFETIME)
    }

    // Returns the expected time until a job's prompt is read, in milliseconds, behind the waiting
    // requests of customers that are served no later.
    pub(super) fn wait_ms(&self, now: time::Duration, job: &Job, recent: &recent::Table) -> f64 {
        let served = recent.fleet_service(now, job.customer);
        let before = |w: &&Queued| {
            w.job.customer == job.customer || recent.fleet_service(now, w.job.customer) <= served
        };
        let waiting = || self.queue.iter().filter(before);
        let cold = self.cold.as_ref();
        let cold_ms = cold.map_or(0.0, |cold| cold.wait_ms(now, waiting().count()));
        let tokens: f64 = waiting().map(|w| w.tokens).sum();
        self.prefill
            .prefill_ms(self.unread_tokens() + tokens)
            .max(cold_ms)
    }

    // Returns the expected time until a plain backend server has a slot for a job, in milliseconds,
    // behind the waiting requests of customers that are served no later.
    pub(super) fn slot_ms(&self, now: time::Duration, job: &Job, recent: &recent::Table) -> f64 {
        let served = recent.fleet_service(now, job.customer);
        let before =
            |w: &&Queued| now < w.until && recent.fleet_service(now, w.job.customer) <= served;
        let waiting = self.queue.iter().filter(before).count() as u32;
        let all = self.in_flight().saturating_add(1 + waiting);
        let beyond = all.saturating_sub(self.slots);
        let cold = self.cold.as_ref();
        let cold_ms = cold.map_or(0.0, |cold| cold.wait_ms(now, waiting as usize));
        (f64::from(beyond) * self.service_ms / f64::from(self.slots)).max(cold_ms)
    }

    // Returns the time that a job may wait for a slot of a plain backend server, in milliseconds.
    pub(super) fn slot_max_wait_ms(&self, now: time::Duration, job: &Job) -> f64 {
        job.left_ms(now) - OWN_SERVICE_TIMES * self.service_ms
    }

    // Returns the time that a job with this many tokens to read may wait for an engine, in
    // milliseconds.
    pub(super) fn engine_max_wait_ms(
        &self,
        now: time::Duration,
        job: &Job,
        tokens: f64,
        below_share: bool,
    ) -> f64 {
        let needs_ms = self.prefill.prefill_ms(tokens) + self.prefill.base_ms();
        job.max_wait_ms(now, needs_ms, below_share)
    }

    // Returns the latest time at which a waiting job may start.
    pub(super) fn start_by(
        &self,
        now: time::Duration,
        job: &Job,
        tokens: f64,
        below_share: bool,
    ) -> time::Duration {
        let max_wait = if self.is_engine {
            self.engine_max_wait_ms(now, job, tokens, below_share) - TYPICAL_AHEAD_MS
        } else {
            job.left_ms(now) - self.service_ms
        };
        now + time::Duration::from_secs_f64(max_wait.max(0.0) / 1e3)
    }

    // Returns whether it is to get new streams from now on, since its version hasn't become known for long.
    pub(super) fn is_unknown_for_long(&self, now: time::Duration) -> bool {
        !self.begins_streams && now >= self.added_at + MAX_UNKNOWN_TIME
    }

    // Forgets cached prompt parts that were not used for long.
    pub(super) fn sweep_parts(&mut self, now: time::Duration) {
        self.cached_parts
            .retain(|_, at| now < *at + CACHED_PART_LIFETIME);
    }
}
