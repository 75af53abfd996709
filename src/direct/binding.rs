//! Binds streams to the software version that began them, within an answer and over the attempts of
//! a caller; see [`crate::decide::binding`].

use std::{collections, net, rc, time};

use prost::Message as _;

use super::peer::binding as exchange;
use super::peer::{binding_message, update};
use super::{configuration, forward, refusal, slot, state};
use crate::code;
use crate::decide::{binding, rendezvous};
use crate::key;

/// Time for which a list is awaited that is newer than a stream: two reads of the store, of which one
/// may fail. The caller's deadline may be earlier.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Interval of checks whether such a list can still come, beside its arrival.
const LIST_POLL: time::Duration = time::Duration::from_millis(250);

/// Time after the start in which records are restored from the store and sent to those that keep them.
/// A caller that waits for them loses less than its stream.
const RESTORE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time after the start in which it becomes known what the store says of the versions of services, and the
/// interval of checks.
const STATEMENT_TIME: time::Duration = time::Duration::from_secs(1);
const STATEMENT_POLL: time::Duration = time::Duration::from_millis(20);

/// Interval at which peers are asked again meanwhile.
const RESTORE_POLL: time::Duration = time::Duration::from_millis(200);

/// Character between a version and the store's era in a record.
const ERA_SEPARATOR: char = '@';

/// Retry-After if the version that began a stream isn't known here: another entry may know it.
const UNKNOWN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

impl state::Entry {
    /// Returns the version of a backend server; the unknown version if it was removed.
    pub fn version_of(&self, server: key::Sidecar) -> binding::Version {
        let backends = self.backends.borrow();
        backends
            .get(server)
            .map_or_else(binding::Version::default, |b| b.version)
    }

    /// Returns the version that this one stands for, if the process that it names is known by now.
    pub(super) fn resolve_version(&self, version: binding::Version) -> binding::Version {
        self.bindings.borrow().resolve_version(version)
    }

    // Returns the version that a peer's record names.
    fn version_in(&self, replies: &binding::Replies) -> Option<binding::Version> {
        let mut replies = replies.received.iter();
        let version = replies.find_map(|reply| reply.version)?;
        Some(self.resolve_version(version))
    }

    // Returns the name of a version, for logs; its hash if no backend server runs it any more.
    fn version_name(&self, version: binding::Version) -> String {
        let backends = self.backends.borrow();
        let mut backends = backends.values();
        let name = backends.find_map(|b| b.server.version.clone().filter(|_| b.version == version));
        name.unwrap_or_else(|| version.to_string())
    }

    pub(super) fn has_current_list(&self) -> bool {
        binding::is_current(self.now(), self.spread.borrow().last_answer())
    }

    // Returns the version that began a stream by what this entry and its peers know.
    fn resolve_binding(
        &self,
        service: binding::Service,
        taken_up_at: time::Duration,
        replies: &binding::Replies,
    ) -> binding::Resolution {
        let now = self.now();
        let spread = self.spread.borrow();
        let list = binding::List::new(now, spread.last_answer(), spread.complete_at(), taken_up_at);
        drop(spread);
        let mut bindings = self.bindings.borrow_mut();
        bindings.resolve(now, service, list, replies)
    }

    /// Returns the reply to a peer that asks for the version of a stream.
    pub fn binding_reply(
        &self,
        stream: binding::Stream,
        service: binding::Service,
    ) -> binding::Reply {
        let is_current = self.has_current_list();
        let bindings = self.bindings.borrow();
        bindings.reply(self.now(), stream, service, is_current)
    }

    /// Forgets old records, and sends those to peers that have become necessary.
    pub(super) fn refresh_bindings(&self) {
        let is_current = self.has_current_list();
        let writers = self.binding_writers();
        let mut bindings = self.bindings.borrow_mut();
        bindings.set_writers(writers);
        bindings.set_peers(self.peers.borrow().alive_addresses());
        let due = bindings.take_due(self.now(), is_current);
        let unwritten = bindings.take_unwritten();
        let unstored = bindings.unstored_streams();
        drop(bindings);
        self.meter.set("unstored_streams", unstored as u64);
        self.log_joins();
        exchange::send_records(self, &due);
        exchange::send_to_writers(self, &unwritten);
    }

