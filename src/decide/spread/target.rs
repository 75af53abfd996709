//! Chooses the peers that an update goes to.

use std::net;

use smallvec::SmallVec;

use crate::decide::random;

/// Number of peers to which an entry forwards what is new to it: 98 in 100 entries receive an
/// update that each forwards once to four (`x = 1 - exp(-4x)`).
pub const FANOUT: usize = 4;

/// Number of these peers that are of the entry's own zone, so that most transfers, which follow the
/// updates, stay within it.
const NEAR_FANOUT: usize = FANOUT / 2;

/// Peers that a message goes to.
pub type Targets = SmallVec<[net::Ipv4Addr; 8]>;

/// Returns whether an entry with this many peers forwards what it receives; in the smallest fleets
/// its sender has reached all.
pub fn has_to_forward(peers: usize) -> bool {
    peers > FANOUT
}

/// Returns the peers to forward an update to, of those `near` and of `all`.
pub fn forward(near: &[net::Ipv4Addr], all: &[net::Ipv4Addr], rng: &mut random::Random) -> Targets {
    let mut chosen = sample(near, NEAR_FANOUT, rng);
    for target in sample(all, FANOUT, rng) {
        if chosen.len() < FANOUT && !chosen.contains(&target) {
            chosen.push(target);
        }
    }
    chosen
}

/// Returns the peer for an exchange: with even odds one that is near.
pub fn exchange(
    near: &[net::Ipv4Addr],
    all: &[net::Ipv4Addr],
    rng: &mut random::Random,
) -> Targets {
    let is_near = !near.is_empty() && rng.unit() < 0.5;
    sample(if is_near { near } else { all }, 1, rng)
}

/// Returns up to `count` different random peers.
pub fn sample(peers: &[net::Ipv4Addr], count: usize, rng: &mut random::Random) -> Targets {
    let picked = rng.sample(peers.len(), count).into_iter();
    picked.map(|at| peers[at]).collect()
}
