//! Bodies of answers and requests.

use std::{io, pin};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body;

use crate::code;

/// Body of an answer. An error in it ends the connection, so that the answer can't be taken for whole.
pub type Body = pin::Pin<Box<dyn body::Body<Data = Bytes, Error = io::Error>>>;

/// A whole body.
pub fn whole(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Reads a caller's whole body, at most `limit` bytes.
pub async fn read(mut incoming: body::Incoming, limit: u64) -> Result<Bytes, code::Code> {
    let stated = body::Body::size_hint(&incoming).exact();
    if stated.is_some_and(|n| n > limit) {
        return Err(code::Code::BodyTooLarge);
    }
    let mut whole = BytesMut::with_capacity(stated.unwrap_or(0) as usize);
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|err| {
            log::debug!(event = "body_broken", error:% = err; "");
            code::Code::BadRequest
        })?;
        // Trailers end here: nothing that backend servers read travels in them.
        if let Ok(data) = frame.into_data() {
            if whole.len() as u64 + data.len() as u64 > limit {
                return Err(code::Code::BodyTooLarge);
            }
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}
