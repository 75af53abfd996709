//! Service counters: how much service each customer has received, and which one is next.
//!
//! Load pattern: customers with very different request costs and request rates compete for the same
//! slots, and the cost of a request is known only when it ends. Without counters (first come, first
//! served) the customer with the most or the longest requests takes the capacity. If counters trust
//! cost hints, the customer with the most misleading hints does.
//!
//! Service is measured in cost units: prompt plus generated tokens, or for plain services the
//! milliseconds for which a slot is occupied. Cost is divided by the customer's weight when it is
//! charged. A customer's tag is the sum, and the lowest tag is served first (virtual token
//! counters: Sheng et al., OSDI 2024; start-time fair queueing: Goyal et al., SIGCOMM 1996). Cost
//! is charged while the request is served and corrected at its end.
//!
//! A request in progress also counts for the mean cost of a request, the same for every customer,
//! until it ends. Slots serve at about the same rate, so customers that hold equally many slots are
//! served equally, whatever their requests turn out to cost. Cost hints are not used.
//!
//! Sidecars and entries use the same table. A sidecar adds the requests it has picked itself to the
//! fleet totals it receives with tickets; an entry adds what it has charged since the last total it
//! received. All times are durations since the process started.

use std::time;

use slotmap::SecondaryMap;

use crate::key;

/// Weight of the newest finished request in a customer's mean cost. One eighth follows a change of
/// the load within about twenty requests and halves the noise of a single request four times over;
/// it is the gain of the smoothed round-trip time in RFC 6298.
pub const MEAN_GAIN: f64 = 0.125;

/// Expected cost of a request before any has finished in this process: the order of a short prompt
/// with a short answer. An error of 10x misplaces only the first few picks.
pub const INITIAL_COST_ESTIMATE: f64 = 500.0;

/// Factor on the process's own charges that no fleet total contains yet. Meanwhile the other
/// sidecars serve customers from the same totals, so the own charges are a sample of what all
/// sidecars charge; with a factor of 1 all of them would turn to the same customer until the next
/// total. Of the factors 0 to 36, with 18 sidecars, 14 gives the smallest gap
/// (`docs/BENCHMARKS.md`).
pub const UNREPORTED_CHARGE_FACTOR: f64 = 14.0;

/// Number of mean costs that a request in progress counts for beyond what it was charged, as a
/// sample of the slots occupied elsewhere. Below 4 the noise of single requests outweighs the
/// balance of slots; of the numbers 1 to 20, 20 gives the smallest gap (`docs/BENCHMARKS.md`).
pub const IN_PROGRESS_MEAN_COSTS: f64 = 20.0;

/// Minimum weight. A weight of zero or less in a catalogue would divide by zero and starve the
/// customer.
pub const MIN_WEIGHT: f64 = 0.001;

/// Service of one customer.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    weight: f64,
    // Highest fleet total received.
    total: f64,
    // Cumulative and monotonic, so that reports merge by maximum.
    charged: f64,
    // Part of `charged` that `total` contains.
    charged_in_total: f64,
    // Values of `charged` at two earlier times, the older at least one lag ago.
    charge_marks: [(time::Duration, f64); 2],
    // What requests in progress here count for beyond what they were charged.
    in_progress: f64,
    lowered: bool,
    mean: Option<f64>,
}

/// A picked request that has not ended. It must be passed to [`Table::settle`] or
/// [`Table::release`].
#[derive(Debug)]
pub struct Reservation {
    customer: key::Customer,
    in_progress: f64,
    charged_cost: f64,
}

/// The service counters of a process.
#[derive(Debug)]
pub struct Table {
    counters: SecondaryMap<key::Customer, Counter>,
    lag: time::Duration,
    now: time::Duration,
    virtual_time: f64,
    mean: Option<f64>,
    // Customers whose tag decreased since a queue last asked.
    lowered: Vec<key::Customer>,
}

/// The fleet's virtual time, as an entry learns it from the heartbeats of sidecars.
#[derive(Debug, Default)]
pub struct VirtualClock {
    virtual_times: SecondaryMap<key::Sidecar, Option<f64>>,
}

impl Counter {
    fn service(&self) -> f64 {
        self.total + self.charged - self.charged_in_total
    }

    fn tag(&self) -> f64 {
        let unreported = self.charged - self.charged_in_total;
        self.total + UNREPORTED_CHARGE_FACTOR * unreported + self.in_progress
    }
}

impl Counter {
    // Returns the charges that are at least one lag old: all but those of the last one or two lags.
    fn charged_before_lag(&self, now: time::Duration, lag: time::Duration) -> f64 {
        let [older, newer] = self.charge_marks;
        if now >= newer.0 + lag {
            newer.1
        } else {
            older.1
        }
    }
}

