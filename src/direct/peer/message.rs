//! Messages of the datagrams between entries (protobuf).

use std::{net, time};

use smallvec::SmallVec;

use super::{binding_message, case_message, report_message, update};
use crate::decide::{evacuation, place, probe, quarantine};

/// A datagram from one entry to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Incarnation number of the sender, which differs between runs of its process.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// The sender's IPv4 address.
    #[prost(fixed32, tag = "2")]
    pub address: u32,
    /// The heartbeat, which goes to every entry.
    #[prost(message, optional, tag = "3")]
    pub heartbeat: Option<Heartbeat>,
    /// A request to be placed on an engine.
    #[prost(message, optional, tag = "4")]
    pub placement_request: Option<PlacementRequest>,
    /// The decision about a placement request.
    #[prost(message, optional, tag = "5")]
    pub placement_reply: Option<PlacementReply>,
    /// Progress of placed requests. Each item is sent several times, since a datagram may be lost.
    #[prost(message, repeated, tag = "6")]
    pub progress: Vec<Progress>,
    /// Requests during which backend servers crashed.
    #[prost(message, repeated, tag = "7")]
    pub cases: Vec<case_message::Case>,
    /// Backend servers that announced in a response that they are leaving, by
    /// [`crate::direct::listing::Server::process_hash`].
    #[prost(fixed64, repeated, tag = "8")]
    pub leaving: Vec<u64>,
    /// Availability zones that were evacuated or returned to service.
    #[prost(message, repeated, tag = "9")]
    pub evacuations: Vec<Evacuation>,
    /// Backend servers whose processes ended, or that have answered an inspection since.
    #[prost(message, repeated, tag = "10")]
    pub inspections: Vec<Inspection>,
    /// What the sender holds of the data in the platform's store.
    #[prost(message, optional, tag = "11")]
    pub update: Option<update::Update>,
    /// A request for a datagram in reply, which shows that the recipient is alive.
    #[prost(message, optional, tag = "12")]
    pub probe: Option<Probe>,
    /// What the sender knows of processes that didn't answer, or were suspected of it.
    #[prost(message, repeated, tag = "13")]
    pub liveness: Vec<Liveness>,
    /// Service and demand of customers, summed over some entries.
    #[prost(message, optional, tag = "14")]
    pub report: Option<report_message::Report>,
    /// Versions that began streams.
    #[prost(message, repeated, tag = "15")]
    pub bindings: Vec<binding_message::Record>,
    /// A request for the version that began a stream.
    #[prost(message, optional, tag = "16")]
    pub binding_request: Option<binding_message::Request>,
    /// The reply to such a request.
    #[prost(message, optional, tag = "17")]
    pub binding_reply: Option<binding_message::Reply>,
    /// Parts of prompts under which backend servers crashed, or that ran to completion since, for an
    /// entry at which the crashes are counted.
    #[prost(message, repeated, tag = "18")]
    pub part_reports: Vec<case_message::Case>,
    /// Versions that began streams, for the recipient to write to the platform's store.
    #[prost(message, repeated, tag = "19")]
    pub unwritten_bindings: Vec<binding_message::Record>,
}

/// A request for a datagram in reply.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Probe {
    /// IPv4 address of the entry that the recipient probes for the sender; 0 to reply itself.
    #[prost(fixed32, tag = "1")]
    pub target: u32,
}

/// See [`probe::Record`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Liveness {
    /// IPv4 address of the entry.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Incarnation of the entry.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// True if it didn't answer a probe.
    #[prost(bool, tag = "3")]
    pub is_suspect: bool,
    /// Milliseconds since the probe was sent, or since the entry was heard.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Number of the suspicion.
    #[prost(fixed32, tag = "5")]
    pub suspicion: u32,
}

impl Liveness {
    /// Creates the message that is sent at `now`.
    pub fn new(now: time::Duration, record: &probe::Record) -> Self {
        let age = now.saturating_sub(record.at);
        Self {
            address: record.process.address.to_bits(),
            incarnation: record.process.incarnation,
            is_suspect: record.is_suspect,
            suspicion: record.suspicion,
            age_ms: age.as_millis().min(u32::MAX.into()) as u32,
        }
    }

