//! Choice of the sidecars that get a ticket for a request.
//!
//! Load patterns: prompts that share a prefix are several times cheaper where the prefix is cached;
//! one prefix may be hot enough to fill a backend server; load reports are late; many entries
//! decide at once. Without affinity, caches thrash. With affinity alone, a hot prefix queues at one
//! backend server beside idle ones. With "least loaded", all entries pick the same sidecar until
//! its next report.
//!
//! Tickets therefore go to the first sidecars on a hash ring whose load is within a bound of the
//! mean (consistent hashing with bounded loads, Mirrokni, Thorup & Zadimoghaddam, SODA 2018). The
//! remaining tickets go to the better of two random choices, with noise that grows with the age of
//! the load report (Mitzenmacher, "How useful is old information?", 2000). If no preferred sidecar
//! has room, an idle one that asked for work comes first, so affinity never keeps a slot idle.

use std::{collections, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{health, random};
use crate::key;

/// Maximum load of a preferred sidecar above the mean, as a fraction of the mean. A quarter keeps
/// nearly all cache hits, and the most loaded sidecar waits a quarter longer than the mean.
pub const LOAD_BOUND: f64 = 0.25;
/// Points of each sidecar on the ring. With 16 points, shares differ by about a quarter
/// (1/sqrt(16)), which the load bound evens out; 910 sidecars take 230 KB.
const RING_POINTS: u32 = 16;
/// Maximum number of ring points visited, starting at the prefix's position.
const MAX_RING_STEPS: usize = 64;
/// Age at which a load report carries no more information: ten heartbeats.
pub const STALE_AFTER: time::Duration = time::Duration::from_secs(5);
/// Time for which a sidecar's request for work is valid. The sidecar repeats it sooner.
pub const WANT_LIFETIME: time::Duration = time::Duration::from_millis(500);
/// Cost of a hop to another zone, in load units (full windows). A hop takes a millisecond and a
/// slot is occupied for seconds, so it only decides between sidecars of similar load.
const ZONE_COST: f64 = 0.05;
/// Cost of a sidecar that is slow or on probation, in load units (full windows). It is used when
/// the others have a queue as long as their window.
const UNFIT_COST: f64 = 1.0;
/// Number of prefixes per generation whose holders are remembered; there are two generations.
const MAX_PREFIXES: usize = 8_192;

/// A sidecar that serves the table's model.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the sidecar.
    pub key: key::Sidecar,
    /// Hash of its identity, the same in every process.
    pub hash: u64,
    /// 0 in the same zone, 1 in the same region, 2 in another region.
    pub zone_distance: u8,
    /// Number of requests it runs at once.
    pub window: u32,
    /// Number of requests that ran at its last report.
    pub running: u32,
    /// Number of tickets that waited at its last report.
    pub waiting: u32,
    /// Time of its last report.
    pub reported_at: time::Duration,
    /// Health state.
    pub state: health::State,
    /// True if the sidecar is leaving and takes no new tickets.
    pub is_leaving: bool,
}

/// A request that needs tickets.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Hash of the prompt's prefix; 0 if there is none.
    pub prefix_hash: u64,
    /// Sidecars at which the request was already attempted.
    pub tried: &'a [key::Sidecar],
    /// Number of tickets wanted.
    pub tickets: usize,
}

#[derive(Clone, Copy, Debug)]
struct Target {
    candidate: Candidate,
    /// Tickets sent that no load report contains yet.
    unreported_tickets: f64,
    idle_slots: u32,
    idle_reported_at: time::Duration,
    /// Incremented when cache events were missed, which invalidates what was known of the cache.
    cache_epoch: u32,
}

type Holders = SmallVec<[(key::Sidecar, u32); 2]>;

/// The sidecars that serve one model of one service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    targets: Vec<Target>,
    at: slotmap::SecondaryMap<key::Sidecar, usize>,
    ring: Vec<(u64, key::Sidecar)>,
    load: f64,
    window: f64,
    idle_sidecars: collections::VecDeque<key::Sidecar>,
    recent_holders: collections::HashMap<u64, Holders>,
    older_holders: collections::HashMap<u64, Holders>,
}

impl Target {
    fn load(&self) -> f64 {
        f64::from(self.candidate.running)
            + f64::from(self.candidate.waiting)
            + self.unreported_tickets
    }

    fn window(&self) -> f64 {
        f64::from(self.candidate.window.max(1))
    }

    fn is_eligible(&self, request: &Request<'_>) -> bool {
        let c = &self.candidate;
        c.state.is_usable() && !c.is_leaving && c.window > 0 && !request.tried.contains(&c.key)
    }

    fn has_room(&self) -> bool {
        self.load() < self.window()
    }
}

