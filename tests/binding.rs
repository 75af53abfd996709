//! Versions that streams are bound to, without a network.

#[path = "support/direct.rs"]
mod direct;

use std::{collections, net, time};

use chivebend::decide::binding::{
    self, FirstStart, List, Record, Reply, Resolution, Stream, Version,
};
use chivebend::decide::{place, spread};
use chivebend::direct::peer::update;
use chivebend::direct::{listing, parts, roster};
use smallvec::{SmallVec, smallvec};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn version(name: &str) -> Version {
    Version::new("s", Some(name))
}

fn record(customer: u64, id: u64, name: &str, at: u64) -> Record {
    Record {
        stream: Stream { customer, id },
        version: version(name),
        at: ms(at),
    }
}

// Guards against a stream that is bound by what another customer's request names.
#[test]
fn records_belong_to_a_customer() {
    let mut table = binding::Table::default();
    let own = Stream::new("one", b"attempt");
    table.add(Record {
        stream: own,
        ..record(0, 0, "v1", 0)
    });
    assert_eq!(table.get(own), Some(version("v1")));
    assert_eq!(table.get(Stream::new("two", b"attempt")), None);
}

// Guards against records without bound, and against a customer that evicts another one's.
#[test]
fn a_customer_with_many_streams_evicts_its_own_records() {
    let mut table = binding::Table::default();
    table.add(record(1, 7, "v1", 0));
    for id in 0..100_000 {
        table.add(record(2, id, "v1", id));
    }
    assert!(table.len() <= 4_097, "{} records", table.len());
    assert_eq!(
        table.get(Stream { customer: 1, id: 7 }),
        Some(version("v1"))
    );
    assert_eq!(table.get(Stream { customer: 2, id: 0 }), None);
    assert!(
        table
            .get(Stream {
                customer: 2,
                id: 99_999
            })
            .is_some()
    );
    for customer in 3..100_000 {
        table.add(record(customer, 1, "v1", 0));
    }
    assert!(table.len() <= 32_768, "{} records", table.len());
    table.sweep(ms(1_000_000));
    assert!(table.is_empty());
}

#[test]
fn a_record_that_is_added_again_is_kept_as_long_as_the_last() {
    let mut table = binding::Table::default();
    table.add(record(1, 1, "v1", 0));
    table.add(record(1, 1, "v1", 30_000));
    table.sweep(ms(70_000));
    assert_eq!(
        table.get(Stream { customer: 1, id: 1 }),
        Some(version("v1"))
    );
    table.sweep(ms(90_000));
    assert_eq!(table.get(Stream { customer: 1, id: 1 }), None);
}

// Guards against entries that ask others than those to which the record was sent.
#[test]
fn the_entries_that_are_asked_include_a_holder_after_one_change() {
    let all: Vec<_> = (1..=40).map(|n| net::Ipv4Addr::new(10, 0, 0, n)).collect();
    for n in 0..200_u64 {
        let stream = Stream::new("c", &n.to_be_bytes());
        let sender = all[n as usize % all.len()];
        let others = |not: net::Ipv4Addr| all.iter().copied().filter(move |a| *a != not);
        let holders = stream.holders(others(sender), binding::HOLDERS);
        assert_eq!(holders.len(), binding::HOLDERS);
        for asker in &all {
            let asked = stream.holders(others(*asker), binding::ASKED);
            let known = holders.contains(asker) || holders.iter().all(|h| asked.contains(h));
            assert!(known, "stream {n} taken up at {asker}");
            // The first holder is gone.
            let left = others(*asker).filter(|a| *a != holders[0]);
            let asked = stream.holders(left, binding::ASKED);
            assert!(holders[1] == *asker || asked.contains(&holders[1]));
        }
    }
}

