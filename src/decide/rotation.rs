//! Decides which entries of an availability zone are out of the balancer's rotation.
//!
//! Load pattern: the balancer chooses an entry by a hash of the caller, so a burst of a few callers
//! hits one or two entries of their zone, however little the others have to do. A weak entry can
//! only pass the burst on by leaving the rotation, and gets it back when it returns. It therefore
//! stays out for as long as some entry of its zone receives more than this one has capacity for.
//! Meanwhile the zone's other weak entries leave as well, as far as the balancer allows, so that
//! the burst reaches a strong one.
//!
//! All entries of a zone apply the same order to the same entries, so their decisions differ only
//! by the age of their information.

use std::{cmp, time};

use smallvec::SmallVec;

/// Minimum time for which an entry stays out of rotation after it was busy: two of the balancer's
/// health checks, one a second.
pub const MIN_AWAY: time::Duration = time::Duration::from_secs(2);

/// Time after which the balancer has noticed that an entry left: two of its health checks.
const BALANCER_DELAY: time::Duration = time::Duration::from_secs(2);

/// Minimum time after which a caller that an entry rejected may retry, and also the maximum of the
/// jitter added, so that callers don't retry in one burst. Half of the shortest objective of a
/// stream is left then.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(150);

/// Maximum time out of rotation after an entry was last busy, whatever load its peers have: the
/// burst's callers may have been assigned to other entries by then.
pub const MAX_AWAY: time::Duration = time::Duration::from_secs(20);

/// Processor time of a request from its reading to its last event, in microseconds of one core.
const REQUEST_CPU_US: u32 = 400;

/// An entry is strong if its processor is at least the strongest one's divided by this.
const STRONG_DIVISOR: u32 = 2;

/// Time in which a rate decays to a third: shorter than the balancer takes to choose other entries.
const RATE_DECAY_TIME: time::Duration = time::Duration::from_secs(1);

/// Decaying rate of the requests that arrive at an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    at: time::Duration,
}

impl Rate {
    /// Counts an arriving request.
    pub fn add(&mut self, now: time::Duration) {
        self.per_s = self.per_s(now) + 1.0 / RATE_DECAY_TIME.as_secs_f64();
        self.at = now;
    }

    /// Returns the recent rate in requests per second.
    pub fn per_s(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-passed / RATE_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// State of an entry of the zone, as it reports it to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Its address, as a tie-breaker between equal entries.
    pub address: u32,
    /// Capacity of its processor, in thousandths of a core.
    pub millicores: u32,
    /// Recent rate of requests that arrived at it, per second.
    pub rate: u32,
    /// Time since it was last busy, if it ever was.
    pub busy_ago: Option<time::Duration>,
    /// Time since it left the rotation because of its load, while it is out.
    pub left_ago: Option<time::Duration>,
    /// True once the entry accepts nothing new, because it shuts down or no longer sends
    /// heartbeats.
    pub is_gone: bool,
}

/// Reason for which an entry leaves the rotation. The entries with the first reason leave first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Reason {
    /// The entry accepts nothing new.
    #[display("gone")]
    Gone,
    /// The entry is close to its capacity.
    #[display("busy")]
    Busy,
    /// A peer receives the load that would return to the entry.
    #[display("relieved")]
    Relieved,
    /// The entry is weak and leaves so that a burst reaches a strong entry.
    #[display("weak")]
    Weak,
}

impl Reason {
    // Returns whether the reason is the entry's own load.
    fn is_load(self) -> bool {
        matches!(self, Self::Busy | Self::Relieved)
    }
}

/// Time since which an entry is out of rotation because of its own load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Absence {
    since: Option<time::Duration>,
}

impl Absence {
    /// Records the current reason for being out of rotation, if any.
    pub fn update(&mut self, now: time::Duration, reason: Option<Reason>) {
        let stays_out = reason.is_some_and(Reason::is_load);
        self.since = stays_out.then(|| self.since.unwrap_or(now));
    }

    /// Returns how long the entry has been out of rotation.
    pub fn elapsed(&self, now: time::Duration) -> Option<time::Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }
}

impl Member {
    fn is_busy(&self) -> bool {
        !self.is_gone && self.busy_ago.is_some_and(|elapsed| elapsed < MIN_AWAY)
    }

    // Returns the requests per second that its processor has capacity for.
    fn capacity_per_s(&self) -> u32 {
        capacity_per_s(self.millicores)
    }

