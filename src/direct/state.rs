//! What a direct entry knows and holds, shared by all its tasks on one thread.

use std::{cell, collections, net, rc, time};

use slotmap::SlotMap;
use tokio::sync::{Notify, oneshot, watch};
use xxhash_rust::xxh3;

use super::peer::{ask, table};
use super::{callers, conn, dialect, line, meter, peer, plan};
use crate::decide::{health, place, random, retry};
use crate::key;

/// Idle connections kept for one backend server; more are closed when they come back. A burst
/// leaves one for each request that it had in progress.
const IDLE: usize = 32;

/// Least time to come back for a request that waited in vain: about what an engine needs to read
/// what stood before it.
pub const COME_BACK: time::Duration = time::Duration::from_millis(500);

/// Backend servers remembered after they are gone: days of replacing a fleet of 910.
const GONE: usize = 4_096;

/// Share of the sockets that callers may take; the rest is for backend servers.
const CALLERS: f64 = 0.6;

/// Time that a backend server leaves an idle connection open if it doesn't say.
const KEEP: time::Duration = time::Duration::from_secs(4);

/// Margin to the end of an idle connection: several ways to the backend server and back.
const KEEP_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Longest idle time of a connection that gets a request which may run once at most: a backend
/// server that closes it meanwhile leaves the outcome unknown.
const UNSAFE_IDLE: time::Duration = time::Duration::from_millis(1_500);

/// What an entry reads from the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The backend servers.
    Backends,
}

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, for logs.
    pub instance: String,
    /// Its own address.
    pub address: net::Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// Repeats allowed for each request, of the whole fleet.
    pub repeat_ratio: f64,
    /// Repeats allowed beside, of the whole fleet, within [`Settings::repeat_window`].
    pub repeat_slack: f64,
    /// Entries that share them at least, until others are heard.
    pub least_entries: usize,
    /// Window in which repeats are counted.
    pub repeat_window: time::Duration,
    /// Sockets that the process may have open.
    pub sockets: usize,
    /// Time between the signal to end and the kill.
    pub grace: time::Duration,
}

/// A backend server and the connections to it.
#[derive(Debug)]
pub struct Backend {
    /// Its list entry.
    pub server: plan::Server,
    // Of its id, by which entries name it to each other.
    hash: u64,
    idle: Vec<conn::Conn>,
}

/// A waiting request's way to hear of its turn.
#[derive(Debug)]
enum Turn {
    /// It waits in this process; `None` says that it is to be placed anew.
    Here(oneshot::Sender<Option<place::Placed>>),
    /// Another entry asked for it.
    There(ask::Asker),
}

