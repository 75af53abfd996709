//! HTTP server for callers, and the shutdown of the entry.

use std::{cell, convert, future, io, net, pin, rc, task, time};

use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net as tokio_net;
use tokio::sync::Notify;

use super::{body, callers, configuration, conn, forward, logger, refusal, request, state};
use crate::code;
use crate::decide::{memory, rotation, shutdown};

/// Minimum buffer size of a connection in bytes, which bounds the size of a request head.
const BUFFER_BYTES: usize = 16 * 1024;

/// Length of the accept queue: a burst of callers within one iteration of the event loop.
const BACKLOG: u32 = 1_024;

/// Refusal of a request that could not finish before this process ends; a peer can take it.
pub(super) const LEAVING: refusal::Refusal = refusal::Refusal {
    code: code::Code::Leaving,
    retry_after: Some(time::Duration::from_millis(50)),
};

/// Retry-After while the process has no configuration: about the time of a start.
const UNCONFIGURED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Share of a request's latency objective for which it waits for memory for its body: no longer than
/// another entry would take to serve it in time.
const MEMORY_WAIT: f64 = 1.0 / 8.0;

/// Minimum Retry-After for a request whose body there is no memory for; large bodies take seconds to
/// arrive.
const MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Refusal of a request whose route names no service.
pub(super) const NO_SERVICE: refusal::Refusal = refusal::Refusal {
    code: code::Code::NoBackendServer,
    retry_after: Some(UNCONFIGURED_RETRY_AFTER),
};

/// Pause in which idle connections are closed when there are too many.
const ROOM_WAIT: time::Duration = time::Duration::from_millis(5);

/// Interval at which [`shut_down`] checks whether all responses are sent, and pause before a
/// failed listener is tried again.
pub(super) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time before the kill by which the process must have ended.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Time after the termination signal during which requests are still accepted, each response asking
/// the caller to close the connection; then idle connections are closed. The platform sends no new
/// connections after two failed readiness checks, 2 s.
const LINGER_TIME: time::Duration = time::Duration::from_secs(3);

/// Maximum number of connections accepted in one iteration of the event loop. If all waiting
/// connections were accepted, their reads, decisions and writes would come before those of requests
/// in progress, which would then be forwarded after their callers had left. This number is 30 ms of
/// work for a weak entry; the rest wait in the system's accept queue, where they cost nothing.
const ACCEPTS_PER_TURN: u32 = 16;

