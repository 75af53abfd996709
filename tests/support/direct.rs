//! An entry without a network, for tests of its parts.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{net, rc, time};

use chivebend::direct::peer::link;
use chivebend::direct::{configuration, dialect, listing, logger, state};
use http::HeaderName;

/// Returns a duration in milliseconds.
pub fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// Returns short header names, one for each use.
pub fn dialect() -> dialect::Dialect {
    let name = HeaderName::from_static;
    dialect::Dialect {
        request_id: name("id"),
        deadline: name("wait"),
        api_key: name("key"),
        customer: name("customer"),
        expected_instance: name("expected"),
        instance: name("instance"),
        not_run: name("not-run"),
        leaving: name("leaving"),
        cold: name("cold"),
        report_path: "",
        report_start: |_| None,
        fetch: name("fetch-from"),
        last_event: name("last-event"),
        resumes: name("resumes"),
        usage: name("usage"),
        length_hint: name("hint"),
        prefix: name("prefix"),
        signature: name("signature"),
        needed: vec![name("model")],
        reserved: vec![name("pin")],
    }
}

/// Returns the address of the entry with this number.
pub fn address(last: u8) -> std::net::Ipv4Addr {
    std::net::Ipv4Addr::new(10, 0, 0, last)
}

/// Returns a report of a backend server.
pub fn report(start: u64, number: u64) -> listing::Report {
    listing::Report { start, number }
}

/// Returns a plain backend server of the service `s`.
pub fn server(id: &str, number: u64, leaving: bool) -> listing::Server {
    listing::Server {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        slots: 1,
        leaving,
        cold_ms: 0,
        version: Some("v1".into()),
        report: report(0, number),
        void: None,
    }
}

/// Returns the settings of an entry with address number 1 and a processor of 0 millicores.
pub fn settings() -> state::Settings {
    state::Settings {
        instance: "e".into(),
        address: address(1),
        zone: "z".into(),
        retry_ratio: 0.2,
        retry_allowance: 1.0,
        min_entries: 1,
        retry_window: ms(10_000),
        sockets: 100,
        memory: u64::MAX,
        millicores: 0,
        grace: ms(1_000),
        is_first_start: true,
        features: chivebend::decide::feature::Features::default(),
        min_outage: ms(2_400),
    }
}

/// Returns an entry whose configuration has the service of [`server`].
pub fn entry(start: u64) -> state::Entry {
    let entry = empty_entry(start);
    let mut configuration = configuration::Configuration::new(1, Vec::new());
    let service = configuration::Service {
        connections: 9,
        is_engine: false,
        cold_per_s: 0.0,
        ..configuration::Service::default()
    };
    configuration.services.insert("s".into(), service);
    entry.set_configuration(configuration);
    entry
}

/// Returns an entry without a configuration.
pub fn empty_entry(start: u64) -> state::Entry {
    let started = time::Instant::now();
    let log = logger::open(started).expect("a thread");
    state::Entry::new(started, settings(), dialect(), log, start, Vec::new(), None)
}

/// Returns an entry of the service `models` with these engines, which knows one peer. Datagrams
/// have this port at both.
pub async fn linked_entry(
    settings: state::Settings,
    peer: net::Ipv4Addr,
    port: u16,
    engines: Vec<listing::Server>,
) -> rc::Rc<state::Entry> {
    let started = time::Instant::now();
    let log = logger::open(started).expect("a thread");
    let place = link::Addresses {
        own: net::SocketAddrV4::new(settings.address, port),
        seeds: vec![peer],
    };
    let link = link::open(&place).await.expect("a socket");
    let seeds = vec![peer];
    let entry = state::Entry::new(started, settings, dialect(), log, 1, seeds, Some(link));
    let mut configuration = configuration::Configuration::new(1, Vec::new());
    let service = configuration::Service {
        connections: 100,
        is_engine: true,
        ..configuration::Service::default()
    };
    configuration.services.insert("models".into(), service);
    entry.set_configuration(configuration);
    entry.apply_update(listing::Update::All(engines));
    rc::Rc::new(entry)
}
