//! Membership derived from observations that are late, reordered or contradictory.

use std::{collections, net, time};

use chivebend::decide::member::{self, Listed, Member, Role, Table};

const fn s(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

fn sidecar(id: &str, incarnation: u64, heartbeat: u64) -> Member {
    Member {
        id: id.into(),
        incarnation,
        role: Role::Sidecar,
        zone: "sur-a".into(),
        region: "uy-sur".into(),
        service: "chive-llm".into(),
        address: net::SocketAddr::from(([10, 0, 0, 1], 7000)),
        ops_address: None,
        heartbeat,
        leaving: false,
    }
}

fn leaving(member: Member) -> Member {
    Member {
        leaving: true,
        ..member
    }
}

fn listed(id: &str, incarnation: u64) -> Listed {
    Listed {
        member: sidecar(id, incarnation, 0),
        leaving: false,
    }
}

fn table() -> Table {
    Table::new(sidecar("own", 1, 0))
}

fn live(table: &Table, now: time::Duration) -> Vec<String> {
    table
        .live(now, Role::Sidecar, Some("chive-llm"))
        .map(|m| m.id.clone())
        .collect()
}

type Observation = fn(&mut Table);

struct Case {
    name: &'static str,
    observations: &'static [Observation],
    at: u64,
    live: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "the list alone",
        observations: &[|t| t.observe_list(s(0), &[listed("a", 0)])],
        at: 0,
        live: &["a"],
    },
    Case {
        name: "a digest alone",
        observations: &[|t| t.observe_member(s(0), sidecar("a", 5, 1))],
        at: 0,
        live: &["a"],
    },
    Case {
        name: "a digest says leaving, the list says live",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5)]),
            |t| t.observe_member(s(1), leaving(sidecar("a", 5, 1))),
            |t| t.observe_list(s(2), &[listed("a", 5)]),
            |t| t.observe_member(s(3), sidecar("a", 5, 2)),
        ],
        at: 3,
        live: &[],
    },
    Case {
        name: "the list says leaving",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| {
                t.observe_list(
                    s(1),
                    &[Listed {
                        leaving: true,
                        ..listed("a", 5)
                    }],
                );
            },
        ],
        at: 1,
        live: &[],
    },
    Case {
        name: "a link says leaving",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.observe_answer(s(1), "a", 5, true),
        ],
        at: 1,
        live: &[],
    },
    Case {
        name: "a restart is not leaving any more",
        observations: &[
            |t| t.observe_member(s(0), leaving(sidecar("a", 5, 9))),
            |t| t.observe_member(s(1), sidecar("a", 6, 0)),
        ],
        at: 1,
        live: &["a"],
    },
    Case {
        name: "late observations of the process before the restart",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 6, 0)),
            |t| t.observe_member(s(1), leaving(sidecar("a", 5, 9))),
            |t| t.observe_answer(s(2), "a", 5, true),
        ],
        at: 2,
        live: &["a"],
    },
    Case {
        name: "the list still says leaving of the process before the restart",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 6, 0)),
            |t| {
                t.observe_list(
                    s(1),
                    &[Listed {
                        leaving: true,
                        ..listed("a", 5)
                    }],
                );
            },
        ],
        at: 1,
        live: &["a"],
    },
    Case {
        name: "the platform does not know incarnations and takes leaving back",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 6, 0)),
            |t| {
                t.observe_list(
                    s(1),
                    &[Listed {
                        leaving: true,
                        ..listed("a", 0)
                    }],
                );
            },
            |t| t.observe_list(s(2), &[listed("a", 0)]),
        ],
        at: 2,
        live: &["a"],
    },
    Case {
        name: "one failure is no suspicion",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.observe_failure(s(1), "a"),
        ],
        at: 1,
        live: &["a"],
    },
    Case {
        name: "two failures are a suspicion, whatever the list says",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.observe_failure(s(1), "a"),
            |t| t.observe_failure(s(2), "a"),
            |t| t.observe_list(s(3), &[listed("a", 5)]),
        ],
        at: 3,
        live: &[],
    },
    Case {
        name: "it answers again and is not used for a moment",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.observe_failure(s(1), "a"),
            |t| t.observe_failure(s(2), "a"),
            |t| t.observe_answer(s(3), "a", 5, false),
        ],
        at: 3,
        live: &[],
    },
    Case {
        name: "after that moment it takes work",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.observe_failure(s(1), "a"),
            |t| t.observe_failure(s(2), "a"),
            |t| t.observe_answer(s(3), "a", 5, false),
        ],
        at: 4,
        live: &["a"],
    },
    Case {
        name: "off the list and silent",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(5), &[listed("b", 5)]),
            |t| t.expire(s(16)),
        ],
        at: 16,
        live: &["b"],
    },
    Case {
        name: "off the list for a moment",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(5), &[listed("b", 5)]),
            |t| t.observe_list(s(7), &[listed("a", 5), listed("b", 5)]),
            |t| t.expire(s(16)),
        ],
        at: 16,
        live: &["a", "b"],
    },
    Case {
        name: "off the list but it answers",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(5), &[listed("b", 5)]),
            |t| t.observe_answer(s(12), "a", 5, false),
            |t| t.expire(s(16)),
        ],
        at: 16,
        live: &["a", "b"],
    },
    Case {
        name: "not yet on the list and silent",
        observations: &[
            |t| t.observe_member(s(0), sidecar("a", 5, 1)),
            |t| t.expire(s(899)),
            |t| t.expire(s(901)),
        ],
        at: 901,
        live: &[],
    },
    Case {
        name: "an old list and an old digest restore no removed member",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(5), &[listed("b", 5)]),
            |t| t.expire(s(16)),
            |t| t.observe_list(s(17), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(18), &[listed("a", 0), listed("b", 5)]),
            |t| t.observe_member(s(19), sidecar("a", 5, 0)),
        ],
        at: 19,
        live: &["b"],
    },
    Case {
        name: "a newer digest of its own restores it",
        observations: &[
            |t| t.observe_list(s(0), &[listed("a", 5), listed("b", 5)]),
            |t| t.observe_list(s(5), &[listed("b", 5)]),
            |t| t.expire(s(16)),
            |t| t.observe_member(s(19), sidecar("a", 5, 1)),
        ],
        at: 19,
        live: &["a", "b"],
    },
    Case {
        name: "a list that lost most of its content is not applied at once",
        observations: &[
            |t| {
                let ids = ["a", "b", "c", "d", "e", "f"];
                t.observe_list(s(0), &ids.map(|id| listed(id, 5)));
            },
            |t| t.observe_list(s(5), &[listed("a", 5)]),
            |t| t.expire(s(60)),
        ],
        at: 60,
        live: &["a", "b", "c", "d", "e", "f"],
    },
    Case {
        name: "what others say of this process does not matter",
        observations: &[
            |t| t.observe_member(s(0), leaving(sidecar("own", 1, 7))),
            |t| t.observe_list(s(0), &[listed("own", 1)]),
        ],
        at: 0,
        live: &[],
    },
];

