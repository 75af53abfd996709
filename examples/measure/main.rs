//! Benchmarks of the decision modules in a discrete-event simulation; see `docs/BENCHMARKS.md`.

use std::time;

use chivebend::decide::ledger;
use clap::Parser as _;

mod cost;
mod placement;
#[allow(
    dead_code,
    reason = "each program that includes the simulation uses only a part of it"
)]
#[path = "simulation.rs"]
mod simulation;
mod sizes;

use simulation::config::{Config, Customer, Fault, Hint, Load, Policy, Prefixes, Routing};

/// Minimum number of backend servers to which an entry has links.
const MIN_LINKS_PER_ENTRY: usize = 64;
/// Virtual time at which the flooding customer starts. The fleet is full by then: running requests
/// are not preempted, so on an empty fleet the first customer would occupy every slot under any
/// policy.
const FLOOD_START: time::Duration = time::Duration::from_secs(1);

/// Numbers of engines for which a placement is timed.
const PLACEMENT_ENGINES: [usize; 4] = [50, 910, 1_820, 3_640];

/// Simulates the fleet in virtual time and prints figures; the last line is key=value.
#[derive(Clone, Debug, clap::Parser)]
struct Args {
    /// Case to measure.
    case: Case,
    /// Number of entry instances.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of backend servers.
    #[arg(long, default_value_t = 18)]
    runners: usize,
    /// Maximum number of concurrent requests of a backend server.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Number of customers.
    #[arg(long, default_value_t = 16)]
    customers: usize,
    /// Number of customers that are always backlogged; the others send few requests.
    #[arg(long)]
    backlogged: Option<usize>,
    /// One-way delay between processes, in milliseconds.
    #[arg(long, default_value_t = 1)]
    delay_ms: u64,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Scheduling policy of waiting requests.
    #[arg(long, value_enum, default_value_t = Policy::Fleet)]
    policy: Policy,
    /// Distribution of each customer's requests over the entries.
    #[arg(long, value_enum, default_value_t = Skew::Even)]
    skew: Skew,
    /// Virtual time to simulate, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Bytes per second that an entry may spend on service totals.
    #[arg(long)]
    budget: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Case {
    Fairness,
    Utilisation,
    Poller,
    Affinity,
    Overload,
    Control,
    Cost,
    Placement,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Skew {
    /// Each customer uses one to eight entries.
    Even,
    /// All requests go to one entry.
    One,
}

fn main() {
    let args = Args::parse();
    match args.case {
        Case::Fairness => fairness(&args),
        Case::Utilisation => utilisation(&args),
        Case::Poller => poller(&args),
        Case::Affinity => affinity(&args),
        Case::Overload => overload(&args),
        Case::Control => control(&args),
        Case::Cost => decision_cost(&args),
        Case::Placement => placement_cost(&args),
    }
}

fn base_config(args: &Args) -> Config {
    let default = Config::default();
    Config {
        entries: args.entries,
        servers: args.runners,
        slots: args.slots,
        delay: time::Duration::from_millis(args.delay_ms),
        // Enough links that each backend server has links to four entries.
        links_per_entry: MIN_LINKS_PER_ENTRY.max(4 * args.runners / args.entries),
        totals_bytes_per_s: args.budget.unwrap_or(
            if args.entries > ledger::ALL_HOMES_MAX_ENTRIES {
                ledger::HOMES_BYTES_PER_S
            } else {
                ledger::ALL_HOMES_BYTES_PER_S
            },
        ),
        seed: args.seed,
        policy: args.policy,
        ..default
    }
}

/// Returns the entries that a customer uses: one for the first customer, two for the second, up to
/// eight, then starting again at one.
fn entries_of(args: &Args, customer: usize) -> Vec<usize> {
    if args.skew == Skew::One {
        return vec![0];
    }
    let n = 1 + customer % 8.min(args.entries);
    (0..n)
        .map(|at| (customer * 7 + at * 5) % args.entries)
        .collect()
}

/// Returns a customer that always has more callers than its share of the slots; a flooder has 50
/// times as many.
fn backlogged(args: &Args, at: usize, is_flooder: bool) -> Customer {
    let share =
        (args.runners * args.slots as usize).div_ceil(args.backlogged.unwrap_or(args.customers));
    let callers = (3 * share as u32).max(8);
    Customer {
        weight: 1.0,
        load: Load::Closed {
            callers: if is_flooder { 50 * callers } else { callers },
            think_time: time::Duration::ZERO,
        },
        // Customers with small, mixed and large requests.
        cost: [(50, 4_000), (50, 500), (400, 4_000), (50, 1_500)][at % 4],
        hint: [Hint::Rough, Hint::Always(1), Hint::Always(1_000_000)][at % 3],
        entries: entries_of(args, at),
        prefixes: None,
        idempotent: true,
        patience: None,
    }
}

/// Returns a customer that sends a request now and then.
fn occasional(args: &Args, at: usize) -> Customer {
    Customer {
        load: Load::Open { per_s: 0.2 },
        ..backlogged(args, at, false)
    }
}

/// Returns the backlogged customers, followed by the occasional ones.
fn customers(args: &Args) -> Vec<Customer> {
    let backlogged_n = args.backlogged.unwrap_or(args.customers);
    (0..args.customers)
        .map(|at| {
            if at < backlogged_n {
                backlogged(args, at, at == 0)
            } else {
                occasional(args, at)
            }
        })
        .collect()
}

fn fairness(args: &Args) {
    let mut config = base_config(args);
    config.customers = customers(args);
    let flood_load = std::mem::replace(&mut config.customers[0], backlogged(args, 0, false)).load;
    let mut simulation = simulation::Simulation::new(config);
    simulation.schedule(FLOOD_START, Fault::SetLoad(0, flood_load));
    simulation.run_until(time::Duration::from_secs(args.seconds));
    let gap = simulation.gap_ratio();
    println!(
        "case=fairness policy={:?} seed={} gap_ratio={gap:.2} utilisation={:.4} requests={}",
        args.policy,
        args.seed,
        simulation.utilisation(),
        simulation.outcomes().count(),
    );
}

fn utilisation(args: &Args) {
    let mut config = base_config(args);
    config.customers = (0..args.customers)
        .map(|at| backlogged(args, at, at == 0))
        .collect();
    let mut simulation = simulation::Simulation::new(config);
    simulation.schedule(
        time::Duration::ZERO,
        simulation::config::Fault::SlowServer(0, 5.0),
    );
    simulation.run_until(time::Duration::from_secs(args.seconds));
    println!(
        "case=utilisation policy={:?} seed={} utilisation={:.4} gap_ratio={:.2}",
        args.policy,
        args.seed,
        simulation.utilisation(),
        simulation.gap_ratio(),
    );
}

fn poller(args: &Args) {
    let mut config = base_config(args);
    config.customers = (0..args.customers)
        .map(|at| backlogged(args, at, at == 0))
        .collect();
    config.customers[1] = Customer {
        load: Load::Closed {
            callers: 1,
            think_time: time::Duration::from_millis(200),
        },
        cost: (50, 200),
        ..config.customers[1].clone()
    };
    let mut simulation = simulation::Simulation::new(config);
    simulation.run_until(time::Duration::from_secs(args.seconds));
    let mut waits = Vec::new();
    let mut service_times = Vec::new();
    for outcome in simulation.outcomes() {
        let Some(started) = outcome.started else {
            continue;
        };
        if outcome.customer == 1 {
            waits.push(started.saturating_sub(outcome.arrived).as_secs_f64());
        }
        if let Some(ended) = outcome.ended {
            service_times.push(ended.saturating_sub(started).as_secs_f64());
        }
    }
    waits.sort_by(f64::total_cmp);
    let p99 = waits[(waits.len() - 1) * 99 / 100];
    let mean_service_time = service_times.iter().sum::<f64>() / service_times.len() as f64;
    println!(
        "case=poller policy={:?} seed={} poller_p99_ratio={:.2} p99_ms={:.0} mean_hold_ms={:.0} polls={}",
        args.policy,
        args.seed,
        p99 / mean_service_time,
        p99 * 1e3,
        mean_service_time * 1e3,
        waits.len(),
    );
}

/// Measures prefix-cache hits: prompts share 1,000 prefixes, of which a backend server caches a
/// tenth.
fn affinity(args: &Args) {
    let (random, _, _) = measure_hits(args, Routing::Random);
    let (hit, utilisation, gap) = measure_hits(args, Routing::Affinity);
    println!(
        "case=affinity policy={:?} seed={} hit_ratio={hit:.3} random_hit_ratio={random:.3} \
         times_random={:.2} utilisation={utilisation:.4} gap_ratio={gap:.2}",
        args.policy,
        args.seed,
        hit / random,
    );
}

/// Returns cache hits per started request, utilisation and the fairness gap.
fn measure_hits(args: &Args, routing: Routing) -> (f64, f64, f64) {
    let mut config = base_config(args);
    config.routing = routing;
    config.customers = (0..args.customers)
        .map(|at| Customer {
            prefixes: Some(Prefixes {
                count: 1_000,
                hot_share: 0.0,
                saved_cost: 0,
            }),
            ..backlogged(args, at, at == 0)
        })
        .collect();
    let mut simulation = simulation::Simulation::new(config);
    simulation.run_until(time::Duration::from_secs(args.seconds));
    let started = simulation.outcomes().filter(|o| o.started.is_some());
    let (hits, all) = started.fold((0.0, 0.0), |(hits, all), o| {
        (hits + f64::from(u8::from(o.is_cache_hit)), all + 1.0)
    });
    (hits / all, simulation.utilisation(), simulation.gap_ratio())
}

/// Minimum and maximum cost of a request in the overload case: 0.1 to 2.5 s in a slot.
const OVERLOAD_COST: (u64, u64) = (50, 1_000);
/// Maximum time that callers wait in the overload case.
const OVERLOAD_PATIENCE: time::Duration = time::Duration::from_secs(8);

/// Measures goodput for an offered load of half to ten times the capacity.
fn overload(args: &Args) {
    let shortest = 2 * OVERLOAD_PATIENCE.as_secs();
    if args.seconds <= shortest {
        eprintln!("--seconds must be over {shortest}: earlier requests have no known outcome");
        return;
    }
    let mut last = String::new();
    for factor in [0.5, 1.0, 2.0, 3.0, 5.0, 10.0] {
        for admission in [false, true] {
            let (goodput, refused, late) = measure_overload(args, factor, admission);
            last = format!("goodput_ratio={goodput:.3} refused={refused:.3} late={late:.3}");
            println!("offered={factor} admission={admission} {last}");
        }
    }
    println!(
        "case=overload policy={:?} seed={} {last}",
        args.policy, args.seed
    );
}

fn measure_overload(args: &Args, factor: f64, admission: bool) -> (f64, f64, f64) {
    let mut config = base_config(args);
    config.has_admission = admission;
    let capacity = f64::from(config.slots) * config.servers as f64 * config.units_per_s;
    // Mean of the log-uniform distribution.
    let (low, high) = (OVERLOAD_COST.0 as f64, OVERLOAD_COST.1 as f64);
    let mean = (high - low) / (high / low).ln();
    let per_s = factor * capacity / mean / args.customers as f64;
    config.customers = (0..args.customers)
        .map(|at| Customer {
            load: Load::Open { per_s },
            cost: OVERLOAD_COST,
            patience: Some(OVERLOAD_PATIENCE),
            ..backlogged(args, at, false)
        })
        .collect();
    let mut simulation = simulation::Simulation::new(config);
    let seconds = time::Duration::from_secs(args.seconds);
    simulation.run_until(seconds);
    // From the time when the queues are full to the time until which every outcome is known.
    let (from, to) = (OVERLOAD_PATIENCE, seconds.saturating_sub(OVERLOAD_PATIENCE));
    let (mut good, mut refused, mut late, mut all) = (0.0, 0.0, 0.0, 0.0);
    for outcome in simulation.outcomes() {
        let Some(ended) = outcome.ended else { continue };
        let in_time = ended <= outcome.arrived + OVERLOAD_PATIENCE;
        if outcome.code.is_none() && in_time && ended > from && ended <= seconds {
            good += outcome.cost as f64;
        }
        if outcome.arrived > from && outcome.arrived <= to {
            all += 1.0;
            refused += f64::from(u8::from(outcome.code.is_some()));
            late += f64::from(u8::from(outcome.code.is_none() && !in_time));
        }
    }
    let capacity = capacity * seconds.saturating_sub(from).as_secs_f64();
    (good / capacity, refused / all, late / all)
}

/// Number of members in a digest, as in `control::member`.
const DIGEST_ROWS: usize = 8;

/// Seconds between two exchanges that a node starts, as in `control::gossip`.
const DIGEST_PERIOD_S: f64 = 2.0;

/// Computes the control bytes per second of a node, in and out, from message counts and encoded
/// sizes.
fn control(args: &Args) {
    let sizes = sizes::measure();
    println!("{sizes:?}");
    let mut config = base_config(args);
    config.customers = customers(args);
    let mut simulation = simulation::Simulation::new(config);
    simulation.run_until(time::Duration::from_secs(args.seconds));
    let sent = simulation.sent;
    println!("{sent:?}");
    let bytes = |count: u64, size: usize| count as f64 * size as f64 / args.seconds as f64;
    let reports = bytes(sent.reports, sizes.exchange) + bytes(sent.accounts, sizes.account);
    let totals = bytes(sent.frames, sizes.frame) + bytes(sent.totals, sizes.total);
    let beats = bytes(sent.beats, sizes.beat);
    let wants = bytes(sent.wants, sizes.want);
    // In each period a node starts one exchange and answers one; each has a digest in both
    // directions.
    let digest = (sizes.digest + DIGEST_ROWS * sizes.member) as f64;
    let members = 4.0 * digest / DIGEST_PERIOD_S;
    let entry = 2.0 * reports / args.entries as f64
        + (totals + beats + wants) / args.entries as f64
        + members;
    let sidecar = (totals + beats + wants) / args.runners as f64 + members;
    println!(
        "reports={reports:.0} totals={totals:.0} beats={beats:.0} wants={wants:.0} a second in \
         the fleet; membership={members:.0} a second for a node"
    );
    println!(
        "case=control bytes_per_node_s={:.0} entry_bytes_s={entry:.0} sidecar_bytes_s={sidecar:.0} \
         gap_ratio={:.2}",
        entry.max(sidecar),
        simulation.gap_ratio(),
    );
}

/// Measures the time per decision for growing numbers of customers.
fn decision_cost(args: &Args) {
    let mut first = None;
    let mut growth = 0.0;
    let mut last = 0.0;
    for customers in [16, 128, 1_024, 7_400] {
        let cost = cost::measure(customers, args.seed);
        println!(
            "customers={customers} ns_per_decision={:.0} ns_per_merge={:.0}",
            cost.ns_per_decision, cost.ns_per_merge
        );
        if first.is_none() {
            // Only the first figure is valid: later sizes reuse memory that the first one freed.
            println!("bytes_per_ticket={:.0}", cost.bytes_per_ticket);
        }
        last = cost.ns_per_decision;
        growth = last / *first.get_or_insert(last);
    }
    println!("case=cost ns_per_decision={last:.0} growth={growth:.2}");
}

// Prints the processor time of one placement for fleets of several sizes.
fn placement_cost(args: &Args) {
    for engines in PLACEMENT_ENGINES {
        let ns = placement::measure(engines, args.seed);
        println!("engines={engines} ns_per_decision={ns:.0}");
    }
}
