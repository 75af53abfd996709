//! Evacuation of availability zones.
//!
//! Load pattern: an operator evacuates a zone before its power or network is worked on. All entries
//! stop sending there within seconds, whichever source they learn of it from: the store, an entry
//! that has read the store, or one that has not yet heard that the zone is back in use. The newest
//! record of a zone applies, in the order of the operator's log. Without that order, two entries
//! would keep a zone evacuated on each other's outdated record.
//!
//! A store that is restored from an older copy may have lost an evacuation that was confirmed to
//! the operator as in force. A zone that is missing from such a copy therefore stays evacuated
//! until the operator returns it.

use std::collections;

use xxhash_rust::xxh3;

/// Maximum number of zones remembered, evacuated or returned: several times those of the largest
/// fleet.
pub const MAX_ZONES: usize = 64;

/// Position of a record in the operator's log. Later records override earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
#[display("{era}/{offset}")]
pub struct Position {
    /// Number of times that the log was restored from an older copy.
    pub era: u64,
    /// Offset within this era.
    pub offset: u64,
}

impl Position {
    /// Returns the position that replaces this one if the log's era is `limit`: one of a later era is
    /// false, and precedes all records of the true one.
    #[must_use]
    pub fn limited(self, limit: u64) -> Self {
        if self.era <= limit {
            return self;
        }
        Self {
            era: limit,
            offset: 0,
        }
    }
}

/// Record of the evacuation or return of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the zone.
    pub zone: String,
    /// Position of the record.
    pub position: Position,
    /// True if the zone is evacuated, false if it was returned.
    pub is_evacuated: bool,
}

/// Change of a zone's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the zone.
    pub zone: String,
    /// True if the zone is now evacuated.
    pub is_evacuated: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Position,
    is_evacuated: bool,
    // True if the position was false, so that any other record overrides it.
    is_void: bool,
}

/// The newest record of each zone.
#[derive(Debug, Default)]
pub struct Table {
    zones: collections::BTreeMap<String, Entry>,
    digest: u64,
}

impl Table {
    /// Returns whether a zone is evacuated, so that nothing is to be sent there.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|e| e.is_evacuated)
    }

    /// Returns a digest of all records. It is equal for tables with the same records, and 0 without
    /// any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the records, sorted by zone.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.zones.iter().map(|(zone, entry)| Record {
            zone: zone.clone(),
            position: entry.position,
            is_evacuated: entry.is_evacuated,
        })
    }

    /// Applies a record unless a later one of its zone is known. Returns the change of the zone's
    /// state, if any.
    pub fn apply(&mut self, record: Record) -> Option<Change> {
        let known = self.zones.get(&record.zone);
        if known.is_some_and(|known| !known.is_void && known.position >= record.position) {
            return None;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        if known.is_none() && !self.make_room(record.is_evacuated) {
            return None;
        }
        let entry = Entry {
            position: record.position,
            is_evacuated: record.is_evacuated,
            is_void: false,
        };
        self.zones.insert(record.zone.clone(), entry);
        self.update_digest();
        (was_evacuated != record.is_evacuated).then_some(Change {
            zone: record.zone,
            is_evacuated: record.is_evacuated,
        })
    }

    /// Applies all records that the log holds up to `end`, a position of its current era. A zone
    /// without a record was returned if its evacuation is of this era. Returns the changes.
    pub fn apply_snapshot(&mut self, end: Position, records: Vec<Record>) -> Vec<Change> {
        let is_listed = |zone: &str| records.iter().any(|r| r.zone == zone);
        let is_returned = |(zone, entry): &(&String, &Entry)| {
            entry.is_evacuated && entry.position.era == end.era && !is_listed(zone)
        };
        let returned: Vec<String> = self
            .zones
            .iter()
            .filter(is_returned)
            .map(|(zone, _)| zone.clone())
            .collect();
        let returns = returned.into_iter().map(|zone| Record {
            zone,
            // The record of the return precedes `end`.
            position: Position {
                offset: end.offset.saturating_sub(1),
                ..end
            },
            is_evacuated: false,
        });
        let all: Vec<Record> = returns.chain(records).collect();
        all.into_iter().filter_map(|r| self.apply(r)).collect()
    }

    /// Lowers positions of eras after `limit`, the log's true one, so that any record overrides them.
    /// Returns whether there were any.
    pub fn limit(&mut self, limit: u64) -> bool {
        let zones = self.zones.values_mut();
        let mut later = zones.filter(|e| e.position.era > limit).peekable();
        if later.peek().is_none() {
            return false;
        }
        later.for_each(|e| {
            e.position = e.position.limited(limit);
            e.is_void = true;
        });
        self.update_digest();
        true
    }

    /// Returns the zones evacuated by a record of an earlier era that the log has lost since.
    pub fn unconfirmed(&self, era: u64) -> impl Iterator<Item = &str> {
        let is_lost = move |e: &Entry| e.is_evacuated && e.position.era < era;
        let lost = self.zones.iter().filter(move |(_, e)| is_lost(e));
        lost.map(|(zone, _)| zone.as_str())
    }

    // Drops the oldest returned zone if there are too many. Evacuated zones are kept.
    fn make_room(&mut self, is_evacuated: bool) -> bool {
        if self.zones.len() < MAX_ZONES {
            return true;
        }
        let returned = self.zones.iter().filter(|(_, e)| !e.is_evacuated);
        let oldest = returned.min_by_key(|(_, e)| e.position);
        let Some(oldest) = oldest.map(|(zone, _)| zone.clone()) else {
            return false;
        };
        if is_evacuated {
            self.zones.remove(&oldest);
        }
        is_evacuated
    }

    fn update_digest(&mut self) {
        let hash = |(zone, entry): (&String, &Entry)| {
            let Entry {
                position,
                is_evacuated,
                ..
            } = entry;
            xxh3::xxh3_64(format!("{zone} {position} {is_evacuated}").as_bytes())
        };
        let sum = self.zones.iter().map(hash);
        self.digest = sum.fold(0, u64::wrapping_add);
    }
}
