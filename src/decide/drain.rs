//! Departure of processes: which of them still get tickets, and the phases of a shutdown.
//!
//! Faults: a backend server leaves while the list still shows it, its announcement is lost, or it
//! flaps. A ticket sent to it then waits in vain. The first report that it leaves, from any source,
//! therefore stops new tickets at once, and only the lasting agreement of all sources resumes them.
//! A process that exits on a signal cuts requests off, and one that waits forever blocks a rollout.
//! A shutdown therefore goes through phases with a deadline, and every request cut off is
//! reported.

use std::time;

use smallvec::SmallVec;

/// Maximum time between two reads of any source: heartbeats, list reads and peer exchanges. Two
/// such intervals and the transfer of a message stay under 3 s from the first report to the last
/// ticket.
pub const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time for which all sources must agree that a backend server is live before it gets tickets
/// again. It doubles with each return, up to [`MAX_REJOIN_DELAY`].
pub const REJOIN_DELAY: time::Duration = time::Duration::from_secs(2);
/// Maximum rejoin delay.
pub const MAX_REJOIN_DELAY: time::Duration = time::Duration::from_secs(60);
/// Time without a report that it leaves after which earlier flaps are forgotten.
pub const FLAP_RESET: time::Duration = time::Duration::from_secs(120);

/// Source of a report that a backend server leaves or is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its own sidecar. Its announcement that it leaves is final for its incarnation.
    Own,
    /// The platform's list.
    List,
    /// Another process of the fleet.
    Peer,
}

/// Reports of all sources on one incarnation of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct LeaveStatus {
    own: bool,
    list: bool,
    peer: bool,
    /// Time since which all sources agree that it is live.
    agreed_since: Option<time::Duration>,
    flaps: u32,
    last_leaving: Option<time::Duration>,
}

impl Default for LeaveStatus {
    fn default() -> Self {
        Self {
            own: false,
            list: false,
            peer: false,
            agreed_since: Some(time::Duration::ZERO),
            flaps: 0,
            last_leaving: None,
        }
    }
}

impl LeaveStatus {
    /// Records a source's report on whether it leaves.
    pub fn observe(&mut self, now: time::Duration, source: Source, leaving: bool) {
        let was = self.is_leaving();
        match source {
            Source::Own => self.own |= leaving,
            Source::List => self.list = leaving,
            Source::Peer => self.peer = leaving,
        }
        if self.is_leaving() && !was {
            let forgiven = self.last_leaving.is_none_or(|at| at + FLAP_RESET <= now);
            self.flaps = if forgiven { 0 } else { self.flaps + 1 };
        }
        if self.is_leaving() {
            self.agreed_since = None;
            self.last_leaving = Some(now);
        } else if self.agreed_since.is_none() {
            self.agreed_since = Some(now);
        }
    }

    /// Returns whether it may get new tickets.
    pub fn accepts_tickets(&self, now: time::Duration) -> bool {
        let wait = self.last_leaving.map_or(time::Duration::ZERO, |_| {
            let doubled = 2_u32.saturating_pow(self.flaps.min(16));
            REJOIN_DELAY.saturating_mul(doubled).min(MAX_REJOIN_DELAY)
        });
        self.agreed_since.is_some_and(|since| since + wait <= now)
    }

    fn is_leaving(&self) -> bool {
        self.own || self.list || self.peer
    }
}

/// Kind of process that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives callers' requests through a balancer.
    Entry,
    /// Holds tickets, runs requests and remembers idempotency keys.
    Sidecar,
}

/// Deadlines of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which an entry serves new requests while it reports that it is not ready. The
    /// balancer's probes must fail before it may refuse requests.
    pub unready_delay: time::Duration,
    /// Time after which the process exits, whatever is in progress.
    pub total: time::Duration,
}

