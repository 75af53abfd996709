//! Decides with whom an entry exchanges sums of customers' service, so that all entries know the
//! sums over a fleet of any size.
//!
//! Load pattern: a customer floods a fleet of hundreds of entries while the requests of another
//! reach few engines. The entries that decide about engines compare the customers' service in the
//! whole fleet. If each entry reports to all others, the interval between two reports has to grow
//! with the fleet, and the deciders learn of the flood after the span over which users compare
//! customers.
//!
//! An entry that decides about no engine reports to one decider, its parent. The deciders form
//! groups by a hash of their addresses, about as many as each group has members. A decider reports
//! the sum over itself and its children to the members of its group, and the sum over its group to
//! some entries of the other groups, so that each decider gets the sum of each group once. It
//! reports the sum over the fleet to its children. So an entry sends and receives some datagrams
//! per interval for each member of a group instead of each entry.

use std::{net, time};

use smallvec::SmallVec;

use super::random;

/// Interval between two reports of a decider to other deciders.
pub const DECIDER_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Interval between two reports of an entry to its parent, and of a parent to its children.
pub const CHILD_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time without a report after which a parent no longer counts a child, and a child no longer
/// relies on its parent: if one datagram in 40 is lost, four in a row are lost once in 2.5 million.
pub const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(4_500);

/// Addresses of entries.
pub type Addresses = SmallVec<[net::Ipv4Addr; 16]>;

/// A decider's position among the deciders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Number of groups.
    pub groups: u32,
    /// Number of the decider's own group.
    pub group: u32,
    /// The other members of its group.
    pub members: Addresses,
    /// The deciders of other groups that get the sum over its group from this one.
    pub counterparts: Addresses,
}

// Returns the power of two that is nearest to the square root of the number of deciders. Powers of
// two change seldom as entries come and go, and each change of the number moves most deciders to
// other groups.
fn group_count(deciders: usize) -> u32 {
    let root = (deciders.max(1) as f64).sqrt();
    1 << root.log2().round() as u32
}

fn group_of(address: net::Ipv4Addr, groups: u32) -> u32 {
    random::Random::new(address.to_bits().into()).below(groups as usize) as u32
}

/// Returns the position of this decider. `deciders` are the addresses of all deciders, this one
/// included, in ascending order.
pub fn position(own: net::Ipv4Addr, deciders: &[net::Ipv4Addr]) -> Position {
    let groups = group_count(deciders.len());
    let group = group_of(own, groups);
    let mut sizes: SmallVec<[usize; 32]> = SmallVec::from_elem(0, groups as usize);
    // The position of each decider within its group.
    let mut ranked = Vec::with_capacity(deciders.len());
    for address in deciders {
        let group = group_of(*address, groups);
        let size = &mut sizes[group as usize];
        ranked.push((*address, group, *size));
        *size += 1;
    }
    let size = sizes[group as usize].max(1);
    let rank = ranked.iter().find(|(address, ..)| *address == own);
    let rank = rank.map_or(0, |(_, _, rank)| *rank);
    let others = ranked.iter().filter(|(address, ..)| *address != own);
    let members = others.clone().filter(|(_, g, _)| *g == group);
    // Each member of another group is served by exactly one member of this one.
    let counterparts = others.filter(|(_, g, at)| *g != group && at % size == rank);
    Position {
        groups,
        group,
        members: members.map(|(address, ..)| *address).collect(),
        counterparts: counterparts.map(|(address, ..)| *address).collect(),
    }
}

/// Returns the decider that an entry reports to (rendezvous hashing).
pub fn parent(own: net::Ipv4Addr, deciders: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
    let seed = u64::from(own.to_bits()) << 32;
    let rank = |a: &net::Ipv4Addr| random::Random::new(seed | u64::from(a.to_bits())).bits();
    deciders.iter().copied().max_by_key(rank)
}