#[test]
fn history_knows_of_versions_that_are_gone() {
    let service = binding::service_hash("s");
    let mut history = binding::History::new(FirstStart::Confirmed(ms(0)));
    history.add("s", version("v1"));
    history.add("s", version("v1"));
    history.remove(ms(1_000), "s", version("v1"));
    assert_eq!(
        history.view(ms(9_000), service, ms(8_000)).only(),
        Some(version("v1"))
    );
    history.add("s", version("v2"));
    assert_eq!(history.view(ms(9_000), service, ms(8_000)).only(), None);
    history.remove(ms(10_000), "s", version("v1"));
    assert_eq!(history.view(ms(17_999), service, ms(8_000)).only(), None);
    assert_eq!(
        history.view(ms(18_000), service, ms(8_000)).only(),
        Some(version("v2"))
    );
    let mut restarted = binding::History::new(FirstStart::No);
    restarted.add("s", version("v2"));
    assert_eq!(restarted.view(ms(7_999), service, ms(8_000)).only(), None);
    assert!(
        restarted
            .view(ms(8_000), service, ms(8_000))
            .only()
            .is_some()
    );
}

// Guards against a later start of the fleet that is taken for its first one, after which no version
// that served before would count.
#[test]
fn a_first_start_is_confirmed_by_the_store_or_by_a_peer_that_ran_before() {
    for (era, end, expected) in [
        (None, 0, true),
        (Some(0), 0, true),
        (None, 1, false),
        (Some(1), 0, false),
    ] {
        let found = binding::may_be_first_start(era, end);
        assert_eq!(found, expected, "era {era:?}, {end} records");
    }
    let service = binding::service_hash("s");
    let claimed = FirstStart::Claimed;
    for (start, confirmed_at, expected) in [
        (claimed, Some(ms(900)), true),
        // Its settings are of the first start, but a peer confirmed that before this process started.
        (claimed, None, false),
        (FirstStart::No, Some(ms(900)), false),
    ] {
        let mut history = binding::History::new(start);
        history.add("s", version("v1"));
        assert!(!history.view(ms(900), service, ms(8_000)).is_complete);
        assert_eq!(history.confirm_first_start(confirmed_at), expected);
        let view = history.view(ms(1_000), service, ms(8_000));
        assert_eq!(view.is_complete, expected, "{start:?}, {confirmed_at:?}");
    }
}

// Guards against records that wait for a write without bound or out of order, and against batches that
// fill the store.
#[test]
fn batches_of_records_take_turns_in_few_places() {
    let mut journal = binding::Journal::default();
    assert_eq!(journal.take(), None);
    let mut places = collections::HashSet::new();
    for n in 0..1_000 {
        journal.add(record(1, n, "v1", n));
        places.insert(journal.take().expect("a batch").place);
    }
    assert_eq!(places.len(), 64);
    for n in 0..100_000 {
        journal.add(record(1, n, "v1", n));
    }
    let first = journal.take().expect("a batch");
    let ids: Vec<_> = first.records.iter().map(|r| r.stream.id).collect();
    assert!(ids.is_sorted() && ids[0] > 0, "the oldest are dropped");
    journal.put_back(first);
    let again = journal.take().expect("a batch");
    let again: Vec<_> = again.records.iter().map(|r| r.stream.id).collect();
    assert_eq!(again, ids);
}

// Guards against records of streams in services of one version, which need none, and against ones of
// two versions that stay with their entry.
#[test]
fn only_streams_of_several_versions_are_written() {
    let service = binding::Service::new("s", ms(4_000));
    let mut bindings = binding::Registry::new(FirstStart::Confirmed(ms(0)));
    bindings.history.add("s", version("v1"));
    assert!(!bindings.begin(record(1, 1, "v1", 100), service, true));
    assert_eq!(bindings.take_due(ms(200), true), []);
    assert_eq!(bindings.take_unwritten(), []);
    bindings.history.add("s", version("v2"));
    assert_eq!(bindings.take_due(ms(300), true).len(), 1);
    assert!(bindings.begin(record(1, 2, "v2", 400), service, true));
    let unwritten: Vec<_> = bindings
        .take_unwritten()
        .iter()
        .map(|r| r.stream.id)
        .collect();
    assert_eq!(unwritten, [1, 2]);
    assert_eq!(bindings.take_unwritten(), []);
}

fn peer(n: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, n)
}

struct PeerChange {
    versions: &'static [&'static str],
    before: &'static [u8],
    after: &'static [u8],
    // Number of records that are due, of one stream at each version.
    due: usize,
}

