//! Addresses that an entry sends datagrams to.

use std::collections::{self, hash_map};
use std::{net, time};

/// Time after its first mention, or after its entry is gone, in which an address is still sent
/// datagrams. Seeds always are.
const ADDRESS_RETENTION: time::Duration = time::Duration::from_secs(15);

/// Seeds, and addresses that were heard or mentioned recently.
#[derive(Debug, Default)]
pub struct Addresses {
    own: Option<net::Ipv4Addr>,
    seeds: Vec<net::Ipv4Addr>,
    // Time of the last heartbeat from an address or of its entry's end, or of its first mention.
    last_heard: collections::HashMap<net::Ipv4Addr, time::Duration>,
    // All of them, in order, without this entry's own.
    all: Vec<net::Ipv4Addr>,
}

impl Addresses {
    /// Creates the addresses of the entry `own` with these seeds.
    pub fn new(own: net::Ipv4Addr, seeds: Vec<net::Ipv4Addr>) -> Self {
        let mut addresses = Self {
            own: Some(own),
            ..Self::default()
        };
        for seed in &seeds {
            addresses.add(*seed);
        }
        Self { seeds, ..addresses }
    }

    /// Returns all addresses, without the entry's own, in order.
    pub fn all(&self) -> &[net::Ipv4Addr] {
        &self.all
    }

    /// Records a heartbeat from an address.
    pub fn on_heard(&mut self, now: time::Duration, address: net::Ipv4Addr) {
        if self.last_heard.insert(address, now).is_none() {
            self.add(address);
        }
    }

    /// Adds addresses that an entry mentioned.
    pub fn learn(&mut self, now: time::Duration, mentioned: impl Iterator<Item = net::Ipv4Addr>) {
        for address in mentioned {
            if let hash_map::Entry::Vacant(entry) = self.last_heard.entry(address) {
                entry.insert(now);
                self.add(address);
            }
        }
    }

    /// Forgets addresses that have not been heard for a while, but for the seeds and those of live
    /// entries.
    pub fn expire(&mut self, now: time::Duration, is_alive: impl Fn(&net::Ipv4Addr) -> bool) {
        let known = self.last_heard.len();
        self.last_heard
            .retain(|address, heard| now < *heard + ADDRESS_RETENTION || is_alive(address));
        if self.last_heard.len() < known {
            let (heard, seeds) = (&self.last_heard, &self.seeds);
            self.all
                .retain(|address| heard.contains_key(address) || seeds.contains(address));
        }
    }

    fn add(&mut self, address: net::Ipv4Addr) {
        if Some(address) != self.own {
            insert(&mut self.all, address);
        }
    }
}

/// Inserts an address into an ordered list, unless it is there.
pub fn insert(ordered: &mut Vec<net::Ipv4Addr>, address: net::Ipv4Addr) {
    if let Err(at) = ordered.binary_search(&address) {
        ordered.insert(at, address);
    }
}
