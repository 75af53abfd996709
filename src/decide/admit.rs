//! Admission at an entry: early refusal of requests that can't be served in time.
//!
//! Load pattern: more work arrives than the fleet can do, for seconds or for hours. Without
//! admission control, queues grow until every request is served after its caller has given up: all
//! slots are busy, but nothing useful is done. A flood of one customer fills the memory that
//! others' requests need.
//!
//! Each customer's drain rate at this entry is learned from the requests that started, so it is
//! right for whatever share the fleet gives the customer. A request that would be served too late
//! for its deadline is refused at once, with the time after which a new one would be in time.
//! Waiting requests are dropped at the last moment at which they could still finish. When the
//! memory for waiting requests is full, a customer below its share of it displaces the newest
//! request of the customer that uses the most. All times are durations since the process started.

use std::time;

use slotmap::SecondaryMap;

use crate::{code, key};

/// Window over which starts are counted for the drain rate: long enough for several starts of a
/// customer with its share, and short compared with the time that callers wait.
pub const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Weight of the newest window in the drain rate, and of the newest request in the mean service
/// time.
pub const GAIN: f64 = 0.3;

/// Maximum share of the time to the deadline that the expected wait and service time may fill. At
/// 10 times the capacity, 0.8 gave a goodput of 0.76, 0.5 gave 0.94 and 0.3 gave 0.95
/// (`docs/BENCHMARKS.md`); 0.5 refuses fewer requests than 0.3 at light load.
pub const MAX_DEADLINE_SHARE: f64 = 0.5;

/// Number of mean service times kept free before the deadline when a request starts. Costs vary
/// widely: at 10 times the capacity the goodput was 0.94 with 1 and 0.97 with 3.
pub const START_MARGIN_SERVICE_TIMES: f64 = 3.0;

/// Minimum time after which a refused caller may retry.
pub const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Maximum time after which a refused caller may retry. Beyond it the estimate is meaningless.
pub const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(30);

/// A refusal. The request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: code::Code,
    /// Time that the caller should wait.
    pub retry_after: time::Duration,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request waits.
    Wait,
    /// The request waits, and the newest waiting request of this customer is refused with
    /// [`code::Code::Shed`] in its place.
    Displace(key::Customer),
    /// The request is refused.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    waiting: u32,
    bytes: u64,
    started: u32,
    since: time::Duration,
    // Starts per second; `None` before the first complete window in which a request waited.
    rate: Option<f64>,
    service_time_s: Option<f64>,
}

/// The waiting requests of an entry.
#[derive(Debug)]
pub struct Table {
    states: SecondaryMap<key::Customer, State>,
    bytes: u64,
    max_bytes: u64,
    waiting_customers: u32,
}

impl State {
    fn update_rate(&mut self, now: time::Duration) {
        let passed = now.saturating_sub(self.since);
        if passed < RATE_WINDOW {
            return;
        }
        // A window in which nothing waited says nothing about how fast the queue drains.
        if self.waiting > 0 || self.started > 0 {
            let newest = f64::from(self.started) / passed.as_secs_f64();
            let gain = if self.rate.is_some() { GAIN } else { 1.0 };
            let old = self.rate.unwrap_or(0.0);
            self.rate = Some(old + gain * (newest - old));
        }
        (self.started, self.since) = (0, now);
    }

    fn wait_s(&self) -> f64 {
        match self.rate {
            // Without a recent start any rate would be a guess, so the request waits for its turn.
            Some(rate) if rate > 0.0 => f64::from(self.waiting) / rate,
            _ => 0.0,
        }
    }
}

