//! Sources of an entry's data: the platform's store, or peers that read it.

use std::{net, time};

use smallvec::SmallVec;

use super::peer::{interval, table};
use super::{parts, state};
use crate::decide::{random, spread, standby};

/// Minimum time between two requests for the same list from peers.
const PEER_LIST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time for which an entry reads the store itself after a request to a peer failed. A
/// network link that is congested stays so for seconds.
const DISTRUST_TIME: time::Duration = time::Duration::from_secs(4);

/// Time after its start, in addition to [`SETTLE_INTERVALS`], within which an entry doesn't know its
/// place among the entries that read the store.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

/// Number of heartbeat intervals after which most peers have been heard.
const SETTLE_INTERVALS: f64 = 1.5;

impl state::Entry {
    /// Records that the store delivered current data for this topic.
    pub fn on_store_answer(&self, topic: spread::Topic) {
        let mut seen = self.store_seen.get();
        seen[topic as usize] = Some(self.now());
        self.store_seen.set(seen);
    }

    /// Records the era that the platform's store, which counts how often it was restored from an older
    /// copy, stated in the answer to a call that began at time `at`.
    pub fn on_store_era(&self, at: time::Duration, era: Option<u64>) {
        let era = era.unwrap_or_default();
        self.spread.borrow_mut().on_own_era(at, era);
        self.meter
            .set("store_era", self.store_era().unwrap_or_default());
    }

    /// Returns the era of the platform's store, as far as is known; `None` before its first answer.
    pub fn store_era(&self) -> Option<u64> {
        self.spread.borrow().eras().newest()
    }

    /// Returns the era that the store goes on stating, if it is known.
    pub fn era_limit(&self) -> Option<u64> {
        self.spread.borrow().era_limit()
    }

    /// Lowers what is of a later era than the store goes on stating. To be called periodically.
    pub(super) fn limit_eras(&self) {
        let limit = self.spread.borrow_mut().limit_eras(self.now());
        let Some(limit) = limit else { return };
        let has_zones = self.limit_evacuations(limit);
        let has_versions = self.bindings.borrow_mut().history.joins.limit(limit);
        if has_zones || has_versions {
            let line = self.log.line("store_era_void");
            let line = line.with("era", limit).with("zones", has_zones);
            drop(line.with("versions", has_versions));
        }
    }

    /// Returns the era of the store that the list of backend servers was found to agree with, at this
    /// entry or at the peers that it was fetched from, if the store counts eras.
    pub fn list_era(&self) -> Option<u64> {
        let era = self.spread.borrow().confirmed_position().era;
        (era > 0).then_some(era)
    }

    /// Returns the time since the store delivered current data for this topic; the maximum if it
    /// never did.
    pub fn topic_age(&self, topic: spread::Topic) -> time::Duration {
        let seen = self.store_seen.get()[topic as usize];
        seen.map_or(time::Duration::MAX, |at| self.now().saturating_sub(at))
    }

    /// Returns the time since the store delivered current data for both topics.
    pub fn store_age(&self) -> time::Duration {
        let configuration = self.topic_age(spread::Topic::Configuration);
        configuration.max(self.topic_age(spread::Topic::Backends))
    }

    /// Returns the time since the store responded to this entry for both topics, with usable data
    /// or not; the maximum if it never did.
    pub fn answer_age(&self) -> time::Duration {
        let age = |at: Option<time::Duration>| {
            at.map_or(time::Duration::MAX, |at| self.now().saturating_sub(at))
        };
        let [one, other] = self.store_answered.get().map(age);
        one.max(other)
    }

    /// Returns the time since the store responded to this entry or to a peer whose heartbeats
    /// arrive.
    pub fn known_age(&self) -> time::Duration {
        let now = self.now();
        let last = self.peers.borrow().last_store_answer();
        let last = last.max(self.spread.borrow().newest_answer());
        let last = last.map_or(time::Duration::MAX, |at| now.saturating_sub(at));
        self.answer_age().min(last)
    }

    /// Returns whether this entry leaves reading the store to the watchers, or to peers that precede
    /// it in the standby order. An entry that has just started does so until its data arrives.
    pub fn relies_on_peers(&self) -> bool {
        let now = self.now();
        if self.is_complete() {
            now >= self.distrusted_until.get() && !self.reads_store(now)
        } else {
            !self.reads_at_start(now)
        }
    }

    fn reads_at_start(&self, now: time::Duration) -> bool {
        let peers = self.peers.borrow().send_addresses().len();
        let mut rng = self.rng.borrow_mut();
        let reads = self
            .spread
            .borrow_mut()
            .reads_at_start(now, peers, &mut rng);
        if reads {
            let mut standby = self.standby.get();
            standby.begin();
            self.standby.set(standby);
            self.set_reason(standby::Reason::Start);
        }
        reads
    }

    fn reads_store(&self, now: time::Duration) -> bool {
        let view = self.standby_view(now);
        let mut standby = self.standby.get();
        let reason = standby.reason(now, view);
        self.standby.set(standby);
        let reason = reason.unwrap_or(standby::Reason::None);
        self.set_reason(reason);
        reason != standby::Reason::None
    }

    fn set_reason(&self, reason: standby::Reason) {
        if self.read_reason.replace(reason) != reason {
            let view = self.standby_view(self.now());
            self.log
                .line("store_reader")
                .with("reads", reason != standby::Reason::None)
                .with("reason", reason)
                .with("rank", view.rank)
                .with("entries", view.entries);
        }
    }

