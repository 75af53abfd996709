//! What an entry does with updates of its peers, and beside peers that send none.

#[path = "support/direct.rs"]
mod support;

use chivebend::decide::spread::{self, target};
use chivebend::decide::{evacuation, random};
use chivebend::direct::peer::{message, update};
use chivebend::direct::{content, listing, parts, roster, state};
use prost::Message as _;

fn position(offset: u64) -> evacuation::Position {
    evacuation::Position { era: 0, offset }
}

/// Returns an update of a peer that has read these changes up to `offset`, after which its list has
/// this digest.
fn update(offset: u64, list: u64, changes: &[listing::Change]) -> update::Update {
    let holding = spread::Holding {
        position: position(offset),
        list,
        configuration: 1,
    };
    update::Update {
        holding: Some(holding.into()),
        changes: changes.iter().map(update::Change::from).collect(),
        changed_at: Some(position(offset).into()),
        ..update::Update::default()
    }
}

fn listed(entry: &state::Entry) -> Vec<(String, u64, bool)> {
    let servers = entry.servers().expect("a list");
    let fields = |s: listing::Server| (s.id, s.report.number, s.leaving);
    let mut servers: Vec<_> = servers.into_iter().map(fields).collect();
    servers.sort();
    servers
}

#[test]
fn changes_of_a_peer_are_applied_in_any_order() {
    let entry = support::entry(1);
    entry.apply_update(listing::Update::All(vec![
        support::server("a", 5, false),
        support::server("b", 5, false),
    ]));
    let leaving = listing::Change::Listed(support::server("a", 6, true));
    let gone = listing::Change::Gone("b".into(), support::report(0, 7));
    let late = listing::Change::Listed(support::server("b", 6, false));
    let peer = support::address(2);
    entry.on_update(peer, &update(9, 0, &[gone.clone(), leaving.clone()]));
    assert_eq!(listed(&entry), [("a".to_owned(), 6, true)]);
    entry.on_update(peer, &update(8, 0, std::slice::from_ref(&late)));
    assert_eq!(listed(&entry), [("a".to_owned(), 6, true)], "it is gone");
    let back = listing::Change::Listed(support::server("b", 8, false));
    entry.on_update(peer, &update(10, 0, std::slice::from_ref(&back)));
    entry.on_update(peer, &update(9, 0, &[gone]));
    assert_eq!(listed(&entry).len(), 2, "its report is newer");
}

#[test]
fn removal_that_arrives_before_the_list_entry_keeps_it_out() {
    let entry = support::entry(1);
    entry.apply_update(listing::Update::All(vec![]));
    let gone = listing::Change::Gone("a".into(), support::report(0, 7));
    let late = listing::Change::Listed(support::server("a", 7, false));
    entry.on_update(support::address(2), &update(9, 0, &[gone]));
    entry.on_update(support::address(2), &update(8, 0, &[late]));
    assert!(listed(&entry).is_empty());
}

#[test]
fn list_entry_that_peers_took_for_outdated_is_announced_with_its_next_report() {
    let mut roster = roster::Roster::default();
    let mut apply = |update| roster.apply(support::ms(0), update);
    apply(listing::Update::All(vec![support::server("a", 5, false)]));
    apply(listing::Update::Gone("a".into()));
    apply(listing::Update::Listed(support::server("a", 5, false)));
    let next = support::server("a", 6, false);
    let effect = apply(listing::Update::Listed(next.clone()));
    let change = listing::Change::Listed(next);
    assert_eq!(effect, roster::Effect::Changed(vec![change]));
    let effect = apply(listing::Update::Listed(support::server("a", 7, false)));
    assert!(matches!(effect, roster::Effect::Reported(_)));
}

// Load pattern: hundreds of entries that started at once ask few for thousands of list entries.
#[test]
fn complete_list_is_encoded_once_until_it_changes() {
    let mut roster = roster::Roster::default();
    let now = support::ms(0);
    roster.apply(
        now,
        listing::Update::All(vec![support::server("a", 5, false)]),
    );
    let mut encoded = 0;
    let mut encode = |roster: &mut roster::Roster| {
        let list = roster.encoded(|roster| {
            encoded += 1;
            Some(format!("{}", roster.servers().count()).into())
        });
        list.expect("a list").plain().clone()
    };
    assert_eq!(encode(&mut roster), "1");
    assert_eq!(encode(&mut roster), "1");
    roster.apply(now, listing::Update::Listed(support::server("b", 1, false)));
    assert_eq!(encode(&mut roster), "2");
    assert_eq!(encoded, 2);
}

// A store that is restored from an older copy lists it again.
#[test]
fn list_entry_that_a_complete_read_lacks_stays_out_of_a_restored_list() {
    let mut roster = roster::Roster::default();
    let now = support::ms(0);
    let [gone, stays] = ["a", "b"].map(|id| support::server(id, 5, false));
    roster.apply(now, listing::Update::All(vec![gone.clone(), stays.clone()]));
    roster.apply(now, listing::Update::All(vec![stays.clone()]));
    roster.apply(now, listing::Update::Restored(gone.clone()));
    roster.apply(now, listing::Update::FromPeer(vec![gone, stays]));
    assert!(roster.get("a").is_none());
    let newer = support::server("a", 6, false);
    roster.apply(now, listing::Update::Restored(newer));
    assert!(roster.get("a").is_some(), "it reports again");
}

