//! Gossip between processes: exchanges digests of the catalogue and the membership.
//!
//! Each process exchanges digests with one random other process every period, and at once with a
//! few when it has learned something urgent: a new catalogue revision or that a process is leaving.
//! Both sides send what they have and take what is newer, so changes spread in both directions.

use std::sync::atomic;
use std::{net, sync, time};

use prost::Message as _;
use tonic::{Request, Response, Status};

use crate::client::instances;
use crate::control::{catalogue, member};
use crate::decide::{accept, member as table};
use crate::wire::{self, peer_client, peer_server, secret};
use crate::{error, event, settings};

/// Interval of the exchanges that a process starts. With as many that others start, a node sends
/// and receives two digests each period.
pub const PERIOD: time::Duration = time::Duration::from_secs(2);

/// Number of processes that are notified of an urgent change at once. Each receiver notifies six
/// more, which leaves about e^-6, 3 of 1,270, for the next period; a fanout of three would leave
/// one in twenty.
const FANOUT: usize = 6;

/// Maximum duration of one exchange, which may carry a complete catalogue.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Maximum bytes of a digest: a complete catalogue of 7,400 customers is about 2 MB.
const MAX_DIGEST_BYTES: usize = 16 << 20;

/// Minimum interval between two requests for a complete catalogue by a process that misses records
/// of the log. It has a catalogue in force already, and the reply may not close the gap.
const COMPLETE_STATE_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// Parameters of the gossip.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This process as a member; [`Handle::service`] is served at its address.
    pub own: table::Member,
    /// Address of the platform's log.
    pub log_address: net::SocketAddr,
    /// Secret of the fleet.
    pub secret: settings::Secret,
    /// Event log of this process.
    pub ring: event::Ring,
    /// Intervals at which the log is read.
    pub timing: catalogue::Timing,
    /// Interval of the exchanges that this process starts.
    pub period: time::Duration,
}

impl Setup {
    /// Creates the parameters of an instance from its settings.
    pub fn for_instance(
        settings: &settings::Process,
        own: &instances::Instance,
        ring: event::Ring,
    ) -> Self {
        Self {
            own: member::from_instance(own).member,
            log_address: settings.log_address,
            secret: settings.secret.clone(),
            ring,
            timing: catalogue::Timing::default(),
            period: PERIOD,
        }
    }
}

#[derive(Debug)]
struct Shared {
    secret: settings::Secret,
    ring: event::Ring,
    period: time::Duration,
    catalogue: catalogue::Handle,
    members: member::Handle,
    urgent: tokio::sync::Notify,
    sent: atomic::AtomicU64,
    received: atomic::AtomicU64,
    // Maximum number of processes known so far.
    max_known: atomic::AtomicUsize,
    last_complete_request: sync::Mutex<Option<time::Instant>>,
}

/// The running gossip and the controllers that it updates; it ends when this is dropped.
#[derive(Debug)]
pub struct Handle {
    /// The catalogue in force.
    pub catalogue: catalogue::Handle,
    /// The membership.
    pub members: member::Handle,
    shared: sync::Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

/// Starts to follow the catalogue and to exchange digests. The caller must serve
/// [`Handle::service`].
pub fn spawn(setup: Setup, runtime: &tokio::runtime::Handle) -> error::Result<Handle> {
    let members = member::open(setup.own, setup.ring.clone());
    let watches = members.clone();
    let catalogue = catalogue::spawn(
        setup.log_address,
        setup.timing,
        setup.ring.clone(),
        move || watches.is_watcher(),
    )?;
    let shared = sync::Arc::new(Shared {
        secret: setup.secret,
        ring: setup.ring,
        period: setup.period,
        catalogue: catalogue.clone(),
        members: members.clone(),
        urgent: tokio::sync::Notify::new(),
        sent: atomic::AtomicU64::new(0),
        received: atomic::AtomicU64::new(0),
        max_known: atomic::AtomicUsize::new(0),
        last_complete_request: sync::Mutex::new(None),
    });
    let weak = sync::Arc::downgrade(&shared);
    catalogue.subscribe(move |_| {
        if let Some(shared) = weak.upgrade() {
            shared.urgent.notify_one();
        }
    });
    let weak = sync::Arc::downgrade(&shared);
    members.subscribe(move || {
        let Some(shared) = weak.upgrade() else { return };
        // A process without a catalogue asks the processes that it has just learned of.
        let known = shared.members.len();
        let more = shared.max_known.fetch_max(known, atomic::Ordering::Relaxed) < known;
        if shared.members.take_urgent() || (more && shared.catalogue.revision() == 0) {
            shared.urgent.notify_one();
        }
    });
    let task = runtime.spawn(run(sync::Arc::clone(&shared)));
    Ok(Handle {
        catalogue,
        members,
        shared,
        task,
    })
}

impl Handle {
    /// Returns the gRPC service that must be served at this process's address.
    pub fn service(&self) -> peer_server::PeerServer<Service> {
        peer_server::PeerServer::new(Service(sync::Arc::clone(&self.shared)))
            .max_decoding_message_size(MAX_DIGEST_BYTES)
    }

    /// Returns the bytes of digests sent and received so far, without transport overhead.
    pub fn bytes(&self) -> (u64, u64) {
        let get = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        (get(&self.shared.sent), get(&self.shared.received))
    }

