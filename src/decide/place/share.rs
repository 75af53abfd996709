//! Computes each customer's share of the whole fleet, and decides which requests of customers below
//! their share may try other backend servers.
//!
//! Load pattern: one customer floods the fleet, and another customer's requests reach engines or
//! entries that are busy with the flood. Each engine's queue is fair, but its refusals are not: an
//! engine that refuses a request by its expected wait does not know how much service the customer
//! gets elsewhere.

use std::time;

use super::{Fleet, Job};
use crate::decide::{random, recent};
use crate::key;

/// A customer with less than this part of the service of the best served customer is below its
/// share, and its requests may wait longer before they are refused. Users judge their service
/// by one half as well.
pub(super) const BELOW_SHARE: f64 = 0.5;

/// A customer is starved if it was served less than this part of its demand, or of the service of
/// the best served customer, whichever is less. Users consider this unfair.
pub(super) const STARVED_SHARE: f64 = 0.5;

/// The same where what other entries report is one to two seconds old. Requests then go to other
/// homes, and cease to, that much later, and the customer's service ends below the share at which
/// they start to.
const DELAYED_STARVED_SHARE: f64 = 0.7;

/// Maximum number of other homes that a starved customer's request tries, one after the other, and
/// number of homes from which the one that reads its unread tokens soonest is chosen each time. It
/// is small so that only a few engines read the part again.
pub const MAX_OTHER_HOMES: usize = 3;

impl Fleet {
    /// Returns the recent service of all customers.
    pub fn service_mut(&mut self) -> &mut recent::Table {
        &mut self.recent_service
    }

    /// Returns the recent service of all customers.
    pub fn service(&self) -> &recent::Table {
        &self.recent_service
    }

    /// Returns the recent demand of all customers.
    pub fn demand(&self) -> &recent::Table {
        &self.recent_demand
    }

    /// Returns the recent demand of all customers.
    pub fn demand_mut(&mut self) -> &mut recent::Table {
        &mut self.recent_demand
    }

    /// Returns a customer's recent demand at this entry.
    pub fn own_demand(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.recent_demand.own_service(now, customer)
    }

    /// Returns a customer's recent service by all entries relative to the customer with the most,
    /// from 0 to 1.
    pub fn served_share(&self, now: time::Duration, customer: key::Customer) -> f64 {
        let most = self.recent_service.max_served(now);
        if most > 0.0 {
            self.recent_service.fleet_service(now, customer) / most
        } else {
            0.0
        }
    }

    // Returns whether a customer is below its share of the fleet.
    pub(super) fn is_below_share(&self, now: time::Duration, customer: key::Customer) -> bool {
        self.served_share(now, customer) < BELOW_SHARE
    }

    /// Sets whether what other entries report is old by the time that it arrives here.
    pub fn set_reports_delayed(&mut self, delayed: bool) {
        self.starved_share = if delayed {
            DELAYED_STARVED_SHARE
        } else {
            STARVED_SHARE
        };
    }

    /// Returns whether a customer's requests may try other homes, since as far as this entry knows
    /// it is served much less than its demand and than the best served customer.
    pub fn is_starved(&self, now: time::Duration, customer: key::Customer) -> bool {
        self.is_starved_with(now, customer, 0.0)
    }

    // The same if this much is added to the customer's demand.
    pub(super) fn is_starved_with(
        &self,
        now: time::Duration,
        customer: key::Customer,
        asked: f64,
    ) -> bool {
        let demand = self.recent_demand.fleet_service(now, customer) + asked;
        let due = demand.min(self.recent_service.max_served(now));
        self.recent_service.fleet_service(now, customer) < self.starved_share * due
    }

    /// Returns a customer's recent service by this entry.
    pub fn own_service(&self, now: time::Duration, customer: key::Customer) -> f64 {
        self.recent_service.own_service(now, customer)
    }

    /// Returns the backend server to try after those that the job excludes have refused it, or
    /// `None` if the request is refused.
    ///
    /// Fair queues at each engine don't add up to a fair share of the fleet: a customer whose
    /// prompt parts have their homes at overloaded engines gets less than half of its share while
    /// other engines have room. Reading a part again costs the fleet more than the request is
    /// worth, so only requests of starved customers try other homes.
    pub fn after_refusal(&mut self, now: time::Duration, job: &Job) -> Option<key::Sidecar> {
        let mut random = self.random;
        let next = self.after_refusal_by(now, job, 0.0, &mut random);
        self.random = random;
        next
    }

    // The same by these random numbers, if `asked` is added to the customer's demand.
    pub(super) fn after_refusal_by(
        &self,
        now: time::Duration,
        job: &Job,
        asked: f64,
        random: &mut random::Random,
    ) -> Option<key::Sidecar> {
        // What its caller has received of a stream that has begun is lost unless it goes on.
        if (job.suspect.is_some() || job.version.is_some()) && job.excluded.len() <= MAX_OTHER_HOMES
        {
            return self.choose_by(job, random);
        }
        if job.excluded.len() > MAX_OTHER_HOMES || !self.is_starved_with(now, job.customer, asked) {
            return None;
        }
        let order = match job.home_target() {
            Some(target) => self.homes.first(job, target, MAX_OTHER_HOMES),
            None => self.rank_servers(job, random).into_iter().collect(),
        };
        let read_ms = |at: &key::Sidecar| {
            let server = &self.servers[*at];
            server.prefill.prefill_ms(server.unread_tokens())
        };
        let engines = order.into_iter().filter(|at| self.servers[*at].is_engine);
        let candidates = engines.take(MAX_OTHER_HOMES);
        candidates.min_by(|a, b| read_ms(a).total_cmp(&read_ms(b)))
    }
}
