//! Starts the sidecar process from its settings and returns a handle to it.

mod handover;
mod server;

use std::sync::atomic;
use std::{net, sync, thread, time};

use crossbeam_channel as channel;
use tonic::transport::server::TcpIncoming;

use crate::client::instances;
use crate::control::{backend, gossip, link};
use crate::report;
use crate::wire::{self, peer_server, sidecar_server};
use crate::{catalogue, core, error, event, metric, ops, process, settings};

/// Interval at which a shutdown checks whether all requests have finished.
const SHUTDOWN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time that a leaving sidecar keeps its links open after its last run, for the acknowledgements of
/// entries.
const LINGER_DURATION: time::Duration = time::Duration::from_millis(200);

/// A running sidecar.
#[derive(Debug)]
pub struct Handle {
    /// Address for processes of the fleet.
    pub fleet_address: net::SocketAddr,
    /// Address of the operators' port.
    pub ops_address: net::SocketAddr,
    /// Event log of this process.
    pub ring: event::Ring,
    tx: channel::Sender<backend::Message>,
    gauges: sync::Arc<backend::Gauges>,
    own: sync::Arc<sync::Mutex<instances::Instance>>,
    core: Option<core::Core>,
    shutdown_limit: time::Duration,
    gossip: gossip::Handle,
    _poller: process::Poller,
    _ops: ops::Handle,
    _runtime: process::Runtime,
}

/// Starts a sidecar.
pub fn spawn(settings: &settings::Sidecar) -> error::Result<Handle> {
    let runtime = process::Runtime::open("sidecar")?;
    let listener = runtime.handle().block_on(tokio::net::TcpListener::bind(
        settings.process.fleet_address,
    ))?;
    let fleet_address = listener.local_addr()?;
    let process = process::identity(&settings.process, wire::Role::Sidecar, fleet_address);
    let (tx, rx) = channel::unbounded();
    let gauges = sync::Arc::new(backend::Gauges::default());
    let ring = event::Ring::open(
        event::DEFAULT_CAPACITY,
        &settings.process.identity("sidecar"),
    );
    let core = backend::spawn(
        rx,
        backend::Setup {
            process: process.clone(),
            settings: settings.clone(),
            runtime: runtime.handle(),
            tx: tx.clone(),
            gauges: sync::Arc::clone(&gauges),
            ring: ring.clone(),
            hand_over: hand_over(&runtime, settings),
        },
    )?;
    let ops = ops::spawn(
        settings.process.ops_address,
        ops_source(settings, &process, &tx, &gauges, &ring),
    )?;
    let own = instances::Instance {
        id: process.id.clone(),
        address: fleet_address,
        ops_address: Some(ops.addr),
        role: instances::Role::Sidecar,
        zone: process.zone.clone(),
        region: process.region.clone(),
        service: settings.service.clone(),
        state: instances::State::Live,
        incarnation: process.incarnation,
    };
    let setup = gossip::Setup::for_instance(&settings.process, &own, ring.clone());
    let gossip = gossip::spawn(setup, &runtime.handle())?;
    serve(&runtime, listener, settings, &tx, gossip.service());
    follow_catalogue(settings, &gossip, tx.clone());
    let own = sync::Arc::new(sync::Mutex::new(own));
    let members = gossip.members.clone();
    let core_tx = tx.clone();
    let poller = process::watch_instances(
        settings.process.instances_address,
        sync::Arc::clone(&own),
        move |read| {
            if read.changed {
                members.observe_list(&read.list);
            }
            drop(core_tx.send(backend::Message::InstanceList(read)));
        },
    )?;
    ring.note(event::Kind::ProcessStarted)
        .field("address", fleet_address)
        .send();
    Ok(Handle {
        fleet_address,
        ops_address: ops.addr,
        ring,
        tx,
        gauges,
        own,
        core: Some(core),
        shutdown_limit: time::Duration::from_millis(settings.shutdown_limit_ms),
        gossip,
        _poller: poller,
        _ops: ops,
        _runtime: runtime,
    })
}

fn hand_over(runtime: &process::Runtime, settings: &settings::Sidecar) -> backend::HandoverCall {
    let runtime = runtime.handle();
    let secret = settings.process.secret.clone();
    Box::new(move |address, request, done| {
        handover::spawn(&runtime, secret.clone(), address, request, done);
    })
}

