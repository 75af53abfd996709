//! Until when a process that ends accepts, sends and answers requests.

use std::time;

use chivebend::decide::shutdown;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

// Guards against requests that wait until the process ends, and against requests that are refused although
// they could be served.
#[test]
fn requests_wait_as_long_as_their_answers_can_come() {
    struct Case {
        name: &'static str,
        closing_ms: u64,
        end_ms: u64,
        objective_ms: u64,
        last_attempt_ms: u64,
        last_answer_ms: u64,
    }
    let cases = [
        Case {
            name: "a stream",
            closing_ms: 3_000,
            end_ms: 7_700,
            objective_ms: 1_500,
            last_attempt_ms: 6_200,
            last_answer_ms: 7_200,
        },
        Case {
            name: "a short request",
            closing_ms: 3_000,
            end_ms: 7_700,
            objective_ms: 100,
            last_attempt_ms: 7_200,
            last_answer_ms: 7_200,
        },
        Case {
            name: "an objective that is longer than the grace",
            closing_ms: 3_000,
            end_ms: 7_700,
            objective_ms: 60_000,
            last_attempt_ms: 3_000,
            last_answer_ms: 7_200,
        },
        Case {
            name: "a grace that is shorter than the time in which requests are accepted",
            closing_ms: 3_000,
            end_ms: 700,
            objective_ms: 100,
            last_attempt_ms: 200,
            last_answer_ms: 200,
        },
        Case {
            name: "no grace",
            closing_ms: 3_000,
            end_ms: 0,
            objective_ms: 100,
            last_attempt_ms: 0,
            last_answer_ms: 0,
        },
    ];
    for case in cases {
        let window = shutdown::Window {
            closing: ms(case.closing_ms),
            end: ms(case.end_ms),
        };
        let last = window.last_attempt(ms(case.objective_ms));
        assert_eq!(last, ms(case.last_attempt_ms), "{}", case.name);
        assert_eq!(
            window.last_answer(),
            ms(case.last_answer_ms),
            "{}",
            case.name
        );
        let (before, after) = (ms(case.closing_ms - 1), window.closing);
        assert!(!window.refuses(before, ms(90_000)), "{}", case.name);
        let late = window.last_answer() + ms(1);
        assert!(window.refuses(after, late), "{}", case.name);
        assert!(
            !window.refuses(after, window.last_answer()),
            "{}",
            case.name
        );
    }
}
