//! What an entry knows of the versions that streams are bound to, and which records it sends to
//! others.

use std::{collections, time};

use super::{
    FirstStart, History, Journal, List, RETENTION, Record, Replies, Reply, Resolution, Service,
    Stored, Stream, Table, View,
};

/// Age of the newest reading of the store up to which the list counts as current: two readings that
/// were lost in a row.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(3);

/// Maximum number of records that [`Registry::take_due`] returns.
const MAX_DUE: usize = 256;

/// Maximum number of this entry's streams that are followed; of more, the oldest are left out.
const MAX_RUNNING: usize = 4_096;

/// A stream of this entry that its caller may take up.
#[derive(Clone, Copy, Debug)]
struct Running {
    record: Record,
    service: Service,
    // True if peers have the record.
    is_sent: bool,
    // True if the record left for the store.
    is_written: bool,
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
    // Records of this entry's streams that have yet to reach a writer.
    unwritten: Vec<Record>,
}

/// Returns whether a list of backend servers is current, by the time of the newest answer of the
/// store to any entry.
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
            unwritten: Vec::new(),
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
            version: self.table.get(stream),
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

    // Returns whether every entry can know the version of a stream without a record, since the
    // service has had only one. Shortly after all have started, not every entry can.
    fn needs_no_record(&self, now: time::Duration, service: Service, is_current: bool) -> bool {
        let has_watched = self.history.has_watched(now, service.lifetime);
        is_current && has_watched && self.view(now, service).only().is_some()
    }

    fn is_mixed(&self, now: time::Duration, service: Service) -> bool {
        self.view(now, service).versions.len() > 1
    }

    /// Returns the records that have to outlive all entries, for their writers: those of streams that
    /// have begun, or have become due, while their services had several versions.
    pub fn take_unwritten(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.unwritten)
    }

    /// Returns the number of this entry's streams whose records haven't left for the store. If all
    /// entries are killed, the version of these is known only if the store names their service's.
    pub fn unstored_streams(&self) -> usize {
        self.running.iter().filter(|r| !r.is_written).count()
    }

    /// Records that a stream begins. Returns whether other entries need the record at once;
    /// otherwise it is kept until they do.
    pub fn begin(&mut self, record: Record, service: Service, is_current: bool) -> bool {
        self.table.add(record);
        let is_sent = !self.needs_no_record(record.at, service, is_current);
        let is_written = is_sent && self.is_mixed(record.at, service);
        if is_written {
            self.unwritten.push(record);
        }
        if self.running.len() >= MAX_RUNNING {
            self.running.pop_front();
        }
        self.running.push_back(Running {
            record,
            service,
            is_sent,
            is_written,
        });
        is_sent
    }

    /// Forgets old records, and returns those that other entries have come to need: a second version
    /// was listed after the stream began, or the list is no longer current. To be called
    /// periodically.
    pub fn take_due(&mut self, now: time::Duration, is_current: bool) -> Vec<Record> {
        self.table.sweep(now);
        self.running
            .retain(|running| now < running.record.at + running.service.lifetime);
        let mut running = std::mem::take(&mut self.running);
        let (mut due, mut known) = (Vec::new(), collections::HashMap::new());
        // The newest streams are the most likely to break while they run.
        for running in running.iter_mut().rev().filter(|r| !r.is_sent) {
            let service = running.service;
            let (needs_none, is_mixed) = *known.entry(service).or_insert_with(|| {
                let needs_none = self.needs_no_record(now, service, is_current);
                (needs_none, self.is_mixed(now, service))
            });
            if needs_none || due.len() >= MAX_DUE {
                continue;
            }
            running.is_sent = true;
            running.is_written = is_mixed;
            due.push(running.record);
            if is_mixed {
                self.unwritten.push(running.record);
            }
        }
        self.running = running;
        due
    }
}
