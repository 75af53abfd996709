//! Homes of prompt parts among the backend servers that get requests.
//!
//! Load pattern: an entry with a tenth of a processor core before thousands of engines, which ranks
//! them all for each request. What the ranks depend on is kept here, apart from queues and loads, so
//! that it fits into the processor's caches.

use std::collections;

use smallvec::SmallVec;

use super::{Job, Server};
use crate::decide::{binding, random};
use crate::key;

/// Hashes of the ids of the backend servers that get requests, by service.
#[derive(Debug, Default)]
pub(super) struct Homes(collections::HashMap<u32, Vec<Candidate>>);

#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    server: key::Sidecar,
    version: binding::Version,
    begins_streams: bool,
    weight: f64,
}

fn rank(target: u64, hash: u64) -> u64 {
    random::Random::new(target ^ hash).bits()
}

// Weighted rendezvous hashing: a backend server has the greatest rank for a share of the targets
// in proportion to its weight, and a change of its weight moves no targets between the others.
fn weighted_rank(target: u64, candidate: &Candidate) -> u64 {
    let unit = (rank(target, candidate.hash) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    let score = candidate.weight / -unit.ln().min(-f64::MIN_POSITIVE);
    // The bits of positive numbers are in the order of the numbers.
    score.to_bits()
}

fn rank_by(candidates: &[Candidate]) -> fn(u64, &Candidate) -> u64 {
    if is_weighted(candidates) {
        weighted_rank
    } else {
        |target, candidate| rank(target, candidate.hash)
    }
}

fn is_weighted(candidates: &[Candidate]) -> bool {
    let first = candidates.first().map_or(1.0, |c| c.weight);
    candidates
        .iter()
        .any(|c| (c.weight - first).abs() > f64::EPSILON)
}

fn avoids_unknown(job: &Job, candidates: &[Candidate]) -> bool {
    let begins = job.is_resumable && job.version.is_none();
    begins && candidates.iter().any(|c| c.begins_streams)
}

fn is_usable(job: &Job, candidate: &Candidate, avoids_unknown: bool) -> bool {
    job.accepts(candidate.version)
        && (candidate.begins_streams || !avoids_unknown)
        && !job.excluded.contains(&candidate.server)
}

// Among candidates of one weight the order is that of their hashes, so only the first of each weight
// are compared by weight, which takes a logarithm.
fn weighted_home(candidates: &[Candidate], job: &Job, target: u64) -> Option<key::Sidecar> {
    let mut best: SmallVec<[(u64, &Candidate); 4]> = SmallVec::new();
    let avoids_unknown = avoids_unknown(job, candidates);
    for candidate in candidates {
        let rank = rank(target, candidate.hash);
        let weight = candidate.weight.to_bits();
        let known = best.iter_mut().find(|(_, c)| c.weight.to_bits() == weight);
        match known {
            Some((highest, _)) if rank <= *highest => {}
            _ if !is_usable(job, candidate, avoids_unknown) => {}
            Some(known) => *known = (rank, candidate),
            None => best.push((rank, candidate)),
        }
    }
    let first = best.iter().map(|(_, c)| *c);
    let first = first.max_by_key(|c| weighted_rank(target, c));
    first.map(|c| c.server)
}

impl Homes {
    pub(super) fn insert(&mut self, at: key::Sidecar, server: &Server) {
        let candidate = Candidate {
            hash: server.hash,
            server: at,
            version: server.version,
            begins_streams: server.begins_streams,
            weight: server.speed.weight(),
        };
        self.0.entry(server.service).or_default().push(candidate);
    }

    pub(super) fn remove(&mut self, service: u32, server: key::Sidecar) {
        if let Some(servers) = self.0.get_mut(&service) {
            servers.retain(|c| c.server != server);
        }
    }

    // Returns whether a request avoids backend servers whose versions aren't known, since there are others.
    pub(super) fn avoids_unknown(&self, job: &Job) -> bool {
        let servers = self.0.get(&job.service);
        servers.is_some_and(|servers| avoids_unknown(job, servers))
    }

    // Returns whether backend servers of several versions get requests of the service.
    pub(super) fn are_mixed(&self, service: u32) -> bool {
        let servers = self.0.get(&service).map_or(&[][..], Vec::as_slice);
        let first = servers.first().map(|c| c.version);
        servers.iter().any(|c| Some(c.version) != first)
    }

    // Sets the weight of a backend server, in proportion to which it is the home of prompt parts.
    pub(super) fn set_weight(&mut self, service: u32, server: key::Sidecar, weight: f64) {
        let candidates = self.0.get_mut(&service).into_iter().flatten();
        for candidate in candidates.filter(|c| c.server == server) {
            candidate.weight = weight;
        }
    }

    // Lets new streams begin at a backend server though its version isn't known.
    pub(super) fn set_begins_streams(&mut self, service: u32, server: key::Sidecar) {
        let candidates = self.0.get_mut(&service).into_iter().flatten();
        for candidate in candidates.filter(|c| c.server == server) {
            candidate.begins_streams = true;
        }
    }

    // Returns the backend server with the greatest hash of a target and its id, by weight, without
    // those that the job excludes.
    pub(super) fn home(&self, job: &Job, target: u64) -> Option<key::Sidecar> {
        let candidates = self.0.get(&job.service)?;
        if is_weighted(candidates) {
            return weighted_home(candidates, job, target);
        }
        let mut best = None;
        let avoids_unknown = avoids_unknown(job, candidates);
        for candidate in candidates {
            let rank = rank(target, candidate.hash);
            // Few are better than all before them, so that few are looked up among the excluded.
            let is_first = best.is_none_or(|(best, _)| rank > best);
            if is_first && is_usable(job, candidate, avoids_unknown) {
                best = Some((rank, candidate.server));
            }
        }
        best.map(|(_, server)| server)
    }

    // Returns the home among the backend servers that a new stream avoids.
    pub(super) fn avoided(&self, job: &Job) -> Option<key::Sidecar> {
        let candidates = self.0.get(&job.service)?;
        if !avoids_unknown(job, candidates) {
            return None;
        }
        let is_avoided = |c: &&Candidate| !c.begins_streams && is_usable(job, c, false);
        let target = job.home_target().unwrap_or_default();
        let avoided = candidates.iter().filter(is_avoided);
        avoided
            .max_by_key(|c| rank(target, c.hash))
            .map(|c| c.server)
    }

    // Returns the first homes in order of preference.
    pub(super) fn first(
        &self,
        job: &Job,
        target: u64,
        count: usize,
    ) -> SmallVec<[key::Sidecar; 4]> {
        let mut ranked: Vec<_> = self.ranked(job, target).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, server)| server).collect()
    }

    // Returns the usable homes with their ranks, in no order.
    pub(super) fn ranked<'a>(
        &'a self,
        job: &'a Job,
        target: u64,
    ) -> impl Iterator<Item = (u64, key::Sidecar)> + 'a {
        let candidates = self.0.get(&job.service).map_or(&[][..], Vec::as_slice);
        let rank = rank_by(candidates);
        let avoids_unknown = avoids_unknown(job, candidates);
        let usable = candidates.iter();
        let usable = usable.filter(move |c| is_usable(job, c, avoids_unknown));
        usable.map(move |c| (rank(target, c), c.server))
    }
}
