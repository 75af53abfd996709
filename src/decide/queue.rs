//! Queue of the tickets that wait at a sidecar.
//!
//! Load pattern: tickets of many customers wait for the same few slots, and some customers have
//! thousands. Without an order by customer, the tickets of a flooding customer are ahead of all
//! others; without bounds per customer, it fills the queue and the others are rejected.
//!
//! Customers are ordered by their tag in [`share::Table`], with ties going to the one that has
//! waited longest. Tickets of one customer are in order of arrival. The heap holds one valid item
//! per waiting customer. An item whose tag has risen is corrected when it reaches the top. A
//! customer whose tag decreased because a request ended gets a new item, and the old one is dropped
//! when it reaches the top.
//!
//! A pick is logarithmic in the number of waiting customers, plus one correction for each fleet
//! total received and each request ended since. Lists and heap keep their memory, so nothing is
//! allocated in steady state. All times are durations since the process started.

use std::{cmp, collections, time};

use slotmap::{SecondaryMap, SlotMap};

use crate::{code, decide::share, key};

/// Maximum number of tickets of one customer at one sidecar. At ten claims a second it takes over a
/// minute and a half to work them off, longer than callers wait.
pub const MAX_CUSTOMER_TICKETS: u32 = 1_000;

/// Maximum number of tickets at one sidecar beyond the floors: about 10 MB of memory.
pub const MAX_TICKETS: u32 = 100_000;

/// Number of tickets that each customer may place although the queue is full, so that floods of
/// other customers never lock it out.
pub const FLOOR_TICKETS: u32 = 4;

/// Number of heap items, besides two for each waiting customer, above which invalid items are
/// removed. The removal then costs less than the pushes that made it necessary.
const SWEEP_SLACK: usize = 64;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Maximum number of tickets of one customer.
    pub customer: u32,
    /// Maximum number of tickets in all, beyond each customer's floor.
    pub total: u32,
    /// Number of tickets that each customer may place although the queue is full.
    pub floor: u32,
}

/// A request that waits at an entry and may be claimed.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// Customer that the request belongs to.
    pub customer: key::Customer,
    /// Link to the entry that holds the request.
    pub link: key::Link,
    /// The entry's number for the request.
    pub request: u64,
    /// Index of the model in this process's table.
    pub model: u32,
    /// Cost units that the entry expects. Not used for the order, because it can't be trusted.
    pub cost_hint: u64,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Time after which it is too late to start.
    pub deadline: Option<time::Duration>,
    /// Time when it was offered.
    pub offered_at: time::Duration,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    ticket: Ticket,
    previous: Option<key::Ticket>,
    next: Option<key::Ticket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct List {
    first: Option<key::Ticket>,
    last: Option<key::Ticket>,
    len: u32,
    // Turn and tag of the customer's valid heap item; turn 0 means none.
    turn: u64,
    tag: f64,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    tag: f64,
    // Position in the order of insertion or service, so that customers with equal tags alternate.
    turn: u64,
    customer: key::Customer,
}

/// The tickets that wait at a sidecar.
#[derive(Debug)]
pub struct Queue {
    limit: Limit,
    nodes: SlotMap<key::Ticket, Node>,
    lists: SecondaryMap<key::Customer, List>,
    heap: collections::BinaryHeap<Item>,
    // Number of customers with a valid item.
    valid_items: usize,
    turn: u64,
    expired: u64,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            customer: MAX_CUSTOMER_TICKETS,
            total: MAX_TICKETS,
            floor: FLOOR_TICKETS,
        }
    }
}

