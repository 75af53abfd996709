//! Error type and result alias of the crate.

use std::{io, result};

use crate::code;

/// Any failure of the crate's functions. [`Error::code`] gives its numbered result code.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A request, change or setting was rejected with a numbered code.
    #[error("{code}: {detail}")]
    Coded {
        /// Result code.
        code: code::Code,
        /// Human-readable description of the cause.
        detail: String,
    },
    /// An I/O operation failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
    /// A connection between two processes of the fleet failed.
    #[error("transport: {0}")]
    Transport(#[from] tonic::transport::Error),
    /// Another process of the fleet returned a gRPC error status.
    #[error("status: {0}")]
    Status(Box<tonic::Status>),
    /// JSON could not be parsed or serialized.
    #[error("json: {0}")]
    Json(#[from] serde_json::Error),
    /// An HTTP call to the platform failed.
    #[error("http: {0}")]
    Http(Box<ureq::Error>),
}

/// Result of the crate's fallible functions.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error with a numbered code.
    pub fn coded(code: code::Code, detail: impl Into<String>) -> Self {
        Self::Coded {
            code,
            detail: detail.into(),
        }
    }

    /// Returns the numbered code, or [`code::Code::Internal`] for errors without one.
    pub fn code(&self) -> code::Code {
        match self {
            Self::Coded { code, .. } => *code,
            _ => code::Code::Internal,
        }
    }
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Status(Box::new(status))
    }
}

impl From<ureq::Error> for Error {
    fn from(err: ureq::Error) -> Self {
        Self::Http(Box::new(err))
    }
}
