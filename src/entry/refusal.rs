//! Error responses: the numbered code, whether the request ran and when to retry.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use crate::entry::body;
use crate::filter;

/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "chivebend-request-id";

/// Header with the numbered code.
pub const CODE_HEADER: &str = "chivebend-code";

/// Header that says whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "chivebend-ran";

/// Returns the response to a refused request.
pub fn response(id: &str, refusal: &filter::Refusal) -> hyper::Response<body::Body> {
    let row = refusal.code.row();
    let error = serde_json::json!({
        "error": {
            "code": row.number,
            "name": row.name,
            "message": row.text,
            "detail": refusal.detail,
            "ran": row.ran.to_string(),
            "request_id": id,
        }
    });
    let body = Full::new(Bytes::from(error.to_string()))
        .map_err(|never| match never {})
        .boxed();
    let mut builder = hyper::Response::builder()
        .status(row.status)
        .header("content-type", "application/json")
        .header(CODE_HEADER, row.number)
        .header(RAN_HEADER, row.ran.to_string())
        .header(REQUEST_ID_HEADER, id);
    if let Some(delay) = refusal.retry_after {
        // The header has whole seconds, rounded up so that a caller never retries too early.
        let seconds = delay.as_millis().div_ceil(1000).max(1);
        builder = builder.header("retry-after", seconds.to_string());
    }
    builder.body(body).unwrap_or_else(|_invalid| {
        hyper::Response::new(
            Full::new(Bytes::new())
                .map_err(|never| match never {})
                .boxed(),
        )
    })
}
