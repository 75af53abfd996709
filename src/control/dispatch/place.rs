//! Places tickets for waiting requests.

use std::time;

use smallvec::SmallVec;

use crate::control::dispatch::{Dispatch, Stage, number};
use crate::wire::frame;
use crate::{code, filter, key, wire};

/// How long a request without deadline waits for a backend server to appear: longer than a sidecar
/// takes to restart and be linked again.
const NO_SERVER_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Waiting requests that are looked at for an idle sidecar: several windows of one.
const LOOKED_AT: usize = 64;

impl Dispatch {
    /// Places tickets for a request that has none, or leaves it for the next tick.
    pub(super) fn place(&mut self, now: time::Duration, request: key::Request) {
        let Some(held) = self.requests.get(request) else {
            return;
        };
        let Stage::Waiting {
            tickets,
            not_before,
        } = &held.stage
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
        if !self.has_room(now, request) {
            self.unplaced.push_back(request);
            return;
        }
        let held = &self.requests[request];
        if !held.ask.key.is_empty() {
            self.place_keyed(now, request);
            return;
        }
        let tried = held.trail.tried();
        let chosen = self.routing.place(now, &held.ask, tried, &self.sidecars);
        if chosen.is_empty() {
            self.wait_for_server(now, request);
        }
        for sidecar in chosen {
            self.offer(now, request, sidecar);
        }
    }

    /// Tries again for all requests without a ticket.
    pub(super) fn place_waiting(&mut self, now: time::Duration) {
        for _ in 0..self.unplaced.len() {
            if let Some(request) = self.unplaced.pop_front() {
                self.place(now, request);
            }
        }
    }

    /// A sidecar has idle slots and no ticket: it gets the oldest requests it could run, and new
    /// ones for a while.
    pub(super) fn wanted(&mut self, now: time::Duration, sidecar: key::Sidecar, slots: u32) {
        self.routing
            .want(now, sidecar, &self.sidecars[sidecar], slots);
        if self.routing.usable(sidecar) {
            self.feed(now, sidecar, slots);
        }
    }

    /// Offers waiting requests to a sidecar that has idle slots and no ticket.
    fn feed(&mut self, now: time::Duration, sidecar: key::Sidecar, slots: u32) {
        let Some(known) = self.sidecars.get(sidecar) else {
            return;
        };
        let fits = |request: &key::Request| {
            let Some(held) = self.requests.get(*request) else {
                return false;
            };
            let Stage::Waiting {
                tickets,
                not_before,
            } = &held.stage
            else {
                return false;
            };
            held.ask.key.is_empty()
                && *not_before <= now
                && !tickets.contains(&sidecar)
                && !held.trail.tried().contains(&sidecar)
                && known.open(now, &held.ask.service, &held.ask.model)
        };
        let chosen: SmallVec<[key::Request; LOOKED_AT]> = self
            .waiting
            .service(&known.service)
            .filter(fits)
            .take(LOOKED_AT)
            .collect();
        let mut left = slots;
        for request in chosen {
            // A customer at its limit must not keep the slots from those behind it.
            if left > 0 && self.has_room(now, request) {
                self.offer(now, request, sidecar);
                left -= 1;
            }
        }
    }

    /// Takes tickets back.
    pub(super) fn void(&mut self, request: key::Request, tickets: &[key::Sidecar]) {
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
        let held = &self.requests[request];
        if held.expires.is_none() && now >= held.arrived + NO_SERVER_LIMIT {
            let refusal = filter::Refusal {
                code: code::Code::NoBackendServer,
                detail: format!("service {}", held.ask.service),
                retry_after: Some(NO_SERVER_LIMIT),
            };
            self.refuse(request, refusal);
            return;
        }
        self.unplaced.push_back(request);
    }

    pub(super) fn offer(
        &mut self,
        now: time::Duration,
        request: key::Request,
        sidecar: key::Sidecar,
    ) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Waiting { tickets, .. } = &mut held.stage else {
            return;
        };
        tickets.push(sidecar);
        let left = held
            .expires
            .map_or(0, |at| at.saturating_sub(now).as_millis().max(1) as u64);
        let offer = wire::Offer {
            request: number(request),
            customer: held.ask.customer.clone(),
            model: held.ask.model.clone(),
            cost_hint: held.ask.cost_hint,
            prefix_hash: held.ask.prefix_hash,
            deadline_ms: left,
            service_total: self.shares.total(held.customer),
            weight: held.ask.weight,
            idempotency_key: held.ask.key.clone(),
            body_bytes: held.ask.body.len() as u64,
        };
        if let Some(known) = self.sidecars.get_mut(sidecar) {
            known.tickets += 1;
            known.send(frame::Entry::Offer(offer));
        }
    }
}
