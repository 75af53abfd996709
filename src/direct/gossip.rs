//! What entries tell each other: load, customers' service, and who else there is.
//!
//! Every entry sends all others one datagram a beat. A lost one costs nothing: the next says it all
//! again. An entry is gone for the others when it was silent for [`SILENT`].

use std::{collections, io, net, rc, time};

use prost::Message as _;
use tokio::net as tokio_net;

use super::state;
use crate::decide::place;
use crate::key;

/// Time between two beats among few entries. Backend servers read 4,000 prompt tokens in it, a
/// third of what may be handed over ahead.
const BEAT: time::Duration = time::Duration::from_millis(80);

/// Beats that one entry hears a second at most, so that the fleet's size doesn't cost processor
/// time: with more entries the beat is slower.
const HEARD_PER_S: u32 = 120;

/// Silence after which an entry is gone: it is not counted in load, service and shares any more.
pub const SILENT: time::Duration = time::Duration::from_millis(1_500);

/// Time without a word after which an address is no longer written to, unless it is a seed.
const FORGOTTEN: time::Duration = time::Duration::from_secs(15);

/// Largest datagram: below what one packet holds with 30 backend servers and 30 customers.
const DATAGRAM: usize = 16 * 1024;

/// Service below which a customer is not told of, in cost units: less than one short request.
const NEGLIGIBLE: f64 = 100.0;

/// One entry's beat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Beat {
    /// Number of this start of the sender.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Its address, as 32 bits.
    #[prost(fixed32, tag = "2")]
    pub address: u32,
    /// Counts its beats.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether it is shutting down and takes nothing new.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Its load on backend servers, where it has any.
    #[prost(message, repeated, tag = "5")]
    pub loads: Vec<Load>,
    /// Its customers' recent service.
    #[prost(message, repeated, tag = "6")]
    pub served: Vec<Served>,
    /// Addresses of the entries it hears.
    #[prost(fixed32, repeated, tag = "7")]
    pub heard: Vec<u32>,
}

/// Load on one backend server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Load {
    /// Hash of the backend server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prompt tokens handed over and not yet read.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
    /// Recent service of the customer with the least that waits, if any does.
    #[prost(float, optional, tag = "4")]
    pub least: Option<f32>,
}

/// Recent service of one customer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Served {
    /// Hash of the customer's name.
    #[prost(fixed64, tag = "1")]
    pub customer: u64,
    /// Cost units, faded.
    #[prost(float, tag = "2")]
    pub amount: f32,
}

/// Another entry.
#[derive(Debug)]
struct Peer {
    sender: u64,
    sequence: u64,
    heard: time::Duration,
    loads: Vec<Load>,
    leaving: bool,
}

/// The other entries, as one entry hears them.
#[derive(Debug, Default)]
pub struct Peers {
    alive: collections::HashMap<net::Ipv4Addr, Peer>,
    // Addresses to write to, with when something was last heard of them.
    known: collections::HashMap<net::Ipv4Addr, time::Duration>,
    seeds: Vec<net::Ipv4Addr>,
}

impl Peers {
    /// No peers but these addresses to ask.
    pub fn new(seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Takes in a beat; `false` if it is older than one heard before.
    pub fn hear(&mut self, now: time::Duration, beat: &Beat) -> bool {
        let address = net::Ipv4Addr::from_bits(beat.address);
        let old = |p: &Peer| p.sender == beat.sender && p.sequence >= beat.sequence;
        if self.alive.get(&address).is_some_and(old) {
            return false;
        }
        self.known.insert(address, now);
        for address in &beat.heard {
            let address = net::Ipv4Addr::from_bits(*address);
            self.known.entry(address).or_insert(now);
        }
        let peer = Peer {
            sender: beat.sender,
            sequence: beat.sequence,
            heard: now,
            loads: beat.loads.clone(),
            leaving: beat.leaving,
        };
        self.alive.insert(address, peer);
        true
    }

    /// Forgets who was silent; returns the numbers of the starts that are gone.
    pub fn expire(&mut self, now: time::Duration) -> Vec<u64> {
        self.known.retain(|_, heard| now < *heard + FORGOTTEN);
        let gone: Vec<net::Ipv4Addr> = self
            .alive
            .iter()
            .filter(|(_, p)| now >= p.heard + SILENT)
            .map(|(address, _)| *address)
            .collect();
        let peers = gone.iter().filter_map(|a| self.alive.remove(a));
        peers.map(|p| p.sender).collect()
    }

    /// Entries that take requests, this one included.
    pub fn entries(&self) -> usize {
        1 + self.alive.values().filter(|p| !p.leaving).count()
    }

    /// Addresses to write to, but for one's own.
    pub fn addresses(&self, own: net::Ipv4Addr) -> Vec<net::Ipv4Addr> {
        let known = self.known.keys().chain(&self.seeds).copied();
        let all: collections::BTreeSet<_> = known.filter(|a| *a != own).collect();
        all.into_iter().collect()
    }

    /// Load that all others put on each backend server, by the hash of its id.
    pub fn loads(&self) -> collections::HashMap<u64, place::Load> {
        let mut sums: collections::HashMap<u64, place::Load> = collections::HashMap::new();
        for load in self.alive.values().flat_map(|p| &p.loads) {
            let sum = sums.entry(load.server).or_default();
            sum.running += load.running;
            sum.unread += f64::from(load.unread);
            let least = load.least.map_or(f64::INFINITY, f64::from);
            let known = sum.least.unwrap_or(f64::INFINITY);
            sum.least = Some(known.min(least)).filter(|l| l.is_finite());
        }
        sums
    }
}

/// Where an entry gossips.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its own address and the port that all entries use.
    pub own: net::SocketAddrV4,
    /// Addresses where other entries may be.
    pub seeds: Vec<net::Ipv4Addr>,
}

