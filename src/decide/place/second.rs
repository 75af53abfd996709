//! Places requests by what they cost at each of a few backend servers, instead of always at the
//! home of their shared prompt part.
//!
//! Load pattern: one engine is full and others are idle. A short request is refused at its home,
//! although reading its shared part again elsewhere takes a few milliseconds; a part that many ask
//! for has all of its requests at one engine; and customers with few requests lose them wherever a
//! flood has filled their homes.
//!
//! A cost is the time to the first event: the expected wait, reading what isn't cached there or
//! fetching it, and the round trip across zones. Loads of engines that other entries decide about
//! are as old as heartbeats, and all entries see the same: a request leaves its home with a
//! probability that grows with what it saves, so that they don't all leave at once, and only the
//! deciding entry's refusal counts where loads are older than the requests' objective allows.

use std::time;

use smallvec::SmallVec;

use super::{Fleet, Job, Server};
use crate::decide::{prefill, random};
use crate::key;

/// Part of the objective in which a light request's shared part is read or fetched again. Moving
/// such a request costs its caller and the fleet next to nothing.
const LIGHT_SHARE: f64 = 0.02;

/// A customer served less than this part of the best served customer's service is small. What its
/// long parts cost to read again is little beside what the others are served.
const SMALL_SHARE: f64 = 0.25;

/// A customer that is not below its share, and was served less than this part of its demand, floods
/// the fleet. Other places would only give it more.
const FLOOD_SHARE: f64 = 0.8;

/// Ratio of the time to fetch a token to the time to read it under which fetching is nearly free.
const MAX_CHEAP_FETCH_RATIO: f64 = 1.0 / 32.0;

/// Number of homes after the first, by the same hash, that are considered.
const FURTHER_HOMES: usize = 2;

/// Number of homes in the entry's own availability zone that are considered.
const NEAR_HOMES: usize = 1;

/// The same for light requests.
const LIGHT_NEAR_HOMES: usize = 3;

/// Round trip to another availability zone, in milliseconds.
const ZONE_TRIP_MS: f64 = 3.0;

/// Part of the objective up to which loads may be old. Later an engine has read what it had.
const MAX_LOAD_AGE_SHARE: f64 = 0.5;

/// Expected wait under which an engine has room at once, in milliseconds: the length of a step.
const IDLE_MS: f64 = 25.0;

/// What a request costs at a backend server, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Cost {
    /// Expected wait until the engine reads its prompt.
    wait_ms: f64,
    /// Time to its first event: the wait, reading or fetching what the engine has not cached, and
    /// the round trip across availability zones.
    total_ms: f64,
}

impl Cost {
    fn is_idle(self) -> bool {
        self.wait_ms < IDLE_MS
    }
}

/// Why a request may leave its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its shared part takes next to no time elsewhere.
    Light,
    /// Its customer gets little of the fleet.
    Small,
    /// Both.
    LightAndSmall,
}

impl Reason {
    fn is_light(self) -> bool {
        self != Self::Small
    }

    fn is_small(self) -> bool {
        self != Self::Light
    }
}

impl Fleet {
    /// Sets the time in which engines of a service fetch a token from each other, in milliseconds;
    /// 0 if it isn't known.
    pub fn set_fetch_time(&mut self, service: u32, ms_per_token: f64) {
        self.fetch_ms.insert(service, ms_per_token);
    }

    /// Sets the age that the loads reported by peers reach before newer ones arrive.
    pub fn set_load_age(&mut self, age: time::Duration) {
        self.load_age = age;
    }

    // Returns the backend server that a request should go to instead of its home, if it costs less
    // there.
    pub(super) fn second_by(
        &self,
        now: time::Duration,
        job: &Job,
        random: &mut random::Random,
    ) -> Option<key::Sidecar> {
        let reason = self.reason_to_leave(now, job)?;
        if !self.has_fresh_loads(job) {
            return None;
        }
        let home = self.first_home(job)?;
        if job.excluded.contains(&home) {
            return None;
        }
        let at_home = self.cost(now, job, home, home);
        let is_in_time = at_home.total_ms <= job.left_ms(now);
        if at_home.is_idle() || (is_in_time && !reason.is_light()) {
            return None;
        }
        let (second, cost) = self.cheapest(now, job, home, reason)?;
        // Light requests are many, and other entries choose by the same loads.
        let saved = 1.0 - cost.total_ms / at_home.total_ms;
        (!reason.is_light() || random.unit() < saved).then_some(second)
    }

