//! Who exchanges sums of customers' service with whom, and that each sum counts once.

#[path = "support/direct.rs"]
mod support;

use std::{collections, net, thread, time};

use chivebend::decide::{aggregate, recent};
use chivebend::direct::peer::{message, report};
use chivebend::direct::state;
use support::ms;

fn address(n: usize) -> net::Ipv4Addr {
    net::Ipv4Addr::from_bits(0x0a00_0001 + n as u32)
}

#[test]
fn each_decider_gets_the_sum_of_each_group_once() {
    for count in [1, 2, 3, 5, 20, 60, 61, 120, 240, 500] {
        let deciders: Vec<_> = (0..count).map(address).collect();
        let positions: Vec<_> = deciders
            .iter()
            .map(|own| aggregate::position(*own, &deciders))
            .collect();
        let mut groups = vec![collections::BTreeSet::new(); count];
        for (own, position) in deciders.iter().zip(&positions) {
            assert!(!position.members.contains(own));
            let receivers = position.counterparts.iter();
            for at in receivers.filter_map(|to| deciders.binary_search(to).ok()) {
                assert_ne!(positions[at].group, position.group);
                assert!(groups[at].insert(position.group), "{count} deciders");
            }
        }
        let used: collections::BTreeSet<_> = positions.iter().map(|p| p.group).collect();
        for (known, position) in groups.iter().zip(&positions) {
            assert_eq!(known.len(), used.len() - 1, "{count} deciders");
            let members = positions
                .iter()
                .filter(|p| p.group == position.group)
                .count()
                - 1;
            assert_eq!(position.members.len(), members, "{count} deciders");
        }
    }
}

#[test]
fn the_number_of_partners_grows_with_the_square_root_of_the_deciders() {
    let busiest = |count: usize| {
        let deciders: Vec<_> = (0..count).map(address).collect();
        let positions = deciders
            .iter()
            .map(|own| aggregate::position(*own, &deciders));
        let partners = positions.map(|p| p.members.len() + p.counterparts.len());
        partners.max().expect("deciders") as f64
    };
    assert!(busiest(240) / busiest(60) < 2.5);
    assert!(busiest(960) / busiest(60) < 5.0);
}

#[test]
fn few_entries_change_their_parent_when_a_decider_leaves() {
    let deciders: Vec<_> = (0..60).map(address).collect();
    let changed = (100..400).map(address).filter(|own| {
        let before = aggregate::parent(*own, &deciders);
        before != aggregate::parent(*own, &deciders[1..]) && before != Some(deciders[0])
    });
    assert_eq!(changed.count(), 0);
}

/// Number of entries, and of those of them that decide.
const ENTRIES: usize = 132;
const DECIDERS: usize = 22;

const ZONES: usize = 6;

/// Service of the customer by each decider, and demand at each entry.
const SERVICE: f64 = 1_600.0;
const DEMAND: f64 = 160_000.0;

/// Relative difference by which a sum may deviate: amounts are rounded, and decay on the way.
const TOLERANCE: f64 = 0.02;

fn heartbeat(n: usize, sends_reports: bool) -> message::Heartbeat {
    message::Heartbeat {
        sequence: 1,
        millicores: if n < DECIDERS { 1_000 } else { 90 },
        zone: 1 + (n % ZONES) as u64,
        answers_probes: true,
        sends_updates: true,
        sends_reports,
        ..message::Heartbeat::default()
    }
}

// Entries that have heard a heartbeat of every other one; the first `former` send no reports.
fn fleet(former: usize) -> Vec<state::Entry> {
    let started = time::Instant::now();
    let entry = |n: usize| {
        let settings = state::Settings {
            address: address(n),
            millicores: heartbeat(n, true).millicores,
            ..support::settings()
        };
        let log = chivebend::direct::logger::open(started).expect("a thread");
        let dialect = support::dialect();
        let entry = state::Entry::new(started, settings, dialect, log, n as u64, Vec::new(), None);
        for other in (0..ENTRIES).filter(|other| *other != n) {
            let heartbeat = heartbeat(other, other >= former);
            let mut peers = entry.peers.borrow_mut();
            peers.on_heartbeat(ms(0), other as u64, address(other), &heartbeat);
        }
        entry
    };
    (0..ENTRIES).map(entry).collect()
}

// Returns the number of reports that were exchanged.
fn exchange(entries: &[state::Entry]) -> usize {
    let mut sent = 0;
    // Children first, so that each round goes all the way.
    for (n, entry) in entries.iter().enumerate().rev() {
        for outgoing in report::take_due(entry) {
            for to in &outgoing.to {
                let to = (to.to_bits() - address(0).to_bits()) as usize;
                report::on_report(&entries[to], n as u64, address(n), &outgoing.report);
                sent += 1;
            }
        }
    }
    sent
}

fn sums(entry: &state::Entry) -> (f64, f64) {
    let (now, customer) = (entry.now(), entry.customer("c"));
    let fleet = entry.fleet.borrow();
    (
        fleet.service().fleet_service(now, customer),
        fleet.demand().fleet_service(now, customer),
    )
}

#[test]
fn all_entries_learn_the_sums_over_the_fleet() {
    let entries = fleet(0);
    // A first round, after which parents know their children.
    exchange(&entries);
    for (n, entry) in entries.iter().enumerate() {
        let (now, customer) = (entry.now(), entry.customer("c"));
        let mut fleet = entry.fleet.borrow_mut();
        if n < DECIDERS {
            fleet.service_mut().add(now, customer, SERVICE);
        }
        fleet.demand_mut().add(now, customer, DEMAND);
    }
    let added = time::Instant::now();
    for _ in 0..4 {
        thread::sleep(aggregate::CHILD_INTERVAL);
        assert!(exchange(&entries) > 0);
    }
    let passed = added.elapsed().as_secs_f64();
    let left = (-passed / recent::DECAY_TIME.as_secs_f64()).exp();
    for (n, entry) in entries.iter().enumerate() {
        let (service, demand) = sums(entry);
        let ratios = (
            service / (DECIDERS as f64 * SERVICE * left),
            demand / (ENTRIES as f64 * DEMAND * left),
        );
        let is_close = |ratio: f64| (ratio - 1.0).abs() < TOLERANCE;
        assert!(is_close(ratios.0) && is_close(ratios.1), "{n}: {ratios:?}");
    }
}

#[test]
fn no_reports_are_sent_beside_an_entry_of_an_earlier_version() {
    // The first one stands for the process of the earlier version.
    assert_eq!(exchange(&fleet(1)[1..]), 0);
}
