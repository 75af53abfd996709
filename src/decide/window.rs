//! How many requests a backend server is given at once.
//!
//! Load pattern: engines batch continuously, know no priorities and give nothing back, so what was
//! handed over is beyond recall. With too small a window the engine idles between requests; with too
//! large a one tokens come late for everybody and the order of the queue no longer decides. The right
//! size depends on prompts and answers and changes with them.
//!
//! The window starts at the catalogue's figure. It grows by one after a round of answers that met
//! the goals while the window was used up, and shrinks by a tenth after a round in which more than
//! one in twenty missed a goal (additive increase, multiplicative decrease: Chiu and Jain, 1989).

use std::time;

/// Goal for the time to the first token; from the users' letter.
pub const FIRST_TOKEN_GOAL: time::Duration = time::Duration::from_millis(1_300);

/// Goal for the time between two tokens; from the users' letter.
pub const BETWEEN_TOKENS_GOAL: time::Duration = time::Duration::from_millis(65);

/// Answers in a hundred that may miss a goal; from the users' letter.
pub const MAX_MISSED_PERCENT: u32 = 5;

/// Fewest samples in a round: with fewer a single miss would be more than one in twenty.
pub const MIN_ROUND_SAMPLES: u32 = 20;

/// Factor after a round that missed: small, because the load of an engine is noisy and a window
/// that is a tenth too large costs little.
pub const DECREASE: f64 = 0.9;

/// Largest window, as a multiple of the catalogue's figure, so that an engine that answers fast
/// while it is idle isn't given the whole queue.
pub const MAX_GROWTH_FACTOR: f64 = 4.0;

/// The window of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    catalogue: u32,
    size: f64,
    samples: u32,
    missed: u32,
    used_up: bool,
}

impl Window {
    /// A window of the catalogue's size.
    pub fn new(catalogue: u32) -> Self {
        Self {
            catalogue: catalogue.max(1),
            size: f64::from(catalogue.max(1)),
            samples: 0,
            missed: 0,
            used_up: false,
        }
    }

    /// Requests the backend server may hold now.
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Whether one more may be handed over to `running` ones.
    pub fn has_room(&mut self, running: u32) -> bool {
        let room = running < self.size();
        self.used_up |= !room || running + 1 == self.size();
        room
    }

    /// Takes in the time from hand-over to the first token.
    pub fn record_first_token(&mut self, took: time::Duration) {
        self.sample(took > FIRST_TOKEN_GOAL);
    }

    /// Takes in an answer's mean time between tokens.
    pub fn record_between_tokens(&mut self, took: time::Duration) {
        self.sample(took > BETWEEN_TOKENS_GOAL);
    }

    /// The catalogue's figure changed: start from it again.
    pub fn reset(&mut self, catalogue: u32) {
        *self = Self::new(catalogue);
    }

    fn sample(&mut self, missed: bool) {
        self.samples += 1;
        self.missed += u32::from(missed);
        // A round lasts at least one windowful, so that the last change is felt in it.
        if self.samples < MIN_ROUND_SAMPLES.max(2 * self.size()) {
            return;
        }
        if self.missed * 100 > self.samples * MAX_MISSED_PERCENT {
            self.size = (self.size * DECREASE).max(1.0);
        } else if self.used_up {
            self.size = (self.size + 1.0).min(MAX_GROWTH_FACTOR * f64::from(self.catalogue));
        }
        (self.samples, self.missed, self.used_up) = (0, 0, false);
    }
}
