//! How often an entry knows which version began a stream that a caller takes up: a simulation of
//! entries of 4 to 1,440 in virtual time, with lost datagrams and killed entries.

#[path = "support/events.rs"]
mod events;

use std::{collections, net, time};

use chivebend::decide::binding;
use chivebend::decide::random::Random;

const SERVICE: &str = "engine";
const STREAMS: usize = 2_000;
const STREAMS_PER_S: u64 = 200;
const LIFETIME_MS: u64 = 8_000;

// One datagram in so many is lost.
const LOSS: usize = 40;

// Time from the loss of a stream until its caller takes it up, and until a killed entry is no longer
// asked.
const CALLER_PAUSE_MS: u64 = 60;
const PEER_TIMEOUT_MS: u64 = 1_500;

// Interval between two reads of the store, each by another entry's clock, and the longest time until
// an entry has what was read.
const READ_INTERVAL_MS: u64 = 900;
const MAX_SPREAD_MS: usize = 400;

// Time from a cut until the second version is listed.
const CUT_LEAD_MS: u64 = 100;

// Time from the second version until entries are killed during a cut.
const KILL_DELAY_MS: u64 = 1_500;

// Interval at which an entry sends records that have become necessary.
const REFRESH_MS: u64 = 250;

struct Case {
    name: &'static str,
    entries: usize,
    // When the second version is listed first; both are from the start if zero.
    second_at_ms: u64,
    // One entry in this many is cut off from the others and from the store shortly before that.
    cut_divisor: Option<usize>,
    // True if a quarter of the entries are killed while streams run.
    has_kills: bool,
    // Lowest share of streams that go on.
    min_known: f64,
}

#[derive(Clone, Copy)]
enum Event {
    Begin(usize),
    TakeUp(usize),
    // A list arrives that is newer than a stream.
    Decide(usize),
    Learn(usize),
    Refresh(usize),
    // An entry no longer counts others as running.
    LosePeers(usize),
    Arrive(usize, binding::Record),
    Kill,
}

#[derive(Clone, Copy)]
struct Stream {
    entry: usize,
    version: binding::Version,
}

struct Entry {
    bindings: binding::Registry,
    killed_at: Option<u64>,
    is_cut: bool,
    // When the first list was read that reaches this entry, and how long it takes.
    first_read_ms: u64,
    spread_ms: u64,
}

// A stream that is taken up, and what its entry was told.
struct Question {
    stream: usize,
    entry: usize,
    taken_up_at: u64,
    replies: binding::Replies,
}

#[derive(Debug, Default)]
struct Outcome {
    taken_up: usize,
    known: usize,
    wrong: usize,
    // Streams that waited for a newer list.
    waited: usize,
    datagrams: usize,
    // Datagrams that carry records again since their holders have changed.
    resent: usize,
    most_records: usize,
}

struct Simulation {
    rng: Random,
    entries: Vec<Entry>,
    streams: Vec<Option<Stream>>,
    questions: Vec<Question>,
    cut_at: u64,
    queue: events::Queue<Event>,
    outcome: Outcome,
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

fn stream(n: usize) -> binding::Stream {
    binding::Stream::new(&format!("c{}", n % 20), n.to_string().as_bytes())
}

impl Simulation {
    fn new(case: &Case, seed: u64) -> Self {
        let mut rng = Random::new(seed);
        let entry = |at: usize| Entry {
            bindings: binding::Registry::new(binding::FirstStart::Confirmed(ms(0))),
            killed_at: None,
            is_cut: case.cut_divisor.is_some_and(|d| at < case.entries / d),
            first_read_ms: rng.below(READ_INTERVAL_MS as usize) as u64,
            spread_ms: rng.below(MAX_SPREAD_MS) as u64,
        };
        let mut sim = Self {
            entries: (0..case.entries).map(entry).collect(),
            rng,
            streams: vec![None; STREAMS],
            questions: Vec::new(),
            cut_at: if case.cut_divisor.is_some() {
                case.second_at_ms - CUT_LEAD_MS
            } else {
                u64::MAX
            },
            queue: events::Queue::default(),
            outcome: Outcome::default(),
        };
        for at in 0..case.entries {
            sim.entries[at].bindings.history.add(SERVICE, version("v1"));
            let learns_at = match case.second_at_ms {
                0 => Some(0),
                second => sim.next_list(second, at).map(|(_, arrives)| arrives),
            };
            if let Some(learns_at) = learns_at {
                sim.queue.add(learns_at, Event::Learn(at));
            }
            sim.set_peers(0, at);
        }
        if sim.cut_at < u64::MAX {
            sim.lose_peers(sim.cut_at);
        }
        for n in 0..STREAMS {
            let at = 1 + n as u64 * 1_000 / STREAMS_PER_S;
            sim.queue.add(at, Event::Begin(n));
        }
        if case.has_kills {
            let at = match case.cut_divisor {
                Some(_) => case.second_at_ms + KILL_DELAY_MS,
                None => STREAMS as u64 * 500 / STREAMS_PER_S,
            };
            sim.queue.add(at, Event::Kill);
        }
        sim
    }

