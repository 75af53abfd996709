//! Tests that customers get their share of a fleet under load, simulated in virtual time.
//!
//! Load pattern: a customer asked for 3.6 million tokens in six seconds and got 1.6, while another
//! got 11.3. No engine had failed. Its requests came through all entries and were refused as too
//! late, half of them on arrival. Logs of a similar day name the engines: customers with little
//! service were refused at engines where few requests ran and one long prompt was being read, while
//! other engines had capacity. The cause was that the wait time at one engine decided whether a
//! request may wait, regardless of its customer's service in the fleet. The simulation shows this
//! cause alone: nothing fails, reports are current, and the order at each engine is fair.

#[path = "support/fairness.rs"]
mod fairness;

use std::{collections, time};

use chivebend::decide::{place, random};
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// Number of engines and customers, as in the observed load pattern.
const ENGINES: usize = 55;
const CUSTOMERS: usize = 30;

/// Prompt tokens that an engine reads in a millisecond while it also generates streams, and the
/// time from the end of the prompt to the first event, in milliseconds.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
const BASE_LATENCY_MS: f64 = 80.0;

/// Duration of a stream after its first event, in milliseconds.
const DECODE_MS: f64 = 900.0;

/// Latency objective of all requests.
const OBJECTIVE_MS: f64 = 600.0;

/// Duration of the arrivals, in seconds.
const SIMULATED_S: usize = 20;

/// Number of shared prefixes: of long prompts, and of medium prompts for each customer.
const LONG_PARTS: usize = 387;
const MIDDLE_PARTS: usize = 266;

/// The customer that floods the fleet, and the one whose load rises later.
const FLOODING: usize = 0;
const LATECOMER: usize = 1;

fn at(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms / 1e3)
}

#[derive(Clone)]
struct Request {
    customer: usize,
    job: place::Job,
    // When its caller sent the first attempt.
    arrived_ms: f64,
    is_retry: bool,
}

enum Event {
    Arrival(usize),
    Retry(Request),
    // The first event of a response.
    ResponseStart(place::Placement, Request),
    End(place::Placement),
    // A request is refused after its longest wait.
    WaitExpired(u64, place::Ticket),
}

type Account = fairness::Account<{ SIMULATED_S + 2 }>;

/// Load of a customer: requests per second between two times in seconds.
struct Load {
    customer: usize,
    from: f64,
    to: f64,
    per_s: f64,
}

struct Simulation {
    fleet: place::Fleet,
    servers: Vec<key::Sidecar>,
    customers: Vec<key::Customer>,
    loads: Vec<Load>,
    // A customer whose long prompts have only these prefixes; those of other customers have any.
    restricted: Option<(usize, Vec<u64>)>,
    rng: random::Random,
    // By time in microseconds, then in the order in which they were scheduled.
    events: collections::BTreeMap<(u64, u64), Event>,
    waiting: collections::HashMap<u64, Request>,
    // When each engine has read its prompts.
    prefill_end_ms: collections::HashMap<key::Sidecar, f64>,
    next: u64,
    accounts: Vec<Account>,
    in_time: usize,
    late: usize,
    refused: usize,
    read: f64,
}

impl Simulation {
    fn new(seed: u64, loads: Vec<Load>) -> Self {
        let mut fleet = place::Fleet::new(seed);
        let mut add = |n| {
            fleet.add(
                time::Duration::ZERO,
                place::ServerInfo {
                    id: &format!("engine-{n}"),
                    service: 0,
                    slots: 64,
                    is_engine: true,
                    is_near: false,
                    version: chivebend::decide::binding::Version::default(),
                    is_version_known: true,
                },
            )
        };
        let servers = (0..ENGINES).map(&mut add).collect();
        let mut keys = SlotMap::<key::Customer, ()>::with_key();
        Self {
            fleet,
            servers,
            customers: (0..CUSTOMERS).map(|_| keys.insert(())).collect(),
            loads,
            restricted: None,
            rng: random::Random::new(seed),
            events: collections::BTreeMap::new(),
            waiting: collections::HashMap::new(),
            prefill_end_ms: collections::HashMap::new(),
            next: 0,
            accounts: vec![Account::default(); CUSTOMERS],
            in_time: 0,
            late: 0,
            refused: 0,
            read: 0.0,
        }
    }

