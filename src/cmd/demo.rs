//! `chivebend demo`: runs a complete fleet with its platform in one process.

use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::client::log as client_log;
use crate::cmd;
use crate::cmd::fleet;
use crate::cmd::publish;
use crate::code;
use crate::entry;
use crate::error;
use crate::logging;
use crate::ops;
use crate::process;
use crate::settings;
use crate::sidecar;
use crate::standin;

/// Catalogue that the demo publishes.
const CATALOGUE: &str = include_str!("../../catalogues/demo.toml");

/// Maximum time until every process has the catalogue and its connections. Normally this takes
/// about a second.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Interval between readiness checks.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum time that a shutdown waits for requests in progress, in milliseconds.
const SHUTDOWN_LIMIT_MS: u64 = 10_000;

/// Maximum time that publishing the catalogue may take.
const PUBLISH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Run a complete fleet with its platform in this process.
///
/// Starts two entries, two model engines and a plain service with their sidecars, and the
/// platform's log and instance list, all on free loopback ports. Prints example requests. After
/// Ctrl-C the demo finishes the requests in progress and exits.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Address of the first entry for callers; port 0 selects a free port.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    caller_address: net::SocketAddr,
    /// Time between tokens, in milliseconds.
    #[arg(long, value_name = "MILLISECONDS", default_value_t = 40)]
    token_ms: u64,
    /// Most verbose log level written to standard error.
    #[arg(
        long,
        env = "CHIVEBEND_LOG_LEVEL",
        value_name = "LEVEL",
        default_value = "warn"
    )]
    log_level: log::LevelFilter,
}

/// All processes of the demo.
struct Demo {
    entries: Vec<entry::Handle>,
    sidecars: Vec<sidecar::Handle>,
    backends: Backends,
    platform: Platform,
}

struct Platform {
    log: standin::log::Handle,
    instances: standin::instances::Handle,
}

struct Backends {
    engines: Vec<standin::engine::Handle>,
    service: standin::service::Handle,
    _runtime: process::Runtime,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    logging::init(args.log_level)?;
    let demo = spawn(args)?;
    demo.wait_ready()?;
    cmd::print(&demo.help())?;
    if process::run_until_signal(move || demo.shutdown())? {
        return Ok(());
    }
    let text = "the shutdown aborted requests in progress";
    Err(error::Error::coded(code::Code::Leaving, text))
}

fn loopback() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

fn spawn(args: &Args) -> error::Result<Demo> {
    let platform = Platform {
        log: standin::log::spawn(loopback(), standin::log::Faults::default())?,
        instances: standin::instances::spawn(loopback(), standin::instances::Faults::default())?,
    };
    let request = publish::Request {
        change_id: "demo".into(),
        base: None,
        over_gap: false,
        author: "demo".into(),
        toml: CATALOGUE.into(),
    };
    publish::publish(
        &client_log::open(platform.log.addr),
        &request,
        PUBLISH_TIMEOUT,
    )?;
    let backends = spawn_backends(args)?;
    // A random secret, so that no other process on this machine can join the demo.
    let secret = settings::Secret::from_text(&uhlc::ID::rand().to_string());
    let settings = |id: &str, zone: &str| settings::Process {
        secret: secret.clone(),
        log_level: args.log_level,
        ..settings::Process::local(id, zone, platform.log.addr, platform.instances.addr)
    };
    let engine = |index: usize| backends.engines[index].address;
    let sidecars = [
        ("sidecar-1", "zone-a", "assistant", engine(0)),
        ("sidecar-2", "zone-b", "assistant", engine(1)),
        (
            "sidecar-3",
            "zone-b",
            "load-entries",
            backends.service.address,
        ),
    ];
    let sidecars = sidecars.into_iter().map(|(id, zone, service, backend)| {
        let mut sidecar_settings = settings::Sidecar::local(settings(id, zone), service, backend);
        sidecar_settings.shutdown_limit_ms = SHUTDOWN_LIMIT_MS;
        // No sidecar ran before, since the platform is new, and its instance list does not lag.
        sidecar_settings.first_start = true;
        sidecar_settings.list_lag_ms = 1;
        sidecar::spawn(&sidecar_settings)
    });
    let sidecars = sidecars.collect::<error::Result<_>>()?;
    let entries = [
        ("entry-1", "zone-a", args.caller_address),
        ("entry-2", "zone-b", loopback()),
    ];
    let entries = entries.into_iter().map(|(id, zone, callers)| {
        let mut entry_settings = settings::Entry::local(settings(id, zone));
        entry_settings.caller_address = callers;
        entry_settings.shutdown_limit_ms = SHUTDOWN_LIMIT_MS;
        entry::spawn(&entry_settings)
    });
    let entries = entries.collect::<error::Result<_>>()?;
    Ok(Demo {
        entries,
        sidecars,
        backends,
        platform,
    })
}