/// Accepts callers on this address until the process ends, also during shutdown: while the platform
/// still sends new connections, they get a response instead of a closed port.
pub async fn accept_callers(
    entry: rc::Rc<state::Entry>,
    address: net::SocketAddr,
) -> io::Result<()> {
    let listener = listen(address)?;
    let mut accepted = 0;
    loop {
        accepted = (accepted + 1) % ACCEPTS_PER_TURN;
        if accepted == 0 {
            tokio::task::yield_now().await;
        }
        if !entry.callers.has_room() {
            let ended = entry.callers.close_idle();
            entry.log.line("callers_full").with("ended", ended);
            tokio::time::sleep(ROOM_WAIT).await;
        }
        let stream = match accept(&entry, &listener).await {
            Ok(stream) => stream,
            Err(err) => {
                // Most likely the process is out of descriptors, and connections that end free
                // some.
                entry.log.line("accept_failed").with("error", err);
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        if let Err(err) = conn::set_caller_options(&stream) {
            entry.log.line("accept_failed").with("error", err);
            continue;
        }
        entry.meter.count("connections", "caller");
        tokio::task::spawn_local(run_connection(rc::Rc::clone(&entry), stream));
    }
}

// Accepts the next connection, and records whether one was waiting.
async fn accept(
    entry: &state::Entry,
    listener: &tokio_net::TcpListener,
) -> io::Result<tokio_net::TcpStream> {
    let waiting = future::poll_fn(|cx| task::Poll::Ready(listener.poll_accept(cx))).await;
    entry.set_callers_wait(waiting.is_ready());
    let (stream, _) = match waiting {
        task::Poll::Ready(accepted) => accepted?,
        task::Poll::Pending => listener.accept().await?,
    };
    Ok(stream)
}

pub(super) fn listen(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run_connection(entry: rc::Rc<state::Entry>, stream: tokio_net::TcpStream) {
    let (key, end) = entry.callers.add(entry.now());
    serve_connection(&entry, stream, key, &end).await;
    entry.callers.remove(key);
}

async fn serve_connection(
    entry: &rc::Rc<state::Entry>,
    stream: tokio_net::TcpStream,
    key: callers::Key,
    end: &Notify,
) {
    let limits = entry.configuration().map(|p| p.limits).unwrap_or_default();
    let serve = service::service_fn(|req| {
        let entry = rc::Rc::clone(entry);
        // Boxed, so that an idle connection doesn't take the memory of a request in progress.
        Box::pin(async move { Ok::<_, convert::Infallible>(handle(entry, key, req).await) })
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time of a connection as part of the time for the head.
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
        .max_buf_size(BUFFER_BYTES.max(limits.head_bytes))
        .serve_connection(TokioIo::new(stream), serve);
    let mut served = pin::pin!(served);
    // A connection accepted during closing has yet to send its request, and is closed with the
    // response.
    let mut closing = entry.closing.subscribe();
    closing.mark_unchanged();
    let ends = async {
        tokio::select! {
            () = end.notified() => (),
            // This fails only when the sender is dropped at the end of the process.
            _closing = closing.changed() => (),
        }
    };
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = ends => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(err) = result {
        entry.meter.count("caller_connections_broken", "any");
        log::debug!(event = "caller_connection", error:% = err; "");
    }
}

struct Active {
    entry: rc::Rc<state::Entry>,
    caller: callers::Key,
}

impl Drop for Active {
    fn drop(&mut self) {
        self.entry.active.set(self.entry.active.get() - 1);
        self.entry.callers.mark_idle(self.caller, self.entry.now());
    }
}

async fn handle(
    entry: rc::Rc<state::Entry>,
    caller: callers::Key,
    req: http::Request<Incoming>,
) -> http::Response<body::Body> {
    entry.active.set(entry.active.get() + 1);
    entry.callers.mark_active(caller);
    entry.count_request();
    let active = Active {
        entry: rc::Rc::clone(&entry),
        caller,
    };
    let received = entry.now();
    let (parts, incoming) = req.into_parts();
    let head = request::read(&parts, &entry.dialect);
    let is_chunked = head.as_ref().map_or(true, |h| h.is_chunked);
    let id = parts.headers.get(&entry.dialect.request_id);
    let outcome = match head {
        Ok(head) => tokio::select! {
            biased;
            prepared = prepare(&entry, head, incoming, received) => prepared,
            () = entry.last_answer() => Err(LEAVING),
        },
        Err(code) => Err(refusal::Refusal::new(code)),
    };
    let mut response = match outcome {
        Ok(req) => serve_or_reject(rc::Rc::clone(&entry), req).await,
        Err(refusal) => {
            drop(log_refused(&entry, id, refusal));
            refusal.response(id, &entry.dialect)
        }
    };
    // A chunked request may smuggle a second one by a contradicting Content-Length, which hyper has
    // removed already. The connection is closed, so that nothing behind the request is read.
    if is_chunked
        || entry.is_leaving()
        || entry.callers.is_nearly_full()
        || entry.closes_caller_connections()
    {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    // The request is in progress until the last byte of the response.
    response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _held = &active;
            frame
        });
        Box::pin(body) as body::Body
    })
}

fn log_refused<'a>(
    entry: &'a state::Entry,
    id: Option<&HeaderValue>,
    refusal: refusal::Refusal,
) -> logger::Line<'a> {
    entry.meter.count("refusals", refusal.code.row().name);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    entry
        .log
        .line("refused")
        .with("id", id)
        .with("code", refusal.code)
        .with("ran", "no")
        .with(
            "configuration",
            entry.configuration().map_or(0, |p| p.version),
        )
}

// Determines route, customer and deadline, and reads the body.
async fn prepare(
    entry: &rc::Rc<state::Entry>,
    head: request::Head,
    incoming: Incoming,
    received: time::Duration,
) -> Result<request::Request, refusal::Refusal> {
    let configuration = configuration(entry)?;
    let route = configuration.route(&head.host, head.target.path());
    let route = rc::Rc::clone(route.map_err(refusal::Refusal::new)?);
    let customer = configuration.customer(&route, &head.key);
    let customer = customer.map_err(refusal::Refusal::new)?;
    let customer = customer.map(|c| rc::Rc::clone(&c.name));
    let draw = entry.rng.borrow_mut().unit();
    let service = route.service(draw).cloned().ok_or(NO_SERVICE)?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = received + timeout;
    check_shutdown(entry, received, deadline)?;
    let upload = Upload {
        incoming,
        limit: configuration.limits.body_bytes,
        owner: memory::Owner::Customer(entry.customer(customer.as_deref().unwrap_or(""))),
        wait: route.objective.mul_f64(MEMORY_WAIT).min(timeout),
        until: tokio::time::Instant::from_std(entry.started + deadline),
    };
    let body = upload.read(entry, &head).await?;
    Ok(request::Request {
        head,
        body,
        route,
        service,
        customer,
        fingerprint: cell::OnceCell::new(),
        received,
        deadline,
    })
}

// The body of a request that is to be read.
struct Upload {
    incoming: Incoming,
    limit: u64,
    owner: memory::Owner,
    // Maximum time for which it waits for memory.
    wait: time::Duration,
    until: tokio::time::Instant,
}

