//! Chooses a backend server for each request that is not queued by a sidecar, decides when the
//! request is sent, and refuses requests that can't be answered in time.
//!
//! Load pattern: model engines cache the prompt parts that they have read, admit requests in order
//! of arrival and never return one. Without an assignment of parts to engines, every engine reads
//! every part again. Without a bound on the prompts sent to an engine, a burst waits in the
//! engine's own queue, where fairness between customers has no effect and all requests are late.
//! Without early refusal, requests wait for answers that come too late.
//!
//! A request goes to the home of its last shared prompt part, the backend server with the greatest
//! hash of part and server id (rendezvous hashing: Thaler and Ravishankar, 1998). All entries
//! compute the same home without communication, and losing a backend server moves only its own
//! parts. The request is sent while the prompt tokens that the engine has yet to read stay under
//! `server::MAX_UNREAD_MS`, or if `reading` expects that. Otherwise it waits in this queue, which serves the customer with the
//! least recent service first. If it can't be in time at its home, it is refused at once: a second
//! home could answer in time, but reading the part again there costs the fleet more than the
//! request is worth (`docs/DECISIONS-UNDER-LOAD.md`), unless `second` finds it a place where that
//! costs little. Requests of customers that are below their
//! share of the fleet wait longer, and try a second home if the customer is starved.
//!
//! A plain backend server caches nothing. A request goes to the better of two random ones, waits as
//! long as it can still be in time by the measured service time, and is refused after that.
//!
//! Times are durations since the process started.

mod cold;
mod explain;
mod fetch;
mod homes;
mod job;
mod offer;
mod reading;
mod second;
mod server;
mod share;
mod state;
mod weight;

use std::{collections, time};

use slotmap::SlotMap;
use smallvec::SmallVec;

pub use self::cold::share as cold_share;
pub use self::explain::{Candidate, Explanation, Judgement, MAX_CANDIDATES, Step, Terms};
pub use self::job::{Job, Part, due_time, objective};
pub use self::offer::{Offer, Reason};
use self::server::{Queued, Server};
pub use self::share::MAX_OTHER_HOMES;
pub use self::state::{Load, ServerInfo, State};
use super::{binding, feature, quarantine, random, recent};
use crate::{code, key};

/// Maximum number of requests that wait for one backend server: more than it can read within the
/// longest objective.
const MAX_QUEUED: usize = 256;

/// The same for those that may wait for longer than their objective, so that they leave room for others.
const MAX_QUEUED_BEGUN: usize = MAX_QUEUED / 2;

/// Time for which an expired request stays in the queue if its wait was not cancelled.
const EXPIRED_RETENTION: time::Duration = time::Duration::from_secs(1);

/// Minimum time before a caller may retry after a refusal. A prompt or two are read meanwhile, and
/// entries with little processor time can handle the retries.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);

/// A request that was assigned to a backend server. Return it with [`Fleet::release`].
#[derive(Debug)]
pub struct Placement {
    /// Backend server that the request is sent to.
    pub server: key::Sidecar,
    /// Prompt tokens that the backend server is expected to read.
    pub tokens: f64,
    /// Time to read the prompts ahead of this one, in milliseconds: by the forecast, if it is used,
    /// otherwise of all without a first event.
    pub ahead_ms: f64,
    /// Engine that the backend server fetches prompt parts from.
    pub fetch_source: Option<key::Sidecar>,
    // Prompt tokens ahead of this request's own.
    ahead_tokens: f64,
    started_at: time::Duration,
    customer: key::Customer,
    cost: f64,
    is_reading: bool,
    // True if the backend server had nothing to read when it was sent.
    is_alone: bool,
    suspect: Option<quarantine::Fingerprint>,
}

/// Decision about a request.
#[derive(Debug)]
pub enum Verdict {
    /// The request is sent now.
    Start(Placement),
    /// The request waits under this ticket until [`Fleet::start_next`] returns it or this time has
    /// come.
    Wait(Ticket, time::Duration),
    /// The request is refused and may be retried after this time.
    Refuse(code::Code, time::Duration),
}

/// Identifies the queue in which a request waits.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    server: key::Sidecar,
}

/// Load and limits that a decision about a request at a backend server is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Time to read the prompts that were sent and not yet read, in milliseconds.
    pub ahead_ms: f64,
    /// Expected wait behind those prompts and the waiting requests that are served before this one,
    /// in milliseconds.
    pub wait_ms: f64,
    /// Maximum time that the request may wait, in milliseconds.
    pub max_wait_ms: f64,
    /// Requests in progress at the backend server.
    pub in_flight: u32,
    /// Requests that wait for the backend server.
    pub queued: u32,
    /// Recent service of the customer relative to the customer with the most, from 0 to 1.
    pub served_share: f64,
    /// Prompt tokens that an engine would have to read for the request.
    pub tokens: f64,
}

