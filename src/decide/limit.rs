//! Limits of each customer, enforced across the fleet by entries that each see part of its
//! requests.
//!
//! Load pattern: a customer with a limit for the whole fleet sends its requests through few or many
//! entries, and these change over time. With the full limit at each entry it would get the limit
//! times the number of entries; with equal parts it would get a fraction of the limit when it uses
//! one entry.
//!
//! Requests per second, tokens per second and concurrency are divided: each entry's share follows
//! its share of the customer's recent service, with [`EVEN_SHARE`] of the limit divided evenly, so
//! that an entry without history can start. Tokens are deducted after the fact, when the entry
//! itself charges them. If every entry's share is up to date, the shares add up to the limit. While
//! shares change, an entry may keep its old share for one learning interval: over- and undershoot
//! are at most the change of its share. All times are durations since the process started.

use std::time;

use slotmap::SecondaryMap;

use crate::{code, decide::admit, key};

/// Share of a limit that is divided evenly among the entries. With this share a customer that moves
/// to another entry has four fifths of its limit there within ten learning intervals
/// (`tests/limit.rs`).
pub const EVEN_SHARE: f64 = 0.2;

/// Interval at which an entry's share is learned: two of the longest report intervals.
pub const LEARNING_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Burst allowance: seconds of its rate that a customer may use at once.
pub const BURST_S: f64 = 2.0;

/// Time after which a refused caller may retry when no better estimate is known.
pub const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Limits of a customer; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Maximum number of requests in progress.
    pub concurrency: Option<u32>,
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Cost units per second, deducted after they are charged.
    pub tokens_per_s: Option<f64>,
    /// Maximum number of requests that wait at one entry.
    pub queue: Option<u32>,
    /// Maximum size of the requests that wait at one entry, in bytes.
    pub queue_bytes: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: time::Duration,
}

impl Bucket {
    fn fill(&mut self, now: time::Duration, rate: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        // At least one request fits, however small the share.
        self.level = (self.level + passed * rate).min((rate * BURST_S).max(1.0));
    }
}

#[derive(Clone, Copy, Debug)]
struct State {
    limit: Limit,
    waiting: u32,
    bytes: u64,
    running: u32,
    requests: Bucket,
    tokens: Bucket,
    // Fleet total and own charges when the share was last learned, and that share.
    total: f64,
    charged: f64,
    learned_at: time::Duration,
    share: f64,
}

/// Limits of all customers at an entry.
#[derive(Debug)]
pub struct Table {
    states: SecondaryMap<key::Customer, State>,
    entries: usize,
}

impl State {
    fn effective_share(&self, entries: usize) -> f64 {
        self.share * (1.0 - EVEN_SHARE) + EVEN_SHARE / entries as f64
    }
}

impl Table {
    /// Creates a table without limits, at one of `entries` entries.
    pub fn new(entries: usize) -> Self {
        Self {
            states: SecondaryMap::new(),
            entries: entries.max(1),
        }
    }

    /// Sets the number of live entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets a customer's limits. They apply to waiting requests from the next call of
    /// [`Table::has_room`] on.
    pub fn set(&mut self, now: time::Duration, customer: key::Customer, limit: Limit) {
        let bucket = |rate: Option<f64>| Bucket {
            level: (rate.unwrap_or(0.0) * BURST_S).max(1.0),
            at: now,
        };
        let share = 1.0 / self.entries as f64;
        let fresh = State {
            limit,
            waiting: 0,
            bytes: 0,
            running: 0,
            requests: bucket(limit.requests_per_s.map(|rate| rate * share)),
            tokens: bucket(limit.tokens_per_s.map(|rate| rate * share)),
            total: 0.0,
            charged: 0.0,
            learned_at: now,
            share,
        };
        if let Some(entry) = self.states.entry(customer) {
            entry.or_insert(fresh).limit = limit;
        }
    }

