//! Asking another entry for a place at an engine that it decides about, and being asked.
//!
//! Load pattern: many entries hand work to one engine. If each decides for itself from beats that are
//! a tenth of a second old, a burst is handed over once by each: with eight entries nine in ten first
//! events came three times later than the median. One deciding entry for each engine knows exactly
//! what the engine holds, whose turn it is and which parts it keeps. It costs the way there and back,
//! some 4 ms of objectives of 600 and more.

use std::{cell, collections, net, rc, time};

use tokio::sync::mpsc;

use super::message;
use crate::code;
use crate::decide::place;
use crate::direct::{refusal, request, state};
use crate::key;

/// Time for the first reply: several times the way there and back, with a busy process at the other
/// end. Then the asking entry decides itself.
const REPLY: time::Duration = time::Duration::from_millis(100);

/// How often a note is said: with one datagram in forty lost, all three are once in 64,000.
const SAID: u32 = 3;

/// Notes kept to be said again for one entry.
const NOTES: usize = 256;

/// Time beyond a request's deadline after which its place is given back in any case.
const LEFT_OVER: time::Duration = time::Duration::from_secs(1);

/// Places granted to other entries' requests at once.
const GRANTED: usize = 20_000;

/// A place that another entry granted.
#[derive(Debug)]
pub struct Grant {
    /// The entry.
    pub owner: net::Ipv4Addr,
    /// This entry's number for it.
    pub number: u64,
    /// The engine.
    pub server: key::Sidecar,
    /// Prompt tokens that the engine has to read.
    pub tokens: f64,
    /// Milliseconds of prompts that stand before it.
    pub ahead_ms: f64,
}

/// What asking came to.
#[derive(Debug)]
pub enum Outcome {
    /// It has a place.
    Granted(Grant),
    /// It can't be served, and what that was decided by, if the deciding entry said so.
    Refused(refusal::Refusal, Option<place::Weighed>),
    /// Nobody decided: decide here.
    Undecided,
}

#[derive(Debug)]
struct Pending {
    owner: net::Ipv4Addr,
    replies: mpsc::UnboundedSender<message::Reply>,
}

/// Requests of this entry that ask others, and notes to them.
#[derive(Debug, Default)]
pub struct Asks {
    pending: cell::RefCell<collections::HashMap<u64, Pending>>,
    notes: cell::RefCell<collections::HashMap<net::Ipv4Addr, Vec<(message::Note, u32)>>>,
}

/// A place granted to another entry's request, or its wait for one.
#[derive(Debug)]
struct Remote {
    server: key::Sidecar,
    local: u64,
    placed: Option<place::Placed>,
    ticket: Option<place::Ticket>,
    expires: time::Duration,
}

/// Other entries' requests, by the number of their entry's start and their own.
#[derive(Debug, Default)]
pub struct Granted(cell::RefCell<collections::HashMap<(u64, u64), Remote>>);

/// Whom to tell when a waiting request of another entry gets its place.
#[derive(Clone, Copy, Debug)]
pub struct Asker {
    sender: u64,
    address: net::Ipv4Addr,
    number: u64,
}

impl Asks {
    /// Takes in a reply.
    pub fn replied(&self, from: net::Ipv4Addr, reply: &message::Reply) {
        if let Some(pending) = self.pending.borrow().get(&reply.number)
            && pending.owner == from
        {
            // The request may have left in this moment; its note follows.
            let _left = pending.replies.send(*reply);
        }
    }

    /// An entry is gone: nobody waits for its replies.
    pub fn lost(&self, owner: net::Ipv4Addr) {
        for (number, pending) in &*self.pending.borrow() {
            if pending.owner == owner {
                let reply = message::Reply {
                    number: *number,
                    ..message::Reply::default()
                };
                let _left = pending.replies.send(reply);
            }
        }
        self.notes.borrow_mut().remove(&owner);
    }

