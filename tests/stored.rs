//! What the platform's store says of a service that came to have one version while entries run.

use std::time;

use chivebend::decide::binding::{
    self, FirstStart, List, Record, Registry, Replies, Resolution, Stream, Version,
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

fn record(id: u64, name: &str, at: u64) -> Record {
    Record {
        stream: Stream { customer: 1, id },
        version: version(name),
        at: ms(at),
    }
}

fn read(offset: u64) -> binding::Position {
    binding::Position { era: 0, offset }
}

// One pass of the entry that reads the store, every 250 ms; the store accepts writes.
fn check(entry: &mut Registry, at: u64, accepts: bool) {
    entry.take_due(ms(at), true);
    let statement = entry.stored.statement(ms(at), read(at), &entry.history);
    entry.on_statement(statement);
    for change in entry.stored.due(ms(at), &entry.history) {
        if accepts {
            entry.stored.on_written(change);
            let statement = entry
                .stored
                .statement(ms(at + 1), read(at + 1), &entry.history);
            entry.on_statement(statement);
        }
    }
}

// Guards against a service of one version whose records are written for ever.
#[test]
fn a_first_start_names_the_only_version() {
    let mut entry = Registry::new(FirstStart::Claimed);
    entry.history.add(SERVICE, version("v1"));
    check(&mut entry, 250, true);
    check(&mut entry, 500, true);
    entry.history.confirm_first_start(Some(ms(1_000)));
    for at in (1_000..120_000).step_by(250) {
        check(&mut entry, at, true);
    }
    assert_eq!(
        entry.stored.due(ms(120_000), &entry.history),
        [],
        "the store names v1"
    );
    entry.begin(record(1, "v1", 120_100), service(), true);
    assert_eq!(entry.take_unwritten(), []);
    assert!(entry.history.is_stored(service().hash));
}

// Guards against the same after a start that found no record.
#[test]
fn a_later_start_names_the_only_version_after_60_s() {
    let mut entry = Registry::new(FirstStart::No);
    entry.history.add(SERVICE, version("v1"));
    for at in (250..120_000).step_by(250) {
        check(&mut entry, at, true);
    }
    entry.begin(record(1, "v1", 120_100), service(), true);
    assert_eq!(entry.take_unwritten(), []);
}

// Guards against the same after a release.
#[test]
fn a_release_leaves_a_named_version() {
    let mut entry = Registry::new(FirstStart::No);
    let Registry {
        stored, history, ..
    } = &mut entry;
    stored.restore(ms(0), [(service().hash, version("v1"))], history);
    entry.history.add(SERVICE, version("v1"));
    for at in (250..200_000).step_by(250) {
        if at == 70_000 {
            entry.history.add(SERVICE, version("v2"));
        }
        if at == 80_000 {
            entry.history.remove(ms(at), SERVICE, version("v1"));
        }
        check(&mut entry, at, true);
    }
    entry.begin(record(1, "v2", 200_100), service(), true);
    assert_eq!(entry.take_unwritten(), []);
}

// Guards against a stream that goes on at the version that the store still names though another is used.
#[test]
fn streams_of_a_version_that_joins_after_a_first_start_keep_it() {
    let mut entry = Registry::new(FirstStart::Claimed);
    entry.history.add(SERVICE, version("v1"));
    check(&mut entry, 250, true);
    check(&mut entry, 500, true);
    entry.history.confirm_first_start(Some(ms(1_000)));
    for at in (1_000..10_000).step_by(250) {
        check(&mut entry, at, true);
    }
    // The store refuses writes, or doesn't answer, from here on.
    entry.history.add(SERVICE, version("v2"));
    check(&mut entry, 10_000, false);
    // A new stream may begin at any version, hence at the second one.
    let begins_anywhere = entry.history.base(service().hash).is_none();
    entry.begin(record(7, "v2", 10_100), service(), true);
    // All are killed. The store still names v1.
    let mut started = Registry::new(FirstStart::No);
    let Registry {
        stored, history, ..
    } = &mut started;
    stored.restore(ms(100), [(service().hash, version("v1"))], history);
    started.history.add(SERVICE, version("v1"));
    started.history.add(SERVICE, version("v2"));
    check(&mut started, 250, false);
    let found = started.resolve(ms(400), service(), List::Recent, &Replies::default());
    assert!(
        !begins_anywhere || found == Resolution::Unknown,
        "{found:?} for a stream of v2 ({})",
        version("v2")
    );
}

// Guards against a statement that doesn't fit into a datagram between entries.
#[test]
fn a_statement_is_bounded() {
    let mut entry = Registry::new(FirstStart::No);
    let Registry {
        stored, history, ..
    } = &mut entry;
    stored.restore(ms(0), (1..6_000u64).map(|n| (n, Version(n))), history);
    for n in 0..200 {
        history.add(&n.to_string(), Version(n));
        stored.on_written(binding::Change {
            service: binding::service_hash(&n.to_string()),
            version: Some(Version(n)),
        });
    }
    let statement = stored.statement(ms(1_000), read(1), history);
    assert!(
        statement.singles.len() <= binding::MAX_SINGLES,
        "{}",
        statement.singles.len()
    );
}

// Guards against services that are gone and keep others from being named.
#[test]
fn services_that_are_gone_leave_room() {
    let mut entry = Registry::new(FirstStart::No);
    let Registry {
        stored, history, ..
    } = &mut entry;
    stored.restore(ms(0), (1..=64u64).map(|n| (n, Version(n))), history);
    history.add(SERVICE, version("v1"));
    entry.take_due(ms(61_000), true);
    let due = entry.stored.due(ms(61_000), &entry.history);
    assert!(!due.is_empty());
}

// Guards against records that are lost because another entry writes to the places of the one that wrote them.
#[test]
fn records_are_written_again_if_other_entries_write() {
    let mut entry = Registry::new(FirstStart::No);
    entry.history.add(SERVICE, version("v1"));
    entry.history.add(SERVICE, version("v2"));
    let [one, other] = [1, 2].map(|n| std::net::Ipv4Addr::new(10, 0, 0, n));
    entry.set_writers([one].into_iter().collect());
    entry.begin(record(1, "v1", 1_000), service(), true);
    let mut written = |writer, at| {
        entry.set_writers([writer].into_iter().collect());
        entry.take_due(ms(at), true);
        entry.take_unwritten().len()
    };
    assert_eq!([written(one, 1_250), written(other, 1_500)], [1, 1]);
    assert_eq!([written(other, 1_750), written(one, 2_000)], [0, 1]);
}

// Guards against a version that the store names and the entries don't: of two that read it, one still counts
// the service as having several versions when the other writes.
#[test]
fn all_entries_name_the_only_version_after_a_release() {
    for late in [0, 100, 250, 900, 2_000] {
        let mut entries = [0, 1].map(|_| Registry::new(FirstStart::No));
        for entry in &mut entries {
            entry.history.add(SERVICE, version("v1"));
            entry.history.add(SERVICE, version("v2"));
        }
        let (mut single, mut offset) = (None, 1);
        for at in (250..200_000).step_by(250) {
            for n in [0, 1] {
                let removed_at = 100_000 + n as u64 * late;
                if (removed_at..removed_at + 250).contains(&at) {
                    entries[n].history.remove(ms(at), SERVICE, version("v2"));
                }
                let entry = &mut entries[n];
                let known = single.map(|version| (service().hash, version));
                entry.stored.restore(ms(at), known, &mut entry.history);
                for change in entry.stored.due(ms(at), &entry.history) {
                    entry.stored.on_written(change);
                    single = change.version;
                    offset += 1;
                }
                let statement = entry.stored.statement(ms(at), read(offset), &entry.history);
                for entry in &mut entries {
                    entry.on_statement(statement.clone());
                }
                // The list is looked at after the store.
                entries[n].take_due(ms(at), true);
            }
        }
        assert_eq!(single, Some(version("v1")), "late {late}");
        let are_named = |entry: &Registry| entry.history.is_stored(service().hash);
        assert!(entries.iter().all(are_named), "late {late}");
    }
}

// Guards against records that are deleted while streams need them, and against ones that stay when a release is
// over.
#[test]
fn batches_are_void_once_all_versions_have_been_stored_for_long() {
    let mut entry = Registry::new(FirstStart::Claimed);
    entry.history.add(SERVICE, version("v1"));
    entry
        .history
        .add("other", Version::new("other", Some("v1")));
    let run = |entry: &mut Registry, from: u64, until: u64| {
        for at in (from..until).step_by(250) {
            check(entry, at, true);
        }
        entry.are_batches_void(ms(until))
    };
    assert!(!run(&mut entry, 250, 1_000));
    entry.history.confirm_first_start(Some(ms(1_000)));
    assert!(!run(&mut entry, 1_000, 60_000));
    assert!(run(&mut entry, 60_000, 63_000));
    entry.history.add(SERVICE, version("v2"));
    assert!(!run(&mut entry, 63_000, 64_000), "a second version joins");
    assert!(!run(&mut entry, 64_000, 200_000), "it serves");
    entry.history.remove(ms(200_000), SERVICE, version("v2"));
    assert!(!run(&mut entry, 200_000, 310_000), "its streams may run");
    assert!(run(&mut entry, 310_000, 330_000));
}