/// Everything a direct entry knows.
#[derive(Debug)]
pub struct Entry {
    /// When the process started; all times count from here.
    pub started: time::Instant,
    /// Header names.
    pub dialect: dialect::Dialect,
    /// Settings.
    pub settings: Settings,
    /// Log.
    pub log: line::Log,
    /// Figures.
    pub meter: meter::Meter,
    plan: cell::RefCell<Option<rc::Rc<plan::Plan>>>,
    listed: cell::RefCell<collections::HashMap<String, plan::Server>>,
    // Backend servers that are gone, with their last report.
    gone: cell::RefCell<collections::HashMap<String, u64>>,
    list_known: cell::Cell<bool>,
    list_digest: cell::Cell<u64>,
    store_seen: cell::Cell<[Option<time::Duration>; 2]>,
    /// Another entry may know something newer.
    pub tip: Notify,
    keys: cell::RefCell<collections::HashMap<String, key::Sidecar>>,
    hashes: cell::RefCell<collections::HashMap<u64, key::Sidecar>>,
    /// Number of this start, by which other entries tell it from an earlier one.
    pub start_number: u64,
    /// The other entries.
    pub peers: cell::RefCell<table::Table>,
    /// The way to them.
    pub link: Option<peer::Link>,
    /// Requests of this entry that ask them for a place.
    pub asks: ask::Asks,
    /// Places that their requests have.
    pub granted: ask::Granted,
    /// Backend servers.
    pub backends: cell::RefCell<slotmap::SecondaryMap<key::Sidecar, Backend>>,
    /// Where work goes.
    pub fleet: cell::RefCell<place::Fleet>,
    /// Which backend servers are fit.
    pub health: cell::RefCell<health::Table>,
    services: cell::RefCell<collections::HashMap<rc::Rc<str>, u32>>,
    customers: cell::RefCell<SlotMap<key::Customer, u64>>,
    customer_hashes: cell::RefCell<collections::HashMap<u64, key::Customer>>,
    customer_keys: cell::RefCell<collections::HashMap<rc::Rc<str>, key::Customer>>,
    turns: cell::RefCell<collections::HashMap<u64, Turn>>,
    budgets: cell::RefCell<collections::HashMap<u32, retry::Window>>,
    next_request: cell::Cell<u64>,
    /// Source of chance.
    pub rng: cell::RefCell<random::Random>,
    /// Connections of callers.
    pub callers: callers::Table,
    /// Requests in progress.
    pub active: cell::Cell<usize>,
    leaving: cell::Cell<bool>,
    /// Whether connections of callers end as soon as they are idle.
    pub closing: watch::Sender<bool>,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(
        started: time::Instant,
        settings: Settings,
        dialect: dialect::Dialect,
        log: line::Log,
        seed: u64,
        seeds: Vec<net::Ipv4Addr>,
        link: Option<peer::Link>,
    ) -> Self {
        let limit = (settings.sockets as f64 * CALLERS) as usize;
        let peers = table::Table::new(settings.address, seeds);
        Self {
            started,
            dialect,
            settings,
            log,
            meter: meter::Meter::default(),
            plan: cell::RefCell::default(),
            listed: cell::RefCell::default(),
            gone: cell::RefCell::default(),
            list_known: cell::Cell::default(),
            list_digest: cell::Cell::default(),
            store_seen: cell::Cell::default(),
            tip: Notify::new(),
            keys: cell::RefCell::default(),
            hashes: cell::RefCell::default(),
            start_number: seed,
            peers: cell::RefCell::new(peers),
            link,
            asks: ask::Asks::default(),
            granted: ask::Granted::default(),
            backends: cell::RefCell::default(),
            fleet: cell::RefCell::new(place::Fleet::new(seed)),
            health: cell::RefCell::default(),
            services: cell::RefCell::default(),
            customers: cell::RefCell::default(),
            customer_hashes: cell::RefCell::default(),
            customer_keys: cell::RefCell::default(),
            turns: cell::RefCell::default(),
            budgets: cell::RefCell::default(),
            next_request: cell::Cell::default(),
            rng: cell::RefCell::new(random::Random::new(seed)),
            callers: callers::Table::new(limit),
            active: cell::Cell::default(),
            leaving: cell::Cell::default(),
            closing: watch::Sender::default(),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<rc::Rc<plan::Plan>> {
        self.plan.borrow().clone()
    }

    /// The store told what there is of this topic.
    pub fn heard_store(&self, topic: Topic) {
        let mut seen = self.store_seen.get();
        seen[topic as usize] = Some(self.now());
        self.store_seen.set(seen);
    }

    /// Time since the store told of both topics; very long if it never did.
    pub fn store_age(&self) -> time::Duration {
        let now = self.now();
        let age = |seen: Option<time::Duration>| {
            seen.map_or(time::Duration::MAX, |at| now.saturating_sub(at))
        };
        let [configuration, backends] = self.store_seen.get();
        age(configuration).max(age(backends))
    }

    /// Whether other entries follow the store for this one, and what this one knows is complete.
    pub fn relies_on_others(&self) -> bool {
        let peers = self.peers.borrow();
        let known = self.plan.borrow().is_some() && self.list_known.get();
        known && !peers.is_reader() && peers.fresh(self.now()).is_some()
    }

    /// The entry that heard from the store last, and whether it has a newer configuration and
    /// another list.
    pub fn newer(&self) -> Option<(net::Ipv4Addr, bool, bool)> {
        let peers = self.peers.borrow();
        let address = peers.fresh(self.now())?;
        let version = self.plan.borrow().as_ref().map_or(0, |p| p.version);
        let (configuration, list) = peers.differs(address, version, self.list_digest.get());
        Some((address, configuration, list))
    }

    /// Digest of the list of backend servers: entries with the same list have the same.
    pub fn list_digest(&self) -> u64 {
        self.list_digest.get()
    }

    fn digest_list(&self) {
        let listed = self.listed.borrow();
        let line = |s: &plan::Server| {
            let text = format!("{} {} {} {}", s.id, s.service, s.address, s.leaving);
            xxh3::xxh3_64(text.as_bytes())
        };
        // A sum, so that the order doesn't matter.
        let sum = listed.values().map(line).fold(0_u64, u64::wrapping_add);
        self.list_digest.set(sum);
    }

    /// The backend servers, if a complete list was heard.
    pub fn servers(&self) -> Option<Vec<plan::Server>> {
        let listed = self.listed.borrow();
        let known = self.list_known.get();
        known.then(|| listed.values().cloned().collect())
    }

    /// Whether the process takes new connections.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.plan.borrow().is_some() && self.list_known.get()
    }

    /// Whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Begins to shut down.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.log
            .line("leaving")
            .with("active", self.active.get())
            .with("waiting", self.fleet.borrow().waiting());
    }

