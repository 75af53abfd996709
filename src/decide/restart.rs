//! Decides whether the process behind an address has changed since a connection to it was lost.
//!
//! Load pattern: a supervisor restarts a crashed backend server within milliseconds, under the same
//! id and address. A new connection is accepted, just as after a connection closed by a middlebox,
//! and the list shows the earlier start for another second. If the new process is taken for the
//! earlier one, it gets requests for prompt prefixes that it doesn't have cached, at a rate that a
//! cold process can't sustain, and a request that crashes one process after another leaves no
//! trace.

use std::time;

/// Allowance for the time from a process's start to its answer and from the answer to its reading.
/// If the remaining cold time is shorter than the full one by more than this, the process started
/// before the loss.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Maximum difference between two answers of one process as to when it will be warm.
const COLD_MARGIN: time::Duration = time::Duration::from_millis(200);

/// What is known of the earlier process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Time of its start, in Unix milliseconds; 0 if unknown.
    pub start: u64,
    /// Remaining time for which it would be cold; zero if it was warm.
    pub cold: time::Duration,
    /// Time for which a process of its service is cold after its start; zero if it is never cold.
    pub cold_start: time::Duration,
    /// Time since the connection was lost.
    pub lost_ago: time::Duration,
}

/// What a process reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Time of its start, in Unix milliseconds; 0 if not reported.
    pub start: u64,
    /// Remaining time for which it is cold, if reported.
    pub cold: Option<time::Duration>,
}

/// Result of comparing a process with the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The same process.
    Same,
    /// A new process, which means that the earlier one has ended.
    Another,
    /// The answer does not show which it is.
    Unknown,
}

/// Compares a process with the earlier one by what it reports after a connection was lost.
pub fn judge(known: Known, answer: Answer) -> Verdict {
    if known.start != 0 && answer.start != 0 {
        return if answer.start > known.start {
            Verdict::Another
        } else {
            Verdict::Same
        };
    }
    let Some(cold) = answer.cold.filter(|_| !known.cold_start.is_zero()) else {
        return Verdict::Unknown;
    };
    // A process that started after the loss is cold for the full time, less what has passed since.
    if cold + known.lost_ago + ANSWER_MARGIN < known.cold_start {
        return Verdict::Same;
    }
    if cold > known.cold + COLD_MARGIN {
        Verdict::Another
    } else {
        Verdict::Unknown
    }
}
