//! What is sent with several heartbeats, since a datagram may be lost.

use std::cell;

/// How often each item is sent: with one datagram in forty lost, all are once in 64,000.
const REPEATS: u32 = 3;

/// Items sent with one heartbeat.
const PER_HEARTBEAT: usize = 64;

/// Items that wait to be sent; the oldest go first.
const MAX_ITEMS: usize = 512;

/// Items to send with the next heartbeats.
#[derive(Debug)]
pub struct Outbox<T>(cell::RefCell<Vec<(T, u32)>>);

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self(cell::RefCell::default())
    }
}

impl<T: Copy> Outbox<T> {
    /// Adds an item.
    pub fn add(&self, item: T) {
        let mut items = self.0.borrow_mut();
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

    /// What the next heartbeat carries.
    pub fn take(&self) -> Vec<T> {
        let mut items = self.0.borrow_mut();
        let next = items.iter_mut().take(PER_HEARTBEAT);
        let sent = next.map(|(item, left)| {
            *left -= 1;
            *item
        });
        let sent = sent.collect();
        items.retain(|(_, left)| *left > 0);
        sent
    }
}
