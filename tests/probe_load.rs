//! Entries that stop, and how soon all others know, simulated in virtual time.
//!
//! Load patterns: one entry, or a tenth of them, ends without a word; datagrams are lost; an entry
//! stalls for a while. In each the time until all know and the work of any one entry must not grow
//! with the fleet, and no entry that runs may count as gone.

#[path = "support/direct.rs"]
mod support;

#[path = "support/events.rs"]
mod events;

use std::{net, time};

use chivebend::decide::spread::target;
use chivebend::decide::{probe, random};
use chivebend::direct::peer::{interval, message, table};

/// Interval between two rounds of an entry.
const ROUND_MS: u64 = 250;

/// Interval at which an entry checks which peers are gone.
const CHECK_MS: u64 = 250;

/// Bytes of a datagram without records, with the headers of UDP and IP, and of a record.
const DATAGRAM_BYTES: usize = 42;
const RECORD_BYTES: usize = 24;

/// Time within which all entries know that one is gone.
const KNOWN_MS: u64 = 2_000;

const SIZES: [usize; 4] = [30, 360, 720, 1_440];

#[derive(Clone, Copy)]
enum Kind {
    Probe,
    Relay(net::Ipv4Addr),
    Reply,
}

enum Event {
    Round(usize),
    Check(usize),
    Arrival(usize, usize, Kind, Vec<probe::Record>),
}

#[derive(Default)]
struct Entry {
    probes: probe::Table,
    others: Vec<net::Ipv4Addr>,
    // Datagrams arrive, and rounds run, only after this time; the maximum if it has ended.
    stalled_until_ms: u64,
    // Number of entries that have ended and count as gone here, and when the last one was noticed.
    noticed: usize,
    noticed_ms: u64,
    sent_bytes: usize,
    received: usize,
}

struct Model {
    entries: Vec<Entry>,
    queue: events::Queue<Event>,
    now_ms: u64,
    rng: random::Random,
    loss: f64,
    suspicions: usize,
    // Times that an entry that runs counted as gone somewhere.
    mistakes: usize,
}

fn process(n: usize) -> probe::Process {
    probe::Process {
        address: net::Ipv4Addr::from_bits(0x0a00_0000 + n as u32),
        incarnation: n as u64 + 1,
    }
}

fn index(address: net::Ipv4Addr) -> usize {
    (address.to_bits() - 0x0a00_0000) as usize
}

