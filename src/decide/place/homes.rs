//! Homes of prompt parts among the backend servers that get requests.
//!
//! Load pattern: an entry with a tenth of a processor core before thousands of engines. Ranking all
//! of them for each request, in the memory that also holds their queues and loads, took it longer
//! than anything else in the decision. The hashes alone are a few kilobytes, and only the best few
//! are ever used.

use std::collections;

use smallvec::SmallVec;

use super::Job;
use crate::decide::random;
use crate::key;

/// Hashes of the ids of the backend servers that get requests, by service.
#[derive(Debug, Default)]
pub(super) struct Homes(collections::HashMap<u32, Vec<(u64, key::Sidecar)>>);

fn rank(target: u64, hash: u64) -> u64 {
    random::Random::new(target ^ hash).bits()
}

impl Homes {
    pub(super) fn insert(&mut self, service: u32, hash: u64, server: key::Sidecar) {
        self.0.entry(service).or_default().push((hash, server));
    }

    pub(super) fn remove(&mut self, service: u32, server: key::Sidecar) {
        if let Some(servers) = self.0.get_mut(&service) {
            servers.retain(|(_, key)| *key != server);
        }
    }

    // Returns the backend server with the greatest hash of a target and its id, without those that
    // the job excludes.
    pub(super) fn home(&self, job: &Job, target: u64) -> Option<key::Sidecar> {
        let mut best = None;
        for (hash, server) in self.0.get(&job.service)? {
            let rank = rank(target, *hash);
            // Few are better than all before them, so that few are looked up among the excluded.
            if best.is_none_or(|(best, _)| rank > best) && !job.excluded.contains(server) {
                best = Some((rank, *server));
            }
        }
        best.map(|(_, server)| server)
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

    fn ranked<'a>(
        &'a self,
        job: &'a Job,
        target: u64,
    ) -> impl Iterator<Item = (u64, key::Sidecar)> + 'a {
        let servers = self.0.get(&job.service).into_iter().flatten();
        let usable = servers.filter(|(_, server)| !job.excluded.contains(server));
        usable.map(move |(hash, server)| (rank(target, *hash), *server))
    }
}
