//! Faults of entries and backend servers, and changes of customers.

use chivebend::{code, decide::outcome};

use super::{Outcome, Request, Simulation, config::Fault, entry, source};

impl Simulation {
    pub fn set_weight(&mut self, customer: usize, weight: f64) {
        self.config.customers[customer].weight = weight;
        let key = self.customer_keys[customer];
        for entry in &mut self.entries {
            entry.shares.set_weight(key, weight);
        }
        for server in &mut self.servers {
            server.shares.set_weight(key, weight);
        }
    }

    pub fn apply_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::PartitionEntry(entry) => self.entries[entry].is_partitioned = true,
            Fault::HealEntry(entry) => self.entries[entry].is_partitioned = false,
            Fault::RestartEntry(entry) => self.restart_entry(entry),
            Fault::CrashServer(server) => self.crash_server(server),
            Fault::RestoreServer(server) => self.restore_server(server),
            Fault::SlowServer(server, factor) => self.servers[server].slowdown = factor,
            Fault::DrainServer(server) => self.servers[server].is_leaving = true,
            Fault::SetLoad(customer, load) => self.set_load(customer, load),
            Fault::SetWeight(customer, weight) => self.set_weight(customer, weight),
        }
    }

    pub fn restart_entry(&mut self, entry: usize) {
        let held =
            |request: &&Request| request.outcome.entry == entry && request.outcome.ended.is_none();
        let lost = (0..self.requests.len())
            .filter(|at| held(&&self.requests[*at]))
            .collect::<Vec<_>>();
        for request in lost {
            let started = self.requests[request].outcome.server.is_some();
            let code = if started {
                code::Code::OutcomeUnknown
            } else {
                code::Code::Leaving
            };
            self.finish(request, Some(code));
        }
        let old = &self.entries[entry];
        let source = source(entry, old.source.incarnation + 1);
        let fresh = entry::Entry::new(self.now, source, &self.customer_keys, old.links.clone());
        self.entries[entry] = fresh;
        for server in self.entries[entry].links.clone() {
            self.add_link(entry, server);
        }
        for customer in 0..self.customer_keys.len() {
            let weight = self.config.customers[customer].weight;
            self.entries[entry]
                .shares
                .set_weight(self.customer_keys[customer], weight);
        }
    }

    pub fn crash_server(&mut self, server: usize) {
        self.update_slot_time();
        self.total_slots -= self.config.slots;
        self.busy_slots -= self.servers[server].runs.len() as u32;
        for request in self.servers[server].crash(self.config.queue_limit) {
            self.on_attempt_failed(request, server, outcome::Failure::Lost);
        }
        for entry in 0..self.entries.len() {
            self.remove_link(entry, server);
            self.entries[entry].links.retain(|other| *other != server);
            self.entries[entry].clock.remove(self.sidecars[server]);
        }
        // Entries detect the broken link and place new tickets for the requests that waited there.
        for request in 0..self.requests.len() {
            let Outcome {
                customer,
                entry,
                ended,
                server: by,
                ..
            } = self.requests[request].outcome;
            if ended.is_some() || by.is_some() || !self.requests[request].servers.contains(&server)
            {
                continue;
            }
            self.requests[request]
                .servers
                .retain(|other| *other != server);
            self.entries[entry].tickets[customer].remove(&server);
            self.place(request);
        }
    }

    pub fn restore_server(&mut self, server: usize) {
        self.update_slot_time();
        self.total_slots += self.config.slots;
        self.servers[server].is_up = true;
        for entry in 0..self.entries.len() {
            self.entries[entry].links.push(server);
            self.add_link(entry, server);
        }
        for customer in 0..self.customer_keys.len() {
            let weight = self.config.customers[customer].weight;
            self.servers[server]
                .shares
                .set_weight(self.customer_keys[customer], weight);
        }
        self.request_work(server);
    }
}
