//! Measures propagation time and cost of gossip.
//!
//! usage: cargo run --release --example spread -- 50 100 200
//!
//! For each number of nodes (all in this process, on loopback, with the default timing): bytes of
//! digests per second and node, reads of the log per second, and the time until all nodes have a
//! new catalogue revision and until all know of a leaving node. There are two zones, so four nodes
//! watch the log. Then the bytes on the connection of one gossip exchange, counted by a relay.

use std::io::{Read as _, Write as _};
use std::sync::atomic;
use std::{env, net, sync, thread, time};

use chivebend::control::{gossip, member as control};
use chivebend::decide::member;
use chivebend::process;

#[path = "../tests/support/node.rs"]
mod node;

/// Time for which bytes are counted without any change.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(20);

/// Time for which the nodes settle before bytes are counted.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

/// Idle time before each catalogue change.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Number of catalogue changes that are timed.
const CHANGE_COUNT: u64 = 5;

fn main() {
    let runtime = process::Runtime::open("measure").expect("runtime");
    println!("nodes  out_bytes_per_s  in_bytes_per_s  log_reads_per_s  change_ms_max  leaving_ms");
    for count in env::args().skip(1).filter_map(|arg| arg.parse().ok()) {
        measure(&runtime, count);
    }
    measure_connection(&runtime);
    measure_digests();
}

fn measure(runtime: &process::Runtime, count: usize) {
    let log = node::open_log();
    let nodes = node::fleet_with(runtime, log.addr, count, &node::Intervals::default());
    let live = |node: &node::Node| node.gossip.members.live(member::Role::Sidecar, None).len();
    wait_until(|| nodes.iter().all(|node| live(node) == count - 1));
    let mut current = String::new();
    let slowest = (0..CHANGE_COUNT)
        .map(|n| time_change(&log, &nodes, &mut current, n))
        .max();
    thread::sleep(SETTLE_TIME);
    let (bytes, reads) = (total_bytes(&nodes), log.call_counts().1);
    thread::sleep(IDLE_PERIOD);
    let (after, reads_after) = (total_bytes(&nodes), log.call_counts().1);
    let per_node_s = |n: u64| n as f64 / count as f64 / IDLE_PERIOD.as_secs_f64();
    let started = time::Instant::now();
    nodes[0].gossip.leave();
    wait_until(|| nodes[1..].iter().all(|node| live(node) == count - 2));
    println!(
        "{count:5}  {:15.0}  {:14.0}  {:15.2}  {:13}  {:10}",
        per_node_s(after.0 - bytes.0),
        per_node_s(after.1 - bytes.1),
        (reads_after - reads) as f64 / IDLE_PERIOD.as_secs_f64(),
        slowest.unwrap_or_default().as_millis(),
        started.elapsed().as_millis(),
    );
}

/// Publishes a catalogue change and returns the time until all nodes have it.
fn time_change(
    log: &chivebend::standin::log::Handle,
    nodes: &[node::Node],
    current: &mut String,
    n: u64,
) -> time::Duration {
    // An idle time before each change, so that the previous one has no influence.
    thread::sleep(CHANGE_INTERVAL);
    let next = node::text(n + 1);
    let started = time::Instant::now();
    let base = nodes[0].revision();
    let revision = node::append(log, &node::change(&format!("c{n}"), base, &next, current));
    *current = next;
    wait_until(|| nodes.iter().all(|node| node.revision() >= revision));
    started.elapsed()
}

/// Returns the digest bytes sent and received by all nodes.
fn total_bytes(nodes: &[node::Node]) -> (u64, u64) {
    let bytes = nodes.iter().map(|node| node.gossip.bytes());
    bytes.fold((0, 0), |sum, (sent, received)| {
        (sum.0 + sent, sum.1 + received)
    })
}

fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        thread::sleep(time::Duration::from_millis(5));
    }
}

