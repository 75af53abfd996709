//! Addresses that an entry sends datagrams to.

use std::{collections, net, time};

/// Time without a heartbeat after which an address is no longer sent heartbeats, unless it is a
/// seed.
const ADDRESS_RETENTION: time::Duration = time::Duration::from_secs(15);

/// Seeds, and addresses that were heard or mentioned recently.
#[derive(Debug, Default)]
pub struct Addresses {
    own: Option<net::Ipv4Addr>,
    seeds: Vec<net::Ipv4Addr>,
    // Time of the last heartbeat from an address, or of its first mention.
    last_heard: collections::HashMap<net::Ipv4Addr, time::Duration>,
    // All of them, in order, renewed when one is added or forgotten.
    all: Vec<net::Ipv4Addr>,
}

impl Addresses {
    /// Creates the addresses of the entry `own` with these seeds.
    pub fn new(own: net::Ipv4Addr, seeds: Vec<net::Ipv4Addr>) -> Self {
        let mut addresses = Self {
            own: Some(own),
            seeds,
            ..Self::default()
        };
        addresses.renew();
        addresses
    }

    /// Returns all addresses, without the entry's own, in order.
    pub fn all(&self) -> &[net::Ipv4Addr] {
        &self.all
    }

    /// Records a heartbeat from an address.
    pub fn on_heard(&mut self, now: time::Duration, address: net::Ipv4Addr) {
        if self.last_heard.insert(address, now).is_none() {
            self.renew();
        }
    }

    /// Adds addresses that an entry mentioned.
    pub fn learn(&mut self, now: time::Duration, mentioned: impl Iterator<Item = net::Ipv4Addr>) {
        let known = self.last_heard.len();
        for address in mentioned {
            self.last_heard.entry(address).or_insert(now);
        }
        if self.last_heard.len() > known {
            self.renew();
        }
    }

    /// Forgets addresses that have not been heard for a while.
    pub fn expire(&mut self, now: time::Duration) {
        let known = self.last_heard.len();
        self.last_heard
            .retain(|_, heard| now < *heard + ADDRESS_RETENTION);
        if self.last_heard.len() < known {
            self.renew();
        }
    }

    fn renew(&mut self) {
        let known = self.last_heard.keys().chain(&self.seeds).copied();
        let all: collections::BTreeSet<_> = known.filter(|a| Some(*a) != self.own).collect();
        self.all = all.into_iter().collect();
    }
}
