//! Binds streams to the software version that began them.
//!
//! Load pattern: a release, with backend servers of two versions beside each other. Each crash
//! breaks dozens of streams, which callers take up at any entry; most entries haven't seen the
//! stream before. What two versions write doesn't fit together, and no backend server checks it.
//!
//! The entry that passes on the first event of a stream records its version before the event leaves
//! the entry, and sends the record to [`HOLDERS`] other entries, which rendezvous hashing of the
//! stream selects (Thaler and Ravishankar, 1998). Any entry finds them from the id alone, so that
//! memory and datagrams for a stream don't depend on the size of the fleet. A service with a single
//! version needs no records: every entry that has watched the list for as long as a stream can last
//! knows that there was no other. The platform's store keeps that for the time after all entries were
//! killed at once, with a write only when a service gets a second version or is left with one; the
//! records of a service with several versions are written in batches.
//! It also tells the first start of a fleet from later ones.
//!
//! Times are durations since the process started.

use std::{net, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::rendezvous;

mod history;
mod join;
mod journal;
mod processes;
mod registry;
mod stored;
mod table;

pub use history::{FirstStart, History, View};
pub use join::{Event, Joins, MAX_SINGLES, Opened, Position, Statement};
pub use journal::{Batch, Journal, is_key, key_prefix, writers};
pub use processes::Processes;
pub use registry::{Registry, is_current};
pub use stored::{Change, Stored, may_be_first_start};
pub use table::Table;

/// Number of entries that a record is sent to.
pub const HOLDERS: usize = 2;

/// Number of entries that are asked for a record. The entry that sent the record may have preceded
/// one of its holders, or one that has started since may.
pub const ASKED: usize = HOLDERS + 1;

/// Time for which a record is kept: more than the longest deadlines of callers.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Factor from the timeout of a route to the time for which a stream may be taken up. The timeout
/// limits one attempt, and callers make several within a limit of their own.
const TIMEOUTS_PER_STREAM: u32 = 2;

/// Seed of the hashes that stand for versions of processes: other than those of versions.
const PROCESS_SEED: u64 = 1;

/// Share of the other entries, one in this many, from which on those out of reach may be a part of the
/// fleet that works on by itself, as an availability zone does, rather than processes that ended.
const MIN_CUT_DIVISOR: usize = 4;

/// Software version of a service's backend servers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct Version(pub u64);

impl Version {
    /// Returns the version of a service with this name; without one, the version isn't known.
    pub fn new(service: &str, name: Option<&str>) -> Self {
        let hash = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), service_hash(service));
        Self(name.map_or(0, hash))
    }

    /// Returns the version that stands for that of a process as long as it isn't known: no other
    /// process has it, so that nothing else goes on with what the process began.
    pub fn of_process(process: u64) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            &process.to_le_bytes(),
            PROCESS_SEED,
        ))
    }
}

/// Returns the hash by which entries refer to a service.
pub fn service_hash(service: &str) -> u64 {
    xxh3::xxh3_64(service.as_bytes())
}

/// Identifies a stream over all attempts of its caller.
///
/// The customer is kept beside the hash of the id, so that no customer can name a stream of another
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Stream {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Hash of the id of the attempt that brought the first event.
    pub id: u64,
}

impl Stream {
    /// Returns the stream of a customer that this attempt began.
    pub fn new(customer: &str, first_attempt: &[u8]) -> Self {
        Self {
            customer: xxh3::xxh3_64(customer.as_bytes()),
            id: xxh3::xxh3_64(first_attempt),
        }
    }

    /// Returns the entries that precede the others for this stream, at most `count`.
    pub fn holders(
        self,
        entries: impl Iterator<Item = net::Ipv4Addr>,
        count: usize,
    ) -> rendezvous::Addresses {
        rendezvous::first(self.customer ^ self.id.rotate_left(32), entries, count)
    }
}

/// A service, and the time for which a stream of it may be taken up after it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Service {
    /// Hash of its name.
    pub hash: u64,
    /// Time for which a stream may be taken up.
    pub lifetime: time::Duration,
}

impl Service {
    /// Returns a service with this name, for streams of a route with this timeout.
    pub fn new(name: &str, timeout: time::Duration) -> Self {
        Self {
            hash: service_hash(name),
            lifetime: timeout * TIMEOUTS_PER_STREAM,
        }
    }
}

/// Returns the service at which a stream is taken up: its own or another one of its route, whichever
/// has backend servers of the version that began it; its own if none has.
pub fn choose_service<T>(
    own: T,
    others: impl IntoIterator<Item = T>,
    has_version: impl Fn(&T) -> bool,
) -> T {
    if has_version(&own) {
        return own;
    }
    let other = others.into_iter().find(has_version);
    other.unwrap_or(own)
}

/// A record of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The stream.
    pub stream: Stream,
    /// The version that began it.
    pub version: Version,
    /// When it began.
    pub at: time::Duration,
}

/// Reply of another entry about a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Version that began it, if the entry knows it.
    pub version: Option<Version>,
    /// The only version of the service, if the entry knows that there was no other.
    pub only: Option<Version>,
    /// True if the entry knows of several versions of the service.
    pub is_mixed: bool,
}

/// Returns whether so many entries are out of reach that a part of the fleet may be cut off, with this
/// entry or without it.
pub fn lacks_contact(reached: usize, unreachable: usize) -> bool {
    unreachable > 0 && unreachable * MIN_CUT_DIVISOR >= reached + unreachable
}

/// Replies of other entries about a stream, and what their silence leaves open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replies {
    /// Replies in the order of their arrival.
    pub received: SmallVec<[Reply; ASKED + 1]>,
    /// True if an entry that was asked didn't reply, or if many entries are out of reach. One of them
    /// may hold a record, or may have begun the stream after its records stopped arriving.
    pub is_partial: bool,
}

/// How far an entry's list of backend servers can be relied on for a stream that is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Others may have used a version that it lacks for seconds.
    Old,
    /// An entry that has used a version that it lacks has sent records.
    Recent,
    /// It was read after the stream was taken up, hence after it began: it has the stream's version,
    /// whatever others know.
    Newer,
}

/// What is known of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// This version began it.
    Version(Version),
    /// Nobody may know.
    Unknown,
    /// Only a list that is read from now on can tell.
    NeedsNewerList,
}

/// Returns the version that began a stream by what this entry and others know.
///
/// Silence isn't agreement: unless every entry that was asked has replied, the service's only
/// version counts as the stream's only by a list that is newer than the stream.
pub fn resolve(view: &View, list: List, replies: &Replies) -> Resolution {
    let received = &replies.received;
    if let Some(version) = received.iter().find_map(|reply| reply.version) {
        return Resolution::Version(version);
    }
    if list == List::Old || received.iter().any(|reply| reply.is_mixed) {
        return Resolution::Unknown;
    }
    // A process that hasn't run for long relies on one that has.
    let only = view.only();
    let only = only.or_else(|| received.iter().find_map(|reply| reply.only));
    let agrees = |version: &Version| Some(*version) == only;
    let mut others = received.iter().filter_map(|reply| reply.only);
    let is_agreed = view.versions.iter().all(agrees) && others.all(|version| agrees(&version));
    match only.filter(|_| is_agreed) {
        None => Resolution::Unknown,
        // The silent one may know that the version that joins is in use.
        Some(_) if replies.is_partial && view.is_joined => Resolution::Unknown,
        Some(_) if replies.is_partial && list != List::Newer => Resolution::NeedsNewerList,
        Some(version) => Resolution::Version(version),
    }
}
