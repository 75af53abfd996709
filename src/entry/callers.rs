//! HTTP/1.1 server for callers, with hyper and one task per connection.
//!
//! Unlike simpler libraries it passes on streamed responses without delay, notices that a caller has
//! disconnected, and has timeouts for slow ones.

use std::sync::atomic;
use std::{convert, sync, time};

use bytes::Bytes;
use crossbeam_channel as channel;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::{mpsc, oneshot, watch};

use crate::client::backend;
use crate::control::dispatch;
use crate::entry::{body, refusal};
use crate::{catalogue, code, event, filter, metric, settings};

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Time after which a caller may retry that was rejected for a temporary reason.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Delay before accepting connections again after an error.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// State shared by all connections.
#[derive(Debug)]
pub struct Shared {
    /// Events of this process.
    pub ring: event::Ring,
    meter: metric::Meter,
    core: channel::Sender<dispatch::Message>,
    catalogue: sync::RwLock<Option<sync::Arc<catalogue::Accepted>>>,
    requests_in_progress: sync::Arc<atomic::AtomicU64>,
    connections: atomic::AtomicU64,
    leaving: atomic::AtomicBool,
    closed: watch::Sender<bool>,
    request_count: atomic::AtomicU64,
    incarnation: u64,
    instance: String,
    body_limit: u64,
    connection_limit: u64,
    request_timeout: time::Duration,
}

impl Shared {
    /// Creates the state shared by the connections of an entry.
    pub fn new(
        settings: &settings::Entry,
        incarnation: u64,
        core: channel::Sender<dispatch::Message>,
        requests_in_progress: sync::Arc<atomic::AtomicU64>,
        ring: event::Ring,
    ) -> Self {
        Self {
            ring,
            meter: metric::Meter::open(&settings.process.id),
            core,
            catalogue: sync::RwLock::new(None),
            requests_in_progress,
            connections: atomic::AtomicU64::new(0),
            leaving: atomic::AtomicBool::new(false),
            closed: watch::Sender::new(false),
            request_count: atomic::AtomicU64::new(0),
            incarnation,
            instance: settings.process.id.clone(),
            body_limit: settings.body_limit,
            connection_limit: u64::from(settings.connection_limit),
            request_timeout: time::Duration::from_millis(settings.request_timeout_ms),
        }
    }

    /// Applies a catalogue unless the current one is at least as new.
    pub fn set_catalogue(&self, accepted: sync::Arc<catalogue::Accepted>) {
        let mut current = self
            .catalogue
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if current
            .as_ref()
            .is_none_or(|current| current.revision < accepted.revision)
        {
            *current = Some(accepted);
        }
    }

    /// Returns the current catalogue.
    pub fn catalogue(&self) -> Option<sync::Arc<catalogue::Accepted>> {
        self.catalogue
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Returns whether load balancers may send requests.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(atomic::Ordering::Relaxed) && self.catalogue().is_some()
    }

    /// Returns whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Marks the entry unready and leaving.
    pub fn drain(&self) {
        if !self.leaving.swap(true, atomic::Ordering::Relaxed) {
            self.ring.note(event::Kind::ProcessLeaving).send();
        }
    }

    /// Stops accepting connections and closes each after its current request.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Returns the number of open connections or of requests in progress, whichever is larger.
    pub fn active_count(&self) -> u64 {
        let connections = self.connections.load(atomic::Ordering::Relaxed);
        connections.max(self.requests_in_progress.load(atomic::Ordering::Relaxed))
    }

    fn next_request_id(&self) -> String {
        let number = self.request_count.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        format!(
            "{}-{:x}-{number}",
            self.instance,
            self.incarnation & 0xffff_ffff
        )
    }
}

/// Accepts connections until the entry is closed.
pub async fn serve(listener: tokio::net::TcpListener, shared: sync::Arc<Shared>) {
    let mut closed = shared.closed.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closed(&mut closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely out of file descriptors: wait for connections to close.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        tokio::spawn(serve_connection(stream, sync::Arc::clone(&shared)));
    }
}

async fn serve_connection(stream: tokio::net::TcpStream, shared: sync::Arc<Shared>) {
    let open = shared.connections.fetch_add(1, atomic::Ordering::Relaxed) + 1;
    let is_over_limit = open > shared.connection_limit;
    let service_shared = sync::Arc::clone(&shared);
    let service = service::service_fn(move |request| {
        let shared = sync::Arc::clone(&service_shared);
        async move { Ok::<_, convert::Infallible>(respond(&shared, is_over_limit, request).await) }
    });
    let mut closed = shared.closed.subscribe();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.request_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .keep_alive(!is_over_limit)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection is not logged; the guard of its request notifies the core.
        _ended = connection.as_mut() => {}
        () = wait_closed(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
    shared.connections.fetch_sub(1, atomic::Ordering::Relaxed);
}

/// Waits until the entry is closed.
async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    // An error is impossible: the sender lives as long as the shared state.
    drop(closed.wait_for(|closed| *closed).await);
}

