//! Compares the era of an answer from the platform's store with the known one.
//!
//! Fault: a store that is restored from an older copy assigns offsets again. A watcher that
//! continues at its old offset misses the records before it for good, and a delayed answer from
//! before the restore undoes what was read since. The store therefore counts its restores, and
//! offsets are only valid within one such era.
//!
//! Fault: an era that one answer or datagram states falsely makes all that follows count as earlier.
//! The era that the store goes on stating is therefore the true one ([`Eras`]).

use std::time;

/// Relation of an answer's era to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Era {
    /// The same era, or the store doesn't count eras.
    Same,
    /// The store was restored since: known offsets are invalid.
    Later,
    /// The answer was sent before the store was restored.
    Earlier,
}

/// Compares the era of an answer with the known one.
pub fn compare(known: Option<u64>, answered: Option<u64>) -> Era {
    match (known, answered) {
        (Some(known), Some(answered)) if answered > known => Era::Later,
        (Some(known), Some(answered)) if answered < known => Era::Earlier,
        _ => Era::Same,
    }
}

/// Time for which the store has to go on stating a lower era until it counts: a delayed answer from
/// before a restore is followed by newer ones.
const CONFIRM_TIME: time::Duration = time::Duration::from_secs(2);

/// Age of the last answer from which nothing is known of the store's era: several intervals of reads.
const MAX_AGE: time::Duration = time::Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Stated {
    era: u64,
    since: time::Duration,
    last: time::Duration,
}

impl Stated {
    fn new(era: u64, at: time::Duration) -> Self {
        Self {
            era,
            since: at,
            last: at,
        }
    }

    fn is_confirmed(&self) -> bool {
        self.last >= self.since + CONFIRM_TIME
    }
}

/// Eras that answers of the store have stated, to this entry or a peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    newest: Option<Stated>,
    // A lower one that was stated after the newest.
    lower: Option<Stated>,
}

impl Eras {
    /// Records the era that an answer of the store stated at time `at`; 0 if it stated none.
    pub fn on_answer(&mut self, at: time::Duration, era: u64) {
        let Some(newest) = &mut self.newest else {
            self.newest = Some(Stated::new(era, at));
            return;
        };
        if era == newest.era {
            newest.last = newest.last.max(at);
            self.lower = self.lower.filter(|lower| lower.since > at);
        } else if at <= newest.last {
            // Overtaken by what the store stated since.
        } else if era > newest.era {
            *self = Self {
                newest: Some(Stated::new(era, at)),
                lower: None,
            };
        } else {
            self.on_lower(at, era);
        }
    }

    fn on_lower(&mut self, at: time::Duration, era: u64) {
        let known = self.lower.filter(|lower| at < lower.last + MAX_AGE);
        let mut lower = match known {
            Some(lower) if lower.era == era => lower,
            Some(lower) if lower.era > era && at < lower.last + CONFIRM_TIME => return,
            _ => Stated::new(era, at),
        };
        lower.last = lower.last.max(at);
        if lower.is_confirmed() {
            self.newest = Some(lower);
            self.lower = None;
        } else {
            self.lower = Some(lower);
        }
    }

    /// Returns the store's era as far as is known; 0 if it counts none, `None` before the first answer.
    pub fn newest(&self) -> Option<u64> {
        self.newest.map(|newest| newest.era)
    }

    /// Returns the era that the store goes on stating. What claims to be of a later one is false.
    pub fn limit(&self, now: time::Duration) -> Option<u64> {
        let is_current = |newest: &Stated| newest.is_confirmed() && now < newest.last + MAX_AGE;
        self.newest.filter(is_current).map(|newest| newest.era)
    }
}
