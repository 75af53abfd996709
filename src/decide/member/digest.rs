//! Chooses the rows of a digest and the processes that it is exchanged with.

use std::{cmp, time};

use crate::decide::member::{Member, Table};

/// Number of rows of a digest besides the sender's own. Eight rows of about 100 bytes keep an
/// exchange near 1 KB each way. A change of a row needs about twenty digests of each process, so
/// the changes of a second in which a whole rack fails are spread within seconds.
pub const DIGEST_ROWS: usize = 8;

/// Number of rows for a joining process, enough for it to find others to ask.
pub const JOIN_DIGEST_ROWS: usize = 64;

/// Number of digests of a process that carry a new heartbeat. Three reach 95 in 100 processes (a
/// rumour that each process passes on k times misses about e^-k of them, Demers et al., PODC 1987);
/// the next heartbeat reaches those that were missed.
pub const HEARTBEAT_REPEATS: u32 = 3;

impl Table {
    /// Returns the number of digests that carry a change of the fleet: 2 log2 n + 4, so that it is
    /// unlikely to miss any one process (Das et al., SWIM, DSN 2002). The rows sent in turn and the
    /// platform's list cover what is missed.
    pub(super) fn repeats(&self) -> u32 {
        2 * (self.rows.len() + 2).ilog2() + 4
    }

    /// Returns the rows to send, this process's own first.
    pub fn digest(&mut self, rows: usize) -> Vec<Member> {
        let mut changed: Vec<_> = self
            .rows
            .values_mut()
            .filter(|row| row.repeats > 0)
            .collect();
        changed.sort_unstable_by_key(|row| cmp::Reverse((row.member.leaving, row.repeats)));
        let mut picked = vec![self.own.clone()];
        for row in changed.into_iter().take(rows.saturating_sub(1)) {
            row.repeats -= 1;
            picked.push(row.member.clone());
        }
        let len = self.rows.len();
        // Adds rows in turn, changed or not, so that missed changes still spread: a single row in
        // a regular digest, up to the requested number in a larger one.
        let rest = (rows + 1)
            .saturating_sub(picked.len())
            .min(if rows > DIGEST_ROWS { rows } else { 1 });
        for at in 0..rest.min(len) {
            let row = self.rows.values().nth((self.cursor + at) % len);
            if let Some(row) = row.filter(|row| picked.iter().all(|m| m.id != row.member.id)) {
                picked.push(row.member.clone());
            }
        }
        self.cursor = if len == 0 {
            0
        } else {
            (self.cursor + rest) % len
        };
        picked
    }

    /// Returns up to `count` different random processes to exchange digests with. Suspected ones are
    /// included, so that this process notices when they answer again.
    pub fn targets(&mut self, count: usize) -> Vec<Member> {
        let picked = self.random.sample(self.rows.len(), count).into_iter();
        let rows = picked.filter_map(|at| self.rows.values().nth(at));
        rows.map(|row| row.member.clone()).collect()
    }

    /// Returns a random part of a duration, for jitter.
    pub fn jitter(&mut self, most: time::Duration) -> time::Duration {
        most.mul_f64(self.random.unit())
    }
}
