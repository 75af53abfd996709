//! Epidemic spread of what a few entries read from the platform's store.
//!
//! Load pattern: hundreds of entries, of which two read the store for all. When every entry fetches
//! a change from one of the two, the transfers at that reader grow with the fleet and soon exceed
//! what it can send before the timeout, and each entry that times out turns to the store. Here a
//! reader sends each [`Reading`] and the changes in it to a few random peers, and every entry
//! forwards what is new to it once, to a few others. The time until all know grows with the
//! logarithm of the fleet, and the work of one entry doesn't grow with it. Data too large for a
//! datagram is fetched from any peer that holds it, which by then are many. A periodic exchange
//! with a random peer repairs what was lost (Demers et al., "Epidemic algorithms for replicated
//! database maintenance", PODC 1987).

pub mod start;
pub mod target;
pub mod transfer;

use std::{net, time};

use smallvec::SmallVec;

use super::{era, evacuation, random};

/// Interval between exchanges with a random peer.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval between exchanges in the smallest fleets while readings arrive, which show themselves
/// that a change was lost.
const SMALL_FLEET_EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval between exchanges of an entry that has no data yet.
const START_EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum age of the newest reading in a fleet of one hop. The store is read every 0.9 s.
const MAX_AGE: time::Duration = time::Duration::from_millis(1_400);

/// Time that a hop may add to the age of a reading.
const HOP_TIME: time::Duration = time::Duration::from_millis(100);

/// Delay before a list is fetched whose changes may still arrive one by one.
const FETCH_DELAY: time::Duration = time::Duration::from_millis(150);

/// Delay before data is fetched from another zone, within which a peer of this one may have it.
const FAR_DELAY: time::Duration = time::Duration::from_millis(60);

/// Time for which a peer isn't asked again after it refused or failed.
const AVOID_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after a transfer for which a list that still differs isn't fetched again.
const SETTLED_TIME: time::Duration = time::Duration::from_secs(2);

/// Time without any datagram after which an entry counts as cut off from its peers: six exchanges.
const ISOLATION_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time after a forwarded reading in which those of later readers aren't forwarded, unless they have
/// a newer configuration. Without it the datagrams of all entries would grow with the number of
/// readers. It is longer than a reader's interval, so that the first of them is not replaced.
const READER_PRECEDENCE: time::Duration = time::Duration::from_secs(1);

/// Maximum time by which readings of one reader overtake each other. One that is later than that replaces
/// one with a greater number, which was false.
const MAX_REORDERING: time::Duration = time::Duration::from_secs(2);

/// Maximum number of readers and holders remembered.
const MAX_REMEMBERED: usize = 8;

/// What an entry holds of the data in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// The list of backend servers is at least as new as this position of the store's log; zero if
    /// unknown.
    pub position: evacuation::Position,
    /// Digest of the list.
    pub list: u64,
    /// Version of the configuration; 0 if there is none.
    pub configuration: u64,
}

/// What an entry read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Entry that read it.
    pub reader: net::Ipv4Addr,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Number of the reading, which rises within an incarnation.
    pub sequence: u64,
    /// What the reader held after it.
    pub holding: Holding,
    /// When the store last answered the reader.
    pub at: time::Duration,
    /// When the call began that last delivered the reader's list; `None` if others can't rely on it,
    /// or the reader is of an earlier release.
    pub list_at: Option<time::Duration>,
    /// Number of entries that forwarded it.
    pub hops: u32,
    /// Era that the store's answer stated; 0 if it stated none, `None` if the reader is of an earlier
    /// release.
    pub era: Option<u64>,
}

/// Part of the data in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Topic {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// The list of backend servers.
    #[display("backends")]
    Backends,
}

/// A transfer that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Peer to ask.
    pub peer: net::Ipv4Addr,
    /// What to ask for.
    pub topic: Topic,
    /// What the peer holds.
    pub holding: Holding,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    peer: net::Ipv4Addr,
    // True if it is in this entry's zone.
    is_near: bool,
    holding: Holding,
    since: time::Duration,
}

