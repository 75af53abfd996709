//! HTTP server shared by the stand-ins for the platform's services.

use std::{future, io, net, sync};

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;

use crate::{code, error, listener};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A request, read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method of the request.
    pub method: hyper::Method,
    /// Path and query of the request.
    pub url: String,
    /// Body of the request.
    pub body: String,
}

/// A response with a JSON body.
#[derive(Clone, Debug)]
pub struct Response {
    status: u16,
    json: String,
}

/// Creates a response.
pub fn response(status: u16, json: impl Into<String>) -> Response {
    let json = json.into();
    Response { status, json }
}

/// Starts a server that handles each request on its own thread, so that a long poll delays no other
/// request. If the handler returns `None`, the caller gets no response and runs into its timeout.
///
/// # Errors
///
/// `bad_settings` if the address can't be bound.
pub fn spawn(
    addr: net::SocketAddr,
    handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
) -> error::Result<listener::Server> {
    let listener = listener::bind(addr)
        .map_err(|err| error::Error::coded(code::Code::BadSettings, format!("{addr}: {err}")))?;
    let handler = sync::Arc::new(handler);
    listener.spawn("standin", move |stream| {
        let handler = sync::Arc::clone(&handler);
        let service =
            service::service_fn(move |request| handle(sync::Arc::clone(&handler), request));
        async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // An error means that the client has disconnected.
            drop(served.await);
        }
    })
}

async fn handle<F>(
    handler: sync::Arc<F>,
    request: hyper::Request<Incoming>,
) -> io::Result<hyper::Response<Full<Bytes>>>
where
    F: Fn(&Request) -> Option<Response> + Send + Sync + 'static,
{
    let Some(request) = read(request).await else {
        return Ok(encode(response(400, "{}")));
    };
    let response = tokio::task::spawn_blocking(move || handler(&request)).await;
    match response.map_err(io::Error::other)? {
        Some(response) => Ok(encode(response)),
        None => future::pending().await,
    }
}

/// Reads a request; returns `None` if its body is too long, not UTF-8 or not sent completely.
async fn read(request: hyper::Request<Incoming>) -> Option<Request> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(Request {
        method: head.method,
        url: head.uri.to_string(),
        body: String::from_utf8(body.to_bytes().to_vec()).ok()?,
    })
}

fn encode(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut encoded = hyper::Response::new(Full::new(Bytes::from(response.json)));
    *encoded.status_mut() = hyper::StatusCode::from_u16(response.status).unwrap_or_default();
    encoded
}

/// Returns the path of a URL and the values of the given query parameters, as far as they are
/// numbers.
pub fn parse_query<const N: usize>(url: &str, keys: [&str; N]) -> (String, [Option<u64>; N]) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(k, _)| *k == key)
            .and_then(|(_, v)| v.parse().ok())
    };
    (path.to_owned(), keys.map(value))
}
