//! Starts requests that were handed over, each attempt at most once.

use std::time;

use crate::client::backend;
use crate::control::backend::run::{self, Run};
use crate::control::backend::{Backend, Message, keyed};
use crate::decide::share;
use crate::wire::frame;
use crate::{code, event, key, wire};

/// Minimum bytes of a response that are read ahead of the entry's acknowledgements: more than any
/// response of a model, so that only callers that do not read a large response block their backend
/// server.
const MIN_READ_AHEAD_BYTES: u64 = 1 << 20;

impl Backend {
    /// Starts, replays or refuses a request that was handed over for a claim.
    pub(super) fn on_run(&mut self, now: time::Duration, link: key::Link, run: wire::Run) {
        let claim = self.claims.remove(&(link, run.claimed));
        let entry_id = self.links[link].entry_id.clone();
        let entry = self.entries.entry(entry_id.clone()).or_default();
        let runs = entry.runs.get(&run.request);
        let known = runs.and_then(|key| self.runs.get(*key));
        let started = known.is_some_and(|known| run.attempt <= known.attempt)
            || entry.was_started(run.request, run.attempt);
        if started || entry.is_voided(run.request, run.attempt) {
            self.meter.record_dropped_frame("old_attempt");
            if let Some(claim) = claim {
                self.shares.release(claim.reservation);
            }
            return;
        }
        let Some(claim) = claim else {
            // Recorded, so that the attempt never starts here even if this frame arrives twice.
            entry.mark_voided(now, run.request, run.attempt);
            self.not_started(link, &run, code::Code::Shed, time::Duration::ZERO);
            return;
        };
        if run.idempotency_key.is_empty() {
            self.begin(now, link, run, claim.reservation, false);
            return;
        }
        match self.keyed.begin(now, &run) {
            keyed::Verdict::Start => self.begin(now, link, run, claim.reservation, true),
            keyed::Verdict::StartUnkeyed => self.begin(now, link, run, claim.reservation, false),
            keyed::Verdict::Replay(response) => {
                let key = self.insert(now, link, &run, claim.reservation);
                self.replay(now, key, response);
            }
            keyed::Verdict::Refuse { code, retry_after } => {
                self.shares.release(claim.reservation);
                self.refuse_key(now, link, &run, code, retry_after);
            }
        }
    }

    fn begin(
        &mut self,
        now: time::Duration,
        link: key::Link,
        run: wire::Run,
        reservation: share::Reservation,
        keyed: bool,
    ) {
        let key = self.insert(now, link, &run, reservation);
        if keyed {
            let name = (run.customer.clone(), run.idempotency_key.clone());
            self.runs[key].keyed_as = Some(name);
        }
        self.start(key, run);
    }

    fn insert(
        &mut self,
        now: time::Duration,
        link: key::Link,
        run: &wire::Run,
        reservation: share::Reservation,
    ) -> key::Run {
        let entry_id = self.links[link].entry_id.clone();
        let customer = self.customers.intern(&run.customer);
        let key = self
            .runs
            .insert(Run::new(entry_id.clone(), customer, run, reservation, now));
        if let Some(entry) = self.entries.get_mut(&entry_id) {
            entry.runs.insert(run.request, key);
        }
        key
    }

    fn start(&mut self, key: key::Run, run: wire::Run) {
        self.running += 1;
        self.note(event::Kind::RunStarted, &run).send();
        self.stats.add_running(self.runs[key].customer, 1);
        let settings = &self.setup.settings;
        let limits = backend::Limits {
            address: settings.backend_address,
            progress_timeout: time::Duration::from_millis(settings.progress_timeout_ms),
            max_response_bytes: settings.answer_limit,
            read_ahead_bytes: (settings.answer_memory / u64::from(self.slots().max(1)))
                .max(MIN_READ_AHEAD_BYTES),
        };
        let call = backend::Call {
            method: run.method,
            path: run.path,
            headers: run.headers,
            body: run.body,
        };
        let acknowledged = self.runs[key].ack_tx.subscribe();
        let tx = self.setup.tx.clone();
        // The send fails only when the core has ended with the process.
        let report = move |event| drop(tx.send(Message::RunEvent(key, event)));
        let task = self
            .setup
            .runtime
            .spawn(backend::call(limits, call, acknowledged, report));
        self.runs[key].task = Some(task);
    }

    /// Refuses a call because of its key, and records that this attempt must never start.
    fn refuse_key(
        &mut self,
        now: time::Duration,
        link: key::Link,
        run: &wire::Run,
        code: code::Code,
        retry_after: time::Duration,
    ) {
        let entry_id = self.links[link].entry_id.clone();
        let entry = self.entries.entry(entry_id).or_default();
        entry.mark_voided(now, run.request, run.attempt);
        self.note(event::Kind::KeyConflict, run).code(code).send();
        let changes_hands = matches!(code, code::Code::KeyHomeUnreachable | code::Code::Leaving);
        if changes_hands {
            self.not_started(link, run, code, retry_after);
            return;
        }
        let failed = run::failure(run.request, run.attempt, code, retry_after);
        self.links[link].send(frame::Sidecar::Failed(failed));
    }

    fn note(&self, kind: event::Kind, run: &wire::Run) -> event::EventBuilder<'_> {
        let note = self.setup.ring.note(kind);
        note.request(&run.request_id).customer(&run.customer)
    }

    fn not_started(
        &self,
        link: key::Link,
        run: &wire::Run,
        code: code::Code,
        retry_after: time::Duration,
    ) {
        let voided = wire::Voided {
            request: run.request,
            attempt: run.attempt,
            code: u32::from(code.number()),
            not_started: true,
            retry_after_ms: retry_after.as_millis() as u64,
        };
        self.links[link].send(frame::Sidecar::Voided(voided));
    }

    /// Continues a response from the entry's offset, or reports whether the attempt was started.
    pub(super) fn on_resume(
        &mut self,
        now: time::Duration,
        link: key::Link,
        resume: &wire::Resume,
    ) {
        let entry_id = self.links[link].entry_id.clone();
        let entry = self.entries.entry(entry_id).or_default();
        let run = entry.runs.get(&resume.request).copied();
        let known = run.and_then(|key| self.runs.get_mut(key));
        if let Some(known) = known.filter(|known| known.attempt == resume.attempt) {
            known.detached_at = None;
            known.rewind(resume.offset);
            if let Some(key) = run {
                self.send_pending(now, key);
            }
            return;
        }
        let started = entry.was_started(resume.request, resume.attempt);
        if !started {
            // After this record it never will be.
            entry.mark_voided(now, resume.request, resume.attempt);
        }
        let voided = wire::Voided {
            request: resume.request,
            attempt: resume.attempt,
            code: u32::from(code::Code::Shed.number()),
            not_started: !started,
            retry_after_ms: 0,
        };
        self.links[link].send(frame::Sidecar::Voided(voided));
    }
}
