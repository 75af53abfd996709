//! What an entry says of where a request would go: the same as what then happens to it, and without
//! any effect.

#[path = "support/direct.rs"]
mod support;

#[path = "support/engines.rs"]
mod engines;

use chivebend::decide::{binding, feature, place, quarantine, random};
use chivebend::direct::{configuration, listing, route, state};
use chivebend::{code, key};
use support::ms;

struct Fixture {
    fleet: place::Fleet,
    servers: Vec<key::Sidecar>,
    customers: Vec<key::Customer>,
    next: u64,
}

fn fixture(servers: usize, is_engine: bool) -> Fixture {
    let mut fleet = place::Fleet::new(7);
    let add = |n| {
        let info = place::ServerInfo {
            id: &format!("server-{n}"),
            service: 0,
            slots: if is_engine { 64 } else { 2 },
            is_engine,
            is_near: n % 2 == 0,
            version: binding::Version::default(),
            is_version_known: true,
        };
        fleet.add(ms(0), info)
    };
    let servers = (0..servers).map(add).collect();
    Fixture {
        fleet,
        servers,
        customers: engines::customers(3),
        next: 0,
    }
}

fn job(customer: key::Customer, shared: u64, own: u64, tokens: u32, now: u64) -> place::Job {
    engines::job(customer, &[(shared, 1_000), (own, tokens)], now)
}

fn explain(fixture: &Fixture, now: u64, job: &place::Job) -> place::Explanation {
    fixture.fleet.explain(ms(now), job, |_| false)
}

impl Fixture {
    // Places a request as an entry does, which tries other homes after a refusal. Returns the
    // backend servers in turn and the last verdict.
    fn serve(&mut self, now: u64, job: &place::Job) -> (Vec<key::Sidecar>, place::Verdict) {
        let (mut job, mut tried) = (job.clone(), Vec::new());
        self.next += 1;
        let cost = job.cost as f64;
        self.fleet.demand_mut().add(ms(now), job.customer, cost);
        let mut offer = self.fleet.first_offer(ms(now), &job).expect("an offer");
        loop {
            let at = offer.server;
            tried.push(at);
            let verdict = self.fleet.place_at(ms(now), self.next, &job, at);
            let place::Verdict::Refuse(code, _) = verdict else {
                return (tried, verdict);
            };
            let refusals = tried.len();
            match self.fleet.next_offer(ms(now), &mut job, at, code, refusals) {
                Some(next) => offer = next,
                None => return (tried, verdict),
            }
        }
    }
}

fn judgement(verdict: &place::Verdict) -> place::Judgement {
    match verdict {
        place::Verdict::Start(_) => place::Judgement::Start,
        place::Verdict::Wait(_, until) => place::Judgement::Wait(*until),
        place::Verdict::Refuse(code, after) => place::Judgement::Refuse(*code, *after),
    }
}

struct Case {
    name: &'static str,
    servers: usize,
    is_engine: bool,
    // Tokens of the requests' own parts.
    tokens: u32,
    has_parts: bool,
    // Why some requests are offered to more than their homes, if they are.
    beside: Option<place::Reason>,
}

// Guards against an explanation by rules of its own, which drift from those that place requests.
#[test]
fn the_verdict_is_that_of_the_request_which_follows() {
    let cases = [
        Case {
            name: "engines with room and with queues",
            servers: 3,
            is_engine: true,
            tokens: 300,
            has_parts: true,
            beside: None,
        },
        Case {
            name: "engines that refuse most",
            servers: 4,
            is_engine: true,
            tokens: 4_000,
            has_parts: true,
            beside: Some(place::Reason::OtherHome),
        },
        Case {
            name: "engines that refuse most, with second homes",
            servers: 4,
            is_engine: true,
            tokens: 1_500,
            has_parts: true,
            beside: Some(place::Reason::SecondHome),
        },
        Case {
            name: "engines and prompts without parts",
            servers: 4,
            is_engine: true,
            tokens: 0,
            has_parts: false,
            beside: None,
        },
        Case {
            name: "plain backend servers, chosen at random",
            servers: 7,
            is_engine: false,
            tokens: 0,
            has_parts: false,
            beside: None,
        },
    ];
    for case in cases {
        assert_follows(&case);
    }
}