    /// Notes to say once more to this entry.
    pub fn notes_again(&self, to: net::Ipv4Addr) -> Vec<message::Note> {
        let mut notes = self.notes.borrow_mut();
        let Some(list) = notes.get_mut(&to) else {
            return Vec::new();
        };
        let again = list.iter().map(|(note, _)| *note).collect();
        for (_, left) in list.iter_mut() {
            *left -= 1;
        }
        list.retain(|(_, left)| *left > 0);
        again
    }

    fn remember(&self, to: net::Ipv4Addr, note: message::Note) {
        let mut notes = self.notes.borrow_mut();
        let list = notes.entry(to).or_default();
        if list.len() < NOTES {
            list.push((note, SAID - 1));
        }
    }
}

/// Tells the deciding entry how far a request is.
pub fn note(entry: &state::Entry, to: net::Ipv4Addr, number: u64, step: message::Step) {
    let Some(link) = &entry.link else { return };
    let note = message::Note {
        number,
        step: step.into(),
    };
    entry.asks.remember(to, note);
    let datagram = message::Datagram {
        notes: vec![note],
        ..super::envelope(entry, link)
    };
    link.send(to, &datagram);
}

// A request that asks; the deciding entry hears if it leaves without a place.
struct Asking<'a> {
    entry: &'a state::Entry,
    owner: net::Ipv4Addr,
    number: u64,
    granted: bool,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.entry.asks.pending.borrow_mut().remove(&self.number);
        if !self.granted {
            note(self.entry, self.owner, self.number, message::Step::Dropped);
        }
    }
}

/// Asks the entry that decides about an engine for a place.
pub async fn ask(
    entry: &rc::Rc<state::Entry>,
    owner: net::Ipv4Addr,
    server: key::Sidecar,
    req: &request::Request,
    job: &place::Job,
) -> Outcome {
    let (Some(link), Some(hash)) = (&entry.link, entry.server_hash(server)) else {
        return Outcome::Undecided;
    };
    let number = entry.number();
    let (replies, mut heard) = mpsc::unbounded_channel();
    let pending = Pending { owner, replies };
    entry.asks.pending.borrow_mut().insert(number, pending);
    let mut asking = Asking {
        entry,
        owner,
        number,
        granted: false,
    };
    let datagram = message::Datagram {
        ask: Some(question(entry, number, hash, req, job)),
        ..super::envelope(entry, link)
    };
    link.send(owner, &datagram);
    let mut until = tokio::time::Instant::now() + REPLY;
    let mut waits = false;
    let mut weighed = None;
    loop {
        let reply = match tokio::time::timeout_at(until, heard.recv()).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                super::catch_up(entry, link, until);
                heard.try_recv().ok()
            }
        };
        let reply = match reply {
            Some(reply) => reply,
            None if waits => {
                entry.meter.count("asks", "lapsed");
                return Outcome::Refused(too_late(REPLY), weighed);
            }
            None => {
                entry.meter.count("asks", "silent");
                let now = entry.now();
                if entry.peers.borrow_mut().distrust(now, owner) {
                    entry
                        .log
                        .line("neighbour_silent")
                        .with("neighbour", owner)
                        .ms("waited_ms", REPLY);
                }
                return Outcome::Undecided;
            }
        };
        let ms = time::Duration::from_millis(reply.ms.into());
        weighed = reply.weighed.map(place::Weighed::from).or(weighed);
        match reply.decision() {
            message::Decision::Elsewhere => {
                entry.meter.count("asks", "elsewhere");
                return Outcome::Undecided;
            }
            message::Decision::Go => {
                asking.granted = true;
                entry.meter.count("asks", "granted");
                return Outcome::Granted(Grant {
                    owner,
                    number,
                    server,
                    tokens: reply.tokens.into(),
                    ahead_ms: reply.ahead_ms.into(),
                });
            }
            message::Decision::Wait => {
                waits = true;
                until = tokio::time::Instant::now() + ms;
            }
            message::Decision::Refuse => {
                entry.meter.count("asks", "refused");
                let code = code::Code::from_number(reply.code);
                let code = code.unwrap_or(code::Code::DeadlineUnreachable);
                return Outcome::Refused(refusal::Refusal::later(code, ms), weighed);
            }
        }
    }
}

