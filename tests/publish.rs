//! Publishing of catalogues under races, lost responses, outages and lost records: there is one
//! history, and no process goes back to an older revision.

mod support;

use std::{collections, process, thread};

use chivebend::client::log;
use chivebend::cmd::publish::{self, Outcome};
use chivebend::control::catalogue::history;
use chivebend::decide::accept;
use chivebend::{code, standin};
use support::{WAIT_TIMEOUT, node, until};

/// Short, so that a lost response delays a test little.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

fn request(id: &str, base: Option<u64>, toml: &str) -> publish::Request {
    publish::Request {
        change_id: id.into(),
        base,
        over_gap: false,
        author: format!("author of {id}"),
        toml: toml.into(),
    }
}

fn publish_request(log: &standin::log::Handle, request: &publish::Request) -> Outcome {
    publish_with_timeout(log, request, WAIT_TIMEOUT)
}

/// Publishes with a short timeout, at a log that loses responses.
fn publish_with_timeout(
    log: &standin::log::Handle,
    request: &publish::Request,
    call: std::time::Duration,
) -> Outcome {
    let client = log::open_with(log.addr, call);
    publish::publish(&client, request, WAIT_TIMEOUT).expect("the log was reached")
}

/// Returns the revisions that a process put in force, in order.
fn revisions(node: &node::Node) -> Vec<u64> {
    let page = node.ring.read(&chivebend::event::Filter::default());
    let accepted = page
        .events
        .into_iter()
        .filter(|event| event.name == "catalogue_accepted");
    accepted.filter_map(|event| event.revision).collect()
}

fn all_have_revision(nodes: &[node::Node], revision: u64) -> bool {
    nodes.iter().all(|node| node.revision() == revision)
}

fn assert_revisions_increase(nodes: &[node::Node]) {
    for node in nodes {
        let revisions = revisions(node);
        assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?}");
    }
}

#[test]
fn publishing_reports_each_outcome() {
    let log = node::open_log();
    let (one, two) = (node::text(1), node::text(2));
    let accepted = |revision| Outcome::Accepted { revision };
    assert_eq!(
        publish_request(&log, &request("a", None, &one)),
        accepted(1)
    );
    assert_eq!(
        publish_request(&log, &request("b", None, &one)),
        Outcome::Unchanged { revision: 1 }
    );
    assert_eq!(
        publish_request(&log, &request("c", Some(1), &two)),
        accepted(2)
    );
    assert_eq!(
        publish_request(&log, &request("c", Some(1), &two)),
        accepted(2),
        "the same again"
    );
    let lost = Outcome::LostRace {
        to: 2,
        author: Some("author of c".into()),
    };
    assert_eq!(publish_request(&log, &request("d", Some(1), &one)), lost);
    let refused = publish_request(&log, &request("e", None, &node::text(0)));
    assert!(matches!(refused, Outcome::Refused { .. }), "{refused:?}");
}

#[test]
fn a_publisher_recovers_from_faults_of_the_log() {
    struct Case {
        name: &'static str,
        switches: standin::log::Faults,
        want: fn(&Outcome) -> bool,
        records: usize,
    }
    let cases = [
        Case {
            name: "responses lost after the append",
            switches: standin::log::Faults {
                lose_answers: Some(9),
                ..Default::default()
            },
            want: |outcome| *outcome == Outcome::Accepted { revision: 1 },
            records: 1,
        },
        Case {
            name: "appends lost",
            switches: standin::log::Faults {
                lose_appends: Some(2),
                ..Default::default()
            },
            want: |outcome| *outcome == Outcome::Accepted { revision: 1 },
            records: 1,
        },
        Case {
            name: "slow responses",
            switches: standin::log::Faults {
                delay_ms: Some(50),
                ..Default::default()
            },
            want: |outcome| *outcome == Outcome::Accepted { revision: 1 },
            records: 1,
        },
    ];
    for case in cases {
        let log = node::open_log();
        log.set_faults(case.switches);
        let outcome = publish_with_timeout(&log, &request("a", None, &node::text(1)), CALL_TIMEOUT);
        assert!((case.want)(&outcome), "{}: {outcome:?}", case.name);
        assert_eq!(
            log.records(log::CATALOGUE_STREAM).len(),
            case.records,
            "{}",
            case.name
        );
    }
}

