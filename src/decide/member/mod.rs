//! Membership: which processes of the fleet are alive, from sources that lag behind and contradict
//! each other.
//!
//! Load pattern: 1,270 processes of which 260 are replaced a day, a platform list that lags, and
//! partitions of an hour. With the list alone, work is sent to processes that left seconds ago.
//! With heartbeats alone, every node receives a row about every other node every few seconds, and a
//! node that was cut off reintroduces dead processes.
//!
//! Three sources are combined. A process's own statements, ordered by incarnation and heartbeat,
//! take precedence and spread by digests; leaving is never taken back within an incarnation. The
//! list adds new processes and removes dead ones. Direct contact, by a link or a gossip exchange,
//! shows at once whether a process answers, and a failure of it is used by this process only. A
//! process that is considered dead leaves a tombstone, so that only a newer statement of its own
//! brings it back, and not an old row from a node that was cut off.
//!
//! Times are durations since the process started.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use crate::decide::random;

mod digest;
mod list;

pub use digest::{DIGEST_ROWS, JOIN_DIGEST_ROWS};
pub use list::Listed;

/// Time between two heartbeats of a process that are spread by digests. 1,270 rows of about 100
/// bytes every 300 s are 4.2 rows or 420 bytes a second for every node, before repeats.
pub const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_secs(300);

/// Silence after which a process that is not on the list is considered dead: three heartbeats.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(900);

/// Time that a process must be both missing from the list and silent to be considered dead. The
/// list loses and regains rows while the platform replaces its own components.
pub const DEREGISTERED_GRACE: time::Duration = time::Duration::from_secs(10);

/// Time for which a tombstone is kept. A row that is passed on restarts [`SILENCE_TIMEOUT`]
/// at each process; 2 h are eight of these, more than the rounds that an old row needs to reach
/// all processes.
pub const TOMBSTONE_LIFETIME: time::Duration = time::Duration::from_secs(7200);

/// Maximum number of tombstones: many times the 260 replacements of a day, at about 100 bytes each.
const MAX_TOMBSTONES: usize = 4096;

/// Consecutive failures of direct contact after which a process is suspected. A single one may be
/// a lost packet.
const SUSPECT_AFTER_FAILURES: u32 = 2;

/// Maximum time for which a process that answers again after failures gets no work.
const MAX_RECOVERY_DELAY: time::Duration = time::Duration::from_secs(60);

/// Time without failures after which earlier ones no longer count.
const FLAP_RESET_AFTER: time::Duration = time::Duration::from_secs(600);

/// Number of watchers of a zone, which read the log and the list at a high rate for all others.
/// Two allow one to fail; each zone has its own, so that a zone that is cut off still has some.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Role {
    /// An entry.
    #[display("entry")]
    Entry,
    /// A sidecar.
    #[display("sidecar")]
    Sidecar,
}

/// What a process states about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique id.
    pub id: String,
    /// Number of its incarnation, which grows with each restart; 0 if unknown.
    pub incarnation: u64,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of its backend server, empty for entries.
    pub service: String,
    /// Address for the fleet's own processes.
    pub address: net::SocketAddr,
    /// Address of the operators' port.
    pub ops_address: Option<net::SocketAddr>,
    /// Number of its last heartbeat, which grows while it is alive.
    pub heartbeat: u64,
    /// True once the process takes no new work and is about to end.
    pub leaving: bool,
}

/// Status of a process as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The process takes new work.
    Live,
    /// The process does not answer, or has only just begun to answer again.
    Suspected,
    /// The process is leaving.
    Leaving,
}

/// A change of membership, to be logged or acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process was seen for the first time or again after a restart.
    Joined(String),
    /// A process is leaving.
    Leaving(String),
    /// A process does not answer.
    Suspected(String),
    /// A process is considered dead.
    Lost(String),
}

/// Presence of a process on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Never,
    Present,
    Deregistered(time::Duration),
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    heard_at: time::Duration,
    listing: Listing,
    listed_leaving: bool,
    failures: u32,
    failed_at: time::Duration,
    flaps: u32,
    recovering_until: time::Duration,
    // Number of further digests that carry this row.
    repeats: u32,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: u64,
    heartbeat: u64,
    until: time::Duration,
}

