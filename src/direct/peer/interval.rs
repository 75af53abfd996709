//! Interval of heartbeats by the size of the fleet.

use std::time;

/// Time between two heartbeats in a small fleet. Backend servers read 4,000 prompt tokens in this
/// time, a third of what may be sent to them ahead.
pub const MIN_HEARTBEAT: time::Duration = time::Duration::from_millis(80);

/// Maximum number of heartbeats that an entry receives per second. A larger fleet sends them less
/// often, so that their cost in processor time doesn't grow with the fleet.
const MAX_HEARTBEATS_RECEIVED_PER_S: u32 = 120;

/// Returns the time between heartbeats in a fleet with this number of other entries.
pub fn heartbeat(others: usize) -> time::Duration {
    let slow = time::Duration::from_secs(1) * others as u32 / MAX_HEARTBEATS_RECEIVED_PER_S;
    MIN_HEARTBEAT.max(slow)
}
