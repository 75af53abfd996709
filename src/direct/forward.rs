//! A request's attempts: placed, sent, and sent again where that is allowed.

use std::{rc, time};

use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;

use super::peer::{ask, message};
use super::{answer, body, conn, plan, refusal, request, state};
use crate::code;
use crate::decide::place;
use crate::key;

/// Most bytes of an answer that is not a stream: it is read whole before it is passed on, so that
/// a broken one can still be asked for again or told apart.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Attempts that never left the process, because a connection was refused or closed, for one
/// request: each is at another backend server or on a new connection.
const UNSENT: usize = 4;

/// Time to come back when a backend server was full against expectation.
const FULL: time::Duration = time::Duration::from_millis(500);

/// A place at a backend server; it is given back when dropped.
#[derive(Debug)]
pub struct Slot {
    entry: rc::Rc<state::Entry>,
    place: Place,
    served: bool,
    /// The backend server.
    pub server: key::Sidecar,
    /// When it was taken.
    pub since: time::Duration,
    /// Milliseconds of prompts that stood before it.
    pub ahead_ms: f64,
    /// Prompt tokens that the backend server is believed to read.
    pub tokens: f64,
    /// Time until the first event, once it has come.
    pub first: Option<time::Duration>,
}

/// Who granted a place.
#[derive(Debug)]
enum Place {
    /// This process.
    Here(place::Placed),
    /// Another entry.
    There(ask::Grant),
    /// It was given back.
    Nowhere,
}

impl Slot {
    fn here(entry: rc::Rc<state::Entry>, placed: place::Placed) -> Self {
        Self {
            server: placed.server,
            since: entry.now(),
            ahead_ms: placed.ahead_ms,
            tokens: placed.tokens,
            first: None,
            entry,
            place: Place::Here(placed),
            served: false,
        }
    }

    fn there(entry: rc::Rc<state::Entry>, grant: ask::Grant) -> Self {
        Self {
            server: grant.server,
            since: entry.now(),
            ahead_ms: grant.ahead_ms,
            tokens: grant.tokens,
            first: None,
            entry,
            place: Place::There(grant),
            served: false,
        }
    }

    /// The first event came.
    pub fn began(&mut self) {
        let now = self.entry.now();
        self.served = true;
        self.first = Some(now.saturating_sub(self.since));
        match &mut self.place {
            Place::Here(placed) => {
                self.entry.fleet.borrow_mut().began(now, placed);
                self.entry.pump(self.server);
            }
            Place::There(grant) => {
                ask::note(&self.entry, grant.owner, grant.number, message::Step::Began);
            }
            Place::Nowhere => {}
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.place, Place::Nowhere) {
            Place::Here(placed) => {
                let now = self.entry.now();
                let mut fleet = self.entry.fleet.borrow_mut();
                fleet.ended(now, placed, self.served);
                drop(fleet);
                self.entry.pump(self.server);
            }
            Place::There(grant) => {
                let step = if self.served {
                    message::Step::Ended
                } else {
                    message::Step::Dropped
                };
                ask::note(&self.entry, grant.owner, grant.number, step);
            }
            Place::Nowhere => {}
        }
    }
}

/// A request on its way through its attempts.
#[derive(Debug)]
pub struct Run {
    /// The entry.
    pub entry: rc::Rc<state::Entry>,
    /// The request.
    pub req: rc::Rc<request::Request>,
    /// Backend servers that had it.
    pub tried: SmallVec<[key::Sidecar; 2]>,
    /// Time it waited here.
    pub waited: time::Duration,
    // Backend servers that could not be reached.
    missed: SmallVec<[key::Sidecar; 2]>,
    // Whether an attempt may have run, so that nothing may say that it has not.
    ran: bool,
    service: u32,
}

/// An answer's head, and what is needed to read on.
#[derive(Debug)]
pub struct Begun {
    /// The head.
    pub head: http::response::Parts,
    /// The rest.
    pub rest: Incoming,
    /// The connection.
    pub conn: conn::Conn,
    /// The place.
    pub slot: Slot,
}

/// What became of an attempt.
#[derive(Debug)]
enum Outcome {
    /// The backend server answers.
    Begun(Box<Begun>),
    /// It did not run, and the backend server said so.
    NotRun,
    /// Another instance has the address.
    Replaced,
    /// Not a byte was sent.
    NotSent,
    /// It may have run.
    Unknown,
}

