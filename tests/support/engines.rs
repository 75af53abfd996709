//! Engines and requests to them, for tests of placement without a network.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time;

use chivebend::decide::{binding, feature, place};
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// Latency objective of each request, in milliseconds.
pub const OBJECTIVE_MS: u64 = 600;

/// Learned speeds of engines only.
pub const LEARNED: feature::Features = feature::Features {
    learned_capacity: true,
    ..OFF
};

/// Nothing is switched on.
pub const OFF: feature::Features = feature::Features {
    learned_capacity: false,
    second_homes: false,
    steady_reading: false,
};

/// Returns a duration in milliseconds.
pub fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// Returns a fleet with engines of these ids, of which some are near.
pub fn fleet(
    seed: u64,
    ids: impl IntoIterator<Item = String>,
    is_near: impl Fn(usize) -> bool,
    features: feature::Features,
) -> (place::Fleet, Vec<key::Sidecar>) {
    let mut fleet = place::Fleet::new(seed);
    fleet.set_features(features);
    let add = |(n, id): (usize, String)| {
        let info = place::ServerInfo {
            id: &id,
            service: 0,
            // More than any test has in progress at once.
            slots: 128,
            is_engine: true,
            is_near: is_near(n),
            version: binding::Version::default(),
            is_version_known: true,
        };
        fleet.add(time::Duration::ZERO, info)
    };
    let servers = ids.into_iter().enumerate().map(add).collect();
    (fleet, servers)
}

/// Returns the ids of this number of engines.
pub fn ids(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|n| format!("engine-{n}"))
}

/// Returns the keys of this number of customers.
pub fn customers(count: usize) -> Vec<key::Customer> {
    let mut keys = SlotMap::<key::Customer, ()>::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

/// Returns a request that arrives now, with these parts of its prompt: hashes and lengths.
pub fn job(customer: key::Customer, parts: &[(u64, u32)], now: u64) -> place::Job {
    let part = |(chain, tokens): &(u64, u32)| place::Part {
        chain: *chain,
        tokens: *tokens,
    };
    place::Job {
        service: 0,
        customer,
        parts: parts.iter().map(part).collect(),
        cost: parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
        due: ms(now + OBJECTIVE_MS),
        objective: ms(OBJECTIVE_MS),
        excluded: SmallVec::new(),
        suspect: None,
        version: None,
        is_resumable: false,
    }
}
