//! The list of backend servers that a direct entry maintains.

#[path = "support/direct.rs"]
mod support;

use chivebend::decide::place;
use chivebend::direct::peer::update;
use chivebend::direct::{listing, parts, pool, roster, state, transfer};
use smallvec::smallvec;

const VERSION: parts::Version = parts::Version::Second;

#[test]
fn backend_server_that_a_peer_names_as_leaving_gets_no_new_requests() {
    let (watcher, other) = (support::entry(1), support::entry(2));
    let listed_servers = vec![
        support::server("a", 5, false),
        support::server("b", 5, false),
    ];
    watcher.apply_update(listing::Update::All(listed_servers.clone()));
    other.apply_update(listing::Update::All(listed_servers));
    assert!(watcher.departing().is_empty());
    watcher.apply_update(listing::Update::Listed(support::server("a", 6, true)));
    assert_eq!(watcher.departing().len(), 1);
    let chosen = |entry: &state::Entry| {
        let job = place::Job {
            service: entry.service("s"),
            customer: entry.customer("c"),
            parts: smallvec![],
            cost: 1,
            due: support::ms(1_000),
            objective: support::ms(1_000),
            excluded: smallvec![],
            suspect: None,
            version: None,
            is_resumable: false,
        };
        let key = entry.fleet.borrow_mut().choose(&job)?;
        let backends = entry.backends.borrow();
        Some(backends.get(key)?.server.id.clone())
    };
    other.on_departing(&watcher.departing());
    assert_eq!(chosen(&other).as_deref(), Some("b"));
    // What came from a peer is not passed on: otherwise two entries would each keep the server
    // leaving for good because the other says so.
    assert!(other.departing().is_empty());
    assert!(other.servers().expect("a list").iter().all(|s| !s.leaving));
    // A backend server that is deregistered without having been listed as leaving is named, too.
    watcher.apply_update(listing::Update::Gone("b".into()));
    assert_eq!(watcher.departing().len(), 2);
    other.on_departing(&watcher.departing());
    assert_eq!(chosen(&other), None);
    // Its record had only expired.
    watcher.apply_update(listing::Update::Listed(support::server("b", 6, false)));
    assert_eq!(watcher.departing().len(), 1);
}

// Guards against sending a request that was placed before a watcher's heartbeat named its backend
// server as leaving: the last check before sending knew less than placement.
#[test]
fn request_that_was_placed_before_its_server_was_named_as_leaving_is_not_sent() {
    let (watcher, other) = (support::entry(1), support::entry(2));
    for entry in [&watcher, &other] {
        entry.apply_update(listing::Update::All(vec![support::server("a", 5, false)]));
    }
    let server = other.server_by_hash(xxhash_rust::xxh3::xxh3_64(b"a"));
    let server = server.expect("it is listed");
    assert!(other.accepts_requests(server));
    watcher.apply_update(listing::Update::Listed(support::server("a", 6, true)));
    other.on_departing(&watcher.departing());
    assert!(!other.accepts_requests(server));
}

// Guards against a complete read of the store that undoes what peers have reported since it began:
// a backend server that was known to leave or to be gone got requests again.
#[test]
fn complete_read_brings_back_nothing_older_than_what_peers_reported() {
    let entry = support::entry(1);
    let before = vec![
        support::server("leaves", 5, false),
        support::server("gone", 5, false),
    ];
    let listed = || {
        let servers = entry.servers().expect("a list").into_iter();
        let mut listed: Vec<_> = servers
            .map(|s| (s.id, s.report.number, s.leaving))
            .collect();
        listed.sort();
        listed
    };
    entry.apply_update(listing::Update::FromPeer(before.clone()));
    entry.apply_update(listing::Update::Listed(support::server("leaves", 6, true)));
    let gone = listing::Update::GoneAt("gone".into(), support::report(0, 5));
    entry.apply_update(gone);
    entry.apply_update(listing::Update::All(before));
    assert_eq!(listed(), [("leaves".to_owned(), 6, true)]);
    // What was reported since is taken.
    entry.apply_update(listing::Update::All(vec![
        support::server("leaves", 7, false),
        support::server("gone", 6, false),
    ]));
    let returned = [
        ("gone".to_owned(), 6, false),
        ("leaves".to_owned(), 7, false),
    ];
    assert_eq!(listed(), returned);
}

fn started(id: &str, start: u64, number: u64) -> listing::Server {
    listing::Server {
        report: support::report(start, number),
        ..support::server(id, 0, false)
    }
}

