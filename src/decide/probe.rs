//! Failure detection by probes of random peers.
//!
//! Load pattern: a fleet so large that heartbeats from each entry to all others have to be seconds
//! apart. An entry that has stopped is then noticed only after several of those intervals, which
//! grow with the fleet. Here each entry probes a few random peers per round, so that each is probed
//! as often in a fleet of any size. A peer that doesn't answer is probed by others in addition,
//! whose network may reach it; if nobody hears it, the suspicion spreads to all, and the peer is
//! gone unless it refutes the suspicion in time (SWIM: Das et al., DSN 2002). An entry that has
//! heard the peer after the probe refutes it as well.

use std::collections::{self, hash_map};
use std::{net, time};

use smallvec::SmallVec;

use super::random;

/// Time after an unanswered probe at which the peer is gone, unless it was heard meanwhile.
pub const GONE_AFTER: time::Duration = time::Duration::from_secs(1);

/// Peers that are probed per round beside the one that an entry exchanges state with. With three
/// probes in a quarter of a second, the last of a hundred entries that end at once is probed half a
/// second later.
pub const PROBES_PER_ROUND: usize = 2;

/// Number of peers that probe on behalf of another.
pub const RELAYS: usize = 3;

/// Number of peers to which an entry forwards a record, each time: twice six reach all but 6 in a
/// million (`x = 1 - exp(-12x)`), so that few wait for an exchange.
pub const FANOUT: usize = 6;

/// Time that an answer may take, directly or by a relay.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time that a datagram may take. One that arrives within it after a probe was sent may be older
/// than the probe, and shows nothing.
const TRANSIT_TIME: time::Duration = time::Duration::from_millis(100);

/// Time for which a record is repeated with the exchanges, for the few peers that it didn't reach.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(2);

/// Time after [`REPEAT_TIME`] in which a record that arrives again isn't new.
const RECOGNITION_TIME: time::Duration = time::Duration::from_secs(8);

/// Number of known peers from which on silent ones are forgotten.
const MAX_PEERS: usize = 4_096;

/// Time without a datagram after which a peer is silent in this sense, far above the time between
/// two of them.
const PEER_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Maximum number of records remembered: a tenth of the largest fleet, suspected by several entries
/// each.
const MAX_KNOWN: usize = 512;

/// Maximum number of records in a datagram, some 20 bytes each.
pub const MAX_RECORDS: usize = 48;

/// Maximum number of records that an entry forwards at once between two rounds. All of them go
/// together with the next round once more, to other peers.
const MAX_FORWARDED: usize = 16;

/// Maximum number of probes that an entry makes on behalf of others at once.
const MAX_RELAYED: usize = 64;

/// Run of a peer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Address of the peer.
    pub address: net::Ipv4Addr,
    /// Incarnation number, which differs between runs.
    pub incarnation: u64,
}

/// A suspicion of a process, or its refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The process.
    pub process: Process,
    /// Random number of the suspicion; 0 if the process was heard without one.
    pub suspicion: u32,
    /// True if it didn't answer a probe sent at [`Record::at`]; otherwise it was heard then.
    pub is_suspect: bool,
    /// Time of the observation.
    pub at: time::Duration,
}

/// Messages that are due after a round.
#[derive(Debug, Default)]
pub struct Due {
    /// Processes that other peers are asked to probe.
    pub relayed: SmallVec<[Process; 4]>,
    /// New suspicions to spread.
    pub suspicions: SmallVec<[Record; 4]>,
    /// Records of others to forward.
    pub forwarded: SmallVec<[Record; 4]>,
}

