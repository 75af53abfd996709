//! The list of backend servers that an entry knows, with those that were removed.

use std::{collections, time};

use bytes::Bytes;
use xxhash_rust::xxh3;

use super::{content, listing, parts};

/// Maximum number of removed backend servers that are remembered: days of replacements in a fleet
/// of 910.
const MAX_TOMBSTONES: usize = 4_096;

/// Maximum number of removed backend servers that a heartbeat names, 8 bytes each.
pub const MAX_DEREGISTERED: usize = 64;

/// List entries by id, and the last reports of removed ones.
#[derive(Debug, Default)]
pub struct Roster {
    listed: collections::HashMap<String, listing::Server>,
    // Last reports of removed backend servers, by id.
    tombstones: collections::HashMap<String, listing::Report>,
    // Reports that the store shows although newer ones are known.
    overtaken: listing::Overtaken,
    // Hashes of the ids of recently removed backend servers, with the time of their removal.
    deregistered: collections::VecDeque<(u64, time::Duration)>,
    is_complete: bool,
    // Digests of the list as a single part, by version, updated with each change.
    digests: [u64; 2],
    // The complete list as it is sent to peers that have none, with its digest: encoding thousands
    // of entries for each of them takes a weak processor longer than they wait.
    encoded: Option<(u64, content::Content)>,
}

/// Effect of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing changed.
    None,
    /// Only the report of a backend server is newer.
    Reported(listing::Server),
    /// These list entries changed.
    Changed(Vec<listing::Change>),
    /// More than some list entries may have changed.
    Replaced,
}

