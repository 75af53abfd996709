//! Detection of crashes of backend servers, and of the requests that were running there.
//!
//! If a connection ends before the response does, the network interrupted it, the server closed it
//! for another reason, or the server's process crashed. After a crash either no process listens at
//! the address and a new connection is refused, or another process does, which its own answer
//! ([`super::inspect`]) or a later start in the list shows. An address that doesn't respond proves
//! nothing, since the network may have cut it off.

use std::{cell, collections, io, rc, time};

use slotmap::SecondaryMap;

use super::{conn, inspect, state};
use crate::decide::{quarantine, restart};
use crate::key;

/// Delay between a lost connection and the probe of the address. The operating system closes the
/// sockets of a crashed process one after the other; after this delay the other requests that were
/// lost with it are known.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(20);

/// Maximum number of simultaneous losses recorded for one backend server.
const MAX_LOSSES: usize = 256;

/// Time for which unexplained losses are kept: a restarted process appears in the list within some
/// seconds.
const UNEXPLAINED_TIME: time::Duration = time::Duration::from_secs(10);

/// Maximum number of backend servers for which unexplained losses are kept.
const MAX_UNEXPLAINED: usize = 256;

/// Maximum number of restarts remembered: more than happen while a request runs.
const MAX_SUCCESSORS: usize = 256;

/// Losses whose cause isn't known yet.
#[derive(Debug, Default)]
pub struct Losses {
    // Losses that are being investigated.
    recent: cell::RefCell<SecondaryMap<key::Sidecar, Vec<quarantine::Loss>>>,
    // Losses of backend servers that may or may not have restarted, with the time of the last loss.
    unexplained: cell::RefCell<SecondaryMap<key::Sidecar, (time::Duration, Vec<quarantine::Loss>)>>,
    // Keys of earlier starts, with the keys of those that replaced them.
    successors: cell::RefCell<collections::VecDeque<(key::Sidecar, key::Sidecar)>>,
}

impl Losses {
    /// Records that a backend server has restarted under another key.
    pub(super) fn add_successor(&self, earlier: key::Sidecar, later: key::Sidecar) {
        let mut successors = self.successors.borrow_mut();
        if successors.len() >= MAX_SUCCESSORS {
            successors.pop_front();
        }
        successors.push_back((earlier, later));
    }

    // Returns the key of a backend server's newest start. Connections to an earlier process are
    // lost before the list has the later one, so a loss that is reported now belongs to the newest.
    fn newest(&self, server: key::Sidecar) -> key::Sidecar {
        let successors = self.successors.borrow();
        let later = |at, (earlier, later): &(_, _)| if *earlier == at { *later } else { at };
        successors.iter().fold(server, later)
    }

    fn add_unexplained(
        &self,
        now: time::Duration,
        server: key::Sidecar,
        losses: Vec<quarantine::Loss>,
    ) {
        let mut unexplained = self.unexplained.borrow_mut();
        unexplained.retain(|_, (at, _)| now < *at + UNEXPLAINED_TIME);
        if let Some((at, known)) = unexplained.get_mut(server) {
            *at = now;
            known.extend(losses);
            known.truncate(MAX_LOSSES);
        } else if unexplained.len() < MAX_UNEXPLAINED {
            unexplained.insert(server, (now, losses));
        }
    }

    fn take_unexplained(&self, now: time::Duration, server: key::Sidecar) -> Vec<quarantine::Loss> {
        let (at, losses) = self
            .unexplained
            .borrow_mut()
            .remove(server)
            .unwrap_or_default();
        if now < at + UNEXPLAINED_TIME {
            losses
        } else {
            Vec::new()
        }
    }
}

impl state::Entry {
    /// Records that the connection to a backend server was lost during a request, and starts to
    /// find out whether its process crashed.
    pub fn on_connection_lost(self: &rc::Rc<Self>, server: key::Sidecar, loss: quarantine::Loss) {
        let server = self.losses.newest(server);
        let mut losses = self.losses.recent.borrow_mut();
        if let Some(known) = losses.get_mut(server) {
            if known.len() < MAX_LOSSES {
                known.push(loss);
            }
            return;
        }
        losses.insert(server, vec![loss]);
        tokio::task::spawn_local(investigate(rc::Rc::clone(self), server));
    }

    /// Resolves the losses of a backend server whose id has another process in the list: the
    /// previous process crashed.
    pub(super) fn resolve_losses(&self, server: key::Sidecar) {
        let mut losses = self.losses.take_unexplained(self.now(), server);
        losses.extend(
            self.losses
                .recent
                .borrow_mut()
                .remove(server)
                .unwrap_or_default(),
        );
        let was_leaving = {
            let backends = self.backends.borrow();
            backends
                .get(server)
                .is_none_or(|b| self.is_backend_leaving(b))
        };
        if !losses.is_empty() && !was_leaving {
            record_crash(self, server, &losses);
        }
    }
}

