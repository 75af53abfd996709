//! `chivebend publish`: publishes a catalogue file.

use std::{env, net, path, process, thread, time};

use crate::client::{instances, log};
use crate::cmd::{check, fleet};
use crate::control::catalogue::history;
use crate::decide::{accept, random};
use crate::{cmd, code, error};

/// Publish a catalogue file and print the outcome.
///
/// accepted: the file is in force as the printed revision (exit code 0). lost the race: another
/// change was accepted on the same base revision; run `chivebend diff`, merge and publish again
/// (1). refused: the change is not valid (1). unknown: the log did not answer; publish again with
/// the printed change id and base, which never applies the change twice (3).
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Catalogue file.
    file: path::PathBuf,
    /// Address of the platform's log service.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS", value_name = "IP:PORT")]
    log: net::SocketAddr,
    /// Revision that the file is based on; the one in force if not given.
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
    /// Unique id of the change; generated if not given.
    #[arg(long, value_name = "NAME")]
    change_id: Option<String>,
    /// Author of the change.
    #[arg(long, env = "USER", value_name = "NAME", default_value = "unknown")]
    author: String,
    /// Maximum time to wait for the log to answer, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    timeout: u64,
    /// Replace the catalogue in force although records of the log were lost unread.
    #[arg(long, conflicts_with = "base")]
    over_gap: bool,
    /// Wait until every live process reports the revision, and show the progress.
    #[arg(long)]
    wait: bool,
    /// Maximum time to wait for the processes, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    wait_limit: u64,
    /// Address of the platform's instance list, for --wait.
    #[arg(long, env = "CHIVEBEND_INSTANCES_ADDRESS", value_name = "IP:PORT")]
    instances: Option<net::SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A change to publish.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the change.
    pub change_id: String,
    /// Revision that the change is based on, or `None` for the one in force.
    pub base: Option<u64>,
    /// True if the change may replace the catalogue in force although records of the log are
    /// missing.
    pub over_gap: bool,
    /// Author of the change.
    pub author: String,
    /// TOML text of the new catalogue.
    pub toml: String,
}

/// Outcome of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The change is in force.
    Accepted {
        /// Revision of the change.
        revision: u64,
    },
    /// The same text is already in force.
    Unchanged {
        /// Revision in force.
        revision: u64,
    },
    /// A revision other than the change's base was in force.
    LostRace {
        /// Revision that was in force.
        to: u64,
        /// Author of that revision, if known.
        author: Option<String>,
    },
    /// The change is not valid.
    Refused {
        /// Reason for the refusal.
        reason: String,
    },
    /// The change may or may not be in force.
    Unknown {
        /// Base to use when publishing the change again.
        base: u64,
        /// Reason why the outcome is unknown.
        reason: String,
    },
}

/// Minimum and maximum delay between two attempts.
const BACKOFF: [time::Duration; 2] = [
    time::Duration::from_millis(200),
    time::Duration::from_secs(5),
];

/// Maximum time to wait for the log to answer in [`publish_text`].
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval between queries of the processes' revisions.
const WAIT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let toml = check::read_valid(&args.file)?;
    let request = Request {
        change_id: args.change_id.clone().unwrap_or_else(change_id),
        base: args.base,
        over_gap: args.over_gap,
        author: args.author.clone(),
        toml,
    };
    let limit = time::Duration::from_secs(args.timeout);
    let outcome = publish(&log::open(args.log), &request, limit)?;
    if args.json {
        cmd::print_json(&outcome)?;
    } else {
        cmd::print(&format_outcome(&request, &outcome))?;
    }
    let revision = accepted_revision(&request, &outcome)?;
    match (args.wait, args.instances) {
        (true, Some(list)) => {
            wait_for_processes(list, revision, time::Duration::from_secs(args.wait_limit))
        }
        (true, None) => Err(error::Error::coded(
            code::Code::BadSettings,
            "--wait requires --instances",
        )),
        (false, _) => Ok(()),
    }
}

