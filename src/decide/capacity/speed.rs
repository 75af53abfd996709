//! Learned speed of a model engine relative to the other engines of its service, and the weight
//! that follows from it for the homes of prompt parts.
//!
//! Load pattern: engines of one service differ in speed, and single ones slow down for seconds.
//! With equal shares of the prompt parts the slow ones refuse most of what reaches them, and what
//! they accept is late, while the others have room.
//!
//! The entry that decides about an engine sees all its first events, and so alone sets the weight;
//! the others use the one that it reports. Weights are in coarse steps with hysteresis, since each
//! change moves prompt parts, which are then read again. They are relative to the median: if all
//! engines slow down together, that is load, and no weight changes.

use std::time;

use crate::decide::prefill;

/// Prompt length in tokens for which engines are compared: a usual prompt whose shared parts are
/// cached.
const TYPICAL_TOKENS: f64 = 4_000.0;

/// Number of answers before an engine's speed counts as known: a second of usual load.
const MIN_SAMPLES: u32 = 12;

/// Weight of the initial speed, in answers.
const PRIOR_SAMPLES: f64 = 2.0;

/// Weight that an answer keeps with each later one. A change shows within some twenty answers.
const SAMPLE_RETENTION: f64 = 0.97;

/// Time in which an answer loses half of its weight. A slow engine gets few requests, and must not
/// stay slow here for long after it has recovered.
const SAMPLE_HALF_LIFE: time::Duration = time::Duration::from_secs(4);

/// Minimum number of engines with a known speed for a comparison.
const MIN_PEERS: usize = 4;

/// Time after which this entry's own answers no longer show that it decides about the engine.
const OWN_LIFETIME: time::Duration = time::Duration::from_secs(5);

/// Number of steps of the weight, each a factor of two, for a factor of two in speed: the weight is
/// the square of the relative speed. Callers wait no longer for a slow engine than for a fast one,
/// so it can be loaded to less than its proportion.
const STEPS_PER_OCTAVE: f64 = 2.0;

/// Lowest and highest step. Even the slowest engine gets enough requests to show that it has
/// recovered.
const STEP_RANGE: (i8, i8) = (-3, 0);

/// Difference from the step in force, in steps, from which the weight falls.
const MIN_SLOWDOWN: f64 = 1.0;

/// Difference from which it rises: smaller, so that a step down is taken back completely.
const MIN_RECOVERY: f64 = 0.6;

/// Number of standard errors by which a slow engine must differ at least: the requests that two engines
/// happen to get make them look different.
const ERRORS: f64 = 2.0;

/// Time for which the difference must last, so that one stalled answer doesn't move prompt parts.
const MIN_DURATION: time::Duration = time::Duration::from_millis(700);

/// Lag of this process from which an answer doesn't count: part of its time was spent here. It is an
/// eighth of the time that a typical prompt takes.
const MAX_LAG: time::Duration = time::Duration::from_millis(20);

/// Speed of one engine as an entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    estimate: prefill::Estimate,
    // Tokens per millisecond of a typical prompt, until its first event; 0 if unknown.
    rate: f64,
    // Relative standard error of that.
    error: f64,
    step: i8,
    samples: u32,
    sampled_at: Option<time::Duration>,
    differs_since: Option<time::Duration>,
}

/// What the deciding entry reports to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Tokens per millisecond of a typical prompt, until its first event; 0 if unknown.
    pub tokens_per_ms: f64,
    /// Step of the weight.
    pub step: i8,
}

/// A change of an engine's weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Weight until now.
    pub before: f64,
    /// Weight from now on.
    pub after: f64,
    /// Speed of the engine in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Median speed of the engines of the service.
    pub median: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            estimate: prefill::Estimate::new(PRIOR_SAMPLES, SAMPLE_RETENTION),
            rate: 0.0,
            error: 0.0,
            step: 0,
            samples: 0,
            sampled_at: None,
            differs_since: None,
        }
    }
}