/// Effect of a process being heard.
#[derive(Debug, Default)]
pub struct Heard {
    /// Peers that asked this entry to probe it.
    pub origins: SmallVec<[net::Ipv4Addr; 4]>,
    /// True if the process counted as gone.
    pub is_restored: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: u64,
    // When it was last heard, by this entry or another.
    heard_at: time::Duration,
    // When the probe was sent that it didn't answer.
    suspected_at: Option<time::Duration>,
    is_gone: bool,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    process: Process,
    sent_at: time::Duration,
    is_relayed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Relay {
    process: Process,
    origin: net::Ipv4Addr,
    until: time::Duration,
}

// A record that was new here, and until when it is repeated.
#[derive(Clone, Copy, Debug)]
struct Known {
    record: Record,
    repeated_until: time::Duration,
}

/// Peers that are probed, and what is known of them.
#[derive(Debug, Default)]
pub struct Table {
    peers: collections::HashMap<net::Ipv4Addr, Peer>,
    probes: SmallVec<[Probe; 8]>,
    relays: SmallVec<[Relay; 4]>,
    // Suspicions and refutations in the order in which they arrived, one for each suspicion.
    known: SmallVec<[Known; 4]>,
    // Addresses of suspected peers that aren't gone.
    suspected: SmallVec<[net::Ipv4Addr; 4]>,
    // Number of records forwarded since the last round.
    forwarded: usize,
    // Records that the next round forwards.
    deferred: SmallVec<[Record; 4]>,
}

impl Table {
    /// Records that a datagram of this process arrived.
    pub fn on_heard(&mut self, now: time::Duration, process: Process) -> Heard {
        self.forget_silent_peers(now);
        let mut origins = SmallVec::new();
        self.relays.retain(|relay| {
            let is_heard = relay.process == process;
            if is_heard {
                origins.push(relay.origin);
            }
            !is_heard
        });
        Heard {
            origins,
            is_restored: self.observe(process, now),
        }
    }

    fn forget_silent_peers(&mut self, now: time::Duration) {
        if self.peers.len() >= MAX_PEERS {
            self.peers
                .retain(|_, peer| now < peer.heard_at + PEER_RETENTION);
        }
    }

    // Records that a process was heard at this time; returns whether it counted as gone.
    fn observe(&mut self, process: Process, at: time::Duration) -> bool {
        let heard = Peer {
            incarnation: process.incarnation,
            heard_at: at,
            suspected_at: None,
            is_gone: false,
        };
        let mut occupied = match self.peers.entry(process.address) {
            hash_map::Entry::Vacant(entry) => {
                entry.insert(heard);
                return false;
            }
            hash_map::Entry::Occupied(entry) => entry,
        };
        let peer = occupied.get_mut();
        if peer.incarnation != process.incarnation {
            *peer = heard;
            return false;
        }
        peer.heard_at = peer.heard_at.max(at);
        if peer.suspected_at.is_none_or(|since| at < since) {
            return false;
        }
        peer.suspected_at = None;
        std::mem::take(&mut peer.is_gone)
    }

    /// Records that a probe was sent to a peer.
    pub fn on_sent(&mut self, now: time::Duration, address: net::Ipv4Addr) {
        let Some(peer) = self.peers.get(&address).filter(|peer| !peer.is_gone) else {
            return;
        };
        let process = Process {
            address,
            incarnation: peer.incarnation,
        };
        if self.probes.iter().all(|probe| probe.process != process) {
            self.probes.push(Probe {
                process,
                sent_at: now,
                is_relayed: false,
            });
        }
    }

    /// Records that a peer asked this entry to probe another; returns whether it does.
    pub fn on_relay(
        &mut self,
        now: time::Duration,
        origin: net::Ipv4Addr,
        address: net::Ipv4Addr,
    ) -> bool {
        self.relays.retain(|relay| now < relay.until);
        let Some(peer) = self.peers.get(&address) else {
            return false;
        };
        if self.relays.len() >= MAX_RELAYED {
            return false;
        }
        let incarnation = peer.incarnation;
        self.relays.push(Relay {
            process: Process {
                address,
                incarnation,
            },
            origin,
            until: now + REPLY_TIMEOUT,
        });
        true
    }

    /// Evaluates the probes sent; `slack` is by how much this entry reads answers late.
    pub fn round(
        &mut self,
        now: time::Duration,
        slack: time::Duration,
        rng: &mut random::Random,
    ) -> Due {
        self.forwarded = 0;
        let mut due = Due {
            forwarded: std::mem::take(&mut self.deferred),
            ..Due::default()
        };
        let timeout = REPLY_TIMEOUT + slack;
        let peers = &self.peers;
        self.probes.retain(|probe| {
            let peer = peers.get(&probe.process.address);
            let is_pending = peer.is_some_and(|peer| {
                peer.incarnation == probe.process.incarnation && peer.heard_at < probe.sent_at
            });
            if is_pending && !probe.is_relayed && now >= probe.sent_at + timeout {
                probe.is_relayed = true;
                due.relayed.push(probe.process);
                return true;
            }
            let is_failed = probe.is_relayed && now >= probe.sent_at + timeout * 2;
            if is_pending && is_failed {
                due.suspicions.push(Record {
                    process: probe.process,
                    suspicion: 1 + rng.below(u32::MAX as usize) as u32,
                    is_suspect: true,
                    at: probe.sent_at,
                });
            }
            is_pending && !is_failed
        });
        due.suspicions.retain(|record| self.suspect(now, *record));
        due
    }