#[test]
fn outcome_is_unknown_during_an_outage_after_the_append() {
    let log = node::open_log();
    publish_request(&log, &request("a", None, &node::text(1)));
    log.set_faults(standin::log::Faults {
        lose_answers: Some(1),
        ..Default::default()
    });
    let client = log::open_with(log.addr, CALL_TIMEOUT);
    let change = request("b", Some(1), &node::text(2));
    let publisher = {
        let change = change.clone();
        thread::spawn(move || publish::publish(&client, &change, std::time::Duration::from_secs(1)))
    };
    until("the record is stored", || {
        log.records(log::CATALOGUE_STREAM).len() == 2
    });
    log.set_faults(standin::log::Faults {
        outage: Some(true),
        ..Default::default()
    });
    let outcome = publisher.join().expect("no panic").expect("it was sent");
    assert!(
        matches!(outcome, Outcome::Unknown { base: 1, .. }),
        "{outcome:?}"
    );
    log.set_faults(standin::log::Faults {
        outage: Some(false),
        ..Default::default()
    });
    assert_eq!(
        publish_request(&log, &change),
        Outcome::Accepted { revision: 2 }
    );
    assert_eq!(log.records(log::CATALOGUE_STREAM).len(), 2);
}

#[test]
fn racing_publishers_with_lost_responses_make_one_history() {
    const PUBLISHERS: u64 = 6;
    const CHANGES: u64 = 8;
    let log = node::open_log();
    let runtime = chivebend::process::Runtime::open("test").expect("runtime");
    let nodes = node::fleet(&runtime, log.addr, 6);
    let outcomes: Vec<(String, Outcome)> = thread::scope(|scope| {
        let publisher = |of: u64| {
            let log = &log;
            move || {
                let change = |n: u64| {
                    if (of + n).is_multiple_of(3) {
                        let lost = Some(1);
                        log.set_faults(standin::log::Faults {
                            lose_answers: lost,
                            ..Default::default()
                        });
                    }
                    let id = format!("p{of}-{n}");
                    let request = request(&id, None, &node::text(1 + of * CHANGES + n));
                    let outcome = publish_with_timeout(log, &request, CALL_TIMEOUT);
                    (id, outcome)
                };
                (0..CHANGES).map(change).collect::<Vec<_>>()
            }
        };
        let threads: Vec<_> = (0..PUBLISHERS)
            .map(|of| scope.spawn(publisher(of)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("no panic"))
            .collect()
    });
    let mut reader = accept::Reader::default();
    let records = history::catch_up(&log::open(log.addr), &mut reader).expect("the log answers");
    let verdict = |id: &str| {
        let mine = records.iter().filter(|record| record.change_id == id);
        mine.filter(|record| record.verdict == accept::Verdict::Accepted)
            .map(|record| record.offset)
            .collect::<Vec<_>>()
    };
    let mut seen = collections::HashSet::new();
    for (id, outcome) in &outcomes {
        match outcome {
            Outcome::Accepted { revision } => {
                assert_eq!(verdict(id), [*revision], "{id}");
                assert!(
                    seen.insert(*revision),
                    "revision {revision} was reported twice"
                );
            }
            Outcome::LostRace { .. } => assert_eq!(verdict(id), [0_u64; 0], "{id}"),
            other => panic!("{id}: {other:?}"),
        }
    }
    let accepted = records
        .iter()
        .filter(|record| record.verdict == accept::Verdict::Accepted)
        .count();
    assert_eq!(
        accepted,
        seen.len(),
        "every accepted change was reported to its publisher"
    );
    let last = reader.state().revision;
    until("all processes have the last revision", || {
        all_have_revision(&nodes, last)
    });
    assert_revisions_increase(&nodes);
}

#[test]
fn an_outage_with_restarts_and_expired_records_reverts_nothing() {
    let log = node::open_log();
    let runtime = chivebend::process::Runtime::open("test").expect("runtime");
    let mut nodes = node::fleet(&runtime, log.addr, 6);
    publish_request(&log, &request("a", None, &node::text(1)));
    // A process may append a snapshot between the two changes, so the revision isn't always 2.
    let Outcome::Accepted { revision: before } =
        publish_request(&log, &request("b", None, &node::text(2)))
    else {
        panic!("a change of a running log is accepted");
    };
    until("everybody is there", || all_have_revision(&nodes, before));
    log.set_faults(standin::log::Faults {
        outage: Some(true),
        ..Default::default()
    });
    for at in 0..4 {
        nodes[at] = node::Node::spawn(&runtime, log.addr, &format!("n{at}"), 2, "secret");
        let list = node::list(&nodes);
        for node in &nodes {
            node.gossip.members.observe_list(&list);
        }
        until("the restarted process has the revision", || {
            nodes[at].revision() == before
        });
    }
    // All records of the log expired during the outage.
    let all = Some(u64::MAX);
    let back = standin::log::Faults {
        outage: Some(false),
        cut_before: all,
        ..Default::default()
    };
    log.set_faults(back);
    until("a snapshot is appended again", || {
        !log.records(log::CATALOGUE_STREAM).is_empty()
    });
    assert_revisions_increase(&nodes);
    drop(nodes);
    // All processes start without state, and the log has only snapshots.
    let nodes = node::fleet(&runtime, log.addr, 6);
    until("all processes have the revision again", || {
        all_have_revision(&nodes, before)
    });
    let Outcome::Accepted { revision } =
        publish_request(&log, &request("c", Some(before), &node::text(3)))
    else {
        panic!("a change on the revision in force is accepted");
    };
    until("the next change", || all_have_revision(&nodes, revision));
    assert_revisions_increase(&nodes);
}

#[test]
fn only_a_change_with_over_gap_is_accepted_after_a_gap_that_no_snapshot_covers() {
    let log = node::open_log();
    publish_request(&log, &request("a", None, &node::text(1)));
    log.set_faults(standin::log::Faults {
        cut_before: Some(u64::MAX),
        ..Default::default()
    });
    let client = log::open(log.addr);
    let change = request("b", None, &node::text(2));
    let err = publish::publish(&client, &change, WAIT_TIMEOUT).expect_err("it can't be judged");
    assert_eq!(err.code(), code::Code::LogUnavailable);
    let over = publish::Request {
        over_gap: true,
        ..change
    };
    assert_eq!(
        publish_request(&log, &over),
        Outcome::Accepted { revision: 2 }
    );
    let runtime = chivebend::process::Runtime::open("test").expect("runtime");
    let nodes = node::fleet(&runtime, log.addr, 3);
    until("everybody is there", || all_have_revision(&nodes, 2));
}

/// Runs the operators' command line.
fn chivebend(args: &[&str]) -> (i32, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_chivebend"))
        .args(args)
        .env("USER", "ana")
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code().unwrap_or(-1), text)
}

