//! A run: a started request with its response, kept until the entry has received all of it.

use std::time;

use tokio::sync::watch;

use crate::client::usage;
use crate::control::backend::link::EntryId;
use crate::control::response_buffer;
use crate::decide::share;
use crate::wire::frame;
use crate::{code, key, wire};

/// Maximum bytes that are sent but not acknowledged by the entry; bounds what an entry buffers for
/// a slow caller.
const SEND_AHEAD_BYTES: u64 = 256 << 10;

/// Parts of a response that were sent on the current link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sent {
    pub(super) head: bool,
    pub(super) bytes: u64,
    pub(super) end: bool,
}

/// A request that was started.
#[derive(Debug)]
pub struct Run {
    /// The entry that handed it over.
    pub entry_id: EntryId,
    /// Number of the request at the entry.
    pub request: u64,
    /// Number of the attempt.
    pub attempt: u32,
    /// Id of the request, as callers see it.
    pub id: String,
    /// When the entry's link was lost; `None` once the entry has resumed the run.
    pub detached_at: Option<time::Duration>,
    /// The call to the backend server.
    pub task: Option<tokio::task::JoinHandle<()>>,
    /// Customer of the request.
    pub customer: key::Customer,
    /// Customer and idempotency key, if this sidecar decided about the key.
    pub keyed_as: Option<(String, String)>,
    pub(super) idempotent: bool,
    pub(super) response: response_buffer::Buffer,
    pub(super) meter: usage::Meter,
    pub(super) prompt_tokens: u64,
    pub(super) cost: u64,
    /// Cost that no chunk has reported to the entry yet.
    pub(super) unreported_cost: u32,
    pub(super) sent: Sent,
    pub(super) acknowledged: u64,
    /// Tells the call how many bytes the entry has acknowledged.
    pub ack_tx: watch::Sender<u64>,
    /// True once the entry needs nothing more: it has the complete response or the failure, or its
    /// caller has disconnected.
    pub(super) is_entry_done: bool,
    pub(super) failed: Option<code::Code>,
    pub(super) ended_at: Option<time::Duration>,
    pub(super) started_at: time::Duration,
    /// When the first byte of the response arrived.
    pub(super) first_byte_at: Option<time::Duration>,
    pub(super) reservation: Option<share::Reservation>,
}

/// Returns the frame that reports a failed attempt to its entry.
pub fn failure(
    request: u64,
    attempt: u32,
    code: code::Code,
    retry_after: time::Duration,
) -> wire::Failed {
    let ran = match code.row().ran {
        code::Ran::No => wire::Ran::No,
        code::Ran::Yes => wire::Ran::Yes,
        code::Ran::Unknown => wire::Ran::Unknown,
    };
    wire::Failed {
        request,
        attempt,
        code: u32::from(code.number()),
        ran: ran.into(),
        retry_after_ms: retry_after.as_millis() as u64,
    }
}

impl Run {
    /// Creates a run that has just started.
    pub fn new(
        entry_id: EntryId,
        customer: key::Customer,
        run: &wire::Run,
        reservation: share::Reservation,
        now: time::Duration,
    ) -> Self {
        let prompt_tokens = run.body.len() as u64 / usage::BYTES_PER_TOKEN;
        Self {
            entry_id,
            request: run.request,
            attempt: run.attempt,
            id: run.request_id.clone(),
            detached_at: None,
            task: None,
            customer,
            keyed_as: None,
            idempotent: run.idempotent,
            response: response_buffer::Buffer::default(),
            meter: usage::Meter::default(),
            prompt_tokens,
            cost: 0,
            unreported_cost: 0,
            sent: Sent::default(),
            acknowledged: 0,
            ack_tx: watch::Sender::new(0),
            is_entry_done: false,
            failed: None,
            ended_at: None,
            started_at: now,
            first_byte_at: None,
            reservation: Some(reservation),
        }
    }

    /// Returns whether the run has ended and its entry needs nothing more of it.
    pub fn is_settled(&self) -> bool {
        self.is_entry_done && self.ended_at.is_some()
    }

    /// Restarts sending at an offset of the response.
    pub fn rewind(&mut self, offset: u64) {
        self.sent = Sent {
            bytes: offset,
            ..Sent::default()
        };
        self.acknowledged = self.acknowledged.max(offset);
    }

    pub(super) fn next_frame(&mut self) -> Option<frame::Sidecar> {
        let (request, attempt) = (self.request, self.attempt);
        if self.response.status != 0 && !self.sent.head {
            self.sent.head = true;
            let headers = self.response.headers.clone();
            let head = wire::Head {
                request,
                attempt,
                status: self.response.status,
                headers,
            };
            return Some(frame::Sidecar::Head(head));
        }
        let ahead = self.acknowledged.saturating_add(SEND_AHEAD_BYTES);
        let room = ahead.saturating_sub(self.sent.bytes);
        if room > 0
            && let Some(mut data) = self.response.read_from(self.sent.bytes)
        {
            // The response can arrive in pieces larger than what may be sent unacknowledged.
            data.truncate(room.min(data.len() as u64) as usize);
            let offset = self.sent.bytes;
            self.sent.bytes += data.len() as u64;
            let cost = std::mem::take(&mut self.unreported_cost);
            let chunk = wire::Chunk {
                request,
                attempt,
                offset,
                data,
                cost,
            };
            return Some(frame::Sidecar::Chunk(chunk));
        }
        if self.sent.end || self.sent.bytes < self.response.length() {
            return None;
        }
        if let Some(code) = self.failed {
            self.sent.end = true;
            return Some(frame::Sidecar::Failed(failure(
                request,
                attempt,
                code,
                time::Duration::ZERO,
            )));
        }
        if self.response.is_complete() {
            self.sent.end = true;
            let end = wire::End {
                request,
                attempt,
                length: self.response.length(),
                checksum: self.response.checksum(),
                cost: self.cost,
            };
            return Some(frame::Sidecar::End(end));
        }
        None
    }
}
