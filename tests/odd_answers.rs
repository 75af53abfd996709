//! Backend servers in trouble: statuses that are none, answers to requests that they don't read, and bytes
//! without end.

#[path = "support/direct.rs"]
mod direct;

use std::io::{Read as _, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::{cell, net, rc, thread, time};

use bytes::Bytes;
use chivebend::direct::{configuration, forward, listing, request, state};
use configuration::RouteKind;
use http_body_util::BodyExt as _;
use smallvec::SmallVec;
use tokio::task;

/// Statuses that say that the request didn't run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream,
    RouteKind::ResumableStream,
];

const DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Size of an upload: more than sockets buffer.
const UPLOAD_BYTES: usize = 8_000_000;

/// Bytes without end that a server may get rid of: what sockets buffer, and more than an entry reads.
const MAX_FLOOD_BYTES: u64 = 16_000_000;

const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const FIELDS: &str = "id: 1\r\nsignature: s\r\n";

/// What a backend server does with a connection once it has read the head of a request.
#[derive(Clone, Debug)]
struct Script {
    // True if it reads the head before it answers.
    reads_head: bool,
    answer: Vec<u8>,
    // Sent again and again until the entry closes.
    flood: &'static [u8],
    // Pause before the connection is reset; `None` closes it regularly.
    reset_after: Option<time::Duration>,
}

// Starts a backend server; returns its address and the number of bytes that it got rid of.
fn open(script: Script) -> (net::SocketAddr, Arc<AtomicU64>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let sent = Arc::<AtomicU64>::default();
    let counted = Arc::clone(&sent);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (script, sent) = (script.clone(), Arc::clone(&counted));
            // An error means that the entry has closed the connection.
            thread::spawn(move || drop(serve(socket, &script, &sent)));
        }
    });
    (address, sent)
}

fn serve(mut socket: net::TcpStream, script: &Script, sent: &AtomicU64) -> std::io::Result<()> {
    let (mut received, mut byte) = (Vec::new(), [0]);
    while script.reads_head && !received.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte)?;
        received.push(byte[0]);
    }
    socket.write_all(&script.answer)?;
    let flood = script.flood.repeat(1 + 16_000 / script.flood.len().max(1));
    while !script.flood.is_empty() {
        sent.fetch_add(socket.write(&flood)? as u64, Ordering::SeqCst);
    }
    if let Some(after) = script.reset_after {
        thread::sleep(after);
        socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO))?;
    }
    Ok(())
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
        attempts: 2,
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

/// What a caller gets.
#[derive(Debug)]
struct Received {
    status: u16,
    // `None` if the response broke off.
    body: Option<Bytes>,
}

// Sends a request with this body to a new backend server. `name` differs between cases, so that none is
// taken for one that crashes backend servers.
async fn send(entry: &rc::Rc<state::Entry>, name: &str, script: Script, body: Bytes) -> Received {
    let server = listing::Server {
        id: name.into(),
        address: open(script).0,
        ..direct::server("", 1, false)
    };
    send_to(entry, name, server, body).await
}

async fn send_to(
    entry: &rc::Rc<state::Entry>,
    name: &str,
    server: listing::Server,
    body: Bytes,
) -> Received {
    entry.apply_update(listing::Update::All(vec![server]));
    let path = format!("/{}", name.replace(' ', "-"));
    let builder = http::Request::builder().method("POST").uri(&path);
    let req = builder.header("host", "h").header("id", "1").body(());
    let (parts, ()) = req.expect("a request").into_parts();
    let configuration = entry.configuration().expect("it is set");
    let route = configuration.route("h", &path).expect("a route");
    let now = entry.now();
    let req = request::Request {
        fingerprint: cell::OnceCell::new(),
        head: request::read(&parts, &entry.dialect).expect("a head"),
        body,
        route: rc::Rc::clone(route),
        service: "s".into(),
        customer: None,
        received: now,
        deadline: now + DEADLINE,
    };
    let response = forward::serve(rc::Rc::clone(entry), req).await;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok();
    Received {
        status: head.status.as_u16(),
        body: body.map(http_body_util::Collected::to_bytes),
    }
}

fn run<F: Future<Output = ()>>(play: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    task::LocalSet::new().block_on(&runtime, play());
}

fn assert_failed(received: &Received, name: &str) {
    let status = received.status;
    let is_honest = (500..600).contains(&status) && !NOT_RUN.contains(&status);
    // A stream whose head was good may break off later.
    let is_cut = status == 200 && received.body.is_none();
    assert!(is_honest || is_cut, "{name}: {received:?}");
}