    /// Applies what the platform's store, in this era, holds of services that had a single version.
    /// Records that were written in an earlier era don't count: the copy that the store came back from
    /// may lack their deletion.
    pub fn restore_versions<'a>(
        &self,
        era: u64,
        records: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) {
        let decode = |(key, value): (&str, &[u8])| {
            let decoded = decode_single(key, value);
            if decoded.is_none() {
                let line = self.log.line("version_malformed").with("key", key);
                drop(line.with("code", code::Code::EntryInvalid));
            }
            decoded
        };
        let records = records.into_iter().filter_map(decode);
        let records = records.filter(|(.., written_in)| *written_in == era);
        let records: Vec<_> = records
            .map(|(service, version, _)| (service, version))
            .collect();
        let mut bindings = self.bindings.borrow_mut();
        let binding::Registry {
            stored, history, ..
        } = &mut *bindings;
        stored.restore(self.now(), records, history);
    }

    // Logs versions that join services, or serve new streams from now on.
    fn log_joins(&self) {
        let events = self.bindings.borrow_mut().history.joins.take_events();
        for event in events {
            let line = self.log.line("version_joins");
            let line = line.with("service", format_args!("{:016x}", event.service));
            let line = line.with("first", self.version_name(event.base));
            match event.opened {
                Some(reason) => drop(line.with("used", true).with("reason", reason)),
                None => drop(line.with("used", false)),
            }
        }
    }

    /// Records what the platform's store says of the versions of services. Returns whether that is
    /// something else than before.
    pub(super) fn on_statement(&self, statement: binding::Statement) -> bool {
        let mut bindings = self.bindings.borrow_mut();
        bindings
            .history
            .joins
            .on_uptime(self.now(), statement.uptime);
        let is_other = bindings.on_statement(statement);
        drop(bindings);
        self.log_joins();
        is_other
    }

    pub(super) fn statement_message(&self) -> Option<update::Statement> {
        let bindings = self.bindings.borrow();
        update::Statement::new(self.now(), &bindings.history.joins)
    }

    /// Tells peers what the platform's store says of the versions of services. To be called periodically by
    /// an entry that has read it up to this position.
    pub fn share_statement(&self, read: binding::Position) {
        let bindings = self.bindings.borrow();
        let (stored, history) = (&bindings.stored, &bindings.history);
        let statement = stored.statement(self.now(), read, history);
        drop(bindings);
        if self.on_statement(statement) {
            self.announce(&[]);
        }
    }

    /// Returns whether nothing has confirmed yet that the fleet starts for the first time, as the
    /// settings say.
    pub fn awaits_first_start(&self) -> bool {
        self.bindings.borrow().history.first_start() == binding::FirstStart::Claimed
    }

    /// Records that the store has confirmed the fleet's first start at time `at`, by a call of this entry
    /// or of a peer; `None` if that was before this process started.
    pub fn on_first_start(&self, at: Option<time::Duration>, peer: Option<net::Ipv4Addr>) {
        let mut bindings = self.bindings.borrow_mut();
        if bindings.history.confirm_first_start(at) {
            let peer = peer.map(|peer| peer.to_string());
            let line = self.log.line("first_start").with("confirmed", true);
            drop(line.with("peer", peer.as_deref().unwrap_or("-")));
        }
    }

    /// Records that the store, in this era and with this number of records of versions, doesn't confirm
    /// that the fleet starts for the first time.
    pub fn on_unconfirmed_start(&self, era: Option<u64>, records: u64) {
        let line = self.log.line("first_start").with("confirmed", false);
        let era = era.map(|era| era.to_string());
        let line = line.with("era", era.as_deref().unwrap_or("-"));
        drop(line.with("records", records));
    }

    // Returns the milliseconds since the first start was confirmed, for those that may take part in it.
    pub(super) fn first_start_ms(&self) -> Option<u32> {
        let age = self.bindings.borrow().first_start_age(self.now())?;
        Some(age.as_millis() as u32)
    }

    /// Returns the changes of versions that the store lacks, if this entry's list is current.
    pub fn due_versions(&self) -> Vec<binding::Change> {
        if !self.has_current_list() {
            return Vec::new();
        }
        let bindings = self.bindings.borrow();
        bindings.stored.due(self.now(), &bindings.history)
    }

    /// Records that the store holds a change.
    pub fn on_version_stored(&self, change: binding::Change) {
        self.bindings.borrow_mut().stored.on_written(change);
        let version = change.version.map(|version| self.version_name(version));
        self.log
            .line("version_stored")
            .with("service", format_args!("{:016x}", change.service))
            .with("version", version.as_deref().unwrap_or("-"));
    }
}

