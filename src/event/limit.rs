//! A limit on repeats of the same event.
//!
//! Under a flood one customer's refusals would otherwise push everything else off the ring and
//! spend the processor on log lines. What is dropped is counted and reported with the next event
//! of its sort that passes.

use std::collections;
use std::time;

use crate::code;
use crate::event::kind;

/// Length of one counting interval.
const INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Events of one sort that pass in an interval. A node at the size to design for has about 40
/// requests a second of all customers, so ordinary traffic passes whole.
const PASS: u32 = 64;

/// Sorts counted at once; beyond it new sorts share one count, so memory stays bounded.
const SORTS: usize = 1024;

/// What makes two events repeats of each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sort {
    kind: kind::Kind,
    code: Option<code::Code>,
    customer: Option<String>,
}

/// Counts of one sort.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    passed: u32,
    dropped: u64,
}

/// Counts of the running interval.
#[derive(Debug)]
pub(super) struct Limit {
    began: time::Instant,
    counts: collections::HashMap<Sort, Count>,
}

impl Limit {
    pub(super) fn open(now: time::Instant) -> Self {
        Self {
            began: now,
            counts: collections::HashMap::new(),
        }
    }

    /// How many repeats were dropped before this one, or `None` if this one is to be dropped.
    pub(super) fn pass(
        &mut self,
        now: time::Instant,
        kind: kind::Kind,
        code: Option<code::Code>,
        customer: Option<&str>,
    ) -> Option<u64> {
        if now.saturating_duration_since(self.began) >= INTERVAL {
            self.began = now;
            self.counts.retain(|_, count| count.dropped > 0);
            self.counts.values_mut().for_each(|count| count.passed = 0);
        }
        let mut sort = Sort {
            kind,
            code,
            customer: customer.map(String::from),
        };
        if self.counts.len() >= SORTS && !self.counts.contains_key(&sort) {
            sort.customer = None;
        }
        let count = self.counts.entry(sort).or_default();
        if count.passed >= PASS {
            count.dropped += 1;
            return None;
        }
        count.passed += 1;
        Some(std::mem::take(&mut count.dropped))
    }
}