    /// Returns the record for a message that was received at `now`.
    pub fn received(&self, now: time::Duration) -> probe::Record {
        probe::Record {
            process: probe::Process {
                address: net::Ipv4Addr::from_bits(self.address),
                incarnation: self.incarnation,
            },
            is_suspect: self.is_suspect,
            suspicion: self.suspicion,
            at: now.saturating_sub(time::Duration::from_millis(self.age_ms.into())),
        }
    }
}

/// State of a backend server's process after an inspection.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Inspection {
    /// Hash of the backend server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// True if the process has ended; otherwise it answered and the following fields apply.
    #[prost(bool, tag = "2")]
    pub ended: bool,
    /// Start of the process in Unix milliseconds; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub start: u64,
    /// Milliseconds for which it stays cold, if it reports that.
    #[prost(uint32, optional, tag = "4")]
    pub cold_ms: Option<u32>,
}

/// Evacuation state of an availability zone by the newest record that the sender has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Evacuation {
    /// Name of the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Era of the platform's store in which the record was written.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Offset of the record in the operator's log.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// True if the record evacuates the zone; otherwise it returns the zone to service.
    #[prost(bool, tag = "4")]
    pub is_evacuated: bool,
}

impl From<evacuation::Record> for Evacuation {
    fn from(record: evacuation::Record) -> Self {
        Self {
            zone: record.zone,
            era: record.position.era,
            offset: record.position.offset,
            is_evacuated: record.is_evacuated,
        }
    }
}

impl From<&Evacuation> for evacuation::Record {
    fn from(message: &Evacuation) -> Self {
        Self {
            zone: message.zone.clone(),
            position: evacuation::Position {
                era: message.era,
                offset: message.offset,
            },
            is_evacuated: message.is_evacuated,
        }
    }
}

/// All evacuation records that an entry has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Evacuations {
    /// One record per zone.
    #[prost(message, repeated, tag = "1")]
    pub evacuations: Vec<Evacuation>,
}

/// State of an entry, sent periodically to all its peers.
#[derive(Clone, PartialEq, prost::Message)]
#[expect(clippy::struct_excessive_bools, reason = "each is a field on the wire")]
pub struct Heartbeat {
    /// Sequence number, which rises with each heartbeat of one incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// True if the sender is shutting down and accepts no new requests.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Load that the sender placed on backend servers; those without load are left out.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<Load>,
    /// Hashes of the names of customers whose recent service by the sender or whose demand has
    /// changed since its last heartbeat.
    #[prost(fixed64, repeated, tag = "17")]
    pub customers: Vec<u64>,
    /// Recent service of these customers, decayed, in multiples of
    /// [`report_message::RESOLUTION`].
    #[prost(uint32, repeated, tag = "18")]
    pub service: Vec<u32>,
    /// Recent demand of these customers, decayed, in multiples of
    /// [`report_message::RESOLUTION`].
    #[prost(uint32, repeated, tag = "19")]
    pub demand: Vec<u32>,
    /// Digest of the addresses of the entries that the sender receives heartbeats from, itself
    /// included.
    #[prost(fixed64, tag = "20")]
    pub entries: u64,
    /// Number of those entries that accept requests, the sender included.
    #[prost(uint32, tag = "21")]
    pub entry_count: u32,
    /// Some or all of those addresses, for a recipient whose digest differs.
    #[prost(fixed32, repeated, tag = "5")]
    pub known_addresses: Vec<u32>,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "6")]
    pub configuration_version: u64,
    /// Digest of the list of backend servers.
    #[prost(fixed64, tag = "7")]
    pub list_digest: u64,
    /// Milliseconds since the sender last read both topics of the platform's store itself.
    #[prost(uint32, tag = "8")]
    pub store_age_ms: u32,
    /// Processor capacity in thousandths of a core.
    #[prost(uint32, tag = "9")]
    pub millicores: u32,
    /// Hash of the name of the sender's availability zone.
    #[prost(fixed64, tag = "10")]
    pub zone: u64,
    /// Milliseconds since the sender was last close to its capacity, if it ever was.
    #[prost(uint32, optional, tag = "14")]
    pub busy_ago_ms: Option<u32>,
    /// Milliseconds since the sender left the load balancer's rotation because of its load, if it
    /// is still out.
    #[prost(uint32, optional, tag = "16")]
    pub left_ago_ms: Option<u32>,
    /// Recent rate of requests received, per second.
    #[prost(uint32, tag = "15")]
    pub rate: u32,
    /// Hashes of the ids of backend servers that are leaving or were just removed, from an entry
    /// that reads the platform's store.
    #[prost(fixed64, repeated, tag = "12")]
    pub departing_servers: Vec<u64>,
    /// Milliseconds since the sender last read the list of backend servers from the store itself.
    #[prost(uint32, tag = "13")]
    pub list_age_ms: u32,
    /// Digest of the quarantined requests.
    #[prost(fixed64, tag = "22")]
    pub quarantined_digest: u64,
    /// Newest era of the platform's store that the sender has seen.
    #[prost(uint64, tag = "23")]
    pub era: u64,
    /// Digest of the sender's evacuation records.
    #[prost(fixed64, tag = "24")]
    pub evacuations_digest: u64,
    /// Milliseconds since the platform's store last answered the sender for both topics, even if
    /// the answers weren't usable.
    #[prost(uint32, optional, tag = "25")]
    pub answer_age_ms: Option<u32>,
    /// Milliseconds since the platform's store last answered the sender or an entry that it
    /// receives heartbeats from.
    #[prost(uint32, optional, tag = "26")]
    pub known_age_ms: Option<u32>,
    /// True if the sender spreads what it reads from the store by [`Datagram::update`].
    #[prost(bool, tag = "27")]
    pub sends_updates: bool,
    /// True if the sender answers [`Datagram::probe`].
    #[prost(bool, tag = "28")]
    pub answers_probes: bool,
    /// True if the sender sends and reads [`Datagram::report`].
    #[prost(bool, tag = "29")]
    pub sends_reports: bool,
}

