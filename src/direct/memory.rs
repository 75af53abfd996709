//! Memory for bodies: taken before they are read, given back when they are dropped.
//!
//! The bytes of a body for which there is no room stay in the caller's connection, which makes the
//! caller stop sending. A body of known length gets all of its room before it is read: bodies that
//! are read in part never wait for each other. Events of streams grow as they arrive; one at a time may
//! go on without room, for the same reason.

use std::collections;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::decide::memory;

/// Maximum number of bodies that wait for room. Each leaves a receive buffer of unread bytes, some
/// 64 KiB, which are memory as well.
const MAX_WAITING: usize = 128;

/// Memory for the bodies of a process.
#[derive(Clone, Debug)]
pub struct Pool {
    // The HTTP library may drop the bytes of a response on any thread, as far as its types say.
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    budget: memory::Budget,
    waiters: collections::VecDeque<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    owner: memory::Owner,
    // Bytes that it has already, and those that it waits for.
    taken: u64,
    bytes: u64,
    grant: oneshot::Sender<Hold>,
}

/// How much of the memory is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of bytes that bodies hold.
    pub held: u64,
    /// Number of bytes that bodies of the requests of one customer hold.
    pub of_owner: u64,
    /// Maximum number of bytes.
    pub max: u64,
    /// Number of bodies that wait for room.
    pub waiting: usize,
    /// Number of streams whose next event waits for room.
    pub events_waiting: usize,
}

/// Memory that a body has; it is given back when dropped.
#[derive(Debug)]
pub struct Hold {
    pool: Pool,
    owner: memory::Owner,
    bytes: u64,
    // True if it may take more than there is room for.
    is_exceeding: bool,
}

