//! What an entry knows of the versions that streams are bound to, and which records it sends to
//! others.

use std::{collections, net, time};

use super::{
    FirstStart, HOLDERS, History, Journal, List, RETENTION, Record, Replies, Reply, Resolution,
    Service, Statement, Stored, Stream, Table, Version, View, rendezvous, service_hash,
};

/// Age of the newest reading of the store up to which the list counts as current: two readings that
/// were lost in a row.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(3);

/// Maximum number of records that [`Registry::take_due`] returns.
const MAX_DUE: usize = 256;

/// Maximum number of this entry's streams that are followed; of more, the oldest are left out.
const MAX_RUNNING: usize = 4_096;

/// Maximum number of records that leave for the store at once, four times a second: those of all running
/// streams have to before another version is used.
const MAX_UNWRITTEN: usize = MAX_RUNNING / 4;

/// Time after which the record of a stream that still runs is written again: places of batches in the
/// store are used again after some 13 s.
const REWRITE_INTERVAL: time::Duration = time::Duration::from_secs(8);

/// Time after its begin at which a stream's record is written if it isn't known whether the store names the
/// service's only version. An entry that has just started learns that meanwhile.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(200);

/// Time after its last event within which the caller of a complete stream may not have received all.
const DELIVERY_TIME: time::Duration = time::Duration::from_secs(2);

/// A stream of this entry that its caller may take up.
#[derive(Clone, Debug)]
struct Running {
    record: Record,
    service: Service,
    // Peers that the record was sent to and that still precede the others; `None` if it wasn't sent.
    holders: Option<rendezvous::Addresses>,
    // When the record last left for the store.
    written_at: Option<time::Duration>,
    // Copies of the record that name the process at which the stream began, since its version wasn't
    // known.
    outdated: Copies,
    ended_at: Option<time::Duration>,
}

/// Where copies of a record are.
#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    at_peers: bool,
    in_store: bool,
}

impl Running {
    // The version of the process at which the stream began has become known.
    fn on_version(&mut self, version: Version) {
        self.record.version = version;
        self.outdated.at_peers |= self.holders.is_some();
        self.outdated.in_store |= self.written_at.is_some();
    }

    fn is_same(&self, record: &Record) -> bool {
        self.record.stream == record.stream && self.record.version == record.version
    }

    fn may_be_taken_up(&self, now: time::Duration) -> bool {
        let may_go_on = |ended_at| now < ended_at + DELIVERY_TIME;
        now < self.record.at + self.service.lifetime && self.ended_at.is_none_or(may_go_on)
    }

    fn has_to_be_sent(&self, needs: Needs, peers: &[net::Ipv4Addr]) -> bool {
        if self.outdated.at_peers {
            return true;
        }
        match (needs.peers, &self.holders) {
            (Delivery::Never, _) | (Delivery::Once, Some(_)) => false,
            (Delivery::Once | Delivery::WithPeers, None) => true,
            (Delivery::WithPeers, Some(holders)) => holders.len() < HOLDERS.min(peers.len()),
        }
    }

    fn on_sent(&mut self, peers: &[net::Ipv4Addr]) {
        let holders = self.record.stream.holders(peers.iter().copied(), HOLDERS);
        self.holders = Some(holders);
        self.outdated.at_peers = false;
    }

    // Leaves out holders that are out of reach, and those that a peer precedes that wasn't before.
    fn on_peers(&mut self, peers: &[net::Ipv4Addr], joined: &[net::Ipv4Addr]) {
        let Some(holders) = &mut self.holders else {
            return;
        };
        holders.retain(|holder| peers.binary_search(holder).is_ok());
        if holders.len() < HOLDERS {
            return;
        }
        let candidates = holders.iter().chain(joined).copied();
        let first = self.record.stream.holders(candidates, HOLDERS);
        holders.retain(|holder| first.contains(holder));
    }

    fn has_to_be_written(&self, now: time::Duration, needs: Needs) -> bool {
        if self.outdated.in_store {
            return true;
        }
        needs.store
            && match self.written_at {
                Some(at) => now >= at + REWRITE_INTERVAL,
                None => needs.is_urgent || now >= self.record.at + WRITE_DELAY,
            }
    }
}