impl PeerChange {
    fn check(&self) {
        let name = format!("{:?} {:?} {:?}", self.versions, self.before, self.after);
        let service = binding::Service::new("s", ms(4_000));
        let mut bindings = binding::Registry::new(FirstStart::Confirmed(ms(0)));
        bindings.set_peers(self.before.iter().map(|n| peer(*n)));
        for version_name in self.versions {
            bindings.history.add("s", version(version_name));
        }
        for (id, version_name) in self.versions.iter().enumerate() {
            bindings.begin(record(1, id as u64, version_name, 100), service, true);
        }
        assert_eq!(bindings.take_due(ms(200), true), [], "{name}");
        bindings.set_peers(self.after.iter().map(|n| peer(*n)));
        let due = bindings.take_due(ms(300), true);
        assert_eq!(due.len(), self.due, "{name}");
        assert!(due.is_sorted_by_key(|r| std::cmp::Reverse(r.stream.id)));
        assert_eq!(bindings.take_due(ms(400), true), [], "{name}");
    }
}

// Guards against a stream that its entry alone knows since no peer was in reach when it began, or none that
// has its record is any more, and against datagrams in services of one version or where nothing changed.
#[test]
fn records_are_sent_again_if_other_peers_keep_them() {
    let change = |versions, before, after, due| PeerChange {
        versions,
        before,
        after,
        due,
    };
    let both: &[&str] = &["v1", "v2"];
    for case in [
        change(both, &[], &[1], 2),
        change(both, &[], &[1, 2, 3, 4], 2),
        change(both, &[1], &[1, 2], 2),
        change(both, &[1, 2], &[3, 4], 2),
        change(both, &[1, 2, 3], &[3, 2, 1], 0),
        change(both, &[1, 2], &[1], 0),
        change(&["v1"], &[], &[1, 2, 3, 4], 0),
        change(&["v1"], &[1, 2], &[3, 4], 0),
    ] {
        case.check();
    }
}

// Guards against a burst of records when one entry of many leaves or joins.
#[test]
fn only_records_that_a_changed_peer_keeps_are_sent_again() {
    let service = binding::Service::new("s", ms(4_000));
    let peers = |count: u32| (0..count).map(|n| net::Ipv4Addr::from_bits(0x0a00_0000 + n));
    for count in [4, 30, 360, 1_440] {
        let mut bindings = binding::Registry::new(FirstStart::Confirmed(ms(0)));
        bindings.set_peers(peers(count));
        for name in ["v1", "v2"] {
            bindings.history.add("s", version(name));
        }
        let records: Vec<_> = (0..4_000).map(|id| record(id % 9, id, "v1", 100)).collect();
        for record in &records {
            bindings.begin(*record, service, true);
        }
        let last = peers(count).next_back().expect("an address");
        let is_kept_there = |r: &&Record| {
            let holders = r.stream.holders(peers(count), binding::HOLDERS);
            holders.contains(&last)
        };
        let expected = records.iter().filter(is_kept_there).count();
        for alive in [count - 1, count] {
            bindings.set_peers(peers(alive));
            let mut due = 0;
            for step in 0..9 {
                let records = bindings.take_due(ms(500 + step * 250), true);
                assert!(records.len() <= 256, "{count}: {}", records.len());
                due += records.len();
            }
            println!("{count} entries, {alive} alive: {due} of {}", records.len());
            assert_eq!(due, expected, "{count} entries, {alive} alive");
        }
    }
}

struct Case {
    name: &'static str,
    // Versions that this entry listed, and whether it has watched for long.
    listed: &'static [&'static str],
    is_complete: bool,
    list: List,
    // Record, only version, and whether there are several versions.
    replies: &'static [(&'static str, &'static str, bool)],
    // True if an entry is silent or out of reach.
    is_partial: bool,
    expected: Resolution,
}

impl Case {
    fn resolve(&self) -> Resolution {
        let named = |name: &str| (!name.is_empty()).then(|| version(name));
        let view = binding::View {
            versions: self.listed.iter().map(|name| version(name)).collect(),
            is_complete: self.is_complete,
            is_joined: false,
        };
        let reply = |(record, only, is_mixed): &(&str, &str, bool)| Reply {
            version: named(record),
            only: named(only),
            is_mixed: *is_mixed,
        };
        let replies = binding::Replies {
            received: self.replies.iter().map(reply).collect(),
            is_partial: self.is_partial,
        };
        binding::resolve(&view, self.list, &replies)
    }
}

