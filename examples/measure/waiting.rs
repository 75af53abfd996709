//! Waiting requests of an entry: placing tickets, answering claims, charging.

use smallvec::SmallVec;

use chivebend::{code, decide::route};

use super::{
    Event, Outcome, Simulation, WARM_UP_TIME,
    arrivals::BODY_BYTES,
    config::{Load, Policy, Routing},
    ticket,
};

impl Simulation {
    pub fn enqueue(&mut self, request: usize) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let key = self.customer_keys[customer];
        self.update_slot_time();
        self.waiting[customer] += 1;
        if self.now >= WARM_UP_TIME {
            self.gap.set_backlogged(customer, true);
        }
        let own = &mut self.entries[entry];
        if own.waiting[customer].is_empty() && own.in_flight[customer] == 0 {
            let virtual_time = own.clock.time();
            own.shares.advance_virtual_time(virtual_time);
            own.shares.activate(key);
        }
        own.waiting[customer].insert(request);
        if self.config.policy == Policy::Local {
            let ticket = ticket(
                key,
                self.links[entry],
                request,
                self.requests[request].hint,
                self.now,
            );
            if own.local_queue.offer(ticket, &own.shares).is_err() {
                return self.finish(request, Some(code::Code::QueueFull));
            }
        }
        self.place_or_defer(request);
    }

    pub fn place_or_defer(&mut self, request: usize) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let own = &mut self.entries[entry];
        let placed = own.waiting[customer].len() - own.unplaced[customer].len();
        if placed > self.config.max_placed_requests as usize {
            own.unplaced[customer].push_back(request);
        } else {
            self.place(request);
        }
    }

    pub fn place(&mut self, request: usize) {
        let Outcome { entry, prefix, .. } = self.requests[request].outcome;
        let prefix = match self.config.routing {
            Routing::Affinity => prefix,
            Routing::Random => 0,
        };
        let ask = route::Request {
            prefix_hash: prefix,
            tried: self.requests[request].history.tried(),
            tickets: self.config.tickets_per_request,
        };
        let route = &mut self.entries[entry].route;
        let mut chosen = route.choose(self.now, &ask, &mut self.random);
        if chosen.is_empty() {
            let any = route::Request { tried: &[], ..ask };
            chosen = route.choose(self.now, &any, &mut self.random);
        }
        for sidecar in chosen {
            self.place_at(request, self.server_indices[sidecar]);
        }
    }

    pub fn place_at(&mut self, request: usize, server: usize) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let total = self.entries[entry]
            .shares
            .total(self.customer_keys[customer]);
        self.requests[request].servers.push(server);
        *self.entries[entry].tickets[customer]
            .entry(server)
            .or_default() += 1;
        self.send(Event::Offer {
            server,
            request,
            total,
        });
    }

    // Removes a waiting request and voids its tickets; returns false if it wasn't waiting.
    pub fn dequeue(&mut self, request: usize, claimed_by: Option<usize>) -> bool {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        if !self.entries[entry].waiting[customer].remove(&request) {
            return false;
        }
        self.update_slot_time();
        self.waiting[customer] -= 1;
        if self.waiting[customer] == 0 {
            self.gap.set_backlogged(customer, false);
        }
        for server in std::mem::take(&mut self.requests[request].servers) {
            if let Some(count) = self.entries[entry].tickets[customer].get_mut(&server) {
                *count -= 1;
                if *count == 0 {
                    self.entries[entry].tickets[customer].remove(&server);
                }
            }
            if Some(server) != claimed_by && self.config.policy != Policy::Local {
                self.send(Event::Void { server, request });
            }
        }
        self.entries[entry].unplaced[customer].retain(|other| *other != request);
        if let Some(next) = self.entries[entry].unplaced[customer].pop_front() {
            self.place(next);
        }
        true
    }

    pub fn on_claim(&mut self, entry: usize, server: usize, claimed: usize) {
        let mut request = claimed;
        if self.config.policy == Policy::Local {
            let own = &mut self.entries[entry];
            match own.local_queue.pick(self.now, &mut own.shares) {
                Some((_, ticket)) => request = ticket.request as usize,
                None => {
                    return self.send(Event::RefuseClaim {
                        server,
                        request: claimed,
                    });
                }
            }
        }
        if self.requests[request].outcome.entry != entry || !self.dequeue(request, Some(server)) {
            return self.send(Event::RefuseClaim {
                server,
                request: claimed,
            });
        }
        let Outcome {
            customer, prefix, ..
        } = self.requests[request].outcome;
        let own = &mut self.entries[entry];
        if prefix != 0 {
            own.route.on_prefix_cached(prefix, self.sidecars[server]);
        }
        self.requests[request].history.record(self.sidecars[server]);
        own.in_flight[customer] += 1;
        own.admit
            .start(self.now, self.customer_keys[customer], BODY_BYTES);
        self.requests[request].reservation = Some(own.shares.reserve(self.customer_keys[customer]));
        self.requests[request].outcome.server = Some(server);
        self.send(Event::Run {
            server,
            claimed,
            request,
        });
    }

    pub fn on_charge(&mut self, request: usize, cost: u64, end: bool) {
        let Outcome {
            entry,
            cost: total_cost,
            ..
        } = self.requests[request].outcome;
        let shares = &mut self.entries[entry].shares;
        if let Some(mut reservation) = self.requests[request].reservation.take() {
            shares.charge(&mut reservation, cost);
            if end {
                shares.settle(reservation, total_cost);
            } else {
                self.requests[request].reservation = Some(reservation);
            }
        }
        if end {
            self.record_success(request);
            self.finish(request, None);
        }
    }

    pub fn finish(&mut self, request: usize, code: Option<code::Code>) {
        if self.requests[request].outcome.ended.is_some() {
            return;
        }
        self.requests[request].outcome.ended = Some(self.now);
        self.requests[request].outcome.code = code;
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let key = self.customer_keys[customer];
        if self.dequeue(request, None) {
            self.entries[entry].admit.remove_waiting(key, BODY_BYTES);
        } else {
            let own = &mut self.entries[entry];
            own.in_flight[customer] = own.in_flight[customer].saturating_sub(1);
            if let Some(started) = self.requests[request].outcome.started {
                own.admit.end(key, self.now.saturating_sub(started));
            }
        }
        if let Some(reservation) = self.requests[request].reservation.take() {
            self.entries[entry].shares.release(reservation);
        }
        let load_epoch = self.requests[request].load_epoch;
        if let Load::Closed { think_time, .. } = self.config.customers[customer].load {
            self.after(
                think_time,
                Event::Arrive {
                    customer,
                    load_epoch,
                },
            );
        }
    }

    pub fn on_want(&mut self, entry: usize, server: usize) {
        let mut free_slots = self.config.slots as usize;
        for customer in self.entries[entry].active_customers() {
            let found = self.entries[entry].waiting[customer]
                .iter()
                .copied()
                .filter(|request| !self.requests[*request].servers.contains(&server))
                .take(free_slots.div_ceil(2))
                .collect::<SmallVec<[usize; 8]>>();
            for request in found.into_iter().take(free_slots) {
                self.place_at(request, server);
                free_slots -= 1;
            }
        }
        if free_slots > 0 {
            let now = self.now;
            let sidecar = self.sidecars[server];
            self.entries[entry]
                .route
                .on_idle_slots(now, sidecar, free_slots as u32);
        }
    }
}
