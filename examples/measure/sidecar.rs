//! Events at a sidecar and its backend server: queueing, claiming and processing requests.

use std::time;

use chivebend::code;

use super::{
    CHUNK_TIME, Event, HEARTBEAT_INTERVAL, Outcome, Simulation, WANT_FANOUT, WANT_RETRY_INTERVAL,
    config::Policy, sample, server, ticket,
};

impl Simulation {
    pub fn on_offer(&mut self, server: usize, request: usize, total: f64) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let link = self.links[entry];
        let own = &mut self.servers[server];
        if !own.is_up {
            return;
        }
        let key = match self.config.policy {
            Policy::Fleet => self.customer_keys[customer],
            Policy::Fifo | Policy::Local => self.shared_key,
        };
        own.shares.observe_total(self.now, key, total);
        let ticket = ticket(key, link, request, self.requests[request].hint, self.now);
        if let Ok(key) = own.queue.offer(ticket, &own.shares) {
            own.tickets.insert(request, key);
            self.send_claims(server);
        }
    }

    pub fn send_claims(&mut self, server: usize) {
        while let Some((request, link)) = self.servers[server].claim(self.now) {
            let entry = self.links.iter().position(|other| *other == link);
            if let Some(entry) = entry {
                self.send(Event::Claim {
                    entry,
                    server,
                    request,
                });
            }
        }
        self.request_work(server);
    }

    pub fn request_work(&mut self, server: usize) {
        let own = &mut self.servers[server];
        if own.is_want_pending || !own.has_room() || !own.queue.is_empty() {
            return;
        }
        own.is_want_pending = true;
        for entry in sample(&mut self.rng, self.entries.len(), WANT_FANOUT) {
            self.sent.wants += 1;
            self.send(Event::Want { entry, server });
        }
        self.after(WANT_RETRY_INTERVAL, Event::WantRetry { server });
    }

    pub fn on_refused_claim(&mut self, server: usize, request: usize) {
        let own = &mut self.servers[server];
        if let Some(reservation) = own.claims.remove(&request) {
            own.shares.release(reservation);
        }
        self.send_claims(server);
    }

    pub fn on_run(&mut self, server: usize, claimed: usize, request: usize) {
        let own = &mut self.servers[server];
        let Some(reservation) = own.claims.remove(&claimed) else {
            return self.finish(request, Some(code::Code::OutcomeUnknown));
        };
        let remaining = self.use_cache(server, request);
        let own = &mut self.servers[server];
        own.runs.push(server::Run {
            request,
            remaining,
            chunk_cost: 0,
            reservation,
        });
        self.requests[request].outcome.started = Some(self.now);
        self.update_slot_time();
        self.busy_slots += 1;
        self.schedule_chunk(server, request);
    }

    // Schedules the next chunk of a run.
    pub fn schedule_chunk(&mut self, server: usize, request: usize) {
        let own = &mut self.servers[server];
        let epoch = own.epoch;
        let rate = self.config.units_per_s / own.slowdown;
        let Some(run) = own.runs.iter_mut().find(|run| run.request == request) else {
            return;
        };
        let max_cost = (rate * CHUNK_TIME.as_secs_f64()).max(1.0) as u64;
        run.chunk_cost = run.remaining.min(max_cost);
        let after = time::Duration::from_secs_f64(run.chunk_cost as f64 / rate);
        self.after(
            after,
            Event::Chunk {
                server,
                epoch,
                request,
            },
        );
    }

    pub fn on_chunk(&mut self, server: usize, epoch: u32, request: usize) {
        let own = &mut self.servers[server];
        if own.epoch != epoch {
            return;
        }
        let Some(at) = own.runs.iter().position(|run| run.request == request) else {
            return;
        };
        let run = &mut own.runs[at];
        let cost = run.chunk_cost;
        run.remaining -= cost;
        own.shares.charge(&mut run.reservation, cost);
        let end = run.remaining == 0;
        let customer = self.requests[request].outcome.customer;
        let weight = self.config.customers[customer].weight;
        self.gap.serve(customer, cost as f64 / weight);
        self.send(Event::Charge { request, cost, end });
        if !end {
            return self.schedule_chunk(server, request);
        }
        let own = &mut self.servers[server];
        let run = own.runs.swap_remove(at);
        own.shares
            .settle(run.reservation, self.requests[request].outcome.cost);
        self.update_slot_time();
        self.busy_slots -= 1;
        self.send_claims(server);
    }

    pub fn on_heartbeat_tick(&mut self, server: usize) {
        self.after(HEARTBEAT_INTERVAL, Event::HeartbeatTick { server });
        let own = &self.servers[server];
        if !own.is_up {
            return;
        }
        let (virtual_time, waiting) = (own.shares.virtual_time(), own.queue.len() as u32);
        let running = (own.runs.len() + own.claims.len()) as u32;
        let leaving = own.is_leaving;
        for entry in 0..self.entries.len() {
            if self.entries[entry].links.contains(&server) {
                self.sent.beats += 1;
                self.send(Event::Heartbeat {
                    entry,
                    server,
                    virtual_time,
                    running,
                    waiting,
                    leaving,
                });
            }
        }
    }
}
