//! Placements that this entry granted to other entries' requests on engines that it decides about.
//!
//! Each is a lease. The requesting entry holds it until it reports that the request finished or was
//! dropped, or until the request must have finished by its deadline.

use std::{cell, collections, net, rc, time};

use super::message;
use crate::code;
use crate::decide::place;
use crate::direct::state;
use crate::key;

/// Time after a request's deadline at which its lease expires.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Maximum number of leases at a time.
const MAX_LEASES: usize = 20_000;

/// A placement granted to another entry's request, or the request's position in the queue.
#[derive(Debug)]
struct Lease {
    server: key::Sidecar,
    // Number of the request at this entry.
    local_number: u64,
    placed: Option<place::Placement>,
    ticket: Option<place::Ticket>,
    expires: time::Duration,
}

/// Leases by the incarnation of the requesting entry and the request's number there.
#[derive(Debug, Default)]
pub struct Table(cell::RefCell<collections::HashMap<(u64, u64), Lease>>);

/// Identity of another entry's request, and the address for replies.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    sender: u64,
    address: net::Ipv4Addr,
    number: u64,
}

/// Decides about another entry's placement request.
pub fn on_request(
    entry: &rc::Rc<state::Entry>,
    sender: u64,
    address: net::Ipv4Addr,
    request: &message::PlacementRequest,
) {
    let holder = Holder {
        sender,
        address,
        number: request.number,
    };
    let server = entry.server_by_hash(request.server);
    let server = server.filter(|server| !entry.leaves_to_decider(*server));
    let (Some(server), false) = (server, entry.is_leaving()) else {
        return reply(entry, holder, message::Decision::Elsewhere, |_| {});
    };
    if entry.leases.is_full() {
        // A slot whose lease isn't kept would never be returned.
        entry.meter.count("leases", "full");
        return reply(entry, holder, message::Decision::Elsewhere, |_| {});
    }
    let now = entry.now();
    let now_ms = now.as_millis() as i64;
    let at = |ms: i64| time::Duration::from_millis(now_ms.saturating_add(ms).max(0) as u64);
    let job = place::Job {
        service: 0,
        customer: entry.customer(&request.customer),
        parts: request.parts(),
        cost: request.cost,
        due: at(request.due_ms),
        objective: time::Duration::from_millis(request.objective_ms.into()),
        excluded: smallvec::SmallVec::new(),
        suspect: request.suspect_fingerprint(),
        version: None,
        is_resumable: false,
    };
    let local_number = entry.next_request_number();
    let mut fleet = entry.fleet.borrow_mut();
    let estimate = fleet.estimate(now, &job, server);
    let verdict = fleet.decide(now, local_number, &job, server, estimate);
    drop(fleet);
    let expires = at(request.deadline_ms.into()) + EXPIRY_MARGIN;
    let lease = |placed, ticket| Lease {
        server,
        local_number,
        placed,
        ticket,
        expires,
    };
    match verdict {
        place::Verdict::Start(placed) => {
            let details = grant_details(entry, &placed);
            entry.leases.insert(holder, lease(Some(placed), None));
            reply(entry, holder, message::Decision::Go, details);
        }
        place::Verdict::Wait(ticket, until) => {
            entry.leases.insert(holder, lease(None, Some(ticket)));
            entry.wait_for_peer(local_number, holder);
            let ms = until.saturating_sub(now).as_millis() as u32;
            reply(entry, holder, message::Decision::Wait, |r| {
                r.ms = ms;
                r.estimate = Some(estimate.into());
            });
        }
        place::Verdict::Refuse(code::Code::NoBackendServer, _) => {
            reply(entry, holder, message::Decision::Elsewhere, |_| {});
        }
        place::Verdict::Refuse(code, after) => {
            let load = entry.fleet.borrow().own_load(now, server);
            reply(entry, holder, message::Decision::Refuse, |r| {
                r.set_speed(&load);
                r.code = code.number().into();
                r.ms = after.as_millis() as u32;
                r.estimate = Some(estimate.into());
            });
        }
    }
}

// Returns a function that fills in the fields of a reply that describe a granted placement.
fn grant_details(
    entry: &state::Entry,
    placed: &place::Placement,
) -> impl FnOnce(&mut message::PlacementReply) + use<> {
    let (tokens, ahead_ms) = (placed.tokens as f32, placed.ahead_ms as f32);
    let load = entry.fleet.borrow().own_load(entry.now(), placed.server);
    let source = placed
        .fetch_source
        .and_then(|server| entry.server_hash(server));
    move |reply| {
        reply.tokens = tokens;
        reply.ahead_ms = ahead_ms;
        reply.source = source;
        reply.set_speed(&load);
    }
}