/// Counts the bytes on the wire of exchanges between two nodes that are connected by a relay.
fn measure_connection(runtime: &process::Runtime) {
    let log = node::open_log();
    node::append(&log, &node::change("c", 0, &node::text(1), ""));
    let nodes: Vec<_> = (0..2)
        .map(|at| {
            let id = format!("n{at}");
            // The second node starts no exchanges itself.
            let period = if at == 0 {
                gossip::PERIOD
            } else {
                time::Duration::from_secs(3600)
            };
            let pace = node::Intervals {
                period,
                ..node::Intervals::default()
            };
            node::Node::spawn_with(runtime, log.addr, &id, 1, "secret", &pace)
        })
        .collect();
    wait_until(|| nodes.iter().all(|node| node.revision() == 1));
    let relayed_bytes = sync::Arc::new(atomic::AtomicU64::new(0));
    let connections = sync::Arc::new(atomic::AtomicU64::new(0));
    let mut instance = nodes[1].instance.clone();
    instance.address = spawn_relay(instance.address, &relayed_bytes, &connections);
    let list = chivebend::client::instances::List {
        version: 1,
        instances: vec![instance],
    };
    nodes[0].gossip.members.observe_list(&list);
    wait_until(|| connections.load(atomic::Ordering::Relaxed) >= 5);
    let read = || {
        let digests = total_bytes(&nodes[..1]);
        let get = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        (
            get(&connections),
            get(&relayed_bytes),
            digests.0 + digests.1,
        )
    };
    let before = read();
    wait_until(|| connections.load(atomic::Ordering::Relaxed) >= before.0 + 8);
    // The newest exchange may still be in progress.
    thread::sleep(time::Duration::from_millis(200));
    let after = read();
    println!(
        "{} exchanges: {} bytes on their connections, {} of digests",
        after.0 - before.0,
        after.1 - before.1,
        after.2 - before.2
    );
}

/// Prints the encoded size of digest rows with names as long as in production.
fn measure_digests() {
    let member = |at: u64| member::Member {
        id: format!("sidecar-archivio-interviste-{at:04}"),
        incarnation: 1_700_000_000_000_000_000 + at,
        role: member::Role::Sidecar,
        zone: "bagheria".into(),
        region: "palermo".into(),
        service: "archivio-interviste".into(),
        address: net::SocketAddr::from(([10, 120, 130, 140], 17000)),
        ops_address: Some(net::SocketAddr::from(([10, 120, 130, 140], 17001))),
        heartbeat: 1000,
        leaving: false,
    };
    let mut table = member::Table::new(member(0));
    for at in 1..1270 {
        table.observe_member(time::Duration::ZERO, member(at));
    }
    for count in [member::DIGEST_ROWS, member::JOIN_DIGEST_ROWS] {
        let rows = table.digest(count);
        let len = rows
            .iter()
            .map(|row| prost::Message::encoded_len(&control::to_wire(row)));
        println!(
            "digest of {} rows: {} bytes",
            rows.len(),
            len.sum::<usize>()
        );
    }
}

/// Starts a TCP relay that counts connections and bytes in both directions.
fn spawn_relay(
    to: net::SocketAddr,
    relayed_bytes: &sync::Arc<atomic::AtomicU64>,
    connections: &sync::Arc<atomic::AtomicU64>,
) -> net::SocketAddr {
    let listener = net::TcpListener::bind(node::any()).expect("bind a free port");
    let addr = listener.local_addr().expect("local address");
    let (relayed_bytes, connections) = (
        sync::Arc::clone(relayed_bytes),
        sync::Arc::clone(connections),
    );
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            connections.fetch_add(1, atomic::Ordering::Relaxed);
            let server = net::TcpStream::connect(to).expect("connect to the node");
            let pairs = [
                (client.try_clone(), server.try_clone()),
                (server.try_clone(), client.try_clone()),
            ];
            for (from, to) in pairs {
                let (from, to) = (
                    from.expect("clone of the socket"),
                    to.expect("clone of the socket"),
                );
                let relayed_bytes = sync::Arc::clone(&relayed_bytes);
                thread::spawn(move || copy(from, to, &relayed_bytes));
            }
        }
    });
    addr
}

fn copy(mut from: net::TcpStream, mut to: net::TcpStream, relayed_bytes: &atomic::AtomicU64) {
    let mut buf = [0; 16384];
    while let Ok(len) = from.read(&mut buf) {
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            break;
        }
        relayed_bytes.fetch_add(len as u64, atomic::Ordering::Relaxed);
    }
    drop(to.shutdown(net::Shutdown::Write));
}
