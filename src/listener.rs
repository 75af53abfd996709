//! Listeners whose connections are served on a runtime of their own, so that they are served also
//! while the process's other runtime is busy.

use std::convert;
use std::net;
use std::sync;
use std::sync::mpsc;
use std::time;

use crate::error;
use crate::process;

/// Delay after a failure to accept a connection. Most likely the process has no free file
/// descriptors, and some must be closed first.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// A bound address that isn't served yet.
#[derive(Debug)]
pub struct Listener {
    /// Address that it is bound to.
    pub addr: net::SocketAddr,
    socket: net::TcpListener,
}

/// A listener that is served. Dropping it closes the port before it returns.
#[derive(Debug)]
pub struct Server {
    /// Address that it is bound to.
    pub addr: net::SocketAddr,
    accepting: tokio::task::JoinHandle<()>,
    closed: sync::Mutex<mpsc::Receiver<convert::Infallible>>,
    _runtime: process::Runtime,
}

/// Binds an address.
pub fn bind(addr: net::SocketAddr) -> error::Result<Listener> {
    let socket = net::TcpListener::bind(addr)?;
    socket.set_nonblocking(true)?;
    let addr = socket.local_addr()?;
    Ok(Listener { addr, socket })
}

impl Listener {
    /// Starts to accept connections. Each one is given to `serve` and closed when its future ends.
    /// `name` is the name of the threads.
    pub fn spawn<F, R>(self, name: &str, serve: F) -> error::Result<Server>
    where
        F: Fn(tokio::net::TcpStream) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let runtime = process::Runtime::open(name)?;
        let handle = runtime.handle();
        let entered = handle.enter();
        let socket = tokio::net::TcpListener::from_std(self.socket)?;
        drop(entered);
        let (closing, closed) = mpsc::channel();
        let accepting = handle.spawn(async move {
            // Dropped after the socket.
            let _closing = closing;
            accept(socket, serve).await;
        });
        Ok(Server {
            addr: self.addr,
            accepting,
            closed: sync::Mutex::new(closed),
            _runtime: runtime,
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        let closed = self.closed.get_mut();
        // Nothing is ever sent: the call returns when the task and its socket are dropped.
        let (Ok(_) | Err(_)) = closed.unwrap_or_else(sync::PoisonError::into_inner).recv();
    }
}

async fn accept<F, R>(socket: tokio::net::TcpListener, serve: F)
where
    F: Fn(tokio::net::TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    loop {
        match socket.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream))),
            Err(err) => {
                log::warn!(event = "accept_failed", error:% = err; "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
