//! Lookups that an entry makes for every request.

use crate::catalogue::index;
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

/// Builds the tables of a catalogue.
pub(super) fn build(catalogue: &Catalogue) -> index::Index {
    let mut index = index::Index::default();
    for (at, customer) in catalogue.customers.iter().enumerate() {
        index.customers.insert(customer.name.clone(), at);
        let hashes = customer.key_hashes.iter();
        for hash in hashes.filter_map(|h| index::decode_hash(h)) {
            index.add_key(hash, at);
        }
    }
    for (at, service) in catalogue.services.iter().enumerate() {
        for model in &service.models {
            index.models.insert(model.clone(), at);
        }
    }
    index
}

impl Catalogue {
    /// The customer that an API key belongs to.
    pub fn customer_by_key(&self, api_key: &str) -> Option<&Customer> {
        self.customers.get(self.index.customer_by_key(api_key)?)
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
