//! Decides what an entry reports to its caller after a failure, and whether it may retry.
//!
//! Fault: a connection, a sidecar or a backend server is lost in the middle of a request. An entry
//! that guesses either runs a non-idempotent call twice or reports to a caller that its call did
//! not run when it did. "Did not run" is reported only if the request was never handed over, or if
//! the sidecar acknowledged that it will never start it; everything else is unknown.

use crate::code;

/// Progress of an attempt, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the request was written to a connection.
    Unsent,
    /// The request was handed over, and no answer has arrived.
    Sent,
    /// The sidecar acknowledged that it will never start the request.
    NotStarted,
    /// The head or bytes of the answer have arrived.
    Answering,
    /// The complete answer has arrived and was checked.
    Ended,
}

/// What the entry knows about a request, apart from the state of the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// True once the head or bytes of an answer were sent to the caller.
    pub has_sent_answer: bool,
}

/// Failure of an attempt, or another event that may end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was lost or made no progress; the sidecar may be healthy.
    Disconnected,
    /// The sidecar has a new incarnation and has lost its state, or was unreachable for longer than
    /// the entry waits.
    Lost,
    /// The answer's length or checksum is wrong.
    Corrupt,
    /// The sidecar answered a request to void the attempt. If it had started, its frames continue.
    Voided {
        /// True if the attempt will never start.
        not_started: bool,
    },
    /// The sidecar reported a failure.
    Failed {
        /// Code that the sidecar reported.
        code: code::Code,
        /// The sidecar's statement on whether the request ran.
        ran: code::Ran,
    },
    /// The caller's deadline has passed.
    Deadline,
    /// The caller has closed its connection.
    CallerLeft,
}

/// Decision of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run the request again if the budget allows, on another backend server if there is one.
    Retry,
    /// Continue the attempt from the current offset, over a new connection if necessary.
    Resume,
    /// Report this code to the caller. If bytes of the answer were sent, the answer is visibly
    /// broken off.
    Fail(code::Code),
    /// The answer is complete; the failure came too late to matter.
    Done,
}

/// Decides what follows from a failure of an attempt.
pub fn decide(request: Request, stage: Stage, failure: Failure) -> Verdict {
    if stage == Stage::Ended {
        return Verdict::Done;
    }
    if failure == Failure::CallerLeft {
        return Verdict::Fail(code::Code::CallerLeft);
    }
    match stage {
        Stage::Unsent | Stage::NotStarted => decide_not_run(request, failure),
        _ => decide_maybe_run(request, stage, failure),
    }
}

/// Returns whether the request certainly did not run in this attempt.
pub fn certainly_not_run(stage: Stage, failure: Failure) -> bool {
    let acknowledged = matches!(
        failure,
        Failure::Voided { not_started: true }
            | Failure::Failed {
                ran: code::Ran::No,
                ..
            }
    );
    // An answer that has begun contradicts the acknowledgement and takes precedence.
    matches!(stage, Stage::Unsent | Stage::NotStarted) || acknowledged && stage == Stage::Sent
}

fn decide_not_run(request: Request, failure: Failure) -> Verdict {
    // Bytes of an earlier attempt were sent, and only that attempt could have continued them.
    if request.has_sent_answer {
        return Verdict::Fail(code::Code::AnswerBroken);
    }
    match failure {
        Failure::Deadline => Verdict::Fail(code::Code::DeadlinePassed),
        Failure::Failed { code, ran } if !code.row().retry => {
            Verdict::Fail(consistent_code(code, ran))
        }
        _ => Verdict::Retry,
    }
}

fn decide_maybe_run(request: Request, stage: Stage, failure: Failure) -> Verdict {
    if certainly_not_run(stage, failure) {
        return decide_not_run(request, failure);
    }
    let again = request.idempotent && !request.has_sent_answer;
    match failure {
        Failure::Disconnected | Failure::Voided { not_started: false } => Verdict::Resume,
        Failure::Deadline | Failure::CallerLeft => fail(request, code::Code::OutcomeUnknown),
        Failure::Failed { code, ran } if !(again && is_transient(code)) => {
            // Bytes of an answer have arrived, so the claim that it did not run is not trusted.
            let ran = if ran == code::Ran::No {
                code::Ran::Unknown
            } else {
                ran
            };
            fail(request, consistent_code(code, ran))
        }
        _ if again => Verdict::Retry,
        _ => fail(request, code::Code::OutcomeUnknown),
    }
}

fn fail(request: Request, code: code::Code) -> Verdict {
    if request.has_sent_answer {
        return Verdict::Fail(code::Code::AnswerBroken);
    }
    Verdict::Fail(code)
}

/// Returns whether another backend server may not have this failure.
fn is_transient(code: code::Code) -> bool {
    matches!(
        code,
        code::Code::AnswerBroken
            | code::Code::OutcomeUnknown
            | code::Code::BackendFailed
            | code::Code::BackendSilent
            | code::Code::BackendRefused
            | code::Code::Internal
    )
}

/// Returns the code, unless it implies that the request did not run and the sidecar does not
/// confirm that.
fn consistent_code(code: code::Code, ran: code::Ran) -> code::Code {
    match (code.row().ran, ran) {
        (code::Ran::No, code::Ran::Yes) => code::Code::BackendFailed,
        (code::Ran::No, code::Ran::Unknown) => code::Code::OutcomeUnknown,
        _ => code,
    }
}
