//! Subsetting: which sidecars an entry keeps links to.
//!
//! Load pattern: 360 entries and 910 sidecars are 327,600 pairs. A heartbeat a second on each link
//! would cost an entry 36 KB/s at 40 bytes, six times the budget of all control traffic. An entry
//! with few links may hold work while sidecars that it does not know are idle. An entry therefore
//! keeps a small, stable subset, spread evenly by rendezvous hashing, which it widens while work
//! waits and shrinks when idle.

use std::time;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Number of links per model of an entry without waiting work. Each sidecar is then known to 360 *
/// 16 * 24 / 910, about 150 entries, if all use all models, and to 6 if each uses one.
pub const MIN_LINKS: usize = 16;
/// Share of the links that go to the entry's own zone first.
pub const ZONE_SHARE: f64 = 0.5;
/// Time for which work waits before the subset doubles: a few round trips and part of a heartbeat
/// interval, so that a burst that the subset can take does not widen it.
pub const WIDEN_AFTER: time::Duration = time::Duration::from_millis(250);
/// Time without waiting work before the subset shrinks by a quarter: longer than the gaps of a
/// bursty load, so that links are not opened and closed with each burst.
pub const SHRINK_AFTER: time::Duration = time::Duration::from_secs(15);

/// A sidecar that may be linked to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its identity.
    pub hash: u64,
    /// True if it is in the entry's zone.
    pub is_same_zone: bool,
}

/// The number of links that an entry wants for one model.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    links: usize,
    /// Time since which work waits, or since which none does.
    since: time::Duration,
    waiting: bool,
}

impl Size {
    /// Creates the size for an entry without waiting work.
    pub fn new(now: time::Duration) -> Self {
        Self {
            links: MIN_LINKS,
            since: now,
            waiting: false,
        }
    }

    /// Updates the size with whether work waits. Returns the number of links wanted, out of `all`
    /// sidecars.
    pub fn update(&mut self, now: time::Duration, waiting: bool, all: usize) -> usize {
        if waiting != self.waiting {
            self.waiting = waiting;
            self.since = now;
        }
        let time = now.saturating_sub(self.since);
        if waiting && time >= WIDEN_AFTER {
            self.links = (self.links * 2).min(all.max(MIN_LINKS));
            self.since = now;
        }
        if !waiting && time >= SHRINK_AFTER {
            self.links = (self.links - self.links / 4).max(MIN_LINKS);
            self.since = now;
        }
        self.links.min(all)
    }
}

/// Returns the positions of the candidates to link to. A larger subset contains each smaller one
/// except for the share of the zone, and adding or removing a candidate changes one position.
pub fn choose(entry: u64, candidates: &[Candidate], links: usize) -> SmallVec<[usize; MIN_LINKS]> {
    let mut order: SmallVec<[(u64, usize); 64]> = candidates
        .iter()
        .enumerate()
        .map(|(at, candidate)| {
            (
                xxh3::xxh3_64_with_seed(&entry.to_le_bytes(), candidate.hash),
                at,
            )
        })
        .collect();
    order.sort_unstable();
    let is_same_zone = (links as f64 * ZONE_SHARE).ceil() as usize;
    let own = order
        .iter()
        .filter(|(_, at)| candidates[*at].is_same_zone)
        .take(is_same_zone);
    let mut chosen: SmallVec<[usize; MIN_LINKS]> = own.map(|(_, at)| *at).collect();
    for (_, at) in &order {
        if chosen.len() >= links {
            break;
        }
        if !chosen.contains(at) {
            chosen.push(*at);
        }
    }
    chosen
}