/// The backend servers as one entry sees them, with their load and queues.
#[derive(Debug)]
pub struct Fleet {
    servers: SlotMap<key::Sidecar, Server>,
    // Those of the servers that are ready.
    homes: homes::Homes,
    recent_service: recent::Table,
    recent_demand: recent::Table,
    random: random::Random,
    // Part of the rate of cold backend servers that this entry uses.
    cold_share: f64,
    // Share of its due below which a customer is starved.
    starved_share: f64,
    features: feature::Features,
    // Milliseconds to fetch a token, by service, where it is known.
    fetch_ms: collections::HashMap<u32, f64>,
    // Age that the loads reported by peers reach before newer ones arrive.
    load_age: time::Duration,
    // By how much this process is behind its work.
    lag: time::Duration,
    // Requests that were sent because of a forecast.
    early_starts: u64,
}

impl Fleet {
    /// Returns a fleet without backend servers.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: SlotMap::with_key(),
            homes: homes::Homes::default(),
            recent_service: recent::Table::default(),
            recent_demand: recent::Table::default(),
            random: random::Random::new(seed),
            cold_share: 1.0,
            starved_share: share::STARVED_SHARE,
            features: feature::Features::default(),
            fetch_ms: collections::HashMap::new(),
            load_age: time::Duration::ZERO,
            lag: time::Duration::ZERO,
            early_starts: 0,
        }
    }

    /// Sets which decisions are switched on.
    pub fn set_features(&mut self, features: feature::Features) {
        self.features = features;
    }

    /// Sets by how much this process is behind its work.
    pub fn set_lag(&mut self, lag: time::Duration) {
        self.lag = lag;
    }

    /// Adds a backend server and returns its key.
    pub fn add(&mut self, now: time::Duration, info: ServerInfo<'_>) -> key::Sidecar {
        let key = self.servers.insert(Server::new(now, info));
        self.homes.insert(key, &self.servers[key]);
        key
    }

    /// Removes a backend server and returns the requests that waited for it.
    pub fn remove(&mut self, server: key::Sidecar) -> Vec<u64> {
        let gone = self.servers.remove(server);
        if let Some(gone) = &gone {
            self.homes.remove(gone.service, server);
        }
        gone.map_or_else(Vec::new, |s| {
            s.queue.into_iter().map(|w| w.request).collect()
        })
    }

    /// Sets what a backend server may be used for. Returns the requests that waited for it and have
    /// to be placed again, if it gets no new requests.
    pub fn set_state(
        &mut self,
        now: time::Duration,
        server: key::Sidecar,
        state: State,
    ) -> Vec<u64> {
        let Some(known) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        let before = std::mem::replace(&mut known.state, state);
        if state == State::Ready {
            if before != State::Ready {
                known.ready_since = now;
                self.homes.insert(server, known);
            }
            return Vec::new();
        }
        if before == State::Ready {
            self.homes.remove(known.service, server);
        }
        known.queue.drain(..).map(|w| w.request).collect()
    }

    /// Sets the version of a backend server's software, once it is known.
    pub fn set_version(&mut self, at: key::Sidecar, version: binding::Version) {
        let Some(server) = self.servers.get_mut(at) else {
            return;
        };
        server.version = version;
        server.begins_streams = true;
        if server.is_ready() {
            self.homes.remove(server.service, at);
            self.homes.insert(at, server);
        }
    }

    /// Returns whether backend servers of several versions get requests of a service.
    pub fn is_mixed(&self, service: u32) -> bool {
        self.homes.are_mixed(service)
    }

    /// Returns whether a backend server of this version gets requests of a service, or may get them
    /// again.
    pub fn has_version(&self, service: u32, version: binding::Version) -> bool {
        let is_of_version = |s: &Server| s.service == service && s.version == version;
        let mut servers = self.servers.values();
        servers.any(|s| is_of_version(s) && s.state != State::Draining)
    }

    /// Returns the load that this entry has put on a backend server.
    pub fn own_load(&self, now: time::Duration, server: key::Sidecar) -> Load {
        let Some(known) = self.servers.get(server) else {
            return Load::default();
        };
        let speed = self.speed_report(now, known);
        let least = known
            .first_queued(now, &self.recent_service)
            .map(|(_, served)| served);
        let queued = || known.queue.iter().map(|w| w.tokens).sum();
        Load {
            least_service: least,
            tokens_per_ms: speed.tokens_per_ms,
            weight_step: speed.step,
            queued_tokens: if self.features.second_homes {
                queued()
            } else {
                0.0
            },
            ..known.own
        }
    }

    /// Sets the total load that all peers have put on a backend server.
    pub fn set_peer_load(&mut self, server: key::Sidecar, load: Load) {
        if let Some(known) = self.servers.get_mut(server) {
            known.peers = load;
        }
    }

    /// Returns the number of requests that wait for any backend server.
    pub fn queued(&self) -> usize {
        self.servers.values().map(|s| s.queue.len()).sum()
    }

    /// Returns the backend servers with waiting requests.
    pub fn with_queue(&self) -> SmallVec<[key::Sidecar; 32]> {
        let waits = |(at, s): (key::Sidecar, &Server)| (!s.queue.is_empty()).then_some(at);
        self.servers.iter().filter_map(waits).collect()
    }

    // Returns the home of a request that has one: at an engine, and wherever a suspect request runs.
    fn home(&self, job: &Job) -> Option<key::Sidecar> {
        let target = job.home_target()?;
        let home = self.homes.home(job, target)?;
        let has_home = self.servers[home].is_engine || job.suspect.is_some();
        has_home.then_some(home)
    }

    /// Returns the backend server that a request should go to.
    pub fn choose(&mut self, job: &Job) -> Option<key::Sidecar> {
        let mut random = self.random;
        let chosen = self.choose_by(job, &mut random);
        self.random = random;
        chosen
    }

    // Returns the backend server that a request should go to, by these random numbers.
    fn choose_by(&self, job: &Job, random: &mut random::Random) -> Option<key::Sidecar> {
        if let Some(home) = self.home(job) {
            return Some(home);
        }
        let order = self.rank_servers(job, random);
        let first = *order.first()?;
        if self.servers[first].is_engine {
            return Some(first);
        }
        // Takes the better of two random servers: loads are as old as the last heartbeat, so if
        // all entries chose the least loaded one, they would overload it (Mitzenmacher, 2000).
        let (one, other) = (random.below(order.len()), random.below(order.len()));
        Some(order[one.min(other)])
    }

    /// Returns the home of a stream among the backend servers at which it doesn't begin if others take it,
    /// since their versions aren't known yet.
    pub fn avoided_home(&self, job: &Job) -> Option<key::Sidecar> {
        self.homes.avoided(job)
    }

    /// Decides whether a request is sent to this backend server, waits for it or is refused.
    pub fn place_at(
        &mut self,
        now: time::Duration,
        request: u64,
        job: &Job,
        at: key::Sidecar,
    ) -> Verdict {
        let estimate = self.estimate(now, job, at);
        self.decide(now, request, job, at, estimate)
    }

    /// Returns the load and limits that a decision about a request at this backend server is
    /// based on.
    pub fn estimate(&self, now: time::Duration, job: &Job, at: key::Sidecar) -> Estimate {
        let Some(server) = self.servers.get(at) else {
            return Estimate::default();
        };
        let (tokens, _) = self.reading_cost(now, job, at);
        // Load pattern of a plain service: requests arrive at its rate or slightly above. It serves
        // the same number whatever the length of the queue, but with a long queue all of them are
        // late. So a request whose turn would come too late is refused at once, which keeps the
        // wait of the others short.
        let (wait_ms, max_wait_ms) = if server.is_engine {
            let below_share = self.is_below_share(now, job.customer);
            let max_wait = server.engine_max_wait_ms(now, job, tokens, below_share);
            (server.wait_ms(now, job, &self.recent_service), max_wait)
        } else {
            let max_wait = server.slot_max_wait_ms(now, job);
            (server.slot_ms(now, job, &self.recent_service), max_wait)
        };
        Estimate {
            tokens,
            ahead_ms: server.prefill.prefill_ms(server.unread_tokens()),
            wait_ms,
            max_wait_ms,
            in_flight: server.in_flight(),
            queued: server.queue.len() as u32,
            served_share: self.served_share(now, job.customer),
        }
    }

    /// Decides about a request for this backend server by an estimate that was just made.
    pub fn decide(
        &mut self,
        now: time::Duration,
        request: u64,
        job: &Job,
        at: key::Sidecar,
        estimate: Estimate,
    ) -> Verdict {
        let mut random = self.random;
        let judgement = self.judge(now, job, at, &estimate, &mut random);
        self.random = random;
        match judgement {
            Judgement::Start => Verdict::Start(self.start(now, at, job, estimate.tokens)),
            Judgement::Wait(until) => {
                self.servers[at].queue.push(Queued {
                    request,
                    job: job.clone(),
                    until,
                    tokens: estimate.tokens,
                });
                Verdict::Wait(Ticket { server: at }, until)
            }
            Judgement::Refuse(code, after) => Verdict::Refuse(code, after),
        }
    }

    // Decides about a request for this backend server, by these random numbers and without any
    // effect.
    fn judge(
        &self,
        now: time::Duration,
        job: &Job,
        at: key::Sidecar,
        estimate: &Estimate,
        random: &mut random::Random,
    ) -> Judgement {
        let server = self.servers.get(at).filter(|s| s.is_ready());
        let Some(server) = server else {
            return Judgement::Refuse(code::Code::NoBackendServer, MIN_RETRY_AFTER);
        };
        if let Some(code) = job
            .suspect
            .and_then(|request| server.suspect_refusal(request))
        {
            return Judgement::Refuse(code, MIN_RETRY_AFTER);
        }
        let (wait, max_wait) = (estimate.wait_ms, estimate.max_wait_ms);
        let room = || self.room(now, at, estimate.tokens, job.customer);
        let starts = self.is_first(now, server, job) && room().is_some();
        let in_time = if server.is_engine {
            wait <= max_wait || starts
        } else {
            wait <= max_wait.max(0.0)
        };
        if !in_time {
            return refuse(wait - max_wait, random);
        }
        if starts {
            return Judgement::Start;
        }
        let outwaits = |w: &&Queued| w.job.outwaits_objective(now);
        let has_begun = job.outwaits_objective(now);
        if server.queue.len() >= MAX_QUEUED
            || has_begun && server.queue.iter().filter(outwaits).count() >= MAX_QUEUED_BEGUN
        {
            return Judgement::Refuse(code::Code::QueueFull, MIN_RETRY_AFTER);
        }
        let below_share = self.is_below_share(now, job.customer);
        Judgement::Wait(server.start_by(now, job, estimate.tokens, below_share))
    }

    // Returns the usable backend servers in order of preference.
    fn rank_servers(&self, job: &Job, random: &mut random::Random) -> SmallVec<[key::Sidecar; 32]> {
        let target = job.home_target();
        let avoids_unknown = self.homes.avoids_unknown(job);
        let mut ranked: SmallVec<[(u64, key::Sidecar); 32]> = SmallVec::new();
        for (at, server) in &self.servers {
            let is_usable = server.service == job.service && server.is_ready();
            let is_accepted =
                job.accepts(server.version) && (server.begins_streams || !avoids_unknown);
            if !is_usable || !is_accepted || job.excluded.contains(&at) {
                continue;
            }
            let rank = if let Some(target) = target {
                !random::Random::new(target ^ server.hash).bits()
            } else {
                // Least load first; ties are broken by zone, then at random.
                let load = u64::from(server.in_flight()) + server.queue.len() as u64;
                let far = u64::from(!server.is_near);
                ((load * 2 + far) << 32) | (random.bits() >> 32)
            };
            ranked.push((rank, at));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    // Sends a request for which there was room for this many tokens.
    fn start(
        &mut self,
        now: time::Duration,
        at: key::Sidecar,
        job: &Job,
        room_tokens: f64,
    ) -> Placement {
        let (tokens, source) = self.reading_cost(now, job, at);
        let room = self.room(now, at, room_tokens, job.customer);
        let is_early = room == Some(reading::Room::Expected);
        self.early_starts += u64::from(is_early);
        let server = &mut self.servers[at];
        let is_alone = server.unread_tokens() < 1.0;
        let ahead = if self.features.steady_reading {
            server.expected_unread_tokens(now)
        } else {
            server.unread_tokens()
        };
        let ahead_ms = server.prefill.prefill_ms(ahead);
        server.own.in_flight += 1;
        server.own.unread_tokens += tokens;
        server.forecast.add(now, server.prefill.prefill_ms(tokens));
        if let Some(cold) = &mut server.cold {
            cold.take(now);
        }
        for part in &job.parts {
            server.cached_parts.insert(part.chain, now);
        }
        let cost = job.cost as f64;
        self.recent_service.add(now, job.customer, cost);
        server.suspect = server.suspect.or(job.suspect);
        Placement {
            server: at,
            tokens,
            ahead_ms,
            fetch_source: source,
            ahead_tokens: ahead,
            started_at: now,
            customer: job.customer,
            cost,
            is_reading: true,
            is_alone,
            suspect: job.suspect,
        }
    }

    /// Starts the next waiting request for which a backend server has room: the oldest of the
    /// customer with the least recent service.
    pub fn start_next(
        &mut self,
        now: time::Duration,
        at: key::Sidecar,
    ) -> Option<(u64, Placement)> {
        let server = self.servers.get(at)?;
        let (index, _) = server.first_queued(now, &self.recent_service)?;
        let customer = server.queue[index].job.customer;
        if !server.is_ready() || self.room(now, at, 0.0, customer).is_none() {
            return None;
        }
        let queued = self.servers[at].queue.remove(index);
        let placed = self.start(now, at, &queued.job, 0.0);
        Some((queued.request, placed))
    }

    /// Removes a request from the queue that it waits in.
    pub fn cancel_wait(&mut self, request: u64, ticket: Ticket) {
        if let Some(server) = self.servers.get_mut(ticket.server) {
            server.queue.retain(|w| w.request != request);
        }
    }

    /// Records the first event of an answer, which shows that the prompt has been read.
    pub fn record_first_event(&mut self, now: time::Duration, placed: &mut Placement) {
        if let Some(server) = self.servers.get_mut(placed.server)
            && placed.is_reading
            && server.is_engine
        {
            let took = now.saturating_sub(placed.started_at);
            let tokens = placed.ahead_tokens + placed.tokens;
            server.prefill.sample(tokens, took);
            if self.features.learned_capacity {
                server.speed.sample(now, tokens, took, self.lag);
            }
        }
        let was_reading = placed.is_reading;
        self.finish_reading(placed);
        if let Some(server) = self.servers.get_mut(placed.server).filter(|_| was_reading) {
            let read_ms = server.prefill.prefill_ms(placed.tokens);
            if placed.is_alone {
                let took = now.saturating_sub(placed.started_at);
                server.forecast.sample_alone(took, read_ms);
            }
            let remaining_ms = server.prefill.prefill_ms(server.own.unread_tokens);
            server.forecast.correct(now, remaining_ms);
        }
    }

    // Removes the prompt from the tokens that the backend server has yet to read.
    fn finish_reading(&mut self, placed: &mut Placement) {
        if !std::mem::take(&mut placed.is_reading) {
            return;
        }
        if let Some(server) = self.servers.get_mut(placed.server) {
            server.own.unread_tokens = (server.own.unread_tokens - placed.tokens).max(0.0);
        }
    }

    /// Ends a placement. If the request did not run (`served` is false), its cost is taken off the
    /// customer's recent service.
    pub fn release(&mut self, now: time::Duration, mut placed: Placement, served: bool) {
        let was_reading = placed.is_reading;
        self.finish_reading(&mut placed);
        if let Some(server) = self.servers.get_mut(placed.server) {
            if was_reading {
                let read_ms = server.prefill.prefill_ms(placed.tokens);
                server.forecast.remove(read_ms);
            }
            server.own.in_flight = server.own.in_flight.saturating_sub(1);
            if placed.suspect.is_some() {
                server.suspect = None;
            }
            if served && !server.is_engine {
                server.record_service_time(now.saturating_sub(placed.started_at));
            }
        }
        if !served {
            self.recent_service.add(now, placed.customer, -placed.cost);
        }
    }

    /// Forgets which prompt parts a backend server is assumed to cache.
    pub fn forget_parts(&mut self, at: key::Sidecar) {
        if let Some(server) = self.servers.get_mut(at) {
            server.cached_parts.clear();
        }
    }

    /// Forgets prompt parts that were not used for long and expired waits. Call it every few
    /// seconds.
    pub fn sweep(&mut self, now: time::Duration) {
        for (at, server) in &mut self.servers {
            if server.is_unknown_for_long(now) {
                server.begins_streams = true;
                self.homes.set_begins_streams(server.service, at);
            }
            server.sweep_parts(now);
            server.queue.retain(|w| now < w.until + EXPIRED_RETENTION);
        }
    }
}

// Refuses a request that would wait too long by this many milliseconds. Retries are spread over the
// same time again, so that callers don't return as one burst.
fn refuse(too_long_ms: f64, random: &mut random::Random) -> Judgement {
    let after = too_long_ms * (1.0 + random.unit());
    let after = time::Duration::from_secs_f64(after.max(0.0) / 1e3);
    Judgement::Refuse(code::Code::DeadlineUnreachable, after.max(MIN_RETRY_AFTER))
}
