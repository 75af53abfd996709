//! Prefill speed of an engine: how fast it reads prompts, learned from the times to first events.
//!
//! Load pattern: engines on different hardware, and single engines that slow down or recover. A
//! fixed rate that is too low refuses requests that would have been in time; one that is too high
//! hands over more than the engine can do.
//!
//! The time from hand-over to the first event is modelled as a line over the number of prompt
//! tokens read before it, the request's own included, and fitted by least squares with decaying
//! samples.

use std::time;

/// Initial rate in tokens per millisecond: the middle of published rates.
const INITIAL_TOKENS_PER_MS: f64 = 45.0;

/// Initial time to the first event of a prompt without tokens to read, in milliseconds: three to
/// five steps of about 20 ms.
const INITIAL_BASE_MS: f64 = 80.0;

/// Weight of the initial values, in samples.
const PRIOR_SAMPLES: f64 = 20.0;

/// Weight that a sample keeps with each later one. An engine in use gives a dozen samples a second,
/// so a change shows within some five seconds.
const SAMPLE_RETENTION: f64 = 0.985;

/// Multiple of the expected time to which a sample is capped, so that one stalled answer does not
/// make an engine look slow.
const MAX_SAMPLE_RATIO: f64 = 6.0;

/// Bounds of the rate, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 2.0;
const MAX_TOKENS_PER_MS: f64 = 200.0;

/// Bounds of the time without tokens, in milliseconds.
const BASE_MS_BOUNDS: (f64, f64) = (10.0, 1_000.0);

/// Estimate for one engine.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
    ms_per_token: f64,
    base_ms: f64,
    retention: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self::new(PRIOR_SAMPLES, SAMPLE_RETENTION)
    }
}

impl Estimate {
    /// Creates an estimate in which the initial values weigh as much as `prior` samples, and a
    /// sample keeps a share of `retention` of its weight with each later one.
    pub fn new(prior: f64, retention: f64) -> Self {
        // As if half of the samples had no tokens and the other half ten thousand.
        let (many, half) = (10_000.0, prior / 2.0);
        let long = INITIAL_BASE_MS + many / INITIAL_TOKENS_PER_MS;
        Self {
            n: prior,
            x: half * many,
            y: half * (INITIAL_BASE_MS + long),
            xx: half * many * many,
            xy: half * many * long,
            yy: half * (INITIAL_BASE_MS * INITIAL_BASE_MS + long * long),
            ms_per_token: 1.0 / INITIAL_TOKENS_PER_MS,
            base_ms: INITIAL_BASE_MS,
            retention,
        }
    }

    /// Returns the least and the greatest time to the first event of a prompt with this many tokens
    /// that any estimate has, in milliseconds.
    pub fn bounds_ms(tokens: f64) -> (f64, f64) {
        let (least, greatest) = BASE_MS_BOUNDS;
        let read_ms = |rate: f64| tokens / rate;
        (
            least + read_ms(MAX_TOKENS_PER_MS),
            greatest + read_ms(MIN_TOKENS_PER_MS),
        )
    }

    /// Returns the milliseconds to read this many tokens.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.ms_per_token
    }

    /// Returns the milliseconds from the end of reading to the first event.
    pub fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Returns the number of tokens read in this many milliseconds.
    pub fn tokens(&self, ms: f64) -> f64 {
        ms / self.ms_per_token
    }

    /// Returns the standard error of the expected time to the first event of a prompt with this many
    /// tokens, in milliseconds.
    pub fn error_ms(&self, tokens: f64) -> f64 {
        let (mean_x, mean_y) = (self.x / self.n, self.y / self.n);
        let (xx, xy) = (self.xx - self.x * mean_x, self.xy - self.x * mean_y);
        let yy = self.yy - self.y * mean_y;
        let slope = self.ms_per_token;
        let residual = (yy - 2.0 * slope * xy + slope * slope * xx).max(0.0) / self.n;
        let distance = (tokens - mean_x) * (tokens - mean_x) / xx.max(1.0);
        (residual * (1.0 / self.n + distance)).sqrt()
    }

    /// Reduces the weight of all samples to this share.
    pub fn decay(&mut self, share: f64) {
        for sum in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
            &mut self.yy,
        ] {
            *sum *= share;
        }
    }

    /// Adds a sample: the time to a first event, and the tokens read before it, the request's own
    /// included.
    pub fn sample(&mut self, tokens: f64, took: time::Duration) {
        let expected = self.base_ms + self.prefill_ms(tokens);
        let ms = (took.as_secs_f64() * 1e3).min(MAX_SAMPLE_RATIO * expected);
        self.decay(self.retention);
        self.n += 1.0;
        self.x += tokens;
        self.y += ms;
        self.xx += tokens * tokens;
        self.xy += tokens * ms;
        self.yy += ms * ms;
        self.fit();
    }

    fn fit(&mut self) {
        let spread = self.n * self.xx - self.x * self.x;
        // If all samples are alike, only the time without tokens can be determined, not the slope.
        if spread > self.n * self.n {
            let slope = (self.n * self.xy - self.x * self.y) / spread;
            self.ms_per_token = slope.clamp(1.0 / MAX_TOKENS_PER_MS, 1.0 / MIN_TOKENS_PER_MS);
        }
        let base_ms = (self.y - self.ms_per_token * self.x) / self.n;
        self.base_ms = base_ms.clamp(BASE_MS_BOUNDS.0, BASE_MS_BOUNDS.1);
    }
}