/// What an entry knows of readings and of who holds them.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    // The newest reading of each reader.
    readings: SmallVec<[Reading; 4]>,
    // The last reading that was forwarded.
    forwarded: Option<Reading>,
    // Peers that hold newer data than this entry.
    holders: SmallVec<[Holder; MAX_REMEMBERED]>,
    avoided: SmallVec<[(net::Ipv4Addr, time::Duration); 4]>,
    // Position that the list is at least as new as.
    position: evacuation::Position,
    // The same, but only where the list was equal to the store's or a peer's: what peers rely on.
    confirmed: evacuation::Position,
    // When the store last answered this entry.
    own_answer_at: Option<time::Duration>,
    // When the call began that last delivered this entry's list.
    own_list_at: Option<time::Duration>,
    // When the store last answered an entry whose list agreed with this one's.
    agreed_answer_at: Option<time::Duration>,
    // Time at which the list had all that the store had then.
    complete_at: Option<time::Duration>,
    // Digest of the list and version of the configuration that it read last.
    own_data: Option<(u64, u64)>,
    // Position of the newest changes that were applied one by one.
    changed_at: evacuation::Position,
    // Own digest and a peer's digest of lists that stay different after a transfer, with the time
    // of the next one.
    settled: Option<(u64, u64, time::Duration)>,
    failed_fetches: u32,
    // Number of own readings.
    sequence: u64,
    eras: era::Eras,
    // Era of the last answer to this entry.
    own_era: Option<u64>,
    // Latest era that positions can have, if it is known.
    era_limit: Option<u64>,
    // When the last datagram of a peer arrived.
    heard_at: Option<time::Duration>,
    start: start::Start,
    transfers: transfer::Window,
}

impl Spread {
    /// Returns the position up to which the list was found to agree with the store.
    pub fn confirmed_position(&self) -> evacuation::Position {
        self.confirmed
    }

    /// Returns the eras that the store has stated.
    pub fn eras(&self) -> era::Eras {
        self.eras
    }

    /// Records the era that an answer to this entry stated, to a call that began at time `at`.
    pub fn on_own_era(&mut self, at: time::Duration, era: u64) {
        self.own_era = Some(era);
        self.on_era(at, era);
    }

    fn on_era(&mut self, at: time::Duration, era: u64) {
        self.eras.on_answer(at, era);
        self.era_limit = self.eras.limit(at);
    }

    /// Returns the latest era that positions can have, if it is known.
    pub fn era_limit(&self) -> Option<u64> {
        self.era_limit
    }

    /// Returns whether a position of this era can be true.
    pub fn accepts_era(&self, era: u64) -> bool {
        self.era_limit.is_none_or(|limit| era <= limit)
    }

    /// Lowers positions of eras later than the store's, and returns that one, if it is known.
    pub fn limit_eras(&mut self, now: time::Duration) -> Option<u64> {
        self.era_limit = self.eras.limit(now);
        if let Some(limit) = self.era_limit {
            self.position = self.position.limited(limit);
            self.confirmed = self.confirmed.limited(limit);
            self.changed_at = self.changed_at.limited(limit);
        }
        self.era_limit
    }

    /// Records that the list agrees with the store up to this position.
    pub fn advance(&mut self, position: evacuation::Position) {
        if !self.accepts_era(position.era) {
            return;
        }
        self.position = self.position.max(position);
        self.confirmed = self.confirmed.max(position);
    }

