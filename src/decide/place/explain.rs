//! Explains where a request would go now and why, by the same functions that place it.
//!
//! Load pattern: a fleet under load, and an operator who asks why a customer's request is refused or
//! goes to a busy engine. Sending it to find out changes what it is sent to. So the question has no
//! effect: it uses a copy of the random numbers, and looked-up values are put back.

use std::time;

use smallvec::SmallVec;

use super::{Estimate, Fleet, Job, Offer, Reason, Server, State};
use crate::decide::{binding, feature, random};
use crate::{code, key};

/// Maximum number of backend servers in an explanation, to bound its size in a fleet of thousands.
pub const MAX_CANDIDATES: usize = 64;

/// Decision about a request at one backend server, without its effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Judgement {
    /// The request is sent now.
    Start,
    /// The request waits at most until this time.
    Wait(time::Duration),
    /// The request is refused and may be retried after this time.
    Refuse(code::Code, time::Duration),
}

/// Terms of decisions that may be switched off; `None` where they are off or nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Learned reading speed in tokens per millisecond.
    pub tokens_per_ms: Option<f64>,
    /// Weight of the backend server among the homes of prompt parts.
    pub home_weight: Option<f64>,
    /// Cost as a second home, in milliseconds.
    pub second_home_ms: Option<f64>,
}

/// A backend server of the request's service, with what a decision there is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: key::Sidecar,
    /// Position in the order of preference, from 1; `None` if it may not get the request, or is far
    /// behind in the order.
    pub rank: Option<u32>,
    /// What it may be used for.
    pub state: State,
    /// Version of its software.
    pub version: binding::Version,
    /// True if it is a model engine.
    pub is_engine: bool,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens sent and not yet read.
    pub unread_tokens: f64,
    /// Prompt tokens of the requests that wait for it.
    pub queued_tokens: f64,
    /// Remaining time for which it is cold.
    pub cold: time::Duration,
    /// Engine that it would fetch parts of the prompt from.
    pub fetch_source: Option<key::Sidecar>,
    /// Load and limits.
    pub estimate: Estimate,
    /// Terms of decisions that may be switched off.
    pub terms: Terms,
    /// What would be decided about the request there.
    pub judgement: Judgement,
}

/// A backend server that the request would be offered to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The backend server, and why it is offered to that one.
    pub offer: Offer,
    /// Load and limits that the decision is based on.
    pub estimate: Estimate,
    /// The decision.
    pub judgement: Judgement,
}

/// Where a request would go now.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Backend servers of its service: those that may get it in order of preference, then others.
    pub candidates: Vec<Candidate>,
    /// Number of further backend servers of the service.
    pub left_out: usize,
    /// Backend servers that it is offered to in turn; the last step decides. Empty if there is none.
    pub steps: SmallVec<[Step; 4]>,
    /// Recent service of its customer relative to the customer with the most, from 0 to 1.
    pub served_share: f64,
    /// True if its customer is so far below its share that it is offered to other homes.
    pub is_starved: bool,
}

impl Fleet {
    /// Explains where a request would go if it arrived now. `leaves` says which backend servers this
    /// entry may not decide about and can't ask anyone about. Nothing changes.
    pub fn explain(
        &self,
        now: time::Duration,
        job: &Job,
        leaves: impl Fn(key::Sidecar) -> bool,
    ) -> Explanation {
        self.recent_service.without_caching(|| {
            let steps = self.steps(now, job, leaves);
            let (candidates, left_out) = self.candidates(now, job, &steps);
            Explanation {
                candidates,
                left_out,
                steps,
                served_share: self.served_share(now, job.customer),
                is_starved: self.is_starved_with(now, job.customer, job.cost as f64),
            }
        })
    }

