//! State of a backend server with slots and of its sidecar, with the production queue and counters.

use std::{collections, time};

use chivebend::{
    decide::{queue, share},
    key,
};

/// Time until a charge is part of the totals: half a report interval plus the network delay.
pub const CHARGE_LAG: time::Duration = time::Duration::from_millis(400);

/// A request that has been handed over.
#[derive(Debug)]
pub struct Run {
    /// Index of the request.
    pub request: usize,
    /// Cost units not yet processed.
    pub remaining: u64,
    /// Cost units of the chunk in progress.
    pub chunk_cost: u64,
    /// Reservation at the sidecar.
    pub reservation: share::Reservation,
}

/// A backend server and its sidecar.
#[derive(Debug)]
pub struct Server {
    /// Queue of tickets.
    pub queue: queue::Queue,
    /// Service charged to customers.
    pub shares: share::Table,
    /// Ticket keys by request.
    pub tickets: collections::HashMap<usize, key::Ticket>,
    /// Reservations of claims without a reply, by request.
    pub claims: collections::HashMap<usize, share::Reservation>,
    /// Running requests.
    pub runs: Vec<Run>,
    /// Maximum number of claimed and running requests.
    pub window: u32,
    /// Factor by which it is slower than configured.
    pub slowdown: f64,
    /// True once the backend server drains and accepts no new requests.
    pub is_leaving: bool,
    /// True while the backend server runs.
    pub is_up: bool,
    /// Number of crashes; events of an earlier epoch are ignored.
    pub epoch: u32,
    /// Cached prefixes, the most recently used last.
    pub cache: collections::VecDeque<u64>,
    /// True while a request for work was sent and may not be repeated yet.
    pub is_want_pending: bool,
}

impl Server {
    /// Creates an idle backend server.
    pub fn new(limit: queue::Limit, window: u32) -> Self {
        Self {
            queue: queue::Queue::new(limit),
            shares: share::Table::new(CHARGE_LAG),
            tickets: collections::HashMap::new(),
            claims: collections::HashMap::new(),
            runs: Vec::new(),
            window,
            slowdown: 1.0,
            is_leaving: false,
            is_up: true,
            epoch: 0,
            cache: collections::VecDeque::new(),
            is_want_pending: false,
        }
    }

    /// Returns whether another request may be claimed.
    pub fn has_room(&self) -> bool {
        let used_slots = self.runs.len() + self.claims.len();
        self.is_up && !self.is_leaving && used_slots < self.window as usize
    }

    /// Claims the next ticket; returns `None` if there is no free slot or no ticket.
    pub fn claim(&mut self, now: time::Duration) -> Option<(usize, key::Link)> {
        if !self.has_room() {
            return None;
        }
        let (_, ticket) = self.queue.pick(now, &mut self.shares)?;
        let request = ticket.request as usize;
        self.tickets.remove(&request);
        let reservation = self.shares.reserve(ticket.customer);
        self.claims.insert(request, reservation);
        Some((request, ticket.link))
    }

    /// Removes the ticket of a request.
    pub fn void(&mut self, request: usize) {
        if let Some(key) = self.tickets.remove(&request) {
            self.queue.remove_ticket(key);
        }
    }

    /// Loses all state in a crash; returns the requests that were running.
    pub fn crash(&mut self, limit: queue::Limit) -> Vec<usize> {
        let runs = std::mem::take(&mut self.runs);
        let epoch = self.epoch + 1;
        *self = Self::new(limit, self.window);
        self.epoch = epoch;
        self.is_up = false;
        runs.into_iter().map(|run| run.request).collect()
    }
}
