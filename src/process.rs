//! Startup and shutdown that all processes of the fleet share: identity, runtime, the instance list
//! poller, signal handling and exit codes.

use std::sync::atomic;
use std::{net, sync, thread, time};

use crossbeam_channel as channel;

use crate::client::instances;
use crate::report;
use crate::{client, code, error, settings, wire};

/// Number of tokio worker threads. Nodes of the fleet are small, and the core runs on its own
/// thread.
const WORKER_THREADS: usize = 2;

/// Interval between reads of the instance list.
const LIST_READ_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Interval between registrations with the instance list if the state does not change.
const REGISTRATION_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// A tokio runtime that shuts down without waiting for its tasks.
#[derive(Debug)]
pub struct Runtime(Option<tokio::runtime::Runtime>);

impl Runtime {
    /// Starts a runtime.
    pub fn open(name: &str) -> error::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(name)
            .enable_all()
            .build()?;
        Ok(Self(Some(runtime)))
    }

    /// Returns a handle to the runtime.
    pub fn handle(&self) -> tokio::runtime::Handle {
        match &self.0 {
            Some(runtime) => runtime.handle().clone(),
            None => unreachable!("the runtime is taken only when it is dropped"),
        }
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns the identity of this process. The incarnation is the current time in nanoseconds since
/// 1970, so a later start has a higher one.
pub fn identity(
    settings: &settings::Process,
    role: wire::Role,
    address: net::SocketAddr,
) -> wire::Process {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    wire::Process {
        id: settings.id.clone(),
        incarnation: since_epoch.unwrap_or_default().as_nanos() as u64,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: address.to_string(),
        role: role.into(),
    }
}

/// Handle to a thread that repeats a step until the handle is dropped.
#[derive(Debug)]
pub struct Poller {
    stop: sync::Arc<atomic::AtomicBool>,
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
    }
}

fn spawn_poller(name: &str, mut step: impl FnMut() + Send + 'static) -> error::Result<Poller> {
    let should_stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let poller = Poller {
        stop: sync::Arc::clone(&should_stop),
    };
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            while !should_stop.load(atomic::Ordering::Relaxed) {
                step();
            }
        })?;
    Ok(poller)
}

/// Result of a read of the platform's instance list.
#[derive(Clone, Debug)]
pub struct InstanceListRead {
    /// Time at which the request was sent.
    pub asked_at: time::Instant,
    /// The list.
    pub list: sync::Arc<instances::List>,
    /// True if the list differs from that of the previous read.
    pub changed: bool,
}

/// Starts a thread that registers this process with the platform's instance list and passes each
/// read of the list to `on_read`.
pub fn watch_instances(
    address: net::SocketAddr,
    own_instance: sync::Arc<sync::Mutex<instances::Instance>>,
    mut on_read: impl FnMut(InstanceListRead) + Send + 'static,
) -> error::Result<Poller> {
    let client = client::instances::open(address);
    let mut latest = sync::Arc::new(instances::List::default());
    let mut known_version = None;
    let mut registered: Option<(time::Instant, instances::State)> = None;
    spawn_poller("instances", move || {
        let instance = own_instance
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone();
        let is_due = registered.is_none_or(|(at, state)| {
            at.elapsed() > REGISTRATION_INTERVAL || state != instance.state
        });
        if is_due && client.put(&instance).is_ok() {
            registered = Some((time::Instant::now(), instance.state));
        }
        let asked_at = time::Instant::now();
        if let Ok(response) = client.list(known_version) {
            let changed = response.is_some();
            if let Some(list) = response {
                known_version = Some(list.version);
                latest = sync::Arc::new(list);
            }
            on_read(InstanceListRead {
                asked_at,
                list: sync::Arc::clone(&latest),
                changed,
            });
        }
        thread::sleep(LIST_READ_INTERVAL);
    })
}

/// Fills in the fields of a status that identify the process.
pub fn with_identity(
    status: report::Status,
    process: &wire::Process,
    role: &str,
) -> report::Status {
    report::Status {
        instance: process.id.clone(),
        role: role.to_owned(),
        zone: process.zone.clone(),
        region: process.region.clone(),
        incarnation: process.incarnation,
        ..status
    }
}

/// Maximum time that the core thread may take to reply to an operator's request.
const CORE_REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Requests a report from the core thread. Returns an empty report if there is no reply in time.
pub fn query_core<M, T: Default>(
    tx: &channel::Sender<M>,
    message: impl FnOnce(channel::Sender<T>) -> M,
) -> T {
    let (reply, rx) = channel::bounded(1);
    if tx.send(message(reply)).is_err() {
        return T::default();
    }
    rx.recv_timeout(CORE_REPLY_TIMEOUT).unwrap_or_default()
}

/// Waits for SIGTERM or SIGINT.
fn wait_for_signal(runtime: &tokio::runtime::Runtime) -> error::Result<()> {
    use tokio::signal::unix;
    runtime.block_on(async {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}

/// Waits for a signal, then calls `shutdown` and returns its result. A second signal exits the
/// process immediately.
pub fn run_until_signal(shutdown: impl FnOnce() -> bool) -> error::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    wait_for_signal(&runtime)?;
    thread::Builder::new()
        .name("second-signal".into())
        .spawn(move || {
            if wait_for_signal(&runtime).is_ok() {
                let code = code::Code::Leaving.number();
                log::error!(event = "process_stopped", code = code; "exiting on a second signal");
                std::process::exit(EXIT_REQUESTS_CUT);
            }
        })?;
    Ok(shutdown())
}

/// Exit code after a shutdown that aborted requests in progress.
pub const EXIT_REQUESTS_CUT: i32 = 1;

/// Exit code of a process that failed to start or run.
const EXIT_FAILED: u8 = 2;

/// Returns the exit code of a process and prints an error to standard error.
pub fn exit_code(outcome: &error::Result<bool>) -> std::process::ExitCode {
    match outcome {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::from(EXIT_REQUESTS_CUT as u8),
        Err(err) => {
            eprintln!("chivebend: {err}");
            std::process::ExitCode::from(EXIT_FAILED)
        }
    }
}