/// A batch of records, as the platform's store keeps it.
#[derive(Debug)]
pub struct Batch {
    /// Key of its record.
    pub key: String,
    /// Value of its record.
    pub value: Vec<u8>,
    content: binding::Batch,
}

impl state::Entry {
    /// Returns the entries that write records of streams to the platform's store.
    pub fn binding_writers(&self) -> rendezvous::Addresses {
        let own = self.settings.borrow().address;
        let peers = self.peers.borrow();
        let all: Vec<_> = peers.alive_addresses().chain([own]).collect();
        binding::writers(&all)
    }

    /// Adds a record to those that this entry writes.
    pub fn add_to_journal(&self, record: binding::Record) {
        self.bindings.borrow_mut().journal.add(record);
        self.journal_due.notify_one();
    }

    // Returns which of the writers this entry is.
    fn writer_number(&self, writers: &[net::Ipv4Addr]) -> usize {
        let own = self.settings.borrow().address;
        writers.iter().position(|w| *w == own).unwrap_or_default()
    }

    /// Returns the writers, and which of them this entry is, if it has records to write and doesn't know
    /// which keys that writer has in the store.
    pub fn writer_without_keys(&self) -> Option<(rendezvous::Addresses, usize)> {
        let journal = &self.bindings.borrow().journal;
        if journal.is_empty() {
            return None;
        }
        let writers = self.binding_writers();
        let number = self.writer_number(&writers);
        journal.lacks_places(&writers).then_some((writers, number))
    }

    /// Records the keys that the writer with this number has in the store, in the order in which they
    /// were written.
    pub fn on_writer_keys<'a>(
        &self,
        writers: rendezvous::Addresses,
        writer: usize,
        keys: impl IntoIterator<Item = &'a str>,
    ) {
        let mut bindings = self.bindings.borrow_mut();
        bindings.journal.update(self.now());
        bindings.journal.on_keys(writers, writer, keys);
    }

    /// Returns whether this entry has to delete the store's batches, whose records are void.
    pub fn has_void_batches(&self) -> bool {
        self.reads_store_now() && self.bindings.borrow().are_batches_void(self.now())
    }

    /// Returns the next batch of records to write, if there is one.
    pub fn take_batch(&self) -> Option<Batch> {
        let now = self.now();
        let mut bindings = self.bindings.borrow_mut();
        bindings.journal.update(now);
        let batch = bindings.journal.take()?;
        if !bindings.journal.is_empty() {
            self.journal_due.notify_one();
        }
        drop(bindings);
        let records = batch.records.iter();
        let records = records.map(|record| binding_message::Record::new(now, record));
        let message = binding_message::Batch {
            records: records.collect(),
        };
        Some(Batch {
            key: batch.key(self.writer_number(&self.binding_writers())),
            value: message.encode_to_vec(),
            content: batch,
        })
    }

    /// Returns a batch that couldn't be written.
    pub fn put_batch_back(&self, batch: Batch) {
        self.bindings.borrow_mut().journal.put_back(batch.content);
        self.journal_due.notify_one();
    }

    /// Restores the records of these batches, oldest first, and sends them to the peers that keep them.
    pub fn restore_bindings<'a>(&self, batches: impl Iterator<Item = &'a [u8]>) {
        let now = self.now();
        let mut records = Vec::new();
        for batch in batches {
            match binding_message::Batch::decode(batch) {
                // They count as new: the time of day may have changed since they were written.
                Ok(batch) => records.extend(batch.records.iter().map(|r| binding::Record {
                    at: now,
                    ..r.received(now)
                })),
                Err(err) => drop(self.log.line("version_malformed").with("error", err)),
            }
        }
        if records.is_empty() {
            return;
        }
        let mut known = collections::HashSet::new();
        records.reverse();
        records.retain(|record| known.insert(record.stream));
        records.reverse();
        self.log
            .line("bindings_restored")
            .with("records", records.len());
        exchange::send_records(self, &records);
        let mut bindings = self.bindings.borrow_mut();
        for record in &records {
            bindings.keep(*record);
        }
        bindings.restored = records;
    }

    /// Sends the restored records again, to the peers that are known by now, and to the writers: batches
    /// of this start use the places of earlier ones.
    pub fn share_restored_bindings(&self) {
        let mut bindings = self.bindings.borrow_mut();
        let restored = std::mem::take(&mut bindings.restored);
        for record in &restored {
            let version = bindings.resolve_version(record.version);
            bindings.history.on_record(version);
        }
        drop(bindings);
        exchange::send_records(self, &restored);
        exchange::send_to_writers(self, &restored);
    }
}

