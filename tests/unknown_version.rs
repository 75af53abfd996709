//! Backend servers that have started again, until the list says which version they run.

#[path = "support/direct.rs"]
mod support;

use std::time;

use chivebend::decide::{binding, place};
use chivebend::direct::{listing, state};
use chivebend::key;
use smallvec::SmallVec;
use support::ms;

fn listed(id: &str, start: u64, version: Option<&str>) -> listing::Server {
    listing::Server {
        version: version.map(Into::into),
        report: support::report(start, 0),
        ..support::server(id, 0, false)
    }
}

// An entry whose list has the servers `a` and `c` of v1 and `b` of v2.
fn entry() -> state::Entry {
    let entry = support::entry(1);
    let servers = [("a", "v1"), ("b", "v2"), ("c", "v1")];
    let servers = servers.map(|(id, version)| listed(id, 1, Some(version)));
    entry.apply_update(listing::Update::All(servers.into()));
    entry
}

fn restart(entry: &state::Entry, id: &str) {
    entry.apply_update(listing::Update::Listed(listed(id, 2, None)));
}

fn tell(entry: &state::Entry, id: &str, version: &str) {
    let server = listed(id, 2, Some(version));
    entry.apply_update(listing::Update::Listed(server));
}

fn version_at(entry: &state::Entry, id: &str) -> binding::Version {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    entry.version_of(entry.server_by_hash(hash).expect("it is listed"))
}

fn version(name: &str) -> binding::Version {
    binding::Version::new("s", Some(name))
}

fn service() -> binding::Service {
    binding::Service::new("s", ms(4_000))
}

fn record(entry: &state::Entry, stream: binding::Stream, at: &str) -> binding::Record {
    binding::Record {
        stream,
        version: version_at(entry, at),
        at: entry.now(),
    }
}

// Guards against streams that go on at another version because both versions aren't known.
#[test]
fn unknown_versions_of_two_processes_differ() {
    let entry = entry();
    restart(&entry, "a");
    restart(&entry, "b");
    let (one, other) = (version_at(&entry, "a"), version_at(&entry, "b"));
    assert_ne!(one, other);
    for known in [binding::Version::default(), version("v1"), version("v2")] {
        assert!(one != known && other != known, "{known}");
    }
    let next = listing::Update::Listed(listed("a", 3, None));
    entry.apply_update(next);
    assert_ne!(version_at(&entry, "a"), one, "another process");
    let fleet = entry.fleet.borrow();
    let number = entry.known_service("s").expect("a number");
    assert!(!fleet.has_version(number, one));
    assert!(fleet.has_version(number, other));
}

// Guards against streams that nobody may take up, since they began before the list told the version of
// their server: here, where their records are, and after the server has ended.
#[test]
fn a_stream_goes_on_at_the_version_that_its_process_turns_out_to_have() {
    let (begun, holder, late) = (entry(), entry(), entry());
    let stream = binding::Stream::new("customer", b"a");
    restart(&begun, "a");
    restart(&holder, "a");
    let at_process = record(&begun, stream, "a");
    let is_sent = {
        let mut bindings = begun.bindings.borrow_mut();
        bindings.set_peers([support::address(2)].into_iter());
        bindings.begin(at_process, service(), true)
    };
    assert!(is_sent, "several versions serve");
    holder.bindings.borrow_mut().keep(at_process);
    let known = |entry: &state::Entry| entry.bindings.borrow().version_of(stream);
    assert_eq!(known(&holder), Some(at_process.version));
    for entry in [&begun, &holder] {
        tell(entry, "a", "v1");
        assert_eq!(known(entry), Some(version("v1")));
    }
    // An entry that was told at once has never used the process without its version.
    tell(&late, "a", "v1");
    late.bindings.borrow_mut().keep(at_process);
    for entry in [&begun, &holder, &late] {
        entry.apply_update(listing::Update::Gone("a".into()));
        assert_eq!(known(entry), Some(version("v1")));
        let reply = entry.binding_reply(stream, service());
        assert_eq!(reply.version, Some(version("v1")));
    }
}

// Guards against records of a process at peers and in the store, of which nobody knows the version once
// the process has ended.
#[test]
fn records_are_sent_and_written_again_once_the_version_is_known() {
    let entry = entry();
    let peers = [support::address(2), support::address(3)];
    let stream = binding::Stream::new("customer", b"a");
    restart(&entry, "a");
    let begun = record(&entry, stream, "a");
    let mut bindings = entry.bindings.borrow_mut();
    bindings.set_peers(peers.into_iter());
    assert!(bindings.begin(begun, service(), true));
    assert_eq!(bindings.take_unwritten(), [begun]);
    assert_eq!(bindings.take_due(ms(300), true), []);
    drop(bindings);
    tell(&entry, "a", "v1");
    let named = binding::Record {
        version: version("v1"),
        ..begun
    };
    let mut bindings = entry.bindings.borrow_mut();
    assert_eq!(bindings.take_due(ms(600), true), [named]);
    assert_eq!(bindings.take_unwritten(), [named]);
    assert_eq!(bindings.take_due(ms(900), true), []);
    assert_eq!(bindings.take_unwritten(), []);
}