    // Returns whether the entry was busy recently and a peer receives more than this entry has
    // capacity for.
    fn is_relieved(&self, zone: &[Self]) -> bool {
        let most = zone.iter().filter(|m| m.address != self.address);
        let most = most.map(|m| m.rate).max().unwrap_or(0);
        self.busy_ago.is_some_and(|elapsed| elapsed < MAX_AWAY) && most > self.capacity_per_s()
    }

    // Returns whether the entry's load may go to a peer that is as strong and isn't busy. A strong
    // entry stays in rotation while there are weak ones, because its burst might reach one of them
    // next.
    fn has_substitute(&self, zone: &[Self], strongest: u32) -> bool {
        let here = || zone.iter().filter(|m| !m.is_gone);
        let is_as_strong = !is_strong(self.millicores, strongest)
            || here().all(|m| is_strong(m.millicores, strongest));
        is_as_strong && here().any(|m| !m.is_busy())
    }

    fn reason(&self, zone: &[Self], has_burst: bool, strongest: u32) -> Option<Reason> {
        if self.is_gone {
            Some(Reason::Gone)
        } else if self.is_busy() {
            self.has_substitute(zone, strongest).then_some(Reason::Busy)
        } else if self.is_relieved(zone) {
            Some(Reason::Relieved)
        } else {
            (has_burst && !is_strong(self.millicores, strongest)).then_some(Reason::Weak)
        }
    }
}

fn capacity_per_s(millicores: u32) -> u32 {
    millicores.saturating_mul(1_000) / REQUEST_CPU_US
}

/// Returns whether more requests arrive per second than a processor, in thousandths of a core, has
/// capacity for.
///
/// Such an entry is going to be behind, and only a matter of chance when its lag shows it. The
/// balancer needs seconds to notice that an entry has left, in which it has to turn away what
/// arrives, so an entry that left by its lag alone left a health check or two too late.
pub fn is_overrun(millicores: u32, rate: f64) -> bool {
    // 0 means that the processor isn't known.
    millicores > 0 && rate > f64::from(capacity_per_s(millicores))
}

/// Returns whether a processor is strong compared with the strongest one, both in thousandths of a
/// core.
pub fn is_strong(millicores: u32, strongest: u32) -> bool {
    millicores.saturating_mul(STRONG_DIVISOR) >= strongest
}

/// Returns why the entry with this address is out of rotation; `None` if it is in. `zone` holds all
/// entries of the zone, this one included.
///
/// Of the entries with reason [`Reason::Relieved`], the one that left first stays out longest.
/// Otherwise a burst whose callers try the entries in an order of their own would return to the
/// first one, and pass once more through all that lack the capacity for it.
pub fn absence_reason(zone: &[Member], address: u32) -> Option<Reason> {
    let strongest = zone.iter().map(|m| m.millicores).max().unwrap_or(0);
    let has_burst = zone.iter().any(|m| m.is_busy() || m.is_relieved(zone));
    let reasons = zone.iter().filter_map(|m| {
        let reason = m.reason(zone, has_burst, strongest)?;
        let left_first = cmp::Reverse(m.left_ago.unwrap_or_default());
        Some((reason, left_first, m.millicores, m.address))
    });
    let mut leaving: SmallVec<[_; 16]> = reasons.collect();
    leaving.sort_unstable();
    let max_away = (0..zone.len()).rfind(|away| may_leave(*away, zone.len()));
    leaving.truncate(max_away.unwrap_or(0));
    let own = leaving.iter().find(|(.., a)| *a == address);
    own.map(|(reason, ..)| *reason)
}

/// Returns when a rejected caller may retry at an entry that left the rotation `left_ago`, if it
/// did; `draw` is a random number in `0.0..1.0`. Until the balancer has noticed, the caller would
/// reach the same entry and double its load.
pub fn retry_after(left_ago: Option<time::Duration>, draw: f64) -> time::Duration {
    let unnoticed = left_ago.map(|elapsed| BALANCER_DELAY.saturating_sub(elapsed));
    unnoticed.unwrap_or_default() + MIN_RETRY_AFTER.mul_f64(1.0 + draw)
}

/// Returns whether `away` of a zone's entries may be out of rotation. With fewer than half of them
/// in it, the balancer would choose from all.
pub fn may_leave(away: usize, entries: usize) -> bool {
    away * 2 <= entries
}
