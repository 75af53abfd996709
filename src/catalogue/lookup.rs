//! Lookups that an entry makes for every request.

use std::collections;

use subtle::ConstantTimeEq;

use crate::catalogue::check;
use crate::catalogue::schema::{Catalogue, Class, Customer, Kind, RouteRule, Service};
use crate::code;

/// Path under which a model service without routes answers.
pub(super) const MODEL_PATH: &str = "/v1";

/// Where a request goes.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// The service that serves it.
    pub service: &'a Service,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Factor on the cost it is charged.
    pub weight: f64,
}

/// Tables built once for each accepted catalogue.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Key digests and their customers by the digest's first bytes.
    keys: collections::HashMap<u64, Vec<([u8; 32], usize)>>,
    models: collections::HashMap<String, usize>,
    customers: collections::HashMap<String, usize>,
}

impl Index {
    pub(super) fn build(catalogue: &Catalogue) -> Self {
        let mut index = Self::default();
        for (at, customer) in catalogue.customers.iter().enumerate() {
            index.customers.insert(customer.name.clone(), at);
            for hash in customer
                .key_hashes
                .iter()
                .filter_map(|h| check::decode_hash(h))
            {
                index
                    .keys
                    .entry(bucket(&hash))
                    .or_default()
                    .push((hash, at));
            }
        }
        for (at, service) in catalogue.services.iter().enumerate() {
            for model in &service.models {
                index.models.insert(model.clone(), at);
            }
        }
        index
    }
}

impl Catalogue {
    /// The customer that an API key belongs to.
    ///
    /// The key is hashed first, so the table lookup depends on a digest that a caller cannot
    /// steer, and whole digests are compared in constant time.
    pub fn customer_by_key(&self, api_key: &str) -> Option<&Customer> {
        let hash = check::digest(api_key);
        let candidates = self.index.keys.get(&bucket(&hash))?;
        let found = candidates
            .iter()
            .find(|(h, _)| bool::from(h.ct_eq(&hash)))?;
        self.customers.get(found.1)
    }

    /// The customer with this name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.get(*self.index.customers.get(name)?)
    }

    /// The class of a customer.
    pub fn class(&self, customer: &Customer) -> Option<&Class> {
        self.classes.get(&customer.class)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Where a request goes: by model if it names one, by path otherwise.
    pub fn route(
        &self,
        method: &str,
        path: &str,
        model: Option<&str>,
    ) -> Result<Route<'_>, code::Code> {
        match model {
            Some(model) => self.model_route(method, path, model),
            None => self.plain_route(method, path),
        }
    }

    fn model_route(&self, method: &str, path: &str, model: &str) -> Result<Route<'_>, code::Code> {
        let at = *self
            .index
            .models
            .get(model)
            .ok_or(code::Code::NoSuchModel)?;
        let service = &self.services[at];
        if service.routes.is_empty() {
            return if covers(MODEL_PATH, path) {
                Ok(Route {
                    service,
                    idempotent: true,
                    weight: 1.0,
                })
            } else {
                Err(code::Code::NoSuchRoute)
            };
        }
        best(service.routes.iter(), method, path)
            .map(|rule| route(service, rule, method))
            .ok_or(code::Code::NoSuchRoute)
    }

    fn plain_route(&self, method: &str, path: &str) -> Result<Route<'_>, code::Code> {
        self.services
            .iter()
            .filter(|s| s.kind == Kind::Plain)
            .filter_map(|s| best(s.routes.iter(), method, path).map(|rule| (s, rule)))
            .max_by_key(|(_, rule)| trim(&rule.path).len())
            .map(|(service, rule)| route(service, rule, method))
            .ok_or(code::Code::NoSuchRoute)
    }
}

fn best<'a>(
    rules: impl Iterator<Item = &'a RouteRule>,
    method: &str,
    path: &str,
) -> Option<&'a RouteRule> {
    rules
        .filter(|r| covers(&r.path, path) && allows(r, method))
        .max_by_key(|r| trim(&r.path).len())
}

fn route<'a>(service: &'a Service, rule: &RouteRule, method: &str) -> Route<'a> {
    let default = service.kind == Kind::Model || idempotent_method(method);
    Route {
        service,
        idempotent: rule.idempotent.unwrap_or(default),
        weight: rule.weight,
    }
}

/// Methods that RFC 9110 (section 9.2.2) calls idempotent.
fn idempotent_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}

fn allows(rule: &RouteRule, method: &str) -> bool {
    rule.methods.is_empty() || rule.methods.iter().any(|m| m.to_string() == method)
}

/// Whether `prefix` holds for `path`, segment by segment: `/a` covers `/a/b` but not `/ab`.
fn covers(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    path.strip_prefix(trim(prefix))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The prefix without slashes at its end.
pub(super) fn trim(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn bucket(hash: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
