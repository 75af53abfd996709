//! Table of the other entries, built from their heartbeats.

mod decider;
pub mod watch;

use std::{collections, net, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{addresses, interval, loads, message};
use crate::decide::{place, random, rotation};

/// Time for which no placement requests are sent to an entry that didn't reply. A paused process or
/// a lossy link becomes apparent within it, and callers don't wait for further attempts.
const UNRESPONSIVE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time for which an entry whose heartbeats have stopped still counts as a member of its zone. The
/// load balancer knows it until the platform gives it up, and it chooses from all entries once
/// fewer than half are in rotation.
const MISSING_RETENTION: time::Duration = time::Duration::from_secs(30);

/// A list of backend servers that a peer without updates sent.
#[derive(Clone, Copy, Debug)]
pub struct FetchedList {
    /// The peer.
    pub peer: net::Ipv4Addr,
    /// Digest of the list.
    pub digest: u64,
    /// When it arrived.
    pub received_at: time::Duration,
}

#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "a peer's reported state")]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard_at: time::Duration,
    loads: Vec<message::Load>,
    leaving: bool,
    millicores: u32,
    zone: u64,
    busy_at: Option<time::Duration>,
    left_at: Option<time::Duration>,
    rate: u32,
    membership_digest: u64,
    entry_count: u32,
    configuration_version: u64,
    list_digest: u64,
    // When it last read both topics of the store itself.
    store_at: time::Duration,
    // When the store last answered it for both topics, even if the answers weren't usable.
    answered_at: time::Duration,
    // When the store last answered it or an entry that it receives heartbeats from.
    known_answered_at: time::Duration,
    // When it last read the list of backend servers from the store itself.
    listed_at: time::Duration,
    // Newest era of the store that it has seen.
    era: u64,
    // Digest of its evacuation records.
    evacuations_digest: u64,
    // True if it spreads what it reads from the store by updates.
    sends_updates: bool,
    answers_probes: bool,
    sends_reports: bool,
    unresponsive_until: time::Duration,
    // True if it didn't reply to the last placement request.
    is_unresponsive: bool,
}

impl Peer {
    fn member(&self, now: time::Duration, address: net::Ipv4Addr) -> rotation::Member {
        rotation::Member {
            address: address.to_bits(),
            millicores: self.millicores,
            rate: self.rate,
            busy_ago: self.busy_at.map(|at| now.saturating_sub(at)),
            left_ago: self.left_at.map(|at| now.saturating_sub(at)),
            is_gone: self.leaving,
        }
    }
}

/// The other entries and their reported state.
#[derive(Debug, Default)]
pub struct Table {
    own: Option<net::Ipv4Addr>,
    millicores: u32,
    zone: u64,
    alive: collections::BTreeMap<net::Ipv4Addr, Peer>,
    // Addresses to send datagrams to.
    addresses: addresses::Addresses,
    // Entries that were removed before they announced leaving, and when.
    missing: collections::HashMap<net::Ipv4Addr, (Peer, time::Duration)>,
    // Addresses of live peers in this entry's zone. Kept because each update that is forwarded needs
    // them.
    near: Vec<net::Ipv4Addr>,
    loads: loads::Loads,
    // Entries with enough processor capacity to work for the whole fleet, in order of address; may
    // include this one.
    strong: Vec<net::Ipv4Addr>,
    // Position of the second watcher among them.
    second_watcher: usize,
    // Number of entries that accept requests, this one included.
    accepting: usize,
    uses_reports: bool,
    // Number of other entries at the last [`Table::take_count_change`].
    reported_peers: usize,
}

