//! What is known of running streams after all entries were killed, at any moment around that at which a
//! second version joins their service: a simulation of 4 to 1,440 entries in virtual time.

#[path = "support/events.rs"]
mod events;

use std::{collections, net, time};

use chivebend::decide::binding;
use chivebend::decide::random::Random;

const SERVICE: &str = "engine";
const LIFETIME_MS: u64 = 24_000;

// Streams that begin at each entry in a second, and the longest time that one runs.
const STREAMS_PER_ENTRY_S: u64 = 4;
const MAX_STREAM_MS: usize = 3_000;

// When the second version is listed, and how long the entries run.
const SECOND_AT_MS: u64 = 5_000;
const END_MS: u64 = 9_000;

// Moments at which all entries are killed: from shortly before the second version is listed.
const KILL_LEAD_MS: u64 = 200;
const KILLS_MS: u64 = 4_000;
const KILL_STEP_MS: usize = 160;

// Interval between two reads of the list, and the longest time until an entry has what was read.
const READ_INTERVAL_MS: u64 = 450;
const MAX_SPREAD_MS: usize = 400;

const REFRESH_MS: u64 = 250;
const WRITE_INTERVAL_MS: u64 = 200;

// One datagram in so many is lost.
const LOSS: usize = 40;

// Least share of the streams that go on: half of what begins anew, by the platform's rules.
const MIN_KNOWN: f64 = 0.5;

struct Case {
    name: &'static str,
    // True if the store names the first version as the only one.
    is_stored: bool,
    // True if the fleet's first start was confirmed when nothing was stored.
    is_first_start: bool,
    // Time in which the store refuses writes.
    refuses: [u64; 2],
}

#[derive(Clone, Copy)]
enum Event {
    Begin(usize),
    End(usize, binding::Stream),
    Learn(usize),
    Refresh(usize),
    Collect(usize, binding::Record),
    Write(usize),
    Check,
    Hear(usize, usize),
    // All entries are killed so long after the first moment at which that is tried.
    Kill(u64),
}

struct Running {
    record: binding::Record,
    ends_at: u64,
}

struct Simulation<'a> {
    case: &'a Case,
    rng: Random,
    entries: Vec<binding::Registry>,
    writers: Vec<net::Ipv4Addr>,
    journals: Vec<binding::Journal>,
    // What the store holds.
    singles: collections::HashMap<u64, binding::Version>,
    batches: collections::HashMap<(usize, u32), Vec<binding::Record>>,
    statements: Vec<binding::Statement>,
    streams: Vec<Running>,
    queue: events::Queue<Event>,
}

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn version(name: &str) -> binding::Version {
    binding::Version::new(SERVICE, Some(name))
}

fn service() -> binding::Service {
    binding::Service {
        hash: binding::service_hash(SERVICE),
        lifetime: ms(LIFETIME_MS),
    }
}

fn address(entry: usize) -> net::Ipv4Addr {
    net::Ipv4Addr::from_bits(0x0a00_0000 + entry as u32)
}