impl Roster {
    /// Returns the list entries, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &listing::Server> {
        self.listed.values()
    }

    /// Returns the list entry of a backend server.
    pub fn get(&self, id: &str) -> Option<&listing::Server> {
        self.listed.get(id)
    }

    /// Returns whether a complete list was received.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the version of a listed backend server isn't known.
    pub fn lacks_versions(&self) -> bool {
        self.servers().any(|server| server.version.is_none())
    }

    /// Returns the digest of the list, which is the same for entries with the same list.
    pub fn digest(&self, version: parts::Version) -> u64 {
        self.digests[version as usize]
    }

    /// Applies an update at time `now`.
    pub fn apply(&mut self, now: time::Duration, update: listing::Update) -> Effect {
        match update {
            listing::Update::Restored(server) if self.is_outdated(&server) => Effect::None,
            listing::Update::Restored(server) => self.list(server),
            listing::Update::Listed(server) => {
                let server = self.with_void(now, server);
                self.list(server)
            }
            // A backend server whose list entry can't be read can't be used.
            listing::Update::Gone(id) | listing::Update::Unreadable(id) => {
                self.remove_listed(now, &id, None)
            }
            listing::Update::GoneAt(id, report) => self.remove_listed(now, &id, Some(report)),
            listing::Update::FromPeer(servers) => self.merge(now, servers, |_| true),
            listing::Update::PartsFromPeer(parts) => {
                let is_included = |id: &str| parts.indices.contains(&parts::index(id, parts.count));
                self.merge(now, parts.servers, is_included)
            }
            listing::Update::Versions(servers) => self.add_versions(servers),
            listing::Update::All(servers) => self.replace(now, servers),
        }
    }

    /// Returns the complete list in the form that `encode` gives it, which is kept until the list
    /// changes.
    pub fn encoded(
        &mut self,
        encode: impl FnOnce(&Self) -> Option<Bytes>,
    ) -> Option<content::Content> {
        let digest = self.digest(parts::Version::Second);
        let kept = self.encoded.as_ref().filter(|(of, _)| *of == digest);
        if let Some((_, content)) = kept {
            return Some(content.clone());
        }
        let content = content::Content::from(encode(self)?);
        self.encoded = Some((digest, content.clone()));
        Some(content)
    }

    /// Keeps the complete list in the form in which a peer sent it, if this entry's list has the
    /// same digest, so that it is forwarded without being encoded again.
    pub fn keep_encoded(&mut self, digest: u64, content: content::Content) {
        if self.is_complete && self.digest(parts::Version::Second) == digest {
            self.encoded = Some((digest, content));
        }
    }

    /// Removes a list entry without a trace, since another instance has its address now.
    pub fn forget(&mut self, id: &str) {
        self.take(id);
    }

    /// Returns the digests of the list divided into `count` parts.
    pub fn part_digests(&self, version: parts::Version, count: usize) -> Vec<u64> {
        parts::digests(version, self.servers(), count)
    }

    /// Returns the parts of the list whose digests differ from these.
    pub fn differing_parts(&self, version: parts::Version, digests: &[u64]) -> listing::Parts {
        let count = digests.len();
        let own = self.part_digests(version, count);
        let differs = |part: &usize| own.get(*part) != digests.get(*part);
        let indices: Vec<usize> = (0..count).filter(differs).collect();
        let is_included =
            |s: &&listing::Server| indices.binary_search(&parts::index(&s.id, count)).is_ok();
        let servers = self.servers().filter(is_included).cloned().collect();
        listing::Parts {
            count,
            indices,
            servers,
        }
    }

    /// Returns the hashes of the ids of backend servers that were removed within `retention`, and
    /// forgets earlier ones.
    pub fn take_deregistered(
        &mut self,
        now: time::Duration,
        retention: time::Duration,
    ) -> impl Iterator<Item = u64> + '_ {
        self.deregistered.retain(|(_, at)| now < *at + retention);
        self.deregistered.iter().map(|(hash, _)| *hash)
    }

    fn list(&mut self, server: listing::Server) -> Effect {
        if self.is_overtaken(&server) {
            return Effect::None;
        }
        let server = self.with_known_fields(server);
        let known = self.listed.get(&server.id);
        let is_same = known.is_some_and(|known| known.is_same_payload(&server));
        // Peers ignored a list entry that was no newer than its removal.
        let was_outdated = known.is_some_and(|known| self.is_outdated(known));
        let is_accepted_again = was_outdated && !self.is_outdated(&server);
        self.put(server.clone());
        if is_same && !is_accepted_again {
            Effect::Reported(server)
        } else {
            Effect::Changed(vec![listing::Change::Listed(server)])
        }
    }

    // Removes a list entry, unless it is newer than the report after which it was removed.
    fn remove_listed(
        &mut self,
        now: time::Duration,
        id: &str,
        removed_at: Option<listing::Report>,
    ) -> Effect {
        let known = self.listed.get(id).map(|known| known.report);
        let is_newer = |known: listing::Report| removed_at.is_some_and(|at| known > at);
        if known.is_some_and(is_newer) {
            return Effect::None;
        }
        let Some(report) = known.max(removed_at) else {
            return Effect::None;
        };
        if known.is_none() {
            // Keeps a delayed list entry out.
            let last = self.tombstones.get(id).copied();
            self.add_tombstone(id.to_owned(), last.unwrap_or_default().max(report));
            return Effect::None;
        }
        self.take(id);
        self.deregister(now, id.to_owned(), report);
        Effect::Changed(vec![listing::Change::Gone(id.to_owned(), report)])
    }

    // Merges a peer's list, or the parts of it that `is_included` selects by id, but nothing
    // that is older than what is known here: a process that was suspended sends outdated lists.
    fn merge(
        &mut self,
        now: time::Duration,
        received: Vec<listing::Server>,
        is_included: impl Fn(&str) -> bool,
    ) -> Effect {
        let mut kept = collections::HashSet::new();
        for server in received {
            // One that is listed again is newer than its removal.
            if !self.listed.contains_key(&server.id) && self.is_outdated(&server) {
                continue;
            }
            kept.insert(server.id.clone());
            if !self.is_overtaken(&server) {
                let server = self.with_known_fields(server);
                self.put(server);
            }
        }
        let is_gone = |id: &&String| is_included(id) && !kept.contains(*id);
        let gone: Vec<String> = self.listed.keys().filter(is_gone).cloned().collect();
        for id in gone {
            if let Some(server) = self.take(&id) {
                self.deregister(now, id, server.report);
            }
        }
        self.is_complete = true;
        Effect::Replaced
    }

    // Replaces the list by the store's, except for what peers reported after the store was read. If
    // few entries changed, returns these.
    fn replace(&mut self, now: time::Duration, servers: Vec<listing::Server>) -> Effect {
        let was_complete = std::mem::replace(&mut self.is_complete, true);
        let servers: Vec<_> = servers
            .into_iter()
            .map(|read| {
                let read = self.with_void(now, read);
                (self.is_overtaken(&read), self.with_known_fields(read))
            })
            .collect();
        let before = std::mem::take(&mut self.listed);
        self.digests = [0; 2];
        let mut changes = Vec::new();
        for (is_overtaken, read) in servers {
            let known = before.get(&read.id);
            if known.is_none() && self.is_outdated(&read) {
                continue;
            }
            let newer = known.filter(|_| is_overtaken);
            let server = newer.cloned().unwrap_or(read);
            if known.is_none_or(|known| !known.is_same_payload(&server)) {
                changes.push(listing::Change::Listed(server.clone()));
            }
            self.put(server);
        }
        for (id, server) in before {
            if !self.listed.contains_key(&id) {
                self.deregister(now, id.clone(), server.report);
                changes.push(listing::Change::Gone(id, server.report));
            }
        }
        if was_complete {
            Effect::Changed(changes)
        } else {
            Effect::Replaced
        }
    }

    // Adds the versions of listed processes that aren't known.
    fn add_versions(&mut self, received: Vec<listing::Server>) -> Effect {
        let mut changes = Vec::new();
        self.encoded = None;
        for server in received {
            let known = self.listed.get_mut(&server.id);
            let known = known.filter(|k| k.version.is_none() && !k.is_other_process(&server));
            if let (Some(known), Some(version)) = (known, server.version) {
                known.version = Some(version);
                changes.push(listing::Change::Listed(known.clone()));
            }
        }
        Effect::Changed(changes)
    }

    // Adds what list entries may lack: the version of a known process if an entry of an earlier release
    // sent it, and which report was found to be false.
    fn with_known_fields(&self, server: listing::Server) -> listing::Server {
        let any = self.listed.get(&server.id);
        let known = any.filter(|known| !known.is_other_process(&server));
        let version = server.version.clone();
        listing::Server {
            version: version.or_else(|| known.and_then(|known| known.version.clone())),
            void: server.void.or(any.and_then(|known| known.void)),
            ..server
        }
    }

    // Adds to a list entry of the store the newer report that is known, if its process goes on reporting
    // nonetheless.
    fn with_void(&mut self, now: time::Duration, server: listing::Server) -> listing::Server {
        let known = self.listed.get(&server.id).map(|known| known.report);
        let newest = known.max(self.tombstones.get(&server.id).copied());
        let Some(newer) = newest.filter(|newest| !server.is_as_new_as(*newest)) else {
            self.overtaken.forget(&server.id);
            return server;
        };
        let report = server.report;
        let is_continued = self.overtaken.is_continued(now, &server.id, report);
        listing::Server {
            void: server.void.or(is_continued.then_some(newer)),
            ..server
        }
    }

    fn put(&mut self, server: listing::Server) {
        let gone = self.tombstones.get(&server.id);
        if gone.is_some_and(|report| server.has_voided(*report)) {
            self.tombstones.remove(&server.id);
        }
        self.add_to_digests(&server);
        let version = server.version.clone();
        if let Some(known) = self.listed.insert(server.id.clone(), server) {
            self.subtract_from_digests(&known);
            if known.version != version {
                // Digests, which peers of earlier releases compare, don't include versions.
                self.encoded = None;
            }
        }
    }

    fn take(&mut self, id: &str) -> Option<listing::Server> {
        let server = self.listed.remove(id)?;
        self.subtract_from_digests(&server);
        Some(server)
    }

    fn add_to_digests(&mut self, server: &listing::Server) {
        for version in parts::Version::ALL {
            let digest = &mut self.digests[version as usize];
            *digest = digest.wrapping_add(parts::entry_hash(version, server));
        }
    }

    fn subtract_from_digests(&mut self, server: &listing::Server) {
        for version in parts::Version::ALL {
            let digest = &mut self.digests[version as usize];
            *digest = digest.wrapping_sub(parts::entry_hash(version, server));
        }
    }

    // Returns whether a newer list entry of the backend server is known.
    fn is_overtaken(&self, server: &listing::Server) -> bool {
        let is_newer = |known: &listing::Server| {
            known.has_voided(server.report) || !server.is_as_new_as(known.report)
        };
        self.listed.get(&server.id).is_some_and(is_newer)
    }

    // Returns whether the backend server is known to have been removed after this report.
    fn is_outdated(&self, server: &listing::Server) -> bool {
        let gone = self.tombstones.get(&server.id);
        gone.is_some_and(|report| server.report <= *report && !server.has_voided(*report))
    }

    fn deregister(&mut self, now: time::Duration, id: String, report: listing::Report) {
        self.deregistered
            .push_back((xxh3::xxh3_64(id.as_bytes()), now));
        if self.deregistered.len() > MAX_DEREGISTERED {
            self.deregistered.pop_front();
        }
        self.add_tombstone(id, report);
    }

    fn add_tombstone(&mut self, id: String, report: listing::Report) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.clear();
        }
        self.tombstones.insert(id, report);
    }
}