    // Restricts a customer's long prompts to prefixes that belong to the first `prefix_engines`
    // engines.
    fn restrict_prefixes(&mut self, customer: usize, prefix_engines: usize) {
        let mut parts = Vec::new();
        for part in 0..LONG_PARTS as u64 {
            let job = self.job(customer, 0.0, &[(part, 10), (u64::MAX, 10)]);
            let home = self.fleet.choose(&job);
            if home.is_some_and(|home| self.servers[..prefix_engines].contains(&home)) {
                parts.push(part);
            }
        }
        self.restricted = Some((customer, parts));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.unit()).ln()
    }

    // Returns a log-normal prompt size: a fifth of the mean is as common as three times the mean.
    fn spread(&mut self, mean: f64, sigma: f64) -> u32 {
        let (u, v) = (1.0 - self.rng.unit(), self.rng.unit());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        ((mean.ln() - sigma * sigma / 2.0 + sigma * normal).exp() as u32).clamp(1, 53_000)
    }

    fn schedule(&mut self, ms: f64, event: Event) {
        self.next += 1;
        self.events.insert(((ms * 1e3) as u64, self.next), event);
    }

    fn job(&self, customer: usize, now: f64, parts: &[(u64, u32)]) -> place::Job {
        let part = |(chain, tokens): &(u64, u32)| place::Part {
            chain: *chain,
            tokens: *tokens,
        };
        let cost = parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        place::Job {
            service: 0,
            customer: self.customers[customer],
            parts: parts.iter().map(part).collect(),
            cost,
            due: at(now + OBJECTIVE_MS),
            objective: at(OBJECTIVE_MS),
            excluded: SmallVec::new(),
            suspect: None,
            version: None,
            is_resumable: false,
        }
    }

    // Returns a request with a long, a medium or a short prompt.
    fn request(&mut self, customer: usize, now: f64) -> Request {
        self.next += 1;
        let own = (1 << 40) + self.next;
        let draw = self.rng.unit();
        let parts = if draw < 0.36 {
            let part = match &self.restricted {
                Some((restricted, parts)) if *restricted == customer => {
                    parts[self.rng.below(parts.len())]
                }
                _ => self.rng.below(LONG_PARTS) as u64,
            };
            // The length depends on the number only, so that a prefix always has the same length.
            let shared = 4_000 + (part * 7_919 % 19_000) as u32;
            vec![(part, shared), (own, self.spread(3_720.0, 1.1))]
        } else if draw < 0.61 {
            let part = ((1 + customer) * 1_000 + self.rng.below(MIDDLE_PARTS)) as u64;
            let first = 1_000_000 + part % 4;
            vec![
                (first, 2_520),
                (part, 3_780),
                (own, self.spread(2_890.0, 1.0)),
            ]
        } else {
            let part = 2_000_000 + self.rng.below(411) as u64;
            vec![(part, 350), (own, self.spread(1_110.0, 1.0))]
        };
        Request {
            customer,
            job: self.job(customer, now, &parts),
            arrived_ms: now,
            is_retry: false,
        }
    }

    fn run(&mut self) {
        for n in 0..self.loads.len() {
            let from = self.loads[n].from * 1e3;
            self.schedule(from, Event::Arrival(n));
        }
        while let Some(((us, _), event)) = self.events.pop_first() {
            let now = us as f64 / 1e3;
            match event {
                Event::Arrival(n) => self.on_arrival(now, n),
                Event::Retry(request) => self.place(now, request),
                Event::ResponseStart(placed, request) => {
                    self.on_response_start(now, placed, &request);
                }
                Event::End(placed) => {
                    let server = placed.server;
                    self.fleet.release(at(now), placed, true);
                    self.start_waiting(now, server);
                }
                Event::WaitExpired(number, ticket) => {
                    if let Some(request) = self.waiting.remove(&number) {
                        self.fleet.cancel_wait(number, ticket);
                        self.refuse(now, request, 500.0);
                    }
                }
            }
        }
    }

    fn on_arrival(&mut self, now: f64, n: usize) {
        let load = &self.loads[n];
        let (customer, to, gap) = (load.customer, load.to * 1e3, 1e3 / load.per_s);
        if now >= to.min(SIMULATED_S as f64 * 1e3) {
            return;
        }
        let after = self.exponential(gap);
        self.schedule(now + after, Event::Arrival(n));
        let request = self.request(customer, now);
        self.place(now, request);
    }

    fn second(now: f64) -> usize {
        ((now / 1e3) as usize).min(SIMULATED_S + 1)
    }

    fn place(&mut self, now: f64, mut request: Request) {
        // An entry can't tell a retry from a new request.
        request.job.due = at(now + OBJECTIVE_MS);
        let (customer, cost) = (request.job.customer, request.job.cost as f64);
        self.fleet.demand_mut().add(at(now), customer, cost);
        self.accounts[request.customer].record_request(Self::second(now), cost);
        let mut next = self.fleet.choose(&request.job);
        loop {
            let server = next.expect("an engine");
            self.next += 1;
            let number = self.next;
            let verdict = self.fleet.place_at(at(now), number, &request.job, server);
            match verdict {
                place::Verdict::Start(placed) => return self.start(now, placed, request),
                place::Verdict::Wait(ticket, until) => {
                    self.waiting.insert(number, request);
                    let until = until.as_secs_f64() * 1e3;
                    return self.schedule(until.max(now), Event::WaitExpired(number, ticket));
                }
                place::Verdict::Refuse(_, after) => {
                    request.job.excluded.push(server);
                    next = self.fleet.after_refusal(at(now), &request.job);
                    if next.is_none() {
                        return self.refuse(now, request, after.as_secs_f64() * 1e3);
                    }
                }
            }
        }
    }

    fn refuse(&mut self, now: f64, mut request: Request, after: f64) {
        self.accounts[request.customer].waited[Self::second(now)] = true;
        if request.is_retry {
            self.refused += 1;
            return;
        }
        request.is_retry = true;
        request.job.excluded.clear();
        self.schedule(now + after, Event::Retry(request));
    }

    // An engine reads prompts in order of arrival.
    fn start(&mut self, now: f64, placed: place::Placement, request: Request) {
        let prefill_end_ms = self.prefill_end_ms.entry(placed.server).or_insert(0.0);
        *prefill_end_ms = prefill_end_ms.max(now) + placed.tokens / PREFILL_TOKENS_PER_MS;
        self.read += placed.tokens;
        let first = *prefill_end_ms + BASE_LATENCY_MS;
        self.schedule(first, Event::ResponseStart(placed, request));
    }

    fn on_response_start(&mut self, now: f64, mut placed: place::Placement, request: &Request) {
        let account = &mut self.accounts[request.customer];
        account.received[Self::second(now)] += request.job.cost as f64;
        if now - request.arrived_ms > OBJECTIVE_MS {
            account.waited[Self::second(now)] = true;
            self.late += 1;
        } else {
            self.in_time += 1;
        }
        let server = placed.server;
        self.fleet.record_first_event(at(now), &mut placed);
        self.start_waiting(now, server);
        self.schedule(now + DECODE_MS, Event::End(placed));
    }

    fn start_waiting(&mut self, now: f64, server: key::Sidecar) {
        while let Some((number, placed)) = self.fleet.start_next(at(now), server) {
            match self.waiting.remove(&number) {
                Some(request) => self.start(now, placed, request),
                None => self.fleet.release(at(now), placed, false),
            }
        }
    }
}

