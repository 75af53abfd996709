//! Quarantine of requests that crash the backend servers that run them.
//!
//! Load pattern: a request that crashes its backend server is sent again and again, through any
//! entry. Each attempt takes a backend server out of service for seconds, together with everything
//! else that runs there. Without a record of which request ran where, one caller can take down a
//! fleet; with an imprecise one, requests that only ran beside the crashing one are refused too.
//!
//! A request becomes a suspect once two backend servers have crashed under it, or once connections
//! were lost under it for unknown reasons: a process that was restarted within milliseconds is
//! recognised as a new one only seconds later. A suspect runs beside no other suspect, one attempt
//! at a time. Only a crash during such an attempt counts as evidence, with the probability that the
//! backend server would have crashed in that time without the request. These probabilities
//! multiply, and a run to completion clears the request. A suspect that has nothing to do with the
//! crashes is therefore quarantined in at most one of [`FALSE_POSITIVE_ODDS`] cases (Wald, 1945;
//! Ville, 1939), or if four backend servers in a row crash under it while it runs alone.
//!
//! A part of a prompt may crash backend servers in whatever request it is, so that no two of the
//! requests are alike. Parts of a customer's prompts therefore have cases of their own, with these
//! differences. Most parts are in many requests at a time, and of those that run beside a culprit
//! all crash with it; but only the culprit's part crashes in each, so that one completion proves a
//! part innocent for [`INNOCENCE_TIME`]. Crashes at the same moment, such as those of a zone, count
//! as one, since there was no time for a completion, and so do crashes under the same request, which
//! has a case of its own. Parts that were together in each crashing request are quarantined together,
//! and one of them that comes without another is tried as a suspect. Entries report crashes to
//! [`HOLDERS`] of them, which rendezvous hashing of the part selects: crashes that each entry sees
//! only once meet there, and their number doesn't grow with the fleet.
//!
//! All times are durations since the process started.

use std::{net, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::rendezvous;

mod case;
mod part;
mod table;

pub use case::{CASE_RETENTION, Case, Crash, FALSE_POSITIVE_ODDS, INNOCENCE_TIME, SUSPECT_CRASHES};
pub use part::PartLoss;
pub use table::Table;

/// Number of entries to which crashes under a part are reported.
pub const HOLDERS: usize = 2;

/// Seed of the hashes of parts, which distinguishes them from those of requests.
const PART_SEED: u64 = 0x7061_7274;

/// Identity of a request across attempts: customer, method, host, path and body.
///
/// The customer is kept beside the hash, so that no customer can forge a request that counts as
/// another customer's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display,
)]
#[display("{content:016x}")]
pub struct Fingerprint {
    /// Hash of the customer's name.
    pub customer: u64,
    /// Hash of the rest.
    pub content: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a customer's request with these parts, in order.
    pub fn new<'a>(customer: &str, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let customer = xxh3::xxh3_64(customer.as_bytes());
        // Each part is seeded with the hash of those before it, so that bytes can't move between
        // parts.
        let content = parts.into_iter().fold(customer, |seed, part| {
            xxh3::xxh3_64_with_seed(part, seed ^ part.len() as u64)
        });
        Self { customer, content }
    }

    /// Returns the fingerprint of a part of a customer's prompts, by the hash of the part's id.
    pub fn of_part(customer: &str, part: u64) -> Self {
        let customer = xxh3::xxh3_64(customer.as_bytes());
        let content = xxh3::xxh3_64_with_seed(&part.to_le_bytes(), customer ^ PART_SEED);
        Self { customer, content }
    }

    /// Returns the entries that precede the others for this fingerprint.
    pub fn holders(self, entries: impl Iterator<Item = net::Ipv4Addr>) -> rendezvous::Addresses {
        rendezvous::first(self.customer ^ self.content, entries, HOLDERS)
    }
}

/// Restrictions on how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No restriction.
    Clear,
    /// May run beside no other suspect, one attempt at a time.
    Suspect,
    /// May not run.
    Quarantined,
}

/// A request whose connection was lost before the response ended.
#[derive(Clone, Debug)]
pub struct Loss {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: SmallVec<[Fingerprint; 4]>,
    /// Time that it had been running at the backend server.
    pub ran: time::Duration,
    /// True if it ran there as the only suspect.
    pub alone: bool,
}