fn assert_follows(case: &Case) {
    let mut fixture = fixture(case.servers, case.is_engine);
    fixture.fleet.set_features(feature::Features {
        second_homes: case.beside == Some(place::Reason::SecondHome),
        ..feature::Features::default()
    });
    let mut random = random::Random::new(3);
    let (mut outcomes, mut seen) = ([0; 3], Vec::new());
    if case.beside.is_some() {
        // The others are starved beside it, and most engines are full of other entries' work.
        let first = fixture.customers[0];
        fixture.fleet.service_mut().add(ms(0), first, 1e7);
        for (n, server) in fixture.servers.iter().enumerate() {
            let load = place::Load {
                unread_tokens: 40_000.0 * n as f64,
                ..place::Load::default()
            };
            fixture.fleet.set_peer_load(*server, load);
        }
    }
    let mut placed = Vec::new();
    for n in 0..400 {
        let now = n * 5;
        // The first customer sends most of the requests.
        let customer = fixture.customers[random.below(8).saturating_sub(5)];
        let shared = random.below(5) as u64;
        let mut job = job(customer, shared, 1_000 + n, case.tokens, now);
        if !case.has_parts {
            job.parts.clear();
        }
        let explained = explain(&fixture, now, &job);
        let (tried, verdict) = fixture.serve(now, &job);
        let steps = explained.steps;
        let offered: Vec<_> = steps.iter().map(|step| step.offer.server).collect();
        let beside = steps.iter().map(|step| step.offer.reason);
        seen.extend(beside.filter(|reason| *reason != place::Reason::Home));
        assert_eq!(offered, tried, "{}: request {n}", case.name);
        let last = steps.last().map(|step| step.judgement);
        assert_eq!(last, Some(judgement(&verdict)), "{}: {n}", case.name);
        match verdict {
            place::Verdict::Start(start) => {
                outcomes[0] += 1;
                placed.push(start);
            }
            place::Verdict::Wait(..) => outcomes[1] += 1,
            place::Verdict::Refuse(..) => outcomes[2] += 1,
        }
        if n % 3 == 0 && !placed.is_empty() {
            let ended = placed.remove(0);
            let at = ended.server;
            fixture.fleet.release(ms(now), ended, true);
            placed.extend(fixture.fleet.start_next(ms(now), at).map(|(_, p)| p));
        }
        fixture.fleet.sweep(ms(now));
    }
    assert!(outcomes[0] > 0, "{}: {outcomes:?}", case.name);
    assert!(outcomes[1] + outcomes[2] > 0, "{}: {outcomes:?}", case.name);
    let is_expected = match case.beside {
        Some(reason) => seen.contains(&reason),
        None => seen.is_empty(),
    };
    assert!(is_expected, "{}: {seen:?}", case.name);
}

// Guards against a question that draws random numbers, takes a place in a queue, or refreshes a
// looked-up value, so that later requests are decided otherwise.
#[test]
fn asking_changes_nothing() {
    for is_engine in [true, false] {
        let (mut asked, mut other) = (fixture(4, is_engine), fixture(4, is_engine));
        for n in 0..300 {
            let now = n * 7;
            let job = job(asked.customers[n as usize % 3], n % 5, 1_000 + n, 900, now);
            let before = format!("{:?}", asked.fleet);
            for question in 0..3 {
                explain(&asked, now + question, &job);
            }
            assert_eq!(format!("{:?}", asked.fleet), before, "request {n}");
            let one = asked.serve(now, &job);
            let same = other.serve(now, &job);
            assert_eq!(format!("{one:?}"), format!("{same:?}"), "request {n}");
        }
    }
}

#[test]
fn candidates_show_what_is_used_and_what_is_not() {
    let mut fixture = fixture(5, true);
    let job = job(fixture.customers[0], 1, 2, 100, 100);
    let home = fixture.fleet.choose(&job).expect("a home");
    let others: Vec<_> = fixture.servers.iter().filter(|s| **s != home).collect();
    let (draining, unusable) = (*others[0], *others[1]);
    let set = |fleet: &mut place::Fleet, at, state| drop(fleet.set_state(ms(50), at, state));
    set(&mut fixture.fleet, draining, place::State::Draining);
    set(&mut fixture.fleet, unusable, place::State::Unusable);
    fixture.fleet.set_cold(ms(50), home, ms(4_100), 5.0);
    let load = place::Load {
        in_flight: 3,
        unread_tokens: 450.0,
        queued_tokens: 70.0,
        ..place::Load::default()
    };
    fixture.fleet.set_peer_load(home, load);
    let explained = explain(&fixture, 100, &job);
    let ranks: Vec<_> = explained.candidates.iter().map(|c| c.rank).collect();
    assert_eq!(ranks, [Some(1), Some(2), Some(3), None, None]);
    let first = explained.candidates[0];
    assert_eq!(first.server, home);
    assert_eq!((first.unread_tokens, first.queued_tokens), (450.0, 70.0));
    assert_eq!((first.estimate.in_flight, first.slots), (3, 64));
    assert_eq!(first.cold, ms(4_000));
    for candidate in &explained.candidates[3..] {
        let expected = if candidate.server == draining {
            place::State::Draining
        } else {
            place::State::Unusable
        };
        assert_eq!(candidate.state, expected);
        let refused = matches!(
            candidate.judgement,
            place::Judgement::Refuse(code::Code::NoBackendServer, _)
        );
        assert!(refused, "{candidate:?}");
    }
}

