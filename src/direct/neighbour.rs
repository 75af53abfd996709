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

/// Query of the list by one who has it with this digest, and is told what has changed.
const SINCE: &str = "since=";

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
                let response = answer(&entry, req.uri());
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

fn answer(entry: &state::Entry, uri: &http::Uri) -> http::Response<Full<Bytes>> {
    let known = match uri.path() {
        CONFIGURATION => entry.plan().map(|plan| plan.source.clone()),
        BACKENDS => {
            let since = uri.query().and_then(|query| query.strip_prefix(SINCE));
            let since = since.and_then(|digest| digest.parse().ok());
            tell(entry, since)
        }
        _ => None,
    };
    let mut response = http::Response::new(Full::new(known.clone().unwrap_or_default()));
    if known.is_none_or(|known| known.is_empty()) {
        *response.status_mut() = http::StatusCode::NOT_FOUND;
    }
    response
}

// The list of backend servers, or what has changed since it had this digest if that is known.
fn tell(entry: &state::Entry, since: Option<u64>) -> Option<Bytes> {
    let servers = entry.servers()?;
    let changes = since.and_then(|digest| entry.changes_since(digest));
    let told = match changes {
        Some(changes) => serde_json::to_vec(&changes),
        None => serde_json::to_vec(&servers),
    };
    // What is listed was decoded from text, so it can be written as such.
    told.ok().map(Bytes::from)
}

/// The configuration that another entry has in force, as its adapter received it.
pub async fn configuration(address: net::SocketAddr, slack: time::Duration) -> Option<Bytes> {
    get(address, CONFIGURATION, slack).await
}

/// What another entry knows of the backend servers beyond what this one does.
pub async fn backends(entry: &state::Entry, address: net::SocketAddr) -> Option<plan::News> {
    let path = format!("{BACKENDS}?{SINCE}{}", entry.list_digest());
    let body = get(address, &path, entry.slack()).await?;
    let malformed = |err: &serde_json::Error| {
        entry
            .log
            .line("neighbour_malformed")
            .with("neighbour", address)
            .with("code", code::Code::EntryInvalid)
            .with("error", err);
    };
    match news(&body) {
        Ok((news, unreadable)) => {
            unreadable.iter().for_each(malformed);
            Some(news)
        }
        Err(err) => {
            malformed(&err);
            None
        }
    }
}

/// Decodes a list, or what has changed in one. Errors are those of entries that can't be read.
pub fn news(body: &[u8]) -> Result<(plan::News, Vec<serde_json::Error>), serde_json::Error> {
    if !body.starts_with(b"{") {
        let list = list(body)?;
        return Ok((plan::News::Told(list.servers), list.unreadable));
    }
    let told: Told = serde_json::from_slice(body)?;
    let list = readable(told.listed);
    let changes = plan::Changes {
        listed: list.servers,
        gone: told.gone,
    };
    Ok((plan::News::Changes(changes), list.unreadable))
}

// [`plan::Changes`] with entries that may be unreadable.
#[derive(serde::Deserialize)]
struct Told {
    listed: Vec<serde_json::Value>,
    gone: Vec<(String, plan::Report)>,
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
    serde_json::from_slice(body).map(readable)
}

fn readable(entries: Vec<serde_json::Value>) -> List {
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
    list
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
