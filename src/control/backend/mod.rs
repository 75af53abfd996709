//! Controller of a sidecar: the tickets, slots, runs and buffered responses of one backend server.
//!
//! The controller claims the best ticket whenever the window has room, starts each attempt of a
//! request at most once, buffers the response until the entry has received all of it, and remembers
//! the attempts that it started for longer than any entry may ask about them.

mod claim;
mod handover;
mod keyed;
mod link;
mod pace;
mod run;
mod runs;
mod start;
mod status;

use std::sync::atomic;
use std::time::Duration;
use std::{collections, net, sync, time};

use crossbeam_channel as channel;
use slotmap::SlotMap;
use stakker::CX;
use tokio::sync::oneshot;

use crate::control::{customer_stats, customers};
use crate::decide::{home, queue, share, window};
use crate::report;
use crate::wire::frame;
use crate::{client, event, key, metric, process, settings, wire};

pub use link::Sender;

/// Interval of the periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum time that a sidecar is unready because it does not decide about idempotency keys yet.
/// Other sidecars hand their keys over within two reads of the platform's list. Without others, a
/// sidecar would wait for the full retention time of keys, and a restart of all processes must not
/// take that long.
const JOIN_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Interval at which the metrics are updated.
const METRICS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval of the heartbeats on a link.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time until the totals on tickets include a charge of this sidecar.
const SHARE_LAG: time::Duration = time::Duration::from_millis(500);

/// Messages to the core thread of a sidecar.
#[derive(Debug)]
pub enum Message {
    /// An entry opened a link.
    LinkOpened {
        /// Number of the link.
        link: u64,
        /// The entry.
        process: wire::Process,
        /// Sends frames to the entry.
        tx: Sender,
    },
    /// A frame arrived.
    Frame {
        /// Number of the link.
        link: u64,
        /// The frame.
        kind: frame::Entry,
    },
    /// A link was lost.
    LinkClosed {
        /// Number of the link.
        link: u64,
    },
    /// The call of a run made progress or ended.
    RunEvent(key::Run, client::backend::Event),
    /// The service of this sidecar in a new catalogue.
    ServiceChanged {
        /// Revision of the catalogue.
        revision: u64,
        /// Models that the service serves.
        models: Vec<String>,
        /// Initial number of requests that a backend server runs at once.
        window: u32,
    },
    /// A read of the platform's list of instances.
    InstanceList(process::InstanceListRead),
    /// Another sidecar joins and asks for keys, or hands over its own.
    HandoverRequest(
        Box<wire::HandoverRequest>,
        oneshot::Sender<wire::HandoverReply>,
    ),
    /// Another sidecar replied to a request for keys.
    HandoverReply(home::HandoverRequest, wire::HandoverReply),
    /// The handover of this sidecar's keys to one member has succeeded or failed.
    KeysGiven,
    /// Stops accepting new work.
    Drain,
    /// Requests the status report for operators.
    Status(channel::Sender<report::Status>),
    /// Requests the report on customers for operators.
    Customers(channel::Sender<Vec<report::Customer>>),
    /// Ends the thread.
    Stop,
}

/// State that other threads read.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Number of requests that are running or not yet acknowledged by their entry, and of pending
    /// handovers of keys.
    pub in_progress: atomic::AtomicU64,
    /// True once the sidecar decides about its idempotency keys, or has waited long enough for the
    /// keys of others. A rolling restart may then continue.
    pub has_joined: atomic::AtomicBool,
    /// True once a leaving sidecar has finished all requests and handed over its keys.
    pub is_drained: atomic::AtomicBool,
    /// Catalogue revision in force, 0 before the first.
    pub revision: atomic::AtomicU64,
}

/// Calls another sidecar and passes its reply to the callback, or `None` if there was none.
pub type HandoverCall = Box<
    dyn Fn(
            net::SocketAddr,
            wire::HandoverRequest,
            Box<dyn FnOnce(Option<wire::HandoverReply>) + Send>,
        ) + Send,
>;

