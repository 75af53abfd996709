//! Versions that join the one that the store names as a service's only one, without a network.

use std::{collections, net, time};

use chivebend::decide::binding::{
    self, FirstStart, Opened, Position, Record, Statement, Stream, Version,
};

const SERVICE: &str = "s";

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn version(name: &str) -> Version {
    Version::new(SERVICE, Some(name))
}

fn service() -> binding::Service {
    binding::Service::new(SERVICE, ms(12_000))
}

fn read(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

// What the store says up to an offset that is the time in milliseconds.
fn statement(era: u64, at: u64, names: &[&str]) -> Statement {
    let single = |name: &&str| (service().hash, version(name));
    Statement {
        read: read(era, at),
        at: ms(at),
        singles: names.iter().map(single).collect(),
        uptime: ms(at),
    }
}

fn record(id: u64, name: &str, at: u64) -> Record {
    Record {
        stream: Stream { customer: 1, id },
        version: version(name),
        at: ms(at),
    }
}

// An entry that has run for long, and knows what the store says and which backend servers are listed.
fn open(stored: &[&str], listed: &[(&str, usize)]) -> binding::Registry {
    let mut entry = binding::Registry::new(FirstStart::No);
    entry.on_statement(statement(0, 1, stored));
    for (name, servers) in listed {
        for _ in 0..*servers {
            entry.history.add(SERVICE, version(name));
        }
    }
    entry
}

struct Case {
    name: &'static str,
    // Version that the store names.
    stored: &'static [&'static str],
    // Versions that are listed, and the number of their backend servers.
    listed: &'static [(&'static str, usize)],
    // The version at which new streams begin, if not any.
    base: Option<&'static str>,
}

// Guards against streams that begin at a version while the store says that there is another one only, and
// against capacity that isn't used although nothing would be lost.
#[test]
fn new_streams_begin_at_the_version_that_the_store_names() {
    let cases = [
        Case {
            name: "one version",
            stored: &["v1"],
            listed: &[("v1", 4)],
            base: None,
        },
        Case {
            name: "a second version joins",
            stored: &["v1"],
            listed: &[("v1", 3), ("v2", 1)],
            base: Some("v1"),
        },
        Case {
            name: "a third one joins as well",
            stored: &["v1"],
            listed: &[("v1", 3), ("v2", 1), ("v3", 1)],
            base: Some("v1"),
        },
        Case {
            name: "the store names none",
            stored: &[],
            listed: &[("v1", 3), ("v2", 1)],
            base: None,
        },
        Case {
            name: "few backend servers of the first version are left",
            stored: &["v1"],
            listed: &[("v1", 1), ("v2", 2)],
            base: Some("v1"),
        },
        Case {
            name: "none of the first version is left",
            stored: &["v1"],
            listed: &[("v2", 2)],
            base: Some("v1"),
        },
    ];
    for case in &cases {
        let mut entry = open(case.stored, case.listed);
        let base = case.base.map(version);
        let history = &entry.history;
        assert_eq!(history.base(service().hash), base, "{}", case.name);
        let view = history.view(ms(100), service().hash, service().lifetime);
        assert_eq!(view.is_joined, base.is_some(), "{}", case.name);
        if let Some(base) = base {
            assert_eq!(view.only(), Some(base), "{}", case.name);
        }
        // Streams that only this entry knows would end with all entries, unless the store names their
        // version.
        entry.begin(record(1, "v1", 100), service(), true);
        let is_named = case.stored == ["v1"] && case.listed.iter().all(|(name, _)| *name == "v1");
        let written = entry.take_unwritten().len();
        assert_eq!(written, usize::from(!is_named), "{}", case.name);
    }
}

// Guards against a version that is used before the store has taken back that another one is the only one,
// or before records of running streams can have reached the store, and against one that is never used.
#[test]
fn a_version_that_joins_is_used_once_the_store_has_said_so() {
    let mut entry = open(&["v1"], &[("v1", 3)]);
    let binding::Registry {
        stored, history, ..
    } = &mut entry;
    stored.restore(ms(0), [(service().hash, version("v1"))], history);
    assert!(!entry.begin(record(1, "v1", 30_000), service(), true));
    assert_eq!(entry.take_due(ms(30_000), true), []);
    assert_eq!(entry.take_unwritten(), []);
    entry.history.add(SERVICE, version("v2"));
    assert_eq!(entry.stored.due(ms(30_100), &entry.history), []);
    // Records go to peers and to the store first.
    assert_eq!(entry.take_due(ms(30_100), true).len(), 1);
    assert_eq!(entry.take_unwritten().len(), 1);
    assert_eq!(entry.stored.due(ms(31_000), &entry.history), []);
    let due = entry.stored.due(ms(31_100), &entry.history);
    assert_eq!(due.iter().map(|c| c.version).collect::<Vec<_>>(), [None]);
    assert_eq!(entry.history.base(service().hash), Some(version("v1")));
    entry.stored.on_written(due[0]);
    let statement = entry
        .stored
        .statement(ms(31_200), read(0, 2), &entry.history);
    assert!(entry.on_statement(statement));
    assert_eq!(entry.history.base(service().hash), None);
    let events = entry.history.joins.take_events();
    let opened: Vec<_> = events.iter().map(|event| event.opened).collect();
    assert_eq!(opened, [None, Some(Opened::Stored)]);
}

