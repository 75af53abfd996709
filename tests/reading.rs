//! Tests that engines get the next prompt when they are expected to have read the ones before.

use std::time;

use chivebend::decide::{binding, feature, place};
use chivebend::key;
use slotmap::SlotMap;
use smallvec::SmallVec;

/// Tokens of a prompt that is over the usual room: it is read in 133 ms at the initial speed.
const TOKENS: u32 = 6_000;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

struct Fixture {
    fleet: place::Fleet,
    engine: key::Sidecar,
    large: key::Customer,
    small: key::Customer,
    next: u64,
}

// One engine that reads the prompts of a customer with much service; another one has none.
fn fixture(steady_reading: bool) -> Fixture {
    let mut fleet = place::Fleet::new(1);
    fleet.set_features(feature::Features {
        steady_reading,
        ..feature::Features::default()
    });
    let info = place::ServerInfo {
        id: "engine",
        service: 0,
        slots: 64,
        is_engine: true,
        is_near: true,
        version: binding::Version::default(),
        is_version_known: true,
    };
    let engine = fleet.add(time::Duration::ZERO, info);
    let mut customers = SlotMap::with_key();
    let (large, small) = (customers.insert(()), customers.insert(()));
    let service = fleet.service_mut();
    service.add(time::Duration::ZERO, large, 1e6);
    Fixture {
        fleet,
        engine,
        large,
        small,
        next: 0,
    }
}

impl Fixture {
    fn place(&mut self, now: u64, customer: key::Customer, tokens: u32) -> place::Verdict {
        self.next += 1;
        let part = place::Part {
            chain: self.next,
            tokens,
        };
        let job = place::Job {
            service: 0,
            customer,
            parts: SmallVec::from_slice(&[part]),
            cost: 1,
            due: ms(now + 2_000),
            objective: ms(2_000),
            excluded: SmallVec::new(),
            suspect: None,
            version: None,
            is_resumable: false,
        };
        self.fleet.place_at(ms(now), self.next, &job, self.engine)
    }

    fn starts(&mut self, now: u64, customer: key::Customer) -> bool {
        let verdict = self.place(now, customer, TOKENS);
        matches!(verdict, place::Verdict::Start(_))
    }
}

fn started(verdict: place::Verdict) -> place::Placement {
    match verdict {
        place::Verdict::Start(placed) => placed,
        other => panic!("it doesn't start: {other:?}"),
    }
}

// Load pattern: requests wait while the first event of a prompt that has been read is on its way.
#[test]
fn the_next_prompt_is_sent_when_the_one_before_has_been_read() {
    struct Case {
        name: &'static str,
        steady_reading: bool,
        is_small: bool,
        now: u64,
        starts: bool,
    }
    let case = |name, steady_reading, is_small, now, starts| Case {
        name,
        steady_reading,
        is_small,
        now,
        starts,
    };
    // The prompt before is read after 133 ms.
    let cases = [
        case("off, while it is read", false, true, 40, false),
        case("off, after it was read", false, true, 140, false),
        case(
            "while it is read, a large customer's",
            true,
            false,
            40,
            false,
        ),
        case(
            "after it was read, a large customer's",
            true,
            false,
            140,
            false,
        ),
        case(
            "while it is read, a small customer's",
            true,
            true,
            40,
            false,
        ),
        case(
            "after it was read, a small customer's",
            true,
            true,
            140,
            true,
        ),
    ];
    for Case {
        name,
        steady_reading,
        is_small,
        now,
        starts,
    } in cases
    {
        let mut f = fixture(steady_reading);
        let _sent = started(f.place(0, f.large, TOKENS));
        let customer = if is_small { f.small } else { f.large };
        assert_eq!(f.starts(now, customer), starts, "{name}");
    }
}

