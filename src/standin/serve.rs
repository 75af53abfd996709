//! The HTTP server that the platform's stand-ins share.

use std::sync::atomic;
use std::{io, net, sync, thread};

use crate::{code, error};

/// Largest body that a stand-in reads, in bytes.
const BODY_LIMIT: u64 = 16 << 20;

/// A running server; it stops when this is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub addr: net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Serves each request on a thread of its own, so that long polls hold up nobody.
pub fn spawn(
    addr: net::SocketAddr,
    handler: impl Fn(tiny_http::Request) + Send + Sync + 'static,
) -> error::Result<Server> {
    let server = tiny_http::Server::http(addr)
        .map_err(|err| error::Error::coded(code::Code::BadSettings, format!("{addr}: {err}")))?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let stopped = sync::Arc::clone(&stop);
    let handler = sync::Arc::new(handler);
    let thread = thread::spawn(move || {
        while !stopped.load(atomic::Ordering::Relaxed) {
            if let Ok(Some(request)) = server.recv_timeout(STOP_CHECK) {
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

/// How long a stopping server may go on listening.
const STOP_CHECK: std::time::Duration = std::time::Duration::from_millis(50);

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// The request's path and the value of each query parameter that is asked for.
pub fn query<const N: usize>(url: &str, keys: [&str; N]) -> (String, [Option<u64>; N]) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(k, _)| *k == key)
            .and_then(|(_, v)| v.parse().ok())
    };
    (path.to_owned(), keys.map(value))
}

/// The request's body, if it is text of bounded size.
pub fn body(request: &mut tiny_http::Request) -> Option<String> {
    let mut text = String::new();
    let reader = request.as_reader();
    let mut reader = io::Read::take(reader, BODY_LIMIT);
    io::Read::read_to_string(&mut reader, &mut text).ok()?;
    Some(text)
}

/// Answers with a status and a body of JSON.
pub fn answer(request: tiny_http::Request, status: u16, json: &str) {
    let response = tiny_http::Response::from_string(json).with_status_code(status);
    // A caller that has left is not the stand-in's concern.
    drop(request.respond(response));
}

/// Never answers: the caller sees the connection end or waits until its timeout.
pub fn lose(request: tiny_http::Request) {
    drop(request.into_writer());
}
