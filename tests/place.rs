//! Placement of requests on backend servers by an entry without sidecars: which requests start,
//! wait or are refused.

use std::time;

use chivebend::decide::{place, random};
use chivebend::{code, key};
use slotmap::SlotMap;
use smallvec::SmallVec;

const SERVICE: u32 = 0;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

struct Fixture {
    fleet: place::Fleet,
    servers: Vec<key::Sidecar>,
    customers: Vec<key::Customer>,
    next: u64,
}

fn fixture(engines: usize, customers: usize, engine: bool) -> Fixture {
    let mut fleet = place::Fleet::new(7);
    let id = |n| format!("server-{n}");
    let add = |n| {
        fleet.add(
            time::Duration::ZERO,
            place::ServerInfo {
                id: &id(n),
                service: SERVICE,
                slots: if engine { 64 } else { 2 },
                is_engine: engine,
                is_near: n == 0,
                version: chivebend::decide::binding::Version::default(),
                is_version_known: true,
            },
        )
    };
    let servers = (0..engines).map(add).collect();
    let mut keys = SlotMap::<key::Customer, ()>::with_key();
    Fixture {
        fleet,
        servers,
        customers: (0..customers).map(|_| keys.insert(())).collect(),
        next: 0,
    }
}

fn job(customer: key::Customer, shared: u64, own: u64, tokens: u32, now: u64) -> place::Job {
    let part = |chain, tokens| place::Part { chain, tokens };
    place::Job {
        service: SERVICE,
        customer,
        parts: SmallVec::from_slice(&[part(shared, 1_000), part(own, tokens)]),
        cost: 1_000 + u64::from(tokens),
        due: ms(now + 600),
        objective: ms(600),
        excluded: SmallVec::new(),
        suspect: None,
        version: None,
        is_resumable: false,
    }
}

impl Fixture {
    fn place(&mut self, now: u64, job: &place::Job) -> (u64, place::Verdict) {
        self.next += 1;
        let verdict = match self.fleet.choose(job) {
            Some(at) => self.fleet.place_at(ms(now), self.next, job, at),
            None => place::Verdict::Refuse(code::Code::NoBackendServer, ms(0)),
        };
        (self.next, verdict)
    }
}

fn server(verdict: &place::Verdict) -> Option<key::Sidecar> {
    match verdict {
        place::Verdict::Start(placed) => Some(placed.server),
        _ => None,
    }
}

#[test]
fn requests_with_a_common_prefix_go_to_one_server() {
    let mut fixture = fixture(18, 2, true);
    let mut homes = std::collections::HashSet::new();
    for n in 0..8 {
        let job = job(fixture.customers[n % 2], 42, 100 + n as u64, 100, 0);
        let (_, verdict) = fixture.place(0, &job);
        homes.extend(server(&verdict));
    }
    assert_eq!(homes.len(), 1);
}

#[test]
fn placed_tokens_are_bounded_and_further_requests_wait() {
    let mut fixture = fixture(1, 1, true);
    let customer = fixture.customers[0];
    let mut placed_tokens = 0.0;
    let mut waiting = 0;
    for n in 0..20 {
        let (_, verdict) = fixture.place(0, &job(customer, 1, 100 + n, 2_000, 0));
        match verdict {
            place::Verdict::Start(placed) => placed_tokens += placed.tokens,
            place::Verdict::Wait(..) => waiting += 1,
            place::Verdict::Refuse(..) => {}
        }
    }
    assert!(placed_tokens <= 4_500.0, "{placed_tokens}");
    assert!(waiting > 0);
}

#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once_with_a_retry_after() {
    let mut fixture = fixture(1, 1, true);
    let customer = fixture.customers[0];
    let refused = (0..60).find_map(|n| {
        let (_, verdict) = fixture.place(0, &job(customer, 1, 100 + n, 2_000, 0));
        match verdict {
            place::Verdict::Refuse(code, after) => Some((code, after)),
            _ => None,
        }
    });
    let (code, after) = refused.expect("sixty prompts of 50 ms don't fit into 600 ms");
    assert_eq!(code, code::Code::DeadlineUnreachable);
    assert!(after >= ms(100));
}

