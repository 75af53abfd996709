//! Stand-in for the platform's instance list: in memory, with a configurable lag.

use std::{collections, net, sync, time};

use serde::{Deserialize, Serialize};

use crate::client::instances;
use crate::standin::serve;
use crate::{error, listener};

/// Time after which an instance is removed unless it registers again.
const TTL: time::Duration = time::Duration::from_secs(60);

/// Maximum number of versions stored, from which a lagging list is served.
const MAX_HISTORY: usize = 4096;

/// Injected faults, set by [`Handle::set_faults`] or `POST /switch`. An absent field leaves its
/// fault unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// True while every request fails with status 503 and has no effect.
    pub outage: Option<bool>,
    /// Age in milliseconds of the version of the list that is served.
    pub lag_ms: Option<u64>,
}

#[derive(Debug)]
struct Row {
    instance: instances::Instance,
    registered_at: time::Instant,
}

#[derive(Debug, Default)]
struct State {
    rows: collections::BTreeMap<String, Row>,
    version: u64,
    history: collections::VecDeque<(time::Instant, sync::Arc<instances::List>)>,
    outage: bool,
    lag: time::Duration,
}

/// A running instance list; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address it listens on.
    pub addr: net::SocketAddr,
    state: sync::Arc<sync::Mutex<State>>,
    _server: listener::Server,
}

/// Starts an instance list at an address.
pub fn spawn(addr: net::SocketAddr, faults: Faults) -> error::Result<Handle> {
    let state = sync::Arc::new(sync::Mutex::new(State::default()));
    lock(&state).set_faults(faults);
    let rows = sync::Arc::clone(&state);
    let server = serve::spawn(addr, move |request| Some(serve(&rows, request)))?;
    Ok(Handle {
        addr: server.addr,
        state,
        _server: server,
    })
}

impl Handle {
    /// Changes the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).set_faults(faults);
    }

    /// Registers an instance as a `PUT` request would.
    pub fn put(&self, instance: instances::Instance) {
        lock(&self.state).put(instance, time::Instant::now());
    }

    /// Removes an instance from the list.
    pub fn delete(&self, id: &str) {
        lock(&self.state).delete(id, time::Instant::now());
    }
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl State {
    fn set_faults(&mut self, faults: Faults) {
        self.outage = faults.outage.unwrap_or(self.outage);
        self.lag = faults.lag_ms.map_or(self.lag, time::Duration::from_millis);
    }

    fn put(&mut self, instance: instances::Instance, now: time::Instant) {
        let id = instance.id.clone();
        let previous = self.rows.insert(
            id.clone(),
            Row {
                instance,
                registered_at: now,
            },
        );
        if previous.is_none_or(|row| row.instance != self.rows[&id].instance) {
            self.add_version(now);
        }
    }

    fn delete(&mut self, id: &str, now: time::Instant) {
        if self.rows.remove(id).is_some() {
            self.add_version(now);
        }
    }

    fn expire(&mut self, now: time::Instant) {
        let old_len = self.rows.len();
        self.rows
            .retain(|_, row| now.duration_since(row.registered_at) < TTL);
        if self.rows.len() != old_len {
            self.add_version(now);
        }
    }

    fn add_version(&mut self, now: time::Instant) {
        self.version += 1;
        let list = instances::List {
            version: self.version,
            instances: self.rows.values().map(|row| row.instance.clone()).collect(),
        };
        self.history.push_back((now, sync::Arc::new(list)));
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Returns the list as it was `lag` ago.
    fn list(&mut self, now: time::Instant) -> sync::Arc<instances::List> {
        self.expire(now);
        let is_visible = |at: time::Instant| now.duration_since(at) >= self.lag;
        let found = self.history.iter().rev().find(|(at, _)| is_visible(*at));
        found
            .map(|(_, list)| sync::Arc::clone(list))
            .unwrap_or_default()
    }
}

fn serve(state: &sync::Mutex<State>, request: &serve::Request) -> serve::Response {
    let now = time::Instant::now();
    let (path, [known]) = serve::parse_query(&request.url, ["known"]);
    if path == "/switch" {
        return match serde_json::from_str(&request.body) {
            Ok(faults) => {
                lock(state).set_faults(faults);
                serve::response(200, "{}")
            }
            Err(_) => serve::response(400, "{}"),
        };
    }
    if lock(state).outage {
        return serve::response(503, "{}");
    }
    match (&request.method, path.strip_prefix("/v1/instances/")) {
        (&hyper::Method::GET, None) if path == "/v1/instances" => {
            let list = lock(state).list(now);
            if known == Some(list.version) {
                return serve::response(204, "");
            }
            serve::response(200, serde_json::to_string(&*list).unwrap_or_default())
        }
        (&hyper::Method::PUT, Some(id)) => {
            match serde_json::from_str::<instances::Instance>(&request.body) {
                Ok(instance) if instance.id == id => {
                    lock(state).put(instance, now);
                    serve::response(200, "{}")
                }
                _ => serve::response(400, "{}"),
            }
        }
        (&hyper::Method::DELETE, Some(id)) => {
            lock(state).delete(id, now);
            serve::response(200, "{}")
        }
        _ => serve::response(404, "{}"),
    }
}
