//! Handling of requests that crashed backend servers, or may have.

use std::fmt::Write as _;
use std::{net, time};

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::peer::case;
use super::{forward, refusal, slot, state};
use crate::code;
use crate::decide::quarantine;
use crate::key;

/// Retry-After in milliseconds for a suspect whose last try may soon be explained.
const TRIED_RETRY_AFTER_MS: u64 = 1_000;

/// Minimum time between two requests for a peer's cases.
const CASES_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Why a request may not run now.
#[derive(Debug)]
pub(super) struct Hold {
    /// The refusal.
    pub(super) refusal: refusal::Refusal,
    /// The request, or the part of its prompt, because of which it is refused.
    pub(super) fingerprint: quarantine::Fingerprint,
}

impl state::Entry {
    /// Returns the fingerprint if a request, or a part of its prompt, is a suspect; `None` if the
    /// request may run anywhere. Fails if it may not run now. Without the fingerprint of the
    /// request only the parts are checked.
    pub(super) fn check_standing(
        &self,
        parts: impl FnOnce() -> SmallVec<[quarantine::Fingerprint; 4]>,
        request: impl FnOnce() -> Option<quarantine::Fingerprint>,
    ) -> Result<Option<quarantine::Fingerprint>, Hold> {
        let table = self.quarantine.borrow();
        if table.is_empty() {
            return Ok(None);
        }
        let hold = |refusal, fingerprint| Hold {
            refusal,
            fingerprint,
        };
        let part_held = refusal::Refusal::new(code::Code::PartHeld);
        let suspect_part = table
            .suspect_part(&parts())
            .map_err(|part| hold(part_held, part))?;
        let Some(request) = request() else {
            return Ok(suspect_part);
        };
        match table.standing(request) {
            quarantine::Standing::Clear => Ok(suspect_part),
            quarantine::Standing::Suspect if table.awaits_cause(self.now(), request) => {
                let after = time::Duration::from_millis(TRIED_RETRY_AFTER_MS);
                let tried = code::Code::RequestTried;
                let refusal = refusal::Refusal::with_retry_after(tried, after);
                Err(hold(refusal, request))
            }
            quarantine::Standing::Suspect => Ok(suspect_part.or(Some(request))),
            quarantine::Standing::Quarantined => {
                let refusal = refusal::Refusal::new(code::Code::RequestHeld);
                Err(hold(refusal, request))
            }
        }
    }

    /// Returns whether a request may run freely, only as a suspect, or not at all.
    pub fn standing(&self, request: quarantine::Fingerprint) -> quarantine::Standing {
        self.quarantine.borrow().standing(request)
    }

    /// Records that a backend server crashed during a request.
    pub fn on_crash(&self, server: key::Sidecar, loss: &quarantine::Loss) {
        let process = self.backends.borrow().get(server).map(|b| b.process);
        let Some(process) = process else { return };
        let (now, servers) = (self.now(), self.backends.borrow().len());
        let before = self.standing(loss.fingerprint);
        let mut table = self.quarantine.borrow_mut();
        table.on_crash(
            now,
            loss.fingerprint,
            process,
            servers,
            loss.ran,
            loss.alone,
        );
        drop(table);
        let after = self.log_standing(loss.fingerprint, before);
        if before != after && after == quarantine::Standing::Quarantined {
            self.request_save(loss.fingerprint);
        }
        case::broadcast(self, loss.fingerprint, after != quarantine::Standing::Clear);
    }

    /// Records that a connection was lost during a request and it isn't known whether the backend
    /// server crashed.
    pub(super) fn on_unexplained_loss(&self, request: quarantine::Fingerprint) {
        let before = self.standing(request);
        self.quarantine
            .borrow_mut()
            .on_connection_lost(self.now(), request);
        let after = self.log_standing(request, before);
        case::broadcast(self, request, after != before);
    }

    /// Records that a request was completed.
    pub fn on_request_completed(&self, request: quarantine::Fingerprint) {
        let before = self.standing(request);
        if self
            .quarantine
            .borrow_mut()
            .on_completion(self.now(), request)
        {
            self.log_standing(request, before);
            case::broadcast(self, request, before != quarantine::Standing::Clear);
        }
    }

