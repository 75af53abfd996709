//! Prompt parts in a fleet whose engines come and go under load, in virtual time: which are
//! computed again, and which are fetched from another engine.

use std::{collections, time};

use chivebend::decide::{place, random};
use chivebend::key;
use slotmap::SlotMap;
use smallvec::smallvec;

const ENGINES: usize = 12;

/// Parts that requests share; each is requested about twice a second.
const SHARED_PARTS: u64 = 60;

const SHARED_TOKENS: u32 = 13_000;

const OWN_TOKENS: u32 = 1_000;

/// Time between two requests.
const REQUEST_INTERVAL_MS: u64 = 8;

/// Start and duration of the change, and end of the simulation.
const CHANGE_START_MS: u64 = 6_000;
const CHANGE_DURATION_MS: u64 = 4_000;
const END_MS: u64 = 16_000;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn listed(id: &str) -> place::ServerInfo<'_> {
    place::ServerInfo {
        id,
        service: 0,
        slots: 64,
        is_engine: true,
        is_near: true,
        version: chivebend::decide::binding::Version::default(),
        is_version_known: true,
    }
}

struct Simulation {
    fleet: place::Fleet,
    engines: Vec<key::Sidecar>,
    customer: key::Customer,
    // Shared parts that each engine actually has in its cache.
    cached: collections::HashMap<key::Sidecar, collections::HashSet<u64>>,
    rng: random::Random,
    // Times at which a shared part was computed though an engine had it cached, and at which one
    // was fetched.
    recomputed: Vec<u64>,
    fetched: Vec<u64>,
}

fn open() -> Simulation {
    let mut fleet = place::Fleet::new(1);
    let id = |n: usize| format!("engine-{n}");
    let engines = (0..ENGINES)
        .map(|n| fleet.add(time::Duration::ZERO, listed(&id(n))))
        .collect();
    Simulation {
        fleet,
        engines,
        customer: SlotMap::<key::Customer, ()>::with_key().insert(()),
        cached: collections::HashMap::new(),
        rng: random::Random::new(1),
        recomputed: Vec::new(),
        fetched: Vec::new(),
    }
}

impl Simulation {
    fn job(&mut self, now: u64) -> place::Job {
        let part = self.rng.below(SHARED_PARTS as usize) as u64 + 1;
        place::Job {
            service: 0,
            customer: self.customer,
            parts: smallvec![
                place::Part {
                    chain: part,
                    tokens: SHARED_TOKENS,
                },
                place::Part {
                    chain: (1 << 40) + now,
                    tokens: OWN_TOKENS,
                },
            ],
            cost: 1,
            due: ms(now + 10_000),
            objective: ms(10_000),
            excluded: smallvec![],
            suspect: None,
            version: None,
            is_resumable: false,
        }
    }

    fn send_request(&mut self, now: u64) {
        let job = self.job(now);
        let part = job.parts[0].chain;
        let server = self.fleet.choose(&job).expect("an engine");
        let place::Verdict::Start(mut placed) = self.fleet.place_at(ms(now), now, &job, server)
        else {
            panic!("the load is low");
        };
        let has_cached = |at: &key::Sidecar| self.cached.get(at).is_some_and(|k| k.contains(&part));
        let known = self.engines.iter().any(has_cached);
        if !has_cached(&server) {
            match placed.fetch_source {
                Some(source) if has_cached(&source) => self.fetched.push(now),
                _ if known => self.recomputed.push(now),
                _ => {}
            }
        }
        self.cached.entry(server).or_default().insert(part);
        self.fleet.record_first_event(ms(now + 1), &mut placed);
        self.fleet.release(ms(now + 1), placed, true);
    }

    fn run(&mut self, change: fn(&mut Simulation, now: u64), back: fn(&mut Simulation, now: u64)) {
        for now in (0..END_MS).step_by(REQUEST_INTERVAL_MS as usize) {
            match now {
                CHANGE_START_MS => change(self, now),
                t if t == CHANGE_START_MS + CHANGE_DURATION_MS => back(self, now),
                _ => {}
            }
            self.send_request(now);
        }
    }

    fn set_state(&mut self, now: u64, state: place::State) {
        for engine in &self.engines[..3] {
            self.fleet.set_state(ms(now), *engine, state);
        }
    }

    // The cache of an engine is lost with its process.
    fn crash(&mut self) {
        for engine in self.engines.drain(..3) {
            self.fleet.remove(engine);
            self.cached.remove(&engine);
        }
    }

    fn restart(&mut self, now: u64) {
        for n in 0..3 {
            let engine = self.fleet.add(ms(now), listed(&format!("engine-{n}")));
            self.engines.push(engine);
        }
    }
}

// Load pattern: homes that move. Without a source to fetch from all of their parts are computed
// again, within seconds and in a fleet that is full.
#[test]
fn parts_of_moved_homes_are_fetched_and_not_recomputed() {
    struct Case {
        name: &'static str,
        change: fn(&mut Simulation, now: u64),
        back: fn(&mut Simulation, now: u64),
    }
    let cases = [
        Case {
            name: "engines drain and are gone",
            change: |simulation, now| simulation.set_state(now, place::State::Draining),
            back: |simulation, _| simulation.crash(),
        },
        Case {
            name: "engines of an evacuated zone return",
            change: |simulation, now| simulation.set_state(now, place::State::Draining),
            back: |simulation, now| simulation.set_state(now, place::State::Ready),
        },
        Case {
            name: "engines crash and restart empty",
            change: |simulation, _| simulation.crash(),
            back: Simulation::restart,
        },
        Case {
            name: "engines are added",
            change: |simulation, now| {
                for n in ENGINES..ENGINES + 3 {
                    let engine = simulation
                        .fleet
                        .add(ms(now), listed(&format!("engine-{n}")));
                    simulation.engines.push(engine);
                }
            },
            back: |_, _| {},
        },
    ];
    for case in cases {
        let mut simulation = open();
        simulation.run(case.change, case.back);
        let (fetched, again) = (simulation.fetched.len(), simulation.recomputed.len());
        println!("{}: {fetched} fetched, {again} computed again", case.name);
        assert_eq!(again, 0, "{}", case.name);
        assert!(fetched >= 8, "{}: {fetched} fetched", case.name);
    }
}

// Guards against fetches where no home moved: each is a request to an engine with other work.
#[test]
fn nothing_is_fetched_in_a_stable_fleet() {
    let mut simulation = open();
    simulation.run(|_, _| {}, |_, _| {});
    assert_eq!(
        (simulation.fetched.len(), simulation.recomputed.len()),
        (0, 0)
    );
}
