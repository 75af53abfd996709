//! Spreads what this entry reads from the platform's store, or learns from peers, to other entries.

use std::{net, time};

use prost::Message as _;

use super::peer::{link, message, update};
use super::{listing, parts, state};
use crate::code;
use crate::decide::evacuation;
use crate::decide::spread::{self, target};

/// Maximum number of list changes in a datagram, about 100 bytes each; of more, all are fetched.
const MAX_CHANGES: usize = 64;

/// Number of addresses sent to an entry that has just started.
const ADDRESS_SAMPLE_SIZE: usize = 8;

/// Number of peers that an entry without data asks in each exchange.
const STARTER_TARGETS: usize = 2;

/// Consecutive failed transfers, each from another peer, after which an entry may read the store.
const MAX_FAILED_FETCHES: u32 = 3;

/// Minimum time between two requests for versions.
const VERSIONS_REQUEST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Mean number of entries of the fleet that turn to the store per round of failed transfers.
const FALLBACK_READERS: f64 = 2.0;

impl state::Entry {
    /// Returns what this entry holds of the data in the store.
    pub fn holding(&self) -> spread::Holding {
        let roster = self.roster.borrow();
        let is_complete = roster.is_complete();
        let list = if is_complete {
            roster.digest(parts::Version::Second)
        } else {
            0
        };
        spread::Holding {
            position: self.spread.borrow().confirmed_position(),
            list,
            configuration: self.configuration().map_or(0, |c| c.version),
        }
    }

    /// Records that this entry's list has all that a call delivered that began at time `at`.
    pub fn on_list_complete(&self, at: time::Duration) {
        self.spread.borrow_mut().on_list_read(at);
        self.list_completed.notify_waiters();
    }

    /// Announces a read of the list up to `position`, and the changes in it. `position` is `None`
    /// if peers must not rely on the records yet.
    pub fn on_list_read(
        &self,
        position: Option<evacuation::Position>,
        changes: &[listing::Change],
    ) {
        if let Some(position) = position {
            self.spread.borrow_mut().advance(position);
        }
        self.announce_reading(position.is_some(), changes);
    }

    /// Announces a configuration that was read.
    pub fn on_configuration_read(&self) {
        self.announce_reading(true, &[]);
    }

    fn announce_reading(&self, is_reliable: bool, changes: &[listing::Change]) {
        let Some(at) = self.now().checked_sub(self.answer_age()) else {
            // The store hasn't answered for the other topic yet.
            return;
        };
        let mut holding = self.holding();
        if !is_reliable {
            holding.position = evacuation::Position::default();
        }
        let reader = self.settings.borrow().address;
        let is_news =
            self.spread
                .borrow_mut()
                .add_own_reading(reader, self.incarnation, holding, at);
        if is_news || !changes.is_empty() {
            self.announce(changes);
        }
    }

    /// Sends this entry's state and these changes to a few random peers.
    pub fn announce(&self, changes: &[listing::Change]) {
        let at = self.spread.borrow().confirmed_position();
        self.forward(changes, at);
    }

    fn forward(&self, changes: &[listing::Change], changed_at: evacuation::Position) {
        let changes = if changes.len() > MAX_CHANGES {
            &[]
        } else {
            changes
        };
        let update = update::Update {
            changes: changes.iter().map(update::Change::from).collect(),
            changed_at: Some(changed_at.into()),
            ..self.update()
        };
        let targets = {
            let (peers, mut rng) = (self.peers.borrow(), self.rng.borrow_mut());
            target::forward(peers.near_addresses(), peers.send_addresses(), &mut rng)
        };
        self.send_update_to(&targets, update);
    }

    /// Returns the interval until the next exchange.
    pub fn exchange_interval(&self) -> time::Duration {
        let peers = self.peers.borrow().send_addresses().len();
        let spread = self.spread.borrow();
        spread.exchange_interval(self.now(), peers, self.is_complete())
    }