fn too_late(after: time::Duration) -> refusal::Refusal {
    refusal::Refusal::later(code::Code::DeadlineUnreachable, after.max(state::COME_BACK))
}

fn question(
    entry: &state::Entry,
    number: u64,
    server: u64,
    req: &request::Request,
    job: &place::Job,
) -> message::Ask {
    let now = entry.now();
    let left = |at: time::Duration| at.saturating_sub(now).as_millis() as u32;
    message::Ask {
        number,
        server,
        customer: req.customer.as_deref().unwrap_or("").to_owned(),
        chains: job.parts.iter().map(|part| part.chain).collect(),
        tokens: job.parts.iter().map(|part| part.tokens).collect(),
        cost: job.cost,
        due_ms: job.due.as_millis() as i64 - now.as_millis() as i64,
        objective_ms: job.objective.as_millis() as u32,
        deadline_ms: left(req.deadline),
    }
}

/// Decides about another entry's request.
pub fn asked(
    entry: &rc::Rc<state::Entry>,
    sender: u64,
    address: net::Ipv4Addr,
    ask: &message::Ask,
) {
    let asker = Asker {
        sender,
        address,
        number: ask.number,
    };
    let server = entry.server_by_hash(ask.server);
    let (Some(server), false) = (server, entry.is_leaving()) else {
        return reply(entry, asker, message::Decision::Elsewhere, |_| {});
    };
    let now = entry.now();
    let at = |ms: i64| time::Duration::from_millis((now.as_millis() as i64 + ms).max(0) as u64);
    let job = place::Job {
        service: 0,
        customer: entry.customer(&ask.customer),
        parts: ask.parts(),
        cost: ask.cost,
        due: at(ask.due_ms),
        objective: time::Duration::from_millis(ask.objective_ms.into()),
        avoid: smallvec::SmallVec::new(),
    };
    let local = entry.number();
    let mut fleet = entry.fleet.borrow_mut();
    let weighed = fleet.weigh(now, &job, server);
    let verdict = fleet.decide(now, local, &job, server, weighed);
    drop(fleet);
    let expires = at(ask.deadline_ms.into()) + LEFT_OVER;
    let remote = |placed, ticket| Remote {
        server,
        local,
        placed,
        ticket,
        expires,
    };
    match verdict {
        place::Verdict::Go(placed) => {
            let (tokens, ahead_ms) = (placed.tokens, placed.ahead_ms);
            entry.granted.insert(asker, remote(Some(placed), None));
            go(entry, asker, tokens, ahead_ms);
        }
        place::Verdict::Wait(ticket, until) => {
            entry.granted.insert(asker, remote(None, Some(ticket)));
            entry.wait_for(local, asker);
            let ms = until.saturating_sub(now).as_millis() as u32;
            reply(entry, asker, message::Decision::Wait, |r| {
                r.ms = ms;
                r.weighed = Some(weighed.into());
            });
        }
        place::Verdict::Refuse(code::Code::NoBackendServer, _) => {
            reply(entry, asker, message::Decision::Elsewhere, |_| {});
        }
        place::Verdict::Refuse(code, after) => {
            reply(entry, asker, message::Decision::Refuse, |r| {
                r.code = code.number().into();
                r.ms = after.as_millis() as u32;
                r.weighed = Some(weighed.into());
            });
        }
    }
}

fn go(entry: &state::Entry, asker: Asker, tokens: f64, ahead_ms: f64) {
    reply(entry, asker, message::Decision::Go, |r| {
        r.tokens = tokens as f32;
        r.ahead_ms = ahead_ms as f32;
    });
}

