//! HTTP port for operators and the balancer: readiness, metrics, quarantined requests, evacuated
//! zones and questions where a request would go.

use std::{convert, io, net, rc, time};

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};

use super::{route, serve, state};
use crate::decide::memory;

/// Maximum time for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Path of suspects and quarantined requests.
const HELD: &str = "/held";

/// Path of questions where a request would go.
const ROUTE: &str = "/route";

/// Path of the evacuated zones.
const EVACUATIONS: &str = "/evacuations";

/// Serves readiness, metrics under `/metrics` and the operators' paths on this address.
pub async fn serve(entry: rc::Rc<state::Entry>, address: net::SocketAddr) -> io::Result<()> {
    let listener = serve::listen(address)?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                entry.log.line("accept_failed").with("error", err);
                tokio::time::sleep(serve::POLL_INTERVAL).await;
                continue;
            }
        };
        let entry = rc::Rc::clone(&entry);
        tokio::task::spawn_local(async move {
            let handler = service::service_fn(|req: http::Request<Incoming>| {
                let entry = rc::Rc::clone(&entry);
                async move {
                    Ok::<_, convert::Infallible>(match req.uri().path() {
                        ROUTE => route::respond(&entry, req).await,
                        path => handle(&entry, req.method(), path),
                    })
                }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), handler)
                .await;
            if let Err(err) = served {
                log::debug!(event = "readiness_connection", error:% = err; "");
            }
        });
    }
}

fn handle(
    entry: &state::Entry,
    method: &http::Method,
    path: &str,
) -> http::Response<Full<bytes::Bytes>> {
    if let Some(path) = path.strip_prefix(HELD) {
        return handle_held(entry, method, path);
    }
    if path == EVACUATIONS {
        return http::Response::new(Full::new(entry.evacuations().into()));
    }
    if path.ends_with("/metrics") {
        entry.meter.set("active", entry.active.get() as u64);
        let waiting = entry.fleet.borrow().queued() as u64;
        entry.meter.set("waiting", waiting);
        let usage = entry.memory.usage(memory::Owner::Response);
        entry.meter.set("body_bytes", usage.held);
        entry.meter.set("response_body_bytes", usage.of_owner);
        entry.meter.set("body_bytes_max", usage.max);
        entry.meter.set("bodies_waiting", usage.waiting as u64);
        entry
            .meter
            .set("events_waiting", usage.events_waiting as u64);
        return http::Response::new(Full::new(entry.meter.text().into()));
    }
    let mut response = http::Response::new(Full::default());
    let ready = entry.is_ready();
    if entry.reported_ready.replace(Some(ready)) != Some(ready) {
        entry
            .log
            .line("ready")
            .with("now", ready)
            .with("leaving", entry.is_leaving())
            .with("away", rotation_reason(entry))
            .with("rate", entry.rate())
            .with(
                "configuration",
                entry.configuration().map_or(0, |p| p.version),
            );
    }
    if !ready {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

// Lists suspects and quarantined requests, or releases quarantined ones.
fn handle_held(
    entry: &state::Entry,
    method: &http::Method,
    path: &str,
) -> http::Response<Full<bytes::Bytes>> {
    let request = path.strip_prefix('/');
    let content = request.and_then(|text| u64::from_str_radix(text, 16).ok());
    let respond = |status, text: String| {
        let mut response = http::Response::new(Full::new(text.into()));
        *response.status_mut() = status;
        response
    };
    match (method, content) {
        (&http::Method::GET, None) if path.is_empty() => {
            respond(http::StatusCode::OK, entry.describe_cases())
        }
        (&http::Method::DELETE, Some(content)) => match entry.release(content) {
            0 => respond(http::StatusCode::NOT_FOUND, "no such request\n".into()),
            released => respond(http::StatusCode::OK, format!("{released} released\n")),
        },
        _ => respond(
            http::StatusCode::BAD_REQUEST,
            "GET /held or DELETE /held/FINGERPRINT\n".into(),
        ),
    }
}

fn rotation_reason(entry: &state::Entry) -> String {
    let reason = entry.out_of_rotation_reason();
    reason.map_or_else(|| "-".into(), |reason| reason.to_string())
}
