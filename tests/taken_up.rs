//! Streams that have begun and go on at other engines: how long they wait, and what other requests and
//! customers lose by that.

#[path = "support/engines.rs"]
mod engines;
#[path = "support/events.rs"]
mod events;

use std::collections;

use chivebend::code;
use chivebend::decide::{binding, place, random};
use chivebend::key;
use engines::ms;

/// Time for which a caller waits for the whole stream, in milliseconds.
const DEADLINE_MS: u64 = 12_000;

/// Shared and own tokens of a prompt.
const SHARED: u32 = 350;
const OWN: u32 = 2_000;

/// Prompt tokens that an engine reads in a millisecond, and time from then to the first event.
const TOKENS_PER_MS: u64 = 45;
const FIRST_EVENT_MS: u64 = 60;

const SIMULATED_MS: u64 = 20_000;

/// Part of what is served by which two runs of the same load may differ.
const MARGIN: f64 = 0.01;

fn begun(job: place::Job, now: u64) -> place::Job {
    place::Job {
        due: ms(now + DEADLINE_MS),
        version: Some(binding::Version::default()),
        ..job
    }
}

// Guards against streams that have begun and are refused like new requests, or are offered to fewer
// servers, in a service of one version.
#[test]
fn a_stream_that_has_begun_waits_for_longer_and_tries_other_servers() {
    let customer = engines::customers(1)[0];
    let (mut fleet, _) = engines::fleet(1, engines::ids(6), |_| true, engines::OFF);
    let job = |n: u64| engines::job(customer, &[(7, SHARED), (100 + n, OWN)], 0);
    let home = fleet.choose(&job(0)).expect("a home");
    let mut refused = None;
    for n in 0..200 {
        if let place::Verdict::Refuse(code, _) = fleet.place_at(ms(0), n, &job(n), home) {
            refused = Some((n, code));
            break;
        }
    }
    let (n, code) = refused.expect("the engine is full");
    assert_eq!(code, code::Code::DeadlineUnreachable);
    let waits = fleet.place_at(ms(0), 1_000, &begun(job(n), 0), home);
    assert!(matches!(waits, place::Verdict::Wait(..)), "{waits:?}");
    let mut stream = begun(job(n), 0);
    stream.excluded.push(home);
    let next = fleet
        .after_refusal(ms(0), &stream)
        .expect("another engine, though the customer has its share");
    assert_ne!(next, home);
    let mut new = job(n);
    new.excluded.push(home);
    assert_eq!(fleet.after_refusal(ms(0), &new), None);
}

// Guards against streams that wait until their deadlines and fill the queue that new requests need.
#[test]
fn streams_that_have_begun_leave_room_in_the_queue() {
    let customer = engines::customers(1)[0];
    let (mut fleet, at) = engines::fleet(1, engines::ids(1), |_| true, engines::OFF);
    let mut queued = 0;
    for n in 0..400 {
        let job = begun(engines::job(customer, &[(7, 1), (100 + n, 60)], 0), 0);
        match fleet.place_at(ms(0), n, &job, at[0]) {
            place::Verdict::Start(_) => {}
            place::Verdict::Wait(..) => queued += 1,
            place::Verdict::Refuse(code, _) => {
                assert_eq!(code, code::Code::QueueFull);
                break;
            }
        }
    }
    assert!((64..=128).contains(&queued), "{queued}");
    let new = engines::job(customer, &[(7, 1), (900, 60)], 0);
    let new = fleet.place_at(ms(0), 900, &new, at[0]);
    assert!(
        matches!(new, place::Verdict::Wait(..)),
        "{new:?} of a new request"
    );
}

enum Event {
    Arrival(usize),
    Answer(place::Placement, usize),
    Expiry(u64, place::Ticket),
}

// Requests of a customer, in arrivals for each engine and second, and whether they are streams that were
// broken off and are taken up.
#[derive(Clone, Copy)]
struct Load {
    customer: usize,
    per_s: f64,
    takes_up: bool,
}

struct Model {
    fleet: place::Fleet,
    servers: usize,
    customers: Vec<key::Customer>,
    random: random::Random,
    events: events::Queue<Event>,
    waiting: collections::HashMap<u64, usize>,
    read_until: collections::HashMap<key::Sidecar, u64>,
    next: u64,
    offered: Vec<u64>,
    served: Vec<u64>,
}

impl Model {
    // Returns the share of each load that is served, and its part of all that is.
    fn run(servers: usize, seed: u64, loads: &[Load]) -> (Vec<f64>, Vec<f64>) {
        let (fleet, _) = engines::fleet(seed, engines::ids(servers), |_| true, engines::OFF);
        let mut model = Self {
            fleet,
            servers,
            customers: engines::customers(loads.len()),
            random: random::Random::new(seed),
            events: events::Queue::default(),
            waiting: collections::HashMap::new(),
            read_until: collections::HashMap::new(),
            next: 0,
            offered: vec![0; loads.len()],
            served: vec![0; loads.len()],
        };
        (0..loads.len()).for_each(|n| model.events.add(0, Event::Arrival(n)));
        while let Some((now, event)) = model.events.next_before(SIMULATED_MS) {
            match event {
                Event::Arrival(n) => model.arrive(now, n, loads[n]),
                Event::Answer(placed, n) => model.on_first_event(now, placed, n),
                Event::Expiry(request, ticket) => {
                    if model.waiting.remove(&request).is_some() {
                        model.fleet.cancel_wait(request, ticket);
                    }
                }
            }
        }
        let all: u64 = model.served.iter().sum();
        let both = model.served.iter().zip(&model.offered);
        let shares = both.map(|(served, offered)| *served as f64 / *offered as f64);
        let parts = model.served.iter().map(|n| *n as f64 / all as f64);
        (shares.collect(), parts.collect())
    }

