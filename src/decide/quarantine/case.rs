//! Record of a request, or of a part of prompts: the crashes under it, and what follows from them.

use std::time;

use smallvec::SmallVec;

use super::Standing;

/// Number of crashes that make a request a suspect. One crash is not enough, because it affects
/// every request that ran there.
pub const SUSPECT_CRASHES: usize = 2;

/// Minimum and maximum number of crashes under a suspect that runs alone before it is quarantined.
/// The first of them is usually the third crash in all, and the platform allows three more
/// attempts.
const MIN_ALONE_CRASHES: usize = 2;
const MAX_ALONE_CRASHES: usize = 4;

/// Quarantine by the probability of crashes affects at most one innocent suspect in this many.
pub const FALSE_POSITIVE_ODDS: f64 = 10_000.0;

/// Time after its last attempt, or the last crash under it, at which a request is forgotten.
pub const CASE_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Time after a completion in which crashes are no evidence against the parts of the prompt.
pub const INNOCENCE_TIME: time::Duration = time::Duration::from_secs(10);

/// Minimum time between crashes under a part that count one by one.
const MIN_CRASH_GAP: time::Duration = time::Duration::from_millis(300);

/// Time for which a cleared or released request is remembered, so that all entries learn of it.
const CLEARED_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Crashes of one process within this time are the same crash, reported by several entries. A
/// process that reports its start time is a new process after a restart and crashes only once; for
/// any other process, a later crash, after a restart, counts as a new one.
const SAME_CRASH_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Maximum number of crashes remembered for one request.
const MAX_CRASHES: usize = 8;

/// A crash of a backend server under a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// Hash that identifies the process, as far as processes report their start time.
    pub server: u64,
    /// Time of the crash.
    pub at: time::Duration,
    /// True if the request was the only suspect that ran there.
    pub alone: bool,
    /// Probability that the process would have crashed in that time without the request.
    pub chance: f64,
    /// Hash of the content of the request that ran, in the case of a part of prompts; otherwise 0.
    pub request: u64,
}

/// Record of a request, or of a part of prompts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Case {
    /// Crashes under it since it was last cleared.
    pub crashes: SmallVec<[Crash; 4]>,
    /// Times of recent connection losses under it for which it is unknown whether the process
    /// ended. They make a request a suspect but are no evidence.
    pub unexplained: SmallVec<[time::Duration; 2]>,
    /// Time since which it is quarantined, if it is.
    pub quarantined_since: Option<time::Duration>,
    /// Time when it was last cleared or released.
    pub cleared_at: Option<time::Duration>,
    /// Time of its last attempt, or of the last crash under it.
    pub last_seen: time::Duration,
    /// True if it is a part of prompts.
    pub is_part: bool,
    /// Time of the last known completion of a request with this part.
    pub completed_at: Option<time::Duration>,
    /// Hashes of the other parts that were in each request under which a backend server crashed: any
    /// of them may be the cause instead of this one.
    pub companions: SmallVec<[u64; 4]>,
}

impl Case {
    /// Returns the restrictions that apply to the request.
    pub fn standing(&self) -> Standing {
        match self.quarantined_since {
            Some(_) => Standing::Quarantined,
            None if self.countable_crashes() >= SUSPECT_CRASHES => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    fn countable_crashes(&self) -> usize {
        if !self.is_part {
            return self.crashes.len().max(self.unexplained.len());
        }
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let mut counted: SmallVec<[Crash; MAX_CRASHES]> = SmallVec::new();
        for crash in crashes {
            let is_new = counted.iter().all(|c| c.request != crash.request);
            let is_later = counted.iter().all(|c| crash.at >= c.at + MIN_CRASH_GAP);
            if is_new && is_later {
                counted.push(crash);
            }
        }
        counted.len()
    }

    /// Returns the number of crashes while it ran alone, and the probability of all of them without
    /// it.
    pub fn evidence(&self) -> (usize, f64) {
        let mut requests: SmallVec<[u64; MAX_CRASHES]> = SmallVec::new();
        let alone = self.crashes.iter().filter(|crash| crash.alone);
        let countable = alone.filter(|crash| {
            let is_repeat = self.is_part && requests.contains(&crash.request);
            requests.push(crash.request);
            !is_repeat
        });
        countable.fold((0, 1.0), |(n, chance), crash| {
            (n + 1, chance * crash.chance)
        })
    }

    // Keeps the companions that are also in further requests; to be called before their crash is
    // added.
    pub(super) fn intersect_companions(&mut self, others: &[u64]) {
        if self.crashes.is_empty() {
            self.companions = others.into();
        } else {
            self.companions.retain(|part| others.contains(part));
        }
    }

    pub(super) fn add(&mut self, crash: Crash) {
        let is_known = |e: &Crash| is_same_crash((e.server, e.at), (crash.server, crash.at));
        if self.crashes.iter().any(is_known) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            // Crashes beside other suspects are no evidence and make room for one that is.
            let Some(at) = self.crashes.iter().position(|e| crash.alone && !e.alone) else {
                return;
            };
            self.crashes.remove(at);
        }
        self.crashes.push(crash);
        self.unexplained.clear();
    }

    pub(super) fn update_quarantine(&mut self, now: time::Duration) {
        let (alone, chance) = self.evidence();
        let likely = alone >= MIN_ALONE_CRASHES && chance <= 1.0 / FALSE_POSITIVE_ODDS;
        if self.quarantined_since.is_none() && (likely || alone >= MAX_ALONE_CRASHES) {
            self.quarantined_since = Some(now);
        }
    }

    // Discards what was recorded before the request was last cleared.
    pub(super) fn forget_cleared(&mut self) {
        let innocent_until = self.completed_at.map(|at| at + INNOCENCE_TIME);
        let Some(at) = self.cleared_at.max(innocent_until) else {
            return;
        };
        self.crashes.retain(|crash| crash.at > at);
        self.unexplained.retain(|lost| *lost > at);
        self.quarantined_since = self.quarantined_since.filter(|since| *since > at);
    }

    pub(super) fn is_open(&self) -> bool {
        !self.crashes.is_empty() || !self.unexplained.is_empty() || self.quarantined_since.is_some()
    }

    pub(super) fn is_expired(&self, now: time::Duration) -> bool {
        let is_fresh = |at: time::Duration| now < at + CLEARED_RETENTION;
        let fresh = self.cleared_at.max(self.completed_at).is_some_and(is_fresh);
        let open = self.is_open();
        !fresh && (!open || now >= self.last_seen + CASE_RETENTION)
    }
}

pub(super) fn is_same_crash(one: (u64, time::Duration), other: (u64, time::Duration)) -> bool {
    one.0 == other.0 && one.1.abs_diff(other.1) < SAME_CRASH_WINDOW
}