// Guards against an answer whose status is none, or that switches to a protocol that nobody asked for, and
// which the caller gets as an answer.
#[test]
fn a_status_that_is_none_is_never_passed_on() {
    const LINES: [&str; 12] = [
        "HTTP/1.1 000 Odd",
        "HTTP/1.1 00 Odd",
        "HTTP/1.1 0 Odd",
        "HTTP/1.1 099 Odd",
        "HTTP/1.1 -20 Odd",
        "HTTP/1.1 2000 Odd",
        "HTTP/1.1",
        "HTTP/9.9 200 Odd",
        "HTTP/1.1 100 Continue",
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other",
        "HTTP/1.1 600 Odd",
        "HTTP/1.1 999 Odd",
    ];
    for kind in KINDS {
        run(|| async move {
            let entry = entry(kind);
            for (n, line) in LINES.iter().enumerate() {
                let length = BODY.len();
                let answer = format!("{line}\r\n{FIELDS}content-length: {length}\r\n\r\n{BODY}");
                let script = Script {
                    reads_head: true,
                    answer: answer.into_bytes(),
                    flood: b"",
                    reset_after: None,
                };
                let name = format!("status {n}");
                let received = send(&entry, &name, script, Bytes::new()).await;
                assert_failed(&received, &format!("{kind:?} {line}"));
            }
        });
    }
}

// Guards against a part of an answer that looks complete, since its server reset the connection while the
// request was being sent. It can't happen here: the test shows that.
#[test]
fn a_part_of_an_answer_to_an_upload_never_looks_complete() {
    let length = BODY.len();
    let chunked = format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n");
    let forms = [
        (String::new(), BODY.to_owned(), "until the end"),
        (
            format!("content-length: {length}\r\n"),
            BODY.to_owned(),
            "length",
        ),
        ("transfer-encoding: chunked\r\n".into(), chunked, "chunks"),
    ];
    thread::scope(|scope| {
        for kind in KINDS {
            for (fields, body, form) in &forms {
                let play = move || {
                    run(|| async move {
                        let entry = entry(kind);
                        for sent in [0, 1, 15, body.len() - 1, body.len()] {
                            for (reads_head, reset_ms) in
                                [(true, 0), (true, 1), (true, 50), (false, 0), (false, 20)]
                            {
                                let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}{fields}\r\n");
                                let mut answer = head.into_bytes();
                                answer.extend_from_slice(&body.as_bytes()[..sent]);
                                let script = Script {
                                    reads_head,
                                    answer,
                                    flood: b"",
                                    reset_after: Some(direct::ms(reset_ms)),
                                };
                                let name = format!("{form} {sent} {reads_head} {reset_ms}");
                                let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
                                let received = send(&entry, &name, script, upload).await;
                                // A server that has read nothing has run nothing.
                                if !reads_head && received.status == 503 {
                                    continue;
                                }
                                let is_whole = sent == body.len() && *form != "until the end";
                                let whole = Some(BODY.as_bytes());
                                let has_whole =
                                    received.status == 200 && received.body.as_deref() == whole;
                                if !(is_whole && has_whole) {
                                    assert_failed(&received, &format!("{kind:?} {name}"));
                                }
                            }
                        }
                    });
                };
                scope.spawn(play);
            }
        }
    });
}

struct Flood {
    name: &'static str,
    answer: &'static str,
    // Sent again and again.
    bytes: &'static [u8],
}

// Guards against bytes without end that take all of the processor and are read until the caller's deadline,
// during which nobody else is served.
#[test]
fn bytes_without_end_are_given_up_soon() {
    let floods = [
        Flood {
            name: "a chunk size of zeros",
            answer: "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n",
            bytes: b"0000000000000000",
        },
        Flood {
            name: "a chunk size of zeros behind an event",
            answer: "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n\
                     f\r\nid: 1\ndata: a\n\n\r\n",
            bytes: b"0000000000000000",
        },
        Flood {
            name: "a chunk extension",
            answer: "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n5;",
            bytes: b"xxxxxxxxxxxxxxxx",
        },
        Flood {
            name: "trailers",
            answer: "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            bytes: b"x-more: trailer\r\n",
        },
        Flood {
            name: "heads of status 100",
            answer: "",
            bytes: b"HTTP/1.1 100 Continue\r\n\r\n",
        },
        Flood {
            name: "heads of status 103",
            answer: "",
            bytes: b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
        },
        Flood {
            name: "header lines",
            answer: "HTTP/1.1 200 OK\r\n",
            bytes: b"x-more: line\r\n",
        },
        Flood {
            name: "no lines",
            answer: "",
            bytes: b"zzzzzzzzzzzzzzzz",
        },
        Flood {
            name: "an event",
            answer: "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\n\r\ndata: ",
            bytes: b"aaaaaaaaaaaaaaaa",
        },
    ];
    for flood in floods {
        for kind in KINDS {
            run(|| async {
                let entry = entry(kind);
                let script = Script {
                    reads_head: true,
                    answer: flood.answer.into(),
                    flood: flood.bytes,
                    reset_after: None,
                };
                let name = format!("{kind:?} {}", flood.name);
                let (address, sent) = open(script);
                let server = listing::Server {
                    id: name.clone(),
                    address,
                    ..direct::server("", 1, false)
                };
                let received = send_to(&entry, &name, server, Bytes::new()).await;
                assert_failed(&received, &name);
                let bytes = sent.load(Ordering::SeqCst);
                println!("{name}: {bytes} bytes");
                assert!(bytes <= MAX_FLOOD_BYTES, "{name}: {bytes} bytes");
            });
        }
    }
}
