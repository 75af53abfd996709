//! Overload of a process: how far it is behind, and which requests it rejects then.
//!
//! Load pattern: callers are spread over the entries by a hash, so a customer's burst comes through
//! one or two of them, and some have a fifth of the others' processor. An entry with 0.09 cores
//! that gets 700 requests a second reads each of them seconds after its caller has given up: for 20
//! s it answered none in time, and the work that it handed over was wasted. Rejecting a request at
//! once costs it a fourth of the time, and the callers retry through other entries, whose
//! processors have little to do.
//!
//! The lag of a process shows in its timers, each of which waits for its turn like everything else,
//! and in how long callers have been waiting to be accepted.

use std::time;

use slotmap::SecondaryMap;

use super::recent;
use crate::key;

/// Interval at which a timer is checked. Each check costs a wake-up, a few microseconds.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Lag from which the balancer should choose other entries and callers are asked to reconnect. It
/// is reached before any request is rejected, because the balancer needs two seconds to notice.
const BUSY_LAG: time::Duration = time::Duration::from_millis(40);

/// Lag from which requests are rejected at random, more of them the better their customers were
/// served. At this lag, a sixth of the shortest latency objective of a stream (600 ms) is spent on
/// reading alone, and as much on sending.
pub const OVERLOADED_LAG: time::Duration = time::Duration::from_millis(100);

/// Lag from which four times as many are rejected. Of requests read and passed on so late, few are
/// in time.
pub const SATURATED_LAG: time::Duration = time::Duration::from_millis(300);

/// Factor on the share rejected when saturated: all requests of customers that received at least a
/// quarter of the service of the best-served customer.
const SATURATED_FACTOR: f64 = 4.0;

/// Factor on the share that an overloaded entry rejects of the customers that send it the most
/// requests, since it spares those that send few. Without it a weak entry falls further behind
/// within a second and works on for callers that have left. A saturated entry rejects all requests
/// of these customers in any case.
const FLOOD_FACTOR: f64 = 2.0;

/// Time without an event after which callers of a stream leave, according to the users: at least
/// this long, and at least this many times the stream's objective.
const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;

/// Overload level of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Level {
    /// The process keeps up.
    #[display("normal")]
    #[default]
    Normal,
    /// See [`OVERLOADED_LAG`].
    #[display("overloaded")]
    Overloaded,
    /// See [`SATURATED_LAG`].
    #[display("saturated")]
    Saturated,
}

/// Monitor of a process's lag, from the last two samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMonitor {
    last: time::Duration,
    before: time::Duration,
    // Time when it was last busy.
    busy: Option<time::Duration>,
}

impl LagMonitor {
    /// Records how much later than set a timer fired, or how long callers have been waiting to be
    /// accepted.
    pub fn sample(&mut self, now: time::Duration, late: time::Duration) {
        self.before = self.last;
        self.last = late;
        if self.lag() >= BUSY_LAG {
            self.busy = Some(now);
        }
    }

    /// Records that the process gets more than it has capacity for, whatever its lag is so far.
    pub fn mark_busy(&mut self, now: time::Duration) {
        self.busy = Some(now);
    }

    /// Returns the lag: the lesser of two samples, since a single one is also late after a pause of
    /// the machine when nothing waits.
    pub fn lag(&self) -> time::Duration {
        self.last.min(self.before)
    }

    /// Returns the overload level.
    pub fn level(&self) -> Level {
        match self.lag() {
            lag if lag >= SATURATED_LAG => Level::Saturated,
            lag if lag >= OVERLOADED_LAG => Level::Overloaded,
            _ => Level::Normal,
        }
    }

    /// Returns the time since the process was last close to its capacity, if it ever was.
    pub fn busy_ago(&self, now: time::Duration) -> Option<time::Duration> {
        self.busy.map(|at| now.saturating_sub(at))
    }
}

/// Recent requests of each customer at one entry, from which it decides whose requests to reject
/// when it is overloaded.
///
/// A customer's service in the fleet alone doesn't show whose requests overload the entry: of a
/// customer that sent 80 requests a second beside the 970 of another, with a third of its service,
/// all were rejected, and it got a third of what it asked for.
#[derive(Debug, Default)]
pub struct Arrivals {
    requests: SecondaryMap<key::Customer, recent::DecayingSum>,
    // Customer with the most requests. All sums decay alike, so only a request can change it, and
    // no scan over all customers is needed.
    most: Option<key::Customer>,
}

impl Arrivals {
    /// Counts a request that has just arrived and returns whether to reject it; see
    /// [`should_reject`].
    pub fn should_reject(
        &mut self,
        now: time::Duration,
        customer: key::Customer,
        level: Level,
        served: f64,
        draw: f64,
    ) -> bool {
        // `None` only for a key that was removed from its arena.
        if let Some(entry) = self.requests.entry(customer) {
            entry.or_default().add(now, 1.0);
        }
        let own = self.requests_of(now, customer);
        let most = self.most.map_or(0.0, |most| self.requests_of(now, most));
        if own >= most {
            self.most = Some(customer);
        }
        draw < rejected_share(level, served * part(level, own, most))
    }

    /// Returns the share of a customer's requests that are rejected now, if one more arrives.
    pub fn rejected_share(
        &self,
        now: time::Duration,
        customer: key::Customer,
        level: Level,
        served: f64,
    ) -> f64 {
        let own = self.requests_of(now, customer) + 1.0;
        let most = self.most.map_or(0.0, |most| self.requests_of(now, most));
        rejected_share(level, served * part(level, own, most)).min(1.0)
    }

    // Returns the decaying number of requests of a customer at this entry.
    fn requests_of(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.requests.get(customer).map_or(0.0, |f| f.now(now))
    }
}

// Returns a customer's part in the overload, from its own recent requests and the most of any.
fn part(level: Level, own: f64, most: f64) -> f64 {
    let times = if level == Level::Overloaded {
        FLOOD_FACTOR
    } else {
        1.0
    };
    times * own / own.max(most)
}

/// Returns whether to reject a request. `served` is the recent service of its customer relative to
/// the best-served customer, from 0 to 1, reduced by the customer's part in the overload; `draw` is
/// a random number in `0.0..1.0`.
///
/// The probability is gradual because a customer whose burst comes through one weak entry has no
/// other way: with a threshold at the mean it got 3.9 million tokens in six seconds, while another
/// that was above the mean elsewhere got 8.0. The part in the overload counts because a small
/// customer at that entry isn't its cause: rejected like all others it got 0.7 million of the 1.7
/// it asked for.
pub fn should_reject(level: Level, served: f64, draw: f64) -> bool {
    draw < rejected_share(level, served)
}

fn rejected_share(level: Level, served: f64) -> f64 {
    match level {
        Level::Normal => 0.0,
        Level::Overloaded => served,
        Level::Saturated => served * SATURATED_FACTOR,
    }
}

/// Returns whether the caller of a stream has probably left by now, if its request was read
/// `elapsed` ago by a process with this lag. The process notices a closed connection only when it
/// reads the end of the connection, which is delayed by the same lag; work handed over in the
/// meantime is wasted.
pub fn has_caller_left(
    elapsed: time::Duration,
    lag: time::Duration,
    objective: time::Duration,
) -> bool {
    elapsed + lag >= CALLER_TIMEOUT.max(objective * CALLER_TIMEOUT_OBJECTIVES)
}