    /// Exchanges state with a random peer; without data, with several. Returns the peers.
    pub fn exchange(&self) -> target::Targets {
        let targets = {
            let (peers, mut rng) = (self.peers.borrow(), self.rng.borrow_mut());
            let all = peers.send_addresses();
            if self.is_complete() {
                target::exchange(peers.near_addresses(), all, &mut rng)
            } else {
                target::sample(all, STARTER_TARGETS, &mut rng)
            }
        };
        let update = update::Update {
            wants_reply: true,
            ..self.update()
        };
        self.send_update_to(&targets, update);
        targets
    }

    fn send_update_to(&self, targets: &[net::Ipv4Addr], update: update::Update) {
        let Some(link) = &self.link else { return };
        let now = self.now();
        let records = self
            .probes
            .borrow_mut()
            .records(now, &mut self.rng.borrow_mut());
        let liveness = records.iter().map(|r| message::Liveness::new(now, r));
        let datagram = message::Datagram {
            update: Some(update),
            liveness: liveness.collect(),
            ..link.envelope(self.incarnation)
        };
        let bytes = datagram.encode_to_vec();
        for target in targets {
            link.send_bytes(*target, &bytes);
        }
    }

    fn update(&self) -> update::Update {
        let (now, spread) = (self.now(), self.spread.borrow());
        let reading = spread.newest_reading();
        let holding = update::Holding {
            has_versions: !self.roster.borrow().lacks_versions(),
            ..self.holding().into()
        };
        update::Update {
            reading: reading.map(|reading| update::Reading::new(now, reading)),
            holding: Some(holding),
            first_start_ms: self.first_start_ms(),
            statement: self.statement_message(),
            ..update::Update::default()
        }
    }

    /// Handles a peer's update: applies it, and forwards what is new here.
    pub fn on_update(&self, peer: net::Ipv4Addr, update: &update::Update) {
        let now = self.now();
        let addresses = update.known_addresses.iter();
        let addresses = addresses.map(|bits| net::Ipv4Addr::from_bits(*bits));
        self.peers.borrow_mut().learn(now, addresses.chain([peer]));
        let changed_at = update.changed_at.unwrap_or_default().into();
        let changes = self.apply_changes(peer, update, changed_at);
        let arrived_after = self.link.as_ref().map_or(now, link::Link::arrived_after);
        let reading = update.reading.as_ref();
        let reading = reading.map(|r| r.received(arrived_after));
        if let Some(reading) = &reading {
            self.on_list_answer(reading.at);
        }
        let own = self.holding();
        let is_near = self.peers.borrow().is_near(peer);
        let mut spread = self.spread.borrow_mut();
        let is_new = reading.is_some_and(|reading| spread.on_reading(reading, own));
        if let Some(holding) = update.holding {
            spread.on_holding(now, (peer, is_near), holding.into(), own);
        }
        let has_holders = spread.has_holders();
        drop(spread);
        if reading.is_some() {
            self.list_completed.notify_waiters();
        }
        self.note_versions(peer, update);
        if let Some(ms) = update.first_start_ms {
            let age = time::Duration::from_millis(ms.into());
            self.on_first_start(now.checked_sub(age), Some(peer));
        }
        let has_changed = update.statement.as_ref().is_some_and(|statement| {
            let statement = statement.received(arrived_after);
            // One of a false era is lowered later; one of a store that was just restored counts at once.
            self.on_statement(statement)
        });
        if let Some(reading) = reading.filter(|_| is_new) {
            self.meter
                .time("update_age", now.saturating_sub(reading.at));
            self.meter.count("update_hops", &reading.hops.to_string());
        }
        let has_to_forward = target::has_to_forward(self.peers.borrow().send_addresses().len());
        if has_to_forward && (is_new || has_changed || !changes.is_empty()) {
            self.forward(&changes, changed_at);
        }
        if update.wants_reply {
            self.reply(peer, update);
        }
        if has_holders {
            self.peer_change.notify_one();
        }
    }

