//! Configuration of an entry: routes, services, customers and limits.

use std::{collections, rc, time};

use smallvec::SmallVec;

use super::content;
use crate::code;

/// One version of the configuration, in full.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; a process never goes back to a smaller one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    hosts: collections::HashMap<String, Vec<rc::Rc<Route>>>,
    // Shortest latency objective of the routes to each service.
    objectives: collections::HashMap<rc::Rc<str>, time::Duration>,
    /// Services by name.
    pub services: collections::HashMap<rc::Rc<str>, Service>,
    /// Customers by API key; `None` if callers need no key.
    pub customers: Option<collections::HashMap<String, Customer>>,
    /// Limits on callers.
    pub limits: Limits,
    /// The configuration as the adapter received it, for peers.
    pub source: content::Content,
}

/// How a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events that another backend server can resume from the id of the last event.
    ResumableStream,
    /// A stream of events that may run at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether a request that may have run may be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service's share of a route, relative to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: rc::Rc<str>,
    /// Weight.
    pub weight: u32,
}

/// Routing rule for a host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, with a slash at its end.
    pub prefix: String,
    /// How its requests may be retried.
    pub kind: RouteKind,
    /// Maximum time for the complete response.
    pub timeout: time::Duration,
    /// Latency objective, to the first event of a stream or to the complete response.
    pub objective: time::Duration,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Services and their weights.
    pub shares: SmallVec<[Share; 2]>,
    /// True if callers need no API key.
    pub is_anonymous: bool,
}

impl Route {
    /// Returns the service for this random number in `0.0..1.0`.
    pub fn service(&self, draw: f64) -> Option<&rc::Rc<str>> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = (draw * total as f64) as u64;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// A service, which is run by a pool of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Number of connections that one backend server accepts from all entries together.
    pub connections: u32,
    /// True if its backend servers are model engines.
    pub is_engine: bool,
    /// Requests a second that a cold backend server can take; 0 if there is no limit.
    pub cold_per_s: f64,
    /// Time for which a backend server stays cold after its start.
    pub cold_start: time::Duration,
    /// Time in which an engine fetches a cached token from another one, in milliseconds; 0 if it
    /// isn't known.
    pub fetch_ms_per_token: f64,
    /// Path of a backend server's health check; empty if there is none.
    pub health_path: String,
}

impl Service {
    /// Returns whether a restarted backend server is asked for how long it stays cold.
    pub fn reports_cold(&self) -> bool {
        self.cold_per_s > 0.0 && !self.health_path.is_empty()
    }
}

/// A customer that API keys belong to.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: rc::Rc<str>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub head_timeout: time::Duration,
    /// Maximum time for which a connection stays open while it is idle.
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // hyper's minimum buffer size; usual heads are under 1 KiB.
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Creates a configuration with these routes.
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let mut hosts: collections::HashMap<String, Vec<rc::Rc<Route>>> =
            collections::HashMap::new();
        let mut objectives = collections::HashMap::new();
        for route in routes {
            for share in &route.shares {
                let shortest = objectives.entry(rc::Rc::clone(&share.service));
                let shortest = shortest.or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
            }
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(rc::Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            hosts,
            objectives,
            ..Self::default()
        }
    }

    /// Returns the route of this host with the longest prefix of the path. The path is compared
    /// byte by byte.
    pub fn route(&self, host: &str, path: &str) -> Result<&rc::Rc<Route>, code::Code> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self
                .hosts
                .get(&host.to_ascii_lowercase())
                .ok_or(code::Code::NoSuchRoute)?,
        };
        let found = routes.iter().find(|r| path.starts_with(&r.prefix));
        found.ok_or(code::Code::NoSuchRoute)
    }

    /// Returns the route with this name.
    pub fn route_named(&self, name: &str) -> Option<&rc::Rc<Route>> {
        let mut routes = self.hosts.values().flatten();
        routes.find(|route| route.name == name)
    }

    /// Returns the customer with this name.
    pub fn customer_named(&self, name: &str) -> Option<&Customer> {
        let mut customers = self.customers.iter().flat_map(|c| c.values());
        customers.find(|customer| &*customer.name == name)
    }

    /// Returns the customer of this API key; `None` if the route or the configuration needs no key.
    pub fn customer(&self, route: &Route, key: &str) -> Result<Option<&Customer>, code::Code> {
        match &self.customers {
            Some(customers) if !route.is_anonymous => match customers.get(key) {
                Some(customer) => Ok(Some(customer)),
                None => Err(code::Code::Unauthorised),
            },
            _ => Ok(None),
        }
    }

    /// Returns the shortest latency objective of the routes to a service, if there are any.
    pub fn shortest_objective(&self, service: &str) -> Option<time::Duration> {
        self.objectives.get(service).copied()
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
