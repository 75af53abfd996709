//! The parts of a direct entry that need no network.

use std::time;

use chivebend::decide::{overload, place, retry};
use chivebend::direct::peer::{message, table};
use chivebend::direct::{
    answer, callers, dialect, line, neighbour, plan, pool, request, roster, state,
};
use http::{HeaderName, HeaderValue};
use proptest::prelude::*;
use smallvec::smallvec;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn names() -> dialect::Dialect {
    let name = HeaderName::from_static;
    dialect::Dialect {
        request_id: name("id"),
        deadline: name("wait"),
        api_key: name("key"),
        customer: name("customer"),
        expected_instance: name("expected"),
        instance: name("instance"),
        not_run: name("not-run"),
        last_event: name("last-event"),
        usage: name("usage"),
        length_hint: name("hint"),
        prefix: name("prefix"),
        signature: name("signature"),
        needed: vec![name("model")],
        reserved: vec![name("pin")],
    }
}

fn parts(uri: &str, headers: &[(&str, &str)]) -> http::request::Parts {
    let mut req = http::Request::builder().method("POST").uri(uri);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(()).expect("a request").into_parts().0
}

#[test]
fn heads_that_contradict_themselves_are_refused() {
    struct Case {
        name: &'static str,
        uri: &'static str,
        headers: &'static [(&'static str, &'static str)],
    }
    let cases = [
        Case {
            name: "no id",
            uri: "/a/b",
            headers: &[("host", "h")],
        },
        Case {
            name: "two ids",
            uri: "/a/b",
            headers: &[("host", "h"), ("id", "1"), ("id", "2")],
        },
        Case {
            name: "two hosts",
            uri: "/a/b",
            headers: &[("host", "h"), ("host", "i"), ("id", "1")],
        },
        Case {
            name: "no host",
            uri: "/a/b",
            headers: &[("id", "1")],
        },
        Case {
            name: "length and chunks",
            uri: "/a/b",
            headers: &[
                ("host", "h"),
                ("id", "1"),
                ("content-length", "3"),
                ("transfer-encoding", "chunked"),
            ],
        },
        Case {
            name: "two keys",
            uri: "/a/b",
            headers: &[("host", "h"), ("id", "1"), ("key", "a"), ("key", "b")],
        },
        Case {
            name: "a deadline that is no number",
            uri: "/a/b",
            headers: &[("host", "h"), ("id", "1"), ("wait", "soon")],
        },
        Case {
            name: "a negative deadline",
            uri: "/a/b",
            headers: &[("host", "h"), ("id", "1"), ("wait", "-5")],
        },
        Case {
            name: "no path",
            uri: "*",
            headers: &[("host", "h"), ("id", "1")],
        },
    ];
    for case in cases {
        let read = request::read(&parts(case.uri, case.headers), &names());
        assert!(read.is_err(), "{}", case.name);
    }
}

