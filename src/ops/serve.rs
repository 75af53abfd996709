//! HTTP server of the operators' port, with limits on connections, bytes and time.

use std::convert;
use std::net;
use std::sync;
use std::time;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;

use crate::error;
use crate::listener;

/// Maximum number of concurrent connections. A fleet has few operators and one metrics scraper.
const MAX_CONNECTIONS: usize = 32;

/// Maximum size of a request head. No request has a body that is read.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum duration of a connection. Reading all events takes milliseconds on a working network.
const MAX_CONNECTION_TIME: time::Duration = time::Duration::from_secs(10);

/// A request whose body isn't read.
pub(super) type Request = hyper::Request<Incoming>;

/// A complete response.
pub(super) type Response = hyper::Response<Full<Bytes>>;

/// Starts a server. The handler gets each request and the server's address; it doesn't block.
pub(super) fn spawn(
    addr: net::SocketAddr,
    handler: impl Fn(&Request, net::SocketAddr) -> Response + Send + Sync + 'static,
) -> error::Result<listener::Server> {
    let listener = listener::bind(addr)?;
    let addr = listener.addr;
    let handler = sync::Arc::new(move |request: &Request| handler(request, addr));
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    listener.spawn("ops", move |stream| {
        let handler = sync::Arc::clone(&handler);
        let slot = sync::Arc::clone(&slots).try_acquire_owned();
        async move {
            // Connections beyond the limit are closed without a response, which costs the least.
            if let Ok(_slot) = slot {
                serve(stream, &*handler).await;
            }
        }
    })
}

async fn serve(stream: tokio::net::TcpStream, handler: &impl Fn(&Request) -> Response) {
    let service = service::service_fn(|request| {
        let response = handler(&request);
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(err)) = tokio::time::timeout(MAX_CONNECTION_TIME, served).await {
        log::debug!(event = "ops_connection", error:% = err; "");
    }
}
