//! Versions of each service that were listed while a stream may have begun.

use std::{collections, time};

use smallvec::SmallVec;

use super::join::{Joins, Opened, Statement};
use super::{Processes, RETENTION, Version, service_hash};

/// Maximum time by which entries differ on when a version was removed from the list.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

// Backend servers of one version.
#[derive(Debug)]
struct Listed {
    version: Version,
    servers: usize,
    // When the last of them was removed, if none is left.
    until: time::Duration,
}

// Evidence of others that a service had no other version than this one.
#[derive(Clone, Copy, Debug)]
struct Single {
    version: Version,
    at: time::Duration,
    // Time before `at` that it covers.
    covered: time::Duration,
}

impl Single {
    fn covers(&self, now: time::Duration, version: Version, lifetime: time::Duration) -> bool {
        self.version == version && now + self.covered >= self.at + lifetime
    }
}

/// Whether the fleet started for the first time with this process, so that no stream began before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FirstStart {
    /// It didn't, or that can't be known.
    #[default]
    No,
    /// The settings say so, which the store has to confirm: a process that starts again may read the
    /// settings of the first start.
    Claimed,
    /// It was confirmed at this time, after this process started.
    Confirmed(time::Duration),
}

/// Versions that were listed for each service since the process started.
#[derive(Debug, Default)]
pub struct History {
    first_start: FirstStart,
    services: collections::HashMap<u64, SmallVec<[Listed; 2]>>,
    singles: collections::HashMap<u64, Single>,
    /// Versions that aren't in use yet.
    pub joins: Joins,
    /// Versions of processes.
    pub processes: Processes,
    // Versions at which streams began before anything was known of the store.
    begun: collections::HashMap<u64, SmallVec<[Version; 2]>>,
}

impl History {
    /// Returns a history without versions.
    pub fn new(first_start: FirstStart) -> Self {
        Self {
            first_start,
            ..Self::default()
        }
    }

    /// Returns whether the fleet started for the first time with this process.
    pub fn first_start(&self) -> FirstStart {
        self.first_start
    }

    /// Records that the fleet's first start was confirmed at time `at`, here or at a peer. Returns
    /// whether this process takes part in it: it was running, and its settings say so. `at` is `None`
    /// if that was before it started.
    pub fn confirm_first_start(&mut self, at: Option<time::Duration>) -> bool {
        let is_confirmed = self.first_start == FirstStart::Claimed && at.is_some();
        if let Some(at) = at.filter(|_| is_confirmed) {
            self.first_start = FirstStart::Confirmed(at);
        }
        is_confirmed
    }

    /// Records a listed backend server.
    pub fn add(&mut self, service: &str, version: Version) {
        let listed = self.services.entry(service_hash(service)).or_default();
        if let Some(known) = listed.iter_mut().find(|l| l.version == version) {
            known.servers += 1;
            return;
        }
        listed.push(Listed {
            version,
            servers: 1,
            until: time::Duration::ZERO,
        });
    }

    /// Records that a backend server is no longer listed.
    pub fn remove(&mut self, now: time::Duration, service: &str, version: Version) {
        let listed = self.services.entry(service_hash(service)).or_default();
        if let Some(known) = listed.iter_mut().find(|l| l.version == version) {
            known.servers = known.servers.saturating_sub(1);
            known.until = now;
        }
        listed.retain(|l| l.servers > 0 || now < l.until + RETENTION);
    }

    /// Records that a listed process, which counted as a version of its own, runs this version.
    /// Streams that began there began at it.
    pub fn rename(&mut self, service: u64, process: Version, version: Version) {
        let listed = self.services.entry(service).or_default();
        if let Some(at) = listed.iter().position(|l| l.version == process) {
            let servers = listed[at].servers;
            let known = listed.iter_mut().find(|l| l.version == version);
            match known {
                Some(known) => {
                    known.servers += servers;
                    listed.remove(at);
                }
                None => listed[at].version = version,
            }
        }
        let single = self.singles.get_mut(&service);
        let single = single.map(|single| &mut single.version);
        let begun = self.begun.get_mut(&service).into_iter().flatten();
        let named = begun.chain(single).filter(|named| **named == process);
        named.for_each(|named| *named = version);
    }

    /// Records what others know: that a service had only this version within `covered` before `now`.
    pub fn on_single(
        &mut self,
        now: time::Duration,
        service: u64,
        version: Version,
        covered: time::Duration,
    ) {
        let single = Single {
            version,
            at: now,
            covered,
        };
        self.singles.insert(service, single);
    }

    /// Records what the platform's store says. Returns whether that is something else than before.
    pub fn on_statement(&mut self, statement: Statement) -> bool {
        let at = statement.at;
        if !self.joins.on_statement(statement) {
            return false;
        }
        let singles = self.joins.statement().into_iter();
        let singles: Vec<_> = singles.flat_map(|s| s.singles.clone()).collect();
        for (service, version) in singles {
            self.on_single(at, service, version, RETENTION);
        }
        for (service, versions) in std::mem::take(&mut self.begun) {
            let stored = self.joins.stored(service);
            if versions.iter().any(|version| Some(*version) != stored) {
                self.joins.open(service, Opened::Used);
            }
        }
        let services: Vec<u64> = self.services().collect();
        for service in services {
            if self.joins.stored(service).is_none() && self.listed(service).count() > 1 {
                self.joins.open(service, Opened::Stored);
            }
        }
        true
    }

    fn listed(&self, service: u64) -> impl Iterator<Item = &Listed> {
        let listed = self.services.get(&service).into_iter().flatten();
        listed.filter(|l| l.servers > 0)
    }

