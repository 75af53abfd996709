//! Backend servers as seen by an entry: links, health, failures and retries.

use std::time;

use chivebend::decide::{drain, health, outcome, random, retry, route};

use super::{Event, Outcome, Simulation, arrivals::BODY_BYTES};

impl Simulation {
    pub fn add_link(&mut self, entry: usize, server: usize) {
        let sidecar = self.sidecars[server];
        let own = &mut self.entries[entry];
        own.health.add(self.now, sidecar);
        own.leave_status
            .insert(sidecar, drain::LeaveStatus::default());
        own.route.add(route::Candidate {
            key: sidecar,
            hash: random::Random::new(server as u64).bits(),
            zone_distance: 0,
            window: self.config.slots,
            running: 0,
            waiting: 0,
            reported_at: self.now,
            state: health::State::Healthy,
            is_leaving: false,
        });
    }

    pub fn remove_link(&mut self, entry: usize, server: usize) {
        let sidecar = self.sidecars[server];
        self.entries[entry].health.remove(sidecar);
        self.entries[entry].route.remove(sidecar);
    }

    /// Handles a heartbeat with the load (running, waiting) of a backend server.
    pub fn on_heartbeat(&mut self, entry: usize, server: usize, load: (u32, u32), leaving: bool) {
        let sidecar = self.sidecars[server];
        let own = &mut self.entries[entry];
        if !own.links.contains(&server) {
            return;
        }
        own.health.add(self.now, sidecar);
        own.health.update_slow_servers();
        let leave_status = &mut own.leave_status[sidecar];
        leave_status.observe(self.now, drain::Source::Own, leaving);
        own.route.add(route::Candidate {
            key: sidecar,
            hash: random::Random::new(server as u64).bits(),
            zone_distance: 0,
            window: self.config.slots,
            running: load.0,
            waiting: load.1,
            reported_at: self.now,
            state: own.health.state(self.now, sidecar),
            is_leaving: !leave_status.accepts_tickets(self.now),
        });
    }

    pub fn record_success(&mut self, request: usize) {
        let Outcome {
            entry,
            server,
            started,
            cost,
            ..
        } = self.requests[request].outcome;
        let (Some(server), Some(started)) = (server, started) else {
            return;
        };
        let sidecar = self.sidecars[server];
        let time_per_unit = self.now.saturating_sub(started).div_f64(cost as f64);
        if let Some(server_health) = self.entries[entry].health.get_mut(sidecar) {
            server_health.on_success(self.now, time_per_unit);
        }
    }

    /// Handles a failed attempt: retries it if that is safe and the retry budget allows it.
    pub fn on_attempt_failed(&mut self, request: usize, server: usize, failure: outcome::Failure) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let own = &mut self.entries[entry];
        own.health
            .on_failure(self.now, self.sidecars[server], &mut self.random);
        let known = outcome::Request {
            idempotent: self.config.customers[customer].idempotent,
            has_sent_answer: false,
        };
        let verdict = outcome::decide(known, outcome::Stage::Sent, failure);
        let outcome::Verdict::Retry = verdict else {
            let outcome::Verdict::Fail(code) = verdict else {
                return;
            };
            return self.finish(request, Some(code));
        };
        let deadline = self.config.customers[customer]
            .patience
            .map(|patience| self.requests[request].outcome.arrived + patience);
        let cause = chivebend::code::Code::OutcomeUnknown;
        let own = &mut self.entries[entry];
        let history = &self.requests[request].history;
        match history.decide(
            self.now,
            deadline,
            cause,
            &mut own.retry_budget,
            &mut self.random,
        ) {
            retry::Verdict::Refuse(code) => self.finish(request, Some(code)),
            retry::Verdict::After(delay) => self.retry(request, delay),
        }
    }

    fn retry(&mut self, request: usize, delay: time::Duration) {
        let Outcome {
            customer, entry, ..
        } = self.requests[request].outcome;
        let running = &mut self.entries[entry].in_flight[customer];
        *running = running.saturating_sub(1);
        if let Some(reservation) = self.requests[request].reservation.take() {
            self.entries[entry].shares.release(reservation);
        }
        self.requests[request].outcome.server = None;
        self.requests[request].outcome.started = None;
        self.after(delay, Event::Retry { request });
    }

    pub fn on_retry(&mut self, request: usize) {
        if self.requests[request].outcome.ended.is_none() {
            let Outcome {
                customer, entry, ..
            } = self.requests[request].outcome;
            self.entries[entry]
                .admit
                .requeue(self.customer_keys[customer], BODY_BYTES);
            self.enqueue(request);
        }
    }

    /// Returns the cost of a request after what the prefix cache saves, and caches the prefix.
    pub fn use_cache(&mut self, server: usize, request: usize) -> u64 {
        let outcome = &mut self.requests[request].outcome;
        outcome.attempts += 1;
        let prefixes = self.config.customers[outcome.customer].prefixes;
        let Some(prefixes) = prefixes.filter(|_| outcome.prefix != 0) else {
            return outcome.cost;
        };
        let cache = &mut self.servers[server].cache;
        let found = cache.iter().position(|prefix| *prefix == outcome.prefix);
        outcome.is_cache_hit = found.is_some();
        if let Some(at) = found {
            cache.remove(at);
            outcome.cost = outcome.cost.saturating_sub(prefixes.saved_cost).max(1);
        }
        cache.push_back(outcome.prefix);
        if cache.len() > self.config.cached_prefixes {
            cache.pop_front();
        }
        outcome.cost
    }
}