#[test]
fn the_number_of_candidates_is_bounded_and_includes_the_chosen_one() {
    for (is_engine, has_parts) in [(true, true), (false, false)] {
        let fixture = fixture(200, is_engine);
        let mut job = job(fixture.customers[0], 1, 2, 100, 0);
        if !has_parts {
            job.parts.clear();
        }
        let explained = explain(&fixture, 0, &job);
        assert_eq!(explained.candidates.len(), place::MAX_CANDIDATES);
        assert_eq!(explained.left_out, 200 - place::MAX_CANDIDATES);
        let chosen = explained.steps[0].offer.server;
        assert!(explained.candidates.iter().any(|c| c.server == chosen));
    }
}

fn entry() -> state::Entry {
    let entry = support::entry(1);
    let route = |name: &str, services: &[(&str, u32)], is_anonymous| configuration::Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/"),
        kind: configuration::RouteKind::Safe,
        timeout: ms(4_000),
        objective: ms(600),
        attempts: 2,
        shares: services
            .iter()
            .map(|(service, weight)| configuration::Share {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        is_anonymous,
    };
    let routes = vec![
        route("one", &[("s", 1)], false),
        route("two", &[("s", 3), ("none", 1)], true),
    ];
    let mut configuration = configuration::Configuration::new(2, routes);
    let service = configuration::Service::default();
    configuration.services.insert("s".into(), service);
    let customer = configuration::Customer {
        name: "small".into(),
    };
    configuration.customers = Some([("secret-key".to_owned(), customer)].into());
    entry.set_configuration(configuration);
    let servers = ["s-1", "s-2"].map(|id| support::server(id, 1, id == "s-2"));
    entry.apply_update(listing::Update::All(servers.to_vec()));
    entry
}

fn question(edit: impl FnOnce(&mut route::question::Question)) -> route::question::Question {
    let mut question = route::question::Question {
        host: "h".into(),
        path: "/one/a?b=c".into(),
        customer: Some("small".into()),
        parts: "a:100,b:50".into(),
        usage: "150,20".into(),
        ..route::question::Question::default()
    };
    edit(&mut question);
    question
}

#[test]
fn an_entry_says_where_a_request_goes_or_why_it_is_refused() {
    struct Case {
        name: &'static str,
        edit: fn(&mut route::question::Question),
        // Service and outcome, or the number of the code.
        expected: Result<(&'static str, &'static str), u16>,
    }
    let cases = [
        Case {
            name: "by the customer's name",
            edit: |_| {},
            expected: Ok(("s", "start")),
        },
        Case {
            name: "by API key",
            edit: |q| (q.customer, q.key) = (None, Some("secret-key".into())),
            expected: Ok(("s", "start")),
        },
        Case {
            name: "by the route's name, which needs no key",
            edit: |q| (q.route, q.customer) = (Some("two".into()), None),
            expected: Ok(("s", "start")),
        },
        Case {
            name: "a service without backend servers",
            edit: |q| (q.route, q.service) = (Some("two".into()), Some("none".into())),
            expected: Err(302),
        },
        Case {
            name: "an unknown API key",
            edit: |q| (q.customer, q.key) = (None, Some("other".into())),
            expected: Err(102),
        },
        Case {
            name: "a path without a route",
            edit: |q| q.path = "/none/".into(),
            expected: Err(103),
        },
    ];
    let entry = entry();
    for case in cases {
        let answer = route::answer(&entry, &question(case.edit)).expect(case.name);
        let seen = match answer.verdict.code {
            Some(code) => Err(code),
            None => Ok((
                answer.service.as_deref().unwrap_or(""),
                answer.verdict.outcome.as_str(),
            )),
        };
        assert_eq!(seen, case.expected, "{}", case.name);
        let text = serde_json::to_string(&answer).expect("JSON");
        assert!(!text.contains("secret-key"), "{text}");
        assert!(!format!("{:?}", question(case.edit)).contains("secret-key"));
    }
    let unconfigured = support::empty_entry(1);
    let answer = route::answer(&unconfigured, &question(|_| {})).expect("an answer");
    assert_eq!(answer.verdict.code, Some(301));
}

#[test]
fn faulty_questions_are_answered_with_a_numbered_code() {
    struct Case {
        name: &'static str,
        edit: fn(&mut route::question::Question),
        code: code::Code,
    }
    let bad = code::Code::BadRequest;
    let cases = [
        Case {
            name: "no path",
            edit: |q| q.path.clear(),
            code: bad,
        },
        Case {
            name: "a customer and an API key",
            edit: |q| q.key = Some("secret-key".into()),
            code: bad,
        },
        Case {
            name: "an unknown customer",
            edit: |q| q.customer = Some("other".into()),
            code: code::Code::NoSuchCustomer,
        },
        Case {
            name: "an unknown route name",
            edit: |q| q.route = Some("three".into()),
            code: code::Code::NoSuchRoute,
        },
        Case {
            name: "a service that the route doesn't name",
            edit: |q| q.service = Some("t".into()),
            code: bad,
        },
        Case {
            name: "a part without tokens",
            edit: |q| q.parts = "a:1,b".into(),
            code: bad,
        },
        Case {
            name: "a usage that is no number",
            edit: |q| q.usage = "many".into(),
            code: bad,
        },
        Case {
            name: "a negative deadline",
            edit: |q| q.deadline_ms = Some(-1.0),
            code: code::Code::BadDeadline,
        },
        Case {
            name: "a deadline that is no number",
            edit: |q| q.deadline_ms = Some(f64::NAN),
            code: code::Code::BadDeadline,
        },
        Case {
            name: "a short fingerprint",
            edit: |q| q.fingerprint = Some("12ab".into()),
            code: bad,
        },
    ];
    let entry = entry();
    for case in cases {
        let fault = route::answer(&entry, &question(case.edit)).expect_err(case.name);
        assert_eq!(fault.code, case.code, "{}", case.name);
        assert!(!fault.detail.contains("secret-key"), "{}", fault.detail);
    }
}

// Guards against a question that registers a customer, draws a random number or counts as a try of a
// held request.
#[test]
fn asking_an_entry_changes_nothing_and_shows_why_servers_are_not_used() {
    let entry = entry();
    let held = question(|q| q.fingerprint = Some("0123456789abcdef".into()));
    let fingerprint = quarantine::Fingerprint {
        customer: xxhash_rust::xxh3::xxh3_64(b"small"),
        content: 0x0123_4567_89ab_cdef,
    };
    for process in 0..8 {
        let mut table = entry.quarantine.borrow_mut();
        table.on_crash(ms(process), fingerprint, process, 100, ms(100), true);
    }
    let standing = entry.standing(fingerprint);
    assert_eq!(standing, quarantine::Standing::Quarantined);
    let state = |entry: &state::Entry| {
        let fleet = format!("{:?}", entry.fleet.borrow());
        let arrivals = format!("{:?}", entry.arrivals.borrow());
        let rest = (entry.meter.text(), format!("{:?}", entry.rng.borrow()));
        let held = format!("{:?}", entry.quarantine.borrow());
        (fleet, arrivals, rest, held, entry.known_customer("small"))
    };
    let before = state(&entry);
    let answer = route::answer(&entry, &held).expect("an answer");
    assert_eq!(answer.verdict.code, Some(211));
    let answer = route::answer(&entry, &question(|_| {})).expect("an answer");
    assert_eq!(answer.verdict.server.as_deref(), Some("s-1"));
    assert!(!answer.notes.is_empty(), "only a fingerprint shows more");
    let leaving = answer.candidates.iter().find(|c| c.server == "s-2");
    let leaving = leaving.expect("s-2");
    assert_eq!(leaving.state, "draining");
    assert_eq!(leaving.reasons, ["leaving"]);
    let none = question(|q| (q.route, q.service) = (Some("two".into()), Some("none".into())));
    route::answer(&entry, &none).expect("an answer");
    assert_eq!(state(&entry), before);
}
