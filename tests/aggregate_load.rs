//! Fair shares of customers in a fleet of any size, simulated in virtual time.
//!
//! Load pattern: a customer floods all engines, and at the same moment the load of another rises
//! whose prompts belong to a fifteenth of them. The entries that decide about these engines serve
//! the second one first only if they know what the first one gets at all others. The time until they
//! know, and the work of any one entry, must not grow with the fleet.

#[path = "support/events.rs"]
mod events;

#[path = "support/fairness.rs"]
mod fairness;

use std::{collections, net, time};

use chivebend::decide::{aggregate, place, random, recent};
use chivebend::direct::peer::interval;
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// Number of entries for each one that decides about engines.
const ENTRIES_PER_DECIDER: usize = 6;

/// Availability zones of the fleet.
const ZONES: usize = 6;

const CUSTOMERS: usize = 12;

/// The customer that floods the fleet, and the one whose prompts belong to few engines.
const FLOODING: usize = 0;
const CONCENTRATED: usize = 1;

/// Number of engines for each one that the second customer's prompts belong to.
const ENGINES_PER_HOME: usize = 15;

/// Number of shared prefixes for each engine.
const PREFIXES_PER_ENGINE: usize = 7;

/// Prompt tokens that an engine reads in a millisecond, and the time from the end of the prompt to
/// the first event, in milliseconds.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
const BASE_LATENCY_MS: f64 = 80.0;

/// Duration of a stream after its first event, in milliseconds.
const DECODE_MS: f64 = 900.0;

/// Latency objective of all requests.
const OBJECTIVE_MS: u64 = 600;

/// Requests per second and engine: of all other customers, of the one that floods, and of the
/// concentrated one.
const USUAL_PER_S: f64 = 6.0;
const FLOOD_PER_S: f64 = 16.0;
const CONCENTRATED_PER_S: f64 = 2.2;

/// Start of both customers' load, and duration of the arrivals, in seconds.
const FLOOD_AT_S: u64 = 3;
const SIMULATED_S: usize = 13;

/// Bytes of a report without customers, with the headers of UDP and IP, and of a customer in it.
const REPORT_BYTES: usize = 60;
const CUSTOMER_BYTES: usize = 12;

const LOSS: f64 = 0.01;

/// Budget of an entry at 360 entries: control traffic of 6 KB/s at the middle, twice that at the
/// busiest, and half as many datagrams as heartbeats are limited to.
const MAX_BYTES_PER_S: f64 = 12_000.0;
const MAX_DATAGRAMS_PER_S: f64 = 60.0;

const SIZES: [usize; 4] = [30, 360, 720, 1_440];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Design {
    // Each entry reports to all others at the interval of heartbeats, and to some of them with every
    // fourth.
    Heartbeats,
    Reports,
}

#[derive(Clone)]
struct Request {
    customer: usize,
    job: place::Job,
    entry: usize,
    arrived_ms: u64,
    is_retry: bool,
}

// Service and demand of customers as an entry reports them.
type Customers = Vec<(key::Customer, f64, f64)>;

enum Event {
    Arrival(usize),
    Retry(Request),
    ResponseStart(usize, place::Placement, Request),
    End(usize, place::Placement),
    WaitExpired(usize, u64, place::Ticket),
    Round(usize),
    Report(usize, recent::Source, Customers),
}

struct Model {
    design: Design,
    deciders: usize,
    // What each entry knows; the engines of a decider are the servers of its own.
    entries: Vec<place::Fleet>,
    // Knows all engines, and everything that was served, without delay.
    exact: place::Fleet,
    // The decider of each engine, and its key there.
    engines: collections::HashMap<key::Sidecar, (usize, key::Sidecar)>,
    prefill_end_ms: collections::HashMap<(usize, key::Sidecar), f64>,
    waiting: collections::HashMap<u64, Request>,
    customers: Vec<key::Customer>,
    // Requests per second of each customer, and the prefixes of its prompts.
    rates: Vec<f64>,
    prefixes: Vec<Vec<u64>>,
    positions: Vec<aggregate::Position>,
    children: Vec<Vec<usize>>,
    queue: events::Queue<Event>,
    rng: random::Random,
    now_ms: u64,
    numbers: u64,
    accounts: Vec<fairness::Account<{ SIMULATED_S + 2 }>>,
    sent_bytes: Vec<usize>,
    received: Vec<usize>,
}

