//! Interval of heartbeats by the size of the fleet.

use std::time;

/// Time without a heartbeat after which an entry is removed: its load, service and shares no longer
/// count. In a large fleet, where heartbeats are seconds apart, the timeout is
/// `MIN_MISSED_HEARTBEATS` intervals, and probes notice earlier that an entry is gone.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Minimum number of consecutive missed heartbeats before an entry is removed: if one datagram in
/// 40 is lost, four in a row are lost once in 2.5 million.
const MIN_MISSED_HEARTBEATS: u32 = 4;

/// Time between two heartbeats in a small fleet. Backend servers read 4,000 prompt tokens in this
/// time, a third of what may be sent to them ahead.
pub const MIN_HEARTBEAT: time::Duration = time::Duration::from_millis(80);

/// Maximum number of heartbeats that an entry receives per second. A larger fleet sends them less
/// often, so that their cost in processor time doesn't grow with the fleet.
const MAX_HEARTBEATS_RECEIVED_PER_S: u32 = 120;

/// Interval from which heartbeats are sent less often to the peers that don't act on them.
const SPARSE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of intervals between two heartbeats to such a peer.
pub const SPARSE_FACTOR: u32 = 4;

/// Returns the time between heartbeats in a fleet with this number of other entries.
pub fn heartbeat(others: usize) -> time::Duration {
    let slow = time::Duration::from_secs(1) * others as u32 / MAX_HEARTBEATS_RECEIVED_PER_S;
    MIN_HEARTBEAT.max(slow)
}

/// Returns the time without a heartbeat after which a peer is removed, in a fleet with this number
/// of other entries. `gets_all` is true for a peer that sends one at each interval.
pub fn peer_timeout(others: usize, gets_all: bool) -> time::Duration {
    let factor = if gets_all || !is_sparse(others) {
        1
    } else {
        SPARSE_FACTOR
    };
    PEER_TIMEOUT.max(heartbeat(others) * factor * MIN_MISSED_HEARTBEATS)
}

/// Returns whether heartbeats are too far apart to notice in time that a peer is gone.
pub fn needs_probes(others: usize) -> bool {
    heartbeat(others) * MIN_MISSED_HEARTBEATS > PEER_TIMEOUT
}

/// Returns whether peers that don't act on heartbeats get fewer of them.
pub fn is_sparse(others: usize) -> bool {
    heartbeat(others) >= SPARSE_INTERVAL
}