    // Returns when the first list from `after` on is read and reaches an entry; `None` if it is cut
    // off before.
    fn next_list(&self, after: u64, entry: usize) -> Option<(u64, u64)> {
        let Entry {
            first_read_ms: first,
            spread_ms,
            is_cut,
            ..
        } = self.entries[entry];
        let count = after.saturating_sub(first).div_ceil(READ_INTERVAL_MS);
        let read = first + count * READ_INTERVAL_MS;
        let is_reached = !is_cut || read + spread_ms < self.cut_at;
        is_reached.then_some((read, read + spread_ms))
    }

    // Returns when the newest list was read that an entry has; it starts with one.
    fn complete_at(&self, now: u64, entry: usize) -> time::Duration {
        let Entry {
            first_read_ms: first,
            spread_ms,
            is_cut,
            ..
        } = self.entries[entry];
        let until = if is_cut { now.min(self.cut_at) } else { now };
        let since = until.checked_sub(first + spread_ms);
        let last = since.map(|since| first + since / READ_INTERVAL_MS * READ_INTERVAL_MS);
        ms(last.unwrap_or_default())
    }

    fn is_current(&self, now: u64, entry: usize) -> bool {
        binding::is_current(ms(now), Some(self.complete_at(now, entry)))
    }

    fn is_linked(&self, now: u64, from: usize, to: usize) -> bool {
        now < self.cut_at || self.entries[from].is_cut == self.entries[to].is_cut
    }

    // Returns the other entries that an entry counts as running.
    fn peers(&self, now: u64, of: usize) -> impl Iterator<Item = net::Ipv4Addr> + '_ {
        let others = (0..self.entries.len()).filter(move |at| *at != of);
        let known = others.filter(move |at| {
            let is_heard = |lost_at: u64| now < lost_at.saturating_add(PEER_TIMEOUT_MS);
            self.entries[*at].killed_at.is_none_or(is_heard)
                && (self.is_linked(now, of, *at) || is_heard(self.cut_at))
        });
        known.map(address)
    }

    fn set_peers(&mut self, now: u64, of: usize) {
        let peers: Vec<_> = self.peers(now, of).collect();
        self.entries[of].bindings.set_peers(peers.into_iter());
    }

    // Lets all entries notice those that are lost at this time, each by its own clock.
    fn lose_peers(&mut self, lost_at: u64) {
        for at in 0..self.entries.len() {
            let noticed_at = lost_at + PEER_TIMEOUT_MS + at as u64 % REFRESH_MS;
            self.queue.add(noticed_at, Event::LosePeers(at));
        }
    }

    fn index(holder: net::Ipv4Addr) -> usize {
        (holder.to_bits() - 0x0a00_0000) as usize
    }

    fn is_lost(&mut self) -> bool {
        self.rng.below(LOSS) == 0
    }

    fn alive(&mut self) -> usize {
        loop {
            let at = self.rng.below(self.entries.len());
            if self.entries[at].killed_at.is_none() {
                return at;
            }
        }
    }

