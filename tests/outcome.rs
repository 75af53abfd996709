//! Every combination of request, stage and trouble: nothing untrue is said, nothing runs twice.

use chivebend::{code, decide::outcome};

const STAGES: [outcome::Stage; 5] = [
    outcome::Stage::Unsent,
    outcome::Stage::Sent,
    outcome::Stage::NotStarted,
    outcome::Stage::Answering,
    outcome::Stage::Ended,
];

struct Case {
    request: outcome::Request,
    stage: outcome::Stage,
    trouble: outcome::Trouble,
    verdict: outcome::Verdict,
}

fn troubles() -> Vec<outcome::Trouble> {
    let mut troubles = vec![
        outcome::Trouble::Disconnected,
        outcome::Trouble::Lost,
        outcome::Trouble::Corrupt,
        outcome::Trouble::Voided { not_started: true },
        outcome::Trouble::Voided { not_started: false },
        outcome::Trouble::Deadline,
        outcome::Trouble::CallerLeft,
    ];
    for (code, _) in code::TABLE {
        for ran in [code::Ran::No, code::Ran::Yes, code::Ran::Unknown] {
            troubles.push(outcome::Trouble::Failed { code: *code, ran });
        }
    }
    troubles
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for idempotent in [false, true] {
        for passed in [false, true] {
            let request = outcome::Request { idempotent, passed };
            for stage in STAGES {
                for trouble in troubles() {
                    let verdict = outcome::decide(request, stage, trouble);
                    cases.push(Case {
                        request,
                        stage,
                        trouble,
                        verdict,
                    });
                }
            }
        }
    }
    cases
}

/// The truth, stated apart from the module: what the sidecar may have done by then.
fn may_have_run(stage: outcome::Stage, trouble: outcome::Trouble) -> bool {
    match stage {
        outcome::Stage::Unsent | outcome::Stage::NotStarted => false,
        outcome::Stage::Answering | outcome::Stage::Ended => true,
        outcome::Stage::Sent => match trouble {
            outcome::Trouble::Voided { not_started } => !not_started,
            outcome::Trouble::Failed { ran, .. } => ran != code::Ran::No,
            _ => true,
        },
    }
}

#[test]
fn not_run_is_said_only_if_true() {
    for c in cases() {
        if let outcome::Verdict::Fail(code) = c.verdict
            && code.row().ran == code::Ran::No
        {
            assert!(
                !may_have_run(c.stage, c.trouble),
                "{:?} {:?}: {code}",
                c.stage,
                c.trouble
            );
        }
    }
}

#[test]
fn non_idempotent_requests_run_again_only_if_they_did_not_run() {
    for c in cases() {
        if c.verdict == outcome::Verdict::Retry && !c.request.idempotent {
            assert!(
                !may_have_run(c.stage, c.trouble),
                "{:?} {:?}",
                c.stage,
                c.trouble
            );
        }
    }
}

#[test]
fn a_second_answer_is_never_joined_to_a_first() {
    for c in cases() {
        assert!(
            !(c.verdict == outcome::Verdict::Retry && c.request.passed),
            "{:?}",
            c.trouble
        );
    }
}

#[test]
fn stated_verdicts() {
    use outcome::{Stage, Trouble, Verdict};
    let post = outcome::Request {
        idempotent: false,
        passed: false,
    };
    let get = outcome::Request {
        idempotent: true,
        passed: false,
    };
    let streamed = outcome::Request {
        idempotent: true,
        passed: true,
    };
    let refused = Trouble::Failed {
        code: code::Code::BackendRefused,
        ran: code::Ran::No,
    };
    let table = [
        (post, Stage::Unsent, Trouble::Lost, Verdict::Retry),
        (
            post,
            Stage::Sent,
            Trouble::Lost,
            Verdict::Fail(code::Code::OutcomeUnknown),
        ),
        (post, Stage::Sent, Trouble::Disconnected, Verdict::Resume),
        (post, Stage::Sent, refused, Verdict::Retry),
        (
            post,
            Stage::NotStarted,
            Trouble::Deadline,
            Verdict::Fail(code::Code::DeadlinePassed),
        ),
        (
            post,
            Stage::Sent,
            Trouble::Deadline,
            Verdict::Fail(code::Code::OutcomeUnknown),
        ),
        (get, Stage::Sent, Trouble::Lost, Verdict::Retry),
        (get, Stage::Answering, Trouble::Corrupt, Verdict::Retry),
        (
            streamed,
            Stage::Answering,
            Trouble::Disconnected,
            Verdict::Resume,
        ),
        (
            streamed,
            Stage::Answering,
            Trouble::Lost,
            Verdict::Fail(code::Code::AnswerBroken),
        ),
        (streamed, Stage::Ended, Trouble::Lost, Verdict::Done),
    ];
    for (request, stage, trouble, verdict) in table {
        assert_eq!(
            outcome::decide(request, stage, trouble),
            verdict,
            "{stage:?} {trouble:?}"
        );
    }
}