/// How often peers need the record of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// All know its version without it.
    Never,
    /// Not all can know that its service has a single version.
    Once,
    /// Its service has several versions, so that whichever peers are asked have to know it.
    WithPeers,
}

/// Who needs the records of a service's streams.
#[derive(Clone, Copy, Debug)]
struct Needs {
    peers: Delivery,
    // The store, which doesn't name an only version.
    store: bool,
    // True if that is certain.
    is_urgent: bool,
}

/// Versions that were listed, and those that began streams.
#[derive(Debug)]
pub struct Registry {
    /// Records of this entry's streams, and those that peers sent.
    pub table: Table,
    /// Versions that were listed.
    pub history: History,
    /// What the store holds of them.
    pub stored: Stored,
    /// Records that this entry writes to the store, of its own and other entries' streams.
    pub journal: Journal,
    // Streams of this entry, oldest first.
    running: collections::VecDeque<Running>,
    /// Records that were restored from the store, until all peers that keep them are known.
    pub restored: Vec<Record>,
    // Other entries that are known to run, in order.
    peers: Vec<net::Ipv4Addr>,
    // Entries that write records.
    writers: rendezvous::Addresses,
    // Records of this entry's streams that have yet to reach a writer.
    unwritten: Vec<Record>,
    // Since when no stream has needed a record in the store.
    stored_since: Option<time::Duration>,
}

/// Returns whether a list of backend servers is current, by the time of the newest answer of the
/// store to an entry whose list agrees with it.
pub fn is_current(now: time::Duration, last_answer: Option<time::Duration>) -> bool {
    last_answer.is_some_and(|at| now < at + MAX_LIST_AGE)
}

impl List {
    /// Returns how far a list can be relied on for a stream that was taken up at this time.
    /// `last_answer` is the time of the newest answer of the store to any entry, `complete_at` a time
    /// at which the list had all that the store had.
    pub fn new(
        now: time::Duration,
        last_answer: Option<time::Duration>,
        complete_at: Option<time::Duration>,
        taken_up_at: time::Duration,
    ) -> Self {
        if complete_at.is_some_and(|at| at >= taken_up_at) {
            Self::Newer
        } else if is_current(now, last_answer) {
            Self::Recent
        } else {
            Self::Old
        }
    }
}

impl Registry {
    /// Returns an entry's state at its start.
    pub fn new(first_start: FirstStart) -> Self {
        Self {
            table: Table::default(),
            history: History::new(first_start),
            stored: Stored::default(),
            journal: Journal::default(),
            restored: Vec::new(),
            peers: Vec::new(),
            writers: rendezvous::Addresses::new(),
            unwritten: Vec::new(),
            stored_since: None,
            running: collections::VecDeque::new(),
        }
    }

    /// Returns the time since the fleet's first start was confirmed, for as long as peers can use it.
    pub fn first_start_age(&self, now: time::Duration) -> Option<time::Duration> {
        match self.history.first_start() {
            FirstStart::Confirmed(at) => {
                Some(now.saturating_sub(at)).filter(|age| *age < RETENTION)
            }
            FirstStart::No | FirstStart::Claimed => None,
        }
    }

    fn view(&self, now: time::Duration, service: Service) -> View {
        self.history.view(now, service.hash, service.lifetime)
    }

    /// Records a listed process of a service, and its version if it is known. Records of streams that
    /// began there name the version from then on.
    pub fn add_process(&mut self, service: &str, process: Version, version: Option<Version>) {
        let has_become_known = self.history.processes.add(process, version);
        let Some(version) = version.filter(|_| has_become_known) else {
            return;
        };
        self.history.rename(service_hash(service), process, version);
        let running = self.running.iter_mut();
        for running in running.filter(|r| r.record.version == process) {
            running.on_version(version);
        }
    }

    /// Records that a process is no longer listed.
    pub fn remove_process(&mut self, now: time::Duration, process: Version) {
        self.history.processes.remove(now, process);
    }