    fn send(&mut self, now: u64, from: usize, record: binding::Record) {
        let peers = self.peers(now, from);
        for holder in record.stream.holders(peers, binding::HOLDERS) {
            self.outcome.datagrams += 1;
            let delay = 1 + self.rng.below(5) as u64;
            let is_lost = self.is_lost();
            if self.is_linked(now, from, Self::index(holder)) && !is_lost {
                let event = Event::Arrive(Self::index(holder), record);
                self.queue.add(now + delay, event);
            }
        }
    }

    fn begin(&mut self, now: u64, n: usize) {
        let entry = self.alive();
        let service = service();
        let history = &self.entries[entry].bindings.history;
        let view = history.view(ms(now), service.hash, service.lifetime);
        let version = view.versions[self.rng.below(view.versions.len())];
        self.streams[n] = Some(Stream { entry, version });
        let record = binding::Record {
            stream: stream(n),
            version,
            at: ms(now),
        };
        let is_current = self.is_current(now, entry);
        let bindings = &mut self.entries[entry].bindings;
        let is_due = bindings.begin(record, service, is_current);
        if is_due {
            self.send(now, entry, record);
        }
        // Some streams break soon after their first event.
        let runs = self.rng.below(3_000) as u64;
        self.queue
            .add(now + runs + CALLER_PAUSE_MS, Event::TakeUp(n));
    }

    fn take_up(&mut self, now: u64, n: usize) {
        let Some(began) = self.streams[n] else { return };
        let entry = self.alive();
        if entry == began.entry {
            return;
        }
        let counts = !self.entries[entry].is_cut && !self.entries[began.entry].is_cut;
        self.outcome.taken_up += usize::from(counts);
        if let Some(found) = self.entries[entry].bindings.table.get(stream(n)) {
            return self.go_on(n, entry, found);
        }
        let replies = self.ask(now, n, entry);
        self.questions.push(Question {
            stream: n,
            entry,
            taken_up_at: now,
            replies,
        });
        self.decide(now, self.questions.len() - 1);
    }

    fn ask(&mut self, now: u64, n: usize, entry: usize) -> binding::Replies {
        let peers: Vec<_> = self.peers(now, entry).collect();
        let unreachable = self.entries.len() - 1 - peers.len();
        let asked = stream(n).holders(peers.iter().copied(), binding::ASKED);
        let mut replies = binding::Replies::default();
        for holder in &asked {
            self.outcome.datagrams += 2;
            let at = Self::index(*holder);
            // Each is asked twice.
            let is_heard = (0..2).any(|_| !self.is_lost() && !self.is_lost());
            let is_running = self.entries[at].killed_at.is_none();
            if is_heard && is_running && self.is_linked(now, entry, at) {
                let is_current = self.is_current(now, at);
                let bindings = &self.entries[at].bindings;
                let reply = bindings.reply(ms(now), stream(n), service(), is_current);
                replies.received.push(reply);
            }
        }
        replies.is_partial = replies.received.len() < asked.len()
            || binding::lacks_contact(peers.len(), unreachable);
        replies
    }

    fn decide(&mut self, now: u64, question: usize) {
        let Question {
            stream,
            entry,
            taken_up_at,
            ref replies,
        } = self.questions[question];
        let complete_at = Some(self.complete_at(now, entry));
        let list = binding::List::new(ms(now), complete_at, complete_at, ms(taken_up_at));
        let bindings = &mut self.entries[entry].bindings;
        match bindings.resolve(ms(now), service(), list, replies) {
            binding::Resolution::Version(found) => self.go_on(stream, entry, found),
            binding::Resolution::Unknown => {}
            binding::Resolution::NeedsNewerList => {
                self.outcome.waited += 1;
                if let Some((_, arrives)) = self.next_list(taken_up_at, entry) {
                    self.queue.add(arrives, Event::Decide(question));
                }
            }
        }
    }

    fn go_on(&mut self, n: usize, entry: usize, found: binding::Version) {
        let Some(began) = self.streams[n] else { return };
        let counts = !self.entries[entry].is_cut && !self.entries[began.entry].is_cut;
        self.outcome.known += usize::from(counts);
        self.outcome.wrong += usize::from(found != began.version);
    }

