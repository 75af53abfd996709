//! The backend servers that a request is offered to, one after the other.
//!
//! Load pattern: a request that is refused by one backend server while others have room, and a
//! fleet in which each further offer costs the deciding entries as much as a new request. So a
//! request is offered to few, and each time for a reason that is known to pay.

use std::time;

use super::{Fleet, Job};
use crate::decide::random;
use crate::{code, key};

/// Number of refusals after which no second home is tried any more.
const MAX_REFUSALS_FOR_SECOND: usize = 1;

/// A backend server that a request is offered to, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The backend server.
    pub server: key::Sidecar,
    /// Why it is this one.
    pub reason: Reason,
}

/// Why a request is offered to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It is the request's home, or the choice where there are no homes.
    #[display("home")]
    Home,
    /// It is the home in the entry's own availability zone, and not the part's first home.
    #[display("near_home")]
    NearHome,
    /// It is the part's first home. The one in the entry's own zone has refused the request, or the
    /// request costs more there.
    #[display("first_home")]
    FirstHome,
    /// The request costs less there than at its home.
    #[display("second_home")]
    SecondHome,
    /// The request was refused, and costs least there.
    #[display("second_after_refusal")]
    SecondAfterRefusal,
    /// The request was refused, and its customer gets too little of the fleet.
    #[display("other_home")]
    OtherHome,
}

impl Reason {
    /// Returns whether it is a second home, about which only its deciding entry decides.
    pub fn is_second(self) -> bool {
        matches!(self, Self::SecondHome | Self::SecondAfterRefusal)
    }
}

impl Fleet {
    /// Returns the backend server that a request is offered to first.
    pub fn first_offer(&mut self, now: time::Duration, job: &Job) -> Option<Offer> {
        let mut random = self.random;
        let offer = self.first_offer_by(now, job, &mut random);
        self.random = random;
        offer
    }

    // The same by these random numbers.
    pub(super) fn first_offer_by(
        &self,
        now: time::Duration,
        job: &Job,
        random: &mut random::Random,
    ) -> Option<Offer> {
        let second = self.second_by(now, job, random);
        let second = second.map(|at| Reason::SecondHome.offer(at));
        let offer = second.or_else(|| self.home_offer_by(job, random))?;
        let first = (offer.reason == Reason::NearHome)
            .then(|| self.spills(now, job, offer.server, random))
            .flatten();
        Some(first.map_or(offer, |first| Reason::FirstHome.offer(first)))
    }

    /// Returns the home of a request, or the choice where there are no homes.
    pub fn home_offer(&mut self, job: &Job) -> Option<Offer> {
        let mut random = self.random;
        let offer = self.home_offer_by(job, &mut random);
        self.random = random;
        offer
    }

    // The same by these random numbers.
    pub(super) fn home_offer_by(&self, job: &Job, random: &mut random::Random) -> Option<Offer> {
        let at = self.choose_by(job, random)?;
        let is_near = self.is_near_home(job, at);
        let reason = if is_near {
            Reason::NearHome
        } else {
            Reason::Home
        };
        Some(reason.offer(at))
    }

    /// Excludes a backend server that has refused a request with this code, and returns the next
    /// offer, or `None` if the request is refused. `refusals` counts them, this one included.
    pub fn next_offer(
        &mut self,
        now: time::Duration,
        job: &mut Job,
        refused_at: key::Sidecar,
        code: code::Code,
        refusals: usize,
    ) -> Option<Offer> {
        let mut random = self.random;
        let offer = self.next_offer_by(now, job, refused_at, code, refusals, 0.0, &mut random);
        self.random = random;
        offer
    }

    // The same by these random numbers, if `asked` is added to the customer's demand.
    #[expect(clippy::too_many_arguments, reason = "inputs of one decision")]
    pub(super) fn next_offer_by(
        &self,
        now: time::Duration,
        job: &mut Job,
        refused_at: key::Sidecar,
        code: code::Code,
        refusals: usize,
        asked: f64,
        random: &mut random::Random,
    ) -> Option<Offer> {
        // Another attempt of the request runs there, and its tries have to meet.
        if code == code::Code::RequestTried {
            return None;
        }
        job.excluded.push(refused_at);
        let second = (refusals <= MAX_REFUSALS_FOR_SECOND)
            .then(|| self.second_after_refusal(now, job))
            .flatten();
        if let Some(second) = second {
            return Some(Reason::SecondAfterRefusal.offer(second));
        }
        // The part is cached at its first home as well, and it may have room.
        let first = (refusals <= MAX_REFUSALS_FOR_SECOND)
            .then(|| self.first_home_with_room(now, job, refused_at))
            .flatten();
        if let Some(first) = first {
            return Some(Reason::FirstHome.offer(first));
        }
        let other = self.after_refusal_by(now, job, asked, random)?;
        Some(Reason::OtherHome.offer(other))
    }
}

impl Reason {
    // Returns the offer to this backend server.
    pub(super) fn offer(self, server: key::Sidecar) -> Offer {
        Offer {
            server,
            reason: self,
        }
    }
}