// Guards against a statement that is taken back before callers have come again after a start of all entries,
// and against a version that waits because only this process has just started.
#[test]
fn a_version_that_joins_waits_for_callers_of_a_fleet_that_has_just_started() {
    for (uptime, second, expected) in [
        (0, 1, 6_000),
        (4_000, 1, 2_000),
        (60_000, 1, 1_000),
        (0, 4, 1_000),
    ] {
        let mut entry = open(&["v1"], &[("v1", 3), ("v2", second)]);
        let binding::Registry {
            stored, history, ..
        } = &mut entry;
        stored.restore(ms(0), [(service().hash, version("v1"))], history);
        history.joins.on_uptime(ms(0), ms(uptime));
        let mut due = (0..20_000).step_by(250).filter(|at| {
            entry.take_due(ms(*at), true);
            !entry.stored.due(ms(*at), &entry.history).is_empty()
        });
        let first = due.next().expect("it is taken back");
        assert!(
            first.abs_diff(expected) <= 250,
            "{uptime}, {second}: {first}"
        );
    }
}

// Guards against a version that waits again because another reader of the store doesn't know yet that it is
// used, and against one that waits for a store that can't be written.
#[test]
fn a_version_that_is_used_stays_so() {
    struct Use {
        name: &'static str,
        reason: Opened,
        apply: fn(&mut binding::Registry),
    }
    let uses = [
        Use {
            name: "the store says so",
            reason: Opened::Stored,
            apply: |entry| {
                entry.on_statement(statement(0, 20_000, &[]));
            },
        },
        Use {
            name: "a stream began at it",
            reason: Opened::Used,
            apply: |entry| entry.history.on_begun(service().hash, version("v2")),
        },
        Use {
            name: "a peer has a record of a stream that began at it",
            reason: Opened::Used,
            apply: |entry| entry.keep(record(9, "v2", 20_000)),
        },
        Use {
            name: "the store can't be written",
            reason: Opened::Timeout,
            apply: |entry| {
                entry.take_due(ms(29_900), true);
                assert_eq!(entry.history.base(service().hash), Some(version("v1")));
                entry.take_due(ms(30_000), true);
            },
        },
    ];
    for case in &uses {
        let mut entry = open(&["v1"], &[("v1", 3), ("v2", 1)]);
        entry.take_due(ms(10_000), true);
        (case.apply)(&mut entry);
        // Another reader's statement is newer, but lacks it.
        entry.on_statement(statement(0, 31_000, &["v1"]));
        entry.take_due(ms(31_000), true);
        assert_eq!(entry.history.base(service().hash), None, "{}", case.name);
        let events = entry.history.joins.take_events();
        let last = events.last().expect("an event").opened;
        assert_eq!(last, Some(case.reason), "{}", case.name);
        // What this entry tells peers of the store doesn't contradict it.
        let history = &mut entry.history;
        let single = [(service().hash, version("v1"))];
        entry.stored.restore(ms(31_000), single, history);
        let statement = entry.stored.statement(ms(32_000), read(0, 32_000), history);
        assert!(statement.singles.is_empty(), "{}", case.name);
        assert_eq!(
            entry.stored.due(ms(32_000), history).len(),
            1,
            "{}",
            case.name
        );
    }
}

// Guards against a stream that goes on at the version that the store names, though an entry that is cut off
// from its peers has begun it at the one that joins: of six or more, one isn't a quarter.
#[test]
fn while_a_version_joins_each_entry_out_of_reach_may_use_it() {
    let listed = [("v1", 2), ("v2", 2)];
    let mut cut_off = open(&["v1"], &listed);
    cut_off.take_due(ms(10_000), true);
    cut_off.history.on_begun(service().hash, version("v2"));
    assert_eq!(cut_off.history.base(service().hash), None, "it is used");
    for (peers, unreachable) in [(5, 0), (4, 1), (1_438, 1)] {
        let mut entry = open(&["v1"], &listed);
        entry.take_due(ms(10_000), true);
        let reply = entry.reply(ms(10_000), Stream { customer: 1, id: 1 }, service(), true);
        let replies = binding::Replies {
            received: [reply; binding::ASKED].into_iter().collect(),
            is_partial: binding::lacks_contact(peers, unreachable),
        };
        for list in [binding::List::Recent, binding::List::Newer] {
            let found = entry.resolve(ms(10_000), service(), list, &replies);
            let expected = match unreachable {
                0 => binding::Resolution::Version(version("v1")),
                _ => binding::Resolution::Unknown,
            };
            assert_eq!(found, expected, "{peers} {unreachable} {list:?}");
        }
    }
}

