//! Responses of backend servers that stop at any byte: what callers get doesn't look complete unless it
//! is, and doesn't say that the request didn't run.

#[path = "support/direct.rs"]
mod direct;

use std::io::{Read as _, Write as _};
use std::{cell, net, rc, thread, time};

use bytes::Bytes;
use chivebend::client::backend;
use chivebend::direct::{configuration, conn, forward, listing, request, state};
use http_body_util::{BodyExt as _, Full};
use smallvec::SmallVec;
use tokio::sync::watch;
use tokio::task;

use configuration::RouteKind;

/// Statuses that say that the request didn't run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

const DEADLINE: time::Duration = time::Duration::from_secs(10);

/// Pause before a reset, which would make the receiver drop what it hasn't read.
const RESET_DELAY: time::Duration = time::Duration::from_millis(1);

/// Both forms have two events, so that streams and other responses can have it.
const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\n";

/// Heads of status 1xx, which come before the one of the response.
const INFORMATIONAL: &str =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";

/// How the end of a response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// How the backend server stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A complete response.
struct Form {
    name: &'static str,
    framing: Framing,
    bytes: String,
}

impl Form {
    fn all() -> Vec<Self> {
        let form = |name, framing, before: &str, fields: &str, body: &str| Self {
            name,
            framing,
            bytes: format!("{before}{HEAD}{fields}\r\n{body}"),
        };
        let length = format!("content-length: {}\r\n", BODY.len());
        let (first, second) = BODY.split_at(9);
        let chunked = format!(
            "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\nx-more: t\r\n\r\n",
            first.len(),
            second.len()
        );
        let coding = "transfer-encoding: chunked\r\ntrailer: x-more\r\n";
        vec![
            form("length", Framing::Length, "", &length, BODY),
            form(
                "chunks and a trailer",
                Framing::Chunks,
                "",
                coding,
                &chunked,
            ),
            form("until the close", Framing::Close, "", "", BODY),
            form(
                "informational heads, length",
                Framing::Length,
                INFORMATIONAL,
                &length,
                BODY,
            ),
            form(
                "informational heads, until the close",
                Framing::Close,
                INFORMATIONAL,
                "",
                BODY,
            ),
        ]
    }

    // Returns the number of bytes of the heads.
    fn head_len(&self) -> usize {
        let head = self.bytes.find(HEAD).expect("a head");
        head + self.bytes[head..].find("\r\n\r\n").expect("its end") + 4
    }
}

/// What a caller gets.
#[derive(Debug)]
struct Received {
    status: u16,
    // `None` if the response broke off.
    body: Option<Bytes>,
}

// Starts a backend server that answers the requests of one connection with these bytes, and then
// stops.
fn open(answers: Vec<Vec<u8>>, end: End) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let Ok((mut socket, _)) = listener.accept() else {
            return;
        };
        for answer in &answers {
            let mut received = Vec::new();
            let mut byte = [0];
            while !received.ends_with(b"\r\n\r\n") {
                match socket.read(&mut byte) {
                    Ok(1) => received.push(byte[0]),
                    _ => return,
                }
            }
            socket.write_all(answer).expect("the entry reads");
        }
        if end == End::Reset {
            thread::sleep(RESET_DELAY);
            let linger = socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO));
            linger.expect("an open socket");
        }
    });
    address
}

fn entry(kind: RouteKind) -> rc::Rc<state::Entry> {
    let share = configuration::Share {
        service: "s".into(),
        weight: 1,
    };
    let route = configuration::Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: DEADLINE,
        objective: DEADLINE,
        attempts: 1,
        shares: SmallVec::from_vec(vec![share]),
        is_anonymous: true,
    };
    let mut configuration = configuration::Configuration::new(1, vec![route]);
    let service = configuration::Service {
        connections: 100,
        ..configuration::Service::default()
    };
    configuration.services.insert("s".into(), service);
    let entry = direct::empty_entry(1);
    entry.set_configuration(configuration);
    rc::Rc::new(entry)
}

