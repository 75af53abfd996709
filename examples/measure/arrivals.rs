//! Arrivals of requests and their admission by the entry.

use std::time;

use chivebend::{
    code,
    decide::{admit, random, retry},
};
use smallvec::SmallVec;

use super::{
    Event, Outcome, Request, Simulation,
    config::{Hint, Load},
};

/// Size of a request body in bytes.
pub const BODY_BYTES: u64 = 2_000;

impl Simulation {
    pub fn set_load(&mut self, customer: usize, load: Load) {
        self.config.customers[customer].load = load;
        self.load_epochs[customer] += 1;
        let load_epoch = self.load_epochs[customer];
        let arrive = Event::Arrive {
            customer,
            load_epoch,
        };
        match load {
            Load::Closed { callers, .. } => {
                for _ in 0..callers {
                    let after = time::Duration::from_millis(20).mul_f64(self.rng.next_f64());
                    self.after(
                        after,
                        Event::Arrive {
                            customer,
                            load_epoch,
                        },
                    );
                }
            }
            Load::Open { per_s } => {
                let gap = self.rng.arrival_interval(per_s);
                self.after(gap, arrive);
            }
            Load::Idle => {}
        }
    }

    pub fn on_arrival(&mut self, customer: usize, load_epoch: u32) {
        if self.load_epochs[customer] != load_epoch {
            return;
        }
        let customer_config = &self.config.customers[customer];
        let entry = customer_config.entries[self.rng.below(customer_config.entries.len())];
        let cost = self.rng.log_uniform(customer_config.cost).max(1);
        let hint = match customer_config.hint {
            Hint::Rough => self.rng.log_uniform((1, 100)) * cost / 10,
            Hint::Always(hint) => hint,
        };
        if let Load::Open { per_s } = customer_config.load {
            let gap = self.rng.arrival_interval(per_s);
            self.after(
                gap,
                Event::Arrive {
                    customer,
                    load_epoch,
                },
            );
        }
        let prefix = self.config.customers[customer]
            .prefixes
            .map_or(0, |prefixes| {
                let hot = self.rng.next_f64() < prefixes.hot_share;
                let number = if hot {
                    0
                } else {
                    self.rng.below(prefixes.count as usize)
                };
                random::Random::new(number as u64).bits()
            });
        self.entries[entry].retry_budget.deposit();
        self.largest_cost = self.largest_cost.max(cost);
        let request = self.requests.len();
        self.requests.push(Request {
            outcome: Outcome {
                customer,
                entry,
                arrived: self.now,
                started: None,
                ended: None,
                cost,
                prefix,
                is_cache_hit: false,
                attempts: 0,
                server: None,
                code: None,
            },
            hint,
            servers: SmallVec::new(),
            reservation: None,
            history: retry::History::default(),
            load_epoch,
        });
        if self.admit(request) {
            self.enqueue(request);
        }
    }

    // Returns whether the request may wait. A rejected one gets its refusal at once.
    fn admit(&mut self, request: usize) -> bool {
        let outcome = self.requests[request].outcome;
        let key = self.customer_keys[outcome.customer];
        let patience = self.config.customers[outcome.customer].patience;
        let deadline = patience.map(|patience| self.now + patience);
        let table = &mut self.entries[outcome.entry].admit;
        if !self.config.has_admission {
            if let Some(deadline) = deadline {
                self.push(deadline, Event::Expire { request });
            }
            return true;
        }
        let victim = match table.admit(self.now, key, BODY_BYTES, deadline) {
            admit::Admission::Wait => None,
            admit::Admission::Displace(other) => Some(self.customer_indices[other]),
            admit::Admission::Refuse(refusal) => {
                self.refuse_caller(request, refusal);
                return false;
            }
        };
        if let Some(deadline) = deadline {
            let latest = table.latest_start(key, deadline);
            self.push(latest, Event::Expire { request });
        }
        let waiting = victim.map(|victim| &self.entries[outcome.entry].waiting[victim]);
        if let Some(newest) = waiting.and_then(|waiting| waiting.last().copied()) {
            self.finish(newest, Some(code::Code::Shed));
        }
        true
    }

    fn refuse_caller(&mut self, request: usize, refusal: admit::Refusal) {
        let Request {
            outcome,
            load_epoch,
            ..
        } = &mut self.requests[request];
        outcome.ended = Some(self.now);
        outcome.code = Some(refusal.code);
        let (customer, load_epoch) = (outcome.customer, *load_epoch);
        if matches!(self.config.customers[customer].load, Load::Closed { .. }) {
            self.after(
                refusal.retry_after,
                Event::Arrive {
                    customer,
                    load_epoch,
                },
            );
        }
    }
}
