//! `chivebend drain`: asks a process to leave.

use crate::cmd;
use crate::cmd::fleet;
use crate::code;
use crate::error;
use crate::ops;
use crate::settings;

/// Asks a process to take no new work and finish what is in progress. It goes on running until it
/// gets SIGTERM, which drains as well and ends it when nothing is in progress.
///
/// Needs the fleet's secret in `CHIVEBEND_SECRET`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Name of the instance.
    instance: String,
    #[command(flatten)]
    fleet: fleet::Args,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let asked = args.fleet.ask::<ops::Status>("/status")?;
    let named = |status: &&ops::Status| status.instance == args.instance;
    let addr = asked
        .answers
        .iter()
        .find(named)
        .and_then(|status| status.ops_address);
    let Some(addr) = addr else {
        asked.report()?;
        let text = format!("no process is named {:?}", args.instance);
        return Err(error::Error::coded(code::Code::BadSettings, text));
    };
    let secret = settings::Secret::from_environment();
    fleet::agent()
        .post(format!("http://{addr}/drain"))
        .header(ops::SECRET_HEADER, secret.sent())
        .send_empty()
        .map_err(|err| refused(&err))?;
    cmd::print(&format!("{} is leaving\n", args.instance))
}

fn refused(err: &ureq::Error) -> error::Error {
    match err {
        ureq::Error::StatusCode(403) => {
            error::Error::coded(code::Code::BadSecret, "the process has another secret")
        }
        err => error::Error::coded(code::Code::Internal, err.to_string()),
    }
}