impl Table {
    /// Adds a sidecar or updates it.
    pub fn add(&mut self, candidate: Candidate) {
        if let Some(at) = self.at.get(candidate.key).copied() {
            self.update_at(at, |target| {
                // Tickets that were in transit when the report was written are not in it yet.
                target.unreported_tickets /= 2.0;
                target.candidate = candidate;
            });
            return;
        }
        self.at.insert(candidate.key, self.targets.len());
        self.targets.push(Target {
            candidate,
            unreported_tickets: 0.0,
            idle_slots: 0,
            idle_reported_at: time::Duration::ZERO,
            cache_epoch: 0,
        });
        let target = self.targets.len() - 1;
        self.load += self.targets[target].load();
        self.window += self.targets[target].window();
        let points = (0..RING_POINTS).map(|n| (ring_point(candidate.hash, n), candidate.key));
        self.ring.extend(points);
        self.ring
            .sort_unstable_by_key(|(ring_point, _)| *ring_point);
    }

    /// Removes a sidecar.
    pub fn remove(&mut self, key: key::Sidecar) {
        let Some(at) = self.at.remove(key) else {
            return;
        };
        let target = self.targets.swap_remove(at);
        self.load -= target.load();
        self.window -= target.window();
        if let Some(moved) = self.targets.get(at) {
            self.at.insert(moved.candidate.key, at);
        }
        self.ring.retain(|(_, other)| *other != key);
    }

    /// Sets the health state of a sidecar.
    pub fn set_state(&mut self, key: key::Sidecar, state: health::State) {
        self.update(key, |target| target.candidate.state = state);
    }

    /// Sets whether a sidecar leaves.
    pub fn set_leaving(&mut self, key: key::Sidecar, is_leaving: bool) {
        self.update(key, |target| target.candidate.is_leaving = is_leaving);
    }

    /// Records that a sidecar has idle slots and no tickets.
    pub fn on_idle_slots(&mut self, now: time::Duration, key: key::Sidecar, slots: u32) {
        let queued = self.idle_sidecars.contains(&key);
        self.update(key, |target| {
            target.idle_slots = slots;
            target.idle_reported_at = now;
        });
        if !queued && self.at.contains_key(key) {
            self.idle_sidecars.push_back(key);
        }
    }

    /// Records that a sidecar caches a prefix, after its cache event or after it ran a request with
    /// that prefix.
    pub fn on_prefix_cached(&mut self, prefix_hash: u64, key: key::Sidecar) {
        let Some(cache_epoch) = self.at.get(key).map(|at| self.targets[*at].cache_epoch) else {
            return;
        };
        if self.recent_holders.len() >= MAX_PREFIXES {
            self.older_holders = std::mem::take(&mut self.recent_holders);
        }
        let holders = self.recent_holders.entry(prefix_hash).or_default();
        holders.retain(|(other, _)| *other != key);
        holders.truncate(1);
        holders.insert(0, (key, cache_epoch));
    }

    /// Records that a sidecar evicted a prefix.
    pub fn on_prefix_evicted(&mut self, prefix_hash: u64, key: key::Sidecar) {
        for generation in [&mut self.recent_holders, &mut self.older_holders] {
            if let Some(holders) = generation.get_mut(&prefix_hash) {
                holders.retain(|(other, _)| *other != key);
            }
        }
    }

    /// Invalidates what is known of a sidecar's cache after cache events were missed.
    pub fn on_cache_events_missed(&mut self, key: key::Sidecar) {
        self.update(key, |target| target.cache_epoch += 1);
    }

    /// Returns the sidecars that get a ticket, the preferred one first. Empty if no sidecar is
    /// eligible.
    pub fn choose(
        &mut self,
        now: time::Duration,
        request: &Request<'_>,
        rng: &mut random::Random,
    ) -> SmallVec<[key::Sidecar; 4]> {
        let mut chosen = SmallVec::<[usize; 4]>::new();
        if request.prefix_hash != 0 {
            self.push_preferred(request, &mut chosen);
        }
        if !chosen.iter().any(|at| self.targets[*at].has_room()) {
            self.push_idle(now, request, &mut chosen);
        }
        while chosen.len() < request.tickets {
            let Some(at) = self.better_of_two(now, request, &chosen, rng) else {
                break;
            };
            chosen.push(at);
        }
        for at in &chosen {
            self.update_at(*at, |target| target.unreported_tickets += 1.0);
        }
        chosen
            .iter()
            .map(|at| self.targets[*at].candidate.key)
            .collect()
    }

