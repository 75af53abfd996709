//! Smoothed times to the first token and between two tokens of the backend server, for operators.

use std::time;

/// Weight of a new sample: the mean covers about the last ten responses.
const SMOOTHING: f64 = 0.2;

/// Smoothed times, zero before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first_token: Option<time::Duration>,
    between_tokens: Option<time::Duration>,
}

impl Pace {
    /// Returns the time to the first token.
    pub fn first_token(&self) -> time::Duration {
        self.first_token.unwrap_or_default()
    }

    /// Returns the time between two tokens.
    pub fn between_tokens(&self) -> time::Duration {
        self.between_tokens.unwrap_or_default()
    }

    /// Adds the time to the first token of a response.
    pub fn add_first_token(&mut self, took: time::Duration) {
        self.first_token = Some(smoothed(self.first_token, took));
    }

    /// Adds the mean time between two tokens of a response that has ended.
    pub fn add_between_tokens(&mut self, took: time::Duration) {
        self.between_tokens = Some(smoothed(self.between_tokens, took));
    }
}

fn smoothed(old: Option<time::Duration>, new: time::Duration) -> time::Duration {
    old.map_or(new, |old| {
        old.mul_f64(1.0 - SMOOTHING) + new.mul_f64(SMOOTHING)
    })
}
