//! Answers operators who ask where a request would go now, and why, without sending it.
//!
//! A question passes the same checks and decisions as a request of a caller, by the functions that
//! make them, and changes nothing but the rate of questions. It is answered by what this entry
//! knows: a peer that decides about a backend server is named, but not asked.

pub mod answer;
pub mod fault;
pub mod question;
pub mod rate;

use std::time;

use bytes::Bytes;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::{body, configuration, refusal, serve, state};
use crate::code;
use crate::decide::{memory, place, quarantine, rotation};
use crate::key;

/// Maximum size of a question in bytes, as of a caller's request head.
const MAX_QUESTION_BYTES: u64 = 16 * 1024;

/// Maximum time for receiving a question.
const QUESTION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Retry-After of a question above the rate.
const RATE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Why the answer ends before a backend server is chosen.
enum End {
    Fault(fault::Fault),
    Refused(refusal::Refusal),
}

impl From<fault::Fault> for End {
    fn from(fault: fault::Fault) -> Self {
        Self::Fault(fault)
    }
}

impl From<refusal::Refusal> for End {
    fn from(refusal: refusal::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Answers a question that an operator sent.
pub(super) async fn respond(
    entry: &state::Entry,
    req: http::Request<Incoming>,
) -> http::Response<Full<Bytes>> {
    let answer = match read(entry, req).await {
        Ok(question) => answer(entry, &question),
        Err(fault) => Err(fault),
    };
    let answer = answer.and_then(|answer| {
        let text = serde_json::to_vec(&answer);
        text.map_err(|err| fault::new(code::Code::Internal, err.to_string()))
    });
    match answer {
        Ok(text) => {
            let mut res = http::Response::new(Full::new(text.into()));
            let kind = http::HeaderValue::from_static("application/json");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res
        }
        Err(fault) => respond_fault(&fault),
    }
}

fn respond_fault(fault: &fault::Fault) -> http::Response<Full<Bytes>> {
    let text = format!("{}: {}\n", fault.code, fault.detail);
    let mut res = http::Response::new(Full::new(text.into()));
    let status = http::StatusCode::from_u16(fault.code.row().status);
    *res.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    if fault.code == code::Code::AskedTooOften {
        let after = http::HeaderValue::from(RATE_RETRY_AFTER.as_secs());
        res.headers_mut().insert(header::RETRY_AFTER, after);
    }
    res
}

async fn read(
    entry: &state::Entry,
    req: http::Request<Incoming>,
) -> Result<question::Question, fault::Fault> {
    if req.method() != http::Method::POST {
        return Err(fault::new(code::Code::BadRequest, "POST a question"));
    }
    let mut rate = entry.questions.get();
    let is_allowed = rate.try_take(entry.now());
    entry.questions.set(rate);
    if !is_allowed {
        let text = format!(
            "at most {} questions a second are answered",
            rate::QUESTIONS_PER_S
        );
        return Err(fault::new(code::Code::AskedTooOften, text));
    }
    let (mut incoming, hold) = (req.into_body(), entry.memory.empty(memory::Owner::Response));
    let read = body::read(&mut incoming, MAX_QUESTION_BYTES, hold);
    let bytes = tokio::time::timeout(QUESTION_TIMEOUT, read).await;
    let bytes = bytes.unwrap_or(Err(code::Code::SlowCaller));
    let bytes = bytes.map_err(|code| fault::new(code, code.row().text))?;
    serde_json::from_slice(&bytes).map_err(|err| {
        // The parser's own message may repeat an API key.
        let (line, column) = (err.line(), err.column());
        let text = format!("not a question, at line {line} column {column}");
        fault::new(code::Code::BadRequest, text)
    })
}

/// Answers a question by what this entry knows now.
pub fn answer(
    entry: &state::Entry,
    question: &question::Question,
) -> Result<answer::Answer, fault::Fault> {
    let shape = question::Shape::new(question)?;
    let settings = entry.settings.borrow();
    let mut answer = answer::Answer {
        instance: settings.instance.clone(),
        address: settings.address.to_string(),
        configuration: entry.configuration().map(|c| c.version),
        parts: shape.parts.len(),
        cost: shape.cost,
        ..answer::Answer::default()
    };
    drop(settings);
    match explain(entry, question, &shape, &mut answer) {
        Ok(()) => {}
        Err(End::Fault(fault)) => return Err(fault),
        Err(End::Refused(refusal)) => {
            answer.why = refusal.code.row().text.into();
            answer.verdict = answer::Verdict::refused(refusal.code, refusal.retry_after);
        }
    }
    Ok(answer)
}

// Makes the checks and decisions of a request in their order, and fills the answer in.
fn explain(
    entry: &state::Entry,
    question: &question::Question,
    shape: &question::Shape,
    answer: &mut answer::Answer,
) -> Result<(), End> {
    let now = entry.now();
    let configuration = serve::configuration(entry)?;
    let route = find_route(&configuration, question)?;
    answer.route = Some(route.name.clone());
    let customer = find_customer(&configuration, route, question)?;
    answer.customer = customer.map(|c| c.name.to_string());
    let service = find_service(route, question, answer)?;
    answer.service = Some(service.to_owned());
    let timeout = shape.timeout.unwrap_or(route.timeout).min(route.timeout);
    let objective = entry.objective(route, service);
    answer.deadline_ms = timeout.as_millis() as u64;
    answer.objective_ms = objective.as_millis() as u64;
    serve::check_shutdown(entry, now, now + timeout)?;
    let name = answer.customer.clone().unwrap_or_default();
    // A customer that isn't known here has no service and no demand yet.
    let customer = entry.known_customer(&name).unwrap_or_default();
    check_overload(entry, now, customer, answer)?;
    let job = place::Job {
        // No backend server has a number that isn't assigned.
        service: entry.known_service(service).unwrap_or(u32::MAX),
        customer,
        parts: shape.parts.clone(),
        cost: shape.cost,
        due: place::due_time(now, None, objective),
        objective,
        excluded: SmallVec::new(),
        suspect: check_quarantine(entry, &name, shape, answer)?,
        version: None,
        is_resumable: route.kind == configuration::RouteKind::ResumableStream,
    };
    let leaves = |at| entry.remote_decider(at).is_none() && entry.leaves_to_decider(at);
    let explanation = entry.fleet.borrow().explain(now, &job, leaves);
    answer.served_share = explanation.served_share;
    answer.is_starved = explanation.is_starved;
    answer.left_out = explanation.left_out;
    let candidates = explanation.candidates.iter();
    answer.candidates = candidates
        .map(|c| answer::describe(entry, now, c))
        .collect();
    let steps = explanation.steps.iter();
    answer.offered = steps
        .map(|step| entry.server_id(step.offer.server))
        .collect();
    let Some(last) = explanation.steps.last() else {
        let mut random = *entry.rng.borrow();
        return Err(entry.no_server(job.service, None, &mut random).into());
    };
    answer.verdict = answer::verdict(entry, now, last.offer.server, last.judgement);
    // A request that still waits when its time is over is refused.
    let given_up = answer.deadline_ms;
    answer.verdict.wait_ms = answer.verdict.wait_ms.map(|ms| ms.min(given_up));
    answer.why = answer::why(last);
    answer::note_decider(entry, now, answer);
    Ok(())
}

fn find_route<'a>(
    configuration: &'a configuration::Configuration,
    question: &question::Question,
) -> Result<&'a configuration::Route, End> {
    if let Some(name) = &question.route {
        let text = "no route has this name";
        let route = configuration.route_named(name);
        return Ok(route.ok_or_else(|| fault::new(code::Code::NoSuchRoute, text))?);
    }
    let path = question.path.split('?').next().unwrap_or_default();
    let route = configuration.route(&question.host, path);
    Ok(route.map_err(refusal::Refusal::new)?)
}