    /// Returns the version at which new streams of a service begin while the store names it and others are
    /// listed; `None` if they may begin at any.
    pub fn base(&self, service: u64) -> Option<Version> {
        let base = self.joins.base(service)?;
        let (own, all) = self.count(service, base);
        (own < all).then_some(base)
    }

    // Returns the number of listed backend servers of a version, and of all.
    fn count(&self, service: u64, version: Version) -> (usize, usize) {
        let servers = |l: &Listed| l.servers;
        let is_of_version = |l: &&Listed| l.version == version;
        let own = self.listed(service).find(is_of_version).map_or(0, servers);
        (own, self.listed(service).map(servers).sum())
    }

    /// Returns whether the store has to take back now that a service has a single version, since others
    /// are listed. Where none of its backend servers is left, no stream can go on at it; where few are, they
    /// aren't enough for new streams until callers that come late have come.
    pub fn has_to_open(&self, now: time::Duration, service: u64) -> bool {
        self.base(service).is_some_and(|base| {
            let (own, all) = self.count(service, base);
            own == 0 || self.joins.is_due(now, service, 2 * own >= all)
        })
    }

    /// Returns whether each stream of a service that no record names began at its only version, by what
    /// the platform's store says.
    pub fn is_stored(&self, service: u64) -> bool {
        let stored = self.joins.stored(service);
        let mut listed = self.listed(service);
        stored.is_some_and(|stored| listed.all(|l| l.version == stored))
    }

    /// Returns whether all entries count a service as having a single version, if this one does: they may
    /// have learned later that the others are gone.
    pub fn is_settled(&self, now: time::Duration, service: u64) -> bool {
        let versions = self.recent(now, service, RETENTION + SETTLE_TIME);
        !self.joins.is_opened(service) && versions.count() <= 1
    }

    /// Returns whether the store names the only version of each service that has backend servers, so that no
    /// stream needs a record.
    pub fn are_all_stored(&self) -> bool {
        let mut services = self.services();
        self.joins.statement().is_some()
            && services.all(|service| {
                let is_listed = self.listed(service).next().is_some();
                !is_listed || self.is_stored(service) && !self.joins.is_opened(service)
            })
    }

    /// Updates which versions are joining. To be called periodically.
    pub fn update_joins(&mut self, now: time::Duration) {
        let services: Vec<u64> = self.services().collect();
        for service in services {
            let stored = self.joins.stored(service);
            let mut listed = self.listed(service).map(|l| l.version);
            let (first, is_mixed) = (listed.next(), listed.next().is_some());
            drop(listed);
            if let Some(base) = self.base(service) {
                self.joins.on_second(now, service, base);
            } else if is_mixed && self.joins.statement().is_some() {
                self.joins.open(service, Opened::Stored);
            } else if self.recent(now, service, RETENTION).count() == 1
                && (stored.is_none() || stored == first)
            {
                self.joins.on_single(service);
            }
        }
    }

    /// Records that a peer or the store has a record of a stream that began at this version.
    pub fn on_record(&mut self, version: Version) {
        let is_listed = |service: &u64| self.listed(*service).any(|l| l.version == version);
        let service = self.services().find(is_listed);
        if let Some(service) = service {
            self.on_begun(service, version);
        }
    }

    /// Records that a stream that may be taken up has begun at this version.
    pub fn on_begun(&mut self, service: u64, version: Version) {
        if self.joins.statement().is_none() {
            let begun = self.begun.entry(service).or_default();
            if !begun.contains(&version) {
                begun.push(version);
            }
        }
        if self.base(service).is_some_and(|base| base != version) {
            self.joins.open(service, Opened::Used);
        }
    }

    fn recent(
        &self,
        now: time::Duration,
        service: u64,
        lifetime: time::Duration,
    ) -> impl Iterator<Item = Version> {
        let listed = self.services.get(&service).into_iter().flatten();
        let recent = listed.filter(move |l| l.servers > 0 || now < l.until + lifetime);
        recent.map(|l| l.version)
    }

    /// Returns whether this process has run for so long, or runs in a fleet that is so young, that it
    /// knows all versions that were listed within `lifetime`.
    pub fn has_watched(&self, now: time::Duration, lifetime: time::Duration) -> bool {
        matches!(self.first_start, FirstStart::Confirmed(_)) || now >= lifetime
    }

    /// Returns the versions that were listed within `lifetime`, without one that hasn't been used yet.
    pub fn view(&self, now: time::Duration, service: u64, lifetime: time::Duration) -> View {
        let base = self.base(service);
        let versions: SmallVec<[Version; 2]> = match base {
            Some(base) => SmallVec::from_slice(&[base]),
            None => self.recent(now, service, lifetime).collect(),
        };
        let single = self.singles.get(&service);
        let is_single = |single: &Single| {
            let mut listed = versions.iter();
            listed.all(|version| single.covers(now, *version, lifetime))
        };
        View {
            is_complete: self.has_watched(now, lifetime) || single.is_some_and(is_single),
            is_joined: base.is_some(),
            versions,
        }
    }

    /// Returns the services that have, or had, listed backend servers.
    pub fn services(&self) -> impl Iterator<Item = u64> + '_ {
        self.services.keys().copied()
    }
}

/// What an entry knows of the versions of a service, over the time for which a stream may be taken
/// up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Versions that were listed.
    pub versions: SmallVec<[Version; 2]>,
    /// True if there were no others; otherwise the process hasn't run for long enough to know.
    pub is_complete: bool,
    /// True if another version is listed that isn't in use yet.
    pub is_joined: bool,
}

impl View {
    /// Returns the only version, if there was no other.
    pub fn only(&self) -> Option<Version> {
        match self.versions[..] {
            [version] if self.is_complete => Some(version),
            _ => None,
        }
    }
}