    // Notes a peer that knows the versions that this entry's list lacks, since it came from an entry
    // of an earlier release.
    fn note_versions(&self, peer: net::Ipv4Addr, update: &update::Update) {
        let knows_all = update.holding.is_some_and(|holding| holding.has_versions);
        let roster = self.roster.borrow();
        if knows_all && roster.is_complete() && roster.lacks_versions() {
            self.versions_peer.set(Some(peer));
            self.peer_change.notify_one();
        }
    }

    /// Returns a peer that knows versions that this entry's list lacks, if it is time to ask it.
    pub fn take_versions_peer(&self) -> Option<net::Ipv4Addr> {
        let now = self.now();
        let peer = self.versions_peer.take();
        let peer = peer.filter(|_| now >= self.next_versions_request.get())?;
        self.next_versions_request
            .set(now + VERSIONS_REQUEST_INTERVAL);
        Some(peer)
    }

    fn apply_changes(
        &self,
        peer: net::Ipv4Addr,
        update: &update::Update,
        changed_at: evacuation::Position,
    ) -> Vec<listing::Change> {
        // Without a complete list, the changes arrive with the list.
        if update.changes.is_empty() || !self.roster.borrow().is_complete() {
            return Vec::new();
        }
        let decoded = update.changes.iter().filter_map(|change| {
            listing::Update::try_from(change)
                .inspect_err(|err| {
                    self.log
                        .line("neighbour_malformed")
                        .with("neighbour", peer)
                        .with("code", code::Code::EntryInvalid)
                        .with("error", err);
                })
                .ok()
        });
        let changes = self.apply_updates(decoded.collect::<Vec<_>>());
        if !changes.is_empty() {
            self.spread.borrow_mut().on_changes(changed_at);
        }
        changes
    }

    fn reply(&self, peer: net::Ipv4Addr, request: &update::Update) {
        let mut reply = self.update();
        // An entry without a configuration has just started and knows few others.
        if request.holding.is_none_or(|h| h.configuration == 0) {
            let (peers, mut rng) = (self.peers.borrow(), self.rng.borrow_mut());
            let sample = target::sample(peers.send_addresses(), ADDRESS_SAMPLE_SIZE, &mut rng);
            reply.known_addresses = sample.into_iter().map(net::Ipv4Addr::to_bits).collect();
        }
        self.send_update_to(&[peer], reply);
    }

    /// Returns the next transfer from a peer, if one is due.
    pub fn next_fetch(&self) -> Option<spread::Fetch> {
        let own = self.holding();
        let mut rng = self.rng.borrow_mut();
        self.spread
            .borrow_mut()
            .next_fetch(self.now(), own, &mut rng)
    }

    /// Records a transfer whose result was applied, and announces it.
    pub fn on_fetched(&self, fetch: &spread::Fetch) {
        let list = self.holding().list;
        self.spread.borrow_mut().on_fetched(self.now(), fetch, list);
        self.announce(&[]);
    }

    /// Records that a peer refused a transfer or didn't answer. After several, this entry may read
    /// the store itself, but only a few of the fleet do.
    pub fn on_fetch_failed(&self, fetch: &spread::Fetch, reason: &dyn std::fmt::Display) {
        let now = self.now();
        let failed = self.spread.borrow_mut().on_fetch_failed(now, fetch.peer);
        self.meter
            .count("peer_fetch_failures", &fetch.topic.to_string());
        self.log
            .line("peer_fetch_failed")
            .with("peer", fetch.peer)
            .with("topic", fetch.topic)
            .with("reason", reason)
            .with("failed", failed);
        let entries = self.peers.borrow().entry_count() as f64;
        let is_turn = self.rng.borrow_mut().unit() < FALLBACK_READERS / entries;
        if failed >= MAX_FAILED_FETCHES && is_turn {
            self.distrust_peers();
        }
    }

    /// Returns whether a transfer to a peer is accepted now.
    pub fn accepts_transfer(&self) -> bool {
        let accepts = self.spread.borrow_mut().accept_transfer(self.now());
        let result = if accepts { "served" } else { "refused" };
        self.meter.count("transfers", result);
        accepts
    }
}
