//! `chivebend route`: explains where a given request would go now, and why, without sending it.

use std::fmt::Write as _;
use std::net;

use crate::cmd;
use crate::cmd::{fleet, table};
use crate::code;
use crate::direct::route::{answer, question};
use crate::error;

/// Maximum size of an answer in bytes: 64 backend servers with long ids.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Explain where a request would go now, and why, without sending it.
///
/// Each entry answers by what it knows now, and nothing changes. Where another instance decides
/// about the chosen backend server, the answer names it: give its readiness address as well.
#[derive(Clone, clap::Args)]
pub struct Args {
    /// Readiness addresses of entries.
    #[arg(
        long = "instance",
        short,
        required = true,
        value_name = "IP:PORT",
        num_args = 1..
    )]
    instances: Vec<net::SocketAddr>,
    /// Host of the request.
    #[arg(long, required_unless_present = "route", default_value = "")]
    host: String,
    /// Path of the request.
    #[arg(long, required_unless_present = "route", default_value = "")]
    path: String,
    /// Name of its route, instead of host and path.
    #[arg(long, value_name = "NAME", conflicts_with_all = ["host", "path"])]
    route: Option<String>,
    /// Name of its customer.
    #[arg(long, value_name = "NAME")]
    customer: Option<String>,
    /// API key, where no customer is named. Given by the environment, it isn't in the list of
    /// processes.
    #[arg(long, env = "CHIVEBEND_API_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Service, where the route divides its requests among several.
    #[arg(long, value_name = "NAME")]
    service: Option<String>,
    /// Parts of the prompt, as callers send them.
    #[arg(long, value_name = "ID:TOKENS,...", default_value = "")]
    parts: String,
    /// Prompt tokens and maximum number of output tokens.
    #[arg(long, value_name = "IN,OUT", default_value = "")]
    usage: String,
    /// Estimate of the number of output tokens.
    #[arg(long, value_name = "TOKENS")]
    output: Option<u64>,
    /// How long the caller waits.
    #[arg(long, value_name = "MS")]
    deadline: Option<f64>,
    /// Fingerprint of the request, by which it may be held; see `chivebend held`.
    #[arg(long)]
    fingerprint: Option<String>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

impl std::fmt::Debug for Args {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The API key is a secret.
        let mut text = f.debug_struct("Args");
        text.field("instances", &self.instances)
            .finish_non_exhaustive()
    }
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let question = question(args);
    let (mut answers, mut last_error) = (Vec::new(), None);
    for instance in &args.instances {
        match ask(*instance, &question) {
            Ok(answer) => answers.push(answer),
            Err(err) => {
                eprintln!("{instance}: {err}");
                last_error = Some(err);
            }
        }
    }
    if args.json {
        cmd::print_json(&answers)?;
    } else {
        let texts: Vec<_> = answers.iter().map(text).collect();
        cmd::print(&texts.join("\n"))?;
        cmd::print(&comparison(&answers))?;
    }
    last_error.map_or(Ok(()), Err)
}

fn question(args: &Args) -> question::Question {
    let key = args.key.clone().filter(|_| args.customer.is_none());
    question::Question {
        host: args.host.clone(),
        path: args.path.clone(),
        route: args.route.clone(),
        customer: args.customer.clone(),
        key,
        service: args.service.clone(),
        parts: args.parts.clone(),
        usage: args.usage.clone(),
        output: args.output,
        deadline_ms: args.deadline,
        fingerprint: args.fingerprint.clone(),
    }
}

fn ask(instance: net::SocketAddr, question: &question::Question) -> error::Result<answer::Answer> {
    let request = fleet::agent()
        .post(format!("http://{instance}/route"))
        .config()
        .http_status_as_error(false)
        .build();
    let mut response = request.send_json(question).map_err(|err| {
        // An entry that isn't there, not a fault of the question.
        error::Error::coded(code::Code::Unreachable, err.to_string())
    })?;
    let is_answered = response.status().is_success();
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    if is_answered {
        return Ok(body.read_json()?);
    }
    Err(fault(&body.read_to_string()?))
}

// Returns the error that an entry answered with, `NUMBER NAME: DETAIL`.
fn fault(text: &str) -> error::Error {
    let number = text.split(' ').next().and_then(|n| n.parse().ok());
    let code = number.and_then(code::Code::from_number);
    let detail = text.trim().split_once(": ").map_or(text, |(_, rest)| rest);
    // An entry of an earlier release answers the path like a readiness check.
    let detail = if code.is_some() {
        table::printable(detail)
    } else {
        "the entry doesn't answer such questions".to_owned()
    };
    error::Error::coded(code.unwrap_or(code::Code::Unreachable), detail)
}

