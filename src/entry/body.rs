//! Response body on a caller's connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use crossbeam_channel as channel;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};

use crate::control::dispatch;
use crate::key;

/// Body of every response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Tells the core when it is dropped that the caller disconnected, unless the response is complete.
#[derive(Debug)]
pub struct Guard {
    accepted: Option<oneshot::Receiver<key::Request>>,
    request: Option<key::Request>,
    core: channel::Sender<dispatch::Message>,
}

/// A response body that is streamed from the core.
#[derive(Debug)]
pub struct Stream {
    rx: mpsc::UnboundedReceiver<dispatch::ResponsePart>,
    guard: Guard,
}

impl Guard {
    /// Creates a guard at the submission of a request, since the caller can disconnect before the
    /// core has assigned the request key.
    pub fn new(
        accepted: oneshot::Receiver<key::Request>,
        core: channel::Sender<dispatch::Message>,
    ) -> Self {
        Self {
            accepted: Some(accepted),
            request: None,
            core,
        }
    }

    /// Waits until the core has accepted the request; returns false if the core has stopped.
    pub async fn wait_accepted(&mut self) -> bool {
        if let Some(accepted) = &mut self.accepted {
            self.request = accepted.await.ok();
            self.accepted = None;
        }
        self.request.is_some()
    }

    /// Disarms the guard: the response is complete.
    pub fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(mut accepted) = self.accepted.take() {
            // After `close`, the core sees that the receiver is closed. A key that it sent before
            // is received here.
            accepted.close();
            self.request = accepted.try_recv().ok();
        }
        if let Some(request) = self.request.take() {
            drop(
                self.core
                    .send(dispatch::Message::CallerDisconnected(request)),
            );
        }
    }
}

impl Stream {
    /// Creates the body from the parts that follow the head.
    pub fn new(rx: mpsc::UnboundedReceiver<dispatch::ResponsePart>, guard: Guard) -> Self {
        Self { rx, guard }
    }
}

impl hyper::body::Body for Stream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let part = ready!(self.rx.poll_recv(cx));
        Poll::Ready(match part {
            Some(dispatch::ResponsePart::Data(data)) => {
                if let Some(request) = self.guard.request {
                    let bytes = data.len() as u64;
                    drop(
                        self.guard
                            .core
                            .send(dispatch::Message::BytesConsumed(request, bytes)),
                    );
                }
                Some(Ok(Frame::data(data)))
            }
            Some(dispatch::ResponsePart::End) => {
                self.guard.disarm();
                None
            }
            // After an error hyper closes the connection without the last chunk, so the caller can
            // tell that the response is incomplete.
            _ => {
                self.guard.disarm();
                Some(Err(io::Error::other("the response ended early")))
            }
        })
    }
}
