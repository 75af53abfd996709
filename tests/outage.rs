//! Detection of outages of the store by failed calls and the answers to all entries.

use std::time;

use chivebend::decide::outage;

const MIN_LENGTH: time::Duration = time::Duration::from_millis(2_400);

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

enum Call {
    Failed,
    // Answered at this time in milliseconds, to this entry or a peer.
    Answered(u64),
}

// Guards against holding back removals after a failed call that no outage explains: a backend
// server stayed in use for up to four seconds after it had left.
#[test]
fn an_outage_needs_a_failed_call_and_no_answer_to_any_entry() {
    use Call::{Answered, Failed};
    struct Case {
        name: &'static str,
        calls: &'static [Call],
        ended_at: Option<u64>,
    }
    let cases = [
        Case {
            name: "one call fails between two reads",
            calls: &[Answered(1_000), Failed, Answered(2_800)],
            ended_at: None,
        },
        Case {
            name: "all calls fail for long",
            calls: &[Answered(1_000), Failed, Failed, Failed, Answered(3_400)],
            ended_at: Some(3_400),
        },
        Case {
            name: "a peer has answers meanwhile",
            calls: &[
                Answered(1_000),
                Failed,
                Answered(2_000),
                Failed,
                Answered(4_000),
            ],
            ended_at: None,
        },
        Case {
            name: "a peer has the first answer after it",
            calls: &[
                Answered(1_000),
                Failed,
                Answered(9_000),
                Failed,
                Answered(9_500),
            ],
            ended_at: Some(9_000),
        },
        Case {
            name: "an answer of before the failure arrives late",
            calls: &[Answered(1_000), Failed, Answered(900), Answered(9_000)],
            ended_at: Some(9_000),
        },
        Case {
            name: "nobody has called for long",
            calls: &[Answered(1_000), Answered(9_000)],
            ended_at: None,
        },
        Case {
            name: "all calls since the start have failed",
            calls: &[Failed, Failed, Answered(5_000)],
            ended_at: Some(5_000),
        },
    ];
    for case in cases {
        let mut outages = outage::Outages::default();
        for call in case.calls {
            match call {
                Failed => outages.on_failure(),
                Answered(at) => outages.on_answer(ms(*at), MIN_LENGTH),
            }
        }
        assert_eq!(outages.ended_at(), case.ended_at.map(ms), "{}", case.name);
    }
}