// Guards against a version that waits though streams have begun at it before the store could be read.
#[test]
fn a_version_that_was_used_before_the_store_was_read_does_not_wait() {
    for (begun, base) in [("v1", Some(version("v1"))), ("v2", None)] {
        let mut entry = binding::Registry::new(FirstStart::No);
        entry.history.add(SERVICE, version("v1"));
        entry.history.add(SERVICE, version("v2"));
        entry.history.on_begun(service().hash, version(begun));
        entry.on_statement(statement(0, 2_000, &["v1"]));
        assert_eq!(entry.history.base(service().hash), base, "{begun}");
    }
}

// Guards against a statement that is taken for newer than it is, and against records that a store lacks which
// was restored from an older copy.
#[test]
fn the_newest_statement_counts() {
    let mut entry = open(&["v1"], &[("v1", 1)]);
    assert!(!entry.on_statement(statement(0, 900, &["v1"])), "the same");
    assert!(!entry.on_statement(statement(0, 800, &[])), "older");
    assert!(entry.on_statement(statement(0, 1_000, &[])));
    entry.begin(record(1, "v1", 1_000), service(), true);
    assert_eq!(entry.take_unwritten().len(), 1);
    assert!(!entry.on_statement(statement(0, 1_200, &[])));
    entry.take_due(ms(1_300), true);
    assert_eq!(entry.take_unwritten(), []);
    assert!(entry.on_statement(statement(1, 1_100, &[])), "a newer era");
    assert!(
        !entry.on_statement(statement(0, 2_000, &["v1"])),
        "an older era"
    );
    entry.take_due(ms(1_500), true);
    assert_eq!(entry.take_unwritten().len(), 1);
}

// Guards against streams that outlive the place of their record in the store, and against records of streams
// that nobody can take up.
#[test]
fn records_are_written_again_while_their_streams_run() {
    let mut entry = open(&[], &[("v1", 1), ("v2", 1)]);
    entry.begin(record(1, "v1", 0), service(), true);
    entry.begin(record(2, "v2", 0), service(), true);
    assert_eq!(entry.take_unwritten().len(), 2);
    assert_eq!(entry.unstored_streams(), 0);
    entry.end(ms(1_000), Stream { customer: 1, id: 2 });
    let mut written = Vec::new();
    for at in (0..30_000).step_by(250) {
        entry.take_due(ms(at), true);
        written.extend(entry.take_unwritten().iter().map(|r| r.stream.id));
    }
    assert_eq!(written, [1, 1]);
}

// Guards against batches of a process that has just started in the places of those that it restores.
#[test]
fn batches_of_a_new_process_take_other_places() {
    let mut journal = binding::Journal::new(3);
    let mut place = |now| {
        journal.update(ms(now));
        journal.add(record(1, "v1", 0));
        journal.take().expect("a batch").place
    };
    let first = [place(300), place(1_400)];
    assert!(first.iter().all(|place| (64..128).contains(place)));
    assert_ne!(first[0], first[1]);
    let later = [place(1_500), place(1_700)];
    assert!(later.iter().all(|place| (0..64).contains(place)));
    assert_ne!(later[0], later[1]);
}

const WRITERS: [net::Ipv4Addr; 2] = [
    net::Ipv4Addr::new(127, 0, 0, 3),
    net::Ipv4Addr::new(127, 0, 0, 2),
];

/// Keys in the order in which they were written last, with the streams of their batches.
#[derive(Default)]
struct Store(Vec<(String, Vec<u64>)>);

impl Store {
    fn append(&mut self, journal: &mut binding::Journal, id: u64) {
        journal.add(record(id, "v1", 0));
        let batch = journal.take().expect("a batch");
        let key = batch.key(1);
        self.0.retain(|(other, _)| *other != key);
        let ids = batch.records.iter().map(|r| r.stream.id).collect();
        self.0.push((key, ids));
    }

    fn read(&self, journal: &mut binding::Journal) {
        let keys = self.0.iter().map(|(key, _)| &**key);
        journal.on_keys(WRITERS.into_iter().collect(), 1, keys);
    }

