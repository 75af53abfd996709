//! Processes of backend servers that are leaving.

use std::{cell, collections};

use crate::direct::peer::outbox;

/// Maximum number of processes remembered: more than are leaving at a time in the largest fleet.
const MAX_REMEMBERED: usize = 4_096;

/// Maximum number of processes that are sent again for an entry that has just started.
const MAX_RESENT: usize = 64;

/// Leaving processes, by [`crate::direct::listing::Server::process_hash`].
#[derive(Debug, Default)]
pub struct Table {
    known: cell::RefCell<collections::HashSet<u64>>,
    order: cell::RefCell<collections::VecDeque<u64>>,
    /// Processes that the next heartbeats carry.
    pub unsent: outbox::Outbox<u64>,
}

impl Table {
    /// Adds a process and returns whether it is new.
    pub fn add(&self, process: u64) -> bool {
        if !self.known.borrow_mut().insert(process) {
            return false;
        }
        let mut order = self.order.borrow_mut();
        order.push_back(process);
        if order.len() > MAX_REMEMBERED
            && let Some(oldest) = order.pop_front()
        {
            self.known.borrow_mut().remove(&oldest);
        }
        true
    }

    /// Queues the newest processes to be sent again, for an entry that has just started.
    pub fn queue_resend(&self) {
        let order = self.order.borrow();
        self.unsent
            .replace(order.iter().rev().take(MAX_RESENT).copied());
    }

    /// Returns whether a process is leaving.
    pub fn contains(&self, process: u64) -> bool {
        let known = self.known.borrow();
        !known.is_empty() && known.contains(&process)
    }
}
