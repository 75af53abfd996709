//! Placement requests to the entry that decides about an engine; [`super::lease`] answers them.
//!
//! Load pattern: many entries send work to one engine. If each decided for itself by heartbeats
//! that are a tenth of a second old, each would fill the same free capacity in a burst: with eight
//! entries nine in ten first events came three times later than the median. A single deciding entry
//! for each engine knows exactly what the engine has in flight, which request is next and which
//! parts of prompts the engine has cached. The round trip costs some 4 ms of latency objectives of
//! 600 ms and more.

use std::{cell, collections, net, rc, time};

use tokio::sync::mpsc;

use super::message;
use crate::code;
use crate::decide::place;
use crate::direct::{refusal, request, state};
use crate::key;

/// Timeout of the first reply: several round trips to a busy process. After it the requesting entry
/// decides itself.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Number of times that progress is sent: if one datagram in 40 is lost, all three are lost once in
/// 64,000.
const PROGRESS_REPEATS: u32 = 3;

/// Maximum number of progress messages stored to be sent again to one entry.
const MAX_PROGRESS_PER_ENTRY: usize = 256;

/// A placement that another entry granted.
#[derive(Debug)]
pub struct Grant {
    /// The entry that decided.
    pub decider: net::Ipv4Addr,
    /// Number of the request at this entry.
    pub number: u64,
    /// The engine.
    pub server: key::Sidecar,
    /// Prompt tokens that the engine has to process.
    pub tokens: f64,
    /// Processing time of the prompts ahead of the request, in milliseconds.
    pub ahead_ms: f64,
    /// The engine to fetch cached parts of the prompt from.
    pub source: Option<key::Sidecar>,
}

/// Result of a placement request.
#[derive(Debug)]
pub enum Outcome {
    /// The request is placed.
    Granted(Grant),
    /// The request is refused, with the inputs of the decision if the deciding entry sent them.
    Refused(refusal::Refusal, Option<place::Estimate>),
    /// The engine has cached the shared parts of the request, and its home in this entry's
    /// availability zone can fetch them.
    Near,
    /// No other entry decided, so this entry has to.
    Undecided,
}

#[derive(Debug)]
struct Pending {
    decider: net::Ipv4Addr,
    replies: mpsc::UnboundedSender<message::PlacementReply>,
}

/// Placement requests of this entry without a final reply, and progress to be sent again.
#[derive(Debug, Default)]
pub struct PendingRequests {
    pending: cell::RefCell<collections::HashMap<u64, Pending>>,
    progress: cell::RefCell<collections::HashMap<net::Ipv4Addr, Vec<(message::Progress, u32)>>>,
}

impl PendingRequests {
    /// Passes a reply on to the request that it is for.
    pub fn on_reply(&self, from: net::Ipv4Addr, reply: &message::PlacementReply) {
        if let Some(pending) = self.pending.borrow().get(&reply.number)
            && pending.decider == from
        {
            // The request may have been cancelled just now; it then sends that it was dropped.
            let _left = pending.replies.send(*reply);
        }
    }

    /// Ends all requests to an entry that is gone, so that none waits for its replies.
    pub fn on_entry_lost(&self, decider: net::Ipv4Addr) {
        for (number, pending) in &*self.pending.borrow() {
            if pending.decider == decider {
                let reply = message::PlacementReply {
                    number: *number,
                    ..message::PlacementReply::default()
                };
                let _left = pending.replies.send(reply);
            }
        }
        self.progress.borrow_mut().remove(&decider);
    }

    /// Returns the progress messages to send to this entry once more.
    pub fn progress_to_repeat(&self, to: net::Ipv4Addr) -> Vec<message::Progress> {
        let mut lists = self.progress.borrow_mut();
        let Some(list) = lists.get_mut(&to) else {
            return Vec::new();
        };
        let again = list.iter().map(|(progress, _)| *progress).collect();
        for (_, left) in list.iter_mut() {
            *left -= 1;
        }
        list.retain(|(_, left)| *left > 0);
        again
    }

    fn remember(&self, to: net::Ipv4Addr, progress: message::Progress) {
        let mut lists = self.progress.borrow_mut();
        let list = lists.entry(to).or_default();
        if list.len() < MAX_PROGRESS_PER_ENTRY {
            list.push((progress, PROGRESS_REPEATS - 1));
        }
    }
}

/// Sends a request's progress to the deciding entry.
pub fn report_progress(entry: &state::Entry, to: net::Ipv4Addr, number: u64, step: message::Step) {
    let Some(link) = &entry.link else { return };
    let progress = message::Progress {
        number,
        step: step.into(),
    };
    entry.placement_requests.remember(to, progress);
    let datagram = message::Datagram {
        progress: vec![progress],
        ..link.envelope(entry.incarnation)
    };
    link.send(to, &datagram);
}

// A pending placement request. On drop without a grant it notifies the deciding entry that the
// request was dropped.
struct PlacementGuard<'a> {
    entry: &'a state::Entry,
    decider: net::Ipv4Addr,
    number: u64,
    is_granted: bool,
}