fn reply(
    entry: &state::Entry,
    asker: Asker,
    decision: message::Decision,
    fill: impl FnOnce(&mut message::Reply),
) {
    let Some(link) = &entry.link else { return };
    let mut reply = message::Reply {
        number: asker.number,
        decision: decision.into(),
        ..message::Reply::default()
    };
    fill(&mut reply);
    let datagram = message::Datagram {
        reply: Some(reply),
        ..super::envelope(entry, link)
    };
    link.send(asker.address, &datagram);
}

/// A waiting request of another entry has its turn.
pub fn turn(entry: &state::Entry, asker: Asker, placed: place::Placed) {
    let (tokens, ahead_ms) = (placed.tokens, placed.ahead_ms);
    let unheard = entry.granted.fill(asker, placed);
    if let Some(placed) = unheard {
        entry.meter.count("asks", "unheard");
        let now = entry.now();
        entry.fleet.borrow_mut().ended(now, placed, false);
        return;
    }
    go(entry, asker, tokens, ahead_ms);
}

/// A waiting request of another entry can't get its place here.
pub fn send_elsewhere(entry: &state::Entry, asker: Asker) {
    entry.granted.remove(asker.sender, asker.number);
    reply(entry, asker, message::Decision::Elsewhere, |_| {});
}

/// Takes in how far another entry's request is.
pub fn noted(entry: &state::Entry, sender: u64, note: &message::Note) {
    let step = note.step();
    if step == message::Step::Began {
        let now = entry.now();
        let server = entry.granted.began(sender, note.number, |placed| {
            entry.fleet.borrow_mut().began(now, placed);
        });
        if let Some(server) = server {
            entry.pump(server);
        }
        return;
    }
    if let Some(remote) = entry.granted.remove(sender, note.number) {
        end(entry, remote, step == message::Step::Ended);
    }
}

fn end(entry: &state::Entry, remote: Remote, served: bool) {
    if let Some(placed) = remote.placed {
        if !served {
            entry.meter.count("asks", "given_back");
        }
        let now = entry.now();
        entry.fleet.borrow_mut().ended(now, placed, served);
    } else if let Some(ticket) = remote.ticket {
        entry.stop_waiting(remote.local, ticket);
    }
    entry.pump(remote.server);
}

/// Gives back the places of an entry's start that is gone.
pub fn forget(entry: &state::Entry, sender: u64) {
    for remote in entry.granted.take(|(s, _), _| *s == sender) {
        end(entry, remote, false);
    }
}

/// Gives back places whose requests must have ended.
pub fn expire(entry: &state::Entry) {
    let now = entry.now();
    for remote in entry.granted.take(|_, remote| now >= remote.expires) {
        entry.meter.count("asks", "left_over");
        end(entry, remote, true);
    }
}

impl Granted {
    fn insert(&self, asker: Asker, remote: Remote) {
        let mut table = self.0.borrow_mut();
        if table.len() < GRANTED {
            table.insert((asker.sender, asker.number), remote);
        }
    }

    fn fill(&self, asker: Asker, placed: place::Placed) -> Option<place::Placed> {
        let mut table = self.0.borrow_mut();
        match table.get_mut(&(asker.sender, asker.number)) {
            Some(remote) => {
                remote.placed = Some(placed);
                remote.ticket = None;
                None
            }
            None => Some(placed),
        }
    }

    fn began(
        &self,
        sender: u64,
        number: u64,
        began: impl FnOnce(&mut place::Placed),
    ) -> Option<key::Sidecar> {
        let mut table = self.0.borrow_mut();
        let remote = table.get_mut(&(sender, number))?;
        began(remote.placed.as_mut()?);
        Some(remote.server)
    }

    fn remove(&self, sender: u64, number: u64) -> Option<Remote> {
        self.0.borrow_mut().remove(&(sender, number))
    }

    fn take(&self, which: impl Fn(&(u64, u64), &Remote) -> bool) -> Vec<Remote> {
        let mut table = self.0.borrow_mut();
        let keys: Vec<_> = table
            .iter()
            .filter(|(k, r)| which(k, r))
            .map(|(k, _)| *k)
            .collect();
        keys.iter().filter_map(|key| table.remove(key)).collect()
    }
}