// A backend server crashes and starts again under the same id. The entry learns of it from the
// store, from a peer's list, and late from a link that delayed the update.
#[test]
fn restarted_backend_server_keeps_no_earlier_state() {
    let entry = support::entry(1);
    let now = support::ms(1_000);
    let key = || entry.server_by_hash(xxhash_rust::xxh3::xxh3_64(b"a"));
    let usable = |at| entry.health.borrow().state(now, at).is_usable();
    // There are other backend servers: of only a few, none is ejected.
    let others = (0..9).map(|n| started(&format!("other-{n}"), 100, 1));
    let all = others.chain([started("a", 100, 50)]).collect();
    entry.apply_update(listing::Update::All(all));
    let first = key().expect("it is listed");
    for _ in 0..9 {
        entry.record_result(first, false, support::ms(0));
    }
    assert!(!usable(first));
    // The numbers of its reports begin again.
    entry.apply_update(listing::Update::Listed(started("a", 200, 1)));
    let second = key().expect("it is listed");
    assert_ne!(first, second);
    assert!(usable(second));
    assert!(entry.backends.borrow().get(first).is_none());
    // A report of the earlier start arrives late.
    let late = listing::Server {
        leaving: true,
        ..started("a", 100, 60)
    };
    entry.apply_update(listing::Update::Listed(late.clone()));
    assert_eq!(key(), Some(second));
    entry.apply_update(listing::Update::FromPeer(vec![late]));
    assert_eq!(key(), Some(second));
    assert!(entry.servers().expect("a list").iter().all(|s| !s.leaving));
    // A peer is the first to report the next start.
    entry.apply_update(listing::Update::FromPeer(vec![started("a", 300, 1)]));
    assert_ne!(key(), Some(second));
}

#[test]
fn list_digest_covers_the_start_but_not_the_report_number() {
    let (one, other) = (support::entry(1), support::entry(2));
    one.apply_update(listing::Update::All(vec![started("a", 100, 7)]));
    other.apply_update(listing::Update::All(vec![started("a", 100, 9)]));
    assert_eq!(one.list_digest(VERSION), other.list_digest(VERSION));
    other.apply_update(listing::Update::Listed(started("a", 200, 1)));
    assert_ne!(one.list_digest(VERSION), other.list_digest(VERSION));
}

