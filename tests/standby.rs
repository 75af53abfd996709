//! Calls of the whole fleet to a failing store, simulated in virtual time.

#[path = "support/direct.rs"]
mod support;

use std::{net, time};

use chivebend::decide::{random, standby};
use chivebend::direct::peer::{interval, message, table};

/// Maximum calls per second that the store gets during and after a failure, first reads aside.
const MAX_CALLS_PER_S: usize = 10;

/// Interval between two reads of a topic.
const POLL_INTERVAL_MS: u64 = 900;

const TOPICS: usize = 2;

#[derive(Clone, Copy)]
enum Answer {
    Success,
    // The call fails after so many milliseconds.
    Failure(u64),
}

type Fault = fn(at_ms: u64, entry: usize) -> Answer;

struct Entry {
    peers: table::Table,
    standby: standby::Standby,
    heartbeat_due_ms: u64,
    due_ms: [u64; TOPICS],
    failures: [u32; TOPICS],
    last_success_ms: [u64; TOPICS],
}

struct Simulation {
    entries: Vec<Entry>,
    rng: random::Random,
    // Number of entries that get no heartbeats from the watchers, which read the store for all.
    partitioned: usize,
    // True if entries take turns; otherwise all call as soon as no entry has an answer.
    takes_turns: bool,
    calls: Vec<(u64, usize)>,
}

fn as_ms(time: time::Duration) -> u64 {
    time.as_millis() as u64
}

fn address(n: usize) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, (n / 200) as u8, (n % 200) as u8)
}

fn open(count: usize, takes_turns: bool) -> Simulation {
    let mut rng = random::Random::new(7);
    let entry = |n: usize| Entry {
        peers: table::Table::new(address(n), 100, "z", Vec::new()),
        standby: standby::Standby::default(),
        heartbeat_due_ms: rng.below(interval::heartbeat(count).as_millis() as usize) as u64,
        due_ms: [0, 0].map(|_: u64| rng.below(POLL_INTERVAL_MS as usize) as u64),
        failures: [0; TOPICS],
        last_success_ms: [0; TOPICS],
    };
    Simulation {
        entries: (0..count).map(entry).collect(),
        rng,
        partitioned: 0,
        takes_turns,
        calls: Vec::new(),
    }
}

impl Simulation {
    fn broadcast(&mut self, at_ms: u64, n: usize) {
        let sender = &self.entries[n];
        let age = |at: u64| (at_ms - at) as u32;
        let [one, other] = sender.last_success_ms;
        let now = support::ms(at_ms);
        let known = sender.peers.last_store_answer();
        let known = known.map_or(0, |at| at.as_millis() as u64);
        let heartbeat = message::Heartbeat {
            sequence: at_ms + 1,
            millicores: 100,
            store_age_ms: age(one.min(other)),
            answer_age_ms: Some(age(one.min(other))),
            known_age_ms: Some(age(known.max(one.min(other)))),
            ..message::Heartbeat::default()
        };
        let from = self.entries.len() - self.partitioned;
        for (to, entry) in self.entries.iter_mut().enumerate() {
            if to != n && (at_ms == 0 || to < from || n >= standby::WATCHER_COUNT) {
                entry
                    .peers
                    .on_heartbeat(now, n as u64, address(n), &heartbeat);
            }
        }
    }

    fn reads(&mut self, now: time::Duration, n: usize) -> bool {
        let entry = &mut self.entries[n];
        if self.takes_turns {
            entry.standby.reads(now, entry.peers.standby_view(now, &[]))
        } else {
            entry.peers.is_watcher() || !entry.peers.has_fresh_watcher(now)
        }
    }

    fn poll(&mut self, at_ms: u64, n: usize, topic: usize, fault: Fault) {
        let now = support::ms(at_ms);
        if !self.reads(now, n) {
            self.entries[n].due_ms[topic] = at_ms + as_ms(standby::TURN_POLL);
            return;
        }
        if self.takes_turns && !self.entries[n].standby.may_call(now, topic) {
            self.entries[n].due_ms[topic] = at_ms + as_ms(standby::TOPIC_POLL);
            return;
        }
        self.calls.push((at_ms, n));
        let entry = &mut self.entries[n];
        match fault(at_ms, n) {
            Answer::Success => {
                entry.standby.on_answer(topic);
                entry.failures[topic] = 0;
                entry.last_success_ms[topic] = at_ms;
                entry.due_ms[topic] = at_ms + POLL_INTERVAL_MS;
            }
            Answer::Failure(after_ms) => {
                let entries = entry.peers.standby_view(now, &[]).entries;
                entry.standby.on_failure(now, entries, topic);
                entry.failures[topic] += 1;
                let is_watcher = entry.peers.is_watcher();
                let pause = standby::retry_delay(is_watcher, entry.failures[topic], &mut self.rng);
                entry.due_ms[topic] = at_ms + after_ms + as_ms(pause);
            }
        }
    }

    fn run(&mut self, until_ms: u64, fault: Fault) {
        for at_ms in 0..until_ms {
            for n in 0..self.entries.len() {
                // All entries have exchanged heartbeats when the fault begins.
                if at_ms == 0 || self.entries[n].heartbeat_due_ms == at_ms {
                    self.broadcast(at_ms, n);
                }
                if self.entries[n].heartbeat_due_ms == at_ms {
                    let interval = interval::heartbeat(self.entries.len() - 1);
                    self.entries[n].heartbeat_due_ms += interval.as_millis() as u64;
                }
                for topic in 0..TOPICS {
                    if self.entries[n].due_ms[topic] == at_ms {
                        self.poll(at_ms, n, topic, fault);
                    }
                }
            }
        }
    }

