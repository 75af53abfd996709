//! HTTP/1.1 client connection to a backend server, a peer or the platform.

use std::{io, net, pin, rc, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{self, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net as tokio_net, task};

use super::watched;

/// Timeout of connecting. A round trip takes a few milliseconds and a server accepts within one or
/// two; a lost SYN packet would be resent only after a second, by when another server could have
/// responded.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// `TCP_USER_TIMEOUT`: time without acknowledgement after which the kernel closes a connection.
/// With one packet in forty lost, the retransmissions after 0.2, 0.6 and 1.4 s all fail once in two
/// million times; a broken path is detected in under two seconds.
pub const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_700);

/// The same for callers, who may read slowly: while a caller's window is too small for the next packet,
/// the kernel counts as if nothing were acknowledged. More than the longest deadlines of callers.
const CALLER_USER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time from the first byte of a response's head to its last. A head is one packet; one that was lost
/// arrives within the retransmissions that [`USER_TIMEOUT`] allows for.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Receive buffer of a connection in bytes: a burst of events of one response; more would only cost
/// memory.
const READ_BUFFER: usize = 16 * 1024;

/// An open connection. Dropping it closes the socket at once, so that the server stops working on
/// the request.
#[derive(Debug)]
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    arrival: rc::Rc<watched::Arrival>,
    task: task::JoinHandle<()>,
    /// When the last response on it was complete.
    pub last_used: time::Duration,
    /// How long the server keeps the connection open while it is idle, if it said so.
    pub keep_alive: Option<time::Duration>,
}

/// Body of a response.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    arrival: rc::Rc<watched::Arrival>,
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = pin::Pin::new(&mut self.incoming).poll_frame(cx);
        if frame.is_ready() {
            self.arrival.on_delivered();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Why a request got no response.
#[derive(Debug, derive_more::Display)]
pub enum SendError {
    /// Nothing of the request was sent.
    #[display("{_0}")]
    NotSent(hyper::Error),
    /// The request may have arrived.
    #[display("{_0}")]
    Lost(hyper::Error),
    /// The head of the response began and did not end in time.
    #[display("the head of the response doesn't end")]
    EndlessHead,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Conn {
    /// Returns whether the connection can take a request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Waits until the previous response is complete and the connection can take a request; returns
    /// whether it can.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        req: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Body>, SendError> {
        self.arrival.reset();
        let arrival = &self.arrival;
        let overdue = async {
            arrival.wait().await;
            tokio::time::sleep(HEAD_TIMEOUT).await;
        };
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(req) => response.map_err(|mut err| {
                if err.take_message().is_some() {
                    SendError::NotSent(err.into_error())
                } else {
                    SendError::Lost(err.into_error())
                }
            }),
            () = overdue => Err(SendError::EndlessHead),
        }?;
        arrival.on_delivered();
        let arrival = rc::Rc::clone(arrival);
        Ok(response.map(|incoming| Body { incoming, arrival }))
    }
}

/// Opens a connection.
pub async fn open(address: net::SocketAddr) -> io::Result<Conn> {
    let connect = tokio_net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream, USER_TIMEOUT)?;
    let arrival = rc::Rc::<watched::Arrival>::default();
    let stream = watched::Stream::new(stream, rc::Rc::clone(&arrival));
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = task::spawn_local(async move {
        // An error is also returned to the request in progress; an idle connection has none.
        if let Err(err) = conn.await {
            log::debug!(event = "connection_ended", error:% = err; "");
        }
    });
    Ok(Conn {
        sender,
        arrival,
        task,
        last_used: time::Duration::ZERO,
        keep_alive: None,
    })
}

/// Sets the socket options of a caller's connection.
pub fn set_caller_options(stream: &tokio_net::TcpStream) -> io::Result<()> {
    set_options(stream, CALLER_USER_TIMEOUT)
}

fn set_options(stream: &tokio_net::TcpStream, user_timeout: time::Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))
}