/// Load that one entry placed on a backend server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Load {
    /// Hash of the backend server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens sent and not yet processed.
    #[prost(uint32, tag = "3")]
    pub unread_tokens: u32,
    /// Lowest recent service among customers with queued requests, if there are any.
    #[prost(float, optional, tag = "4")]
    pub least_service: Option<f32>,
    /// Prompt tokens of the queued requests, if second homes are switched on.
    #[prost(uint32, tag = "5")]
    pub queued_tokens: u32,
    /// Learned speed in prompt tokens per second until the first event; 0 if it isn't known.
    #[prost(uint32, tag = "6")]
    pub tokens_per_s: u32,
    /// Step of the weight that follows from the learned speed.
    #[prost(sint32, tag = "8")]
    pub weight_step: i32,
}

/// A request to the deciding entry to place a request on an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlacementRequest {
    /// Number of the request at the requesting entry.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Hash of the engine's id.
    #[prost(fixed64, tag = "2")]
    pub server: u64,
    /// Name of the customer; empty if the request has none.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Hashes of the parts of the prompt.
    #[prost(fixed64, repeated, tag = "4")]
    pub chains: Vec<u64>,
    /// Numbers of tokens of the parts of the prompt.
    #[prost(uint32, repeated, tag = "5")]
    pub tokens: Vec<u32>,
    /// Cost of the request in tokens.
    #[prost(uint64, tag = "6")]
    pub cost: u64,
    /// Milliseconds until the request is due; negative if it is overdue.
    #[prost(sint64, tag = "7")]
    pub due_ms: i64,
    /// Latency objective in milliseconds.
    #[prost(uint32, tag = "8")]
    pub objective_ms: u32,
    /// Milliseconds until the caller's deadline.
    #[prost(uint32, tag = "9")]
    pub deadline_ms: u32,
    /// Fingerprint of a suspect request, which must not run on a backend server beside another
    /// suspect: hash of the customer's name and hash of the rest; otherwise empty.
    #[prost(fixed64, repeated, tag = "10")]
    pub suspect: Vec<u64>,
}

/// The decision about a placement request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PlacementReply {
    /// Number of the request at the requesting entry.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The decision.
    #[prost(enumeration = "Decision", tag = "2")]
    pub decision: i32,
    /// Maximum wait of the request, or delay after which the caller may retry, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub ms: u32,
    /// Number of the error code of a refusal.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// Prompt tokens that the engine has to process for the request.
    #[prost(float, tag = "5")]
    pub tokens: f32,
    /// Processing time of the prompts ahead of the request, in milliseconds.
    #[prost(float, tag = "6")]
    pub ahead_ms: f32,
    /// Inputs of the decision to refuse or queue the request.
    #[prost(message, optional, tag = "7")]
    pub estimate: Option<Estimate>,
    /// Hash of the id of the engine to fetch cached parts of the prompt from.
    #[prost(fixed64, optional, tag = "8")]
    pub source: Option<u64>,
    /// Learned speed of the engine, as in [`Load`]. In a large fleet it arrives here long before the
    /// heartbeat.
    #[prost(uint32, tag = "9")]
    pub tokens_per_s: u32,
    /// Step of the weight that follows from the learned speed.
    #[prost(sint32, tag = "10")]
    pub weight_step: i32,
}

