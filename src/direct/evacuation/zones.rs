//! Records of evacuated availability zones.

use std::cell;

use crate::decide::evacuation;
use crate::direct::listing;
use crate::direct::peer::message;

/// Records of evacuated zones.
#[derive(Debug, Default)]
pub struct Zones(pub(super) cell::RefCell<evacuation::Table>);

impl Zones {
    /// Returns whether a backend server's zone is evacuated, so that no request may be sent to it.
    pub fn is_evacuated(&self, server: &listing::Server) -> bool {
        self.0.borrow().is_evacuated(&server.zone)
    }

    /// Returns the digest of the records; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.0.borrow().digest()
    }

    /// Returns all records as messages.
    pub fn records(&self) -> Vec<message::Evacuation> {
        let table = self.0.borrow();
        table.records().map(message::Evacuation::from).collect()
    }
}
