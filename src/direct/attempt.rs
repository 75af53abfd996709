//! One attempt at a backend server: sends the request and classifies the outcome by the response
//! head.

use std::{io, rc, time};

use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::Full;

use super::{conn, forward, inspect, losses, slot};
use crate::decide::pause;
use crate::key;

/// Head of a response, with what is needed to read its body.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, not read yet.
    pub body: conn::Body,
    /// Connection that it comes on.
    pub conn: conn::Conn,
    /// Slot of the request at the backend server.
    pub slot: slot::Slot,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The backend server responded to the request.
    Responded(Box<Response>),
    /// The backend server stated that the request did not run.
    NotRun,
    /// Another instance listens at the address.
    Replaced,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since the backend server takes no more requests.
    Unwanted,
    /// The request may have run.
    Unknown,
}

impl forward::Call {
    pub(super) async fn attempt(&mut self, slot: slot::Slot, after: Option<&str>) -> Outcome {
        let at_most_once = !self.req.route.kind.is_retryable();
        let entry = rc::Rc::clone(&self.entry);
        let server = slot.server;
        if losses::has_restarted(&entry, server).await {
            return Outcome::Unwanted;
        }
        loop {
            let (mut conn, reused) = match entry.connect(server, at_most_once).await {
                Ok(conn) => conn,
                Err(err) => {
                    entry
                        .log
                        .line("connect_failed")
                        .with("backend", self.backend(server))
                        .with("error", &err);
                    if err.kind() == io::ErrorKind::ConnectionRefused {
                        entry.on_connection_refused(server);
                    }
                    entry.record_result(server, false, time::Duration::ZERO);
                    return Outcome::NotSent;
                }
            };
            if !conn.ready().await {
                if reused {
                    continue;
                }
                return Outcome::NotSent;
            }
            if !entry.accepts_requests(server) {
                return Outcome::Unwanted;
            }
            let Some(req) = self.build_request(&slot, after) else {
                return Outcome::NotSent;
            };
            if !self.tried.contains(&server) {
                self.tried.push(server);
            }
            let had_run = std::mem::replace(&mut self.may_have_run, true);
            entry.record_sent(server);
            match conn.send(req).await {
                Ok(response) => {
                    self.record_headers(server, &response);
                    let outcome = self.classify(response, conn, slot);
                    if matches!(outcome, Outcome::NotRun | Outcome::Replaced) {
                        self.may_have_run = had_run;
                    }
                    return outcome;
                }
                Err(conn::SendError::NotSent(_)) if reused => {
                    self.may_have_run = had_run;
                    self.tried.retain(|s| *s != server);
                }
                Err(conn::SendError::NotSent(err)) => {
                    self.may_have_run = had_run;
                    self.tried.retain(|s| *s != server);
                    entry
                        .log
                        .line("not_sent")
                        .with("id", self.id())
                        .with("error", err);
                    return Outcome::NotSent;
                }
                Err(err @ (conn::SendError::Lost(_) | conn::SendError::EndlessHead)) => {
                    entry
                        .log
                        .line("answer_lost")
                        .with("id", self.id())
                        .with("backend", self.backend(server))
                        .with("fingerprint", self.req.fingerprint())
                        .with("reused", reused)
                        .with("error", err);
                    self.on_connection_lost(&slot);
                    entry.record_result(server, false, time::Duration::ZERO);
                    return Outcome::Unknown;
                }
            }
        }
    }

    // Applies the headers about the state of the backend server, also those of a response that
    // can't be passed on. Headers of another instance at the same address are ignored.
    fn record_headers(&self, server: key::Sidecar, response: &http::Response<conn::Body>) {
        let (names, headers) = (&self.entry.dialect, response.headers());
        let is_leaving = headers.get(&names.leaving).is_some_and(|says| says != "0");
        let pause = requested_pause(response.status(), headers);
        let cold = inspect::cold(names, headers);
        if !is_leaving && pause.is_none() && cold.is_none() {
            return;
        }
        let id = self.backend(server);
        let other = headers.get(&names.instance);
        if other.is_some_and(|instance| instance.as_bytes() != id.as_bytes()) {
            return;
        }
        if is_leaving {
            self.entry.on_backend_leaving(server);
        }
        if let Some(cold) = cold {
            self.entry.on_backend_cold(server, cold);
        }
        if let Some(pause) = pause {
            self.entry.on_pause_requested(server, pause);
        }
    }

