//! Which backend servers are fit to get work.
//!
//! Faults: a sidecar or its engine goes silent, fails call after call, or is many times slower than
//! its peers. Without ejection a fast failure attracts all work, because it always has room; with
//! careless ejection a common cause (a bad request, an overload, the observer's own network) takes
//! out most of the fleet and the rest collapses. So ejection is bounded, ends in probation, and
//! slowness alone only moves a backend server to the end of the order: its slots still count.

use std::time;

use super::random;
use crate::key;

/// Silence after which a connection is dropped: three heartbeats of a second, so that one lost
/// packet with its resend does not count.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Failures in a row that eject. One in ten calls failing by chance gives five in a row once in
/// 100,000 calls.
pub const EJECTION_FAILURES: u32 = 5;
/// First time of ejection; doubled each time up to [`MAX_EJECTION_TIME`].
pub const BASE_EJECTION_TIME: time::Duration = time::Duration::from_secs(5);
/// Longest time of ejection: a repaired backend server is back within a minute.
pub const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(60);
/// Most ejected at once, as a share of all. What is left takes 1.43 times its load, and a fleet
/// that fails for a common cause keeps two thirds of its capacity.
pub const MAX_EJECTED_SHARE: f64 = 0.3;
/// Successes in a row that end probation, one call at a time.
pub const PROBATION_SUCCESSES: u32 = 3;
/// Times the median of its peers from which a backend server is slow. Prompts of different length
/// differ by less than this once averaged.
pub const SLOW_FACTOR: f64 = 3.0;
/// Answers before the speed of a backend server is judged.
pub const MIN_SAMPLES: u32 = 5;
/// Peers below which no median is taken.
pub const MIN_PEERS: usize = 3;
/// Weight of a new sample in the average: about the last ten answers.
const SMOOTHING: f64 = 0.2;

/// Fitness of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Fit.
    Healthy,
    /// Fit, but much slower than its peers: the last choice.
    Slow,
    /// May get one call at a time.
    Probation,
    /// Gets nothing.
    Ejected,
    /// Nothing was heard of it; its connection is to be dropped.
    Silent,
}

impl State {
    /// Whether it may get work at all.
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Healthy | Self::Slow | Self::Probation)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    In,
    Out {
        until: time::Duration,
    },
    /// Out no longer; calls of the trial that succeeded.
    Trial {
        passed: u32,
        running: bool,
    },
}

/// What is known of one backend server. A sidecar keeps one for its engine.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    last_heard: time::Duration,
    failures: u32,
    ejections: u32,
    phase: Phase,
    slow: bool,
    samples: u32,
    /// Average time for a unit of work, in milliseconds.
    pace: f64,
}

impl Server {
    /// A backend server heard of now.
    pub fn new(now: time::Duration) -> Self {
        Self {
            last_heard: now,
            failures: 0,
            ejections: 0,
            phase: Phase::In,
            slow: false,
            samples: 0,
            pace: 0.0,
        }
    }

    /// Something came from it: a heartbeat or any other frame.
    pub fn on_heartbeat(&mut self, now: time::Duration) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Its state.
    pub fn state(&self, now: time::Duration) -> State {
        if self.last_heard + SILENCE_TIMEOUT < now {
            return State::Silent;
        }
        match self.phase {
            Phase::Out { until } if now < until => State::Ejected,
            Phase::Out { .. } | Phase::Trial { running: false, .. } => State::Probation,
            Phase::Trial { running: true, .. } => State::Ejected,
            Phase::In if self.slow => State::Slow,
            Phase::In => State::Healthy,
        }
    }

    /// A call was handed over to it.
    pub fn on_call_started(&mut self) {
        match self.phase {
            Phase::Out { .. } => {
                self.phase = Phase::Trial {
                    passed: 0,
                    running: true,
                }
            }
            Phase::Trial { passed, .. } => {
                self.phase = Phase::Trial {
                    passed,
                    running: true,
                }
            }
            Phase::In => {}
        }
    }