impl Model {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut model = Self {
            entries: Vec::new(),
            queue: events::Queue::default(),
            now_ms: 0,
            rng: random::Random::new(seed),
            loss,
            suspicions: 0,
            mistakes: 0,
        };
        for n in 0..count {
            let others = (0..count).filter(|m| *m != n).map(process);
            let mut entry = Entry::default();
            for other in others {
                drop(entry.probes.on_heard(time::Duration::ZERO, other));
                entry.others.push(other.address);
            }
            model.entries.push(entry);
            let round = 1 + model.rng.below(ROUND_MS as usize) as u64;
            model.at(round, Event::Round(n));
            let check = 1 + model.rng.below(CHECK_MS as usize) as u64;
            model.at(check, Event::Check(n));
        }
        model
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.queue.add(at_ms, event);
    }

    fn run(&mut self, until_ms: u64) {
        while let Some((at_ms, event)) = self.queue.next_before(until_ms) {
            self.now_ms = at_ms;
            self.on_event(event);
        }
        self.now_ms = until_ms;
    }

    fn now(&self) -> time::Duration {
        support::ms(self.now_ms)
    }

    fn send(&mut self, from: usize, to: usize, kind: Kind, records: Vec<probe::Record>) {
        self.entries[from].sent_bytes += DATAGRAM_BYTES + RECORD_BYTES * records.len();
        if self.rng.unit() < self.loss {
            return;
        }
        let delay = 1 + self.rng.below(20) as u64;
        self.at(self.now_ms + delay, Event::Arrival(to, from, kind, records));
    }

    fn spread(&mut self, n: usize, records: &[probe::Record], to: Option<usize>) {
        let targets = target::sample(&self.entries[n].others, probe::FANOUT, &mut self.rng);
        for target in targets.into_iter().map(index).chain(to) {
            self.send(n, target, Kind::Reply, records.to_vec());
        }
    }

    fn on_event(&mut self, event: Event) {
        let n = match event {
            Event::Round(n) | Event::Check(n) | Event::Arrival(n, ..) => n,
        };
        let stalled_until_ms = self.entries[n].stalled_until_ms;
        if self.now_ms < stalled_until_ms {
            // What arrives meanwhile is read before the timers run.
            if stalled_until_ms < u64::MAX {
                let is_arrival = matches!(event, Event::Arrival(..));
                self.at(stalled_until_ms + u64::from(!is_arrival), event);
            }
            return;
        }
        match event {
            Event::Round(n) => self.round(n),
            Event::Check(n) => self.check(n),
            Event::Arrival(n, from, kind, records) => self.on_arrival(n, from, kind, &records),
        }
    }

    // A round as `direct::peer::probe::run_round` makes it, with an exchange of states beside it.
    fn round(&mut self, n: usize) {
        self.at(self.now_ms + ROUND_MS, Event::Round(n));
        let now = self.now();
        let others = &self.entries[n].others;
        let targets = target::sample(others, 1 + probe::PROBES_PER_ROUND, &mut self.rng);
        for (at, target) in targets.into_iter().enumerate() {
            let probes = &mut self.entries[n].probes;
            let records = if at == 0 {
                probes.records(now, &mut self.rng).to_vec()
            } else {
                Vec::new()
            };
            probes.on_sent(now, target);
            self.send(n, index(target), Kind::Probe, records);
        }
        let due = self.entries[n]
            .probes
            .round(now, time::Duration::ZERO, &mut self.rng);
        for silent in due.relayed {
            let relays = target::sample(&self.entries[n].others, probe::RELAYS, &mut self.rng);
            for relay in relays.into_iter().filter(|r| *r != silent.address) {
                self.send(n, index(relay), Kind::Relay(silent.address), Vec::new());
            }
            self.send(n, index(silent.address), Kind::Probe, Vec::new());
        }
        for records in due.forwarded.chunks(probe::MAX_RECORDS) {
            self.spread(n, records, None);
        }
        for record in due.suspicions {
            self.suspicions += 1;
            self.spread(n, &[record], Some(index(record.process.address)));
        }
    }

    fn check(&mut self, n: usize) {
        self.at(self.now_ms + CHECK_MS, Event::Check(n));
        let now = self.now();
        let gone = self.entries[n].probes.take_gone(now, time::Duration::ZERO);
        for process in gone {
            if self.entries[index(process.address)].stalled_until_ms == u64::MAX {
                self.entries[n].noticed += 1;
                self.entries[n].noticed_ms = self.now_ms;
            } else {
                self.mistakes += 1;
            }
        }
    }

    fn on_arrival(&mut self, n: usize, from: usize, kind: Kind, records: &[probe::Record]) {
        let now = self.now();
        self.entries[n].received += 1;
        let heard = self.entries[n].probes.on_heard(now, process(from));
        let alive = probe::Record {
            process: process(from),
            suspicion: 0,
            is_suspect: false,
            at: now,
        };
        for origin in heard.origins {
            self.send(n, index(origin), Kind::Reply, vec![alive]);
        }
        match kind {
            Kind::Probe => {
                let probes = &mut self.entries[n].probes;
                let repeated = probes.records(now, &mut self.rng).to_vec();
                self.send(n, from, Kind::Reply, repeated);
            }
            Kind::Relay(target) => {
                let probes = &mut self.entries[n].probes;
                if probes.on_relay(now, process(from).address, target) {
                    self.send(n, index(target), Kind::Probe, Vec::new());
                }
            }
            Kind::Reply => {}
        }
        let mut forwarded = Vec::new();
        for record in records {
            forwarded.extend(self.entries[n].probes.on_record(now, process(n), *record));
        }
        if !forwarded.is_empty() {
            self.spread(n, &forwarded, None);
        }
    }

    fn end(&mut self, ended: &[usize]) {
        for n in ended {
            self.entries[*n].stalled_until_ms = u64::MAX;
        }
    }

    // Returns when the last of those that run knew of all that ended; the maximum if some don't.
    fn all_knew_ms(&self, ended: usize) -> u64 {
        let running = self
            .entries
            .iter()
            .filter(|e| e.stalled_until_ms < u64::MAX);
        let knew = running.map(|e| {
            if e.noticed < ended {
                u64::MAX
            } else {
                e.noticed_ms
            }
        });
        knew.max().unwrap_or(0)
    }

    // Returns bytes sent and datagrams received per second, of the middle entry and the busiest.
    fn load(&self, ms: u64) -> ([u64; 2], [u64; 2]) {
        let of = |amount: fn(&Entry) -> usize| {
            let mut all: Vec<u64> = self.entries.iter().map(|e| amount(e) as u64).collect();
            all.sort_unstable();
            [all[all.len() / 2], all[all.len() - 1]].map(|amount| amount * 1_000 / ms)
        };
        (of(|e| e.sent_bytes), of(|e| e.received))
    }
}