// Guards against streams that go on though nothing shows which version began them.
#[test]
fn a_stream_goes_on_only_at_a_known_version() {
    let case = |name, listed, (is_complete, list), replies, expected: Option<&str>| Case {
        name,
        listed,
        is_complete,
        list,
        replies,
        is_partial: false,
        expected: expected.map_or(Resolution::Unknown, |name| {
            Resolution::Version(version(name))
        }),
    };
    let cases = [
        case(
            "a peer has a record",
            &["v1", "v2"],
            (true, List::Recent),
            &[("", "", true), ("v2", "", true)],
            Some("v2"),
        ),
        case(
            "a record, though this entry is cut off",
            &["v1"],
            (false, List::Old),
            &[("v1", "", false)],
            Some("v1"),
        ),
        case(
            "no record and two versions",
            &["v1", "v2"],
            (true, List::Recent),
            &[("", "", true)],
            None,
        ),
        case(
            "no record and one version",
            &["v1"],
            (true, List::Recent),
            &[("", "v1", false)],
            Some("v1"),
        ),
        case(
            "one version and no peer",
            &["v1"],
            (true, List::Recent),
            &[],
            Some("v1"),
        ),
        case(
            "one version in an old list",
            &["v1"],
            (true, List::Old),
            &[],
            None,
        ),
        case(
            "a peer knows of a second version",
            &["v1"],
            (true, List::Recent),
            &[("", "", true)],
            None,
        ),
        case(
            "a peer knows another single version",
            &["v1"],
            (true, List::Recent),
            &[("", "v2", false)],
            None,
        ),
        case(
            "just started, alone",
            &["v1"],
            (false, List::Recent),
            &[],
            None,
        ),
        case(
            "just started, beside one that runs for long",
            &["v1"],
            (false, List::Recent),
            &[("", "v1", false)],
            Some("v1"),
        ),
        case(
            "all have just started",
            &["v1"],
            (false, List::Recent),
            &[("", "", false)],
            None,
        ),
        case("the list is empty", &[], (true, List::Recent), &[], None),
    ];
    for case in cases {
        assert_eq!(case.resolve(), case.expected, "{}", case.name);
    }
}

// Guards against an entry that is cut off and takes the silence of its peers for agreement with its
// own list, while they use a version that it doesn't know.
#[test]
fn silence_of_peers_is_not_agreement() {
    let case = |name, listed, (is_complete, list), replies, expected| Case {
        name,
        listed,
        is_complete,
        list,
        replies,
        is_partial: true,
        expected,
    };
    let known = |name| Resolution::Version(version(name));
    let cases = [
        case(
            "all are silent",
            &["v1"],
            (true, List::Recent),
            &[],
            Resolution::NeedsNewerList,
        ),
        case(
            "one of three is silent",
            &["v1"],
            (true, List::Recent),
            &[("", "v1", false), ("", "v1", false)],
            Resolution::NeedsNewerList,
        ),
        case(
            "just started, and only one peer replies",
            &["v1"],
            (false, List::Recent),
            &[("", "v1", false)],
            Resolution::NeedsNewerList,
        ),
        case(
            "one has the record",
            &["v1"],
            (true, List::Recent),
            &[("v1", "", false)],
            known("v1"),
        ),
        case(
            "the list is newer than the stream",
            &["v1"],
            (true, List::Newer),
            &[],
            known("v1"),
        ),
        case(
            "a newer list shows a second version",
            &["v1", "v2"],
            (true, List::Newer),
            &[],
            Resolution::Unknown,
        ),
        case(
            "just started, with a newer list",
            &["v1"],
            (false, List::Newer),
            &[],
            Resolution::Unknown,
        ),
        case(
            "no list can come",
            &["v1"],
            (true, List::Old),
            &[],
            Resolution::Unknown,
        ),
    ];
    for case in cases {
        assert_eq!(case.resolve(), case.expected, "{}", case.name);
    }
}

