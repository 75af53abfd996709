//! Places tickets for waiting requests.

use std::time;

use smallvec::SmallVec;

use crate::control::dispatch::{Dispatch, Stage, number};
use crate::wire::frame;
use crate::{code, filter, key, wire};

/// Maximum time that a request without a deadline waits for a backend server: longer than a sidecar
/// takes to restart and to be linked again.
const NO_SERVER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum number of waiting requests that are considered for an idle sidecar: several windows of a
/// backend server.
const MAX_SCANNED: usize = 64;

impl Dispatch {
    /// Places tickets for a waiting request without any, or leaves it for the next tick.
    pub(super) fn place(&mut self, now: time::Duration, request: key::Request) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let Stage::Waiting {
            tickets,
            not_before,
        } = &state.stage
        else {
            return;
        };
        if !tickets.is_empty() {
            return;
        }
        if *not_before > now {
            self.unplaced.push_back(request);
            return;
        }
        if !self.has_customer_capacity(now, request) {
            self.unplaced.push_back(request);
            return;
        }
        let state = &self.requests[request];
        if !state.request.key.is_empty() {
            self.place_keyed(now, request);
            return;
        }
        let tried = state.history.tried();
        let chosen = self
            .routing
            .choose(now, &state.request, tried, &self.sidecars);
        if chosen.is_empty() {
            self.wait_for_server(now, request);
        }
        for sidecar in chosen {
            self.send_offer(now, request, sidecar);
        }
    }

    /// Retries the placement of all requests without a ticket.
    pub(super) fn place_unplaced(&mut self, now: time::Duration) {
        for _ in 0..self.unplaced.len() {
            if let Some(request) = self.unplaced.pop_front() {
                self.place(now, request);
            }
        }
    }

    /// Handles a sidecar with idle slots and no ticket: offers it the oldest requests that it can
    /// run, and prefers it for new ones for a while.
    pub(super) fn on_idle_slots(&mut self, now: time::Duration, sidecar: key::Sidecar, slots: u32) {
        self.routing
            .on_idle_slots(now, sidecar, &self.sidecars[sidecar], slots);
        if self.routing.is_usable(sidecar) {
            self.offer_waiting(now, sidecar, slots);
        }
    }

    /// Offers waiting requests to a sidecar with idle slots, at most one for each slot.
    fn offer_waiting(&mut self, now: time::Duration, sidecar: key::Sidecar, slots: u32) {
        let Some(info) = self.sidecars.get(sidecar) else {
            return;
        };
        let fits = |request: &key::Request| {
            let Some(state) = self.requests.get(*request) else {
                return false;
            };
            let Stage::Waiting {
                tickets,
                not_before,
            } = &state.stage
            else {
                return false;
            };
            state.request.key.is_empty()
                && *not_before <= now
                && !tickets.contains(&sidecar)
                && !state.history.tried().contains(&sidecar)
                && info.accepts_tickets(now, &state.request.service, &state.request.model)
        };
        let chosen: SmallVec<[key::Request; MAX_SCANNED]> = self
            .waiting
            .service(&info.service)
            .filter(fits)
            .take(MAX_SCANNED)
            .collect();
        let mut left = slots;
        for request in chosen {
            // A customer at its limit must not block the slots for the customers behind it.
            if left > 0 && self.has_customer_capacity(now, request) {
                self.send_offer(now, request, sidecar);
                left -= 1;
            }
        }
    }

    /// Voids the tickets of a request.
    pub(super) fn void_tickets(&mut self, request: key::Request, tickets: &[key::Sidecar]) {
        for key in tickets {
            if let Some(sidecar) = self.sidecars.get_mut(*key) {
                sidecar.tickets = sidecar.tickets.saturating_sub(1);
                let void = wire::Void {
                    request: number(request),
                    attempt: 0,
                };
                sidecar.send(frame::Entry::Void(void));
            }
        }
    }

    fn wait_for_server(&mut self, now: time::Duration, request: key::Request) {
        let state = &self.requests[request];
        if state.expires_at.is_none() && now >= state.arrived_at + NO_SERVER_TIMEOUT {
            let refusal = filter::Refusal {
                code: code::Code::NoBackendServer,
                detail: format!("service {}", state.request.service),
                retry_after: Some(NO_SERVER_TIMEOUT),
            };
            self.refuse(request, refusal);
            return;
        }
        self.unplaced.push_back(request);
    }

    pub(super) fn send_offer(
        &mut self,
        now: time::Duration,
        request: key::Request,
        sidecar: key::Sidecar,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Waiting { tickets, .. } = &mut state.stage else {
            return;
        };
        tickets.push(sidecar);
        let left = state
            .expires_at
            .map_or(0, |at| at.saturating_sub(now).as_millis().max(1) as u64);
        let offer = wire::Offer {
            request: number(request),
            customer: state.request.customer.clone(),
            model: state.request.model.clone(),
            cost_hint: state.request.cost_hint,
            prefix_hash: state.request.prefix_hash,
            deadline_ms: left,
            service_total: self.shares.total(state.customer),
            weight: state.request.weight,
            idempotency_key: state.request.key.clone(),
            body_bytes: state.request.body.len() as u64,
        };
        if let Some(info) = self.sidecars.get_mut(sidecar) {
            info.tickets += 1;
            info.send(frame::Entry::Offer(offer));
        }
    }
}