    /// Records that this entry's list has all that a call delivered that began at time `at`.
    pub fn on_list_read(&mut self, at: time::Duration) {
        self.own_list_at = Some(at);
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Returns the newest time at which this entry's list is known to have had all that the store had.
    pub fn complete_at(&self) -> Option<time::Duration> {
        self.complete_at
    }

    // Records a list at this position with which this entry's agrees, or which it has merged.
    fn compare(&mut self, own: u64, theirs: u64, position: evacuation::Position) {
        if !self.accepts_era(position.era) {
            return;
        }
        if own == theirs {
            self.advance(position);
        } else if self.are_settled(own, theirs) {
            self.position = self.position.max(position);
        }
    }

    /// Records that changes up to this position were applied one by one. A list that is fetched
    /// must be as new, or they would be undone.
    pub fn on_changes(&mut self, position: evacuation::Position) {
        if self.accepts_era(position.era) {
            self.changed_at = self.changed_at.max(position);
        }
    }

    /// Adds a reading of this entry; returns whether peers have to learn of it: if it is different
    /// from the last one, or would be forwarded as a peer's.
    pub fn add_own_reading(
        &mut self,
        reader: net::Ipv4Addr,
        incarnation: u64,
        holding: Holding,
        at: time::Duration,
    ) -> bool {
        self.sequence += 1;
        self.own_answer_at = Some(at);
        let reading = Reading {
            reader,
            incarnation,
            sequence: self.sequence,
            holding,
            at,
            list_at: self.own_list_at,
            hops: 0,
            era: self.own_era,
        };
        let data = (holding.list, holding.configuration);
        let is_changed = self.own_data.replace(data) != Some(data);
        self.on_reading(reading, holding) || is_changed
    }

    /// Records a reading, beside what this entry holds; returns whether it has to be forwarded.
    pub fn on_reading(&mut self, reading: Reading, own: Holding) -> bool {
        let theirs = reading.holding;
        if let Some(era) = reading.era.filter(|_| reading.hops > 0) {
            self.on_era(reading.at, era);
        }
        self.compare(own.list, theirs.list, theirs.position);
        if own.list == theirs.list || self.are_settled(own.list, theirs.list) {
            self.complete_at = self.complete_at.max(reading.list_at);
            self.agreed_answer_at = self.agreed_answer_at.max(Some(reading.at));
        }
        self.record(reading) && self.is_forwarded(&reading)
    }

    // Records a reading; returns whether it is new here.
    fn record(&mut self, reading: Reading) -> bool {
        let mut readings = self.readings.iter_mut();
        if let Some(known) = readings.find(|r| r.reader == reading.reader) {
            let is_newer = if known.incarnation == reading.incarnation {
                let is_overtaken = reading.at + MAX_REORDERING < known.at;
                let goes_on = reading.at > known.at + MAX_REORDERING;
                goes_on || (reading.sequence > known.sequence && !is_overtaken)
            } else {
                reading.at > known.at
            };
            if is_newer {
                *known = reading;
            }
            return is_newer;
        }
        if self.readings.len() >= MAX_REMEMBERED {
            let oldest = self.readings.iter().enumerate().min_by_key(|(_, r)| r.at);
            let Some((oldest, _)) = oldest.filter(|(_, r)| r.at < reading.at) else {
                return false;
            };
            self.readings.swap_remove(oldest);
        }
        self.readings.push(reading);
        true
    }

    // Returns whether a new reading is forwarded. Readers precede each other by their addresses, so
    // that all entries forward those of the same few.
    fn is_forwarded(&mut self, reading: &Reading) -> bool {
        let is_due = self.forwarded.is_none_or(|last| {
            let is_earlier_reader = reading.at >= last.at && reading.reader <= last.reader;
            is_earlier_reader
                || reading.at >= last.at + READER_PRECEDENCE
                || reading.holding.configuration > last.holding.configuration
        });
        if is_due {
            self.forwarded = Some(*reading);
        }
        is_due
    }

    /// Records what a peer, in this entry's zone or not, holds, beside what this entry holds.
    pub fn on_holding(
        &mut self,
        now: time::Duration,
        (peer, is_near): (net::Ipv4Addr, bool),
        theirs: Holding,
        own: Holding,
    ) {
        self.compare(own.list, theirs.list, theirs.position);
        let own = Holding {
            position: self.position,
            ..own
        };
        let since = self.holders.iter().find(|h| h.peer == peer);
        let since = since.map_or(now, |h| h.since);
        self.holders.retain(|h| h.peer != peer);
        if !self.is_newer(theirs, own) {
            return;
        }
        if self.holders.len() >= MAX_REMEMBERED {
            self.holders.remove(0);
        }
        self.holders.push(Holder {
            peer,
            is_near,
            holding: theirs,
            since,
        });
    }

    /// Returns the reading with the latest answer of the store, which updates carry.
    pub fn newest_reading(&self) -> Option<&Reading> {
        self.readings.iter().max_by_key(|r| r.at)
    }

    /// Returns the interval until the next exchange of an entry with this many peers, which has all
    /// data or not.
    pub fn exchange_interval(
        &self,
        now: time::Duration,
        peers: usize,
        is_complete: bool,
    ) -> time::Duration {
        let is_fresh = self.newest_answer().is_some_and(|at| now < at + MAX_AGE);
        if !is_complete {
            START_EXCHANGE_INTERVAL
        } else if is_fresh && !target::has_to_forward(peers) {
            SMALL_FLEET_EXCHANGE_INTERVAL
        } else {
            EXCHANGE_INTERVAL
        }
    }

    /// Returns the entries whose readings are fresh in a fleet of this many entries.
    pub fn fresh_readers(
        &self,
        now: time::Duration,
        entries: usize,
    ) -> impl Iterator<Item = net::Ipv4Addr> + '_ {
        let age = max_age(entries);
        let fresh = self.readings.iter().filter(move |r| now < r.at + age);
        fresh.map(|r| r.reader)
    }

    /// Returns when the store last answered an entry, as far as is known.
    pub fn newest_answer(&self) -> Option<time::Duration> {
        self.readings.iter().map(|r| r.at).max()
    }

    /// Returns when the store last answered an entry whose list this one's was found to agree with.
    pub fn last_answer(&self) -> Option<time::Duration> {
        self.agreed_answer_at
    }

