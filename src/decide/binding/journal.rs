//! Records on their way to the platform's store, where they outlive all entries.
//!
//! A write for each stream would exceed the store's writes a second. A few entries, the writers, put
//! the records of all others into batches, so that the calls don't grow with the number of streams.
//! The batches of a writer take turns in a fixed number of places, which bounds what the store holds
//! and what an entry reads at its start.

use std::{collections, net, time};

use super::{Record, Stream, rendezvous};

/// Number of writers in a small fleet: with two, one may have ended.
const MIN_WRITERS: usize = 2;

/// Number of entries for one writer. With four streams a second at each entry, a writer receives some
/// 180 records a second.
const ENTRIES_PER_WRITER: usize = 45;

/// Number that selects the writers by rendezvous hashing.
const WRITERS_TARGET: u64 = 0x7772_6974_6572;

/// Number of places of a writer's batches. With five batches a second they hold 13 s, about as long as
/// callers wait for a stream.
const PLACES: u32 = 64;

/// Time after the start of a process in which its batches take places of their own, as many again: those
/// of the processes before it are still being restored. The batches of eight such starts fit there.
const START_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Character between the number of a writer and the place in the key of a batch.
const KEY_SEPARATOR: char = '-';

/// Maximum number of records in a batch, about 35 bytes each.
const MAX_BATCH: usize = 4_000;

/// Maximum number of records that wait for a write.
const MAX_UNWRITTEN: usize = 4 * MAX_BATCH;

/// Returns the entries, of all that run, that write records to the store.
pub fn writers(entries: &[net::Ipv4Addr]) -> rendezvous::Addresses {
    let count = MIN_WRITERS.max(entries.len().div_ceil(ENTRIES_PER_WRITER));
    rendezvous::first(WRITERS_TARGET, entries.iter().copied(), count)
}

impl Stream {
    /// Returns the writer of this stream's record.
    pub fn writer(self, writers: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
        let at = self.id as usize % writers.len().max(1);
        writers.get(at).copied()
    }
}

/// A batch of records, and its place among those of its writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the place, which an earlier batch may have had.
    pub place: u32,
    /// Records, oldest first.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the key of this batch in the store. The entry that takes a writer's place uses the same keys.
    pub fn key(&self, writer: usize) -> String {
        format!("{}{}", key_prefix(writer), self.place)
    }
}

/// Returns what the keys of a writer's batches begin with.
pub fn key_prefix(writer: usize) -> String {
    format!("{writer}{KEY_SEPARATOR}")
}

/// Records that this entry has to write.
#[derive(Debug, Default)]
pub struct Journal {
    unwritten: collections::VecDeque<Record>,
    // Newest places of the first batches of processes, and of their later ones.
    start_place: u32,
    place: u32,
    is_starting: bool,
    // Writer whose places are known.
    writer: Option<usize>,
}

impl Journal {
    /// Returns the journal of a process that starts. Until it is known which places are in use, its batches
    /// take those after this one, which should differ from one start to the next.
    pub fn new(place: u32) -> Self {
        Self {
            start_place: place,
            place,
            is_starting: true,
            ..Self::default()
        }
    }

    /// Returns whether it is unknown which places are in use by the batches of this writer.
    pub fn lacks_places(&self, writer: usize) -> bool {
        self.writer != Some(writer)
    }

    /// Records the keys of this writer's batches in the store, in the order in which they were written:
    /// the next batch takes the place of the oldest.
    pub fn on_keys<'a>(&mut self, writer: usize, keys: impl IntoIterator<Item = &'a str>) {
        self.writer = Some(writer);
        let prefix = key_prefix(writer);
        for key in keys {
            let place = key.strip_prefix(&prefix).and_then(|p| p.parse().ok());
            match place {
                Some(place) if place < PLACES => self.place = place,
                Some(place) if place < 2 * PLACES => self.start_place = place,
                _ => {}
            }
        }
    }

    /// Updates which places are used, by the time since the start of the process.
    pub fn update(&mut self, now: time::Duration) {
        self.is_starting &= now < START_TIME;
    }

    /// Adds a record. If there are too many, the oldest is dropped.
    pub fn add(&mut self, record: Record) {
        if self.unwritten.len() >= MAX_UNWRITTEN {
            self.unwritten.pop_front();
        }
        self.unwritten.push_back(record);
    }

    /// Returns whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.unwritten.is_empty()
    }

    /// Returns the next batch, if there are records.
    pub fn take(&mut self) -> Option<Batch> {
        let count = self.unwritten.len().min(MAX_BATCH);
        if count == 0 {
            return None;
        }
        let (newest, first) = if self.is_starting {
            (&mut self.start_place, PLACES)
        } else {
            (&mut self.place, 0)
        };
        *newest = newest.wrapping_add(1);
        Some(Batch {
            place: first + *newest % PLACES,
            records: self.unwritten.drain(..count).collect(),
        })
    }

    /// Returns the records of a batch that couldn't be written, before all others.
    pub fn put_back(&mut self, batch: Batch) {
        for record in batch.records.into_iter().rev() {
            if self.unwritten.len() < MAX_UNWRITTEN {
                self.unwritten.push_front(record);
            }
        }
    }
}
