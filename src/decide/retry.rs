//! Retries of failed attempts: when and where.
//!
//! Load pattern: backend servers fail while the fleet is full. If every failure is retried at once,
//! n attempts multiply the load by n just when capacity is lowest, and all entries return at the
//! same instant when a partition heals. A budget bounds the load to `1 + BUDGET_RATIO` times the
//! requests plus a small floor, jitter spreads the attempts, and another backend server is tried
//! first. Only entries retry, so that budgets of several layers don't multiply.

use std::{collections, time};

use smallvec::SmallVec;

use super::random;
use crate::{code, key};

/// Retries that each request adds to the budget. A tenth hides the loss of one backend server in
/// ten and is a usual setting of retry budgets (Finagle: 20 %; Google SRE book, ch. 21: 10 %).
pub const BUDGET_RATIO: f64 = 0.1;
/// Retries per second added without any request, so that an idle entry can retry at all. 360
/// entries add 36 a second, 0.3 % of 14,000 requests.
pub const MIN_RETRIES_PER_S: f64 = 0.1;
/// Maximum number of retries saved up: enough for the requests of one lost backend server at one
/// entry.
pub const MAX_SAVED_RETRIES: f64 = 10.0;
/// Maximum number of attempts of a request, including the first. Three different backend servers
/// seldom fail independently, and a request that crashes them must not go round.
pub const MAX_ATTEMPTS: usize = 3;

/// Retry budget of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    at: time::Duration,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(now: time::Duration) -> Self {
        Self {
            tokens: MAX_SAVED_RETRIES,
            at: now,
        }
    }

    /// Adds the share of a received request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_RATIO).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns false if it is empty.
    pub fn try_withdraw(&mut self, now: time::Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * MIN_RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Retry budget of one service at one entry over a sliding window: at most a ratio of the requests
/// in the window plus a fixed number.
#[derive(Clone, Debug, Default)]
pub struct SlidingBudget {
    requests: collections::VecDeque<(u64, u32)>,
    repeats: collections::VecDeque<(u64, u32)>,
}

/// Length of the slices in which the window counts.
const SLICE: time::Duration = time::Duration::from_millis(500);

/// Maximum number of slices kept: more than a minute, several windows.
const SLICES: usize = 128;

impl SlidingBudget {
    /// Records a received request.
    pub fn record_request(&mut self, now: time::Duration) {
        count(&mut self.requests, now);
    }

    /// Takes one retry if a `ratio` of the requests within `window`, plus `slack`, allows it.
    pub fn try_withdraw(
        &mut self,
        now: time::Duration,
        window: time::Duration,
        ratio: f64,
        slack: f64,
    ) -> bool {
        let requests = sum(&mut self.requests, now, window);
        // One slice more, so that no window of this length holds more than is allowed.
        let repeats = sum(&mut self.repeats, now, window + SLICE);
        if f64::from(repeats) + 1.0 > f64::from(requests) * ratio + slack {
            return false;
        }
        count(&mut self.repeats, now);
        true
    }
}

/// Returns an entry's part of an allowance of retries that is divided among `entries`, rounded at
/// random by `draw` in `0.0..1.0`, which is an entry's own and constant.
///
/// Load pattern: hundreds of entries, each with a few requests within the window, so that each one's
/// part is a fraction of a retry. Rounded down, the fleet would make none of them; rounded up, an
/// entry's worth too many for each. With evenly distributed draws, the sum over the fleet is the
/// allowance.
pub fn allowance_part(allowance: f64, entries: usize, draw: f64) -> f64 {
    allowance / entries.max(1) as f64 + draw
}

fn slice(at: time::Duration) -> u64 {
    (at.as_millis() / SLICE.as_millis()) as u64
}

fn count(slices: &mut collections::VecDeque<(u64, u32)>, now: time::Duration) {
    match slices.back_mut() {
        Some((at, n)) if *at == slice(now) => *n += 1,
        _ => slices.push_back((slice(now), 1)),
    }
    if slices.len() > SLICES {
        slices.pop_front();
    }
}

fn sum(
    slices: &mut collections::VecDeque<(u64, u32)>,
    now: time::Duration,
    window: time::Duration,
) -> u32 {
    let oldest = slice(now.saturating_sub(window));
    while slices.front().is_some_and(|(at, _)| *at < oldest) {
        slices.pop_front();
    }
    slices.iter().map(|(_, n)| n).sum()
}

/// Exponential backoff with full jitter (Brooker, AWS Architecture Blog, 2015), which of the
/// jittered kinds spreads best for the same number of attempts.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: time::Duration,
    /// Upper bound of every delay.
    pub cap: time::Duration,
}

