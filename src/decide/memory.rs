//! Memory for the bodies of requests and responses that a process holds.
//!
//! Load pattern: callers may send slowly, so that hundreds of large bodies arrive at once, many times
//! the memory of a small process. Bodies have a part of it, and large ones only a part of that: small
//! requests pass beside them, and a response for which there is no room can't be refused any more,
//! since its request has run.

use std::collections;

use crate::key;

/// Length in bytes up to which a request's body is small.
pub const MAX_SMALL_BYTES: u64 = 128 * 1024;

/// Share of the process's memory for bodies. The rest is for connections, of which each may hold a
/// head and unread bytes, and for all else.
const BODY_SHARE: f64 = 0.5;

/// Share of the memory for bodies up to which large bodies of requests are admitted.
const LARGE_SHARE: f64 = 2.0 / 3.0;

/// The same for small ones; responses may use all of it.
const SMALL_SHARE: f64 = 5.0 / 6.0;

/// Share of the memory for bodies that events of streams may take, beside requests: what these leave.
const EVENT_SHARE: f64 = 1.0 / 6.0;

/// A customer's bodies may hold this many times as much as they leave free, so that no customer takes
/// all of the room from the others, and a single one may use most of it.
const CUSTOMER_FACTOR: u64 = 3;

/// Whose body it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// The body of a request of this customer.
    Customer(key::Customer),
    /// The body of a response.
    Response,
    /// An event of a stream that is incomplete or isn't sent yet.
    Event,
}

/// Bytes of bodies that a process holds, and how many it may hold.
#[derive(Debug, Default)]
pub struct Budget {
    max: u64,
    held: u64,
    owners: collections::HashMap<Owner, u64>,
    is_exceeded: bool,
}

impl Budget {
    /// Creates a budget for a process with this memory limit in bytes.
    pub fn new(memory_limit: u64) -> Self {
        let mut budget = Self::default();
        budget.set_memory_limit(memory_limit);
        budget
    }

    /// Sets the memory limit of the process in bytes.
    pub fn set_memory_limit(&mut self, bytes: u64) {
        self.max = share(bytes, BODY_SHARE);
    }

    /// Returns the maximum number of bytes.
    pub fn max(&self) -> u64 {
        self.max
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of bytes that the bodies of this owner hold.
    pub fn held_by(&self, owner: Owner) -> u64 {
        self.owners.get(&owner).copied().unwrap_or_default()
    }

    /// Takes `more` bytes for a body that has `taken` bytes already; returns whether there was room.
    pub fn try_take(&mut self, owner: Owner, taken: u64, more: u64) -> bool {
        if !self.has_room(owner, taken, more) {
            return false;
        }
        self.take(owner, more);
        true
    }

    /// Takes `more` bytes though there is no room, for the only event that may; returns false if another
    /// one does. Incomplete events that hold all of the room would wait for each other otherwise.
    pub fn try_exceed(&mut self, owner: Owner, more: u64) -> bool {
        let may_exceed = owner == Owner::Event && !self.is_exceeded;
        if may_exceed {
            self.is_exceeded = true;
            self.take(owner, more);
        }
        may_exceed
    }

    /// Takes `more` bytes without asking for room, for the event that may exceed it.
    pub fn take(&mut self, owner: Owner, more: u64) {
        self.held += more;
        *self.owners.entry(owner).or_default() += more;
    }

    /// Lets another event exceed the room.
    pub fn end_exceeding(&mut self) {
        self.is_exceeded = false;
    }

    fn has_room(&self, owner: Owner, taken: u64, more: u64) -> bool {
        // A body that is larger than the budget must be served at some time.
        if self.held == taken {
            return true;
        }
        let max = match owner {
            Owner::Response | Owner::Event => self.max,
            Owner::Customer(_) if taken + more <= MAX_SMALL_BYTES => share(self.max, SMALL_SHARE),
            Owner::Customer(_) => share(self.max, LARGE_SHARE),
        };
        let held = match owner {
            Owner::Response | Owner::Event => self.held,
            Owner::Customer(_) => self.held - self.held_by(Owner::Event),
        };
        let Some(free) = max.checked_sub(held + more) else {
            return false;
        };
        let share = match owner {
            Owner::Response => return true,
            Owner::Event => share(self.max, EVENT_SHARE),
            Owner::Customer(_) => free.saturating_mul(CUSTOMER_FACTOR),
        };
        self.held_by(owner) + more <= share
    }

    /// Gives bytes back.
    pub fn release(&mut self, owner: Owner, bytes: u64) {
        self.held -= bytes;
        if let collections::hash_map::Entry::Occupied(mut held) = self.owners.entry(owner) {
            *held.get_mut() -= bytes;
            if *held.get() == 0 {
                held.remove();
            }
        }
    }
}

fn share(bytes: u64, share: f64) -> u64 {
    (bytes as f64 * share) as u64
}
