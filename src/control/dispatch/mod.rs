//! Controller of an entry: queues requests, places tickets for them and relays responses.
//!
//! A request waits in the entry, not at a backend server. Small tickets for it are placed at a few
//! sidecars; the first claim wins and the request is handed over to that sidecar. The response is
//! relayed in order, resumed after a lost link, and ended so that the caller can tell a complete
//! response from a truncated one.

mod admission;
mod frames;
mod keyed;
mod ledger;
mod links;
mod place;
mod request;
mod retry;
mod routing;
mod sidecar;
mod status;
mod waiting;

use std::time::Duration;
use std::{collections, sync, time};

use crossbeam_channel as channel;
use slotmap::{Key as _, KeyData, SlotMap};
use stakker::CX;
use tokio::sync::{mpsc, oneshot};

use crate::control::{customer_stats, customers};
use crate::decide::retry as retry_policy;
use crate::decide::{admit, limit, share};
use crate::report;
use crate::wire::frame;
use crate::{code, event, filter, key, metric, wire};

pub use ledger::{Outbox, Peer};
pub use request::{Request, ResponsePart, Stage, Submission};
pub use sidecar::Sender;

/// Interval of the periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum bytes of request bodies that wait at one entry: a quarter of the 256 MB a node may use.
const MAX_WAITING_BYTES: u64 = 64 << 20;

/// Interval at which the speeds of the backend servers are compared.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval of the heartbeats to sidecars.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A sidecar from the membership.
#[derive(Clone, Debug)]
pub struct SidecarInfo {
    /// Its name.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of its backend server.
    pub service: String,
}

/// Messages to the core thread of an entry.
#[derive(Debug)]
pub enum Message {
    /// A caller sent a request.
    Submit(Box<Submission>),
    /// A caller's connection read bytes of its response.
    BytesConsumed(key::Request, u64),
    /// A caller closed its connection.
    CallerDisconnected(key::Request),
    /// A link was established.
    LinkUp {
        /// The sidecar's name.
        id: String,
        /// Number of the link.
        link: u64,
        /// The sidecar's first frame.
        welcome: wire::Welcome,
        /// Sends frames to the sidecar.
        tx: Sender,
    },
    /// A frame arrived.
    Frame {
        /// The sidecar's name.
        id: String,
        /// Number of the link.
        link: u64,
        /// The frame.
        kind: frame::Sidecar,
    },
    /// A link was lost.
    LinkDown {
        /// The sidecar's name.
        id: String,
        /// Number of the link.
        link: u64,
    },
    /// A sidecar must not be used any more.
    SidecarRemoved {
        /// The sidecar's name.
        id: String,
    },
    /// All known sidecars, and whether each is leaving.
    Sidecars(Vec<(SidecarInfo, bool)>),
    /// All peers: the other entries of the fleet.
    Peers(Vec<Peer>),
    /// A peer reports service to this entry, which is a home of the customers in the report.
    Report(wire::Report, oneshot::Sender<wire::Report>),
    /// A home replied to a report.
    ReportReply(wire::Report),
    /// A new catalogue is in force; weights or limits of customers may have changed.
    CatalogueChanged(sync::Arc<crate::catalogue::Accepted>),
    /// Requests the status report for operators.
    Status(channel::Sender<report::Status>),
    /// Requests the report on customers for operators.
    Customers(channel::Sender<Vec<report::Customer>>),
    /// Ends the thread.
    Stop,
}

/// Parameters of the controller.
#[derive(Debug)]
pub struct Setup {
    /// This process.
    pub process: wire::Process,
    /// Queue of reports to peers.
    pub outbox: Outbox,
    /// Requests in progress, read by a shutdown.
    pub in_progress: sync::Arc<sync::atomic::AtomicU64>,
    /// Event log of this process.
    pub ring: event::Ring,
}

/// The controller of an entry.
#[derive(Debug)]
pub struct Dispatch {
    start: time::Instant,
    requests: SlotMap<key::Request, Request>,
    sidecars: sidecar::Arena,
    by_id: collections::HashMap<String, key::Sidecar>,
    evacuated_zones: collections::HashSet<String>,
    waiting: waiting::Index,
    customers: customers::Arena,
    shares: share::Table,
    clock: share::VirtualClock,
    ledger: ledger::Ledger,
    stats: customer_stats::Table,
    ring: event::Ring,
    meter: metric::Meter,
    last_heartbeat: time::Duration,
    heartbeats: u64,
    revision: u64,
    routing: routing::Routing,
    retry_budget: retry_policy::Budget,
    limits: limit::Table,
    admission: admit::Table,
    last_compare: time::Duration,
    /// Waiting requests without a ticket.
    unplaced: collections::VecDeque<key::Request>,
    /// Requests whose attempt lost its link and waits to be resumed.
    detached: Vec<key::Request>,
    /// Requests in progress, read by a shutdown.
    in_progress: sync::Arc<sync::atomic::AtomicU64>,
}

