//! Versions of each service that were listed while a stream may have begun.

use std::{collections, time};

use smallvec::SmallVec;

use super::{RETENTION, Version, service_hash};

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

    /// Returns whether this process has run for so long, or runs in a fleet that is so young, that it
    /// knows all versions that were listed within `lifetime`.
    pub fn has_watched(&self, now: time::Duration, lifetime: time::Duration) -> bool {
        matches!(self.first_start, FirstStart::Confirmed(_)) || now >= lifetime
    }

    /// Returns the versions that were listed within `lifetime`.
    pub fn view(&self, now: time::Duration, service: u64, lifetime: time::Duration) -> View {
        let listed = self.services.get(&service).into_iter().flatten();
        let recent = listed.filter(|l| l.servers > 0 || now < l.until + lifetime);
        let versions: SmallVec<[Version; 2]> = recent.map(|l| l.version).collect();
        let single = self.singles.get(&service);
        let is_single = |single: &Single| {
            let mut listed = versions.iter();
            listed.all(|version| single.covers(now, *version, lifetime))
        };
        View {
            is_complete: self.has_watched(now, lifetime) || single.is_some_and(is_single),
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
