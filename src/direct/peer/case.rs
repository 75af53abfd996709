//! Exchange of quarantine cases: requests during which backend servers crashed.
//!
//! A change that makes a request a suspect, quarantines it or clears it is sent to all entries at
//! once, other changes with the next heartbeat. Each is repeated in later heartbeats, since a
//! datagram may be lost. An entry whose set of quarantined requests differs from a peer's, such as
//! one that has just started or was cut off, fetches all of the peer's cases
//! ([`crate::direct::transfer`]).

use std::{collections, net, time};

use prost::Message as _;

use super::{case_message, message};
use crate::decide::quarantine;
use crate::direct::state;

/// Maximum number of parts reported in one datagram, some 60 bytes each.
const MAX_PARTS_PER_DATAGRAM: usize = 100;

/// Maximum number of cases sent with one heartbeat.
const MAX_CASES_PER_HEARTBEAT: usize = 24;

impl case_message::Case {
    fn new(now: time::Duration, request: quarantine::Fingerprint, case: &quarantine::Case) -> Self {
        let ago = |at: time::Duration| super::saturating_millis(now.saturating_sub(at));
        let end = |end: &quarantine::Crash| case_message::Crash {
            server: end.server,
            ago_ms: ago(end.at),
            alone: end.alone,
            chance: end.chance as f32,
            request: end.request,
        };
        Self {
            customer: request.customer,
            content: request.content,
            crashes: case.crashes.iter().map(end).collect(),
            quarantined_ms: case.quarantined_since.map(ago),
            cleared_ms: case.cleared_at.map(ago),
            seen_ms: ago(case.last_seen),
            unexplained_ms: case.unexplained.iter().map(|at| ago(*at)).collect(),
            is_part: case.is_part,
            completed_ms: case.completed_at.map(ago),
            companions: case.companions.to_vec(),
        }
    }

    fn fingerprint(&self) -> quarantine::Fingerprint {
        quarantine::Fingerprint {
            customer: self.customer,
            content: self.content,
        }
    }

    fn to_record(&self, now: time::Duration) -> quarantine::Case {
        let at = |ms: u32| now.saturating_sub(time::Duration::from_millis(ms.into()));
        let end = |end: &case_message::Crash| quarantine::Crash {
            server: end.server,
            at: at(end.ago_ms),
            alone: end.alone,
            chance: f64::from(end.chance).clamp(0.0, 1.0),
            request: end.request,
        };
        quarantine::Case {
            crashes: self.crashes.iter().map(end).collect(),
            quarantined_since: self.quarantined_ms.map(at),
            cleared_at: self.cleared_ms.map(at),
            last_seen: at(self.seen_ms),
            unexplained: self.unexplained_ms.iter().map(|ms| at(*ms)).collect(),
            is_part: self.is_part,
            completed_at: self.completed_ms.map(at),
            companions: self.companions.as_slice().into(),
        }
    }
}

fn cases(
    entry: &state::Entry,
    requests: impl IntoIterator<Item = quarantine::Fingerprint>,
) -> Vec<case_message::Case> {
    let (now, table) = (entry.now(), entry.quarantine.borrow());
    let case = |request| Some(case_message::Case::new(now, request, table.get(request)?));
    requests.into_iter().filter_map(case).collect()
}

/// Returns the cases to send with the next heartbeat.
pub(super) fn take_unsent(entry: &state::Entry) -> Vec<case_message::Case> {
    cases(entry, entry.unsent_cases.take(MAX_CASES_PER_HEARTBEAT))
}

/// Sends a request's case to all other entries: with the next heartbeats and, if `is_urgent`, also
/// at once.
pub fn broadcast(entry: &state::Entry, request: quarantine::Fingerprint, is_urgent: bool) {
    entry.unsent_cases.add(request);
    let Some(link) = entry.link.as_ref().filter(|_| is_urgent) else {
        return;
    };
    let datagram = message::Datagram {
        cases: cases(entry, [request]),
        ..link.envelope(entry.incarnation)
    };
    let bytes = datagram.encode_to_vec();
    for address in entry.peers.borrow().send_addresses() {
        link.send_bytes(*address, &bytes);
    }
}