fn text(answer: &answer::Answer) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: &str| {
        // Writing to a string can't fail.
        let _written = writeln!(text, "{name:<10} {}", table::printable(value));
    };
    let configuration = answer.configuration.map(|v| v.to_string());
    let by = format!(
        "{} ({}), configuration {}",
        answer.instance,
        answer.address,
        configuration.as_deref().unwrap_or("-")
    );
    line("instance", &by);
    line("route", answer.route.as_deref().unwrap_or("-"));
    if let Some(service) = &answer.service {
        line("service", service);
        line("customer", &customer(answer));
        let (parts, cost) = (answer.parts, answer.cost);
        line("prompt", &format!("{parts} parts, cost {cost} tokens"));
        let (objective, deadline) = (answer.objective_ms, answer.deadline_ms);
        line(
            "times",
            &format!("objective {objective} ms, given up after {deadline} ms"),
        );
    }
    line("verdict", &verdict(&answer.verdict));
    line("why", &answer.why);
    if answer.offered.len() > 1 {
        line("offered to", &answer.offered.join(", "));
    }
    for note in &answer.notes {
        line("note", note);
    }
    if !answer.candidates.is_empty() {
        text.push('\n');
        text.push_str(&candidates(&answer.candidates));
    }
    if answer.left_out > 0 {
        let _written = writeln!(text, "{} more backend servers", answer.left_out);
    }
    text
}

fn customer(answer: &answer::Answer) -> String {
    let starved = if answer.is_starved { ", starved" } else { "" };
    let served = answer.served_share * 100.0;
    let name = answer.customer.as_deref().unwrap_or("-");
    format!("{name}, served {served:.0} % of the best served{starved}")
}

fn verdict(verdict: &answer::Verdict) -> String {
    let server = verdict.server.as_deref().unwrap_or("-");
    let by = verdict.decided_by.as_deref().unwrap_or("this instance");
    match (verdict.code, &verdict.name, verdict.wait_ms) {
        (Some(code), Some(name), _) => {
            let after = match verdict.retry_after_ms {
                Some(ms) => format!(", retry after {ms} ms"),
                None => String::new(),
            };
            let at = match &verdict.server {
                Some(server) => format!(" at {server}; {by} decides"),
                None => String::new(),
            };
            format!("refused with {code} {name}{after}{at}")
        }
        (_, _, Some(ms)) => format!("waits for {server}, at most {ms} ms; {by} decides"),
        _ => format!("starts at {server}; {by} decides"),
    }
}

/// Columns of the table of backend servers.
const HEADERS: [&str; 17] = [
    "RANK", "SERVER", "ZONE", "VERSION", "STATE", "DECIDES", "WAIT-MS", "MAX-MS", "AHEAD-MS",
    "UNREAD", "QUEUED", "TO-READ", "FETCH", "RUNNING", "WAITING", "OTHER", "DECISION",
];

fn candidates(candidates: &[answer::Candidate]) -> String {
    let rows: Vec<_> = candidates.iter().map(row).collect();
    table::render(&HEADERS, &rows)
}

fn row(c: &answer::Candidate) -> Vec<String> {
    let dash = |text: Option<&str>| text.unwrap_or("-").to_owned();
    let state = match c.reasons.as_slice() {
        [] => c.state.clone(),
        reasons => format!("{}: {}", c.state, reasons.join(", ")),
    };
    let decides = match (&c.decided_by, c.heard_ms) {
        (Some(peer), Some(age)) => format!("{peer}, heard {age} ms ago"),
        (Some(peer), None) => peer.clone(),
        (None, _) => "here".to_owned(),
    };
    let decision = match (&c.verdict.code, &c.verdict.name, c.verdict.wait_ms) {
        (Some(code), Some(name), _) => format!("{code} {name}"),
        (_, _, Some(ms)) => format!("wait up to {ms} ms"),
        _ => c.verdict.outcome.clone(),
    };
    vec![
        c.rank
            .map_or_else(|| "-".to_owned(), |rank| rank.to_string()),
        c.server.clone(),
        c.zone.clone(),
        dash(c.version.as_deref()),
        state,
        decides,
        c.wait_ms.to_string(),
        c.max_wait_ms.to_string(),
        c.ahead_ms.to_string(),
        c.unread_tokens.to_string(),
        c.queued_tokens.to_string(),
        c.tokens.to_string(),
        dash(c.fetch_from.as_deref()),
        format!("{}/{}", c.in_flight, c.slots),
        c.queued.to_string(),
        other_terms(c),
        decision,
    ]
}

// Returns the terms that only some backend servers have.
fn other_terms(c: &answer::Candidate) -> String {
    let terms = [
        (c.cold_ms > 0).then(|| format!("cold {} ms", c.cold_ms)),
        c.tokens_per_ms.map(|n| format!("reads {n}/ms")),
        c.home_weight.map(|n| format!("weight {n}")),
        c.second_home_ms.map(|n| format!("second home {n} ms")),
    ];
    let terms: Vec<_> = terms.into_iter().flatten().collect();
    if terms.is_empty() {
        "-".to_owned()
    } else {
        terms.join(", ")
    }
}

// Says whether several instances agree.
fn comparison(answers: &[answer::Answer]) -> String {
    let short = |a: &answer::Answer| {
        (
            a.verdict.outcome.clone(),
            a.verdict.server.clone(),
            a.verdict.code,
        )
    };
    match answers {
        [] | [_] => String::new(),
        [first, rest @ ..] if rest.iter().all(|a| short(a) == short(first)) => {
            "\nall instances name the same backend server and outcome\n".to_owned()
        }
        _ => "\nthe answer differs by instance; that of the one that decides holds\n".to_owned(),
    }
}