#[test]
fn the_fleets_own_headers_never_come_from_a_caller() {
    let headers = [
        ("host", "h"),
        ("id", "1"),
        ("customer", "other"),
        ("expected", "i-1"),
        ("pin", "4000"),
        ("key", "secret"),
        ("model", "m"),
        ("x-own", "kept"),
        ("connection", "id, model, x-hop"),
        ("x-hop", "dropped"),
        ("keep-alive", "timeout=5"),
    ];
    let head = request::read(&parts("/a/b?c=%2e%2e", &headers), &names()).expect("a good head");
    let has = |name: &str| head.headers.contains_key(name);
    for name in [
        "customer",
        "expected",
        "pin",
        "key",
        "connection",
        "x-hop",
        "keep-alive",
    ] {
        assert!(!has(name), "{name}");
    }
    for name in ["id", "model", "x-own", "host"] {
        assert!(has(name), "{name}");
    }
    assert_eq!(head.target.as_str(), "/a/b?c=%2e%2e");
    assert_eq!(head.key, "secret");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_prefix_and_usage_are_read(prefix in ".{0,200}", usage in ".{0,40}", hint in ".{0,20}") {
        let parts = request::read_parts(&prefix);
        prop_assert!(parts.len() <= 16);
        prop_assert!(request::read_cost(&usage, &hint) >= 1);
    }

    #[test]
    fn any_event_is_searched_for_its_id(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // It must neither fail nor find an id in what is no text.
        let found = answer::event_id(&bytes).is_some();
        prop_assert!(!found || std::str::from_utf8(&bytes).is_ok());
    }

    #[test]
    fn any_datagram_is_a_beat_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        use prost::Message as _;
        let mut peers = table::Table::default();
        if let Ok(beat) = message::Beat::decode(bytes.as_slice()) {
            peers.hear(ms(0), 1, address(10), &beat);
        }
        prop_assert!(peers.entries() <= 2);
    }

    #[test]
    fn repeats_stay_within_ratio_and_slack(steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let mut window = retry::Window::default();
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (gap, request) in steps {
            now += gap;
            if request {
                window.request(ms(now));
                requests.push(now);
            } else if window.take(ms(now), ms(10_000), 0.2, 5.0) {
                repeats.push(now);
            }
            // In the span that ends with a repeat, beside the requests of it and one slice. Requests
            // that have left the span since don't make repeats of then too many.
            if repeats.last() == Some(&now) {
                let within = |times: &[u64], span| times.iter().filter(|t| **t + span > now).count();
                let allowed = within(&requests, 11_000) as f64 * 0.2 + 5.0;
                prop_assert!(within(&repeats, 10_000) as f64 <= allowed);
            }
        }
    }
}

#[test]
fn a_parts_hash_covers_all_parts_before_it() {
    let one = request::read_parts("aa:10,bb:20,cc:5");
    let other = request::read_parts("ab:10,bb:20,cc:5");
    assert_eq!(one.len(), 3);
    assert_ne!(one[1].chain, other[1].chain);
    assert_eq!(one[..2], request::read_parts("aa:10,bb:20,dd:5")[..2]);
}

