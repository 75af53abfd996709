//! Model in virtual time of engines that are asked for more than they read, at several numbers of
//! entries.
//!
//! Load pattern: requests wait at every engine, most of them of one customer, while a third to a
//! half of the engines' time passes without reading, since a prompt counts as unread until its
//! first event has come back. Each engine has one deciding entry; what it knows of the customers'
//! service at other engines is as old as heartbeats in a fleet of this size; of 1,440 entries no second
//! one comes within a run.

use std::{collections, time};

use chivebend::decide::{binding, feature, place, random, recent};
use chivebend::direct::peer::interval;
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

const ENGINES: usize = 12;
const SMALL_CUSTOMERS: usize = 6;
const END_MS: u64 = 6_000;

// Between two looks at the waiting requests.
const STEP_MS: u64 = 5;

// Speed of engines: tokens that are read in a millisecond, and the time from the end of a prompt to
// its first event, at the deciding entry, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Speed {
    tokens_per_ms: f64,
    first_event_ms: f64,
}

const USUAL: Speed = Speed {
    tokens_per_ms: 45.0,
    first_event_ms: 90.0,
};

// Slower engines before entries that are short of processor time.
const SLOW: Speed = Speed {
    tokens_per_ms: 25.0,
    first_event_ms: 200.0,
};

// Prompt tokens that are asked for, as a multiple of what an engine reads, and those of a prompt.
const LOAD: f64 = 1.5;
const PROMPT_TOKENS: u32 = 3_000;

// Part of the requests that the small customers send.
const SMALL_SHARE: f64 = 0.25;

const OBJECTIVE_MS: u64 = 600;

// Part of the best served customer's service below which users call a customer underserved.
const BELOW_SHARE: f64 = 0.5;

fn at(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms / 1e3)
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    in_time: u32,
    small_in_time: u32,
    // Part of the time with waiting requests of customers below their share in which nothing was
    // read.
    idle: f64,
}

struct Waiting {
    arrived: u64,
    until: time::Duration,
    customer: key::Customer,
    is_small: bool,
}

// An engine with its deciding entry.
struct Engine {
    speed: Speed,
    fleet: place::Fleet,
    server: key::Sidecar,
    reads_until_ms: f64,
    // Those sent without first event: when that is due, and when the request arrived.
    sent: collections::VecDeque<(f64, u64, bool, place::Placement)>,
    waiting: collections::HashMap<u64, Waiting>,
}

impl Engine {
    fn send(&mut self, now: u64, arrived: u64, is_small: bool, placed: place::Placement) {
        let start = self.reads_until_ms.max(now as f64);
        self.reads_until_ms = start + placed.tokens / self.speed.tokens_per_ms;
        let due = self.reads_until_ms + self.speed.first_event_ms;
        self.sent.push_back((due, arrived, is_small, placed));
    }

    fn advance(&mut self, now: u64, outcome: &mut Outcome) {
        while self.sent.front().is_some_and(|s| s.0 <= now as f64) {
            let Some((due, arrived, is_small, mut placed)) = self.sent.pop_front() else {
                return;
            };
            self.fleet.record_first_event(at(due), &mut placed);
            self.fleet.release(at(due), placed, true);
            let is_in_time = due <= (arrived + OBJECTIVE_MS) as f64;
            outcome.in_time += u32::from(is_in_time);
            outcome.small_in_time += u32::from(is_in_time && is_small);
        }
        while let Some((request, placed)) = self.fleet.start_next(at(now as f64), self.server) {
            if let Some(waiting) = self.waiting.remove(&request) {
                self.send(now, waiting.arrived, waiting.is_small, placed);
            }
        }
    }

    fn place(&mut self, now: u64, request: u64, customer: key::Customer, is_small: bool) {
        let part = place::Part {
            chain: request,
            tokens: PROMPT_TOKENS,
        };
        let job = place::Job {
            service: 0,
            customer,
            parts: SmallVec::from_slice(&[part]),
            cost: PROMPT_TOKENS.into(),
            due: at((now + OBJECTIVE_MS) as f64),
            objective: at(OBJECTIVE_MS as f64),
            excluded: SmallVec::new(),
            suspect: None,
            version: None,
            is_resumable: false,
        };
        let verdict = self
            .fleet
            .place_at(at(now as f64), request, &job, self.server);
        match verdict {
            place::Verdict::Start(placed) => self.send(now, now, is_small, placed),
            place::Verdict::Wait(_, until) => {
                let waiting = Waiting {
                    arrived: now,
                    until,
                    customer,
                    is_small,
                };
                self.waiting.insert(request, waiting);
            }
            place::Verdict::Refuse(..) => {}
        }
    }
}