fn serve(
    runtime: &process::Runtime,
    listener: tokio::net::TcpListener,
    settings: &settings::Sidecar,
    tx: &channel::Sender<backend::Message>,
    peers: peer_server::PeerServer<gossip::Service>,
) {
    let server = server::Server {
        tx: tx.clone(),
        secret: settings.process.secret.clone(),
        meter: metric::Meter::open(&settings.process.id),
        links: sync::Arc::default(),
    };
    let router = tonic::transport::Server::builder()
        .initial_stream_window_size(link::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(link::STREAM_WINDOW_BYTES)
        .add_service(peers)
        .add_service(
            sidecar_server::SidecarServer::new(server)
                .max_decoding_message_size(handover::MAX_MESSAGE_BYTES)
                .max_encoding_message_size(handover::MAX_MESSAGE_BYTES),
        );
    runtime.handle().spawn(async move {
        // The builder's own setting does not apply to a listener that it did not open. With Nagle's
        // algorithm a small frame would wait 40 ms for the other side's delayed acknowledgement.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        if let Err(err) = router.serve_with_incoming(incoming).await {
            log::error!(event = "internal_fault", error:% = err; "");
        }
    });
}

fn follow_catalogue(
    settings: &settings::Sidecar,
    gossip: &gossip::Handle,
    tx: channel::Sender<backend::Message>,
) {
    let name = settings.service.clone();
    gossip.catalogue.subscribe(move |accepted| {
        if let Some(service) = accepted.catalogue.service(&name) {
            drop(tx.send(service_changed(accepted.revision, service)));
        }
    });
}

fn service_changed(revision: u64, service: &catalogue::Service) -> backend::Message {
    backend::Message::ServiceChanged {
        revision,
        models: service.models.clone(),
        window: service.window,
    }
}

fn is_ready(gauges: &backend::Gauges) -> bool {
    gauges.has_joined.load(atomic::Ordering::Relaxed)
        && gauges.revision.load(atomic::Ordering::Relaxed) > 0
}

fn ops_source(
    settings: &settings::Sidecar,
    process: &wire::Process,
    tx: &channel::Sender<backend::Message>,
    gauges: &sync::Arc<backend::Gauges>,
    ring: &event::Ring,
) -> ops::Source {
    let process = process.clone();
    let (status, customers, drain) = (tx.clone(), tx.clone(), tx.clone());
    let (ready, revision) = (sync::Arc::clone(gauges), sync::Arc::clone(gauges));
    let gauges = sync::Arc::clone(gauges);
    let known = |gauges: &backend::Gauges| {
        let revision = gauges.revision.load(atomic::Ordering::Relaxed);
        (revision > 0).then_some(revision)
    };
    ops::Source {
        ready: Box::new(move || is_ready(&ready)),
        status: Box::new(move || {
            let state = process::query_core(&status, backend::Message::Status);
            let ready = is_ready(&gauges) && !state.leaving;
            process::with_identity(report::Status { ready, ..state }, &process, "sidecar")
        }),
        customers: Box::new(move || process::query_core(&customers, backend::Message::Customers)),
        revision: Box::new(move || known(&revision)),
        drain: Box::new(move || drop(drain.send(backend::Message::Drain))),
        ring: ring.clone(),
        secret: settings.process.secret.clone(),
    }
}

impl Handle {
    /// Marks the sidecar as leaving; it accepts no new work from now on.
    pub fn drain(&self) {
        self.own
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .state = instances::State::Leaving;
        self.gossip.leave();
        drop(self.tx.send(backend::Message::Drain));
    }

    /// Leaves, finishes running requests within the shutdown limit, and ends. Returns true if no
    /// request was cut off.
    pub fn shutdown(mut self) -> bool {
        self.drain();
        let deadline = time::Instant::now() + self.shutdown_limit;
        let drained = || self.gauges.is_drained.load(atomic::Ordering::Relaxed);
        while !drained() && time::Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        let cut = self.gauges.in_progress.load(atomic::Ordering::Relaxed);
        thread::sleep(LINGER_DURATION);
        self.ring
            .note(event::Kind::ProcessStopped)
            .field("cut", cut)
            .send();
        drop(self.tx.send(backend::Message::Stop));
        if let Some(core) = self.core.take() {
            core.join();
        }
        cut == 0
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        drop(self.tx.send(backend::Message::Stop));
    }
}