    /// Marks this process as leaving and notifies others at once.
    pub fn leave(&self) {
        self.members.leave();
        self.shared.urgent.notify_one();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
        self.catalogue.stop();
    }
}

async fn run(shared: sync::Arc<Shared>) {
    let began = time::Instant::now();
    let mut heartbeats = 0;
    loop {
        // Jitter keeps processes that started together from exchanging at the same time.
        let part = 0.75 + 0.5 * f64::from(rand_byte(&shared)) / 255.0;
        let urgent = tokio::select! {
            () = tokio::time::sleep(shared.period.mul_f64(part)) => false,
            () = shared.urgent.notified() => true,
        };
        let due = began.elapsed().as_secs() / table::HEARTBEAT_PERIOD.as_secs();
        shared.members.tick(due > heartbeats);
        heartbeats = due;
        let count = if urgent { FANOUT } else { 1 };
        let mut calls = tokio::task::JoinSet::new();
        for target in shared.members.targets(count) {
            calls.spawn(exchange_with(sync::Arc::clone(&shared), target));
        }
        while calls.join_next().await.is_some() {}
    }
}

fn rand_byte(shared: &Shared) -> u8 {
    // Low bits of the clock differ enough between processes for jitter, the only use.
    (shared.ring.stamp().0 >> 8) as u8
}

/// Exchanges digests with one process, twice if its catalogue is older.
async fn exchange_with(shared: sync::Arc<Shared>, target: table::Member) {
    let result = tokio::time::timeout(EXCHANGE_TIMEOUT, shared.call(&target)).await;
    match result {
        Ok(Ok(())) => {}
        Ok(Err(error::Error::Status(status))) if status.code() == tonic::Code::PermissionDenied => {
            let note = shared.ring.note(event::Kind::PeerRefused);
            note.code(crate::code::Code::BadSecret)
                .field("member", target.id)
                .send();
        }
        Ok(Err(_)) | Err(_) => shared.members.observe_failure(&target.id),
    }
}

impl Shared {
    async fn call(&self, target: &table::Member) -> error::Result<()> {
        let endpoint =
            tonic::transport::Endpoint::from_shared(format!("http://{}", target.address))?;
        let channel = endpoint
            .connect_timeout(EXCHANGE_TIMEOUT)
            .tcp_nodelay(true)
            .connect()
            .await?;
        let mut client =
            peer_client::PeerClient::new(channel).max_decoding_message_size(MAX_DIGEST_BYTES);
        let reply = self
            .send(&mut client, self.digest(table::DIGEST_ROWS, None))
            .await?;
        if reply
            .sender
            .as_ref()
            .is_none_or(|sender| sender.id != target.id)
        {
            // Another process has taken over the address.
            self.members.observe_failure(&target.id);
        }
        if let Some(update) = self
            .catalogue
            .update(reply.catalogue_revision, reply.wants_catalogue)
        {
            self.send(&mut client, self.digest(0, Some(update))).await?;
        }
        Ok(())
    }

    async fn send(
        &self,
        client: &mut peer_client::PeerClient<tonic::transport::Channel>,
        digest: wire::Digest,
    ) -> error::Result<wire::Digest> {
        count(&self.sent, &digest);
        let mut request = Request::new(digest);
        secret::attach(&self.secret, &mut request);
        let reply = client.exchange(request).await?.into_inner();
        self.observe(&reply);
        Ok(reply)
    }

    fn observe(&self, digest: &wire::Digest) {
        count(&self.received, digest);
        self.ring.observe(event::Stamp(digest.stamp));
        self.members.observe_digest(digest);
        if let Ok(update) = serde_json::from_slice(&digest.catalogue) {
            self.catalogue.apply(update);
        }
    }

    fn digest(&self, rows: usize, update: Option<accept::Update>) -> wire::Digest {
        let own = member::to_wire(&self.members.own());
        let catalogue = update.and_then(|update| serde_json::to_vec(&update).ok());
        wire::Digest {
            sender: own.process,
            catalogue_revision: self.catalogue.revision(),
            catalogue: catalogue.unwrap_or_default().into(),
            wants_catalogue: self.take_complete_state_request(),
            members: self.members.digest(rows),
            stamp: self.ring.stamp().0,
        }
    }

    /// Returns whether the next digest asks for a complete catalogue: always without a catalogue,
    /// and once every [`COMPLETE_STATE_INTERVAL`] if records of the log are missing.
    fn take_complete_state_request(&self) -> bool {
        if !self.catalogue.wants_complete_state() {
            return false;
        }
        if self.catalogue.revision() == 0 {
            return true;
        }
        let mut last = self
            .last_complete_request
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let due = last.is_none_or(|at| at.elapsed() >= COMPLETE_STATE_INTERVAL);
        if due {
            *last = Some(time::Instant::now());
        }
        due
    }
}

fn count(counter: &atomic::AtomicU64, digest: &wire::Digest) {
    counter.fetch_add(digest.encoded_len() as u64, atomic::Ordering::Relaxed);
}

/// The gRPC service that replies to exchanges of others.
#[derive(Clone, Debug)]
pub struct Service(sync::Arc<Shared>);

#[tonic::async_trait]
impl peer_server::Peer for Service {
    async fn exchange(
        &self,
        request: Request<wire::Digest>,
    ) -> Result<Response<wire::Digest>, Status> {
        let shared = &self.0;
        if let Err(status) = secret::check(&shared.secret, &request) {
            let note = shared.ring.note(event::Kind::PeerRefused);
            note.code(crate::code::Code::BadSecret).send();
            return Err(status);
        }
        let digest = request.into_inner();
        let joins = digest
            .sender
            .as_ref()
            .is_some_and(|p| !shared.members.knows(&p.id));
        shared.observe(&digest);
        let update = shared
            .catalogue
            .update(digest.catalogue_revision, digest.wants_catalogue);
        let rows = if joins {
            table::JOIN_DIGEST_ROWS
        } else {
            table::DIGEST_ROWS
        };
        let reply = shared.digest(rows, update);
        count(&shared.sent, &reply);
        Ok(Response::new(reply))
    }
}
