//! Messages about requests during which backend servers crashed (protobuf).

/// What is known about a request, with ages in place of times.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Case {
    /// Hash of the name of the request's customer.
    #[prost(fixed64, tag = "1")]
    pub customer: u64,
    /// Hash of the rest of the request.
    #[prost(fixed64, tag = "2")]
    pub content: u64,
    /// Crashes of backend servers while they ran the request.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<Crash>,
    /// Milliseconds since the request was quarantined, if it is.
    #[prost(uint32, optional, tag = "4")]
    pub quarantined_ms: Option<u32>,
    /// Milliseconds since the request was cleared, if it was.
    #[prost(uint32, optional, tag = "5")]
    pub cleared_ms: Option<u32>,
    /// Milliseconds since the request was last tried.
    #[prost(uint32, tag = "6")]
    pub seen_ms: u32,
    /// Milliseconds since each loss of a connection during the request for an unknown reason.
    #[prost(uint32, repeated, tag = "7")]
    pub unexplained_ms: Vec<u32>,
    /// True if it is a part of the customer's prompts.
    #[prost(bool, tag = "8")]
    pub is_part: bool,
    /// Milliseconds since a request with the part was completed, if one was.
    #[prost(uint32, optional, tag = "9")]
    pub completed_ms: Option<u32>,
    /// Hashes of the other parts that were in each request under which a backend server crashed.
    #[prost(fixed64, repeated, tag = "10")]
    pub companions: Vec<u64>,
}

/// A crash of a backend server while it ran a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Crash {
    /// Hash of the backend server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Milliseconds since the crash.
    #[prost(uint32, tag = "2")]
    pub ago_ms: u32,
    /// True if the request was the only suspect running there.
    #[prost(bool, tag = "3")]
    pub alone: bool,
    /// Probability of the crash without the request.
    #[prost(float, tag = "4")]
    pub chance: f32,
    /// Hash of the content of the request that ran, in the case of a part.
    #[prost(fixed64, tag = "5")]
    pub request: u64,
}

/// A list of cases.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cases {
    /// The cases.
    #[prost(message, repeated, tag = "1")]
    pub cases: Vec<Case>,
}

/// Case of a quarantined request as written to the platform's store, where it outlives all entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredCase {
    /// The case.
    #[prost(message, optional, tag = "1")]
    pub case: Option<Case>,
    /// When it was written, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub unix_ms: u64,
}