impl Speed {
    /// Adds a first event that arrived now, `took` after its request was sent, with the number of
    /// prompt tokens that were read meanwhile. It doesn't count if this process is behind by `lag`.
    pub fn sample(
        &mut self,
        now: time::Duration,
        tokens: f64,
        took: time::Duration,
        lag: time::Duration,
    ) {
        if lag >= MAX_LAG {
            return;
        }
        if !self.is_own(now) {
            self.samples = 0;
            self.estimate = prefill::Estimate::new(PRIOR_SAMPLES, SAMPLE_RETENTION);
        }
        let idle = now.saturating_sub(self.sampled_at.unwrap_or(now));
        let half_lives = idle.as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64();
        self.estimate.decay((-half_lives).exp2());
        self.estimate.sample(tokens, took);
        self.samples += 1;
        self.sampled_at = Some(now);
        if self.samples >= MIN_SAMPLES {
            let ms = self.estimate.base_ms() + self.estimate.prefill_ms(TYPICAL_TOKENS);
            self.rate = TYPICAL_TOKENS / ms;
            self.error = self.estimate.error_ms(TYPICAL_TOKENS) / ms;
        }
    }

    /// Applies what the entry reports that decides about the engine. It is ignored while answers
    /// show that this entry decides.
    pub fn on_report(&mut self, now: time::Duration, report: Report) {
        if report.tokens_per_ms > 0.0 && !self.is_own(now) {
            self.rate = report.tokens_per_ms;
            self.step = report.step.clamp(STEP_RANGE.0, STEP_RANGE.1);
        }
    }

    /// Returns what this entry reports to others, if it decides about the engine. A new deciding
    /// entry reports what the previous one did until it has learned the speed itself.
    pub fn report(&self, now: time::Duration) -> Option<Report> {
        let is_known = self.rate > 0.0 && self.is_own(now);
        is_known.then_some(Report {
            tokens_per_ms: self.rate,
            step: self.step,
        })
    }

    /// Returns the speed in tokens per millisecond of a typical prompt, if it is known.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
    }

    /// Returns the speed in tokens per millisecond while a prompt is read, if it is known, where the
    /// first event follows `base_ms` after the end of reading.
    pub fn reading_tokens_per_ms(&self, base_ms: f64) -> Option<f64> {
        let ms = TYPICAL_TOKENS / self.tokens_per_ms()?;
        Some(TYPICAL_TOKENS / (ms - base_ms).max(1.0))
    }

    /// Returns the weight of the engine; 1 if its speed is that of most.
    pub fn weight(&self) -> f64 {
        weight(self.step)
    }

    /// Adapts the weight of an engine that this entry decides about, given the median speed of its
    /// service; returns the change if there is one.
    pub fn update(&mut self, now: time::Duration, median: f64) -> Option<Change> {
        if !self.is_own(now) || self.samples < MIN_SAMPLES {
            self.differs_since = None;
            return None;
        }
        let exact = steps(self.rate / median);
        let bound = steps(1.0 + ERRORS * self.error);
        let difference = exact - f64::from(self.step);
        if difference > -MIN_SLOWDOWN - bound && difference < MIN_RECOVERY {
            self.differs_since = None;
            return None;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now < since + MIN_DURATION {
            return None;
        }
        self.differs_since = None;
        let step = (exact.round() as i8).clamp(STEP_RANGE.0, STEP_RANGE.1);
        let before = std::mem::replace(&mut self.step, step);
        (before != step).then_some(Change {
            before: weight(before),
            after: weight(step),
            tokens_per_ms: self.rate,
            median,
        })
    }

    fn is_own(&self, now: time::Duration) -> bool {
        self.sampled_at.is_some_and(|at| now < at + OWN_LIFETIME)
    }
}

/// Returns the median speed, or `None` if too few are known.
pub fn median(speeds: &mut [f64]) -> Option<f64> {
    if speeds.len() < MIN_PEERS {
        return None;
    }
    let middle = speeds.len() / 2;
    let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn steps(ratio: f64) -> f64 {
    ratio.log2() * STEPS_PER_OCTAVE
}

fn weight(step: i8) -> f64 {
    f64::from(step).exp2()
}
