//! Transfer of state between entries, on a port of their own.
//!
//! Without it a process that starts while the platform's store is unavailable would know nothing
//! and refuse every request until the store is back. The configuration is sent as the adapter
//! received it, so that the same code decodes it and its version is kept.

use std::{convert, io, net, rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use prost::Message as _;
use tokio::{net as tokio_net, task};

use super::peer::{case, case_message, message};
use super::{conn, content, evacuation, listing, parts, state};
use crate::code;
use crate::decide;

/// Path of the configuration.
const CONFIGURATION: &str = "/configuration";

/// Path of the list of backend servers, with digests of [`parts::Version::First`].
const BACKENDS: &str = "/backends";

/// Path of the list of backend servers, with digests of [`parts::Version::Second`].
const LIST: &str = "/list";

/// Query of a request that may be refused because of too many others.
const REFUSABLE: &str = "refusable";

/// Path of the cases of requests that crashed backend servers, or may have.
const CASES: &str = "/cases";

/// Path of the evacuated zones.
const EVACUATIONS: &str = "/evacuations";

/// Maximum size of a request body in bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// Timeout of a request to a peer, which responds from memory.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Maximum size of a response in bytes: a configuration with some thousand routes takes one
/// megabyte.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Size of a response in bytes from which it is compressed: smaller ones fit into few packets.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// Why a transfer from a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection couldn't be opened.
    #[error("connect: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("connection broken")]
    Broken,
    /// The peer serves too many others.
    #[error("refused")]
    Refused,
    /// The peer doesn't have the data.
    #[error("not found")]
    NotFound,
    /// The response can't be read.
    #[error("malformed")]
    Malformed,
    /// The transfer timed out.
    #[error("timed out")]
    TimedOut,
}

