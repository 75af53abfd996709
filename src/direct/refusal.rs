//! Responses that the entry gives itself.

use std::time;

use bytes::Bytes;
use http::header;

use super::{body, dialect};
use crate::code;

/// A final response of the entry's own, which refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered code; its HTTP status goes to the caller.
    pub code: code::Code,
    /// Time for the Retry-After header, for requests that have not run.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Returns a refusal without a Retry-After header.
    pub fn new(code: code::Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that has not run, with a Retry-After header.
    pub fn with_retry_after(code: code::Code, retry_after: time::Duration) -> Self {
        Self {
            code,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the HTTP response, with the request's id if it is known.
    pub fn response(
        self,
        id: Option<&http::HeaderValue>,
        dialect: &dialect::Dialect,
    ) -> http::Response<body::Body> {
        let row = self.code.row();
        let text = format!("{} {}: {}\n", row.number, row.name, row.text);
        let mut res = http::Response::new(body::full(Bytes::from(text)));
        let status = http::StatusCode::from_u16(row.status);
        *res.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        let kind = http::HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, kind);
        if let Some(id) = id {
            headers.insert(&dialect.request_id, id.clone());
        }
        if let Some(after) = self.retry_after
            && let Ok(value) = http::HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        res
    }
}