    /// Returns whether a transfer is due or will be soon.
    pub fn has_holders(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Returns the next transfer for an entry that holds `own`, if one is due. Without a list or
    /// configuration none is delayed. An entry that reads the list itself doesn't fetch it.
    pub fn next_fetch(
        &mut self,
        now: time::Duration,
        own: Holding,
        rng: &mut random::Random,
    ) -> Option<Fetch> {
        let own = Holding {
            position: self.position,
            ..own
        };
        self.settled = self.settled.filter(|(.., until)| now < *until);
        let mut holders = std::mem::take(&mut self.holders);
        holders.retain(|h| self.is_newer(h.holding, own));
        self.holders = holders;
        self.avoided.retain(|(_, until)| now < *until);
        let reads = self.own_answer_at.is_some_and(|at| now < at + MAX_AGE);
        let is_starting = own.list == 0 || own.configuration == 0;
        let due = |holder: &Holder| {
            let age = now.saturating_sub(holder.since);
            let topic = if holder.holding.configuration > own.configuration {
                Topic::Configuration
            } else if own.list == 0 || (!reads && age >= FETCH_DELAY) {
                Topic::Backends
            } else {
                return None;
            };
            let is_due = holder.is_near || is_starting || age >= FAR_DELAY;
            is_due.then_some(Fetch {
                peer: holder.peer,
                topic,
                holding: holder.holding,
            })
        };
        for is_near in [true, false] {
            let holders = self.holders.iter();
            let holders = holders.filter(|h| h.is_near == is_near && !self.is_avoided(h.peer));
            let due: SmallVec<[Fetch; MAX_REMEMBERED]> = holders.filter_map(due).collect();
            if let Some(fetch) = due.get(rng.below(due.len())) {
                return Some(*fetch);
            }
        }
        None
    }

    /// Records a completed transfer; `list` is the digest of this entry's list after it.
    pub fn on_fetched(&mut self, now: time::Duration, fetch: &Fetch, list: u64) {
        self.failed_fetches = 0;
        if fetch.topic == Topic::Backends {
            if list != fetch.holding.list {
                self.settled = Some((list, fetch.holding.list, now + SETTLED_TIME));
            }
            self.compare(list, fetch.holding.list, fetch.holding.position);
        }
    }

    /// Records that a peer refused a transfer or didn't answer in time; returns the number of
    /// consecutive failures.
    pub fn on_fetch_failed(&mut self, now: time::Duration, peer: net::Ipv4Addr) -> u32 {
        self.avoided.push((peer, now + AVOID_TIME));
        self.failed_fetches += 1;
        self.failed_fetches
    }

    /// Records that a datagram of a peer arrived.
    pub fn on_heard(&mut self, now: time::Duration) {
        self.heard_at = Some(now);
    }

    /// Returns whether no peer has been heard for a while, though there were some.
    pub fn is_isolated(&self, now: time::Duration) -> bool {
        self.heard_at.is_some_and(|at| now >= at + ISOLATION_TIME)
    }

    /// Returns whether an entry that has started and lacks data reads the store itself, see
    /// [`start::Start::reads`].
    pub fn reads_at_start(
        &mut self,
        since_start: time::Duration,
        peers: usize,
        rng: &mut random::Random,
    ) -> bool {
        let has_heard = self.heard_at.is_some();
        self.start.reads(since_start, peers, has_heard, rng)
    }

    /// Returns whether a transfer to a peer is accepted, see [`transfer::Window::accept`].
    pub fn accept_transfer(&mut self, now: time::Duration) -> bool {
        self.transfers.accept(now)
    }

    fn are_settled(&self, own: u64, theirs: u64) -> bool {
        let settled = self.settled.map(|(own, theirs, _)| (own, theirs));
        settled == Some((own, theirs))
    }

    fn is_newer(&self, theirs: Holding, own: Holding) -> bool {
        let is_later = theirs.position > own.position
            && theirs.position >= self.changed_at
            && self.accepts_era(theirs.position.era);
        let has_newer_list = theirs.list != 0 && (own.list == 0 || is_later);
        let differs = own.list != theirs.list && !self.are_settled(own.list, theirs.list);
        theirs.configuration > own.configuration || (has_newer_list && differs)
    }

    fn is_avoided(&self, peer: net::Ipv4Addr) -> bool {
        self.avoided.iter().any(|(avoided, _)| *avoided == peer)
    }
}

// Returns the maximum age of a reading that counts as fresh: the readers' interval and a hop for
// each factor of the fanout in the size of the fleet.
fn max_age(entries: usize) -> time::Duration {
    let hops = (entries.max(1) as f64).log(target::FANOUT as f64).ceil();
    MAX_AGE + HOP_TIME.mul_f64(hops)
}
