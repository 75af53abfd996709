//! What an entry hands on to one that starts while the platform's store is away.
//!
//! Without it a process that starts during an outage knows nothing and refuses everything until the
//! store is back. The configuration travels as the adapter received it, so that it is decoded by the
//! same code and keeps its version.

use std::{convert, io, net, rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net as tokio_net, task};

use super::{conn, plan, state};
use crate::code;

/// Path of the configuration.
const CONFIGURATION: &str = "/configuration";

/// Path of the list of backend servers.
const BACKENDS: &str = "/backends";

/// Time for an answer of another entry, which has it in memory.
const ANSWER: time::Duration = time::Duration::from_millis(500);

/// Most bytes of an answer: a configuration of some thousand routes has one megabyte.
const BYTES: usize = 8 * 1024 * 1024;

/// Answers other entries on this address until the process ends.
pub async fn serve(entry: rc::Rc<state::Entry>, address: net::SocketAddr) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let entry = rc::Rc::clone(&entry);
        task::spawn_local(async move {
            let serve = service::service_fn(|req: http::Request<Incoming>| {
                let response = answer(&entry, req.uri().path());
                async move { Ok::<_, convert::Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(ANSWER)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), serve)
                .await;
            if let Err(err) = served {
                log::debug!(event = "neighbour_connection", error:% = err; "");
            }
        });
    }
}

fn answer(entry: &state::Entry, path: &str) -> http::Response<Full<Bytes>> {
    let known = match path {
        CONFIGURATION => entry.plan().map(|plan| plan.source.clone()),
        BACKENDS => entry
            .servers()
            .and_then(|servers| serde_json::to_vec(&servers).ok())
            .map(Bytes::from),
        _ => None,
    };
    let mut response = http::Response::new(Full::new(known.clone().unwrap_or_default()));
    if known.is_none_or(|known| known.is_empty()) {
        *response.status_mut() = http::StatusCode::NOT_FOUND;
    }
    response
}

/// The configuration that another entry has in force, as its adapter received it.
pub async fn configuration(address: net::SocketAddr, slack: time::Duration) -> Option<Bytes> {
    get(address, CONFIGURATION, slack).await
}

/// The backend servers that another entry knows.
pub async fn backends(entry: &state::Entry, address: net::SocketAddr) -> Option<Vec<plan::Server>> {
    let body = get(address, BACKENDS, entry.slack()).await?;
    let malformed = |err: &serde_json::Error| {
        entry
            .log
            .line("neighbour_malformed")
            .with("neighbour", address)
            .with("code", code::Code::EntryInvalid)
            .with("error", err);
    };
    match list(&body) {
        Ok(list) => {
            list.unreadable.iter().for_each(malformed);
            Some(list.servers)
        }
        Err(err) => {
            malformed(&err);
            None
        }
    }
}

/// A list of backend servers as another entry told it.
#[derive(Debug)]
pub struct List {
    /// The backend servers.
    pub servers: Vec<plan::Server>,
    /// Why each of the other entries can't be read.
    pub unreadable: Vec<serde_json::Error>,
}

/// Decodes a list of backend servers. An entry that can't be read, as of another version of the program,
/// names none; the others hold.
pub fn list(body: &[u8]) -> Result<List, serde_json::Error> {
    let entries: Vec<serde_json::Value> = serde_json::from_slice(body)?;
    let mut list = List {
        servers: Vec::new(),
        unreadable: Vec::new(),
    };
    for entry in entries {
        match serde_json::from_value(entry) {
            Ok(server) => list.servers.push(server),
            Err(err) => list.unreadable.push(err),
        }
    }
    Ok(list)
}

async fn get(address: net::SocketAddr, path: &str, slack: time::Duration) -> Option<Bytes> {
    let call = async {
        let mut conn = conn::open(address).await.ok()?;
        let req = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = conn.send(req).await.ok()?;
        let found = response.status() == http::StatusCode::OK;
        let body = Limited::new(response.into_body(), BYTES).collect().await;
        let body = body.ok().filter(|_| found)?;
        Some(body.to_bytes())
    };
    tokio::time::timeout(ANSWER + slack, call)
        .await
        .ok()
        .flatten()
}