    /// A call ended well and took this long for a unit of work, such as a token.
    pub fn on_success(&mut self, now: time::Duration, pace: time::Duration) {
        self.on_heartbeat(now);
        self.failures = 0;
        let pace = pace.as_secs_f64() * 1e3;
        let weight = if self.samples == 0 { 1.0 } else { SMOOTHING };
        self.pace += weight * (pace - self.pace);
        self.samples = self.samples.saturating_add(1);
        if let Phase::Trial { passed, .. } = self.phase {
            self.phase = Phase::Trial {
                passed: passed + 1,
                running: false,
            };
            if passed + 1 >= PROBATION_SUCCESSES {
                self.phase = Phase::In;
            }
        }
    }

    /// A call ended without success or failure, for example by its caller.
    pub fn on_cancelled(&mut self) {
        if let Phase::Trial { passed, .. } = self.phase {
            self.phase = Phase::Trial {
                passed,
                running: false,
            };
        }
    }

    /// A call failed through its fault. Ejects it if it failed often enough and `allowed`.
    pub fn on_failure(&mut self, now: time::Duration, allowed: bool, rng: &mut random::Random) {
        self.failures = self.failures.saturating_add(1);
        let trial = matches!(self.phase, Phase::Trial { .. });
        let due = self.phase == Phase::In && self.failures >= EJECTION_FAILURES && allowed;
        if !trial && !due {
            return;
        }
        let doubled = 2_u32.saturating_pow(self.ejections.min(8));
        let time = BASE_EJECTION_TIME
            .saturating_mul(doubled)
            .min(MAX_EJECTION_TIME);
        // Entries that ejected it together must not all try it again together.
        let until = now + time.mul_f64(0.8 + 0.4 * rng.unit());
        self.phase = Phase::Out { until };
        self.ejections += 1;
        self.failures = 0;
    }

    fn out(&self) -> bool {
        self.phase != Phase::In
    }
}

/// All backend servers of one service, as one process sees them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: slotmap::SecondaryMap<key::Sidecar, Server>,
    paces: Vec<f64>,
}

impl Table {
    /// Adds one, or takes it back after a new connection.
    pub fn add(&mut self, now: time::Duration, sidecar: key::Sidecar) {
        match self.peers.get_mut(sidecar) {
            Some(peer) => peer.on_heartbeat(now),
            None => {
                self.peers.insert(sidecar, Server::new(now));
            }
        }
    }

    /// Forgets one.
    pub fn remove(&mut self, sidecar: key::Sidecar) {
        self.peers.remove(sidecar);
    }

    /// One of them.
    pub fn get_mut(&mut self, sidecar: key::Sidecar) -> Option<&mut Server> {
        self.peers.get_mut(sidecar)
    }

    /// The state of one; one that is not known is silent.
    pub fn state(&self, now: time::Duration, sidecar: key::Sidecar) -> State {
        let peer = self.peers.get(sidecar);
        peer.map_or(State::Silent, |p| p.state(now))
    }

    /// A call failed through the backend server's fault.
    pub fn on_failure(
        &mut self,
        now: time::Duration,
        sidecar: key::Sidecar,
        rng: &mut random::Random,
    ) {
        let out = self.peers.values().filter(|p| p.out()).count();
        let allowed = out < max_ejected(self.peers.len());
        if let Some(peer) = self.peers.get_mut(sidecar) {
            peer.on_failure(now, allowed, rng);
        }
    }

    /// Compares speeds. Call it about once a second, not for each decision.
    pub fn update_slow_servers(&mut self) {
        self.paces.clear();
        let judged = self.peers.values().filter(|p| p.samples >= MIN_SAMPLES);
        self.paces.extend(judged.map(|p| p.pace));
        if self.paces.len() < MIN_PEERS {
            return;
        }
        // The lower median: of few peers, the slow one must not be the measure.
        let middle = (self.paces.len() - 1) / 2;
        let (_, median, _) = self.paces.select_nth_unstable_by(middle, f64::total_cmp);
        let limit = *median * SLOW_FACTOR;
        for peer in self.peers.values_mut() {
            peer.slow = peer.samples >= MIN_SAMPLES && peer.pace > limit;
        }
    }
}

/// How many of `all` may be out at once: of two or more at least one.
pub fn max_ejected(all: usize) -> usize {
    let share = (all as f64 * MAX_EJECTED_SHARE) as usize;
    share.max(usize::from(all > 1))
}
