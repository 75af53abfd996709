//! Messages that spread what entries read from the platform's store (protobuf).

use std::{net, time};

use super::saturating_millis;
use crate::decide::{binding, evacuation, spread};
use crate::direct::listing;

/// What an entry holds and what is new to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// The newest reading that the sender knows of.
    #[prost(message, optional, tag = "1")]
    pub reading: Option<Reading>,
    /// What the sender holds.
    #[prost(message, optional, tag = "2")]
    pub holding: Option<Holding>,
    /// Changes of the list of backend servers.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<Change>,
    /// True if the recipient sends its own state back.
    #[prost(bool, tag = "4")]
    pub wants_reply: bool,
    /// Addresses of other entries, for a recipient that has just started.
    #[prost(fixed32, repeated, tag = "5")]
    pub known_addresses: Vec<u32>,
    /// Position of the store's log up to which the changes were read.
    #[prost(message, optional, tag = "6")]
    pub changed_at: Option<Position>,
    /// Milliseconds since the first start of the fleet was confirmed, if it was while the sender ran.
    #[prost(uint32, optional, tag = "7")]
    pub first_start_ms: Option<u32>,
    /// What the store says of the versions of services, as far as the sender knows.
    #[prost(message, optional, tag = "8")]
    pub statement: Option<Statement>,
}

/// See [`binding::Statement`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Statement {
    /// Position in the store's records of versions up to which they were read.
    #[prost(message, optional, tag = "1")]
    pub read: Option<Position>,
    /// Milliseconds since it was true.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Hashes of the names of services with a single version.
    #[prost(fixed64, repeated, tag = "3")]
    pub services: Vec<u64>,
    /// The version of each of them.
    #[prost(fixed64, repeated, tag = "4")]
    pub versions: Vec<u64>,
    /// Milliseconds for which entries of the fleet have run without a break.
    #[prost(uint32, tag = "5")]
    pub uptime_ms: u32,
}

impl Statement {
    /// Creates the message that is sent at `now`, if anything is known of the store.
    pub fn new(now: time::Duration, joins: &binding::Joins) -> Option<Self> {
        let statement = joins.statement()?;
        Some(Self {
            read: Some(statement.read.into()),
            age_ms: saturating_millis(now.saturating_sub(statement.at)),
            services: statement.singles.keys().copied().collect(),
            versions: statement.singles.values().map(|v| v.0).collect(),
            uptime_ms: saturating_millis(joins.uptime(now)),
        })
    }

    /// Returns the statement for a message that was received at `now`.
    pub fn received(&self, now: time::Duration) -> binding::Statement {
        let versions = self.versions.iter().copied().map(binding::Version);
        let singles = self.services.iter().copied().zip(versions);
        binding::Statement {
            read: self.read.unwrap_or_default().into(),
            at: now.saturating_sub(time::Duration::from_millis(self.age_ms.into())),
            singles: singles.take(binding::MAX_SINGLES).collect(),
            uptime: time::Duration::from_millis(self.uptime_ms.into()),
        }
    }
}

/// Position in a topic of the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Position {
    /// Era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Offset in this era.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// See [`spread::Holding`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Holding {
    /// Position that the list is at least as new as.
    #[prost(message, optional, tag = "1")]
    pub position: Option<Position>,
    /// Digest of the list.
    #[prost(fixed64, tag = "2")]
    pub list: u64,
    /// Version of the configuration.
    #[prost(uint64, tag = "3")]
    pub configuration: u64,
    /// True if the sender knows the software versions of all backend servers in the list.
    #[prost(bool, tag = "4")]
    pub has_versions: bool,
}

/// See [`spread::Reading`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Reading {
    /// IPv4 address of the reader.
    #[prost(fixed32, tag = "1")]
    pub reader: u32,
    /// Incarnation of the reader.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the reading.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// What the reader held.
    #[prost(message, optional, tag = "4")]
    pub holding: Option<Holding>,
    /// Milliseconds since the store last answered the reader.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Number of entries that forwarded it.
    #[prost(uint32, tag = "6")]
    pub hops: u32,
    /// Milliseconds since the call began that delivered the reader's list.
    #[prost(uint32, optional, tag = "7")]
    pub list_age_ms: Option<u32>,
    /// Era that the store's answer stated; 0 if it stated none.
    #[prost(uint64, optional, tag = "8")]
    pub era: Option<u64>,
}

/// Change of a list entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// Id of the backend server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of the process in Unix milliseconds, of its last report.
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Number of the last report.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The list entry; without one it was removed.
    #[prost(message, optional, tag = "4")]
    pub listed: Option<Listed>,
}

