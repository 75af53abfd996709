//! Queue of items that are sent with several heartbeats, since a datagram may be lost.

use std::cell;

/// Number of times that each item is sent: if one datagram in 40 is lost, all three are lost once
/// in 64,000.
const REPEATS: u32 = 3;

/// Maximum number of queued items; beyond it the oldest are dropped.
const MAX_ITEMS: usize = 512;

/// Items to send with the next heartbeats, each with its remaining number of transmissions.
#[derive(Debug)]
pub struct Outbox<T>(cell::RefCell<Vec<(T, u32)>>);

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self(cell::RefCell::default())
    }
}

impl<T: Copy + PartialEq> Outbox<T> {
    /// Adds an item; one that is queued already is sent the full number of times again.
    pub fn add(&self, item: T) {
        let mut items = self.0.borrow_mut();
        items.retain(|(queued, _)| *queued != item);
        if items.len() >= MAX_ITEMS {
            items.remove(0);
        }
        items.push((item, REPEATS));
    }

    /// Replaces all queued items by these.
    pub fn replace(&self, items: impl IntoIterator<Item = T>) {
        let items = items.into_iter().take(MAX_ITEMS);
        *self.0.borrow_mut() = items.map(|item| (item, REPEATS)).collect();
    }

    /// Returns up to `most` items for the next heartbeat. Those to be sent again move to the end of
    /// the queue.
    pub fn take(&self, most: usize) -> Vec<T> {
        let mut items = self.0.borrow_mut();
        let most = most.min(items.len());
        let sent: Vec<_> = items.drain(..most).collect();
        let again = sent.iter().filter(|(_, left)| *left > 1);
        items.extend(again.map(|(item, left)| (*item, left - 1)));
        sent.into_iter().map(|(item, _)| item).collect()
    }
}
