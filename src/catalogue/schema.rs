//! Schema of catalogue files.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::catalogue::index;

/// Contents of a catalogue file.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Availability zones whose backend servers get no new requests.
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

/// A customer of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Owner of this declaration.
    pub owner: String,
    /// Name of the customer's class.
    pub class: String,
    /// SHA-256 digests of the API keys, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Limits of this customer.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of a customer across the fleet. An absent limit does not apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub concurrency: Option<u32>,
    /// Maximum requests per second.
    pub requests_per_s: Option<f64>,
    /// Maximum prompt and completion tokens per second.
    pub tokens_per_s: Option<f64>,
    /// Maximum number of waiting requests.
    pub queue: Option<u32>,
    /// Maximum total size of the bodies of waiting requests, in bytes.
    pub queue_bytes: Option<u64>,
}

/// A class of customers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Share relative to other classes: a customer of weight 2 gets twice the service of one of
    /// weight 1.
    pub weight: f64,
    /// Deadline of requests without one of their own, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// Kind of a service's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines. Requests are routed by the model that they name.
    #[display("model")]
    Model,
    /// Any HTTP service. Requests are routed by path.
    #[display("plain")]
    Plain,
}

/// A service and its pool of backend servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, by which the settings of a sidecar refer to its service.
    pub name: String,
    /// Owner of this declaration.
    #[serde(default)]
    pub owner: String,
    /// Kind of the backend servers.
    pub kind: Kind,
    /// Models of the service; empty for plain services.
    #[serde(default)]
    pub models: Vec<String>,
    /// Initial maximum number of concurrent requests at a backend server.
    pub window: u32,
    /// True if the backend servers reject an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Routing rules. A model service without rules serves all paths under `/v1`.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRule>,
}

/// HTTP method of a routing rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "UPPERCASE")]
#[expect(missing_docs, reason = "the variants are standard HTTP methods")]
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

/// Rule that routes requests to a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Path prefix, matched by complete segments. The longest match applies.
    pub path: String,
    /// Methods that the rule applies to; all methods if empty.
    #[serde(default)]
    pub methods: Vec<Method>,
    /// True if matching requests are idempotent, so that they may safely run twice. By default,
    /// requests to models and those with an idempotent HTTP method are.
    pub idempotent: Option<bool>,
    /// Factor applied to the cost charged for a request.
    #[serde(default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}