    /// Puts a configuration into force, unless a newer one is.
    pub fn set_plan(&self, plan: plan::Plan) {
        let old = self.plan.borrow().as_ref().map(|p| p.version);
        let version = plan.version;
        if old.is_some_and(|old| old >= version) {
            if old != Some(version) {
                self.log
                    .line("configuration_older")
                    .with("version", version)
                    .with("in_force", old.unwrap_or_default());
            }
            return;
        }
        self.log
            .line("configuration")
            .with("version", version)
            .with("before", old.unwrap_or_default())
            .with("routes", plan.routes())
            .with("services", plan.services.len());
        self.meter.set("configuration_version", version);
        *self.plan.borrow_mut() = Some(rc::Rc::new(plan));
        self.sync();
    }

    /// Takes in news about backend servers.
    pub fn take(&self, news: plan::News) {
        match news {
            plan::News::Listed(server) => {
                let mut listed = self.listed.borrow_mut();
                let known = listed.insert(server.id.clone(), server.clone());
                drop(listed);
                if known.is_some_and(|known| known.says_the_same(&server)) {
                    return;
                }
            }
            plan::News::Gone(id) => {
                let gone = self.listed.borrow_mut().remove(&id);
                if let Some(server) = gone {
                    self.remember_gone(server);
                }
            }
            plan::News::Told(servers) => self.merge(servers),
            plan::News::All(servers) => {
                let all = servers.into_iter().map(|s| (s.id.clone(), s)).collect();
                *self.listed.borrow_mut() = all;
                self.list_known.set(true);
            }
        }
        self.sync();
    }

    // Takes over another entry's list, but nothing that is older than what is known here: a process
    // that was suspended tells what was true before.
    fn merge(&self, told: Vec<plan::Server>) {
        let known = std::mem::take(&mut *self.listed.borrow_mut());
        let mut merged = collections::HashMap::new();
        for server in told {
            let gone = self.gone.borrow().get(&server.id).copied();
            if gone.is_some_and(|report| server.report <= report) {
                continue;
            }
            let newest = match known.get(&server.id) {
                Some(known) if known.report > server.report => known.clone(),
                _ => server,
            };
            merged.insert(newest.id.clone(), newest);
        }
        for (id, server) in known {
            if !merged.contains_key(&id) {
                self.remember_gone(server);
            }
        }
        *self.listed.borrow_mut() = merged;
        self.list_known.set(true);
    }

    fn remember_gone(&self, server: plan::Server) {
        let mut gone = self.gone.borrow_mut();
        if gone.len() >= GONE {
            gone.clear();
        }
        gone.insert(server.id, server.report);
    }