// Guards against a list that counts as newer than a stream because it arrived later.
#[test]
fn a_list_is_as_new_as_the_call_that_read_it() {
    let list = |complete_at: Option<u64>, last_answer: u64| {
        binding::List::new(
            ms(5_000),
            Some(ms(last_answer)),
            complete_at.map(ms),
            ms(4_000),
        )
    };
    assert_eq!(list(Some(4_000), 4_100), List::Newer);
    assert_eq!(list(Some(3_999), 4_100), List::Recent);
    assert_eq!(list(None, 4_100), List::Recent);
    assert_eq!(list(Some(1_900), 2_000), List::Old);
    let mut spread = spread::Spread::default();
    let holding = |list| spread::Holding {
        list,
        configuration: 1,
        ..spread::Holding::default()
    };
    let reading = |sequence, list, list_at| spread::Reading {
        reader: net::Ipv4Addr::LOCALHOST,
        incarnation: 1,
        sequence,
        holding: holding(list),
        at: ms(900),
        list_at: Some(ms(list_at)),
        hops: 1,
        era: None,
    };
    spread.on_reading(reading(1, 7, 800), holding(7));
    assert_eq!(spread.complete_at(), Some(ms(800)));
    // What it read hasn't arrived.
    spread.on_reading(reading(2, 8, 1_700), holding(7));
    assert_eq!(spread.complete_at(), Some(ms(800)));
    spread.on_reading(reading(3, 8, 2_600), holding(8));
    assert_eq!(spread.complete_at(), Some(ms(2_600)));
}

// Guards against a part of a fleet that goes on as if nothing were out of reach.
#[test]
fn a_quarter_out_of_reach_may_be_a_cut() {
    for (reached, unreachable, expected) in [
        (3, 0, false),
        (2, 1, true),
        (0, 3, true),
        (0, 0, false),
        (300, 1, false),
        (300, 99, false),
        (300, 100, true),
    ] {
        assert_eq!(
            binding::lacks_contact(reached, unreachable),
            expected,
            "{reached} and {unreachable}"
        );
    }
}

#[test]
fn versions_of_different_services_differ() {
    assert_ne!(Version::new("a", Some("v1")), Version::new("b", Some("v1")));
    assert_eq!(Version::new("a", None), Version::default());
}

fn job(version: Option<Version>, excluded: SmallVec<[chivebend::key::Sidecar; 2]>) -> place::Job {
    place::Job {
        service: 1,
        customer: chivebend::key::Customer::default(),
        parts: smallvec![
            place::Part {
                chain: 11,
                tokens: 100
            },
            place::Part {
                chain: 12,
                tokens: 50
            }
        ],
        cost: 100,
        due: ms(1_000),
        objective: ms(1_000),
        excluded,
        suspect: None,
        version,
        is_resumable: false,
    }
}

fn info<'a>(id: &'a str, is_engine: bool, name: &str) -> place::ServerInfo<'a> {
    place::ServerInfo {
        id,
        service: 1,
        slots: 4,
        is_engine,
        is_near: true,
        version: version(name),
        is_version_known: true,
    }
}

// Guards against a bound stream that is placed, refused elsewhere or fetches cached parts at another
// version.
#[test]
fn a_bound_request_stays_at_its_version() {
    for is_engine in [true, false] {
        let mut fleet = place::Fleet::new(1);
        let ids: Vec<String> = (0..12).map(|n| format!("i-{n}")).collect();
        let keys: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(n, id)| {
                let name = if n % 4 == 0 { "v1" } else { "v2" };
                fleet.add(ms(0), info(id, is_engine, name))
            })
            .collect();
        let bound = Some(version("v1"));
        let mut excluded = SmallVec::new();
        for _ in 0..3 {
            let chosen = fleet
                .choose(&job(bound, excluded.clone()))
                .expect("a server");
            let at = keys.iter().position(|key| *key == chosen).expect("a key");
            assert_eq!(at % 4, 0, "{}", ids[at]);
            excluded.push(chosen);
        }
        assert_eq!(fleet.choose(&job(bound, excluded.clone())), None);
        assert!(fleet.choose(&job(None, excluded.clone())).is_some());
        let first = smallvec![excluded[0]];
        let next = fleet
            .after_refusal(ms(1), &job(bound, first))
            .expect("another home");
        assert!(excluded[1..].contains(&next));
        assert!(fleet.has_version(1, version("v1")));
        for key in &excluded {
            fleet.set_state(ms(2), *key, place::State::Draining);
        }
        assert!(!fleet.has_version(1, version("v1")));
        fleet.set_version(keys[1], version("v1"));
        assert_eq!(fleet.choose(&job(bound, SmallVec::new())), Some(keys[1]));
    }
}

