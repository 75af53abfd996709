//! State of a backend server at an entry.

use std::time;

use crate::decide::binding;
use crate::direct::{conn, listing};

/// A backend server and the connections to it.
#[derive(Debug)]
pub struct Backend {
    /// List entry of the backend server.
    pub server: listing::Server,
    /// Version of its software.
    pub version: binding::Version,
    /// Hash of its id, by which entries refer to it in messages.
    pub hash: u64,
    pub(in crate::direct) idle: Vec<conn::Conn>,
    /// Time until which its process counts as crashed unless it reports again.
    pub(in crate::direct) down_until: time::Duration,
    /// End of the pause that it requested from this entry.
    pub(in crate::direct) paused_until: time::Duration,
    /// True if its process may have been replaced, so that it must be asked how cold it is before
    /// use.
    pub(in crate::direct) is_unverified: bool,
    /// True while it is being asked.
    pub(in crate::direct) is_being_asked: bool,
    /// When this entry last sent it a request.
    pub(in crate::direct) last_sent: Option<time::Duration>,
    /// Hash of its process, see [`listing::Server::process_hash`].
    pub process: u64,
}

impl Backend {
    /// Returns whether it is running, verified and not pausing, as far as this entry knows.
    pub(in crate::direct) fn is_available(&self, now: time::Duration) -> bool {
        now >= self.paused_until && now >= self.down_until && !self.is_unverified
    }

    /// Applies a new report. Returns whether the process had counted as crashed.
    pub(in crate::direct) fn reported(&mut self, report: listing::Report) -> bool {
        if report <= self.server.report {
            return false;
        }
        self.server.report = report;
        !std::mem::take(&mut self.down_until).is_zero()
    }
}
