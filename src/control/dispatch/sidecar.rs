//! State that an entry keeps of one sidecar.

use std::time;

use tokio::sync::mpsc;

use crate::decide::drain;
use crate::wire::frame;
use crate::{key, wire};

/// Frames to a sidecar.
pub type Sender = mpsc::UnboundedSender<wire::EntryFrame>;

/// A sidecar that this entry uses.
#[derive(Debug)]
pub struct Sidecar {
    /// Its name.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The service of its backend server.
    pub service: String,
    /// Models it serves; empty means all of the service.
    pub models: Vec<String>,
    /// Incarnation from its latest welcome frame.
    pub incarnation: u64,
    /// The link, while it is up.
    pub link: Option<Link>,
    /// Maximum number of requests that its backend server runs at once.
    pub window: u32,
    /// Requests running there, by its latest heartbeat.
    pub running: u32,
    /// Tickets waiting there, by its latest heartbeat.
    pub waiting: u32,
    /// Its recent times to the first token and between two tokens, by its latest heartbeat.
    pub pace: (time::Duration, time::Duration),
    /// When these figures were last updated.
    pub reported_at: time::Duration,
    /// True while the sidecar is in the latest membership.
    pub is_listed: bool,
    /// Reports from all sources about whether it is leaving.
    pub leave_status: drain::LeaveStatus,
    /// True while its availability zone is evacuated.
    pub is_evacuated: bool,
    /// Requests that this entry has handed over and whose end it has not seen.
    pub outstanding: u32,
    /// Tickets of this entry there that were neither claimed nor voided.
    pub tickets: u32,
}

/// A link that is up.
#[derive(Debug)]
pub struct Link {
    /// Number of the link; frames of an older link are dropped.
    pub number: u64,
    /// Sends frames to the sidecar.
    pub tx: Sender,
}

impl Sidecar {
    /// Creates a sidecar of which only the name is known.
    pub fn unknown(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            zone: String::new(),
            region: String::new(),
            service: String::new(),
            models: Vec::new(),
            incarnation: 0,
            link: None,
            window: 0,
            running: 0,
            waiting: 0,
            pace: (time::Duration::ZERO, time::Duration::ZERO),
            reported_at: time::Duration::ZERO,
            is_listed: false,
            leave_status: drain::LeaveStatus::default(),
            is_evacuated: false,
            outstanding: 0,
            tickets: 0,
        }
    }

    /// Sends a frame. What is lost with the link is restored when it is up again.
    pub fn send(&self, kind: frame::Entry) {
        if let Some(link) = &self.link {
            drop(link.tx.send(frame::entry(kind)));
        }
    }

    /// Returns whether its backend server serves this model of this service.
    pub fn serves(&self, service: &str, model: &str) -> bool {
        self.service == service
            && (model.is_empty()
                || self.models.is_empty()
                || self.models.iter().any(|name| name == model))
    }

    /// Returns whether it accepts new work, as far as this entry knows.
    pub fn accepts_work(&self, now: time::Duration) -> bool {
        self.leave_status.accepts_tickets(now) && !self.is_evacuated
    }

    /// Returns whether a new ticket for this model may be placed there.
    pub fn accepts_tickets(&self, now: time::Duration, service: &str, model: &str) -> bool {
        self.link.is_some() && self.accepts_work(now) && self.serves(service, model)
    }

    /// Returns whether this is the number of the link that is up.
    pub fn is_current(&self, number: u64) -> bool {
        self.link.as_ref().is_some_and(|link| link.number == number)
    }
}

/// Arena of the sidecars an entry uses.
pub type Arena = slotmap::SlotMap<key::Sidecar, Sidecar>;