/// Parameters of the controller.
#[derive(derive_more::Debug)]
pub struct Setup {
    /// This process.
    pub process: wire::Process,
    /// Settings of the sidecar.
    pub settings: settings::Sidecar,
    /// Runs the calls to the backend server.
    pub runtime: tokio::runtime::Handle,
    /// Sends messages to this controller.
    pub tx: channel::Sender<Message>,
    /// State for other threads.
    pub gauges: sync::Arc<Gauges>,
    /// Event log of this process.
    pub ring: event::Ring,
    /// Calls another sidecar to hand keys over.
    #[debug(skip)]
    pub hand_over: HandoverCall,
}

/// The controller of a sidecar.
#[derive(Debug)]
pub struct Backend {
    setup: Setup,
    start: time::Instant,
    links: SlotMap<key::Link, link::Link>,
    link_numbers: collections::HashMap<u64, key::Link>,
    entries: collections::HashMap<link::EntryId, link::EntryState>,
    customers: customers::Arena,
    shares: share::Table,
    stats: customer_stats::Table,
    queue: queue::Queue,
    tickets: collections::HashMap<(key::Link, u64), key::Ticket>,
    claims: collections::HashMap<(key::Link, u64), claim::Claim>,
    runs: SlotMap<key::Run, run::Run>,
    keyed: keyed::Keyed,
    running: u32,
    /// True if a slot became free since entries were last asked for work.
    is_slot_freed: bool,
    /// Position from which links are asked for work next, round robin.
    want_cursor: usize,
    /// Recent times to the first token and between two tokens.
    pace: pace::Pace,
    window: window::Window,
    /// Window in the catalogue, 0 before the first catalogue.
    initial_window: u32,
    models: Vec<String>,
    leaving: bool,
    response_bytes: u64,
    meter: metric::Meter,
    last_heartbeat: time::Duration,
    last_metrics: time::Duration,
    heartbeats: u64,
}

impl Backend {
    /// Creates the controller and starts its timers.
    pub fn init(cx: CX![], setup: Setup) -> Option<Self> {
        stakker::after!(TICK_INTERVAL, [cx], tick());
        let keyed = keyed::Keyed::new(&setup.process, &setup.settings);
        let meter = metric::Meter::open(&setup.process.id);
        Some(Self {
            meter,
            setup,
            keyed,
            start: cx.now(),
            links: SlotMap::with_key(),
            link_numbers: collections::HashMap::new(),
            entries: collections::HashMap::new(),
            customers: customers::Arena::default(),
            shares: share::Table::new(SHARE_LAG),
            stats: customer_stats::Table::default(),
            queue: queue::Queue::new(queue::Limit::default()),
            tickets: collections::HashMap::new(),
            claims: collections::HashMap::new(),
            runs: SlotMap::with_key(),
            running: 0,
            is_slot_freed: false,
            want_cursor: 0,
            pace: pace::Pace::default(),
            window: window::Window::new(1),
            initial_window: 0,
            models: Vec::new(),
            leaving: false,
            response_bytes: 0,
            last_heartbeat: time::Duration::ZERO,
            last_metrics: time::Duration::ZERO,
            heartbeats: 0,
        })
    }