impl Engine {
    // Returns whether a request of a customer below its share waits.
    fn has_underserved(&mut self, now: u64) -> bool {
        let now = at(now as f64);
        self.waiting.retain(|_, w| now < w.until);
        let fleet = &self.fleet;
        let is_below = |w: &Waiting| fleet.served_share(now, w.customer) < BELOW_SHARE;
        self.waiting.values().any(is_below)
    }
}

fn engine(n: usize, steady_reading: bool, speed: Speed) -> Engine {
    let mut fleet = place::Fleet::new(n as u64);
    fleet.set_features(feature::Features {
        steady_reading,
        ..feature::Features::default()
    });
    let info = place::ServerInfo {
        id: &format!("engine-{n}"),
        service: 0,
        slots: 64,
        is_engine: true,
        is_near: true,
        version: binding::Version::default(),
        is_version_known: true,
    };
    let server = fleet.add(time::Duration::ZERO, info);
    Engine {
        speed,
        fleet,
        server,
        reads_until_ms: 0.0,
        sent: collections::VecDeque::new(),
        waiting: collections::HashMap::new(),
    }
}

// Brings the customers' service at each engine to the deciding entries of the others.
fn exchange(now: u64, engines: &mut [Engine], customers: &[key::Customer]) {
    let now = at(now as f64);
    let served = |e: &Engine| -> Vec<_> {
        let own = |c: &key::Customer| (*c, e.fleet.own_service(now, *c));
        customers.iter().map(own).collect()
    };
    let reports: Vec<_> = engines.iter().map(served).collect();
    for (to, engine) in engines.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            let source = recent::Source::Entry(from as u64);
            let service = engine.fleet.service_mut();
            service.merge(now, source, report.iter().copied());
        }
    }
}

fn run(entries: usize, steady_reading: bool, seed: u64, rate: Speed) -> Outcome {
    let mut arena = SlotMap::with_key();
    let customers: Vec<_> = (0..=SMALL_CUSTOMERS).map(|_| arena.insert(())).collect();
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|n| engine(n, steady_reading, rate))
        .collect();
    let mut random = random::Random::new(seed);
    let mut outcome = Outcome::default();
    let heartbeat = interval::heartbeat(entries - 1).as_millis() as u64;
    let per_step = LOAD * rate.tokens_per_ms * STEP_MS as f64 / f64::from(PROMPT_TOKENS);
    let (mut request, mut waits, mut idle) = (0, 0u32, 0u32);
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        if now % heartbeat < STEP_MS {
            exchange(now, &mut engines, &customers);
        }
        for engine in &mut engines {
            engine.advance(now, &mut outcome);
            if random.unit() < per_step {
                request += 1;
                let is_small = random.unit() < SMALL_SHARE;
                let which = if is_small {
                    1 + random.below(SMALL_CUSTOMERS)
                } else {
                    0
                };
                engine.place(now, request, customers[which], is_small);
            }
            let is_idle = engine.reads_until_ms <= now as f64;
            let has_underserved = engine.has_underserved(now);
            waits += u32::from(has_underserved);
            idle += u32::from(has_underserved && is_idle);
            engine.fleet.sweep(at(now as f64));
        }
    }
    outcome.idle = f64::from(idle) / f64::from(waits.max(1));
    outcome
}

// Capacity must not idle while work waits, least of all work of customers below their share. A step
// is the least time in which it can be noticed, of the 67 ms that a prompt takes, so a twentieth
// is all that may be left.
const MAX_IDLE: f64 = 0.05;

#[test]
fn engines_read_while_small_customers_wait() {
    for (rate, entries) in [
        (USUAL, 4),
        (USUAL, 30),
        (USUAL, 360),
        (USUAL, 1_440),
        (SLOW, 30),
    ] {
        for seed in 1..=2 {
            let run = |is_on| run(entries, is_on, seed, rate);
            let (off, on) = (run(false), run(true));
            let what = format!("{entries} entries, seed {seed}, {rate:?}: {off:?}, {on:?}");
            assert!(on.idle <= MAX_IDLE, "{what}");
            assert!(off.idle > MAX_IDLE, "without the feature: {what}");
            assert!(on.in_time >= off.in_time, "{what}");
            assert!(on.small_in_time > off.small_in_time, "{what}");
        }
    }
}
