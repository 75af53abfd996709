//! Handles links to sidecars that are established or lost, and changes of the membership.

use std::time;

use crate::control::dispatch::sidecar::{self, Sidecar};
use crate::control::dispatch::{Dispatch, SidecarInfo, Stage, number};
use crate::decide::drain;
use crate::wire::frame;
use crate::{event, key, wire};

/// Maximum time that an attempt with a lost link waits to be resumed. Three times the idle timeout
/// of a link: enough to notice the loss, to reconnect, and to reconnect once more.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_secs(10);

impl Dispatch {
    /// Handles a new link: resumes the attempts of the sidecar, and gives up those of its earlier
    /// incarnation.
    pub(super) fn on_link_up(
        &mut self,
        now: time::Duration,
        id: &str,
        link: u64,
        welcome: wire::Welcome,
        tx: sidecar::Sender,
    ) {
        let key = self.intern_sidecar(id);
        let process = welcome.process.unwrap_or_default();
        let info = &mut self.sidecars[key];
        if info.incarnation != process.incarnation {
            info.leave_status = drain::LeaveStatus::default();
        }
        info.incarnation = process.incarnation;
        info.is_evacuated = self.evacuated_zones.contains(&process.zone);
        info.zone = process.zone;
        info.region = process.region;
        info.service = welcome.service;
        info.models = welcome.models;
        info.window = welcome.window;
        info.reported_at = now;
        info.tickets = 0;
        info.link = Some(sidecar::Link { number: link, tx });
        self.ring
            .note(event::Kind::LinkOpened)
            .field("sidecar", id)
            .field("incarnation", process.incarnation)
            .send();
        self.routing.on_link_up(now, key, &self.sidecars[key]);
        self.drop_tickets(now, key);
        for request in self.handed_over_to(key) {
            self.resume_attempt(now, request, key, process.incarnation);
        }
        self.place_unplaced(now);
    }

    /// Handles a lost link: voids the tickets there; attempts there wait to be resumed.
    pub(super) fn on_link_down(&mut self, now: time::Duration, id: &str, link: u64) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if self.sidecars[key].is_current(link) {
            self.drop_link(now, key);
        }
    }

    /// Stops using a sidecar.
    pub(super) fn on_sidecar_removed(&mut self, now: time::Duration, id: &str) {
        if let Some(&key) = self.by_id.get(id) {
            self.drop_link(now, key);
        }
    }

    fn drop_link(&mut self, now: time::Duration, key: key::Sidecar) {
        self.sidecars[key].link = None;
        self.routing.on_link_down(key, &self.sidecars[key]);
        self.clock.remove(key);
        self.sidecars[key].tickets = 0;
        self.ring
            .note(event::Kind::LinkClosed)
            .field("sidecar", &self.sidecars[key].id)
            .send();
        self.drop_tickets(now, key);
        for request in self.handed_over_to(key) {
            if let Stage::HandedOver(attempt) = &mut self.requests[request].stage {
                attempt.detached_at = Some(now);
                self.detached.push(request);
            }
        }
    }

    /// Updates the sidecars from the membership.
    pub(super) fn update_sidecars(
        &mut self,
        now: time::Duration,
        members: Vec<(SidecarInfo, bool)>,
    ) {
        for info in self.sidecars.values_mut() {
            info.is_listed = false;
        }
        for (found, leaving) in members {
            let key = self.intern_sidecar(&found.id);
            let info = &mut self.sidecars[key];
            info.is_evacuated = self.evacuated_zones.contains(&found.zone);
            info.zone = found.zone;
            info.service = found.service;
            info.is_listed = true;
            let was_open = info.leave_status.accepts_tickets(now);
            info.leave_status.observe(now, drain::Source::Peer, leaving);
            if was_open && leaving {
                self.drop_tickets(now, key);
            }
        }
    }

    /// Sets the evacuated availability zones: no request starts there, running ones finish.
    pub(super) fn set_evacuated_zones(&mut self, now: time::Duration, zones: &[String]) {
        self.evacuated_zones = zones.iter().cloned().collect();
        let mut changed = Vec::new();
        for (key, info) in &mut self.sidecars {
            let is_evacuated = self.evacuated_zones.contains(&info.zone);
            if info.is_evacuated != is_evacuated {
                info.is_evacuated = is_evacuated;
                changed.push(key);
            }
        }
        for key in changed {
            let info = &self.sidecars[key];
            self.ring
                .note(event::Kind::ZoneEvacuated)
                .field("sidecar", &info.id)
                .field("zone", &info.zone)
                .field("evacuated", info.is_evacuated)
                .send();
            self.routing.on_report(now, key, info);
            if info.is_evacuated {
                self.drop_tickets(now, key);
            }
        }
        self.place_unplaced(now);
    }

    /// Gives up attempts that were not resumed within [`RESUME_TIMEOUT`].
    pub(super) fn expire_detached(&mut self, now: time::Duration) {
        let mut lost = std::mem::take(&mut self.detached);
        lost.retain(|request| {
            let Some(state) = self.requests.get(*request) else {
                return false;
            };
            let Stage::HandedOver(attempt) = &state.stage else {
                return false;
            };
            let Some(since) = attempt.detached_at else {
                return false;
            };
            if now < since + RESUME_TIMEOUT {
                return true;
            }
            self.on_attempt_lost(now, *request);
            false
        });
        self.detached.append(&mut lost);
    }

    /// Removes all tickets at a sidecar without sending voids, and places the requests elsewhere.
    pub(super) fn drop_tickets(&mut self, now: time::Duration, sidecar: key::Sidecar) {
        let affected: Vec<_> = self
            .waiting
            .iter()
            .filter(|request| match &self.requests[*request].stage {
                Stage::Waiting { tickets, .. } => tickets.contains(&sidecar),
                Stage::HandedOver(_) => false,
            })
            .collect();
        for request in affected {
            if let Stage::Waiting { tickets, .. } = &mut self.requests[request].stage {
                tickets.retain(|key| *key != sidecar);
            }
            self.place(now, request);
        }
    }

    fn intern_sidecar(&mut self, id: &str) -> key::Sidecar {
        if let Some(key) = self.by_id.get(id) {
            return *key;
        }
        let key = self.sidecars.insert(Sidecar::unknown(id));
        self.by_id.insert(id.to_owned(), key);
        key
    }

    fn handed_over_to(&self, sidecar: key::Sidecar) -> Vec<key::Request> {
        self.requests
            .iter()
            .filter(|(_, state)| match &state.stage {
                Stage::HandedOver(attempt) => attempt.sidecar == sidecar,
                Stage::Waiting { .. } => false,
            })
            .map(|(request, _)| request)
            .collect()
    }

    fn resume_attempt(
        &mut self,
        now: time::Duration,
        request: key::Request,
        sidecar: key::Sidecar,
        incarnation: u64,
    ) {
        let state = &mut self.requests[request];
        let Stage::HandedOver(attempt) = &mut state.stage else {
            return;
        };
        if attempt.incarnation != incarnation {
            self.on_attempt_lost(now, request);
            return;
        }
        attempt.detached_at = None;
        let resume = wire::Resume {
            request: number(request),
            attempt: state.attempt,
            offset: attempt.response.received(),
            incarnation,
        };
        self.sidecars[sidecar].send(frame::Entry::Resume(resume));
        let state = &self.requests[request];
        self.note(event::Kind::RequestResumed, state)
            .field("offset", resume.offset)
            .send();
    }
}
