//! Suspension of backend servers until it is known how cold they are.
//!
//! A restarted backend server is asked before it gets requests, whatever the list says and even
//! without a list. The deciding entry asks and broadcasts the answer; its peers ask only if they
//! receive nothing for `DECIDER_TIMEOUT`.

use std::{rc, time};

use prost::Message as _;

use super::inspect;
use super::peer::message;
use super::{listing, state};
use crate::decide::{place, restart};
use crate::key;

/// First pause between attempts to ask: short, for a process that is back at once.
const RETRY_FIRST: time::Duration = time::Duration::from_millis(100);
/// Maximum pause between attempts to ask: bounds the cost of a backend server that stays away.
const RETRY_MAX: time::Duration = time::Duration::from_secs(1);

/// Time for which peers wait for the answer from the deciding entry, which may be cut off
/// from the backend server.
const DECIDER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

impl state::Entry {
    /// Suspends a backend server whose process may have been replaced, until it has been asked how
    /// cold it is.
    pub(super) fn suspend(self: &rc::Rc<Self>, server: key::Sidecar, is_broadcast: bool) {
        let reports_cold = self.reports_cold(server);
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(server).filter(|_| reports_cold) else {
            return;
        };
        if std::mem::replace(&mut backend.is_unverified, true) {
            return;
        }
        backend.idle.clear();
        let hash = backend.hash;
        self.log
            .line("backend_suspended")
            .with("backend", &backend.server.id);
        drop(backends);
        verify_pending(self);
        self.update_states();
        if is_broadcast {
            self.broadcast_inspection(message::Inspection {
                server: hash,
                ended: true,
                ..message::Inspection::default()
            });
        }
    }

    fn is_unverified(&self, server: key::Sidecar) -> bool {
        let backends = self.backends.borrow();
        backends.get(server).is_some_and(|b| b.is_unverified)
    }

    /// Applies the answer of a backend server, broadcasts it and ends the suspension.
    pub(super) fn on_verified(&self, server: key::Sidecar, answer: restart::Answer) {
        let Some(hash) = self.server_hash(server) else {
            return;
        };
        self.log
            .line("backend_verified")
            .with("backend", self.server_id(server))
            .with("start", answer.start)
            .ms("cold_ms", answer.cold.unwrap_or_default());
        self.fleet.borrow_mut().forget_parts(server);
        self.apply_answer(server, answer);
        self.broadcast_inspection(message::Inspection {
            server: hash,
            start: answer.start,
            cold_ms: answer.cold.map(|cold| cold.as_millis() as u32),
            ended: false,
        });
    }

    fn apply_answer(&self, server: key::Sidecar, answer: restart::Answer) {
        let server = self.replace_process(server, answer);
        if let Some(backend) = self.backends.borrow_mut().get_mut(server) {
            backend.is_unverified = false;
            backend.down_until = time::Duration::ZERO;
        }
        self.set_cold_for(server, answer.cold);
        self.update_states();
    }

    fn set_cold_for(&self, server: key::Sidecar, cold: Option<time::Duration>) {
        let (Some(cold), Some(configuration)) = (cold, self.configuration()) else {
            return;
        };
        let per_s = {
            let backends = self.backends.borrow();
            let service = backends.get(server).map(|b| b.server.service.as_str());
            let service = service.and_then(|service| configuration.services.get(service));
            service.map_or(0.0, |service| service.cold_per_s)
        };
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_cold(now, server, now + cold, per_s);
    }

    // Replaces the list entry if the answer is from a later start of the process. Returns the key
    // of the process that answered.
    fn replace_process(&self, server: key::Sidecar, answer: restart::Answer) -> key::Sidecar {
        let known = self.backends.borrow().get(server).map(|b| b.server.clone());
        let earlier = known.filter(|k| k.report.start != 0 && k.report.start < answer.start);
        let Some(earlier) = earlier else {
            return server;
        };
        let id = earlier.id.clone();
        let report = listing::Report {
            start: answer.start,
            number: 0,
        };
        let cold_ms = answer.cold.unwrap_or_default().as_millis() as u32;
        self.apply_update(listing::Update::Listed(listing::Server {
            cold_ms,
            report,
            version: None,
            ..earlier
        }));
        self.keys.borrow().get(&id).copied().unwrap_or(server)
    }

    fn broadcast_inspection(&self, inspection: message::Inspection) {
        let Some(link) = &self.link else { return };
        if !inspection.ended {
            self.inspections.add(inspection);
        }
        let datagram = message::Datagram {
            inspections: vec![inspection],
            ..link.envelope(self.incarnation)
        };
        let bytes = datagram.encode_to_vec();
        for address in self.peers.borrow().send_addresses() {
            link.send_bytes(*address, &bytes);
        }
    }

