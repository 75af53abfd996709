//! Sends the responses of runs to their entries, and cancels, finishes and removes runs.

use std::time;

use crate::client::backend;
use crate::control::backend::Backend;
use crate::control::response_buffer;
use crate::{code, event, key, wire};

/// Time for which the response of an ended run is kept if its entry does not fetch it. An entry
/// gives an attempt up after ten seconds without a link.
const UNFETCHED_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Time for which an idempotent request continues without a link to its entry.
const ORPHAN_TIMEOUT: time::Duration = time::Duration::from_secs(15);

impl Backend {
    /// Handles progress or the end of a run's call.
    pub(super) fn on_run_event(
        &mut self,
        now: time::Duration,
        key: key::Run,
        event: backend::Event,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.ended_at.is_some() {
            return;
        }
        match event {
            backend::Event::Head(status, headers) => {
                run.response.status = status;
                run.response.headers = headers;
            }
            backend::Event::Data(data) => {
                let tokens = run.meter.feed(&data);
                run.cost += u64::from(tokens);
                run.unreported_cost += tokens;
                self.stats.add_service(now, run.customer, f64::from(tokens));
                if let Some(reservation) = &mut run.reservation {
                    self.shares.charge(reservation, u64::from(tokens));
                }
                if run.first_byte_at.is_none() {
                    run.first_byte_at = Some(now);
                    if !self.models.is_empty() {
                        let took = now.saturating_sub(run.started_at);
                        self.window.record_first_token(took);
                        self.pace.add_first_token(took);
                    }
                }
                // If the caller has disconnected, the response is needed only for an idempotency
                // key.
                if !run.is_entry_done || run.keyed_as.is_some() {
                    self.response_bytes += data.len() as u64;
                    run.response.append(data);
                }
            }
            backend::Event::End => {
                run.response.mark_complete();
                self.finish_run(now, key);
            }
            backend::Event::Failed(code) => {
                run.failed = Some(code);
                self.finish_run(now, key);
            }
        }
        let run = &self.runs[key];
        if run.is_settled() {
            self.remove_run(now, key);
            return;
        }
        self.send_pending(now, key);
    }

    /// Completes a run with a stored response instead of a call.
    pub(super) fn replay(
        &mut self,
        now: time::Duration,
        key: key::Run,
        response: response_buffer::Buffer,
    ) {
        let run = &mut self.runs[key];
        self.response_bytes += response.length();
        run.response = response;
        run.ended_at = Some(now);
        let note = self.setup.ring.note(event::Kind::KeyReplayed);
        note.request(&run.id).send();
        if let Some(reservation) = run.reservation.take() {
            self.shares.release(reservation);
        }
        self.send_pending(now, key);
    }

    fn finish_run(&mut self, now: time::Duration, key: key::Run) {
        self.running -= 1;
        self.is_slot_freed = true;
        let run = &mut self.runs[key];
        run.ended_at = Some(now);
        run.task = None;
        self.stats.add_running(run.customer, -1);
        let kind = match run.failed {
            None => event::Kind::RunFinished,
            Some(code::Code::CallerLeft) => event::Kind::RunCancelled,
            Some(_) => event::Kind::RunFailed,
        };
        let note = self.setup.ring.note(kind).request(&run.id);
        let note = note.customer(self.customers.name(run.customer));
        let note = note.field("bytes", run.response.length());
        match run.failed {
            Some(code) => note.code(code).send(),
            None => note.send(),
        }
        if let Some(name) = run.keyed_as.take() {
            self.keyed.end(now, name, run.failed, &run.response);
        }
        let Some(reservation) = run.reservation.take() else {
            return;
        };
        if run.failed.is_some() {
            self.shares.release(reservation);
            return;
        }
        if let Some(first) = run.first_byte_at
            && run.cost > 1
            && !self.models.is_empty()
        {
            let gaps = (run.cost - 1).min(u64::from(u32::MAX)) as u32;
            let took = now.saturating_sub(first) / gaps;
            self.window.record_between_tokens(took);
            self.pace.add_between_tokens(took);
            self.meter.record_token_interval(took);
        }
        let rendered = run.cost;
        run.cost = match run.meter.finish() {
            Some(usage) => usage.prompt_tokens + usage.completion_tokens,
            None if self.models.is_empty() => now.saturating_sub(run.started_at).as_millis() as u64,
            None => run.prompt_tokens + run.cost,
        };
        let rest = run.cost.saturating_sub(rendered);
        self.stats.add_service(now, run.customer, rest as f64);
        self.shares.settle(reservation, run.cost);
    }

