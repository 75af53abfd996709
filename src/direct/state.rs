//! State of a direct entry, shared by all its tasks on one thread.

use std::{cell, collections, net, rc, time};

use slotmap::SlotMap;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3;

use super::evacuation::zones;
use super::leaving::table as leaving;
use super::peer::{
    binding as peer_binding, interval, lease, link, message, outbox, placement, report, table,
};
use super::pool::backend;
use super::{
    callers, configuration, dialect, logger, losses, memory, meter, roster, route, waiting,
};
use crate::decide::{
    binding, feature, health, outage, overload, place, probe, quarantine, random, retry, rotation,
    shutdown, spread, standby,
};
use crate::key;

/// Minimum Retry-After for a request whose wait timed out: about the time that an engine needs to
/// read the prompts that were queued before it.
pub const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Factor by which the measured timer lag decays with each timer: at four timers a second the decay
/// takes a few seconds.
const LAG_DECAY: f64 = 0.8;

/// Number of times that the lag delays a response between its arrival and the read: the connection,
/// the call and its timer are each scheduled separately.
const LAGS_PER_RESPONSE: u32 = 4;

/// Maximum extension of a timeout: a process that was frozen is seconds late only once.
const MAX_EXTRA_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Share of the process's sockets that callers may use; the rest is for backend servers.
const CALLER_SOCKET_SHARE: f64 = 0.6;

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, for logs.
    pub instance: String,
    /// Address of the entry.
    pub address: net::Ipv4Addr,
    /// Availability zone of the entry.
    pub zone: String,
    /// Retries allowed per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make in addition within [`Settings::retry_window`].
    pub retry_allowance: f64,
    /// Number of entries that the allowance is divided by as long as fewer are known.
    pub min_entries: usize,
    /// Window in which retries are counted.
    pub retry_window: time::Duration,
    /// Maximum number of open sockets of the process.
    pub sockets: usize,
    /// Maximum memory of the process in bytes.
    pub memory: u64,
    /// Processor capacity in thousandths of a core; the same number for all entries if unknown.
    pub millicores: u32,
    /// Time from the termination signal to the kill.
    pub grace: time::Duration,
    /// True if no entry of the fleet ran before this process, as far as its settings say.
    pub is_first_start: bool,
    /// Decisions that are switched on.
    pub features: feature::Features,
    /// Length of the shortest outage of the store in which list entries of running backend servers
    /// expire.
    pub min_outage: time::Duration,
}

