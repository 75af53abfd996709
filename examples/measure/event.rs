//! Events of the simulation's event queue.

use std::{cmp, time};

use chivebend::{decide::ledger, key};

use super::config::Fault;

/// An event at a virtual time: a message that arrives, a timer or a fault.
#[derive(Debug)]
pub enum Event {
    Arrive {
        customer: usize,
        load_epoch: u32,
    },
    Offer {
        server: usize,
        request: usize,
        total: f64,
    },
    Void {
        server: usize,
        request: usize,
    },
    Claim {
        entry: usize,
        server: usize,
        request: usize,
    },
    RefuseClaim {
        server: usize,
        request: usize,
    },
    Run {
        server: usize,
        claimed: usize,
        request: usize,
    },
    Chunk {
        server: usize,
        epoch: u32,
        request: usize,
    },
    Charge {
        request: usize,
        cost: u64,
        end: bool,
    },
    Want {
        entry: usize,
        server: usize,
    },
    WantRetry {
        server: usize,
    },
    HeartbeatTick {
        server: usize,
    },
    Heartbeat {
        entry: usize,
        server: usize,
        virtual_time: f64,
        running: u32,
        waiting: u32,
        leaving: bool,
    },
    Retry {
        request: usize,
    },
    ReportTick {
        entry: usize,
    },
    Report {
        entry: usize,
        home: usize,
        source: ledger::Source,
        accounts: Vec<ledger::Account>,
    },
    Reply {
        entry: usize,
        source: ledger::Source,
        accounts: Vec<ledger::Account>,
    },
    Totals {
        server: usize,
        totals: Vec<(key::Customer, f64)>,
    },
    Expire {
        request: usize,
    },
    Fault(Fault),
}

/// An event with its time, ordered for a max-heap: earliest first, and events of the same time in
/// the order in which they were scheduled.
#[derive(Debug)]
pub struct Scheduled {
    pub at: time::Duration,
    pub sequence: u64,
    pub event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}