impl Upload {
    async fn read(
        mut self,
        entry: &state::Entry,
        head: &request::Head,
    ) -> Result<Bytes, refusal::Refusal> {
        let too_large = |_too_large| refusal::Refusal::new(code::Code::BodyTooLarge);
        let length = body::length(&self.incoming, self.limit).map_err(too_large)?;
        let taken = entry.memory.take(self.owner, length.unwrap_or(0));
        let Ok(Some(hold)) = tokio::time::timeout(self.wait, taken).await else {
            return Err(self.refuse(entry, head, length));
        };
        let read = body::read(&mut self.incoming, self.limit, hold);
        match tokio::time::timeout_at(self.until, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(code::Code::MemoryFull)) => Err(self.refuse(entry, head, length)),
            Ok(Err(code)) => Err(refusal::Refusal::new(code)),
            Err(_elapsed) => Err(refusal::Refusal::new(code::Code::SlowCaller)),
        }
    }

    // Refuses a request whose body there is no memory for.
    fn refuse(
        self,
        entry: &state::Entry,
        head: &request::Head,
        length: Option<u64>,
    ) -> refusal::Refusal {
        let usage = entry.memory.usage(self.owner);
        entry
            .log
            .line("body_refused")
            .with("id", head.id.to_str().unwrap_or("?"))
            .with("length", length.map_or("-".into(), |n| n.to_string()))
            .with("held", usage.held)
            .with("of_customer", usage.of_owner)
            .with("max", usage.max)
            .with("waiting", usage.waiting);
        // A caller that asked whether to send the body doesn't send it after a refusal.
        if !head.expects_continue {
            body::discard(self.incoming, self.until);
        }
        let after = MEMORY_RETRY_AFTER.mul_f64(1.0 + entry.rng.borrow_mut().unit());
        refusal::Refusal::with_retry_after(code::Code::MemoryFull, after)
    }
}

/// Returns the configuration; fails if there is none yet.
pub(super) fn configuration(
    entry: &state::Entry,
) -> Result<rc::Rc<configuration::Configuration>, refusal::Refusal> {
    let unknown =
        refusal::Refusal::with_retry_after(code::Code::NoCatalogue, UNCONFIGURED_RETRY_AFTER);
    entry.configuration().ok_or(unknown)
}

/// Fails if the entry ends before a request's deadline.
pub(super) fn check_shutdown(
    entry: &state::Entry,
    received: time::Duration,
    deadline: time::Duration,
) -> Result<(), refusal::Refusal> {
    let window = entry.shutdown_window();
    let is_late = window.is_some_and(|window| window.refuses(received, deadline));
    if is_late { Err(LEAVING) } else { Ok(()) }
}

// Serves a request, unless the process is too overloaded. This is decided only after the body was
// read: a connection that is closed earlier is reset, and the caller may not receive the refusal.
async fn serve_or_reject(
    entry: rc::Rc<state::Entry>,
    req: request::Request,
) -> http::Response<body::Body> {
    if !should_reject(&entry, &req) {
        return forward::serve(entry, req).await;
    }
    let after = rotation::retry_after(entry.left_ago(), entry.rng.borrow_mut().unit());
    let refusal = refusal::Refusal::with_retry_after(code::Code::EntryBusy, after);
    let id = req.head.id.clone();
    drop(
        log_refused(&entry, Some(&id), refusal)
            .with("route", &req.route.name)
            .with("customer", req.customer.as_deref().unwrap_or("-"))
            .with("cost", req.head.cost)
            .with("overload", entry.overload())
            .ms("lag_ms", entry.overload_lag())
            .ms("held_ms", entry.now().saturating_sub(req.received)),
    );
    refusal.response(Some(&id), &entry.dialect)
}

// Counts the demand of the customer, and returns whether an overloaded process rejects this
// request.
fn should_reject(entry: &state::Entry, req: &request::Request) -> bool {
    let (now, level) = (entry.now(), entry.overload());
    let customer = entry.customer(req.customer.as_deref().unwrap_or(""));
    let mut fleet = entry.fleet.borrow_mut();
    fleet.demand_mut().add(now, customer, req.head.cost as f64);
    let served = fleet.served_share(now, customer);
    drop(fleet);
    let draw = entry.rng.borrow_mut().unit();
    let mut arrivals = entry.arrivals.borrow_mut();
    arrivals.should_reject(now, customer, level, served, draw)
}

/// Shuts the entry down; returns when all responses are sent, or shortly before the kill.
pub async fn shut_down(entry: &state::Entry) {
    let started = entry.now();
    entry.begin_shutdown();
    let grace = entry.settings.borrow().grace;
    let last = started + grace.saturating_sub(KILL_MARGIN);
    let window = shutdown::Window {
        closing: started + LINGER_TIME,
        end: last,
    };
    entry.set_shutdown_window(window);
    tokio::time::sleep(LINGER_TIME.min(window.last_answer().saturating_sub(started))).await;
    entry.closing.send_replace(true);
    entry.log.line("closing").with("active", entry.active.get());
    // Idle connections close before the first check. A response is no longer active once the HTTP library
    // has taken it, which may be long before a caller that reads slowly has it.
    tokio::time::sleep(POLL_INTERVAL).await;
    while entry.now() < window.last_answer() && entry.callers.unfinished() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    entry.decline_waiting();
    while entry.now() < last && entry.callers.unfinished() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    entry
        .log
        .line("stopped")
        .with("cut", entry.callers.unfinished())
        .ms("after_ms", entry.now().saturating_sub(started));
    entry.log.close();
}