/// State of a direct entry.
#[derive(Debug)]
pub struct Entry {
    /// When the process started; all times are relative to it.
    pub started: time::Instant,
    /// Names of the headers of callers and backend servers.
    pub dialect: dialect::Dialect,
    /// Settings in force.
    pub settings: cell::RefCell<Settings>,
    /// Log of the process.
    pub log: logger::Logger,
    /// Metrics.
    pub meter: meter::Meter,
    pub(super) configuration: cell::RefCell<Option<rc::Rc<configuration::Configuration>>>,
    /// The list of backend servers.
    pub roster: cell::RefCell<roster::Roster>,
    /// What is known of other entries' reads of the store.
    pub spread: cell::RefCell<spread::Spread>,
    // Hashes of the ids of backend servers that peers named as leaving, with the expiry.
    pub(super) named_leaving: cell::RefCell<collections::HashMap<u64, time::Duration>>,
    // Backend servers that announced in a response that they are leaving.
    pub(super) backends_leaving: leaving::Table,
    pub(super) zones: zones::Zones,
    // Inspection results of backend servers that the next heartbeats carry.
    pub(super) inspections: outbox::Outbox<message::Inspection>,
    pub(super) evacuations_limited: cell::Cell<u64>,
    // When the store last delivered current data, by topic.
    pub(super) store_seen: cell::Cell<[Option<time::Duration>; 2]>,
    // When the store last responded, by topic, even if its data could not be used yet.
    pub(super) store_answered: cell::Cell<[Option<time::Duration>; 2]>,
    pub(super) outages: cell::Cell<outage::Outages>,
    // The list of backend servers that a peer sent last.
    pub(super) last_peer_list: cell::Cell<Option<table::FetchedList>>,
    // State that decides whether this entry reads the store while the watchers get no response.
    pub(super) standby: cell::Cell<standby::Standby>,
    // Why this entry read the store at the last evaluation.
    pub(super) read_reason: cell::Cell<standby::Reason>,
    // Until when this entry doesn't rely on peers.
    pub(super) distrusted_until: cell::Cell<time::Duration>,
    // Decaying maximum of the delay of timers.
    pub(super) timer_lag: cell::Cell<time::Duration>,
    /// Overload of the process, by its lag.
    pub(super) overload: cell::Cell<overload::LagMonitor>,
    /// Recent demand of each customer, which decides whose requests are rejected under overload.
    pub arrivals: cell::RefCell<overload::Arrivals>,
    // Rate of incoming requests.
    rate: cell::Cell<rotation::Rate>,
    absence: cell::Cell<rotation::Absence>,
    // True if the entry was out of the balancer's rotation at the last evaluation.
    is_out_of_rotation: cell::Cell<bool>,
    // The readiness that the balancer was last given.
    pub(super) reported_ready: cell::Cell<Option<bool>>,
    // Time since which connections have been waiting to be accepted.
    pub(super) callers_wait: cell::Cell<Option<time::Duration>>,
    /// Notified when a peer may have newer data.
    pub peer_change: Notify,
    /// Notified when this entry has records of streams to write to the platform's store.
    pub journal_due: Notify,
    /// Notified when this entry's list may have become newer.
    pub list_completed: Notify,
    pub(super) keys: cell::RefCell<collections::HashMap<String, key::Sidecar>>,
    pub(super) hashes: cell::RefCell<collections::HashMap<u64, key::Sidecar>>,
    /// Random number of this incarnation of the entry, by which peers distinguish it from earlier
    /// ones.
    pub incarnation: u64,
    /// Peers of this entry.
    pub peers: cell::RefCell<table::Table>,
    /// Probes of peers that show whether they are alive.
    pub probes: cell::RefCell<probe::Table>,
    /// Reports of customers' service between entries of a large fleet.
    pub reports: cell::RefCell<report::Reports>,
    /// Datagram socket to the peers.
    pub link: Option<link::Link>,
    /// Pending requests for slots that peers decide about.
    pub placement_requests: placement::PendingRequests,
    /// Slots granted to requests of peers.
    pub leases: lease::Table,
    /// Connections to backend servers that were lost during requests.
    pub losses: losses::Losses,
    /// Requests that crashed backend servers, or may have.
    pub quarantine: cell::RefCell<quarantine::Table>,
    /// Versions that streams are bound to.
    pub bindings: cell::RefCell<binding::Registry>,
    /// Requests to peers for the version that a stream is bound to.
    pub binding_requests: peer_binding::PendingRequests,
    /// Cases of such requests that the next heartbeats carry.
    pub unsent_cases: outbox::Outbox<quarantine::Fingerprint>,
    pub(super) unsaved_cases: cell::RefCell<collections::HashSet<quarantine::Fingerprint>>,
    /// Notified when a case must be saved in the store, to outlive all entries.
    pub save_due: Notify,
    // A peer whose quarantined requests differ from this entry's.
    pub(super) differing_peer: cell::Cell<Option<net::Ipv4Addr>>,
    // A peer that knows versions of backend servers that this entry's list lacks.
    pub(super) versions_peer: cell::Cell<Option<net::Ipv4Addr>>,
    // Earliest time of the next request for versions.
    pub(super) next_versions_request: cell::Cell<time::Duration>,
    // Earliest time of the next request for a peer's cases.
    pub(super) next_cases_request: cell::Cell<time::Duration>,
    /// Backend servers in use.
    pub backends: cell::RefCell<slotmap::SecondaryMap<key::Sidecar, backend::Backend>>,
    /// Placement of requests on backend servers.
    pub fleet: cell::RefCell<place::Fleet>,
    /// Health of backend servers.
    pub health: cell::RefCell<health::Table>,
    pub(super) services: cell::RefCell<collections::HashMap<rc::Rc<str>, u32>>,
    pub(super) customers: cell::RefCell<SlotMap<key::Customer, u64>>,
    pub(super) customer_hashes: cell::RefCell<collections::HashMap<u64, key::Customer>>,
    pub(super) customer_keys: cell::RefCell<collections::HashMap<rc::Rc<str>, key::Customer>>,
    pub(super) waiters: cell::RefCell<collections::HashMap<u64, waiting::Waiter>>,
    pub(super) budgets: cell::RefCell<collections::HashMap<u32, retry::SlidingBudget>>,
    pub(super) next_request_number: cell::Cell<u64>,
    /// Random numbers.
    pub rng: cell::RefCell<random::Random>,
    // Questions where a request would go.
    pub(super) questions: cell::Cell<route::rate::Rate>,
    /// Connections of callers.
    pub callers: callers::Table,
    /// Memory for bodies.
    pub memory: memory::Pool,
    /// Number of requests in progress.
    pub active: cell::Cell<usize>,
    pub(super) leaving: cell::Cell<bool>,
    // Times of the shutdown, once it has begun.
    shutdown: watch::Sender<Option<shutdown::Window>>,
    /// True if connections of callers are closed as soon as they are idle.
    pub closing: watch::Sender<bool>,
}