impl Drop for PlacementGuard<'_> {
    fn drop(&mut self) {
        self.entry
            .placement_requests
            .pending
            .borrow_mut()
            .remove(&self.number);
        if !self.is_granted {
            report_progress(
                self.entry,
                self.decider,
                self.number,
                message::Step::Dropped,
            );
        }
    }
}

/// Requests a placement from the entry that decides about an engine, and waits for its decision.
pub async fn request(
    entry: &rc::Rc<state::Entry>,
    decider: net::Ipv4Addr,
    server: key::Sidecar,
    req: &request::Request,
    job: &place::Job,
) -> Outcome {
    let (Some(link), Some(hash)) = (&entry.link, entry.server_hash(server)) else {
        return Outcome::Undecided;
    };
    let number = entry.next_request_number();
    let (replies, mut received) = mpsc::unbounded_channel();
    let pending = Pending { decider, replies };
    entry
        .placement_requests
        .pending
        .borrow_mut()
        .insert(number, pending);
    let mut guard = PlacementGuard {
        entry,
        decider,
        number,
        is_granted: false,
    };
    let datagram = message::Datagram {
        placement_request: Some(request_message(entry, number, hash, req, job)),
        ..link.envelope(entry.incarnation)
    };
    link.send(decider, &datagram);
    let mut until = tokio::time::Instant::now() + REPLY_TIMEOUT;
    let mut is_waiting = false;
    let mut estimate = None;
    loop {
        let reply = match tokio::time::timeout_at(until, received.recv()).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                super::catch_up(entry, link, until);
                received.try_recv().ok()
            }
        };
        let reply = match reply {
            Some(reply) => reply,
            None if is_waiting => {
                entry.meter.count("asks", "lapsed");
                return Outcome::Refused(late_refusal(REPLY_TIMEOUT), estimate);
            }
            None => {
                entry.meter.count("asks", "silent");
                let now = entry.now();
                if entry.peers.borrow_mut().mark_unresponsive(now, decider) {
                    entry
                        .log
                        .line("neighbour_silent")
                        .with("neighbour", decider)
                        .ms("waited_ms", REPLY_TIMEOUT);
                }
                return Outcome::Undecided;
            }
        };
        let ms = time::Duration::from_millis(reply.ms.into());
        let speed = reply.speed();
        entry
            .fleet
            .borrow_mut()
            .on_speed_report(entry.now(), server, speed);
        estimate = reply.estimate.map(place::Estimate::from).or(estimate);
        match reply.decision() {
            message::Decision::Elsewhere => {
                entry.meter.count("asks", "elsewhere");
                return Outcome::Undecided;
            }
            message::Decision::Near => {
                entry.meter.count("asks", "near");
                return Outcome::Near;
            }
            message::Decision::Go => {
                guard.is_granted = true;
                entry.meter.count("asks", "granted");
                return Outcome::Granted(Grant {
                    decider,
                    number,
                    server,
                    tokens: reply.tokens.into(),
                    ahead_ms: reply.ahead_ms.into(),
                    source: reply.source.and_then(|hash| entry.server_by_hash(hash)),
                });
            }
            message::Decision::Wait => {
                is_waiting = true;
                until = tokio::time::Instant::now() + ms;
            }
            message::Decision::Refuse => {
                entry.meter.count("asks", "refused");
                let code = code::Code::from_number(reply.code);
                let code = code.unwrap_or(code::Code::DeadlineUnreachable);
                return Outcome::Refused(refusal::Refusal::with_retry_after(code, ms), estimate);
            }
        }
    }
}

fn late_refusal(after: time::Duration) -> refusal::Refusal {
    refusal::Refusal::with_retry_after(
        code::Code::DeadlineUnreachable,
        after.max(state::RETRY_AFTER),
    )
}

fn request_message(
    entry: &state::Entry,
    number: u64,
    server: u64,
    req: &request::Request,
    job: &place::Job,
) -> message::PlacementRequest {
    let now = entry.now();
    let may_go_near = entry.server_by_hash(server);
    let may_go_near = may_go_near.is_some_and(|at| entry.fleet.borrow().may_go_near(job, at));
    let left = |at: time::Duration| at.saturating_sub(now).as_millis() as u32;
    message::PlacementRequest {
        number,
        server,
        customer: req.customer.as_deref().unwrap_or("").to_owned(),
        chains: job.parts.iter().map(|part| part.chain).collect(),
        tokens: job.parts.iter().map(|part| part.tokens).collect(),
        cost: job.cost,
        due_ms: job.due.as_millis() as i64 - now.as_millis() as i64,
        objective_ms: job.objective.as_millis() as u32,
        deadline_ms: left(req.deadline),
        suspect: job
            .suspect
            .map_or_else(Vec::new, |f| vec![f.customer, f.content]),
        may_go_near,
    }
}