// An entry that was started after all were killed, as the reader of the store.
fn restart(singles: &collections::HashMap<u64, binding::Version>) -> binding::Registry {
    let mut started = binding::Registry::new(binding::FirstStart::No);
    let binding::Registry {
        stored, history, ..
    } = &mut started;
    stored.restore(ms(0), singles.iter().map(|(s, v)| (*s, *v)), history);
    let statement = stored.statement(ms(1), binding::Position::default(), history);
    started.on_statement(statement);
    started
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, count: usize) -> Self {
        let mut rng = Random::new(7);
        let all: Vec<_> = (0..count).map(address).collect();
        let writers = binding::writers(&all);
        let singles = case
            .is_stored
            .then(|| (service().hash, version("v1")))
            .into_iter()
            .collect();
        let mut queue = events::Queue::default();
        let mut entries = Vec::new();
        for at in 0..count {
            let mut entry = restart(&singles);
            entry.history.add(SERVICE, version("v1"));
            if case.is_first_start {
                entry = binding::Registry::new(binding::FirstStart::Claimed);
                let nothing = binding::Position::default();
                let statement = entry.stored.statement(ms(1), nothing, &entry.history);
                entry.on_statement(statement);
                entry.history.add(SERVICE, version("v1"));
                entry.take_due(ms(250), true);
                entry.history.confirm_first_start(Some(ms(1_000)));
            }
            entries.push(entry);
            queue.add(rng.below(REFRESH_MS as usize) as u64, Event::Refresh(at));
            let read = rng.below(READ_INTERVAL_MS as usize) + rng.below(MAX_SPREAD_MS);
            queue.add(SECOND_AT_MS + read as u64, Event::Learn(at));
        }
        for writer in 0..writers.len() {
            queue.add(WRITE_INTERVAL_MS, Event::Write(writer));
        }
        let interval = 1_000_000 / (STREAMS_PER_ENTRY_S * count as u64);
        for n in 0..END_MS * 1_000 / interval {
            queue.add(1 + n * interval / 1_000, Event::Begin(n as usize));
        }
        queue.add(0, Event::Check);
        for after in (0..KILLS_MS).step_by(KILL_STEP_MS) {
            queue.add(SECOND_AT_MS - KILL_LEAD_MS + after, Event::Kill(after));
        }
        Self {
            case,
            rng,
            entries,
            journals: writers
                .iter()
                .map(|_| binding::Journal::default())
                .collect(),
            writers: writers.to_vec(),
            singles,
            batches: collections::HashMap::new(),
            statements: Vec::new(),
            streams: Vec::new(),
            queue,
        }
    }

    fn begin(&mut self, now: u64, n: usize) {
        let at = self.rng.below(self.entries.len());
        let history = &self.entries[at].history;
        let view = history.view(ms(now), service().hash, ms(LIFETIME_MS));
        let record = binding::Record {
            stream: binding::Stream::new(&format!("c{}", n % 100), n.to_string().as_bytes()),
            version: view.versions[self.rng.below(view.versions.len())],
            at: ms(now),
        };
        self.entries[at].begin(record, service(), true);
        self.send(now, at);
        let ends_at = now + self.rng.below(MAX_STREAM_MS) as u64;
        self.queue.add(ends_at, Event::End(at, record.stream));
        self.streams.push(Running { record, ends_at });
    }

    // Sends what an entry has for the writers.
    fn send(&mut self, now: u64, at: usize) {
        for record in self.entries[at].take_unwritten() {
            let writer = record.stream.writer(&self.writers).expect("a writer");
            let writer = self.writers.iter().position(|w| *w == writer);
            if self.rng.below(LOSS) > 0 {
                let event = Event::Collect(writer.expect("one of them"), record);
                self.queue.add(now + 5, event);
            }
        }
    }

    fn accepts_writes(&self, now: u64) -> bool {
        !(self.case.refuses[0]..self.case.refuses[1]).contains(&now)
    }

    fn write(&mut self, now: u64, writer: usize) {
        if self.accepts_writes(now)
            && let Some(batch) = self.journals[writer].take()
        {
            self.batches.insert((writer, batch.place), batch.records);
        }
        self.queue
            .add(now + WRITE_INTERVAL_MS, Event::Write(writer));
    }

    // The first entry reads the store, and tells the others what it says.
    fn check(&mut self, now: u64) {
        let reader = &mut self.entries[0];
        for change in reader.stored.due(ms(now), &reader.history) {
            if !(self.case.refuses[0]..self.case.refuses[1]).contains(&now) {
                reader.stored.on_written(change);
                match change.version {
                    Some(version) => self.singles.insert(change.service, version),
                    None => self.singles.remove(&change.service),
                };
            }
        }
        let read = binding::Position {
            era: 0,
            offset: now,
        };
        let statement = reader.stored.statement(ms(now), read, &reader.history);
        if reader.on_statement(statement.clone()) {
            self.statements.push(statement);
            for at in 1..self.entries.len() {
                let delay = self.rng.below(MAX_SPREAD_MS) as u64;
                let event = Event::Hear(at, self.statements.len() - 1);
                self.queue.add(now + delay, event);
            }
        }
        self.queue.add(now + REFRESH_MS, Event::Check);
    }

    // Returns the share of the running streams that an entry would know if all were killed now, and how many
    // would go on at another version.
    fn restore(&self, now: u64) -> (f64, usize) {
        let mut started = restart(&self.singles);
        started.history.add(SERVICE, version("v1"));
        if now >= SECOND_AT_MS {
            started.history.add(SERVICE, version("v2"));
        }
        let mut restored: Vec<_> = self.batches.values().flatten().copied().collect();
        restored.sort_by_key(|record| record.at);
        for record in restored {
            started.table.add(record);
        }
        let replies = binding::Replies::default();
        let running = self.streams.iter().filter(|s| s.ends_at > now);
        let (mut all, mut known, mut wrong) = (0, 0, 0);
        for Running { record, .. } in running {
            all += 1;
            let found = started.table.get(record.stream).map_or_else(
                || started.resolve(ms(100), service(), binding::List::Recent, &replies),
                binding::Resolution::Version,
            );
            known += usize::from(found == binding::Resolution::Version(record.version));
            wrong += usize::from(
                matches!(found, binding::Resolution::Version(v) if v != record.version),
            );
        }
        (known as f64 / f64::from(all), wrong)
    }

    fn run(mut self, entries: usize) {
        let (mut least, mut at) = (1.0, 0);
        while let Some((now, event)) = self.queue.next_before(END_MS) {
            match event {
                Event::Begin(n) => self.begin(now, n),
                Event::End(at, stream) => self.entries[at].end(ms(now), stream),
                Event::Learn(at) => self.entries[at].history.add(SERVICE, version("v2")),
                Event::Refresh(at) => {
                    self.entries[at].take_due(ms(now), true);
                    self.send(now, at);
                    self.queue.add(now + REFRESH_MS, Event::Refresh(at));
                }
                Event::Collect(writer, record) => self.journals[writer].add(record),
                Event::Write(writer) => self.write(now, writer),
                Event::Check => self.check(now),
                Event::Hear(at, statement) => {
                    let statement = self.statements[statement].clone();
                    self.entries[at].on_statement(statement);
                }
                Event::Kill(after) => {
                    let (known, wrong) = self.restore(now);
                    let name = format!("{}, {entries} entries, after {after} ms", self.case.name);
                    assert_eq!(wrong, 0, "{name}");
                    assert!(known >= MIN_KNOWN, "{name}: {known:.3}");
                    if known < least {
                        (least, at) = (known, after);
                    }
                }
            }
        }
        println!(
            "{}, {entries} entries: {least:.3} at least, after {at} ms",
            self.case.name
        );
    }
}

// Guards against streams that nobody knows after all entries were killed, at any moment before or after a
// second version is listed, and against ones that go on at another version than the one that began them.
#[test]
fn streams_outlive_all_entries_whenever_a_second_version_joins() {
    let cases = [
        Case {
            name: "the store names the first version since a first start",
            is_stored: false,
            is_first_start: true,
            refuses: [0, 0],
        },
        Case {
            name: "the store names the first version",
            is_stored: true,
            is_first_start: false,
            refuses: [0, 0],
        },
        Case {
            name: "the store names none",
            is_stored: false,
            is_first_start: false,
            refuses: [0, 0],
        },
        Case {
            name: "the store refuses writes while the second version joins",
            is_stored: true,
            is_first_start: false,
            refuses: [SECOND_AT_MS - 200, SECOND_AT_MS + 2_000],
        },
    ];
    for case in &cases {
        for entries in [4, 30, 360, 1_440] {
            Simulation::new(case, entries).run(entries);
        }
    }
}