#[test]
fn a_request_larger_than_the_objective_is_served_by_an_idle_engine() {
    let mut fixture = fixture(1, 1, true);
    let (_, verdict) = fixture.place(0, &job(fixture.customers[0], 1, 2, 80_000, 0));
    assert!(server(&verdict).is_some(), "{verdict:?}");
}

#[test]
fn a_request_larger_than_the_objective_waits_a_quarter_of_it_or_all_for_an_unserved_customer() {
    struct Case {
        // Tokens queued at the engine, which reads 45 in a millisecond.
        queued_tokens: u32,
        // True if the request's customer was served nothing; otherwise it was served the most.
        is_unserved: bool,
        // True if the objective of 600 ms allows the request to wait for the queued tokens.
        waits: bool,
    }
    let cases = [
        (5_600, false, true),
        (6_800, false, false),
        (6_800, true, true),
        (26_000, true, true),
        (28_000, true, false),
    ]
    .map(|(queued_tokens, is_unserved, waits)| Case {
        queued_tokens,
        is_unserved,
        waits,
    });
    for case in cases {
        let mut fixture = fixture(1, 2, true);
        fixture.place(
            0,
            &job(fixture.customers[0], 1, 2, case.queued_tokens - 1_000, 0),
        );
        let customer = fixture.customers[usize::from(case.is_unserved)];
        let (_, verdict) = fixture.place(0, &job(customer, 1, 3, 80_000, 0));
        let waited = matches!(verdict, place::Verdict::Wait(..));
        assert_eq!(
            waited, case.waits,
            "{} tokens queued, unserved {}: {verdict:?}",
            case.queued_tokens, case.is_unserved
        );
    }
}

// Guards an overloaded engine against waits for prompts that are late however soon they start.
#[test]
fn a_request_that_is_late_in_any_case_waits_a_quarter_of_its_objective_at_most() {
    let mut fixture = fixture(1, 2, true);
    let customer = fixture.customers[0];
    // 100 ms of work at the engine and 130 ms in the queue; the objective is 600 ms.
    for n in 0..6 {
        fixture.place(0, &job(customer, 1, 100 + n, 1_500, 0));
    }
    let (_, verdict) = fixture.place(0, &job(customer, 1, 200, 80_000, 0));
    let refused = matches!(verdict, place::Verdict::Refuse(..));
    assert!(refused, "{verdict:?}");
    let (_, verdict) = fixture.place(0, &job(customer, 1, 201, 1_500, 0));
    assert!(matches!(verdict, place::Verdict::Wait(..)), "{verdict:?}");
}

#[test]
fn the_least_served_customer_goes_first() {
    let mut fixture = fixture(1, 2, true);
    let [large, small] = [fixture.customers[0], fixture.customers[1]];
    let mut placed = Vec::new();
    for n in 0..12 {
        if let (_, place::Verdict::Start(p)) = fixture.place(0, &job(large, 1, 100 + n, 2_000, 0)) {
            placed.push(p);
        }
    }
    let (number, verdict) = fixture.place(1, &job(small, 1, 500, 2_000, 1));
    assert!(matches!(verdict, place::Verdict::Wait(..)), "{verdict:?}");
    let first = placed.remove(0);
    let at = first.server;
    fixture.fleet.release(ms(50), first, true);
    let (next, _) = fixture.fleet.start_next(ms(50), at).expect("there is room");
    assert_eq!(next, number);
}

#[test]
fn capacity_is_left_for_a_peers_request_of_a_less_served_customer() {
    struct Case {
        name: &'static str,
        least: Option<f64>,
        fits: usize,
    }
    let cases = [
        Case {
            name: "no request of a peer waits",
            least: None,
            fits: 4,
        },
        Case {
            name: "a request of a more served customer waits",
            least: Some(1e9),
            fits: 4,
        },
        Case {
            name: "a request of a less served customer waits",
            least: Some(-1.0),
            fits: 2,
        },
    ];
    for case in cases {
        let mut fixture = fixture(1, 1, true);
        let others = place::Load {
            in_flight: 1,
            unread_tokens: 1.0,
            least_service: case.least,
            ..place::Load::default()
        };
        fixture.fleet.set_peer_load(fixture.servers[0], others);
        let customer = fixture.customers[0];
        let fits = (0..9)
            .filter(|n| {
                let (_, verdict) = fixture.place(0, &job(customer, 1, 100 + n, 840, 0));
                server(&verdict).is_some()
            })
            .count();
        assert_eq!(fits, case.fits, "{}", case.name);
    }
}

