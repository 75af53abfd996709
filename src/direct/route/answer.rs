//! What an operator is told of where a request would go.

use std::time;

use crate::code;
use crate::decide::place;
use crate::direct::{backends, state};
use crate::key;

/// Where a request would go.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Answer {
    /// Name of the instance that answers.
    pub instance: String,
    /// Its address, by which peers name it.
    pub address: String,
    /// Version of its configuration.
    pub configuration: Option<u64>,
    /// Route of the request.
    pub route: Option<String>,
    /// Service of the request.
    pub service: Option<String>,
    /// Customer; `None` if the route needs no API key.
    pub customer: Option<String>,
    /// Recent service of the customer relative to the customer with the most, from 0 to 1.
    pub served_share: f64,
    /// True if the customer is so far below its share that its requests try other homes.
    pub is_starved: bool,
    /// Number of parts of the prompt.
    pub parts: usize,
    /// Cost that the customer would be charged with, in prompt tokens.
    pub cost: u64,
    /// Objective that the request is placed by, in milliseconds.
    pub objective_ms: u64,
    /// Time until it is given up, in milliseconds.
    pub deadline_ms: u64,
    /// Share of such requests that this instance rejects because its processor is overloaded.
    pub rejected_share: f64,
    /// Backend servers of the service, those that may get the request in order of preference.
    pub candidates: Vec<Candidate>,
    /// Number of further backend servers of the service.
    pub left_out: usize,
    /// Ids of the backend servers that it is offered to in turn.
    pub offered: Vec<String>,
    /// What would happen to the request.
    pub verdict: Verdict,
    /// Why.
    pub why: String,
    /// What the answer doesn't cover.
    pub notes: Vec<String>,
}

/// A backend server of the request's service.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct Candidate {
    /// Id.
    pub server: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software, if it is known.
    pub version: Option<String>,
    /// Position in the order of preference, from 1.
    pub rank: Option<u32>,
    /// `ready`, `draining` or `unusable`.
    pub state: String,
    /// Why it isn't ready.
    pub reasons: Vec<String>,
    /// Address of the peer that decides about it; `None` if this instance does.
    pub decided_by: Option<String>,
    /// Age of that peer's last heartbeat in milliseconds.
    pub heard_ms: Option<u64>,
    /// Expected wait in milliseconds.
    pub wait_ms: f64,
    /// Maximum wait in milliseconds.
    pub max_wait_ms: f64,
    /// Time to read the prompts ahead in milliseconds.
    pub ahead_ms: f64,
    /// Prompt tokens sent and not yet read.
    pub unread_tokens: u64,
    /// Prompt tokens of waiting requests.
    pub queued_tokens: u64,
    /// Prompt tokens that it would have to read.
    pub tokens: u64,
    /// Id of the engine that it would fetch parts of the prompt from.
    pub fetch_from: Option<String>,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Remaining time for which it is cold in milliseconds.
    pub cold_ms: u64,
    /// Learned reading speed in tokens per millisecond, if it is used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_ms: Option<f64>,
    /// Weight among the homes, if it is used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub home_weight: Option<f64>,
    /// Cost as a second home in milliseconds, if it is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub second_home_ms: Option<f64>,
    /// What would be decided about the request there.
    pub verdict: Verdict,
}

/// What would happen to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Verdict {
    /// `start`, `wait` or `refuse`.
    pub outcome: String,
    /// Id of the backend server that it starts at, waits for or is refused at last by.
    pub server: Option<String>,
    /// Address of the peer that decides; `None` if this instance does.
    pub decided_by: Option<String>,
    /// Maximum time that it waits in milliseconds.
    pub wait_ms: Option<u64>,
    /// Number of the code that it is refused with.
    pub code: Option<u16>,
    /// Name of the code.
    pub name: Option<String>,
    /// Retry-After in milliseconds.
    pub retry_after_ms: Option<u64>,
}

