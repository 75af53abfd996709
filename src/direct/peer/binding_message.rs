//! Messages about the software versions that streams are bound to (protobuf).

use std::time;

use crate::decide::binding;

/// See [`binding::Record`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Record {
    /// Hash of the name of the stream's customer.
    #[prost(fixed64, tag = "1")]
    pub customer: u64,
    /// Hash of the id of the attempt that brought the first event.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Version that began the stream.
    #[prost(fixed64, tag = "3")]
    pub version: u64,
    /// Milliseconds since the first event.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// Records in the platform's store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// The records, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<Record>,
}

/// A request for the version that began a stream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Request {
    /// Number of the request at the requesting entry.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Hash of the name of the stream's customer.
    #[prost(fixed64, tag = "2")]
    pub customer: u64,
    /// Hash of the id of the attempt that brought the first event.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    /// Hash of the name of the service.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// Milliseconds for which the stream may be taken up after it began.
    #[prost(uint32, tag = "5")]
    pub lifetime_ms: u32,
}

/// See [`binding::Reply`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Reply {
    /// Number of the request at the requesting entry.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Version that began the stream.
    #[prost(fixed64, optional, tag = "2")]
    pub version: Option<u64>,
    /// The only version of the service.
    #[prost(fixed64, optional, tag = "3")]
    pub only: Option<u64>,
    /// True if there are several versions of the service.
    #[prost(bool, tag = "4")]
    pub is_mixed: bool,
}

impl Record {
    /// Creates the message that is sent at `now`.
    pub fn new(now: time::Duration, record: &binding::Record) -> Self {
        let age = now.saturating_sub(record.at);
        Self {
            customer: record.stream.customer,
            id: record.stream.id,
            version: record.version.0,
            age_ms: age.as_millis().min(u32::MAX.into()) as u32,
        }
    }

    /// Returns the record for a message that was received at `now`.
    pub fn received(&self, now: time::Duration) -> binding::Record {
        binding::Record {
            stream: binding::Stream {
                customer: self.customer,
                id: self.id,
            },
            version: binding::Version(self.version),
            at: now.saturating_sub(time::Duration::from_millis(self.age_ms.into())),
        }
    }
}

impl Reply {
    /// Creates the reply to the request with this number.
    pub fn new(number: u64, reply: binding::Reply) -> Self {
        Self {
            number,
            version: reply.version.map(|version| version.0),
            only: reply.only.map(|version| version.0),
            is_mixed: reply.is_mixed,
        }
    }
}

impl From<Reply> for binding::Reply {
    fn from(message: Reply) -> Self {
        Self {
            version: message.version.map(binding::Version),
            only: message.only.map(binding::Version),
            is_mixed: message.is_mixed,
        }
    }
}