async fn investigate(entry: rc::Rc<state::Entry>, server: key::Sidecar) {
    let started = entry.now();
    tokio::time::sleep(PROBE_DELAY).await;
    let known = entry.known_process(server, entry.now().saturating_sub(started));
    let (verdict, answer) = inspect_process(&entry, server, known).await;
    let lost = entry.losses.recent.borrow_mut().remove(server);
    let lost = lost.unwrap_or_default();
    match verdict {
        restart::Verdict::Same => {}
        restart::Verdict::Unknown => {
            for loss in &lost {
                entry.on_unexplained_loss(loss.fingerprint);
            }
            entry.losses.add_unexplained(entry.now(), server, lost);
        }
        restart::Verdict::Another => {
            // Empty if the list has shown the restart meanwhile, see `resolve_losses`.
            if !lost.is_empty() {
                record_crash(&entry, server, &lost);
            }
            if let Some(answer) = answer {
                entry.on_verified(server, answer);
            }
        }
    }
}

/// Returns whether a backend server that has closed all idle connections has restarted, and applies
/// its answer if so.
pub(super) async fn has_restarted(entry: &rc::Rc<state::Entry>, server: key::Sidecar) -> bool {
    let Some(idle) = entry.closed_idle(server) else {
        return false;
    };
    if !entry.describes_itself(server) || !entry.may_ask(server) {
        return false;
    }
    let known = entry.known_process(server, idle);
    match inspect::ask(entry, server).await {
        Ok(answer) if restart::judge(known, answer) == restart::Verdict::Another => {
            entry.on_verified(server, answer);
            true
        }
        Ok(_) => false,
        // The request opens a connection of its own, which shows whether the backend server is
        // reachable.
        Err(err) => {
            log::debug!(event = "inspection_failed", error:% = err; "");
            false
        }
    }
}

// Finds out whether the process of a listed backend server crashed or was replaced. Returns its
// answer as well, if it gave one.
async fn inspect_process(
    entry: &rc::Rc<state::Entry>,
    server: key::Sidecar,
    known: restart::Known,
) -> (restart::Verdict, Option<restart::Answer>) {
    let address = {
        let backends = entry.backends.borrow();
        let backend = backends
            .get(server)
            .filter(|b| !entry.is_backend_leaving(b));
        backend.map(|b| b.server.address)
    };
    let Some(address) = address else {
        return (restart::Verdict::Same, None);
    };
    if entry.describes_itself(server) && entry.may_ask(server) {
        return match inspect::ask(entry, server).await {
            Ok(answer) => (restart::judge(known, answer), Some(answer)),
            Err(err) => (judge_error(entry, server, known, &err), None),
        };
    }
    entry.meter.count("connections", "backend");
    match conn::open(address).await {
        Ok(conn) => {
            entry.return_connection(server, conn);
            (verdict_without_evidence(known), None)
        }
        Err(err) => (judge_error(entry, server, known, &err.into()), None),
    }
}

// Verdict for a backend server that gave no evidence of a restart: if its service never restarts
// under the same id, it is the same process.
fn verdict_without_evidence(known: restart::Known) -> restart::Verdict {
    if known.start == 0 && known.cold_start.is_zero() {
        restart::Verdict::Same
    } else {
        restart::Verdict::Unknown
    }
}

fn judge_error(
    entry: &rc::Rc<state::Entry>,
    server: key::Sidecar,
    known: restart::Known,
    err: &inspect::Error,
) -> restart::Verdict {
    match err {
        inspect::Error::Connect(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
            entry.on_connection_refused(server);
            restart::Verdict::Another
        }
        // The address belongs to another instance now, which counts as a planned replacement.
        inspect::Error::Replaced => restart::Verdict::Same,
        _ => verdict_without_evidence(known),
    }
}

fn record_crash(entry: &state::Entry, server: key::Sidecar, lost: &[quarantine::Loss]) {
    let id = entry
        .backends
        .borrow()
        .get(server)
        .map(|b| b.server.id.clone());
    let id = id.unwrap_or_default();
    entry.meter.count("backends_ended", "any");
    entry
        .log
        .line("backend_ended")
        .with("backend", &id)
        .with("lost", lost.len());
    for loss in lost {
        entry
            .log
            .line("ended_under")
            .with("backend", &id)
            .with("fingerprint", loss.fingerprint)
            .ms("ran_ms", loss.ran)
            .with("alone", loss.alone);
        entry.on_crash(server, loss);
    }
    entry.on_crash_under_parts(server, lost);
}