/// Returns the key and the value of a change in the platform's store of this era; an empty value deletes
/// the key.
pub fn encode_single(change: binding::Change, era: u64) -> (String, String) {
    let value = change
        .version
        .map(|version| format!("{version}{ERA_SEPARATOR}{era}"));
    (
        format!("{:016x}", change.service),
        value.unwrap_or_default(),
    )
}

// Returns the service, its only version, and the era of the store in which that was written. Records of
// entries of an earlier release lack it, and count in a store that was never restored.
fn decode_single(key: &str, value: &[u8]) -> Option<(u64, binding::Version, u64)> {
    let value = std::str::from_utf8(value).ok()?;
    let (version, era) = value.split_once(ERA_SEPARATOR).unwrap_or((value, "0"));
    let hash = |text| u64::from_str_radix(text, 16).ok();
    Some((
        hash(key)?,
        binding::Version(hash(version)?),
        era.parse().ok()?,
    ))
}

impl forward::Call {
    // Returns the stream that this request begins or takes up.
    fn stream(&self) -> binding::Stream {
        let head = &self.req.head;
        let taken_up = head.taken_up.as_ref();
        let first = taken_up.and_then(|t| t.first_attempt.as_ref());
        let first = first.unwrap_or(&head.id);
        let customer = self.req.customer.as_deref().unwrap_or("");
        binding::Stream::new(customer, first.as_bytes())
    }

    /// Records that no backend server can be used at the version at which this request should begin.
    pub(super) fn on_base_unusable(&self) {
        let mut bindings = self.entry.bindings.borrow_mut();
        let service = binding::service_hash(&self.req.service);
        bindings.history.joins.on_unusable(service);
    }

    /// Returns the version at which this request should begin, if it is a stream that may be taken up
    /// and another version joins its service that isn't in use yet.
    pub(super) fn base_version(&self) -> Option<binding::Version> {
        let is_resumable = self.req.route.kind == configuration::RouteKind::ResumableStream;
        if !is_resumable || self.version.is_some() || self.leaves_base.get() {
            return None;
        }
        let bindings = self.entry.bindings.borrow();
        let service = binding::service_hash(&self.req.service);
        bindings.history.base(service)
    }

    // Waits shortly after the start until it is known whether the versions of the service are in use.
    async fn await_statement(&self) {
        let is_unknown = |entry: &state::Entry| {
            let joins = &entry.bindings.borrow().history.joins;
            joins.statement().is_none() && entry.fleet.borrow().is_mixed(self.service)
        };
        while self.entry.now() < STATEMENT_TIME && is_unknown(&self.entry) {
            tokio::time::sleep(STATEMENT_POLL).await;
        }
    }

    /// Binds a stream that its caller takes up to the version that began it. Fails if that isn't
    /// known.
    pub(super) async fn bind(&mut self) -> Result<(), refusal::Refusal> {
        if self.req.head.taken_up.is_none() {
            if self.req.route.kind == configuration::RouteKind::ResumableStream {
                self.await_statement().await;
            }
            return Ok(());
        }
        if !self.req.route.kind.is_stream() {
            return Ok(());
        }
        let entry = rc::Rc::clone(&self.entry);
        let stream = self.stream();
        let known = entry.bindings.borrow().version_of(stream);
        let (version, source) = match known {
            Some(version) => (Some(version), "record"),
            None => self.ask_peers(stream).await,
        };
        let line = entry.log.line("stream_bound").with("id", self.id());
        let Some(version) = version else {
            drop(line.with("version", "?").with("source", source));
            let after = UNKNOWN_RETRY_AFTER;
            let code = code::Code::VersionUnknown;
            return Err(refusal::Refusal::with_retry_after(code, after));
        };
        drop(
            line.with("version", entry.version_name(version))
                .with("source", source),
        );
        self.choose_service(version);
        // It may wait for its next event, and be taken up again, once nobody knows any more what showed its
        // version.
        self.keep_binding(version);
        Ok(())
    }