    /// Returns the backend server to try once more after the first one has refused a request.
    pub fn second_after_refusal(&self, now: time::Duration, job: &Job) -> Option<key::Sidecar> {
        let reason = self.reason_to_leave(now, job)?;
        let home = self.first_home(job)?;
        if self.has_fresh_loads(job) {
            return self.cheapest(now, job, home, reason).map(|(at, _)| at);
        }
        // Nothing is known about their loads: the nearest may be as good as any.
        let order = self.places(job, home, reason);
        let near = order.iter().find(|at| self.servers[**at].is_near);
        near.or(order.first()).copied()
    }

    /// Records that an engine gets a request, by whichever entry's decision, and caches its shared
    /// parts.
    pub fn record_placed(&mut self, now: time::Duration, job: &Job, at: key::Sidecar) {
        let Some(server) = self.servers.get_mut(at).filter(|s| s.is_engine) else {
            return;
        };
        if self.features.second_homes || self.features.near_homes {
            let chains = job.parts.iter().rev().skip(1).map(|part| part.chain);
            server.cached_parts.extend(chains.map(|chain| (chain, now)));
        }
    }

    // Returns what a request costs at a backend server that it may go to instead of its home, in
    // milliseconds.
    pub(super) fn second_home_ms(
        &self,
        now: time::Duration,
        job: &Job,
        at: key::Sidecar,
    ) -> Option<f64> {
        let reason = self.reason_to_leave(now, job)?;
        let home = self.first_home(job)?;
        let places = self.places(job, home, reason);
        let is_place = at != home && places.contains(&at);
        is_place.then(|| self.cost(now, job, at, home).total_ms)
    }

    fn has_fresh_loads(&self, job: &Job) -> bool {
        self.load_age <= job.objective.mul_f64(MAX_LOAD_AGE_SHARE)
    }

    // Returns the engine that a request without excluded backend servers goes to.
    fn first_home(&self, job: &Job) -> Option<key::Sidecar> {
        let job = Job {
            excluded: SmallVec::new(),
            ..job.clone()
        };
        let home = self.home_target_engine(&job)?;
        self.servers[home].is_engine.then_some(home)
    }

    fn reason_to_leave(&self, now: time::Duration, job: &Job) -> Option<Reason> {
        // A suspect's tries have to meet, and a bound stream has its own way after a refusal.
        let is_free = job.suspect.is_none() && job.version.is_none();
        if !self.features.second_homes || !is_free {
            return None;
        }
        let is_light = self.is_light(job);
        if self.served_share(now, job.customer) < SMALL_SHARE {
            let both = if is_light {
                Reason::LightAndSmall
            } else {
                Reason::Small
            };
            return Some(both);
        }
        (is_light && !self.is_flooding(now, job.customer)).then_some(Reason::Light)
    }

    // Returns the first home of a part for a request that was refused at its near home, if it is in
    // time there as far as this entry knows. A customer that floods the fleet gets one home.
    pub(super) fn first_home_with_room(
        &self,
        now: time::Duration,
        job: &Job,
        near: key::Sidecar,
    ) -> Option<key::Sidecar> {
        let first = self.first_home_after_near(job, near)?;
        let is_in_time = || self.cost(now, job, first, first).total_ms <= job.left_ms(now);
        let may_be_in_time = !self.has_fresh_loads(job) || is_in_time();
        (may_be_in_time && !self.is_flooding(now, job.customer)).then_some(first)
    }

    // Returns the first home of a request that waits less there than at its near home: with the
    // probability of the part of the wait that it saves, since other entries see the same loads.
    pub(super) fn spills(
        &self,
        now: time::Duration,
        job: &Job,
        near: key::Sidecar,
        random: &mut random::Random,
    ) -> Option<key::Sidecar> {
        let first = self.first_home_after_near(job, near)?;
        let at_near = self.cost(now, job, near, near);
        if at_near.is_idle() || !self.has_fresh_loads(job) {
            return None;
        }
        let at_first = self.cost(now, job, first, first);
        let saved = 1.0 - at_first.wait_ms / at_near.wait_ms;
        (random.unit() < saved).then_some(first)
    }

    fn is_flooding(&self, now: time::Duration, customer: key::Customer) -> bool {
        let demand = self.recent_demand.fleet_service(now, customer);
        let served = self.recent_service.fleet_service(now, customer);
        !self.is_below_share(now, customer) && served < FLOOD_SHARE * demand
    }

    fn is_light(&self, job: &Job) -> bool {
        let objective = job.objective.as_secs_f64() * 1e3;
        let read_ms = prefill::Estimate::default().prefill_ms(1.0);
        let fetch_ms = self.cheap_fetch_ms_per_token(job);
        shared_tokens(job) * fetch_ms.unwrap_or(read_ms) <= LIGHT_SHARE * objective
    }

    // Returns whether a part is fetched in next to no time beside reading it.
    pub(super) fn is_fetch_cheap(&self, job: &Job) -> bool {
        self.cheap_fetch_ms_per_token(job).is_some()
    }

