//! Discrete-event simulation of a fleet: the production decision modules connected by a queue of
//! delayed events in virtual time.
//!
//! The model has slots and token rates only. Requests arrive at entries, tickets and claims are
//! delivered with a delay, and slots process cost units in chunks. The outcome of every request is
//! recorded.

use std::{collections, time};

use chivebend::{
    code,
    decide::{ledger, queue, random, retry},
    key,
};
use slotmap::SlotMap;
use smallvec::SmallVec;

#[path = "arrivals.rs"]
mod arrivals;
#[path = "backends.rs"]
mod backends;
#[path = "config.rs"]
pub mod config;
#[path = "entry.rs"]
pub mod entry;
#[path = "event.rs"]
mod event;
#[path = "fault.rs"]
mod fault;
#[path = "gap.rs"]
pub mod gap;
#[path = "reports.rs"]
mod reports;
#[path = "rng.rs"]
pub mod rng;
#[path = "server.rs"]
pub mod server;
#[path = "sidecar.rs"]
mod sidecar;
#[path = "waiting.rs"]
mod waiting;

use config::{Config, Fault, Outcome};
use event::{Event, Scheduled};

/// Processing time of a chunk, after which its cost is charged.
const CHUNK_TIME: time::Duration = time::Duration::from_millis(100);
/// Interval at which a sidecar sends its virtual time and load to its entries.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval at which an entry checks for due reports.
const REPORT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after which an idle sidecar requests work from other entries again.
const WANT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Number of entries from which an idle sidecar requests work at once.
const WANT_FANOUT: usize = 4;
/// Virtual time from which fairness gaps and utilisation are measured.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(1);

/// Number of control messages sent; the `control` case multiplies them by their sizes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Reports between entries and the replies.
    pub reports: u64,
    /// Accounts in reports and replies.
    pub accounts: u64,
    /// Totals frames to sidecars.
    pub frames: u64,
    /// Totals in these frames.
    pub totals: u64,
    /// Heartbeats.
    pub beats: u64,
    /// Requests for work.
    pub wants: u64,
}

#[derive(Debug)]
struct Request {
    outcome: Outcome,
    hint: u64,
    servers: SmallVec<[usize; 4]>,
    reservation: Option<chivebend::decide::share::Reservation>,
    history: retry::History,
    load_epoch: u32,
}

/// A simulated fleet.
#[derive(Debug)]
pub struct Simulation {
    /// Configuration of the run.
    pub config: Config,
    /// Control messages sent so far.
    pub sent: Sent,
    now: time::Duration,
    sequence: u64,
    events: collections::BinaryHeap<Scheduled>,
    rng: rng::Rng,
    customer_keys: Vec<key::Customer>,
    customer_indices: slotmap::SecondaryMap<key::Customer, usize>,
    // Customer under which sidecars queue all requests with the policies without fleet-wide totals.
    shared_key: key::Customer,
    links: Vec<key::Link>,
    sidecars: Vec<key::Sidecar>,
    server_indices: slotmap::SecondaryMap<key::Sidecar, usize>,
    // Random numbers for the decision modules.
    random: random::Random,
    entries: Vec<entry::Entry>,
    servers: Vec<server::Server>,
    requests: Vec<Request>,
    load_epochs: Vec<u32>,
    // Number of waiting requests in all entries by customer.
    waiting: Vec<u32>,
    gap: gap::Gap,
    largest_cost: u64,
    // Slots in use and in total, and the integrals of both over the time in which requests wait.
    busy_slots: u32,
    total_slots: u32,
    counted_until: time::Duration,
    busy_time: f64,
    slot_time: f64,
}

fn arena<K: slotmap::Key>(n: usize) -> Vec<K> {
    let mut arena = SlotMap::<K, ()>::with_key();
    (0..n).map(|_| arena.insert(())).collect()
}

