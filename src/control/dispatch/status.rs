//! The entry's state as operators see it.

use std::time;

use crate::control::dispatch::{Dispatch, sidecar};
use crate::key;
use crate::report;

impl Dispatch {
    /// The state; what only the process knows is left to it.
    pub(super) fn status(&self, now: time::Duration) -> report::Status {
        report::Status {
            revision: (self.revision > 0).then_some(self.revision),
            waiting: self.waiting.len() as u64,
            running: (self.requests.len() - self.waiting.len()) as u64,
            sidecars: self
                .sidecars
                .values()
                .map(|known| sidecar(now, known))
                .collect(),
            ..report::Status::default()
        }
    }

    /// The customers.
    pub(super) fn report(&mut self, now: time::Duration) -> Vec<report::Customer> {
        let known: Vec<_> = self
            .customers
            .iter()
            .map(|(key, name)| (key, name.to_owned()))
            .collect();
        known
            .into_iter()
            .map(|(key, name)| self.customer(now, key, &name))
            .collect()
    }

    fn customer(
        &mut self,
        now: time::Duration,
        key: key::Customer,
        name: &str,
    ) -> report::Customer {
        let oldest = self
            .waiting
            .oldest(key)
            .and_then(|request| self.requests.get(request));
        let waited = oldest.map(|held| now.saturating_sub(held.arrived).as_millis() as u64);
        report::Customer {
            waiting: u64::from(self.waiting.count(key)),
            oldest_wait_ms: waited.unwrap_or_default(),
            ..self.stats.report(now, key, name)
        }
    }
}

fn sidecar(now: time::Duration, known: &sidecar::Sidecar) -> report::Sidecar {
    let state = match &known.link {
        None => "lost",
        Some(_) if !known.signs.accepts_tickets(now) => "leaving",
        Some(_) if known.is_evacuated => "evacuated",
        Some(_) => "live",
    };
    report::Sidecar {
        instance: known.id.clone(),
        zone: known.zone.clone(),
        service: known.service.clone(),
        state: state.to_owned(),
        waiting: u64::from(known.waiting),
        running: u64::from(known.running),
        window: u64::from(known.window),
        first_token_ms: known.pace.0.as_millis() as u64,
        between_tokens_us: known.pace.1.as_micros() as u64,
    }
}
