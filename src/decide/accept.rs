//! The accept rule: which changes of the catalogue are in force, decided from the log alone.
//!
//! Load pattern: operators publish at the same time, an append is repeated because its answer was
//! lost, the log drops old records, and processes start anywhere in between. Without one rule that
//! all apply in log order, two processes can accept different changes and neither can tell.
//!
//! A change is accepted if the revision it was made on is the one in force when the rule comes to
//! it; the log offset of the accepted change is the new revision. Of changes made on one revision
//! the first on the log wins, everywhere. [`State`] at a position is a function of the records
//! before it, so of two states the one with the greater position is the newer one, wherever it
//! came from: the log, a [`Record::Snapshot`] on it, or another process.
//!
//! A reader that finds records missing does not guess. It keeps its catalogue in force and waits
//! for a state that covers the gap; only a change without a base ([`Change::base`]) ends a gap that
//! no process covers, in the same way for everybody.

use std::{collections, mem, sync};

use serde::{Deserialize, Serialize};

use crate::catalogue;

/// Change ids that a state remembers. At 1,500 changes a day they cover the last four hours, far
/// longer than a publisher keeps asking what became of its change.
const RECENT: usize = 256;

/// Accepted changes that a reader keeps for others that are a few behind. At 1,500 a day they
/// cover an hour; whoever is further behind gets a whole state.
const STEPS: usize = 64;

/// A text as a replacement of the middle of another, so that a change of one customer costs bytes
/// for that customer and not for thousands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Bytes kept from the start of the base text.
    pub head: usize,
    /// Bytes kept from its end.
    pub tail: usize,
    /// What stands between them.
    pub text: String,
}

impl Patch {
    /// The patch that makes `to` of `from`.
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

    /// The patch that makes `to` of anything.
    pub fn whole(to: &str) -> Self {
        Self {
            head: 0,
            tail: 0,
            text: to.to_owned(),
        }
    }

    /// The new text, if the patch fits the base text.
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
    /// Unique name that the publisher gave it.
    pub change_id: String,
    /// Revision it was made on, 0 for none. A change without is accepted on any: it replaces the
    /// whole catalogue and is for operators alone, after a gap that no process covers.
    pub base: Option<u64>,
    /// Who published it.
    pub author: String,
    /// What becomes of the catalogue's text.
    pub patch: Patch,
}

/// A change id and the revision that it became.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// Name of the change.
    pub change_id: String,
    /// Revision that it became.
    pub revision: u64,
}

/// What is accepted at a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The position: first offset that has not been looked at.
    pub next: u64,
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Who published it.
    pub author: String,
    /// The catalogue's text.
    pub toml: String,
    /// The changes accepted last, oldest first.
    pub recent: Vec<Decided>,
}

/// A record of the catalogue stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A change to decide about.
    Change(Change),
    /// What was accepted before a position, for readers that no longer find the records.
    Snapshot(State),
}

impl Record {
    /// The record as it stands on the log.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What the rule says of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change is in force; its offset is the revision.
    Accepted,
    /// A change with this id was accepted before, as this revision.
    Repeated(u64),
    /// The change was made on another revision than the one in force.
    LostRace(u64),
    /// The change does not give a valid catalogue.
    Invalid(String),
    /// The reader misses records before this one and can't judge it.
    Unjudged,
    /// The record is a snapshot and changes nothing.
    Snapshot,
    /// The record is none of ours and changes nothing.
    Foreign,
}

/// A judged record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judged {
    /// Its offset.
    pub offset: u64,
    /// Name of the change, empty for other records.
    pub change_id: String,
    /// The verdict.
    pub verdict: Verdict,
}

/// What one read of the log gave.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// Offset that was asked for.
    pub from: u64,
    /// Oldest offset that the log still held.
    pub first: u64,
    /// The records, in order.
    pub entries: &'a [Entry<'a>],
}

/// A record as it was read.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Its offset.
    pub offset: u64,
    /// Its text.
    pub body: &'a str,
}