#[test]
fn load_from_peers_counts() {
    let mut fixture = fixture(1, 1, true);
    let others = place::Load {
        in_flight: 5,
        unread_tokens: 12_500.0,
        least_service: None,
        ..place::Load::default()
    };
    fixture.fleet.set_peer_load(fixture.servers[0], others);
    let (_, verdict) = fixture.place(0, &job(fixture.customers[0], 1, 2, 500, 0));
    assert!(matches!(verdict, place::Verdict::Wait(..)), "{verdict:?}");
}

#[test]
fn requests_that_wait_for_a_lost_engine_are_returned_for_another_placement() {
    struct Case {
        name: &'static str,
        lose: fn(&mut place::Fleet, key::Sidecar) -> Vec<u64>,
    }
    let cases = [
        Case {
            name: "gone",
            lose: |fleet, at| fleet.remove(at),
        },
        Case {
            name: "leaving",
            lose: |fleet, at| fleet.set_state(time::Duration::ZERO, at, place::State::Unusable),
        },
    ];
    for case in cases {
        let mut fixture = fixture(1, 1, true);
        let customer = fixture.customers[0];
        let waits: Vec<u64> = (0..9)
            .filter_map(|n| {
                let (number, verdict) = fixture.place(0, &job(customer, 1, 100 + n, 2_000, 0));
                matches!(verdict, place::Verdict::Wait(..)).then_some(number)
            })
            .collect();
        let at = fixture.servers[0];
        let mut returned = (case.lose)(&mut fixture.fleet, at);
        returned.sort_unstable();
        assert_eq!(returned, waits, "{}", case.name);
        let (_, verdict) = fixture.place(1, &job(customer, 1, 900, 100, 1));
        let refused = matches!(
            verdict,
            place::Verdict::Refuse(code::Code::NoBackendServer, _)
        );
        assert!(refused, "{}", case.name);
    }
}

#[test]
fn plain_backend_servers_get_one_request_more_than_slots() {
    let mut fixture = fixture(2, 1, false);
    let mut jobs = (0..10).map(|_| place::Job {
        parts: SmallVec::new(),
        ..job(fixture.customers[0], 0, 0, 0, 0)
    });
    let jobs: Vec<_> = jobs.by_ref().collect();
    let started = jobs
        .iter()
        .filter(|job| server(&fixture.place(0, job).1).is_some())
        .count();
    assert_eq!(started, 6);
}

// Guards a customer against starving when its prefixes belong to overloaded engines.
#[test]
fn only_a_starved_customers_request_is_tried_at_further_engines() {
    struct Case {
        name: &'static str,
        // Tokens that the most served customer received.
        max_served: f64,
        // Tokens that this customer received and requested.
        received: f64,
        requested: f64,
        // Further engines at which its request is tried.
        further_engines: usize,
    }
    let cases = [
        Case {
            name: "a third of the most served customer's tokens",
            max_served: 9e6,
            received: 3e6,
            requested: 12e6,
            further_engines: 3,
        },
        Case {
            name: "most of the few tokens that it requests",
            max_served: 9e6,
            received: 3e5,
            requested: 4e5,
            further_engines: 0,
        },
        Case {
            name: "a third of the few tokens that it requests",
            max_served: 9e6,
            received: 1e5,
            requested: 3e5,
            further_engines: 3,
        },
        Case {
            name: "most of the most served customer's tokens",
            max_served: 4e6,
            received: 3e6,
            requested: 12e6,
            further_engines: 0,
        },
    ];
    for case in cases {
        let mut fixture = fixture(8, 2, true);
        let (most_served, customer) = (fixture.customers[0], fixture.customers[1]);
        fixture
            .fleet
            .service_mut()
            .add(ms(0), most_served, case.max_served);
        fixture
            .fleet
            .service_mut()
            .add(ms(0), customer, case.received);
        fixture
            .fleet
            .demand_mut()
            .add(ms(0), customer, case.requested);
        let mut job = job(customer, 42, 43, 1_000, 0);
        let mut next = fixture.fleet.choose(&job);
        let mut tried = Vec::new();
        while let Some(server) = next {
            assert!(!tried.contains(&server), "{}", case.name);
            tried.push(server);
            job.excluded.push(server);
            next = fixture.fleet.after_refusal(ms(0), &job);
        }
        assert_eq!(tried.len(), 1 + case.further_engines, "{}", case.name);
    }
}

