//! The entries that decide about backend servers for the whole fleet, and what follows from it for
//! the messages to each peer.

use std::{net, time};

use super::Table;
use crate::decide::{aggregate, random, rotation};
use crate::direct::peer::interval;

/// Percentage of the entries from which on an entry knows enough of them.
const KNOWN_PERCENT: usize = 90;

/// Maximum mean number of children of a decider that only entries of its own zone report to.
const MAX_CHILDREN: usize = 20;

impl Table {
    // Determines the entries that work for the whole fleet. An entry with a fifth of the largest
    // processor capacity doesn't, because it would reply late to the whole fleet while a burst of
    // its own callers keeps it busy. The result is stored, since each decision and each heartbeat
    // uses it.
    pub(super) fn update_strong(&mut self) {
        let accepting = self.alive.iter().filter(|(_, p)| !p.leaving);
        let mut all: Vec<_> = accepting.map(|(a, p)| (*a, p.millicores)).collect();
        all.extend(self.own.map(|own| (own, self.millicores)));
        all.sort_unstable();
        self.accepting = all.len();
        let sends_reports = self.alive.values().all(|p| p.sends_reports);
        self.uses_reports = sends_reports && interval::is_sparse(self.alive.len());
        let max = all.iter().map(|(_, m)| *m).max().unwrap_or(0);
        all.retain(|(_, m)| rotation::is_strong(*m, max));
        self.strong = all.into_iter().map(|(a, _)| a).collect();
        self.second_watcher = self.find_second_watcher();
    }

    /// Returns the other entry that decides about an engine, by the hash of the engine's id; `None`
    /// if this entry decides or the other one is unresponsive. Entries that know the same peers
    /// agree (rendezvous hashing).
    pub fn remote_decider(&self, now: time::Duration, server: u64) -> Option<net::Ipv4Addr> {
        let decider = self.decider(server)?;
        let peer = self.alive.get(&decider)?;
        (now >= peer.unresponsive_until).then_some(decider)
    }

    /// Returns the time since the last heartbeat of a peer; `None` if it is not known.
    pub fn heartbeat_age(
        &self,
        now: time::Duration,
        address: net::Ipv4Addr,
    ) -> Option<time::Duration> {
        let peer = self.alive.get(&address)?;
        Some(now.saturating_sub(peer.heard_at))
    }

    /// Returns whether this entry decides about a backend server, by the hash of its id.
    pub fn is_decider(&self, server: u64) -> bool {
        self.decider(server) == self.own
    }

    fn decider(&self, server: u64) -> Option<net::Ipv4Addr> {
        let rank = |a: &net::Ipv4Addr| random::Random::new(server ^ u64::from(a.to_bits())).bits();
        self.strong.iter().copied().max_by_key(rank)
    }

    /// Returns whether customers' service goes to a few peers by reports instead of to all by
    /// heartbeats: in a large fleet in which every entry sends reports.
    pub fn uses_reports(&self) -> bool {
        self.uses_reports
    }

    /// Returns the addresses of the entries that decide about backend servers, in ascending order;
    /// may include this one.
    pub fn deciders(&self) -> &[net::Ipv4Addr] {
        &self.strong
    }

    /// Returns the decider that this entry reports to: one of its own zone, unless there are too few
    /// of them for the zone's entries.
    pub fn parent(&self) -> Option<net::Ipv4Addr> {
        let own = self.own?;
        let is_near = |address: &net::Ipv4Addr| self.near.contains(address);
        let near: aggregate::Addresses = self.strong.iter().copied().filter(is_near).collect();
        if near.is_empty() || near.len() * MAX_CHILDREN < self.near.len() {
            return aggregate::parent(own, &self.strong);
        }
        aggregate::parent(own, &near)
    }

    /// Returns whether this entry and a peer send each other a heartbeat at each interval: if they
    /// share a zone, in which they take load over from each other, if both decide, since each places
    /// load on engines that the other may decide about next, or if the peer notices by heartbeats
    /// alone that an entry is gone. Without reports, it is enough that one of both decides.
    pub fn exchanges_all_heartbeats(&self, address: net::Ipv4Addr) -> bool {
        let Some(peer) = self.alive.get(&address) else {
            return true;
        };
        let is_decider = |address| self.strong.binary_search(&address).is_ok();
        let (one, other) = (is_decider(address), self.own.is_some_and(is_decider));
        let any_decides = if self.uses_reports {
            one && other
        } else {
            one || other
        };
        !peer.answers_probes || peer.zone == self.zone || any_decides
    }

    /// Returns whether a peer knows much fewer entries than this one, as after its start. It learns
    /// by their heartbeats who decides.
    pub fn is_starting(&self, address: net::Ipv4Addr) -> bool {
        let peer = self.alive.get(&address);
        peer.is_none_or(|p| (p.entry_count as usize) < self.accepting * KNOWN_PERCENT / 100)
    }
}
