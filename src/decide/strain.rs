//! When a process has more to do than its processor allows, and what it turns away then.
//!
//! Load pattern: callers are spread over the entries by a hash, so a customer's burst comes through one
//! or two of them, and some have a fifth of the others' processor. An entry with 0.09 cores that gets
//! 700 requests a second reads each seconds after its caller has given up: for 20 s it answered none in
//! time, and what it handed over was work for nobody. Turning requests away at once costs it a fourth
//! of the time; the callers come back through other entries, whose processors have little to do.
//!
//! How far a process is behind shows in its timers: each waits for its turn like everything else.

use std::time;

/// How often a timer is looked at. Each costs a wake-up, a few microseconds.
pub const PROBE: time::Duration = time::Duration::from_millis(50);

/// Lateness from which requests of customers with more than the mean service are turned away: a sixth
/// of the shortest latency objective of a stream, 600 ms, goes by for the reading alone, and as much
/// for the sending.
pub const STRAINED: time::Duration = time::Duration::from_millis(100);

/// Lateness from which all requests are turned away: read and passed on so late, none is in time.
pub const OVERRUN: time::Duration = time::Duration::from_millis(300);

/// Time for which an entry stays out of the balancer's choice after it was strained: two of the
/// balancer's questions, one a second.
pub const REST: time::Duration = time::Duration::from_secs(2);

/// How far behind a process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Level {
    /// It keeps up.
    #[display("calm")]
    #[default]
    Calm,
    /// See [`STRAINED`].
    #[display("strained")]
    Strained,
    /// See [`OVERRUN`].
    #[display("overrun")]
    Overrun,
}

/// Lateness of the last timers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauge {
    last: time::Duration,
    before: time::Duration,
    strained: Option<time::Duration>,
}

impl Gauge {
    /// A timer fired so much later than it was set for.
    pub fn sample(&mut self, now: time::Duration, late: time::Duration) {
        self.before = self.last;
        self.last = late;
        if self.level() > Level::Calm {
            self.strained = Some(now);
        }
    }

    /// How late the process is: the lesser of two timers, since one alone is late after a pause of
    /// the machine, too, when nothing waits.
    pub fn lag(&self) -> time::Duration {
        self.last.min(self.before)
    }

    /// How far behind the process is.
    pub fn level(&self) -> Level {
        match self.lag() {
            lag if lag >= OVERRUN => Level::Overrun,
            lag if lag >= STRAINED => Level::Strained,
            _ => Level::Calm,
        }
    }

    /// Whether it was strained of late, so that the balancer had better choose others.
    pub fn rests(&self, now: time::Duration) -> bool {
        self.strained.is_some_and(|at| now < at + REST)
    }
}

/// Whether a request is turned away. `served` is the recent service of its customer, `mean` that of
/// all customers; plain services have none.
pub fn turns_away(level: Level, served: Option<f64>, mean: f64) -> bool {
    match level {
        Level::Calm => false,
        Level::Strained => served.is_some_and(|served| served > mean),
        Level::Overrun => true,
    }
}

/// Whether an entry may stay out of the balancer's choice, when so many of the entries of its
/// availability zone do, itself included: more than half stay, or the balancer would choose from all.
pub fn may_rest(resting: usize, entries: usize) -> bool {
    resting * 2 < entries
}