    fn cheap_fetch_ms_per_token(&self, job: &Job) -> Option<f64> {
        let read_ms = prefill::Estimate::default().prefill_ms(1.0);
        let fetch_ms = self.fetch_ms_per_token(job);
        fetch_ms.filter(|ms| *ms < MAX_CHEAP_FETCH_RATIO * read_ms)
    }

    // Returns the time to fetch a token, unless nothing can be fetched.
    fn fetch_ms_per_token(&self, job: &Job) -> Option<f64> {
        let ms = self.fetch_ms.get(&job.service).copied()?;
        (ms > 0.0 && !self.homes.are_mixed(job.service)).then_some(ms)
    }

    fn places(&self, job: &Job, home: key::Sidecar, reason: Reason) -> SmallVec<[key::Sidecar; 8]> {
        let Some(target) = job.home_target() else {
            return SmallVec::new();
        };
        let near = if reason.is_light() {
            LIGHT_NEAR_HOMES
        } else {
            NEAR_HOMES
        };
        let mut chosen = first(self.homes.ranked(job, target), 1 + FURTHER_HOMES);
        let is_near = |(_, at): &(u64, key::Sidecar)| self.servers[*at].is_near;
        for at in first(self.homes.ranked(job, target).filter(is_near), near) {
            if !chosen.contains(&at) {
                chosen.push(at);
            }
        }
        // A request that comes back from elsewhere may still go home.
        chosen.retain(|at| !job.excluded.contains(at) && (*at != home || !job.excluded.is_empty()));
        chosen
    }

    // Returns the backend server besides the home where a request costs least, if it is in time
    // there. Customers that are not small only use places that others don't wait for.
    fn cheapest(
        &self,
        now: time::Duration,
        job: &Job,
        home: key::Sidecar,
        reason: Reason,
    ) -> Option<(key::Sidecar, Cost)> {
        let order = self.places(job, home, reason);
        let costs = order.iter().map(|at| (*at, self.cost(now, job, *at, home)));
        let usable = costs.filter(|(_, cost)| {
            cost.total_ms <= job.left_ms(now) && (reason.is_small() || cost.is_idle())
        });
        usable.min_by(|(_, a), (_, b)| a.total_ms.total_cmp(&b.total_ms))
    }

    fn cost(&self, now: time::Duration, job: &Job, at: key::Sidecar, home: key::Sidecar) -> Cost {
        let server = &self.servers[at];
        let speed = tokens_per_ms(server);
        let recent = self.recent_service.fleet_service(now, job.customer);
        // Queues serve the customer with the least service first.
        let is_behind = server
            .peers
            .least_service
            .is_some_and(|least| least <= recent);
        let queued = if is_behind {
            server.peers.queued_tokens
        } else {
            0.0
        };
        let own_wait_ms = server.wait_ms(now, job, &self.recent_service);
        let sent_tokens = server.unread_tokens() + queued;
        let own_tokens = job.parts.last().map_or(0.0, |part| f64::from(part.tokens));
        let uncached = if at == home {
            0.0
        } else {
            (server.uncached_tokens(now, job) - own_tokens).max(0.0)
        };
        let token_ms = self
            .fetch_ms_per_token(job)
            .map_or(1.0 / speed, |ms| ms.min(1.0 / speed));
        let trip_ms = if server.is_near { 0.0 } else { ZONE_TRIP_MS };
        let read_ms = own_tokens / speed + uncached * token_ms + server.prefill.base_ms();
        let wait_ms = own_wait_ms.max(sent_tokens / speed);
        Cost {
            wait_ms,
            total_ms: wait_ms + read_ms + trip_ms,
        }
    }
}

// Returns those with the greatest ranks, in order.
fn first(
    ranked: impl Iterator<Item = (u64, key::Sidecar)>,
    count: usize,
) -> SmallVec<[key::Sidecar; 8]> {
    let mut best: SmallVec<[(u64, key::Sidecar); 4]> = SmallVec::new();
    for (rank, at) in ranked {
        let place = best.partition_point(|(other, _)| *other > rank);
        if place < count {
            best.insert(place, (rank, at));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, at)| at).collect()
}

fn shared_tokens(job: &Job) -> f64 {
    let shared = job.parts.iter().rev().skip(1);
    shared.map(|part| f64::from(part.tokens)).sum()
}

// Returns the reading speed that the deciding entry has learned, or the one seen here.
fn tokens_per_ms(server: &Server) -> f64 {
    let learned = server.speed.reading_tokens_per_ms(server.prefill.base_ms());
    learned.unwrap_or_else(|| server.prefill.tokens(1.0))
}
