//! Handles frames from sidecars: claims, responses and their ends.

use std::time;

use crate::control::dispatch::request::{Attempt, ResponsePart};
use crate::control::dispatch::{Dispatch, Stage, number, request};
use crate::control::response;
use crate::decide::drain;
use crate::wire::frame;
use crate::{code, event, key, wire};

/// Bytes that the caller has read between two acknowledgements: an eighth of what a sidecar sends
/// ahead, so that acknowledgements are few and the sidecar never waits for one.
const ACK_INTERVAL_BYTES: u64 = 32 << 10;

/// Delay before a request whose ticket was refused is placed again.
const TICKET_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Maximum number of a customer's waiting requests that are scanned for the oldest that fits a
/// claim.
const MAX_SCANNED: usize = 64;

impl Dispatch {
    /// Handles a frame. Frames of an older link are dropped.
    pub(super) fn on_frame(
        &mut self,
        now: time::Duration,
        id: &str,
        link: u64,
        kind: frame::Sidecar,
    ) {
        let Some(&sidecar) = self.by_id.get(id) else {
            return;
        };
        if !self.sidecars[sidecar].is_current(link) {
            self.meter.record_dropped_frame("old_link");
            return;
        }
        match kind {
            frame::Sidecar::Claim(claim) => self.on_claim(now, sidecar, request(claim.request)),
            frame::Sidecar::Voided(voided) => self.on_voided(now, sidecar, &voided),
            frame::Sidecar::Head(head) => self.on_head(sidecar, head),
            frame::Sidecar::Chunk(chunk) => self.on_chunk(now, sidecar, chunk),
            frame::Sidecar::End(end) => self.on_end(now, sidecar, &end),
            frame::Sidecar::Failed(failed) => self.on_failed(now, sidecar, &failed),
            frame::Sidecar::Beat(heartbeat) => self.on_heartbeat(now, sidecar, &heartbeat),
            frame::Sidecar::Want(want) => self.on_idle_slots(now, sidecar, want.slots),
            frame::Sidecar::Welcome(_) => self.meter.record_dropped_frame("unexpected"),
        }
    }

    /// Hands a request over for a claim. The first claim of a ticket wins, later ones are voided.
    /// The customer's oldest matching request is handed over, so that its requests run in order of
    /// arrival whichever ticket was claimed.
    fn on_claim(&mut self, now: time::Duration, sidecar: key::Sidecar, claimed: key::Request) {
        if !self.use_ticket(sidecar, claimed) {
            let void = wire::Void {
                request: number(claimed),
                attempt: 0,
            };
            self.sidecars[sidecar].send(frame::Entry::Void(void));
            return;
        }
        let oldest = self.oldest_matching(now, sidecar, claimed);
        self.hand_over(now, sidecar, claimed, oldest);
        if oldest != claimed {
            self.place(now, claimed);
        }
    }

    /// Removes the request's ticket at the sidecar; returns whether the request was waiting with
    /// one.
    fn use_ticket(&mut self, sidecar: key::Sidecar, request: key::Request) -> bool {
        let Some(state) = self.requests.get_mut(request) else {
            return false;
        };
        let Stage::Waiting { tickets, .. } = &mut state.stage else {
            return false;
        };
        let before = tickets.len();
        tickets.retain(|at| *at != sidecar);
        if tickets.len() == before {
            return false;
        }
        let info = &mut self.sidecars[sidecar];
        info.tickets = info.tickets.saturating_sub(1);
        true
    }

    fn oldest_matching(
        &self,
        now: time::Duration,
        sidecar: key::Sidecar,
        claimed: key::Request,
    ) -> key::Request {
        let claimed_request = &self.requests[claimed].request;
        if !claimed_request.key.is_empty() {
            return claimed;
        }
        let fits = |request: &key::Request| {
            let state = &self.requests[*request];
            let Stage::Waiting { not_before, .. } = &state.stage else {
                return false;
            };
            state.request.service == claimed_request.service
                && state.request.model == claimed_request.model
                && state.request.key.is_empty()
                && *not_before <= now
                && !state.history.tried().contains(&sidecar)
        };
        let mut candidates = self.waiting.customer(self.requests[claimed].customer);
        candidates
            .by_ref()
            .take(MAX_SCANNED)
            .find(fits)
            .unwrap_or(claimed)
    }