impl Ord for Item {
    // Reversed, because the standard heap has its greatest item on top and the least is needed.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other
            .tag
            .total_cmp(&self.tag)
            .then(other.turn.cmp(&self.turn))
    }
}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Item {}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            nodes: SlotMap::with_key(),
            lists: SecondaryMap::new(),
            heap: collections::BinaryHeap::new(),
            valid_items: 0,
            turn: 0,
            expired: 0,
        }
    }

    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the number of waiting tickets of one customer.
    pub fn waiting(&self, customer: key::Customer) -> u32 {
        self.lists.get(customer).map_or(0, |list| list.len)
    }

    /// Returns the number of tickets dropped so far because their deadline had passed.
    pub fn expired(&self) -> u64 {
        self.expired
    }

    /// Returns the ticket with this key if it still waits.
    pub fn get(&self, key: key::Ticket) -> Option<&Ticket> {
        self.nodes.get(key).map(|node| &node.ticket)
    }

    /// Changes the bounds. Tickets that already wait are kept.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Appends a ticket to its customer's list, or refuses it if the queue is full.
    pub fn offer(
        &mut self,
        ticket: Ticket,
        shares: &share::Table,
    ) -> Result<key::Ticket, code::Code> {
        let waiting = self.waiting(ticket.customer);
        let full = self.nodes.len() >= self.limit.total as usize && waiting >= self.limit.floor;
        if full || waiting >= self.limit.customer {
            return Err(code::Code::QueueFull);
        }
        let Some(entry) = self.lists.entry(ticket.customer) else {
            return Err(code::Code::Internal);
        };
        let list = entry.or_default();
        let key = self.nodes.insert(Node {
            ticket,
            previous: list.last,
            next: None,
        });
        match list.last {
            Some(tail) => self.nodes[tail].next = Some(key),
            None => list.first = Some(key),
        }
        list.last = Some(key);
        list.len += 1;
        if list.turn == 0 {
            self.valid_items += 1;
            self.push(ticket.customer, shares.tag(ticket.customer));
        }
        Ok(key)
    }

    fn push(&mut self, customer: key::Customer, tag: f64) {
        self.turn += 1;
        let turn = self.turn;
        let list = &mut self.lists[customer];
        (list.turn, list.tag) = (turn, tag);
        self.heap.push(Item {
            tag,
            turn,
            customer,
        });
    }

    // Moves customers whose tag decreased to their new position.
    fn requeue_lowered(&mut self, shares: &mut share::Table) {
        while let Some(customer) = shares.next_lowered() {
            let tag = shares.tag(customer);
            let is_lower = |list: &List| list.turn != 0 && tag < list.tag;
            if self.lists.get(customer).is_some_and(is_lower) {
                self.push(customer, tag);
            }
        }
        if self.heap.len() > 2 * self.valid_items + SWEEP_SLACK {
            let lists = &self.lists;
            self.heap
                .retain(|item| lists[item.customer].turn == item.turn);
        }
    }

    /// Removes a ticket. Its customer's heap item is dropped when it reaches the top.
    pub fn remove_ticket(&mut self, key: key::Ticket) -> Option<Ticket> {
        let node = self.nodes.remove(key)?;
        let list = &mut self.lists[node.ticket.customer];
        list.len -= 1;
        match node.previous {
            Some(previous) => self.nodes[previous].next = node.next,
            None => list.first = node.next,
        }
        match node.next {
            Some(next) => self.nodes[next].previous = node.previous,
            None => list.last = node.previous,
        }
        Some(node.ticket)
    }

    /// Removes the oldest ticket of the waiting customer with the lowest tag and advances the
    /// virtual time to that tag. The caller reserves service for it next.
    pub fn pick(
        &mut self,
        now: time::Duration,
        shares: &mut share::Table,
    ) -> Option<(key::Ticket, Ticket)> {
        shares.set_now(now);
        loop {
            let (customer, _) = self.peek(now, shares)?;
            let Some(first) = self.lists[customer].first else {
                continue;
            };
            let Some(ticket) = self.remove_ticket(first) else {
                continue;
            };
            // Moves it to the end of the round, so that customers with equal tags alternate.
            self.turn += 1;
            let turn = self.turn;
            self.lists[customer].turn = turn;
            if let Some(mut item) = self.heap.peek_mut() {
                item.turn = turn;
            }
            shares.advance_virtual_time(shares.total(customer));
            return Some((first, ticket));
        }
    }

    /// Returns the customer that would be picked and its tag. Drops expired tickets on the way.
    pub fn peek(
        &mut self,
        now: time::Duration,
        shares: &mut share::Table,
    ) -> Option<(key::Customer, f64)> {
        self.requeue_lowered(shares);
        loop {
            let item = *self.heap.peek()?;
            if self.lists[item.customer].turn != item.turn {
                self.heap.pop();
                continue;
            }
            self.drop_expired(now, item.customer);
            let list = &mut self.lists[item.customer];
            if list.first.is_none() {
                list.turn = 0;
                self.valid_items -= 1;
                self.heap.pop();
                continue;
            }
            let tag = shares.tag(item.customer);
            if tag <= item.tag {
                return Some((item.customer, tag));
            }
            list.tag = tag;
            if let Some(mut top) = self.heap.peek_mut() {
                top.tag = tag;
            }
        }
    }

    fn drop_expired(&mut self, now: time::Duration, customer: key::Customer) {
        while let Some(first) = self.lists[customer].first {
            let late = |deadline| deadline <= now;
            if !self.nodes[first].ticket.deadline.is_some_and(late) {
                return;
            }
            self.remove_ticket(first);
            self.expired += 1;
        }
    }

    /// Removes a customer and returns its tickets.
    pub fn remove_customer(&mut self, customer: key::Customer) -> Vec<Ticket> {
        let mut out = Vec::new();
        while let Some(first) = self.lists.get(customer).and_then(|list| list.first) {
            out.extend(self.remove_ticket(first));
        }
        out
    }
}