fn request(entry: &state::Entry, path: &str) -> request::Request {
    let builder = http::Request::builder().method("POST").uri(path);
    let req = builder.header("host", "h").header("id", "1").body(());
    let (parts, ()) = req.expect("a request").into_parts();
    let configuration = entry.configuration().expect("it is set");
    let route = configuration.route("h", path).expect("a route");
    let now = entry.now();
    request::Request {
        fingerprint: cell::OnceCell::new(),
        head: request::read(&parts, &entry.dialect).expect("a head"),
        body: Bytes::new(),
        route: rc::Rc::clone(route),
        service: "s".into(),
        customer: None,
        received: now,
        deadline: now + DEADLINE,
    }
}

// Sends requests to a new backend server, one after the other; returns what their caller
// gets. `name` differs between cases, so that none is taken for one that crashes backend servers.
async fn send(
    entry: &rc::Rc<state::Entry>,
    name: &str,
    (answers, end): (Vec<Vec<u8>>, End),
) -> Vec<Received> {
    let count = answers.len();
    let server = listing::Server {
        id: name.into(),
        address: open(answers, end),
        ..direct::server("", 1, false)
    };
    entry.apply_update(listing::Update::All(vec![server]));
    let mut received = Vec::new();
    for _ in 0..count {
        let req = request(entry, &format!("/{name}"));
        let response = forward::serve(rc::Rc::clone(entry), req).await;
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        received.push(Received {
            status: head.status.as_u16(),
            body: body.ok().map(http_body_util::Collected::to_bytes),
        });
    }
    received
}

fn check(received: &Received, form: &Form, kind: RouteKind, (at, end): (usize, End), name: &str) {
    let Received { status, body } = received;
    if *status != 200 {
        assert!(
            *status >= 500 && !NOT_RUN.contains(status),
            "{name}: {status}"
        );
        return;
    }
    assert!(
        at >= form.head_len(),
        "{name}: a success without a whole head"
    );
    let Some(body) = body else { return };
    if form.framing != Framing::Close || end == End::Reset {
        assert_eq!(body, BODY, "{name}");
        return;
    }
    // The protocol gives nothing to tell by, but that a stream has an event, and ends behind one.
    assert!(BODY.as_bytes().starts_with(body), "{name}");
    if kind.is_stream() {
        assert!(!body.is_empty() && body.ends_with(b"\n\n"), "{name}");
    }
}

// Plays all forms, stopped at each of their bytes. The entry is shutting down if `is_leaving`.
fn play(kind: RouteKind, end: End, is_leaving: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let entry = entry(kind);
        if is_leaving {
            entry.begin_shutdown();
        }
        let mut complete = 0;
        for form in Form::all() {
            for at in 0..=form.bytes.len() {
                let bytes = form.bytes.as_bytes();
                let torn = bytes[..at].to_vec();
                let name = format!("{}-{at}-{}", form.name.replace(' ', "-"), form.bytes.len());
                let described = format!("{kind:?} {end:?} {name}");
                let received = send(&entry, &name, (vec![torn.clone()], end)).await;
                check(&received[0], &form, kind, (at, end), &described);
                if at == bytes.len() && end == End::Close {
                    assert_eq!(
                        received[0].body.as_deref(),
                        Some(BODY.as_bytes()),
                        "{described}"
                    );
                    complete += 1;
                }
                if form.framing == Framing::Close {
                    continue;
                }
                // The same on a connection that has had a response before.
                let answers = vec![bytes.to_vec(), torn];
                let kept = send(&entry, &format!("kept-{name}"), (answers, end)).await;
                assert_eq!(
                    kept[0].body.as_deref(),
                    Some(BODY.as_bytes()),
                    "{described}"
                );
                check(&kept[1], &form, kind, (at, end), &described);
            }
        }
        assert!(end == End::Reset || complete == Form::all().len());
    });
}

// Guards against a success with an empty or short body that looks complete, after a backend server
// stopped within the head of its response or anywhere behind it, and against an answer that says that
// such a request didn't run.
#[test]
fn a_response_that_stops_at_any_byte_never_looks_complete() {
    let kinds = [
        RouteKind::Safe,
        RouteKind::Unsafe,
        RouteKind::Stream,
        RouteKind::ResumableStream,
    ];
    thread::scope(|scope| {
        for kind in kinds {
            for end in [End::Close, End::Reset] {
                scope.spawn(move || play(kind, end, false));
            }
            scope.spawn(move || play(kind, End::Close, true));
        }
    });
}

