//! Connection pools and availability of backend servers.

pub mod backend;

use std::{io, rc, time};

use super::{conn, listing, state};
use crate::decide::{health, pause, random};
use crate::key;

/// Maximum number of idle connections to one backend server; more are closed when they are
/// returned. A burst would otherwise leave one for each request that it had in progress.
const MAX_IDLE: usize = 32;

/// Time for which an idle connection is kept open if the backend server doesn't state it.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);

/// Margin before the backend server closes an idle connection: several round trips.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Maximum idle time of a connection that is used for a request which may run once at most: if the
/// backend server closes it at that moment, the outcome is unknown.
const MAX_UNSAFE_IDLE: time::Duration = time::Duration::from_millis(1_500);

/// Returns how many idle connections each of `entries` entries may keep to a backend server that
/// accepts `accepted` connections.
pub fn idle_share(accepted: usize, entries: usize) -> usize {
    (accepted / 2 / entries.max(1)).clamp(1, MAX_IDLE)
}

impl state::Entry {
    /// Returns a connection to a backend server, and whether it is a reused one. `at_most_once`
    /// says that the request may run once at most.
    pub async fn connect(
        &self,
        server: key::Sidecar,
        at_most_once: bool,
    ) -> io::Result<(conn::Conn, bool)> {
        if let Some(idle) = self.take_idle(server, at_most_once) {
            return Ok((idle, true));
        }
        let address = self.backends.borrow().get(server).map(|b| b.server.address);
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        self.meter.count("connections", "backend");
        conn::open(address).await.map(|conn| (conn, false))
    }

    /// Returns the time since a backend server was last known to run, if it has closed all idle
    /// connections early, and drops them. It may have restarted while no request was in progress.
    pub(super) fn closed_idle(&self, server: key::Sidecar) -> Option<time::Duration> {
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(server)?.idle;
        let is_early = |c: &conn::Conn| {
            !c.is_open() && now < c.last_used + c.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE)
        };
        let used = idle
            .iter()
            .filter(|c| is_early(c))
            .map(|c| c.last_used)
            .max()?;
        idle.retain(conn::Conn::is_open);
        idle.is_empty().then(|| now.saturating_sub(used))
    }

    fn take_idle(&self, server: key::Sidecar, at_most_once: bool) -> Option<conn::Conn> {
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(server)?.idle;
        idle.retain(|c| {
            c.is_open() && now < c.last_used + c.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE)
        });
        if at_most_once {
            let newest = idle.last()?;
            if now > newest.last_used + MAX_UNSAFE_IDLE {
                return None;
            }
        }
        idle.pop()
    }

    /// Records that a request is sent to a backend server now.
    pub(super) fn record_sent(&self, server: key::Sidecar) {
        let now = self.now();
        if let Some(backend) = self.backends.borrow_mut().get_mut(server) {
            backend.last_sent = Some(now);
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub fn return_connection(&self, server: key::Sidecar, mut conn: conn::Conn) {
        conn.last_used = self.now();
        conn.keep_alive = conn
            .keep_alive
            .map(|time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        let room = self.idle_room(server);
        if let Some(backend) = self.backends.borrow_mut().get_mut(server)
            && backend.idle.len() < room
        {
            backend.idle.push(conn);
        }
    }

    // Number of idle connections that may be kept to a backend server. It resets connections beyond
    // the number that it accepts from all entries together, half of which is left for requests in
    // progress.
    fn idle_room(&self, server: key::Sidecar) -> usize {
        let entries = self.peers.borrow().entry_count();
        let configuration = self.configuration();
        let backends = self.backends.borrow();
        let service = backends.get(server).map(|b| b.server.service.as_str());
        let accepted = service
            .and_then(|service| configuration.as_ref()?.services.get(service))
            .map_or(0, |service| service.connections as usize);
        idle_share(accepted, entries)
    }

    /// Handles a backend server's request for a pause.
    pub fn on_pause_requested(&self, server: key::Sidecar, requested: time::Duration) {
        let until = pause::until(self.now(), requested, self.rng.borrow_mut().unit());
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(server) else {
            return;
        };
        if self.now() >= backend.paused_until {
            self.log
                .line("backend_pauses")
                .with("backend", &backend.server.id)
                .ms("asked_ms", requested);
        }
        backend.paused_until = until.max(backend.paused_until);
        drop(backends);
        self.update_states();
    }

    /// Returns the Retry-After for a service whose backend servers are pausing; `None` if none is.
    pub fn retry_after(&self, service: u32, random: &mut random::Random) -> Option<time::Duration> {
        let now = self.now();
        let backends = self.backends.borrow();
        let of_service = |b: &&backend::Backend| self.service(&b.server.service) == service;
        let pausing = backends
            .values()
            .filter(|b| now < b.paused_until && !self.is_backend_leaving(b));
        let first = pausing.filter(of_service).map(|b| b.paused_until).min()?;
        Some(pause::retry_after(first.saturating_sub(now), random.unit()))
    }

    /// Applies a report that differs only in its number.
    pub(super) fn reported(&self, server: &listing::Server) {
        let key = self.keys.borrow().get(&server.id).copied();
        let mut backends = self.backends.borrow_mut();
        let backend = key.and_then(|key| backends.get_mut(key));
        let back = backend.is_some_and(|backend| backend.reported(server.report));
        drop(backends);
        if back {
            self.update_states();
        }
    }

    /// Handles a refused connection: no process listens at the address, even if the backend server
    /// is still listed.
    pub fn on_connection_refused(self: &rc::Rc<Self>, server: key::Sidecar) {
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(server) else {
            return;
        };
        backend.down_until = self.now() + health::BASE_EJECTION_TIME;
        backend.idle.clear();
        drop(backends);
        self.update_states();
        self.suspend(server, true);
    }

    /// Records the result of a request in the health of its backend server.
    pub fn record_result(&self, server: key::Sidecar, succeeded: bool, took: time::Duration) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        let before = health.state(now, server).is_usable();
        if succeeded {
            if let Some(peer) = health.get_mut(server) {
                peer.on_success(now, took);
            }
        } else {
            health.on_failure(now, server, &mut self.rng.borrow_mut());
        }
        let after = health.state(now, server).is_usable();
        drop(health);
        if before != after {
            let id = self
                .backends
                .borrow()
                .get(server)
                .map(|b| b.server.id.clone());
            self.log
                .line("backend_health")
                .with("backend", id.unwrap_or_default())
                .with("usable", after);
            self.update_states();
        }
    }
}
