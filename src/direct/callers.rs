//! Connections of callers: their number, which are idle, and which are closed to make room.
//!
//! Callers keep idle connections open for many seconds. When thousands connect at once, idle
//! connections use up the descriptors that new callers and backend servers need, and new callers
//! wait in the accept queue until they time out. So the longest idle connections are closed first,
//! and responses ask callers to close theirs.

use std::{cell, rc, time};

use slotmap::SlotMap;
use tokio::sync::Notify;

slotmap::new_key_type! {
    /// Key of a caller's connection.
    pub struct Key;
}

/// Share of the limit from which responses ask callers to close their connections.
const NEARLY_FULL: f64 = 0.7;

/// Maximum number of idle connections that are closed at once when the limit is reached; closing
/// several keeps the search for them rare.
const MAX_CLOSED: usize = 32;

#[derive(Debug)]
struct Caller {
    // `None` while a request is in progress.
    idle_since: Option<time::Duration>,
    // True once a response was handed over, of which a part may have to be sent yet.
    has_response: bool,
    close: rc::Rc<Notify>,
}

/// Connections of all callers.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    callers: cell::RefCell<SlotMap<Key, Caller>>,
}

impl Table {
    /// Creates a table for this number of connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            callers: cell::RefCell::default(),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.callers.borrow().len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether one more connection may be accepted.
    pub fn has_room(&self) -> bool {
        self.len() < self.limit
    }

    /// Returns whether responses should ask callers to close their connections.
    pub fn is_nearly_full(&self) -> bool {
        self.len() as f64 >= self.limit as f64 * NEARLY_FULL
    }

    /// Adds a connection and returns its key and what is notified when it should be closed.
    pub fn add(&self, now: time::Duration) -> (Key, rc::Rc<Notify>) {
        let close = rc::Rc::new(Notify::new());
        let caller = Caller {
            idle_since: Some(now),
            has_response: false,
            close: rc::Rc::clone(&close),
        };
        (self.callers.borrow_mut().insert(caller), close)
    }

    /// Records that a request on the connection has begun.
    pub fn mark_active(&self, key: Key) {
        if let Some(caller) = self.callers.borrow_mut().get_mut(key) {
            caller.idle_since = None;
        }
    }

    /// Records that the last byte of the response was handed over.
    pub fn mark_idle(&self, key: Key, now: time::Duration) {
        if let Some(caller) = self.callers.borrow_mut().get_mut(key) {
            caller.idle_since = Some(now);
            caller.has_response = true;
        }
    }

    /// Returns the number of connections with a request in progress or a response to send, once all idle
    /// ones were asked to close: those that have had a response stay only until all of it is sent.
    pub fn unfinished(&self) -> usize {
        let callers = self.callers.borrow();
        let is_unfinished = |c: &&Caller| c.idle_since.is_none() || c.has_response;
        callers.values().filter(is_unfinished).count()
    }

    /// Removes a connection that was closed.
    pub fn remove(&self, key: Key) {
        self.callers.borrow_mut().remove(key);
    }

    /// Closes the connections that have been idle longest, and returns their number.
    pub fn close_idle(&self) -> usize {
        let callers = self.callers.borrow();
        let idle = callers
            .values()
            .filter_map(|c| Some((c.idle_since?, &c.close)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.truncate(MAX_CLOSED);
        for (_, close) in &idle {
            close.notify_one();
        }
        idle.len()
    }
}
