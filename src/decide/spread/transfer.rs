//! Bounds the transfers that an entry serves to its peers.
//!
//! Load pattern: hundreds of entries ask one peer for the same data. A transfer that would be
//! answered after the timeout is refused at once, so that the peer asks another.

use std::time;

/// Maximum number of transfers in [`WINDOW`]: at 10 ms each on a weak processor they take
/// a third of it.
pub const MAX_TRANSFERS: usize = 16;

/// Window in which transfers are counted: the timeout of the peer that asks.
pub const WINDOW: time::Duration = time::Duration::from_millis(500);

/// Transfers within the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    since: time::Duration,
    count: usize,
}

impl Window {
    /// Returns whether one more transfer is accepted.
    pub fn accept(&mut self, now: time::Duration) -> bool {
        if now >= self.since + WINDOW {
            *self = Self {
                since: now,
                count: 0,
            };
        }
        self.count += 1;
        self.count <= MAX_TRANSFERS
    }
}
