//! Recent service of each customer, over all entries.
//!
//! Load pattern: customers ask for many times their share for some seconds, through every entry at
//! once. Counters that never decay would punish a customer long after its burst, or reward one for
//! hours of silence; counters of a single entry see only a part. Service therefore decays with
//! time, so that two backlogged customers are served equally over any span of a few seconds, and
//! each entry adds up what the others report.
//!
//! A report is about a single entry or is itself a sum over several ([`Source`]); [`aggregate`]
//! decides who sends which.
//!
//! Service is counted in cost units when a request is handed over, so that ten requests handed over
//! at the same instant don't all look like the first. All times are durations since the process
//! started.
//!
//! [`aggregate`]: super::aggregate

use std::{cell, collections, time};

use slotmap::SecondaryMap;

use crate::key;

/// Time in which service decays to a third: half of the six seconds over which users compare
/// customers, so that a second without service counts while it can still be made up for.
pub const DECAY_TIME: time::Duration = time::Duration::from_secs(3);

/// Time for which the service of the best-served customer is assumed not to have decreased. Each
/// decision needs it and would otherwise scan all customers, 7,400 in the largest fleet. Service
/// decays by a sixtieth in this time.
const MAX_SERVED_AGE: time::Duration = time::Duration::from_millis(50);

/// Service of less than one token counts as none.
const MIN_SERVED: f64 = 1.0;

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    amount: f64,
    at: time::Duration,
}

impl DecayingSum {
    pub(super) fn now(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.amount * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, now: time::Duration, amount: f64) {
        self.amount = (self.now(now) + amount).max(0.0);
        self.at = now;
    }
}

/// The entries that a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The sender, by its incarnation, which reports to all entries.
    Entry(u64),
    /// The sender, by its incarnation, which reports to this entry only.
    Child(u64),
    /// The sender, by its incarnation, in the same group, and its children.
    Member(u64),
    /// Another group, by its number, and the children of its members.
    Group(u32),
    /// The whole fleet except this entry, by the entry that this one reports to.
    Parent,
}

/// The entries over which service is summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// This entry.
    Own,
    /// This entry and its children.
    Subtree,
    /// The members of this entry's group and their children.
    Group,
    /// All entries.
    Fleet,
}

impl Source {
    // Returns the narrowest sum that includes the source.
    fn scope(self) -> Scope {
        match self {
            Self::Child(_) => Scope::Subtree,
            Self::Member(_) => Scope::Group,
            Self::Entry(_) | Self::Group(_) | Self::Parent => Scope::Fleet,
        }
    }
}

/// Recent service of all customers.
///
/// The sum over all entries is maintained instead of computed on demand: a decision about an engine
/// with 200 waiting requests needs it 200 times, and with 30 entries each would add up 30 parts.
/// All parts decay alike, so their sum decays as one.
#[derive(Debug, Default)]
pub struct Table {
    own_service: SecondaryMap<key::Customer, DecayingSum>,
    reported: collections::HashMap<Source, SecondaryMap<key::Customer, DecayingSum>>,
    // Sum over all entries.
    fleet_service: SecondaryMap<key::Customer, DecayingSum>,
    max_served: cell::Cell<CachedMax>,
    // Mean service, and when it was computed.
    mean_served: cell::Cell<Option<(f64, time::Duration)>>,
    // The sums that have changed since they were last taken, one bit for each scope.
    changed: SecondaryMap<key::Customer, u8>,
}

/// Service of the best-served customer, and when it was computed.
#[derive(Clone, Copy, Debug, Default)]
struct CachedMax {
    served: DecayingSum,
    looked_up: time::Duration,
}

// `None` only for a key that was removed from its arena.
fn add(
    to: &mut SecondaryMap<key::Customer, DecayingSum>,
    now: time::Duration,
    customer: key::Customer,
    amount: f64,
) {
    if let Some(entry) = to.entry(customer) {
        entry.or_default().add(now, amount);
    }
}

impl Table {
    /// Adds service by this entry. A negative amount takes back service that was not given.
    pub fn add(&mut self, now: time::Duration, customer: key::Customer, amount: f64) {
        // Never takes back more than there is; otherwise service by peers would be deducted.
        let amount = amount.max(-self.own_service(now, customer));
        add(&mut self.own_service, now, customer, amount);
        self.mark_changed(customer, Scope::Own);
        self.add_fleet_service(now, customer, amount);
    }

    /// Merges a report of the customers whose service has changed. The service of all others has
    /// decayed there as it has here.
    pub fn merge(
        &mut self,
        now: time::Duration,
        source: Source,
        served: impl IntoIterator<Item = (key::Customer, f64)>,
    ) {
        let mut table = self.reported.remove(&source).unwrap_or_default();
        for (customer, amount) in served {
            if !(amount.is_finite() && amount >= 0.0) {
                continue;
            }
            // `None` only for a key that was removed from its arena.
            let Some(reported) = table.entry(customer) else {
                continue;
            };
            let reported = reported.or_default();
            let before = reported.now(now);
            *reported = DecayingSum { amount, at: now };
            self.mark_changed(customer, source.scope());
            self.add_fleet_service(now, customer, amount - before);
        }
        self.reported.insert(source, table);
    }