fn address(n: usize) -> net::Ipv4Addr {
    net::Ipv4Addr::from_bits(0x0a00_0000 + n as u32)
}

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn engine(id: &str) -> place::ServerInfo<'_> {
    place::ServerInfo {
        id,
        service: 0,
        slots: 64,
        is_engine: true,
        is_near: false,
        version: chivebend::decide::binding::Version::default(),
        is_version_known: true,
    }
}

impl Model {
    fn new(size: usize, design: Design, seed: u64) -> Self {
        let deciders = size / ENTRIES_PER_DECIDER;
        let engine_count = deciders.max(10);
        let mut entries: Vec<_> = (0..size as u64).map(place::Fleet::new).collect();
        let mut exact = place::Fleet::new(seed);
        let mut engines = collections::HashMap::new();
        for n in 0..engine_count {
            let (id, decider) = (format!("engine-{n}"), n % deciders);
            let key = exact.add(ms(0), engine(&id));
            let own = entries[decider].add(ms(0), engine(&id));
            engines.insert(key, (decider, own));
        }
        let addresses: Vec<_> = (0..deciders).map(address).collect();
        let mut children = vec![Vec::new(); deciders];
        for n in deciders..size {
            let parent = aggregate::parent(address(n), &addresses).expect("a decider");
            children[index(parent)].push(n);
        }
        let mut keys = SlotMap::<key::Customer, ()>::with_key();
        let count = engine_count as f64;
        let mut rates = vec![USUAL_PER_S * count / (CUSTOMERS - 2) as f64; CUSTOMERS];
        rates[FLOODING] = FLOOD_PER_S * count;
        rates[CONCENTRATED] = CONCENTRATED_PER_S * count;
        for entry in &mut entries {
            entry.set_reports_delayed(design == Design::Reports);
        }
        let mut model = Self {
            design,
            deciders,
            entries,
            exact,
            engines,
            prefill_end_ms: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
            customers: (0..CUSTOMERS).map(|_| keys.insert(())).collect(),
            rates,
            prefixes: Vec::new(),
            positions: addresses
                .iter()
                .map(|own| aggregate::position(*own, &addresses))
                .collect(),
            children,
            queue: events::Queue::default(),
            rng: random::Random::new(seed),
            now_ms: 0,
            numbers: 0,
            accounts: vec![fairness::Account::default(); CUSTOMERS],
            sent_bytes: vec![0; size],
            received: vec![0; size],
        };
        model.assign_prefixes(engine_count);
        model
    }

    // Gives all customers the same prefixes, but the concentrated one only those whose homes are
    // among the first engines.
    fn assign_prefixes(&mut self, engine_count: usize) {
        let all: Vec<u64> = (0..(engine_count * PREFIXES_PER_ENGINE) as u64).collect();
        let homes = (engine_count / ENGINES_PER_HOME).max(1);
        let mut keys: Vec<_> = self.engines.keys().copied().collect();
        keys.sort_unstable();
        keys.truncate(homes);
        let few = all.iter().copied().filter(|prefix| {
            let job = self.job(CONCENTRATED, &[(*prefix, 10), (u64::MAX, 10)]);
            let home = self.exact.choose(&job);
            home.is_some_and(|home| keys.contains(&home))
        });
        let few = few.collect();
        self.prefixes = vec![all; CUSTOMERS];
        self.prefixes[CONCENTRATED] = few;
    }

    fn now(&self) -> time::Duration {
        ms(self.now_ms)
    }

    fn job(&self, customer: usize, parts: &[(u64, u32)]) -> place::Job {
        let part = |(chain, tokens): &(u64, u32)| place::Part {
            chain: *chain,
            tokens: *tokens,
        };
        place::Job {
            service: 0,
            customer: self.customers[customer],
            parts: parts.iter().map(part).collect(),
            cost: parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
            due: ms(self.now_ms + OBJECTIVE_MS),
            objective: ms(OBJECTIVE_MS),
            excluded: SmallVec::new(),
            suspect: None,
            version: None,
            is_resumable: false,
        }
    }

