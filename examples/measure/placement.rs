//! Processor time of a placement decision at a direct entry, measured on the running machine.

use std::{hint, time};

use chivebend::decide::{binding, place};
use chivebend::key;
use slotmap::SlotMap;
use smallvec::{SmallVec, smallvec};

use super::simulation::rng;

/// Number of decisions timed for each number of engines.
const TIMED_DECISIONS: u32 = 100_000;
/// Number of shared prompt parts.
const PARTS: usize = 5_000;
/// Time between two decisions.
const INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Latency objective of all requests.
const OBJECTIVE: time::Duration = time::Duration::from_millis(600);

/// Returns the nanoseconds of one decision in a fleet with this number of engines: the home of the
/// request, the estimate, the verdict and the release.
pub fn measure(engines: usize, seed: u64) -> f64 {
    let mut rng = rng::Rng(seed);
    let mut fleet = place::Fleet::new(seed);
    for n in 0..engines {
        let id = format!("engine-{n}");
        let info = place::ServerInfo {
            id: &id,
            service: 0,
            slots: 64,
            is_engine: true,
            is_near: false,
            version: binding::Version::default(),
            is_version_known: true,
        };
        fleet.add(time::Duration::ZERO, info);
    }
    let customer = SlotMap::<key::Customer, ()>::with_key().insert(());
    let started = time::Instant::now();
    for round in 0..TIMED_DECISIONS {
        let now = INTERVAL * round;
        let job = job(now, customer, rng.below(PARTS) as u64, u64::from(round));
        let home = fleet.choose(&job);
        let placed = home.map(|home| fleet.place_at(now, round.into(), &job, home));
        if let Some(place::Verdict::Start(placed)) = hint::black_box(placed) {
            fleet.release(now, placed, true);
        }
    }
    started.elapsed().as_nanos() as f64 / f64::from(TIMED_DECISIONS)
}

fn job(now: time::Duration, customer: key::Customer, shared: u64, own: u64) -> place::Job {
    let part = |chain, tokens| place::Part { chain, tokens };
    place::Job {
        service: 0,
        customer,
        parts: smallvec![part(shared, 2_000), part(!own, 500)],
        cost: 2_500,
        due: now + OBJECTIVE,
        objective: OBJECTIVE,
        excluded: SmallVec::new(),
        suspect: None,
        version: None,
        is_resumable: false,
    }
}
