//! Arrivals: requests as customers' callers send them.

use std::time;

use chivebend::decide::{random, retry};
use smallvec::SmallVec;

use super::{
    Event, Outcome, Request, World,
    plan::{Hint, Load},
};

impl World {
    pub fn set_load(&mut self, customer: usize, load: Load) {
        self.plan.customers[customer].load = load;
        self.loads[customer] += 1;
        let epoch = self.loads[customer];
        let arrive = Event::Arrive {
            customer,
            load: epoch,
        };
        match load {
            Load::Closed { callers, .. } => {
                for _ in 0..callers {
                    let after = time::Duration::from_millis(20).mul_f64(self.rng.unit());
                    self.after(
                        after,
                        Event::Arrive {
                            customer,
                            load: epoch,
                        },
                    );
                }
            }
            Load::Open { per_s } => {
                let gap = self.rng.gap(per_s);
                self.after(gap, arrive);
            }
            Load::Idle => {}
        }
    }

    pub fn arrive(&mut self, customer: usize, load: u32) {
        if self.loads[customer] != load {
            return;
        }
        let own = &self.plan.customers[customer];
        let entry = own.entries[self.rng.below(own.entries.len())];
        let cost = self.rng.cost(own.cost).max(1);
        let hint = match own.hint {
            Hint::Rough => self.rng.cost((1, 100)) * cost / 10,
            Hint::Always(hint) => hint,
        };
        if let Load::Open { per_s } = own.load {
            let gap = self.rng.gap(per_s);
            self.after(gap, Event::Arrive { customer, load });
        }
        let prefix = self.plan.customers[customer]
            .prefixes
            .map_or(0, |prefixes| {
                let hot = self.rng.unit() < prefixes.hot;
                let number = if hot {
                    0
                } else {
                    self.rng.below(prefixes.count as usize)
                };
                random::Random::new(number as u64).bits()
            });
        self.entries[entry].budget.earn();
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
                hit: false,
                attempts: 0,
                server: None,
                code: None,
            },
            hint,
            servers: SmallVec::new(),
            reservation: None,
            trail: retry::Trail::default(),
            load,
        });
        if let Some(patience) = self.plan.customers[customer].patience {
            self.after(patience, Event::Expire { request });
        }
        self.wait(request);
    }
}
