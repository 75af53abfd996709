//! Bound on the rate of questions.

use std::time;

/// Questions that are answered per second: an answer ranks all backend servers of a service, and
/// the balancer's readiness check must not wait behind many of them.
pub(super) const QUESTIONS_PER_S: f64 = 4.0;

/// Maximum number of questions in a burst.
const MAX_BURST: f64 = 4.0;

/// Recent questions.
#[derive(Clone, Copy, Debug)]
pub(in crate::direct) struct Rate {
    credit: f64,
    updated_at: time::Duration,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            credit: MAX_BURST,
            updated_at: time::Duration::ZERO,
        }
    }
}

impl Rate {
    // Returns whether another question is answered, and counts it if so.
    pub(super) fn try_take(&mut self, now: time::Duration) -> bool {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.credit = (self.credit + passed * QUESTIONS_PER_S).min(MAX_BURST);
        self.updated_at = now;
        let is_allowed = self.credit >= 1.0;
        if is_allowed {
            self.credit -= 1.0;
        }
        is_allowed
    }
}
