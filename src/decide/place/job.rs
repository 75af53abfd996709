//! A request to be placed, and how long it may wait.

use std::time;

use smallvec::SmallVec;

use crate::decide::{binding, quarantine};
use crate::key;

/// Share of its objective that every request may wait, even one whose prompt would then be read too
/// late. A late answer still has some value; yet the more late requests an overloaded engine
/// reads, the fewer requests are in time.
const MIN_WAIT_SHARE: f64 = 0.25;

/// The same share for a request of a customer below its share ([`super::share::BELOW_SHARE`]). It
/// is served first, so it waits only for the prompts that were sent before it arrived.
const UNDERSERVED_WAIT_SHARE: f64 = 1.0;

/// Minimum factor by which the shortest objective of a service is scaled for its less urgent
/// requests.
const MIN_URGENCY: f64 = 0.5;

/// A part of a prompt, identified by a hash that covers all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of this part and those before it.
    pub chain: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of its service.
    pub service: u32,
    /// Customer that sent it.
    pub customer: key::Customer,
    /// Parts of its prompt; the last is not shared with other requests.
    pub parts: SmallVec<[Part; 4]>,
    /// Tokens that it is charged with.
    pub cost: u64,
    /// Time at which its answer, or first event, is due.
    pub due: time::Duration,
    /// Latency objective.
    pub objective: time::Duration,
    /// Backend servers that it must not be sent to again.
    pub excluded: SmallVec<[key::Sidecar; 2]>,
    /// Fingerprint of the request if it is a suspect, which may run beside no other suspect
    /// ([`quarantine::Standing::Suspect`]).
    pub suspect: Option<quarantine::Fingerprint>,
    /// Version of the backend servers that it may be sent to; `None` if it may be sent to all.
    pub version: Option<binding::Version>,
    /// True if it is a stream that its caller may take up. If others can be used, it doesn't begin at a
    /// backend server whose version will be known soon: it couldn't go on elsewhere before that.
    pub is_resumable: bool,
}

/// Returns the objective that a request is placed by, from its route's own objective and the
/// shortest one of its service.
///
/// Load pattern: a full service with urgent and less urgent requests. The longer a request may
/// wait, the longer the queue that it still joins, so the less urgent ones fill the queue and the
/// urgent ones are refused. Therefore every request waits only as long as the shortest objective
/// allows. Even then an engine admits the requests with the shorter prompts, which are seldom the
/// urgent ones, so at an engine a less urgent request waits for less than the shortest objective,
/// scaled by the square root of the ratio of the two. Requests to a plain service have no prompts,
/// and with this scaling a full one would refuse nearly all of the less urgent ones.
pub fn objective(
    own: time::Duration,
    shortest: Option<time::Duration>,
    is_engine: bool,
) -> time::Duration {
    match shortest {
        Some(shortest) if shortest < own && is_engine => {
            let urgency = shortest.as_secs_f64() / own.as_secs_f64();
            shortest.mul_f64(urgency.sqrt().max(MIN_URGENCY))
        }
        Some(shortest) => shortest.min(own),
        None => own,
    }
}

/// Returns when the answer to a request received at `received` is due. If the request has run
/// before and is placed again at `placed_again_at`, the due time counts from then: it is late
/// already, and its caller still waits, for instance for the next event of a broken stream.
pub fn due_time(
    received: time::Duration,
    placed_again_at: Option<time::Duration>,
    objective: time::Duration,
) -> time::Duration {
    placed_again_at.unwrap_or(received).max(received) + objective
}

impl Job {
    // Returns whether it may wait for longer than its objective, since its caller has a part of it.
    pub(super) fn outwaits_objective(&self, now: time::Duration) -> bool {
        self.due > now + self.objective
    }

    // Returns whether it may be sent to a backend server of this version.
    pub(super) fn accepts(&self, version: binding::Version) -> bool {
        self.version.is_none_or(|bound| bound == version)
    }

    // Returns the longest prefix shared with other requests: all parts but the last.
    pub(super) fn home_part(&self) -> Option<u64> {
        let at = self.parts.len().saturating_sub(2);
        self.parts.get(at).map(|part| part.chain)
    }

    // Returns what decides about the request's home: its content if it is a suspect, so that all
    // its tries meet, otherwise the shared prefix.
    pub(super) fn home_target(&self) -> Option<u64> {
        let content = self.suspect.map(|fingerprint| fingerprint.content);
        content.or(self.home_part())
    }

    // Returns the milliseconds until the answer is due; negative if it is late.
    pub(super) fn left_ms(&self, now: time::Duration) -> f64 {
        (self.due.as_secs_f64() - now.as_secs_f64()) * 1e3
    }

    // Returns the milliseconds that the request may wait before its prompt is read, which takes
    // `prefill_ms`. A request that would be late even if it started at once may wait as long as one
    // with a short prompt: a late answer still has some value, and otherwise the largest requests
    // would never be served.
    pub(super) fn max_wait_ms(
        &self,
        now: time::Duration,
        prefill_ms: f64,
        below_share: bool,
    ) -> f64 {
        let objective = self.objective.as_secs_f64() * 1e3;
        let left = self.left_ms(now);
        let min_share = if below_share {
            UNDERSERVED_WAIT_SHARE
        } else {
            MIN_WAIT_SHARE
        };
        (left - prefill_ms).max(left - objective * (1.0 - min_share))
    }
}