// Load pattern: what the engines read more must not go to those who ask most.
#[test]
fn waiting_requests_of_small_customers_are_sent_before_the_end() {
    struct Case {
        name: &'static str,
        is_small: bool,
        now: u64,
        starts: bool,
    }
    let case = |name, is_small, now, starts| Case {
        name,
        is_small,
        now,
        starts,
    };
    let cases = [
        case("a large customer's, 53 ms before the end", false, 80, false),
        case("a small customer's, 53 ms before the end", true, 80, true),
        case("a large customer's, after the end", false, 140, false),
        case("a small customer's, 73 ms before the end", true, 60, false),
    ];
    for Case {
        name,
        is_small,
        now,
        starts,
    } in cases
    {
        let mut f = fixture(true);
        let _sent = started(f.place(0, f.large, TOKENS));
        let customer = if is_small { f.small } else { f.large };
        let verdict = f.place(1, customer, TOKENS);
        assert!(matches!(verdict, place::Verdict::Wait(..)), "{name}");
        let next = f.fleet.start_next(ms(now), f.engine);
        assert_eq!(next.is_some(), starts, "{name}");
    }
}

// Failure: an engine stalls, and no first event comes.
#[test]
fn an_engine_that_stalls_gets_three_times_the_usual_and_one_prompt_at_most() {
    let mut f = fixture(true);
    let mut sent = 0;
    for now in (0..10_000).step_by(5) {
        sent += u32::from(now % 150 == 0 && f.starts(now, f.small));
        sent += u32::from(f.fleet.start_next(ms(now), f.engine).is_some());
    }
    assert_eq!(sent, 3, "prompts of 133 ms, the third after 267");
}

// Failure: an engine is slower than it was; the first event that shows it comes late.
#[test]
fn a_first_event_corrects_the_forecast() {
    let mut f = fixture(true);
    // Prompts of 98 ms.
    let mut first = started(f.place(0, f.small, 4_400));
    let _second = started(f.place(98, f.small, 4_400));
    let _third = started(f.place(196, f.small, 4_400));
    let fourth = f.place(197, f.small, 4_400);
    assert!(matches!(fourth, place::Verdict::Wait(..)));
    // The first one was read some 90 ms before its event; the others take 196 ms more.
    f.fleet.record_first_event(ms(400), &mut first);
    let early = f.fleet.start_next(ms(405), f.engine);
    assert!(early.is_none(), "the second one is being read");
    let next = f.fleet.start_next(ms(480), f.engine);
    assert!(next.is_some(), "the third one is nearly read");
}

// An engine that idled before its second prompt hasn't read that yet when the first one's event
// comes.
#[test]
fn the_forecast_of_a_prompt_that_came_after_a_pause_stays() {
    let mut f = fixture(true);
    // Read until 44 ms, with its first event at 124 ms.
    let mut first = started(f.place(0, f.large, 2_000));
    // Read until 243 ms.
    let _second = started(f.place(110, f.small, TOKENS));
    f.fleet.record_first_event(ms(124), &mut first);
    let waits = f.place(125, f.small, TOKENS);
    assert!(matches!(waits, place::Verdict::Wait(..)));
    let early = f.fleet.start_next(ms(170), f.engine);
    assert!(early.is_none(), "73 ms are left");
    assert!(f.fleet.start_next(ms(190), f.engine).is_some());
}

// Failure: requests end without a first event, as when their caller leaves.
#[test]
fn a_request_that_ends_early_is_not_expected_to_be_read() {
    let mut f = fixture(true);
    let _first = started(f.place(0, f.small, TOKENS));
    let second = started(f.place(134, f.small, TOKENS));
    f.fleet.release(ms(135), second, false);
    assert!(f.starts(136, f.small), "the first one has been read");
}

// Load pattern: a request of a small customer arrives where requests of a large one wait.
#[test]
fn only_a_request_that_is_served_first_passes_waiting_ones() {
    for (passes, waiting_is_small) in [(true, false), (false, true)] {
        let mut f = fixture(true);
        let _sent = started(f.place(0, f.large, TOKENS));
        let (first, next) = if waiting_is_small {
            (f.small, f.large)
        } else {
            (f.large, f.small)
        };
        let waits = f.place(1, first, TOKENS);
        assert!(matches!(waits, place::Verdict::Wait(..)));
        assert_eq!(f.starts(140, next), passes);
    }
}