    fn learn(&mut self, now: u64, entry: usize) {
        let bindings = &mut self.entries[entry].bindings;
        bindings.history.add(SERVICE, version("v2"));
        self.refresh(now, entry);
    }

    fn refresh(&mut self, now: u64, entry: usize) {
        let is_current = self.is_current(now, entry);
        let due = self.entries[entry].bindings.take_due(ms(now), is_current);
        if !due.is_empty() {
            self.queue.add(now + REFRESH_MS, Event::Refresh(entry));
        }
        for record in due {
            self.send(now, entry, record);
        }
    }

    fn resend(&mut self, now: u64, entry: usize) {
        self.set_peers(now, entry);
        let before = self.outcome.datagrams;
        self.refresh(now, entry);
        self.outcome.resent += self.outcome.datagrams - before;
        self.outcome.datagrams = before;
    }

    fn run(mut self) -> Outcome {
        while let Some((now, event)) = self.queue.next_before(u64::MAX) {
            match event {
                Event::Begin(n) => self.begin(now, n),
                Event::TakeUp(n) => self.take_up(now, n),
                Event::Decide(question) => self.decide(now, question),
                Event::Learn(at) if self.entries[at].killed_at.is_none() => self.learn(now, at),
                Event::Refresh(at) if self.entries[at].killed_at.is_none() => {
                    self.refresh(now, at);
                }
                Event::LosePeers(at) if self.entries[at].killed_at.is_none() => {
                    self.resend(now, at);
                }
                Event::Learn(_) | Event::Refresh(_) | Event::LosePeers(_) => {}
                Event::Arrive(at, record) => self.entries[at].bindings.table.add(record),
                Event::Kill => {
                    // The first ones are those that are cut off.
                    for at in (0..self.entries.len()).rev().step_by(4) {
                        self.entries[at].killed_at = Some(now);
                    }
                    self.lose_peers(now);
                }
            }
        }
        let most = self.entries.iter().map(|e| e.bindings.table.len()).max();
        self.outcome.most_records = most.unwrap_or_default();
        self.outcome
    }
}

// Plays a case and checks what holds at any size of the fleet.
fn check(case: &Case) -> Outcome {
    let outcome = Simulation::new(case, 7).run();
    println!("{} entries, {}: {outcome:?}", case.entries, case.name);
    assert!(
        outcome.wrong <= 2,
        "{} entries, {}: {} streams go on at another version",
        case.entries,
        case.name,
        outcome.wrong
    );
    let known = outcome.known as f64 / outcome.taken_up as f64;
    assert!(
        known >= case.min_known,
        "{} entries, {}: {known:.3} of the streams go on",
        case.entries,
        case.name
    );
    // Two to send a record, six to ask for it.
    assert!(
        outcome.datagrams <= 8 * STREAMS,
        "{}: {outcome:?}",
        case.name
    );
    // Each record once more.
    assert!(outcome.resent <= 2 * STREAMS, "{}: {outcome:?}", case.name);
    outcome
}

// Guards against streams that go on at another version, or end though their version is running, in
// fleets of any size, while entries are killed and a new version becomes known.
#[test]
fn entries_know_the_version_of_streams_at_any_size_of_the_fleet() {
    let case = |name, entries, second_at_ms, has_kills, min_known| Case {
        name,
        entries,
        second_at_ms,
        cut_divisor: None,
        has_kills,
        min_known,
    };
    for entries in [4, 30, 360, 1_440] {
        let cases = [
            case("two versions", entries, 0, false, 0.99),
            case("two versions, a quarter killed", entries, 0, true, 0.9),
            case("a second version", entries, 4_000, false, 0.9),
            case(
                "a second version, a quarter killed",
                entries,
                4_000,
                true,
                0.85,
            ),
        ];
        for case in &cases {
            check(case);
        }
    }
}

