//! Evacuated availability zones: the records that an entry has of them, and their exchange between
//! entries.
//!
//! An entry that learns of a change from the store broadcasts it at once, since only a few entries
//! read the store. Heartbeats carry a digest of the records; an entry with another digest is sent
//! all records with each heartbeat until the digests agree.

pub mod zones;

use std::fmt::Write as _;
use std::time;

use prost::Message as _;

use super::peer::message;
use super::{listing, state};
use crate::decide::{evacuation, random};

/// Minimum Retry-After for requests of a service whose zones are all evacuated; a random time of up
/// to the same length is added.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Sender of an evacuation record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// The platform's store.
    #[display("store")]
    Store,
    /// A peer.
    #[display("peer")]
    Peer,
}

impl state::Entry {
    /// Applies records of evacuations.
    pub fn on_evacuations(
        &self,
        source: Source,
        records: impl IntoIterator<Item = evacuation::Record>,
    ) {
        let spread = self.spread.borrow();
        let is_possible =
            |r: &evacuation::Record| source == Source::Store || spread.accepts_era(r.position.era);
        let records = records.into_iter().filter(is_possible);
        let mut table = self.zones.0.borrow_mut();
        let before = table.digest();
        let changes: Vec<_> = records.filter_map(|r| table.apply(r)).collect();
        drop(spread);
        drop(table);
        self.apply_evacuations(source, before, &changes);
    }

    /// Applies the complete set of evacuations that the store has at this end of its log.
    pub fn on_all_evacuations(&self, end: evacuation::Position, records: Vec<evacuation::Record>) {
        let mut table = self.zones.0.borrow_mut();
        let before = table.digest();
        let changes = table.apply_snapshot(end, records);
        for zone in table.unconfirmed(end.era) {
            self.log
                .line("evacuation_unconfirmed")
                .with("zone", zone)
                .with("era", end.era);
        }
        drop(table);
        self.apply_evacuations(Source::Store, before, &changes);
    }

    /// Lowers records of eras after `limit`, the store's. Returns whether there were any.
    pub(super) fn limit_evacuations(&self, limit: u64) -> bool {
        let has_later = self.zones.0.borrow_mut().limit(limit);
        if has_later {
            self.evacuations_limited
                .set(self.evacuations_limited.get() + 1);
        }
        has_later
    }

    /// Returns how often records of false eras were lowered. All records in the store count again then.
    pub fn evacuations_limited(&self) -> u64 {
        self.evacuations_limited.get()
    }

    fn apply_evacuations(&self, source: Source, before: u64, changes: &[evacuation::Change]) {
        if before == self.zones.digest() {
            return;
        }
        if source == Source::Store {
            self.broadcast_evacuations();
        }
        for change in changes {
            let event = if change.is_evacuated {
                "zone_evacuated"
            } else {
                "zone_returned"
            };
            self.log
                .line(event)
                .with("zone", &change.zone)
                .with("source", source)
                .with("backends", self.backends_in(&change.zone));
        }
        let evacuated = self.zones.0.borrow();
        let evacuated = evacuated.records().filter(|r| r.is_evacuated).count();
        self.meter.set("zones_evacuated", evacuated as u64);
        self.update_states();
    }

    fn backends_in(&self, zone: &str) -> usize {
        let backends = self.backends.borrow();
        backends.values().filter(|b| b.server.zone == zone).count()
    }

    fn broadcast_evacuations(&self) {
        let Some(link) = &self.link else { return };
        let datagram = message::Datagram {
            evacuations: self.zones.records(),
            ..link.envelope(self.incarnation)
        };
        let bytes = datagram.encode_to_vec();
        for address in self.peers.borrow().send_addresses() {
            link.send_bytes(*address, &bytes);
        }
    }

    /// Returns all records for an entry whose last heartbeat had another digest; otherwise none.
    pub(super) fn evacuations_for(&self, address: std::net::Ipv4Addr) -> Vec<message::Evacuation> {
        let digest = self.zones.digest();
        if digest == 0 || self.peers.borrow().evacuations_digest_of(address) == Some(digest) {
            return Vec::new();
        }
        self.zones.records()
    }

    /// Returns the Retry-After for a service whose backend servers are all in evacuated zones;
    /// `None` if it has others or none at all.
    pub(super) fn evacuated_retry_after(
        &self,
        service: u32,
        random: &mut random::Random,
    ) -> Option<time::Duration> {
        let backends = self.backends.borrow();
        let of_service = |server: &listing::Server| self.service(&server.service) == service;
        let mut servers = backends
            .values()
            .map(|b| &b.server)
            .filter(|s| of_service(s));
        let is_evacuated = |server| self.zones.is_evacuated(server);
        let first = servers.next()?;
        if !is_evacuated(first) || !servers.all(is_evacuated) {
            return None;
        }
        Some(RETRY_AFTER + RETRY_AFTER.mul_f64(random.unit()))
    }

    /// Returns the zones that were evacuated or returned as text for operators, one per line.
    pub fn evacuations(&self) -> String {
        let mut text = String::new();
        for record in self.zones.0.borrow().records() {
            let state = if record.is_evacuated {
                "evacuated"
            } else {
                "returned"
            };
            // Writing to a string can't fail.
            let _written = writeln!(
                text,
                "{} {state} position={} backends={}",
                record.zone,
                record.position,
                self.backends_in(&record.zone),
            );
        }
        text
    }
}
