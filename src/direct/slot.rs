//! Slots of requests at backend servers: acquired, waited for and released.

use std::{rc, time};

use super::peer::{message, placement};
use super::{configuration, forward, refusal, state};
use crate::code;
use crate::decide::{binding, overload, place, random};
use crate::key;

/// Retry-After if no backend server of the version is left that a stream is bound to: the last one
/// may have crashed, and starts again within some seconds.
const VERSION_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Time for which a new stream waits until a version that joins is in use, if it can't begin at the first
/// one, and the interval of checks. That takes a second if the store can be written.
const JOIN_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const JOIN_POLL: time::Duration = time::Duration::from_millis(20);

/// Interval at which a stream that has begun and is a suspect asks again while another try runs.
const TRY_POLL: time::Duration = time::Duration::from_millis(200);

/// A slot at a backend server; it is released when dropped.
#[derive(Debug)]
pub struct Slot {
    entry: rc::Rc<state::Entry>,
    place: Place,
    has_responded: bool,
    /// Backend server that the slot is at.
    pub server: key::Sidecar,
    /// Version of the backend server.
    pub version: binding::Version,
    /// True if the request is a suspect and no other suspect runs at the backend server.
    pub alone: bool,
    /// When the slot was acquired.
    pub taken_at: time::Duration,
    /// Estimated time for reading the prompts queued before it, in milliseconds.
    pub ahead_ms: f64,
    /// Estimated number of prompt tokens that the backend server has to read.
    pub tokens: f64,
    /// Engine from which the backend server should fetch parts of the prompt.
    pub source: Option<key::Sidecar>,
    /// Time from acquiring the slot to the first event, once it has arrived.
    pub first_event_after: Option<time::Duration>,
    /// Longest time between two arrivals of events.
    pub max_gap: time::Duration,
    // When events last arrived.
    last_events_at: Option<time::Duration>,
}

/// Entry that granted the slot.
#[derive(Debug)]
enum Place {
    /// This process.
    Local(place::Placement),
    /// A peer.
    Remote(placement::Grant),
    /// None any more: the slot was released.
    Released,
}

impl Slot {
    fn local(entry: rc::Rc<state::Entry>, alone: bool, placed: place::Placement) -> Self {
        Self {
            server: placed.server,
            version: entry.version_of(placed.server),
            alone,
            taken_at: entry.now(),
            ahead_ms: placed.ahead_ms,
            tokens: placed.tokens,
            source: placed.fetch_source,
            first_event_after: None,
            max_gap: time::Duration::ZERO,
            last_events_at: None,
            entry,
            place: Place::Local(placed),
            has_responded: false,
        }
    }

    fn remote(entry: rc::Rc<state::Entry>, alone: bool, grant: placement::Grant) -> Self {
        Self {
            server: grant.server,
            version: entry.version_of(grant.server),
            alone,
            taken_at: entry.now(),
            ahead_ms: grant.ahead_ms,
            tokens: grant.tokens,
            source: grant.source,
            first_event_after: None,
            max_gap: time::Duration::ZERO,
            last_events_at: None,
            entry,
            place: Place::Remote(grant),
            has_responded: false,
        }
    }

    /// Records an arrival of events.
    pub fn record_events(&mut self) {
        let now = self.entry.now();
        if let Some(before) = self.last_events_at.replace(now) {
            self.max_gap = self.max_gap.max(now.saturating_sub(before));
        }
    }

    /// Records the arrival of the first event, or of the response's head.
    pub fn record_first_event(&mut self) {
        let now = self.entry.now();
        self.has_responded = true;
        self.first_event_after = Some(now.saturating_sub(self.taken_at));
        match &mut self.place {
            Place::Local(placed) => {
                self.entry
                    .fleet
                    .borrow_mut()
                    .record_first_event(now, placed);
                self.entry.grant_waiting(self.server);
            }
            Place::Remote(grant) => {
                placement::report_progress(
                    &self.entry,
                    grant.decider,
                    grant.number,
                    message::Step::Began,
                );
            }
            Place::Released => {}
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.place, Place::Released) {
            Place::Local(placed) => {
                let now = self.entry.now();
                let mut fleet = self.entry.fleet.borrow_mut();
                fleet.release(now, placed, self.has_responded);
                drop(fleet);
                self.entry.grant_waiting(self.server);
            }
            Place::Remote(grant) => {
                let step = if self.has_responded {
                    message::Step::Finished
                } else {
                    message::Step::Dropped
                };
                placement::report_progress(&self.entry, grant.decider, grant.number, step);
            }
            Place::Released => {}
        }
    }
}