    /// Returns whether this entry reads the store itself.
    pub fn reads_store_now(&self) -> bool {
        self.read_reason() != standby::Reason::None
    }

    /// Returns why this entry reads the store.
    pub fn read_reason(&self) -> standby::Reason {
        if self.now() < self.distrusted_until.get() {
            standby::Reason::Distrust
        } else {
            self.read_reason.get()
        }
    }

    fn standby_view(&self, now: time::Duration) -> standby::View {
        let (peers, spread) = (self.peers.borrow(), self.spread.borrow());
        let own = self.settings.borrow().address;
        let fresh = spread.fresh_readers(now, peers.entry_count());
        let fresh: SmallVec<[net::Ipv4Addr; 8]> = fresh.filter(|a| *a != own).collect();
        let addresses = peers.send_addresses().len();
        if now >= SETTLE_TIME + interval::heartbeat(addresses).mul_f64(SETTLE_INTERVALS) {
            let view = peers.standby_view(now, &fresh);
            let is_cut_off = view.is_cut_off || spread.is_isolated(now);
            return standby::View { is_cut_off, ..view };
        }
        // The heartbeats of most peers haven't arrived yet, so that the order isn't known.
        let reads = self.read_reason.get() != standby::Reason::None;
        let yields = fresh.iter().any(|reader| !reads || *reader < own);
        let draw = random::Random::new(self.incarnation).below(addresses + 1);
        standby::View {
            rank: standby::WATCHER_COUNT + draw,
            entries: addresses + 1,
            first_answered: yields.then_some(0),
            is_cut_off: false,
        }
    }

    /// Returns whether the store may be called for this topic after the failures so far.
    pub fn may_call_store(&self, topic: spread::Topic) -> bool {
        self.standby.get().may_call(self.now(), topic as usize)
    }

    /// Records that the store responded to a call for this topic, with usable data or not. `at` is a time
    /// at which what it returned was current.
    pub fn on_store_reached(&self, topic: spread::Topic, at: time::Duration) {
        let mut answered = self.store_answered.get();
        answered[topic as usize] = answered[topic as usize].max(Some(at));
        self.store_answered.set(answered);
        let mut standby = self.standby.get();
        standby.on_answer(topic as usize);
        self.standby.set(standby);
        if topic == spread::Topic::Backends {
            self.on_list_answer(at);
        }
    }

    /// Records that the store answered a call for the list, of this entry or a peer, at time `at`.
    pub(super) fn on_list_answer(&self, at: time::Duration) {
        let mut outages = self.outages.get();
        outages.on_answer(at, self.settings.borrow().min_outage);
        self.outages.set(outages);
    }

    /// Returns when the last outage of the store ended in which list entries may have expired;
    /// `None` if there was none.
    pub fn outage_end(&self) -> Option<time::Duration> {
        self.outages.get().ended_at()
    }

    /// Records that a call to the store for this topic failed.
    pub fn on_store_failure(&self, topic: spread::Topic) {
        let now = self.now();
        let entries = self.standby_view(now).entries;
        let mut standby = self.standby.get();
        standby.on_failure(now, entries, topic as usize);
        self.standby.set(standby);
        let mut outages = self.outages.get();
        outages.on_failure();
        self.outages.set(outages);
    }

    /// Returns the topics for which peers have newer data, and which peer to ask for each.
    pub fn newer_at_peers(&self) -> SmallVec<[(net::Ipv4Addr, spread::Topic); 2]> {
        let (now, peers) = (self.now(), self.peers.borrow());
        let mut newer = SmallVec::new();
        let version = self
            .configuration
            .borrow()
            .as_ref()
            .map_or(0, |p| p.version);
        let configuration = peers.newest_configuration(now);
        if let Some((address, _)) = configuration.filter(|(_, newest)| *newest > version) {
            newer.push((address, spread::Topic::Configuration));
        }
        let previous = self.last_peer_list.get();
        let is_recent = |list| {
            previous.is_some_and(|p| p.digest == list && now < p.received_at + PEER_LIST_INTERVAL)
        };
        let list = peers.newest_server_list(now, previous.map(|p| p.peer));
        let differs = |list| list != self.list_digest(parts::Version::First) && !is_recent(list);
        if let Some((address, _)) = list.filter(|(_, list)| differs(*list)) {
            newer.push((address, spread::Topic::Backends));
        }
        newer
    }

    /// Records that a peer sent the list whose digest its heartbeats carry. The list isn't
    /// requested again at once: it may differ permanently where this entry's data is newer.
    pub fn note_peer_list(&self, peer: net::Ipv4Addr) {
        let list = self.peers.borrow().server_list_digest_of(peer);
        let received_at = self.now();
        self.last_peer_list
            .set(list.map(|digest| table::FetchedList {
                peer,
                digest,
                received_at,
            }));
    }

    /// Records that a request to a peer failed, so that this entry reads the store itself
    /// for a while.
    pub fn distrust_peers(&self) {
        self.log
            .line("store_reader")
            .with("reads", true)
            .with("reason", standby::Reason::Distrust)
            .with("for_s", DISTRUST_TIME.as_secs());
        self.distrusted_until.set(self.now() + DISTRUST_TIME);
    }
}