    /// Adds sidecars with affinity whose load is within the bound: first those known to hold the
    /// prefix, then in ring order, which all entries share without exchanging messages.
    fn push_preferred(&self, request: &Request<'_>, chosen: &mut SmallVec<[usize; 4]>) {
        let holders = self
            .recent_holders
            .get(&request.prefix_hash)
            .or_else(|| self.older_holders.get(&request.prefix_hash));
        for (key, cache_epoch) in holders.into_iter().flatten() {
            if let Some(at) = self.at.get(*key).copied()
                && self.targets[at].cache_epoch == *cache_epoch
            {
                self.push_if_eligible(at, request, chosen);
            }
        }
        let start = self
            .ring
            .partition_point(|(ring_point, _)| *ring_point < request.prefix_hash);
        let (before, after) = self.ring.split_at(start);
        for (_, key) in after.iter().chain(before).take(MAX_RING_STEPS) {
            if chosen.len() >= request.tickets {
                return;
            }
            self.push_if_eligible(self.at[*key], request, chosen);
        }
    }

    fn push_if_eligible(
        &self,
        at: usize,
        request: &Request<'_>,
        chosen: &mut SmallVec<[usize; 4]>,
    ) {
        let target = &self.targets[at];
        let fit = target.candidate.state == health::State::Healthy && target.is_eligible(request);
        if fit
            && self.within_bound(target)
            && !chosen.contains(&at)
            && chosen.len() < request.tickets
        {
            chosen.push(at);
        }
    }

    fn within_bound(&self, target: &Target) -> bool {
        let mean = self.load / self.window.max(1.0);
        // One request above the bound is always allowed, like the ceiling in the paper.
        target.load() <= mean * (1.0 + LOAD_BOUND) * target.window() + 1.0
    }

    /// Adds the sidecar that asked for work first and is still idle.
    fn push_idle(
        &mut self,
        now: time::Duration,
        request: &Request<'_>,
        chosen: &mut SmallVec<[usize; 4]>,
    ) {
        for _ in 0..self.idle_sidecars.len() {
            let Some(key) = self.idle_sidecars.pop_front() else {
                return;
            };
            let Some(at) = self.at.get(key).copied() else {
                continue;
            };
            let target = &mut self.targets[at];
            if target.idle_slots == 0 || target.idle_reported_at + WANT_LIFETIME < now {
                continue;
            }
            if !target.is_eligible(request) || chosen.contains(&at) {
                self.idle_sidecars.push_back(key);
                continue;
            }
            target.idle_slots -= 1;
            if target.idle_slots > 0 {
                self.idle_sidecars.push_front(key);
            }
            chosen.push(at);
            return;
        }
    }

    fn better_of_two(
        &self,
        now: time::Duration,
        request: &Request<'_>,
        chosen: &[usize],
        rng: &mut random::Random,
    ) -> Option<usize> {
        let first = self.random_fit(request, chosen, rng)?;
        let second = self.random_fit(request, chosen, rng)?;
        let mut cost = |at: usize| self.cost(now, &self.targets[at], rng);
        let (a, b) = (cost(first), cost(second));
        Some(if b < a { second } else { first })
    }

    fn cost(&self, now: time::Duration, target: &Target, rng: &mut random::Random) -> f64 {
        let age = now
            .saturating_sub(target.candidate.reported_at)
            .as_secs_f64();
        let staleness = (age / STALE_AFTER.as_secs_f64()).min(1.0);
        let mean = self.load / self.window.max(1.0);
        // Among full sidecars a shorter queue is no better: the first one with room claims the
        // request, and an even spread of tickets keeps the order between customers fair everywhere.
        let load = (target.load() / target.window()).min(1.0);
        let mean = mean.min(1.0);
        // The older the report, the more weight the mean gets and the more random the choice is.
        let expected_load = load + staleness * (mean - load) + staleness * rng.unit();
        let unfit = if target.candidate.state == health::State::Healthy {
            0.0
        } else {
            UNFIT_COST
        };
        expected_load + unfit + ZONE_COST * f64::from(target.candidate.zone_distance)
    }

    /// Returns a random eligible sidecar.
    fn random_fit(
        &self,
        request: &Request<'_>,
        chosen: &[usize],
        rng: &mut random::Random,
    ) -> Option<usize> {
        let n = self.targets.len();
        let is_eligible =
            |at: &usize| self.targets[*at].is_eligible(request) && !chosen.contains(at);
        // Usually the first guess is eligible; the scan covers fleets with few eligible sidecars.
        for _ in 0..8 {
            let at = rng.below(n);
            if at < n && is_eligible(&at) {
                return Some(at);
            }
        }
        let start = rng.below(n);
        (start..n).chain(0..start).find(is_eligible)
    }

    fn update(&mut self, key: key::Sidecar, change: impl FnOnce(&mut Target)) {
        if let Some(at) = self.at.get(key).copied() {
            self.update_at(at, change);
        }
    }

    fn update_at(&mut self, at: usize, change: impl FnOnce(&mut Target)) {
        let target = &mut self.targets[at];
        self.load -= target.load();
        self.window -= target.window();
        change(target);
        self.load += target.load();
        self.window += target.window();
    }
}

fn ring_point(hash: u64, n: u32) -> u64 {
    xxh3::xxh3_64_with_seed(&n.to_le_bytes(), hash)
}
