//! Links of entries, and what is remembered of each entry beyond its links.

use std::{collections, time};

use tokio::sync::mpsc;

use crate::control::backend::Backend;
use crate::wire::frame;
use crate::{event, key, wire};

/// Frames to an entry.
pub type Sender = mpsc::UnboundedSender<Result<wire::SidecarFrame, tonic::Status>>;

/// An entry's incarnation: what a request number is unique in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The entry's name.
    pub id: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A link that is up.
#[derive(Debug)]
pub struct Link {
    /// Number of the link.
    pub number: u64,
    /// Whose it is.
    pub origin: Origin,
    tx: Sender,
}

/// What is remembered of an entry's requests: never forgotten while the entry may still ask.
#[derive(Debug, Default)]
pub struct Memory {
    /// The link that is up.
    pub link: Option<key::Link>,
    /// Runs by request number.
    pub runs: collections::HashMap<u64, key::Run>,
    /// Attempts that were started and are over, by request number.
    started: collections::HashMap<u64, (u32, time::Duration)>,
    /// Attempts that must never start, by request number.
    voided: collections::HashMap<u64, (u32, time::Duration)>,
    /// When each of them was entered, oldest first.
    order: collections::VecDeque<(time::Duration, u64)>,
}

/// How long a started request is remembered after its end. An entry believes "not started" for a
/// minute after the hand-over; this is five times that.
const MEMORY: time::Duration = time::Duration::from_secs(300);

impl Memory {
    /// An attempt is over; it is known to have been started.
    pub fn remember(&mut self, now: time::Duration, request: u64, attempt: u32) {
        self.started.insert(request, (attempt, now));
        self.order.push_back((now, request));
    }

    /// Promises that an attempt never starts.
    pub fn promise(&mut self, now: time::Duration, request: u64, attempt: u32) {
        self.voided.insert(request, (attempt, now));
        self.order.push_back((now, request));
    }

    /// True if the attempt, or a later one, was started and is over.
    pub fn was_started(&self, request: u64, attempt: u32) -> bool {
        self.started
            .get(&request)
            .is_some_and(|(to, _)| attempt <= *to)
    }

    /// True if the attempt was promised never to start.
    pub fn is_voided(&self, request: u64, attempt: u32) -> bool {
        self.voided
            .get(&request)
            .is_some_and(|(to, _)| attempt <= *to)
    }

    /// Forgets what no entry may ask for any more.
    pub fn expire(&mut self, now: time::Duration) {
        while let Some((at, request)) = self.order.front().copied() {
            if now <= at + MEMORY {
                return;
            }
            self.order.pop_front();
            // A later attempt has a line of its own.
            for map in [&mut self.started, &mut self.voided] {
                if map.get(&request).is_some_and(|(_, since)| *since == at) {
                    map.remove(&request);
                }
            }
        }
    }

    /// True if nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.order.is_empty()
    }
}

impl Link {
    /// Sends a frame; what is lost with the link is asked for again.
    pub fn send(&self, kind: frame::Sidecar) {
        drop(self.tx.send(Ok(frame::sidecar(kind))));
    }
}

impl Backend {
    /// A link is up: it takes the place of an older one of the same entry.
    pub(super) fn open(
        &mut self,
        now: time::Duration,
        number: u64,
        process: wire::Process,
        tx: Sender,
    ) {
        let origin = Origin {
            id: process.id,
            incarnation: process.incarnation,
        };
        let older = self.origins.get(&origin).and_then(|memory| memory.link);
        if let Some(older) = older {
            self.close(now, older);
        }
        let link = self.links.insert(Link {
            number,
            origin: origin.clone(),
            tx,
        });
        self.link_numbers.insert(number, link);
        self.origins.entry(origin).or_default().link = Some(link);
        let welcome = wire::Welcome {
            process: Some(self.setup.process.clone()),
            service: self.setup.settings.service.clone(),
            models: self.models.clone(),
            window: self.places(),
        };
        self.links[link].send(frame::Sidecar::Welcome(welcome));
        let note = self.setup.ring.note(event::Kind::LinkOpened);
        note.field("entry", &self.links[link].origin.id).send();
    }

    /// A link is lost.
    pub(super) fn closed(&mut self, now: time::Duration, number: u64) {
        if let Some(&link) = self.link_numbers.get(&number) {
            self.close(now, link);
        }
    }

    /// Voids the link's tickets and claims; runs go on and wait to be resumed.
    fn close(&mut self, now: time::Duration, link: key::Link) {
        let Some(gone) = self.links.remove(link) else {
            return;
        };
        self.link_numbers.remove(&gone.number);
        let note = self.setup.ring.note(event::Kind::LinkClosed);
        note.field("entry", &gone.origin.id).send();
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
        let Some(memory) = self.origins.get_mut(&gone.origin) else {
            return;
        };
        memory.link = None;
        for run in memory.runs.values() {
            if let Some(run) = self.runs.get_mut(*run) {
                run.detached = Some(now);
            }
        }
    }
}
