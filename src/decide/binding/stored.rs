//! Records in the platform's store of services that had a single version. They outlive all entries.

use std::{collections, time};

use super::join::{MAX_SINGLES, Position, Statement};
use super::{History, RETENTION, Version};

/// Maximum number of records that are kept of those that were read: more than services, as others may write
/// there.
const MAX_RESTORED: usize = 4_096;

/// Maximum number of changes that [`Stored::due`] returns.
const MAX_DUE: usize = 16;

/// Returns whether a fleet may start for the first time with a store of this era, if it counts them,
/// whose records of versions end at this offset. A store that was ever restored from an older copy may
/// have lost what an earlier fleet wrote.
pub fn may_be_first_start(era: Option<u64>, end: u64) -> bool {
    end == 0 && era.unwrap_or_default() == 0
}

/// What the store holds, as far as this entry knows.
#[derive(Debug, Default)]
pub struct Stored {
    // Service and its only version.
    singles: collections::BTreeMap<u64, Version>,
}

/// A change that the store lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Hash of the service's name.
    pub service: u64,
    /// Its only version; `None` deletes the record, since there are several.
    pub version: Option<Version>,
}

impl Stored {
    /// Replaces what is known of the store by what was read from it, and records that as evidence.
    pub fn restore(
        &mut self,
        now: time::Duration,
        records: impl IntoIterator<Item = (u64, Version)>,
        history: &mut History,
    ) {
        self.singles = records.into_iter().take(MAX_RESTORED).collect();
        for (service, version) in &self.singles {
            history.on_single(now, *service, *version, RETENTION);
        }
    }

    /// Returns changes that the store lacks, those that delete records first: new streams wait for these.
    pub fn due(&self, now: time::Duration, history: &History) -> Vec<Change> {
        let mut due = Vec::new();
        for service in history.services() {
            let view = history.view(now, service, RETENTION);
            let stored = self.singles.get(&service).copied();
            if view.is_joined && !history.has_to_open(now, service) {
                continue;
            }
            let is_contradicted = || stored.is_some_and(|stored| !view.versions.contains(&stored));
            let version = match view.only() {
                _ if view.is_joined => None,
                Some(_) if !history.is_settled(now, service) => continue,
                Some(version) if history.processes.is_unknown(version) => continue,
                Some(version) => Some(version),
                None if view.versions.len() > 1 || is_contradicted() => None,
                // Not known yet.
                None => continue,
            };
            let is_bounded = stored.is_some() || self.singles.len() < MAX_SINGLES;
            if version != stored && is_bounded {
                due.push(Change { service, version });
            }
        }
        due.extend(self.outdated(now, history));
        due.sort_unstable_by_key(|change| change.version.is_some());
        due.truncate(MAX_DUE);
        due
    }

    // Returns a change that deletes the record of a service that hasn't been listed for long, if there is one.
    fn outdated(&self, now: time::Duration, history: &History) -> Option<Change> {
        let known: collections::HashSet<u64> = history.services().collect();
        let mut services = self.singles.keys().copied();
        let service = services.find(|service| now >= RETENTION && !known.contains(service))?;
        Some(Change {
            service,
            version: None,
        })
    }

    /// Returns what the store says, by what was read from it and written up to this position.
    pub fn statement(&self, now: time::Duration, read: Position, history: &History) -> Statement {
        let singles = self.singles.iter().take(MAX_SINGLES);
        let singles = singles.map(|(service, version)| (*service, *version));
        let is_true = |(service, _): &(u64, Version)| !history.joins.is_opened(*service);
        Statement {
            read,
            at: now,
            singles: singles.filter(is_true).collect(),
            uptime: history.joins.uptime(now),
        }
    }

    /// Records that a change was written.
    pub fn on_written(&mut self, change: Change) {
        match change.version {
            Some(version) => self.singles.insert(change.service, version),
            None => self.singles.remove(&change.service),
        };
    }
}
