//! Stand-in for a plain service that counts executions by idempotency key.
//!
//! `GET /executions` returns how often each key ran; any other request is executed and echoed.

use std::sync::atomic;
use std::{collections, net, sync, time};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error;
use crate::standin::engine;

/// Settings of the service.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: net::SocketAddr,
    /// Execution time of a request in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub work_ms: u64,
}

/// Number of executions by key, and injected faults. Several stand-ins can share one log, as the
/// backend servers of one service share a database.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    executions: sync::Mutex<collections::BTreeMap<String, u64>>,
    /// True while the connection is cut after the request has run.
    pub lose_response: atomic::AtomicBool,
}

impl ExecutionLog {
    /// Returns how often each key ran.
    pub fn executions(&self) -> collections::BTreeMap<String, u64> {
        self.executions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    fn count(&self, key: &str) -> u64 {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let count = executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// A running service; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address it listens on.
    pub address: net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a service that counts its executions in `log`.
pub async fn spawn(settings: Settings, log: sync::Arc<ExecutionLog>) -> error::Result<Handle> {
    let listener = tokio::net::TcpListener::bind(settings.address).await?;
    let address = listener.local_addr()?;
    let work_time = time::Duration::from_millis(settings.work_ms);
    let task = tokio::spawn(engine::serve(listener, move |request| {
        let log = sync::Arc::clone(&log);
        async move { handle(&log, work_time, request).await }
    }));
    Ok(Handle { address, task })
}

async fn handle(
    log: &ExecutionLog,
    work_time: time::Duration,
    request: hyper::Request<Incoming>,
) -> hyper::Response<engine::Body> {
    if request.method() == hyper::Method::GET && request.uri().path() == "/executions" {
        let body = serde_json::json!(log.executions());
        return engine::response(200, body.to_string());
    }
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return engine::response(400, "{\"error\":\"body\"}");
    };
    let executions = log.count(&key);
    tokio::time::sleep(work_time).await;
    let body = body.to_bytes();
    if log.lose_response.load(atomic::Ordering::Relaxed) {
        return cut_response();
    }
    let echo = serde_json::json!({
        "path": path,
        "key": key,
        "executions": executions,
        "bytes": body.len(),
        "echo": String::from_utf8_lossy(&body),
    });
    engine::response(200, echo.to_string())
}

/// Returns a response whose body fails, which closes the connection.
fn cut_response() -> hyper::Response<engine::Body> {
    let frames = tokio_stream::iter([Err(std::io::Error::other(
        "connection cut by an injected fault",
    ))]);
    hyper::Response::new(BodyExt::boxed(http_body_util::StreamBody::new(frames)))
}
