//! Changes to a sidecar's view of the members.

use std::{sync, time};

use super::{
    History, KnownMember, Listed, Table,
    member::{self, State},
};

impl Table {
    pub(super) fn confirm(&mut self, asked_at: time::Duration, now: time::Duration) {
        if self.may_be_forgotten(now) {
            self.rejoin(now);
        }
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.first_confirmed_at = self.first_confirmed_at.or(Some(now));
    }

    pub(super) fn rejoin(&mut self, now: time::Duration) {
        self.round += 1;
        self.joined_at = now;
        self.first_confirmed_at = None;
        self.history = History::Unknown;
        self.is_history_known = false;
        for m in &mut self.members {
            m.clear_handover();
            if m.state == State::Joining {
                m.state = State::Live;
            }
        }
    }

    pub(super) fn observe_listed(&mut self, l: &Listed, now: time::Duration, settled: bool) {
        if let Some(incarnation) = l.incarnation {
            self.retire_older(now, &l.id, incarnation);
        }
        let at = match l.incarnation {
            Some(incarnation) => self.find(&l.id, incarnation),
            None => self.find_newest_incarnation(&l.id),
        };
        let retention = self.timing.retention;
        match at.map(|at| &mut self.members[at]) {
            Some(m) if !m.complete => {
                if let State::Gone { seen, .. } = m.state {
                    m.state = State::Live;
                    // Others may have forgotten it, so its attestations are no longer valid.
                    if seen + retention <= now {
                        m.clear_handover();
                    }
                }
            }
            Some(_) => {}
            None => {
                let state = if settled { State::Joining } else { State::Live };
                let incarnation = l.incarnation.unwrap_or(0);
                self.members.push(member::new(&l.id, incarnation, state));
            }
        }
    }

    /// Adds a member that a reply names. What the reply states about that member's keys is only
    /// valid together with the replier's own, so it is stored with the replier.
    pub(super) fn merge_member(&mut self, now: time::Duration, known: &KnownMember) {
        let same = *known.id == *self.id;
        if same && known.incarnation == self.incarnation {
            return;
        }
        // A member reported without incarnation is the same as the one known here with one.
        if known.incarnation == 0 && self.newest_incarnation(&known.id) > 0 {
            return;
        }
        if !same {
            self.retire_older(now, &known.id, known.incarnation);
        }
        let since = now.saturating_sub(known.gone_age.unwrap_or_default());
        let gone = State::Gone { since, seen: since };
        if let Some(at) = self.find(&known.id, known.incarnation) {
            let m = &mut self.members[at];
            if known.complete && !matches!(m.state, State::Gone { .. }) {
                m.state = gone;
            }
            return;
        }
        let newer = self.newest_incarnation(&known.id) > known.incarnation;
        let live = known.gone_age.is_none() && !same && !newer;
        let state = if live { State::Live } else { gone };
        self.members
            .push(member::new(&known.id, known.incarnation, state));
    }

    pub(super) fn admit_member(
        &mut self,
        now: time::Duration,
        id: &str,
        incarnation: u64,
        settled: bool,
    ) {
        self.retire_older(now, id, incarnation);
        if let Some(at) = self.find(id, incarnation) {
            let m = &mut self.members[at];
            m.has_handed_over |= settled && m.state == State::Joining;
            m.state = State::Live;
            return;
        }
        let mut m = member::new(id, incarnation, State::Live);
        m.has_handed_over = settled;
        self.members.push(m);
    }

    /// Marks older incarnations of a member as gone once a newer one is known.
    pub(super) fn retire_older(&mut self, now: time::Duration, id: &str, incarnation: u64) {
        for m in self.members.iter_mut().filter(|m| *m.id == *id) {
            if m.incarnation == 0 {
                m.incarnation = incarnation;
            } else if m.incarnation < incarnation && !matches!(m.state, State::Gone { .. }) {
                m.state = State::Gone {
                    since: now,
                    seen: now,
                };
            }
        }
    }

    /// Sets `is_history_known` once the history is known.
    pub(super) fn update_history(&mut self, asked_at: time::Duration) {
        let all_handed_over = self
            .members
            .iter()
            .filter(|m| m.is_live())
            .all(|m| m.has_handed_over);
        let received = all_handed_over && self.members.iter().any(|m| m.is_live() && m.was_settled);
        let wait = match self.history {
            History::Unknown => Some(self.joined_at + self.timing.hold_period()),
            History::Fresh => self.first_confirmed_at.map(|at| at + self.timing.list_lag),
        };
        self.is_history_known |= received || wait.is_some_and(|at| at <= asked_at);
    }

    /// Returns whether every sidecar that could decide about a key knows this one as a member, and
    /// this one knows the history, so that it decides about its keys.
    pub fn is_settled(&self, now: time::Duration) -> bool {
        let all_handed_over = self
            .members
            .iter()
            .filter(|m| m.is_live())
            .all(|m| m.has_handed_over);
        self.is_history_known && all_handed_over && !self.may_be_forgotten(now)
    }

    /// Returns whether other sidecars may have forgotten this one. They may have recorded it before
    /// it was first listed; so until it is listed, the time counts from the join.
    fn may_be_forgotten(&self, now: time::Duration) -> bool {
        self.confirmed_at.unwrap_or(self.joined_at) + self.timing.retention <= now
    }

    pub(super) fn describe_members(
        &self,
        now: time::Duration,
        id: &str,
        incarnation: u64,
    ) -> Vec<KnownMember> {
        let others = self
            .members
            .iter()
            .filter(|m| *m.id != *id || m.incarnation != incarnation);
        others
            .map(|m| KnownMember {
                id: sync::Arc::clone(&m.id),
                incarnation: m.incarnation,
                gone_age: match m.state {
                    State::Gone { since, .. } => Some(now.saturating_sub(since)),
                    State::Joining | State::Live => None,
                },
                complete: m.complete,
                handed: m.has_handed_over,
            })
            .collect()
    }

    pub(super) fn find(&self, id: &str, incarnation: u64) -> Option<usize> {
        let same = |m: &member::Member| *m.id == *id && m.incarnation == incarnation;
        self.members.iter().position(same)
    }

    pub(super) fn find_newest_incarnation(&self, id: &str) -> Option<usize> {
        let newest = self.newest_incarnation(id);
        self.find(id, newest)
    }

    pub(super) fn newest_incarnation(&self, id: &str) -> u64 {
        let same = self.members.iter().filter(|m| *m.id == *id);
        same.map(|m| m.incarnation).max().unwrap_or(0)
    }
}