impl state::Entry {
    /// Returns the objective that requests of a route to a service are placed by.
    pub(super) fn objective(&self, route: &configuration::Route, service: &str) -> time::Duration {
        let configuration = self.configuration();
        let shortest = configuration
            .as_ref()
            .and_then(|p| p.shortest_objective(service));
        let service = configuration.as_ref().and_then(|p| p.services.get(service));
        let is_engine = service.is_some_and(|s| s.is_engine);
        place::objective(route.objective, shortest, is_engine)
    }

    /// Returns the refusal of a request for which there is no backend server.
    pub(super) fn no_server(
        &self,
        service: u32,
        version: Option<binding::Version>,
        random: &mut random::Random,
    ) -> refusal::Refusal {
        let is_gone = |version: &binding::Version| {
            let fleet = self.fleet.borrow();
            !fleet.has_version(service, *version)
        };
        if let Some(version) = version.filter(is_gone) {
            // Of a process that ended before its version was known, servers of that version may be left.
            let is_unknown = self.bindings.borrow().is_unknown(version);
            let code = if is_unknown {
                code::Code::VersionUnknown
            } else {
                code::Code::VersionGone
            };
            return refusal::Refusal::with_retry_after(code, VERSION_RETRY_AFTER);
        }
        if let Some(after) = self.evacuated_retry_after(service, random) {
            return refusal::Refusal::with_retry_after(code::Code::ZoneEvacuated, after);
        }
        let after = self
            .retry_after(service, random)
            .unwrap_or(forward::DEFAULT_RETRY_AFTER);
        refusal::Refusal::with_retry_after(code::Code::NoBackendServer, after)
    }
}

impl forward::Call {
    /// Acquires a slot. Where another try of a suspect runs alone, a stream that has begun waits for its end:
    /// what its caller has is lost if it is refused.
    pub(super) async fn acquire_slot(&mut self) -> Result<Slot, refusal::Refusal> {
        let started = self.entry.now();
        loop {
            let refusal = match self.try_acquire_slot().await {
                Ok(slot) => return Ok(slot),
                Err(refusal) => refusal,
            };
            let waited = self.entry.now().saturating_sub(started);
            let objective = self.req.route.objective;
            let has_left = overload::has_caller_left(waited, time::Duration::ZERO, objective);
            if has_left || !self.awaits_other_try(refusal) {
                return Err(refusal);
            }
            tokio::time::sleep(TRY_POLL).await;
            self.waited += TRY_POLL;
        }
    }

    fn awaits_other_try(&self, refusal: refusal::Refusal) -> bool {
        let is_suspect = || matches!(self.check_quarantine(), Ok(Some(_)));
        let has_begun = self.version.is_some();
        has_begun
            && match refusal.code {
                code::Code::RequestTried => true,
                // Another suspect may run there.
                code::Code::DeadlineUnreachable => is_suspect(),
                _ => false,
            }
    }

    async fn try_acquire_slot(&mut self) -> Result<Slot, refusal::Refusal> {
        let entry = rc::Rc::clone(&self.entry);
        self.version = self.version.map(|v| entry.resolve_version(v));
        let mut job = self.job()?;
        let started = entry.now();
        let mut offer = match self.first_offer(&job) {
            Err(_) if self.leave_base(&mut job).await => self.first_offer(&job)?,
            Err(refusal) => self.avoided_offer(&mut job).ok_or(refusal)?,
            Ok(offer) => offer,
        };
        let mut refusals = 0;
        let slot = loop {
            match self.acquire_slot_at(&job, offer).await {
                Ok(Some(slot)) if self.may_begin_at(slot.version) => break slot,
                Ok(acquired) => {
                    let is_undecided = acquired.is_none();
                    drop(acquired);
                    let is_decided_elsewhere =
                        offer.reason.is_second() || entry.leaves_to_decider(offer.server);
                    if is_undecided && is_decided_elsewhere {
                        job.excluded.push(offer.server);
                    }
                    job.version = self.version.or_else(|| self.base_version());
                    offer = match self.home(&job) {
                        Err(_) if self.leave_base(&mut job).await => self.home(&job)?,
                        Err(refusal) => self.avoided_offer(&mut job).ok_or(refusal)?,
                        Ok(offer) => offer,
                    };
                }
                Err(refusal) => {
                    refusals += 1;
                    let next = self.next_offer(&mut job, offer.server, refusal.code, refusals);
                    // Without a current list versions stay unknown for longer.
                    let is_unknown_for_long = !entry.has_current_list();
                    let mut avoided = || self.avoided_offer(&mut job);
                    let next = next.or_else(|| is_unknown_for_long.then(&mut avoided).flatten());
                    offer = next.ok_or(refusal)?;
                }
            }
        };
        self.waited += entry.now().saturating_sub(started);
        entry
            .fleet
            .borrow_mut()
            .record_placed(entry.now(), &job, slot.server);
        Ok(slot)
    }

