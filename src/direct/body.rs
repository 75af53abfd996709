//! Bodies of requests and responses.

use std::{io, pin};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body;
use tokio::{task, time};

use super::memory;
use crate::code;

/// Minimum capacity in bytes for a body of unknown length.
const MIN_CAPACITY: usize = 16 * 1024;

/// Body of a response. An error in it closes the connection, so that the caller can't take the
/// response for complete.
pub type Body = pin::Pin<Box<dyn body::Body<Data = Bytes, Error = io::Error>>>;

/// Returns a body with all of these bytes.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Maximum capacity in bytes that is reserved for a body before any of it has arrived.
const MAX_INITIAL_CAPACITY: u64 = 16 * 1024 * 1024;

/// What was received of a body.
#[derive(Debug)]
pub enum Received {
    /// All of it.
    Complete(Bytes),
    /// What came before there was no memory for more, in pieces.
    Partial(Vec<Bytes>),
}

/// Why a body can't be received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// Its connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
}

/// Returns the length of a body, if it is known before it is read; fails if it exceeds `limit`.
pub fn length(incoming: &impl body::Body, limit: u64) -> Result<Option<u64>, Error> {
    let length = incoming.size_hint().exact();
    match length {
        Some(length) if length > limit => Err(Error::TooLarge),
        length => Ok(length),
    }
}

/// Reads a body of at most `limit` bytes as far as there is memory. It takes memory for all of it first
/// if its length is known, and otherwise more as it grows.
pub async fn receive(
    incoming: &mut (impl body::Body<Data = Bytes, Error = hyper::Error> + Unpin),
    limit: u64,
    mut hold: memory::Hold,
) -> Result<Received, Error> {
    let length = length(incoming, limit)?.unwrap_or(0);
    if !hold.try_grow(length.saturating_sub(hold.bytes())) {
        return Ok(Received::Partial(Vec::new()));
    }
    let capacity = hold.bytes().min(MAX_INITIAL_CAPACITY);
    let mut received = Vec::with_capacity(capacity as usize);
    while let Some(frame) = incoming.frame().await {
        // Trailers are dropped, since backend servers read nothing from them.
        if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
            if received.len() as u64 + data.len() as u64 > limit {
                return Err(Error::TooLarge);
            }
            if !make_room(&mut received, data.len(), &mut hold) {
                let mut pieces = vec![hold.attach(received), data];
                pieces.retain(|piece| !piece.is_empty());
                return Ok(Received::Partial(pieces));
            }
            received.extend_from_slice(&data);
        }
    }
    Ok(Received::Complete(hold.attach(received)))
}

/// Reads the complete body of a request, of at most `limit` bytes.
pub async fn read(
    incoming: &mut body::Incoming,
    limit: u64,
    hold: memory::Hold,
) -> Result<Bytes, code::Code> {
    match receive(incoming, limit, hold).await {
        Ok(Received::Complete(bytes)) => Ok(bytes),
        Ok(Received::Partial(_)) => Err(code::Code::MemoryFull),
        Err(Error::TooLarge) => Err(code::Code::BodyTooLarge),
        Err(Error::Broken(err)) => {
            log::debug!(event = "body_broken", error:% = err; "");
            Err(code::Code::BadRequest)
        }
    }
}

// Takes memory for `more` bytes, with some in advance; returns whether there was room.
fn make_room(received: &mut Vec<u8>, more: usize, hold: &mut memory::Hold) -> bool {
    let (capacity, needed) = (received.capacity(), received.len() + more);
    if needed <= capacity {
        return true;
    }
    let larger = needed.max(capacity * 2).max(MIN_CAPACITY);
    if !hold.try_grow((larger - capacity) as u64) {
        return false;
    }
    received.reserve_exact(larger - received.len());
    true
}

/// Reads and drops the rest of a body until this time. A connection that is closed with unread bytes
/// is reset, and the caller may not receive the response.
pub fn discard(mut incoming: body::Incoming, until: time::Instant) {
    task::spawn_local(time::timeout_at(until, async move {
        while let Some(Ok(_)) = incoming.frame().await {}
    }));
}