    /// Merges a peer's case of a request or a part.
    pub fn on_case(&self, request: quarantine::Fingerprint, case: &quarantine::Case) {
        let before = self.standing(request);
        if self.quarantine.borrow_mut().merge(request, case) {
            self.log_standing(request, before);
        }
        let is_clear = self.standing(request) == quarantine::Standing::Clear;
        if case.is_part && is_clear && case.standing() != quarantine::Standing::Clear {
            // A request with the part was completed here.
            case::report_parts(self, &[request]);
        }
    }

    /// Merges the case of a part that a peer reported to this entry.
    pub fn on_part_report(&self, part: quarantine::Fingerprint, case: &quarantine::Case) {
        let before = self.standing(part);
        self.quarantine.borrow_mut().merge(part, case);
        self.announce_part(part, before);
    }

    /// Records that a backend server crashed while it ran these requests, for the parts of their
    /// prompts.
    pub(super) fn on_crash_under_parts(&self, server: key::Sidecar, lost: &[quarantine::Loss]) {
        let process = self.backends.borrow().get(server).map(|b| b.process);
        let Some(process) = process else { return };
        let (now, servers) = (self.now(), self.backends.borrow().len());
        let mut reported = Vec::new();
        for loss in quarantine::PartLoss::of_crash(lost) {
            let part = loss.part;
            let before = self.standing(part);
            let mut table = self.quarantine.borrow_mut();
            table.on_part_crash(now, &loss, process, servers);
            drop(table);
            self.announce_part(part, before);
            reported.push(part);
        }
        case::report_parts(self, &reported);
    }

    /// Records that a request with these parts was completed.
    pub(super) fn on_parts_completed(&self, parts: &[quarantine::Fingerprint]) {
        for part in parts {
            let before = self.standing(*part);
            let cleared = self
                .quarantine
                .borrow_mut()
                .on_part_completion(self.now(), *part);
            if cleared {
                self.announce_part(*part, before);
                case::report_parts(self, &[*part]);
            }
        }
    }

    // Logs the standing of a part and sends it to all entries, if it has changed.
    fn announce_part(&self, part: quarantine::Fingerprint, before: quarantine::Standing) {
        let after = self.log_standing(part, before);
        if after == before {
            return;
        }
        if [before, after].contains(&quarantine::Standing::Quarantined) {
            self.request_save(part);
        }
        case::broadcast(self, part, true);
    }

    /// Compares the digest of a peer's quarantined requests with this entry's.
    pub fn on_held_digest(&self, address: net::Ipv4Addr, digest: u64) {
        if digest != self.quarantine.borrow().digest() {
            self.differing_peer.set(Some(address));
            self.peer_change.notify_one();
        }
    }

    /// Returns a peer whose quarantined requests differ from this entry's, if it is time to ask it.
    pub fn take_differing_peer(&self) -> Option<net::Ipv4Addr> {
        let now = self.now();
        let differing = self
            .differing_peer
            .get()
            .filter(|_| now >= self.next_cases_request.get())?;
        self.differing_peer.set(None);
        self.next_cases_request.set(now + CASES_REQUEST_INTERVAL);
        Some(differing)
    }

    /// Releases the quarantined requests with this content by an operator's command, and returns
    /// their number.
    pub fn release(&self, content: u64) -> usize {
        let released = self.quarantine.borrow_mut().release(self.now(), content);
        for request in &released {
            self.log.line("released").with("fingerprint", request);
            case::broadcast(self, *request, true);
            self.request_save(*request);
        }
        released.len()
    }

    fn request_save(&self, request: quarantine::Fingerprint) {
        self.unsaved_cases.borrow_mut().insert(request);
        self.save_due.notify_one();
    }

    /// Marks all quarantined requests to be saved again, since the saved cases may have been lost.
    pub fn mark_quarantined_unsaved(&self) {
        let table = self.quarantine.borrow();
        let quarantined = table
            .cases()
            .filter(|(_, case)| case.quarantined_since.is_some());
        self.unsaved_cases
            .borrow_mut()
            .extend(quarantined.map(|(request, _)| request));
    }

