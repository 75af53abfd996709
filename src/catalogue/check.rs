//! Reads a catalogue file and finds its faults, each with line and column.

use std::{collections, fmt, ops};

use crate::catalogue::schema::{Catalogue, Kind, RouteRule};
use crate::catalogue::{index, lookup};

/// Longest name of a customer, class, service or model, in bytes: they travel in frames, log lines
/// and metric labels.
const NAME_LIMIT: usize = 64;

/// Largest window of a backend server; beyond it a typing error is likelier than an engine.
const WINDOW_LIMIT: u32 = 4096;

/// Largest weight: a share of more than a thousand to one starves the other side for seconds.
const WEIGHT_LIMIT: f64 = 1000.0;

/// A fault in a catalogue file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

/// Reads a catalogue and checks it. The verdict depends on the text alone, so all processes that
/// run the same version agree on it.
pub fn parse(text: &str) -> Result<Catalogue, Vec<Fault>> {
    let mut catalogue: Catalogue = match toml::from_str(text) {
        Ok(catalogue) => catalogue,
        Err(err) => return Err(vec![syntax_fault(text, &err)]),
    };
    let mut check = Check::new(text);
    check.zones(&catalogue);
    check.classes(&catalogue);
    check.customers(&catalogue);
    check.services(&catalogue);
    check.overlaps(&catalogue);
    if !check.faults.is_empty() {
        check.faults.sort_by_key(|f| (f.line, f.column));
        return Err(check.faults);
    }
    catalogue.index = lookup::build(&catalogue);
    Ok(catalogue)
}

fn syntax_fault(text: &str, err: &toml::de::Error) -> Fault {
    let offset = err.span().map_or(0, |s| s.start);
    fault_at(text, offset, err.message().to_owned())
}

fn fault_at(text: &str, offset: usize, message: String) -> Fault {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    Fault {
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
        text: message,
    }
}

/// A step on the way to a value: a key, or a position in an array.
#[derive(Clone, Copy)]
enum Step<'a> {
    Key(&'a str),
    At(usize),
}

