//! Forwarding of a request: acquires slots, makes attempts, and retries where that is allowed.

use std::{cell, fmt, net, rc, time};

use http::{HeaderValue, header};
use smallvec::SmallVec;
use tokio::task;

use super::{answer, attempt, body, passing, refusal, request, serve, slot, state};
use crate::code;
use crate::decide::{binding, memory, overload, place, quarantine};
use crate::key;

/// Maximum size in bytes of a response body that is not a stream. It is read completely before it
/// is passed on, so that a broken response can still be retried or reported as such.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Maximum number of attempts of one request that may fail before it is sent, because a connection
/// was refused or closed. Each is at another backend server or on a new connection.
const MAX_UNSENT: usize = 4;

/// Retry-After if a backend server turns out to be full or unreachable.
pub const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// A request that is being forwarded.
#[derive(Debug)]
pub struct Call {
    /// Entry that forwards it.
    pub entry: rc::Rc<state::Entry>,
    /// The request.
    pub req: rc::Rc<request::Request>,
    /// Backend servers that it was sent to.
    pub tried: SmallVec<[key::Sidecar; 2]>,
    /// Time that it waited for slots.
    pub waited: time::Duration,
    /// Backend servers that it couldn't be sent to.
    pub unreachable: SmallVec<[key::Sidecar; 2]>,
    /// True if an attempt may have run, so that no refusal may claim otherwise.
    pub may_have_run: bool,
    /// Number of its service.
    pub service: u32,
    /// Version that it is bound to, if it is a stream whose caller has received events.
    pub version: Option<binding::Version>,
    /// True if it may begin at a version that joins its service and isn't in use yet.
    pub leaves_base: cell::Cell<bool>,
    /// True if its connection was lost while it ran as the only suspect of a backend server.
    pub was_lost_alone: cell::Cell<bool>,
    /// The quarantined part of its prompt because of which it was refused.
    pub quarantined_part: cell::Cell<Option<quarantine::Fingerprint>>,
    /// True once its end is logged, or a copy for the response stream is responsible for that.
    pub is_logged: cell::Cell<bool>,
    /// The last placement decision, for the log.
    pub decision: cell::Cell<Option<Decision>>,
}

// A response that is not a stream.
enum Answer {
    // It was received completely.
    Complete(http::Response<body::Body>),
    // It is passed on as it arrives, since there is no memory for it.
    Passing(http::Response<body::Body>),
}

/// A placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// Backend server that it was about.
    pub server: key::Sidecar,
    /// Entry that decided; `None` for this one.
    pub decided_by: Option<net::Ipv4Addr>,
    /// Values that it was based on.
    pub estimate: place::Estimate,
}

/// Forwards a request and returns its final response.
pub async fn serve(
    entry: rc::Rc<state::Entry>,
    req: request::Request,
) -> http::Response<body::Body> {
    let service = entry.service(&req.service);
    entry.deposit_retry(service);
    let deadline = tokio::time::Instant::from_std(entry.started + req.deadline);
    let mut call = Call {
        entry,
        req: rc::Rc::new(req),
        tried: SmallVec::new(),
        waited: time::Duration::ZERO,
        unreachable: SmallVec::new(),
        may_have_run: false,
        service,
        version: None,
        leaves_base: cell::Cell::default(),
        was_lost_alone: cell::Cell::default(),
        quarantined_part: cell::Cell::default(),
        is_logged: cell::Cell::new(false),
        decision: cell::Cell::default(),
    };
    let entry = rc::Rc::clone(&call.entry);
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout_at(deadline, call.answer()) => result,
        () = entry.last_answer() => Ok(Err(serve::LEAVING)),
    };
    let refusal = match result {
        Ok(Ok(response)) => return response,
        Ok(Err(refusal)) => call.without_false_claim(refusal),
        Err(_elapsed) if call.may_have_run => refusal::Refusal::new(code::Code::BackendSilent),
        Err(_elapsed) => {
            refusal::Refusal::with_retry_after(code::Code::DeadlineUnreachable, DEFAULT_RETRY_AFTER)
        }
    };
    call.log_refusal(refusal);
    refusal.response(Some(&call.req.head.id), &call.entry.dialect)
}

// Waits for what a request with this objective needs before it is sent, unless the process ends too soon
// to get its answer.
async fn unless_leaving<T>(
    entry: &state::Entry,
    objective: time::Duration,
    needed: impl Future<Output = Result<T, refusal::Refusal>>,
) -> Result<T, refusal::Refusal> {
    tokio::select! {
        biased;
        result = needed => result,
        () = entry.last_attempt(objective) => Err(serve::LEAVING),
    }
}