/// Gossips until the process ends.
pub async fn run(entry: rc::Rc<state::Entry>, place: Place) -> io::Result<()> {
    let socket = tokio_net::UdpSocket::bind(place.own).await?;
    let mut sequence = 0;
    let mut buffer = vec![0; DATAGRAM];
    let mut next = tokio::time::Instant::now();
    loop {
        match tokio::time::timeout_at(next, socket.recv_from(&mut buffer)).await {
            Ok(Ok((len, _))) => match Beat::decode(&buffer[..len]) {
                Ok(beat) => hear(&entry, &beat),
                Err(err) => drop(entry.log.line("beat_malformed").with("error", err)),
            },
            // What the network says of an earlier datagram; the next beat tries again.
            Ok(Err(err)) => log::debug!(event = "beat_failed", error:% = err; ""),
            Err(_elapsed) => {
                sequence += 1;
                let beat = beat(&entry, place.own, sequence).encode_to_vec();
                let addresses = entry.peers.borrow().addresses(*place.own.ip());
                for address in &addresses {
                    let to = net::SocketAddrV4::new(*address, place.own.port());
                    if let Err(err) = socket.send_to(&beat, to).await {
                        log::debug!(event = "beat_failed", error:% = err; "");
                    }
                }
                next = tokio::time::Instant::now() + interval(addresses.len());
            }
        }
    }
}

/// Time between beats to so many others.
pub fn interval(others: usize) -> time::Duration {
    let slow = time::Duration::from_secs(1) * others as u32 / HEARD_PER_S;
    BEAT.max(slow)
}

fn hear(entry: &state::Entry, beat: &Beat) {
    let now = entry.now();
    let before = entry.peers.borrow().entries();
    if !entry.peers.borrow_mut().hear(now, beat) {
        return;
    }
    let mut heard = Vec::with_capacity(beat.served.len());
    for served in &beat.served {
        if let Some(customer) = entry.customer_by_hash(served.customer) {
            heard.push((customer, f64::from(served.amount)));
        }
    }
    let mut fleet = entry.fleet.borrow_mut();
    fleet.recent().forget(beat.sender);
    for (customer, amount) in heard {
        fleet.recent().hear(now, beat.sender, customer, amount);
    }
    drop(fleet);
    spread_loads(entry);
    let after = entry.peers.borrow().entries();
    if before != after {
        entry
            .log
            .line("entries")
            .with("before", before)
            .with("now", after);
    }
}

/// Forgets entries that fell silent.
pub fn expire(entry: &state::Entry) {
    let before = entry.peers.borrow().entries();
    let gone = entry.peers.borrow_mut().expire(entry.now());
    if gone.is_empty() {
        return;
    }
    for sender in gone {
        entry.fleet.borrow_mut().recent().forget(sender);
    }
    spread_loads(entry);
    let after = entry.peers.borrow().entries();
    entry
        .log
        .line("entries")
        .with("before", before)
        .with("now", after);
}

// Tells the placing what others do, and hands over what has room now.
fn spread_loads(entry: &state::Entry) {
    let loads = entry.peers.borrow().loads();
    for (server, hash) in entry.server_hashes() {
        let load = loads.get(&hash).copied().unwrap_or_default();
        entry.fleet.borrow_mut().set_others(server, load);
    }
    let waiting = entry.fleet.borrow().with_waiting();
    for server in waiting {
        entry.pump(server);
    }
}

fn beat(entry: &state::Entry, own: net::SocketAddrV4, sequence: u64) -> Beat {
    let now = entry.now();
    let fleet = entry.fleet.borrow();
    let load = |(server, hash): (key::Sidecar, u64)| {
        let load = fleet.own(now, server);
        (load.running > 0 || load.least.is_some()).then_some(Load {
            least: load.least.map(|least| least as f32),
            server: hash,
            running: load.running,
            unread: load.unread as u32,
        })
    };
    let served = |(customer, hash): (key::Customer, u64)| {
        let amount = fleet.served(now, customer);
        (amount >= NEGLIGIBLE).then_some(Served {
            customer: hash,
            amount: amount as f32,
        })
    };
    Beat {
        sender: entry.start_number,
        address: own.ip().to_bits(),
        sequence,
        leaving: entry.is_leaving(),
        loads: entry.server_hashes().into_iter().filter_map(load).collect(),
        served: entry
            .customer_hashes()
            .into_iter()
            .filter_map(served)
            .collect(),
        heard: entry
            .peers
            .borrow()
            .alive
            .keys()
            .map(|a| a.to_bits())
            .collect(),
    }
}