// Returns a small load of all customers, most of it from a few of them.
fn baseline_loads(per_s: f64) -> Vec<Load> {
    let weights = (0..CUSTOMERS).map(|n| 1.0 / (n as f64 + 2.0));
    let all: f64 = weights.clone().sum();
    let load = |(customer, weight): (usize, f64)| Load {
        customer,
        from: 0.0,
        to: SIMULATED_S as f64,
        per_s: per_s * weight / all,
    };
    weights.enumerate().map(load).collect()
}

struct Case {
    name: &'static str,
    // Additional requests per second of the flooding customer, and start in seconds and requests
    // per second of the other one.
    flood_per_s: f64,
    latecomer: (f64, f64),
    // Number of engines to which all prefixes of the second customer's long prompts belong.
    prefix_engines: Option<usize>,
}

// Simulates a case with three seeds.
fn run(case: &Case) {
    for seed in 1..=3 {
        let mut loads = baseline_loads(330.0);
        loads.push(Load {
            customer: FLOODING,
            from: 3.0,
            to: SIMULATED_S as f64,
            per_s: case.flood_per_s,
        });
        loads.push(Load {
            customer: LATECOMER,
            from: case.latecomer.0,
            to: SIMULATED_S as f64,
            per_s: case.latecomer.1,
        });
        let mut simulation = Simulation::new(seed, loads);
        if let Some(prefix_engines) = case.prefix_engines {
            simulation.restrict_prefixes(LATECOMER, prefix_engines);
        }
        simulation.run();
        let starved = fairness::starved(&simulation.accounts, SIMULATED_S);
        println!(
            "{} seed {seed}: in time {}, late {}, refused {}, read {:.1} million; {starved:#?}",
            case.name,
            simulation.in_time,
            simulation.late,
            simulation.refused,
            simulation.read / 1e6
        );
        assert!(starved.is_empty(), "{}, seed {seed}", case.name);
    }
}

#[test]
fn nobody_gets_less_than_half_of_its_share_of_the_whole_fleet_beside_one_that_floods_it() {
    run(&Case {
        name: "one floods",
        flood_per_s: 900.0,
        latecomer: (0.0, 0.1),
        prefix_engines: None,
    });
}

#[test]
fn nobody_gets_less_than_half_of_its_share_of_the_whole_fleet() {
    let cases = [
        Case {
            name: "another customer's load rises beside one that floods",
            flood_per_s: 900.0,
            latecomer: (8.5, 250.0),
            prefix_engines: None,
        },
        Case {
            name: "the other's long prompts belong to four engines",
            flood_per_s: 900.0,
            latecomer: (8.5, 120.0),
            prefix_engines: Some(4),
        },
    ];
    for case in &cases {
        run(case);
    }
}
