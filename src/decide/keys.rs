//! Idempotency keys that their home remembers.
//!
//! Load pattern: callers repeat a keyed request because its answer was lost, or by mistake, at any
//! rate. Without a record of keys, each repetition would run. Without bounds, a customer that keeps
//! sending new keys would exhaust the process's memory. If a full table dropped its oldest key, a
//! flood could make that key run twice; a full table therefore refuses new keys and drops none
//! early.

use std::{collections, sync, time};

use crate::code;

/// Maximum number of keys remembered: 300 s at 300 keyed requests a second.
pub const MAX_KEYS: usize = 90_000;
/// Maximum size of the keys remembered, in bytes with overhead: a quarter of a process's 256 MB.
pub const MAX_BYTES: usize = 64 << 20;
/// Maximum share of the table that one customer may fill by its own requests, so that a flood of
/// new keys locks out only its sender.
pub const MAX_CUSTOMER_SHARE: f64 = 0.25;
/// Share of both bounds kept free for keys that other sidecars hand over, because a handover that
/// does not fit leaves its keys undecided.
pub const HANDOVER_RESERVE: f64 = 0.5;
/// Bytes that a key takes besides its text: two map entries, its state and its place in the order
/// of expiry.
const KEY_OVERHEAD_BYTES: usize = 160;

/// State of the call of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The call was started and has not ended.
    Started,
    /// The call has ended.
    Finished,
    /// The call was started, and its outcome is unknown.
    Unknown,
}

/// A key as it is sent between sidecars.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Customer that the key belongs to.
    pub customer: sync::Arc<str>,
    /// The idempotency key.
    pub key: sync::Arc<str>,
    /// State of its call.
    pub state: State,
    /// Digest of the request that used the key first.
    pub digest: u64,
    /// Time since the call ended, or since it started if it has not ended.
    pub age: time::Duration,
}

/// Decision about a request whose key is kept here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start the call; the key is now recorded as started.
    Start,
    /// The call ended before. Send the stored answer, or [`code::Code::AnswerNotKept`].
    Replay,
    /// Refuse the request.
    Refuse(code::Code),
}

#[derive(Clone, Debug)]
struct Entry {
    state: State,
    digest: u64,
    since: time::Duration,
    /// True if the call runs in this process, which will report its end.
    is_local: bool,
}

type Name = (sync::Arc<str>, sync::Arc<str>);

/// Bounds of a table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// See [`MAX_KEYS`].
    pub keys: usize,
    /// See [`MAX_BYTES`].
    pub bytes: usize,
    /// Time for which a key is remembered, see [`super::home::KEY_RETENTION`].
    pub retention: time::Duration,
}

