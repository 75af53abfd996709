//! Client of the platform's append-only log.
//!
//! Calls block, with short timeouts: they are made by threads of their own, never by the core.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{code, error};

/// Stream of catalogue records.
pub const CATALOGUE_STREAM: &str = "catalogue";

/// How long connecting may take. The log is in the same region; a second is a lost packet or two.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long one call may take beyond the time it asks the log to wait.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest answer that is read, in bytes: a batch of catalogue records.
const ANSWER_LIMIT: u64 = 64 << 20;

/// A record as the log returns it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Record {
    /// Place in the stream, from 1.
    pub offset: u64,
    /// The record's text.
    pub body: String,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Batch {
    /// Oldest offset that the log still holds, or the next one if it holds none.
    pub first: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// Records from the offset asked for, in order.
    pub records: Vec<Record>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// A client of one log service.
#[derive(Clone, Debug)]
pub struct Log {
    agent: ureq::Agent,
    base: String,
    timeout: time::Duration,
}

/// A client of the log service at this address.
pub fn open(addr: net::SocketAddr) -> Log {
    open_with(addr, CALL_TIMEOUT)
}

/// The same, with another timeout for each call.
pub fn open_with(addr: net::SocketAddr, timeout: time::Duration) -> Log {
    Log {
        agent: super::agent(),
        base: format!("http://{addr}/v1/streams"),
        timeout,
    }
}

impl Log {
    /// Appends a record.
    ///
    /// Fails with [`code::Code::LogUnavailable`] if the record was surely not appended and with
    /// [`code::Code::PublishUnknown`] if that cannot be known.
    pub fn append(&self, stream: &str, body: &str) -> error::Result<u64> {
        let url = format!("{}/{stream}/records", self.base);
        let answer = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .content_type("text/plain; charset=utf-8")
            .send(body)
            .and_then(|mut resp| resp.body_mut().read_json::<Appended>());
        match answer {
            Ok(appended) => Ok(appended.offset),
            Err(err) => {
                let code = if never_sent(&err) {
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

    /// Reads records from an offset on. With `wait`, the log holds the call until there is one.
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
        let answer = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(self.timeout + wait))
            .build()
            .call()
            .and_then(|mut resp| {
                resp.body_mut()
                    .with_config()
                    .limit(ANSWER_LIMIT)
                    .read_json::<Batch>()
            });
        answer.map_err(|err| {
            let text = format!("read of {stream} from {from}: {err}");
            error::Error::coded(code::Code::LogUnavailable, text)
        })
    }
}

/// Whether the call failed before the log can have seen it.
fn never_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        // The log read the request and refused it.
        ureq::Error::StatusCode(status) => (400..500).contains(status),
        _ => false,
    }
}