fn spawn_backends(args: &Args) -> error::Result<Backends> {
    let runtime = process::Runtime::open("backends")?;
    let engine = || {
        let settings = standin::engine::Settings {
            address: loopback(),
            slots: 4,
            token_ms: args.token_ms,
            models: vec!["demo".into()],
        };
        runtime.handle().block_on(standin::engine::spawn(settings))
    };
    let service = standin::service::Settings {
        address: loopback(),
        work_ms: 5,
    };
    let service = standin::service::spawn(service, sync::Arc::default());
    Ok(Backends {
        engines: vec![engine()?, engine()?],
        service: runtime.handle().block_on(service)?,
        _runtime: runtime,
    })
}

impl Demo {
    fn wait_ready(&self) -> error::Result<()> {
        let entries = self.entries.iter().map(|handle| handle.ops_address);
        let sidecars = self.sidecars.iter().map(|handle| handle.ops_address);
        let target = |addr| fleet::Target {
            addr,
            leaving: false,
        };
        let targets: Vec<_> = entries.chain(sidecars).map(target).collect();
        let start = time::Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let statuses = fleet::query::<ops::Status>(&targets, "/status").items;
            if statuses.iter().filter(|s| self.is_serving(s)).count() == targets.len() {
                return Ok(());
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        let text = "the demo's processes did not become ready";
        Err(error::Error::coded(code::Code::Internal, text))
    }

    /// Returns whether a process is ready and, for an entry, every sidecar is live, or, for a
    /// sidecar, it accepts requests with an idempotency key.
    fn is_serving(&self, status: &ops::Status) -> bool {
        let live = status.sidecars.iter().filter(|one| one.state == "live");
        let complete = match status.role.as_str() {
            "entry" => live.count() == self.sidecars.len(),
            _ => status.decides_keys,
        };
        status.ready && complete
    }

    fn help(&self) -> String {
        let callers = self.entries[0].caller_address;
        let second = self.entries[1].caller_address;
        let list = self.platform.instances.addr;
        let log = self.platform.log.addr;
        format!(
            "A fleet runs in this process: entries at {callers} and {second}, two model engines and
a plain service, each behind a sidecar. Platform: log {log}, instance list {list}.

Ask a model, as customer `large`:
  curl -N http://{callers}/v1/completions -H 'authorization: Bearer demo-large-key' \\
    -H 'content-type: application/json' \\
    -d '{{\"model\":\"demo\",\"prompt\":\"Hello\",\"max_tokens\":20,\"stream\":true}}'

Send a load entry that runs at most once, as customer `small`; again with the same key, through the
other entry, gives the kept answer:
  curl -i http://{callers}/loads -H 'authorization: Bearer demo-small-key' \\
    -H 'idempotency-key: load-1' -d '12 t of whey'

See what happened, from another terminal:
  chivebend status --instances {list}
  chivebend customers --instances {list}
  chivebend timeline --instances {list}

Press Ctrl-C to stop.
"
        )
    }

    fn shutdown(self) -> bool {
        // The entries shut down first, because their requests in progress need the sidecars.
        let entries = shut_down_all(self.entries, entry::Handle::shutdown);
        let sidecars = shut_down_all(self.sidecars, sidecar::Handle::shutdown);
        drop(self.backends);
        drop(self.platform);
        entries && sidecars
    }
}

/// Shuts down all handles concurrently, since each waits for load balancers and requests. Returns
/// whether none of them aborted a request.
fn shut_down_all<T: Send + 'static>(handles: Vec<T>, shutdown: fn(T) -> bool) -> bool {
    let spawn = |handle| thread::spawn(move || shutdown(handle));
    let threads: Vec<_> = handles.into_iter().map(spawn).collect();
    threads
        .into_iter()
        .all(|thread| thread.join().unwrap_or(false))
}