fn find_customer<'a>(
    configuration: &'a configuration::Configuration,
    route: &configuration::Route,
    question: &question::Question,
) -> Result<Option<&'a configuration::Customer>, End> {
    let needs_key = configuration.customers.is_some() && !route.is_anonymous;
    if let Some(name) = question.customer.as_deref().filter(|_| needs_key) {
        let text = "no customer has this name";
        let customer = configuration.customer_named(name);
        let customer = customer.ok_or_else(|| fault::new(code::Code::NoSuchCustomer, text))?;
        return Ok(Some(customer));
    }
    let key = question.key.as_deref().unwrap_or("");
    let customer = configuration.customer(route, key);
    Ok(customer.map_err(refusal::Refusal::new)?)
}

// Returns the service that the question names, otherwise the one with the most requests.
fn find_service<'a>(
    route: &'a configuration::Route,
    question: &question::Question,
    answer: &mut answer::Answer,
) -> Result<&'a str, End> {
    let shares = || route.shares.iter().filter(|s| s.weight > 0);
    let chosen = match &question.service {
        None => shares().max_by_key(|s| s.weight).ok_or(serve::NO_SERVICE)?,
        Some(name) => shares().find(|s| *s.service == **name).ok_or_else(|| {
            let text = "the route sends nothing to a service of this name";
            fault::new(code::Code::BadRequest, text)
        })?,
    };
    let all: u64 = shares().map(|s| u64::from(s.weight)).sum();
    if u64::from(chosen.weight) < all {
        let (service, weight) = (&chosen.service, chosen.weight);
        let text = format!("{weight} of {all} requests of the route go to service {service}");
        answer.notes.push(text);
    }
    Ok(&chosen.service)
}

