//! Decides when an entry that has started reads the store itself.
//!
//! Load pattern: all entries of a fleet start at once. None has data, and none knows how many others
//! there are. The few that read the store soon have it for all others.

use std::time;

use crate::decide::random;

/// Delay before an entry that has started reads the store, within which running peers answer it.
const START_DELAY: time::Duration = time::Duration::from_millis(200);

/// Interval at which an entry that waits for others decides whether to read the store.
const START_SLOT: time::Duration = time::Duration::from_millis(100);

/// Both for an entry whose peers have answered that there are few of them.
const SMALL_FLEET_SLOT: time::Duration = time::Duration::from_millis(60);

/// Maximum number of peers in such a fleet.
const SMALL_FLEET_PEERS: usize = 4;

/// Mean number of entries that begin to read in one slot, if all start at once.
const STARTERS_PER_SLOT: f64 = 2.0;

/// Whether an entry that has started reads the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Start {
    slots: u32,
    reads: bool,
}

impl Start {
    /// Returns whether an entry that lacks data, `since_start` after its start, reads the store. It
    /// has heard of this many `peers` so far, and of some of them directly if `has_heard`.
    pub fn reads(
        &mut self,
        since_start: time::Duration,
        peers: usize,
        has_heard: bool,
        rng: &mut random::Random,
    ) -> bool {
        if peers == 0 {
            return true;
        }
        let (delay, slot) = if has_heard && peers <= SMALL_FLEET_PEERS {
            (SMALL_FLEET_SLOT, SMALL_FLEET_SLOT)
        } else {
            (START_DELAY, START_SLOT)
        };
        let due = since_start.saturating_sub(delay).as_millis() / slot.as_millis();
        let is_due = since_start >= delay;
        while is_due && !self.reads && u128::from(self.slots) <= due {
            self.slots += 1;
            self.reads = rng.unit() < STARTERS_PER_SLOT / peers as f64;
        }
        self.reads
    }
}
