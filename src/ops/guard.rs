//! A guard before `tiny_http`, which reads heads of any length and waits for ever.
//!
//! Operators connect here. Each connection is copied to the server's own listener, an abstract
//! Unix socket of this process, within bounds of bytes and time. The cost is two threads and one
//! more copy for each connection, which operators' traffic bears.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net as unix;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Connections at once; a fleet has few operators and one scraper of metrics.
const CONNECTIONS: usize = 32;

/// Bytes a connection may send: heads and the one short body there is.
const SENT: usize = 32 << 10;

/// How long a connection may last; a whole ring takes milliseconds on a working network.
const LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Bytes copied at once.
const CHUNK: usize = 16 << 10;

/// Names of the inner sockets differ in one process.
static SERIAL: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The running guard.
#[derive(Debug)]
pub(super) struct Guard {
    pub(super) addr: net::SocketAddr,
    closed: sync::Arc<atomic::AtomicBool>,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Guard {
    pub(super) fn close(&mut self) {
        self.closed.store(true, atomic::Ordering::Release);
        // Wakes the accepting thread, which then sees the flag and closes the listener.
        let woken = net::TcpStream::connect_timeout(&self.addr, LIFETIME).is_ok();
        if let Some(acceptor) = self.acceptor.take().filter(|_| woken) {
            // Its only failure is a panic, which has been printed.
            drop(acceptor.join());
        }
    }
}

/// The server's own listener.
pub(super) fn inner() -> io::Result<(unix::UnixListener, unix::SocketAddr)> {
    let serial = SERIAL.fetch_add(1, atomic::Ordering::Relaxed);
    let name = format!("chivebend-ops-{}-{serial}", process::id());
    let addr = unix::SocketAddr::from_abstract_name(name)?;
    Ok((unix::UnixListener::bind_addr(&addr)?, addr))
}

/// Listens for operators and copies their connections to the inner listener.
pub(super) fn spawn(addr: net::SocketAddr, inner: unix::SocketAddr) -> io::Result<Guard> {
    let listener = net::TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let closed = sync::Arc::new(atomic::AtomicBool::new(false));
    let seen = sync::Arc::clone(&closed);
    let acceptor = thread::Builder::new()
        .name("ops-accept".into())
        .spawn(move || accept(&listener, &inner, &seen))?;
    Ok(Guard {
        addr,
        closed,
        acceptor: Some(acceptor),
    })
}

fn accept(listener: &net::TcpListener, inner: &unix::SocketAddr, closed: &atomic::AtomicBool) {
    let open = sync::Arc::new(());
    loop {
        let accepted = listener.accept();
        if closed.load(atomic::Ordering::Acquire) {
            return;
        }
        match accepted {
            // Beyond the limit the connection is closed unanswered, at the least cost.
            Ok((stream, _)) if sync::Arc::strong_count(&open) <= CONNECTIONS => {
                // A connection that cannot be set up is closed; the operator tries again.
                drop(relay(stream, inner, sync::Arc::clone(&open)));
            }
            Ok(_) => {}
            // Out of descriptors, most likely: wait for some to close instead of spinning.
            Err(_) => thread::sleep(time::Duration::from_millis(100)),
        }
    }
}

fn relay(outside: net::TcpStream, inner: &unix::SocketAddr, slot: sync::Arc<()>) -> io::Result<()> {
    let inside = unix::UnixStream::connect_addr(inner)?;
    let deadline = time::Instant::now() + LIFETIME;
    let (from, to) = (outside.try_clone()?, inside.try_clone()?);
    for stream in [&outside, &from] {
        stream.set_write_timeout(Some(LIFETIME))?;
    }
    thread::Builder::new()
        .name("ops-in".into())
        .spawn(move || {
            let set = |left| from.set_read_timeout(Some(left));
            copy(&from, &to, SENT, deadline, set);
            drop(to.shutdown(net::Shutdown::Write));
        })?;
    thread::Builder::new()
        .name("ops-out".into())
        .spawn(move || {
            let set = |left| inside.set_read_timeout(Some(left));
            copy(&inside, &outside, usize::MAX, deadline, set);
            // Ends the other direction as well.
            drop(outside.shutdown(net::Shutdown::Both));
            drop(inside.shutdown(net::Shutdown::Both));
            drop(slot);
        })?;
    Ok(())
}

/// Copies until the end, the limit or the deadline; any of them ends the connection.
fn copy(
    mut from: impl Read,
    mut to: impl Write,
    limit: usize,
    deadline: time::Instant,
    set_timeout: impl Fn(time::Duration) -> io::Result<()>,
) {
    let mut buf = [0; CHUNK];
    let mut left = limit;
    loop {
        let rest = deadline.saturating_duration_since(time::Instant::now());
        if rest.is_zero() || set_timeout(rest).is_err() {
            return;
        }
        let want = left.min(CHUNK);
        match from.read(&mut buf[..want]) {
            Ok(0) | Err(_) => return,
            Ok(n) if to.write_all(&buf[..n]).is_err() => return,
            Ok(n) => left -= n,
        }
    }
}