struct CommandCase<'a> {
    args: Vec<&'a str>,
    code: i32,
    text: String,
}

#[test]
fn commands_print_their_result_and_return_its_exit_code() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("it is written");
        path.to_string_lossy().into_owned()
    };
    let log = node::open_log();
    let addr = log.addr.to_string();
    let (one, two) = (
        file("one.toml", &node::text(1)),
        file("two.toml", &node::text(2)),
    );
    let bad = file("bad.toml", &node::text(0));
    let fault = "weight 0 is not above 0 and at most 1000";
    let cases = [
        CommandCase {
            args: vec!["check", &one],
            code: 0,
            text: String::new(),
        },
        CommandCase {
            args: vec!["check", &bad],
            code: 1,
            text: format!("{bad}:2:10: {fault}\n"),
        },
        CommandCase {
            args: vec!["check", "none.toml"],
            code: 2,
            text: String::new(),
        },
        CommandCase {
            args: vec!["catalogue", "--log", &addr],
            code: 1,
            text: String::new(),
        },
        CommandCase {
            args: vec!["publish", &one, "--log", &addr, "--change-id", "a"],
            code: 0,
            text: "accepted as revision 1 (change a)\n".into(),
        },
        CommandCase {
            args: vec!["diff", &two, "--log", &addr],
            code: 0,
            text: "base revision 1\n~ class.standard.weight: 1.0 -> 2.0\n".into(),
        },
        CommandCase {
            args: vec!["publish", &two, "--log", &addr, "--base", "0"],
            code: 1,
            text: "lost the race: revision 1 by ana was in force; see chivebend diff\n".into(),
        },
        CommandCase {
            args: vec!["publish", &bad, "--log", &addr],
            code: 1,
            text: String::new(),
        },
        CommandCase {
            args: vec!["catalogue", "--toml", "--log", &addr],
            code: 0,
            text: node::text(1),
        },
        CommandCase {
            args: vec!["publish", &two, "--log", "nowhere"],
            code: 2,
            text: String::new(),
        },
    ];
    for case in cases {
        let (code, text) = chivebend(&case.args);
        assert_eq!((code, text), (case.code, case.text), "{:?}", case.args);
    }
    log.set_faults(standin::log::Faults {
        lose_appends: Some(99),
        ..Default::default()
    });
    let args = [
        "publish",
        &two,
        "--log",
        &addr,
        "--change-id",
        "b",
        "--timeout",
        "1",
    ];
    let (code, text) = chivebend(&args);
    assert_eq!(code, 3, "{text}");
    assert!(
        text.contains("publish the same file with --change-id b --base 1"),
        "{text}"
    );
}