impl PlacementReply {
    /// Sets the learned speed of the engine.
    pub fn set_speed(&mut self, load: &place::Load) {
        self.tokens_per_s = (load.tokens_per_ms * 1e3) as u32;
        self.weight_step = load.weight_step.into();
    }

    /// Returns the learned speed of the engine as part of its load.
    pub fn speed(&self) -> place::Load {
        place::Load {
            tokens_per_ms: f64::from(self.tokens_per_s) / 1e3,
            weight_step: self.weight_step.clamp(i8::MIN.into(), i8::MAX.into()) as i8,
            ..place::Load::default()
        }
    }
}

/// Inputs of a placement decision, for the log of the requesting entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Estimate {
    /// Processing time of the prompts that the engine was sent and hasn't processed, in
    /// milliseconds.
    #[prost(float, tag = "1")]
    pub ahead_ms: f32,
    /// Expected wait in milliseconds.
    #[prost(float, tag = "2")]
    pub wait_ms: f32,
    /// Maximum wait in milliseconds.
    #[prost(float, tag = "3")]
    pub max_wait_ms: f32,
    /// Requests in flight at the backend server.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests queued for the backend server.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// Recent service of the request's customer relative to the customer with the most.
    #[prost(float, tag = "6")]
    pub served_share: f32,
    /// Prompt tokens that the engine would have to process for the request.
    #[prost(float, tag = "7")]
    pub tokens: f32,
}

impl From<place::Estimate> for Estimate {
    fn from(estimate: place::Estimate) -> Self {
        Self {
            ahead_ms: estimate.ahead_ms as f32,
            wait_ms: estimate.wait_ms as f32,
            max_wait_ms: estimate.max_wait_ms as f32,
            running: estimate.in_flight,
            waiting: estimate.queued,
            served_share: estimate.served_share as f32,
            tokens: estimate.tokens as f32,
        }
    }
}

impl From<Estimate> for place::Estimate {
    fn from(estimate: Estimate) -> Self {
        Self {
            ahead_ms: estimate.ahead_ms.into(),
            wait_ms: estimate.wait_ms.into(),
            max_wait_ms: estimate.max_wait_ms.into(),
            in_flight: estimate.running,
            queued: estimate.waiting,
            served_share: estimate.served_share.into(),
            tokens: estimate.tokens.into(),
        }
    }
}

/// A decision about a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Decision {
    /// The recipient doesn't decide about this engine.
    Elsewhere = 0,
    /// The request is placed and can be sent now.
    Go = 1,
    /// The request is queued; another reply follows.
    Wait = 2,
    /// The request is refused.
    Refuse = 3,
}

/// Progress of a request that was placed or is queued.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Progress {
    /// Number of the request at the requesting entry.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The step that it has reached.
    #[prost(enumeration = "Step", tag = "2")]
    pub step: i32,
}

/// Steps of a request after its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Step {
    /// The request was cancelled or didn't run.
    Dropped = 0,
    /// The first event of the response arrived.
    Began = 1,
    /// The request ran and finished.
    Finished = 2,
}

impl PlacementRequest {
    /// Returns the parts of the prompt.
    pub fn parts(&self) -> SmallVec<[place::Part; 4]> {
        let pairs = self.chains.iter().zip(&self.tokens);
        let part = |(chain, tokens): (&u64, &u32)| place::Part {
            chain: *chain,
            tokens: *tokens,
        };
        pairs.map(part).collect()
    }

    /// Returns the fingerprint of the request if it is a suspect.
    pub fn suspect_fingerprint(&self) -> Option<quarantine::Fingerprint> {
        match self.suspect[..] {
            [customer, content] => Some(quarantine::Fingerprint { customer, content }),
            _ => None,
        }
    }
}