#[test]
fn all_entries_know_within_two_seconds_that_one_is_gone_at_any_size() {
    let mut busiest = Vec::new();
    for count in SIZES {
        for (loss, seed) in [(0.01, 1), (0.05, 2)] {
            let mut model = Model::new(count, loss, seed);
            model.run(3_000);
            model.end(&[count / 2]);
            model.run(8_000);
            let took = model.all_knew_ms(1).saturating_sub(3_000);
            let (bytes, datagrams) = model.load(8_000);
            println!(
                "{count} entries, loss {loss}: {took} ms, {} suspicions, {} mistakes, {bytes:?} \
                 bytes and {datagrams:?} datagrams a second",
                model.suspicions, model.mistakes
            );
            assert!(took <= KNOWN_MS, "{count} entries, loss {loss}: {took} ms");
            assert_eq!(model.mistakes, 0, "{count} entries, loss {loss}");
            if seed == 1 {
                busiest.push(bytes[1] as f64);
            }
        }
    }
    let power = (busiest[3] / busiest[1]).log(4.0);
    assert!(power <= 0.2, "the busiest entry grows with power {power}");
}

#[test]
fn all_entries_know_within_two_seconds_that_a_tenth_is_gone() {
    for count in SIZES {
        let ended: Vec<usize> = (0..count).filter(|n| n % 10 == 3).collect();
        let mut model = Model::new(count, 0.01, 4);
        model.run(3_000);
        model.end(&ended);
        model.run(8_000);
        let took = model.all_knew_ms(ended.len()).saturating_sub(3_000);
        let (bytes, datagrams) = model.load(8_000);
        println!("{count} entries: {took} ms, {bytes:?} bytes, {datagrams:?} datagrams a second");
        assert!(took <= KNOWN_MS, "{count} entries: {took} ms");
        assert_eq!(model.mistakes, 0, "{count} entries");
    }
}

#[test]
fn an_entry_that_stalls_for_half_a_second_is_not_gone_and_one_that_returns_is_restored() {
    struct Case {
        stall_ms: u64,
        is_gone_meanwhile: bool,
    }
    let cases = [(500, false), (3_000, true)];
    for case in cases.map(|(stall_ms, is_gone_meanwhile)| Case {
        stall_ms,
        is_gone_meanwhile,
    }) {
        let mut model = Model::new(360, 0.01, 5);
        model.run(3_000);
        model.entries[7].stalled_until_ms = 3_000 + case.stall_ms;
        model.run(2_999 + case.stall_ms);
        let is_gone = |model: &Model| {
            let others = model.entries.iter().enumerate().filter(|(n, _)| *n != 7);
            others.filter(|(_, e)| e.probes.is_gone(process(7))).count()
        };
        let expected = if case.is_gone_meanwhile { 359 } else { 0 };
        assert_eq!(is_gone(&model), expected, "{} ms", case.stall_ms);
        model.run(6_000 + case.stall_ms);
        assert_eq!(is_gone(&model), 0, "{} ms, afterwards", case.stall_ms);
    }
}

// What probes replace, kept as a contrast: heartbeats alone, whose interval grows with the fleet.
#[test]
fn heartbeats_alone_notice_an_entry_that_is_gone_later_as_the_fleet_grows() {
    for (count, bound_ms) in [(30, 2_000), (357, 10_000), (714, 20_000)] {
        let mut peers = table::Table::new(process(0).address, 100, "z", Vec::new());
        for n in 1..count {
            let heartbeat = message::Heartbeat {
                sequence: 1,
                zone: table::zone("z"),
                ..message::Heartbeat::default()
            };
            let address = process(n).address;
            let known = peers.on_heartbeat(time::Duration::ZERO, n as u64, address, &heartbeat);
            assert!(known.is_some(), "{n}");
        }
        let gone = peers.expire(support::ms(bound_ms));
        assert_eq!(gone.is_empty(), interval::needs_probes(count), "{count}");
    }
}
