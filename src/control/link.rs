//! An entry's links to sidecars: one task each, which connects, reads frames and reconnects.
//!
//! A connection can stop delivering for good while new connections work, so a link without a frame
//! for [`IDLE_TIMEOUT`] is dropped and a new connection is opened.

use std::sync::atomic;
use std::{collections, net, sync, time};

use crossbeam_channel as channel;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::control::dispatch;
use crate::decide::random;
use crate::wire::{self, frame, secret};
use crate::{error, metric, settings};

/// Time without a frame after which a link is dropped: six heartbeats, so that a short pause of the
/// other process does not break it.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Timeout of establishing a connection; availability zones are milliseconds apart.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Delay before the first reconnection without jitter, doubled for each further one.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Maximum delay before a reconnection without jitter.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);

/// HTTP/2 flow control windows in bytes. One link carries the responses of all requests, so with
/// the default of 64 KiB one burst would block the others.
pub const STREAM_WINDOW_BYTES: u32 = 4 << 20;

/// A sidecar to which a link is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub id: String,
    /// Its address.
    pub address: net::SocketAddr,
}

/// The links of an entry.
#[derive(Debug)]
pub struct Links {
    meter: metric::Meter,
    hello: wire::Process,
    secret: settings::Secret,
    tx: channel::Sender<dispatch::Message>,
    tasks: collections::HashMap<String, (Target, tokio::task::JoinHandle<()>)>,
    last_link: sync::Arc<atomic::AtomicU64>,
}

impl Links {
    /// Creates an empty set of links; `hello` identifies the entry in its first frame.
    pub fn new(
        hello: wire::Process,
        secret: settings::Secret,
        tx: channel::Sender<dispatch::Message>,
    ) -> Self {
        Self {
            meter: metric::Meter::open(&hello.id),
            hello,
            secret,
            tx,
            tasks: collections::HashMap::new(),
            last_link: sync::Arc::default(),
        }
    }

    /// Opens and closes links so that there is one to each of these sidecars and no other.
    pub fn set_targets(&mut self, targets: &[Target]) {
        self.tasks.retain(|_, (target, task)| {
            let keep = targets.contains(target);
            if !keep {
                task.abort();
                drop(self.tx.send(dispatch::Message::SidecarRemoved {
                    id: target.id.clone(),
                }));
            }
            keep
        });
        for target in targets {
            if !self.tasks.contains_key(&target.id) {
                let task = Connector {
                    meter: self.meter.clone(),
                    target: target.clone(),
                    hello: self.hello.clone(),
                    secret: self.secret.clone(),
                    core: self.tx.clone(),
                    last_link: sync::Arc::clone(&self.last_link),
                }
                .run();
                self.tasks
                    .insert(target.id.clone(), (target.clone(), tokio::spawn(task)));
            }
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        for (_, task) in self.tasks.values() {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct Connector {
    meter: metric::Meter,
    target: Target,
    hello: wire::Process,
    secret: settings::Secret,
    core: channel::Sender<dispatch::Message>,
    last_link: sync::Arc<atomic::AtomicU64>,
}

impl Connector {
    async fn run(self) {
        let mut backoff = MIN_BACKOFF;
        let mut random = random::Random::new(self.hello.incarnation);
        loop {
            let link = self.last_link.fetch_add(1, atomic::Ordering::Relaxed) + 1;
            let began = time::Instant::now();
            let outcome = self.connect(link).await;
            let down = dispatch::Message::LinkDown {
                id: self.target.id.clone(),
                link,
            };
            if self.core.send(down).is_err() {
                return;
            }
            if let Err(err) = outcome {
                log::debug!(
                    event = "link_failed", sidecar = self.target.id.as_str(), error:% = err;
                    ""
                );
            }
            if began.elapsed() > IDLE_TIMEOUT {
                backoff = MIN_BACKOFF;
            }
            // Jitter keeps hundreds of entries from reconnecting at the same time.
            tokio::time::sleep(backoff.mul_f64(0.5 + random.unit())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn connect(&self, link: u64) -> error::Result<()> {
        let uri = format!("http://{}", self.target.address);
        let endpoint = tonic::transport::Endpoint::from_shared(uri)?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(STREAM_WINDOW_BYTES);
        let channel = endpoint.connect().await?;
        let mut client = wire::sidecar_client::SidecarClient::new(channel);
        let (tx, rx) = mpsc::unbounded_channel();
        let hello = wire::Hello {
            process: Some(self.hello.clone()),
        };
        drop(tx.send(frame::entry(frame::Entry::Hello(hello))));
        let meter = self.meter.clone();
        let sent = UnboundedReceiverStream::new(rx).map(move |frame: wire::EntryFrame| {
            let control = frame.kind.as_ref().and_then(frame::entry_control);
            meter.record_frame(metric::Direction::Out, control);
            frame
        });
        let mut request = tonic::Request::new(sent);
        secret::attach(&self.secret, &mut request);
        let opened = tokio::time::timeout(IDLE_TIMEOUT, client.link(request)).await;
        let mut frames = opened.map_err(idle_timeout)??.into_inner();
        let mut tx = Some(tx);
        loop {
            let frame = tokio::time::timeout(IDLE_TIMEOUT, frames.next())
                .await
                .map_err(idle_timeout)?;
            let Some(frame) = frame.transpose()? else {
                return Ok(());
            };
            let Some(kind) = frame.kind else { continue };
            let control = frame::sidecar_control(&kind);
            self.meter.record_frame(metric::Direction::In, control);
            let id = self.target.id.clone();
            let message = match (kind, tx.take()) {
                (frame::Sidecar::Welcome(welcome), Some(tx)) => dispatch::Message::LinkUp {
                    id,
                    link,
                    welcome,
                    tx,
                },
                (kind, None) => dispatch::Message::Frame { id, link, kind },
                (_, Some(_)) => return Err(tonic::Status::failed_precondition("no welcome").into()),
            };
            if self.core.send(message).is_err() {
                return Ok(());
            }
        }
    }
}

fn idle_timeout(_elapsed: tokio::time::error::Elapsed) -> tonic::Status {
    tonic::Status::deadline_exceeded("silent")
}