fn check_overload(
    entry: &state::Entry,
    now: time::Duration,
    customer: key::Customer,
    answer: &mut answer::Answer,
) -> Result<(), End> {
    if let Some(reason) = entry.out_of_rotation_reason() {
        let text = format!("the balancer is asked to prefer other instances: {reason}");
        answer.notes.push(text);
    }
    let fleet = entry.fleet.borrow();
    let served = fleet
        .service()
        .without_caching(|| fleet.served_share(now, customer));
    let arrivals = entry.arrivals.borrow();
    answer.served_share = served;
    answer.rejected_share = arrivals.rejected_share(now, customer, entry.overload(), served);
    if answer.rejected_share >= 1.0 {
        let draw = entry.rng.borrow().clone().unit();
        let after = rotation::retry_after(entry.left_ago(), draw);
        return Err(refusal::Refusal::with_retry_after(code::Code::EntryBusy, after).into());
    }
    if answer.rejected_share > 0.0 {
        let percent = answer.rejected_share * 100.0;
        let busy = code::Code::EntryBusy;
        let text = format!("{percent:.0} of 100 such requests are refused now: {busy}");
        answer.notes.push(text);
    }
    Ok(())
}

fn check_quarantine(
    entry: &state::Entry,
    customer: &str,
    shape: &question::Shape,
    answer: &mut answer::Answer,
) -> Result<Option<quarantine::Fingerprint>, End> {
    if shape.content.is_none() && !entry.quarantine.borrow().is_empty() {
        let text =
            "requests are suspect or held here; only a fingerprint shows whether this is one";
        answer.notes.push(text.to_owned());
    }
    let request = shape.content.map(|content| quarantine::Fingerprint {
        customer: xxh3::xxh3_64(customer.as_bytes()),
        content,
    });
    let parts = || {
        let ids = shape.part_ids.iter();
        ids.map(|id| quarantine::Fingerprint::of_part(customer, *id))
            .collect()
    };
    let checked = entry.check_standing(parts, || request);
    Ok(checked.map_err(|hold| hold.refusal)?)
}
