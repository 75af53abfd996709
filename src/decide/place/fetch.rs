//! Finds an engine from which another engine can fetch prompt parts that it has not cached.
//!
//! Load pattern: backend servers come and go while the fleet is full. Each one that leaves, is
//! evacuated or returns moves the prompt parts that have their home there, and all of these are
//! read again just when capacity is lowest. An engine can fetch cached parts from another engine
//! in a fraction of the time that reading them takes.
//!
//! Engines don't announce what they cache. But all entries derive homes from the same hashes: if a
//! part's home gets no new requests any more, the part is still cached there; if its home joined
//! recently, the part is cached at the next engine in order that was there before, which was its
//! home until then.

use std::time;

use super::{Fleet, Job, Server, State};
use crate::decide::random;
use crate::key;

/// Ratio of the time to fetch a token to the time to read it.
pub(super) const FETCH_TIME_RATIO: f64 = 0.25;

/// Minimum time between two joins for the earlier engine to have read the later one's parts. Below
/// it, both joined with the same list.
const MIN_JOIN_GAP: time::Duration = time::Duration::from_millis(500);

impl Fleet {
    // Returns the engine that was the home of a part before weights moved it to another one.
    fn home_before_weights(&self, job: &Job, part: u64, at: key::Sidecar) -> Option<key::Sidecar> {
        if !self.homes.are_weighted(job.service) {
            return None;
        }
        let before = self.homes.unweighted_home(job, part)?;
        let (server, home) = (&self.servers[before], &self.servers[at]);
        let has_moved = before != at && self.homes.home(job, part) == Some(at);
        (has_moved && server.version == home.version).then_some(before)
    }

    // Returns the tokens that an engine has to read for a request, with fetched tokens counted by
    // the time that fetching takes, and the engine to fetch from.
    pub(super) fn reading_cost(
        &self,
        now: time::Duration,
        job: &Job,
        at: key::Sidecar,
    ) -> (f64, Option<key::Sidecar>) {
        let server = &self.servers[at];
        if !server.is_engine {
            return (0.0, None);
        }
        let uncached = server.uncached_tokens(now, job);
        let Some(source) = self.fetch_source(now, job, at) else {
            return (uncached, None);
        };
        let own = job.parts.last().map_or(0.0, |part| f64::from(part.tokens));
        (own + (uncached - own) * FETCH_TIME_RATIO, Some(source))
    }

    /// Returns the engine from which another one should fetch the prompt parts that it has not
    /// cached, if one is likely to have them.
    pub(super) fn fetch_source(
        &self,
        now: time::Duration,
        job: &Job,
        at: key::Sidecar,
    ) -> Option<key::Sidecar> {
        let home = &self.servers[at];
        let part = job.home_part().filter(|_| job.suspect.is_none())?;
        if !home.is_engine || job.parts.len() < 2 || home.has_cached(now, part) {
            return None;
        }
        if let Some(source) = self.near_source(job, at) {
            return Some(source);
        }
        if let Some(source) = self.home_before_weights(job, part, at) {
            return Some(source);
        }
        let rank = |hash: u64| random::Random::new(part ^ hash).bits();
        // Several engines may have joined together: the previous home is the first in order that
        // had joined earlier.
        let was_home = |next: &Server| next.ready_since + MIN_JOIN_GAP < home.ready_since;
        let (mut above, mut below) = (None, None);
        for (key, server) in &self.servers {
            // Nothing says that a version can use what another one has cached.
            let is_like_home = server.service == home.service && server.version == home.version;
            if key == at || !is_like_home || server.state == State::Unusable {
                continue;
            }
            let ranked = Some((rank(server.hash), key));
            above = above.max(ranked);
            if was_home(server) {
                below = below.max(ranked);
            }
        }
        let own = rank(home.hash);
        let above = above.filter(|(rank, _)| *rank > own);
        above.or(below).map(|(_, key)| key)
    }
}
