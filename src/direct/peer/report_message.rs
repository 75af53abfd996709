//! Messages about customers' service between entries (protobuf).

use crate::decide::recent;

/// Resolution of service in heartbeats, in cost units: a fraction of a short request's cost, at
/// which most values take two bytes.
pub const RESOLUTION: f64 = 16.0;

/// Service and demand of the customers for which they have changed since the sender's last report of
/// this scope.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// The entries that they are summed over.
    #[prost(enumeration = "Scope", tag = "1")]
    pub scope: i32,
    /// Number of groups of deciders, as the sender sees it.
    #[prost(uint32, tag = "2")]
    pub groups: u32,
    /// Number of the sender's group.
    #[prost(uint32, tag = "3")]
    pub group: u32,
    /// Hashes of the customers' names.
    #[prost(fixed64, repeated, tag = "4")]
    pub customers: Vec<u64>,
    /// Recent service of these customers, decayed, in multiples of [`RESOLUTION`].
    #[prost(uint32, repeated, tag = "5")]
    pub service: Vec<u32>,
    /// Recent demand of these customers, decayed, in multiples of [`RESOLUTION`].
    #[prost(uint32, repeated, tag = "6")]
    pub demand: Vec<u32>,
}

/// See [`recent::Scope`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Scope {
    /// The sender.
    Own = 0,
    /// The sender and the entries that report to it.
    Subtree = 1,
    /// The sender's group and the entries that report to its members.
    Group = 2,
    /// All entries.
    Fleet = 3,
}

impl From<recent::Scope> for Scope {
    fn from(scope: recent::Scope) -> Self {
        match scope {
            recent::Scope::Own => Self::Own,
            recent::Scope::Subtree => Self::Subtree,
            recent::Scope::Group => Self::Group,
            recent::Scope::Fleet => Self::Fleet,
        }
    }
}

/// Returns an amount of service as it is sent, in multiples of [`RESOLUTION`].
pub fn quantize(amount: f64) -> u32 {
    (amount / RESOLUTION).round() as u32
}

/// Returns the customers of a heartbeat or a report with their service and demand in cost units.
pub fn amounts(
    customers: &[u64],
    service: &[u32],
    demand: &[u32],
) -> impl Iterator<Item = (u64, f64, f64)> {
    let to_cost = |quantized: &u32| f64::from(*quantized) * RESOLUTION;
    let all = customers.iter().zip(service).zip(demand);
    all.map(move |((hash, service), demand)| (*hash, to_cost(service), to_cost(demand)))
}