// Guards against engines that are told to fetch what another version has cached.
#[test]
fn cached_parts_are_fetched_from_the_same_version_only() {
    for (other, expected) in [("v1", true), ("v2", false)] {
        let mut fleet = place::Fleet::new(1);
        let ids: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for (n, id) in ids.iter().enumerate() {
            // Half of them join later, and become the homes of parts that the others have cached.
            let (at, name) = if n % 2 == 0 {
                (0, "v1")
            } else {
                (10_000, other)
            };
            fleet.add(ms(at), info(id, true, name));
        }
        let fetches = (0..20).any(|part| {
            let mut job = job(None, SmallVec::new());
            job.parts[0].chain = part;
            let home = fleet.choose(&job).expect("a home");
            let placed = fleet.place_at(ms(20_000), part, &job, home);
            matches!(placed, place::Verdict::Start(p) if p.fetch_source.is_some())
        });
        assert_eq!(fetches, expected, "{other}");
    }
}

// Guards against a list that loses versions to an entry of an earlier release, which doesn't send
// them, and against changes that such entries make others forward again and again.
#[test]
fn a_list_without_versions_removes_none() {
    let mut roster = roster::Roster::default();
    let known = direct::server("a", 1, false);
    let unversioned = listing::Server {
        version: None,
        ..direct::server("a", 1, false)
    };
    roster.apply(ms(0), listing::Update::All(vec![known.clone()]));
    let effect = roster.apply(ms(1), listing::Update::Listed(unversioned.clone()));
    assert!(matches!(effect, roster::Effect::Reported(_)), "{effect:?}");
    roster.apply(ms(2), listing::Update::FromPeer(vec![unversioned]));
    assert_eq!(roster.get("a").map(|s| &s.version), Some(&known.version));
    let digest = roster.digest(parts::Version::Second);
    assert_eq!(digest, parts::entry_hash(parts::Version::Second, &known));
}

// Guards against entries that never learn the versions of backend servers that were listed before
// the fleet was upgraded.
#[test]
fn an_entry_whose_list_lacks_versions_learns_them_from_a_peer() {
    let entry = direct::entry(1);
    let unversioned = listing::Server {
        version: None,
        ..direct::server("a", 1, false)
    };
    entry.apply_update(listing::Update::All(vec![unversioned]));
    assert!(entry.roster.borrow().lacks_versions());
    let holding = update::Holding {
        has_versions: true,
        ..update::Holding::default()
    };
    let update = update::Update {
        holding: Some(holding),
        ..update::Update::default()
    };
    entry.on_update(direct::address(2), &update);
    assert_eq!(entry.take_versions_peer(), Some(direct::address(2)));
    assert_eq!(entry.take_versions_peer(), None);
    let other = listing::Server {
        version: Some("v2".into()),
        report: direct::report(1, 1),
        ..direct::server("a", 1, false)
    };
    entry.apply_update(listing::Update::Versions(vec![other]));
    assert!(entry.roster.borrow().lacks_versions(), "another process");
    entry.apply_update(listing::Update::Versions(vec![direct::server(
        "a", 9, true,
    )]));
    assert!(!entry.roster.borrow().lacks_versions());
    let server = entry
        .roster
        .borrow()
        .get("a")
        .cloned()
        .expect("it is listed");
    assert!(!server.leaving, "only the version is taken");
    let key = entry
        .server_by_hash(xxhash_rust::xxh3::xxh3_64(b"a"))
        .expect("a key");
    assert_eq!(entry.version_of(key), Version::new("s", Some("v1")));
    let view = entry
        .bindings
        .borrow()
        .history
        .view(entry.now(), binding::service_hash("s"), ms(0));
    assert_eq!(view.versions[..], [Version::new("s", Some("v1"))]);
}
