//! List of backend servers: its entries, and updates to it from the store or a peer.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use crate::decide::binding;

/// Identifies a report of a backend server. Reports are ordered by start of the process, then by
/// number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    serde::Deserialize,
    serde::Serialize,
)]
#[display("{start}/{number}")]
pub struct Report {
    /// When the process started, in Unix milliseconds; 0 if the backend server doesn't say.
    pub start: u64,
    /// Number of the report since then.
    pub number: u64,
}

/// List entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Server {
    /// Id, which may stay the same after a restart; [`Report::start`] distinguishes the processes.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// True if it accepts no more new requests.
    pub leaving: bool,
    /// Milliseconds for which it stays cold after the report.
    #[serde(default)]
    pub cold_ms: u32,
    /// Version of its software; `None` as long as it isn't known: an entry of an earlier release sent
    /// the list entry, or the process has restarted since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Report that the entry comes from.
    pub report: Report,
    /// Later report under the same id that was false, since the process went on reporting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub void: Option<Report>,
}

/// Time for which a process has to go on reporting before a newer report under its id counts as
/// false: a process whose report it was would have reported again by then.
const CONTINUED_TIME: time::Duration = time::Duration::from_secs(2);

/// Maximum number of ids of which overtaken reports are remembered.
const MAX_OVERTAKEN: usize = 4_096;

/// Reports that the store shows although newer ones under their ids are known, with the time at which
/// the first one was read.
///
/// Reports that arrive late are overtaken as well, but the newer process goes on reporting.
#[derive(Debug, Default)]
pub struct Overtaken(collections::HashMap<String, (Report, time::Duration)>);

impl Overtaken {
    /// Records an overtaken report that was read at `now`. Returns whether its process has gone on
    /// reporting.
    pub fn is_continued(&mut self, now: time::Duration, id: &str, report: Report) -> bool {
        let first = self.0.get(id).copied();
        let first =
            first.filter(|(first, _)| first.start == report.start && first.number <= report.number);
        let Some((first, at)) = first else {
            if self.0.len() >= MAX_OVERTAKEN {
                self.0.clear();
            }
            self.0.insert(id.to_owned(), (report, now));
            return false;
        };
        let is_continued = first < report && now >= at + CONTINUED_TIME;
        if is_continued {
            self.forget(id);
        }
        is_continued
    }

    /// Forgets all overtaken reports.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets the overtaken reports of an id, since a newer process reports.
    pub fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }
}

/// An update of the list of backend servers.
#[derive(Clone, Debug)]
pub enum Update {
    /// A list entry is new or has changed.
    Listed(Server),
    /// A list entry of a store that was restored from an older copy; it may have been removed
    /// since.
    Restored(Server),
    /// The list entry with this id was removed.
    Gone(String),
    /// The list entry with this id was removed after this report, as a peer says.
    GoneAt(String, Report),
    /// The newest list entry with this id can't be read.
    Unreadable(String),
    /// The complete list; entries that it lacks were removed.
    All(Vec<Server>),
    /// The complete list of a peer, which may be older than the one here.
    FromPeer(Vec<Server>),
    /// The complete list of a peer, of which only the versions are taken.
    Versions(Vec<Server>),
    /// Parts of a peer's list, which may be older than those here.
    PartsFromPeer(Parts),
}

/// Change of a list entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new, or other than before.
    Listed(Server),
    /// The one with this id was removed after this report.
    Gone(String, Report),
}

impl Change {
    /// Returns the id of the backend server.
    pub fn id(&self) -> &str {
        match self {
            Self::Listed(server) => &server.id,
            Self::Gone(id, _) => id,
        }
    }
}

/// Parts of a list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Number of parts that the list is divided into.
    pub count: usize,
    /// Indices of the parts that are included.
    pub indices: Vec<usize>,
    /// Backend servers in the included parts.
    pub servers: Vec<Server>,
}

impl Server {
    /// Returns whether this is another process than `other` under the same id, so that nothing
    /// learned, cached or counted for `other` applies to it.
    pub fn is_other_process(&self, other: &Self) -> bool {
        self.report.start != other.report.start
            || self.address != other.address
            || self.service != other.service
    }

    /// Returns whether this is no older than a list entry with this report under the same id.
    pub fn is_as_new_as(&self, report: Report) -> bool {
        self.report >= report || self.has_voided(report)
    }

    /// Returns whether a report under the same id is false. Of another process, earlier ones are too.
    pub fn has_voided(&self, report: Report) -> bool {
        let is_void = |void: Report| {
            let is_earlier = void.start == report.start && report.number <= void.number;
            void == report || (is_earlier && void.start != self.report.start)
        };
        self.void.is_some_and(is_void)
    }

    /// Returns a hash that identifies this process, by the same fields as
    /// [`Server::is_other_process`] and the id.
    pub fn process_hash(&self) -> u64 {
        let address = self.address.to_string();
        let start = self.report.start;
        let parts = [
            self.id.as_bytes(),
            self.service.as_bytes(),
            address.as_bytes(),
        ];
        let hash = |seed, part: &[u8]| xxh3::xxh3_64_with_seed(part, seed);
        parts.into_iter().fold(start, hash)
    }

    /// Returns the version of its software, for comparison; one that only this process has if it
    /// isn't known.
    pub fn software_version(&self) -> binding::Version {
        self.known_version()
            .unwrap_or_else(|| self.process_version())
    }

    /// Returns the version of its software, if it is known.
    pub fn known_version(&self) -> Option<binding::Version> {
        let name = self.version.as_deref()?;
        Some(binding::Version::new(&self.service, Some(name)))
    }

    /// Returns the version that stands for that of this process as long as it isn't known.
    pub fn process_version(&self) -> binding::Version {
        binding::Version::of_process(self.process_hash())
    }

    /// Returns whether it was cold at the time of its report.
    pub fn is_cold(&self) -> bool {
        self.cold_ms > 0
    }

    /// Returns whether `other` differs only in the number of the report or in how long it stays
    /// cold.
    pub fn is_same_payload(&self, other: &Self) -> bool {
        if self.report.start != other.report.start {
            return false;
        }
        let report = other.report;
        let both_cold = self.is_cold() && other.is_cold();
        let cold_ms = if both_cold {
            other.cold_ms
        } else {
            self.cold_ms
        };
        *other
            == Self {
                cold_ms,
                report,
                ..self.clone()
            }
    }
}
