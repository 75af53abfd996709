//! Log lines and metrics of requests.

use super::{forward, logger, refusal, slot};
use crate::key;

impl forward::Call {
    /// Logs and counts a retry.
    pub(super) fn log_retry(&self, cause: &str, server: key::Sidecar) {
        self.entry.meter.count("repeats", cause);
        self.entry
            .log
            .line("again")
            .with("id", self.id())
            .with("cause", cause)
            .with("backend", self.backend(server))
            .with("attempts", self.tried.len());
    }

    pub(super) fn id(&self) -> &str {
        self.req.head.id.to_str().unwrap_or("?")
    }

    /// Returns the id of a backend server, for logs.
    pub fn backend(&self, server: key::Sidecar) -> String {
        let backends = self.entry.backends.borrow();
        backends
            .get(server)
            .map_or_else(String::new, |b| b.server.id.clone())
    }

    // Adds which attempt brought the first event of the stream that the caller takes up.
    fn with_taken_up<'a>(&self, line: logger::Line<'a>) -> logger::Line<'a> {
        let Some(taken_up) = &self.req.head.taken_up else {
            return line;
        };
        let first = taken_up.first_attempt.as_ref();
        let first = first.and_then(|id| id.to_str().ok()).unwrap_or("-");
        line.with("resumes", first)
    }

    /// Logs and counts a request that was answered.
    pub fn log_answered(&self, slot: &slot::Slot, status: u16, outcome: &str) {
        self.is_logged.set(true);
        if status < 400 {
            slot.record_success(outcome == "stream");
        }
        if !self.entry.quarantine.borrow().is_empty() {
            self.entry.on_request_completed(self.req.fingerprint());
        }
        self.entry.on_parts_completed(&self.req.part_fingerprints());
        let now = self.entry.now();
        let took = now.saturating_sub(self.req.received);
        self.entry.meter.count("answers", outcome);
        self.entry.meter.time("answer", took);
        self.entry.meter.time("waited", self.waited);
        self.entry.meter.time("pause", slot.max_gap);
        let line = self.entry.log.line("answered").with("id", self.id());
        let line = self
            .with_taken_up(line)
            .with("route", &self.req.route.name)
            .with("customer", self.req.customer.as_deref().unwrap_or("-"))
            .with("cost", self.req.head.cost)
            .with("backend", self.backend(slot.server))
            .with("status", status)
            .with("outcome", outcome)
            .with("attempts", self.tried.len())
            .ms("waited_ms", self.waited)
            .with("ahead_ms", slot.ahead_ms as u64)
            .with("tokens", slot.tokens as u64)
            .ms("first_ms", slot.first_event_after.unwrap_or_default())
            .ms("pause_ms", slot.max_gap)
            .ms("took_ms", took);
        if let Some(source) = slot.source {
            line.with("fetched_from", self.backend(source));
        }
    }

    /// Logs and counts a request that the entry refused.
    pub fn log_refusal(&self, refusal: refusal::Refusal) {
        self.is_logged.set(true);
        let entry = &self.entry;
        let row = refusal.code.row();
        entry.meter.count("refusals", row.name);
        let now = entry.now();
        let line = entry.log.line("refused").with("id", self.id());
        let mut line = self
            .with_taken_up(line)
            .with("route", &self.req.route.name)
            .with("customer", self.req.customer.as_deref().unwrap_or("-"))
            .with("cost", self.req.head.cost)
            .with("code", refusal.code)
            .with("ran", row.ran)
            .with("attempts", self.tried.len())
            .with(
                "configuration",
                entry.configuration().map_or(0, |p| p.version),
            )
            .ms("after_ms", refusal.retry_after.unwrap_or_default())
            .ms("held_ms", now.saturating_sub(self.req.received));
        // The fingerprint is computed only if a backend server may have crashed during the request
        // or some have crashed recently.
        if let Some(fingerprint) = self.req.fingerprint.get() {
            line = line.with("fingerprint", fingerprint);
        }
        if let Some(part) = self.quarantined_part.get() {
            line = line.with("part", part);
        }
        if let Some(forward::Decision {
            server,
            decided_by,
            estimate,
        }) = self.decision.get()
        {
            let decided_by = decided_by.map_or_else(|| "self".into(), |a| a.to_string());
            drop(
                line.with("backend", self.backend(server))
                    .with("decided_by", decided_by)
                    .with("tokens", estimate.tokens as u64)
                    .with("ahead_ms", estimate.ahead_ms as i64)
                    .with("wait_ms", estimate.wait_ms as i64)
                    .with("max_wait_ms", estimate.max_wait_ms as i64)
                    .with("running", estimate.in_flight)
                    .with("waiting", estimate.queued)
                    .with("served", format_args!("{:.3}", estimate.served_share)),
            );
        }
    }

    /// Logs that the error response of a backend server was passed on, since no other attempt got a
    /// response.
    pub(super) fn log_failure_passed_on(&self, refusal: refusal::Refusal) {
        self.is_logged.set(true);
        self.entry
            .log
            .line("failure_passed_on")
            .with("id", self.id())
            .with("code", refusal.code);
    }
}

impl Drop for forward::Call {
    // A request that is dropped without a logged result was cancelled because its caller left.
    fn drop(&mut self) {
        if self.is_logged.get() {
            return;
        }
        self.entry.meter.count("refusals", "caller_left");
        let now = self.entry.now();
        self.entry
            .log
            .line("caller_left")
            .with("id", self.id())
            .with("route", &self.req.route.name)
            .with("attempts", self.tried.len())
            .with("ran", if self.may_have_run { "unknown" } else { "no" })
            .ms("held_ms", now.saturating_sub(self.req.received));
    }
}
