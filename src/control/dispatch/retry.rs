//! What becomes of a request whose attempt failed.

use std::time;

use smallvec::SmallVec;

use crate::control::dispatch::{Dispatch, Stage};
use crate::{code, filter, key, wire};

/// Most attempts of one request.
const ATTEMPTS: u32 = 3;

/// Wait before the second attempt; doubled for each further one.
const BACKOFF: time::Duration = time::Duration::from_millis(50);

/// How long after the hand-over a sidecar's word "not started" is believed. Sidecars remember what
/// they started for at least five minutes; an entry that was paused for longer must not take their
/// forgetting for a no.
const BELIEVED: time::Duration = time::Duration::from_secs(60);

impl Dispatch {
    /// The sidecar says that the attempt never started and never will.
    pub(super) fn not_started(
        &mut self,
        now: time::Duration,
        request: key::Request,
        code: code::Code,
    ) {
        let Stage::HandedOver(attempt) = &self.requests[request].stage else {
            return;
        };
        if now > attempt.since + BELIEVED {
            self.outcome_unknown(now, request);
        } else {
            self.again_or(now, request, code);
        }
    }

    /// The sidecar reports how the attempt failed.
    pub(super) fn attempt_failed(
        &mut self,
        now: time::Duration,
        request: key::Request,
        code: code::Code,
        ran: wire::Ran,
    ) {
        let held = &self.requests[request];
        if ran == wire::Ran::No || (held.ask.idempotent && !held.passed) {
            self.again_or(now, request, code);
        } else {
            self.refuse(request, filter::Refusal::new(code, code.row().text));
        }
    }

    /// Nobody can say what became of the attempt.
    pub(super) fn outcome_unknown(&mut self, now: time::Duration, request: key::Request) {
        let held = &self.requests[request];
        let code = if held.passed {
            code::Code::AnswerBroken
        } else {
            code::Code::OutcomeUnknown
        };
        if held.ask.idempotent && !held.passed {
            self.again_or(now, request, code);
        } else {
            self.refuse(request, filter::Refusal::new(code, code.row().text));
        }
    }

    fn again_or(&mut self, now: time::Duration, request: key::Request, code: code::Code) {
        let held = &mut self.requests[request];
        let Stage::HandedOver(attempt) = &held.stage else {
            return;
        };
        let sidecar = attempt.sidecar;
        if held.passed || held.attempt >= ATTEMPTS {
            self.refuse(request, filter::Refusal::new(code, code.row().text));
            return;
        }
        if !held.tried.contains(&sidecar) {
            held.tried.push(sidecar);
        }
        held.head = None;
        let not_before = now + BACKOFF * 2_u32.pow(held.attempt - 1);
        held.stage = Stage::Waiting {
            tickets: SmallVec::new(),
            not_before,
        };
        self.tally.running(held.customer, -1);
        if let Some(reservation) = held.reservation.take() {
            self.shares.release(reservation);
        }
        if let Some(known) = self.sidecars.get_mut(sidecar) {
            known.outstanding = known.outstanding.saturating_sub(1);
        }
        self.waiting.add(request, &self.requests[request]);
        self.place(now, request);
    }
}