/// For requests. The first bound is a few times the round trip to a backend server.
pub const REQUEST_BACKOFF: Backoff = Backoff {
    base: time::Duration::from_millis(20),
    cap: time::Duration::from_secs(1),
};
/// Backoff for links between processes. A thousand peers that return within 200 ms are 5 a
/// millisecond.
pub const LINK_BACKOFF: Backoff = Backoff {
    base: time::Duration::from_millis(200),
    cap: time::Duration::from_secs(5),
};
/// Backoff for calls of the platform's log and list, which serve several hundred calls a second for
/// the whole fleet: 1,270 processes within 10 s are 127 a second.
pub const PLATFORM_BACKOFF: Backoff = Backoff {
    base: time::Duration::from_secs(1),
    cap: time::Duration::from_secs(10),
};

impl Backoff {
    /// Returns the delay before attempt `failed + 1`, after `failed` consecutive failures.
    pub fn delay(&self, failed: u32, rng: &mut random::Random) -> time::Duration {
        self.bound(failed).mul_f64(rng.unit())
    }

    /// Returns a delay of at least half of the bound (equal jitter), for a few callers that have to
    /// notice soon when the other end is back without spending their attempts at once.
    pub fn equal_jitter_delay(&self, failed: u32, rng: &mut random::Random) -> time::Duration {
        self.bound(failed).mul_f64(0.5 + rng.unit() / 2.0)
    }

    fn bound(&self, failed: u32) -> time::Duration {
        let doubled = 2_u32.saturating_pow(failed.saturating_sub(1));
        self.base.saturating_mul(doubled).min(self.cap)
    }
}

/// Attempts of one request: the backend servers that it was tried at.
#[derive(Clone, Debug, Default)]
pub struct History {
    tried: SmallVec<[key::Sidecar; 4]>,
}

/// Decision after a failed attempt that may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry after this delay.
    After(time::Duration),
    /// Refuse with this code: the request did not run, or may be sent again.
    Refuse(code::Code),
}

impl History {
    /// Records that an attempt at this backend server has begun.
    pub fn record(&mut self, sidecar: key::Sidecar) {
        self.tried.push(sidecar);
    }

    /// Returns the backend servers it was tried at, the latest last.
    pub fn tried(&self) -> &[key::Sidecar] {
        &self.tried
    }

    /// Keeps the candidates that were not tried; if there are none, all but the latest; otherwise
    /// all.
    pub fn prefer_untried(&self, candidates: &mut SmallVec<[key::Sidecar; 4]>) {
        let fresh = |c: &key::Sidecar| !self.tried.contains(c);
        let not_latest = |c: &key::Sidecar| self.tried.last() != Some(c);
        if candidates.iter().any(fresh) {
            candidates.retain(|c| fresh(c));
        } else if candidates.iter().any(not_latest) {
            candidates.retain(|c| not_latest(c));
        }
    }

    /// Decides after a failure. Without a retry the caller gets `cause`, or
    /// [`code::Code::RetryBudget`] if the budget is empty and the request certainly did not run.
    pub fn decide(
        &self,
        now: time::Duration,
        deadline: Option<time::Duration>,
        cause: code::Code,
        budget: &mut Budget,
        rng: &mut random::Random,
    ) -> Verdict {
        if self.tried.len() >= MAX_ATTEMPTS {
            return Verdict::Refuse(cause);
        }
        let delay = REQUEST_BACKOFF.delay(self.tried.len() as u32, rng);
        if deadline.is_some_and(|at| at <= now + delay) {
            return Verdict::Refuse(cause);
        }
        if !budget.try_withdraw(now) {
            let did_not_run = cause.row().ran == code::Ran::No;
            return Verdict::Refuse(if did_not_run {
                code::Code::RetryBudget
            } else {
                cause
            });
        }
        Verdict::After(delay)
    }
}
