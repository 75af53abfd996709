//! Exchange of the software versions that streams are bound to; see [`crate::decide::binding`].

use std::{cell, collections, net, time};

use prost::Message as _;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::{binding_message, message};
use crate::decide::{binding, rendezvous};
use crate::direct::state;

/// Time for which replies are awaited: several round trips to busy processes. The caller has lost
/// its connection already, and an unknown version ends its stream.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time after which the entries that haven't replied are asked once more.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(60);

/// Maximum number of records in a datagram, about 35 bytes each.
const MAX_RECORDS_PER_DATAGRAM: usize = 200;

/// Requests of this entry that await replies.
#[derive(Debug, Default)]
pub struct PendingRequests(
    cell::RefCell<collections::HashMap<u64, mpsc::UnboundedSender<binding::Reply>>>,
);

impl PendingRequests {
    /// Passes a reply on to the request that it is for.
    pub fn on_reply(&self, reply: &binding_message::Reply) {
        if let Some(pending) = self.0.borrow().get(&reply.number) {
            // The request may have been cancelled just now.
            let _left = pending.send((*reply).into());
        }
    }
}

// A request that awaits replies; it is removed when dropped.
struct Pending<'a> {
    entry: &'a state::Entry,
    number: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let mut pending = self.entry.binding_requests.0.borrow_mut();
        pending.remove(&self.number);
    }
}

type Batches = collections::HashMap<net::Ipv4Addr, Vec<binding_message::Record>>;

/// Sends records to the entries that keep them.
pub fn send_records(entry: &state::Entry, records: &[binding::Record]) {
    let now = entry.now();
    let mut batches = Batches::new();
    let peers = entry.peers.borrow();
    for record in records {
        let holders = record
            .stream
            .holders(peers.alive_addresses(), binding::HOLDERS);
        for holder in holders {
            let message = binding_message::Record::new(now, record);
            batches.entry(holder).or_default().push(message);
        }
    }
    send_batches(entry, &batches, |bindings| message::Datagram {
        bindings,
        ..message::Datagram::default()
    });
}

/// Sends records to the entries that write them to the platform's store.
pub fn send_to_writers(entry: &state::Entry, records: &[binding::Record]) {
    if records.is_empty() {
        return;
    }
    let (now, own) = (entry.now(), entry.settings.borrow().address);
    let writers = entry.binding_writers();
    let mut batches = Batches::new();
    for record in records {
        match record.stream.writer(&writers) {
            Some(writer) if writer != own => {
                let message = binding_message::Record::new(now, record);
                batches.entry(writer).or_default().push(message);
            }
            _ => entry.add_to_journal(*record),
        }
    }
    send_batches(entry, &batches, |unwritten_bindings| message::Datagram {
        unwritten_bindings,
        ..message::Datagram::default()
    });
}

fn send_batches(
    entry: &state::Entry,
    batches: &Batches,
    message: impl Fn(Vec<binding_message::Record>) -> message::Datagram,
) {
    let Some(link) = &entry.link else { return };
    for (recipient, records) in batches {
        for records in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let envelope = link.envelope(entry.incarnation);
            let datagram = message::Datagram {
                sender: envelope.sender,
                address: envelope.address,
                ..message(records.to_vec())
            };
            entry.meter.count("bindings", "sent");
            link.send(*recipient, &datagram);
        }
    }
}

/// Accepts records of another entry that this one is to write.
pub fn on_unwritten(entry: &state::Entry, records: &[binding_message::Record]) {
    let now = entry.now();
    for record in records {
        entry.add_to_journal(record.received(now));
    }
}

/// Keeps records of another entry.
pub fn on_records(entry: &state::Entry, records: &[binding_message::Record]) {
    let (now, mut bindings) = (entry.now(), entry.bindings.borrow_mut());
    for record in records {
        bindings.keep(record.received(now));
    }
}

/// Answers a request for the version that began a stream.
pub fn on_request(
    entry: &state::Entry,
    address: net::Ipv4Addr,
    request: &binding_message::Request,
) {
    let Some(link) = &entry.link else { return };
    let service = binding::Service {
        hash: request.service,
        lifetime: time::Duration::from_millis(request.lifetime_ms.into()),
    };
    let stream = binding::Stream {
        customer: request.customer,
        id: request.id,
    };
    let reply = entry.binding_reply(stream, service);
    let datagram = message::Datagram {
        binding_reply: Some(binding_message::Reply::new(request.number, reply)),
        ..link.envelope(entry.incarnation)
    };
    link.send(address, &datagram);
}

// Returns the entries to ask for the version of a stream. An entry that hasn't run for long enough to
// know the service's versions also asks one that reads the store, which may know them.
fn asked(
    entry: &state::Entry,
    stream: binding::Stream,
    service: binding::Service,
) -> rendezvous::Addresses {
    let now = entry.now();
    let peers = entry.peers.borrow();
    let mut asked = stream.holders(peers.alive_addresses(), binding::ASKED);
    if !entry.bindings.borrow().knows_versions(now, service) {
        let spread = entry.spread.borrow();
        let mut readers = spread.fresh_readers(now, peers.entry_count());
        let is_other = |a: &net::Ipv4Addr| peers.alive_addresses().any(|other| other == *a);
        asked.extend(readers.find(|a| is_other(a) && !asked.contains(a)));
    }
    asked
}

/// Asks other entries for the version that began a stream. Returns when one knows it, when all have
/// replied, or after [`REPLY_TIMEOUT`].
pub async fn request(
    entry: &state::Entry,
    stream: binding::Stream,
    service: binding::Service,
) -> binding::Replies {
    let mut received = SmallVec::new();
    let Some(link) = &entry.link else {
        return binding::Replies::default();
    };
    let holders = asked(entry, stream, service);
    let number = entry.next_request_number();
    let (sender, mut replies) = mpsc::unbounded_channel();
    entry.binding_requests.0.borrow_mut().insert(number, sender);
    let _pending = Pending { entry, number };
    let datagram = message::Datagram {
        binding_request: Some(binding_message::Request {
            number,
            customer: stream.customer,
            id: stream.id,
            service: service.hash,
            lifetime_ms: service.lifetime.as_millis() as u32,
        }),
        ..link.envelope(entry.incarnation)
    };
    let bytes = datagram.encode_to_vec();
    let begun = tokio::time::Instant::now();
    'asking: for until in [RESEND_DELAY, REPLY_TIMEOUT] {
        for holder in &holders {
            entry.meter.count("bindings", "asked");
            link.send_bytes(*holder, &bytes);
        }
        while received.len() < holders.len() {
            let next = tokio::time::timeout_at(begun + until, replies.recv()).await;
            let Ok(Some(reply)) = next else { break };
            received.push(reply);
            if reply.version.is_some() {
                break 'asking;
            }
        }
        if received.len() >= holders.len() {
            break;
        }
    }
    let peers = entry.peers.borrow();
    let (reached, unreachable) = (peers.alive_addresses().count(), peers.unreachable_entries());
    binding::Replies {
        is_partial: received.len() < holders.len() || binding::lacks_contact(reached, unreachable),
        received,
    }
}