/// Publishes a text based on the revision in force. Fails unless the text is in force afterwards.
pub fn publish_text(client: &log::Log, toml: String, author: &str) -> error::Result<u64> {
    let request = Request {
        change_id: change_id(),
        base: None,
        over_gap: false,
        author: author.to_owned(),
        toml,
    };
    let outcome = publish(client, &request, DEFAULT_TIMEOUT)?;
    accepted_revision(&request, &outcome)
}

/// Publishes a change and determines its outcome.
///
/// Fails only if nothing was appended. If the log's answer is lost, the outcome is determined by
/// reading the log. The change is appended again only if the log does not contain it. Since it
/// names its base, it cannot be applied twice.
pub fn publish(
    client: &log::Log,
    request: &Request,
    limit: time::Duration,
) -> error::Result<Outcome> {
    let end = time::Instant::now() + limit;
    let mut reader = history::load(client)?;
    if let Some(outcome) = outcome_without_append(&reader, request)? {
        return Ok(outcome);
    }
    let change = change(&reader, request);
    let base = change.base.unwrap_or_default();
    let body = accept::Record::Change(change).encode();
    let mut backoff = BACKOFF[0];
    let mut random = random::Random::new(u64::from(process::id()) ^ unix_nanos());
    let mut appended = match client.append(log::CATALOGUE_STREAM, &body) {
        Err(err) if err.code() == code::Code::LogUnavailable => return Err(err),
        result => result.is_ok(),
    };
    loop {
        let mut reason = "the log did not answer the append".to_owned();
        match history::catch_up(client, &mut reader) {
            Ok(decisions) => {
                if let Some(outcome) = outcome_of_change(&reader, request, &decisions) {
                    return Ok(outcome);
                }
                // The log does not contain the change: the request was lost, or is still in
                // transit, which is harmless. A change without a base would be applied twice, so it
                // is never appended again.
                if !appended && !request.over_gap {
                    appended = client.append(log::CATALOGUE_STREAM, &body).is_ok();
                }
            }
            Err(err) => reason = err.to_string(),
        }
        if time::Instant::now() >= end {
            return Ok(Outcome::Unknown { base, reason });
        }
        thread::sleep(backoff.mul_f64(0.5 + random.unit() / 2.0));
        backoff = (backoff * 2).min(BACKOFF[1]);
    }
}

/// Returns the outcome of a change if it can be determined without appending anything.
fn outcome_without_append(
    reader: &accept::Reader,
    request: &Request,
) -> error::Result<Option<Outcome>> {
    let state = reader.state();
    if request.over_gap {
        return Ok(None);
    }
    if reader.has_gap() {
        let text = "records of the log are missing and no snapshot covers them yet; try again in \
            half a minute; if no running process has the accepted catalogue, use --over-gap";
        return Err(error::Error::coded(code::Code::LogUnavailable, text));
    }
    if let Some(accepted) = state
        .recent
        .iter()
        .find(|d| d.change_id == request.change_id)
    {
        return Ok(Some(Outcome::Accepted {
            revision: accepted.revision,
        }));
    }
    let base = request.base.unwrap_or(state.revision);
    if base != state.revision {
        let author = Some(state.author.clone());
        return Ok(Some(Outcome::LostRace {
            to: state.revision,
            author,
        }));
    }
    let same = state.revision > 0 && state.toml == request.toml;
    Ok(same.then_some(Outcome::Unchanged {
        revision: state.revision,
    }))
}

fn change(reader: &accept::Reader, request: &Request) -> accept::Change {
    let state = reader.state();
    let (base, patch) = if request.over_gap {
        (None, accept::Patch::complete(&request.toml))
    } else {
        (
            Some(state.revision),
            accept::Patch::between(&state.toml, &request.toml),
        )
    };
    let (change_id, author) = (request.change_id.clone(), request.author.clone());
    accept::Change {
        change_id,
        base,
        author,
        patch,
    }
}