/// Sends the cases of parts to the entries at which the crashes under them are counted.
pub fn report_parts(entry: &state::Entry, parts: &[quarantine::Fingerprint]) {
    let Some(link) = &entry.link else { return };
    let own = *link.own.ip();
    let mut batches: collections::HashMap<net::Ipv4Addr, Vec<quarantine::Fingerprint>> =
        collections::HashMap::new();
    let peers = entry.peers.borrow();
    for part in parts {
        let entries = peers.alive_addresses().chain([own]);
        for holder in part.holders(entries).into_iter().filter(|h| *h != own) {
            batches.entry(holder).or_default().push(*part);
        }
    }
    for (holder, parts) in batches {
        for parts in parts.chunks(MAX_PARTS_PER_DATAGRAM) {
            let datagram = message::Datagram {
                part_reports: cases(entry, parts.iter().copied()),
                ..link.envelope(entry.incarnation)
            };
            link.send(holder, &datagram);
        }
    }
}

/// Merges the cases of parts that were reported to this entry, and sends those whose standing
/// changes to all entries.
pub fn on_part_reports(entry: &state::Entry, reports: &[case_message::Case]) {
    let now = entry.now();
    for report in reports {
        entry.on_part_report(report.fingerprint(), &report.to_record(now));
    }
}

/// Encodes all cases for another entry.
pub fn encode_all(entry: &state::Entry) -> Vec<u8> {
    let known: Vec<_> = entry.quarantine.borrow().cases().map(|(r, _)| r).collect();
    let cases = cases(entry, known);
    case_message::Cases { cases }.encode_to_vec()
}

/// Merges cases from another entry.
pub fn on_cases(entry: &state::Entry, cases: &[case_message::Case]) {
    let now = entry.now();
    for case in cases {
        entry.on_case(case.fingerprint(), &case.to_record(now));
    }
}

/// Returns the key of a request's record in the platform's store.
pub fn storage_key(request: quarantine::Fingerprint) -> String {
    format!("{:016x}{:016x}", request.customer, request.content)
}

/// Encodes a quarantined request for the platform's store; returns `None` if it isn't quarantined,
/// so that no record of it is needed.
pub fn encode_quarantined(
    entry: &state::Entry,
    request: quarantine::Fingerprint,
    unix: time::Duration,
) -> Option<Vec<u8>> {
    if entry.standing(request) != quarantine::Standing::Quarantined {
        return None;
    }
    let stored = case_message::StoredCase {
        case: cases(entry, [request]).pop(),
        unix_ms: unix.as_millis() as u64,
    };
    Some(stored.encode_to_vec())
}

/// Restores a case from its record in the platform's store. If the record is too old to count,
/// returns the request, whose record is to be deleted.
pub fn restore(
    entry: &state::Entry,
    value: &[u8],
    unix: time::Duration,
) -> Result<Option<quarantine::Fingerprint>, prost::DecodeError> {
    let stored = case_message::StoredCase::decode(value)?;
    let Some(mut case) = stored.case else {
        return Ok(None);
    };
    // If the time of day was set back since, the record counts as old as when it was written.
    let age = unix.saturating_sub(time::Duration::from_millis(stored.unix_ms));
    let request = case.fingerprint();
    let seen = time::Duration::from_millis(case.seen_ms.into());
    if age + seen >= quarantine::CASE_RETENTION {
        return Ok(Some(request));
    }
    // The recorded times are from before the start of this process, so only what counts from now on
    // is restored.
    case.quarantined_ms = Some(0);
    case.seen_ms = 0;
    case.cleared_ms = None;
    case.completed_ms = None;
    on_cases(entry, &[case]);
    Ok(None)
}
