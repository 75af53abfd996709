//! A request in an entry, from admission to the end of its response.

use std::time;

use bytes::Bytes;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::control::response;
use crate::decide::{retry, share};
use crate::{code, filter, key, wire};

/// A part of the response to a caller; a connection receives them in order.
#[derive(Debug)]
pub enum ResponsePart {
    /// Status and headers.
    Head(u32, Vec<wire::Header>),
    /// The next bytes of the body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The response ended early after its head; the connection must show that it is incomplete.
    Truncated(code::Code),
    /// The request was refused before any part of a response was sent.
    Refused(filter::Refusal),
}

/// A request that passed the filter chain, on its way to the controller.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub request: filter::Request,
    /// Receives the response.
    pub reply: mpsc::UnboundedSender<ResponsePart>,
    /// Receives the key of the accepted request.
    pub accepted: tokio::sync::oneshot::Sender<key::Request>,
}

/// A request and its progress.
#[derive(Debug)]
pub struct Request {
    /// The request as it passed the filter chain.
    pub request: filter::Request,
    /// Its customer.
    pub customer: key::Customer,
    /// Receives the response.
    pub reply: mpsc::UnboundedSender<ResponsePart>,
    /// When it arrived.
    pub arrived_at: time::Duration,
    /// When it expires unless it has been handed over by then.
    pub expires_at: Option<time::Duration>,
    /// Number of attempts so far; frames carry it as the number of their attempt.
    pub attempt: u32,
    /// Sidecars at which it was attempted.
    pub history: retry::History,
    /// Current stage: waiting or handed over.
    pub stage: Stage,
    /// Head of the response, buffered until the first byte or the end.
    pub head: Option<(u32, Vec<wire::Header>)>,
    /// True once the head was sent to the caller.
    pub is_head_sent: bool,
    /// Bytes that the caller's connection has read.
    pub consumed: u64,
    /// Bytes acknowledged to the sidecar.
    pub acknowledged: u64,
    /// Cost that the chunks of this attempt have reported.
    pub streamed_cost: u64,
    /// Charge to the customer while it runs.
    pub reservation: Option<share::Reservation>,
}

/// State of a request.
#[derive(Debug)]
pub enum Stage {
    /// The request waits for a claim.
    Waiting {
        /// Sidecars that have a ticket for it.
        tickets: SmallVec<[key::Sidecar; 4]>,
        /// Earliest time of the next tickets: backoff after a failed attempt.
        not_before: time::Duration,
    },
    /// The request was handed over.
    HandedOver(Attempt),
}

/// An attempt that was handed over to a sidecar.
#[derive(Debug)]
pub struct Attempt {
    /// The sidecar.
    pub sidecar: key::Sidecar,
    /// Incarnation of the sidecar when it was handed over.
    pub incarnation: u64,
    /// When it was handed over.
    pub handed_over_at: time::Duration,
    /// When the link to the sidecar was lost; `None` while it is up.
    pub detached_at: Option<time::Duration>,
    /// Progress of the response.
    pub response: response::Progress,
}

impl Request {
    /// Sends a part of the response to the caller. A closed connection is reported by the
    /// connection itself.
    pub fn send(&self, reply: ResponsePart) {
        drop(self.reply.send(reply));
    }

    /// Returns the current attempt, if it has this number and runs at this sidecar.
    pub fn current_attempt(&mut self, sidecar: key::Sidecar, number: u32) -> Option<&mut Attempt> {
        if self.attempt != number {
            return None;
        }
        match &mut self.stage {
            Stage::HandedOver(attempt) if attempt.sidecar == sidecar => Some(attempt),
            _ => None,
        }
    }

    /// Sends the buffered head, unless a head was sent already.
    pub fn send_head(&mut self) {
        if let Some((status, headers)) = self.head.take().filter(|_| !self.is_head_sent) {
            self.is_head_sent = true;
            self.send(ResponsePart::Head(status, headers));
        }
    }
}