/// All processes that this one knows.
#[derive(Clone, Debug)]
pub struct Table {
    own: Member,
    rows: collections::BTreeMap<String, Row>,
    tombstones: collections::HashMap<String, Tombstone>,
    random: random::Random,
    // Time since which most of the list has been missing.
    mass_removal_since: Option<time::Duration>,
    cursor: usize,
    version: u64,
    has_urgent_change: bool,
    events: Vec<Event>,
}

impl Table {
    /// Returns a table that contains this process only.
    pub fn new(own: Member) -> Self {
        let seed = xxh3::xxh3_64_with_seed(own.id.as_bytes(), own.incarnation);
        Self {
            own,
            rows: collections::BTreeMap::new(),
            tombstones: collections::HashMap::new(),
            random: random::Random::new(seed),
            mass_removal_since: None,
            cursor: 0,
            version: 0,
            has_urgent_change: false,
            events: Vec::new(),
        }
    }

    /// Returns what this process states about itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a number that grows whenever the result of [`Table::live`] may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of known processes without this one.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether this process knows no other.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether a change since the last call must be sent to other processes at once.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.has_urgent_change)
    }

    /// Marks this process as leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
        self.own.heartbeat += 1;
        self.has_urgent_change = true;
    }

    /// Counts a heartbeat of this process; called once each [`HEARTBEAT_PERIOD`].
    pub fn heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Returns whether this process is a watcher of its zone. Each process ranks the zone's
    /// processes by the hash of their ids. Where their views differ there are more or fewer
    /// watchers, which costs a few reads, or some time until the other processes poll.
    pub fn is_watcher(&self) -> bool {
        let rank = |id: &str| xxh3::xxh3_64(id.as_bytes());
        let own = rank(&self.own.id);
        let zone = self
            .rows
            .values()
            .filter(|row| row.member.zone == self.own.zone);
        let before = zone.filter(|row| row.is_answering() && rank(&row.member.id) < own);
        before.count() < WATCHERS_PER_ZONE
    }

    /// Returns the processes that take new work.
    pub fn live<'a>(
        &'a self,
        now: time::Duration,
        role: Role,
        service: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Member> {
        self.rows
            .values()
            .filter(move |row| row.accepts_work(now) && row.member.role == role)
            .map(|row| &row.member)
            .filter(move |member| service.is_none_or(|name| name == member.service))
    }

    /// Returns all known processes with their status.
    pub fn members(&self, now: time::Duration) -> impl Iterator<Item = (&Member, Status)> {
        self.rows
            .values()
            .map(move |row| (&row.member, row.status(now)))
    }

    /// Applies a process's statement about itself, received from it or passed on by another.
    pub fn observe_member(&mut self, now: time::Duration, member: Member) {
        if member.id == self.own.id || self.is_outdated(&member) {
            return;
        }
        self.tombstones.remove(&member.id);
        let repeats = self.repeats();
        let Some(row) = self.rows.get_mut(&member.id) else {
            return self.insert_row(now, member, Listing::Never);
        };
        let known = &mut row.member;
        if member.incarnation < known.incarnation {
            return;
        }
        if member.incarnation > known.incarnation {
            let listing = row.listing;
            return self.insert_row(now, member, listing);
        }
        if member.heartbeat > known.heartbeat {
            row.repeats = row.repeats.max(digest::HEARTBEAT_REPEATS);
            let moved = member.address != known.address || member.service != known.service;
            if row.record_answer(now) || moved {
                self.version += 1;
            }
            let leaving = row.member.leaving;
            row.member = Member {
                leaving,
                ..member.clone()
            };
        }
        if member.leaving && !row.member.leaving {
            row.member.leaving = true;
            row.repeats = repeats;
            self.has_urgent_change = true;
            self.version += 1;
            self.events.push(Event::Leaving(member.id));
        }
    }

    /// Records that a process answered this one directly.
    pub fn observe_answer(
        &mut self,
        now: time::Duration,
        id: &str,
        incarnation: u64,
        leaving: bool,
    ) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if incarnation < row.member.incarnation {
            return;
        }
        // A new incarnation inherits nothing that is known about the earlier one.
        if incarnation > row.member.incarnation {
            let member = Member {
                incarnation,
                leaving,
                heartbeat: 0,
                ..row.member.clone()
            };
            return self.observe_member(now, member);
        }
        if row.record_answer(now) {
            self.version += 1;
        }
        let member = Member {
            leaving,
            ..row.member.clone()
        };
        self.observe_member(now, member);
    }

    /// Records that a process did not answer this one.
    pub fn observe_failure(&mut self, now: time::Duration, id: &str) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if now.saturating_sub(row.failed_at) > FLAP_RESET_AFTER {
            row.flaps = 0;
        }
        row.failures += 1;
        row.failed_at = now;
        if row.failures == SUSPECT_AFTER_FAILURES {
            self.version += 1;
            self.events.push(Event::Suspected(id.to_owned()));
        }
    }

    /// Removes the processes that are considered dead and the expired tombstones.
    pub fn expire(&mut self, now: time::Duration) {
        self.tombstones.retain(|_, tombstone| tombstone.until > now);
        let lost = self.rows.values().filter(|row| row.is_lost(now));
        let lost: Vec<String> = lost.map(|row| row.member.id.clone()).collect();
        for id in lost {
            self.remove(now, id);
        }
    }

    fn remove(&mut self, now: time::Duration, id: String) {
        let Some(row) = self.rows.remove(&id) else {
            return;
        };
        let Member {
            incarnation,
            heartbeat,
            ..
        } = row.member;
        let tombstone = Tombstone {
            incarnation,
            heartbeat,
            until: now + TOMBSTONE_LIFETIME,
        };
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
        self.tombstones.insert(id.clone(), tombstone);
        self.version += 1;
        self.events.push(Event::Lost(id));
    }

    // Makes room for a new tombstone, which outdated rows are more likely to contradict.
    fn drop_oldest_tombstone(&mut self) {
        let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.until);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.tombstones.remove(&oldest);
        }
    }

    fn is_outdated(&self, member: &Member) -> bool {
        let tombstone = self.tombstones.get(&member.id);
        tombstone
            .is_some_and(|s| (member.incarnation, member.heartbeat) <= (s.incarnation, s.heartbeat))
    }

    fn insert_row(&mut self, now: time::Duration, member: Member, listing: Listing) {
        let id = member.id.clone();
        let leaving = member.leaving;
        let row = Row {
            member,
            heard_at: now,
            listing,
            listed_leaving: false,
            failures: 0,
            failed_at: time::Duration::ZERO,
            flaps: 0,
            recovering_until: time::Duration::ZERO,
            repeats: self.repeats(),
        };
        self.rows.insert(id.clone(), row);
        self.version += 1;
        self.has_urgent_change |= leaving;
        self.events.push(if leaving {
            Event::Leaving(id)
        } else {
            Event::Joined(id)
        });
    }
}

