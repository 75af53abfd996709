//! HTTP/1.1 calls from a sidecar to its backend server.
//!
//! Each call reports its events in order through a callback: the response head, data, and a final
//! event. A call without progress for the configured time fails with `backend_silent`.

use std::{net, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::{code, wire};

/// Timeout of connecting to the backend server, which runs on the same machine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// A request to the backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<wire::Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Address of the backend server.
    pub address: net::SocketAddr,
    /// Maximum time without progress.
    pub progress_timeout: time::Duration,
    /// Maximum size of the response body in bytes.
    pub max_response_bytes: u64,
    /// Maximum number of bytes read ahead of what the entry has acknowledged.
    pub read_ahead_bytes: u64,
}

/// Event of a call.
#[derive(Debug)]
pub enum Event {
    /// Status and headers.
    Head(u32, Vec<wire::Header>),
    /// Next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The call failed with this code; the code table says whether the request ran.
    Failed(code::Code),
}

/// Makes a call and reports each event.
///
/// `acknowledged` holds the number of bytes that the entry has acknowledged. Reading pauses when it
/// is [`Limits::read_ahead_bytes`] ahead of that, which bounds the memory for callers that read
/// slowly; the backend server is then slowed down by TCP flow control.
pub async fn call(
    limits: Limits,
    call: Call,
    acknowledged: watch::Receiver<u64>,
    report: impl Fn(Event),
) {
    match run(limits, call, acknowledged, &report).await {
        Ok(()) => report(Event::End),
        Err(code) => report(Event::Failed(code)),
    }
}

async fn run(
    limits: Limits,
    call: Call,
    acknowledged: watch::Receiver<u64>,
    report: &impl Fn(Event),
) -> Result<(), code::Code> {
    // Each call opens its own connection: the backend server may close a kept-alive connection just
    // as a request is written to it, which would leave the outcome of that request unknown. The
    // price is one loopback handshake.
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(limits.address));
    let Ok(Ok(stream)) = connect.await else {
        return Err(code::Code::BackendRefused);
    };
    if stream.set_nodelay(true).is_err() {
        return Err(code::Code::BackendRefused);
    }
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(code::Code::BackendRefused);
    };
    let driver = tokio::spawn(connection);
    let outcome = match request(limits.address, call) {
        Ok(request) => send(limits, &mut sender, request, acknowledged, report).await,
        Err(code) => Err(code),
    };
    driver.abort();
    outcome
}

fn request(
    address: net::SocketAddr,
    call: Call,
) -> Result<hyper::Request<Full<Bytes>>, code::Code> {
    let mut builder = hyper::Request::builder()
        .method(call.method.as_str())
        .uri(call.path)
        .header("host", address.to_string());
    for header in call.headers {
        builder = builder.header(header.name, header.value.as_ref());
    }
    builder
        .body(Full::new(call.body))
        .map_err(|_malformed| code::Code::BadRequest)
}

async fn send(
    limits: Limits,
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
    acknowledged: watch::Receiver<u64>,
    report: &impl Fn(Event),
) -> Result<(), code::Code> {
    let response =
        tokio::time::timeout(limits.progress_timeout, sender.send_request(request)).await;
    let response = match response {
        Err(_elapsed) => return Err(code::Code::BackendSilent),
        Ok(Err(_broken)) => return Err(code::Code::OutcomeUnknown),
        Ok(Ok(response)) => response,
    };
    report(Event::Head(
        u32::from(response.status().as_u16()),
        end_to_end_headers(response.headers()),
    ));
    receive(limits, response.into_body(), acknowledged, report).await
}

async fn receive(
    limits: Limits,
    mut body: Incoming,
    mut acknowledged: watch::Receiver<u64>,
    report: &impl Fn(Event),
) -> Result<(), code::Code> {
    let mut length = 0;
    loop {
        // The sender is dropped with the run, and then nobody waits for the response.
        let room = acknowledged
            .wait_for(|acknowledged| length < acknowledged.saturating_add(limits.read_ahead_bytes));
        if room.await.is_err() {
            return Err(code::Code::CallerLeft);
        }
        let frame = match tokio::time::timeout(limits.progress_timeout, body.frame()).await {
            Err(_elapsed) => return Err(code::Code::BackendSilent),
            Ok(None) => return Ok(()),
            Ok(Some(Err(_broken))) => return Err(code::Code::AnswerBroken),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len() as u64;
        if length > limits.max_response_bytes {
            return Err(code::Code::AnswerTooLarge);
        }
        report(Event::Data(data));
    }
}

/// Returns the headers to forward: all but the hop-by-hop headers.
pub fn end_to_end_headers(map: &http::HeaderMap) -> Vec<wire::Header> {
    map.iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .map(|(name, value)| wire::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
