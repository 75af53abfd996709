//! Retries of a whole fleet of entries, each of which has its own part of the budget.
//!
//! Load pattern: a seventh of the requests of one service fail at their first attempt, while each
//! entry of a large fleet gets only a few of them within the window.

#[path = "support/direct.rs"]
mod support;

use chivebend::decide::{random, retry};

const RATIO: f64 = 0.16;
const ALLOWANCE: f64 = 40.0;
const REQUESTS: u32 = 3_600;
const FAILED_SHARE: f64 = 0.14;
const WINDOW_MS: u64 = 10_000;

// Returns how many requests failed and how many retries the fleet made for them within a window.
fn retries(entries: usize, failed_share: f64, seed: u64) -> (u32, u32) {
    let mut rng = random::Random::new(seed);
    let mut budgets = vec![retry::SlidingBudget::default(); entries];
    let draws: Vec<f64> = (0..entries).map(|_| rng.unit()).collect();
    let (mut failed, mut retried) = (0, 0);
    for n in 0..REQUESTS {
        let now = support::ms(u64::from(n) * WINDOW_MS / u64::from(REQUESTS));
        let entry = rng.below(entries);
        budgets[entry].record_request(now);
        if rng.unit() >= failed_share {
            continue;
        }
        failed += 1;
        let slack = retry::allowance_part(ALLOWANCE, entries, draws[entry]);
        let window = support::ms(WINDOW_MS);
        retried += u32::from(budgets[entry].try_withdraw(now, window, RATIO, slack));
    }
    (failed, retried)
}

// The rest of a budget that is rounded down at each entry would serve nobody, and one rounded up
// would exceed what the fleet may spend.
#[test]
fn the_fleet_can_use_its_budget_and_no_more_at_any_size() {
    let budget = RATIO * f64::from(REQUESTS) + ALLOWANCE;
    for entries in [4, 68, 357, 1_000] {
        for seed in 1..=8 {
            let (_, retried) = retries(entries, 1.0, seed);
            println!("{entries} entries, seed {seed}: {retried} of {budget}");
            let used = f64::from(retried) / budget;
            assert!((0.9..=1.05).contains(&used), "{entries} entries: {used}");
        }
    }
}

#[test]
fn more_failed_requests_are_retried_than_with_rounded_parts() {
    for entries in [68, 357, 1_000] {
        let (failed, retried) = retries(entries, FAILED_SHARE, 1);
        println!("{entries} entries: {retried} of {failed}");
        assert!(retried > failed / 3, "{entries} entries: {retried}");
    }
}

#[test]
fn most_failed_requests_are_retried_at_any_size_of_the_fleet() {
    for entries in [4, 68, 357, 1_000] {
        for seed in 1..=4 {
            let (failed, retried) = retries(entries, FAILED_SHARE, seed);
            println!("{entries} entries, seed {seed}: {retried} of {failed}");
            let least = 0.6 * f64::from(failed);
            assert!(
                f64::from(retried) >= least,
                "{entries}: {retried} of {failed}"
            );
        }
    }
}