// Guards against an index of usable servers that misses a change of their state.
#[test]
fn homes_depend_on_the_usable_servers_only() {
    let mut rng = random::Random::new(3);
    let mut fixture = fixture(12, 1, true);
    for _ in 0..200 {
        let server = fixture.servers[rng.below(12)];
        let states = [
            place::State::Ready,
            place::State::Draining,
            place::State::Unusable,
        ];
        let state = states[rng.below(3)];
        fixture.fleet.set_state(ms(0), server, state);
        if rng.below(20) == 0 {
            fixture.fleet.remove(fixture.servers[rng.below(12)]);
        }
        let mut job = job(fixture.customers[0], rng.bits(), 43, 1_000, 0);
        let mut order = Vec::new();
        while let Some(home) = fixture.fleet.choose(&job) {
            order.push(home);
            job.excluded.push(home);
        }
        let is_ready = |at: &&key::Sidecar| {
            let verdict = fixture.fleet.place_at(ms(0), 0, &job, **at);
            !matches!(
                verdict,
                place::Verdict::Refuse(code::Code::NoBackendServer, _)
            )
        };
        let ready: Vec<_> = fixture.servers.clone();
        let ready = ready.iter().filter(is_ready).count();
        assert_eq!(order.len(), ready);
    }
}

#[test]
fn due_time_follows_the_shortest_objective_and_the_urgency_and_starts_again_on_a_second_placement()
{
    struct Case {
        own: u64,
        shortest: Option<u64>,
        is_engine: bool,
        placed_again_ms: Option<u64>,
        due: u128,
    }
    let cases = [
        (1_200, None, true, None, 2_200),
        (1_200, Some(600), true, None, 1_424),
        (600, Some(1_200), true, None, 1_600),
        (1_200, Some(600), true, Some(5_000), 5_424),
        (60_000, Some(600), true, None, 1_300),
        // On a full plain service, requests of a route that was added with a longer objective were
        // refused nearly always.
        (1_200, Some(600), false, None, 1_600),
        (60_000, Some(300), false, None, 1_300),
        (600, Some(1_200), false, None, 1_600),
        (1_200, None, false, None, 2_200),
    ]
    .map(|(own, shortest, is_engine, placed_again_ms, due)| Case {
        own,
        shortest,
        is_engine,
        placed_again_ms,
        due,
    });
    for case in cases {
        let shortest = case.shortest.map(ms);
        let objective = place::objective(ms(case.own), shortest, case.is_engine);
        let due = place::due_time(ms(1_000), case.placed_again_ms.map(ms), objective);
        assert_eq!(due.as_millis(), case.due, "{} {shortest:?}", case.own);
    }
}

// Guards against overloading an engine that has just started: one got 19 requests in a second and
// sustains 8, because its prefixes were requested as before and placement did not know that it was
// cold.
#[test]
fn a_cold_engine_gets_no_more_than_its_max_rate() {
    let mut fixture = fixture(1, 1, true);
    let (engine, customer) = (fixture.servers[0], fixture.customers[0]);
    fixture.fleet.set_cold(ms(0), engine, ms(3_000), 8.0);
    let mut started_ms = Vec::new();
    for now in (0..5_000).step_by(10) {
        let job = job(customer, 1, now, 10, now);
        if let (_, place::Verdict::Start(placed)) = fixture.place(now, &job) {
            started_ms.push(now);
            fixture.fleet.release(ms(now), placed, true);
        }
        while let Some((_, placed)) = fixture.fleet.start_next(ms(now), engine) {
            started_ms.push(now);
            fixture.fleet.release(ms(now), placed, true);
        }
    }
    let within = |from: u64| {
        let second = from..from + 1_000;
        started_ms.iter().filter(|at| second.contains(at)).count()
    };
    let most = (0..2_000).step_by(50).map(within).max();
    assert!(most <= Some(11), "{most:?} in one second");
    assert!(within(1_000) >= 7, "{}", within(1_000));
    assert!(within(4_000) >= 90, "{} once warm", within(4_000));
}
