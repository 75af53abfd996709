//! Seeded random number generator, so that runs with the same configuration are identical.

use std::time;

/// `SplitMix64` (Steele et al., OOPSLA 2014).
#[derive(Clone, Copy, Debug)]
pub struct Rng(pub u64);

impl Rng {
    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number uniformly distributed in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an integer uniformly distributed in [0, n).
    pub fn below(&mut self, n: usize) -> usize {
        (self.next_f64() * n as f64) as usize
    }

    /// Returns a log-uniformly distributed integer between two bounds: as costs of requests, many
    /// small ones and a few large ones.
    pub fn log_uniform(&mut self, (low, high): (u64, u64)) -> u64 {
        let (low, high) = (low as f64, high as f64);
        (low * (high / low).powf(self.next_f64())).round() as u64
    }

    /// Returns an exponentially distributed time to the next arrival, for a rate per second.
    pub fn arrival_interval(&mut self, per_s: f64) -> time::Duration {
        let exact = -(1.0 - self.next_f64()).ln() / per_s;
        time::Duration::from_secs_f64(exact.min(1e6))
    }
}
