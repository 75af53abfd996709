//! Admission control: customer limits, deadlines that cannot be met, and load shedding when memory
//! is full.

use std::time;

use crate::control::dispatch::{Dispatch, Stage};
use crate::decide::{admit, limit};
use crate::{catalogue, code, filter, key};

/// Maximum number of a customer's waiting requests that are scanned for tickets. This also bounds
/// the customer's concurrency at one entry, at several times what all backend servers run for it.
const MAX_SCANNED: usize = 1_024;

impl Dispatch {
    /// Admits or refuses a new request; an admitted one counts as waiting.
    pub(super) fn admit(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        request: &filter::Request,
    ) -> Result<(), filter::Refusal> {
        self.limits.set(now, customer, limits(&request.limits));
        let bytes = request.body.len() as u64;
        self.limits.admit(now, customer, bytes).map_err(refusal)?;
        let deadline = request.deadline.map(|deadline| now + deadline);
        match self.admission.admit(now, customer, bytes, deadline) {
            admit::Admission::Wait => Ok(()),
            admit::Admission::Displace(other) => {
                self.displace(other);
                Ok(())
            }
            admit::Admission::Refuse(refused) => {
                self.limits.remove_waiting(customer, bytes);
                Err(refusal(refused))
            }
        }
    }

    /// Refuses the newest waiting request of a customer that exceeds its share.
    fn displace(&mut self, customer: key::Customer) {
        let newest = self.waiting.newest(customer);
        if let Some(request) = newest {
            let mut refusal = filter::Refusal::new(code::Code::Shed, "");
            refusal.retry_after = Some(limit::DEFAULT_RETRY_AFTER);
            self.refuse(request, refusal);
        }
    }

    /// Returns whether the customer's limits allow tickets for another of its waiting requests.
    pub(super) fn has_customer_capacity(
        &mut self,
        now: time::Duration,
        request: key::Request,
    ) -> bool {
        let state = &self.requests[request];
        let placed = if state.request.limits.concurrency.is_some() {
            let waiting = self.waiting.customer(state.customer).take(MAX_SCANNED);
            waiting.filter(|other| self.has_ticket(*other)).count()
        } else {
            0
        };
        self.limits.has_room(now, state.customer, placed as u32)
    }

    fn has_ticket(&self, request: key::Request) -> bool {
        self.requests.get(request).is_some_and(
            |state| matches!(&state.stage, Stage::Waiting { tickets, .. } if !tickets.is_empty()),
        )
    }

    /// Updates limits and admission for a waiting request that starts.
    pub(super) fn account_start(&mut self, now: time::Duration, request: key::Request) {
        let state = &self.requests[request];
        let bytes = state.request.body.len() as u64;
        self.limits.start(state.customer, bytes);
        self.admission.start(now, state.customer, bytes);
    }

    /// Updates limits and admission for a started request that waits again.
    pub(super) fn account_requeue(&mut self, request: key::Request) {
        let state = &self.requests[request];
        let bytes = state.request.body.len() as u64;
        self.limits.end(state.customer);
        self.limits.requeue(state.customer, bytes);
        self.admission.requeue(state.customer, bytes);
    }

    /// Applies the weights, limits and evacuated zones of a catalogue, also to waiting requests.
    /// Waiting requests of customers that are no longer in it are refused.
    pub(super) fn apply_catalogue(&mut self, now: time::Duration, accepted: &catalogue::Accepted) {
        self.revision = accepted.revision;
        self.set_evacuated_zones(now, &accepted.catalogue.evacuated_zones);
        let customers: Vec<_> = self
            .customers
            .iter()
            .map(|(key, name)| (key, accepted.catalogue.customer(name)))
            .collect();
        for (key, customer) in customers {
            match customer {
                Some(customer) => {
                    self.limits.set(now, key, limits(&customer.limits));
                    let class = accepted.catalogue.class(customer);
                    let weight = class.map_or(1.0, |class| class.weight);
                    self.shares.set_weight(key, weight);
                }
                None => self.refuse_all(key),
            }
        }
    }

    fn refuse_all(&mut self, customer: key::Customer) {
        let waiting: Vec<_> = self.waiting.customer(customer).collect();
        for request in waiting {
            let detail = "the customer is not in the catalogue any more";
            self.refuse(
                request,
                filter::Refusal::new(code::Code::Unauthorised, detail),
            );
        }
    }
}

fn limits(limits: &catalogue::Limits) -> limit::Limit {
    limit::Limit {
        concurrency: limits.concurrency,
        requests_per_s: limits.requests_per_s,
        tokens_per_s: limits.tokens_per_s,
        queue: limits.queue,
        queue_bytes: limits.queue_bytes,
    }
}

fn refusal(refused: admit::Refusal) -> filter::Refusal {
    filter::Refusal {
        code: refused.code,
        detail: String::new(),
        retry_after: Some(refused.retry_after),
    }
}