/// Serves a request to its final answer.
pub async fn run(entry: rc::Rc<state::Entry>, req: request::Request) -> http::Response<body::Body> {
    let service = entry.service(&req.service);
    entry.earn_repeat(service);
    let until = tokio::time::Instant::from_std(entry.started + req.deadline);
    let mut run = Run {
        entry,
        req: rc::Rc::new(req),
        tried: SmallVec::new(),
        waited: time::Duration::ZERO,
        missed: SmallVec::new(),
        ran: false,
        service,
    };
    let result = tokio::time::timeout_at(until, run.answer()).await;
    let refusal = match result {
        Ok(Ok(response)) => return response,
        Ok(Err(refusal)) => run.honest(refusal),
        Err(_elapsed) if run.ran => refusal::Refusal::new(code::Code::BackendSilent),
        Err(_elapsed) => refusal::Refusal::later(code::Code::DeadlineUnreachable, FULL),
    };
    run.tell(refusal);
    refusal.response(Some(&run.req.head.id), &run.entry.dialect)
}

impl Run {
    async fn answer(&mut self) -> Result<http::Response<body::Body>, refusal::Refusal> {
        let repeatable = self.req.route.kind.repeatable();
        // A backend server's own failure, given to the caller if no other attempt comes of it.
        let mut failed = None;
        loop {
            let begun = match (self.begin(None).await, failed.take()) {
                (Ok(begun), _) => begun,
                (Err(_refused), Some(response)) => return Ok(response),
                (Err(refusal), None) => return Err(refusal),
            };
            let status = begun.head.status;
            if self.req.route.kind.streams() && status.is_success() {
                return Ok(answer::stream(self.take(), begun));
            }
            let server = begun.slot.server;
            match self.whole(begun).await {
                Ok(response) if status.is_server_error() && repeatable && self.may_repeat() => {
                    self.again("failed", server);
                    failed = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(()) if repeatable && self.may_repeat() => self.again("broken", server),
                Err(()) => return Err(refusal::Refusal::new(code::Code::AnswerBroken)),
            }
        }
    }

    /// A refusal that says no more than is known: once an attempt may have run, none says that the
    /// request has not.
    pub fn honest(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if self.ran && refusal.code.row().ran == code::Ran::No {
            return refusal::Refusal::new(code::Code::OutcomeUnknown);
        }
        refusal
    }

    fn take(&mut self) -> Self {
        Self {
            entry: rc::Rc::clone(&self.entry),
            req: rc::Rc::clone(&self.req),
            tried: self.tried.clone(),
            waited: self.waited,
            missed: self.missed.clone(),
            ran: self.ran,
            service: self.service,
        }
    }

    /// Places and sends the request until a backend server answers or it is given up.
    pub async fn begin(&mut self, after: Option<&str>) -> Result<Begun, refusal::Refusal> {
        loop {
            let slot = self.place().await?;
            self.check_plan()?;
            let server = slot.server;
            let cause = match self.attempt(slot, after).await {
                Outcome::Begun(begun) => return Ok(*begun),
                Outcome::NotSent => {
                    self.missed.push(server);
                    if self.missed.len() > UNSENT {
                        return Err(refusal::Refusal::later(code::Code::NoBackendServer, FULL));
                    }
                    self.again("not_sent", server);
                    continue;
                }
                Outcome::Replaced => {
                    self.entry.replaced(server);
                    "replaced"
                }
                Outcome::NotRun => "not_run",
                Outcome::Unknown if self.req.route.kind.repeatable() => "unknown",
                Outcome::Unknown => {
                    return Err(refusal::Refusal::new(code::Code::OutcomeUnknown));
                }
            };
            if !self.may_repeat() {
                return Err(match cause {
                    "unknown" => refusal::Refusal::new(code::Code::OutcomeUnknown),
                    _ => refusal::Refusal::later(code::Code::RetryBudget, FULL),
                });
            }
            self.again(cause, server);
        }
    }

    /// Whether the request may be sent once more; counts it if so.
    pub fn may_repeat(&self) -> bool {
        self.tried.len() < self.req.route.attempts as usize && self.entry.take_repeat(self.service)
    }

    fn again(&self, cause: &str, server: key::Sidecar) {
        self.entry.meter.count("repeats", cause);
        self.entry
            .log
            .line("again")
            .with("id", self.id())
            .with("cause", cause)
            .with("backend", self.backend(server))
            .with("attempts", self.tried.len());
    }

    fn id(&self) -> &str {
        self.req.head.id.to_str().unwrap_or("?")
    }

    /// Id of a backend server, for logs.
    pub fn backend(&self, server: key::Sidecar) -> String {
        let backends = self.entry.backends.borrow();
        backends
            .get(server)
            .map_or_else(String::new, |b| b.server.id.clone())
    }

    // The configuration may have changed while the request waited.
    fn check_plan(&self) -> Result<(), refusal::Refusal> {
        let Some(plan) = self.entry.plan() else {
            return Err(refusal::Refusal::later(code::Code::NoCatalogue, FULL));
        };
        let head = &self.req.head;
        let route = plan.route(&head.host, head.target.path());
        let route = route.map_err(refusal::Refusal::new)?;
        let customer = plan.customer(route, &head.key);
        customer.map_err(refusal::Refusal::new)?;
        let served = |share: &plan::Share| share.service == self.req.service && share.weight > 0;
        if route.shares.iter().any(served) {
            return Ok(());
        }
        Err(refusal::Refusal::later(code::Code::NoBackendServer, FULL))
    }

    async fn place(&mut self) -> Result<Slot, refusal::Refusal> {
        let entry = rc::Rc::clone(&self.entry);
        let job = self.job();
        let begun = entry.now();
        let slot = loop {
            let chosen = entry.fleet.borrow_mut().choose(&job);
            let Some((server, engine)) = chosen else {
                return Err(refusal::Refusal::later(code::Code::NoBackendServer, FULL));
            };
            if engine && let Some(owner) = entry.owner(server) {
                match ask::ask(&entry, owner, server, &self.req, &job).await {
                    ask::Outcome::Granted(grant) => {
                        break Slot::there(rc::Rc::clone(&entry), grant);
                    }
                    ask::Outcome::Refused(refusal) => return Err(refusal),
                    ask::Outcome::Undecided => {}
                }
            }
            if let Some(placed) = self.place_here(&job, server).await? {
                break Slot::here(rc::Rc::clone(&entry), placed);
            }
        };
        self.waited += entry.now().saturating_sub(begun);
        Ok(slot)
    }

    // `None` says that the request is to be placed anew.
    async fn place_here(
        &self,
        job: &place::Job,
        server: key::Sidecar,
    ) -> Result<Option<place::Placed>, refusal::Refusal> {
        let entry = &self.entry;
        let number = entry.number();
        let now = entry.now();
        let verdict = entry.fleet.borrow_mut().place_at(now, number, job, server);
        match verdict {
            place::Verdict::Go(placed) => Ok(Some(placed)),
            place::Verdict::Wait(ticket, until) => self.wait(number, ticket, until).await,
            // The list has changed since it was chosen.
            place::Verdict::Refuse(code::Code::NoBackendServer, _) => Ok(None),
            place::Verdict::Refuse(code, after) => Err(refusal::Refusal::later(code, after)),
        }
    }

    async fn wait(
        &self,
        number: u64,
        ticket: place::Ticket,
        until: time::Duration,
    ) -> Result<Option<place::Placed>, refusal::Refusal> {
        let entry = &self.entry;
        let mut turn = Turn {
            entry,
            number,
            ticket,
            heard: entry.wait(number),
        };
        let until = tokio::time::Instant::from_std(entry.started + until);
        match tokio::time::timeout_at(until, &mut turn.heard).await {
            Ok(Ok(placed)) => Ok(placed),
            Ok(Err(_)) => Err(refusal::Refusal::new(code::Code::Internal)),
            Err(_elapsed) => Err(refusal::Refusal::later(
                code::Code::DeadlineUnreachable,
                state::COME_BACK,
            )),
        }
    }

    fn job(&self) -> place::Job {
        let req = &self.req;
        let customer = req.customer.as_deref().unwrap_or("");
        // All requests of a service wait as long as the shortest objective allows. Else those with long
        // objectives are let in where those with short ones are refused: 26 in 100 of the feedstock
        // logs' most urgent kind were, against 6 of the least urgent one; with it 20 against 10.
        let plan = self.entry.plan();
        let shortest = plan.and_then(|plan| plan.shortest_objective(&req.service));
        let objective = shortest.map_or(req.route.objective, |s| s.min(req.route.objective));
        let mut due = req.received + objective;
        if self.ran {
            // It is late already, and its caller still waits: a broken stream for its next event.
            due = due.max(self.entry.now() + objective);
        }
        place::Job {
            service: self.service,
            customer: self.entry.customer(customer),
            parts: req.head.parts.clone(),
            cost: req.head.cost,
            due,
            objective,
            avoid: self.tried.iter().chain(&self.missed).copied().collect(),
        }
    }

    async fn attempt(&mut self, slot: Slot, after: Option<&str>) -> Outcome {
        let once = !self.req.route.kind.repeatable();
        let entry = rc::Rc::clone(&self.entry);
        let server = slot.server;
        loop {
            let (mut conn, reused) = match entry.connect(server, once).await {
                Ok(conn) => conn,
                Err(err) => {
                    entry
                        .log
                        .line("connect_failed")
                        .with("backend", self.backend(server))
                        .with("error", err);
                    entry.judge_result(server, false, time::Duration::ZERO);
                    return Outcome::NotSent;
                }
            };
            if !conn.ready().await {
                if reused {
                    continue;
                }
                return Outcome::NotSent;
            }
            let Some(req) = self.outgoing(server, after) else {
                return Outcome::NotSent;
            };
            if !self.tried.contains(&server) {
                self.tried.push(server);
            }
            let before = std::mem::replace(&mut self.ran, true);
            match conn.send(req).await {
                Ok(response) => {
                    let outcome = self.judge(response, conn, slot);
                    if matches!(outcome, Outcome::NotRun | Outcome::Replaced) {
                        self.ran = before;
                    }
                    return outcome;
                }
                Err(conn::Failure::NotSent(_)) if reused => {
                    self.ran = before;
                    self.tried.retain(|s| *s != server);
                }
                Err(conn::Failure::NotSent(err)) => {
                    self.ran = before;
                    self.tried.retain(|s| *s != server);
                    entry
                        .log
                        .line("not_sent")
                        .with("id", self.id())
                        .with("error", err);
                    return Outcome::NotSent;
                }
                Err(conn::Failure::Lost(err)) => {
                    entry
                        .log
                        .line("answer_lost")
                        .with("id", self.id())
                        .with("backend", self.backend(server))
                        .with("reused", reused)
                        .with("error", err);
                    entry.judge_result(server, false, time::Duration::ZERO);
                    return Outcome::Unknown;
                }
            }
        }
    }

    fn outgoing(
        &self,
        server: key::Sidecar,
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
        let id = &backends.get(server)?.server.id;
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
        if let Some(after) = after {
            headers.insert(&names.last_event, HeaderValue::from_str(after).ok()?);
        }
        if head.headers.get(header::HOST).is_none() {
            headers.insert(header::HOST, HeaderValue::from_str(&head.host).ok()?);
        }
        Some(req)
    }

    fn judge(
        &self,
        response: http::Response<Incoming>,
        mut conn: conn::Conn,
        slot: Slot,
    ) -> Outcome {
        let names = &self.entry.dialect;
        let (head, rest) = response.into_parts();
        conn.keep = keep_time(&head.headers);
        let ours = head.headers.get(&names.request_id) == Some(&self.req.head.id);
        let not_run = head.headers.contains_key(&names.not_run);
        let stamped = head.headers.contains_key(&names.signature);
        let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
        let status = head.status;
        let spoilt = !ours || encoded || (status.is_success() && !stamped);
        if !spoilt && !not_run && status != http::StatusCode::MISDIRECTED_REQUEST {
            return Outcome::Begun(Box::new(Begun {
                head,
                rest,
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
            .with("ours", ours)
            .with("not_run", not_run)
            .with("signed", stamped);
        if ours && status == http::StatusCode::MISDIRECTED_REQUEST {
            let instance = head.headers.get(&names.instance);
            let expected = self.backend(slot.server);
            let other = instance.is_some_and(|i| i.as_bytes() != expected.as_bytes());
            return if other {
                Outcome::Replaced
            } else {
                Outcome::NotRun
            };
        }
        if ours && not_run {
            return Outcome::NotRun;
        }
        self.entry
            .judge_result(slot.server, false, time::Duration::ZERO);
        Outcome::Unknown
    }

    // Reads a whole answer that is not a stream.
    async fn whole(&self, begun: Begun) -> Result<http::Response<body::Body>, ()> {
        let Begun {
            mut head,
            rest,
            conn,
            mut slot,
        } = begun;
        slot.began();
        let read = Limited::new(rest, ANSWER_BYTES).collect().await;
        let whole = match read {
            Ok(whole) => whole.to_bytes(),
            Err(err) => {
                self.entry
                    .log
                    .line("answer_broken")
                    .with("id", self.id())
                    .with("backend", self.backend(slot.server))
                    .with("error", err);
                self.entry
                    .judge_result(slot.server, false, time::Duration::ZERO);
                return Err(());
            }
        };
        let took = self.entry.now().saturating_sub(slot.since);
        let well = !head.status.is_server_error();
        self.entry.judge_result(slot.server, well, took);
        self.done(&slot, head.status.as_u16(), "whole");
        if !closes(&head.headers) {
            self.entry.keep(slot.server, conn);
        }
        strip(&mut head.headers);
        Ok(http::Response::from_parts(head, body::whole(whole)))
    }

    /// Logs and counts a request that was answered.
    pub fn done(&self, slot: &Slot, status: u16, outcome: &str) {
        let now = self.entry.now();
        let took = now.saturating_sub(self.req.received);
        self.entry.meter.count("answers", outcome);
        self.entry.meter.time("answer", took);
        self.entry.meter.time("waited", self.waited);
        self.entry
            .log
            .line("answered")
            .with("id", self.id())
            .with("route", &self.req.route.name)
            .with("customer", self.req.customer.as_deref().unwrap_or("-"))
            .with("backend", self.backend(slot.server))
            .with("status", status)
            .with("outcome", outcome)
            .with("attempts", self.tried.len())
            .ms("waited_ms", self.waited)
            .with("ahead_ms", slot.ahead_ms as u64)
            .with("tokens", slot.tokens as u64)
            .ms("first_ms", slot.first.unwrap_or_default())
            .ms("took_ms", took);
    }

    /// Logs and counts a request that ends with an answer of the entry's own.
    pub fn tell(&self, refusal: refusal::Refusal) {
        let entry = &self.entry;
        let row = refusal.code.row();
        entry.meter.count("refusals", row.name);
        let now = entry.now();
        entry
            .log
            .line("refused")
            .with("id", self.id())
            .with("route", &self.req.route.name)
            .with("customer", self.req.customer.as_deref().unwrap_or("-"))
            .with("code", refusal.code)
            .with("ran", row.ran)
            .with("attempts", self.tried.len())
            .with("configuration", entry.plan().map_or(0, |p| p.version))
            .ms("after_ms", refusal.after.unwrap_or_default())
            .ms("held_ms", now.saturating_sub(self.req.received));
    }
}

// A waiting request; it leaves the queue when dropped.
struct Turn<'a> {
    entry: &'a state::Entry,
    number: u64,
    ticket: place::Ticket,
    heard: tokio::sync::oneshot::Receiver<Option<place::Placed>>,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.entry.stop_waiting(self.number, self.ticket);
        // A place that was handed over in this very moment goes back.
        if let Ok(Some(placed)) = self.heard.try_recv() {
            let server = placed.server;
            let now = self.entry.now();
            self.entry.fleet.borrow_mut().ended(now, placed, false);
            self.entry.pump(server);
        }
    }
}

// How long the backend server keeps the connection open; `None` if it doesn't say.
fn keep_time(headers: &http::HeaderMap) -> Option<time::Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(time::Duration::from_secs)
}

/// Whether the backend server closes the connection after this answer.
pub fn closes(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let named = |value: &HeaderValue| {
        let value = value.to_str().unwrap_or("");
        value
            .split(',')
            .any(|v| v.trim().eq_ignore_ascii_case("close"))
    };
    values.iter().any(named)
}

/// Drops the headers that concern the connection to the backend server only.
pub fn strip(headers: &mut http::HeaderMap) {
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
