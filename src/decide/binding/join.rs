//! Versions that join the one that the platform's store names as a service's only one.
//!
//! The store outlives all entries, and says of most services that they have a single version. While it
//! says so, each stream that no record names began at that version, provided that no stream begins at
//! another one before the store has taken the statement back. New streams therefore begin at the
//! service's first version until that is written, and until then records of those that run are on their
//! way to the store.

use std::{collections, time};

use super::Version;

/// Time from the listing of a second version until the store takes back that there is one: what the
/// list takes to reach all entries, and records of their streams to reach the store.
pub const JOIN_DELAY: time::Duration = time::Duration::from_secs(1);

/// Least time since the start of the fleet until then. Callers whose streams broke when all entries were
/// killed take them up meanwhile, after some attempts.
pub const MIN_UPTIME: time::Duration = time::Duration::from_secs(6);

/// Time for which a version is kept from new streams if the store can't be written.
const MAX_JOIN_TIME: time::Duration = time::Duration::from_secs(20);

/// Maximum number of services that the store names. Updates between entries carry all of them.
pub const MAX_SINGLES: usize = 64;

/// Position in the store's records of versions. Of two entries that read them, the one that has read up to
/// the later position knows more, whenever it says so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Offset in this era.
    pub offset: u64,
}

/// What the platform's store says up to some position, by an entry that reads it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Position up to which the records were read.
    pub read: Position,
    /// When it was true.
    pub at: time::Duration,
    /// Services with a single version.
    pub singles: collections::BTreeMap<u64, Version>,
    /// Time for which entries of the fleet have run without a break, as far as is known.
    pub uptime: time::Duration,
}

/// Why a version that joined another one serves new streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Opened {
    /// The store says that the service has several versions, or nothing.
    #[display("stored")]
    Stored,
    /// A stream began at it, since no backend server of the first version could be used, here or elsewhere.
    #[display("used")]
    Used,
    /// The store couldn't be written.
    #[display("timeout")]
    Timeout,
}

/// A change of a service, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Hash of the service's name.
    pub service: u64,
    /// Its first version.
    pub base: Version,
    /// Why another version serves new streams; `None` if one has joined that doesn't yet.
    pub opened: Option<Opened>,
}

/// Services that have been listed with a second version beside the one that the store names.
#[derive(Debug, Default)]
pub struct Joins {
    statement: Option<Statement>,
    // First version of each service beside which another one waits, and since when.
    waiting: collections::HashMap<u64, (Version, time::Duration)>,
    // Services of which no backend server of the first version could be used.
    urgent: collections::HashSet<u64>,
    // Services of which streams may have begun at any version that is listed.
    opened: collections::HashSet<u64>,
    events: Vec<Event>,
    // Time for which the fleet had run when this process started.
    uptime_before: time::Duration,
}

impl Joins {
    /// Returns the newest statement.
    pub fn statement(&self) -> Option<&Statement> {
        self.statement.as_ref()
    }

    /// Returns the time for which entries of the fleet have run without a break, as far as is known.
    pub fn uptime(&self, now: time::Duration) -> time::Duration {
        now + self.uptime_before
    }

    /// Records how long a peer knows that the fleet has run.
    pub fn on_uptime(&mut self, now: time::Duration, uptime: time::Duration) {
        let before = uptime.saturating_sub(now).min(MIN_UPTIME);
        self.uptime_before = self.uptime_before.max(before);
    }

    /// Returns the version that the store names as the only one of a service.
    pub fn stored(&self, service: u64) -> Option<Version> {
        let statement = self.statement.as_ref()?;
        statement.singles.get(&service).copied()
    }

    /// Lowers the position of a statement of an era after `limit`, the store's true one, so that its
    /// statements replace it. Returns whether it was.
    pub fn limit(&mut self, limit: u64) -> bool {
        let statement = self.statement.as_mut();
        let Some(statement) = statement.filter(|s| s.read.era > limit) else {
            return false;
        };
        statement.read = Position {
            era: limit,
            offset: 0,
        };
        true
    }

    /// Records a statement, unless a newer one is known. Returns whether it says something else than
    /// the last one.
    pub fn on_statement(&mut self, statement: Statement) -> bool {
        let last = self.statement.as_ref();
        if last.is_some_and(|last| last.read > statement.read) {
            return false;
        }
        let mut statement = statement;
        if let Some(last) = last.filter(|last| last.read == statement.read) {
            // An entry leaves out what it knows to be true no longer.
            let singles = &mut statement.singles;
            singles.retain(|service, version| last.singles.get(service) == Some(&*version));
        }
        let is_other = last.is_none_or(|last| {
            last.singles != statement.singles || last.read.era < statement.read.era
        });
        self.statement = Some(statement);
        let waiting: Vec<u64> = self.waiting.keys().copied().collect();
        for service in waiting {
            if self.stored(service).is_none() {
                self.open(service, Opened::Stored);
            }
        }
        is_other
    }

    /// Returns the version that new streams of a service begin at for now, if the store names it, it is
    /// one of several that are listed, and none of the others has been used.
    pub fn base(&self, service: u64) -> Option<Version> {
        self.stored(service)
            .filter(|_| !self.opened.contains(&service))
    }

    /// Returns whether streams of a service may have begun at a version that the store doesn't name.
    pub fn is_opened(&self, service: u64) -> bool {
        self.opened.contains(&service)
    }

    /// Records that no backend server of a service's first version can be used, so that another version
    /// doesn't wait for callers that come late.
    pub fn on_unusable(&mut self, service: u64) {
        if self.waiting.contains_key(&service) {
            self.urgent.insert(service);
        }
    }

    /// Returns since when a version has waited beside the first one of a service.
    pub fn waiting_since(&self, service: u64) -> Option<time::Duration> {
        self.waiting.get(&service).map(|(_, since)| *since)
    }

    /// Returns whether the time is over in which a version waits, with time for callers that come late or
    /// without.
    pub fn is_due(&self, now: time::Duration, service: u64, waits_for_callers: bool) -> bool {
        let min_uptime = if waits_for_callers && !self.urgent.contains(&service) {
            MIN_UPTIME
        } else {
            time::Duration::ZERO
        };
        let since = self.waiting_since(service);
        since.is_some_and(|since| now >= since + JOIN_DELAY && self.uptime(now) >= min_uptime)
    }

    /// Records that a second version of a service is listed, and opens it if it has waited for too long.
    pub fn on_second(&mut self, now: time::Duration, service: u64, base: Version) {
        let events = &mut self.events;
        let (_, since) = self.waiting.entry(service).or_insert_with(|| {
            events.push(Event {
                service,
                base,
                opened: None,
            });
            (base, now)
        });
        let settled = MIN_UPTIME.saturating_sub(self.uptime_before);
        if now >= (*since).max(settled) + MAX_JOIN_TIME {
            self.open(service, Opened::Timeout);
        }
    }

    /// Records that a service is listed with its first version only, as long as streams may be taken up.
    pub fn on_single(&mut self, service: u64) {
        self.waiting.remove(&service);
        self.urgent.remove(&service);
        self.opened.remove(&service);
    }

    /// Lets new streams of a service begin at any version.
    pub fn open(&mut self, service: u64, reason: Opened) {
        let waiting = self.waiting.remove(&service);
        self.urgent.remove(&service);
        if !self.opened.insert(service) {
            return;
        }
        if let Some((base, _)) = waiting {
            self.events.push(Event {
                service,
                base,
                opened: Some(reason),
            });
        }
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}