    /// Merges the sums over the whole fleet that the parent reports. They contain this entry's own
    /// service.
    pub fn merge_totals(
        &mut self,
        now: time::Duration,
        totals: impl IntoIterator<Item = (key::Customer, f64)>,
    ) {
        let others = |(customer, total): (key::Customer, f64)| {
            (customer, (total - self.own_service(now, customer)).max(0.0))
        };
        let others: Vec<_> = totals.into_iter().map(others).collect();
        self.merge(now, Source::Parent, others);
    }

    /// Returns the customers whose sum over these entries has changed since the last call.
    pub fn take_changed(&mut self, scope: Scope) -> Vec<key::Customer> {
        let bit = 1 << scope as u8;
        let mut taken = Vec::new();
        self.changed.retain(|customer, scopes| {
            if *scopes & bit != 0 {
                taken.push(customer);
            }
            *scopes &= !bit;
            *scopes != 0
        });
        taken
    }

    /// Removes a source that is gone.
    pub fn forget(&mut self, now: time::Duration, source: Source) {
        let Some(table) = self.reported.remove(&source) else {
            return;
        };
        for (customer, faded) in table {
            add(&mut self.fleet_service, now, customer, -faded.now(now));
        }
    }

    /// Removes all sources for which `is_gone` returns true.
    pub fn forget_all(&mut self, now: time::Duration, is_gone: impl Fn(Source) -> bool) {
        let gone = self.reported.keys().filter(|source| is_gone(**source));
        for source in gone.copied().collect::<Vec<_>>() {
            self.forget(now, source);
        }
    }

    /// Returns the service of a customer by these entries.
    pub fn service(&self, now: time::Duration, customer: key::Customer, scope: Scope) -> f64 {
        match scope {
            Scope::Own => self.own_service(now, customer),
            Scope::Fleet => self.fleet_service(now, customer),
            Scope::Subtree | Scope::Group => {
                let within = self.reported.iter().filter(|(s, _)| s.scope() <= scope);
                let parts = within.filter_map(|(_, table)| table.get(customer));
                let reported = parts.map(|part| part.now(now)).sum::<f64>();
                self.own_service(now, customer) + reported
            }
        }
    }

    /// Returns the service of a customer by this entry.
    pub fn own_service(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.own_service.get(customer).map_or(0.0, |f| f.now(now))
    }

    /// Returns the service of the best-served customer by all entries. It may be out of date by up
    /// to `MAX_SERVED_AGE`, in which it can only have decreased.
    pub fn max_served(&self, now: time::Duration) -> f64 {
        let known = self.max_served.get();
        if known.served.amount > 0.0 && now < known.looked_up + MAX_SERVED_AGE {
            return known.served.now(now);
        }
        let amount = self
            .fleet_service
            .values()
            .map(|f| f.now(now))
            .fold(0.0, f64::max);
        let served = DecayingSum { amount, at: now };
        self.max_served.set(CachedMax {
            served,
            looked_up: now,
        });
        amount
    }

    /// Returns the mean service of the customers that were served at all, by all entries, or `None`
    /// if there is at most one. It may be out of date by up to `MAX_SERVED_AGE`.
    pub fn mean_served(&self, now: time::Duration) -> Option<f64> {
        if let Some((mean, at)) = self.mean_served.get()
            && now < at + MAX_SERVED_AGE
        {
            return Some(mean);
        }
        let served = self.fleet_service.values().map(|f| f.now(now));
        let served = served.filter(|amount| *amount >= MIN_SERVED);
        let (sum, n) = served.fold((0.0, 0), |(sum, n), amount| (sum + amount, n + 1));
        let mean = (n > 1).then(|| sum / f64::from(n))?;
        self.mean_served.set(Some((mean, now)));
        Some(mean)
    }

    fn mark_changed(&mut self, customer: key::Customer, narrowest: Scope) {
        // All scopes from this one on.
        let bits = u8::MAX << narrowest as u8;
        if let Some(scopes) = self.changed.entry(customer) {
            *scopes.or_default() |= bits;
        }
    }

    // Adds to the service by all entries.
    fn add_fleet_service(&mut self, now: time::Duration, customer: key::Customer, amount: f64) {
        add(&mut self.fleet_service, now, customer, amount);
        let served = self.fleet_service(now, customer);
        let known = self.max_served.get_mut();
        if served > known.served.now(now) {
            known.served = DecayingSum {
                amount: served,
                at: now,
            };
        }
    }

    /// Returns the service of a customer by all entries.
    pub fn fleet_service(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.fleet_service.get(customer).map_or(0.0, |f| f.now(now))
    }
}
