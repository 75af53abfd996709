//! Assigns each explicit idempotency key to the one sidecar of the service that decides about it.
//!
//! Fault: the same non-idempotent request arrives at two entries whose views of the fleet differ,
//! while sidecars crash, restart empty, pause or are cut off. Without a single place that decides,
//! the call runs twice. The home of a key is the first sidecar by rendezvous hash (Thaler &
//! Ravishankar, 1998). It runs the call itself, and refuses the call whenever another sidecar may
//! have run it or may still run it.
//!
//! Rules, each of which the interleaving test in `tests/home.rs` needs:
//! 1. A sidecar starts calls with a key only within [`Timing::lease`] of its last confirmation by
//!    the platform's list, counted from the time at which that read was sent.
//! 2. A member that leaves the list is remembered for [`Timing::hold_period`]. Meanwhile no other
//!    sidecar takes over the keys it decided about, unless it gave all of them away.
//! 3. A joining sidecar decides about a key only after the previous home of the key has recorded
//!    it as a member, refuses the key from then on and has handed over what it remembers.
//! 4. A handover reply names the members that the replier knows and those that have handed over to
//!    it, so that a joining sidecar learns of members that its own list does not show.
//! 5. Without a reply from a settled sidecar the history is unknown, and nothing is decided for a
//!    complete hold period.
//! 6. A sidecar that was not confirmed for the retention may have been forgotten by the others, so
//!    it joins again.
//!
//! The proof assumes that a read of the list shows all changes older than [`Timing::list_lag`],
//! that a relisted instance stays listed for longer than lease and lag, and that a monotonic clock
//! continues during a pause. See `docs/design/idempotency.md`.

mod member;
mod table;
mod view;

use std::{sync, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

pub use table::Table;

use crate::code;

/// Time for which a key is remembered from the start of its call. Callers repeat a request within
/// a few minutes, and the table of keys has to hold all keys of this time at the full rate.
pub const KEY_RETENTION: time::Duration = time::Duration::from_secs(300);
/// Time for which a confirmation by the list is valid. Several reads may fail before calls with a
/// key stop.
pub const KEY_LEASE: time::Duration = time::Duration::from_secs(10);
/// Assumed maximum lag of the platform's list. A platform that lags more needs a higher value.
pub const MAX_LIST_LAG: time::Duration = time::Duration::from_secs(5);
/// Allowance for clocks that run at different rates and for the time between check and start.
pub const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(3);

/// Durations that all sidecars of a service must agree on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// See [`KEY_RETENTION`].
    pub retention: time::Duration,
    /// See [`KEY_LEASE`].
    pub lease: time::Duration,
    /// See [`MAX_LIST_LAG`].
    pub list_lag: time::Duration,
    /// See [`CLOCK_MARGIN`].
    pub margin: time::Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            retention: KEY_RETENTION,
            lease: KEY_LEASE,
            list_lag: MAX_LIST_LAG,
            margin: CLOCK_MARGIN,
        }
    }
}

impl Timing {
    /// Time for which a vanished member is remembered. Its last call started at most a lag and a
    /// lease after it left the list, and its return takes one more lag to be seen everywhere.
    pub fn hold_period(&self) -> time::Duration {
        self.retention + self.lease + 2 * self.list_lag + self.margin
    }
}

/// What is known about the service's past when a sidecar starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// Other sidecars may have run calls with a key within the hold period.
    Unknown,
    /// The operator states that no sidecar of this service ran within the hold period.
    Fresh,
}

/// A sidecar on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Id of the sidecar.
    pub id: sync::Arc<str>,
    /// Incarnation, if the list contains it.
    pub incarnation: Option<u64>,
}

/// A member as one sidecar describes it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownMember {
    /// Id of the member.
    pub id: sync::Arc<str>,
    /// Its incarnation, 0 if unknown.
    pub incarnation: u64,
    /// Time since it vanished, `None` if it is live.
    pub gone_age: Option<time::Duration>,
    /// True if the member left and handed over all its keys to the sender of this description.
    pub complete: bool,
    /// True if the member knows the sender of this description as a member and has handed over to
    /// it.
    pub handed: bool,
}

/// A request for a handover, made by [`Table::pending_requests`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// Member to ask.
    pub id: sync::Arc<str>,
    /// Number of the join that the request belongs to; replies to earlier joins are ignored.
    pub round: u64,
}

/// Reply to a handover request. The keys are sent beside it.
#[derive(Clone, Debug)]
pub struct HandoverReply {
    /// False if the replier is leaving or knows a newer incarnation of the asking sidecar.
    pub accepted: bool,
    /// Incarnation of the replier.
    pub incarnation: u64,
    /// True if every sidecar that could decide about a key knows the replier as a member.
    pub settled: bool,
    /// Members that the replier knows.
    pub members: Vec<KnownMember>,
    /// Newest incarnation of the asking sidecar known before the request, 0 if none.
    pub known_incarnation: u64,
}

/// Result of determining which sidecar decides about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This sidecar decides and may start the call now.
    Local,
    /// Another sidecar decides.
    Remote(sync::Arc<str>),
    /// A previous home of the key was lost together with its memory.
    Lost {
        /// When the key can be decided about again, if no further member is lost.
        until: time::Duration,
    },
    /// A previous home of the key has not handed over yet.
    NotReady,
    /// The lease has expired.
    LeaseExpired,
    /// This sidecar is leaving.
    Leaving,
}

impl Verdict {
    /// Returns the code of a refusal, or `None` if the call may start.
    pub fn code(&self) -> Option<code::Code> {
        match self {
            Self::Local => None,
            Self::Lost { .. } => Some(code::Code::KeyHomeLost),
            Self::Leaving => Some(code::Code::Leaving),
            Self::Remote(_) | Self::NotReady | Self::LeaseExpired => {
                Some(code::Code::KeyHomeUnreachable)
            }
        }
    }
}

/// Returns the sidecars in the order in which they decide about a key, the home first.
pub fn rank<'a>(
    ids: impl IntoIterator<Item = &'a str>,
    customer: &str,
    key: &str,
) -> SmallVec<[&'a str; 16]> {
    let key = key_hash(customer, key);
    let mut ids: SmallVec<[&str; 16]> = ids.into_iter().collect();
    ids.sort_by_cached_key(|id| std::cmp::Reverse(rank_of(xxh3::xxh3_64(id.as_bytes()), key)));
    ids
}

fn key_hash(customer: &str, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(customer.as_bytes()))
}

/// Returns the rank of a member for a key; ties are broken by the member's hash.
fn rank_of(member: u64, key: u64) -> (u64, u64) {
    (xxh3::xxh3_64_with_seed(&key.to_le_bytes(), member), member)
}