    fn request(&mut self, customer: usize) -> Request {
        self.numbers += 1;
        let own = (1 << 40) + self.numbers;
        let prefixes = &self.prefixes[customer];
        let prefix = prefixes[self.rng.below(prefixes.len())];
        // The length depends on the number only, so that a prefix always has the same length.
        let shared = 1_000 + (prefix * 7_919 % 9_000) as u32;
        let tokens = 300 + self.rng.below(4_000) as u32;
        Request {
            customer,
            job: self.job(customer, &[(prefix, shared), (own, tokens)]),
            entry: self.rng.below(self.entries.len()),
            arrived_ms: self.now_ms,
            is_retry: false,
        }
    }

    fn run(&mut self) {
        for customer in 0..CUSTOMERS {
            let is_late = customer == FLOODING || customer == CONCENTRATED;
            let from = if is_late { FLOOD_AT_S * 1_000 } else { 0 };
            self.queue.add(from, Event::Arrival(customer));
        }
        for n in 0..self.entries.len() {
            let phase = self.rng.below(self.interval_ms(n) as usize);
            self.queue.add(phase as u64, Event::Round(n));
        }
        while let Some((at_ms, event)) = self.queue.next_before(SIMULATED_S as u64 * 1_000) {
            self.now_ms = at_ms;
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival(customer) => self.on_arrival(customer),
            Event::Retry(request) => self.place(request),
            Event::ResponseStart(decider, placed, request) => {
                self.on_response_start(decider, placed, &request);
            }
            Event::End(decider, placed) => {
                let (now, server) = (self.now(), placed.server);
                self.entries[decider].release(now, placed, true);
                self.start_waiting(decider, server);
            }
            Event::WaitExpired(decider, number, ticket) => {
                if let Some(request) = self.waiting.remove(&number) {
                    self.entries[decider].cancel_wait(number, ticket);
                    self.refuse(request, 500);
                }
            }
            Event::Round(n) => self.report(n),
            Event::Report(to, source, customers) => self.on_report(to, source, &customers),
        }
    }

    fn on_arrival(&mut self, customer: usize) {
        let gap = -1_000.0 / self.rates[customer] * (1.0 - self.rng.unit()).ln();
        // The clock has milliseconds; several requests may arrive in one.
        let next = self.now_ms as f64 + gap + self.rng.unit();
        self.queue.add(next as u64, Event::Arrival(customer));
        let request = self.request(customer);
        self.place(request);
    }

    fn place(&mut self, mut request: Request) {
        let (now, cost) = (self.now(), request.job.cost as f64);
        // An entry can't tell a retry from a new request.
        request.job.due = now + ms(OBJECTIVE_MS);
        let customer = request.job.customer;
        let entry = &mut self.entries[request.entry];
        entry.demand_mut().add(now, customer, cost);
        let second = (self.now_ms / 1_000) as usize;
        self.accounts[request.customer].record_request(second, cost);
        loop {
            let home = self.exact.choose(&request.job).expect("an engine");
            let (decider, server) = self.engines[&home];
            self.numbers += 1;
            let number = self.numbers;
            match self.entries[decider].place_at(now, number, &request.job, server) {
                place::Verdict::Start(placed) => return self.start(decider, placed, request),
                place::Verdict::Wait(ticket, until) => {
                    self.waiting.insert(number, request);
                    let until = (until.as_millis() as u64).max(self.now_ms);
                    let event = Event::WaitExpired(decider, number, ticket);
                    return self.queue.add(until, event);
                }
                place::Verdict::Refuse(_, after) => {
                    request.job.excluded.push(home);
                    if !self.tries_other_home(&request) {
                        return self.refuse(request, after.as_millis() as u64);
                    }
                }
            }
        }
    }

    fn tries_other_home(&self, request: &Request) -> bool {
        request.job.excluded.len() <= place::MAX_OTHER_HOMES
            && self.entries[request.entry].is_starved(self.now(), request.job.customer)
    }

    fn refuse(&mut self, mut request: Request, after_ms: u64) {
        let second = (self.now_ms / 1_000) as usize;
        self.accounts[request.customer].waited[second] = true;
        if !request.is_retry {
            request.is_retry = true;
            request.job.excluded.clear();
            self.queue
                .add(self.now_ms + after_ms, Event::Retry(request));
        }
    }