impl Simulation {
    /// Creates a fleet at virtual time 0 with the first arrivals scheduled.
    pub fn new(config: Config) -> Self {
        let n = config.customers.len();
        let mut keys = arena::<key::Customer>(n + 1);
        let shared_key = keys.pop().unwrap_or_default();
        let mut rng = rng::Rng(config.seed);
        let entries = (0..config.entries)
            .map(|at| {
                let links = sample(&mut rng, config.servers, config.links_per_entry);
                entry::Entry::new(time::Duration::ZERO, source(at, 0), &keys, links)
            })
            .collect();
        let sidecars = arena::<key::Sidecar>(config.servers);
        let servers = (0..config.servers)
            .map(|_| server::Server::new(config.queue_limit, config.slots))
            .collect();
        let mut simulation = Self {
            sent: Sent::default(),
            now: time::Duration::ZERO,
            sequence: 0,
            events: collections::BinaryHeap::new(),
            rng,
            customer_indices: keys.iter().copied().zip(0..).collect(),
            customer_keys: keys,
            shared_key,
            links: arena(config.entries),
            server_indices: sidecars.iter().copied().zip(0..).collect(),
            sidecars,
            random: random::Random::new(config.seed),
            entries,
            servers,
            requests: Vec::new(),
            load_epochs: vec![0; n],
            waiting: vec![0; n],
            gap: gap::Gap::new(n),
            largest_cost: 1,
            busy_slots: 0,
            total_slots: config.slots * config.servers as u32,
            counted_until: time::Duration::ZERO,
            busy_time: 0.0,
            slot_time: 0.0,
            config,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        for customer in 0..self.customer_keys.len() {
            self.set_weight(customer, self.config.customers[customer].weight);
            self.set_load(customer, self.config.customers[customer].load);
        }
        for entry in 0..self.entries.len() {
            for server in self.entries[entry].links.clone() {
                self.add_link(entry, server);
            }
            let after = REPORT_CHECK_INTERVAL.mul_f64(self.rng.next_f64());
            self.after(after, Event::ReportTick { entry });
        }
        for server in 0..self.servers.len() {
            let after = HEARTBEAT_INTERVAL.mul_f64(self.rng.next_f64());
            self.after(after, Event::HeartbeatTick { server });
            self.request_work(server);
        }
    }

    /// Schedules a fault.
    pub fn schedule(&mut self, at: time::Duration, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    /// Runs the simulation until a virtual time.
    pub fn run_until(&mut self, until: time::Duration) {
        while self.events.peek().is_some_and(|next| next.at <= until) {
            if let Some(next) = self.events.pop() {
                self.now = next.at;
                self.handle(next.event);
            }
        }
        self.now = until;
        self.update_slot_time();
    }

    /// Returns the outcomes of all requests so far, in order of arrival.
    pub fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        self.requests.iter().map(|request| &request.outcome)
    }

    /// Returns the largest gap in weighted service between two customers that were continuously
    /// backlogged, as a multiple of the largest cost of a request.
    pub fn gap_ratio(&mut self) -> f64 {
        self.gap.largest() / self.largest_cost as f64
    }

    /// Returns the share of slots in use over the time in which requests waited.
    pub fn utilisation(&self) -> f64 {
        if self.slot_time == 0.0 {
            1.0
        } else {
            self.busy_time / self.slot_time
        }
    }

    fn push(&mut self, at: time::Duration, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    fn after(&mut self, after: time::Duration, event: Event) {
        self.push(self.now + after, event);
    }

    fn send(&mut self, event: Event) {
        self.after(self.config.delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                customer,
                load_epoch,
            } => self.on_arrival(customer, load_epoch),
            Event::Offer {
                server,
                request,
                total,
            } => self.on_offer(server, request, total),
            Event::Void { server, request } => {
                self.servers[server].void(request);
            }
            Event::Claim {
                entry,
                server,
                request,
            } => self.on_claim(entry, server, request),
            Event::RefuseClaim { server, request } => self.on_refused_claim(server, request),
            Event::Run {
                server,
                claimed,
                request,
            } => self.on_run(server, claimed, request),
            Event::Chunk {
                server,
                epoch,
                request,
            } => self.on_chunk(server, epoch, request),
            Event::Charge { request, cost, end } => self.on_charge(request, cost, end),
            Event::Want { entry, server } => self.on_want(entry, server),
            Event::WantRetry { server } => {
                self.servers[server].is_want_pending = false;
                self.request_work(server);
            }
            Event::HeartbeatTick { server } => self.on_heartbeat_tick(server),
            Event::Heartbeat {
                entry,
                server,
                virtual_time,
                running,
                waiting,
                leaving,
            } => {
                self.on_heartbeat(entry, server, (running, waiting), leaving);
                let own = &mut self.entries[entry];
                if leaving {
                    own.links.retain(|other| *other != server);
                    own.clock.remove(self.sidecars[server]);
                } else {
                    own.clock
                        .on_report(self.sidecars[server], virtual_time, waiting);
                }
            }
            Event::Retry { request } => self.on_retry(request),
            Event::ReportTick { entry } => self.on_report_tick(entry),
            Event::Report {
                entry,
                home,
                source,
                accounts,
            } => {
                self.on_report(entry, home, source, &accounts);
            }
            Event::Reply {
                entry,
                source,
                accounts,
            } => self.on_reply(entry, source, &accounts),
            Event::Totals { server, totals } => {
                for (customer, total) in totals {
                    self.servers[server]
                        .shares
                        .observe_total(self.now, customer, total);
                }
            }
            Event::Expire { request } => {
                if self.requests[request].outcome.server.is_none() {
                    self.finish(request, Some(code::Code::DeadlinePassed));
                }
            }
            Event::Fault(fault) => self.apply_fault(&fault),
        }
    }

    fn update_slot_time(&mut self) {
        let elapsed_s = self.now.saturating_sub(self.counted_until).as_secs_f64();
        self.counted_until = self.now;
        if self.now > WARM_UP_TIME && self.waiting.iter().any(|waiting| *waiting > 0) {
            self.busy_time += elapsed_s * f64::from(self.busy_slots.min(self.total_slots));
            self.slot_time += elapsed_s * f64::from(self.total_slots);
        }
    }
}

fn source(at: usize, incarnation: u64) -> ledger::Source {
    ledger::Source {
        process: at as u64,
        incarnation,
    }
}

fn ticket(
    customer: key::Customer,
    link: key::Link,
    request: usize,
    cost_hint: u64,
    now: time::Duration,
) -> queue::Ticket {
    queue::Ticket {
        customer,
        link,
        request: request as u64,
        model: 0,
        cost_hint,
        prefix_hash: 0,
        deadline: None,
        offered_at: now,
    }
}

// Returns `count` distinct indices below n (at most n), in random order.
fn sample(rng: &mut rng::Rng, n: usize, count: usize) -> Vec<usize> {
    let mut all = (0..n).collect::<Vec<_>>();
    for at in 0..count.min(n) {
        let other = at + rng.below(n - at);
        all.swap(at, other);
    }
    all.truncate(count);
    all
}