    /// Returns the version that this one stands for, see [`Processes::resolve`].
    pub fn resolve_version(&self, version: Version) -> Version {
        self.history.processes.resolve(version)
    }

    /// Returns whether a version stands for a process whose own isn't known.
    pub fn is_unknown(&self, version: Version) -> bool {
        self.history.processes.is_unknown(version)
    }

    /// Returns the version that began a stream, if this entry has a record of it.
    pub fn version_of(&self, stream: Stream) -> Option<Version> {
        let version = self.table.get(stream)?;
        Some(self.history.processes.resolve(version))
    }

    /// Returns the reply to a peer that asks for the version of a stream. `is_current` tells whether
    /// this entry's list is.
    pub fn reply(
        &self,
        now: time::Duration,
        stream: Stream,
        service: Service,
        is_current: bool,
    ) -> Reply {
        let view = self.view(now, service);
        Reply {
            version: self.version_of(stream),
            only: view.only().filter(|_| is_current),
            is_mixed: view.versions.len() > 1,
        }
    }

    /// Returns whether this entry knows all versions that a service had while a stream may have begun.
    pub fn knows_versions(&self, now: time::Duration, service: Service) -> bool {
        self.view(now, service).is_complete
    }

    /// Returns the version that began a stream, by what this entry and others know, and remembers what
    /// others know of the service.
    pub fn resolve(
        &mut self,
        now: time::Duration,
        service: Service,
        list: List,
        replies: &Replies,
    ) -> Resolution {
        let view = self.view(now, service);
        let mut others = replies.received.iter().filter_map(|reply| reply.only);
        let list = match list {
            List::Old if others.next().is_some() => List::Recent,
            list => list,
        };
        let resolution = super::resolve(&view, list, replies);
        if let Resolution::Version(version) = resolution
            && !view.is_complete
            && replies.received.iter().any(|r| r.only == Some(version))
        {
            let Service { hash, lifetime } = service;
            self.history.on_single(now, hash, version, lifetime);
        }
        resolution
    }

    fn needs(&self, now: time::Duration, service: Service, is_current: bool) -> Needs {
        let view = self.view(now, service);
        let has_watched = self.history.has_watched(now, service.lifetime);
        // Shortly after all have started, not every entry knows of the only version.
        let is_known = is_current && has_watched && view.only().is_some();
        let peers = if view.is_joined || view.versions.len() > 1 {
            Delivery::WithPeers
        } else if is_known {
            Delivery::Never
        } else {
            Delivery::Once
        };
        Needs {
            peers,
            store: !self.history.is_stored(service.hash),
            is_urgent: self.history.joins.statement().is_some() || view.versions.len() > 1,
        }
    }