/// Returns the hash of an availability zone's name, as sent in heartbeats.
pub fn zone(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

impl Table {
    /// Creates a table without entries and with these addresses to contact. `own` is this entry's
    /// address, `millicores` its processor capacity in thousandths of a core, `zone` its
    /// availability zone.
    pub fn new(own: net::Ipv4Addr, millicores: u32, zone: &str, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            own: Some(own),
            millicores,
            zone: self::zone(zone),
            addresses: addresses::Addresses::new(own, seeds),
            strong: vec![own],
            ..Self::default()
        }
    }

    /// Applies a heartbeat. Returns `None` if a newer one has been received, otherwise the previous
    /// incarnation at the sender's address if the sender replaces it.
    pub fn on_heartbeat(
        &mut self,
        now: time::Duration,
        sender: u64,
        address: net::Ipv4Addr,
        heartbeat: &message::Heartbeat,
    ) -> Option<Option<u64>> {
        let before = self
            .alive
            .get(&address)
            .map(|p| (p.incarnation, p.sequence));
        if before.is_some_and(|(s, sequence)| s == sender && sequence >= heartbeat.sequence) {
            return None;
        }
        self.addresses.on_heard(now, address);
        self.missing.remove(&address);
        let ago = |ms: u32| now.saturating_sub(time::Duration::from_millis(ms.into()));
        let mentioned = heartbeat.known_addresses.iter();
        self.addresses
            .learn(now, mentioned.map(|bits| net::Ipv4Addr::from_bits(*bits)));
        let known = self.alive.get(&address);
        let (unresponsive_until, is_unresponsive) = known.map_or_else(Default::default, |p| {
            (p.unresponsive_until, p.is_unresponsive)
        });
        let same = |p: &Peer| {
            p.leaving == heartbeat.leaving
                && p.millicores == heartbeat.millicores
                && p.zone == heartbeat.zone
                && p.sends_reports == heartbeat.sends_reports
        };
        let is_unchanged = known.is_some_and(same);
        let has_zone = known.is_some_and(|p| p.zone == heartbeat.zone);
        let peer = Peer {
            incarnation: sender,
            sequence: heartbeat.sequence,
            heard_at: now,
            loads: heartbeat.loads.clone(),
            leaving: heartbeat.leaving,
            millicores: heartbeat.millicores,
            zone: heartbeat.zone,
            busy_at: heartbeat.busy_ago_ms.map(ago),
            left_at: heartbeat.left_ago_ms.map(ago),
            rate: heartbeat.rate,
            membership_digest: heartbeat.entries,
            entry_count: heartbeat.entry_count,
            configuration_version: heartbeat.configuration_version,
            list_digest: heartbeat.list_digest,
            store_at: ago(heartbeat.store_age_ms),
            answered_at: ago(heartbeat.answer_age_ms.unwrap_or(heartbeat.store_age_ms)),
            known_answered_at: ago(heartbeat.known_age_ms.unwrap_or(u32::MAX)),
            listed_at: ago(heartbeat.list_age_ms),
            era: heartbeat.era,
            evacuations_digest: heartbeat.evacuations_digest,
            sends_updates: heartbeat.sends_updates,
            answers_probes: heartbeat.answers_probes,
            sends_reports: heartbeat.sends_reports,
            unresponsive_until,
            is_unresponsive,
        };
        let old_loads = self.alive.insert(address, peer).map(|p| p.loads);
        self.loads
            .replace(address, &old_loads.unwrap_or_default(), &heartbeat.loads);
        if !is_unchanged {
            self.update_strong();
        }
        if !has_zone && heartbeat.zone == self.zone {
            addresses::insert(&mut self.near, address);
        } else if !has_zone {
            self.near.retain(|near| *near != address);
        }
        Some(before.map(|(s, _)| s).filter(|s| *s != sender))
    }

    /// Records addresses at which entries run, as an entry says.
    pub fn learn(&mut self, now: time::Duration, addresses: impl Iterator<Item = net::Ipv4Addr>) {
        self.addresses.learn(now, addresses);
    }

    /// Removes entries whose heartbeats have stopped; returns their addresses and incarnations.
    pub fn expire(&mut self, now: time::Duration) -> Vec<(net::Ipv4Addr, u64)> {
        let alive = &self.alive;
        self.addresses
            .expire(now, |address| alive.contains_key(address));
        self.missing
            .retain(|_, (_, since)| now < *since + MISSING_RETENTION);
        let others = self.alive.len();
        let timeouts = [false, true].map(|all| interval::peer_timeout(others, all));
        let silent = |(address, p): (&net::Ipv4Addr, &Peer)| {
            let timeout = timeouts[usize::from(self.exchanges_all_heartbeats(*address))];
            (now >= p.heard_at + timeout).then_some((*address, p.incarnation))
        };
        let gone: Vec<_> = self.alive.iter().filter_map(silent).collect();
        for (address, incarnation) in &gone {
            self.remove(now, *address, *incarnation);
        }
        gone
    }

    /// Removes an entry that is gone; returns whether this incarnation was known.
    pub fn remove(
        &mut self,
        now: time::Duration,
        address: net::Ipv4Addr,
        incarnation: u64,
    ) -> bool {
        let known = self.alive.get(&address);
        if known.is_none_or(|p| p.incarnation != incarnation) {
            return false;
        }
        let Some(peer) = self.alive.remove(&address) else {
            return false;
        };
        self.loads.replace(address, &peer.loads, &[]);
        self.near.retain(|near| *near != address);
        self.addresses.on_heard(now, address);
        if !peer.leaving {
            self.missing.insert(address, (peer, now));
        }
        self.update_strong();
        true
    }

    /// Adds an entry again that was removed and is alive.
    pub fn restore(&mut self, now: time::Duration, address: net::Ipv4Addr, incarnation: u64) {
        let removed = self.missing.get(&address);
        if removed.is_none_or(|(p, _)| p.incarnation != incarnation) {
            return;
        }
        let Some((mut peer, _)) = self.missing.remove(&address) else {
            return;
        };
        peer.heard_at = now;
        self.addresses.on_heard(now, address);
        self.loads.replace(address, &[], &peer.loads);
        if peer.zone == self.zone {
            addresses::insert(&mut self.near, address);
        }
        self.alive.insert(address, peer);
        self.update_strong();
    }

    /// Notes that an entry didn't reply to a placement request; returns whether it was responsive
    /// before.
    pub fn mark_unresponsive(&mut self, now: time::Duration, address: net::Ipv4Addr) -> bool {
        let Some(peer) = self.alive.get_mut(&address) else {
            return false;
        };
        peer.unresponsive_until = now + UNRESPONSIVE_PAUSE;
        !std::mem::replace(&mut peer.is_unresponsive, true)
    }

    /// Notes that an entry replied; returns whether it was unresponsive before.
    pub fn mark_responsive(&mut self, address: net::Ipv4Addr) -> bool {
        let peer = self.alive.get_mut(&address);
        peer.is_some_and(|peer| std::mem::take(&mut peer.is_unresponsive))
    }

    /// Returns the reason for this entry to stay out of the load balancer's rotation, if there is
    /// one. `own` is this entry's state; its address and processor capacity are filled in here.
    pub fn out_of_rotation_reason(
        &self,
        now: time::Duration,
        own: rotation::Member,
    ) -> Option<rotation::Reason> {
        let address = self.own.map_or(0, net::Ipv4Addr::to_bits);
        let near = self.alive.iter().filter(|(_, p)| p.zone == self.zone);
        let near_missing = self
            .missing
            .iter()
            .filter(|(_, (p, _))| p.zone == self.zone);
        let missing = near_missing.map(|(a, _)| rotation::Member {
            address: a.to_bits(),
            is_gone: true,
            ..rotation::Member::default()
        });
        let mut zone: SmallVec<[rotation::Member; 16]> = near
            .map(|(a, p)| p.member(now, *a))
            .chain(missing)
            .collect();
        zone.push(rotation::Member {
            address,
            millicores: self.millicores,
            ..own
        });
        rotation::absence_reason(&zone, address)
    }

    /// Returns the number of entries whose heartbeats stopped recently without a shutdown.
    pub fn missing_entries(&self) -> usize {
        self.missing.len()
    }

    /// Returns the number of entries that are out of reach: they are gone, or this entry is cut off from
    /// them.
    pub fn unreachable_entries(&self) -> usize {
        if self.alive.is_empty() {
            self.addresses.all().len()
        } else {
            self.missing.len()
        }
    }

    /// Returns the number of entries that accept requests, this one included.
    pub fn entry_count(&self) -> usize {
        1 + self.alive.values().filter(|p| !p.leaving).count()
    }

    /// Returns the number of entries that accept requests at the last call and now, if it has
    /// changed.
    pub fn take_count_change(&mut self) -> Option<(usize, usize)> {
        let peers = self.entry_count() - 1;
        let before = std::mem::replace(&mut self.reported_peers, peers);
        (before != peers).then_some((1 + before, 1 + peers))
    }

    /// Returns a digest of the addresses of all live entries, this one included.
    pub fn membership_digest(&self) -> u64 {
        let all = self.alive.keys().copied().chain(self.own);
        let hash = |a: net::Ipv4Addr| random::Random::new(a.to_bits().into()).bits();
        all.map(hash).fold(0, |sum, hash| sum ^ hash)
    }

    /// Returns the digest of another entry's list of backend servers.
    pub fn server_list_digest_of(&self, address: net::Ipv4Addr) -> Option<u64> {
        self.alive.get(&address).map(|p| p.list_digest)
    }

    /// Returns the digest of another entry's evacuation records.
    pub fn evacuations_digest_of(&self, address: net::Ipv4Addr) -> Option<u64> {
        self.alive.get(&address).map(|p| p.evacuations_digest)
    }

    /// Returns the membership digest and the number of entries that another entry last reported.
    pub fn reported_membership(&self, address: net::Ipv4Addr) -> Option<(u64, usize)> {
        let peer = self.alive.get(&address)?;
        Some((peer.membership_digest, peer.entry_count as usize))
    }

    /// Returns the addresses of the live peers.
    pub fn known_addresses(&self) -> Vec<u32> {
        self.alive.keys().map(|a| a.to_bits()).collect()
    }

    /// Returns the addresses of the other entries that are known to run.
    pub fn alive_addresses(&self) -> impl Iterator<Item = net::Ipv4Addr> {
        self.alive.keys().copied()
    }

    /// Returns the addresses to send datagrams to, without this entry's own.
    pub fn send_addresses(&self) -> &[net::Ipv4Addr] {
        self.addresses.all()
    }

    /// Returns the addresses of the live peers in this entry's zone.
    pub fn near_addresses(&self) -> &[net::Ipv4Addr] {
        &self.near
    }

    /// Returns whether a peer is known to be in this entry's zone.
    pub fn is_near(&self, address: net::Ipv4Addr) -> bool {
        let peer = self.alive.get(&address);
        peer.is_some_and(|peer| peer.zone == self.zone)
    }

    /// Returns whether a peer is known to answer probes.
    pub fn answers_probes(&self, address: net::Ipv4Addr) -> bool {
        let peer = self.alive.get(&address);
        peer.is_some_and(|peer| peer.answers_probes)
    }

    /// Returns the addresses of peers that don't send updates.
    pub fn addresses_without_updates(&self) -> Vec<net::Ipv4Addr> {
        let alive = self.alive.iter().filter(|(_, p)| !p.sends_updates);
        alive.map(|(address, _)| *address).collect()
    }

    /// Returns the load that all other entries placed on a backend server, by the hash of its id.
    pub fn remote_load(&self, server: u64) -> place::Load {
        self.loads.sum(server)
    }

    /// Returns the backend servers, by the hashes of their ids, whose load other entries reported
    /// since the last call.
    pub fn take_changed(&mut self) -> Vec<u64> {
        self.loads.take_changed()
    }
}