    /// Handles a peer's finding that a backend server crashed, or the answer that the peer got from
    /// it.
    pub(super) fn on_inspection(self: &rc::Rc<Self>, inspection: &message::Inspection) {
        let Some(server) = self.server_by_hash(inspection.server) else {
            return;
        };
        if inspection.ended {
            self.suspend(server, false);
            return;
        }
        let answer = restart::Answer {
            start: inspection.start,
            cold: inspection
                .cold_ms
                .map(|ms| time::Duration::from_millis(ms.into())),
        };
        self.apply_answer(server, answer);
    }

    /// Returns whether only a peer may decide about a backend server because it is cold.
    pub fn leaves_to_decider(&self, server: key::Sidecar) -> bool {
        let cold = self.fleet.borrow().cold_for(self.now(), server);
        let hash = self.server_hash(server);
        !cold.is_zero() && hash.is_some_and(|hash| !self.peers.borrow().is_decider(hash))
    }

    /// Updates this entry's share of the request rate of cold backend servers, by how many peers
    /// may decide about them.
    pub(super) fn share_cold(&self) {
        let peers = self.peers.borrow();
        let share = place::cold_share(peers.entry_count(), peers.missing_entries());
        let now = self.now();
        self.fleet.borrow_mut().set_cold_share(now, share);
    }

    /// Handles a response in which a backend server states for how long it stays cold.
    pub(super) fn on_backend_cold(&self, server: key::Sidecar, cold: time::Duration) {
        let was_cold = !self.fleet.borrow().cold_for(self.now(), server).is_zero();
        self.set_cold_for(server, Some(cold));
        let Some(hash) = self
            .server_hash(server)
            .filter(|_| !was_cold && !cold.is_zero())
        else {
            return;
        };
        self.broadcast_inspection(message::Inspection {
            server: hash,
            cold_ms: Some(cold.as_millis() as u32),
            ..message::Inspection::default()
        });
    }

    // Backend servers in evacuated zones are not asked either.
    pub(super) fn may_ask(&self, server: key::Sidecar) -> bool {
        let backends = self.backends.borrow();
        backends
            .get(server)
            .is_some_and(|b| !self.zones.is_evacuated(&b.server))
    }

    // Time for which a restarted backend server counts as cold if it doesn't state it.
    fn full_cold(&self, server: key::Sidecar) -> Option<time::Duration> {
        let configuration = self.configuration()?;
        let backends = self.backends.borrow();
        let service = configuration
            .services
            .get(backends.get(server)?.server.service.as_str())?;
        Some(service.cold_start)
    }
}

/// Starts to ask the unverified backend servers that are not being asked yet.
pub fn verify_pending(entry: &rc::Rc<state::Entry>) {
    let mut pending = smallvec::SmallVec::<[key::Sidecar; 8]>::new();
    for (server, backend) in entry.backends.borrow_mut().iter_mut() {
        if backend.is_unverified && !std::mem::replace(&mut backend.is_being_asked, true) {
            pending.push(server);
        }
    }
    for server in pending {
        tokio::task::spawn_local(verify(rc::Rc::clone(entry), server));
    }
}

// Asks a backend server that may have restarted until it answers or a peer's answer arrives.
async fn verify(entry: rc::Rc<state::Entry>, server: key::Sidecar) {
    ask_until_known(&entry, server).await;
    if let Some(backend) = entry.backends.borrow_mut().get_mut(server) {
        backend.is_being_asked = false;
    }
}

async fn ask_until_known(entry: &rc::Rc<state::Entry>, server: key::Sidecar) {
    let started = entry.now();
    let mut pause = RETRY_FIRST;
    while entry.is_unverified(server) {
        let waited = entry.now().saturating_sub(started);
        let hash = entry.server_hash(server).unwrap_or_default();
        let decides = entry.peers.borrow().is_decider(hash);
        let may_ask = entry.may_ask(server);
        if may_ask && (decides || waited >= DECIDER_TIMEOUT) {
            match inspect::ask(entry, server).await {
                Ok(answer) => {
                    let answer = restart::Answer {
                        cold: answer.cold.or(entry.full_cold(server)),
                        ..answer
                    };
                    if entry.is_unverified(server) {
                        entry.on_verified(server, answer);
                    }
                    return;
                }
                Err(inspect::Error::Replaced) => return entry.on_replaced(server),
                Err(err) => {
                    entry.meter.count("inspections", "failed");
                    log::debug!(event = "inspection_failed", error:% = err; "");
                }
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}
