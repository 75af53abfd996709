//! Header names and report format of callers and backend servers.

use http::HeaderName;

/// Names of the headers that the entry reads, sets or drops, provided by the platform adapter.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id that a caller gives each of its attempts; forwarded, and echoed by backend servers.
    pub request_id: HeaderName,
    /// Time for which the caller or the entry still waits, in milliseconds.
    pub deadline: HeaderName,
    /// API key of the caller; never forwarded.
    pub api_key: HeaderName,
    /// Name of the customer that the key belongs to; only the entry sets it.
    pub customer: HeaderName,
    /// Instance that the request is meant for; any other must refuse it. Only the entry sets it.
    pub expected_instance: HeaderName,
    /// In a response: the instance that sent it.
    pub instance: HeaderName,
    /// In a response: states that the request did not run.
    pub not_run: HeaderName,
    /// In a response: the backend server is leaving and takes no new requests.
    pub leaving: HeaderName,
    /// In a response: milliseconds for which the backend server stays cold.
    pub cold: HeaderName,
    /// Path at which a model engine reports its state; empty if there is none.
    pub report_path: &'static str,
    /// Reads from a report when the model engine started, in Unix milliseconds; `None` if the
    /// report lacks it.
    pub report_start: fn(&[u8]) -> Option<u64>,
    /// Address of the engine from which another one should fetch parts of a prompt; only the entry
    /// sets it.
    pub fetch: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream that the caller takes
    /// up.
    pub resumes: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, `IN,OUT`.
    pub usage: HeaderName,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, `ID:TOKENS,...`.
    pub prefix: HeaderName,
    /// Signature of a backend server's response; forwarded unchanged.
    pub signature: HeaderName,
    /// Further request headers that backend servers need and that are forwarded even if
    /// `connection` names them.
    pub needed: Vec<HeaderName>,
    /// Further headers that only the fleet may set; dropped from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Dialect {
    /// Returns whether a header is forwarded even if the caller's `connection` header names it.
    pub fn is_always_forwarded(&self, name: &HeaderName) -> bool {
        let standard = [http::header::HOST, http::header::CONTENT_TYPE];
        standard.contains(name) || self.needed.contains(name)
    }
}
