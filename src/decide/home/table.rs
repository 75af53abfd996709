//! Decisions of one sidecar about keys, and its exchange of handovers with other sidecars.

use std::{sync, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{
    HandoverReply, HandoverRequest, History, Listed, Timing, Verdict, key_hash,
    member::{self, Attestation, Member, State},
    rank_of,
};

/// One sidecar's view of which sidecar of its service decides about a key.
#[derive(Clone, Debug)]
pub struct Table {
    pub(super) timing: Timing,
    pub(super) id: sync::Arc<str>,
    pub(super) hash: u64,
    pub(super) incarnation: u64,
    pub(super) history: History,
    pub(super) members: Vec<Member>,
    /// Number of the current join.
    pub(super) round: u64,
    pub(super) joined_at: time::Duration,
    pub(super) first_confirmed_at: Option<time::Duration>,
    pub(super) confirmed_at: Option<time::Duration>,
    pub(super) list_read_at: Option<time::Duration>,
    /// True while the history is known, which it stays until the next join.
    pub(super) is_history_known: bool,
    pub(super) is_leaving: bool,
}

impl Table {
    /// Returns the table of a sidecar that has just started.
    pub fn open(
        now: time::Duration,
        id: &str,
        incarnation: u64,
        timing: Timing,
        history: History,
    ) -> Self {
        Self {
            timing,
            id: id.into(),
            hash: xxh3::xxh3_64(id.as_bytes()),
            incarnation,
            history,
            members: Vec::new(),
            round: 0,
            joined_at: now,
            first_confirmed_at: None,
            confirmed_at: None,
            list_read_at: None,
            is_history_known: false,
            is_leaving: false,
        }
    }

    /// Applies a list that was requested at `asked_at`. Failed reads are not reported.
    pub fn observe_list(&mut self, asked_at: time::Duration, now: time::Duration, list: &[Listed]) {
        let before = self.list_read_at.unwrap_or(self.joined_at);
        let has_read_gap = before + self.timing.lease < asked_at;
        self.list_read_at = Some(asked_at);
        if list
            .iter()
            .any(|l| l.id == self.id && l.incarnation.is_none_or(|i| i == self.incarnation))
        {
            self.confirm(asked_at, now);
        }
        let settled = self.is_settled(now);
        let own = sync::Arc::clone(&self.id);
        for l in list.iter().filter(|l| l.id != own) {
            self.observe_listed(l, now, settled);
        }
        for m in &mut self.members {
            let listed = list
                .iter()
                .any(|l| l.id == m.id && member::matches(l, m.incarnation));
            match m.state {
                State::Live if !listed => {
                    m.state = State::Gone {
                        since: now,
                        seen: before,
                    };
                }
                // The member may have returned and vanished again between two reads.
                State::Gone { seen, .. } if has_read_gap => {
                    m.state = State::Gone { since: now, seen }
                }
                _ => {}
            }
        }
        let hold = self.timing.hold_period();
        self.members.retain(|m| match m.state {
            State::Joining => list
                .iter()
                .any(|l| l.id == m.id && member::matches(l, m.incarnation)),
            State::Live => true,
            State::Gone { since, .. } => since + hold > asked_at,
        });
        self.update_history(asked_at);
    }

    /// Returns the handover requests to send. They are repeated until the member has replied. A
    /// member that was not settled when it replied is asked again while the history is unknown;
    /// otherwise this sidecar would never learn the history.
    pub fn pending_requests(&self) -> SmallVec<[HandoverRequest; 8]> {
        let has_not_replied =
            |m: &Member| !m.has_handed_over || !self.is_history_known && !m.was_settled;
        self.members
            .iter()
            .filter(|m| m.is_live() && has_not_replied(m))
            .map(|m| HandoverRequest {
                id: sync::Arc::clone(&m.id),
                round: self.round,
            })
            .collect()
    }

    /// Answers a handover request of a joining sidecar. From now on this sidecar refuses the keys
    /// for which [`Table::is_outranked_by`] is true, and the reply has to contain what it
    /// remembers of them.
    pub fn answer_request(
        &mut self,
        now: time::Duration,
        id: &str,
        incarnation: u64,
    ) -> HandoverReply {
        let known_incarnation = self.newest_incarnation(id);
        let accepted = !self.is_leaving && known_incarnation <= incarnation && *self.id != *id;
        let settled = self.is_settled(now);
        if accepted {
            self.admit_member(now, id, incarnation, settled);
        }
        HandoverReply {
            accepted,
            incarnation: self.incarnation,
            settled,
            members: self.describe_members(now, id, incarnation),
            known_incarnation,
        }
    }

    /// Applies a reply after all its keys have been stored. It must not be called for a reply whose
    /// keys could not be stored.
    pub fn apply_reply(
        &mut self,
        now: time::Duration,
        request: &HandoverRequest,
        reply: &HandoverReply,
    ) {
        if request.round != self.round || !reply.accepted {
            return;
        }
        for known in &reply.members {
            self.merge_member(now, known);
        }
        self.retire_older(now, &request.id, reply.incarnation);
        let Some(at) = self.find(&request.id, reply.incarnation) else {
            return;
        };
        let m = &mut self.members[at];
        m.has_handed_over = true;
        m.was_settled = reply.settled;
        m.attestations = reply
            .members
            .iter()
            .filter(|k| k.complete || k.handed)
            .map(|k| Attestation {
                hash: xxh3::xxh3_64(k.id.as_bytes()),
                incarnation: k.incarnation,
                complete: k.complete,
            })
            .collect();
        self.update_history(self.list_read_at.unwrap_or_default());
    }

    /// Records that a leaving member has handed over all its keys and that they have been stored.
    pub fn record_departure(&mut self, now: time::Duration, id: &str, incarnation: u64) {
        self.retire_older(now, id, incarnation);
        let at = self.find(id, incarnation).unwrap_or_else(|| {
            self.members.push(member::new(id, incarnation, State::Live));
            self.members.len() - 1
        });
        self.mark_complete(now, at);
        // Its keys include those that other leaving members had handed over to it.
        let attestations = std::mem::take(&mut self.members[at].attestations);
        for attestation in attestations.iter().filter(|v| v.complete) {
            let same =
                |m: &Member| m.hash == attestation.hash && m.incarnation == attestation.incarnation;
            if let Some(other) = self.members.iter().position(same) {
                self.mark_complete(now, other);
            }
        }
        self.members[at].attestations = attestations;
    }

    fn mark_complete(&mut self, now: time::Duration, at: usize) {
        let m = &mut self.members[at];
        m.complete = true;
        if !matches!(m.state, State::Gone { .. }) {
            m.state = State::Gone {
                since: now,
                seen: now,
            };
        }
    }

    /// Stops deciding. Returns the members to which every remembered key must be handed over.
    pub fn leave(&mut self) -> SmallVec<[sync::Arc<str>; 8]> {
        self.is_leaving = true;
        let live = self
            .members
            .iter()
            .filter(|m| !matches!(m.state, State::Gone { .. }));
        live.map(|m| sync::Arc::clone(&m.id)).collect()
    }

    /// Returns whether a member ranks above this sidecar for a key, so that the handover to it
    /// contains the key.
    pub fn is_outranked_by(&self, id: &str, customer: &str, key: &str) -> bool {
        let key = key_hash(customer, key);
        let other = xxh3::xxh3_64(id.as_bytes());
        rank_of(other, key) > rank_of(self.hash, key)
    }

    /// Decides whether this sidecar may start the call with this key now. Must be called right
    /// before the start.
    pub fn verdict(&self, now: time::Duration, customer: &str, key: &str) -> Verdict {
        if self.is_leaving {
            return Verdict::Leaving;
        }
        if self
            .confirmed_at
            .is_none_or(|at| at + self.timing.lease <= now)
        {
            return Verdict::LeaseExpired;
        }
        let key = key_hash(customer, key);
        let own = rank_of(self.hash, key);
        let above = self
            .members
            .iter()
            .filter(|m| m.is_live() && rank_of(m.hash, key) > own);
        if let Some(home) = above.max_by_key(|m| rank_of(m.hash, key)) {
            return Verdict::Remote(sync::Arc::clone(&home.id));
        }
        self.verdict_as_home(now, key)
    }

    /// Returns whether this sidecar has just joined and a live member may still send it the
    /// history. A key that looks lost may then be known to that member, so callers are asked to
    /// retry soon.
    fn awaits_reply(&self, now: time::Duration) -> bool {
        let has_not_replied = |m: &Member| m.is_live() && !(m.has_handed_over && m.was_settled);
        let has_just_joined = now < self.joined_at + self.timing.lease;
        !self.is_history_known && has_just_joined && self.members.iter().any(has_not_replied)
    }

    /// Returns the verdict for a key if no live member ranks above this sidecar.
    fn verdict_as_home(&self, now: time::Duration, key: u64) -> Verdict {
        let previous_home = self
            .members
            .iter()
            .filter(|m| m.is_live() && m.has_handed_over && m.was_settled)
            .max_by_key(|m| rank_of(m.hash, key));
        let mut is_waiting = false;
        let mut lost = None;
        if previous_home.is_none() && self.awaits_reply(now) {
            return Verdict::NotReady;
        }
        if !self.is_history_known && previous_home.is_none() {
            lost = Some(self.joined_at);
        }
        for m in self
            .members
            .iter()
            .filter(|m| self.may_have_run(m, previous_home, key))
        {
            match m.state {
                State::Joining => {}
                State::Live => is_waiting = true,
                State::Gone { since, .. } => lost = lost.max(Some(since)),
            }
        }
        match lost {
            Some(since) => Verdict::Lost {
                until: since + self.timing.hold_period(),
            },
            None if is_waiting => Verdict::NotReady,
            None => Verdict::Local,
        }
    }

    /// Returns whether a member may have run the key, or may still run it, without this sidecar's
    /// knowledge. `previous_home` is the settled member that has handed over and ranks highest.
    fn may_have_run(&self, m: &Member, previous_home: Option<&Member>, key: u64) -> bool {
        let attestation = previous_home.and_then(|c| c.attestation_of(m));
        if m.complete || attestation.is_some_and(|v| v.complete) {
            return false;
        }
        // An earlier incarnation of this sidecar has the same rank and counts as ranked above it.
        if rank_of(m.hash, key) >= rank_of(self.hash, key) {
            return true;
        }
        let was_covered =
            previous_home.is_some_and(|c| rank_of(c.hash, key) > rank_of(m.hash, key));
        !(m.has_handed_over || was_covered && attestation.is_some())
    }
}