impl Call {
    async fn answer(&mut self) -> Result<http::Response<body::Body>, refusal::Refusal> {
        let (entry, route) = (rc::Rc::clone(&self.entry), rc::Rc::clone(&self.req.route));
        unless_leaving(&entry, route.objective, self.bind()).await?;
        let is_retryable = self.req.route.kind.is_retryable();
        // Error response of a backend server; passed on if no other attempt gets a response.
        let mut failure_response = None;
        loop {
            let response = match (self.send(None).await, failure_response.take()) {
                (Ok(response), _) => response,
                (Err(refusal), Some(failure)) => {
                    self.log_failure_passed_on(refusal);
                    return Ok(failure);
                }
                (Err(refusal), None) => return Err(refusal),
            };
            let status = response.head.status;
            if self.req.route.kind.is_stream() && status.is_success() {
                return Ok(answer::stream(self.detach(), response));
            }
            let server = response.slot.server;
            match self.read_complete(response).await {
                Ok(Answer::Complete(response))
                    if status.is_server_error() && is_retryable && self.try_spend_retry() =>
                {
                    self.log_retry("failed", server);
                    failure_response = Some(response);
                }
                Ok(Answer::Complete(response) | Answer::Passing(response)) => return Ok(response),
                Err(()) if is_retryable && self.try_spend_retry() => {
                    self.log_retry("broken", server);
                }
                Err(()) => return Err(refusal::Refusal::new(code::Code::AnswerBroken)),
            }
        }
    }

    /// If an attempt may have run, replaces a refusal that claims that the request has not run by
    /// one with an unknown outcome.
    pub fn without_false_claim(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if self.may_have_run && refusal.code.row().ran == code::Ran::No {
            return refusal::Refusal::new(code::Code::OutcomeUnknown);
        }
        refusal
    }

    // Returns a copy for the response stream, which then logs how the request ended.
    fn detach(&self) -> Self {
        self.is_logged.set(true);
        Self {
            entry: rc::Rc::clone(&self.entry),
            req: rc::Rc::clone(&self.req),
            tried: self.tried.clone(),
            waited: self.waited,
            unreachable: self.unreachable.clone(),
            may_have_run: self.may_have_run,
            service: self.service,
            version: self.version,
            leaves_base: self.leaves_base.clone(),
            was_lost_alone: self.was_lost_alone.clone(),
            quarantined_part: cell::Cell::default(),
            is_logged: cell::Cell::new(false),
            decision: cell::Cell::default(),
        }
    }

    /// Acquires slots and sends the request until a backend server responds or no attempt is left.
    /// A stream is resumed behind the event with id `after`.
    pub async fn send(
        &mut self,
        after: Option<&str>,
    ) -> Result<attempt::Response, refusal::Refusal> {
        loop {
            let (entry, route) = (rc::Rc::clone(&self.entry), rc::Rc::clone(&self.req.route));
            let slot = unless_leaving(&entry, route.objective, self.acquire_slot()).await?;
            self.check_configuration()?;
            self.check_caller().await?;
            if !self.is_still_allowed(&slot)? {
                continue;
            }
            let server = slot.server;
            if !self.may_go_on_at(slot.version) {
                self.unreachable.push(server);
                continue;
            }
            let cause = match self.attempt(slot, after).await {
                attempt::Outcome::Responded(response) => return Ok(*response),
                attempt::Outcome::Unwanted => {
                    self.log_retry("unwanted", server);
                    continue;
                }
                attempt::Outcome::NotSent => {
                    self.unreachable.push(server);
                    if self.unreachable.len() > MAX_UNSENT {
                        return Err(refusal::Refusal::with_retry_after(
                            code::Code::NoBackendServer,
                            DEFAULT_RETRY_AFTER,
                        ));
                    }
                    self.log_retry("not_sent", server);
                    continue;
                }
                attempt::Outcome::Replaced => {
                    self.entry.on_replaced(server);
                    "replaced"
                }
                attempt::Outcome::NotRun => "not_run",
                attempt::Outcome::Unknown if self.req.route.kind.is_retryable() => "unknown",
                attempt::Outcome::Unknown => {
                    return Err(refusal::Refusal::new(code::Code::OutcomeUnknown));
                }
            };
            if !self.try_spend_retry() {
                return Err(match cause {
                    "unknown" => refusal::Refusal::new(code::Code::OutcomeUnknown),
                    _ => refusal::Refusal::with_retry_after(
                        code::Code::RetryBudget,
                        DEFAULT_RETRY_AFTER,
                    ),
                });
            }
            self.log_retry(cause, server);
        }
    }

