//! Versions of processes that were used before their versions were known.
//!
//! A backend server that starts again under its id serves before the list says which version it runs.
//! Until then its process has a version of its own ([`Version::of_process`]), so that a stream that
//! begins there goes on nowhere else. Entries derive it from the list entry alone. Once the list names
//! the version, records of the one mean the other, also after the process has ended.

use std::{collections, time};

use super::{RETENTION, Version};

#[derive(Clone, Copy, Debug)]
struct Process {
    // `None` as long as it isn't known.
    version: Option<Version>,
    // When the process was removed from the list.
    removed_at: Option<time::Duration>,
}

/// Versions of processes, by the versions that stand for them.
#[derive(Debug, Default)]
pub struct Processes(collections::HashMap<Version, Process>);

impl Processes {
    /// Records a listed process, and its version if it is known. Returns whether the version has
    /// become known.
    pub fn add(&mut self, process: Version, version: Option<Version>) -> bool {
        let known = self.0.entry(process).or_insert(Process {
            version,
            removed_at: None,
        });
        known.removed_at = None;
        let has_become_known = known.version.is_none() && version.is_some();
        known.version = version.or(known.version);
        has_become_known
    }

    /// Records that a process is no longer listed.
    pub fn remove(&mut self, now: time::Duration, process: Version) {
        if let Some(known) = self.0.get_mut(&process) {
            known.removed_at = Some(now);
        }
    }

    /// Returns the version that this one stands for; the same one if it stands for itself, or for a
    /// process whose version isn't known.
    pub fn resolve(&self, version: Version) -> Version {
        let process = self.0.get(&version);
        process.and_then(|p| p.version).unwrap_or(version)
    }

    /// Returns whether a version stands for a process whose own isn't known.
    pub fn is_unknown(&self, version: Version) -> bool {
        self.0.get(&version).is_some_and(|p| p.version.is_none())
    }

    /// Forgets processes that ended before the streams that may still be taken up. To be called
    /// periodically.
    pub fn sweep(&mut self, now: time::Duration) {
        let is_kept = |p: &Process| p.removed_at.is_none_or(|at| now < at + RETENTION);
        self.0.retain(|_, process| is_kept(process));
    }
}