// Guards against bytes behind a response, which may be a part of another one's head, that complete the
// head of the next response on the connection.
#[test]
fn bytes_behind_a_response_never_complete_the_next_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        let entry = entry(RouteKind::Safe);
        let whole = &Form::all()[0].bytes;
        let head_len = Form::all()[0].head_len();
        for at in 1..=head_len {
            let mut first = whole.clone().into_bytes();
            first.extend_from_slice(&whole.as_bytes()[..at]);
            for rest in ["", "\r\n", "\r\n\r\n"] {
                let name = format!("behind-{at}-{}", rest.len());
                let answers = vec![first.clone(), rest.into()];
                let received = send(&entry, &name, (answers, End::Close)).await;
                assert_eq!(received[0].body.as_deref(), Some(BODY.as_bytes()), "{name}");
                assert_ne!(received[1].status, 200, "{name}");
            }
        }
    });
}

// Guards against an inspection of a backend server, a read of the store or a transfer from a peer, which
// use the same connections, that takes a part of a response for all of it.
#[test]
fn a_part_of_a_response_is_an_error_on_every_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    task::LocalSet::new().block_on(&runtime, async {
        for form in Form::all() {
            for at in 0..=form.bytes.len() {
                for end in [End::Close, End::Reset] {
                    let name = format!("{} {at} {end:?}", form.name);
                    let torn = form.bytes.as_bytes()[..at].to_vec();
                    let body = get(open(vec![torn], end)).await;
                    let is_head = at < form.head_len();
                    assert!(body.is_none() || !is_head, "{name}");
                    let Some(body) = body else { continue };
                    let may_be_short = form.framing == Framing::Close && end == End::Close;
                    assert!(may_be_short || body == BODY, "{name}: {body:?}");
                }
            }
        }
    });
}

async fn get(address: net::SocketAddr) -> Option<Bytes> {
    let mut conn = conn::open(address).await.ok()?;
    if !conn.ready().await {
        return None;
    }
    let req = http::Request::get("/").header("host", "h");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let response = conn.send(req).await.ok()?;
    let body = response.into_body().collect().await;
    body.ok().map(http_body_util::Collected::to_bytes)
}

// Guards against the same in a fleet with sidecars, which read the responses of their backend servers.
#[test]
fn a_sidecar_reports_the_end_of_complete_responses_only() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(async {
        for form in Form::all() {
            for at in 0..=form.bytes.len() {
                for end in [End::Close, End::Reset] {
                    let name = format!("{} {at} {end:?}", form.name);
                    let torn = form.bytes.as_bytes()[..at].to_vec();
                    let Some(body) = call_by_sidecar(open(vec![torn], end)).await else {
                        continue;
                    };
                    assert!(at >= form.head_len(), "{name}");
                    let may_be_short = form.framing == Framing::Close && end == End::Close;
                    assert!(may_be_short || body == BODY.as_bytes(), "{name}");
                }
            }
        }
    });
}

// Returns the body if the sidecar reports its end.
async fn call_by_sidecar(address: net::SocketAddr) -> Option<Vec<u8>> {
    let limits = backend::Limits {
        address,
        progress_timeout: DEADLINE,
        max_response_bytes: 1_000,
        read_ahead_bytes: 1_000,
    };
    let call = backend::Call {
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let (_acknowledge, acknowledged) = watch::channel(0);
    let (body, is_over) = (cell::RefCell::new(Vec::new()), cell::Cell::new(false));
    backend::call(limits, call, acknowledged, |event| match event {
        backend::Event::Data(data) => body.borrow_mut().extend_from_slice(&data),
        backend::Event::End => is_over.set(true),
        backend::Event::Head(..) | backend::Event::Failed(_) => {}
    })
    .await;
    is_over.get().then(|| body.into_inner())
}
