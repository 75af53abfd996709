//! Configuration of a simulation run, faults, and the outcomes of requests.

use std::time;

use chivebend::{
    code,
    decide::{ledger, queue},
};

/// Scheduling policy of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// First come, first served at each backend server.
    Fifo,
    /// Fair queueing in each entry, without reports between entries.
    Local,
    /// Fair queueing by the weighted service in the whole fleet.
    Fleet,
}

/// Arrival process of a customer's requests.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Closed loop: a fixed number of callers, each of which sends its next request after the
    /// response to the previous one.
    Closed {
        /// Number of callers.
        callers: u32,
        /// Time from a response to the caller's next request.
        think_time: time::Duration,
    },
    /// Open loop: Poisson arrivals, independent of responses.
    Open {
        /// Requests per second.
        per_s: f64,
    },
    /// No requests.
    Idle,
}

/// Accuracy of a customer's cost hints.
#[derive(Clone, Copy, Debug)]
pub enum Hint {
    /// Wrong by a factor between 1/10 and 10.
    Rough,
    /// Always the same value.
    Always(u64),
}

/// Choice of the backend servers for tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Routing {
    /// Two random choices by load, independent of the prefix.
    Random,
    /// Backend servers with the prefix cached, within the bound on load.
    Affinity,
}

/// Prompt prefixes; all customers with prefixes use the same ones.
#[derive(Clone, Copy, Debug)]
pub struct Prefixes {
    /// Number of different prefixes, equally frequent.
    pub count: u64,
    /// Share of requests that additionally use the first prefix.
    pub hot_share: f64,
    /// Cost units saved by a cache hit.
    pub saved_cost: u64,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Fair-share weight.
    pub weight: f64,
    /// Arrival process.
    pub load: Load,
    /// Minimum and maximum cost of a request, log-uniformly distributed.
    pub cost: (u64, u64),
    /// Cost hint given to the entry.
    pub hint: Hint,
    /// Indices of the entries that its callers use.
    pub entries: Vec<usize>,
    /// Shared prefixes of its prompts, if any.
    pub prefixes: Option<Prefixes>,
    /// True if its requests may run more than once.
    pub idempotent: bool,
    /// Maximum time that callers wait for a response.
    pub patience: Option<time::Duration>,
}

/// A fault or change in the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An entry is cut off from its peers in both directions.
    PartitionEntry(usize),
    /// The partition of an entry ends.
    HealEntry(usize),
    /// An entry restarts and loses its state and the requests it holds.
    RestartEntry(usize),
    /// A backend server and its sidecar crash and lose their requests.
    CrashServer(usize),
    /// A crashed backend server restarts, idle and with an empty cache.
    RestoreServer(usize),
    /// A backend server becomes slower by a factor.
    SlowServer(usize, f64),
    /// A backend server drains: it accepts no new requests.
    DrainServer(usize),
    /// A customer's load changes.
    SetLoad(usize, Load),
    /// A customer's weight changes.
    SetWeight(usize, f64),
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of entry instances.
    pub entries: usize,
    /// Number of backend servers, each with its sidecar.
    pub servers: usize,
    /// Maximum number of concurrent requests of a backend server.
    pub slots: u32,
    /// Cost units that a slot processes per second.
    pub units_per_s: f64,
    /// One-way delay between any two processes.
    pub delay: time::Duration,
    /// Number of backend servers to which each entry has links.
    pub links_per_entry: usize,
    /// Number of tickets placed for each request.
    pub tickets_per_request: usize,
    /// Maximum number of requests of one customer with tickets from one entry.
    pub max_placed_requests: u32,
    /// Bytes per second that an entry may spend on service totals, in and out.
    pub totals_bytes_per_s: usize,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Scheduling policy of waiting requests.
    pub policy: Policy,
    /// Choice of the backend servers for tickets.
    pub routing: Routing,
    /// Number of prefixes that a backend server caches.
    pub cached_prefixes: usize,
    /// True if entries reject requests that can't meet their deadline.
    pub has_admission: bool,
    /// Limits of the sidecars' queues.
    pub queue_limit: queue::Limit,
    /// Customers.
    pub customers: Vec<Customer>,
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Index of the customer in the configuration.
    pub customer: usize,
    /// Index of the entry that received it.
    pub entry: usize,
    /// When it arrived.
    pub arrived: time::Duration,
    /// When it started at a backend server, if it did.
    pub started: Option<time::Duration>,
    /// When the caller received the response or the refusal.
    pub ended: Option<time::Duration>,
    /// Actual cost.
    pub cost: u64,
    /// Prefix hash of its prompt, 0 if there is none.
    pub prefix: u64,
    /// True if the prefix was cached at the backend server that ran it.
    pub is_cache_hit: bool,
    /// Number of attempts handed over to a backend server.
    pub attempts: u32,
    /// Index of the backend server that ran it.
    pub server: Option<usize>,
    /// Code of the refusal or failure; `None` for a complete response.
    pub code: Option<code::Code>,
}

impl Default for Config {
    /// Returns the configuration of a small fleet.
    fn default() -> Self {
        Self {
            entries: 4,
            servers: 18,
            slots: 8,
            units_per_s: 400.0,
            delay: time::Duration::from_millis(1),
            links_per_entry: usize::MAX,
            tickets_per_request: 3,
            max_placed_requests: 1_000,
            totals_bytes_per_s: ledger::ALL_HOMES_BYTES_PER_S,
            seed: 1,
            policy: Policy::Fleet,
            routing: Routing::Affinity,
            cached_prefixes: 100,
            has_admission: true,
            queue_limit: queue::Limit::default(),
            customers: Vec::new(),
        }
    }
}
