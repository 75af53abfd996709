//! Decides which entries read the platform's store while its watchers get no answer.
//!
//! Load pattern: a store that is slow, unavailable or loses answers. Two entries, the watchers,
//! read it for all. Once neither gets an answer, the store may still answer any of their peers, and
//! only a call can show that. If all of them called when the last answer has become too old, a
//! short outage would cost hundreds of calls within a second, just when the store returns.
//!
//! An entry therefore tries one topic at a time while its calls fail, and entries take turns, in an
//! order on which all entries in contact with each other agree. A turn ends with a failed call. An
//! entry whose call succeeds goes on reading for all until one before it in the order gets an
//! answer again. An entry that is cut off from those that read, and learns of them through its
//! peers, doesn't wait for a turn.

use std::time;

use super::{random, retry};

/// Number of entries that read the store for all. One would do; with two, one may be cut off,
/// restart or be slow before others take turns.
pub const WATCHER_COUNT: usize = 2;

/// Turns per second of all other entries together. Each costs a call for each topic.
const TURNS_PER_S: f64 = 2.0;

/// Number of topics that an entry reads.
const TOPICS: usize = 2;

/// Time after which a topic is read in any case, since the failure may concern only the other one.
const MAX_TOPIC_WAIT: time::Duration = time::Duration::from_secs(2);

/// Interval at which an entry that doesn't read the store checks whether its turn has come: a fifth
/// of the age up to which others' information is fresh.
pub const TURN_POLL: time::Duration = time::Duration::from_millis(200);

/// Interval at which a topic that waits for the other one is checked.
pub const TOPIC_POLL: time::Duration = time::Duration::from_millis(50);

/// Backoff of a watcher. The first delay is short, for a single lost answer; the last one gives
/// some 2.4 calls a second, for both topics, while the store is down.
const WATCHER_BACKOFF: retry::Backoff = retry::Backoff {
    base: time::Duration::from_millis(150),
    cap: time::Duration::from_millis(1_100),
};

/// Backoff of another entry, which seldom makes the next call itself.
const OTHER_BACKOFF: retry::Backoff = retry::Backoff {
    base: time::Duration::from_millis(150),
    cap: time::Duration::from_millis(2_400),
};

/// Minimum delay of another entry.
const MIN_OTHER_DELAY: time::Duration = time::Duration::from_micros(37_500);

/// Minimum number of entries that a newly started one asks, since the first may have been suspended
/// and know only what was true before. Among hundreds that start at once, asking all of them would
/// take longer than a change may take.
const MIN_ASKED_AT_START: usize = 4;

/// What an entry knows about the entries that read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Its own position in the order.
    pub rank: usize,
    /// Number of entries in the order, itself included.
    pub entries: usize,
    /// Position of the first peer that got an answer recently, if any did.
    pub first_answered: Option<usize>,
    /// True if a peer learns of a recent answer that this entry doesn't learn of, which means that
    /// this entry is cut off from the entries that read.
    pub is_cut_off: bool,
}

/// Decides whether an entry reads the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standby {
    reads: bool,
    // Time of its next turn while no entry gets an answer.
    next_turn: Option<time::Duration>,
    // The topic whose last call failed; the other one waits for it.
    failing: Option<usize>,
    failed_at: [time::Duration; TOPICS],
}

/// Why an entry reads the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It doesn't.
    #[default]
    #[display("none")]
    None,
    /// It has started and has no data.
    #[display("start")]
    Start,
    /// It is a watcher.
    #[display("watcher")]
    Watcher,
    /// It is its turn, or it has had an answer in its turn.
    #[display("turn")]
    Turn,
    /// It is cut off from the entries that read.
    #[display("cut_off")]
    CutOff,
    /// Transfers from several peers failed.
    #[display("distrust")]
    Distrust,
}

impl Standby {
    /// Notes that the entry reads the store since it started.
    pub fn begin(&mut self) {
        self.reads = true;
    }

    /// Returns whether the entry has to read the store now.
    pub fn reads(&mut self, now: time::Duration, view: View) -> bool {
        self.reason(now, view).is_some()
    }

    /// Returns why the entry has to read the store now; `None` if it doesn't.
    pub fn reason(&mut self, now: time::Duration, view: View) -> Option<Reason> {
        if view.rank < WATCHER_COUNT {
            self.next_turn = None;
            self.reads = true;
            return Some(Reason::Watcher);
        }
        let yields = |first_answered| first_answered < view.rank || !self.reads;
        if view.first_answered.is_some_and(yields) {
            *self = Self::default();
            return None;
        }
        if view.is_cut_off {
            return Some(Reason::CutOff);
        }
        let before = view.rank - WATCHER_COUNT;
        let next_turn = *self
            .next_turn
            .get_or_insert_with(|| now + turns_duration(before));
        self.reads |= now >= next_turn;
        self.reads.then_some(Reason::Turn)
    }

    /// Returns whether this topic may be requested now.
    pub fn may_call(&self, now: time::Duration, topic: usize) -> bool {
        let other = self.failing.is_some_and(|failing| failing != topic);
        !other || now >= self.failed_at[topic] + MAX_TOPIC_WAIT
    }

    /// Records that the store answered a call for this topic.
    pub fn on_answer(&mut self, topic: usize) {
        self.failing = self.failing.filter(|failing| *failing != topic);
    }

    /// Records that a call for this topic failed. All other entries have their turn before this
    /// one's next.
    pub fn on_failure(&mut self, now: time::Duration, entries: usize, topic: usize) {
        self.failed_at[topic] = now;
        self.failing.get_or_insert(topic);
        if std::mem::take(&mut self.reads) {
            self.next_turn = Some(now + turns_duration(entries.saturating_sub(WATCHER_COUNT)));
        }
    }
}

/// Returns the delay after `failed` consecutive failed calls, the first included.
pub fn retry_delay(is_watcher: bool, failed: u32, rng: &mut random::Random) -> time::Duration {
    if is_watcher {
        WATCHER_BACKOFF.equal_jitter_delay(failed, rng)
    } else {
        MIN_OTHER_DELAY + OTHER_BACKOFF.delay(failed, rng)
    }
}

/// Returns whether a newly started entry asks another one after `asked`, depending on whether it
/// has all that it needs.
pub fn should_ask_another(asked: usize, is_complete: bool) -> bool {
    !is_complete || asked < MIN_ASKED_AT_START
}

// Returns the time that this many turns take.
fn turns_duration(count: usize) -> time::Duration {
    time::Duration::from_secs_f64(count as f64 / TURNS_PER_S)
}