impl Default for Counter {
    fn default() -> Self {
        Self {
            weight: 1.0,
            total: 0.0,
            charged: 0.0,
            charged_in_total: 0.0,
            charge_marks: [(time::Duration::ZERO, 0.0); 2],
            in_progress: 0.0,
            lowered: false,
            mean: None,
        }
    }
}

impl Reservation {
    /// Returns the customer that is charged.
    pub fn customer(&self) -> key::Customer {
        self.customer
    }

    /// Returns the cost units charged so far, before division by the weight.
    pub fn charged_cost(&self) -> f64 {
        self.charged_cost
    }
}

impl VirtualClock {
    /// Records the virtual time from a sidecar's heartbeat. A sidecar without waiting tickets
    /// serves whatever comes, so its virtual time says nothing about the others.
    pub fn on_report(&mut self, sidecar: key::Sidecar, virtual_time: f64, waiting: u32) {
        self.virtual_times
            .insert(sidecar, (waiting > 0).then_some(virtual_time));
    }

    /// Removes a sidecar that left or fell silent.
    pub fn remove(&mut self, sidecar: key::Sidecar) {
        self.virtual_times.remove(sidecar);
    }

    /// Returns the lowest virtual time among the sidecars with waiting tickets, for
    /// [`Table::advance_virtual_time`]. It is the lowest because a customer lifted above the
    /// backlogged customer that is furthest behind would lose service that it is entitled to.
    pub fn time(&self) -> f64 {
        let least = self
            .virtual_times
            .values()
            .flatten()
            .copied()
            .reduce(f64::min);
        least.unwrap_or(0.0)
    }
}

impl Table {
    /// Creates an empty table. `lag` is the time until the fleet totals received here contain a
    /// charge; own charges younger than that are added to the totals.
    pub fn new(lag: time::Duration) -> Self {
        Self {
            counters: SecondaryMap::new(),
            lag,
            now: time::Duration::ZERO,
            virtual_time: 0.0,
            mean: None,
            lowered: Vec::new(),
        }
    }

    fn counter(&mut self, customer: key::Customer) -> Option<&mut Counter> {
        // `None` only for a key that was removed from its arena and reused.
        self.counters
            .entry(customer)
            .map(slotmap::secondary::Entry::or_default)
    }

    /// Sets a customer's weight for later charges. Service received under the old weight stays as
    /// it was; otherwise all service in the customer's past would be charged again at the new
    /// weight.
    pub fn set_weight(&mut self, customer: key::Customer, weight: f64) {
        if let Some(counter) = self.counter(customer).filter(|_| weight.is_finite()) {
            counter.weight = weight.max(MIN_WEIGHT);
        }
    }

    /// Applies a fleet total received with a ticket or in a totals frame. Old and repeated totals
    /// have no effect.
    pub fn observe_total(&mut self, now: time::Duration, customer: key::Customer, total: f64) {
        let lag = self.lag;
        self.now = self.now.max(now);
        let Some(counter) = self.counter(customer) else {
            return;
        };
        // A value that is not finite would make every later tag compare unequal to itself.
        if total <= counter.total || !total.is_finite() {
            return;
        }
        // A total can't contain more of the own charges than it grew by, nor any younger than the
        // lag.
        let grown = counter.charged_in_total + (total - counter.total);
        let old = counter.charged_before_lag(now, lag);
        counter.charged_in_total = counter.charged_in_total.max(grown.min(old));
        counter.total = total;
        // Charges that counted with the sample factor count once from here on.
        self.mark_lowered(customer);
    }

    /// Applies a fleet total together with the part of this process's charges that it contains.
    pub fn observe_exact_total(
        &mut self,
        customer: key::Customer,
        total: f64,
        charged_in_total: f64,
    ) {
        let Some(counter) = self.counter(customer) else {
            return;
        };
        if !total.is_finite() || !charged_in_total.is_finite() {
            return;
        }
        if total - charged_in_total > counter.total - counter.charged_in_total {
            counter.total = total;
            counter.charged_in_total = charged_in_total.min(counter.charged);
        }
    }

    /// Lifts a customer that starts waiting, after it had nothing waiting, to the current virtual
    /// time: idle time earns no credit, and a new customer owes nothing.
    pub fn activate(&mut self, customer: key::Customer) {
        let virtual_time = self.virtual_time;
        if let Some(counter) = self.counter(customer) {
            let shortfall = virtual_time - counter.service();
            counter.total += shortfall.max(0.0);
        }
    }

    /// Sets the current time, with which charges are marked.
    pub fn set_now(&mut self, now: time::Duration) {
        self.now = self.now.max(now);
    }

    /// Advances the virtual time to what sidecars report. It never decreases.
    pub fn advance_virtual_time(&mut self, virtual_time: f64) {
        if virtual_time.is_finite() {
            self.virtual_time = self.virtual_time.max(virtual_time);
        }
    }

