//! Events: each is logged and kept in a ring buffer that `chivebend timeline` reads.
//!
//! A hybrid logical clock timestamps every event. Frames between processes carry the sender's
//! latest timestamp ([`Ring::stamp`], [`Ring::observe`]), so that the merged timeline shows a cause
//! before its effect even if the clocks of the machines differ.

use std::borrow;
use std::collections;
use std::time;

mod kind;
mod limit;
mod ring;
mod text;

pub use kind::{KINDS, Kind, Row};
pub use ring::{EventBuilder, Ring};
pub(crate) use text::{append_pair, prefix};
pub use text::{format_details, format_line};

/// Number of events that a process keeps by default. At 512 bytes per event this is 4 MB of a
/// node's 256 MB. At 40 requests a second with four events each it covers the last 50 seconds.
pub const DEFAULT_CAPACITY: usize = 8192;

/// Target of the log records of events, whose text is already formatted as key=value pairs.
pub const TARGET: &str = "chivebend::event";

/// Timestamp of the hybrid logical clock, in NTP64 format. The lowest 4 bits are a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the wall-clock time of the timestamp, in milliseconds since 1970.
    pub fn unix_ms(self) -> u64 {
        uhlc::NTP64(self.0).to_duration().as_millis() as u64
    }

    /// Returns the lowest timestamp of a wall-clock time in milliseconds since 1970.
    pub fn from_unix_ms(ms: u64) -> Self {
        Self(uhlc::NTP64::from(time::Duration::from_millis(ms)).as_u64())
    }
}

/// Identity of the process that records an event; part of every event.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Role of the process, such as `entry` or `sidecar`.
    pub role: &'static str,
}

/// An event recorded by a process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Timestamp of the hybrid logical clock.
    pub stamp: Stamp,
    /// Stable name of the event's kind.
    pub name: borrow::Cow<'static, str>,
    /// Instance that recorded the event.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Role of the instance.
    pub role: borrow::Cow<'static, str>,
    /// Id of the related request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Related customer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Related catalogue revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Result code.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// Additional fields.
    #[serde(default, skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub fields: collections::BTreeMap<borrow::Cow<'static, str>, String>,
    /// Number of repeats of this event that were dropped before it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub repeats: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Filter for the events to read from a ring.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only events after this timestamp.
    pub since: Stamp,
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this customer.
    pub customer: Option<String>,
}

impl Filter {
    /// Returns whether an event matches the filter.
    pub fn accepts(&self, event: &Event) -> bool {
        let matches =
            |filter: &Option<String>, value: &Option<String>| filter.is_none() || filter == value;
        event.stamp > self.since
            && matches(&self.request, &event.request)
            && matches(&self.customer, &event.customer)
    }
}

/// Result of reading events from a ring.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Name of the instance.
    pub instance: String,
    /// Timestamp of the read.
    pub now: Stamp,
    /// Number of events that newer ones have overwritten since the process started.
    pub overwritten: u64,
    /// Events, sorted by timestamp.
    pub events: Vec<Event>,
}
