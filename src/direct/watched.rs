//! A socket that tells when the first bytes of a response arrive, and fails if many arrive that belong to
//! no response.
//!
//! Load pattern: a faulty server sends bytes without end that the HTTP library reads and drops, such as a
//! chunk size of zeros or informational heads. Reading them takes all of a processor.

use std::{cell, io, pin, rc, task};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net as tokio_net;
use tokio::sync::Notify;

/// Maximum number of bytes that arrive before a head or a piece of a body is complete: many times what the
/// library buffers.
const MAX_UNDELIVERED_BYTES: usize = 128 * 1024;

/// Tells whether bytes have arrived since a request was sent.
#[derive(Debug, Default)]
pub(super) struct Arrival {
    has_arrived: cell::Cell<bool>,
    arrived: Notify,
    // Bytes that have arrived since a part of a response was complete.
    undelivered: cell::Cell<usize>,
}

impl Arrival {
    /// Starts to wait for the next bytes.
    pub(super) fn reset(&self) {
        self.has_arrived.set(false);
        self.on_delivered();
    }

    /// Records that a head or a piece of a body is complete.
    pub(super) fn on_delivered(&self) {
        self.undelivered.set(0);
    }

    /// Waits until bytes have arrived since [`Arrival::reset`].
    pub(super) async fn wait(&self) {
        while !self.has_arrived.get() {
            self.arrived.notified().await;
        }
    }

    // Fails if too many bytes belong to no response.
    fn record(&self, bytes: usize) -> io::Result<()> {
        self.undelivered.set(self.undelivered.get() + bytes);
        if self.undelivered.get() > MAX_UNDELIVERED_BYTES {
            return Err(io::Error::other("bytes without end that are no response"));
        }
        if !self.has_arrived.replace(true) {
            self.arrived.notify_one();
        }
        Ok(())
    }
}

/// A socket, with the record of its arrivals.
#[derive(Debug)]
pub(super) struct Stream {
    socket: tokio_net::TcpStream,
    arrival: rc::Rc<Arrival>,
}

impl Stream {
    pub(super) fn new(socket: tokio_net::TcpStream, arrival: rc::Rc<Arrival>) -> Self {
        Self { socket, arrival }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = pin::Pin::new(&mut self.socket).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0
            && let Err(err) = self.arrival.record(received)
        {
            return task::Poll::Ready(Err(err));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
