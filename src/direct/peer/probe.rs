//! Probes of random peers, and what entries tell each other about peers that don't answer.

use std::net;

use prost::Message as _;
use smallvec::SmallVec;

use super::{interval, link, message};
use crate::decide::probe;
use crate::decide::spread::target;
use crate::direct::state;

/// Probes random peers and evaluates earlier probes. `asked` are peers that were just asked for
/// their state, which is a probe as well.
pub fn run_round(entry: &state::Entry, link: &link::Link, asked: &[net::Ipv4Addr]) {
    if !interval::needs_probes(entry.peers.borrow().send_addresses().len()) {
        return;
    }
    send_probes(entry, link, asked);
    let now = entry.now();
    let due =
        entry
            .probes
            .borrow_mut()
            .round(now, entry.extra_timeout(), &mut entry.rng.borrow_mut());
    for process in due.relayed {
        relay(entry, link, process);
    }
    for record in &due.suspicions {
        suspect(entry, link, record);
    }
    for records in due.forwarded.chunks(probe::MAX_RECORDS) {
        spread(entry, link, records, None);
    }
}

fn send_probes(entry: &state::Entry, link: &link::Link, asked: &[net::Ipv4Addr]) {
    let (now, peers) = (entry.now(), entry.peers.borrow());
    let random = {
        let mut rng = entry.rng.borrow_mut();
        target::sample(peers.send_addresses(), probe::PROBES_PER_ROUND, &mut rng)
    };
    let answers = |address: &&net::Ipv4Addr| peers.answers_probes(**address);
    for address in random.iter().filter(answers) {
        send_probe(entry, link, *address, None);
    }
    let mut probes = entry.probes.borrow_mut();
    for address in random.iter().chain(asked).filter(answers) {
        probes.on_sent(now, *address);
    }
}

fn suspect(entry: &state::Entry, link: &link::Link, record: &probe::Record) {
    let (now, peer) = (entry.now(), record.process.address);
    entry.meter.count("probes", "suspected");
    entry
        .log
        .line("peer_suspected")
        .with("peer", peer)
        .ms("silent_ms", now.saturating_sub(record.at));
    // The suspected entry refutes it if it can.
    spread(entry, link, &[*record], Some(peer));
}

// Asks other peers to probe this one, and probes it once more.
fn relay(entry: &state::Entry, link: &link::Link, process: probe::Process) {
    entry.meter.count("probes", "relayed");
    let relays = {
        let (peers, mut rng) = (entry.peers.borrow(), entry.rng.borrow_mut());
        target::sample(peers.send_addresses(), probe::RELAYS, &mut rng)
    };
    for relay in relays.iter().filter(|relay| **relay != process.address) {
        send_probe(entry, link, *relay, Some(process.address));
    }
    send_probe(entry, link, process.address, None);
}

fn send_probe(
    entry: &state::Entry,
    link: &link::Link,
    to: net::Ipv4Addr,
    target: Option<net::Ipv4Addr>,
) {
    let target = target.map_or(0, net::Ipv4Addr::to_bits);
    let datagram = message::Datagram {
        probe: Some(message::Probe { target }),
        ..link.envelope(entry.incarnation)
    };
    link.send(to, &datagram);
}

/// Records that a datagram of this process arrived.
pub fn on_heard(entry: &state::Entry, process: probe::Process) {
    let now = entry.now();
    let heard = entry.probes.borrow_mut().on_heard(now, process);
    if heard.is_restored {
        restore(entry, process);
    }
    let Some(link) = &entry.link else { return };
    let alive = probe::Record {
        process,
        suspicion: 0,
        is_suspect: false,
        at: now,
    };
    for origin in heard.origins {
        send_records(entry, link, &[origin], &[alive]);
    }
}

/// Answers a probe, or probes another entry for the sender.
pub fn on_probe(entry: &state::Entry, from: net::Ipv4Addr, probe: message::Probe) {
    let Some(link) = &entry.link else { return };
    if probe.target == 0 {
        let now = entry.now();
        let mut probes = entry.probes.borrow_mut();
        let records = probes.records(now, &mut entry.rng.borrow_mut());
        return send_records(entry, link, &[from], &records);
    }
    let target = net::Ipv4Addr::from_bits(probe.target);
    let is_relayed = entry
        .probes
        .borrow_mut()
        .on_relay(entry.now(), from, target);
    if is_relayed {
        send_probe(entry, link, target, None);
    }
}

/// Records what a peer knows of other processes, and forwards what is new here.
pub fn on_liveness(entry: &state::Entry, liveness: &[message::Liveness]) {
    let now = entry.now();
    let own = probe::Process {
        address: entry.settings.borrow().address,
        incarnation: entry.incarnation,
    };
    let mut forwarded = SmallVec::<[probe::Record; 4]>::new();
    for message in liveness {
        let record = message.received(now);
        let was_gone = entry.probes.borrow().is_gone(record.process);
        let new = entry.probes.borrow_mut().on_record(now, own, record);
        if was_gone && !entry.probes.borrow().is_gone(record.process) {
            restore(entry, record.process);
        }
        if new.is_some_and(|new| new.process == own) {
            entry.meter.count("probes", "refuted");
        }
        forwarded.extend(new);
    }
    if let (Some(link), false) = (&entry.link, forwarded.is_empty()) {
        spread(entry, link, &forwarded, None);
    }
}

// Sends records to a few random peers, and to one in addition.
fn spread(
    entry: &state::Entry,
    link: &link::Link,
    records: &[probe::Record],
    to: Option<net::Ipv4Addr>,
) {
    let mut targets = {
        let (peers, mut rng) = (entry.peers.borrow(), entry.rng.borrow_mut());
        target::sample(peers.send_addresses(), probe::FANOUT, &mut rng)
    };
    targets.extend(to);
    send_records(entry, link, &targets, records);
}

fn send_records(
    entry: &state::Entry,
    link: &link::Link,
    targets: &[net::Ipv4Addr],
    records: &[probe::Record],
) {
    let now = entry.now();
    let liveness = records.iter().map(|r| message::Liveness::new(now, r));
    let datagram = message::Datagram {
        liveness: liveness.collect(),
        ..link.envelope(entry.incarnation)
    };
    let bytes = datagram.encode_to_vec();
    for target in targets {
        link.send_bytes(*target, &bytes);
    }
}

// Counts a process as a peer again that was gone.
fn restore(entry: &state::Entry, process: probe::Process) {
    let mut peers = entry.peers.borrow_mut();
    peers.restore(entry.now(), process.address, process.incarnation);
}
