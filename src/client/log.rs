//! Client of the platform's append-only log.
//!
//! Calls block, with short timeouts. They are made on dedicated threads, never on the thread of the
//! core.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{code, error};

/// Name of the stream of catalogue records.
pub const CATALOGUE_STREAM: &str = "catalogue";

/// Timeout of connecting. The log is in the same region; one second allows for one or two lost
/// packets.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Timeout of one request, in addition to the time for which it asks the log to wait.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Maximum size in bytes of a response: a batch of catalogue records.
const MAX_BATCH_BYTES: u64 = 64 << 20;

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Record {
    /// Position in the stream, starting at 1.
    pub offset: u64,
    /// Text of the record.
    pub body: String,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Batch {
    /// Oldest offset that the log retains, or `next` if it retains none.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Records from the requested offset on, in order.
    pub records: Vec<Record>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// Client of a log service.
#[derive(Clone, Debug)]
pub struct Log {
    agent: ureq::Agent,
    base: String,
    timeout: time::Duration,
}

/// Creates a client of the log service at an address.
pub fn open(addr: net::SocketAddr) -> Log {
    open_with(addr, CALL_TIMEOUT)
}

/// Creates a client with another timeout per request than [`CALL_TIMEOUT`].
pub fn open_with(addr: net::SocketAddr, timeout: time::Duration) -> Log {
    Log {
        agent: super::agent(),
        base: format!("http://{addr}/v1/streams"),
        timeout,
    }
}

impl Log {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`code::Code::LogUnavailable`] if the record was certainly not appended,
    /// [`code::Code::PublishUnknown`] if it may have been.
    pub fn append(&self, stream: &str, body: &str) -> error::Result<u64> {
        let url = format!("{}/{stream}/records", self.base);
        let result = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .content_type("text/plain; charset=utf-8")
            .send(body)
            .and_then(|mut resp| resp.body_mut().read_json::<Appended>());
        match result {
            Ok(appended) => Ok(appended.offset),
            Err(err) => {
                let code = if had_no_effect(&err) {
                    code::Code::LogUnavailable
                } else {
                    code::Code::PublishUnknown
                };
                Err(error::Error::coded(
                    code,
                    format!("append to {stream}: {err}"),
                ))
            }
        }
    }

    /// Reads at most `max` records from the offset `from` on.
    ///
    /// With a `wait` above zero, the log delays its response until there is a record or the time
    /// has passed.
    pub fn read(
        &self,
        stream: &str,
        from: u64,
        max: u32,
        wait: time::Duration,
    ) -> error::Result<Batch> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}",
            self.base
        );
        let result = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(self.timeout + wait))
            .build()
            .call()
            .and_then(|mut resp| {
                resp.body_mut()
                    .with_config()
                    .limit(MAX_BATCH_BYTES)
                    .read_json::<Batch>()
            });
        result.map_err(|err| {
            let text = format!("read of {stream} from {from}: {err}");
            error::Error::coded(code::Code::LogUnavailable, text)
        })
    }
}

/// Returns whether a failed append certainly had no effect.
fn had_no_effect(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        // The log rejected the request.
        ureq::Error::StatusCode(status) => (400..500).contains(status),
        _ => false,
    }
}
