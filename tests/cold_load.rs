//! Rate limit of an engine that has a cold cache.
//!
//! Load pattern: an engine restarts cold and gets as many requests as before, while its deciding
//! entry changes, leaves or is partitioned.

use std::time;

use chivebend::decide::place;
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// Capacity of the cold engine in requests per second, and the limit for any one second.
const COLD_REQUESTS_PER_S: f64 = 8.0;
const MAX_REQUESTS_PER_S: usize = (COLD_REQUESTS_PER_S * 1.2 + 2.0) as usize;

/// Time for which the engine is cold, and between two requests of each entry's callers.
const COLD_MS: u64 = 6_000;
const STEP_MS: u64 = 10;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

// An entry with its own state of the engine.
struct Entry {
    fleet: place::Fleet,
    engine: key::Sidecar,
    customer: key::Customer,
    next: u64,
    // Queued requests and the time at which each gives up.
    waiting: Vec<(u64, place::Ticket, time::Duration)>,
}

fn entry(seed: u64) -> Entry {
    let mut fleet = place::Fleet::new(seed);
    let engine = fleet.add(
        time::Duration::ZERO,
        place::ServerInfo {
            id: "engine",
            service: 0,
            slots: 64,
            is_engine: true,
            is_near: true,
            version: chivebend::decide::binding::Version::default(),
            is_version_known: true,
        },
    );
    fleet.set_cold(ms(0), engine, ms(COLD_MS), COLD_REQUESTS_PER_S);
    let mut customers = SlotMap::<key::Customer, ()>::with_key();
    Entry {
        fleet,
        engine,
        customer: customers.insert(()),
        next: 0,
        waiting: Vec::new(),
    }
}

impl Entry {
    // Receives one request; returns how many requests start at the engine.
    fn step(&mut self, now: u64) -> usize {
        self.next += 1;
        let lapsed = self
            .waiting
            .extract_if(.., |(_, _, until)| *until <= ms(now));
        for (request, ticket, _) in lapsed {
            self.fleet.cancel_wait(request, ticket);
        }
        let part = |chain, tokens| place::Part { chain, tokens };
        let job = place::Job {
            service: 0,
            customer: self.customer,
            parts: SmallVec::from_slice(&[part(1, 1_000), part(now, 10)]),
            cost: 1_010,
            due: ms(now + 600),
            objective: ms(600),
            excluded: SmallVec::new(),
            suspect: None,
            version: None,
            is_resumable: false,
        };
        let verdict = self.fleet.place_at(ms(now), self.next, &job, self.engine);
        let mut started = 0;
        match verdict {
            place::Verdict::Start(placed) => {
                self.fleet.release(ms(now), placed, true);
                started += 1;
            }
            place::Verdict::Wait(ticket, until) => self.waiting.push((self.next, ticket, until)),
            place::Verdict::Refuse(..) => {}
        }
        while let Some((_, placed)) = self.fleet.start_next(ms(now), self.engine) {
            self.fleet.release(ms(now), placed, true);
            started += 1;
        }
        started
    }
}

fn max_in_a_second(started: &[u64]) -> usize {
    let within = |from: &u64| {
        started
            .iter()
            .filter(|at| (*from..*from + 1_000).contains(at))
            .count()
    };
    started.iter().map(within).max().unwrap_or(0)
}

#[test]
fn cold_rate_is_kept_while_the_deciding_entry_changes() {
    // Time after which another of the three entries decides.
    for decider_period_ms in [700, 1_300, 1_500, 2_900] {
        let mut entries = [entry(1), entry(2), entry(3)];
        let mut started = Vec::new();
        for now in (0..COLD_MS).step_by(STEP_MS as usize) {
            let decider = (now / decider_period_ms) as usize % entries.len();
            let got = entries[decider].step(now);
            started.extend(std::iter::repeat_n(now, got));
        }
        let most = max_in_a_second(&started);
        assert!(
            most <= MAX_REQUESTS_PER_S,
            "{most} in a second, decider changes each {decider_period_ms} ms"
        );
        assert!(
            started.len() >= 30,
            "{} in all, decider changes each {decider_period_ms} ms",
            started.len()
        );
    }
}

#[test]
fn cold_rate_is_kept_while_entries_are_partitioned() {
    struct Case {
        name: &'static str,
        // Number of entries in each partition; one entry of each decides.
        parts: &'static [usize],
    }
    let cases = [
        Case {
            name: "one is partitioned",
            parts: &[3, 1],
        },
        Case {
            name: "halves",
            parts: &[2, 2],
        },
        Case {
            name: "four that reach no peer",
            parts: &[1, 1, 1, 1],
        },
    ];
    for case in cases {
        let all: usize = case.parts.iter().sum();
        let mut entries: Vec<Entry> = (0..case.parts.len() as u64).map(entry).collect();
        for (entry, reachable) in entries.iter_mut().zip(case.parts) {
            let share = place::cold_share(*reachable, all - reachable);
            entry.fleet.set_cold_share(ms(0), share);
        }
        let mut started = Vec::new();
        for now in (0..COLD_MS).step_by(STEP_MS as usize) {
            let got = entries.iter_mut().map(|entry| entry.step(now)).sum();
            started.extend(std::iter::repeat_n(now, got));
        }
        let most = max_in_a_second(&started);
        assert!(
            most <= MAX_REQUESTS_PER_S,
            "{}: {most} in a second",
            case.name
        );
        assert!(
            started.len() >= 20,
            "{}: {} in all",
            case.name,
            started.len()
        );
    }
}

#[test]
fn entry_that_has_lost_no_peer_uses_the_full_rate() {
    assert!((place::cold_share(1, 0) - 1.0).abs() < f64::EPSILON);
    assert!((place::cold_share(30, 0) - 1.0).abs() < f64::EPSILON);
}
