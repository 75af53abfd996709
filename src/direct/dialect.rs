//! The header names that callers and backend servers use.

use http::HeaderName;

/// Names of the headers that the entry reads, sets or drops. An adapter fills it in.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller; forwarded, and echoed by backend servers.
    pub request_id: HeaderName,
    /// How long the caller or the entry still waits, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's API key; never forwarded.
    pub api_key: HeaderName,
    /// Name of the key's customer; only the entry sets it.
    pub customer: HeaderName,
    /// Instance that must serve the request, or else refuse it; only the entry sets it.
    pub expected_instance: HeaderName,
    /// In an answer: the instance that gives it.
    pub instance: HeaderName,
    /// Marks an answer that says that the request did not run.
    pub not_run: HeaderName,
    /// In an answer: the backend server leaves and wants no new requests.
    pub leaving: HeaderName,
    /// In an answer: milliseconds for which the backend server stays cold.
    pub cold: HeaderName,
    /// Where a model engine describes itself; empty if it doesn't.
    pub report_path: &'static str,
    /// When a model engine started by its own description, in Unix milliseconds; `None` if it doesn't say.
    pub report_start: fn(&[u8]) -> Option<u64>,
    /// Address of the engine that another one is to fetch parts of a prompt from; only the entry sets it.
    pub fetch: HeaderName,
    /// Id of the last event that the caller has seen.
    pub last_event: HeaderName,
    /// Prompt tokens and most output tokens, `IN,OUT`.
    pub usage: HeaderName,
    /// The caller's estimate of output tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, `ID:TOKENS,...`.
    pub prefix: HeaderName,
    /// Mark of a backend server's answer; only forwarded.
    pub signature: HeaderName,
    /// Further headers of a request that backend servers need, whatever `connection` names.
    pub needed: Vec<HeaderName>,
    /// Further headers that only the fleet may set: dropped from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Dialect {
    /// Whether a header is forwarded even if the caller's `connection` header names it.
    pub fn keep_always(&self, name: &HeaderName) -> bool {
        let usual = [http::header::HOST, http::header::CONTENT_TYPE];
        usual.contains(name) || self.needed.contains(name)
    }
}