/// Returns the outcome of a change from the decisions on the records read. If the log contains the
/// change several times, the first copy counts.
fn outcome_of_change(
    reader: &accept::Reader,
    request: &Request,
    decisions: &[accept::Decision],
) -> Option<Outcome> {
    let state = reader.state();
    // The reader may have skipped the record by loading a later snapshot.
    if let Some(accepted) = state
        .recent
        .iter()
        .find(|d| d.change_id == request.change_id)
    {
        return Some(Outcome::Accepted {
            revision: accepted.revision,
        });
    }
    let decision = decisions
        .iter()
        .find(|decision| decision.change_id == request.change_id)?;
    match &decision.verdict {
        accept::Verdict::Accepted => Some(Outcome::Accepted {
            revision: decision.offset,
        }),
        accept::Verdict::Duplicate(revision) => Some(Outcome::Accepted {
            revision: *revision,
        }),
        accept::Verdict::LostRace(to) => {
            let author = (*to == state.revision).then(|| state.author.clone());
            Some(Outcome::LostRace { to: *to, author })
        }
        accept::Verdict::Invalid(reason) => Some(Outcome::Refused {
            reason: reason.clone(),
        }),
        _ => None,
    }
}

fn format_outcome(request: &Request, outcome: &Outcome) -> String {
    let id = &request.change_id;
    match outcome {
        Outcome::Accepted { revision } => {
            format!("accepted as revision {revision} (change {id})\n")
        }
        Outcome::Unchanged { revision } => format!("no change: revision {revision} is the same\n"),
        Outcome::LostRace { to, author } => {
            let by = author
                .as_ref()
                .map(|author| format!(" by {author}"))
                .unwrap_or_default();
            format!("lost the race: revision {to}{by} was in force; see chivebend diff\n")
        }
        Outcome::Refused { reason } => format!("refused: {reason}\n"),
        Outcome::Unknown { base, reason } => format!(
            "unknown: {reason}\nto find out: publish the same file with --change-id {id} --base {base}\n"
        ),
    }
}

/// Returns the revision in force, or the error that determines the exit code.
fn accepted_revision(request: &Request, outcome: &Outcome) -> error::Result<u64> {
    let (code, text) = match outcome {
        Outcome::Accepted { revision } | Outcome::Unchanged { revision } => return Ok(*revision),
        Outcome::LostRace { to, .. } => (code::Code::LostRace, format!("to revision {to}")),
        Outcome::Refused { reason } => (code::Code::CatalogueInvalid, reason.clone()),
        Outcome::Unknown { .. } => (code::Code::PublishUnknown, request.change_id.clone()),
    };
    Err(error::Error::coded(code, text))
}

#[derive(serde::Deserialize)]
struct Revision {
    revision: Option<u64>,
}

/// Waits until every live process of the instance list reports the revision or a later one.
fn wait_for_processes(
    list: net::SocketAddr,
    revision: u64,
    limit: time::Duration,
) -> error::Result<()> {
    let client = instances::open(list);
    let end = time::Instant::now() + limit;
    let mut shown = None;
    loop {
        let list = client.list(None)?.unwrap_or_default();
        let live = list
            .instances
            .iter()
            .filter(|row| row.state == instances::State::Live);
        let targets: Vec<_> = live.filter_map(fleet::target).collect();
        let responses = fleet::query::<Revision>(&targets, "/revision");
        let updated = responses
            .items
            .iter()
            .filter(|r| r.revision.is_some_and(|r| r >= revision))
            .count();
        let progress = (updated, targets.len());
        if shown != Some(progress) {
            eprintln!(
                "{updated} of {} processes at revision {revision}",
                targets.len()
            );
            shown = Some(progress);
        }
        if updated == targets.len() {
            return Ok(());
        }
        if time::Instant::now() >= end {
            let text = format!(
                "the change is accepted, but only {updated} of {} processes report its revision",
                targets.len()
            );
            return Err(error::Error::coded(code::Code::Internal, text));
        }
        thread::sleep(WAIT_POLL_INTERVAL);
    }
}

/// Returns a unique change id of host name, process id and time.
fn change_id() -> String {
    let host = env::var("HOSTNAME").unwrap_or_else(|_unset| "host".into());
    format!("{host}-{}-{}", process::id(), unix_nanos())
}

fn unix_nanos() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.unwrap_or_default().as_nanos() as u64
}