/// An accepted change at its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its offset, which is its revision.
    pub offset: u64,
    /// The change.
    pub change: Change,
}

/// What a process sends to another that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Update {
    /// The accepted changes after the other's revision, and the sender's position.
    Steps {
        /// The position.
        next: u64,
        /// The changes, in order.
        steps: Vec<Step>,
    },
    /// All of it.
    Whole(State),
}

/// Applies the rule to records and keeps what is accepted.
#[derive(Clone, Debug)]
pub struct Reader {
    state: State,
    current: Option<sync::Arc<catalogue::Accepted>>,
    steps: collections::VecDeque<Step>,
    // Position of the search for a snapshot, while records are missing before it.
    scan: Option<u64>,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            state: State {
                next: 1,
                ..State::default()
            },
            current: None,
            steps: collections::VecDeque::new(),
            scan: None,
        }
    }
}

impl Reader {
    /// The catalogue in force.
    pub fn current(&self) -> Option<sync::Arc<catalogue::Accepted>> {
        self.current.clone()
    }

    /// What is accepted, and at which position.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Offset to read from next.
    pub fn from(&self) -> u64 {
        self.scan.unwrap_or(self.state.next)
    }

    /// Whether records are missing that could have changed what is accepted.
    pub fn gap(&self) -> bool {
        self.scan.is_some()
    }

    /// Judges records that were read from [`Reader::from`] on.
    pub fn apply(&mut self, batch: Batch<'_>) -> Vec<Judged> {
        let mut judged = Vec::new();
        // Records before the oldest one are gone; without them, search for a snapshot.
        let gap = batch.first > self.state.next;
        self.scan = gap.then(|| self.from().max(batch.first));
        if !gap && batch.from > self.state.next {
            // Another process filled the gap meanwhile: read again from where it ends.
            return judged;
        }
        for entry in batch.entries {
            if entry.offset < self.from() {
                continue;
            }
            let record = serde_json::from_str::<Record>(entry.body).ok();
            let change_id = match &record {
                Some(Record::Change(change)) => change.change_id.clone(),
                _ => String::new(),
            };
            let rewound = self.scan.is_some();
            let verdict = match (record, self.scan) {
                (None, _) => Verdict::Foreign,
                (Some(Record::Snapshot(state)), Some(_)) => {
                    self.adopt_snapshot(batch.first, entry.offset, state);
                    Verdict::Snapshot
                }
                (Some(Record::Snapshot(_)), None) => Verdict::Snapshot,
                (Some(Record::Change(change)), None) => self.decide(entry.offset, change),
                (Some(Record::Change(change)), Some(_)) if change.base.is_none() => {
                    self.decide(entry.offset, change)
                }
                (Some(Record::Change(_)), Some(_)) => Verdict::Unjudged,
            };
            judged.push(Judged {
                offset: entry.offset,
                change_id,
                verdict,
            });
            if rewound && self.scan.is_none() {
                // What follows is read again from the position that was found.
                break;
            }
            self.pass(entry.offset);
        }
        judged
    }

    /// Takes over a state from a snapshot or another process, if it is newer.
    pub fn offer(&mut self, state: State) -> bool {
        let newer = state.next > self.state.next && state.revision >= self.state.revision;
        if !newer {
            return false;
        }
        if state.revision != self.state.revision {
            let Ok(parsed) = catalogue::parse(&state.toml) else {
                return false;
            };
            self.current = Some(accepted(&state, parsed));
            self.steps.clear();
        }
        self.state = state;
        true
    }

    /// What to send to a process at this revision, if it is behind. A process with a gap asks for
    /// the whole, since only that carries the position.
    pub fn update(&self, revision: u64, whole: bool) -> Option<Update> {
        if self.state.revision == 0 || (revision >= self.state.revision && !whole) {
            return None;
        }
        let at = self
            .steps
            .iter()
            .position(|step| step.change.base == Some(revision));
        match at {
            Some(at) if !whole => Some(Update::Steps {
                next: self.state.next,
                steps: self.steps.iter().skip(at).cloned().collect(),
            }),
            _ => Some(Update::Whole(self.state.clone())),
        }
    }

