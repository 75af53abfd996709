//! Load that the other entries placed on backend servers, by backend server.
//!
//! Load pattern: entries times the backend servers that each of them decides about, reported a
//! hundred times per second. Recomputing all sums with each heartbeat was the largest cost of an
//! entry with a slow processor apart from serving its callers. Since a heartbeat changes only what
//! its sender reports, only that part is replaced.

use std::{collections, net};

use smallvec::SmallVec;

use super::message;
use crate::decide::place;

/// Load on backend servers by the hashes of their ids, with the entry that reported it. Usually one
/// entry decides about a backend server.
#[derive(Debug, Default)]
pub struct Loads {
    reported: collections::HashMap<u64, SmallVec<[(net::Ipv4Addr, message::Load); 2]>>,
    changed: Vec<u64>,
}

impl Loads {
    /// Replaces the loads that an entry reported before by the new ones.
    pub fn replace(
        &mut self,
        entry: net::Ipv4Addr,
        before: &[message::Load],
        loads: &[message::Load],
    ) {
        for load in before {
            if let Some(reported) = self.reported.get_mut(&load.server) {
                reported.retain(|(by, _)| *by != entry);
            }
            self.changed.push(load.server);
        }
        for load in loads {
            let reported = self.reported.entry(load.server).or_default();
            reported.push((entry, *load));
            self.changed.push(load.server);
        }
        for load in before {
            let is_empty = |reported: &SmallVec<_>| reported.is_empty();
            if self.reported.get(&load.server).is_some_and(is_empty) {
                self.reported.remove(&load.server);
            }
        }
    }

    /// Returns the sum of all entries' loads on a backend server.
    pub fn sum(&self, server: u64) -> place::Load {
        let mut sum = place::Load::default();
        for (_, load) in self.reported.get(&server).into_iter().flatten() {
            sum.in_flight += load.running;
            sum.unread_tokens += f64::from(load.unread_tokens);
            sum.queued_tokens += f64::from(load.queued_tokens);
            if load.tokens_per_s > 0 {
                sum.tokens_per_ms = f64::from(load.tokens_per_s) / 1e3;
                sum.weight_step = load.weight_step.clamp(i8::MIN.into(), i8::MAX.into()) as i8;
            }
            let least = load.least_service.map(f64::from);
            sum.least_service = sum.least_service.into_iter().chain(least).reduce(f64::min);
        }
        sum
    }

    /// Returns the backend servers whose load was reported since the last call; it may contain
    /// duplicates.
    pub fn take_changed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.changed)
    }
}
