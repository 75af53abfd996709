//! Queue of events of a simulation in virtual time.

use std::{cmp, collections};

/// Events by time in milliseconds; those of the same time in the order in which they were added.
pub struct Queue<T> {
    heap: collections::BinaryHeap<Queued<T>>,
    added: u64,
}

struct Queued<T> {
    at_ms: u64,
    number: u64,
    event: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            heap: collections::BinaryHeap::new(),
            added: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an event.
    pub fn add(&mut self, at_ms: u64, event: T) {
        self.added += 1;
        self.heap.push(Queued {
            at_ms,
            number: self.added,
            event,
        });
    }

    /// Removes the next event before a time; returns it with its time.
    pub fn next_before(&mut self, until_ms: u64) -> Option<(u64, T)> {
        let next = self.heap.peek()?;
        if next.at_ms >= until_ms {
            return None;
        }
        self.heap.pop().map(|next| (next.at_ms, next.event))
    }
}

impl<T> PartialEq for Queued<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Queued<T> {}

impl<T> PartialOrd for Queued<T> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Queued<T> {
    // The first is the greatest, since the heap pops that.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_ms, other.number).cmp(&(self.at_ms, self.number))
    }
}