    /// Sends the frames that the entry may receive now.
    pub(super) fn send_pending(&mut self, now: time::Duration, key: key::Run) {
        let run = &mut self.runs[key];
        let Some(link) = self.entries.get(&run.entry_id).and_then(|entry| entry.link) else {
            // A run may also have started just as the link was lost.
            run.detached_at = run.detached_at.or(Some(now));
            return;
        };
        if run.detached_at.is_some() {
            return;
        }
        while let Some(kind) = run.next_frame() {
            self.links[link].send(kind);
        }
        if run.sent.end && run.failed.is_some() {
            // An entry does not acknowledge a failure; if it resumes the run, the failure is sent
            // again.
            run.is_entry_done = true;
        }
    }

    /// Handles an acknowledgement of bytes or of the complete response.
    pub(super) fn on_ack(&mut self, now: time::Duration, link: key::Link, ack: &wire::Ack) {
        let Some(key) = self.find_run(link, ack.request, ack.attempt) else {
            return;
        };
        let run = &mut self.runs[key];
        run.acknowledged = run.acknowledged.max(ack.offset);
        run.ack_tx.send_replace(run.acknowledged);
        if ack.done {
            run.is_entry_done = true;
            self.remove_run(now, key);
        } else {
            self.send_pending(now, key);
        }
    }

    /// Cancels a run whose caller has disconnected. A call that is not idempotent still runs to its
    /// end, because aborting it could leave its effect half done.
    pub(super) fn on_cancel(
        &mut self,
        now: time::Duration,
        link: key::Link,
        cancel: &wire::Cancel,
    ) {
        let Some(key) = self.find_run(link, cancel.request, cancel.attempt) else {
            return;
        };
        self.runs[key].is_entry_done = true;
        self.cancel_run(now, key);
        let run = &self.runs[key];
        if run.ended_at.is_some() {
            self.remove_run(now, key);
        } else if run.keyed_as.is_none() {
            self.drop_response(key);
        }
    }

    /// Cancels idempotent runs whose entry is gone, removes ended runs whose response is not
    /// fetched, and removes expired records of entries.
    pub(super) fn expire_runs(&mut self, now: time::Duration) {
        let mut orphans = Vec::new();
        let mut stale = Vec::new();
        for (key, run) in &self.runs {
            match (run.ended_at, run.detached_at) {
                (None, Some(since)) if now > since + ORPHAN_TIMEOUT => orphans.push(key),
                (Some(ended), _) if now > ended + UNFETCHED_TIMEOUT => stale.push(key),
                _ => {}
            }
        }
        for key in orphans {
            self.cancel_run(now, key);
        }
        for key in stale {
            self.remove_run(now, key);
        }
        for entry in self.entries.values_mut() {
            entry.expire(now);
        }
        self.entries
            .retain(|_, entry| entry.link.is_some() || !entry.is_empty());
    }

    fn cancel_run(&mut self, now: time::Duration, key: key::Run) {
        let run = &mut self.runs[key];
        if run.ended_at.is_some() {
            return;
        }
        if !run.idempotent {
            // No entry reads the response any more; lifts the read-ahead limit so that the call can
            // end.
            run.ack_tx.send_replace(u64::MAX);
            return;
        }
        if let Some(task) = run.task.take() {
            task.abort();
        }
        run.failed = Some(code::Code::CallerLeft);
        self.finish_run(now, key);
    }

    fn find_run(&self, link: key::Link, request: u64, attempt: u32) -> Option<key::Run> {
        let entry_id = &self.links.get(link)?.entry_id;
        let key = *self.entries.get(entry_id)?.runs.get(&request)?;
        (self.runs.get(key)?.attempt == attempt).then_some(key)
    }

    fn drop_response(&mut self, key: key::Run) {
        let run = &mut self.runs[key];
        self.response_bytes = self.response_bytes.saturating_sub(run.response.length());
        run.response = response_buffer::Buffer::default();
        run.sent.head = true;
        run.sent.end = true;
    }

    /// Removes a run and records only that it was started.
    fn remove_run(&mut self, now: time::Duration, key: key::Run) {
        self.drop_response(key);
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&run.entry_id) {
            if entry.runs.get(&run.request) == Some(&key) {
                entry.runs.remove(&run.request);
            }
            entry.mark_started(now, run.request, run.attempt);
        }
    }
}
