//! Responses that are passed on as they arrive, since there is no memory to hold them.
//!
//! The rest of such a response stays at the backend server until the caller has read what came before,
//! so that no number of callers who read slowly takes the memory of the process. Unlike a response that
//! is held, it can't be retried if it breaks off; the caller's connection is closed then.

use std::{collections, io, time};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{attempt, body, conn, forward, refusal, slot};
use crate::code;

/// Minimum time that a backend server has for the next piece: a caller who reads slowly may ask for it
/// after the deadline.
const PIECE_TIME: time::Duration = time::Duration::from_secs(2);

struct Passing {
    call: forward::Call,
    // The backend server's, for what it says about itself.
    head: http::response::Parts,
    slot: slot::Slot,
    conn: Option<conn::Conn>,
    pieces: collections::VecDeque<Bytes>,
    body: conn::Body,
    is_over: bool,
}

/// Returns a response that begins with these pieces and goes on as it arrives.
pub fn pass_on(
    call: forward::Call,
    response: attempt::Response,
    pieces: Vec<Bytes>,
) -> http::Response<body::Body> {
    let attempt::Response {
        head,
        body,
        conn,
        slot,
    } = response;
    let mut passed_on = head.clone();
    forward::strip_connection_headers(&mut passed_on.headers);
    let passing = Passing {
        call,
        head,
        slot,
        conn: Some(conn),
        pieces: pieces.into(),
        body,
        is_over: false,
    };
    let frames = stream::unfold(passing, async |mut passing| {
        let next = passing.next().await?;
        Some((next, passing))
    });
    http::Response::from_parts(passed_on, Box::pin(StreamBody::new(frames)))
}

impl Passing {
    // Returns the next piece; `None` after the last.
    async fn next(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if let Some(piece) = self.pieces.pop_front() {
            return Some(Ok(Frame::data(piece)));
        }
        loop {
            if self.is_over {
                return None;
            }
            let entry = &self.call.entry;
            let until = self.call.req.deadline.max(entry.now() + PIECE_TIME);
            let until = tokio::time::Instant::from_std(entry.started + until);
            match tokio::time::timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(Frame::data(data)));
                    }
                }
                Ok(None) => self.complete(),
                Ok(Some(Err(err))) => {
                    self.call.on_broken(&self.slot, &err);
                    return Some(Err(self.abort(code::Code::AnswerBroken)));
                }
                Err(_elapsed) => return Some(Err(self.abort(code::Code::BackendSilent))),
            }
        }
    }

    fn complete(&mut self) {
        self.is_over = true;
        self.call.on_received(&self.slot, &self.head, "passed");
        if !forward::closes_connection(&self.head.headers)
            && let Some(conn) = self.conn.take()
        {
            let server = self.slot.server;
            self.call.entry.return_connection(server, conn);
        }
    }

    fn abort(&mut self, code: code::Code) -> io::Error {
        self.is_over = true;
        self.conn = None;
        self.call.log_refusal(refusal::Refusal::new(code));
        io::Error::other(code.to_string())
    }
}