async fn respond(
    shared: &Shared,
    is_over_limit: bool,
    request: hyper::Request<Incoming>,
) -> hyper::Response<body::Body> {
    let id = shared.next_request_id();
    let outcome = if is_over_limit {
        let mut refusal = filter::Refusal::new(code::Code::TooManyConnections, "");
        refusal.retry_after = Some(RETRY_AFTER);
        Err(refusal)
    } else {
        forward(shared, &id, request).await
    };
    outcome.unwrap_or_else(|refusal| refusal::response(&id, &refusal))
}

async fn forward(
    shared: &Shared,
    id: &str,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<body::Body>, filter::Refusal> {
    let prepared = prepare(shared, id, request).await;
    let (context, request) = prepared.inspect_err(|refusal| {
        let note = shared.ring.note(event::Kind::RequestRefused);
        note.request(id).code(refusal.code).send();
        shared.meter.record_response(Some(refusal.code));
    })?;
    if request.method == "GET" && request.path == "/v1/models" {
        return Ok(models_response(&context, id));
    }
    submit(shared, id, request).await
}

/// Reads the request and applies the filters.
async fn prepare(
    shared: &Shared,
    id: &str,
    request: hyper::Request<Incoming>,
) -> Result<(filter::Context, filter::Request), filter::Refusal> {
    let accepted = shared.catalogue().ok_or_else(|| filter::Refusal {
        code: code::Code::NoCatalogue,
        detail: String::new(),
        retry_after: Some(RETRY_AFTER),
    })?;
    let mut request = read_request(shared, id, request).await?;
    let context = filter::Context { accepted };
    filter::apply(&context, &mut request)?;
    Ok((context, request))
}

/// Reads the complete request within the limits of size and time.
async fn read_request(
    shared: &Shared,
    id: &str,
    request: hyper::Request<Incoming>,
) -> Result<filter::Request, filter::Refusal> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, shared.body_limit as usize).collect();
    let body = match tokio::time::timeout(shared.request_timeout, body).await {
        Err(_elapsed) => return Err(filter::Refusal::new(code::Code::SlowCaller, "body")),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("limit {} bytes", shared.body_limit);
            return Err(filter::Refusal::new(code::Code::BodyTooLarge, detail));
        }
        Ok(Err(err)) => {
            return Err(filter::Refusal::new(
                code::Code::BadRequest,
                format!("body: {err}"),
            ));
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let mut headers = backend::end_to_end_headers(&parts.headers);
    headers.retain(|header| header.name != "host" && header.name != "expect");
    Ok(filter::Request {
        id: id.to_owned(),
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers,
        body,
        weight: 1.0,
        route_weight: 1.0,
        ..filter::Request::default()
    })
}

/// Hands the request to the core and waits for the head of the response.
async fn submit(
    shared: &Shared,
    id: &str,
    request: filter::Request,
) -> Result<hyper::Response<body::Body>, filter::Refusal> {
    let stopped = || filter::Refusal::new(code::Code::Leaving, "the process is ending");
    let (reply, mut rx) = mpsc::unbounded_channel();
    let (accepted, key_rx) = oneshot::channel();
    let submission = dispatch::Submission {
        request,
        reply,
        accepted,
    };
    shared
        .core
        .send(dispatch::Message::Submit(Box::new(submission)))
        .map_err(|_stopped| stopped())?;
    let mut guard = body::Guard::new(key_rx, shared.core.clone());
    if !guard.wait_accepted().await {
        return Err(stopped());
    }
    match rx.recv().await {
        Some(dispatch::ResponsePart::Head(status, headers)) => {
            let stream = body::Stream::new(rx, guard);
            Ok(build_response(id, status, headers, stream.boxed()))
        }
        Some(dispatch::ResponsePart::Refused(refusal)) => {
            guard.disarm();
            Err(refusal)
        }
        _ => {
            guard.disarm();
            Err(filter::Refusal::new(code::Code::Internal, "the core ended"))
        }
    }
}

fn build_response(
    id: &str,
    status: u32,
    headers: Vec<crate::wire::Header>,
    body: body::Body,
) -> hyper::Response<body::Body> {
    let mut response = hyper::Response::new(body);
    let status = u16::try_from(status)
        .ok()
        .and_then(|status| http::StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response
            .headers_mut()
            .insert(refusal::REQUEST_ID_HEADER, value);
    }
    response
}

/// Returns the list of all models of the catalogue. The entry serves it itself, since every
/// sidecar serves only some of them.
fn models_response(context: &filter::Context, id: &str) -> hyper::Response<body::Body> {
    let services = &context.accepted.catalogue.services;
    let data: Vec<_> = services
        .iter()
        .flat_map(|service| service.models.iter().map(move |model| (model, &service.name)))
        .map(|(model, owner)| serde_json::json!({ "id": model, "object": "model", "owned_by": owner }))
        .collect();
    let list = serde_json::json!({ "object": "list", "data": data }).to_string();
    let body = http_body_util::Full::new(Bytes::from(list)).map_err(|never| match never {});
    let headers = vec![crate::wire::Header {
        name: "content-type".to_owned(),
        value: Bytes::from_static(b"application/json"),
    }];
    build_response(id, 200, headers, body.boxed())
}