    // Records a suspicion; returns whether the process wasn't suspected yet and not heard since.
    fn suspect(&mut self, now: time::Duration, record: Record) -> bool {
        let Some(peer) = self.peers.get_mut(&record.process.address) else {
            return false;
        };
        let is_new = peer.suspected_at.is_none() && peer.heard_at < record.at + TRANSIT_TIME;
        if is_new {
            peer.suspected_at = Some(record.at);
            self.suspected.push(record.process.address);
            self.remember(now, record);
        }
        is_new
    }

    /// Records what a peer knows of a process; returns the record to forward, if it is new here.
    /// `own` is this entry's process.
    pub fn on_record(
        &mut self,
        now: time::Duration,
        own: Process,
        record: Record,
    ) -> Option<Record> {
        let forwarded = self.learn(now, own, record)?;
        if self.deferred.len() < MAX_KNOWN {
            self.deferred.push(forwarded);
        }
        self.forwarded += 1;
        (self.forwarded <= MAX_FORWARDED).then_some(forwarded)
    }

    // Applies a record; returns what to forward if it is new.
    fn learn(&mut self, now: time::Duration, own: Process, record: Record) -> Option<Record> {
        let known = self.known.iter().find(|known| {
            known.record.suspicion == record.suspicion && known.record.process == record.process
        });
        if known.is_some_and(|known| record.is_suspect || !known.record.is_suspect) {
            return None;
        }
        let heard_at = if record.process == own {
            now
        } else {
            let peer = self.peers.get(&record.process.address)?;
            if peer.incarnation != record.process.incarnation {
                return None;
            }
            peer.heard_at
        };
        if !record.is_suspect {
            self.observe(record.process, record.at);
            let is_refutation = record.suspicion != 0 && record.process != own;
            return is_refutation.then(|| self.remember(now, record));
        }
        if heard_at >= record.at + TRANSIT_TIME {
            let refutation = Record {
                is_suspect: false,
                at: heard_at,
                ..record
            };
            return Some(self.remember(now, refutation));
        }
        self.suspect(now, record).then_some(record)
    }

    /// Returns whether a process counts as gone.
    pub fn is_gone(&self, process: Process) -> bool {
        let peer = self.peers.get(&process.address);
        peer.is_some_and(|peer| peer.is_gone && peer.incarnation == process.incarnation)
    }

    /// Returns the processes that have become gone.
    pub fn take_gone(
        &mut self,
        now: time::Duration,
        slack: time::Duration,
    ) -> SmallVec<[Process; 4]> {
        let mut gone = SmallVec::new();
        let peers = &mut self.peers;
        self.suspected.retain(|address| {
            let Some(peer) = peers.get_mut(address) else {
                return false;
            };
            let Some(since) = peer.suspected_at.filter(|_| !peer.is_gone) else {
                return false;
            };
            peer.is_gone = now >= since + GONE_AFTER + slack;
            if peer.is_gone {
                gone.push(Process {
                    address: *address,
                    incarnation: peer.incarnation,
                });
            }
            !peer.is_gone
        });
        gone
    }

    /// Returns the records that an exchange repeats, a random part if there are many.
    pub fn records(
        &mut self,
        now: time::Duration,
        rng: &mut random::Random,
    ) -> SmallVec<[Record; 4]> {
        self.known
            .retain(|known| now < known.repeated_until + RECOGNITION_TIME);
        let first = self
            .known
            .partition_point(|known| known.repeated_until <= now);
        let repeated = &self.known[first..];
        let picked = rng.sample(repeated.len(), MAX_RECORDS).into_iter();
        picked.map(|at| repeated[at].record).collect()
    }

    fn remember(&mut self, now: time::Duration, record: Record) -> Record {
        self.known.retain(|known| {
            known.record.process != record.process || known.record.suspicion != record.suspicion
        });
        if self.known.len() >= MAX_KNOWN {
            self.known.remove(0);
        }
        self.known.push(Known {
            record,
            repeated_until: now + REPEAT_TIME,
        });
        record
    }
}
