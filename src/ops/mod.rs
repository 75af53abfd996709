//! HTTP server of the operators' port: health, readiness, metrics, status, events and drain.

use std::fmt;
use std::net;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header;

use crate::code;
use crate::error;
use crate::event;
use crate::listener;
use crate::metric;
use crate::settings;

mod query;
mod serve;

pub use crate::report::{Customer, Customers, RECENT_INTERVAL_MS, Sidecar, Status, backlogged_gap};
pub use query::encode;

/// All paths of the operators' port.
const PATHS: &[&str] = &[
    "/health",
    "/ready",
    "/metrics",
    "/status",
    "/customers",
    "/events",
    "/revision",
    "/drain",
];

/// Header with the fleet's secret, required for requests that change state.
pub const SECRET_HEADER: &str = "x-chivebend-secret";

/// Callbacks and data from which the operators' port builds its responses.
pub struct Source {
    /// Returns whether the process accepts new work.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns the state of the process.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// Returns the service, share, waiting requests and refusals of each customer known to this
    /// process.
    pub customers: Box<dyn Fn() -> Vec<Customer> + Send + Sync>,
    /// Returns the catalogue revision in force.
    pub revision: Box<dyn Fn() -> Option<u64> + Send + Sync>,
    /// Starts the shutdown.
    pub drain: Box<dyn Fn() + Send + Sync>,
    /// Events of the process.
    pub ring: event::Ring,
    /// Secret of the fleet, required for `POST /drain`.
    pub secret: settings::Secret,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

/// A running server of the operators' port. Dropping it closes the port.
#[derive(Debug)]
pub struct Handle {
    /// Address that the server listens on.
    pub addr: net::SocketAddr,
    _server: listener::Server,
}

/// Starts a server of the operators' port on the address.
pub fn spawn(addr: net::SocketAddr, source: Source) -> error::Result<Handle> {
    let recorder = metric::install();
    let handler =
        move |request: &serve::Request, addr| handle(request, &source, &recorder, addr).encode();
    let server = serve::spawn(addr, handler)?;
    Ok(Handle {
        addr: server.addr,
        _server: server,
    })
}

struct Reply {
    status: u16,
    mime: &'static str,
    body: String,
}

impl Reply {
    fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            mime: "application/json",
            body: format!("{value}\n"),
        }
    }

    fn ok(value: &impl serde::Serialize) -> Self {
        match serde_json::to_value(value) {
            Ok(value) => Self::json(200, &value),
            Err(err) => Self::error(500, code::Code::Internal, &err.to_string()),
        }
    }

    fn error(status: u16, code: code::Code, detail: &str) -> Self {
        let row = code.row();
        let value = serde_json::json!({"code": row.number, "name": row.name, "detail": detail});
        Self::json(status, &value)
    }

    fn encode(self) -> serve::Response {
        let mut response = serve::Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = hyper::StatusCode::from_u16(self.status)
            .expect("the statuses are constants of three digits");
        let mime = header::HeaderValue::from_static(self.mime);
        response.headers_mut().insert(header::CONTENT_TYPE, mime);
        response
    }
}

fn handle(
    req: &serve::Request,
    source: &Source,
    recorder: &metric::Recorder,
    addr: net::SocketAddr,
) -> Reply {
    let (path, query) = (req.uri().path(), req.uri().query().unwrap_or(""));
    match (req.method(), path) {
        (&hyper::Method::GET, "/health") => Reply::json(200, &serde_json::json!({"health": true})),
        (&hyper::Method::GET, "/ready") => ready(source),
        (&hyper::Method::GET, "/metrics") => Reply {
            status: 200,
            mime: "text/plain; version=0.0.4",
            body: recorder.render(),
        },
        (&hyper::Method::GET, "/status") => status(source, addr),
        (&hyper::Method::GET, "/customers") => customers(source),
        (&hyper::Method::GET, "/events") => events(source, query),
        (&hyper::Method::GET, "/revision") => {
            Reply::json(200, &serde_json::json!({"revision": (source.revision)()}))
        }
        (&hyper::Method::POST, "/drain") => drain(req, source),
        _ if PATHS.contains(&path) => Reply::error(
            405,
            code::Code::BadRequest,
            "this path takes another method",
        ),
        _ => Reply::error(404, code::Code::NoSuchRoute, "no such path"),
    }
}

fn ready(source: &Source) -> Reply {
    let ready = (source.ready)();
    let status = if ready { 200 } else { 503 };
    Reply::json(status, &serde_json::json!({"ready": ready}))
}

fn status(source: &Source, addr: net::SocketAddr) -> Reply {
    Reply::ok(&Status {
        ops_address: Some(addr),
        ..(source.status)()
    })
}

fn customers(source: &Source) -> Reply {
    let identity = source.ring.identity();
    Reply::ok(&Customers {
        instance: identity.instance.clone(),
        role: identity.role.into(),
        customers: (source.customers)(),
    })
}

fn events(source: &Source, query: &str) -> Reply {
    let filter = match query::parse_filter(query) {
        Ok(filter) => filter,
        Err(detail) => return Reply::error(400, code::Code::BadRequest, &detail),
    };
    Reply::ok(&source.ring.read(&filter))
}

fn drain(req: &serve::Request, source: &Source) -> Reply {
    let secret = req.headers().get(SECRET_HEADER);
    let secret = secret.and_then(|value| value.to_str().ok());
    if !secret.is_some_and(|secret| source.secret.accepts(secret)) {
        source
            .ring
            .note(event::Kind::OperatorRefused)
            .code(code::Code::BadSecret)
            .field("path", "/drain")
            .send();
        return Reply::error(
            403,
            code::Code::BadSecret,
            "the secret header is missing or wrong",
        );
    }
    source.ring.note(event::Kind::DrainRequested).send();
    (source.drain)();
    Reply::json(202, &serde_json::json!({"leaving": true}))
}
