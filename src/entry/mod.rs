//! Start and shutdown of the entry process.

mod body;
mod callers;
mod ledger;
mod refusal;
mod sidecars;

use std::sync::atomic;
use std::{net, sync, thread, time};

use crossbeam_channel as channel;
use tokio::sync::mpsc;
use tonic::transport::server::TcpIncoming;

use crate::client::instances;
use crate::control::{dispatch, gossip};
use crate::report;
use crate::wire::peer_server;
use crate::{core, error, event, ops, process, settings, wire};

/// Interval at which a shutdown checks whether all work is done.
const SHUTDOWN_POLL: time::Duration = time::Duration::from_millis(20);

/// Time for which a leaving entry, already unready, still accepts connections. Load balancers probe
/// readiness about once a second and must see it unready before a connection is refused.
const UNREADY_GRACE: time::Duration = time::Duration::from_secs(2);

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address of the operator HTTP server.
    pub ops_address: net::SocketAddr,
    /// Events of this process.
    pub ring: event::Ring,
    shared: sync::Arc<callers::Shared>,
    tx: channel::Sender<dispatch::Message>,
    own_instance: sync::Arc<sync::Mutex<instances::Instance>>,
    core: Option<core::Core>,
    shutdown_limit: time::Duration,
    gossip: gossip::Handle,
    _poller: process::Poller,
    _ops: ops::Handle,
    _runtime: process::Runtime,
}

/// Starts an entry.
pub fn spawn(settings: &settings::Entry) -> error::Result<Handle> {
    let runtime = process::Runtime::open("entry")?;
    let listener = runtime
        .handle()
        .block_on(tokio::net::TcpListener::bind(settings.caller_address))?;
    let caller_address = listener.local_addr()?;
    let fleet_listener = runtime.handle().block_on(tokio::net::TcpListener::bind(
        settings.process.fleet_address,
    ))?;
    let fleet_address = fleet_listener.local_addr()?;
    let process = process::identity(&settings.process, wire::Role::Entry, fleet_address);
    let (tx, rx) = channel::unbounded();
    let in_progress = sync::Arc::new(atomic::AtomicU64::new(0));
    let (outbox, reports) = mpsc::unbounded_channel();
    let ring = event::Ring::open(event::DEFAULT_CAPACITY, &settings.process.identity("entry"));
    let setup = dispatch::Setup {
        ring: ring.clone(),
        process: process.clone(),
        outbox,
        in_progress: sync::Arc::clone(&in_progress),
    };
    let core = dispatch::spawn(rx, setup)?;
    let secret = settings.process.secret.clone();
    runtime
        .handle()
        .spawn(ledger::send_reports(reports, secret, tx.clone()));
    let shared = sync::Arc::new(callers::Shared::new(
        settings,
        process.incarnation,
        tx.clone(),
        in_progress,
        ring.clone(),
    ));
    runtime
        .handle()
        .spawn(callers::serve(listener, sync::Arc::clone(&shared)));
    let ops = ops::spawn(
        settings.process.ops_address,
        ops_source(settings, &process, caller_address, &tx, &shared),
    )?;
    let own_instance = instances::Instance {
        id: process.id.clone(),
        address: fleet_address,
        ops_address: Some(ops.addr),
        role: instances::Role::Entry,
        zone: process.zone.clone(),
        region: process.region.clone(),
        service: String::new(),
        state: instances::State::Live,
        incarnation: process.incarnation,
    };
    let setup = gossip::Setup::for_instance(&settings.process, &own_instance, ring.clone());
    let gossip = gossip::spawn(setup, &runtime.handle())?;
    serve_fleet(&runtime, fleet_listener, settings, &tx, gossip.service());
    follow_catalogue(&gossip, &shared, tx.clone());
    let own_instance = sync::Arc::new(sync::Mutex::new(own_instance));
    let tracker = sidecars::Tracker::new(
        process,
        settings.process.secret.clone(),
        gossip.members.clone(),
        tx.clone(),
        runtime.handle(),
    );
    let poller = process::watch_instances(
        settings.process.instances_address,
        sync::Arc::clone(&own_instance),
        sidecars::track(tracker),
    )?;
    ring.note(event::Kind::ProcessStarted)
        .field("address", caller_address)
        .send();
    Ok(Handle {
        caller_address,
        ops_address: ops.addr,
        ring,
        shared,
        tx,
        own_instance,
        core: Some(core),
        shutdown_limit: time::Duration::from_millis(settings.shutdown_limit_ms),
        gossip,
        _poller: poller,
        _ops: ops,
        _runtime: runtime,
    })
}

