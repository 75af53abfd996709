//! How much each customer was served in the last seconds, over all entries.
//!
//! Load pattern: customers ask for many times their share for some seconds, through every entry at
//! once. Counters that never forget would punish a customer long after its burst, or reward one for
//! hours of silence; counters of one entry alone see a part. Here service fades with time, so that
//! two customers with much to do are served equally over any span of a few seconds, and entries add
//! up what the others report.
//!
//! Service counts in cost units when a request is handed over, so that ten requests handed over in
//! one instant don't all look like the first. Time is the duration since the process started.

use std::{collections, time};

use slotmap::SecondaryMap;

use crate::key;

/// Time in which service fades to a third: half of the six seconds over which users compare
/// customers, so that a second without service weighs while it can still be made up for.
pub const FADE: time::Duration = time::Duration::from_secs(3);

/// A sum that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Faded {
    amount: f64,
    at: time::Duration,
}

impl Faded {
    fn now(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.amount * (-passed / FADE.as_secs_f64()).exp()
    }

    fn add(&mut self, now: time::Duration, amount: f64) {
        self.amount = (self.now(now) + amount).max(0.0);
        self.at = now;
    }
}

/// The customers' recent service.
#[derive(Debug, Default)]
pub struct Table {
    own: SecondaryMap<key::Customer, Faded>,
    others: collections::HashMap<u64, SecondaryMap<key::Customer, Faded>>,
}

impl Table {
    /// Counts service of this entry; a negative amount takes back what was not rendered.
    pub fn add(&mut self, now: time::Duration, customer: key::Customer, amount: f64) {
        // `None` only for a key that was removed from its arena.
        if let Some(entry) = self.own.entry(customer) {
            entry.or_default().add(now, amount);
        }
    }

    /// Takes in what another entry reports of one customer.
    pub fn hear(&mut self, now: time::Duration, entry: u64, customer: key::Customer, amount: f64) {
        if !amount.is_finite() || amount < 0.0 {
            return;
        }
        let table = self.others.entry(entry).or_default();
        table.insert(customer, Faded { amount, at: now });
    }

    /// Forgets an entry that is gone.
    pub fn forget(&mut self, entry: u64) {
        self.others.remove(&entry);
    }

    /// What this entry served.
    pub fn own(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.own.get(customer).map_or(0.0, |f| f.now(now))
    }

    /// What all entries served.
    pub fn all(&self, now: time::Duration, customer: key::Customer) -> f64 {
        let heard =
            |table: &SecondaryMap<_, Faded>| table.get(customer).map_or(0.0, |f| f.now(now));
        self.own(now, customer) + self.others.values().map(heard).sum::<f64>()
    }
}