struct Check<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, path: &[Step<'_>], message: impl Into<String>) {
        // The file is parsed a second time for each fault: faults are few and this keeps
        // positions out of the types that everything else uses.
        let offset = locate(self.text, path).map_or(0, |span| span.start);
        self.faults
            .push(fault_at(self.text, offset, message.into()));
    }

    fn name(&mut self, path: &[Step<'_>], name: &str) {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
        if name.is_empty() || name.len() > NAME_LIMIT || !name.chars().all(fits) {
            let text = format!("{name:?} is not a name of 1 to {NAME_LIMIT} of [A-Za-z0-9-_.:/]");
            self.fault(path, text);
        }
    }

    fn weight(&mut self, path: &[Step<'_>], weight: f64) {
        if !(weight > 0.0 && weight <= WEIGHT_LIMIT) {
            self.fault(
                path,
                format!("weight {weight} is not above 0 and at most {WEIGHT_LIMIT}"),
            );
        }
    }

    fn zones(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        for (at, zone) in catalogue.evacuated_zones.iter().enumerate() {
            let path = [Step::Key("evacuated_zones"), Step::At(at)];
            self.name(&path, zone);
            if !names.insert(zone) {
                self.fault(&path, format!("zone {zone:?} stands twice"));
            }
        }
    }

    fn classes(&mut self, catalogue: &Catalogue) {
        for (name, class) in &catalogue.classes {
            let path = [Step::Key("class"), Step::Key(name), Step::Key("weight")];
            self.name(&path[..2], name);
            self.weight(&path, class.weight);
            if class.deadline_ms == Some(0) {
                let path = [
                    Step::Key("class"),
                    Step::Key(name),
                    Step::Key("deadline_ms"),
                ];
                self.fault(&path, "a deadline of 0 ms refuses every request");
            }
        }
    }

    fn customers(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        let mut hashes = collections::HashMap::new();
        for (at, customer) in catalogue.customers.iter().enumerate() {
            let field = |key| [Step::Key("customer"), Step::At(at), Step::Key(key)];
            self.name(&field("name"), &customer.name);
            if !names.insert(&customer.name) {
                self.fault(
                    &field("name"),
                    format!("customer {:?} stands twice", customer.name),
                );
            }
            if customer.owner.trim().is_empty() {
                self.fault(&field("owner"), "the owner is empty");
            }
            if !catalogue.classes.contains_key(&customer.class) {
                self.fault(&field("class"), format!("no class {:?}", customer.class));
            }
            for (n, hash) in customer.key_hashes.iter().enumerate() {
                let [a, b, c] = field("key_hashes");
                let path = [a, b, c, Step::At(n)];
                match index::decode_hash(hash) {
                    None => self.fault(&path, "a key hash is 64 hexadecimal digits of SHA-256"),
                    Some(bytes) => {
                        if let Some(other) = hashes.insert(bytes, &customer.name) {
                            self.fault(&path, format!("customer {other:?} has the same key hash"));
                        }
                    }
                }
            }
            self.limits(at, &customer.limits);
        }
    }

    fn limits(&mut self, at: usize, limits: &crate::catalogue::Limits) {
        let mut bad = |key, wrong: bool| {
            if wrong {
                let path = [
                    Step::Key("customer"),
                    Step::At(at),
                    Step::Key("limits"),
                    Step::Key(key),
                ];
                self.fault(&path, format!("{key} is not above 0"));
            }
        };
        let not_positive = |rate: Option<f64>| rate.is_some_and(|r| !(r > 0.0 && r.is_finite()));
        bad("concurrency", limits.concurrency == Some(0));
        bad("queue", limits.queue == Some(0));
        bad("queue_bytes", limits.queue_bytes == Some(0));
        bad("requests_per_s", not_positive(limits.requests_per_s));
        bad("tokens_per_s", not_positive(limits.tokens_per_s));
    }

    fn services(&mut self, catalogue: &Catalogue) {
        let mut names = collections::HashSet::new();
        let mut models = collections::HashMap::new();
        for (at, service) in catalogue.services.iter().enumerate() {
            let field = |key| [Step::Key("service"), Step::At(at), Step::Key(key)];
            self.name(&field("name"), &service.name);
            if !names.insert(&service.name) {
                self.fault(
                    &field("name"),
                    format!("service {:?} stands twice", service.name),
                );
            }
            if service.window == 0 || service.window > WINDOW_LIMIT {
                self.fault(
                    &field("window"),
                    format!("window is not 1 to {WINDOW_LIMIT}"),
                );
            }
            match service.kind {
                Kind::Model if service.models.is_empty() => {
                    self.fault(&field("kind"), "a model service names its models");
                }
                Kind::Plain if !service.models.is_empty() => {
                    self.fault(&field("models"), "a plain service has no models");
                }
                Kind::Plain if service.routes.is_empty() => {
                    self.fault(&field("kind"), "a plain service needs a route");
                }
                Kind::Model | Kind::Plain => {}
            }
            for (n, model) in service.models.iter().enumerate() {
                let [a, b, c] = field("models");
                self.name(&[a, b, c, Step::At(n)], model);
                // One pool for each model: two would need a rule that divides its requests, and
                // shares would no longer be comparable.
                if let Some(other) = models.insert(model, &service.name) {
                    let text = format!("model {model:?} is in service {other:?} already");
                    self.fault(&[a, b, c, Step::At(n)], text);
                }
            }
            for (n, rule) in service.routes.iter().enumerate() {
                let [a, b, c] = field("route");
                let path = |key| [a, b, c, Step::At(n), Step::Key(key)];
                if !rule.path.starts_with('/') || rule.path.contains(['?', '#', ' ']) {
                    self.fault(&path("path"), "a path starts with / and has no query");
                }
                self.weight(&path("weight"), rule.weight);
            }
        }
    }

    /// Two rules that hold for the same requests with the same precedence. Model services are told
    /// apart by model, so only rules inside one of them can overlap.
    fn overlaps(&mut self, catalogue: &Catalogue) {
        let mut seen: Vec<(usize, &RouteRule)> = Vec::new();
        for (at, service) in catalogue.services.iter().enumerate() {
            for (n, rule) in service.routes.iter().enumerate() {
                let other = seen.iter().find(|(owner, other)| {
                    let comparable = *owner == at
                        || (service.kind == Kind::Plain
                            && catalogue.services[*owner].kind == Kind::Plain);
                    comparable && overlap(rule, other)
                });
                if let Some((owner, _)) = other {
                    let path = [
                        Step::Key("service"),
                        Step::At(at),
                        Step::Key("route"),
                        Step::At(n),
                        Step::Key("path"),
                    ];
                    let name = &catalogue.services[*owner].name;
                    self.fault(&path, format!("service {name:?} has this route already"));
                }
                seen.push((at, rule));
            }
        }
    }
}

fn overlap(a: &RouteRule, b: &RouteRule) -> bool {
    let shared = a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|m| b.methods.contains(m));
    shared && lookup::trim(&a.path) == lookup::trim(&b.path)
}

/// Where the value at `path` stands; where its parent does if it is absent.
fn locate(text: &str, path: &[Step<'_>]) -> Option<ops::Range<usize>> {
    let table = toml::de::DeTable::parse(text).ok()?;
    let (first, rest) = path.split_first()?;
    let Step::Key(key) = *first else { return None };
    let mut value = table.get_ref().get(key)?;
    for step in rest {
        let next = match (step, value.get_ref()) {
            (Step::Key(key), toml::de::DeValue::Table(table)) => table.get(*key),
            (Step::At(at), toml::de::DeValue::Array(array)) => array.get(*at),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    Some(value.span())
}
