//! Reports that a process serves on the operators' port.

use std::collections;
use std::net;

/// State of a process, served at `/status`.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// `entry` or `sidecar`.
    pub role: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Incarnation of the instance: each start of the process has a higher one.
    pub incarnation: u64,
    /// True if the process accepts new work.
    pub ready: bool,
    /// True if the process is shutting down.
    pub leaving: bool,
    /// Catalogue revision in force.
    pub revision: Option<u64>,
    /// Address of the operators' port, filled in by [`crate::ops`].
    pub ops_address: Option<net::SocketAddr>,
    /// Address for callers; only for an entry.
    pub caller_address: Option<net::SocketAddr>,
    /// Service of the backend server; only for a sidecar.
    pub service: Option<String>,
    /// Number of waiting requests (entry) or tickets (sidecar).
    pub waiting: u64,
    /// Number of requests in progress.
    pub running: u64,
    /// Maximum number of concurrent requests; only for a sidecar.
    pub window: Option<u64>,
    /// True if a sidecar accepts requests with an idempotency key, which it refuses for some time
    /// after its start.
    pub decides_keys: bool,
    /// Sidecars known to an entry.
    pub sidecars: Vec<Sidecar>,
}

/// A sidecar as an entry sees it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Sidecar {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service of its backend server.
    pub service: String,
    /// `live`, `leaving`, `suspected`, `lost` or `ejected`.
    pub state: String,
    /// Number of waiting tickets.
    pub waiting: u64,
    /// Number of requests in progress.
    pub running: u64,
    /// Maximum number of concurrent requests.
    pub window: u64,
    /// Recent time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Recent time between tokens, in microseconds.
    pub between_tokens_us: u64,
}

/// Customers of a process, served at `/customers`.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Customers {
    /// Name of the instance.
    pub instance: String,
    /// `entry` or `sidecar`. Both count each request, so totals of the fleet sum only the entries.
    pub role: String,
    /// The customers.
    pub customers: Vec<Customer>,
}

/// A customer as a process sees it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Customer {
    /// Name in the catalogue.
    pub customer: String,
    /// Weight in the catalogue.
    pub weight: f64,
    /// Service provided through this process since it started, in cost units.
    pub service: f64,
    /// Service provided through this process in the last [`RECENT_INTERVAL_MS`], in cost units.
    pub recent: f64,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Number of requests in progress.
    pub running: u64,
    /// Age of the oldest waiting request, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Number of refused requests since the process started, by result code.
    pub refused: collections::BTreeMap<u16, u64>,
}

/// Length of the interval that [`Customer::recent`] covers, in milliseconds. It is long enough to
/// contain several requests of a few seconds each, and short enough to show a burst of requests
/// while it lasts.
pub const RECENT_INTERVAL_MS: u64 = 10_000;

/// Returns the largest difference in recent service per unit of weight between backlogged
/// customers, in cost units.
pub fn backlogged_gap(customers: &[Customer]) -> f64 {
    let backlogged = customers
        .iter()
        .filter(|row| row.waiting > 0 && row.weight > 0.0)
        .map(|row| row.recent / row.weight);
    let (low, high) = backlogged.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), x| {
        (low.min(x), high.max(x))
    });
    (high - low).max(0.0)
}