    fn first_offer(&self, job: &place::Job) -> Result<place::Offer, refusal::Refusal> {
        let (entry, now) = (&self.entry, self.entry.now());
        let offer = entry.fleet.borrow_mut().first_offer(now, job);
        self.counted(offer).ok_or_else(|| self.no_server())
    }

    // If no backend server of the version can be used at which new streams begin for now, lets the request
    // go to any, once the version that joins is in use; returns whether that makes a difference.
    async fn leave_base(&self, job: &mut place::Job) -> bool {
        if job.version == self.version {
            return false;
        }
        job.version = self.version;
        if self.entry.fleet.borrow_mut().choose(job).is_none() {
            return false;
        }
        self.on_base_unusable();
        let until = self.entry.now() + JOIN_TIMEOUT;
        while self.base_version().is_some() && self.entry.now() < until {
            tokio::time::sleep(JOIN_POLL).await;
        }
        self.leaves_base.set(true);
        true
    }

    // Lets a stream that no other backend server takes begin where the version isn't known yet. It is bound
    // to the process until that is known.
    fn avoided_offer(&self, job: &mut place::Job) -> Option<place::Offer> {
        let server = self.entry.fleet.borrow().avoided_home(job)?;
        job.is_resumable = false;
        let reason = place::Reason::Home;
        Some(place::Offer { server, reason })
    }

    /// Returns whether the request may be sent to a backend server of this version.
    pub(super) fn may_go_on_at(&self, version: binding::Version) -> bool {
        let resolve = |version| self.entry.resolve_version(version);
        self.version
            .is_none_or(|bound| resolve(bound) == resolve(version))
    }

    // A version may have joined while the request waited.
    fn may_begin_at(&self, version: binding::Version) -> bool {
        self.base_version().is_none_or(|base| base == version)
    }

    fn next_offer(
        &self,
        job: &mut place::Job,
        refused_at: key::Sidecar,
        code: code::Code,
        refusals: usize,
    ) -> Option<place::Offer> {
        let (entry, now) = (&self.entry, self.entry.now());
        let mut fleet = entry.fleet.borrow_mut();
        let offer = fleet.next_offer(now, job, refused_at, code, refusals);
        self.counted(offer)
    }

    fn counted(&self, offer: Option<place::Offer>) -> Option<place::Offer> {
        let reason = offer?.reason;
        if reason != place::Reason::Home {
            self.entry.meter.count("asks", &reason.to_string());
        }
        offer
    }

    fn home(&self, job: &place::Job) -> Result<place::Offer, refusal::Refusal> {
        let server = self.entry.fleet.borrow_mut().choose(job);
        let reason = place::Reason::Home;
        let offer = server.map(|server| place::Offer { server, reason });
        offer.ok_or_else(|| self.no_server())
    }

    fn no_server(&self) -> refusal::Refusal {
        let mut random = self.entry.rng.borrow_mut();
        self.entry
            .no_server(self.service, self.version, &mut random)
    }

    // Acquires a slot at this backend server, decided by a peer or here; `None` if a backend
    // server must be chosen again. Where the deciding entry of a second home is silent, this entry
    // doesn't decide for it: the request goes home.
    async fn acquire_slot_at(
        &self,
        job: &place::Job,
        offer: place::Offer,
    ) -> Result<Option<Slot>, refusal::Refusal> {
        let (entry, alone) = (&self.entry, job.suspect.is_some());
        let server = offer.server;
        if let Some(decider) = entry.remote_decider(server) {
            match placement::request(entry, decider, server, &self.req, job).await {
                placement::Outcome::Granted(grant) => {
                    return Ok(Some(Slot::remote(rc::Rc::clone(entry), alone, grant)));
                }
                placement::Outcome::Refused(refusal, estimate) => {
                    self.decision
                        .set(estimate.map(|estimate| forward::Decision {
                            server,
                            decided_by: Some(decider),
                            estimate,
                        }));
                    return Err(refusal);
                }
                placement::Outcome::Undecided if offer.reason.is_second() => return Ok(None),
                placement::Outcome::Undecided => {}
            }
        }
        if entry.leaves_to_decider(server) {
            return Ok(None);
        }
        let placed = self.place_locally(job, server).await?;
        Ok(placed.map(|placed| Slot::local(rc::Rc::clone(entry), alone, placed)))
    }

