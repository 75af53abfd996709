//! Records of the catalogue stream and the decisions on them.

use serde::{Deserialize, Serialize};

/// Replacement of the middle of a text, so that the record of a change to one customer has the size
/// of that customer's text, not of the text of thousands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Number of bytes kept from the start of the base text.
    pub head: usize,
    /// Number of bytes kept from the end of the base text.
    pub tail: usize,
    /// Text between the kept parts.
    pub text: String,
}

impl Patch {
    /// Returns the patch that turns `from` into `to`.
    pub fn between(from: &str, to: &str) -> Self {
        let common = |a: &mut dyn Iterator<Item = (char, char)>| {
            a.take_while(|(x, y)| x == y)
                .map(|(x, _)| x.len_utf8())
                .sum()
        };
        let head: usize = common(&mut from.chars().zip(to.chars()));
        let (from, to) = (&from[head..], &to[head..]);
        let tail: usize = common(&mut from.chars().rev().zip(to.chars().rev()));
        Self {
            head,
            tail,
            text: to[..to.len() - tail].to_owned(),
        }
    }

    /// Returns the patch that turns any text into `to`.
    pub fn complete(to: &str) -> Self {
        Self {
            head: 0,
            tail: 0,
            text: to.to_owned(),
        }
    }

    /// Returns the new text, or `None` if the patch does not fit the base text.
    pub fn apply(&self, from: &str) -> Option<String> {
        let head = from.get(..self.head)?;
        let tail_at = from.len().checked_sub(self.tail)?;
        let tail = from.get(tail_at..)?;
        (self.head <= tail_at).then(|| [head, &self.text, tail].concat())
    }
}

/// A change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Unique id chosen by the publisher.
    pub change_id: String,
    /// Revision that the change is based on, 0 if there was no catalogue. A change without a base
    /// is accepted on any revision: it replaces the complete catalogue and is reserved for
    /// operators, to end a gap that the state of no process covers.
    pub base: Option<u64>,
    /// Name of the publisher.
    pub author: String,
    /// Patch of the catalogue's text.
    pub patch: Patch,
}

/// The id of an accepted change and its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Id of the change.
    pub change_id: String,
    /// Revision of the catalogue with the change.
    pub revision: u64,
}

/// Accepted state at a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Position: offset of the first record that has not been applied.
    pub next: u64,
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Publisher of the revision in force.
    pub author: String,
    /// Text of the catalogue.
    pub toml: String,
    /// The last accepted changes, oldest first.
    pub recent: Vec<AcceptedChange>,
}

/// A record of the catalogue stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A change to decide about.
    Change(Change),
    /// The accepted state at a position, for readers that no longer find the records before it.
    Snapshot(State),
}

impl Record {
    /// Returns the record as it is stored on the log.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Outcome of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change is in force; its offset is the revision.
    Accepted,
    /// A change with this id was accepted before, as this revision.
    Duplicate(u64),
    /// The base of the change is not the revision in force, which is this one.
    LostRace(u64),
    /// The change does not result in a valid catalogue.
    Invalid(String),
    /// The reader lacks records before this one and can't decide about it.
    Undecided,
    /// The record is a snapshot and changes nothing.
    Snapshot,
    /// The record has an unknown format and changes nothing.
    Unrecognised,
}

/// The decision on a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Offset of the record.
    pub offset: u64,
    /// Id of the change, empty for other records.
    pub change_id: String,
    /// Outcome.
    pub verdict: Verdict,
}

/// Result of one read of the log.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// Offset that was read from.
    pub from: u64,
    /// Oldest offset that the log still retains.
    pub oldest_offset: u64,
    /// Records in order of their offsets.
    pub records: &'a [RawRecord<'a>],
}

/// A record as read from the log.
#[derive(Clone, Copy, Debug)]
pub struct RawRecord<'a> {
    /// Offset of the record.
    pub offset: u64,
    /// Text of the record.
    pub body: &'a str,
}

/// An accepted change with its position on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Offset of the change, which is its revision.
    pub offset: u64,
    /// The change.
    pub change: Change,
}

/// An update that a process sends to another one that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Update {
    /// The accepted changes after the receiver's revision, and the sender's position.
    Steps {
        /// Position of the sender.
        next: u64,
        /// Changes in order of their offsets.
        steps: Vec<Step>,
    },
    /// The complete state.
    Whole(State),
}

/// Returns the newest snapshot among the records that covers the dropped part of the log.
pub fn newest_snapshot(oldest_offset: u64, records: &[RawRecord<'_>]) -> Option<State> {
    records
        .iter()
        .rev()
        .find_map(|raw| match serde_json::from_str(raw.body) {
            Ok(Record::Snapshot(state)) => state.covers(oldest_offset, raw.offset).then_some(state),
            _ => None,
        })
}

impl State {
    /// Returns whether a snapshot at this offset is usable by a reader: no record between its
    /// position and the oldest record on the log may be missing.
    pub fn covers(&self, oldest_offset: u64, offset: u64) -> bool {
        self.next >= oldest_offset && self.next <= offset
    }
}
