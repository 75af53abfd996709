//! Whether the process behind an address is another one than before a connection to it was lost.
//!
//! Load pattern: a supervisor starts a crashed backend server again within milliseconds, under its id and address. A new connection is
//! accepted, as after one that a middlebox closed, and the list has the earlier start for a second more. Taken for the earlier
//! process, the new one gets requests for prompt parts that it doesn't keep, at a rate that a cold one can't bear, and
//! a request that crashes one process after the other leaves no trace.

use std::time;

/// Time from a process's start to its answer and from the answer to its reading: with so much less left than the full time for which
/// a process stays cold, its start is older than the loss.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(500);

/// How much two answers of one process may differ in until when it is cold.
const COLD_MARGIN: time::Duration = time::Duration::from_millis(200);

/// What is known of the process before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// When it started, in Unix milliseconds; 0 if that isn't known.
    pub start: u64,
    /// Time for which it would stay cold; zero if it was warm.
    pub cold: time::Duration,
    /// Time for which a process of its service stays cold from its start on; zero if it is never cold.
    pub cold_start: time::Duration,
    /// Time since the connection was lost.
    pub lost_ago: time::Duration,
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// When it started, in Unix milliseconds; 0 if it doesn't say.
    pub start: u64,
    /// Time for which it stays cold, if it says so.
    pub cold: Option<time::Duration>,
}

/// Whether the process is the one that was there before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The same.
    Same,
    /// Another one, so that the one before has ended.
    Another,
    /// The answer doesn't tell.
    Unknown,
}

/// Judges by what a process says of itself after a connection to it was lost.
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
