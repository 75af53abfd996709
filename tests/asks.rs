//! Placement requests to a peer from an entry that is behind with its own work.
//!
//! Guards against taking a peer for silent while its reply stands unread in the socket. A customer
//! whose callers came through two entries with little processor time asked for 11.7 million tokens
//! in six seconds and got 3.3, while another got 8.3. The two entries were 90 to 340 ms behind and
//! took eight peers for silent, one after the other, for half a second each. The replies had come
//! after a few milliseconds, but at each time-out the entry had last read what peers sent before
//! its request. It then kept its requests in a queue of its own, for engines whose slots the
//! deciding entries went on to give to others, and half of them waited in vain.

#[path = "support/direct.rs"]
mod support;

use std::sync::mpsc;
use std::{net, rc, thread, time};

use chivebend::decide::place;
use chivebend::direct::peer::{self, message, placement};
use chivebend::direct::{configuration, listing, request, state};
use prost::Message as _;
use smallvec::SmallVec;
use tokio::task;

const OWN: net::Ipv4Addr = net::Ipv4Addr::LOCALHOST;
const DECIDER: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 2);

/// Time for which the entry is busy: longer than it waits for a reply and for a queued request.
const STALL: time::Duration = time::Duration::from_millis(400);

/// Datagrams of peers that come before the reply: more than a task reads in one go.
const HEARTBEATS: usize = 200;

fn settings() -> state::Settings {
    state::Settings {
        address: OWN,
        ..support::settings()
    }
}

fn datagram(reply: Option<message::PlacementReply>) -> Vec<u8> {
    let datagram = message::Datagram {
        sender: 2,
        address: DECIDER.to_bits(),
        placement_reply: reply,
        ..message::Datagram::default()
    };
    datagram.encode_to_vec()
}

// Runs the deciding entry: it replies to the first request at once with these decisions, behind the
// heartbeats of peers, and then signals that it has replied.
fn spawn_decider(
    socket: net::UdpSocket,
    decisions: &'static [message::Decision],
) -> mpsc::Receiver<()> {
    let (replied, reply_signal) = mpsc::channel();
    thread::spawn(move || {
        let mut buffer = [0; 4_096];
        let (from, request) = loop {
            let (len, from) = socket.recv_from(&mut buffer).expect("a socket");
            let datagram = message::Datagram::decode(&buffer[..len]).expect("a datagram");
            if let Some(request) = datagram.placement_request {
                break (from, request);
            }
        };
        for _ in 0..HEARTBEATS {
            socket.send_to(&datagram(None), from).expect("a heartbeat");
        }
        for decision in decisions {
            let reply = message::PlacementReply {
                number: request.number,
                decision: (*decision).into(),
                ms: 100,
                ..message::PlacementReply::default()
            };
            let sent = socket.send_to(&datagram(Some(reply)), from);
            sent.expect("a reply");
        }
        replied.send(()).expect("the test waits");
    });
    reply_signal
}

fn engine() -> listing::Server {
    listing::Server {
        id: "engine-1".into(),
        service: "models".into(),
        address: net::SocketAddr::from((DECIDER, 9)),
        zone: "zone-b".into(),
        slots: 64,
        leaving: false,
        cold_ms: 0,
        version: None,
        report: listing::Report {
            start: 1,
            number: 1,
        },
        void: None,
    }
}

async fn entry(port: u16) -> rc::Rc<state::Entry> {
    support::linked_entry(settings(), DECIDER, port, vec![engine()]).await
}

fn request(entry: &state::Entry) -> request::Request {
    let builder = http::Request::builder().method("POST").uri("/a/b");
    let req = builder.header("host", "h").header("id", "1").body(());
    let (parts, ()) = req.expect("a request").into_parts();
    let route = configuration::Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/a/".into(),
        kind: configuration::RouteKind::ResumableStream,
        timeout: time::Duration::from_secs(10),
        objective: time::Duration::from_millis(600),
        attempts: 2,
        shares: SmallVec::new(),
        is_anonymous: false,
    };
    let now = entry.now();
    request::Request {
        fingerprint: std::cell::OnceCell::new(),
        head: request::read(&parts, &entry.dialect).expect("a head"),
        body: bytes::Bytes::new(),
        route: rc::Rc::new(route),
        service: "models".into(),
        customer: Some("customer".into()),
        received: now,
        deadline: now + time::Duration::from_secs(10),
    }
}

fn job(entry: &state::Entry) -> place::Job {
    let objective = time::Duration::from_millis(600);
    place::Job {
        service: entry.service("models"),
        customer: entry.customer("customer"),
        parts: SmallVec::new(),
        cost: 1_000,
        due: entry.now() + objective,
        objective,
        excluded: SmallVec::new(),
        suspect: None,
        version: None,
        is_resumable: false,
    }
}

// Requests a placement; the thread is then blocked until long after the replies have come.
async fn request_while_stalled(decisions: &'static [message::Decision]) -> placement::Outcome {
    let socket = net::UdpSocket::bind((DECIDER, 0)).expect("a socket");
    let port = socket.local_addr().expect("an address").port();
    let entry = entry(port).await;
    let replied = spawn_decider(socket, decisions);
    task::spawn_local(peer::run(rc::Rc::clone(&entry)));
    task::yield_now().await;
    let asking = task::spawn_local(async move {
        let (req, job) = (request(&entry), job(&entry));
        let server = entry.fleet.borrow_mut().choose(&job).expect("an engine");
        placement::request(&entry, DECIDER, server, &req, &job).await
    });
    task::spawn_local(async move {
        replied.recv().expect("replies");
        thread::sleep(STALL);
    });
    asking.await.expect("an outcome")
}

#[tokio::test(flavor = "current_thread")]
async fn stalled_entry_reads_received_replies_before_its_own_decision() {
    struct Case {
        name: &'static str,
        decisions: &'static [message::Decision],
    }
    let cases = [
        Case {
            name: "a slot at once",
            decisions: &[message::Decision::Go],
        },
        Case {
            name: "a slot after a wait",
            decisions: &[message::Decision::Wait, message::Decision::Go],
        },
    ];
    for case in cases {
        let tasks = task::LocalSet::new();
        let outcome = tasks.run_until(request_while_stalled(case.decisions)).await;
        let granted = matches!(outcome, placement::Outcome::Granted(_));
        assert!(granted, "{}: {outcome:?}", case.name);
    }
}
