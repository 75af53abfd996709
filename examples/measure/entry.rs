//! State of an entry instance.

use std::{collections, time};

use chivebend::{
    decide::{admit, drain, health, ledger, queue, retry, route, share},
    key,
};

/// Maximum total size in bytes of the waiting requests of an entry.
const MAX_WAITING_BYTES: u64 = 64 << 20;

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Identity of the entry in its reports.
    pub source: ledger::Source,
    /// Service charged to customers.
    pub shares: share::Table,
    /// Virtual times of sidecars.
    pub clock: share::VirtualClock,
    /// Fleet totals of the customers whose home it is.
    pub totals: ledger::Totals,
    /// State of its reports to the homes.
    pub reporter: ledger::Reporter,
    /// Indices of the backend servers to which it has links.
    pub links: Vec<usize>,
    /// Waiting requests by customer, in order of arrival.
    pub waiting: Vec<collections::BTreeSet<usize>>,
    /// Waiting requests by customer that have no ticket because of the limit on placed requests.
    pub unplaced: Vec<collections::VecDeque<usize>>,
    /// Number of requests in progress by customer.
    pub in_flight: Vec<u32>,
    /// Number of tickets by customer and backend server.
    pub tickets: Vec<collections::BTreeMap<usize, u32>>,
    /// Routing of tickets.
    pub route: route::Table,
    /// Health of the backend servers.
    pub health: health::Table,
    /// Leave status of each backend server, from its reports.
    pub leave_status: slotmap::SecondaryMap<key::Sidecar, drain::LeaveStatus>,
    /// Retry budget.
    pub retry_budget: retry::Budget,
    /// Fair queue of this entry, for the policy without reports between entries.
    pub local_queue: queue::Queue,
    /// When totals were last sent to each sidecar.
    pub totals_sent_at: collections::BTreeMap<usize, time::Duration>,
    /// Admission control.
    pub admit: admit::Table,
    /// True while the entry is cut off from its peers.
    pub is_partitioned: bool,
}

impl Entry {
    /// Creates an entry without requests that starts now.
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
            clock: share::VirtualClock::default(),
            totals: ledger::Totals::new(now),
            reporter: ledger::Reporter::default(),
            links,
            waiting: vec![collections::BTreeSet::new(); n],
            unplaced: vec![collections::VecDeque::new(); n],
            in_flight: vec![0; n],
            tickets: vec![collections::BTreeMap::new(); n],
            route: route::Table::default(),
            health: health::Table::default(),
            leave_status: slotmap::SecondaryMap::new(),
            retry_budget: retry::Budget::new(now),
            local_queue: queue::Queue::new(queue::Limit {
                customer: u32::MAX,
                total: u32::MAX,
                floor: 0,
            }),
            totals_sent_at: collections::BTreeMap::new(),
            admit: admit::Table::new(MAX_WAITING_BYTES),
            is_partitioned: false,
        }
    }

    /// Returns the customers with requests that wait or are in progress.
    pub fn active_customers(&self) -> Vec<usize> {
        let is_active = |at: &usize| self.in_flight[*at] > 0 || !self.waiting[*at].is_empty();
        (0..self.waiting.len()).filter(is_active).collect()
    }
}
