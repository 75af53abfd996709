//! Fleet-wide service totals, aggregated from what each entry has charged.
//!
//! Load pattern: a customer's requests enter through several entries and run on many backend
//! servers, so that no process sees all of its service. Without totals a customer would count once
//! per entry it uses, and one that is alone on its entry would get all of that entry's capacity.
//!
//! An entry counts what it has charged to a customer, cumulatively for its incarnation, and reports
//! it to the customer's home entries, chosen by rendezvous hashing. A home merges the reports of
//! each (process, incarnation) by maximum, so that lost, repeated and reordered reports do no harm.
//! Its reply has the total and the part of the reporter's charges that the total contains. Totals
//! never decrease. Of several homes, the entry uses the highest total.
//!
//! A home that starts empty takes the highest total that reporters carry for [`SEED_PERIOD`]; after
//! that it only adds increments. While a home is up, its totals are exact. The restart of a home
//! may misplace once what was charged in about one report interval; the restart of an entry loses
//! what it charged since its last report. Neither resets a total.

use std::{collections, time};

use slotmap::SecondaryMap;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::{decide::share, key};

/// Number of home entries of a customer. With two, a total survives the failure of either.
pub const HOMES_PER_CUSTOMER: usize = 2;

/// Maximum number of entries at which each is a home of every customer. Reports go to all peers
/// anyway then, and a total spreads in one exchange instead of two.
pub const ALL_HOMES_MAX_ENTRIES: usize = 4;

/// Time for which a home that started empty accepts the totals of reporters: two of the longest
/// report intervals, so that every live entry has reported.
pub const SEED_PERIOD: time::Duration = time::Duration::from_secs(4);

/// Time without a report after which a customer counts as idle in the whole fleet and is lifted to
/// the virtual time when it returns: twice the longest report interval.
pub const IDLE_AFTER: time::Duration = time::Duration::from_secs(4);

/// Minimum time between two reports of a customer. With a shorter one the totals would be fresher
/// than the cost of a running request, which is charged only as it is served.
pub const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum time between two reports of a waiting customer.
pub const MAX_REPORT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Bytes per second, in and out together, that an entry spends on reports where every entry is a
/// home. With 16 customers a report then leaves about every three quarters of a second.
pub const ALL_HOMES_BYTES_PER_S: usize = 6_000;

/// The same budget where customers have homes. Together with heartbeats, totals to sidecars and
/// membership it must stay below 6,000 bytes a second.
pub const HOMES_BYTES_PER_S: usize = 2_500;