    fn hand_over(
        &mut self,
        now: time::Duration,
        sidecar: key::Sidecar,
        claimed: key::Request,
        request: key::Request,
    ) {
        self.account_start(now, request);
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.history.record(sidecar);
        let attempt = Attempt {
            sidecar,
            incarnation: self.sidecars[sidecar].incarnation,
            handed_over_at: now,
            detached_at: None,
            response: response::Progress::default(),
        };
        let previous = std::mem::replace(&mut state.stage, Stage::HandedOver(attempt));
        state.reservation = Some(self.shares.reserve(state.customer));
        self.stats.add_running(state.customer, 1);
        self.waiting.remove(request, state);
        let run = wire::Run {
            request: number(request),
            attempt: state.attempt,
            method: state.request.method.clone(),
            path: state.request.path.clone(),
            headers: state.request.headers.clone(),
            body: state.request.body.clone(),
            idempotent: state.request.idempotent,
            idempotency_key: state.request.key.clone(),
            customer: state.request.customer.clone(),
            request_id: state.request.id.clone(),
            claimed: number(claimed),
        };
        let info = &mut self.sidecars[sidecar];
        info.outstanding += 1;
        info.send(frame::Entry::Run(run));
        let state = &self.requests[request];
        self.meter.record_wait(now.saturating_sub(state.arrived_at));
        self.note(event::Kind::RequestHandedOver, state)
            .field("sidecar", &self.sidecars[sidecar].id)
            .field("attempt", state.attempt)
            .send();
        self.routing
            .on_handover(sidecar, &self.sidecars[sidecar], &state.request);
        if let Stage::Waiting { tickets, .. } = previous {
            self.void_tickets(request, &tickets);
        }
    }

    fn on_voided(&mut self, now: time::Duration, sidecar: key::Sidecar, voided: &wire::Voided) {
        let key = request(voided.request);
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        let code = code::Code::from_number(voided.code).unwrap_or(code::Code::BackendRefused);
        if code == code::Code::Leaving {
            // This arrives before the heartbeat that says so, and stops new tickets to the sidecar.
            let leave_status = &mut self.sidecars[sidecar].leave_status;
            leave_status.observe(now, drain::Source::Own, true);
        }
        if voided.attempt == 0 {
            self.on_ticket_refused(now, sidecar, key);
            return;
        }
        if state.current_attempt(sidecar, voided.attempt).is_none() {
            self.meter.record_dropped_frame("old_attempt");
            return;
        }
        if voided.not_started {
            self.on_not_started(now, key, code);
        } else {
            self.on_attempt_lost(now, key);
        }
    }

