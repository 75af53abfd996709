//! Decides which changes of the catalogue are in force, from the log alone.
//!
//! Load pattern: operators publish concurrently, an append is repeated because its answer was
//! lost, the log drops old records, and processes start at any time in between. Unless all
//! processes apply the same rule in log order, two of them can accept different changes without
//! either noticing.
//!
//! A change is accepted if its base revision is in force when its record is applied; the log offset
//! of the accepted change becomes the new revision. Of several changes to one revision, every
//! process therefore accepts the first one on the log. [`State`] at a position is a function of the
//! records before it. Of two states, the one with the greater position is therefore the newer,
//! whether it comes from the log, from a [`Record::Snapshot`] on it or from another process.
//!
//! A reader that finds records missing does not guess the state. It keeps its catalogue in force
//! and waits for a state that covers the gap. A gap that the state of no process covers ends only
//! with a change without a base ([`Change::base`]), in the same way for all processes.

use std::{collections, mem, sync};

use crate::catalogue;

mod record;
mod snapshot;

pub use record::{
    AcceptedChange, Batch, Change, Decision, Patch, RawRecord, Record, State, Step, Update,
    Verdict, newest_snapshot,
};
pub use snapshot::{Planner, Schedule};

/// Maximum number of accepted change ids that a state remembers. At 1,500 changes a day they cover
/// the last four hours, far longer than a publisher keeps asking for the outcome of its change.
const MAX_RECENT_CHANGES: usize = 256;

/// Maximum number of accepted changes that a reader keeps for processes that are a few changes
/// behind. At 1,500 a day they cover an hour; a process further behind gets the complete state.
const MAX_STEPS: usize = 64;

/// Applies the records of the log and keeps the accepted state.
#[derive(Clone, Debug)]
pub struct Reader {
    state: State,
    current: Option<sync::Arc<catalogue::Accepted>>,
    steps: collections::VecDeque<Step>,
    // Offset at which the search for a snapshot continues while records before it are missing.
    scan_offset: Option<u64>,
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
            scan_offset: None,
        }
    }
}

impl Reader {
    /// Returns the catalogue in force.
    pub fn current(&self) -> Option<sync::Arc<catalogue::Accepted>> {
        self.current.clone()
    }

    /// Returns the accepted state and its position.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.scan_offset.unwrap_or(self.state.next)
    }

    /// Returns whether records are missing that could have changed the accepted state.
    pub fn has_gap(&self) -> bool {
        self.scan_offset.is_some()
    }

    /// Applies records that were read from [`Reader::next_offset`] on and returns the decisions.
    pub fn apply(&mut self, batch: Batch<'_>) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // The log has dropped records that were not read: search for a snapshot.
        let gap = batch.oldest_offset > self.state.next;
        self.scan_offset = gap.then(|| self.next_offset().max(batch.oldest_offset));
        if !gap && batch.from > self.state.next {
            // An update from another process filled the gap: read again from its end.
            return decisions;
        }
        for raw in batch.records {
            if raw.offset < self.next_offset() {
                continue;
            }
            let record = serde_json::from_str::<Record>(raw.body).ok();
            let change_id = match &record {
                Some(Record::Change(change)) => change.change_id.clone(),
                _ => String::new(),
            };
            let had_gap = self.scan_offset.is_some();
            let verdict = match (record, self.scan_offset) {
                (None, _) => Verdict::Unrecognised,
                (Some(Record::Snapshot(state)), Some(_)) => {
                    self.adopt_snapshot(batch.oldest_offset, raw.offset, state);
                    Verdict::Snapshot
                }
                (Some(Record::Snapshot(_)), None) => Verdict::Snapshot,
                (Some(Record::Change(change)), None) => self.decide(raw.offset, change),
                (Some(Record::Change(change)), Some(_)) if change.base.is_none() => {
                    self.decide(raw.offset, change)
                }
                (Some(Record::Change(_)), Some(_)) => Verdict::Undecided,
            };
            decisions.push(Decision {
                offset: raw.offset,
                change_id,
                verdict,
            });
            if had_gap && self.scan_offset.is_none() {
                // The records that follow are read again from the position of the snapshot.
                break;
            }
            self.advance(raw.offset);
        }
        decisions
    }

    /// Replaces the state by one from a snapshot or another process if that is newer. Returns
    /// whether it did.
    pub fn adopt(&mut self, state: State) -> bool {
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

    /// Returns the update for a process at this revision if it is behind. A process with a gap
    /// asks for the complete state, because only that carries the position.
    pub fn update_for(&self, revision: u64, complete: bool) -> Option<Update> {
        if self.state.revision == 0 || (revision >= self.state.revision && !complete) {
            return None;
        }
        let at = self
            .steps
            .iter()
            .position(|step| step.change.base == Some(revision));
        match at {
            Some(at) if !complete => Some(Update::Steps {
                next: self.state.next,
                steps: self.steps.iter().skip(at).cloned().collect(),
            }),
            _ => Some(Update::Whole(self.state.clone())),
        }
    }

    /// Applies an update from another process. Returns false if it does not fit or is not newer.
    pub fn apply_update(&mut self, update: Update) -> bool {
        match update {
            Update::Whole(state) => self.adopt(state),
            Update::Steps { next, steps } => self.apply_steps(next, steps),
        }
    }

    fn apply_steps(&mut self, next: u64, steps: Vec<Step>) -> bool {
        if next <= self.state.next {
            return false;
        }
        // Works on a copy, so that steps that do not fit leave no trace.
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

    fn adopt_snapshot(&mut self, oldest_offset: u64, offset: u64, state: State) {
        if state.covers(oldest_offset, offset) && self.adopt(state) {
            self.scan_offset = None;
        }
    }

    fn advance(&mut self, offset: u64) {
        match &mut self.scan_offset {
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
            return Verdict::Duplicate(known.revision);
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
            if self.steps.len() > MAX_STEPS {
                self.steps.pop_front();
            }
        }
        verdict
    }

    /// Applies a change without a base. It is decided without regard to earlier changes, because
    /// readers with a gap don't know them, and all readers forget the changes before it.
    fn replace(&mut self, offset: u64, change: &Change) -> Verdict {
        let Some(toml) = change.patch.apply("") else {
            return Verdict::Invalid(
                "a change without a base must replace the complete text".into(),
            );
        };
        let before = mem::take(&mut self.state.recent);
        let verdict = self.accept(offset, change, toml);
        if verdict == Verdict::Accepted {
            self.steps.clear();
            self.scan_offset = None;
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
        self.state.recent.push(AcceptedChange {
            change_id,
            revision: offset,
        });
        if self.state.recent.len() > MAX_RECENT_CHANGES {
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
