//! `chivebend drain`: drains a process, or evacuates an availability zone.

use std::net;

use crate::client::log;
use crate::cmd;
use crate::cmd::{fleet, publish};
use crate::code;
use crate::control::catalogue::history;
use crate::error;
use crate::ops;
use crate::settings;

/// Drain a process, or evacuate an availability zone.
///
/// A drained process accepts no new work and finishes the requests in progress. It runs until it
/// receives SIGTERM, which also drains it and makes it exit once no request is in progress.
///
/// With --zone, publishes a change of the catalogue in force. From then on no request starts at the
/// backend servers of the availability zone, including those that are added later, until --return
/// reverts the change.
///
/// Requires the fleet's secret in `CHIVEBEND_SECRET`, and the address of the log with --zone.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Name of the instance.
    #[arg(required_unless_present = "zone", conflicts_with = "zone")]
    instance: Option<String>,
    /// Availability zone to evacuate.
    #[arg(long, value_name = "ZONE", requires = "log")]
    zone: Option<String>,
    /// Return the zone to use.
    #[arg(long = "return", requires = "zone")]
    is_return: bool,
    /// Address of the platform's log service, for --zone.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS", value_name = "IP:PORT")]
    log: Option<net::SocketAddr>,
    /// Author of the change, for --zone.
    #[arg(long, env = "USER", value_name = "NAME", default_value = "unknown")]
    author: String,
    #[command(flatten)]
    fleet: fleet::Args,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    match (&args.zone, args.log, &args.instance) {
        (Some(zone), Some(log), _) => evacuate(args, zone, log),
        (_, _, Some(instance)) => drain(args, instance),
        _ => Err(error::Error::coded(
            code::Code::BadSettings,
            "--zone requires --log",
        )),
    }
}

fn evacuate(args: &Args, zone: &str, log: net::SocketAddr) -> error::Result<()> {
    let client = log::open(log);
    let toml = history::load(&client)?.state().toml.clone();
    let toml = set_zone_evacuated(&toml, zone, !args.is_return)?;
    publish::publish_text(&client, toml, &args.author)?;
    let state = if args.is_return {
        "in use again"
    } else {
        "evacuated"
    };
    cmd::print(&format!("{zone} is {state}\n"))
}

/// Returns the text of a catalogue with a zone added to the evacuated zones, or removed from them.
/// The rest of the text is unchanged.
pub fn set_zone_evacuated(toml: &str, zone: &str, is_evacuated: bool) -> error::Result<String> {
    let invalid =
        |err: &toml::de::Error| error::Error::coded(code::Code::CatalogueInvalid, err.message());
    let table: toml::Table = toml::from_str(toml).map_err(|err| invalid(&err))?;
    let evacuated = table.get(ZONES_KEY).and_then(toml::Value::as_array);
    let evacuated = evacuated
        .into_iter()
        .flatten()
        .filter_map(toml::Value::as_str);
    let mut zones: Vec<String> = evacuated
        .filter(|z| *z != zone)
        .map(str::to_owned)
        .collect();
    if is_evacuated {
        zones.push(zone.to_owned());
    }
    let line = (!zones.is_empty()).then(|| format!("{ZONES_KEY} = {}\n", toml::Value::from(zones)));
    Ok(format!(
        "{}{}",
        line.unwrap_or_default(),
        remove_zones(toml)
    ))
}

/// Removes the top-level list of evacuated zones, which may span several lines.
fn remove_zones(toml: &str) -> String {
    let (mut rest, mut is_in_value) = (String::new(), false);
    let mut is_top_level = true;
    for line in toml.split_inclusive('\n') {
        is_top_level &= !line.trim_start().starts_with('[') || is_in_value;
        let key = line.split('=').next().unwrap_or_default().trim();
        is_in_value |= is_top_level && key == ZONES_KEY;
        if is_in_value {
            is_in_value = !line.contains(']');
        } else {
            rest.push_str(line);
        }
    }
    rest
}

/// Catalogue key of the evacuated zones.
const ZONES_KEY: &str = "evacuated_zones";

fn drain(args: &Args, instance: &str) -> error::Result<()> {
    let responses = args.fleet.query::<ops::Status>("/status")?;
    let has_name = |status: &&ops::Status| status.instance == instance;
    let addr = responses
        .items
        .iter()
        .find(has_name)
        .and_then(|status| status.ops_address);
    let Some(addr) = addr else {
        responses.report_failures()?;
        let text = format!("no process is named {instance:?}");
        return Err(error::Error::coded(code::Code::BadSettings, text));
    };
    let secret = settings::Secret::from_environment();
    fleet::agent()
        .post(format!("http://{addr}/drain"))
        .header(ops::SECRET_HEADER, secret.outgoing())
        .send_empty()
        .map_err(|err| drain_error(&err))?;
    cmd::print(&format!("{instance} is leaving\n"))
}

fn drain_error(err: &ureq::Error) -> error::Error {
    match err {
        ureq::Error::StatusCode(403) => {
            error::Error::coded(code::Code::BadSecret, "the process has a different secret")
        }
        err => error::Error::coded(code::Code::Internal, err.to_string()),
    }
}