impl Row {
    fn is_answering(&self) -> bool {
        self.failures < SUSPECT_AFTER_FAILURES && !self.member.leaving && !self.listed_leaving
    }

    fn accepts_work(&self, now: time::Duration) -> bool {
        self.status(now) == Status::Live
    }

    fn status(&self, now: time::Duration) -> Status {
        if self.member.leaving || self.listed_leaving {
            Status::Leaving
        } else if self.is_answering() && now >= self.recovering_until {
            Status::Live
        } else {
            Status::Suspected
        }
    }

    /// Records an answer and returns whether the process was suspected. After each suspicion it
    /// gets no work for twice as long as after the one before.
    fn record_answer(&mut self, now: time::Duration) -> bool {
        self.heard_at = now;
        let suspected = self.failures >= SUSPECT_AFTER_FAILURES;
        if suspected {
            let delay = time::Duration::from_secs(1 << self.flaps.min(6));
            self.recovering_until = now + delay.min(MAX_RECOVERY_DELAY);
            self.flaps += 1;
        }
        self.failures = 0;
        suspected
    }

    fn is_lost(&self, now: time::Duration) -> bool {
        let silent = now.saturating_sub(self.heard_at) >= SILENCE_TIMEOUT;
        match self.listing {
            Listing::Never => silent,
            Listing::Present => false,
            Listing::Deregistered(since) => {
                let unheard =
                    self.heard_at <= since && now.saturating_sub(since) >= DEREGISTERED_GRACE;
                unheard || silent
            }
        }
    }
}
