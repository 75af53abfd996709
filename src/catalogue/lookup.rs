//! Lookups of customers, services and routes that an entry performs for every request.

use crate::catalogue::index;
use crate::catalogue::schema::{Catalogue, Class, Customer, Kind, RouteRule, Service};
use crate::code;

/// Path prefix of a model service without routes.
pub(super) const MODEL_PATH: &str = "/v1";

/// Route of a request.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Service that serves the request.
    pub service: &'a Service,
    /// True if the request is idempotent, so that it may safely run twice.
    pub idempotent: bool,
    /// Factor applied to the cost charged for the request.
    pub weight: f64,
}

/// Builds the lookup tables of a catalogue.
pub(super) fn build_index(catalogue: &Catalogue) -> index::Index {
    let mut index = index::Index::default();
    for (position, customer) in catalogue.customers.iter().enumerate() {
        index.customers.insert(customer.name.clone(), position);
        let hashes = customer.key_hashes.iter();
        for hash in hashes.filter_map(|h| index::decode_hash(h)) {
            index.add_key(hash, position);
        }
    }
    for (position, service) in catalogue.services.iter().enumerate() {
        for model in &service.models {
            index.models.insert(model.clone(), position);
        }
    }
    index
}

impl Catalogue {
    /// Returns the customer that an API key belongs to.
    pub fn customer_by_key(&self, api_key: &str) -> Option<&Customer> {
        self.customers.get(self.index.customer_by_key(api_key)?)
    }

    /// Returns the customer with this name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.get(*self.index.customers.get(name)?)
    }

    /// Returns the class of a customer.
    pub fn class(&self, customer: &Customer) -> Option<&Class> {
        self.classes.get(&customer.class)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the route of a request, by model if it names one and by path otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`code::Code::NoSuchModel`] or [`code::Code::NoSuchRoute`].
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
        let position = *self
            .index
            .models
            .get(model)
            .ok_or(code::Code::NoSuchModel)?;
        let service = &self.services[position];
        if service.routes.is_empty() {
            return if is_path_prefix(MODEL_PATH, path) {
                Ok(Route {
                    service,
                    idempotent: true,
                    weight: 1.0,
                })
            } else {
                Err(code::Code::NoSuchRoute)
            };
        }
        longest_match(service.routes.iter(), method, path)
            .map(|rule| to_route(service, rule, method))
            .ok_or(code::Code::NoSuchRoute)
    }

    fn plain_route(&self, method: &str, path: &str) -> Result<Route<'_>, code::Code> {
        self.services
            .iter()
            .filter(|s| s.kind == Kind::Plain)
            .filter_map(|s| longest_match(s.routes.iter(), method, path).map(|rule| (s, rule)))
            .max_by_key(|(_, rule)| trim_slashes(&rule.path).len())
            .map(|(service, rule)| to_route(service, rule, method))
            .ok_or(code::Code::NoSuchRoute)
    }
}

/// Returns the rule with the longest path prefix that applies to a request.
fn longest_match<'a>(
    rules: impl Iterator<Item = &'a RouteRule>,
    method: &str,
    path: &str,
) -> Option<&'a RouteRule> {
    rules
        .filter(|r| is_path_prefix(&r.path, path) && allows_method(r, method))
        .max_by_key(|r| trim_slashes(&r.path).len())
}

fn to_route<'a>(service: &'a Service, rule: &RouteRule, method: &str) -> Route<'a> {
    let default = service.kind == Kind::Model || is_idempotent_method(method);
    Route {
        service,
        idempotent: rule.idempotent.unwrap_or(default),
        weight: rule.weight,
    }
}

/// Returns whether RFC 9110 (section 9.2.2) defines the method as idempotent.
fn is_idempotent_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}

fn allows_method(rule: &RouteRule, method: &str) -> bool {
    rule.methods.is_empty() || rule.methods.iter().any(|m| m.to_string() == method)
}

/// Returns whether `prefix` consists of the first segments of `path`: `/a` is a prefix of `/a/b`
/// but not of `/ab`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or(path);
    path.strip_prefix(trim_slashes(prefix))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Removes the trailing slashes of a path prefix.
pub(super) fn trim_slashes(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}
