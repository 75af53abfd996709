//! Starts requests that were handed over: each attempt once at most.

use std::time;

use crate::control::backend::run::Run;
use crate::control::backend::{Backend, Message};
use crate::platform::backend;
use crate::wire::frame;
use crate::{code, key, wire};

impl Backend {
    /// A request arrives for a claim.
    pub(super) fn handed_over(&mut self, now: time::Duration, link: key::Link, run: wire::Run) {
        let claim = self.claims.remove(&(link, run.claimed));
        let origin = self.links[link].origin.clone();
        let memory = self.origins.entry(origin.clone()).or_default();
        let voided = memory
            .voided
            .get(&run.request)
            .is_some_and(|(to, _)| run.attempt <= *to);
        let known = memory
            .runs
            .get(&run.request)
            .and_then(|key| self.runs.get(*key));
        if known.is_some_and(|known| run.attempt <= known.attempt) {
            self.stale += 1;
            return;
        }
        let Some(claim) = claim.filter(|_| !voided) else {
            // Promise that it never starts here, also if this frame comes twice.
            memory.voided.insert(run.request, (run.attempt, now));
            self.not_started(link, &run, code::Code::BackendRefused);
            return;
        };
        let customer = self.customers.intern(&run.customer);
        let key = self.runs.insert(Run::new(
            origin.clone(),
            customer,
            &run,
            claim.reservation,
            now,
        ));
        if let Some(memory) = self.origins.get_mut(&origin) {
            memory.runs.insert(run.request, key);
        }
        self.start(key, run);
    }

    fn start(&mut self, key: key::Run, run: wire::Run) {
        self.running += 1;
        self.tally.running(self.runs[key].customer, 1);
        let settings = &self.setup.settings;
        let limits = backend::Limits {
            address: settings.backend_address,
            progress: time::Duration::from_millis(settings.progress_timeout_ms),
            answer: settings.answer_limit,
        };
        let call = backend::Call {
            method: run.method,
            path: run.path,
            headers: run.headers,
            body: run.body,
        };
        let tx = self.setup.tx.clone();
        // The core outlives its runs, or nobody is left to tell.
        let report = move |event| drop(tx.send(Message::Run(key, event)));
        let task = self
            .setup
            .runtime
            .spawn(backend::call(limits, call, report));
        self.runs[key].task = Some(task);
    }

    fn not_started(&self, link: key::Link, run: &wire::Run, code: code::Code) {
        let voided = wire::Voided {
            request: run.request,
            attempt: run.attempt,
            code: u32::from(code.number()),
            not_started: true,
            retry_after_ms: 0,
        };
        self.links[link].send(frame::Sidecar::Voided(voided));
    }

    /// The entry asks for the rest of an answer.
    pub(super) fn resume(&mut self, now: time::Duration, link: key::Link, resume: &wire::Resume) {
        let origin = self.links[link].origin.clone();
        let memory = self.origins.entry(origin).or_default();
        let run = memory.runs.get(&resume.request).copied();
        let known = run.and_then(|key| self.runs.get_mut(key));
        if let Some(known) = known.filter(|known| known.attempt == resume.attempt) {
            known.detached = None;
            known.rewind(resume.offset);
            if let Some(key) = run {
                self.push(now, key);
            }
            return;
        }
        // Nothing of it has started, and after this promise nothing will.
        memory.voided.insert(resume.request, (resume.attempt, now));
        let voided = wire::Voided {
            request: resume.request,
            attempt: resume.attempt,
            code: u32::from(code::Code::BackendRefused.number()),
            not_started: true,
            retry_after_ms: 0,
        };
        self.links[link].send(frame::Sidecar::Voided(voided));
    }
}
