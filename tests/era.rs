//! Comparison of the eras of the platform's store.

use std::time;

use chivebend::decide::era::{self, Era};

#[test]
fn era_of_a_response_is_same_later_or_earlier() {
    struct Case {
        known: Option<u64>,
        received: Option<u64>,
        expected: Era,
    }
    let cases = [
        Case {
            known: None,
            received: None,
            expected: Era::Same,
        },
        Case {
            known: None,
            received: Some(3),
            expected: Era::Same,
        },
        Case {
            known: Some(3),
            received: None,
            expected: Era::Same,
        },
        Case {
            known: Some(3),
            received: Some(3),
            expected: Era::Same,
        },
        Case {
            known: Some(3),
            received: Some(5),
            expected: Era::Later,
        },
        Case {
            known: Some(3),
            received: Some(2),
            expected: Era::Earlier,
        },
    ];
    for case in cases {
        let got = era::compare(case.known, case.received);
        assert_eq!(got, case.expected, "{:?} {:?}", case.known, case.received);
    }
}

// Guards against an era that one answer states falsely, and makes all later ones count as earlier, and
// against one delayed answer from before a restore that brings the earlier era back.
#[test]
fn the_era_counts_that_the_store_goes_on_stating() {
    struct Case {
        name: &'static str,
        // Milliseconds at which answers stated an era.
        answers: &'static [(u64, u64)],
        newest: u64,
        limit: Option<u64>,
    }
    const MAX: u64 = u64::MAX;
    let cases = [
        Case {
            name: "one answer",
            answers: &[(0, 1)],
            newest: 1,
            limit: None,
        },
        Case {
            name: "goes on",
            answers: &[(0, 1), (1_000, 1), (2_000, 1)],
            newest: 1,
            limit: Some(1),
        },
        Case {
            name: "restored",
            answers: &[(0, 1), (2_000, 1), (3_000, 2)],
            newest: 2,
            limit: None,
        },
        Case {
            name: "false at first",
            answers: &[(0, MAX), (900, 1), (1_800, 1), (2_900, 1)],
            newest: 1,
            limit: Some(1),
        },
        Case {
            name: "false, not for long enough",
            answers: &[(0, 1), (2_000, 1), (2_100, MAX), (2_200, 1), (4_100, 1)],
            newest: MAX,
            limit: None,
        },
        Case {
            name: "two false ones",
            answers: &[
                (0, MAX),
                (100, 7),
                (900, 1),
                (2_200, 1),
                (3_100, 1),
                (4_300, 1),
            ],
            newest: 1,
            limit: Some(1),
        },
        Case {
            name: "a delayed answer from before a restore",
            answers: &[(0, 1), (2_000, 1), (3_000, 2), (2_900, 1), (5_000, 2)],
            newest: 2,
            limit: Some(2),
        },
        Case {
            name: "delayed answers among newer ones",
            answers: &[
                (0, 2),
                (500, 1),
                (900, 2),
                (1_800, 1),
                (2_000, 2),
                (2_600, 1),
            ],
            newest: 2,
            limit: Some(2),
        },
        Case {
            name: "two delayed answers, long apart",
            answers: &[(0, 2), (500, 1), (9_000, 1)],
            newest: 2,
            limit: None,
        },
        Case {
            name: "an answer from before it was void",
            answers: &[(0, MAX), (900, 1), (2_900, 1), (800, MAX)],
            newest: 1,
            limit: Some(1),
        },
    ];
    for case in cases {
        let mut eras = era::Eras::default();
        let ms = time::Duration::from_millis;
        for (at, era) in case.answers {
            eras.on_answer(ms(*at), *era);
        }
        let last = case.answers.iter().map(|(at, _)| *at).max();
        let last = ms(last.expect("an answer"));
        assert_eq!(eras.newest(), Some(case.newest), "{}", case.name);
        assert_eq!(eras.limit(last), case.limit, "{}", case.name);
        let later = last + time::Duration::from_secs(9);
        assert_eq!(eras.limit(later), None, "{}", case.name);
    }
}
