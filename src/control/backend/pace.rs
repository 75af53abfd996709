//! Recent pace of the backend server, for operators: smoothed times to the first token and between
//! two tokens.

use std::time;

/// Weight of a new sample: about the last ten answers.
const SMOOTHING: f64 = 0.2;

/// Smoothed times, zero before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first_token: Option<time::Duration>,
    between_tokens: Option<time::Duration>,
}

impl Pace {
    /// Time to the first token.
    pub fn first_token(&self) -> time::Duration {
        self.first_token.unwrap_or_default()
    }

    /// Time between two tokens.
    pub fn between_tokens(&self) -> time::Duration {
        self.between_tokens.unwrap_or_default()
    }

    /// An answer's first token has come.
    pub fn began(&mut self, took: time::Duration) {
        self.first_token = Some(smoothed(self.first_token, took));
    }

    /// An answer has ended; `took` is its mean time between tokens.
    pub fn ended(&mut self, took: time::Duration) {
        self.between_tokens = Some(smoothed(self.between_tokens, took));
    }
}

fn smoothed(old: Option<time::Duration>, new: time::Duration) -> time::Duration {
    old.map_or(new, |old| {
        old.mul_f64(1.0 - SMOOTHING) + new.mul_f64(SMOOTHING)
    })
}