pub(super) fn describe(
    entry: &state::Entry,
    now: time::Duration,
    candidate: &place::Candidate,
) -> Candidate {
    let at = candidate.server;
    let backends = entry.backends.borrow();
    let backend = backends.get(at);
    let health = entry.health.borrow();
    let reasons = backend.map(|b| entry.limits_on_use(now, &health, at, b));
    let decider = entry.remote_decider(at);
    let heard = decider.and_then(|peer| entry.peers.borrow().heartbeat_age(now, peer));
    let (estimate, terms) = (&candidate.estimate, &candidate.terms);
    Candidate {
        server: entry.server_id(at),
        zone: backend.map(|b| b.server.zone.clone()).unwrap_or_default(),
        version: backend.and_then(|b| b.server.version.clone()),
        rank: candidate.rank,
        state: state_name(candidate.state).to_owned(),
        reasons: reasons
            .iter()
            .flatten()
            .map(backends::Reason::to_string)
            .collect(),
        decided_by: decider.map(|peer| peer.to_string()),
        heard_ms: heard.map(|age| age.as_millis() as u64),
        wait_ms: tenths(estimate.wait_ms),
        max_wait_ms: tenths(estimate.max_wait_ms),
        ahead_ms: tenths(estimate.ahead_ms),
        unread_tokens: candidate.unread_tokens as u64,
        queued_tokens: candidate.queued_tokens as u64,
        tokens: estimate.tokens as u64,
        fetch_from: candidate.fetch_source.map(|source| entry.server_id(source)),
        in_flight: estimate.in_flight,
        slots: candidate.slots,
        queued: estimate.queued,
        cold_ms: candidate.cold.as_millis() as u64,
        tokens_per_ms: terms.tokens_per_ms.map(tenths),
        home_weight: terms.home_weight,
        second_home_ms: terms.second_home_ms.map(tenths),
        verdict: verdict(entry, now, at, candidate.judgement),
    }
}

fn state_name(state: place::State) -> &'static str {
    match state {
        place::State::Ready => "ready",
        place::State::Draining => "draining",
        place::State::Unusable => "unusable",
    }
}

fn tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

pub(super) fn verdict(
    entry: &state::Entry,
    now: time::Duration,
    at: key::Sidecar,
    judgement: place::Judgement,
) -> Verdict {
    let verdict = match judgement {
        place::Judgement::Start => Verdict {
            outcome: "start".into(),
            ..Verdict::default()
        },
        place::Judgement::Wait(until) => Verdict {
            outcome: "wait".into(),
            wait_ms: Some(until.saturating_sub(now).as_millis() as u64),
            ..Verdict::default()
        },
        place::Judgement::Refuse(code, after) => Verdict::refused(code, Some(after)),
    };
    Verdict {
        server: Some(entry.server_id(at)),
        decided_by: entry.remote_decider(at).map(|peer| peer.to_string()),
        ..verdict
    }
}

impl Verdict {
    pub(super) fn refused(code: code::Code, retry_after: Option<time::Duration>) -> Self {
        Self {
            outcome: "refuse".into(),
            code: Some(code.number()),
            name: Some(code.row().name.to_owned()),
            retry_after_ms: retry_after.map(|after| after.as_millis() as u64),
            ..Self::default()
        }
    }
}

pub(super) fn why(step: &place::Step) -> String {
    let place::Estimate {
        wait_ms,
        max_wait_ms,
        ahead_ms,
        in_flight,
        queued,
        ..
    } = step.estimate;
    match step.judgement {
        place::Judgement::Start => format!(
            "there is room: {ahead_ms:.0} ms of prompts ahead, {in_flight} in progress, {queued} waiting"
        ),
        place::Judgement::Wait(_) => format!(
            "no room yet: {ahead_ms:.0} ms of prompts ahead, {in_flight} in progress, {queued} waiting; \
             the expected wait of {wait_ms:.0} ms is within {max_wait_ms:.0} ms"
        ),
        place::Judgement::Refuse(code::Code::DeadlineUnreachable, _) if wait_ms > max_wait_ms => {
            format!("the expected wait of {wait_ms:.0} ms is over {max_wait_ms:.0} ms")
        }
        place::Judgement::Refuse(code, _) => code.row().text.to_owned(),
    }
}

// Says that the answer may differ by instance, if a peer decides.
pub(super) fn note_decider(entry: &state::Entry, now: time::Duration, answer: &mut Answer) {
    let Some(peer) = &answer.verdict.decided_by else {
        return;
    };
    let address = peer.parse().ok();
    let heard = address.and_then(|a| entry.peers.borrow().heartbeat_age(now, a));
    let age = heard.map_or(0, |age| age.as_millis());
    let server = answer.verdict.server.as_deref().unwrap_or_default();
    let text = format!(
        "the answer may differ by instance: {peer} decides about {server}; here only the load in its \
         heartbeat is known, {age} ms old, not its queue and which parts are cached: ask the \
         instance {peer}"
    );
    answer.notes.push(text);
}