impl Default for Limits {
    /// Allows for three probes of a balancer, 2 s apart, and for the longest answers with some
    /// margin (4,000 tokens at 65 ms are 260 s).
    fn default() -> Self {
        Self {
            unready_delay: time::Duration::from_secs(6),
            total: time::Duration::from_secs(300),
        }
    }
}

/// Phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    Serving,
    /// An entry that fails the balancer's probes but still serves.
    Unready,
    /// Accepts nothing new and finishes what is in progress.
    Finishing,
    /// A sidecar that hands over the keys that only it remembers.
    HandingOver,
    /// Has to exit now.
    Done,
}

/// Event that may advance a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// SIGTERM, the first or a repeated one.
    Signal,
    /// Time has passed, or a request has ended.
    Tick,
    /// All members have stored the handed-over keys or can't be reached.
    HandedOver,
}

/// Action that the process has to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fail the readiness probe.
    FailReadiness,
    /// Tell entries, peers and sidecars that it leaves.
    Announce,
    /// Void the waiting tickets, so that entries place them elsewhere.
    VoidTickets,
    /// Accept no new connections, requests or tickets.
    Refuse,
    /// Hand over all remembered keys: once no call can start here any more, and again when the last
    /// call has ended.
    HandOver,
    /// Exit. Each request cut off has to be reported.
    Exit {
        /// Number of requests in progress.
        cut: u32,
    },
}

/// State of the shutdown of one process.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    role: Role,
    limits: Limits,
    phase: Phase,
    since: time::Duration,
    started: time::Duration,
}

impl Shutdown {
    /// Creates the state of a process in service.
    pub fn new(role: Role, limits: Limits) -> Self {
        Self {
            role,
            limits,
            phase: Phase::Serving,
            since: time::Duration::ZERO,
            started: time::Duration::ZERO,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Applies an event, given the number of requests in progress, and returns the actions in
    /// order.
    pub fn step(
        &mut self,
        now: time::Duration,
        event: Event,
        running: u32,
    ) -> SmallVec<[Action; 4]> {
        let mut actions = SmallVec::new();
        if self.phase == Phase::Done {
            return actions;
        }
        if self.phase == Phase::Serving {
            if event == Event::Signal {
                self.begin(now, &mut actions);
            }
            return actions;
        }
        if event == Event::Signal || self.started + self.limits.total <= now {
            self.exit(running, &mut actions);
            return actions;
        }
        self.advance(now, event, running, &mut actions);
        actions
    }

    fn begin(&mut self, now: time::Duration, actions: &mut SmallVec<[Action; 4]>) {
        self.started = now;
        match self.role {
            Role::Entry => {
                self.enter(now, Phase::Unready);
                actions.extend([Action::FailReadiness, Action::Announce]);
            }
            Role::Sidecar => {
                self.enter(now, Phase::Finishing);
                actions.extend([Action::Announce, Action::Refuse, Action::VoidTickets]);
                // Other sidecars decide about the keys from now on; keys of running calls follow
                // when these end.
                actions.push(Action::HandOver);
            }
        }
    }

    fn advance(
        &mut self,
        now: time::Duration,
        event: Event,
        running: u32,
        actions: &mut SmallVec<[Action; 4]>,
    ) {
        if self.phase == Phase::Unready && self.since + self.limits.unready_delay <= now {
            self.enter(now, Phase::Finishing);
            actions.push(Action::Refuse);
        }
        if self.phase == Phase::Finishing && running == 0 {
            match self.role {
                Role::Entry => self.exit(0, actions),
                Role::Sidecar => {
                    self.enter(now, Phase::HandingOver);
                    actions.push(Action::HandOver);
                }
            }
        } else if self.phase == Phase::HandingOver && event == Event::HandedOver {
            self.exit(running, actions);
        }
    }

    fn enter(&mut self, now: time::Duration, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }

    fn exit(&mut self, cut: u32, actions: &mut SmallVec<[Action; 4]>) {
        self.phase = Phase::Done;
        actions.push(Action::Exit { cut });
    }
}