    /// Handles one message.
    pub fn handle(&mut self, cx: CX![], message: Message) {
        let now = cx.now() - self.start;
        self.shares.set_now(now);
        match message {
            Message::LinkOpened { link, process, tx } => {
                self.on_link_opened(now, link, process, tx);
            }
            Message::Frame { link, kind } => self.on_frame(now, link, kind),
            Message::LinkClosed { link } => self.on_link_closed(now, link),
            Message::RunEvent(run, event) => self.on_run_event(now, run, event),
            Message::ServiceChanged {
                revision,
                models,
                window,
            } => {
                self.setup
                    .gauges
                    .revision
                    .store(revision, atomic::Ordering::Relaxed);
                self.models = models;
                if window != self.initial_window {
                    self.initial_window = window;
                    self.window.reset(window);
                }
            }
            Message::InstanceList(read) => {
                let asked_at = read.asked_at.saturating_duration_since(self.start);
                self.on_instance_list(now, asked_at, &read.list);
            }
            Message::HandoverRequest(request, reply_tx) => {
                self.on_handover_request(now, &request, reply_tx);
            }
            Message::HandoverReply(request, reply) => self.on_handover_reply(now, &request, &reply),
            Message::KeysGiven => self.on_keys_given(),
            Message::Drain => self.drain(),
            Message::Status(tx) => drop(tx.send(self.status(now))),
            Message::Customers(tx) => drop(tx.send(self.report(now))),
            Message::Stop => cx.shutdown(stakker::StopCause::Stopped),
        }
        self.claim_tickets(now);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now() - self.start;
        self.expire_claims(now);
        self.expire_runs(now);
        self.tick_keys(now);
        if now >= self.last_heartbeat + HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.send_heartbeats();
        }
        if now >= self.last_metrics + METRICS_INTERVAL {
            self.last_metrics = now;
            let revision = self.setup.gauges.revision.load(atomic::Ordering::Relaxed);
            let (running, window) = (u64::from(self.running), u64::from(self.slots()));
            self.meter.set_state(running, Some(window), Some(revision));
        }
        self.claim_tickets(now);
        let unsettled = self.runs.values().filter(|run| !run.is_settled()).count();
        let in_progress = unsettled as u64 + u64::from(self.keyed.pending_handovers());
        let drained = in_progress == 0 && self.keyed.is_handed_over();
        self.setup
            .gauges
            .is_drained
            .store(drained, atomic::Ordering::Relaxed);
        let gauges = &self.setup.gauges;
        gauges
            .in_progress
            .store(in_progress, atomic::Ordering::Relaxed);
        if self.keyed.is_settled(now) || now > JOIN_TIMEOUT {
            gauges.has_joined.store(true, atomic::Ordering::Relaxed);
        }
        stakker::after!(TICK_INTERVAL, [cx], tick());
    }

    fn on_frame(&mut self, now: time::Duration, number: u64, kind: frame::Entry) {
        let Some(&link) = self.link_numbers.get(&number) else {
            return;
        };
        match kind {
            frame::Entry::Offer(offer) => self.on_offer(now, link, &offer),
            frame::Entry::Void(void) => self.on_void(link, &void),
            frame::Entry::Run(run) => self.on_run(now, link, run),
            frame::Entry::Ack(ack) => self.on_ack(now, link, &ack),
            frame::Entry::Resume(resume) => self.on_resume(now, link, &resume),
            frame::Entry::Cancel(cancel) => self.on_cancel(now, link, &cancel),
            frame::Entry::Totals(totals) => self.on_totals(now, &totals),
            frame::Entry::Beat(heartbeat) => {
                self.setup.ring.observe(event::Stamp(heartbeat.stamp));
            }
            frame::Entry::Hello(_) => self.meter.record_dropped_frame("unexpected"),
        }
    }

    fn on_totals(&mut self, now: time::Duration, totals: &wire::Totals) {
        for total in &totals.totals {
            if let Some(customer) = self.customers.find(&total.customer) {
                self.shares.observe_total(now, customer, total.service);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeats += 1;
        let heartbeat = wire::SidecarBeat {
            sequence: self.heartbeats,
            window: self.slots(),
            running: self.running + self.claims.len() as u32,
            waiting: self.queue.len() as u32,
            leaving: self.leaving,
            catalogue_revision: self.setup.gauges.revision.load(atomic::Ordering::Relaxed),
            virtual_time: self.shares.virtual_time(),
            first_token_ms: self.pace.first_token().as_millis() as u64,
            between_tokens_us: self.pace.between_tokens().as_micros() as u64,
            stamp: self.setup.ring.stamp().0,
        };
        for link in self.links.values() {
            link.send(frame::Sidecar::Beat(heartbeat));
        }
    }

    fn drain(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.setup.ring.note(event::Kind::ProcessLeaving).send();
        self.stop_deciding_keys();
        self.void_tickets();
        // Entries learn of it at once rather than with the next regular heartbeat.
        self.send_heartbeats();
    }
}

/// Starts the core thread of a sidecar.
pub fn spawn(rx: channel::Receiver<Message>, setup: Setup) -> std::io::Result<crate::core::Core> {
    crate::core::spawn("sidecar-core", rx, move |stakker| {
        let actor = stakker::actor!(stakker, Backend::init(setup), stakker::ret_nop!());
        Box::new(move |_stakker, message| stakker::call!([actor], handle(message)))
    })
}
