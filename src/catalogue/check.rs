//! Parser and validation of catalogue files. Faults are reported with line and column.

use std::{collections, fmt, ops};

use crate::catalogue::schema::{Catalogue, Kind, RouteRule};
use crate::catalogue::{index, lookup};

/// Maximum length of the name of a zone, customer, class, service or model, in bytes. Names are
/// part of frames, log lines and metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Maximum window of a backend server. A larger value is more likely a typing error than the
/// capacity of an engine.
const MAX_WINDOW: u32 = 4096;

/// Maximum weight. A ratio of more than a thousand to one would starve the customer of lower weight
/// for seconds.
const MAX_WEIGHT: f64 = 1000.0;

/// A fault in a catalogue file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the fault.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

/// Parses and validates a catalogue. The result depends only on the text, so all processes of the
/// same version accept the same catalogues.
///
/// # Errors
///
/// Returns all faults, or only the first syntax error.
pub fn parse(text: &str) -> Result<Catalogue, Vec<Fault>> {
    let mut catalogue: Catalogue = match toml::from_str(text) {
        Ok(catalogue) => catalogue,
        Err(err) => return Err(vec![syntax_fault(text, &err)]),
    };
    let mut checker = Checker::new(text);
    checker.check_zones(&catalogue);
    checker.check_classes(&catalogue);
    checker.check_customers(&catalogue);
    checker.check_services(&catalogue);
    checker.check_overlaps(&catalogue);
    if !checker.faults.is_empty() {
        checker.faults.sort_by_key(|f| (f.line, f.column));
        return Err(checker.faults);
    }
    catalogue.index = lookup::build_index(&catalogue);
    Ok(catalogue)
}

fn syntax_fault(text: &str, err: &toml::de::Error) -> Fault {
    let offset = err.span().map_or(0, |s| s.start);
    fault_at(text, offset, err.message().to_owned())
}

fn fault_at(text: &str, offset: usize, message: String) -> Fault {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |position| position + 1);
    Fault {
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
        text: message,
    }
}

/// Segment of the path to a value: a key, or a position in an array.
#[derive(Clone, Copy)]
enum PathSegment<'a> {
    Key(&'a str),
    Index(usize),
}

struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    fn report(&mut self, path: &[PathSegment<'_>], message: impl Into<String>) {
        // Parses the file again for each fault. Faults are few, and the catalogue types, which are
        // used everywhere, need not contain positions.
        let offset = find_span(self.text, path).map_or(0, |span| span.start);
        self.faults
            .push(fault_at(self.text, offset, message.into()));
    }

    fn check_name(&mut self, path: &[PathSegment<'_>], name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            let text =
                format!("{name:?} is not a name of 1 to {MAX_NAME_BYTES} of [A-Za-z0-9-_.:/]");
            self.report(path, text);
        }
    }

    fn check_weight(&mut self, path: &[PathSegment<'_>], weight: f64) {
        if !(weight > 0.0 && weight <= MAX_WEIGHT) {
            self.report(
                path,
                format!("weight {weight} is not above 0 and at most {MAX_WEIGHT}"),
            );
        }
    }

    fn check_zones(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        for (position, zone) in catalogue.evacuated_zones.iter().enumerate() {
            let path = [
                PathSegment::Key("evacuated_zones"),
                PathSegment::Index(position),
            ];
            self.check_name(&path, zone);
            if !names.insert(zone) {
                self.report(&path, format!("zone {zone:?} is declared twice"));
            }
        }
    }

    fn check_classes(&mut self, catalogue: &Catalogue) {
        for (name, class) in &catalogue.classes {
            let path = [
                PathSegment::Key("class"),
                PathSegment::Key(name),
                PathSegment::Key("weight"),
            ];
            self.check_name(&path[..2], name);
            self.check_weight(&path, class.weight);
            if class.deadline_ms == Some(0) {
                let path = [
                    PathSegment::Key("class"),
                    PathSegment::Key(name),
                    PathSegment::Key("deadline_ms"),
                ];
                self.report(&path, "a deadline of 0 ms refuses every request");
            }
        }
    }

    fn check_customers(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        let mut hashes = collections::HashMap::new();
        for (position, customer) in catalogue.customers.iter().enumerate() {
            let field = |key| {
                [
                    PathSegment::Key("customer"),
                    PathSegment::Index(position),
                    PathSegment::Key(key),
                ]
            };
            self.check_name(&field("name"), &customer.name);
            if !names.insert(&customer.name) {
                self.report(
                    &field("name"),
                    format!("customer {:?} is declared twice", customer.name),
                );
            }
            if customer.owner.trim().is_empty() {
                self.report(&field("owner"), "the owner is empty");
            }
            if !catalogue.classes.contains_key(&customer.class) {
                self.report(&field("class"), format!("no class {:?}", customer.class));
            }
            for (n, hash) in customer.key_hashes.iter().enumerate() {
                let [a, b, c] = field("key_hashes");
                let path = [a, b, c, PathSegment::Index(n)];
                match index::decode_hash(hash) {
                    None => self.report(&path, "a key hash is 64 hexadecimal digits of SHA-256"),
                    Some(bytes) => {
                        if let Some(other) = hashes.insert(bytes, &customer.name) {
                            self.report(&path, format!("customer {other:?} has the same key hash"));
                        }
                    }
                }
            }
            self.check_limits(position, &customer.limits);
        }
    }

    fn check_limits(&mut self, position: usize, limits: &crate::catalogue::Limits) {
        let mut check_limit = |key, is_invalid: bool| {
            if is_invalid {
                let path = [
                    PathSegment::Key("customer"),
                    PathSegment::Index(position),
                    PathSegment::Key("limits"),
                    PathSegment::Key(key),
                ];
                self.report(&path, format!("{key} is not above 0"));
            }
        };
        let is_not_positive = |rate: Option<f64>| rate.is_some_and(|r| !(r > 0.0 && r.is_finite()));
        check_limit("concurrency", limits.concurrency == Some(0));
        check_limit("queue", limits.queue == Some(0));
        check_limit("queue_bytes", limits.queue_bytes == Some(0));
        check_limit("requests_per_s", is_not_positive(limits.requests_per_s));
        check_limit("tokens_per_s", is_not_positive(limits.tokens_per_s));
    }

    fn check_services(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        let mut models = collections::HashMap::new();
        for (position, service) in catalogue.services.iter().enumerate() {
            let field = |key| {
                [
                    PathSegment::Key("service"),
                    PathSegment::Index(position),
                    PathSegment::Key(key),
                ]
            };
            self.check_name(&field("name"), &service.name);
            if !names.insert(&service.name) {
                self.report(
                    &field("name"),
                    format!("service {:?} is declared twice", service.name),
                );
            }
            if service.window == 0 || service.window > MAX_WINDOW {
                self.report(&field("window"), format!("window is not 1 to {MAX_WINDOW}"));
            }
            match service.kind {
                Kind::Model if service.models.is_empty() => {
                    self.report(&field("kind"), "a model service names its models");
                }
                Kind::Plain if !service.models.is_empty() => {
                    self.report(&field("models"), "a plain service has no models");
                }
                Kind::Plain if service.routes.is_empty() => {
                    self.report(&field("kind"), "a plain service needs a route");
                }
                Kind::Model | Kind::Plain => {}
            }
            for (n, model) in service.models.iter().enumerate() {
                let [a, b, c] = field("models");
                self.check_name(&[a, b, c, PathSegment::Index(n)], model);
                // Each model has one pool. Two pools would need a rule to divide the requests, and
                // the customers' shares would no longer be comparable.
                if let Some(other) = models.insert(model, &service.name) {
                    let text = format!("model {model:?} is in service {other:?} already");
                    self.report(&[a, b, c, PathSegment::Index(n)], text);
                }
            }
            for (n, rule) in service.routes.iter().enumerate() {
                let [a, b, c] = field("route");
                let path = |key| [a, b, c, PathSegment::Index(n), PathSegment::Key(key)];
                if !rule.path.starts_with('/') || rule.path.contains(['?', '#', ' ']) {
                    self.report(&path("path"), "a path starts with / and has no query");
                }
                self.check_weight(&path("weight"), rule.weight);
            }
        }
    }

    /// Reports rules that apply to the same requests with the same precedence. Requests to model
    /// services are distinguished by model, so rules of different model services cannot overlap.
    fn check_overlaps(&mut self, catalogue: &Catalogue) {
        let mut seen: Vec<(usize, &RouteRule)> = Vec::new();
        for (position, service) in catalogue.services.iter().enumerate() {
            for (n, rule) in service.routes.iter().enumerate() {
                let other = seen.iter().find(|(owner, other)| {
                    let can_overlap = *owner == position
                        || (service.kind == Kind::Plain
                            && catalogue.services[*owner].kind == Kind::Plain);
                    can_overlap && is_overlap(rule, other)
                });
                if let Some((owner, _)) = other {
                    let path = [
                        PathSegment::Key("service"),
                        PathSegment::Index(position),
                        PathSegment::Key("route"),
                        PathSegment::Index(n),
                        PathSegment::Key("path"),
                    ];
                    let name = &catalogue.services[*owner].name;
                    self.report(&path, format!("service {name:?} has this route already"));
                }
                seen.push((position, rule));
            }
        }
    }
}

fn is_overlap(a: &RouteRule, b: &RouteRule) -> bool {
    let has_common_method = a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|m| b.methods.contains(m));
    has_common_method && lookup::trim_slashes(&a.path) == lookup::trim_slashes(&b.path)
}

/// Returns the span of the value at `path`, or of its closest existing ancestor if it is absent.
fn find_span(text: &str, path: &[PathSegment<'_>]) -> Option<ops::Range<usize>> {
    let table = toml::de::DeTable::parse(text).ok()?;
    let (first, rest) = path.split_first()?;
    let PathSegment::Key(key) = *first else {
        return None;
    };
    let mut value = table.get_ref().get(key)?;
    for step in rest {
        let next = match (step, value.get_ref()) {
            (PathSegment::Key(key), toml::de::DeValue::Table(table)) => table.get(*key),
            (PathSegment::Index(position), toml::de::DeValue::Array(array)) => array.get(*position),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    Some(value.span())
}