/// Fields of a list entry, see [`listing::Server`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Listed {
    /// Service that it runs.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address that it listens on.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Number of requests that it runs at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// True if it accepts no more new requests.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Milliseconds for which it stays cold after the report.
    #[prost(uint32, tag = "6")]
    pub cold_ms: u32,
    /// Version of its software.
    #[prost(string, optional, tag = "7")]
    pub version: Option<String>,
    /// Later report under the same id that was false.
    #[prost(message, optional, tag = "8")]
    pub void: Option<Report>,
}

/// See [`listing::Report`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Report {
    /// Start of the process in Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub start: u64,
    /// Number of the report.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl From<evacuation::Position> for Position {
    fn from(position: evacuation::Position) -> Self {
        let evacuation::Position { era, offset } = position;
        Self { era, offset }
    }
}

impl From<Position> for evacuation::Position {
    fn from(message: Position) -> Self {
        let Position { era, offset } = message;
        Self { era, offset }
    }
}

impl From<binding::Position> for Position {
    fn from(position: binding::Position) -> Self {
        let binding::Position { era, offset } = position;
        Self { era, offset }
    }
}

impl From<Position> for binding::Position {
    fn from(message: Position) -> Self {
        let Position { era, offset } = message;
        Self { era, offset }
    }
}

impl From<spread::Holding> for Holding {
    fn from(holding: spread::Holding) -> Self {
        Self {
            position: Some(holding.position.into()),
            list: holding.list,
            configuration: holding.configuration,
            has_versions: false,
        }
    }
}

impl From<Holding> for spread::Holding {
    fn from(message: Holding) -> Self {
        Self {
            position: message.position.unwrap_or_default().into(),
            list: message.list,
            configuration: message.configuration,
        }
    }
}

impl Reading {
    /// Creates the message that is sent at `now`.
    pub fn new(now: time::Duration, reading: &spread::Reading) -> Self {
        let age_ms = |at| saturating_millis(now.saturating_sub(at));
        Self {
            reader: reading.reader.to_bits(),
            incarnation: reading.incarnation,
            sequence: reading.sequence,
            holding: Some(reading.holding.into()),
            age_ms: age_ms(reading.at),
            hops: reading.hops,
            // A part of a millisecond would make the list newer than it is.
            list_age_ms: reading.list_at.map(|at| age_ms(at).saturating_add(1)),
            era: reading.era,
        }
    }

    /// Returns the reading for a message that was received at `now`.
    pub fn received(&self, now: time::Duration) -> spread::Reading {
        let ago = |ms: u32| now.saturating_sub(time::Duration::from_millis(ms.into()));
        spread::Reading {
            reader: net::Ipv4Addr::from_bits(self.reader),
            incarnation: self.incarnation,
            sequence: self.sequence,
            holding: self.holding.unwrap_or_default().into(),
            at: ago(self.age_ms),
            list_at: self.list_age_ms.map(ago),
            hops: self.hops.saturating_add(1),
            era: self.era,
        }
    }
}

impl From<&listing::Change> for Change {
    fn from(change: &listing::Change) -> Self {
        let (report, listed) = match change {
            listing::Change::Gone(_, report) => (*report, None),
            listing::Change::Listed(server) => (
                server.report,
                Some(Listed {
                    service: server.service.clone(),
                    address: server.address.to_string(),
                    zone: server.zone.clone(),
                    slots: server.slots,
                    leaving: server.leaving,
                    cold_ms: server.cold_ms,
                    version: server.version.clone(),
                    void: server
                        .void
                        .map(|listing::Report { start, number }| Report { start, number }),
                }),
            ),
        };
        Self {
            id: change.id().to_owned(),
            start: report.start,
            number: report.number,
            listed,
        }
    }
}

impl TryFrom<&Change> for listing::Update {
    type Error = net::AddrParseError;

    fn try_from(message: &Change) -> Result<Self, Self::Error> {
        let report = listing::Report {
            start: message.start,
            number: message.number,
        };
        let id = message.id.clone();
        let Some(listed) = &message.listed else {
            return Ok(Self::GoneAt(id, report));
        };
        Ok(Self::Restored(listing::Server {
            id,
            service: listed.service.clone(),
            address: listed.address.parse()?,
            zone: listed.zone.clone(),
            slots: listed.slots,
            leaving: listed.leaving,
            cold_ms: listed.cold_ms,
            version: listed.version.clone(),
            report,
            void: listed
                .void
                .map(|Report { start, number }| listing::Report { start, number }),
        }))
    }
}
