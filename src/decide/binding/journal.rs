//! Records on their way to the platform's store, where they outlive all entries.
//!
//! A write for each stream would exceed the store's writes a second. A few entries, the writers, put
//! the records of all others into batches, so that the calls don't grow with the number of streams.
//! The batches of a writer take turns in a fixed number of places, which bounds what the store holds
//! and what an entry reads at its start.

use std::{collections, net, ops, time};

use super::{Record, Stream, rendezvous};
use crate::decide::random;

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

/// Number of places, those of the oldest batches, from which a batch takes one at random. Shortly after a
/// start two entries may take themselves for the same writer.
const FREE_PLACES: usize = 8;

/// Time without a batch after which other entries may have used the places.
const PLACES_LIFETIME: time::Duration = time::Duration::from_secs(5);

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

/// Returns whether this is the key of a batch.
pub fn is_key(key: &str) -> bool {
    let is_number = |text: &str| text.parse::<u32>().is_ok();
    let parts = key.split_once(KEY_SEPARATOR);
    parts.is_some_and(|(writer, place)| is_number(writer) && is_number(place))
}

/// Returns what the keys of a writer's batches begin with.
pub fn key_prefix(writer: usize) -> String {
    format!("{writer}{KEY_SEPARATOR}")
}

/// Places of a writer's batches, by the order in which they were written.
#[derive(Debug)]
struct Places {
    // Order of the batch in each place; 0 if it isn't known of any.
    written: [u32; 2 * PLACES as usize],
    newest: u32,
    rng: random::Random,
}

impl Places {
    fn new(seed: u64) -> Self {
        Self {
            written: [0; 2 * PLACES as usize],
            newest: 0,
            rng: random::Random::new(seed),
        }
    }

    fn use_place(&mut self, place: u32) {
        if let Some(written) = self.written.get_mut(place as usize) {
            self.newest += 1;
            *written = self.newest;
        }
    }

    // Returns one of the places of the oldest batches among these.
    fn take(&mut self, places: ops::Range<u32>) -> u32 {
        let rng = &mut self.rng;
        let mut oldest: Vec<_> = places
            .map(|place| (self.written[place as usize], rng.bits(), place))
            .collect();
        oldest.sort_unstable();
        let (_, _, place) = oldest[rng.below(FREE_PLACES)];
        self.use_place(place);
        place
    }
}

/// Records that this entry has to write.
#[derive(Debug)]
pub struct Journal {
    unwritten: collections::VecDeque<Record>,
    places: Places,
    // All writers when the places became known, and when that was, or a batch was taken since.
    known_for: Option<(rendezvous::Addresses, time::Duration)>,
    // Time since the start of the process.
    now: time::Duration,
}

impl Default for Journal {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Journal {
    /// Returns the journal of a process that starts. The seed should differ from one start to the next.
    pub fn new(seed: u64) -> Self {
        Self {
            unwritten: collections::VecDeque::new(),
            places: Places::new(seed),
            known_for: None,
            now: time::Duration::ZERO,
        }
    }

    /// Returns whether it is unknown which places are in use: they haven't been read, other entries have
    /// become writers, or may have written in this one's place while it didn't.
    pub fn lacks_places(&self, writers: &rendezvous::Addresses) -> bool {
        let is_known = |(known, at): &(rendezvous::Addresses, time::Duration)| {
            known == writers && self.now < *at + PLACES_LIFETIME
        };
        !self.known_for.as_ref().is_some_and(is_known)
    }

    /// Records the keys of batches in the store, in the order in which they were written, of the writer with
    /// this number.
    pub fn on_keys<'a>(
        &mut self,
        writers: rendezvous::Addresses,
        writer: usize,
        keys: impl IntoIterator<Item = &'a str>,
    ) {
        let prefix = key_prefix(writer);
        self.known_for = Some((writers, self.now));
        self.places = Places::new(self.places.rng.bits());
        let places = keys.into_iter().filter_map(|key| key.strip_prefix(&prefix));
        for place in places.filter_map(|place| place.parse().ok()) {
            self.places.use_place(place);
        }
    }

    /// Updates the time since the start of the process.
    pub fn update(&mut self, now: time::Duration) {
        self.now = now;
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
        let places = if self.now < START_TIME {
            PLACES..2 * PLACES
        } else {
            0..PLACES
        };
        if let Some((_, at)) = &mut self.known_for {
            *at = self.now;
        }
        Some(Batch {
            place: self.places.take(places),
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
