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
    /// Attempts that must never start, by request number, and when that was promised.
    pub voided: collections::HashMap<u64, (u32, time::Duration)>,
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
