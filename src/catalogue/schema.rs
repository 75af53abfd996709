//! The types of a catalogue file, field by field.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::catalogue::index;

/// A whole catalogue file.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Availability zones whose backend servers get nothing new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated_zones: Vec<String>,
    /// Customers, `[[customer]]`.
    #[serde(default, rename = "customer")]
    pub customers: Vec<Customer>,
    /// Classes by name, `[class.NAME]`.
    #[serde(default, rename = "class")]
    pub classes: collections::BTreeMap<String, Class>,
    /// Services, `[[service]]`.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Lookup tables, built by [`crate::catalogue::parse`].
    #[serde(skip)]
    pub(super) index: index::Index,
}

/// A customer that shares the common capacity.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Who answers for this entry.
    pub owner: String,
    /// Name of the customer's class.
    pub class: String,
    /// SHA-256 of each API key, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Limits of this customer.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one customer in the whole fleet. A limit that is absent does not apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests in progress at once.
    pub concurrency: Option<u32>,
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Tokens a second, prompt and completion together.
    pub tokens_per_s: Option<f64>,
    /// Requests that wait at once.
    pub queue: Option<u32>,
    /// Body bytes of the requests that wait.
    pub queue_bytes: Option<u64>,
}

/// A class of customers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Share relative to other classes; a customer of weight 2 receives twice that of weight 1.
    pub weight: f64,
    /// Deadline of requests that name none, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What a service's backend servers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines; requests are chosen by the model they name.
    #[display("model")]
    Model,
    /// Any HTTP service; requests are chosen by path.
    #[display("plain")]
    Plain,
}

/// A service and its pool of backend servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; sidecars are started with it.
    pub name: String,
    /// Who answers for this entry.
    #[serde(default)]
    pub owner: String,
    /// What the backend servers are.
    pub kind: Kind,
    /// Models that the service serves; empty for plain services.
    #[serde(default)]
    pub models: Vec<String>,
    /// Requests a backend server runs at once to begin with.
    pub window: u32,
    /// Whether the backend servers refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Paths that lead here; a model service without any serves everything under `/v1`.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRule>,
}

/// An HTTP method that a route names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "UPPERCASE")]
#[expect(missing_docs, reason = "the names are HTTP's own")]
pub enum Method {
    #[display("GET")]
    Get,
    #[display("HEAD")]
    Head,
    #[display("OPTIONS")]
    Options,
    #[display("POST")]
    Post,
    #[display("PUT")]
    Put,
    #[display("PATCH")]
    Patch,
    #[display("DELETE")]
    Delete,
}

/// A rule by which requests reach a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Path prefix, matched on whole segments; the longest match wins.
    pub path: String,
    /// Methods that the rule holds for; empty is all.
    #[serde(default)]
    pub methods: Vec<Method>,
    /// Whether such a request may run twice without harm. Default: safe and idempotent HTTP
    /// methods and all requests to models may, others may not.
    pub idempotent: Option<bool>,
    /// Factor on the cost that such a request is charged.
    #[serde(default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}
