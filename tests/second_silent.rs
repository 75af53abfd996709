//! A second home whose deciding entry doesn't reply: the request goes back to its home.

#[path = "support/direct.rs"]
mod support;

use std::{net, rc, time};

use chivebend::decide::{feature, place};
use chivebend::direct::peer::{self, message};
use chivebend::direct::{configuration, forward, listing, request, state};
use chivebend::key;
use smallvec::SmallVec;
use tokio::task;

const OWN: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 5);
const SILENT: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 6);

/// Long enough for the request to leave its home for certain, and to come back in time.
const OBJECTIVE: time::Duration = time::Duration::from_secs(6);

fn engine(n: u16) -> listing::Server {
    listing::Server {
        id: format!("engine-{n}"),
        service: "models".into(),
        address: net::SocketAddr::from((SILENT, 9)),
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

// Returns an entry that knows one peer, which never replies.
async fn entry() -> rc::Rc<state::Entry> {
    let silent = net::UdpSocket::bind((SILENT, 0)).expect("a socket");
    let port = silent.local_addr().expect("an address").port();
    let settings = state::Settings {
        address: OWN,
        features: feature::Features {
            second_homes: true,
            ..feature::Features::default()
        },
        ..support::settings()
    };
    let engines = (0..8).map(engine).collect();
    let entry = support::linked_entry(settings, SILENT, port, engines).await;
    let heartbeat = message::Heartbeat {
        sequence: 1,
        ..message::Heartbeat::default()
    };
    let now = entry.now();
    let mut peers = entry.peers.borrow_mut();
    peers.on_heartbeat(now, 2, SILENT, &heartbeat);
    drop(peers);
    entry
}

fn request(entry: &state::Entry, part: u64) -> request::Request {
    let builder = http::Request::builder().method("POST").uri("/a/b");
    let req = builder.header("host", "h").header("id", "1").body(());
    let (parts, ()) = req.expect("a request").into_parts();
    let route = configuration::Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/a/".into(),
        kind: configuration::RouteKind::Stream,
        timeout: OBJECTIVE,
        objective: OBJECTIVE,
        attempts: 1,
        shares: SmallVec::new(),
        is_anonymous: true,
    };
    let mut head = request::read(&parts, &entry.dialect).expect("a head");
    head.parts = [(part, 350), (part << 20, 1_000)]
        .map(|(chain, tokens)| place::Part { chain, tokens })
        .into_iter()
        .collect();
    let now = entry.now();
    request::Request {
        fingerprint: std::cell::OnceCell::new(),
        head,
        body: bytes::Bytes::new(),
        route: rc::Rc::new(route),
        service: "models".into(),
        customer: None,
        received: now,
        deadline: now + OBJECTIVE,
    }
}

fn job(entry: &state::Entry, req: &request::Request) -> place::Job {
    place::Job {
        service: entry.service("models"),
        customer: entry.customer(""),
        parts: req.head.parts.clone(),
        cost: 1_350,
        due: entry.now() + OBJECTIVE,
        objective: OBJECTIVE,
        excluded: SmallVec::new(),
        suspect: None,
        version: None,
        is_resumable: false,
    }
}

// Returns a request whose home this entry decides about and whose second one the peer does, with
// all other engines busy.
fn find(entry: &state::Entry) -> (request::Request, key::Sidecar) {
    let mut fleet = entry.fleet.borrow_mut();
    for part in 1..100 {
        let req = request(entry, part);
        let job = job(entry, &req);
        let home = fleet.choose(&job).expect("a home");
        for (at, _) in entry.server_hashes() {
            let busy = place::Load {
                unread_tokens: 45.0 * 3_000.0,
                ..place::Load::default()
            };
            let is_free = entry.remote_decider(at).is_some() && at != home;
            fleet.set_peer_load(
                at,
                if is_free {
                    place::Load::default()
                } else {
                    busy
                },
            );
        }
        let now = entry.now();
        fleet.set_load_age(entry.load_age());
        let offer = fleet.first_offer(now, &job).expect("an offer");
        if entry.remote_decider(home).is_none() && offer.reason.is_second() {
            return (req, home);
        }
    }
    panic!("no such part");
}

#[tokio::test(flavor = "current_thread")]
async fn request_goes_home_if_the_second_homes_decider_is_silent() {
    let tasks = task::LocalSet::new();
    tasks
        .run_until(async {
            let entry = entry().await;
            let (req, home) = find(&entry);
            task::spawn_local(peer::run(rc::Rc::clone(&entry)));
            let serving = task::spawn_local(forward::serve(rc::Rc::clone(&entry), req));
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            assert_eq!(entry.fleet.borrow().queued(), 0, "it asks the silent peer");
            tokio::time::sleep(time::Duration::from_millis(250)).await;
            assert_eq!(entry.fleet.borrow().with_queue()[..], [home]);
            serving.abort();
        })
        .await;
}
