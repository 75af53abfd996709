//! The sidecar's state as operators see it.

use std::sync::atomic;
use std::time;

use crate::control::backend::Backend;
use crate::report;

impl Backend {
    /// The state; what only the process knows is left to it.
    pub(super) fn status(&self, now: time::Duration) -> report::Status {
        let revision = self.setup.gauges.revision.load(atomic::Ordering::Relaxed);
        report::Status {
            revision: (revision > 0).then_some(revision),
            leaving: self.leaving,
            decides_keys: self.keyed.settled(now),
            service: Some(self.setup.settings.service.clone()),
            window: Some(u64::from(self.places())),
            running: u64::from(self.running),
            waiting: self.queue.len() as u64,
            ..report::Status::default()
        }
    }

    /// The customers.
    pub(super) fn report(&mut self, now: time::Duration) -> Vec<report::Customer> {
        let stats = &mut self.stats;
        self.customers
            .iter()
            .map(|(key, name)| report::Customer {
                waiting: u64::from(self.queue.waiting(key)),
                ..stats.report(now, key, name)
            })
            .collect()
    }
}