/// The keys that one sidecar remembers.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    entries: collections::HashMap<Name, Entry>,
    /// In order of time. An item whose time differs from its entry's is outdated.
    expiry: collections::VecDeque<(time::Duration, Name)>,
    bytes: usize,
    counts: collections::HashMap<sync::Arc<str>, usize>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: collections::HashMap::new(),
            expiry: collections::VecDeque::new(),
            bytes: 0,
            counts: collections::HashMap::new(),
        }
    }

    /// Decides about a request and records its key if it may start.
    pub fn begin(
        &mut self,
        now: time::Duration,
        customer: &str,
        key: &str,
        digest: u64,
    ) -> Verdict {
        self.expire(now);
        let name = (customer.into(), key.into());
        if let Some(entry) = self.entries.get(&name) {
            return decide_repeat(entry, digest);
        }
        if let Some(code) = self.check_full(&name) {
            return Verdict::Refuse(code);
        }
        self.insert(name, entry(State::Started, digest, now, true));
        Verdict::Start
    }

    /// Frees a key whose call was begun here and then certainly not started.
    pub fn cancel(&mut self, customer: &str, key: &str) {
        let name = (customer.into(), key.into());
        if self
            .entries
            .get(&name)
            .is_some_and(|e| e.is_local && e.state == State::Started)
        {
            self.remove(&name);
        }
    }

    /// Records that a call begun here has ended, or, if not `known`, that its outcome will never be
    /// known.
    pub fn end(&mut self, now: time::Duration, customer: &str, key: &str, known: bool) {
        let name = (customer.into(), key.into());
        let Some(entry) = self.entries.get_mut(&name) else {
            return;
        };
        entry.state = if known {
            State::Finished
        } else {
            State::Unknown
        };
        entry.since = now;
        self.expiry.push_back((now, name));
    }

    /// Stores the records of another sidecar. Returns false if they do not fit; nothing is stored
    /// then.
    pub fn merge(&mut self, now: time::Duration, records: &[Record]) -> bool {
        self.expire(now);
        let fresh = records
            .iter()
            .map(|r| (sync::Arc::clone(&r.customer), sync::Arc::clone(&r.key)));
        let fresh: Vec<_> = fresh
            .filter(|name| !self.entries.contains_key(name))
            .collect();
        let bytes: usize = fresh.iter().map(size_bytes).sum();
        if self.entries.len() + fresh.len() > self.limits.keys
            || self.bytes + bytes > self.limits.bytes
        {
            return false;
        }
        for record in records {
            self.merge_record(now, record);
        }
        true
    }

    /// Returns the records of all keys for which `wanted` is true.
    pub fn records(
        &mut self,
        now: time::Duration,
        wanted: impl Fn(&str, &str) -> bool,
    ) -> Vec<Record> {
        self.expire(now);
        let chosen = self.entries.iter().filter(|((c, k), _)| wanted(c, k));
        chosen
            .map(|((customer, key), e)| Record {
                customer: sync::Arc::clone(customer),
                key: sync::Arc::clone(key),
                state: e.state,
                digest: e.digest,
                age: now.saturating_sub(e.since),
            })
            .collect()
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn check_full(&self, name: &Name) -> Option<code::Code> {
        let room = |bound: usize| (bound as f64 * (1.0 - HANDOVER_RESERVE)) as usize;
        let keys = room(self.limits.keys);
        if self.entries.len() >= keys || self.bytes + size_bytes(name) > room(self.limits.bytes) {
            return Some(code::Code::Shed);
        }
        let own = self.counts.get(&name.0).copied().unwrap_or(0);
        let share = (keys as f64 * MAX_CUSTOMER_SHARE).ceil() as usize;
        (own >= share).then_some(code::Code::QueueFull)
    }

    fn merge_record(&mut self, now: time::Duration, record: &Record) {
        let name = (
            sync::Arc::clone(&record.customer),
            sync::Arc::clone(&record.key),
        );
        let since = now.saturating_sub(record.age);
        match self.entries.get_mut(&name) {
            Some(old) if old.state == State::Started && !old.is_local => {
                old.state = record.state;
                old.since = old.since.max(since);
                let line = (old.since, name);
                self.insert_expiry(line);
            }
            Some(_) => {}
            None => self.insert(name, entry(record.state, record.digest, since, false)),
        }
    }

    fn insert(&mut self, name: Name, entry: Entry) {
        self.bytes += size_bytes(&name);
        *self.counts.entry(sync::Arc::clone(&name.0)).or_default() += 1;
        self.insert_expiry((entry.since, name.clone()));
        self.entries.insert(name, entry);
    }

    fn insert_expiry(&mut self, line: (time::Duration, Name)) {
        let at = self.expiry.partition_point(|(since, _)| *since <= line.0);
        self.expiry.insert(at, line);
    }

    fn remove(&mut self, name: &Name) {
        if self.entries.remove(name).is_none() {
            return;
        }
        self.bytes -= size_bytes(name);
        if let Some(count) = self.counts.get_mut(&name.0) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&name.0);
            }
        }
    }

    fn expire(&mut self, now: time::Duration) {
        let retention = self.limits.retention;
        while self
            .expiry
            .front()
            .is_some_and(|(since, _)| *since + retention <= now)
        {
            let Some((since, name)) = self.expiry.pop_front() else {
                return;
            };
            // A call that still runs here is kept until it has ended.
            let due = |e: &Entry| e.since == since && !(e.is_local && e.state == State::Started);
            if self.entries.get(&name).is_some_and(due) {
                self.remove(&name);
            }
        }
    }
}

fn decide_repeat(entry: &Entry, digest: u64) -> Verdict {
    if entry.digest != digest {
        return Verdict::Refuse(code::Code::KeyReused);
    }
    match entry.state {
        State::Started => Verdict::Refuse(code::Code::KeyInProgress),
        State::Finished => Verdict::Replay,
        State::Unknown => Verdict::Refuse(code::Code::OutcomeUnknown),
    }
}

fn entry(state: State, digest: u64, since: time::Duration, is_local: bool) -> Entry {
    Entry {
        state,
        digest,
        since,
        is_local,
    }
}

fn size_bytes(name: &Name) -> usize {
    // The text is stored once; the map and the order of expiry share it.
    name.0.len() + name.1.len() + KEY_OVERHEAD_BYTES
}
