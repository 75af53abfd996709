//! An entry instance: holds waiting requests, places tickets, keeps counters, reports.

use std::{collections, time};

use chivebend::{
    decide::{ledger, queue, share},
    key,
};

/// How long an entry remembers that a sidecar asked for work.
pub const WANT_KEPT: time::Duration = time::Duration::from_millis(100);

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Who it is to other entries.
    pub source: ledger::Source,
    /// Counters of what it has charged.
    pub shares: share::Table,
    /// Virtual times of sidecars.
    pub clock: share::Clock,
    /// Totals of the customers it is a home of.
    pub book: ledger::Book,
    /// What it has reported.
    pub reporter: ledger::Reporter,
    /// Backend servers it has links to.
    pub links: Vec<usize>,
    /// Requests that wait, by customer and number.
    pub waiting: Vec<collections::BTreeSet<usize>>,
    /// Requests that wait and have no ticket because their customer has enough placed.
    pub unplaced: Vec<collections::VecDeque<usize>>,
    /// Requests in progress by customer.
    pub running: Vec<u32>,
    /// Tickets by customer and backend server.
    pub tickets: Vec<collections::BTreeMap<usize, u32>>,
    /// Sidecars that asked for work, and when.
    pub wants: collections::VecDeque<(usize, time::Duration)>,
    /// Fair queue of this entry alone, for the baseline without exchange.
    pub local: queue::Queue,
    /// When each sidecar was last told totals.
    pub told: collections::BTreeMap<usize, time::Duration>,
    /// Cut off from the other entries.
    pub partitioned: bool,
}

impl Entry {
    /// An empty one that starts now.
    pub fn new(
        now: time::Duration,
        source: ledger::Source,
        customers: &[key::Customer],
        links: Vec<usize>,
    ) -> Self {
        let n = customers.len();
        Self {
            source,
            shares: share::Table::new(time::Duration::ZERO),
            clock: share::Clock::default(),
            book: ledger::Book::new(now),
            reporter: ledger::Reporter::default(),
            links,
            waiting: vec![collections::BTreeSet::new(); n],
            unplaced: vec![collections::VecDeque::new(); n],
            running: vec![0; n],
            tickets: vec![collections::BTreeMap::new(); n],
            wants: collections::VecDeque::new(),
            local: queue::Queue::new(queue::Limit {
                customer: u32::MAX,
                total: u32::MAX,
                floor: 0,
            }),
            told: collections::BTreeMap::new(),
            partitioned: false,
        }
    }

    /// Customers with anything waiting or in progress.
    pub fn active(&self) -> Vec<usize> {
        let busy = |at: &usize| self.running[*at] > 0 || !self.waiting[*at].is_empty();
        (0..self.waiting.len()).filter(busy).collect()
    }

    /// A sidecar that asked for work not long ago.
    pub fn wanted(&mut self, now: time::Duration) -> Option<usize> {
        while let Some((server, at)) = self.wants.pop_front() {
            if now <= at + WANT_KEPT {
                return Some(server);
            }
        }
        None
    }
}
