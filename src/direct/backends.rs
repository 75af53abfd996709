//! Backend servers known to an entry, from the store or from peers.

use std::{net, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::peer::lease;
use super::pool::backend;
use super::{configuration, listing, logger, parts, peer, roster, state};
use crate::decide::{binding, health, place};
use crate::key;

/// Maximum number of changes of a list that are logged one by one. A larger change, as at each start
/// of an entry, is one line, since their number is that of entries times that of backend servers.
const MAX_LOGGED_CHANGES: usize = 64;

/// Why a backend server isn't used, or only for what it already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Reason {
    /// It is leaving, by its own announcement, the list or a watcher.
    #[display("leaving")]
    Leaving,
    /// Its availability zone is evacuated.
    #[display("zone evacuated")]
    Evacuated,
    /// It asked for a pause, which lasts this much longer.
    #[display("pausing for {} ms", _0.as_millis())]
    Pausing(time::Duration),
    /// It refused a connection, and counts as crashed for this much longer.
    #[display("down for {} ms", _0.as_millis())]
    Down(time::Duration),
    /// Its process may have been replaced, and has yet to say how cold it is.
    #[display("suspended until asked")]
    Suspended,
    /// Its health has ejected it.
    #[display("ejected")]
    Ejected,
}

fn state(reasons: &[Reason]) -> place::State {
    let is_draining = |reason: &Reason| matches!(reason, Reason::Leaving | Reason::Evacuated);
    match reasons {
        [] => place::State::Ready,
        all if all.iter().all(is_draining) => place::State::Draining,
        _ => place::State::Unusable,
    }
}

impl state::Entry {
    /// Returns the digest of the list of backend servers, which is the same for entries with the
    /// same list.
    pub fn list_digest(&self, version: parts::Version) -> u64 {
        self.roster.borrow().digest(version)
    }

    /// Returns the backend servers, if a complete list was received.
    pub fn servers(&self) -> Option<Vec<listing::Server>> {
        let roster = self.roster.borrow();
        roster
            .is_complete()
            .then(|| roster.servers().cloned().collect())
    }

    /// Applies an update of the list of backend servers.
    pub fn apply_update(&self, update: listing::Update) {
        self.apply_updates([update]);
    }

    /// Applies updates of the list of backend servers; returns the list entries that changed.
    pub fn apply_updates(
        &self,
        updates: impl IntoIterator<Item = listing::Update>,
    ) -> Vec<listing::Change> {
        let (now, mut changes, mut is_replaced) = (self.now(), Vec::new(), false);
        for update in updates {
            let effect = self.roster.borrow_mut().apply(now, update);
            match effect {
                roster::Effect::None => {}
                roster::Effect::Reported(server) => self.reported(&server),
                roster::Effect::Changed(some) => changes.extend(some),
                roster::Effect::Replaced => is_replaced = true,
            }
        }
        if is_replaced {
            self.sync_backends();
        } else if !changes.is_empty() {
            self.sync_changed(&changes);
        }
        changes
    }