// Guards against entries that are cut off from the store and the others, and let streams go on at the
// only version that they know while the others use a second one.
#[test]
fn a_part_of_the_fleet_that_is_cut_off_continues_no_stream_at_another_version() {
    let case = |name, entries, cut_divisor, has_kills| Case {
        name,
        entries,
        second_at_ms: 4_000,
        cut_divisor: Some(cut_divisor),
        has_kills,
        // The rule: half as often as new ones begin.
        min_known: 0.5,
    };
    for entries in [4, 30, 360, 1_440] {
        let cases = [
            case("a quarter is cut off", entries, 4, false),
            case("a quarter is cut off, a quarter killed", entries, 4, true),
            case("half is cut off", entries, 2, false),
            case("half is cut off, a quarter killed", entries, 2, true),
        ];
        for case in &cases {
            check(case);
        }
    }
}

// Guards against streams of the only version that end while entries are killed or cut off.
#[test]
fn streams_of_the_only_version_go_on_while_entries_are_killed_or_cut_off() {
    for entries in [4, 30, 360, 1_440] {
        for cut_divisor in [None, Some(4)] {
            let case = Case {
                name: "one version, a quarter killed",
                entries,
                second_at_ms: 1_000_000,
                cut_divisor,
                has_kills: cut_divisor.is_none(),
                min_known: 0.99,
            };
            assert_eq!(check(&case).resent, 0, "{entries} entries");
        }
    }
}

// Guards against datagrams that grow with the number of versions' streams in services that have one.
#[test]
fn streams_of_the_only_version_need_no_datagrams() {
    let case = Case {
        name: "one version",
        entries: 30,
        second_at_ms: 1_000_000,
        cut_divisor: None,
        has_kills: false,
        min_known: 1.0,
    };
    let mut sim = Simulation::new(&case, 7);
    for n in 0..100 {
        sim.begin(1 + n as u64, n);
    }
    assert_eq!(sim.outcome.datagrams, 0);
}

// Guards against streams that are refused after all entries were killed, and against asking the
// readers of the store for each of them.
#[test]
fn all_entries_know_the_only_version_after_all_were_killed() {
    for entries in [4, 30, 360, 1_440_usize] {
        let (now, v1, mut rng) = (ms(200), version("v1"), Random::new(1));
        let start = |_| {
            let mut bindings = binding::Registry::new(binding::FirstStart::No);
            bindings.history.add(SERVICE, v1);
            bindings
        };
        let mut fleet: Vec<_> = (0..entries).map(start).collect();
        for reader in &mut fleet[..2] {
            let binding::Registry {
                stored, history, ..
            } = reader;
            stored.restore(now, [(service().hash, v1)], history);
        }
        let (mut known, mut asked_readers) = (0, 0);
        for n in 0..STREAMS {
            let at = rng.below(entries);
            let others = (0..entries).filter(|other| *other != at).map(address);
            let mut asked = stream(n).holders(others, binding::ASKED);
            if !fleet[at].knows_versions(now, service()) {
                asked_readers += 1;
                asked.push(address(usize::from(at == 0)));
            }
            let reply = |holder: &net::Ipv4Addr| {
                let peer = &fleet[Simulation::index(*holder)];
                peer.reply(now, stream(n), service(), true)
            };
            let replies = binding::Replies {
                received: asked.iter().map(reply).collect(),
                is_partial: false,
            };
            let found = fleet[at].resolve(now, service(), binding::List::Recent, &replies);
            known += usize::from(found == binding::Resolution::Version(v1));
        }
        assert_eq!(known, STREAMS, "{entries} entries");
        assert!(
            asked_readers < entries,
            "{entries} entries: {asked_readers}"
        );
    }
}

/// Streams that begin at each entry in a second, and the time that one runs.
const STREAMS_PER_ENTRY_S: usize = 4;
const STREAM_MS: usize = 3_000;

/// Time in which a writer collects records, and before all entries are killed.
const WRITE_INTERVAL_MS: usize = 200;
const KILLED_AT_MS: usize = 20_000;

