//! Loads that peers report, with values that no entry sends.

#[path = "support/direct.rs"]
mod support;

#[path = "support/engines.rs"]
mod engines;

use std::{net, time};

use chivebend::decide::{binding, place};
use chivebend::direct::peer::{loads, message};
use chivebend::direct::{configuration, listing, state};

fn job(chain: u64) -> place::Job {
    engines::job(engines::customers(1)[0], &[(chain, 100)], 0)
}

// Returns an entry whose backend servers are engines, and which learns their speeds.
fn learning_entry() -> state::Entry {
    let entry = support::empty_entry(1);
    entry.fleet.borrow_mut().set_features(engines::LEARNED);
    let mut configuration = configuration::Configuration::new(1, Vec::new());
    let service = configuration::Service {
        connections: 9,
        is_engine: true,
        ..configuration::Service::default()
    };
    configuration.services.insert("s".into(), service);
    entry.set_configuration(configuration);
    entry
}

#[test]
fn loads_of_any_size_are_summed() {
    let report = |running| message::Load {
        server: 1,
        running,
        unread_tokens: u32::MAX,
        tokens_per_s: u32::MAX,
        weight_step: i32::MIN,
        queued_tokens: u32::MAX,
        least_service: Some(f32::NAN),
    };
    let mut loads = loads::Loads::default();
    for n in 1..=3 {
        let entry = net::Ipv4Addr::new(10, 0, 0, n);
        loads.replace(entry, &[], &[report(u32::MAX)]);
    }
    let sum = loads.sum(1);
    assert_eq!(sum.in_flight, u32::MAX);
    let mut fleet = place::Fleet::new(1);
    let info = place::ServerInfo {
        id: "engine",
        service: 0,
        slots: u32::MAX,
        is_engine: false,
        is_near: true,
        version: binding::Version::default(),
        is_version_known: true,
    };
    let at = fleet.add(time::Duration::ZERO, info);
    fleet.set_peer_load(at, sum);
    let verdict = fleet.place_at(time::Duration::ZERO, 1, &job(1), at);
    assert!(
        !matches!(verdict, place::Verdict::Refuse(..)),
        "{verdict:?}"
    );
}

// Peers report the speed of the earlier process until they know that it has ended.
#[test]
fn a_restarted_engine_is_unknown_whatever_peers_report() {
    let entry = learning_entry();
    let engine = |start| listing::Server {
        report: support::report(start, 1),
        ..support::server("engine", 1, false)
    };
    let report = |n: u64| {
        let (at, _) = entry.server_hashes()[0];
        let mut fleet = entry.fleet.borrow_mut();
        let load = place::Load {
            tokens_per_ms: 10.0,
            weight_step: -3,
            ..place::Load::default()
        };
        fleet.on_speed_report(entry.now(), at, load);
        let explanation = fleet.explain(entry.now(), &job(n), |_| false);
        explanation.candidates[0].terms.home_weight
    };
    entry.apply_update(listing::Update::All(vec![engine(1)]));
    assert_eq!(report(1), Some(0.125));
    entry.apply_update(listing::Update::All(vec![engine(2)]));
    assert_eq!(report(2), Some(1.0));
}
