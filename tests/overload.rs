//! What a process that can't keep up turns away.

use std::time;

use chivebend::decide::overload::{self, Level};

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
            level: Level::Normal,
        },
        Case {
            name: "late once, as after a pause of the machine",
            late: &[2_000, 3],
            level: Level::Normal,
        },
        Case {
            name: "the first of many",
            late: &[0, 2_000],
            level: Level::Normal,
        },
        Case {
            name: "twice",
            late: &[150, 120],
            level: Level::Overloaded,
        },
        Case {
            name: "far behind",
            late: &[900, 800],
            level: Level::Saturated,
        },
        Case {
            name: "it has caught up",
            late: &[900, 800, 10],
            level: Level::Normal,
        },
    ];
    for case in cases {
        let mut gauge = overload::Gauge::default();
        for late in case.late {
            gauge.sample(ms(0), ms(*late));
        }
        assert_eq!(gauge.level(), case.level, "{}", case.name);
    }
}

#[test]
fn an_overloaded_process_stays_out_of_rotation_for_a_while() {
    let mut gauge = overload::Gauge::default();
    assert!(!gauge.out_of_rotation(ms(0)));
    gauge.sample(ms(1_000), ms(200));
    gauge.sample(ms(1_250), ms(200));
    gauge.sample(ms(1_300), ms(0));
    assert_eq!(gauge.level(), Level::Normal);
    assert!(gauge.out_of_rotation(ms(3_200)));
    assert!(!gauge.out_of_rotation(ms(3_250)));
}

#[test]
fn those_that_were_served_most_are_turned_away_first() {
    struct Case {
        level: Level,
        served: f64,
        away: usize,
    }
    let cases = [
        (Level::Normal, 1.0, 0),
        (Level::Overloaded, 1.0, 10),
        (Level::Overloaded, 0.5, 5),
        (Level::Overloaded, 0.0, 0),
        (Level::Saturated, 0.25, 10),
        (Level::Saturated, 0.1, 4),
        (Level::Saturated, 0.0, 0),
    ]
    .map(|(level, served, away)| Case {
        level,
        served,
        away,
    });
    for case in cases {
        let draws = (0..10).map(|n| f64::from(n) / 10.0);
        let away = draws.filter(|draw| overload::turns_away(case.level, case.served, *draw));
        assert_eq!(away.count(), case.away, "{:?} {}", case.level, case.served);
    }
}

#[test]
fn more_than_half_of_a_zone_stays_in_the_balancers_choice() {
    for (away, entries, may) in [
        (1, 1, false),
        (1, 2, false),
        (1, 3, true),
        (3, 7, true),
        (4, 7, false),
    ] {
        assert_eq!(
            overload::may_leave_rotation(away, entries),
            may,
            "{away} of {entries}"
        );
    }
}