/// Serves requests of peers on this address until the process ends.
pub async fn serve(entry: rc::Rc<state::Entry>, address: net::SocketAddr) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let entry = rc::Rc::clone(&entry);
        task::spawn_local(async move {
            let serve = service::service_fn(|req: http::Request<Incoming>| {
                let entry = rc::Rc::clone(&entry);
                async move { Ok::<_, convert::Infallible>(answer(&entry, req).await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(TIMEOUT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), serve)
                .await;
            if let Err(err) = served {
                log::debug!(event = "neighbour_connection", error:% = err; "");
            }
        });
    }
}

async fn answer(entry: &state::Entry, req: http::Request<Incoming>) -> http::Response<Full<Bytes>> {
    let is_refusable = req.uri().query() == Some(REFUSABLE);
    if is_refusable && !entry.accepts_transfer() {
        let mut response = http::Response::new(Full::default());
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    let accepts = req.headers().get(http::header::ACCEPT_ENCODING);
    let accepts_compressed = accepts.is_some_and(|value| value == content::ENCODING);
    let content = match req.uri().path() {
        CONFIGURATION => entry
            .configuration()
            .map(|configuration| configuration.source.clone()),
        BACKENDS => list_answer(entry, parts::Version::First, req.into_body()).await,
        LIST => list_answer(entry, parts::Version::Second, req.into_body()).await,
        CASES => Some(Bytes::from(case::encode_all(entry)).into()),
        EVACUATIONS => {
            let evacuations = entry.zones.records();
            let records = message::Evacuations { evacuations }.encode_to_vec();
            Some(Bytes::from(records).into())
        }
        _ => None,
    };
    if let Some(content) = content.filter(|content| !content.plain().is_empty()) {
        return content_response(&content, accepts_compressed);
    }
    let mut response = http::Response::new(Full::default());
    *response.status_mut() = http::StatusCode::NOT_FOUND;
    response
}

fn content_response(content: &content::Content, compressed: bool) -> http::Response<Full<Bytes>> {
    if !compressed || content.plain().len() < MIN_COMPRESSED_BYTES {
        return http::Response::new(Full::new(content.plain().clone()));
    }
    let mut response = http::Response::new(Full::new(content.compressed().clone()));
    let encoding = http::HeaderValue::from_static(content::ENCODING);
    response
        .headers_mut()
        .insert(http::header::CONTENT_ENCODING, encoding);
    response
}

// Returns the list of backend servers, or only the parts whose digests differ from the request's.
// Without valid digests the response is the complete list.
async fn list_answer(
    entry: &state::Entry,
    version: parts::Version,
    body: Incoming,
) -> Option<content::Content> {
    let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    let digests = body.ok().and_then(|body| parts::decode(&body.to_bytes()));
    let mut roster = entry.roster.borrow_mut();
    if !roster.is_complete() {
        return None;
    }
    // Serialization can't fail, since the entries were deserialized before.
    match digests.as_deref() {
        // An entry without a list.
        Some(digests @ [0]) => roster.encoded(|roster| {
            let all = Answer::from(roster.differing_parts(version, digests));
            serde_json::to_vec(&all).ok().map(Bytes::from)
        }),
        Some(digests) => {
            let differing = Answer::from(roster.differing_parts(version, digests));
            serde_json::to_vec(&differing)
                .ok()
                .map(|list| Bytes::from(list).into())
        }
        None => serde_json::to_vec(&roster.servers().collect::<Vec<_>>())
            .ok()
            .map(|list| Bytes::from(list).into()),
    }
}

/// Fetches the configuration that a peer has in force, as its adapter received it.
pub async fn fetch_configuration(
    address: net::SocketAddr,
    extra_timeout: time::Duration,
) -> Result<content::Content, Error> {
    let path = format!("{CONFIGURATION}?{REFUSABLE}");
    fetch(address, &path, Bytes::new(), extra_timeout).await
}

/// Fetches and merges a peer's cases of requests that crashed backend servers, or may have.
pub async fn fetch_cases(entry: &state::Entry, address: net::SocketAddr) {
    // Otherwise the peer has no cases or can't be reached; a later heartbeat names one that can.
    if let Some(cases) = fetch_message::<case_message::Cases>(entry, address, CASES).await {
        case::on_cases(entry, &cases.cases);
    }
}

/// Fetches and applies the evacuations that a peer knows of. Without them an entry that
/// starts while the store is unavailable would send requests to an evacuated zone until the first
/// heartbeat arrives.
pub async fn fetch_evacuations(entry: &state::Entry, address: net::SocketAddr) {
    // Otherwise the peer has none or can't be reached; heartbeats carry what is missing.
    if let Some(message) = fetch_message::<message::Evacuations>(entry, address, EVACUATIONS).await
    {
        let records = message.evacuations.iter();
        let records = records.map(decide::evacuation::Record::from);
        entry.on_evacuations(evacuation::Source::Peer, records);
    }
}

async fn fetch_message<M: prost::Message + Default>(
    entry: &state::Entry,
    address: net::SocketAddr,
    path: &str,
) -> Option<M> {
    let body = fetch(address, path, Bytes::new(), entry.extra_timeout()).await;
    let body = body.ok()?;
    match M::decode(body.plain().clone()) {
        Ok(message) => Some(message),
        Err(err) => {
            log_malformed(entry, address, &err);
            None
        }
    }
}

fn log_malformed(entry: &state::Entry, address: net::SocketAddr, err: &dyn std::fmt::Display) {
    entry
        .log
        .line("neighbour_malformed")
        .with("neighbour", address)
        .with("code", code::Code::EntryInvalid)
        .with("error", err);
}

/// A list of backend servers, or the parts of it that differ, as a peer sent it.
#[derive(Debug)]
pub struct FetchedList {
    /// The list.
    pub update: listing::Update,
    /// The response, if it holds the complete list and all of it could be read.
    pub complete: Option<content::Content>,
}

/// Fetches the parts of a peer's list of backend servers that differ from this entry's, by digests
/// of this version.
pub async fn fetch_backends(
    entry: &state::Entry,
    address: net::SocketAddr,
    version: parts::Version,
) -> Result<FetchedList, Error> {
    let (digests, lacks_list) = {
        let roster = entry.roster.borrow();
        let lacks_list = !roster.is_complete();
        let count = if lacks_list {
            0
        } else {
            roster.servers().count()
        };
        let digests = roster.part_digests(version, parts::count(count));
        (parts::encode(&digests), lacks_list)
    };
    let path = match version {
        parts::Version::First => BACKENDS.to_owned(),
        parts::Version::Second => format!("{LIST}?{REFUSABLE}"),
    };
    let body = fetch(address, &path, digests.into(), entry.extra_timeout()).await?;
    match decode_answer(body.plain()) {
        Ok((update, unreadable)) => {
            for err in &unreadable {
                log_malformed(entry, address, err);
            }
            let is_complete = lacks_list && unreadable.is_empty();
            let complete = is_complete.then_some(body);
            Ok(FetchedList { update, complete })
        }
        Err(err) => {
            log_malformed(entry, address, &err);
            Err(Error::Malformed)
        }
    }
}

/// Fetches a peer's complete list, and adds the versions that this entry's list lacks.
pub async fn fetch_versions(entry: &state::Entry, address: net::SocketAddr) {
    // Without digests the peer sends the complete list.
    let path = format!("{LIST}?{REFUSABLE}");
    let body = fetch(address, &path, Bytes::new(), entry.extra_timeout()).await;
    // Otherwise the peer is busy or can't be reached; a later update names one that can.
    let Ok(body) = body else { return };
    match decode_list(body.plain()) {
        Ok(list) => entry.apply_update(listing::Update::Versions(list.servers)),
        Err(err) => log_malformed(entry, address, &err),
    }
}

/// Decodes a list or parts of one. The second value holds the errors of list entries that can't be
/// read.
pub fn decode_answer(
    body: &[u8],
) -> Result<(listing::Update, Vec<serde_json::Error>), serde_json::Error> {
    if !body.starts_with(b"{") {
        let list = decode_list(body)?;
        return Ok((listing::Update::FromPeer(list.servers), list.unreadable));
    }
    // Only an answer with unreadable entries is decoded entry by entry, which takes twice as long.
    if let Ok(answer) = serde_json::from_slice::<Answer<listing::Server>>(body) {
        let parts = listing::Parts::from(answer);
        return Ok((listing::Update::PartsFromPeer(parts), Vec::new()));
    }
    let answer: Answer<serde_json::Value> = serde_json::from_slice(body)?;
    let list = split_unreadable(answer.listed);
    let parts = listing::Parts {
        count: answer.of,
        indices: answer.parts,
        servers: list.servers,
    };
    Ok((listing::Update::PartsFromPeer(parts), list.unreadable))
}

// Wire format of [`listing::Parts`]; list entries may be unreadable.
#[derive(serde::Deserialize, serde::Serialize)]
struct Answer<T> {
    of: usize,
    parts: Vec<usize>,
    listed: Vec<T>,
}

impl From<listing::Parts> for Answer<listing::Server> {
    fn from(parts: listing::Parts) -> Self {
        Self {
            of: parts.count,
            parts: parts.indices,
            listed: parts.servers,
        }
    }
}

impl From<Answer<listing::Server>> for listing::Parts {
    fn from(answer: Answer<listing::Server>) -> Self {
        Self {
            count: answer.of,
            indices: answer.parts,
            servers: answer.listed,
        }
    }
}

/// A list of backend servers as a peer sent it.
#[derive(Debug)]
pub struct List {
    /// The backend servers.
    pub servers: Vec<listing::Server>,
    /// Errors of the list entries that can't be read.
    pub unreadable: Vec<serde_json::Error>,
}

/// Decodes a list of backend servers. A list entry that can't be read, for instance from another
/// version of the program, is skipped; the others remain valid.
pub fn decode_list(body: &[u8]) -> Result<List, serde_json::Error> {
    serde_json::from_slice(body).map(split_unreadable)
}

fn split_unreadable(entries: Vec<serde_json::Value>) -> List {
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

async fn fetch(
    address: net::SocketAddr,
    path: &str,
    body: Bytes,
    extra_timeout: time::Duration,
) -> Result<content::Content, Error> {
    let call = async {
        let mut conn = conn::open(address).await.map_err(Error::Connect)?;
        let req = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::ACCEPT_ENCODING, content::ENCODING)
            .body(Full::new(body))
            .map_err(|_invalid| Error::Malformed)?;
        let response = conn.send(req).await.map_err(|_lost| Error::Broken)?;
        match response.status() {
            http::StatusCode::OK => {}
            http::StatusCode::SERVICE_UNAVAILABLE => return Err(Error::Refused),
            _ => return Err(Error::NotFound),
        }
        let encoding = response.headers().get(http::header::CONTENT_ENCODING);
        let is_compressed = encoding.is_some_and(|value| value == content::ENCODING);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_broken| Error::Broken)?.to_bytes();
        if is_compressed {
            content::Content::decompress(body, MAX_RESPONSE_BYTES).ok_or(Error::Malformed)
        } else {
            Ok(body.into())
        }
    };
    tokio::time::timeout(TIMEOUT + extra_timeout, call)
        .await
        .unwrap_or(Err(Error::TimedOut))
}
