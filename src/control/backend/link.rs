//! Links from entries, and the state of each entry that outlives its links.

use std::{collections, time};

use tokio::sync::mpsc;

use crate::control::backend::Backend;
use crate::wire::frame;
use crate::{event, key, wire};

/// Sends frames to an entry.
pub type Sender = mpsc::UnboundedSender<Result<wire::SidecarFrame, tonic::Status>>;

/// An incarnation of an entry; request numbers are unique within it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    /// The entry's name.
    pub id: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A link that is up, as the sidecar keeps it.
#[derive(Debug)]
pub struct Link {
    /// Number of the link.
    pub number: u64,
    /// The entry at the other end.
    pub entry_id: EntryId,
    tx: Sender,
}

/// State of an entry's requests, kept for as long as the entry may ask about them.
#[derive(Debug, Default)]
pub struct EntryState {
    /// The entry's link, if it is up.
    pub link: Option<key::Link>,
    /// Current runs by request number.
    pub runs: collections::HashMap<u64, key::Run>,
    /// Latest attempt that was started and has ended, and when that was recorded, by request
    /// number.
    started: collections::HashMap<u64, (u32, time::Duration)>,
    /// Latest attempt that must never start, and when that was recorded, by request number.
    voided: collections::HashMap<u64, (u32, time::Duration)>,
    /// Times and request numbers of the records above, oldest first.
    order: collections::VecDeque<(time::Duration, u64)>,
}

/// Time for which a started request is remembered after its end. An entry accepts "not started" for
/// a minute after the handover; this is five times that.
const RETENTION: time::Duration = time::Duration::from_secs(300);

impl EntryState {
    /// Records an attempt that was started and has ended.
    pub fn mark_started(&mut self, now: time::Duration, request: u64, attempt: u32) {
        self.started.insert(request, (attempt, now));
        self.order.push_back((now, request));
    }

    /// Records that an attempt must never start.
    pub fn mark_voided(&mut self, now: time::Duration, request: u64, attempt: u32) {
        self.voided.insert(request, (attempt, now));
        self.order.push_back((now, request));
    }

    /// Returns whether this or a later attempt was started and has ended.
    pub fn was_started(&self, request: u64, attempt: u32) -> bool {
        self.started
            .get(&request)
            .is_some_and(|(to, _)| attempt <= *to)
    }

    /// Returns whether this or a later attempt must never start.
    pub fn is_voided(&self, request: u64, attempt: u32) -> bool {
        self.voided
            .get(&request)
            .is_some_and(|(to, _)| attempt <= *to)
    }

    /// Removes records older than [`RETENTION`].
    pub fn expire(&mut self, now: time::Duration) {
        while let Some((at, request)) = self.order.front().copied() {
            if now <= at + RETENTION {
                return;
            }
            self.order.pop_front();
            // A later attempt has a record of its own.
            for map in [&mut self.started, &mut self.voided] {
                if map.get(&request).is_some_and(|(_, since)| *since == at) {
                    map.remove(&request);
                }
            }
        }
    }

    /// Returns whether there are no runs and no records.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.order.is_empty()
    }
}

impl Link {
    /// Sends a frame. The entry asks again for what is lost with the link.
    pub fn send(&self, kind: frame::Sidecar) {
        drop(self.tx.send(Ok(frame::sidecar(kind))));
    }
}

impl Backend {
    /// Handles a new link; it replaces an older one of the same entry.
    pub(super) fn on_link_opened(
        &mut self,
        now: time::Duration,
        number: u64,
        process: wire::Process,
        tx: Sender,
    ) {
        let entry_id = EntryId {
            id: process.id,
            incarnation: process.incarnation,
        };
        let older = self.entries.get(&entry_id).and_then(|entry| entry.link);
        if let Some(older) = older {
            self.drop_link(now, older);
        }
        let link = self.links.insert(Link {
            number,
            entry_id: entry_id.clone(),
            tx,
        });
        self.link_numbers.insert(number, link);
        self.entries.entry(entry_id).or_default().link = Some(link);
        let welcome = wire::Welcome {
            process: Some(self.setup.process.clone()),
            service: self.setup.settings.service.clone(),
            models: self.models.clone(),
            window: self.slots(),
        };
        self.links[link].send(frame::Sidecar::Welcome(welcome));
        let note = self.setup.ring.note(event::Kind::LinkOpened);
        note.field("entry", &self.links[link].entry_id.id).send();
    }

    /// Handles a lost link.
    pub(super) fn on_link_closed(&mut self, now: time::Duration, number: u64) {
        if let Some(&link) = self.link_numbers.get(&number) {
            self.drop_link(now, link);
        }
    }

    /// Removes a link with its tickets and claims. Runs continue and wait to be resumed.
    fn drop_link(&mut self, now: time::Duration, link: key::Link) {
        let Some(closed) = self.links.remove(link) else {
            return;
        };
        self.link_numbers.remove(&closed.number);
        let note = self.setup.ring.note(event::Kind::LinkClosed);
        note.field("entry", &closed.entry_id.id).send();
        let tickets: Vec<_> = self
            .tickets
            .keys()
            .filter(|(of, _)| *of == link)
            .copied()
            .collect();
        for ticket in tickets {
            self.remove_ticket(ticket);
        }
        self.release_claims_of(link);
        let Some(entry) = self.entries.get_mut(&closed.entry_id) else {
            return;
        };
        entry.link = None;
        for run in entry.runs.values() {
            if let Some(run) = self.runs.get_mut(*run) {
                run.detached_at = Some(now);
            }
        }
    }
}