// Guards against streams that end with all entries while backend servers of their version serve, and
// against calls to the store that grow with the streams.
#[test]
fn streams_of_two_versions_outlive_all_entries_at_any_size_of_the_fleet() {
    // Writes a second that the platform allows at these sizes.
    for (entries, max_calls_per_s) in [(4, 400), (30, 400), (360, 3_200), (1_440, 3_200)] {
        let addresses: Vec<_> = (0..entries).map(address).collect();
        let writers = binding::writers(&addresses);
        let mut rng = Random::new(7);
        let mut journals: Vec<_> = writers
            .iter()
            .map(|_| binding::Journal::default())
            .collect();
        let (mut store, mut calls) = (collections::HashMap::new(), 0);
        let mut running = Vec::new();
        let count = STREAMS_PER_ENTRY_S * entries * KILLED_AT_MS / 1_000;
        let mut next_write = WRITE_INTERVAL_MS;
        for n in 0..count {
            let at = n * KILLED_AT_MS / count;
            while next_write <= at {
                for (writer, journal) in journals.iter_mut().enumerate() {
                    if let Some(batch) = journal.take() {
                        calls += 1;
                        store.insert((writer, batch.place), batch.records);
                    }
                }
                next_write += WRITE_INTERVAL_MS;
            }
            let record = binding::Record {
                stream: stream(n),
                version: version(if rng.below(2) == 0 { "v1" } else { "v2" }),
                at: ms(at as u64),
            };
            let writer = record.stream.writer(&writers).expect("a writer");
            let writer = writers
                .iter()
                .position(|w| *w == writer)
                .expect("one of them");
            if rng.below(LOSS) > 0 {
                journals[writer].add(record);
            }
            if at + rng.below(STREAM_MS) >= KILLED_AT_MS {
                running.push(record);
            }
        }
        let mut table = binding::Table::default();
        let stored: usize = store.values().map(Vec::len).sum();
        let mut restored: Vec<_> = store.into_values().flatten().collect();
        restored.sort_by_key(|record| record.at);
        for record in restored {
            table.add(record);
        }
        let found = running.iter().map(|r| (table.get(r.stream), r.version));
        let known = found.clone().filter(|(found, _)| found.is_some()).count();
        let wrong = found.filter(|(found, began)| found.is_some_and(|f| f != *began));
        assert_eq!(wrong.count(), 0, "{entries} entries");
        let share = known as f64 / running.len() as f64;
        let per_s = calls * 1_000 / KILLED_AT_MS;
        println!(
            "{entries} entries: {share:.3} of {} streams go on, {} writers, {per_s} calls a second, \
             {stored} records in the store",
            running.len(),
            writers.len(),
        );
        // The rule: half as often as new ones begin.
        assert!(share >= 0.5, "{entries} entries: {share:.3}");
        assert!(per_s <= max_calls_per_s, "{entries} entries: {per_s}");
    }
}

// Guards against a record in the store that says that a service has one version while it has two.
#[test]
fn the_store_holds_only_services_of_one_version() {
    let (v1, v2) = (version("v1"), version("v2"));
    let change = |version| {
        [binding::Change {
            service: service().hash,
            version,
        }]
    };
    let mut bindings = binding::Registry::new(binding::FirstStart::Confirmed(ms(0)));
    let due = |bindings: &binding::Registry, at| bindings.stored.due(ms(at), &bindings.history);
    bindings.history.add(SERVICE, v1);
    assert_eq!(due(&bindings, 0), change(Some(v1)));
    bindings.stored.on_written(change(Some(v1))[0]);
    assert_eq!(due(&bindings, 1_000), []);
    bindings.history.add(SERVICE, v2);
    assert_eq!(due(&bindings, 2_000), change(None));
    bindings.stored.on_written(change(None)[0]);
    bindings.history.remove(ms(3_000), SERVICE, v1);
    assert_eq!(due(&bindings, 50_000), []);
    assert_eq!(due(&bindings, 70_000), change(Some(v2)));
    // An entry that starts relies on the record only if it fits the list.
    for (listed, is_known) in [(vec![v2], true), (vec![v1], false), (vec![v1, v2], false)] {
        let mut started = binding::Registry::new(binding::FirstStart::No);
        for version in &listed {
            started.history.add(SERVICE, *version);
        }
        let binding::Registry {
            stored, history, ..
        } = &mut started;
        stored.restore(ms(100), [(service().hash, v2)], history);
        assert_eq!(
            started.knows_versions(ms(100), service()),
            is_known,
            "{listed:?}"
        );
    }
}
