//! Rendezvous hashing: selects the same few of many entries everywhere, without communication
//! (Thaler and Ravishankar, 1998).

use std::net;

use smallvec::SmallVec;

use super::random;

/// Addresses of the selected entries.
pub type Addresses = SmallVec<[net::Ipv4Addr; 3]>;

/// Returns the entries that precede the others for a hash, at most `count`.
pub fn first(target: u64, entries: impl Iterator<Item = net::Ipv4Addr>, count: usize) -> Addresses {
    let mut best: SmallVec<[(u64, net::Ipv4Addr); 4]> = SmallVec::new();
    for entry in entries {
        let bits = u64::from(entry.to_bits());
        let rank = random::Random::new(target ^ bits << 16).bits();
        let at = best.partition_point(|(other, _)| *other > rank);
        if at < count {
            best.insert(at, (rank, entry));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, entry)| entry).collect()
}