// Guards against a service that counts as having several versions for as long as streams may be taken up
// because a server of its only one has restarted, and against a store that names a process's.
#[test]
fn a_restart_leaves_no_second_version_behind() {
    let entry = support::entry(1);
    let all = ["a", "b"].map(|id| listed(id, 1, Some("v1")));
    entry.apply_update(listing::Update::All(all.into()));
    let versions = |entry: &state::Entry| {
        let bindings = entry.bindings.borrow();
        let lifetime = time::Duration::from_secs(60);
        let hash = binding::service_hash("s");
        bindings.history.view(entry.now(), hash, lifetime).versions
    };
    restart(&entry, "a");
    assert_eq!(versions(&entry).len(), 2, "it may be another one");
    tell(&entry, "a", "v1");
    assert_eq!(versions(&entry)[..], [version("v1")]);
    tell(&entry, "b", "v2");
    assert_eq!(versions(&entry).len(), 2);
    // One server, of which only the restarted process was ever seen.
    let entry = support::entry(2);
    entry.apply_update(listing::Update::All(vec![listed("a", 2, None)]));
    let only = binding::Version::of_process(listed("a", 2, None).process_hash());
    assert_eq!(versions(&entry)[..], [only]);
    let mut bindings = entry.bindings.borrow_mut();
    let binding::Registry {
        history, stored, ..
    } = &mut *bindings;
    history.confirm_first_start(Some(ms(0)));
    assert_eq!(stored.due(ms(100_000), history), []);
    drop(bindings);
    tell(&entry, "a", "v1");
    let bindings = entry.bindings.borrow();
    let due = bindings.stored.due(ms(100_000), &bindings.history);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].version, Some(version("v1")));
}

fn job(part: u64, is_resumable: bool, version: Option<binding::Version>) -> place::Job {
    let parts = [part, part ^ 1];
    let parts = parts.map(|chain| place::Part { chain, tokens: 50 });
    place::Job {
        service: 0,
        customer: key::Customer::default(),
        parts: parts.into_iter().collect(),
        cost: 100,
        due: ms(1_000),
        objective: ms(1_000),
        excluded: SmallVec::new(),
        suspect: None,
        version,
        is_resumable,
    }
}

// Guards against streams that begin where they can't go on elsewhere though other servers have room, and
// against streams that begin nowhere since all versions are unknown. Other requests go anywhere.
#[test]
fn streams_begin_where_the_version_is_known_if_they_can() {
    for is_engine in [true, false] {
        let mut fleet = place::Fleet::new(1);
        let process = binding::Version::of_process(1);
        let mut add = |id, version, is_version_known| {
            let info = place::ServerInfo {
                id,
                service: 0,
                slots: 4,
                is_engine,
                is_near: true,
                version,
                is_version_known,
            };
            fleet.add(ms(0), info)
        };
        let known = add("a", version("v1"), true);
        let unknown = add("b", process, false);
        let chosen = |fleet: &mut place::Fleet, is_resumable, version| {
            let mut chosen: Vec<_> = (0..40)
                .filter_map(|part| fleet.choose(&job(part * 2, is_resumable, version)))
                .collect();
            chosen.sort_unstable();
            chosen.dedup();
            chosen
        };
        assert_eq!(chosen(&mut fleet, true, None), [known]);
        assert_eq!(chosen(&mut fleet, false, None).len(), 2);
        // Where no other takes it, it may go there, but to no further server of a known version.
        let refused = |at| place::Job {
            excluded: SmallVec::from_slice(&[at]),
            ..job(2, true, None)
        };
        assert_eq!(fleet.avoided_home(&refused(known)), Some(unknown));
        assert_eq!(fleet.avoided_home(&refused(unknown)), None);
        assert_eq!(fleet.avoided_home(&job(2, false, None)), None);
        // A stream that the process began goes on there, and nowhere else.
        assert_eq!(chosen(&mut fleet, true, Some(process)), [unknown]);
        assert_eq!(chosen(&mut fleet, true, Some(version("v1"))), [known]);
        fleet.set_state(ms(1), known, place::State::Draining);
        assert_eq!(chosen(&mut fleet, true, None), [unknown]);
        fleet.set_state(ms(2), known, place::State::Ready);
        // Without the store a version may stay unknown, and the server has room.
        fleet.sweep(ms(2_900));
        assert_eq!(chosen(&mut fleet, true, None), [known]);
        fleet.sweep(ms(3_000));
        assert_eq!(chosen(&mut fleet, true, None).len(), 2);
        fleet.set_version(unknown, version("v2"));
        assert_eq!(fleet.avoided_home(&refused(known)), None);
        assert_eq!(chosen(&mut fleet, true, None).len(), 2);
        assert!(chosen(&mut fleet, true, Some(process)).is_empty());
    }
}
