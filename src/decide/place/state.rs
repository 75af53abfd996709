//! What an entry knows about a backend server: its listed properties, its state and the load that
//! peers have put on it.

use crate::decide::binding;

/// Properties of a listed backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerInfo<'a> {
    /// Unique id.
    pub id: &'a str,
    /// Number of its service.
    pub service: u32,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// True if the backend server is a model engine.
    pub is_engine: bool,
    /// True if the backend server is in the entry's own availability zone.
    pub is_near: bool,
    /// Version of its software.
    pub version: binding::Version,
    /// False if that stands for the version of the process, which isn't known yet.
    pub is_version_known: bool,
}

/// What a backend server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The backend server gets requests.
    Ready,
    /// The backend server gets no new requests, but other engines may still fetch its cached parts.
    Draining,
    /// The backend server is not used at all.
    Unusable,
}

/// Load that entries have put on a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: u32,
    /// Prompt tokens sent and not yet read.
    pub unread_tokens: f64,
    /// Prompt tokens of the requests that wait here.
    pub queued_tokens: f64,
    /// Learned speed in tokens per millisecond until the first event; 0 if it isn't known.
    pub tokens_per_ms: f64,
    /// Step of the weight that follows from the speed.
    pub weight_step: i8,
    /// Least recent service among the customers whose requests wait here, if any wait.
    pub least_service: Option<f64>,
}