// Load pattern: as above, at entries so slow that encoding the list takes longer than peers wait.
#[test]
fn complete_list_of_a_peer_is_forwarded_as_it_was_received() {
    let mut roster = roster::Roster::default();
    let now = support::ms(0);
    let servers = vec![support::server("a", 5, false)];
    let received = content::Content::from(bytes::Bytes::from_static(b"as received"));
    roster.keep_encoded(0, received.clone());
    roster.apply(now, listing::Update::FromPeer(servers));
    let digest = roster.digest(parts::Version::Second);
    roster.keep_encoded(digest + 1, received.clone());
    let other = roster.encoded(|_| Some(bytes::Bytes::from_static(b"own")));
    assert_eq!(other.expect("a list").plain(), "own", "another list's form");
    roster.keep_encoded(digest, received);
    let encode = |roster: &mut roster::Roster| {
        let list = roster.encoded(|_| Some(bytes::Bytes::from_static(b"own")));
        list.expect("a list").plain().clone()
    };
    assert_eq!(encode(&mut roster), "as received");
    roster.apply(now, listing::Update::Listed(support::server("b", 1, false)));
    assert_eq!(encode(&mut roster), "own", "the list has changed");
}

#[test]
fn changes_to_an_incomplete_list_wait_for_the_list() {
    let entry = support::entry(1);
    let new = listing::Change::Listed(support::server("a", 1, false));
    entry.on_update(support::address(2), &update(9, 7, &[new]));
    assert_eq!(entry.servers(), None);
    let fetch = entry.next_fetch().expect("the peer has the list");
    assert_eq!(
        (fetch.peer, fetch.topic),
        (support::address(2), spread::Topic::Backends)
    );
}

#[test]
fn list_is_fetched_from_a_peer_that_is_ahead_and_differs() {
    struct Case {
        name: &'static str,
        offset: u64,
        differs: bool,
        fetches: bool,
    }
    let cases = [
        Case {
            name: "ahead",
            offset: 20,
            differs: true,
            fetches: true,
        },
        Case {
            name: "ahead with the same list",
            offset: 20,
            differs: false,
            fetches: false,
        },
        Case {
            name: "behind",
            offset: 10,
            differs: true,
            fetches: false,
        },
    ];
    for case in cases {
        let mut spread = spread::Spread::default();
        spread.advance(position(15));
        let own = spread::Holding {
            position: position(15),
            list: 1,
            configuration: 1,
        };
        let theirs = spread::Holding {
            position: position(case.offset),
            list: 1 + u64::from(case.differs),
            configuration: 1,
        };
        spread.on_holding(support::ms(0), (support::address(2), true), theirs, own);
        let mut rng = random::Random::new(1);
        // The changes may still arrive one by one.
        let early = spread.next_fetch(support::ms(1), own, &mut rng);
        assert_eq!(early, None, "{}", case.name);
        let fetch = spread.next_fetch(support::ms(500), own, &mut rng);
        assert_eq!(fetch.is_some(), case.fetches, "{}", case.name);
    }
}

#[test]
fn list_older_than_applied_changes_is_not_fetched() {
    let mut spread = spread::Spread::default();
    let own = spread::Holding {
        list: 1,
        configuration: 1,
        ..spread::Holding::default()
    };
    let theirs = |offset| spread::Holding {
        position: position(offset),
        list: 2,
        configuration: 1,
    };
    let mut rng = random::Random::new(1);
    spread.on_changes(position(30));
    spread.on_holding(support::ms(0), (support::address(2), true), theirs(20), own);
    assert_eq!(spread.next_fetch(support::ms(500), own, &mut rng), None);
    spread.on_holding(
        support::ms(500),
        (support::address(3), true),
        theirs(40),
        own,
    );
    let fetch = spread.next_fetch(support::ms(1_000), own, &mut rng);
    assert_eq!(fetch.map(|f| f.peer), Some(support::address(3)));
}

#[test]
fn lists_that_stay_different_are_not_fetched_again() {
    let mut spread = spread::Spread::default();
    let own = spread::Holding {
        list: 1,
        configuration: 1,
        ..spread::Holding::default()
    };
    let theirs = |offset| spread::Holding {
        position: position(offset),
        list: 2,
        configuration: 1,
    };
    let mut rng = random::Random::new(1);
    let peer = support::address(2);
    spread.on_holding(support::ms(0), (peer, true), theirs(20), own);
    let fetch = spread.next_fetch(support::ms(500), own, &mut rng);
    spread.on_fetched(support::ms(500), &fetch.expect("a fetch"), own.list);
    spread.on_holding(support::ms(900), (peer, true), theirs(30), own);
    assert_eq!(spread.next_fetch(support::ms(1_900), own, &mut rng), None);
    // Peers must not take it for the store's list.
    assert_eq!(spread.confirmed_position(), position(0));
}