    /// Takes over what another process sent. False if it does not fit or is not newer.
    pub fn take(&mut self, update: Update) -> bool {
        match update {
            Update::Whole(state) => self.offer(state),
            Update::Steps { next, steps } => self.take_steps(next, steps),
        }
    }

    fn take_steps(&mut self, next: u64, steps: Vec<Step>) -> bool {
        if next <= self.state.next {
            return false;
        }
        // On a copy, so that steps that do not fit leave nothing behind.
        let mut copy = self.clone();
        for step in steps {
            if copy.decide(step.offset, step.change) != Verdict::Accepted {
                return false;
            }
        }
        if copy.state.next > next {
            return false;
        }
        copy.state.next = next;
        *self = copy;
        true
    }

    /// A snapshot helps if nothing between its position and the oldest record is missing.
    fn adopt_snapshot(&mut self, first: u64, offset: u64, state: State) {
        let covers = state.next >= first && state.next <= offset;
        if covers && self.offer(state) {
            self.scan = None;
        }
    }

    fn pass(&mut self, offset: u64) {
        match &mut self.scan {
            Some(scan) => *scan = offset + 1,
            None => self.state.next = offset + 1,
        }
    }

    fn decide(&mut self, offset: u64, change: Change) -> Verdict {
        let Some(base) = change.base else {
            return self.replace(offset, &change);
        };
        let known = self
            .state
            .recent
            .iter()
            .find(|d| d.change_id == change.change_id);
        if let Some(known) = known {
            return Verdict::Repeated(known.revision);
        }
        if base != self.state.revision {
            return Verdict::LostRace(self.state.revision);
        }
        let Some(toml) = change.patch.apply(&self.state.toml) else {
            return Verdict::Invalid("the patch does not fit its base revision".into());
        };
        let verdict = self.accept(offset, &change, toml);
        if verdict == Verdict::Accepted {
            self.steps.push_back(Step { offset, change });
            if self.steps.len() > STEPS {
                self.steps.pop_front();
            }
        }
        verdict
    }

    /// A change without a base is judged by itself alone, as readers with a gap know nothing else;
    /// what was remembered before it is forgotten by all.
    fn replace(&mut self, offset: u64, change: &Change) -> Verdict {
        let Some(toml) = change.patch.apply("") else {
            return Verdict::Invalid("a change without a base holds the whole text".into());
        };
        let before = mem::take(&mut self.state.recent);
        let verdict = self.accept(offset, change, toml);
        if verdict == Verdict::Accepted {
            self.steps.clear();
            self.scan = None;
        } else {
            self.state.recent = before;
        }
        verdict
    }

    fn accept(&mut self, offset: u64, change: &Change, toml: String) -> Verdict {
        let parsed = match catalogue::parse(&toml) {
            Ok(parsed) => parsed,
            Err(faults) => return invalid(&faults),
        };
        self.state.next = offset + 1;
        self.state.revision = offset;
        self.state.author.clone_from(&change.author);
        self.state.toml = toml;
        let change_id = change.change_id.clone();
        self.state.recent.push(Decided {
            change_id,
            revision: offset,
        });
        if self.state.recent.len() > RECENT {
            self.state.recent.remove(0);
        }
        self.current = Some(accepted(&self.state, parsed));
        Verdict::Accepted
    }
}

fn accepted(state: &State, parsed: catalogue::Catalogue) -> sync::Arc<catalogue::Accepted> {
    sync::Arc::new(catalogue::Accepted {
        revision: state.revision,
        catalogue: parsed,
        toml: state.toml.as_str().into(),
    })
}

fn invalid(faults: &[catalogue::Fault]) -> Verdict {
    let shown = faults.first().map(ToString::to_string).unwrap_or_default();
    Verdict::Invalid(shown)
}