#[test]
fn live_members_follow_from_observations() {
    for case in CASES {
        let mut table = table();
        for observation in case.observations {
            observation(&mut table);
        }
        assert_eq!(live(&table, s(case.at)), case.live, "{}", case.name);
        assert!(!table.own().leaving, "{}", case.name);
    }
}

#[test]
fn flapping_member_is_delayed_longer_each_time() {
    let mut table = table();
    table.observe_member(s(0), sidecar("a", 5, 1));
    let mut delays_s = Vec::new();
    for round in 0..9_u64 {
        let now = s(1 + round * 100);
        table.observe_failure(now, "a");
        table.observe_failure(now, "a");
        table.observe_answer(now, "a", 5, false);
        let back = (0..100).find(|after| !live(&table, now + s(*after)).is_empty());
        delays_s.push(back.expect("it comes back"));
    }
    assert_eq!(delays_s, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
}

/// Exchanges digests: each table applies what the other sends.
fn exchange(tables: &mut [Table], now: time::Duration, a: usize, b: usize) {
    let sent = tables[a].digest(member::DIGEST_ROWS);
    let back = tables[b].digest(member::DIGEST_ROWS);
    for member in sent {
        tables[b].observe_member(now, member);
    }
    for member in back {
        tables[a].observe_member(now, member);
    }
}

fn position(tables: &[Table], id: &str) -> usize {
    tables
        .iter()
        .position(|t| t.own().id == id)
        .expect("a table")
}

/// Runs one exchange of every table with a random other, if `reaches` allows it.
fn round(tables: &mut [Table], now: time::Duration, reaches: impl Fn(usize, usize) -> bool) {
    for a in 0..tables.len() {
        let targets = tables[a].targets(1);
        for target in targets {
            let b = position(tables, &target.id);
            if reaches(a, b) {
                exchange(tables, now, a, b);
            }
        }
    }
}

fn fleet(count: usize) -> Vec<Table> {
    let name = |at: usize| format!("n{at:03}");
    let list: Vec<Listed> = (0..count).map(|at| listed(&name(at), 1)).collect();
    let mut tables: Vec<Table> = (0..count)
        .map(|at| Table::new(sidecar(&name(at), 1, 0)))
        .collect();
    for table in &mut tables {
        table.observe_list(s(0), &list);
    }
    tables
}

#[test]
fn leaving_spreads_to_all_members() {
    let mut tables = fleet(300);
    tables[7].leave();
    let knows = |t: &Table| live(t, s(1)).iter().all(|id| id != "n007");
    let mut rounds = 0;
    while !tables.iter().all(knows) {
        rounds += 1;
        assert!(rounds < 30, "the departure does not spread");
        round(&mut tables, s(1), |_, _| true);
    }
}

#[test]
fn partitioned_node_restores_no_removed_member_and_loses_no_live_one() {
    let count = 40;
    let mut tables = fleet(count);
    let (partitioned, removed) = (3, 5);
    // The list drops the removed node; the partitioned one learns nothing of it for an hour, while
    // the others go on.
    let rest: Vec<Listed> = (0..count)
        .filter(|at| *at != removed)
        .map(|at| listed(&format!("n{at:03}"), 1))
        .collect();
    for minute in 1..=60_u64 {
        let now = s(minute * 60);
        for (at, table) in tables.iter_mut().enumerate() {
            if at != partitioned && at != removed {
                table.observe_list(now, &rest);
                table.expire(now);
                table.heartbeat();
            }
        }
        round(&mut tables, now, |a, b| {
            ![a, b].iter().any(|at| [partitioned, removed].contains(at))
        });
    }
    assert!(
        live(&tables[partitioned], s(3600)).contains(&"n005".to_owned()),
        "it has not learned of the removal"
    );
    for second in 0..60 {
        let now = s(3600 + second);
        round(&mut tables, now, |a, b| ![a, b].contains(&removed));
        for table in &mut tables {
            table.expire(now);
        }
    }
    for (at, table) in tables.iter().enumerate().filter(|(at, _)| *at != removed) {
        let live: collections::BTreeSet<_> = live(table, s(3660)).into_iter().collect();
        assert!(
            at == partitioned || !live.contains("n005"),
            "n{at:03} learned of the removed node"
        );
        let others = (0..count).filter(|other| ![at, removed].contains(other));
        for other in others {
            assert!(
                live.contains(&format!("n{other:03}")),
                "n{at:03} lost n{other:03}"
            );
        }
    }
    tables[partitioned].observe_list(s(3661), &rest);
    tables[partitioned].expire(s(3672));
    assert!(
        !live(&tables[partitioned], s(3672)).contains(&"n005".to_owned()),
        "it learned from the list"
    );
}

#[test]
fn each_zone_has_its_watchers() {
    let mut tables = fleet(60);
    let watchers = |tables: &[Table]| tables.iter().filter(|t| t.is_watcher()).count();
    assert_eq!(watchers(&tables), member::WATCHERS_PER_ZONE);
    // A watcher that leaves is replaced.
    let at = tables
        .iter()
        .position(Table::is_watcher)
        .expect("a watcher");
    let mut gone = tables.remove(at);
    gone.leave();
    let last = gone.own().clone();
    for table in &mut tables {
        table.observe_member(s(1), last.clone());
    }
    assert_eq!(watchers(&tables), member::WATCHERS_PER_ZONE);
}

#[test]
fn digests_are_bounded() {
    let mut tables = fleet(300);
    for _ in 0..40 {
        let rows = tables[0].digest(member::DIGEST_ROWS);
        assert!(rows.len() <= member::DIGEST_ROWS + 1, "{}", rows.len());
        let ids: collections::HashSet<_> = rows.iter().map(|m| &m.id).collect();
        assert_eq!(ids.len(), rows.len(), "each row once");
    }
}

#[test]
fn known_observations_leave_the_version_unchanged() {
    let mut table = table();
    table.observe_member(s(0), sidecar("a", 5, 1));
    let version = table.version();
    table.observe_member(s(1), sidecar("a", 5, 1));
    table.observe_member(s(2), sidecar("a", 5, 2));
    table.observe_answer(s(3), "a", 5, false);
    table.observe_failure(s(4), "a");
    assert_eq!(table.version(), version);
    table.observe_failure(s(5), "a");
    assert_eq!(table.version(), version + 1);
    table.observe_answer(s(6), "a", 5, false);
    assert_eq!(table.version(), version + 2);
}

// Without its tombstone, a process that is gone would come back with an outdated row.
#[test]
fn the_newest_lost_process_is_remembered_however_many_are_lost() {
    let mut table = table();
    for n in 0..4_200 {
        table.observe_member(s(0), sidecar(&format!("early-{n}"), 1, 1));
    }
    table.expire(s(3_600));
    assert!(live(&table, s(3_600)).is_empty());
    let last = sidecar("last", 1, 1);
    table.observe_member(s(3_600), last.clone());
    assert_eq!(live(&table, s(3_600)), ["last"]);
    table.expire(s(7_000));
    table.observe_member(s(7_001), last);
    assert!(live(&table, s(7_001)).is_empty(), "its row is outdated");
}

#[test]
fn digests_go_to_different_processes() {
    let mut table = table();
    for n in 0..5 {
        table.observe_member(s(0), sidecar(&format!("other-{n}"), 1, 1));
    }
    for _ in 0..50 {
        let mut ids: Vec<_> = table.targets(3).into_iter().map(|m| m.id).collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), 3);
    }
}