    // Acquires a slot by this entry's own decision; `None` if a backend server must be chosen
    // again.
    async fn place_locally(
        &self,
        job: &place::Job,
        server: key::Sidecar,
    ) -> Result<Option<place::Placement>, refusal::Refusal> {
        let entry = &self.entry;
        let number = entry.next_request_number();
        let now = entry.now();
        let (estimate, verdict) = {
            let mut fleet = entry.fleet.borrow_mut();
            let estimate = fleet.estimate(now, job, server);
            (estimate, fleet.decide(now, number, job, server, estimate))
        };
        self.decision.set(Some(forward::Decision {
            server,
            decided_by: None,
            estimate,
        }));
        match verdict {
            place::Verdict::Start(placed) => Ok(Some(placed)),
            place::Verdict::Wait(ticket, until) => self.wait(number, ticket, until).await,
            // The list of backend servers has changed since the choice.
            place::Verdict::Refuse(code::Code::NoBackendServer, _) => Ok(None),
            place::Verdict::Refuse(code, after) => {
                Err(refusal::Refusal::with_retry_after(code, after))
            }
        }
    }

    async fn wait(
        &self,
        number: u64,
        ticket: place::Ticket,
        until: time::Duration,
    ) -> Result<Option<place::Placement>, refusal::Refusal> {
        let entry = &self.entry;
        let mut waiting = Wait {
            entry,
            number,
            ticket,
            receiver: entry.wait_locally(number),
        };
        let until = tokio::time::Instant::from_std(entry.started + until);
        match tokio::time::timeout_at(until, &mut waiting.receiver).await {
            Ok(Ok(placed)) => Ok(placed),
            Ok(Err(_)) => Err(refusal::Refusal::new(code::Code::Internal)),
            Err(_elapsed) => Err(refusal::Refusal::with_retry_after(
                code::Code::DeadlineUnreachable,
                state::RETRY_AFTER,
            )),
        }
    }

    fn job(&self) -> Result<place::Job, refusal::Refusal> {
        let req = &self.req;
        let customer = req.customer.as_deref().unwrap_or("");
        let objective = self.entry.objective(&req.route, &req.service);
        let again = self.may_have_run.then(|| self.entry.now());
        let due = place::due_time(req.received, again, objective);
        // What its caller has of a stream is lost if it is refused, and only late if it waits for a place to
        // go on.
        let has_begun = self.version.is_some();
        Ok(place::Job {
            service: self.service,
            customer: self.entry.customer(customer),
            parts: req.head.parts.clone(),
            cost: req.head.cost,
            due: if has_begun { req.deadline } else { due },
            objective,
            excluded: self
                .tried
                .iter()
                .chain(&self.unreachable)
                .copied()
                .collect(),
            suspect: self.check_quarantine()?,
            version: self.version.or_else(|| self.base_version()),
            is_resumable: req.route.kind == configuration::RouteKind::ResumableStream,
        })
    }

    // The configuration may have changed while the request waited.
    pub(super) fn check_configuration(&self) -> Result<(), refusal::Refusal> {
        let Some(configuration) = self.entry.configuration() else {
            return Err(refusal::Refusal::with_retry_after(
                code::Code::NoCatalogue,
                forward::DEFAULT_RETRY_AFTER,
            ));
        };
        let head = &self.req.head;
        let route = configuration.route(&head.host, head.target.path());
        let route = route.map_err(refusal::Refusal::new)?;
        let customer = configuration.customer(route, &head.key);
        customer.map_err(refusal::Refusal::new)?;
        let served =
            |share: &configuration::Share| share.service == self.req.service && share.weight > 0;
        if route.shares.iter().any(served) {
            return Ok(());
        }
        Err(refusal::Refusal::with_retry_after(
            code::Code::NoBackendServer,
            forward::DEFAULT_RETRY_AFTER,
        ))
    }
}

// A waiting request; it is removed from the queue when dropped.
struct Wait<'a> {
    entry: &'a state::Entry,
    number: u64,
    ticket: place::Ticket,
    receiver: tokio::sync::oneshot::Receiver<Option<place::Placement>>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.entry.cancel_wait(self.number, self.ticket);
        // Releases a slot that was granted at the same moment.
        if let Ok(Some(placed)) = self.receiver.try_recv() {
            let server = placed.server;
            let now = self.entry.now();
            self.entry.fleet.borrow_mut().release(now, placed, false);
            self.entry.grant_waiting(server);
        }
    }
}