    /// The health table took nothing in for a while: the list says who lives.
    pub fn refresh(&self) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        for server in self.backends.borrow().keys() {
            health.add(now, server);
        }
        health.compare();
        drop(health);
        self.fleet.borrow_mut().sweep(now);
        peer::expire(self);
        ask::expire(self);
        self.judge();
    }

    // Brings the backends in line with list and configuration.
    fn sync(&self) {
        self.digest_list();
        let Some(plan) = self.plan() else { return };
        let gone: Vec<String> = {
            let listed = self.listed.borrow();
            let keys = self.keys.borrow();
            keys.keys()
                .filter(|id| !listed.contains_key(*id))
                .cloned()
                .collect()
        };
        for id in gone {
            self.remove(&id);
        }
        let listed: Vec<plan::Server> = self.listed.borrow().values().cloned().collect();
        for server in listed {
            self.put(&plan, server);
        }
        self.judge();
    }

    fn put(&self, plan: &plan::Plan, server: plan::Server) {
        let known = self.keys.borrow().get(&server.id).copied();
        if let Some(key) = known {
            if let Some(backend) = self.backends.borrow_mut().get_mut(key) {
                if backend.server.leaving != server.leaving {
                    self.log
                        .line("backend_leaving")
                        .with("backend", &server.id)
                        .with("leaving", server.leaving);
                }
                backend.server = server;
            }
            return;
        }
        let Some(service) = plan.services.get(server.service.as_str()) else {
            return;
        };
        let number = self.service(&server.service);
        let key = self.fleet.borrow_mut().add(place::Listed {
            id: &server.id,
            service: number,
            slots: server.slots,
            engine: service.engine,
            near: server.zone == self.settings.zone,
        });
        self.health.borrow_mut().add(self.now(), key);
        self.log
            .line("backend_new")
            .with("backend", &server.id)
            .with("address", server.address)
            .with("service", &server.service)
            .with("leaving", server.leaving);
        self.keys.borrow_mut().insert(server.id.clone(), key);
        let backend = Backend {
            hash: xxh3::xxh3_64(server.id.as_bytes()),
            server,
            idle: Vec::new(),
        };
        self.hashes.borrow_mut().insert(backend.hash, key);
        self.backends.borrow_mut().insert(key, backend);
    }

    fn remove(&self, id: &str) {
        let Some(key) = self.keys.borrow_mut().remove(id) else {
            return;
        };
        self.log.line("backend_gone").with("backend", id);
        let backend = self.backends.borrow_mut().remove(key);
        if let Some(backend) = backend {
            self.hashes.borrow_mut().remove(&backend.hash);
        }
        self.health.borrow_mut().remove(key);
        let waiting = self.fleet.borrow_mut().remove(key);
        self.place_anew(waiting);
    }

    /// A backend server said that another instance has its address now.
    pub fn replaced(&self, server: key::Sidecar) {
        let id = self
            .backends
            .borrow()
            .get(server)
            .map(|b| b.server.id.clone());
        if let Some(id) = id {
            self.listed.borrow_mut().remove(&id);
            self.remove(&id);
        }
    }

    // Tells the placing which backend servers may get work.
    fn judge(&self) {
        let now = self.now();
        let states: Vec<(key::Sidecar, bool)> = {
            let health = self.health.borrow();
            let backends = self.backends.borrow();
            let usable = |(key, b): (key::Sidecar, &Backend)| {
                (key, !b.server.leaving && health.state(now, key).usable())
            };
            backends.iter().map(usable).collect()
        };
        for (key, usable) in states {
            let moved = self.fleet.borrow_mut().set_usable(key, usable);
            self.place_anew(moved);
        }
    }

    fn place_anew(&self, requests: Vec<u64>) {
        for request in requests {
            let turn = self.turns.borrow_mut().remove(&request);
            match turn {
                Some(Turn::Here(turn)) => {
                    // One that left in this moment needs no turn.
                    let _left = turn.send(None);
                }
                Some(Turn::There(asker)) => ask::send_elsewhere(self, asker),
                None => {}
            }
        }
    }

    /// Number of a service.
    pub fn service(&self, name: &str) -> u32 {
        let mut services = self.services.borrow_mut();
        if let Some(number) = services.get(name) {
            return *number;
        }
        let number = services.len() as u32;
        services.insert(name.into(), number);
        number
    }

    /// Key of a customer.
    pub fn customer(&self, name: &str) -> key::Customer {
        if let Some(key) = self.customer_keys.borrow().get(name) {
            return *key;
        }
        let hash = xxh3::xxh3_64(name.as_bytes());
        let key = self.customers.borrow_mut().insert(hash);
        self.customer_hashes.borrow_mut().insert(hash, key);
        self.customer_keys.borrow_mut().insert(name.into(), key);
        key
    }

    /// The customer with this hash of its name, if it is known here.
    pub fn customer_by_hash(&self, hash: u64) -> Option<key::Customer> {
        self.customer_hashes.borrow().get(&hash).copied()
    }

    /// All known customers with the hashes of their names.
    pub fn customer_hashes(&self) -> Vec<(key::Customer, u64)> {
        self.customers
            .borrow()
            .iter()
            .map(|(key, hash)| (key, *hash))
            .collect()
    }

    /// The backend server with this hash of its id.
    pub fn server_by_hash(&self, hash: u64) -> Option<key::Sidecar> {
        self.hashes.borrow().get(&hash).copied()
    }

    /// Hash of a backend server's id.
    pub fn server_hash(&self, server: key::Sidecar) -> Option<u64> {
        self.backends.borrow().get(server).map(|b| b.hash)
    }

    /// The other entry that decides about a backend server, if one does.
    pub fn owner(&self, server: key::Sidecar) -> Option<net::Ipv4Addr> {
        let hash = self.server_hash(server)?;
        self.peers.borrow().owner(self.now(), hash)
    }

    /// All backend servers with the hashes of their ids.
    pub fn server_hashes(&self) -> Vec<(key::Sidecar, u64)> {
        self.backends
            .borrow()
            .iter()
            .map(|(key, b)| (key, b.hash))
            .collect()
    }

    /// A number for a request that may wait.
    pub fn number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// A waiting request listens for its turn.
    pub fn wait(&self, request: u64) -> oneshot::Receiver<Option<place::Placed>> {
        let (turn, heard) = oneshot::channel();
        self.turns.borrow_mut().insert(request, Turn::Here(turn));
        heard
    }

    /// Another entry's request waits for its turn.
    pub fn wait_for(&self, request: u64, asker: ask::Asker) {
        let turn = Turn::There(asker);
        self.turns.borrow_mut().insert(request, turn);
    }

    /// A waiting request gave up.
    pub fn stop_waiting(&self, request: u64, ticket: place::Ticket) {
        self.turns.borrow_mut().remove(&request);
        self.fleet.borrow_mut().leave(request, ticket);
    }

    /// Hands waiting requests over to a backend server that has room.
    pub fn pump(&self, server: key::Sidecar) {
        let now = self.now();
        loop {
            let next = self.fleet.borrow_mut().next(now, server);
            let Some((request, placed)) = next else {
                return;
            };
            let turn = self.turns.borrow_mut().remove(&request);
            let unheard = match turn {
                Some(Turn::Here(turn)) => turn.send(Some(placed)).err().flatten(),
                Some(Turn::There(asker)) => {
                    ask::turn(self, asker, placed);
                    None
                }
                None => Some(placed),
            };
            if let Some(placed) = unheard {
                self.fleet.borrow_mut().ended(now, placed, false);
            }
        }
    }

    /// A request of a service came: repeats are allowed in proportion.
    pub fn earn_repeat(&self, service: u32) {
        let (now, mut budgets) = (self.now(), self.budgets.borrow_mut());
        budgets.entry(service).or_default().request(now);
    }

    /// Whether a request of this service may be sent once more; counts it if so.
    pub fn take_repeat(&self, service: u32) -> bool {
        let (now, mut budgets) = (self.now(), self.budgets.borrow_mut());
        let settings = &self.settings;
        let entries = self.peers.borrow().entries().max(settings.least_entries) as f64;
        let (ratio, slack) = (settings.repeat_ratio, settings.repeat_slack / entries);
        let window = settings.repeat_window;
        let budget = budgets.entry(service).or_default();
        budget.take(now, window, ratio, slack)
    }

    /// A connection to a backend server, kept or new.
    pub async fn connect(
        &self,
        server: key::Sidecar,
        once: bool,
    ) -> std::io::Result<(conn::Conn, bool)> {
        if let Some(kept) = self.kept(server, once) {
            return Ok((kept, true));
        }
        let address = self.backends.borrow().get(server).map(|b| b.server.address);
        let address = address.ok_or(std::io::ErrorKind::NotFound)?;
        self.meter.count("connections", "backend");
        conn::open(address).await.map(|conn| (conn, false))
    }

    fn kept(&self, server: key::Sidecar, once: bool) -> Option<conn::Conn> {
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let idle = &mut backends.get_mut(server)?.idle;
        idle.retain(|c| c.is_open() && now < c.used + c.keep.unwrap_or(KEEP));
        if once {
            let newest = idle.last()?;
            if now > newest.used + UNSAFE_IDLE {
                return None;
            }
        }
        idle.pop()
    }

    /// Keeps a connection whose answer is complete.
    pub fn keep(&self, server: key::Sidecar, mut conn: conn::Conn) {
        conn.used = self.now();
        conn.keep = conn.keep.map(|keep| keep.saturating_sub(KEEP_MARGIN));
        if let Some(backend) = self.backends.borrow_mut().get_mut(server)
            && backend.idle.len() < IDLE
        {
            backend.idle.push(conn);
        }
    }

    /// How a request at a backend server went.
    pub fn judge_result(&self, server: key::Sidecar, well: bool, took: time::Duration) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        let before = health.state(now, server).usable();
        if well {
            if let Some(peer) = health.get_mut(server) {
                peer.succeeded(now, took);
            }
        } else {
            health.failed(now, server, &mut self.rng.borrow_mut());
        }
        let after = health.state(now, server).usable();
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
            self.judge();
        }
    }
}
