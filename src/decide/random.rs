//! Seeded random number generator, so that the same inputs and seed give the same decisions.
//!
//! Load pattern: many processes that choose by the same rule at the same time. Without randomness
//! they all make the same choice; with an unseeded generator no run could be repeated.

use smallvec::SmallVec;

/// Splitmix64 (Steele, Lea & Flood, OOPSLA 2014): one addition and three mixing steps per number.
#[derive(Clone, Copy, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator whose numbers depend only on the seed.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a random number in `0..bound`; 0 if the bound is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        // The high half of the product is uniform except for a bias of bound / 2^64.
        ((u128::from(self.bits()) * bound as u128) >> 64) as usize
    }

    /// Returns up to `count` different random numbers in `0..bound` (Floyd's sampling without
    /// replacement; Bentley and Floyd, CACM 1987).
    pub fn sample(&mut self, bound: usize, count: usize) -> SmallVec<[usize; 8]> {
        let mut drawn = SmallVec::new();
        for last in bound.saturating_sub(count)..bound {
            let draw = self.below(last + 1);
            drawn.push(if drawn.contains(&draw) { last } else { draw });
        }
        drawn
    }
}