    // Asks peers for the version that began a stream. Returns it, and what showed it. What silent peers
    // may know is in a list that is read from now on.
    async fn ask_peers(&self, stream: binding::Stream) -> (Option<binding::Version>, &'static str) {
        let (entry, service) = (&self.entry, self.bound_service());
        let taken_up_at = entry.now();
        let mut replies = exchange::request(entry, stream, service).await;
        if let Some(version) = entry.version_in(&replies) {
            return (Some(version), "peer");
        }
        loop {
            if let Some(version) = entry.bindings.borrow().version_of(stream) {
                return (Some(version), "record");
            }
            let resolution = entry.resolve_binding(service, taken_up_at, &replies);
            // Records that are being restored may show that a version that joins has been used.
            let is_open = match resolution {
                binding::Resolution::Unknown => true,
                _ => entry.bindings.borrow().history.base(service.hash).is_some(),
            };
            if is_open && entry.now() < RESTORE_TIME {
                tokio::time::sleep(RESTORE_POLL).await;
                replies = exchange::request(entry, stream, service).await;
                if let Some(version) = entry.version_in(&replies) {
                    return (Some(version), "peer");
                }
                continue;
            }
            match resolution {
                binding::Resolution::Version(version) if replies.is_partial => {
                    return (Some(version), "newer_list");
                }
                binding::Resolution::Version(version) => return (Some(version), "only_version"),
                binding::Resolution::Unknown => return (None, "none"),
                binding::Resolution::NeedsNewerList => {}
            }
            if entry.now() >= taken_up_at + LIST_TIMEOUT {
                return (None, "silence");
            }
            // The timeout covers a list that has become too old.
            let _completed = tokio::time::timeout(LIST_POLL, entry.list_completed.notified()).await;
        }
    }

    fn bound_service(&self) -> binding::Service {
        binding::Service::new(&self.req.service, self.req.route.timeout)
    }

    fn choose_service(&mut self, version: binding::Version) {
        let entry = &self.entry;
        let own = rc::Rc::clone(&self.req.service);
        let shares = self.req.route.shares.iter().filter(|s| s.weight > 0);
        let others = shares.map(|share| rc::Rc::clone(&share.service));
        let service = binding::choose_service(own, others, |service| {
            let service = entry.service(service);
            entry.fleet.borrow().has_version(service, version)
        });
        self.service = entry.service(&service);
        rc::Rc::make_mut(&mut self.req).service = service;
    }

    /// Binds the stream to the version of this slot's backend server, whose first event is about to
    /// be passed on.
    pub(super) fn on_first_event(&mut self, slot: &slot::Slot) {
        if self.version.is_some() {
            return;
        }
        // Others aren't taken up.
        if self.req.route.kind != configuration::RouteKind::ResumableStream {
            self.version = Some(slot.version);
            return;
        }
        let service = self.bound_service().hash;
        // It may have become known since the slot was acquired.
        let version = self.entry.resolve_version(slot.version);
        let mut bindings = self.entry.bindings.borrow_mut();
        bindings.history.on_begun(service, version);
        drop(bindings);
        self.keep_binding(version);
    }

    // Binds the stream, and records its version here and wherever it is needed.
    fn keep_binding(&mut self, version: binding::Version) {
        let entry = &self.entry;
        self.version = Some(version);
        let record = binding::Record {
            stream: self.stream(),
            version,
            at: entry.now(),
        };
        let (service, is_current) = (self.bound_service(), entry.has_current_list());
        let mut bindings = entry.bindings.borrow_mut();
        let is_due = bindings.begin(record, service, is_current);
        let unwritten = bindings.take_unwritten();
        drop(bindings);
        if is_due {
            exchange::send_records(entry, &[record]);
        }
        exchange::send_to_writers(entry, &unwritten);
    }

    /// Records that the stream is complete.
    pub(super) fn on_stream_end(&self) {
        let (entry, stream) = (&self.entry, self.stream());
        entry.bindings.borrow_mut().end(entry.now(), stream);
    }
}
