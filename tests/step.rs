//! What an entry that is out of step knows of backend servers and their versions.

use std::{collections, net, time};

use chivebend::decide::{binding, evacuation, spread};

const OWN: net::Ipv4Addr = net::Ipv4Addr::LOCALHOST;
const PEER: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 2);

const SERVICE: &str = "app";

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn holding(list: u64) -> spread::Holding {
    spread::Holding {
        position: evacuation::Position { era: 0, offset: 1 },
        list,
        configuration: 1,
    }
}

fn reading(reader: net::Ipv4Addr, sequence: u64, list: u64, at: u64) -> spread::Reading {
    spread::Reading {
        reader,
        incarnation: 7,
        sequence,
        holding: holding(list),
        at: ms(at),
        list_at: None,
        hops: 1,
        era: None,
    }
}

struct Case {
    name: &'static str,
    // Reader, digest of its list, and milliseconds at which the store answered it.
    readings: &'static [(net::Ipv4Addr, u64, u64)],
    // Whether this entry's list, with digest 1, is current at 10 s.
    is_current: bool,
}

// Guards against a list that counts as current because others read the store, though they hold another one:
// an entry that stood still hears of their readings before it has their list.
#[test]
fn a_list_is_current_only_by_readings_that_agree_with_it() {
    let cases = [
        Case {
            name: "none",
            readings: &[],
            is_current: false,
        },
        Case {
            name: "one that agrees",
            readings: &[(PEER, 1, 9_000)],
            is_current: true,
        },
        Case {
            name: "one that differs",
            readings: &[(PEER, 2, 9_000)],
            is_current: false,
        },
        Case {
            name: "one that agrees and a newer one that differs",
            readings: &[(PEER, 1, 8_000), (PEER, 2, 9_000)],
            is_current: true,
        },
        Case {
            name: "an old one that agrees and a new one that differs",
            readings: &[(PEER, 1, 5_000), (PEER, 2, 9_000)],
            is_current: false,
        },
        Case {
            name: "an old one of its own",
            readings: &[(OWN, 1, 5_000), (PEER, 2, 9_000)],
            is_current: false,
        },
    ];
    for case in &cases {
        let mut spread = spread::Spread::default();
        for (n, (reader, list, at)) in case.readings.iter().enumerate() {
            if *reader == OWN {
                spread.add_own_reading(OWN, 7, holding(*list), ms(*at));
            } else {
                spread.on_reading(reading(*reader, n as u64, *list, *at), holding(1));
            }
        }
        let is_current = binding::is_current(ms(10_000), spread.last_answer());
        assert_eq!(is_current, case.is_current, "{}", case.name);
    }
}

fn read(offset: u64) -> binding::Position {
    binding::Position { era: 0, offset }
}

fn statement(offset: u64, at: u64, version: Option<binding::Version>) -> binding::Statement {
    let service = binding::service_hash(SERVICE);
    let singles: collections::BTreeMap<_, _> = version.map(|v| (service, v)).into_iter().collect();
    binding::Statement {
        read: read(offset),
        at: ms(at),
        singles,
        uptime: ms(at),
    }
}

// Guards against an entry that takes a version for the only one that streams began at, since a reader that
// stood still repeats what another reader has taken back meanwhile.
#[test]
fn a_reader_that_stood_still_does_not_bring_back_a_statement() {
    let (v1, v2) = (
        binding::Version::new(SERVICE, Some("v1")),
        binding::Version::new(SERVICE, Some("v2")),
    );
    let service = binding::service_hash(SERVICE);
    // It wrote the record at 1 s, stood still from 2 s to 9 s, and reads the store no more for it.
    let mut reader = binding::Registry::new(binding::FirstStart::No);
    reader.history.add(SERVICE, v1);
    reader.stored.on_written(binding::Change {
        service,
        version: Some(v1),
    });
    let stale = reader.stored.statement(ms(9_000), read(1), &reader.history);
    // Another one deleted the record at 5 s. An entry hears of that before it has the list.
    let mut entry = binding::Registry::new(binding::FirstStart::Confirmed(ms(0)));
    entry.history.add(SERVICE, v1);
    entry.on_statement(statement(1, 1_000, Some(v1)));
    entry.on_statement(statement(2, 8_900, None));
    entry.on_statement(stale);
    entry.history.add(SERVICE, v2);
    let stream = binding::Stream::new("c", b"a");
    let service = binding::Service::new(SERVICE, ms(4_000));
    let reply = entry.reply(ms(9_100), stream, service, true);
    assert_eq!(reply.only, None, "streams have begun at both versions");
    assert!(reply.is_mixed);
}
