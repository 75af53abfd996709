//! Sidecar side of the links: a gRPC service that passes frames to the core.

use std::sync::atomic;
use std::{pin, sync};

use crossbeam_channel as channel;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use crate::control::{backend, link};
use crate::wire::{self, frame, secret, sidecar_server};
use crate::{code, metric, settings};

/// The gRPC service of a sidecar.
#[derive(Debug)]
pub struct Server {
    /// Sends messages to the core.
    pub tx: channel::Sender<backend::Message>,
    /// Secrets that callers must present.
    pub secret: settings::Secret,
    /// Counts control traffic.
    pub meter: metric::Meter,
    /// Number of the latest link.
    pub links: sync::Arc<atomic::AtomicU64>,
}

#[tonic::async_trait]
impl sidecar_server::Sidecar for Server {
    type LinkStream = pin::Pin<Box<dyn Stream<Item = Result<wire::SidecarFrame, Status>> + Send>>;

    async fn link(
        &self,
        request: Request<Streaming<wire::EntryFrame>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        secret::check(&self.secret, &request)?;
        let mut frames = request.into_inner();
        let first = tokio::time::timeout(link::IDLE_TIMEOUT, frames.message()).await;
        let process = match first {
            Ok(Ok(Some(wire::EntryFrame {
                kind: Some(frame::Entry::Hello(hello)),
            }))) => hello.process.filter(|process| !process.id.is_empty()),
            _ => None,
        };
        let process = process.ok_or_else(|| {
            Status::invalid_argument(format!("{}: no hello", code::Code::BadFrame))
        })?;
        let number = self.links.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let (tx, rx) = mpsc::unbounded_channel();
        let open = backend::Message::LinkOpened {
            link: number,
            process,
            tx: tx.clone(),
        };
        self.tx
            .send(open)
            .map_err(|_stopped| Status::unavailable("stopped"))?;
        tokio::spawn(read(
            frames,
            number,
            self.tx.clone(),
            tx,
            self.meter.clone(),
        ));
        let meter = self.meter.clone();
        let sent = UnboundedReceiverStream::new(rx).map(move |frame| {
            let kind = frame
                .as_ref()
                .ok()
                .and_then(|frame: &wire::SidecarFrame| frame.kind.as_ref());
            meter.record_frame(
                metric::Direction::Out,
                kind.and_then(frame::sidecar_control),
            );
            frame
        });
        Ok(Response::new(Box::pin(sent)))
    }

    async fn handover(
        &self,
        request: Request<wire::HandoverRequest>,
    ) -> Result<Response<wire::HandoverReply>, Status> {
        secret::check(&self.secret, &request)?;
        let (tx, rx) = oneshot::channel();
        let message = backend::Message::HandoverRequest(Box::new(request.into_inner()), tx);
        let stopped = || Status::unavailable("stopped");
        self.tx.send(message).map_err(|_stopped| stopped())?;
        rx.await.map(Response::new).map_err(|_stopped| stopped())
    }
}

/// Passes the frames of a link to the core until the link ends or is idle for too long.
async fn read(
    mut frames: Streaming<wire::EntryFrame>,
    link: u64,
    core: channel::Sender<backend::Message>,
    tx: backend::Sender,
    meter: metric::Meter,
) {
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(link::IDLE_TIMEOUT, frames.next()) => frame,
            // The stream to the entry has ended, so the entry would not see the effect of further
            // frames.
            () = tx.closed() => break,
        };
        let Ok(Some(Ok(frame))) = frame else { break };
        let Some(kind) = frame.kind else { continue };
        meter.record_frame(metric::Direction::In, frame::entry_control(&kind));
        if core.send(backend::Message::Frame { link, kind }).is_err() {
            break;
        }
    }
    drop(core.send(backend::Message::LinkClosed { link }));
    // Ends the stream to the entry too, if it is still open.
    drop(tx.send(Err(Status::cancelled("link ended"))));
}