    /// Returns the records that have to outlive all entries, for their writers: those of streams that
    /// run, or may be taken up, while the store doesn't name their services' only version.
    pub fn take_unwritten(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.unwritten)
    }

    /// Returns the number of this entry's streams of which all knowledge would end with all entries.
    pub fn unstored_streams(&self) -> usize {
        let is_unstored =
            |r: &&Running| r.written_at.is_none() && !self.history.is_stored(r.service.hash);
        self.running.iter().filter(is_unstored).count()
    }

    /// Records that a stream begins, or is taken up. Returns whether other entries need the record at once;
    /// otherwise it is kept until they do.
    pub fn begin(&mut self, record: Record, service: Service, is_current: bool) -> bool {
        let record = self.resolved(record);
        self.table.add(record);
        let needs = self.needs(record.at, service, is_current);
        let mut known = self.running.iter_mut().rev();
        if let Some(known) = known.find(|known| known.is_same(&record)) {
            let is_due = known.has_to_be_sent(needs, &self.peers);
            known.record.at = record.at;
            known.ended_at = None;
            if is_due {
                known.on_sent(&self.peers);
            }
            return is_due;
        }
        let mut running = Running {
            record,
            service,
            holders: None,
            written_at: None,
            outdated: Copies::default(),
            ended_at: None,
        };
        let is_due = running.has_to_be_sent(needs, &self.peers);
        if is_due {
            running.on_sent(&self.peers);
        }
        if running.has_to_be_written(record.at, needs) {
            running.outdated.in_store = false;
            running.written_at = Some(record.at);
            self.unwritten.push(record);
        }
        if self.running.len() >= MAX_RUNNING {
            self.running.pop_front();
        }
        self.running.push_back(running);
        is_due
    }

    /// Keeps a record of a peer, or of the store.
    pub fn keep(&mut self, record: Record) {
        let record = self.resolved(record);
        self.history.on_record(record.version);
        self.table.add(record);
    }

    fn resolved(&self, record: Record) -> Record {
        Record {
            version: self.history.processes.resolve(record.version),
            ..record
        }
    }

    /// Records which other entries are known to run. Records become due again whose holders aren't the same
    /// any more, if their service has several versions.
    pub fn set_peers(&mut self, peers: impl Iterator<Item = net::Ipv4Addr>) {
        let mut peers: Vec<_> = peers.collect();
        peers.sort_unstable();
        if peers == self.peers {
            return;
        }
        let is_new = |peer: &net::Ipv4Addr| self.peers.binary_search(peer).is_err();
        let joined: Vec<_> = peers.iter().copied().filter(is_new).collect();
        for running in &mut self.running {
            running.on_peers(&peers, &joined);
        }
        self.peers = peers;
    }

    /// Records which entries write records to the store.
    pub fn set_writers(&mut self, writers: rendezvous::Addresses) {
        if self.writers != writers {
            self.rewrite();
            self.writers = writers;
        }
    }

    // Makes all records of this entry's streams due again: the store has lost them, or entries that write now
    // use their places.
    fn rewrite(&mut self) {
        self.running.iter_mut().for_each(|r| r.written_at = None);
    }

    /// Records that a stream is complete, so that hardly anybody takes it up.
    pub fn end(&mut self, now: time::Duration, stream: Stream) {
        let mut running = self.running.iter_mut().rev();
        if let Some(running) = running.find(|r| r.record.stream == stream) {
            running.ended_at = Some(now);
        }
    }

    /// Records what the platform's store says. A store that was restored from an older copy lacks
    /// records. Returns whether it says something else than before.
    pub fn on_statement(&mut self, statement: Statement) -> bool {
        let era = self.history.joins.statement().map(|s| s.read.era);
        let is_restored = era.is_some_and(|era| era < statement.read.era);
        let is_other = self.history.on_statement(statement);
        if is_restored {
            self.rewrite();
        }
        is_other
    }

    /// Returns whether the store's records of streams are void: their streams are over, and a version that
    /// they name may have been withdrawn since.
    pub fn are_batches_void(&self, now: time::Duration) -> bool {
        let since = self.stored_since;
        since.is_some_and(|since| now >= since + RETENTION)
    }

    /// Forgets old records, and returns those that other entries have come to need: a second version
    /// was listed after the stream began, the list is no longer current, or other peers keep them. To be
    /// called periodically.
    pub fn take_due(&mut self, now: time::Duration, is_current: bool) -> Vec<Record> {
        self.table.sweep(now);
        self.history.processes.sweep(now);
        self.history.update_joins(now);
        self.journal.update(now);
        let since = self.stored_since.unwrap_or(now);
        self.stored_since = self.history.are_all_stored().then_some(since);
        self.running.retain(|running| running.may_be_taken_up(now));
        let mut running = std::mem::take(&mut self.running);
        let (mut due, mut unwritten) = (Vec::new(), Vec::new());
        let mut known = collections::HashMap::new();
        // The newest streams are the most likely to break while they run.
        for running in running.iter_mut().rev() {
            let service = running.service;
            let needs = known.entry(service);
            let needs = *needs.or_insert_with(|| self.needs(now, service, is_current));
            if running.has_to_be_sent(needs, &self.peers) && due.len() < MAX_DUE {
                running.on_sent(&self.peers);
                due.push(running.record);
            }
            if running.has_to_be_written(now, needs) && unwritten.len() < MAX_UNWRITTEN {
                running.outdated.in_store = false;
                running.written_at = Some(now);
                unwritten.push(running.record);
            }
        }
        self.running = running;
        self.unwritten.extend(unwritten);
        due
    }
}
