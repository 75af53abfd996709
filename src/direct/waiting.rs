//! Requests that wait in the queue of a backend server.

use std::rc;

use tokio::sync::oneshot;

use super::peer::lease;
use super::state;
use crate::decide::place;
use crate::key;

/// Recipient of a place for a waiting request.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A request in this process; `None` makes it choose a backend server again.
    Local(oneshot::Sender<Option<place::Placement>>),
    /// A peer asked for the place.
    Remote(lease::Holder),
}

/// Grants places to waiting requests when engines are expected to have read enough, if that is
/// switched on.
pub async fn grant_expected(entry: rc::Rc<state::Entry>) {
    if !entry.settings.borrow().features.steady_reading {
        return;
    }
    loop {
        let pause = entry.fleet.borrow().pause_until_room(entry.now());
        tokio::time::sleep(pause).await;
        let fleet = entry.fleet.borrow();
        let (waiting, early_starts) = (fleet.with_queue(), fleet.early_starts());
        drop(fleet);
        for server in waiting {
            entry.grant_waiting(server);
        }
        entry.meter.set("early_starts", early_starts);
    }
}

impl state::Entry {
    // Sends requests back to choose a backend server again, since theirs takes no more work.
    pub(super) fn place_again(&self, requests: Vec<u64>) {
        for request in requests {
            let waiter = self.waiters.borrow_mut().remove(&request);
            match waiter {
                Some(Waiter::Local(waiter)) => {
                    // The request may have been cancelled at the same moment.
                    let _left = waiter.send(None);
                }
                Some(Waiter::Remote(holder)) => lease::decline(self, holder),
                None => {}
            }
        }
    }

    /// Sends waiting requests of peers back, since this entry ends.
    pub(super) fn decline_waiting(&self) {
        let waiters = self.waiters.borrow();
        let is_remote = |(_, waiter): &(&u64, &Waiter)| matches!(waiter, Waiter::Remote(_));
        let remote = waiters.iter().filter(is_remote);
        let remote: Vec<u64> = remote.map(|(request, _)| *request).collect();
        drop(waiters);
        self.place_again(remote);
    }

    /// Returns a new number for a request that may wait.
    pub fn next_request_number(&self) -> u64 {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        number
    }

    /// Registers a request of this entry and returns the receiver of its place.
    pub fn wait_locally(&self, request: u64) -> oneshot::Receiver<Option<place::Placement>> {
        let (sender, receiver) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert(request, Waiter::Local(sender));
        receiver
    }

    /// Registers a waiting request of a peer.
    pub fn wait_for_peer(&self, request: u64, holder: lease::Holder) {
        let waiter = Waiter::Remote(holder);
        self.waiters.borrow_mut().insert(request, waiter);
    }

    /// Removes a request from its queue.
    pub fn cancel_wait(&self, request: u64, ticket: place::Ticket) {
        self.waiters.borrow_mut().remove(&request);
        self.fleet.borrow_mut().cancel_wait(request, ticket);
    }

    /// Grants places at a backend server to waiting requests while it has room.
    pub fn grant_waiting(&self, server: key::Sidecar) {
        let now = self.now();
        loop {
            let next = self.fleet.borrow_mut().start_next(now, server);
            let Some((request, placed)) = next else {
                return;
            };
            let waiter = self.waiters.borrow_mut().remove(&request);
            let unclaimed = match waiter {
                Some(Waiter::Local(waiter)) => waiter.send(Some(placed)).err().flatten(),
                Some(Waiter::Remote(holder)) => {
                    lease::grant(self, holder, placed);
                    None
                }
                None => Some(placed),
            };
            if let Some(placed) = unclaimed {
                self.fleet.borrow_mut().release(now, placed, false);
            }
        }
    }
}
