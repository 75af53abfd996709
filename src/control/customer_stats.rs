//! Statistics of each customer for operators: service, running requests and refusals.

use std::{collections, time};

use slotmap::SecondaryMap;

use crate::report;
use crate::{code, key};

/// Number of slots of the recent service; each covers a tenth of the reported interval.
const SLOT_COUNT: usize = 10;

/// Duration of one slot.
const SLOT_DURATION: time::Duration =
    time::Duration::from_millis(report::RECENT_INTERVAL_MS / SLOT_COUNT as u64);

/// Statistics of all customers.
#[derive(Debug, Default)]
pub struct Table {
    customers: SecondaryMap<key::Customer, Stats>,
}

#[derive(Clone, Debug, Default)]
struct Stats {
    service: f64,
    slots: [f64; SLOT_COUNT],
    newest: u64,
    running: u32,
    weight: f64,
    refused: collections::BTreeMap<u16, u64>,
}

impl Stats {
    fn advance(&mut self, now: time::Duration) {
        let slot = (now.as_millis() / SLOT_DURATION.as_millis()) as u64;
        let passed = slot.saturating_sub(self.newest).min(SLOT_COUNT as u64);
        for age in 0..passed {
            self.slots[((slot - age) % SLOT_COUNT as u64) as usize] = 0.0;
        }
        self.newest = self.newest.max(slot);
    }
}

impl Table {
    fn stats(&mut self, customer: key::Customer) -> Option<&mut Stats> {
        self.customers
            .entry(customer)
            .map(slotmap::secondary::Entry::or_default)
    }

    /// Sets the weight of a customer.
    pub fn set_weight(&mut self, customer: key::Customer, weight: f64) {
        if let Some(stats) = self.stats(customer) {
            stats.weight = weight;
        }
    }

    /// Adds service that a customer received, in units of cost.
    pub fn add_service(&mut self, now: time::Duration, customer: key::Customer, cost: f64) {
        if let Some(stats) = self.stats(customer) {
            stats.advance(now);
            let slot = (stats.newest % SLOT_COUNT as u64) as usize;
            stats.slots[slot] += cost;
            stats.service += cost;
        }
    }

    /// Adds `change` to the customer's running requests: 1 for a start, -1 for an end.
    pub fn add_running(&mut self, customer: key::Customer, change: i32) {
        if let Some(stats) = self.stats(customer) {
            stats.running = stats.running.saturating_add_signed(change);
        }
    }

    /// Counts a refused request.
    pub fn count_refusal(&mut self, customer: key::Customer, code: code::Code) {
        if let Some(stats) = self.stats(customer) {
            *stats.refused.entry(code.number()).or_default() += 1;
        }
    }

    /// Returns the report on one customer, without the fields that the caller fills in.
    pub fn report(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        name: &str,
    ) -> report::Customer {
        let Some(stats) = self.stats(customer) else {
            return report::Customer::default();
        };
        stats.advance(now);
        report::Customer {
            customer: name.to_owned(),
            weight: stats.weight,
            service: stats.service,
            recent: stats.slots.iter().sum(),
            running: u64::from(stats.running),
            refused: stats.refused.clone(),
            ..report::Customer::default()
        }
    }
}