    /// Marks a request whose saved case is outdated and must be rewritten or deleted.
    pub fn mark_unsaved(&self, request: quarantine::Fingerprint) {
        self.unsaved_cases.borrow_mut().insert(request);
    }

    /// Takes the requests whose saved cases must be written or deleted.
    pub fn take_unsaved(&self) -> Vec<quarantine::Fingerprint> {
        self.unsaved_cases.borrow_mut().drain().collect()
    }

    // Logs the standing of a request if it has changed, and returns it.
    fn log_standing(
        &self,
        request: quarantine::Fingerprint,
        before: quarantine::Standing,
    ) -> quarantine::Standing {
        let table = self.quarantine.borrow();
        let after = table.standing(request);
        if after == before {
            return after;
        }
        let event = match after {
            quarantine::Standing::Clear => "cleared",
            quarantine::Standing::Suspect => "suspected",
            quarantine::Standing::Quarantined => "held_back",
        };
        let line = self.log.line(event).with("fingerprint", request);
        if let Some(case) = table.get(request) {
            let (alone, chance) = case.evidence();
            drop(
                line.with("customer", self.customer_name(request.customer))
                    .with("ended", case.crashes.len())
                    .with("alone", alone)
                    .with("chance", format_args!("{chance:.1e}"))
                    .with("kind", kind(case)),
            );
        }
        after
    }

    // Returns the name of the customer with this hash of its name; `-` if no request of it was
    // received here.
    fn customer_name(&self, hash: u64) -> String {
        let names = self.customer_keys.borrow();
        let found = names
            .keys()
            .find(|name| xxh3::xxh3_64(name.as_bytes()) == hash);
        found.map_or_else(|| "-".into(), ToString::to_string)
    }

    /// Returns the suspects and quarantined requests as text for operators, one per line.
    pub fn describe_cases(&self) -> String {
        let (now, table) = (self.now(), self.quarantine.borrow());
        let mut text = String::new();
        for (request, case) in table.cases() {
            let standing = match case.standing() {
                quarantine::Standing::Clear => continue,
                quarantine::Standing::Suspect => "suspect",
                quarantine::Standing::Quarantined => "held",
            };
            let (alone, chance) = case.evidence();
            let seen = now.saturating_sub(case.last_seen).as_secs();
            // Writing to a string can't fail.
            let _written = writeln!(
                text,
                "{request} {standing} customer={} ended={} alone={alone} chance={chance:.1e} last_s={seen} kind={}",
                self.customer_name(request.customer),
                case.crashes.len(),
                kind(case),
            );
        }
        text
    }
}

// Returns what a case is about, for logs and operators.
fn kind(case: &quarantine::Case) -> &'static str {
    if case.is_part { "part" } else { "request" }
}

impl forward::Call {
    /// Returns the fingerprint if the request is a suspect, which may not run beside another one;
    /// `None` if it may run anywhere. Fails if it may not run now.
    pub(super) fn check_quarantine(
        &self,
    ) -> Result<Option<quarantine::Fingerprint>, refusal::Refusal> {
        let parts = || self.req.part_fingerprints();
        let checked = self
            .entry
            .check_standing(parts, || Some(self.req.fingerprint()));
        checked.map_err(|hold| {
            let now = self.entry.now();
            if hold.refusal.code != code::Code::RequestTried {
                let mut table = self.entry.quarantine.borrow_mut();
                table.on_retry(now, hold.fingerprint);
            }
            if hold.refusal.code == code::Code::PartHeld {
                self.quarantined_part.set(Some(hold.fingerprint));
            }
            hold.refusal
        })
    }

    /// Returns whether the slot still fits the standing of the request, which may have changed
    /// while it waited.
    pub(super) fn is_still_allowed(&self, slot: &slot::Slot) -> Result<bool, refusal::Refusal> {
        Ok(slot.alone || self.check_quarantine()?.is_none())
    }
}