    fn lost(&self, ids: impl IntoIterator<Item = u64>) -> Vec<u64> {
        let known: collections::HashSet<u64> =
            self.0.iter().flat_map(|(_, ids)| ids.clone()).collect();
        ids.into_iter().filter(|id| !known.contains(id)).collect()
    }
}

// Guards against batches of a process that takes the places of running streams' records, written by processes
// that were killed shortly after their start.
#[test]
fn batches_of_starts_in_a_row_take_the_places_of_the_oldest() {
    const BATCHES: u64 = 7;
    let mut store = Store::default();
    let mut id = 0;
    for start in 0..32 {
        let mut journal = binding::Journal::new(start);
        store.read(&mut journal);
        for at in (300..1_700).step_by(200) {
            journal.update(ms(at));
            store.append(&mut journal, id);
            id += 1;
        }
        let lost = store.lost(id.saturating_sub(8 * BATCHES)..id);
        assert!(lost.is_empty(), "start {start}: {lost:?}");
        assert!(store.0.len() <= 128);
    }
}

// Guards against places that are taken again though others are unused, after a start that couldn't read them.
#[test]
fn batches_after_a_failed_read_take_unused_places() {
    for seed in 0..64 {
        let mut store = Store::default();
        let mut first = binding::Journal::new(100);
        store.read(&mut first);
        (0..20).for_each(|id| store.append(&mut first, id));
        let mut journal = binding::Journal::new(seed);
        store.append(&mut journal, 20);
        let before = store.lost(0..21).len();
        store.read(&mut journal);
        (21..56).for_each(|id| store.append(&mut journal, id));
        assert_eq!(store.lost(0..56).len(), before, "seed {seed}");
    }
}

// Guards against entries that take themselves for the same writer, as long as they don't know each other, and
// overwrite each other's batches one by one.
#[test]
fn entries_that_share_a_writers_number_keep_most_batches() {
    let mut lost = 0;
    for seed in 0..64 {
        let mut store = Store::default();
        let mut before = binding::Journal::new(1_000);
        (100..164).for_each(|id| store.append(&mut before, id));
        let mut journals = [2 * seed, 2 * seed + 1].map(binding::Journal::new);
        for journal in &mut journals {
            store.read(journal);
        }
        (0..4).for_each(|id| store.append(&mut journals[id as usize % 2], id));
        lost += store.lost(0..4).len();
    }
    println!("lost: {lost} of 256");
    assert!(lost <= 64, "{lost} of 256");
}

// Guards against places that count as known though another entry may have used them.
#[test]
fn places_are_read_again_after_a_pause_and_if_the_writers_change() {
    let writers = WRITERS.into_iter().collect();
    let mut store = Store::default();
    let mut journal = binding::Journal::new(0);
    assert!(journal.lacks_places(&writers));
    store.read(&mut journal);
    assert!(!journal.lacks_places(&writers));
    assert!(journal.lacks_places(&WRITERS.into_iter().rev().collect()));
    for at in (0..20_000).step_by(4_000) {
        journal.update(ms(at));
        assert!(!journal.lacks_places(&writers), "{at}");
        store.append(&mut journal, at);
    }
    journal.update(ms(22_000));
    assert!(journal.lacks_places(&writers));
}

// Guards against keys of other writers, or ones that nobody of this program wrote, that count as places.
#[test]
fn only_keys_of_the_same_writer_tell_places() {
    for key in ["11-64", "0-64", "1-128", "1-99999999999", "1-", "1", ""] {
        let mut taken = collections::HashSet::new();
        for seed in 0..1_000 {
            let mut journal = binding::Journal::new(seed);
            journal.on_keys(WRITERS.into_iter().collect(), 1, [key]);
            journal.add(record(1, "v1", 0));
            taken.insert(journal.take().expect("a batch").place);
        }
        assert_eq!(taken.len(), 64, "{key}");
    }
}

// Guards against a version that comes into use while records of running streams wait to be sent.
#[test]
fn many_streams_are_written_before_another_version_is_used() {
    let mut entry = open(&["v1"], &[("v1", 1)]);
    for id in 0..4_000 {
        entry.begin(record(id, "v1", 8_000), service(), true);
    }
    entry.history.add(SERVICE, version("v2"));
    let is_open = |entry: &binding::Registry, at| entry.history.has_to_open(ms(at), service().hash);
    let mut at = 9_000;
    while !is_open(&entry, at) {
        entry.take_due(ms(at), true);
        entry.take_unwritten();
        at += 250;
    }
    assert_eq!(entry.unstored_streams(), 0, "at {at}");
}
