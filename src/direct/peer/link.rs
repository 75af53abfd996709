//! The UDP socket of an entry.

use std::io::Read as _;
use std::{cell, io, net, time};

use prost::Message as _;
use tokio::net as tokio_net;

use super::message;

/// Addresses that an entry exchanges datagrams on.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Its own address and the port that all entries use.
    pub own: net::SocketAddrV4,
    /// Addresses where other entries may be.
    pub seeds: Vec<net::Ipv4Addr>,
}

/// The UDP socket for datagrams to and from other entries.
#[derive(Debug)]
pub struct Link {
    pub(super) socket: tokio_net::UdpSocket,
    pub(super) own: net::SocketAddrV4,
    // When the socket was last found without datagrams. What it holds has arrived since.
    drained_at: cell::Cell<time::Duration>,
    // When a late timer last read the datagrams that had arrived.
    pub(super) last_catch_up: cell::Cell<time::Duration>,
    // True if the last heartbeat had load in it.
    pub(super) reported_load: cell::Cell<bool>,
    // When the queues of all backend servers were last checked for requests that can be placed.
    pub(super) last_full_pump: cell::Cell<time::Duration>,
}

impl Link {
    /// Waits for a datagram and returns its length. `now` returns the time.
    pub(super) async fn receive(
        &self,
        buffer: &mut [u8],
        now: impl Fn() -> time::Duration,
    ) -> io::Result<usize> {
        loop {
            self.socket.readable().await?;
            let at = now();
            match self.socket.try_recv(buffer) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => self.drained_at.set(at),
                result => return result,
            }
        }
    }

    /// Returns the length of a datagram that has arrived by `now`; `None` if there is none.
    pub(super) fn read(&self, buffer: &mut [u8], now: time::Duration) -> io::Result<Option<usize>> {
        let socket = socket2::SockRef::from(&self.socket);
        match (&*socket).read(buffer) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                self.drained_at.set(now);
                Ok(None)
            }
            result => result.map(Some),
        }
    }

    /// Returns a time before which the datagram that was read last hadn't arrived. In a process that
    /// was suspended, datagrams have waited in the receive buffer, and ages in them count from here.
    pub(in crate::direct) fn arrived_after(&self) -> time::Duration {
        self.drained_at.get()
    }

    /// Sends a datagram; a failure is treated like a loss in the network.
    pub(super) fn send(&self, to: net::Ipv4Addr, datagram: &message::Datagram) {
        self.send_bytes(to, &datagram.encode_to_vec());
    }

    pub(in crate::direct) fn send_bytes(&self, to: net::Ipv4Addr, datagram: &[u8]) {
        let to = net::SocketAddrV4::new(to, self.own.port());
        let sent = self.socket.try_send_to(datagram, to.into());
        if let Err(err) = sent {
            log::debug!(event = "datagram_failed", error:% = err; "");
        }
    }
    /// Returns a datagram without content, from an entry with this incarnation.
    pub(in crate::direct) fn envelope(&self, incarnation: u64) -> message::Datagram {
        message::Datagram {
            sender: incarnation,
            address: self.own.ip().to_bits(),
            ..message::Datagram::default()
        }
    }
}

/// Opens the socket; an entry without one makes all decisions itself.
pub async fn open(addresses: &Addresses) -> io::Result<Link> {
    Ok(Link {
        socket: tokio_net::UdpSocket::bind(addresses.own).await?,
        own: addresses.own,
        drained_at: cell::Cell::default(),
        last_catch_up: cell::Cell::default(),
        reported_load: cell::Cell::default(),
        last_full_pump: cell::Cell::default(),
    })
}
