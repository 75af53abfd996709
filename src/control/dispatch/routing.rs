//! Updates the routing and health decisions with reports from sidecars and outcomes of requests.

use std::{collections, time};

use slotmap::SecondaryMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::control::dispatch::sidecar::{self, Sidecar};
use crate::decide::{health, random, route};
use crate::{code, filter, key, wire};

/// Tickets placed for a request at once. Two find the less loaded of two servers (Mitzenmacher,
/// "The Power of Two Choices", 2001); each further ticket costs two frames, an offer and a void.
const TICKETS_PER_REQUEST: usize = 2;

/// Routing and health of all services.
#[derive(Debug)]
pub struct Routing {
    own: wire::Process,
    tables: collections::HashMap<(String, String), route::Table>,
    health: collections::HashMap<String, health::Table>,
    states: SecondaryMap<key::Sidecar, health::State>,
    /// Random source for routing, retries and health.
    pub rng: random::Random,
}

impl Routing {
    /// Creates the state of an entry that knows no sidecar yet.
    pub fn new(own: wire::Process) -> Self {
        let rng = random::Random::new(own.incarnation);
        Self {
            own,
            tables: collections::HashMap::new(),
            health: collections::HashMap::new(),
            states: SecondaryMap::new(),
            rng,
        }
    }

    /// Handles a new link to a sidecar.
    pub fn on_link_up(&mut self, now: time::Duration, key: key::Sidecar, info: &Sidecar) {
        let health = self.health.entry(info.service.clone()).or_default();
        health.add(now, key);
        self.on_report(now, key, info);
    }

    /// Handles a lost link: the sidecar gets no ticket until it is linked again.
    pub fn on_link_down(&mut self, key: key::Sidecar, info: &Sidecar) {
        for table in self.tables_of(info) {
            table.remove(key);
        }
    }

    /// Updates the health state and the routing tables with the latest report of a sidecar.
    pub fn on_report(&mut self, now: time::Duration, key: key::Sidecar, info: &Sidecar) {
        let Some(health) = self.health.get_mut(&info.service) else {
            return;
        };
        if let Some(server) = health.get_mut(key) {
            server.on_heartbeat(now);
        }
        let state = health.state(now, key);
        self.states.insert(key, state);
        let candidate = self.candidate(now, key, info, state);
        for table in self.tables_of(info) {
            table.add(candidate);
        }
    }

    /// Handles a sidecar that has idle slots and no ticket.
    pub fn on_idle_slots(
        &mut self,
        now: time::Duration,
        key: key::Sidecar,
        info: &Sidecar,
        slots: u32,
    ) {
        for table in self.tables_of(info) {
            table.on_idle_slots(now, key, slots);
        }
    }

    /// Compares the speeds of the backend servers of each service; called about once a second.
    pub fn update_slow_servers(&mut self) {
        for health in self.health.values_mut() {
            health.update_slow_servers();
        }
    }

    /// Returns whether a sidecar is healthy enough for new requests.
    pub fn is_usable(&self, key: key::Sidecar) -> bool {
        self.states.get(key).is_none_or(|state| state.is_usable())
    }

    /// Counts a request that was handed over.
    pub fn on_handover(&mut self, key: key::Sidecar, info: &Sidecar, request: &filter::Request) {
        if let Some(server) = self.server_health(key, info) {
            server.on_call_started();
        }
        if request.prefix_hash != 0 {
            let table = (request.service.clone(), request.model.clone());
            if let Some(table) = self.tables.get_mut(&table) {
                table.on_prefix_cached(request.prefix_hash, key);
            }
        }
    }

    /// Counts a request that succeeded; `pace` is the time per unit of cost.
    pub fn on_success(
        &mut self,
        now: time::Duration,
        key: key::Sidecar,
        info: &Sidecar,
        pace: time::Duration,
    ) {
        if let Some(server) = self.server_health(key, info) {
            server.on_success(now, pace);
        }
    }

    /// Counts a request that ended without a fault of the backend server.
    pub fn on_cancelled(&mut self, key: key::Sidecar, info: &Sidecar) {
        if let Some(server) = self.server_health(key, info) {
            server.on_cancelled();
        }
    }

    /// Counts a request that failed. Only codes that point to a fault of the backend server count
    /// against it.
    pub fn on_failure(
        &mut self,
        now: time::Duration,
        key: key::Sidecar,
        info: &Sidecar,
        code: code::Code,
    ) {
        let at_fault = matches!(
            code,
            code::Code::BackendRefused
                | code::Code::BackendFailed
                | code::Code::BackendSilent
                | code::Code::AnswerBroken
                | code::Code::OutcomeUnknown
        );
        if !at_fault {
            self.on_cancelled(key, info);
            return;
        }
        if let Some(health) = self.health.get_mut(&info.service) {
            health.on_failure(now, key, &mut self.rng);
        }
        self.on_report(now, key, info);
    }

    /// Chooses sidecars for a request. Prefers those at which it was not attempted, then all but
    /// the latest, then any.
    pub fn choose(
        &mut self,
        now: time::Duration,
        request: &filter::Request,
        tried: &[key::Sidecar],
        sidecars: &sidecar::Arena,
    ) -> SmallVec<[key::Sidecar; 4]> {
        let name = (request.service.clone(), request.model.clone());
        if !self.tables.contains_key(&name) {
            let table = self.build_table(now, request, sidecars);
            self.tables.insert(name.clone(), table);
        }
        let Some(table) = self.tables.get_mut(&name) else {
            return SmallVec::new();
        };
        let latest = &tried[tried.len().saturating_sub(1)..];
        for tried in [tried, latest, &[]] {
            let route_request = route::Request {
                prefix_hash: request.prefix_hash,
                tried,
                tickets: TICKETS_PER_REQUEST,
            };
            let chosen = table.choose(now, &route_request, &mut self.rng);
            if !chosen.is_empty() {
                return chosen;
            }
        }
        SmallVec::new()
    }

    fn build_table(
        &self,
        now: time::Duration,
        request: &filter::Request,
        sidecars: &sidecar::Arena,
    ) -> route::Table {
        let mut table = route::Table::default();
        for (key, info) in sidecars {
            if info.link.is_some() && info.serves(&request.service, &request.model) {
                let state = self.states.get(key).copied();
                let state = state.unwrap_or(health::State::Healthy);
                table.add(self.candidate(now, key, info, state));
            }
        }
        table
    }

    fn candidate(
        &self,
        now: time::Duration,
        key: key::Sidecar,
        info: &Sidecar,
        state: health::State,
    ) -> route::Candidate {
        let zone_distance = if info.zone == self.own.zone {
            0
        } else {
            1 + u8::from(info.region != self.own.region)
        };
        route::Candidate {
            key,
            hash: xxh3::xxh3_64(info.id.as_bytes()),
            zone_distance,
            window: info.window,
            running: info.running,
            waiting: info.waiting,
            reported_at: info.reported_at,
            state,
            is_leaving: !info.accepts_work(now),
        }
    }

    /// Returns the routing tables of the models that a sidecar serves.
    fn tables_of(&mut self, info: &Sidecar) -> impl Iterator<Item = &mut route::Table> {
        let tables = self.tables.iter_mut();
        tables
            .filter(|((service, model), _)| info.serves(service, model))
            .map(|(_, table)| table)
    }

    fn server_health(&mut self, key: key::Sidecar, info: &Sidecar) -> Option<&mut health::Server> {
        self.health.get_mut(&info.service)?.get_mut(key)
    }
}
