//! Datagrams with odd values from an entry's peer.

#[path = "support/direct.rs"]
mod support;

use std::sync::atomic;
use std::{net, rc, time};

use chivebend::direct::peer::{
    self, binding_message, case_message, message, report_message, update,
};
use chivebend::direct::{listing, state};
use prost::Message as _;
use tokio::task;

const OWN: net::Ipv4Addr = net::Ipv4Addr::new(127, 6, 90, 1);
const PEER: net::Ipv4Addr = net::Ipv4Addr::new(127, 6, 90, 2);

/// Time for an entry to read a datagram and act on it.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(30);

fn engine() -> listing::Server {
    listing::Server {
        service: "models".into(),
        report: support::report(100, 1),
        ..support::server("engine", 1, false)
    }
}

// Returns datagrams with this value in every number, and with this fraction.
fn datagrams(n: u64, fraction: f32) -> [(&'static str, message::Datagram); 5] {
    [
        ("update", update(n)),
        ("heartbeat", heartbeat(n, fraction)),
        ("placement", placement(n, fraction)),
        ("cases and bindings", cases_and_bindings(n, fraction)),
        ("others", others(n)),
    ]
}

fn engine_hash() -> u64 {
    xxhash_rust::xxh3::xxh3_64(b"engine")
}

fn update(n: u64) -> message::Datagram {
    let small = n as u32;
    let holding = update::Holding {
        position: Some(update::Position { era: n, offset: n }),
        list: n,
        configuration: n,
        has_versions: true,
    };
    let reading = update::Reading {
        reader: PEER.to_bits(),
        incarnation: n,
        sequence: n,
        holding: Some(holding),
        age_ms: small,
        hops: small,
        list_age_ms: Some(small),
        era: Some(n),
    };
    let change = |id: &str, address: &str| update::Change {
        id: id.into(),
        start: n,
        number: n,
        listed: Some(update::Listed {
            service: "models".into(),
            address: address.into(),
            slots: small,
            cold_ms: small,
            ..update::Listed::default()
        }),
    };
    message::Datagram {
        update: Some(update::Update {
            reading: Some(reading),
            holding: Some(holding),
            changes: vec![
                change("engine", "127.0.0.1:1"),
                change("other", "127.0.0.1:99999"),
                change(&"k".repeat(1_000), ""),
            ],
            wants_reply: true,
            known_addresses: vec![small],
            changed_at: Some(update::Position { era: n, offset: n }),
            first_start_ms: Some(small),
            statement: Some(update::Statement {
                read: Some(update::Position { era: n, offset: n }),
                age_ms: small,
                services: vec![n; 3],
                versions: vec![n],
                uptime_ms: small,
            }),
        }),
        ..message::Datagram::default()
    }
}

fn heartbeat(n: u64, fraction: f32) -> message::Datagram {
    let small = n as u32;
    let load = message::Load {
        server: engine_hash(),
        running: small,
        unread_tokens: small,
        least_service: Some(fraction),
        queued_tokens: small,
        tokens_per_s: small,
        weight_step: small as i32,
    };
    message::Datagram {
        heartbeat: Some(message::Heartbeat {
            sequence: n,
            loads: vec![load; 3],
            customers: vec![n; 3],
            service: vec![small],
            demand: vec![small; 2],
            entries: n,
            entry_count: small,
            known_addresses: vec![small],
            configuration_version: n,
            store_age_ms: small,
            millicores: small,
            busy_ago_ms: Some(small),
            rate: small,
            departing_servers: vec![n],
            era: n,
            answer_age_ms: Some(small),
            known_age_ms: Some(small),
            ..message::Heartbeat::default()
        }),
        ..message::Datagram::default()
    }
}

fn placement(n: u64, fraction: f32) -> message::Datagram {
    let (small, signed) = (n as u32, n as i64);
    message::Datagram {
        placement_request: Some(message::PlacementRequest {
            number: n,
            server: engine_hash(),
            customer: "c".into(),
            chains: vec![n],
            tokens: vec![small; 2],
            cost: n,
            due_ms: signed,
            objective_ms: small,
            deadline_ms: small,
            suspect: vec![n],
        }),
        placement_reply: Some(message::PlacementReply {
            number: n,
            decision: small as i32,
            ms: small,
            code: small,
            tokens: fraction,
            ahead_ms: fraction,
            tokens_per_s: small,
            weight_step: small as i32,
            ..message::PlacementReply::default()
        }),
        progress: vec![message::Progress {
            number: n,
            step: small as i32,
        }],
        ..message::Datagram::default()
    }
}

fn cases_and_bindings(n: u64, fraction: f32) -> message::Datagram {
    let small = n as u32;
    let case = case_message::Case {
        customer: n,
        content: n,
        crashes: vec![case_message::Crash {
            server: n,
            ago_ms: small,
            alone: true,
            chance: fraction,
            request: n,
        }],
        quarantined_ms: Some(small),
        seen_ms: small,
        unexplained_ms: vec![small],
        companions: vec![n],
        ..case_message::Case::default()
    };
    let binding = binding_message::Record {
        customer: n,
        id: n,
        version: n,
        age_ms: small,
    };
    message::Datagram {
        cases: vec![case.clone()],
        part_reports: vec![case],
        bindings: vec![binding],
        unwritten_bindings: vec![binding],
        binding_request: Some(binding_message::Request {
            number: n,
            customer: n,
            id: n,
            service: n,
            lifetime_ms: small,
        }),
        ..message::Datagram::default()
    }
}

fn others(n: u64) -> message::Datagram {
    let small = n as u32;
    message::Datagram {
        leaving: vec![n],
        evacuations: vec![message::Evacuation {
            zone: "\u{0}".into(),
            era: n,
            offset: n,
            is_evacuated: true,
        }],
        inspections: vec![message::Inspection {
            server: engine_hash(),
            ended: false,
            start: n,
            cold_ms: Some(small),
        }],
        probe: Some(message::Probe { target: small }),
        liveness: vec![message::Liveness {
            address: small,
            incarnation: n,
            is_suspect: true,
            age_ms: small,
            suspicion: small,
        }],
        report: Some(report_message::Report {
            scope: small as i32,
            groups: small,
            group: small,
            customers: vec![n],
            service: vec![small],
            demand: vec![small],
        }),
        ..message::Datagram::default()
    }
}

// Guards against a datagram that ends an entry, or ends that it reads those of its peers.
#[tokio::test(flavor = "current_thread")]
async fn odd_datagrams_end_nothing() {
    let tasks = task::LocalSet::new();
    tasks.run_until(Box::pin(send_all())).await;
}

async fn send_all() {
    let socket = net::UdpSocket::bind((PEER, 0)).expect("a socket");
    let port = socket.local_addr().expect("an address").port();
    let settings = state::Settings {
        address: OWN,
        ..support::settings()
    };
    let entry = support::linked_entry(settings, PEER, port, vec![engine()]).await;
    let reading = task::spawn_local(peer::run(rc::Rc::clone(&entry)));
    let numbers = [0, 1, u32::MAX.into(), i64::MAX as u64, 1 << 63, u64::MAX];
    let fractions = [0.0, -1.0, f32::MAX, f32::INFINITY, f32::NAN];
    let send = async |bytes: &[u8]| {
        let sent = socket.send_to(bytes, (OWN, port));
        sent.expect("it is read");
        tokio::time::sleep(SETTLE_TIME).await;
    };
    for number in numbers {
        for fraction in fractions {
            for (name, datagram) in datagrams(number, fraction) {
                let datagram = message::Datagram {
                    sender: number,
                    address: PEER.to_bits(),
                    ..datagram
                };
                let bytes = datagram.encode_to_vec();
                send(&bytes).await;
                send(&bytes[..bytes.len() - 1]).await;
                entry.refresh();
                assert!(!reading.is_finished(), "{name} {number} {fraction}");
            }
        }
    }
    // A message within itself.
    for depth in [90, 10_000] {
        send(&[0x1b].repeat(depth)).await;
        send(&[0x5a, 0x7f].repeat(depth)).await;
    }
    let update = update::Update {
        changes: vec![update::Change::from(&listing::Change::Listed(
            support::server("new", 1, false),
        ))],
        ..update::Update::default()
    };
    let datagram = message::Datagram {
        sender: 1,
        address: PEER.to_bits(),
        update: Some(update),
        ..message::Datagram::default()
    };
    send(&datagram.encode_to_vec()).await;
    let servers = entry.servers().expect("a list");
    assert!(servers.iter().any(|server| server.id == "new"));
}

/// Interval in which the true reader's updates arrive, and time in which they go on after a false datagram.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(250);
const READS_AFTER: usize = 24;

/// Age of the last reading from which an entry doesn't know the store's era: a reading that is in force for
/// good is as old as the reads that follow.
const MAX_READING_AGE: time::Duration = time::Duration::from_secs(3);

/// Service of which the store names the only version until the false datagram, in its statement.
const SERVICE: u64 = 7;

/// Offset up to which the true reader has read at first.
const OFFSET: u64 = 20;

/// Number of the next pair of addresses.
static NETS: atomic::AtomicU8 = atomic::AtomicU8::new(0);

fn position(era: u64, offset: u64) -> update::Position {
    update::Position { era, offset }
}

// Returns the update of a true reader of a store in era 1.
fn true_update(sequence: u64, statement_offset: u64, is_single: bool) -> update::Update {
    let holding = update::Holding {
        position: Some(position(1, OFFSET)),
        list: 5,
        configuration: 1,
        has_versions: true,
    };
    let services = if is_single { vec![SERVICE] } else { Vec::new() };
    update::Update {
        reading: Some(update::Reading {
            reader: PEER.to_bits(),
            incarnation: 1,
            sequence,
            holding: Some(holding),
            age_ms: 0,
            hops: 0,
            list_age_ms: Some(0),
            era: Some(1),
        }),
        holding: Some(holding),
        statement: Some(update::Statement {
            read: Some(position(1, statement_offset)),
            versions: vec![9; services.len()],
            services,
            ..update::Statement::default()
        }),
        ..update::Update::default()
    }
}

fn evacuation(at: update::Position, is_evacuated: bool) -> message::Datagram {
    message::Datagram {
        evacuations: vec![message::Evacuation {
            zone: "z".into(),
            era: at.era,
            offset: at.offset,
            is_evacuated,
        }],
        ..message::Datagram::default()
    }
}

fn with_update(update: update::Update) -> message::Datagram {
    message::Datagram {
        update: Some(update),
        ..message::Datagram::default()
    }
}

struct Case {
    name: &'static str,
    datagram: message::Datagram,
}

// Guards against one datagram with an era or a number too large that makes all later ones of its kind
// count as late, for as long as the entry runs.
#[tokio::test(flavor = "current_thread")]
async fn a_false_datagram_affects_nothing_for_good() {
    let base = || true_update(0, 0, true);
    let reading = |edit: fn(&mut update::Reading)| {
        let mut update = base();
        update.statement = None;
        update.reading.as_mut().map(edit).expect("a reading");
        with_update(update)
    };
    let statement = |at| {
        let mut update = base();
        update.reading = None;
        update.statement.as_mut().expect("one").read = Some(at);
        with_update(update)
    };
    let cases = [
        Case {
            name: "era of an answer",
            datagram: reading(|r| r.era = Some(u64::MAX)),
        },
        Case {
            name: "the next era of an answer",
            datagram: reading(|r| r.era = Some(2)),
        },
        Case {
            name: "number of a reading",
            datagram: reading(|r| r.sequence = u64::MAX),
        },
        Case {
            name: "position of a list",
            datagram: reading(|r| {
                let holding = r.holding.as_mut().expect("one");
                holding.position = Some(position(u64::MAX, u64::MAX));
            }),
        },
        Case {
            name: "era of a statement",
            datagram: statement(position(u64::MAX, u64::MAX)),
        },
        Case {
            name: "next era of a statement",
            datagram: statement(position(2, 0)),
        },
        Case {
            name: "era of an evacuation",
            datagram: evacuation(position(u64::MAX, u64::MAX), true),
        },
        Case {
            name: "next era of an evacuation",
            datagram: evacuation(position(2, 0), true),
        },
        Case {
            name: "heartbeat",
            datagram: heartbeat(u64::MAX, 0.0),
        },
    ];
    check_all(&cases).await;
}

// Guards against one datagram with an offset too large in the store's true era that makes all later ones of
// its kind count as late.
#[tokio::test(flavor = "current_thread")]
async fn a_false_offset_affects_nothing_for_good() {
    let mut list = true_update(0, 0, true);
    list.statement = None;
    let holding = list.reading.as_mut().and_then(|r| r.holding.as_mut());
    holding.expect("one").position = Some(position(1, u64::MAX));
    let mut statement = true_update(0, u64::MAX, true);
    statement.reading = None;
    let cases = [
        Case {
            name: "offset of a list",
            datagram: with_update(list),
        },
        Case {
            name: "offset of a statement",
            datagram: with_update(statement),
        },
        Case {
            name: "offset of an evacuation",
            datagram: evacuation(position(1, u64::MAX), true),
        },
    ];
    check_all(&cases).await;
}

async fn check_all(cases: &[Case]) {
    let tasks = task::LocalSet::new();
    // At an entry that knows the store's era, and at one that has just started.
    let check = |(n, case): (usize, &Case)| {
        [12, 0].map(|reads| {
            let net = NETS.fetch_add(1, atomic::Ordering::SeqCst);
            let check = check_datagram(case.name, net, case.datagram.clone(), reads);
            (n, reads, tasks.spawn_local(check))
        })
    };
    let checks: Vec<_> = cases.iter().enumerate().flat_map(check).collect();
    let failed = tasks.run_until(async {
        let mut failed = Vec::new();
        for (n, reads, check) in checks {
            if let Err(err) = check.await {
                failed.push(format!("{} after {reads} reads: {err}", cases[n].name));
            }
        }
        failed
    });
    let failed = failed.await;
    assert!(failed.is_empty(), "{failed:#?}");
}

// Returns the datagram with this digest of the list, with which the entry's agrees.
fn with_list(mut datagram: message::Datagram, list: u64) -> message::Datagram {
    let reading = datagram.update.as_mut().and_then(|u| u.reading.as_mut());
    if let Some(holding) = reading.and_then(|r| r.holding.as_mut()) {
        holding.list = list;
    }
    datagram
}

async fn check_datagram(name: &str, net: u8, datagram: message::Datagram, reads_before: usize) {
    let own = net::Ipv4Addr::new(127, 6, 91, 2 * net + 1);
    let peer = net::Ipv4Addr::new(127, 6, 91, 2 * net + 2);
    let socket = net::UdpSocket::bind((peer, 0)).expect("a socket");
    let port = socket.local_addr().expect("an address").port();
    let settings = state::Settings {
        address: own,
        ..support::settings()
    };
    let entry = support::linked_entry(settings, peer, port, vec![engine()]).await;
    task::spawn_local(peer::run(rc::Rc::clone(&entry)));
    let send = async |datagram: message::Datagram| {
        let datagram = message::Datagram {
            sender: 1,
            address: peer.to_bits(),
            ..datagram
        };
        let bytes = datagram.encode_to_vec();
        socket.send_to(&bytes, (own, port)).expect("it is sent");
        tokio::time::sleep(READ_INTERVAL).await;
        entry.refresh();
    };
    let mut sequence = 0;
    let mut read = async |offset, is_single| {
        sequence += 1;
        send(with_update(true_update(sequence, offset, is_single))).await;
    };
    send(evacuation(position(1, 1), false)).await;
    for _ in 0..reads_before {
        read(OFFSET, true).await;
    }
    send(with_list(datagram, entry.holding().list)).await;
    // The service has several versions since, and the zone is evacuated and returned.
    for _ in 0..READS_AFTER {
        read(OFFSET + 1, false).await;
    }
    send(evacuation(position(1, 8), true)).await;
    assert!(entry.evacuations().contains("z evacuated"), "{name}");
    send(evacuation(position(1, 9), false)).await;
    assert!(entry.evacuations().contains("z returned"), "{name}");
    let bindings = entry.bindings.borrow();
    let statement = bindings.history.joins.statement().expect("one");
    assert!(statement.singles.is_empty(), "{name}: {statement:?}");
    let spread = entry.spread.borrow();
    let confirmed = spread.confirmed_position();
    assert!(
        confirmed.era <= 1 && confirmed.offset < u64::MAX,
        "{name}: {confirmed}"
    );
    assert_eq!(entry.store_era(), Some(1), "{name}");
    let newest = spread.newest_reading().expect("a reading");
    assert!(
        newest.sequence < u64::MAX,
        "{name}: number {}",
        newest.sequence
    );
    let age = entry.now().saturating_sub(newest.at);
    assert!(age < MAX_READING_AGE, "{name}: {age:?}");
}