    /// Learns the entry's share from the fleet total and this entry's own charges.
    pub fn learn(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        total: f64,
        charged: f64,
    ) {
        let Some(state) = self.states.get_mut(customer) else {
            return;
        };
        let (grown, own) = (total - state.total, charged - state.charged);
        if now < state.learned_at + LEARNING_INTERVAL || grown <= 0.0 {
            return;
        }
        state.share = f64::midpoint(state.share, (own / grown).clamp(0.0, 1.0));
        (state.total, state.charged, state.learned_at) = (total, charged, now);
    }

    /// Deducts cost units as they are charged.
    pub fn charge(&mut self, now: time::Duration, customer: key::Customer, cost: u64) {
        let entries = self.entries;
        let Some(state) = self.states.get_mut(customer) else {
            return;
        };
        if let Some(rate) = state.limit.tokens_per_s {
            state
                .tokens
                .fill(now, rate * state.effective_share(entries));
            state.tokens.level -= cost as f64;
        }
    }

    /// Decides whether a request may join the queue, and counts it if so.
    pub fn admit(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        bytes: u64,
    ) -> Result<(), admit::Refusal> {
        let entries = self.entries;
        let Some(state) = self.states.get_mut(customer) else {
            return Ok(());
        };
        let refuse = |code, retry_after| Err(admit::Refusal { code, retry_after });
        let limit = state.limit;
        if limit.queue.is_some_and(|max| state.waiting >= max) {
            return refuse(code::Code::QueueFull, DEFAULT_RETRY_AFTER);
        }
        if limit
            .queue_bytes
            .is_some_and(|max| state.bytes + bytes > max)
        {
            return refuse(code::Code::QueueBytesFull, DEFAULT_RETRY_AFTER);
        }
        if let Some(rate) = limit.requests_per_s {
            let rate = rate * state.effective_share(entries);
            state.requests.fill(now, rate);
            if state.requests.level < 1.0 {
                let missing = (1.0 - state.requests.level) / rate.max(0.001);
                return refuse(
                    code::Code::RateLimited,
                    time::Duration::from_secs_f64(missing),
                );
            }
            state.requests.level -= 1.0;
        }
        state.waiting += 1;
        state.bytes += bytes;
        Ok(())
    }

    /// Returns whether another waiting request may be placed while `placed` are placed already.
    /// Requests without room wait at the entry.
    pub fn has_room(&mut self, now: time::Duration, customer: key::Customer, placed: u32) -> bool {
        let entries = self.entries;
        let Some(state) = self.states.get_mut(customer) else {
            return true;
        };
        if let Some(rate) = state.limit.tokens_per_s {
            state
                .tokens
                .fill(now, rate * state.effective_share(entries));
            if state.tokens.level <= 0.0 {
                return false;
            }
        }
        let own_part =
            |limit: u32| (f64::from(limit) * state.effective_share(entries)).max(1.0) as u32;
        let occupied = state.running + placed;
        state
            .limit
            .concurrency
            .is_none_or(|limit| occupied < own_part(limit))
    }

    /// Records that a waiting request started.
    pub fn start(&mut self, customer: key::Customer, bytes: u64) {
        self.remove_waiting(customer, bytes);
        if let Some(state) = self.states.get_mut(customer) {
            state.running += 1;
        }
    }

    /// Counts a started request as waiting again for a retry. It was admitted once, so the limits
    /// are not checked again.
    pub fn requeue(&mut self, customer: key::Customer, bytes: u64) {
        if let Some(state) = self.states.get_mut(customer) {
            state.waiting += 1;
            state.bytes += bytes;
        }
    }

    /// Removes a waiting request that was not started.
    pub fn remove_waiting(&mut self, customer: key::Customer, bytes: u64) {
        if let Some(state) = self.states.get_mut(customer) {
            state.waiting = state.waiting.saturating_sub(1);
            state.bytes = state.bytes.saturating_sub(bytes);
        }
    }

    /// Records that a started request ended.
    pub fn end(&mut self, customer: key::Customer) {
        if let Some(state) = self.states.get_mut(customer) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Returns this entry's share of the customer's limits, 0 to 1.
    pub fn share(&self, customer: key::Customer) -> f64 {
        let own = |state: &State| state.effective_share(self.entries);
        self.states.get(customer).map_or(1.0, own)
    }
}