#[test]
fn the_longest_prefix_of_the_host_is_the_route() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let route = |name: &str, prefix: &str| plan::Route {
        name: name.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        kind: plan::Kind::Safe,
        timeout: ms(1_000),
        objective: ms(100),
        attempts: 2,
        shares: smallvec![plan::Share {
            service: "s".into(),
            weight: 1,
        }],
        anonymous: false,
    };
    let plan = plan::Plan::new(1, vec![route("short", "/a/"), route("long", "/a/b/")]);
    let cases = [
        Case {
            host: "h.example",
            path: "/a/b/c",
            route: Some("long"),
        },
        Case {
            host: "H.Example:80",
            path: "/a/c",
            route: Some("short"),
        },
        Case {
            host: "h.example",
            path: "/a/../a/b/",
            route: Some("short"),
        },
        Case {
            host: "h.example",
            path: "/a",
            route: None,
        },
        Case {
            host: "other",
            path: "/a/b/",
            route: None,
        },
    ];
    for case in cases {
        let found = plan.route(case.host, case.path).ok();
        let name = found.map(|r| r.name.as_str());
        assert_eq!(name, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn the_longest_idle_connections_make_room() {
    let table = callers::Table::new(3);
    let (busy, _busy_end) = table.add(ms(0));
    table.begin(busy);
    let (old, old_end) = table.add(ms(1));
    table.rest(old, ms(5));
    assert!(table.has_room());
    let (_new, _new_end) = table.add(ms(10));
    assert!(!table.has_room());
    assert!(table.is_tight());
    assert_eq!(table.make_room(), 2);
    // The permit is kept for the connection's task.
    let ended = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime")
        .block_on(async { tokio::time::timeout(ms(1_000), old_end.notified()).await });
    ended.expect("it was told to end");
    table.remove(old);
    assert!(table.has_room());
}

fn address(last: u8) -> std::net::Ipv4Addr {
    std::net::Ipv4Addr::new(10, 0, 0, last)
}

fn beat(sequence: u64) -> message::Beat {
    message::Beat {
        sequence,
        ..message::Beat::default()
    }
}

#[test]
fn entries_are_counted_while_they_are_heard() {
    let mut peers = table::Table::default();
    let mut hear =
        |at, sender, last, sequence| peers.hear(ms(at), sender, address(last), &beat(sequence));
    assert_eq!(hear(0, 1, 10, 5), Some(None));
    assert_eq!(hear(1, 1, 10, 4), None, "an older beat");
    assert_eq!(hear(2, 2, 10, 1), Some(Some(1)), "a new start");
    assert_eq!(hear(3, 3, 11, 1), Some(None));
    assert_eq!(peers.entries(), 3);
    assert_eq!(peers.expire(ms(2) + table::SILENT), [(address(10), 2)]);
    assert_eq!(peers.entries(), 2);
}

#[test]
fn in_a_fleet_of_the_largest_size_one_missing_beat_is_no_end() {
    // 360 entries beat every 3 s.
    let at = |n: u16| std::net::Ipv4Addr::new(10, 0, (n / 200) as u8, (n % 200) as u8);
    let mut peers = table::Table::new(at(0), 0, "z", Vec::new());
    for n in 1..360_u16 {
        let beat = message::Beat {
            store_age_ms: 900,
            ..beat(1)
        };
        peers.hear(ms(1_000), n.into(), at(n), &beat);
    }
    assert!(peers.expire(ms(7_500)).is_empty());
    assert_eq!(peers.entries(), 360);
    assert!(peers.has_fresh(ms(4_200)), "the next beat is on its way");
    assert_eq!(peers.expire(ms(14_000)).len(), 359);
}

#[test]
fn entries_that_hear_each_other_agree_who_decides() {
    let mut tables: Vec<_> = (0..4_u8)
        .map(|own| table::Table::new(address(own), 0, "z", Vec::new()))
        .collect();
    for (own, peers) in tables.iter_mut().enumerate() {
        for other in (0..4_u8).filter(|other| usize::from(*other) != own) {
            peers.hear(ms(0), other.into(), address(other), &beat(1));
        }
    }
    let mut decides = [0; 4];
    for server in 0..64_u64 {
        let owners: Vec<_> = tables.iter().map(|p| p.owner(ms(0), server)).collect();
        let own = owners
            .iter()
            .position(Option::is_none)
            .expect("one decides itself");
        let others = owners.iter().flatten().all(|a| *a == address(own as u8));
        assert!(others, "{owners:?}");
        decides[own] += 1;
    }
    assert!(decides.iter().all(|n| *n > 4), "{decides:?}");
    // One that doesn't reply is gone around for a while.
    let (server, owner) = (0..64)
        .find_map(|s| Some((s, tables[0].owner(ms(0), s)?)))
        .expect("another decides about some");
    assert!(tables[0].distrust(ms(0), owner), "that is new");
    assert!(!tables[0].distrust(ms(0), owner));
    assert_eq!(tables[0].owner(ms(1), server), None);
    assert_eq!(tables[0].owner(ms(1_000), server), Some(owner));
    assert!(tables[0].replied(owner), "it was silent");
    assert!(!tables[0].replied(owner));
}

#[test]
fn a_few_entries_follow_the_store_and_the_others_rely_on_the_freshest() {
    struct Case {
        name: &'static str,
        own: u8,
        reader: bool,
    }
    let cases = [
        Case {
            name: "the first",
            own: 1,
            reader: true,
        },
        Case {
            name: "the second",
            own: 2,
            reader: true,
        },
        Case {
            name: "the third",
            own: 3,
            reader: false,
        },
    ];
    for case in cases {
        let mut peers = table::Table::new(address(case.own), 0, "z", Vec::new());
        for other in (1..6_u8).filter(|other| *other != case.own) {
            let beat = message::Beat {
                // Others read long ago and look fresh; they are not asked.
                store_age_ms: if other > 2 { 0 } else { u32::from(other) * 300 },
                list_age_ms: if other > 2 { 0 } else { 300 - u32::from(other) },
                configuration: u64::from(other),
                list: u64::from(other),
                ..beat(1)
            };
            peers.hear(ms(5_000), other.into(), address(other), &beat);
        }
        assert_eq!(peers.is_reader(), case.reader, "{}", case.name);
        // The second of the two has the newer configuration and read the list later.
        let newest = if case.own == 2 { 1 } else { 2 };
        let expected = Some((address(newest), u64::from(newest)));
        assert_eq!(peers.newest_configuration(ms(5_000)), expected);
        assert_eq!(peers.newest_list(ms(5_000)), expected, "{}", case.name);
        assert!(!peers.has_fresh(ms(6_400)), "{}: all are old", case.name);
        assert_eq!(peers.newest_list(ms(6_400)), None, "{}", case.name);
    }
}

#[test]
fn what_a_reader_heard_stays_fresh_until_it_tells_again() {
    // It reads every 0.9 s, and with 30 entries tells every quarter of a second.
    let mut peers = table::Table::new(address(3), 0, "z", Vec::new());
    for last in [1, 2] {
        let beat = message::Beat {
            store_age_ms: 920,
            ..beat(1)
        };
        peers.hear(ms(5_000), last.into(), address(last), &beat);
    }
    assert!(peers.has_fresh(ms(5_300)));
    assert!(!peers.has_fresh(ms(5_600)), "too old");
}

#[test]
fn weak_entries_do_no_work_for_all() {
    // Entries 1 to 6: the first and the fourth to sixth have a fifth of the others' processor.
    let millicores = |last: u8| if last == 2 || last == 3 { 500 } else { 90 };
    for own in 1..=6_u8 {
        let mut peers = table::Table::new(address(own), millicores(own), "z", Vec::new());
        for other in (1..=6_u8).filter(|other| *other != own) {
            let beat = message::Beat {
                millicores: millicores(other),
                ..beat(1)
            };
            peers.hear(ms(0), other.into(), address(other), &beat);
        }
        let strong = own == 2 || own == 3;
        assert_eq!(peers.is_reader(), strong, "entry {own}");
        for server in 0..64 {
            let owner = peers.owner(ms(0), server);
            let decides = owner.map_or(strong, |a| a == address(2) || a == address(3));
            assert!(decides, "entry {own} has {owner:?} decide");
        }
        // Without the strong ones the others are the strongest.
        if !strong {
            peers.expire(ms(1));
            for other in [2, 3_u8] {
                let leaving = message::Beat {
                    leaving: true,
                    ..beat(2)
                };
                peers.hear(ms(1), other.into(), address(other), &leaving);
            }
            assert_eq!(peers.is_reader(), own < 5, "entry {own}");
        }
    }
}

#[test]
fn busy_entries_leave_rotation_while_more_than_half_of_their_zone_stays() {
    let mut peers = table::Table::new(address(1), 0, "z", Vec::new());
    assert!(!peers.may_leave_rotation(), "alone");
    let mut hear = |last: u8, sequence, zone, busy| {
        let beat = message::Beat {
            zone: table::zone(zone),
            busy,
            ..beat(sequence)
        };
        peers.hear(ms(0), last.into(), address(last), &beat);
        peers.may_leave_rotation()
    };
    assert!(!hear(2, 1, "z", false), "half of the zone");
    assert!(!hear(3, 1, "other", false), "another zone");
    assert!(hear(4, 1, "z", false), "one of three");
    assert!(!hear(4, 2, "z", true), "two of three");
    assert!(hear(4, 3, "z", false), "it has caught up");
}

#[test]
fn an_entry_that_is_behind_says_so_and_leaves_rotation_if_others_of_its_zone_serve() {
    let started = time::Instant::now();
    let log = line::open(started).expect("a thread");
    let entry = state::Entry::new(started, settings(), names(), log, 1, Vec::new(), None);
    entry.probed(ms(400));
    assert_eq!(
        entry.overload(),
        overload::Level::Normal,
        "once may be a pause"
    );
    entry.probed(ms(400));
    assert_eq!(entry.overload(), overload::Level::Saturated);
    assert!(entry.is_busy());
    assert!(!entry.out_of_rotation(), "there is nobody else");
    for last in [2, 3] {
        let beat = message::Beat {
            zone: table::zone("z"),
            ..beat(1)
        };
        let mut peers = entry.peers.borrow_mut();
        peers.hear(entry.now(), last.into(), address(last), &beat);
    }
    assert!(entry.out_of_rotation());
    entry.probed(ms(0));
    assert_eq!(entry.overload(), overload::Level::Normal);
    assert!(entry.out_of_rotation(), "for a while");
}

#[test]
fn a_list_that_still_differs_is_asked_for_again() {
    let entry = entry(1);
    entry.take(plan::News::All(vec![server("a", 5, false)]));
    let hear = |sequence, list| {
        let beat = message::Beat {
            list,
            ..beat(sequence)
        };
        let mut peers = entry.peers.borrow_mut();
        peers.hear(entry.now(), 2, address(2), &beat);
    };
    hear(1, entry.list_digest());
    assert!(entry.newer().is_empty(), "nothing to take over");
    hear(2, 77);
    let list = (address(2), roster::Topic::Backends);
    assert_eq!(entry.newer().as_slice(), [list]);
    entry.remember_told();
    assert!(entry.newer().is_empty(), "it was told just now");
    hear(3, 78);
    assert_eq!(entry.newer().as_slice(), [list], "another list");
}

#[test]
fn callers_that_wait_to_be_accepted_show_that_an_entry_is_behind() {
    let entry = entry(1);
    entry.set_callers_wait(true);
    std::thread::sleep(overload::OVERLOADED);
    entry.set_callers_wait(true);
    entry.probed(ms(0));
    entry.probed(ms(0));
    assert!(entry.overload() >= overload::Level::Overloaded);
    entry.set_callers_wait(false);
    entry.probed(ms(0));
    assert_eq!(entry.overload(), overload::Level::Normal);
}

#[test]
fn an_id_of_any_bytes_is_kept() {
    // Ids that are no text are forwarded as they are.
    let value = HeaderValue::from_bytes(&[0xfa, 0xfb]).expect("opaque bytes are allowed");
    let mut head = parts("/a/", &[("host", "h")]);
    head.headers.insert("id", value.clone());
    let read = request::read(&head, &names()).expect("a good head");
    assert_eq!(read.id, value);
}

#[test]
fn the_shortest_objective_of_a_service_is_found_over_all_its_routes() {
    let route = |service: &str, objective| plan::Route {
        name: service.into(),
        host: "h.example".into(),
        prefix: format!("/{objective}/"),
        kind: plan::Kind::Stream,
        timeout: ms(1_000),
        objective: ms(objective),
        attempts: 2,
        shares: smallvec![plan::Share {
            service: service.into(),
            weight: 1,
        }],
        anonymous: false,
    };
    let routes = vec![route("a", 600), route("a", 300), route("b", 900)];
    let plan = plan::Plan::new(1, routes);
    assert_eq!(plan.shortest_objective("a"), Some(ms(300)));
    assert_eq!(plan.shortest_objective("b"), Some(ms(900)));
    assert_eq!(plan.shortest_objective("c"), None);
}

fn report(start: u64, number: u64) -> plan::Report {
    plan::Report { start, number }
}

fn server(id: &str, number: u64, leaving: bool) -> plan::Server {
    plan::Server {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        slots: 1,
        leaving,
        report: report(0, number),
    }
}

fn settings() -> state::Settings {
    state::Settings {
        instance: "e".into(),
        address: address(1),
        zone: "z".into(),
        repeat_ratio: 0.2,
        repeat_slack: 1.0,
        least_entries: 1,
        repeat_window: ms(10_000),
        sockets: 100,
        millicores: 0,
        grace: ms(1_000),
    }
}

/// An entry whose configuration has the service of [`server`].
fn entry(start: u64) -> state::Entry {
    let started = time::Instant::now();
    let log = line::open(started).expect("a thread");
    let entry = state::Entry::new(started, settings(), names(), log, start, Vec::new(), None);
    let mut plan = plan::Plan::new(1, Vec::new());
    let service = plan::Service {
        connections: 9,
        engine: false,
    };
    plan.services.insert("s".into(), service);
    entry.set_plan(plan);
    entry
}

#[test]
fn a_backend_server_that_another_entry_names_as_leaving_gets_nothing_new() {
    let (reader, other) = (entry(1), entry(2));
    let told = vec![server("a", 5, false), server("b", 5, false)];
    reader.take(plan::News::All(told.clone()));
    other.take(plan::News::All(told));
    assert!(reader.departing().is_empty());
    reader.take(plan::News::Listed(server("a", 6, true)));
    assert_eq!(reader.departing().len(), 1);
    let chosen = |entry: &state::Entry| {
        let job = place::Job {
            service: entry.service("s"),
            customer: entry.customer("c"),
            parts: smallvec![],
            cost: 1,
            due: ms(1_000),
            objective: ms(1_000),
            avoid: smallvec![],
        };
        let key = entry.fleet.borrow_mut().choose(&job)?;
        let backends = entry.backends.borrow();
        Some(backends.get(key)?.server.id.clone())
    };
    other.heard_departing(&reader.departing());
    assert_eq!(chosen(&other).as_deref(), Some("b"));
    // What was only heard is not told again: two entries would hold each other to it for good.
    assert!(other.departing().is_empty());
    assert!(other.servers().expect("a list").iter().all(|s| !s.leaving));
    // One that has gone without a word is named, too.
    reader.take(plan::News::Gone("b".into()));
    assert_eq!(reader.departing().len(), 2);
    other.heard_departing(&reader.departing());
    assert_eq!(chosen(&other), None);
    // It had only lapsed.
    reader.take(plan::News::Listed(server("b", 6, false)));
    assert_eq!(reader.departing().len(), 1);
}

fn started(id: &str, start: u64, number: u64) -> plan::Server {
    plan::Server {
        report: report(start, number),
        ..server(id, 0, false)
    }
}

// A backend server crashes and starts again under the id that it had, while its entry is told by the store,
// by another entry's list, and late by a link that held it up.
#[test]
fn a_backend_server_that_started_again_keeps_nothing_of_before() {
    let entry = entry(1);
    let now = ms(1_000);
    let key = || entry.server_by_hash(xxhash_rust::xxh3::xxh3_64(b"a"));
    let usable = |at| entry.health.borrow().state(now, at).usable();
    // Not the only ones: of few, none is put out of use.
    let others = (0..9).map(|n| started(&format!("other-{n}"), 100, 1));
    let all = others.chain([started("a", 100, 50)]).collect();
    entry.take(plan::News::All(all));
    let first = key().expect("it is listed");
    for _ in 0..9 {
        entry.judge_result(first, false, ms(0));
    }
    assert!(!usable(first));
    // Its reports count anew.
    entry.take(plan::News::Listed(started("a", 200, 1)));
    let second = key().expect("it is listed");
    assert_ne!(first, second);
    assert!(usable(second));
    assert!(entry.backends.borrow().get(first).is_none());
    // What the earlier start said arrives late.
    let late = plan::Server {
        leaving: true,
        ..started("a", 100, 60)
    };
    entry.take(plan::News::Listed(late.clone()));
    assert_eq!(key(), Some(second));
    entry.take(plan::News::Told(vec![late]));
    assert_eq!(key(), Some(second));
    assert!(entry.servers().expect("a list").iter().all(|s| !s.leaving));
    // Another entry tells of the next start first.
    entry.take(plan::News::Told(vec![started("a", 300, 1)]));
    assert_ne!(key(), Some(second));
}

#[test]
fn entries_that_know_different_starts_of_a_backend_server_differ() {
    let (one, other) = (entry(1), entry(2));
    one.take(plan::News::All(vec![started("a", 100, 7)]));
    other.take(plan::News::All(vec![started("a", 100, 9)]));
    assert_eq!(one.list_digest(), other.list_digest());
    other.take(plan::News::Listed(started("a", 200, 1)));
    assert_ne!(one.list_digest(), other.list_digest());
}

#[test]
fn an_unreadable_entry_takes_its_id_out_of_use_and_no_other() {
    let entry = entry(1);
    let listed = || {
        let servers = entry.servers().expect("a list");
        servers.into_iter().map(|s| s.id).collect::<Vec<_>>()
    };
    entry.take(plan::News::All(vec![
        server("a", 1, false),
        server("b", 1, false),
    ]));
    entry.take(plan::News::Unreadable("a".into()));
    assert_eq!(listed(), ["b"]);
    // One that lives writes a good entry again.
    entry.take(plan::News::Listed(server("a", 2, false)));
    assert_eq!(listed().len(), 2);
}

#[test]
fn an_entry_told_by_another_that_cannot_be_read_does_not_cost_the_others() {
    let good = serde_json::to_value(server("a", 1, false)).expect("JSON");
    let body = serde_json::json!([{"id": "b"}, good, 7, {"id": "c", "slots": "many"}]);
    let list = neighbour::list(body.to_string().as_bytes()).expect("a list");
    assert_eq!(list.servers, [server("a", 1, false)]);
    assert_eq!(list.unreadable.len(), 3);
    neighbour::list(b"{").unwrap_err();
}

#[test]
fn another_entrys_older_list_brings_nothing_back() {
    let started = time::Instant::now();
    let log = line::open(started).expect("a thread");
    let entry = state::Entry::new(started, settings(), names(), log, 1, Vec::new(), None);
    let known = || {
        let mut servers = entry.servers().expect("a list");
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers
            .into_iter()
            .map(|s| (s.id, s.leaving))
            .collect::<Vec<_>>()
    };
    let told = |servers: &[plan::Server]| entry.take(plan::News::Told(servers.to_vec()));
    told(&[server("a", 5, false), server("b", 5, false)]);
    entry.take(plan::News::Listed(server("a", 6, true)));
    entry.take(plan::News::Gone("b".into()));
    told(&[
        server("a", 5, false),
        server("b", 5, false),
        server("c", 1, false),
    ]);
    let expected = [("a".to_owned(), true), ("c".to_owned(), false)];
    assert_eq!(known(), expected);
    told(&[server("a", 7, true), server("b", 6, false)]);
    let expected = [("a".to_owned(), true), ("b".to_owned(), false)];
    assert_eq!(known(), expected);
}

/// An output that takes its time.
struct Slow {
    out: std::sync::Arc<std::sync::Mutex<Vec<u8>>>,
    time: time::Duration,
}

impl std::io::Write for Slow {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(self.time);
        self.out.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_written_before_the_end() {
    let out = std::sync::Arc::default();
    let slow = Slow {
        out: std::sync::Arc::clone(&out),
        time: ms(50),
    };
    let log = line::open_to(time::Instant::now(), slow).expect("a thread");
    log.line("stopped").with("cut", 0);
    log.close();
    let text = String::from_utf8(out.lock().expect("no panic").clone()).expect("text");
    assert!(text.ends_with("event=stopped cut=0\n"), "{text}");
}

#[test]
fn more_lines_than_allowed_are_counted_not_written() {
    let out = std::sync::Arc::default();
    let slow = Slow {
        out: std::sync::Arc::clone(&out),
        time: ms(0),
    };
    let log = line::open_to(time::Instant::now(), slow).expect("a thread");
    for n in 0..10_000 {
        log.line("flood").with("n", n);
    }
    log.close();
    let text = String::from_utf8(out.lock().expect("no panic").clone()).expect("text");
    let lines = text.lines().count();
    // Two seconds' worth, if the second changed meanwhile, and the line that counts the others.
    assert!(lines <= 4_001, "{lines}");
    assert!(text.contains("event=log_dropped"));
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

#[test]
fn a_process_that_is_late_allows_others_more_time() {
    let started = time::Instant::now();
    let log = line::open(started).expect("a thread");
    let entry = state::Entry::new(started, settings(), names(), log, 1, Vec::new(), None);
    assert_eq!(entry.slack(), ms(0));
    entry.fired_late(ms(500));
    assert_eq!(entry.slack(), ms(2_000));
    entry.fired_late(ms(60_000));
    assert_eq!(entry.slack(), ms(3_000));
    for _ in 0..60 {
        entry.fired_late(ms(0));
    }
    assert!(entry.slack() < ms(10), "{:?}", entry.slack());
}
