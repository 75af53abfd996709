//! Stand-in for the platform's log service: in memory, with faults that can be injected.

use std::{collections, net, sync, thread, time};

use serde::{Deserialize, Serialize};

use crate::client::log;
use crate::standin::serve;
use crate::{error, listener};

/// Injected faults, set by [`Handle::set_faults`] or `POST /switch`. An absent field leaves its
/// fault unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// True while every request fails with status 503 and has no effect.
    pub outage: Option<bool>,
    /// Number of next appends that are stored but get no response.
    pub lose_answers: Option<u32>,
    /// Number of next appends that are dropped without any effect or response.
    pub lose_appends: Option<u32>,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Offset before which the records of all streams are removed, once.
    pub cut_before: Option<u64>,
}

#[derive(Debug, Default)]
struct Stream {
    next: u64,
    records: collections::VecDeque<log::Record>,
}

#[derive(Debug, Default)]
struct State {
    streams: collections::HashMap<String, Stream>,
    outage: bool,
    lose_answers: u32,
    lose_appends: u32,
    delay: time::Duration,
    appends: u64,
    reads: u64,
}

/// A running log; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address it listens on.
    pub addr: net::SocketAddr,
    shared: sync::Arc<Shared>,
    _server: listener::Server,
}

#[derive(Debug, Default)]
struct Shared {
    state: sync::Mutex<State>,
    appended: sync::Condvar,
}

/// Starts a log at an address.
pub fn spawn(addr: net::SocketAddr, faults: Faults) -> error::Result<Handle> {
    let shared = sync::Arc::new(Shared::default());
    shared.set_faults(faults);
    let handler = sync::Arc::clone(&shared);
    let server = serve::spawn(addr, move |request| handler.serve(request))?;
    Ok(Handle {
        addr: server.addr,
        shared,
        _server: server,
    })
}

impl Handle {
    /// Changes the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns all records that a stream retains.
    pub fn records(&self, stream: &str) -> Vec<log::Record> {
        let state = self.shared.lock();
        let stream = state.streams.get(stream);
        stream
            .map(|s| s.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the number of appends and of reads received so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.appends, state.reads)
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.outage = faults.outage.unwrap_or(state.outage);
        state.lose_answers = faults.lose_answers.unwrap_or(state.lose_answers);
        state.lose_appends = faults.lose_appends.unwrap_or(state.lose_appends);
        state.delay = faults
            .delay_ms
            .map_or(state.delay, time::Duration::from_millis);
        if let Some(before) = faults.cut_before {
            for stream in state.streams.values_mut() {
                stream.records.retain(|r| r.offset >= before);
            }
        }
        drop(state);
        self.appended.notify_all();
    }

    fn serve(&self, request: &serve::Request) -> Option<serve::Response> {
        let (path, [from, max, wait_ms]) =
            serve::parse_query(&request.url, ["from", "max", "wait_ms"]);
        if path == "/switch" {
            return Some(self.serve_faults(&request.body));
        }
        let delay = self.lock().delay;
        thread::sleep(delay);
        if self.lock().outage {
            return Some(serve::response(503, "{}"));
        }
        let name = path
            .strip_prefix("/v1/streams/")
            .and_then(|p| p.strip_suffix("/records"));
        match (&request.method, name) {
            (&hyper::Method::POST, Some(name)) => self.append(name, &request.body),
            (&hyper::Method::GET, Some(name)) => {
                let wait = time::Duration::from_millis(wait_ms.unwrap_or(0));
                let batch = self.read(name, from.unwrap_or(1), max.unwrap_or(1000), wait);
                Some(batch.map_or_else(
                    || serve::response(503, "{}"),
                    |batch| serve::response(200, to_json(&batch)),
                ))
            }
            _ => Some(serve::response(404, "{}")),
        }
    }

    fn serve_faults(&self, text: &str) -> serve::Response {
        match serde_json::from_str(text) {
            Ok(faults) => {
                self.set_faults(faults);
                serve::response(200, "{}")
            }
            Err(err) => serve::response(400, to_json(&err.to_string())),
        }
    }

    /// Appends a record; returns `None` if the response is lost.
    fn append(&self, name: &str, body: &str) -> Option<serve::Response> {
        let mut state = self.lock();
        state.appends += 1;
        if state.lose_appends > 0 {
            state.lose_appends -= 1;
            return None;
        }
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.next = stream.next.max(1);
        let offset = stream.next;
        stream.next += 1;
        let body = body.to_owned();
        stream.records.push_back(log::Record { offset, body });
        let is_response_lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        drop(state);
        self.appended.notify_all();
        (!is_response_lost).then(|| serve::response(200, to_json(&log::Appended { offset })))
    }

    /// Reads records from an offset on; returns `None` during an outage, also if it begins while
    /// the call waits.
    fn read(&self, name: &str, from: u64, max: u64, wait: time::Duration) -> Option<log::Batch> {
        let deadline = time::Instant::now() + wait;
        let mut state = self.lock();
        state.reads += 1;
        loop {
            if state.outage {
                return None;
            }
            let batch = state.batch(name, from, max);
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if !batch.records.is_empty() || remaining.is_zero() {
                return Some(batch);
            }
            let result = self.appended.wait_timeout(state, remaining);
            state = result.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn batch(&self, name: &str, from: u64, max: u64) -> log::Batch {
        let Some(stream) = self.streams.get(name) else {
            return log::Batch {
                first: 1,
                next: 1,
                records: Vec::new(),
            };
        };
        let records = stream.records.iter().filter(|r| r.offset >= from);
        log::Batch {
            first: stream.records.front().map_or(stream.next, |r| r.offset),
            next: stream.next,
            records: records.take(max as usize).cloned().collect(),
        }
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
