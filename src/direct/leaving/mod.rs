//! Backend servers that announce in a response that they are leaving.
//!
//! The list marks such a backend server too, but later than the response and only while the store
//! is available. The announcement applies to the process that sent the response, whatever the list
//! shows later: an outdated copy of the list, a peer or a late report may show the backend server
//! as ready. After a restart, under the same id or not, it is another process.

pub mod table;

use std::time;

use prost::Message as _;
use xxhash_rust::xxh3;

use super::peer::message;
use super::pool::backend;
use super::{roster, state};
use crate::key;

/// Time for which heartbeats name a removed backend server: long enough for every entry to receive
/// the list without it, also one that is seconds behind.
const REMOVAL_NAMED_TIME: time::Duration = time::Duration::from_secs(5);

/// Time for which a backend server counts as leaving after a heartbeat named it: several
/// heartbeats, after which either the list has it or it was an error.
const NAMED_LEAVING_TIME: time::Duration = time::Duration::from_millis(1_500);

impl state::Entry {
    /// Handles a response in which a backend server announces that it is leaving, and broadcasts
    /// it.
    pub fn on_backend_leaving(&self, server: key::Sidecar) {
        let process = self.backends.borrow().get(server).map(|b| b.process);
        let Some(process) = process.filter(|p| self.backends_leaving.add(*p)) else {
            return;
        };
        self.log_leaving(process, "answer");
        self.backends_leaving.unsent.add(process);
        if let Some(link) = &self.link {
            let datagram = message::Datagram {
                leaving: vec![process],
                ..link.envelope(self.incarnation)
            };
            let bytes = datagram.encode_to_vec();
            for address in self.peers.borrow().send_addresses() {
                link.send_bytes(*address, &bytes);
            }
        }
        self.update_states();
    }

    /// Handles a peer's message about backend servers that announced that they are leaving.
    pub fn on_leaving(&self, processes: &[u64]) {
        let mut is_new = false;
        for process in processes {
            if self.backends_leaving.add(*process) {
                self.log_leaving(*process, "neighbour");
                is_new = true;
            }
        }
        if is_new {
            self.update_states();
        }
    }

    /// Sends the newest leaving processes again, for an entry that has just started.
    pub fn send_leaving_again(&self) {
        self.backends_leaving.queue_resend();
    }

    /// Returns whether a backend server is leaving, by its own announcement or by the list.
    pub(super) fn is_backend_leaving(&self, backend: &backend::Backend) -> bool {
        backend.server.leaving || self.backends_leaving.contains(backend.process)
    }

    /// Returns whether a backend server may be sent a request now, by all that placement goes by;
    /// this may have changed since the slot was granted.
    pub fn accepts_requests(&self, server: key::Sidecar) -> bool {
        let (now, backends) = (self.now(), self.backends.borrow());
        let is_open = |b: &backend::Backend| {
            !self.is_backend_leaving(b)
                && !self.is_named_leaving(now, b.hash)
                && !self.zones.is_evacuated(&b.server)
        };
        let takes = |b: &backend::Backend| is_open(b) && b.is_available(now);
        backends.get(server).is_some_and(takes)
    }

    fn log_leaving(&self, process: u64, told_by: &str) {
        let backends = self.backends.borrow();
        if let Some(backend) = backends.values().find(|b| b.process == process) {
            self.log
                .line("backend_says_leaving")
                .with("backend", &backend.server.id)
                .with("told_by", told_by)
                .with("listed_leaving", backend.server.leaving);
        }
    }

    /// Returns the hashes of the ids of leaving and recently removed backend servers if this entry
    /// is a watcher, and none otherwise: other entries would repeat outdated information.
    pub fn departing(&self) -> Vec<u64> {
        if !self.peers.borrow().is_watcher() {
            return Vec::new();
        }
        let now = self.now();
        let mut roster = self.roster.borrow_mut();
        let gone = roster.take_deregistered(now, REMOVAL_NAMED_TIME);
        // A backend server that was removed when its list entry expired may be listed again.
        let mut hashes: Vec<u64> = gone
            .filter(|hash| self.server_by_hash(*hash).is_none())
            .collect();
        let leaving = roster.servers().filter(|s| s.leaving);
        let leaving = leaving.map(|s| xxh3::xxh3_64(s.id.as_bytes()));
        hashes.extend(leaving.take(roster::MAX_DEREGISTERED));
        hashes
    }

    /// Handles a heartbeat that names leaving and removed backend servers.
    ///
    /// Fetching the sender's list instead takes several iterations of the event loop, each of them
    /// seconds late in an overloaded process: such an entry still sent requests to backend servers
    /// 3 s after they were known to be leaving. The names are second-hand information: they expire,
    /// and are neither put into the list nor passed on. When they were passed on, two entries kept
    /// a working backend server out of use forever, each because the other named it.
    pub fn on_departing(&self, hashes: &[u64]) {
        let now = self.now();
        let mut is_new = false;
        for hash in hashes.iter().filter(|h| self.server_by_hash(**h).is_some()) {
            let before = self
                .named_leaving
                .borrow_mut()
                .insert(*hash, now + NAMED_LEAVING_TIME);
            is_new |= before.is_none_or(|until| now >= until);
        }
        if is_new {
            self.log
                .line("backends_named")
                .with("leaving", hashes.len());
            self.update_states();
        }
    }

    pub(super) fn is_named_leaving(&self, now: time::Duration, hash: u64) -> bool {
        self.named_leaving
            .borrow()
            .get(&hash)
            .is_some_and(|until| now < *until)
    }
}
