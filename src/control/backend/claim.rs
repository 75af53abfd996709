//! Queues tickets and claims the next one whenever a slot is free.

use std::time;

use crate::control::backend::Backend;
use crate::decide::{queue, share};
use crate::wire::frame;
use crate::{code, key, wire};

/// Maximum time that a claim holds a slot without a handover: many round trips between zones, and
/// short enough that an unresponsive entry blocks a slot for at most one second.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Number of entries that are asked for work at once. Those with waiting requests respond; all
/// others learn of the free slots from the next heartbeat.
const WANT_FANOUT: usize = 4;

/// A claimed ticket whose request has not arrived yet.
#[derive(Debug)]
pub struct Claim {
    /// When the claim expires and its slot may be given to another ticket.
    pub expires_at: time::Duration,
    /// Charge to the customer for the slot.
    pub reservation: share::Reservation,
}

impl Backend {
    /// Queues a ticket.
    pub(super) fn on_offer(&mut self, now: time::Duration, link: key::Link, offer: &wire::Offer) {
        if self.leaving {
            self.refuse_ticket(link, offer.request, code::Code::Leaving);
            return;
        }
        let customer = self.customers.intern(&offer.customer);
        self.shares.set_weight(customer, offer.weight);
        self.shares
            .observe_total(now, customer, offer.service_total);
        let deadline =
            (offer.deadline_ms > 0).then(|| now + time::Duration::from_millis(offer.deadline_ms));
        let ticket = queue::Ticket {
            customer,
            link,
            request: offer.request,
            model: 0,
            cost_hint: offer.cost_hint,
            prefix_hash: offer.prefix_hash,
            deadline,
            offered_at: now,
        };
        if self.queue.waiting(customer) == 0 {
            self.shares.activate(customer);
        }
        let ticket_id = (link, offer.request);
        self.remove_ticket(ticket_id);
        match self.queue.offer(ticket, &self.shares) {
            Ok(key) => drop(self.tickets.insert(ticket_id, key)),
            Err(code) => self.refuse_ticket(link, offer.request, code),
        }
    }

    /// Removes a ticket or claim that the entry voided, because the request ended or went to
    /// another sidecar.
    pub(super) fn on_void(&mut self, link: key::Link, void: &wire::Void) {
        let ticket_id = (link, void.request);
        self.remove_ticket(ticket_id);
        if let Some(claim) = self.claims.remove(&ticket_id) {
            self.is_slot_freed = true;
            self.shares.release(claim.reservation);
        }
    }

    /// Claims tickets while slots are free.
    pub(super) fn claim_tickets(&mut self, now: time::Duration) {
        while self.has_free_slot() {
            let Some((_, ticket)) = self.queue.pick(now, &mut self.shares) else {
                self.request_work();
                return;
            };
            let ticket_id = (ticket.link, ticket.request);
            self.tickets.remove(&ticket_id);
            let Some(link) = self.links.get(ticket.link) else {
                continue;
            };
            link.send(frame::Sidecar::Claim(wire::Claim {
                request: ticket.request,
            }));
            let reservation = self.shares.reserve(ticket.customer);
            let expires_at = now + CLAIM_TIMEOUT;
            self.claims.insert(
                ticket_id,
                Claim {
                    expires_at,
                    reservation,
                },
            );
        }
    }

    /// Asks some entries for work when a slot became free and no ticket waits, so that the slot
    /// does not stay idle until the next heartbeat. In an idle fleet no request ends, so nothing is
    /// sent.
    fn request_work(&mut self) {
        if !std::mem::take(&mut self.is_slot_freed) {
            return;
        }
        let want = wire::Want {
            slots: self.slots() - (self.running + self.claims.len() as u32),
            models: self.models.clone(),
        };
        self.want_cursor = self.want_cursor.wrapping_add(WANT_FANOUT);
        let from = self.want_cursor % self.links.len().max(1);
        let links = self.links.values().cycle().skip(from);
        for link in links.take(WANT_FANOUT.min(self.links.len())) {
            link.send(frame::Sidecar::Want(want.clone()));
        }
    }

    /// Frees the slots of claims that got no handover in time. A request that arrives later is
    /// refused as not started.
    pub(super) fn expire_claims(&mut self, now: time::Duration) {
        let expired = self.claims.extract_if(|_, claim| claim.expires_at <= now);
        for (_, claim) in expired {
            self.shares.release(claim.reservation);
        }
    }

    /// Frees the slots that were claimed over a lost link.
    pub(super) fn release_claims_of(&mut self, link: key::Link) {
        for (_, claim) in self.claims.extract_if(|(of, _), _| *of == link) {
            self.shares.release(claim.reservation);
        }
    }

    /// Refuses all tickets; the entries place them elsewhere.
    pub(super) fn void_tickets(&mut self) {
        let ticket_ids: Vec<_> = self.tickets.keys().copied().collect();
        for ticket_id in ticket_ids {
            self.remove_ticket(ticket_id);
            self.refuse_ticket(ticket_id.0, ticket_id.1, code::Code::Leaving);
        }
    }

    /// Removes a ticket, if it waits.
    pub(super) fn remove_ticket(&mut self, ticket_id: (key::Link, u64)) {
        if let Some(key) = self.tickets.remove(&ticket_id) {
            self.queue.remove_ticket(key);
        }
    }

    fn refuse_ticket(&self, link: key::Link, request: u64, code: code::Code) {
        let voided = wire::Voided {
            request,
            attempt: 0,
            code: u32::from(code.number()),
            not_started: true,
            retry_after_ms: 0,
        };
        if let Some(link) = self.links.get(link) {
            link.send(frame::Sidecar::Voided(voided));
        }
    }

    /// Returns the maximum number of requests that the backend server runs at once now.
    pub(super) fn slots(&self) -> u32 {
        if self.initial_window == 0 {
            return 0;
        }
        self.window.size()
    }

    fn has_free_slot(&mut self) -> bool {
        let full = self.response_bytes > self.setup.settings.answer_memory;
        if self.leaving || full || self.initial_window == 0 {
            return false;
        }
        self.window
            .has_room(self.running + self.claims.len() as u32)
    }
}