impl Pool {
    /// Creates the pool of a process with this memory limit in bytes.
    pub fn new(memory_limit: u64) -> Self {
        let state = State {
            budget: memory::Budget::new(memory_limit),
            waiters: collections::VecDeque::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is complete before anything that may panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the memory limit of the process in bytes.
    pub fn set_memory_limit(&self, bytes: u64) {
        self.lock().budget.set_memory_limit(bytes);
        self.grant_waiting();
    }

    /// Returns how much of the memory is used, also by one owner.
    pub fn usage(&self, owner: memory::Owner) -> Usage {
        let state = self.lock();
        let waiting = state.waiters.iter().filter(|w| !w.grant.is_closed());
        let (events, bodies): (Vec<_>, Vec<_>) =
            waiting.partition(|w| w.owner == memory::Owner::Event);
        Usage {
            held: state.budget.held(),
            of_owner: state.budget.held_by(owner),
            max: state.budget.max(),
            waiting: bodies.len(),
            events_waiting: events.len(),
        }
    }

    /// Returns the memory of a body that has none yet.
    pub fn empty(&self, owner: memory::Owner) -> Hold {
        self.hold(owner, 0)
    }

    /// Takes memory for a body; returns `None` if there is no room.
    pub fn try_take(&self, owner: memory::Owner, bytes: u64) -> Option<Hold> {
        let mut hold = self.empty(owner);
        hold.try_grow(bytes).then_some(hold)
    }

    /// Takes memory for a body once there is room, large ones of an owner in the order of arrival; returns
    /// `None` if too many wait. Dropping the future ends the wait.
    pub async fn take(&self, owner: memory::Owner, bytes: u64) -> Option<Hold> {
        let is_small = bytes <= memory::MAX_SMALL_BYTES;
        if (is_small || !self.has_waiting(owner))
            && let Some(hold) = self.try_take(owner, bytes)
        {
            return Some(hold);
        }
        let granted = self.wait(owner, bytes)?;
        granted.await.ok()
    }

    fn has_waiting(&self, owner: memory::Owner) -> bool {
        let state = self.lock();
        let mut waiters = state.waiters.iter();
        waiters.any(|w| w.owner == owner && !w.grant.is_closed())
    }

    fn wait(&self, owner: memory::Owner, bytes: u64) -> Option<oneshot::Receiver<Hold>> {
        let mut state = self.lock();
        state.waiters.retain(|w| !w.grant.is_closed());
        let bodies = state.waiters.iter();
        let bodies = bodies.filter(|w| w.owner != memory::Owner::Event);
        if bodies.count() >= MAX_WAITING {
            return None;
        }
        Some(state.wait(owner, 0, bytes))
    }

    fn hold(&self, owner: memory::Owner, bytes: u64) -> Hold {
        Hold {
            pool: self.clone(),
            owner,
            bytes,
            is_exceeding: false,
        }
    }

    fn grant_waiting(&self) {
        while let Some((grant, hold)) = self.next_grant() {
            // A body that has left at the same moment gives its room to the next.
            let _left = grant.send(hold);
        }
    }

    fn next_grant(&self) -> Option<(oneshot::Sender<Hold>, Hold)> {
        let mut state = self.lock();
        let State { budget, waiters } = &mut *state;
        waiters.retain(|w| !w.grant.is_closed());
        let fits = |w: &Waiter| budget.try_take(w.owner, w.taken, w.bytes);
        let fitting = waiters.iter().position(fits);
        let next = fitting.or_else(|| {
            let mut waiters = waiters.iter();
            waiters.position(|w| budget.try_exceed(w.owner, w.bytes))
        });
        let waiter = waiters.remove(next?)?;
        let mut hold = self.hold(waiter.owner, waiter.bytes);
        hold.is_exceeding = fitting.is_none();
        Some((waiter.grant, hold))
    }
}

impl State {
    fn wait(&mut self, owner: memory::Owner, taken: u64, bytes: u64) -> oneshot::Receiver<Hold> {
        let (grant, granted) = oneshot::channel();
        self.waiters.push_back(Waiter {
            owner,
            taken,
            bytes,
            grant,
        });
        granted
    }
}

impl Hold {
    /// Returns the number of bytes that there is memory for.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes more memory for the body; returns whether there was room.
    pub fn try_grow(&mut self, more: u64) -> bool {
        if more == 0 {
            return true;
        }
        let mut state = self.pool.lock();
        let grows = state.budget.try_take(self.owner, self.bytes, more);
        drop(state);
        self.bytes += if grows { more } else { 0 };
        grows
    }

    /// Takes more memory for an event of a stream; returns whether it may go on, because there was room or
    /// no other event exceeds it.
    pub fn try_extend(&mut self, more: u64) -> bool {
        self.extend_or_wait(more, |_| ()).is_none()
    }

    /// The same, once that is so. Dropping the future ends the wait.
    pub async fn extend(&mut self, more: u64) {
        let (owner, taken) = (self.owner, self.bytes);
        let granted = self.extend_or_wait(more, |state| state.wait(owner, taken, more));
        if let Some(granted) = granted
            && let Ok(granted) = granted.await
        {
            self.merge(granted);
        }
    }

    // Nothing is given back between the attempt and the wait, which nobody would end otherwise.
    fn extend_or_wait<T>(&mut self, more: u64, wait: impl FnOnce(&mut State) -> T) -> Option<T> {
        if more == 0 {
            return None;
        }
        let mut state = self.pool.lock();
        let budget = &mut state.budget;
        if self.is_exceeding {
            budget.take(self.owner, more);
        } else if !budget.try_take(self.owner, self.bytes, more) {
            if !budget.try_exceed(self.owner, more) {
                return Some(wait(&mut state));
            }
            self.is_exceeding = true;
        }
        self.bytes += more;
        None
    }

    fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
        self.is_exceeding |= std::mem::take(&mut other.is_exceeding);
    }
}

impl Hold {
    /// Returns these bytes, which keep the memory until the last copy of them is dropped.
    pub fn attach(self, bytes: Vec<u8>) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

struct Held {
    bytes: Vec<u8>,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let mut state = self.pool.lock();
            state.budget.release(self.owner, self.bytes);
            if self.is_exceeding {
                state.budget.end_exceeding();
            }
            drop(state);
            self.pool.grant_waiting();
        }
    }
}