/// Returns the number of a request on the wire.
fn number(request: key::Request) -> u64 {
    request.data().as_ffi()
}

/// Returns the request for a number on the wire.
fn request(number: u64) -> key::Request {
    KeyData::from_ffi(number).into()
}

impl Dispatch {
    /// Creates the controller and starts its timers.
    pub fn init(cx: CX![], setup: Setup) -> Option<Self> {
        stakker::after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            start: cx.now(),
            requests: SlotMap::with_key(),
            sidecars: SlotMap::with_key(),
            by_id: collections::HashMap::new(),
            evacuated_zones: collections::HashSet::new(),
            waiting: waiting::Index::default(),
            customers: customers::Arena::default(),
            shares: share::Table::new(time::Duration::ZERO),
            clock: share::VirtualClock::default(),
            ledger: ledger::Ledger::new(setup.process.clone(), setup.outbox),
            stats: customer_stats::Table::default(),
            meter: metric::Meter::open(&setup.process.id),
            ring: setup.ring,
            last_heartbeat: time::Duration::ZERO,
            heartbeats: 0,
            revision: 0,
            routing: routing::Routing::new(setup.process),
            retry_budget: retry_policy::Budget::new(time::Duration::ZERO),
            limits: limit::Table::new(1),
            admission: admit::Table::new(MAX_WAITING_BYTES),
            last_compare: time::Duration::ZERO,
            unplaced: collections::VecDeque::new(),
            detached: Vec::new(),
            in_progress: setup.in_progress,
        })
    }

    /// Handles one message.
    pub fn handle(&mut self, cx: CX![], message: Message) {
        let now = cx.now() - self.start;
        self.shares.set_now(now);
        match message {
            Message::Submit(submission) => self.submit(now, *submission),
            Message::BytesConsumed(request, bytes) => self.on_bytes_consumed(request, bytes),
            Message::CallerDisconnected(request) => self.on_caller_disconnected(request),
            Message::LinkUp {
                id,
                link,
                welcome,
                tx,
            } => self.on_link_up(now, &id, link, welcome, tx),
            Message::Frame { id, link, kind } => self.on_frame(now, &id, link, kind),
            Message::LinkDown { id, link } => self.on_link_down(now, &id, link),
            Message::SidecarRemoved { id } => self.on_sidecar_removed(now, &id),
            Message::Sidecars(members) => self.update_sidecars(now, members),
            Message::Peers(peers) => {
                self.limits.set_entries(peers.len() + 1);
                self.ledger.set_peers(now, peers);
            }
            Message::Report(report, reply) => self.on_report(now, &report, reply),
            Message::ReportReply(report) => self.on_report_reply(now, &report),
            Message::CatalogueChanged(accepted) => self.apply_catalogue(now, &accepted),
            Message::Status(tx) => drop(tx.send(self.status(now))),
            Message::Customers(tx) => drop(tx.send(self.report(now))),
            Message::Stop => cx.shutdown(stakker::StopCause::Stopped),
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now() - self.start;
        self.expire_waiting(now);
        self.expire_detached(now);
        self.place_unplaced(now);
        self.report_service(now);
        if now >= self.last_compare + COMPARE_INTERVAL {
            self.last_compare = now;
            self.routing.update_slow_servers();
            let running = (self.requests.len() - self.waiting.len()) as u64;
            self.meter.set_state(running, None, Some(self.revision));
            let customers = self.report(now);
            self.meter.set_customers(&customers);
        }
        if now >= self.last_heartbeat + HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.send_heartbeats();
        }
        stakker::after!(TICK_INTERVAL, [cx], tick());
    }

    fn submit(&mut self, now: time::Duration, submission: Submission) {
        let Submission {
            request,
            reply,
            accepted,
        } = submission;
        let customer = self.customers.intern(&request.customer);
        if let Err(refusal) = self.admit(now, customer, &request) {
            self.reject(customer, &request, &reply, accepted, refusal);
            return;
        }
        self.shares.set_weight(customer, request.weight);
        self.stats.set_weight(customer, request.weight);
        self.ledger.add_in_progress(customer, 1);
        self.retry_budget.deposit();
        if !self.waiting.has(customer) {
            self.shares.activate(customer);
        }
        let latest = |deadline| self.admission.latest_start(customer, now + deadline);
        let expires_at = request.deadline.map(latest);
        let key = self.requests.insert(Request {
            customer,
            reply,
            arrived_at: now,
            expires_at,
            attempt: 0,
            history: retry_policy::History::default(),
            stage: Stage::Waiting {
                tickets: smallvec::SmallVec::new(),
                not_before: now,
            },
            head: None,
            is_head_sent: false,
            consumed: 0,
            acknowledged: 0,
            streamed_cost: 0,
            reservation: None,
            request,
        });
        self.in_progress
            .fetch_add(1, sync::atomic::Ordering::Relaxed);
        if accepted.send(key).is_err() {
            self.finish(key);
            return;
        }
        let state = &self.requests[key];
        self.note(event::Kind::RequestReceived, state).send();
        self.waiting.add(key, state);
        self.place(now, key);
    }

    /// Refuses a request that was not admitted.
    fn reject(
        &mut self,
        customer: key::Customer,
        request: &filter::Request,
        reply: &mpsc::UnboundedSender<ResponsePart>,
        accepted: oneshot::Sender<key::Request>,
        refusal: filter::Refusal,
    ) {
        self.stats.count_refusal(customer, refusal.code);
        self.meter.record_response(Some(refusal.code));
        let note = self.ring.note(event::Kind::RequestRefused);
        let note = note.request(&request.id).customer(&request.customer);
        note.code(refusal.code).send();
        let listens = accepted.send(key::Request::default()).is_ok();
        if listens {
            drop(reply.send(ResponsePart::Refused(refusal)));
        }
    }

    /// Starts an event record about a request.
    fn note<'a>(&'a self, kind: event::Kind, state: &Request) -> event::EventBuilder<'a> {
        let note = self.ring.note(kind);
        note.request(&state.request.id)
            .customer(&state.request.customer)
    }

    /// Ends a request with an error and removes it.
    fn refuse(&mut self, request: key::Request, refusal: filter::Refusal) {
        if let Some(state) = self.requests.get(request) {
            self.stats.count_refusal(state.customer, refusal.code);
            self.meter.record_response(Some(refusal.code));
            let kind = if state.is_head_sent || state.attempt > 0 {
                event::Kind::RequestFailed
            } else {
                event::Kind::RequestRefused
            };
            self.note(kind, state).code(refusal.code).send();
            if state.is_head_sent {
                state.send(ResponsePart::Truncated(refusal.code));
            } else {
                state.send(ResponsePart::Refused(refusal));
            }
        }
        self.finish(request);
    }

    /// Removes a request and voids its tickets.
    fn finish(&mut self, request: key::Request) {
        let Some(mut state) = self.requests.remove(request) else {
            return;
        };
        self.in_progress
            .fetch_sub(1, sync::atomic::Ordering::Relaxed);
        self.waiting.remove(request, &state);
        self.ledger.add_in_progress(state.customer, -1);
        if let Some(reservation) = state.reservation.take() {
            self.shares.release(reservation);
        }
        match state.stage {
            Stage::Waiting { tickets, .. } => {
                let bytes = state.request.body.len() as u64;
                self.limits.remove_waiting(state.customer, bytes);
                self.admission.remove_waiting(state.customer, bytes);
                self.void_tickets(request, &tickets);
            }
            Stage::HandedOver(attempt) => {
                self.stats.add_running(state.customer, -1);
                self.limits.end(state.customer);
                if let Some(sidecar) = self.sidecars.get_mut(attempt.sidecar) {
                    sidecar.outstanding = sidecar.outstanding.saturating_sub(1);
                }
            }
        }
    }

    fn on_caller_disconnected(&mut self, request: key::Request) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        if let Stage::HandedOver(attempt) = &state.stage {
            let cancel = wire::Cancel {
                request: number(request),
                attempt: state.attempt,
            };
            if let Some(sidecar) = self.sidecars.get(attempt.sidecar) {
                sidecar.send(frame::Entry::Cancel(cancel));
                self.routing.on_cancelled(attempt.sidecar, sidecar);
            }
        }
        let left = code::Code::CallerLeft;
        self.note(event::Kind::RequestCancelled, state)
            .code(left)
            .send();
        self.meter.record_response(Some(left));
        self.finish(request);
    }

    fn expire_waiting(&mut self, now: time::Duration) {
        while let Some(request) = self.waiting.expired(now) {
            let refusal = filter::Refusal::new(
                code::Code::DeadlinePassed,
                "the deadline passed in the queue",
            );
            self.refuse(request, refusal);
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeats += 1;
        for sidecar in self.sidecars.values() {
            sidecar.send(frame::Entry::Beat(wire::EntryBeat {
                sequence: self.heartbeats,
                catalogue_revision: self.revision,
                stamp: self.ring.stamp().0,
            }));
        }
    }
}

/// Starts the core thread of an entry.
pub fn spawn(rx: channel::Receiver<Message>, setup: Setup) -> std::io::Result<crate::core::Core> {
    crate::core::spawn("entry-core", rx, move |stakker| {
        let actor = stakker::actor!(stakker, Dispatch::init(setup), stakker::ret_nop!());
        Box::new(move |_stakker, message| stakker::call!([actor], handle(message)))
    })
}