impl Entry {
    /// Creates an entry without configuration and backend servers.
    pub fn new(
        started: time::Instant,
        settings: Settings,
        dialect: dialect::Dialect,
        log: logger::Logger,
        seed: u64,
        seeds: Vec<net::Ipv4Addr>,
        link: Option<link::Link>,
    ) -> Self {
        let limit = (settings.sockets as f64 * CALLER_SOCKET_SHARE) as usize;
        let first_start = if settings.is_first_start {
            binding::FirstStart::Claimed
        } else {
            binding::FirstStart::No
        };
        let mut bindings = binding::Registry::new(first_start);
        bindings.journal = binding::Journal::new(seed);
        let mut fleet = place::Fleet::new(seed);
        fleet.set_features(settings.features);
        let peers = table::Table::new(settings.address, settings.millicores, &settings.zone, seeds);
        Self {
            memory: memory::Pool::new(settings.memory),
            started,
            dialect,
            settings: cell::RefCell::new(settings),
            log,
            meter: meter::Meter::default(),
            configuration: cell::RefCell::default(),
            roster: cell::RefCell::default(),
            spread: cell::RefCell::default(),
            named_leaving: cell::RefCell::default(),
            backends_leaving: leaving::Table::default(),
            zones: zones::Zones::default(),
            inspections: outbox::Outbox::default(),
            evacuations_limited: cell::Cell::default(),
            store_seen: cell::Cell::default(),
            store_answered: cell::Cell::default(),
            outages: cell::Cell::default(),
            last_peer_list: cell::Cell::default(),
            standby: cell::Cell::default(),
            read_reason: cell::Cell::default(),
            distrusted_until: cell::Cell::default(),
            timer_lag: cell::Cell::default(),
            overload: cell::Cell::default(),
            arrivals: cell::RefCell::default(),
            rate: cell::Cell::default(),
            absence: cell::Cell::default(),
            is_out_of_rotation: cell::Cell::default(),
            reported_ready: cell::Cell::default(),
            callers_wait: cell::Cell::default(),
            peer_change: Notify::new(),
            journal_due: Notify::new(),
            list_completed: Notify::new(),
            keys: cell::RefCell::default(),
            hashes: cell::RefCell::default(),
            incarnation: seed,
            peers: cell::RefCell::new(peers),
            probes: cell::RefCell::default(),
            reports: cell::RefCell::default(),
            link,
            placement_requests: placement::PendingRequests::default(),
            leases: lease::Table::default(),
            losses: losses::Losses::default(),
            quarantine: cell::RefCell::default(),
            bindings: cell::RefCell::new(bindings),
            binding_requests: peer_binding::PendingRequests::default(),
            unsent_cases: outbox::Outbox::default(),
            unsaved_cases: cell::RefCell::default(),
            save_due: Notify::new(),
            differing_peer: cell::Cell::default(),
            next_cases_request: cell::Cell::default(),
            versions_peer: cell::Cell::default(),
            next_versions_request: cell::Cell::default(),
            backends: cell::RefCell::default(),
            fleet: cell::RefCell::new(fleet),
            health: cell::RefCell::default(),
            services: cell::RefCell::default(),
            customers: cell::RefCell::default(),
            customer_hashes: cell::RefCell::default(),
            customer_keys: cell::RefCell::default(),
            waiters: cell::RefCell::default(),
            budgets: cell::RefCell::default(),
            next_request_number: cell::Cell::default(),
            rng: cell::RefCell::new(random::Random::new(seed)),
            questions: cell::Cell::default(),
            callers: callers::Table::new(limit),
            active: cell::Cell::default(),
            leaving: cell::Cell::default(),
            shutdown: watch::Sender::default(),
            closing: watch::Sender::default(),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<rc::Rc<configuration::Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns whether the entry has a configuration and a list of backend servers.
    pub fn is_complete(&self) -> bool {
        self.configuration.borrow().is_some() && self.roster.borrow().is_complete()
    }

    /// Returns whether the entry is ready for new connections.
    pub fn is_ready(&self) -> bool {
        self.is_complete() && !self.leaving.get() && !self.out_of_rotation()
    }

    /// Returns whether the balancer should prefer peers for now.
    pub fn out_of_rotation(&self) -> bool {
        self.out_of_rotation_reason().is_some()
    }

    /// Returns why the balancer should prefer peers, if it should.
    pub fn out_of_rotation_reason(&self) -> Option<rotation::Reason> {
        let own = rotation::Member {
            rate: self.rate(),
            busy_ago: self.busy_ago(),
            left_ago: self.left_ago(),
            ..rotation::Member::default()
        };
        self.peers.borrow().out_of_rotation_reason(self.now(), own)
    }

    /// Returns the time since the entry left the balancer's rotation because of its load, if it is
    /// still out.
    pub fn left_ago(&self) -> Option<time::Duration> {
        self.absence.get().elapsed(self.now())
    }

    // Re-evaluates whether the entry stays in the balancer's rotation.
    fn update_rotation(&self) {
        let away = self.out_of_rotation_reason();
        let mut absence = self.absence.get();
        absence.update(self.now(), away);
        self.absence.set(absence);
        self.is_out_of_rotation.set(away.is_some());
    }

    /// Returns the time since the process was last near its capacity, if it ever was.
    pub fn busy_ago(&self) -> Option<time::Duration> {
        self.overload.get().busy_ago(self.now())
    }

    /// Returns the recent rate of incoming requests, per second.
    pub fn rate(&self) -> u32 {
        self.rate.get().per_s(self.now()) as u32
    }

    /// Counts an incoming request.
    pub fn count_request(&self) {
        let mut rate = self.rate.get();
        rate.add(self.now());
        self.rate.set(rate);
    }

    /// Returns whether responses ask callers to close their connections, so that they reconnect to
    /// peers. Evaluated with each [`overload::PROBE_INTERVAL`].
    pub fn closes_caller_connections(&self) -> bool {
        self.is_out_of_rotation.get()
    }

    /// Returns how overloaded the process is.
    pub fn overload(&self) -> overload::Level {
        self.overload.get().level()
    }

    /// Returns the lag that determines the overload level.
    pub fn overload_lag(&self) -> time::Duration {
        self.overload.get().lag()
    }

    /// Records whether connections are waiting to be accepted.
    pub fn set_callers_wait(&self, wait: bool) {
        let since = self.callers_wait.get().unwrap_or_else(|| self.now());
        self.callers_wait.set(wait.then_some(since));
    }

    /// Records how late a timer of [`overload::PROBE_INTERVAL`] fired.
    pub fn record_probe_delay(&self, late: time::Duration) {
        let mut gauge = self.overload.get();
        let before = gauge.level();
        let now = self.now();
        let wait = self
            .callers_wait
            .get()
            .map(|since| now.saturating_sub(since));
        gauge.sample(now, late.max(wait.unwrap_or_default()));
        self.overload.set(gauge);
        self.fleet.borrow_mut().set_lag(gauge.lag());
        self.update_rotation();
        if gauge.level() != before {
            self.log
                .line("overload")
                .with("before", before)
                .with("now", gauge.level())
                .ms("lag_ms", gauge.lag());
        }
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Records how late a periodic timer fired.
    pub fn record_timer_delay(&self, late: time::Duration) {
        self.timer_lag
            .set(late.max(self.timer_lag.get().mul_f64(LAG_DECAY)));
    }

    /// Returns by how much timeouts are extended: an overloaded process reads responses late and
    /// would otherwise time out on all of them.
    pub fn extra_timeout(&self) -> time::Duration {
        (self.timer_lag.get() * LAGS_PER_RESPONSE).min(MAX_EXTRA_TIMEOUT)
    }

    /// Returns the times of the shutdown, once it has begun.
    pub fn shutdown_window(&self) -> Option<shutdown::Window> {
        *self.shutdown.borrow()
    }

    /// Sets the times of the shutdown.
    pub fn set_shutdown_window(&self, window: shutdown::Window) {
        self.shutdown.send_replace(Some(window));
    }

    /// Waits until requests without a response get their final one, since the process ends.
    pub async fn last_answer(&self) {
        self.reach(shutdown::Window::last_answer).await;
    }

    /// Waits until no request with this objective may wait to be sent any more, since the process ends.
    pub async fn last_attempt(&self, objective: time::Duration) {
        self.reach(|window| window.last_attempt(objective)).await;
    }

    // Waits for a time of the shutdown.
    async fn reach(&self, time: impl Fn(&shutdown::Window) -> time::Duration) {
        let mut windows = self.shutdown.subscribe();
        // Fails only once the entry is dropped.
        let Ok(window) = windows
            .wait_for(Option::is_some)
            .await
            .map(|window| *window)
        else {
            return;
        };
        let at = window.as_ref().map_or(time::Duration::ZERO, time);
        tokio::time::sleep_until((self.started + at).into()).await;
    }

    /// Marks the entry as leaving.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
        self.log
            .line("leaving")
            .with("active", self.active.get())
            .with("waiting", self.fleet.borrow().queued());
    }

    /// Puts a configuration into force, unless the one in force is at least as new.
    pub fn set_configuration(&self, configuration: configuration::Configuration) {
        let old = self.configuration.borrow().as_ref().map(|p| p.version);
        let version = configuration.version;
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
            .with("routes", configuration.routes())
            .with("services", configuration.services.len());
        self.meter.set("configuration_version", version);
        if self.settings.borrow().features.second_homes {
            self.apply_fetch_times(&configuration);
        }
        *self.configuration.borrow_mut() = Some(rc::Rc::new(configuration));
        self.sync_backends();
    }

    /// Returns the number of a service, which is assigned on first use.
    pub fn service(&self, name: &str) -> u32 {
        let mut services = self.services.borrow_mut();
        if let Some(number) = services.get(name) {
            return *number;
        }
        let number = services.len() as u32;
        services.insert(name.into(), number);
        number
    }

    /// Returns the number of a service, if one is assigned.
    pub fn known_service(&self, name: &str) -> Option<u32> {
        self.services.borrow().get(name).copied()
    }

    /// Returns the key of a customer, if one is assigned.
    pub fn known_customer(&self, name: &str) -> Option<key::Customer> {
        self.customer_by_hash(xxh3::xxh3_64(name.as_bytes()))
    }

    fn apply_fetch_times(&self, configuration: &configuration::Configuration) {
        for (name, service) in &configuration.services {
            let number = self.service(name);
            let mut fleet = self.fleet.borrow_mut();
            fleet.set_fetch_time(number, service.fetch_ms_per_token);
        }
    }

    /// Returns the age that the loads reported by peers reach before newer ones arrive.
    pub fn load_age(&self) -> time::Duration {
        interval::heartbeat(self.peers.borrow().entry_count() - 1)
    }

    /// Returns the key of a customer, which is assigned on first use.
    pub fn customer(&self, name: &str) -> key::Customer {
        if let Some(key) = self.customer_keys.borrow().get(name) {
            return *key;
        }
        let key = self.customer_with_hash(xxh3::xxh3_64(name.as_bytes()));
        self.customer_keys.borrow_mut().insert(name.into(), key);
        key
    }

    /// Returns the key of a customer by the hash of its name, which is assigned on first use.
    pub fn customer_with_hash(&self, hash: u64) -> key::Customer {
        let mut hashes = self.customer_hashes.borrow_mut();
        let assign = || self.customers.borrow_mut().insert(hash);
        *hashes.entry(hash).or_insert_with(assign)
    }

    /// Returns the customer with this hash of its name, if it is known here.
    pub fn customer_by_hash(&self, hash: u64) -> Option<key::Customer> {
        self.customer_hashes.borrow().get(&hash).copied()
    }

    /// Returns the hashes of the names of customers, in the same order; all of them must be known.
    pub fn hash_customers(&self, customers: &[key::Customer]) -> Vec<u64> {
        let hashes = self.customers.borrow();
        let hash = |customer: &key::Customer| hashes.get(*customer).copied();
        customers.iter().filter_map(hash).collect()
    }

    /// Counts a request of a service, in proportion to which retries are allowed.
    pub fn deposit_retry(&self, service: u32) {
        let (now, mut budgets) = (self.now(), self.budgets.borrow_mut());
        budgets.entry(service).or_default().record_request(now);
    }

    /// Returns whether a request of this service may be retried, and counts the retry if so.
    pub fn withdraw_retry(&self, service: u32) -> bool {
        let (now, mut budgets) = (self.now(), self.budgets.borrow_mut());
        let settings = self.settings.borrow();
        let entries = self.peers.borrow().entry_count().max(settings.min_entries);
        let draw = random::Random::new(self.incarnation).unit();
        let slack = retry::allowance_part(settings.retry_allowance, entries, draw);
        let ratio = settings.retry_ratio;
        let window = settings.retry_window;
        let budget = budgets.entry(service).or_default();
        budget.try_withdraw(now, window, ratio, slack)
    }
}