    fn arrive(&mut self, now: u64, n: usize, load: Load) {
        let mean_ms = 1e3 / load.per_s / self.servers as f64;
        let after = -mean_ms * (1.0 - self.random.unit()).ln();
        // Several arrive within a millisecond of a large fleet.
        self.events
            .add(now + after.round() as u64, Event::Arrival(n));
        self.next += 1;
        self.offered[n] += 1;
        let part = 1 + self.random.below(40 * self.servers) as u64;
        let parts = [(part, SHARED), ((1 << 40) + self.next, OWN)];
        let customer = self.customers[load.customer];
        let demand = self.fleet.demand_mut();
        demand.add(ms(now), customer, f64::from(SHARED + OWN));
        let job = engines::job(customer, &parts, now);
        let job = if load.takes_up { begun(job, now) } else { job };
        let at = self.fleet.choose(&job).expect("an engine");
        match self.fleet.place_at(ms(now), self.next, &job, at) {
            place::Verdict::Start(placed) => self.start(now, placed, n),
            place::Verdict::Wait(ticket, until) => {
                self.waiting.insert(self.next, n);
                let until = until.as_millis() as u64;
                let expiry = Event::Expiry(self.next, ticket);
                self.events.add(until.max(now), expiry);
            }
            place::Verdict::Refuse(..) => {}
        }
    }

    fn start(&mut self, now: u64, placed: place::Placement, n: usize) {
        let read_until = self.read_until.entry(placed.server).or_default();
        *read_until = now.max(*read_until) + placed.tokens as u64 / TOKENS_PER_MS;
        let at = *read_until + FIRST_EVENT_MS;
        self.events.add(at, Event::Answer(placed, n));
    }

    fn on_first_event(&mut self, now: u64, mut placed: place::Placement, n: usize) {
        self.served[n] += 1;
        let server = placed.server;
        self.fleet.record_first_event(ms(now), &mut placed);
        self.fleet.release(ms(now), placed, true);
        while let Some((request, placed)) = self.fleet.start_next(ms(now), server) {
            let n = self.waiting.remove(&request).expect("it waits");
            self.start(now, placed, n);
        }
    }
}

// Guards against a customer that gets more than its share by breaking its streams off and taking them up:
// it floods the engines while another one asks for less than its share, or for as much.
#[test]
fn a_customer_gets_no_more_by_taking_up_its_streams() {
    // An engine reads some 19 prompts a second.
    let cases = [(4, 7.0), (4, 30.0), (62, 7.0), (62, 30.0)];
    for (servers, per_s) in cases {
        for seed in 1..=2 {
            let steady = Load {
                customer: 0,
                per_s,
                takes_up: false,
            };
            let flood = |takes_up| Load {
                customer: 1,
                per_s: 40.0,
                takes_up,
            };
            let (before, part_before) = Model::run(servers, seed, &[steady, flood(false)]);
            let (shares, parts) = Model::run(servers, seed, &[steady, flood(true)]);
            println!(
                "{servers} engines, {per_s} a second, seed {seed}: served {:.2} instead of {:.2}, of all {:.2} \
                 instead of {:.2}",
                shares[0], before[0], parts[0], part_before[0]
            );
            assert!(
                parts[1] <= part_before[1].max(0.5) + MARGIN,
                "the flood gets {}",
                parts[1]
            );
            assert!(
                shares[0] >= before[0] - MARGIN,
                "the other gets {}",
                shares[0]
            );
        }
    }
}

// Guards against new requests that lose much more than what goes on takes: a sixth of a customer's arrivals
// are streams that were broken off.
#[test]
fn new_requests_begin_nearly_as_often_beside_streams_that_go_on() {
    for servers in [4, 62] {
        for seed in 1..=4 {
            let load = |per_s, takes_up| Load {
                customer: 0,
                per_s,
                takes_up,
            };
            let loads = |takes_up| [load(20.0, false), load(4.0, takes_up)];
            let (before, _) = Model::run(servers, seed, &loads(false));
            let (shares, _) = Model::run(servers, seed, &loads(true));
            println!(
                "{servers} engines, seed {seed}: new begin {:.3} instead of {:.3}, broken streams go on {:.3} instead \
                 of {:.3}",
                shares[0], before[0], shares[1], before[1]
            );
            // The users' rule: at least half as often.
            assert!(2.0 * shares[1] >= shares[0], "streams go on: {}", shares[1]);
            // All arrivals are a fourth more than the engines read, so that new ones lose what the streams
            // gain, each the same, and no more.
            let gained = 4.0 * (shares[1] - before[1]);
            let lost = 20.0 * (before[0] - shares[0]);
            assert!(
                lost <= gained + 0.5,
                "{lost} a second lost, {gained} gained"
            );
        }
    }
}