    /// Expires outdated state and re-evaluates all backend servers; called periodically.
    pub fn refresh(&self) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        for server in self.backends.borrow().keys() {
            health.add(now, server);
        }
        health.update_slow_servers();
        drop(health);
        self.fleet.borrow_mut().sweep(now);
        self.fleet.borrow_mut().set_load_age(self.load_age());
        self.quarantine.borrow_mut().sweep(now);
        self.named_leaving
            .borrow_mut()
            .retain(|_, until| now < *until);
        peer::expire(self);
        self.limit_eras();
        lease::expire(self);
        self.refresh_bindings();
        self.share_cold();
        self.update_weights();
        self.update_states();
    }

    fn update_weights(&self) {
        let changes = self.fleet.borrow_mut().update_weights(self.now());
        for (server, change) in changes {
            self.meter.count("weights", "changed");
            self.log
                .line("weight")
                .with("backend", self.server_id(server))
                .with("before", format_args!("{:.2}", change.before))
                .with("now", format_args!("{:.2}", change.after))
                .with("tokens_per_ms", format_args!("{:.1}", change.tokens_per_ms))
                .with("median", format_args!("{:.1}", change.median));
        }
    }

    // Brings the backend servers in use in line with the list and the configuration.
    pub(super) fn sync_backends(&self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let gone: Vec<String> = {
            let (roster, keys) = (self.roster.borrow(), self.keys.borrow());
            let gone = keys.keys().filter(|id| roster.get(id).is_none());
            gone.cloned().collect()
        };
        let listed: Vec<listing::Server> = self.roster.borrow().servers().cloned().collect();
        let new = {
            let keys = self.keys.borrow();
            let new = listed
                .iter()
                .filter(|server| !keys.contains_key(&server.id));
            new.count()
        };
        let is_logged = gone.len() + new <= MAX_LOGGED_CHANGES;
        if !is_logged {
            let line = self.log.line("backends_listed").with("new", new);
            line.with("gone", gone.len()).with("all", listed.len());
        }
        for id in gone {
            self.remove(&id, is_logged);
        }
        for server in listed {
            self.add_or_update(&configuration, server, is_logged);
        }
        self.update_states();
    }

    // Brings the backend servers in use in line with these changes of the list.
    fn sync_changed(&self, changes: &[listing::Change]) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        for change in changes {
            let server = self.roster.borrow().get(change.id()).cloned();
            match server {
                Some(server) => self.add_or_update(&configuration, server, true),
                None => self.remove(change.id(), true),
            }
        }
        self.update_states();
    }

    fn add_or_update(
        &self,
        configuration: &configuration::Configuration,
        server: listing::Server,
        is_logged: bool,
    ) {
        self.log_void(&server);
        let earlier = self.remove_earlier(&server);
        let known = self.keys.borrow().get(&server.id).copied();
        if let Some(key) = known {
            if let Some(backend) = self.backends.borrow_mut().get_mut(key) {
                if backend.server.leaving != server.leaving {
                    let line = self.log.line("backend_leaving");
                    let line = line
                        .with("backend", &server.id)
                        .with("leaving", server.leaving)
                        .with("report", server.report);
                    drop(self.with_idle_time(line, backend));
                }
                backend.reported(server.report);
                backend.server = server.clone();
            }
            self.set_version(key, &server);
            self.apply_cold_report(configuration, key, &server);
            return;
        }
        let Some(service) = configuration.services.get(server.service.as_str()) else {
            return;
        };
        let number = self.service(&server.service);
        let version = server.software_version();
        let key = self.fleet.borrow_mut().add(
            self.now(),
            place::ServerInfo {
                id: &server.id,
                service: number,
                slots: server.slots,
                is_engine: service.is_engine,
                is_near: server.zone == self.settings.borrow().zone,
                version,
                is_version_known: server.version.is_some(),
            },
        );
        if earlier.is_some() {
            self.fleet.borrow_mut().set_restarted(self.now(), key);
        }
        self.add_version(&server, version);
        self.health.borrow_mut().add(self.now(), key);
        if is_logged {
            self.log_new(&server);
        }
        self.keys.borrow_mut().insert(server.id.clone(), key);
        self.apply_cold_report(configuration, key, &server);
        let backend = backend::Backend {
            version,
            hash: xxh3::xxh3_64(server.id.as_bytes()),
            down_until: time::Duration::ZERO,
            paused_until: time::Duration::ZERO,
            is_unverified: earlier.is_some() && service.reports_cold(),
            is_being_asked: false,
            last_sent: None,
            process: server.process_hash(),
            server,
            idle: Vec::new(),
        };
        let load = self.peers.borrow().remote_load(backend.hash);
        self.fleet.borrow_mut().set_peer_load(key, load);
        self.hashes.borrow_mut().insert(backend.hash, key);
        if let Some(earlier) = earlier {
            self.losses.add_successor(earlier, key);
        }
        self.backends.borrow_mut().insert(key, backend);
    }

    // Records the version of a new backend server, or that it isn't known.
    fn add_version(&self, server: &listing::Server, version: binding::Version) {
        let mut bindings = self.bindings.borrow_mut();
        bindings.history.add(&server.service, version);
        let (process, known) = (server.process_version(), server.known_version());
        bindings.add_process(&server.service, process, known);
    }

    // Applies the version of a known backend server. It wasn't known before if the process has just
    // restarted, or an entry of an earlier release has left it out.
    fn set_version(&self, key: key::Sidecar, server: &listing::Server) {
        let version = server.software_version();
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(key).filter(|b| b.version != version) else {
            return;
        };
        let before = std::mem::replace(&mut backend.version, version);
        drop(backends);
        self.fleet.borrow_mut().set_version(key, version);
        let process = server.process_version();
        let mut bindings = self.bindings.borrow_mut();
        if before == process {
            bindings.add_process(&server.service, process, Some(version));
            drop(bindings);
            let line = self.log.line("version_known");
            let line = line.with("backend", &server.id);
            drop(line.with("version", server.version.as_deref().unwrap_or("?")));
            return;
        }
        bindings.history.add(&server.service, version);
        bindings.history.remove(self.now(), &server.service, before);
    }

    fn log_new(&self, server: &listing::Server) {
        let is_leaving = server.leaving || self.backends_leaving.contains(server.process_hash());
        self.log
            .line("backend_new")
            .with("backend", &server.id)
            .with("address", server.address)
            .with("service", &server.service)
            .with("version", server.version.as_deref().unwrap_or("?"))
            .with("leaving", is_leaving);
    }

    fn log_void(&self, server: &listing::Server) {
        let key = self.keys.borrow().get(&server.id).copied();
        let backends = self.backends.borrow();
        let known = key.and_then(|key| backends.get(key));
        let is_new = known.is_some_and(|known| known.server.void != server.void);
        if let Some(void) = server.void.filter(|_| is_new) {
            let line = self.log.line("report_void").with("backend", &server.id);
            drop(line.with("report", server.report).with("void", void));
        }
    }

    fn apply_cold_report(
        &self,
        configuration: &configuration::Configuration,
        key: key::Sidecar,
        server: &listing::Server,
    ) {
        let Some(service) = configuration.services.get(server.service.as_str()) else {
            return;
        };
        let now = self.now();
        let until = now + time::Duration::from_millis(server.cold_ms.into());
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_cold(now, key, until, service.cold_per_s);
    }

    // If the backend server has restarted, removes the earlier process and returns its key. Nothing
    // learned of it holds for the new one: connections, slots, speed, health and cached prompt
    // parts are dropped with the key.
    fn remove_earlier(&self, server: &listing::Server) -> Option<key::Sidecar> {
        let key = self.keys.borrow().get(&server.id).copied();
        let earlier = key.filter(|key| {
            let backends = self.backends.borrow();
            backends
                .get(*key)
                .is_some_and(|b| b.server.is_other_process(server))
        })?;
        self.resolve_losses(earlier);
        self.log
            .line("backend_restarted")
            .with("backend", &server.id)
            .with("report", server.report);
        self.remove(&server.id, true);
        Some(earlier)
    }

    fn remove(&self, id: &str, is_logged: bool) {
        let Some(key) = self.keys.borrow_mut().remove(id) else {
            return;
        };
        let backend = self.backends.borrow_mut().remove(key);
        if let Some(backend) = backend {
            if is_logged {
                let line = self.log.line("backend_gone").with("backend", id);
                drop(self.with_idle_time(line, &backend));
            }
            self.hashes.borrow_mut().remove(&backend.hash);
            let (now, service) = (self.now(), &backend.server.service);
            let mut bindings = self.bindings.borrow_mut();
            bindings.history.remove(now, service, backend.version);
            bindings.remove_process(now, backend.server.process_version());
        }
        self.health.borrow_mut().remove(key);
        let waiting = self.fleet.borrow_mut().remove(key);
        self.place_again(waiting);
    }

    // Adds the time since this entry last sent a request to a backend server, if it ever did.
    fn with_idle_time<'a>(
        &self,
        line: logger::Line<'a>,
        backend: &backend::Backend,
    ) -> logger::Line<'a> {
        match backend.last_sent {
            Some(sent) => line.ms("idle_ms", self.now().saturating_sub(sent)),
            None => line,
        }
    }

    /// Removes a backend server whose address belongs to another instance now.
    pub fn on_replaced(&self, server: key::Sidecar) {
        let id = self
            .backends
            .borrow()
            .get(server)
            .map(|b| b.server.id.clone());
        if let Some(id) = id {
            self.roster.borrow_mut().forget(&id);
            self.remove(&id, true);
        }
    }

    // Updates which backend servers the placement may use, by health, availability and zone.
    pub(super) fn update_states(&self) {
        let now = self.now();
        let states: Vec<(key::Sidecar, place::State)> = {
            let health = self.health.borrow();
            let backends = self.backends.borrow();
            let state = |(key, b): (key::Sidecar, &backend::Backend)| {
                (key, state(&self.limits_on_use(now, &health, key, b)))
            };
            backends.iter().map(state).collect()
        };
        for (key, state) in states {
            let moved = self.fleet.borrow_mut().set_state(now, key, state);
            self.place_again(moved);
        }
    }

    /// Returns why a backend server isn't used, or only for what it already has; empty if it is
    /// ready.
    pub(super) fn limits_on_use(
        &self,
        now: time::Duration,
        health: &health::Table,
        key: key::Sidecar,
        backend: &backend::Backend,
    ) -> SmallVec<[Reason; 4]> {
        let state = health.state(now, key);
        let left = |until: time::Duration| until.saturating_sub(now);
        let is_leaving =
            self.is_backend_leaving(backend) || self.is_named_leaving(now, backend.hash);
        let all = [
            is_leaving.then_some(Reason::Leaving),
            self.zones
                .is_evacuated(&backend.server)
                .then_some(Reason::Evacuated),
            (now < backend.paused_until).then(|| Reason::Pausing(left(backend.paused_until))),
            (now < backend.down_until).then(|| Reason::Down(left(backend.down_until))),
            backend.is_unverified.then_some(Reason::Suspended),
            (!state.is_usable()).then_some(Reason::Ejected),
        ];
        all.into_iter().flatten().collect()
    }

    /// Returns the backend server with this hash of its id.
    pub fn server_by_hash(&self, hash: u64) -> Option<key::Sidecar> {
        self.hashes.borrow().get(&hash).copied()
    }

    /// Returns the id of a backend server; empty if it was removed.
    pub(super) fn server_id(&self, server: key::Sidecar) -> String {
        let backends = self.backends.borrow();
        let id = backends.get(server).map(|b| b.server.id.clone());
        id.unwrap_or_default()
    }

    /// Returns the hash of a backend server's id.
    pub fn server_hash(&self, server: key::Sidecar) -> Option<u64> {
        self.backends.borrow().get(server).map(|b| b.hash)
    }

    /// Returns the peer that decides about a backend server; `None` if this entry decides.
    pub fn remote_decider(&self, server: key::Sidecar) -> Option<net::Ipv4Addr> {
        let hash = self.server_hash(server)?;
        self.peers.borrow().remote_decider(self.now(), hash)
    }

    /// Returns all backend servers with the hashes of their ids.
    pub fn server_hashes(&self) -> Vec<(key::Sidecar, u64)> {
        self.backends
            .borrow()
            .iter()
            .map(|(key, b)| (key, b.hash))
            .collect()
    }
}