    /// Removes a ticket that the sidecar refused and places the request again after a delay.
    fn on_ticket_refused(
        &mut self,
        now: time::Duration,
        sidecar: key::Sidecar,
        request: key::Request,
    ) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Waiting {
            tickets,
            not_before,
        } = &mut state.stage
        else {
            return;
        };
        tickets.retain(|at| *at != sidecar);
        *not_before = now + TICKET_BACKOFF;
        self.place(now, request);
    }

    fn on_head(&mut self, sidecar: key::Sidecar, frame: wire::Head) {
        let key = request(frame.request);
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        if state.current_attempt(sidecar, frame.attempt).is_none() {
            self.meter.record_dropped_frame("old_attempt");
            return;
        }
        if !state.is_head_sent && state.head.is_none() {
            state.head = Some((frame.status, frame.headers));
        }
    }

    fn on_chunk(&mut self, now: time::Duration, sidecar: key::Sidecar, chunk: wire::Chunk) {
        let key = request(chunk.request);
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        let Some(attempt) = state.current_attempt(sidecar, chunk.attempt) else {
            self.meter.record_dropped_frame("old_attempt");
            return;
        };
        let since = attempt.handed_over_at;
        match attempt.response.chunk(chunk.offset, chunk.data) {
            response::ChunkResult::Next(data) => {
                self.stats
                    .add_service(now, state.customer, f64::from(chunk.cost));
                let cost = u64::from(chunk.cost);
                state.streamed_cost += cost;
                self.limits.charge(now, state.customer, cost);
                if let Some(reservation) = &mut state.reservation {
                    self.shares.charge(reservation, u64::from(chunk.cost));
                }
                if !state.is_head_sent {
                    self.meter.record_first_token(now.saturating_sub(since));
                }
                state.send_head();
                state.send(ResponsePart::Data(data));
            }
            response::ChunkResult::Duplicate => self.meter.record_dropped_frame("duplicate"),
            response::ChunkResult::Gap(offset) => self.request_resend(sidecar, key, offset),
        }
    }

    fn on_end(&mut self, now: time::Duration, sidecar: key::Sidecar, end: &wire::End) {
        let key = request(end.request);
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        let Some(attempt) = state.current_attempt(sidecar, end.attempt) else {
            self.meter.record_dropped_frame("old_attempt");
            return;
        };
        let attempt_since = attempt.handed_over_at;
        match attempt.response.end(end.length, end.checksum) {
            response::EndResult::Complete => {
                state.send_head();
                state.send(ResponsePart::End);
                let note = self
                    .ring
                    .note(event::Kind::RequestFinished)
                    .request(&state.request.id);
                note.customer(&state.request.customer)
                    .field("bytes", end.length)
                    .field("cost", end.cost)
                    .send();
                self.meter.record_response(None);
                let ack = wire::Ack {
                    request: end.request,
                    attempt: end.attempt,
                    offset: end.length,
                    done: true,
                };
                let took = now.saturating_sub(attempt_since);
                self.admission.end(state.customer, took);
                // The cost of the prompt, and of a response that is not streamed, is known only
                // now.
                let rest = end.cost.saturating_sub(state.streamed_cost);
                self.limits.charge(now, state.customer, rest);
                self.stats.add_service(now, state.customer, rest as f64);
                let pace = took / (end.cost.clamp(1, u64::from(u32::MAX)) as u32);
                if let Some(reservation) = state.reservation.take() {
                    self.shares.settle(reservation, end.cost);
                }
                self.routing
                    .on_success(now, sidecar, &self.sidecars[sidecar], pace);
                self.sidecars[sidecar].send(frame::Entry::Ack(ack));
                self.finish(key);
            }
            response::EndResult::Gap(offset) => self.request_resend(sidecar, key, offset),
            response::EndResult::Corrupt => self.on_corrupt_response(now, key),
        }
    }

    fn on_failed(&mut self, now: time::Duration, sidecar: key::Sidecar, failed: &wire::Failed) {
        let key = request(failed.request);
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        if state.current_attempt(sidecar, failed.attempt).is_none() {
            self.meter.record_dropped_frame("old_attempt");
            return;
        }
        self.on_attempt_failed(now, key, failed);
    }

    fn on_heartbeat(
        &mut self,
        now: time::Duration,
        sidecar: key::Sidecar,
        heartbeat: &wire::SidecarBeat,
    ) {
        let info = &mut self.sidecars[sidecar];
        info.window = heartbeat.window;
        info.running = heartbeat.running;
        info.waiting = heartbeat.waiting;
        info.reported_at = now;
        info.pace = (
            time::Duration::from_millis(heartbeat.first_token_ms),
            time::Duration::from_micros(heartbeat.between_tokens_us),
        );
        let was_open = info.leave_status.accepts_tickets(now);
        info.leave_status
            .observe(now, drain::Source::Own, heartbeat.leaving);
        let began_leaving = was_open && heartbeat.leaving;
        self.routing
            .on_report(now, sidecar, &self.sidecars[sidecar]);
        self.ring.observe(event::Stamp(heartbeat.stamp));
        self.clock
            .on_report(sidecar, heartbeat.virtual_time, heartbeat.waiting);
        self.shares.advance_virtual_time(self.clock.time());
        if began_leaving {
            self.drop_tickets(now, sidecar);
        }
        let busy = heartbeat.running.saturating_add(heartbeat.waiting);
        let idle = heartbeat.window.saturating_sub(busy);
        if idle > 0 && !heartbeat.leaving && !self.sidecars[sidecar].is_evacuated {
            self.on_idle_slots(now, sidecar, idle);
        }
    }

    /// Acknowledges bytes that the caller's connection has read, so that the sidecar can send more.
    pub(super) fn on_bytes_consumed(&mut self, request: key::Request, bytes: u64) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        state.consumed += bytes;
        if state.consumed < state.acknowledged + ACK_INTERVAL_BYTES {
            return;
        }
        state.acknowledged = state.consumed;
        let Stage::HandedOver(attempt) = &state.stage else {
            return;
        };
        let ack = wire::Ack {
            request: number(request),
            attempt: state.attempt,
            offset: state.consumed,
            done: false,
        };
        if let Some(sidecar) = self.sidecars.get(attempt.sidecar) {
            sidecar.send(frame::Entry::Ack(ack));
        }
    }

    fn request_resend(&mut self, sidecar: key::Sidecar, request: key::Request, offset: u64) {
        self.meter.record_dropped_frame("gap");
        let resume = wire::Resume {
            request: number(request),
            attempt: self.requests[request].attempt,
            offset,
            incarnation: self.sidecars[sidecar].incarnation,
        };
        self.sidecars[sidecar].send(frame::Entry::Resume(resume));
    }
}