fn serve_fleet(
    runtime: &process::Runtime,
    listener: tokio::net::TcpListener,
    settings: &settings::Entry,
    tx: &channel::Sender<dispatch::Message>,
    peers: peer_server::PeerServer<gossip::Service>,
) {
    let server = ledger::Server {
        tx: tx.clone(),
        secret: settings.process.secret.clone(),
    };
    let router = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(peers)
        .add_service(wire::ledger_server::LedgerServer::new(server));
    runtime.handle().spawn(async move {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        if let Err(err) = router.serve_with_incoming(incoming).await {
            log::error!(event = "internal_fault", error:% = err; "");
        }
    });
}

/// Applies every accepted catalogue.
fn follow_catalogue(
    gossip: &gossip::Handle,
    shared: &sync::Arc<callers::Shared>,
    tx: channel::Sender<dispatch::Message>,
) {
    let shared = sync::Arc::clone(shared);
    gossip.catalogue.subscribe(move |accepted| {
        shared.set_catalogue(sync::Arc::clone(accepted));
        drop(
            tx.send(dispatch::Message::CatalogueChanged(sync::Arc::clone(
                accepted,
            ))),
        );
    });
}

fn ops_source(
    settings: &settings::Entry,
    process: &wire::Process,
    caller_address: net::SocketAddr,
    tx: &channel::Sender<dispatch::Message>,
    shared: &sync::Arc<callers::Shared>,
) -> ops::Source {
    let (process, state) = (process.clone(), sync::Arc::clone(shared));
    let (status_tx, customers_tx) = (tx.clone(), tx.clone());
    let (ready, revision, drain) = (
        sync::Arc::clone(shared),
        sync::Arc::clone(shared),
        sync::Arc::clone(shared),
    );
    ops::Source {
        ready: Box::new(move || ready.is_ready()),
        status: Box::new(move || {
            let status = report::Status {
                ready: state.is_ready(),
                leaving: state.is_leaving(),
                caller_address: Some(caller_address),
                ..process::query_core(&status_tx, dispatch::Message::Status)
            };
            process::with_identity(status, &process, "entry")
        }),
        customers: Box::new(move || {
            process::query_core(&customers_tx, dispatch::Message::Customers)
        }),
        revision: Box::new(move || revision.catalogue().map(|accepted| accepted.revision)),
        drain: Box::new(move || drain.drain()),
        ring: shared.ring.clone(),
        secret: settings.process.secret.clone(),
    }
}

impl Handle {
    /// Marks the entry unready and leaving; requests are still served.
    pub fn drain(&self) {
        self.own_instance
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .state = instances::State::Leaving;
        self.gossip.leave();
        self.shared.drain();
    }

    /// Shuts down: becomes unready, then accepts no new connections, then stops when every request
    /// in progress has its response or the shutdown limit has passed. Returns true if no request
    /// was cut off.
    pub fn shutdown(mut self) -> bool {
        self.drain();
        thread::sleep(UNREADY_GRACE);
        self.shared.close();
        let deadline = time::Instant::now() + self.shutdown_limit;
        while self.shared.active_count() > 0 && time::Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL);
        }
        let cut = self.shared.active_count();
        self.ring
            .note(event::Kind::ProcessStopped)
            .field("cut", cut)
            .send();
        drop(self.tx.send(dispatch::Message::Stop));
        if let Some(core) = self.core.take() {
            core.join();
        }
        cut == 0
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop(self.tx.send(dispatch::Message::Stop));
    }
}