    fn steps(
        &self,
        now: time::Duration,
        job: &Job,
        leaves: impl Fn(key::Sidecar) -> bool,
    ) -> SmallVec<[Step; 4]> {
        let (mut job, mut random) = (job.clone(), self.random);
        let mut steps = SmallVec::new();
        let mut next = self.first_offer_by(now, &job, &mut random);
        let mut refusals = 0;
        while let Some(offer) = next {
            let server = offer.server;
            if leaves(server) {
                job.excluded.push(server);
                let home = self.choose_by(&job, &mut random);
                next = home.map(|at| Reason::Home.offer(at));
                continue;
            }
            let estimate = self.estimate(now, &job, server);
            let judgement = self.judge(now, &job, server, &estimate, &mut random);
            steps.push(Step {
                offer,
                estimate,
                judgement,
            });
            let Judgement::Refuse(code, _) = judgement else {
                break;
            };
            refusals += 1;
            // Demand is counted when a request arrives, which this one has not.
            let asked = job.cost as f64;
            next = self.next_offer_by(now, &mut job, server, code, refusals, asked, &mut random);
        }
        steps
    }

    fn candidates(
        &self,
        now: time::Duration,
        job: &Job,
        steps: &[Step],
    ) -> (Vec<Candidate>, usize) {
        let mut order: Vec<key::Sidecar> = match job.home_target() {
            Some(target) => self.homes.first(job, target, MAX_CANDIDATES).to_vec(),
            None => self.rank_servers(job, &mut self.random.clone()).to_vec(),
        };
        order.truncate(MAX_CANDIDATES);
        let ranked = (1..).zip(&order).map(|(rank, at)| (*at, Some(rank)));
        let mut listed: Vec<(key::Sidecar, Option<u32>)> = ranked.collect();
        let of_service = |(_, s): &(key::Sidecar, &Server)| s.service == job.service;
        let all = || self.servers.iter().filter(of_service);
        // Draining and unusable ones, and those of other versions, in an order that stays the same.
        let mut others: Vec<_> = all()
            .filter(|(at, s)| !s.is_ready() || !job.accepts(s.version) || job.excluded.contains(at))
            .map(|(at, s)| (s.hash, at))
            .collect();
        others.sort_unstable();
        listed.extend(others.iter().map(|(_, at)| (*at, None)));
        listed.truncate(MAX_CANDIDATES);
        let is_missing = |step: &&Step| listed.iter().all(|(at, _)| *at != step.offer.server);
        let missing: Vec<_> = steps.iter().filter(is_missing).collect();
        listed.truncate(MAX_CANDIDATES - missing.len());
        listed.extend(missing.iter().map(|step| (step.offer.server, None)));
        let candidate =
            |(at, rank): &(key::Sidecar, Option<u32>)| self.candidate(now, job, *at, *rank, steps);
        let candidates: Vec<_> = listed.iter().map(candidate).collect();
        let left_out = all().count() - candidates.len();
        (candidates, left_out)
    }

    fn candidate(
        &self,
        now: time::Duration,
        job: &Job,
        at: key::Sidecar,
        rank: Option<u32>,
        steps: &[Step],
    ) -> Candidate {
        let server = &self.servers[at];
        let step = steps.iter().find(|step| step.offer.server == at);
        let estimate = step.map_or_else(|| self.estimate(now, job, at), |s| s.estimate);
        let judge = || {
            self.judge(
                now,
                job,
                at,
                &estimate,
                &mut random::Random::new(server.hash),
            )
        };
        let own_queued: f64 = server.queue.iter().map(|w| w.tokens).sum();
        Candidate {
            server: at,
            rank,
            state: server.state,
            version: server.version,
            is_engine: server.is_engine,
            slots: server.slots,
            unread_tokens: server.unread_tokens(),
            queued_tokens: own_queued + server.peers.queued_tokens,
            cold: self.cold_for(now, at),
            fetch_source: self.fetch_source(now, job, at),
            estimate,
            terms: Terms {
                second_home_ms: self.second_home_ms(now, job, at),
                ..terms(server, self.features)
            },
            judgement: step.map_or_else(judge, |s| s.judgement),
        }
    }
}

fn terms(server: &Server, features: feature::Features) -> Terms {
    let is_learned = features.learned_capacity && server.is_engine;
    Terms {
        tokens_per_ms: server.speed.tokens_per_ms().filter(|_| is_learned),
        home_weight: is_learned.then(|| server.speed.weight()),
        ..Terms::default()
    }
}