    // Returns the most calls within a second.
    fn max_calls_per_s(&self) -> usize {
        let in_second = |(from, _): &(u64, usize)| {
            let near = |(at, _): &&(u64, usize)| (*from..from + 1_000).contains(at);
            self.calls.iter().filter(near).count()
        };
        self.calls.iter().map(in_second).max().unwrap_or(0)
    }

    fn assert_few_calls(&self, name: &str) {
        // Each of two topics is read again by the entry of each turn within a heartbeat interval.
        let max_calls_per_s = self.max_calls_per_s();
        println!(
            "{name}, {} entries: {max_calls_per_s} calls",
            self.entries.len()
        );
        assert!(
            max_calls_per_s <= MAX_CALLS_PER_S,
            "{name}, {} entries: {max_calls_per_s} calls in a second",
            self.entries.len()
        );
    }

    // Returns the age of the newest answer that any entry got.
    fn newest_success_age_ms(&self, at_ms: u64) -> u64 {
        let newest = self.entries.iter().flat_map(|e| e.last_success_ms).max();
        at_ms - newest.unwrap_or(0)
    }
}

struct Case {
    name: &'static str,
    until_ms: u64,
    fault: Fault,
    // Greatest age of the fleet's newest answer at the end.
    max_age_ms: u64,
    sizes: &'static [usize],
}

const SIZES: [usize; 2] = [30, 68];

const LARGEST: [usize; 3] = [30, 68, 360];

const CASES: [Case; 5] = [
    Case {
        name: "unavailable for 300 ms",
        until_ms: 6_000,
        fault: |at, _| match at {
            3_000..3_300 => Answer::Failure(1),
            _ => Answer::Success,
        },
        max_age_ms: POLL_INTERVAL_MS,
        sizes: &SIZES,
    },
    Case {
        name: "unavailable for four seconds",
        until_ms: 8_500,
        fault: |at, _| match at {
            2_000..6_000 => Answer::Failure(1),
            _ => Answer::Success,
        },
        max_age_ms: POLL_INTERVAL_MS,
        sizes: &LARGEST,
    },
    Case {
        name: "timeouts for six seconds",
        until_ms: 12_000,
        fault: |at, _| match at {
            2_000..8_000 => Answer::Failure(1_000),
            _ => Answer::Success,
        },
        max_age_ms: POLL_INTERVAL_MS,
        sizes: &SIZES,
    },
    Case {
        name: "one of three calls fails",
        until_ms: 10_000,
        fault: |at, n| match (at + n as u64) % 3 {
            0 => Answer::Failure(700),
            _ => Answer::Success,
        },
        max_age_ms: 2_000,
        sizes: &SIZES,
    },
    Case {
        name: "rejects two of three entries, among them the watchers",
        until_ms: 8_000,
        fault: |at, n| match n % 3 {
            2 => Answer::Success,
            _ if at < 2_000 => Answer::Success,
            _ => Answer::Failure(1),
        },
        max_age_ms: 2_000,
        sizes: &LARGEST,
    },
];

#[test]
fn a_failing_store_gets_few_calls_at_every_fleet_size() {
    for case in &CASES {
        for entries in case.sizes.iter().copied() {
            let mut simulation = open(entries, true);
            simulation.run(case.until_ms, case.fault);
            simulation.assert_few_calls(case.name);
            let oldest = simulation.newest_success_age_ms(case.until_ms);
            assert!(
                oldest <= case.max_age_ms,
                "{}, {entries} entries: newest answer {oldest} ms old",
                case.name
            );
        }
    }
}

// Guards against an entry that waits for its turn while its peers hear from the watchers that the
// store answers.
#[test]
fn an_entry_without_heartbeats_of_the_watchers_reads_at_once() {
    for entries in SIZES {
        let mut simulation = open(entries, true);
        simulation.partitioned = 1;
        simulation.run(8_000, |_, _| Answer::Success);
        let partitioned = entries - 1;
        let first = simulation.calls.iter().find(|(_, n)| *n == partitioned);
        let first = first.expect("it calls").0;
        assert!(first <= 2_600, "{entries} entries: after {first} ms");
        let others = |(_, n): &&(u64, usize)| *n != partitioned && *n >= standby::WATCHER_COUNT;
        assert_eq!(simulation.calls.iter().filter(others).count(), 0);
    }
}

#[test]
fn a_starting_entry_asks_at_least_four_peers_and_until_its_state_is_complete() {
    struct Case {
        is_complete: bool,
        asked: usize,
        asks: bool,
    }
    let cases = [
        (false, 0, true),
        (false, 300, true),
        (true, 3, true),
        (true, 4, false),
    ]
    .map(|(is_complete, asked, asks)| Case {
        is_complete,
        asked,
        asks,
    });
    for case in cases {
        let asks = standby::should_ask_another(case.asked, case.is_complete);
        assert_eq!(asks, case.asks, "{} {}", case.is_complete, case.asked);
    }
}

// Shows the load pattern: without turns all entries call at once.
#[test]
fn without_turns_a_short_outage_makes_all_entries_call() {
    let mut simulation = open(68, false);
    simulation.run(CASES[1].until_ms, CASES[1].fault);
    assert!(
        simulation.max_calls_per_s() > 68,
        "{} calls",
        simulation.max_calls_per_s()
    );
}