impl Table {
    /// Creates an empty table with `max_bytes` for waiting requests.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            states: SecondaryMap::new(),
            bytes: 0,
            max_bytes,
            waiting_customers: 0,
        }
    }

    /// Decides about an arriving request and counts it if it waits.
    pub fn admit(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        bytes: u64,
        deadline: Option<time::Duration>,
    ) -> Admission {
        let Some(entry) = self.states.entry(customer) else {
            return refuse(code::Code::Internal, 0.0);
        };
        let state = entry.or_insert(State {
            since: now,
            ..State::default()
        });
        if state.waiting == 0 && state.started == 0 {
            state.since = now;
        }
        state.update_rate(now);
        let need_s = state.wait_s() + state.service_time_s.unwrap_or(0.0);
        let left_s = deadline.map(|at| at.saturating_sub(now).as_secs_f64() * MAX_DEADLINE_SHARE);
        // The head of the queue is always admitted; otherwise one bad estimate would last for ever.
        if state.waiting > 0 && left_s.is_some_and(|left| need_s > left) {
            return refuse(
                code::Code::DeadlineUnreachable,
                need_s - left_s.unwrap_or(0.0),
            );
        }
        let wait_s = state.wait_s();
        let own = state.bytes + bytes;
        let mut out = Admission::Wait;
        if self.bytes + bytes > self.max_bytes {
            let fair = self.max_bytes / u64::from(self.waiting_customers.max(1));
            match self.largest() {
                Some((other, theirs)) if other != customer && own <= fair && theirs > fair => {
                    out = Admission::Displace(other);
                }
                _ => return refuse(code::Code::Shed, wait_s),
            }
        }
        self.requeue(customer, bytes);
        out
    }

    // Scans all customers, but only when the memory is full: about a microsecond for a thousand.
    fn largest(&self) -> Option<(key::Customer, u64)> {
        let all = self.states.iter().map(|(key, state)| (key, state.bytes));
        all.max_by_key(|(_, bytes)| *bytes)
    }

    /// Records that a waiting request started.
    pub fn start(&mut self, now: time::Duration, customer: key::Customer, bytes: u64) {
        if let Some(state) = self.states.get_mut(customer) {
            state.update_rate(now);
            state.started += 1;
        }
        self.remove_waiting(customer, bytes);
    }

    /// Counts a started request as waiting again for a retry. It was admitted once, so it is not
    /// decided about again.
    pub fn requeue(&mut self, customer: key::Customer, bytes: u64) {
        if let Some(state) = self.states.get_mut(customer) {
            self.waiting_customers += u32::from(state.waiting == 0);
            state.waiting += 1;
            state.bytes += bytes;
            self.bytes += bytes;
        }
    }

    /// Removes a waiting request because its deadline passed, its caller left, or it was displaced.
    pub fn remove_waiting(&mut self, customer: key::Customer, bytes: u64) {
        let Some(state) = self.states.get_mut(customer) else {
            return;
        };
        if state.waiting == 0 {
            return;
        }
        state.waiting -= 1;
        state.bytes = state.bytes.saturating_sub(bytes);
        self.bytes = self.bytes.saturating_sub(bytes);
        self.waiting_customers -= u32::from(state.waiting == 0);
    }

    /// Records that a started request finished after this service time.
    pub fn end(&mut self, customer: key::Customer, service_time: time::Duration) {
        if let Some(state) = self.states.get_mut(customer) {
            let seconds = service_time.as_secs_f64();
            let mean = state.service_time_s.unwrap_or(seconds);
            state.service_time_s = Some(mean + GAIN * (seconds - mean));
        }
    }

    /// Returns the last moment at which starting a request still makes sense: the deadline minus
    /// [`START_MARGIN_SERVICE_TIMES`] mean service times.
    pub fn latest_start(
        &self,
        customer: key::Customer,
        deadline: time::Duration,
    ) -> time::Duration {
        let hold = self
            .states
            .get(customer)
            .and_then(|state| state.service_time_s);
        deadline.saturating_sub(time::Duration::from_secs_f64(
            START_MARGIN_SERVICE_TIMES * hold.unwrap_or(0.0),
        ))
    }

    /// Returns the size of all waiting requests in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn refuse(code: code::Code, after_s: f64) -> Admission {
    let exact = time::Duration::from_secs_f64(after_s.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()));
    Admission::Refuse(Refusal {
        code,
        retry_after: exact.max(MIN_RETRY_AFTER),
    })
}
