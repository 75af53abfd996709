//! The one error enum and result alias of the crate.

use std::{io, result};

use crate::code;

/// A failure, with the numbered code that explains it to callers and operators.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A request, change or setting was answered with a numbered code.
    #[error("{code}: {detail}")]
    Coded {
        /// The numbered code.
        code: code::Code,
        /// What exactly was wrong, for a person.
        detail: String,
    },
    /// Reading or writing failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
    /// A connection between two processes of the fleet failed.
    #[error("transport: {0}")]
    Transport(#[from] tonic::transport::Error),
    /// Another process of the fleet answered with a gRPC status.
    #[error("status: {0}")]
    Status(Box<tonic::Status>),
    /// JSON could not be read or written.
    #[error("json: {0}")]
    Json(#[from] serde_json::Error),
    /// An HTTP call to the platform failed.
    #[error("http: {0}")]
    Http(Box<ureq::Error>),
}

/// Result of the crate's fallible functions.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// An error with a numbered code.
    pub fn coded(code: code::Code, detail: impl Into<String>) -> Self {
        Self::Coded {
            code,
            detail: detail.into(),
        }
    }

    /// The numbered code, [`code::Code::Internal`] for faults without one.
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