    // An engine reads prompts in order of arrival.
    fn start(&mut self, decider: usize, placed: place::Placement, request: Request) {
        let (now, cost) = (self.now(), request.job.cost as f64);
        self.exact
            .service_mut()
            .add(now, request.job.customer, cost);
        let end = self
            .prefill_end_ms
            .entry((decider, placed.server))
            .or_insert(0.0);
        *end = end.max(self.now_ms as f64) + placed.tokens / PREFILL_TOKENS_PER_MS;
        let first = (*end + BASE_LATENCY_MS) as u64;
        self.queue
            .add(first, Event::ResponseStart(decider, placed, request));
    }

    fn on_response_start(
        &mut self,
        decider: usize,
        mut placed: place::Placement,
        request: &Request,
    ) {
        let second = (self.now_ms / 1_000) as usize;
        let account = &mut self.accounts[request.customer];
        account.received[second] += request.job.cost as f64;
        account.waited[second] |= self.now_ms > request.arrived_ms + OBJECTIVE_MS;
        let (now, server) = (self.now(), placed.server);
        self.entries[decider].record_first_event(now, &mut placed);
        self.start_waiting(decider, server);
        let end = self.now_ms + DECODE_MS as u64;
        self.queue.add(end, Event::End(decider, placed));
    }

    fn start_waiting(&mut self, decider: usize, server: key::Sidecar) {
        let now = self.now();
        while let Some((number, placed)) = self.entries[decider].start_next(now, server) {
            match self.waiting.remove(&number) {
                Some(request) => self.start(decider, placed, request),
                None => self.entries[decider].release(now, placed, false),
            }
        }
    }

    fn interval_ms(&self, n: usize) -> u64 {
        let interval = match self.design {
            Design::Heartbeats => interval::heartbeat(self.entries.len() - 1),
            Design::Reports if n < self.deciders => aggregate::DECIDER_INTERVAL,
            Design::Reports => aggregate::CHILD_INTERVAL,
        };
        interval.as_millis() as u64
    }

    fn report(&mut self, n: usize) {
        let deciders: Vec<_> = (0..self.deciders).map(address).collect();
        let own = address(n);
        let source = n as u64;
        if self.design == Design::Heartbeats {
            let others = self.heartbeat_targets(n);
            self.send(
                n,
                &others,
                recent::Scope::Own,
                recent::Source::Entry(source),
            );
        } else if n >= self.deciders {
            let parent = aggregate::parent(own, &deciders).expect("a decider");
            let to = [index(parent)];
            self.send(n, &to, recent::Scope::Own, recent::Source::Child(source));
        } else {
            let position = self.positions[n].clone();
            let members: Vec<_> = position.members.iter().copied().map(index).collect();
            let source = recent::Source::Member(source);
            self.send(n, &members, recent::Scope::Subtree, source);
            let others: Vec<_> = position.counterparts.iter().copied().map(index).collect();
            let source = recent::Source::Group(position.group);
            self.send(n, &others, recent::Scope::Group, source);
            let interval = aggregate::CHILD_INTERVAL.as_millis() as u64;
            if self.now_ms % interval < self.interval_ms(n) {
                let children = self.children[n].clone();
                let source = recent::Source::Parent;
                self.send(n, &children, recent::Scope::Fleet, source);
            }
        }
        let next = self.now_ms + self.interval_ms(n);
        self.queue.add(next, Event::Round(n));
    }

    // Returns the entries that get this heartbeat: deciders, and those of the own zone, get each one.
    fn heartbeat_targets(&self, n: usize) -> Vec<usize> {
        let others = self.entries.len() - 1;
        let sequence = self.now_ms / self.interval_ms(n);
        let to_all = !interval::is_sparse(others)
            || n < self.deciders
            || sequence.is_multiple_of(interval::SPARSE_FACTOR.into());
        let gets = |to: &usize| to_all || *to < self.deciders || to % ZONES == n % ZONES;
        (0..=others).filter(|to| *to != n).filter(gets).collect()
    }