    /// Returns the tag of the ticket picked last, for heartbeats.
    pub fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// Returns the tag of a customer; the lowest is served next.
    pub fn tag(&self, customer: key::Customer) -> f64 {
        self.counters.get(customer).map_or(0.0, Counter::tag)
    }

    /// Returns the weighted fleet-wide service of a customer as known here, for the tickets that an
    /// entry sends.
    pub fn total(&self, customer: key::Customer) -> f64 {
        self.counters.get(customer).map_or(0.0, Counter::service)
    }

    /// Returns the weighted service that this process has charged to a customer. It is cumulative
    /// and never decreases.
    pub fn charged(&self, customer: key::Customer) -> f64 {
        self.counters
            .get(customer)
            .map_or(0.0, |counter| counter.charged)
    }

    /// Returns the last fleet total received and the part of [`Table::charged`] that it contains.
    pub fn fleet_total(&self, customer: key::Customer) -> (f64, f64) {
        self.counters.get(customer).map_or((0.0, 0.0), |counter| {
            (counter.total, counter.charged_in_total)
        })
    }

    /// Returns the expected cost of a customer's next request. It is a mean over finished requests,
    /// which a customer can't falsify.
    pub fn estimate(&self, customer: key::Customer) -> f64 {
        self.counters
            .get(customer)
            .and_then(|counter| counter.mean)
            .unwrap_or_else(|| self.mean())
    }

    /// Returns the mean cost of the requests that finished here.
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(INITIAL_COST_ESTIMATE)
    }

    /// Counts a request as in progress, from its pick at a sidecar or its claim at an entry.
    pub fn reserve(&mut self, customer: key::Customer) -> Reservation {
        let mut in_progress = IN_PROGRESS_MEAN_COSTS * self.mean();
        if let Some(counter) = self.counter(customer) {
            in_progress /= counter.weight;
            counter.in_progress += in_progress;
        }
        Reservation {
            customer,
            in_progress,
            charged_cost: 0.0,
        }
    }

    /// Charges cost units while a request is served.
    pub fn charge(&mut self, reservation: &mut Reservation, cost: u64) {
        reservation.charged_cost += cost as f64;
        self.add_charge(reservation.customer, cost as f64);
    }

    fn add_charge(&mut self, customer: key::Customer, cost: f64) {
        let (now, lag) = (self.now, self.lag);
        if let Some(counter) = self.counter(customer) {
            if now >= counter.charge_marks[1].0 + lag {
                counter.charge_marks = [counter.charge_marks[1], (now, counter.charged)];
            }
            counter.charged += cost / counter.weight;
        }
    }

    /// Ends a finished request with its total cost, from which later costs are estimated. A total
    /// below what was already charged refunds nothing, because that much service was given.
    pub fn settle(&mut self, mut reservation: Reservation, cost: u64) {
        let rest = cost as f64 - reservation.charged_cost;
        let mean = Some(updated_mean(self.mean, cost as f64));
        let fleet = std::mem::replace(&mut self.mean, mean);
        if let Some(counter) = self.counter(reservation.customer) {
            counter.mean = Some(updated_mean(counter.mean.or(fleet), cost as f64));
        }
        self.add_charge(reservation.customer, rest.max(0.0));
        reservation.charged_cost += rest.max(0.0);
        self.release(reservation);
    }

    /// Ends a request that was interrupted or never started. Only what was already charged stays
    /// charged.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a reservation that ended must not end again"
    )]
    pub fn release(&mut self, reservation: Reservation) {
        if let Some(counter) = self.counter(reservation.customer) {
            counter.in_progress = (counter.in_progress - reservation.in_progress).max(0.0);
            self.mark_lowered(reservation.customer);
        }
    }

    fn mark_lowered(&mut self, customer: key::Customer) {
        let fresh = |counter: &mut Counter| !std::mem::replace(&mut counter.lowered, true);
        if self.counters.get_mut(customer).is_some_and(fresh) {
            self.lowered.push(customer);
        }
    }

    /// Takes one of the customers whose tag decreased, so that a queue can move it to its new
    /// position. If no queue asks, the list holds each customer at most once.
    pub fn next_lowered(&mut self) -> Option<key::Customer> {
        let customer = self.lowered.pop()?;
        if let Some(counter) = self.counters.get_mut(customer) {
            counter.lowered = false;
        }
        Some(customer)
    }

    /// Removes a customer that left the catalogue.
    pub fn remove(&mut self, customer: key::Customer) {
        self.counters.remove(customer);
    }
}

fn updated_mean(mean: Option<f64>, cost: f64) -> f64 {
    mean.map_or(cost, |mean| mean + MEAN_GAIN * (cost - mean))
}
