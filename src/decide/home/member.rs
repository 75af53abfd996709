//! A member of the service as one sidecar sees it.

use std::{sync, time};

use xxhash_rust::xxh3;

use super::Listed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The member was listed after this sidecar settled and has not asked for a handover, so it
    /// does not decide about any key of this sidecar yet.
    Joining,
    Live,
    Gone {
        /// Start of the hold period, during which no other sidecar takes over its keys.
        since: time::Duration,
        /// Time at which it was last seen live.
        seen: time::Duration,
    },
}

/// What a member stated about another one in its handover.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attestation {
    pub(super) hash: u64,
    pub(super) incarnation: u64,
    pub(super) complete: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) id: sync::Arc<str>,
    pub(super) hash: u64,
    pub(super) incarnation: u64,
    pub(super) state: State,
    /// True once the member has recorded this sidecar as a member and handed over the keys that it
    /// remembers.
    pub(super) has_handed_over: bool,
    /// True if the member left and handed over all its keys to this sidecar.
    pub(super) complete: bool,
    /// True if the member was settled when it handed over.
    pub(super) was_settled: bool,
    pub(super) attestations: Vec<Attestation>,
}

impl Member {
    pub(super) fn is_live(&self) -> bool {
        self.state == State::Live
    }

    /// Discards what it handed over, because that no longer holds.
    pub(super) fn clear_handover(&mut self) {
        self.has_handed_over = false;
        self.was_settled = false;
        self.attestations.clear();
    }

    pub(super) fn attestation_of(&self, other: &Self) -> Option<&Attestation> {
        self.attestations
            .iter()
            .find(|v| v.hash == other.hash && v.incarnation == other.incarnation)
    }
}

pub(super) fn new(id: &str, incarnation: u64, state: State) -> Member {
    Member {
        id: id.into(),
        hash: xxh3::xxh3_64(id.as_bytes()),
        incarnation,
        state,
        has_handed_over: false,
        complete: false,
        was_settled: false,
        attestations: Vec::new(),
    }
}

pub(super) fn matches(l: &Listed, incarnation: u64) -> bool {
    l.incarnation.is_none_or(|i| i == incarnation)
}
