//! What is sent with several heartbeats, since a datagram may be lost.

use std::cell;

/// How often each item is sent: with one datagram in forty lost, all are once in 64,000.
const REPEATS: u32 = 3;

/// Items that wait to be sent; beyond it the oldest are dropped.
const MAX_ITEMS: usize = 512;

/// Items to send with the next heartbeats.
#[derive(Debug)]
pub struct Outbox<T>(cell::RefCell<Vec<(T, u32)>>);

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self(cell::RefCell::default())
    }
}

impl<T: Copy + PartialEq> Outbox<T> {
    /// Adds an item, or sends it as often again if it is there.
    pub fn add(&self, item: T) {
        let mut items = self.0.borrow_mut();
        items.retain(|(known, _)| *known != item);
        if items.len() >= MAX_ITEMS {
            items.remove(0);
        }
        items.push((item, REPEATS));
    }

    /// Sends these and no others.
    pub fn replace(&self, items: impl IntoIterator<Item = T>) {
        let items = items.into_iter().take(MAX_ITEMS);
        *self.0.borrow_mut() = items.map(|item| (item, REPEATS)).collect();
    }

    /// What the next heartbeat carries, so many items at most. Those to be sent again go behind the others.
    pub fn take(&self, most: usize) -> Vec<T> {
        let mut items = self.0.borrow_mut();
        let most = most.min(items.len());
        let sent: Vec<_> = items.drain(..most).collect();
        let again = sent.iter().filter(|(_, left)| *left > 1);
        items.extend(again.map(|(item, left)| (*item, left - 1)));
        sent.into_iter().map(|(item, _)| item).collect()
    }
}