/// Minimum time between two frames of totals from an entry to a sidecar.
pub const MIN_TOTALS_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A reporting process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Source {
    /// Hash of the process's name.
    pub process: u64,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Account of one customer that one process sends to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// The customer.
    pub customer: key::Customer,
    /// Weighted service that the reporter has charged, cumulative for its incarnation.
    pub charged: f64,
    /// Fleet total known to the sender.
    pub total: f64,
    /// Part of `charged` that `total` contains.
    pub charged_in_total: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sum {
    total: f64,
    seeded: bool,
    reported_at: time::Duration,
}

/// Fleet totals kept by a home.
#[derive(Debug)]
pub struct Totals {
    since: time::Duration,
    sums: SecondaryMap<key::Customer, Sum>,
    counted: collections::HashMap<(key::Customer, Source), f64>,
}

/// Times of an entry's last reports.
#[derive(Debug, Default)]
pub struct Reporter {
    sent: SecondaryMap<key::Customer, time::Duration>,
}

/// Returns the homes of a customer as positions in `entries`, the first choice first.
pub fn homes(customer: u64, entries: &[u64]) -> SmallVec<[usize; ALL_HOMES_MAX_ENTRIES]> {
    if entries.len() <= ALL_HOMES_MAX_ENTRIES {
        return (0..entries.len()).collect();
    }
    let score = |entry: u64| xxh3::xxh3_64_with_seed(&entry.to_le_bytes(), customer);
    let mut best = SmallVec::<[(u64, usize); ALL_HOMES_MAX_ENTRIES]>::new();
    for (at, entry) in entries.iter().enumerate() {
        best.push((score(*entry), at));
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.truncate(HOMES_PER_CUSTOMER);
    }
    best.into_iter().map(|(_, at)| at).collect()
}

impl Totals {
    /// Creates empty totals for a process that starts now, or that has become home of other
    /// customers.
    pub fn new(now: time::Duration) -> Self {
        Self {
            since: now,
            sums: SecondaryMap::new(),
            counted: collections::HashMap::new(),
        }
    }

    /// Returns the number of customers with a total.
    pub fn len(&self) -> usize {
        self.sums.len()
    }

    /// Returns whether there is no total.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// Merges a report and returns the total. `floor` is the virtual time, to which a customer is
    /// lifted that no entry reported for [`IDLE_AFTER`].
    pub fn merge(
        &mut self,
        now: time::Duration,
        source: Source,
        account: Account,
        floor: f64,
    ) -> Option<Account> {
        let is_seeding = now < self.since + SEED_PERIOD;
        let sum = self.sums.entry(account.customer)?.or_insert(Sum {
            total: 0.0,
            seeded: false,
            reported_at: time::Duration::ZERO,
        });
        let known = self.counted.entry((account.customer, source));
        let first = matches!(known, collections::hash_map::Entry::Vacant(_));
        let counted = known.or_insert(0.0);
        let increment = (account.charged - *counted).max(0.0);
        sum.seeded |= is_seeding && account.total > 0.0;
        if is_seeding && sum.seeded {
            // The highest total that the reporter can prove: the one it received, plus its own
            // charges that are not in it. It may already contain charges of others.
            let known_total = account.total + (account.charged - account.charged_in_total);
            sum.total = sum.total.max(known_total);
        } else if first && sum.seeded {
            // The seed already contains the charges that the reporter's total contained.
            sum.total += (account.charged - account.charged_in_total).max(0.0);
        } else {
            sum.total += increment;
        }
        *counted += increment;
        if now >= sum.reported_at + IDLE_AFTER {
            sum.total = sum.total.max(floor);
        }
        sum.reported_at = now;
        Some(Account {
            customer: account.customer,
            charged: *counted,
            total: sum.total,
            charged_in_total: *counted,
        })
    }

    /// Returns the total of a customer, 0 if unknown.
    pub fn total(&self, customer: key::Customer) -> f64 {
        self.sums.get(customer).map_or(0.0, |sum| sum.total)
    }

    /// Removes a customer that left the catalogue or of which this process is no longer a home.
    pub fn remove(&mut self, customer: key::Customer) {
        self.sums.remove(customer);
        self.counted.retain(|(other, _), _| *other != customer);
    }

    /// Removes an incarnation that is gone for good. What it reported stays counted.
    pub fn forget(&mut self, source: Source) {
        self.counted.retain(|(_, other), _| *other != source);
    }
}

impl Reporter {
    /// Returns the time between two reports of each customer that keeps within a budget of bytes
    /// per second, if one round of reports to all homes costs `round` bytes in both directions.
    pub fn interval(round: usize, budget: usize) -> time::Duration {
        let exact = time::Duration::from_secs_f64(round as f64 / budget.max(1) as f64);
        exact.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Returns the account to report if the customer's last report is at least `interval` old.
    pub fn due_report(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        interval: time::Duration,
        shares: &share::Table,
    ) -> Option<Account> {
        if self
            .sent
            .get(customer)
            .is_some_and(|at| now < *at + interval)
        {
            return None;
        }
        self.sent.insert(customer, now);
        let (total, charged_in_total) = shares.fleet_total(customer);
        Some(Account {
            customer,
            charged: shares.charged(customer),
            total,
            charged_in_total,
        })
    }
}