    fn send(&mut self, from: usize, to: &[usize], scope: recent::Scope, source: recent::Source) {
        let (now, entry) = (self.now(), &mut self.entries[from]);
        let mut changed = entry.service_mut().take_changed(scope);
        changed.extend(entry.demand_mut().take_changed(scope));
        changed.sort_unstable();
        changed.dedup();
        let amounts = |customer: &key::Customer| {
            let service = entry.service().service(now, *customer, scope);
            (
                *customer,
                service,
                entry.demand().service(now, *customer, scope),
            )
        };
        let customers: Customers = changed.iter().map(amounts).collect();
        for to in to {
            self.sent_bytes[from] += REPORT_BYTES + CUSTOMER_BYTES * customers.len();
            if self.rng.unit() < LOSS {
                continue;
            }
            let at_ms = self.now_ms + 1 + self.rng.below(20) as u64;
            let event = Event::Report(*to, source, customers.clone());
            self.queue.add(at_ms, event);
        }
    }

    fn on_report(&mut self, to: usize, source: recent::Source, customers: &Customers) {
        let now = self.now();
        self.received[to] += 1;
        let entry = &mut self.entries[to];
        let service = customers
            .iter()
            .map(|(customer, service, _)| (*customer, *service));
        let demand = customers
            .iter()
            .map(|(customer, _, demand)| (*customer, *demand));
        if source == recent::Source::Parent {
            entry.service_mut().merge_totals(now, service);
            entry.demand_mut().merge_totals(now, demand);
        } else {
            entry.service_mut().merge(now, source, service);
            entry.demand_mut().merge(now, source, demand);
        }
    }

    // Returns how far what the entries know of the customers' service is from the truth, relative
    // to the most served customer: the mean over entries and customers.
    fn mean_error(&self) -> f64 {
        let (now, most) = (self.now(), self.exact.service().max_served(self.now()));
        let errors = self.entries[..self.deciders].iter().flat_map(|entry| {
            self.customers.iter().map(move |customer| {
                let known = entry.service().fleet_service(now, *customer);
                (known - self.exact.service().fleet_service(now, *customer)).abs() / most
            })
        });
        errors.sum::<f64>() / (self.deciders * CUSTOMERS) as f64
    }
}

fn index(address: net::Ipv4Addr) -> usize {
    (address.to_bits() - 0x0a00_0000) as usize
}

struct Outcome {
    starved: Vec<String>,
    // Bytes per second that the busiest entry sends, and most datagrams per second that one
    // receives.
    busiest_bytes: usize,
    most_received: usize,
}

fn play(size: usize, design: Design, seed: u64) -> Outcome {
    let mut model = Model::new(size, design, seed);
    model.run();
    let outcome = Outcome {
        starved: fairness::starved(&model.accounts, SIMULATED_S),
        busiest_bytes: model.sent_bytes.iter().max().expect("entries") / SIMULATED_S,
        most_received: model.received.iter().max().expect("entries") / SIMULATED_S,
    };
    let received = |n: usize| model.accounts[n].received.iter().sum::<f64>() / 1e6;
    println!(
        "{size} entries, seed {seed}, {design:?}: million tokens {:.1} and {:.1}; error at deciders \
         {:.3}; the busiest sends {} B/s; most received {} a second; {:#?}",
        received(FLOODING),
        received(CONCENTRATED),
        model.mean_error(),
        outcome.busiest_bytes,
        outcome.most_received,
        outcome.starved,
    );
    outcome
}

#[test]
fn a_customer_of_few_engines_gets_its_share_beside_a_flood_at_any_size() {
    for size in SIZES {
        for seed in 1..=2 {
            let outcome = play(size, Design::Reports, seed);
            assert!(outcome.starved.is_empty(), "{size} entries, seed {seed}");
            // The work of an entry grows with the square root of the fleet at most.
            let growth = (size as f64 / SIZES[1] as f64).sqrt().max(1.0);
            let datagrams = MAX_DATAGRAMS_PER_S * growth;
            assert!(outcome.most_received as f64 <= datagrams, "{size} entries");
            let bytes = MAX_BYTES_PER_S * growth;
            assert!(outcome.busiest_bytes as f64 <= bytes, "{size} entries");
        }
    }
}

// Guards the comparison: with heartbeats of all entries to all, the customer gets half of what it is
// due at least in a fleet of hundreds of entries.
#[test]
fn heartbeats_of_all_to_all_suffice_in_a_small_fleet_only() {
    for (size, suffices) in [(30, true), (360, false)] {
        let outcome = play(size, Design::Heartbeats, 1);
        assert_eq!(outcome.starved.is_empty(), suffices, "{size} entries");
    }
}
