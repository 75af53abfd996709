//! Processor time and memory of the decisions, measured on the running machine.

use std::{fs, hint, time};

use chivebend::{
    decide::{ledger, queue, share},
    key,
};
use slotmap::SlotMap;

use super::simulation::rng;

/// Number of decisions timed for each number of customers.
const TIMED_DECISIONS: u32 = 400_000;
/// Maximum number of waiting tickets.
const MAX_TICKETS: usize = 100_000;
/// Number of entries that report a customer to its home.
const REPORTING_ENTRIES: usize = 16;
/// Size in bytes of a memory page on the supported machines.
const PAGE_BYTES: u64 = 4_096;

/// Costs for a number of customers.
pub struct Cost {
    /// Nanoseconds of one decision: a received total, pick, reservation, three charges, settlement
    /// and the next offer.
    pub ns_per_decision: f64,
    /// Nanoseconds to merge one reported account at a home.
    pub ns_per_merge: f64,
    /// Resident memory in bytes per waiting ticket, including the customers' lists.
    pub bytes_per_ticket: f64,
}

/// Measures the production modules with a number of customers.
pub fn measure(customers: usize, seed: u64) -> Cost {
    let mut rng = rng::Rng(seed);
    let mut arena = SlotMap::<key::Customer, ()>::with_key();
    let keys = (0..customers).map(|_| arena.insert(())).collect::<Vec<_>>();
    let resident_before = resident_bytes();
    let (mut queue, mut shares) = fill_queue(&keys);
    let bytes = resident_bytes().saturating_sub(resident_before);
    let bytes_per_ticket = bytes as f64 / queue.len() as f64;
    // Warm-up, so that every list and heap has its final capacity.
    run_decisions(
        &mut queue,
        &mut shares,
        &keys,
        &mut rng,
        TIMED_DECISIONS / 4,
    );
    let started = time::Instant::now();
    run_decisions(&mut queue, &mut shares, &keys, &mut rng, TIMED_DECISIONS);
    let ns_per_decision = started.elapsed().as_nanos() as f64 / f64::from(TIMED_DECISIONS);
    Cost {
        ns_per_decision,
        ns_per_merge: time_merges(&keys, &mut rng),
        bytes_per_ticket,
    }
}

fn ticket(customer: key::Customer, request: u64) -> queue::Ticket {
    queue::Ticket {
        customer,
        link: key::Link::default(),
        request,
        model: 0,
        cost_hint: 1,
        prefix_hash: 0,
        deadline: None,
        offered_at: time::Duration::ZERO,
    }
}

fn fill_queue(keys: &[key::Customer]) -> (queue::Queue, share::Table) {
    let shares = share::Table::new(time::Duration::from_millis(400));
    let mut queue = queue::Queue::new(queue::Limit {
        customer: u32::MAX,
        ..queue::Limit::default()
    });
    for request in 0..MAX_TICKETS {
        let customer = keys[request % keys.len()];
        if queue
            .offer(ticket(customer, request as u64), &shares)
            .is_err()
        {
            break;
        }
    }
    (queue, shares)
}

fn run_decisions(
    queue: &mut queue::Queue,
    shares: &mut share::Table,
    keys: &[key::Customer],
    rng: &mut rng::Rng,
    rounds: u32,
) {
    let start = shares.virtual_time();
    for round in 0..rounds {
        let now = time::Duration::from_millis(u64::from(round));
        let customer = keys[rng.below(keys.len())];
        shares.observe_total(now, customer, start + f64::from(round));
        let Some((_, picked)) = queue.pick(now, shares) else {
            return;
        };
        let mut reservation = shares.reserve(picked.customer);
        for _ in 0..3 {
            shares.charge(&mut reservation, 100);
        }
        shares.settle(reservation, 300 + rng.next_u64() % 300);
        hint::black_box(queue.offer(picked, shares).is_ok());
    }
}

fn time_merges(keys: &[key::Customer], rng: &mut rng::Rng) -> f64 {
    let mut totals = ledger::Totals::new(time::Duration::ZERO);
    let now = time::Duration::from_secs(100);
    let started = time::Instant::now();
    for round in 0..TIMED_DECISIONS {
        let source = ledger::Source {
            process: rng.below(REPORTING_ENTRIES) as u64,
            incarnation: 1,
        };
        let account = ledger::Account {
            customer: keys[rng.below(keys.len())],
            charged: f64::from(round),
            total: 0.0,
            charged_in_total: 0.0,
        };
        hint::black_box(totals.merge(now, source, account, 0.0));
    }
    started.elapsed().as_nanos() as f64 / f64::from(TIMED_DECISIONS)
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0_u64) * PAGE_BYTES
}
