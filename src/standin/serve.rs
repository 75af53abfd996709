//! HTTP server shared by the stand-ins for the platform's services.

use std::sync::atomic;
use std::{io, net, sync, thread};

use crate::{code, error};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A running server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address it listens on.
    pub addr: net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts a server that handles each request on its own thread, so that a long poll delays no other
/// request.
///
/// # Errors
///
/// `bad_settings` if the address can't be bound.
pub fn spawn(
    addr: net::SocketAddr,
    handler: impl Fn(tiny_http::Request) + Send + Sync + 'static,
) -> error::Result<Server> {
    let server = tiny_http::Server::http(addr)
        .map_err(|err| error::Error::coded(code::Code::BadSettings, format!("{addr}: {err}")))?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let stop_requested = sync::Arc::clone(&stop);
    let handler = sync::Arc::new(handler);
    let thread = thread::spawn(move || {
        while !stop_requested.load(atomic::Ordering::Relaxed) {
            if let Ok(Some(request)) = server.recv_timeout(STOP_POLL) {
                let handler = sync::Arc::clone(&handler);
                thread::spawn(move || handler(request));
            }
        }
    });
    Ok(Server {
        addr: bound,
        stop,
        thread: Some(thread),
    })
}

/// Interval at which the server checks whether it should stop.
const STOP_POLL: std::time::Duration = std::time::Duration::from_millis(50);

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
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

/// Reads the body of a request; returns `None` if it is not UTF-8 or larger than 16 MiB.
pub fn read_body(request: &mut tiny_http::Request) -> Option<String> {
    let mut text = String::new();
    let reader = request.as_reader();
    let mut reader = io::Read::take(reader, MAX_BODY_BYTES + 1);
    io::Read::read_to_string(&mut reader, &mut text).ok()?;
    (text.len() as u64 <= MAX_BODY_BYTES).then_some(text)
}

/// Responds with a status and a JSON body.
pub fn respond(request: tiny_http::Request, status: u16, json: &str) {
    let response = tiny_http::Response::from_string(json).with_status_code(status);
    // An error means that the caller has disconnected.
    drop(request.respond(response));
}

/// Drops a request without a response: the caller sees the connection close or runs into its
/// timeout.
pub fn drop_request(request: tiny_http::Request) {
    drop(request.into_writer());
}