#[test]
fn peer_that_refuses_a_transfer_is_avoided_for_a_while() {
    let mut spread = spread::Spread::default();
    let own = spread::Holding::default();
    let theirs = spread::Holding {
        configuration: 2,
        ..own
    };
    let mut rng = random::Random::new(1);
    for last in [2, 3] {
        spread.on_holding(support::ms(0), (support::address(last), true), theirs, own);
    }
    let mut asked = Vec::new();
    while let Some(fetch) = spread.next_fetch(support::ms(1), own, &mut rng) {
        asked.push(fetch.peer);
        spread.on_fetch_failed(support::ms(1), fetch.peer);
    }
    asked.sort();
    assert_eq!(asked, [support::address(2), support::address(3)]);
    assert!(
        spread
            .next_fetch(support::ms(1_100), own, &mut rng)
            .is_some()
    );
}

#[test]
fn readings_of_a_restarted_reader_replace_those_of_its_earlier_incarnation() {
    let mut spread = spread::Spread::default();
    let reading = |incarnation, sequence, at| spread::Reading {
        list_at: None,
        reader: support::address(2),
        incarnation,
        sequence,
        holding: spread::Holding::default(),
        at: support::ms(at),
        hops: 0,
        era: None,
    };
    let own = spread::Holding::default();
    let mut is_new =
        |incarnation, sequence, at| spread.on_reading(reading(incarnation, sequence, at), own);
    assert!(is_new(1, 7, 1_000));
    assert!(!is_new(1, 7, 1_000), "known");
    assert!(!is_new(1, 6, 1_000), "older");
    assert!(is_new(2, 1, 2_000), "restarted");
    assert!(!is_new(1, 8, 1_500), "delayed");
    assert_eq!(
        spread
            .fresh_readers(support::ms(2_500), 4)
            .collect::<Vec<_>>(),
        [support::address(2)]
    );
    assert_eq!(spread.fresh_readers(support::ms(4_500), 4).count(), 0);
}

#[test]
fn sample_of_peers_has_no_peer_twice() {
    let peers: Vec<_> = (1..=9).map(support::address).collect();
    let mut rng = random::Random::new(1);
    for count in [1, 4, 9, 20] {
        for _ in 0..100 {
            let mut targets = target::sample(&peers, count, &mut rng).to_vec();
            targets.sort();
            targets.dedup();
            assert_eq!(targets.len(), count.min(9));
        }
    }
}

#[test]
fn digest_covers_every_field_that_entries_act_on() {
    let server = support::server("a", 5, false);
    let digest = |changed: &listing::Server| parts::entry_hash(parts::Version::Second, changed);
    let changed = [
        listing::Server {
            zone: "other".into(),
            ..server.clone()
        },
        listing::Server {
            slots: 2,
            ..server.clone()
        },
        listing::Server {
            leaving: true,
            ..server.clone()
        },
        listing::Server {
            service: "other".into(),
            ..server.clone()
        },
    ];
    for changed in &changed {
        assert_ne!(digest(changed), digest(&server), "{changed:?}");
    }
    // Entries of an earlier version compare digests without the zone.
    let first = |server| parts::entry_hash(parts::Version::First, server);
    assert_eq!(first(&changed[0]), first(&server));
}

#[test]
fn zone_of_a_running_backend_server_that_changes_spreads() {
    let entry = support::entry(1);
    entry.apply_update(listing::Update::All(vec![support::server("a", 5, false)]));
    let moved = listing::Server {
        zone: "other".into(),
        ..support::server("a", 6, false)
    };
    let change = listing::Change::Listed(moved);
    entry.on_update(support::address(2), &update(9, 0, &[change]));
    let zone = entry.servers().expect("a list").remove(0).zone;
    assert_eq!(zone, "other");
}

// During a roll some entries know only heartbeats.
#[test]
fn peers_that_send_no_updates_are_followed_by_their_heartbeats() {
    let newer = |sends_updates| {
        let entry = support::entry(1);
        entry.apply_update(listing::Update::All(vec![support::server("a", 5, false)]));
        let heartbeat = message::Heartbeat {
            sequence: 1,
            list_digest: 77,
            sends_updates,
            ..message::Heartbeat::default()
        };
        let mut peers = entry.peers.borrow_mut();
        peers.on_heartbeat(entry.now(), 2, support::address(2), &heartbeat);
        drop(peers);
        entry.newer_at_peers().to_vec()
    };
    assert_eq!(
        newer(false),
        [(support::address(2), spread::Topic::Backends)]
    );
    assert_eq!(newer(true), []);
    // They skip the fields that they don't know, and their datagrams lack them.
    let datagram = message::Datagram {
        sender: 1,
        update: Some(update(1, 2, &[])),
        ..message::Datagram::default()
    };
    let earlier = message::Datagram {
        update: None,
        ..datagram.clone()
    };
    let decoded = message::Datagram::decode(&*earlier.encode_to_vec()).expect("a datagram");
    assert_eq!(decoded, earlier);
    let decoded = message::Datagram::decode(&*datagram.encode_to_vec()).expect("a datagram");
    assert_eq!(decoded, datagram);
}