// A reading of the store at this time in milliseconds, with these reports of the backend server `a`.
type Reading = (u64, &'static [(u64, u64)]);

// Guards against one false report under the id of a running backend server that makes its own reports
// count as late for good, and against late reports that undo what is known: a backend server that
// leaves got requests again.
#[test]
fn process_that_goes_on_reporting_is_used_although_a_newer_report_is_known() {
    struct Case {
        name: &'static str,
        known: (u64, u64),
        readings: &'static [Reading],
        listed: (u64, u64),
    }
    let case = |name, known, readings, listed| Case {
        name,
        known,
        readings,
        listed,
    };
    let cases = [
        case(
            "start too late",
            (u64::MAX, 1),
            &[(0, &[(100, 8)]), (2_000, &[(100, 10)])],
            (100, 10),
        ),
        case(
            "number too large",
            (100, u64::MAX),
            &[
                (0, &[(100, 8)]),
                (1_200, &[(100, 9)]),
                (2_400, &[(100, 10)]),
            ],
            (100, 10),
        ),
        case(
            "a single late report, read again",
            (100, 9),
            &[(0, &[(100, 8)]), (9_000, &[(100, 8)])],
            (100, 9),
        ),
        case(
            "two late reports in a reading",
            (100, 9),
            &[(0, &[(100, 7), (100, 8)])],
            (100, 9),
        ),
        case(
            "late reports of the time in which a process reports again",
            (100, 9),
            &[(0, &[(100, 7)]), (1_900, &[(100, 8)])],
            (100, 9),
        ),
        case(
            "late reports before and after one of the newer process",
            (200, 1),
            &[(0, &[(100, 8)]), (1_000, &[(200, 2)]), (2_000, &[(100, 9)])],
            (200, 2),
        ),
        case(
            "the false report is written again",
            (900, 7),
            &[
                (0, &[(100, 8)]),
                (2_000, &[(100, 10)]),
                (3_000, &[(900, 7), (100, 11)]),
            ],
            (100, 11),
        ),
        case(
            "a process that starts later than the false report",
            (900, 7),
            &[(0, &[(100, 8)]), (2_000, &[(100, 10), (901, 1)])],
            (901, 1),
        ),
    ];
    for case in cases {
        let mut list = roster::Roster::default();
        let known = started("a", case.known.0, case.known.1);
        list.apply(support::ms(0), listing::Update::All(vec![known]));
        for (at, reports) in case.readings {
            for (start, number) in *reports {
                let read = started("a", *start, *number);
                list.apply(support::ms(*at), listing::Update::Listed(read));
            }
        }
        let expected = support::report(case.listed.0, case.listed.1);
        let report = list.get("a").map(|server| server.report);
        assert_eq!(report, Some(expected), "{}", case.name);
    }
}

// Guards against a false report that stays at the entries that don't read the store themselves, or
// comes back from one of them.
#[test]
fn peers_learn_which_report_was_false() {
    let false_report = started("a", u64::MAX, 1);
    let mut reader = roster::Roster::default();
    for (at, read) in [
        (0, false_report.clone()),
        (1, started("a", 100, 8)),
        (2_001, started("a", 100, 10)),
    ] {
        reader.apply(support::ms(at), listing::Update::Listed(read));
    }
    let found = reader.get("a").expect("it is listed").clone();
    let change = update::Change::from(&listing::Change::Listed(found.clone()));
    let change = listing::Update::try_from(&change).expect("an update");
    let list = serde_json::to_vec(&vec![found.clone()]).expect("JSON");
    let (list, _) = transfer::decode_answer(&list).expect("a list");
    let parts = listing::Update::PartsFromPeer(listing::Parts {
        count: 1,
        indices: vec![0],
        servers: vec![found],
    });
    for is_removed in [false, true] {
        for update in [&change, &list, &parts] {
            let name = format!("{update:?} {is_removed}");
            let mut peer = roster::Roster::default();
            let report = |peer: &roster::Roster| peer.get("a").map(|server| server.report);
            let false_list = listing::Update::FromPeer(vec![false_report.clone()]);
            let apply = |peer: &mut roster::Roster, update: &listing::Update| {
                peer.apply(support::ms(3_000), update.clone());
            };
            apply(&mut peer, &false_list);
            if is_removed {
                apply(&mut peer, &listing::Update::Gone("a".into()));
            }
            apply(&mut peer, update);
            assert_eq!(report(&peer), Some(support::report(100, 10)), "{name}");
            apply(&mut peer, &false_list);
            apply(&mut peer, &listing::Update::Restored(false_report.clone()));
            assert_eq!(report(&peer), Some(support::report(100, 10)), "{name}");
            // An entry that has just started knows nothing of the false report.
            apply(&mut peer, &listing::Update::Restored(started("a", 100, 12)));
            apply(&mut peer, update);
            assert_eq!(report(&peer), Some(support::report(100, 12)), "{name}");
        }
    }
}

#[test]
fn unreadable_record_removes_only_its_own_id() {
    let entry = support::entry(1);
    let listed = || {
        let servers = entry.servers().expect("a list");
        servers.into_iter().map(|s| s.id).collect::<Vec<_>>()
    };
    entry.apply_update(listing::Update::All(vec![
        support::server("a", 1, false),
        support::server("b", 1, false),
    ]));
    entry.apply_update(listing::Update::Unreadable("a".into()));
    assert_eq!(listed(), ["b"]);
    // A backend server that runs writes a readable record again.
    entry.apply_update(listing::Update::Listed(support::server("a", 2, false)));
    assert_eq!(listed().len(), 2);
}

#[test]
fn unreadable_record_in_a_peers_list_leaves_the_others() {
    let good = serde_json::to_value(support::server("a", 1, false)).expect("JSON");
    let body = serde_json::json!([{"id": "b"}, good, 7, {"id": "c", "slots": "many"}]);
    let list = transfer::decode_list(body.to_string().as_bytes()).expect("a list");
    assert_eq!(list.servers, [support::server("a", 1, false)]);
    assert_eq!(list.unreadable.len(), 3);
    transfer::decode_list(b"{").unwrap_err();
}

#[test]
fn older_list_of_a_peer_restores_nothing() {
    let entry = support::empty_entry(1);
    let known = || {
        let mut servers = entry.servers().expect("a list");
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers
            .into_iter()
            .map(|s| (s.id, s.leaving))
            .collect::<Vec<_>>()
    };
    let apply_peer_list = |servers: &[listing::Server]| {
        entry.apply_update(listing::Update::FromPeer(servers.to_vec()));
    };
    apply_peer_list(&[
        support::server("a", 5, false),
        support::server("b", 5, false),
    ]);
    entry.apply_update(listing::Update::Listed(support::server("a", 6, true)));
    entry.apply_update(listing::Update::Gone("b".into()));
    apply_peer_list(&[
        support::server("a", 5, false),
        support::server("b", 5, false),
        support::server("c", 1, false),
    ]);
    let expected = [("a".to_owned(), true), ("c".to_owned(), false)];
    assert_eq!(known(), expected);
    apply_peer_list(&[
        support::server("a", 7, true),
        support::server("b", 6, false),
    ]);
    let expected = [("a".to_owned(), true), ("b".to_owned(), false)];
    assert_eq!(known(), expected);
}

#[test]
fn idle_connections_of_all_entries_leave_room_at_a_backend_server() {
    struct Case {
        accepted: usize,
        entries: usize,
        idle: usize,
    }
    let cases = [
        Case {
            accepted: 360,
            entries: 4,
            idle: 32,
        },
        Case {
            accepted: 500,
            entries: 30,
            idle: 8,
        },
        Case {
            accepted: 96,
            entries: 4,
            idle: 12,
        },
        Case {
            accepted: 10,
            entries: 30,
            idle: 1,
        },
    ];
    for case in cases {
        let idle = pool::idle_share(case.accepted, case.entries);
        assert_eq!(idle, case.idle, "{} for {}", case.accepted, case.entries);
    }
}

// Guards against transfers of the complete list at each change. 300 entries that took over a list
// of 3,000 backend servers from two watchers received 612 KB/s each, and a sender sent 10 MB/s.
// With steps since a list that the sender remembers it was still 300 KB/s each, because lists that
// differ in one server for good were sent complete each second.
#[test]
fn peer_gets_only_the_parts_of_the_list_that_differ() {
    let (one, other) = (support::entry(1), support::entry(2));
    let named = |n: usize| support::server(&format!("s{n}"), 1, false);
    let part_digests = |entry: &state::Entry| {
        let roster = entry.roster.borrow();
        roster.part_digests(VERSION, parts::count(400))
    };
    one.apply_update(listing::Update::All((0..400).map(named).collect()));
    other.apply_update(listing::Update::All((0..400).map(named).collect()));
    one.apply_update(listing::Update::Listed(support::server("new", 1, false)));
    one.apply_update(listing::Update::Listed(support::server("s7", 2, true)));
    one.apply_update(listing::Update::Gone("s8".into()));
    let digests = parts::encode(&part_digests(&other));
    let differing = one
        .roster
        .borrow()
        .differing_parts(VERSION, &parts::decode(&digests).expect("digests"));
    assert!(differing.servers.len() < 60, "{}", differing.servers.len());
    other.apply_update(listing::Update::PartsFromPeer(differing));
    assert_eq!(other.list_digest(VERSION), one.list_digest(VERSION));
    let differing = one
        .roster
        .borrow()
        .differing_parts(VERSION, &part_digests(&other));
    assert!(differing.indices.is_empty() && differing.servers.is_empty());
}

#[test]
fn parts_of_a_peers_older_list_restore_nothing() {
    let entry = support::entry(1);
    let known = ["a", "b", "c"].map(|id| support::server(id, 5, false));
    entry.apply_update(listing::Update::All(known.to_vec()));
    entry.apply_update(listing::Update::Gone("c".into()));
    let old = |id: &str| support::server(id, 4, true);
    entry.apply_update(listing::Update::PartsFromPeer(listing::Parts {
        count: 1,
        indices: vec![0],
        servers: vec![old("a"), old("b"), old("c")],
    }));
    let mut servers = entry.servers().expect("a list");
    servers.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(servers, known[..2]);
}

#[test]
fn unreadable_record_among_parts_leaves_the_others() {
    let good = serde_json::to_value(support::server("a", 1, false)).expect("JSON");
    let body = serde_json::json!({"of": 1, "parts": [0], "listed": [{"id": "b"}, good]});
    let (update, unreadable) = transfer::decode_answer(body.to_string().as_bytes()).expect("parts");
    assert!(matches!(update, listing::Update::PartsFromPeer(parts) if parts.servers.len() == 1));
    assert_eq!(unreadable.len(), 1);
    transfer::decode_answer(b"{").unwrap_err();
}

#[test]
fn decodes_only_well_formed_digests() {
    for bytes in [0, 7, 12, 8 * 257] {
        assert_eq!(parts::decode(&vec![0; bytes]), None, "{bytes}");
    }
    assert_eq!(parts::decode(&parts::encode(&[1, 2])), Some(vec![1, 2]));
    assert_eq!([0, 22, 910, 1_000_000].map(parts::count), [1, 2, 113, 256]);
}