    fn build_request(
        &self,
        slot: &slot::Slot,
        after: Option<&str>,
    ) -> Option<http::Request<Full<Bytes>>> {
        let names = &self.entry.dialect;
        let head = &self.req.head;
        let mut req = http::Request::new(Full::new(self.req.body.clone()));
        *req.method_mut() = head.method.clone();
        *req.uri_mut() = http::Uri::from(head.target.clone());
        let headers = req.headers_mut();
        *headers = head.headers.clone();
        let backends = self.entry.backends.borrow();
        let id = &backends.get(slot.server)?.server.id;
        headers.insert(&names.expected_instance, HeaderValue::from_str(id).ok()?);
        if let Some(customer) = &self.req.customer {
            headers.insert(&names.customer, HeaderValue::from_str(customer).ok()?);
        }
        let left = self
            .req
            .deadline
            .saturating_sub(self.entry.now())
            .as_millis() as u64;
        headers.insert(&names.deadline, HeaderValue::from(left.max(1)));
        let source = slot.source.and_then(|source| backends.get(source));
        if let Some(source) = source {
            self.entry.meter.count("fetches", "sent");
            let address = source.server.address.to_string();
            headers.insert(&names.fetch, HeaderValue::from_str(&address).ok()?);
        }
        if let Some(after) = after {
            headers.insert(&names.last_event, HeaderValue::from_str(after).ok()?);
        }
        if head.headers.get(header::HOST).is_none() {
            headers.insert(header::HOST, HeaderValue::from_str(&head.host).ok()?);
        }
        Some(req)
    }

    fn classify(
        &self,
        response: http::Response<conn::Body>,
        mut conn: conn::Conn,
        slot: slot::Slot,
    ) -> Outcome {
        let names = &self.entry.dialect;
        let (head, body) = response.into_parts();
        conn.keep_alive = keep_alive(&head.headers);
        let is_ours = head.headers.get(&names.request_id) == Some(&self.req.head.id);
        let not_run = head.headers.contains_key(&names.not_run);
        let is_signed = head.headers.contains_key(&names.signature);
        let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
        let status = head.status;
        // The caller asked for no other protocol, and a head that announces the final one was skipped.
        let is_final = (200..600).contains(&status.as_u16());
        let is_unusable =
            !is_ours || !is_final || is_encoded || (status.is_success() && !is_signed);
        if !is_unusable && !not_run && status != http::StatusCode::MISDIRECTED_REQUEST {
            return Outcome::Responded(Box::new(Response {
                head,
                body,
                conn,
                slot,
            }));
        }
        self.entry
            .log
            .line("answer_set_aside")
            .with("id", self.id())
            .with("backend", self.backend(slot.server))
            .with("status", status.as_u16())
            .with("ours", is_ours)
            .with("not_run", not_run)
            .with("signed", is_signed);
        if is_ours && status == http::StatusCode::MISDIRECTED_REQUEST {
            let instance = head.headers.get(&names.instance);
            let expected = self.backend(slot.server);
            let other = instance.is_some_and(|i| i.as_bytes() != expected.as_bytes());
            return if other {
                Outcome::Replaced
            } else {
                Outcome::NotRun
            };
        }
        if is_ours && not_run {
            return Outcome::NotRun;
        }
        self.entry
            .record_result(slot.server, false, time::Duration::ZERO);
        Outcome::Unknown
    }
}

/// Returns the pause that a backend server requests with a refusal. Being full doesn't count as a
/// failure of the backend server.
pub(super) fn requested_pause(
    status: http::StatusCode,
    headers: &http::HeaderMap,
) -> Option<time::Duration> {
    if status != http::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    pause::parse(headers.get(header::RETRY_AFTER)?.to_str().ok()?)
}

// Time for which the backend server keeps an idle connection open; `None` if it doesn't say.
fn keep_alive(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(time::Duration::from_secs)
}
