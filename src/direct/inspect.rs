//! Inspection of a backend server whose process may have been replaced.
//!
//! Its health response states for how long it stays cold, and the report of a model engine when it
//! started.

use std::{io, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};

use super::{conn, dialect, forward, listing, state};
use crate::decide::restart;
use crate::key;

/// Timeout of an inspection: a backend server with a free slot needs a few milliseconds.
const INSPECTION_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Maximum size of a response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum time, in milliseconds, for which a backend server's statement that it is cold is
/// trusted; it bounds the effect of a mistaken unit.
const MAX_COLD_MS: f64 = 600_000.0;

/// Why an inspection failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The connection was refused or timed out.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The response timed out.
    #[error("response timed out")]
    Timeout,
    /// The connection broke, or the response can't be read.
    #[error("broken response: {0}")]
    Broken(String),
    /// Another instance listens at the address.
    #[error("another instance listens at the address")]
    Replaced,
    /// The backend server isn't listed any more, or can't be inspected.
    #[error("backend server is not listed or can't be inspected")]
    NotInspectable,
}

// The backend server to inspect, and how.
struct Target {
    server: listing::Server,
    health_path: String,
    is_engine: bool,
}

impl state::Entry {
    /// Returns whether an inspection can show that a backend server has restarted.
    pub(super) fn describes_itself(&self, server: key::Sidecar) -> bool {
        let target = self.target(server);
        target.is_some_and(|t| !t.health_path.is_empty() || t.asks_report(&self.dialect))
    }

    /// Returns whether a backend server states for how long it stays cold.
    pub(super) fn reports_cold(&self, server: key::Sidecar) -> bool {
        let target = self.target(server);
        target.is_some_and(|t| !t.health_path.is_empty())
    }

    fn target(&self, server: key::Sidecar) -> Option<Target> {
        let configuration = self.configuration()?;
        let backends = self.backends.borrow();
        let server = backends.get(server)?.server.clone();
        let service = configuration.services.get(server.service.as_str())?;
        let health_path = if service.reports_cold() {
            service.health_path.clone()
        } else {
            String::new()
        };
        Some(Target {
            is_engine: service.is_engine,
            server,
            health_path,
        })
    }

    /// Returns what is known of a backend server's process, of which a connection was lost
    /// `lost_ago`.
    pub(super) fn known_process(
        &self,
        server: key::Sidecar,
        lost_ago: time::Duration,
    ) -> restart::Known {
        let start = self
            .backends
            .borrow()
            .get(server)
            .map(|b| b.server.report.start);
        let service = self.target(server).and_then(|t| {
            let configuration = self.configuration()?;
            configuration
                .services
                .get(t.server.service.as_str())
                .cloned()
        });
        restart::Known {
            start: start.unwrap_or_default(),
            cold: self.fleet.borrow().cold_for(self.now(), server),
            cold_start: service.map_or(time::Duration::ZERO, |s| s.cold_start),
            lost_ago,
        }
    }
}

impl Target {
    // Only processes that restart under the same id report when they started.
    fn asks_report(&self, dialect: &dialect::Dialect) -> bool {
        self.is_engine && self.server.report.start != 0 && !dialect.report_path.is_empty()
    }
}

/// Inspects a backend server.
pub(super) async fn ask(
    entry: &state::Entry,
    server: key::Sidecar,
) -> Result<restart::Answer, Error> {
    let target = entry.target(server).ok_or(Error::NotInspectable)?;
    entry.meter.count("inspections", "asked");
    entry.meter.count("connections", "backend");
    let inspection = ask_target(&entry.dialect, &target);
    tokio::time::timeout(INSPECTION_TIMEOUT + entry.extra_timeout(), inspection)
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn ask_target(dialect: &dialect::Dialect, target: &Target) -> Result<restart::Answer, Error> {
    let mut conn = conn::open(target.server.address).await?;
    let mut answer = restart::Answer::default();
    if !target.health_path.is_empty() {
        let (head, _) = get(&mut conn, target, &target.health_path).await?;
        let instance = head.headers.get(&dialect.instance);
        if instance.is_some_and(|i| i.as_bytes() != target.server.id.as_bytes()) {
            return Err(Error::Replaced);
        }
        answer.cold = cold(dialect, &head.headers);
        if forward::closes_connection(&head.headers) && target.asks_report(dialect) {
            conn = conn::open(target.server.address).await?;
        }
    }
    if target.asks_report(dialect) {
        let (_, body) = get(&mut conn, target, dialect.report_path).await?;
        answer.start = (dialect.report_start)(&body).unwrap_or_default();
    }
    Ok(answer)
}

async fn get(
    conn: &mut conn::Conn,
    target: &Target,
    path: &str,
) -> Result<(http::response::Parts, Bytes), Error> {
    let broken = |err: &dyn std::fmt::Display| Error::Broken(err.to_string());
    if !conn.ready().await {
        return Err(Error::Broken("connection closed".into()));
    }
    let req = http::Request::get(path)
        .header(http::header::HOST, target.server.address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|err| broken(&err))?;
    let response = conn.send(req).await.map_err(|err| broken(&err))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|err| broken(&err))?;
    Ok((head, body.to_bytes()))
}

/// Reads from the headers of a response for how long the backend server stays cold, if they state
/// it.
pub(super) fn cold(
    dialect: &dialect::Dialect,
    headers: &http::HeaderMap,
) -> Option<time::Duration> {
    let ms: f64 = headers
        .get(&dialect.cold)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    let is_time = ms.is_finite() && ms >= 0.0;
    is_time.then(|| time::Duration::from_secs_f64(ms.min(MAX_COLD_MS) / 1e3))
}
