//! The peers that read the platform's store, by the heartbeats of all.

use std::{net, time};

use super::{Peer, Table};
use crate::decide::standby;
use crate::direct::peer::interval;

/// Maximum age of another entry's data from the store that counts as fresh. A watcher gets an
/// answer from the store every 0.9 s and, among 30 entries, sends its heartbeat a quarter of a
/// second later; with a bound below this sum all entries would call the store in turn. Beyond the
/// bound an entry calls the store itself, so that it learns of a leaving backend server or a new
/// configuration within two seconds in any case.
pub const MAX_FRESH_AGE: time::Duration = time::Duration::from_millis(1_400);

/// Maximum age of a watcher's data at the time of its heartbeat, used where heartbeats are so far
/// apart that their interval isn't short compared to [`MAX_FRESH_AGE`].
const MAX_READ_AGE: time::Duration = time::Duration::from_millis(950);

/// Zone in heartbeats of entries that don't say theirs.
const UNKNOWN_ZONE: u64 = 0;

impl Table {
    // Returns the position in `strong` of the second watcher: the first entry of another zone than
    // the first watcher's, so that both aren't cut off together.
    pub(super) fn find_second_watcher(&self) -> usize {
        let zone = |address: &net::Ipv4Addr| self.alive.get(address).map_or(self.zone, |p| p.zone);
        let first = self.strong.first().map_or(UNKNOWN_ZONE, zone);
        if first == UNKNOWN_ZONE {
            return 1;
        }
        let is_other = |zone: u64| zone != UNKNOWN_ZONE && zone != first;
        let other = self.strong.iter().position(|a| is_other(zone(a)));
        other.unwrap_or(1)
    }

    // Returns the strong entries in the order in which they read the platform's store.
    fn strong_order(&self) -> impl Iterator<Item = net::Ipv4Addr> + '_ {
        let second = self.second_watcher;
        let rest = self.strong.iter().enumerate();
        let rest = rest.filter(move |(at, _)| *at != 0 && *at != second);
        let first = self.strong.first().into_iter();
        let watchers = first.chain(self.strong.get(second));
        watchers.chain(rest.map(|(_, a)| a)).copied()
    }

    // Returns the position in that order of the entry at this position in `strong`.
    fn strong_rank(&self, at: usize) -> usize {
        match at {
            0 => 0,
            at if at == self.second_watcher => 1,
            at if at < self.second_watcher => at + 1,
            at => at,
        }
    }

    // Returns the entries that read the platform's store for the whole fleet.
    fn watchers(&self) -> impl Iterator<Item = net::Ipv4Addr> + '_ {
        self.strong_order().take(standby::WATCHER_COUNT)
    }

    /// Returns whether this entry reads the platform's store for the whole fleet.
    pub fn is_watcher(&self) -> bool {
        self.watchers().any(|a| Some(a) == self.own)
    }

    /// Returns the state, as this entry knows it, of the entries that read the store for the fleet.
    /// `fresh` are those whose readings spread recently; the others are known by their heartbeats.
    pub fn standby_view(&self, now: time::Duration, fresh: &[net::Ipv4Addr]) -> standby::View {
        let age = self.fresh_age();
        let answered = |address: &net::Ipv4Addr| {
            let peer = self.alive.get(address).filter(|p| !p.sends_updates);
            fresh.contains(address) || peer.is_some_and(|p| now < p.answered_at + age)
        };
        let is_strong = |address: &net::Ipv4Addr| self.strong.binary_search(address).is_ok();
        let weak = self.alive.keys().filter(|a| !is_strong(a)).copied();
        let order = self.strong_order().chain(weak);
        let before = |address: &net::Ipv4Addr| Some(*address) < self.own;
        let rank = match self.own {
            Some(own) if is_strong(&own) => self.strong_rank(self.strong.partition_point(before)),
            _ => {
                let weak = self.alive.keys().filter(|a| !is_strong(a) && before(a));
                self.strong.len() + weak.count()
            }
        };
        let answered = order.enumerate().find(|(_, a)| answered(a));
        let knows = |p: &Peer| !p.sends_updates && now < p.known_answered_at + age;
        standby::View {
            rank,
            entries: 1 + self.alive.len(),
            first_answered: answered.map(|(at, _)| at),
            is_cut_off: answered.is_none() && self.alive.values().any(knows),
        }
    }

    /// Returns when the store last answered another entry.
    pub fn last_store_answer(&self) -> Option<time::Duration> {
        self.alive.values().map(|p| p.answered_at).max()
    }

    // Returns the maximum age of other entries' data from the store that counts as fresh.
    fn fresh_age(&self) -> time::Duration {
        let heartbeat = interval::heartbeat(self.alive.len());
        MAX_FRESH_AGE.max(MAX_READ_AGE + heartbeat.mul_f64(1.5))
    }

    // Returns the other entries that don't send updates and have a recent answer of the store, by
    // the time that `at` returns: the watchers or, if no watcher has one, the entries that read in their place.
    fn recent(
        &self,
        now: time::Duration,
        at: impl Fn(&Peer) -> time::Duration,
    ) -> impl Iterator<Item = (net::Ipv4Addr, &Peer)> {
        let age = self.fresh_age();
        let is_recent = move |p: &Peer| !p.sends_updates && now < at(p) + age;
        let is_watcher = |a: &net::Ipv4Addr| self.watchers().any(|w| w == *a);
        let mut watchers = self.watchers().filter_map(|a| self.alive.get(&a));
        let any = watchers.any(&is_recent);
        let peers = self.alive.iter().map(|(a, p)| (*a, p));
        peers.filter(move |(a, p)| is_recent(p) && (!any || is_watcher(a)))
    }

    fn fresh(&self, now: time::Duration) -> impl Iterator<Item = (net::Ipv4Addr, &Peer)> {
        self.recent(now, |p| p.store_at)
    }

    /// Returns whether another entry has fresh data from the store.
    pub fn has_fresh_watcher(&self, now: time::Duration) -> bool {
        self.fresh(now).next().is_some()
    }

    /// Returns the entry with the newest configuration among those that the store answered
    /// recently, and the version.
    pub fn newest_configuration(&self, now: time::Duration) -> Option<(net::Ipv4Addr, u64)> {
        let answered = self.recent(now, |p| p.answered_at);
        let newest = answered.max_by_key(|(_, p)| p.configuration_version);
        newest.map(|(a, p)| (a, p.configuration_version))
    }

    /// Returns the entry with fresh data to copy the list of backend servers from, and the list's
    /// digest.
    ///
    /// Among the entries that have seen the store's newest era it is `last_sender`, which sent its
    /// list last, as long as its data is fresh, since it remembers that list and sends only the
    /// changes; otherwise it is the entry that read the list last.
    pub fn newest_server_list(
        &self,
        now: time::Duration,
        last_sender: Option<net::Ipv4Addr>,
    ) -> Option<(net::Ipv4Addr, u64)> {
        let newest = self
            .fresh(now)
            .max_by_key(|(a, p)| (p.era, Some(*a) == last_sender, p.listed_at));
        newest.map(|(a, p)| (a, p.list_digest))
    }
}