    // An overloaded process reads a request long after it was sent, and the caller may have closed
    // the connection since. Polling the sockets once cancels such a request before it wastes work.
    async fn check_caller(&self) -> Result<(), refusal::Refusal> {
        if self.entry.overload() > overload::Level::Normal {
            task::yield_now().await;
        }
        let now = self.entry.now();
        if now < self.req.deadline && !self.caller_has_left(now) {
            return Ok(());
        }
        Err(refusal::Refusal::with_retry_after(
            code::Code::DeadlineUnreachable,
            DEFAULT_RETRY_AFTER,
        ))
    }

    // Returns whether the caller of a stream that has not begun has probably given up.
    fn caller_has_left(&self, now: time::Duration) -> bool {
        let elapsed = now.saturating_sub(self.req.received);
        let route = &self.req.route;
        let can_leave = route.kind.is_stream() && !self.may_have_run;
        can_leave && overload::has_caller_left(elapsed, self.entry.overload_lag(), route.objective)
    }

    /// Returns whether the request may be retried, and counts the retry if so. A suspect that was
    /// lost while it ran alone is not retried: it may have crashed that backend server as well,
    /// which is known by the time the caller tries again.
    pub fn try_spend_retry(&self) -> bool {
        let attempts = self.req.route.attempts as usize;
        !self.was_lost_alone.get()
            && self.tried.len() < attempts
            && self.entry.withdraw_retry(self.service)
    }

    /// Records that the connection of an attempt was lost.
    pub fn on_connection_lost(&self, slot: &slot::Slot) {
        self.was_lost_alone
            .set(self.was_lost_alone.get() || slot.alone);
        let loss = quarantine::Loss {
            fingerprint: self.req.fingerprint(),
            parts: self.req.part_fingerprints(),
            ran: self.entry.now().saturating_sub(slot.taken_at),
            alone: slot.alone,
        };
        self.entry.on_connection_lost(slot.server, loss);
    }

    // Reads a response that is not a stream.
    async fn read_complete(&self, mut response: attempt::Response) -> Result<Answer, ()> {
        response.slot.record_first_event();
        let hold = self.entry.memory.empty(memory::Owner::Response);
        let received = body::receive(&mut response.body, MAX_RESPONSE_BYTES, hold).await;
        let complete = match received {
            Ok(body::Received::Complete(complete)) => complete,
            Ok(body::Received::Partial(pieces)) => {
                let passed = passing::pass_on(self.detach(), response, pieces);
                return Ok(Answer::Passing(passed));
            }
            Err(err) => {
                self.on_broken(&response.slot, &err);
                return Err(());
            }
        };
        self.on_received(&response.slot, &response.head, "whole");
        let mut head = response.head;
        if !closes_connection(&head.headers) {
            let server = response.slot.server;
            self.entry.return_connection(server, response.conn);
        }
        strip_connection_headers(&mut head.headers);
        let body = body::full(complete);
        Ok(Answer::Complete(http::Response::from_parts(head, body)))
    }

    /// Records that a response that is not a stream was received completely.
    pub(super) fn on_received(
        &self,
        slot: &slot::Slot,
        head: &http::response::Parts,
        outcome: &str,
    ) {
        let took = self.entry.now().saturating_sub(slot.taken_at);
        if attempt::requested_pause(head.status, &head.headers).is_none() {
            let succeeded = !head.status.is_server_error();
            self.entry.record_result(slot.server, succeeded, took);
        }
        self.log_answered(slot, head.status.as_u16(), outcome);
    }

    /// Records that a response that is not a stream broke off.
    pub(super) fn on_broken(&self, slot: &slot::Slot, error: &dyn fmt::Display) {
        self.entry
            .log
            .line("answer_broken")
            .with("id", self.id())
            .with("backend", self.backend(slot.server))
            .with("fingerprint", self.req.fingerprint())
            .with("error", error);
        self.on_connection_lost(slot);
        self.entry
            .record_result(slot.server, false, time::Duration::ZERO);
    }
}

/// Returns whether the backend server closes the connection after this response.
pub fn closes_connection(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let named = |value: &HeaderValue| {
        let value = value.to_str().unwrap_or("");
        value
            .split(',')
            .any(|v| v.trim().eq_ignore_ascii_case("close"))
    };
    values.iter().any(named)
}

/// Returns whether the response has neither a length nor chunks and ends with its connection.
pub fn ends_with_connection(headers: &http::HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Removes the headers that concern only the connection to the backend server.
pub fn strip_connection_headers(headers: &mut http::HeaderMap) {
    for name in [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "proxy-connection",
        "upgrade",
        "trailer",
    ] {
        headers.remove(name);
    }
}
