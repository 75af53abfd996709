//! Retries or fails a request after a failed attempt.

use std::time;

use smallvec::SmallVec;

use crate::control::dispatch::{Dispatch, Stage};
use crate::decide::{outcome, retry};
use crate::{code, event, filter, key, wire};

/// Delay before the home of a key is tried again while the home is changing.
const KEY_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Time after the handover during which a "not started" from a sidecar counts. Sidecars remember
/// started requests for at least five minutes; an entry that was paused for longer must not take a
/// forgotten request for one that never started.
const NOT_STARTED_VALIDITY: time::Duration = time::Duration::from_secs(60);

impl Dispatch {
    /// Handles a sidecar's promise that the attempt did not start and never will.
    pub(super) fn on_not_started(
        &mut self,
        now: time::Duration,
        request: key::Request,
        code: code::Code,
    ) {
        let Stage::HandedOver(attempt) = &self.requests[request].stage else {
            return;
        };
        let failure = if now > attempt.handed_over_at + NOT_STARTED_VALIDITY {
            outcome::Failure::Lost
        } else {
            outcome::Failure::Voided { not_started: true }
        };
        self.resolve_failure(now, request, failure, code, None);
    }

    /// Handles a failure that the sidecar reported.
    pub(super) fn on_attempt_failed(
        &mut self,
        now: time::Duration,
        request: key::Request,
        failed: &wire::Failed,
    ) {
        let code = code::Code::from_number(failed.code).unwrap_or(code::Code::OutcomeUnknown);
        let ran = match failed.ran() {
            wire::Ran::No => code::Ran::No,
            wire::Ran::Yes => code::Ran::Yes,
            wire::Ran::Unknown | wire::Ran::Unspecified => code::Ran::Unknown,
        };
        let wait = time::Duration::from_millis(failed.retry_after_ms);
        let retry_after = (!wait.is_zero()).then_some(wait);
        let failure = outcome::Failure::Failed { code, ran };
        self.resolve_failure(now, request, failure, code, retry_after);
    }

    /// Handles an attempt with an unknown outcome.
    pub(super) fn on_attempt_lost(&mut self, now: time::Duration, request: key::Request) {
        let code = code::Code::OutcomeUnknown;
        self.resolve_failure(now, request, outcome::Failure::Lost, code, None);
    }

    /// Handles a response with a wrong length or checksum.
    pub(super) fn on_corrupt_response(&mut self, now: time::Duration, request: key::Request) {
        let code = code::Code::AnswerBroken;
        self.resolve_failure(now, request, outcome::Failure::Corrupt, code, None);
    }

    fn resolve_failure(
        &mut self,
        now: time::Duration,
        request: key::Request,
        failure: outcome::Failure,
        cause: code::Code,
        retry_after: Option<time::Duration>,
    ) {
        let state = &self.requests[request];
        let Stage::HandedOver(attempt) = &state.stage else {
            return;
        };
        let sidecar = attempt.sidecar;
        let reached =
            if state.head.is_some() || state.is_head_sent || attempt.response.received() > 0 {
                outcome::Stage::Answering
            } else {
                outcome::Stage::Sent
            };
        let request_state = outcome::Request {
            idempotent: state.request.idempotent,
            has_sent_answer: state.is_head_sent,
        };
        self.routing
            .on_failure(now, sidecar, &self.sidecars[sidecar], cause);
        match outcome::decide(request_state, reached, failure) {
            outcome::Verdict::Retry => self.retry_or_fail(now, request, cause, retry_after),
            outcome::Verdict::Fail(code) => self.fail(request, code, retry_after),
            outcome::Verdict::Resume | outcome::Verdict::Done => {}
        }
    }

    fn fail(
        &mut self,
        request: key::Request,
        code: code::Code,
        retry_after: Option<time::Duration>,
    ) {
        let refusal = filter::Refusal {
            code,
            detail: String::new(),
            retry_after,
        };
        self.refuse(request, refusal);
    }

    fn retry_or_fail(
        &mut self,
        now: time::Duration,
        request: key::Request,
        code: code::Code,
        retry_after: Option<time::Duration>,
    ) {
        let home_may_change = self.home_may_change(now, request, code);
        let state = &self.requests[request];
        let rng = &mut self.routing.rng;
        let verdict = if home_may_change {
            retry::Verdict::After(KEY_BACKOFF)
        } else {
            state
                .history
                .decide(now, state.expires_at, code, &mut self.retry_budget, rng)
        };
        match verdict {
            retry::Verdict::After(wait) => {
                let state = &self.requests[request];
                let note = self.note(event::Kind::RequestRetried, state);
                note.code(code).field("wait_ms", wait.as_millis()).send();
                self.meter.record_retry();
                self.requeue(now, request, now + wait);
            }
            retry::Verdict::Refuse(code) => self.fail(request, code, retry_after),
        }
    }

    fn requeue(&mut self, now: time::Duration, request: key::Request, not_before: time::Duration) {
        let state = &mut self.requests[request];
        let waiting = Stage::Waiting {
            tickets: SmallVec::new(),
            not_before,
        };
        let Stage::HandedOver(attempt) = std::mem::replace(&mut state.stage, waiting) else {
            return;
        };
        state.head = None;
        state.streamed_cost = 0;
        self.stats.add_running(state.customer, -1);
        self.account_requeue(request);
        let state = &mut self.requests[request];
        if let Some(reservation) = state.reservation.take() {
            self.shares.release(reservation);
        }
        if let Some(info) = self.sidecars.get_mut(attempt.sidecar) {
            info.outstanding = info.outstanding.saturating_sub(1);
        }
        self.waiting.add(request, &self.requests[request]);
        self.place(now, request);
    }
}