fn reply(
    entry: &state::Entry,
    holder: Holder,
    decision: message::Decision,
    fill: impl FnOnce(&mut message::PlacementReply),
) {
    let Some(link) = &entry.link else { return };
    let mut reply = message::PlacementReply {
        number: holder.number,
        decision: decision.into(),
        ..message::PlacementReply::default()
    };
    fill(&mut reply);
    let datagram = message::Datagram {
        placement_reply: Some(reply),
        ..link.envelope(entry.incarnation)
    };
    link.send(holder.address, &datagram);
}

/// Grants a placement to a queued request of another entry.
pub fn grant(entry: &state::Entry, holder: Holder, placed: place::Placement) {
    let details = grant_details(entry, &placed);
    let unclaimed = entry.leases.set_placed(holder, placed);
    if let Some(placed) = unclaimed {
        entry.meter.count("asks", "unheard");
        let now = entry.now();
        entry.fleet.borrow_mut().release(now, placed, false);
        return;
    }
    reply(entry, holder, message::Decision::Go, details);
}

/// Tells the requesting entry that this entry can't place its queued request.
pub fn decline(entry: &state::Entry, holder: Holder) {
    entry.leases.remove(holder.sender, holder.number);
    reply(entry, holder, message::Decision::Elsewhere, |_| {});
}

/// Applies the progress of another entry's request.
pub fn on_progress(entry: &state::Entry, sender: u64, progress: &message::Progress) {
    let step = progress.step();
    if step == message::Step::Began {
        let now = entry.now();
        let server = entry.leases.began(sender, progress.number, |placed| {
            entry.fleet.borrow_mut().record_first_event(now, placed);
        });
        if let Some(server) = server {
            entry.grant_waiting(server);
        }
        return;
    }
    if let Some(lease) = entry.leases.remove(sender, progress.number) {
        end(entry, lease, step == message::Step::Finished);
    }
}

fn end(entry: &state::Entry, lease: Lease, served: bool) {
    if let Some(placed) = lease.placed {
        if !served {
            entry.meter.count("asks", "given_back");
        }
        let now = entry.now();
        entry.fleet.borrow_mut().release(now, placed, served);
    } else if let Some(ticket) = lease.ticket {
        entry.cancel_wait(lease.local_number, ticket);
    }
    entry.grant_waiting(lease.server);
}

/// Ends the leases of an incarnation of another entry that is gone.
pub fn forget(entry: &state::Entry, sender: u64) {
    for lease in entry.leases.remove_matching(|(s, _), _| *s == sender) {
        end(entry, lease, false);
    }
}

/// Ends leases whose requests must have finished by their deadlines.
pub fn expire(entry: &state::Entry) {
    let now = entry.now();
    for lease in entry
        .leases
        .remove_matching(|_, lease| now >= lease.expires)
    {
        entry.meter.count("asks", "left_over");
        end(entry, lease, true);
    }
}

impl Table {
    /// Returns whether no more leases are granted.
    pub fn is_full(&self) -> bool {
        self.0.borrow().len() >= MAX_LEASES
    }

    fn insert(&self, holder: Holder, lease: Lease) {
        let mut table = self.0.borrow_mut();
        table.insert((holder.sender, holder.number), lease);
    }

    fn set_placed(&self, holder: Holder, placed: place::Placement) -> Option<place::Placement> {
        let mut table = self.0.borrow_mut();
        match table.get_mut(&(holder.sender, holder.number)) {
            Some(lease) => {
                lease.placed = Some(placed);
                lease.ticket = None;
                None
            }
            None => Some(placed),
        }
    }

    fn began(
        &self,
        sender: u64,
        number: u64,
        began: impl FnOnce(&mut place::Placement),
    ) -> Option<key::Sidecar> {
        let mut table = self.0.borrow_mut();
        let lease = table.get_mut(&(sender, number))?;
        began(lease.placed.as_mut()?);
        Some(lease.server)
    }

    fn remove(&self, sender: u64, number: u64) -> Option<Lease> {
        self.0.borrow_mut().remove(&(sender, number))
    }

    fn remove_matching(&self, matches: impl Fn(&(u64, u64), &Lease) -> bool) -> Vec<Lease> {
        let mut table = self.0.borrow_mut();
        let keys: Vec<_> = table
            .iter()
            .filter(|(key, lease)| matches(key, lease))
            .map(|(k, _)| *k)
            .collect();
        keys.iter().filter_map(|key| table.remove(key)).collect()
    }
}
