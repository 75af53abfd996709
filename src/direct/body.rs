//! Bodies of requests and responses.

use std::{io, pin};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body;

use crate::code;

/// Body of a response. An error in it closes the connection, so that the caller can't take the
/// response for complete.
pub type Body = pin::Pin<Box<dyn body::Body<Data = Bytes, Error = io::Error>>>;

/// Returns a body with all of these bytes.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Maximum capacity in bytes that is reserved for a body before any of it has arrived.
const MAX_INITIAL_CAPACITY: u64 = 16 * 1024 * 1024;

/// Reads the complete body of a request, of at most `limit` bytes.
pub async fn read(mut incoming: body::Incoming, limit: u64) -> Result<Bytes, code::Code> {
    let content_length = body::Body::size_hint(&incoming).exact();
    if content_length.is_some_and(|n| n > limit) {
        return Err(code::Code::BodyTooLarge);
    }
    let capacity = content_length.unwrap_or(0).min(MAX_INITIAL_CAPACITY);
    let mut received = BytesMut::with_capacity(capacity as usize);
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|err| {
            log::debug!(event = "body_broken", error:% = err; "");
            code::Code::BadRequest
        })?;
        // Trailers are dropped, since backend servers read nothing from them.
        if let Ok(data) = frame.into_data() {
            if received.len() as u64 + data.len() as u64 > limit {
                return Err(code::Code::BodyTooLarge);
            }
            received.extend_from_slice(&data);
        }
    }
    Ok(received.freeze())
}
