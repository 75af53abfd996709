//! What a process that can't keep up turns away.

use std::time;

use chivebend::decide::strain::{self, Level};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

#[test]
fn a_process_is_behind_when_its_timers_are_again_and_again() {
    struct Case {
        name: &'static str,
        late: &'static [u64],
        level: Level,
    }
    let cases = [
        Case {
            name: "in time",
            late: &[0, 1, 20],
            level: Level::Calm,
        },
        Case {
            name: "late once, as after a pause of the machine",
            late: &[2_000, 3],
            level: Level::Calm,
        },
        Case {
            name: "the first of many",
            late: &[0, 2_000],
            level: Level::Calm,
        },
        Case {
            name: "twice",
            late: &[150, 120],
            level: Level::Strained,
        },
        Case {
            name: "far behind",
            late: &[900, 800],
            level: Level::Overrun,
        },
        Case {
            name: "it has caught up",
            late: &[900, 800, 10],
            level: Level::Calm,
        },
    ];
    for case in cases {
        let mut gauge = strain::Gauge::default();
        for late in case.late {
            gauge.sample(ms(0), ms(*late));
        }
        assert_eq!(gauge.level(), case.level, "{}", case.name);
    }
}

#[test]
fn a_strained_process_rests_for_a_while() {
    let mut gauge = strain::Gauge::default();
    assert!(!gauge.rests(ms(0)));
    gauge.sample(ms(1_000), ms(200));
    gauge.sample(ms(1_250), ms(200));
    gauge.sample(ms(1_300), ms(0));
    assert_eq!(gauge.level(), Level::Calm);
    assert!(gauge.rests(ms(3_200)));
    assert!(!gauge.rests(ms(3_250)));
}

#[test]
fn those_that_were_served_most_are_turned_away_first() {
    struct Case {
        level: Level,
        served: f64,
        away: usize,
    }
    let cases = [
        (Level::Calm, 1.0, 0),
        (Level::Strained, 1.0, 10),
        (Level::Strained, 0.5, 5),
        (Level::Strained, 0.0, 0),
        (Level::Overrun, 0.25, 10),
        (Level::Overrun, 0.1, 4),
        (Level::Overrun, 0.0, 0),
    ]
    .map(|(level, served, away)| Case {
        level,
        served,
        away,
    });
    for case in cases {
        let draws = (0..10).map(|n| f64::from(n) / 10.0);
        let away = draws.filter(|draw| strain::turns_away(case.level, case.served, *draw));
        assert_eq!(away.count(), case.away, "{:?} {}", case.level, case.served);
    }
}

#[test]
fn more_than_half_of_a_zone_stays_in_the_balancers_choice() {
    for (resting, entries, may) in [
        (1, 1, false),
        (1, 2, false),
        (1, 3, true),
        (3, 7, true),
        (4, 7, false),
    ] {
        assert_eq!(
            strain::may_rest(resting, entries),
            may,
            "{resting} of {entries}"
        );
    }
}
