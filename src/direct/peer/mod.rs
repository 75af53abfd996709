//! Datagrams between entries: load, service of customers, membership and placement requests.
//!
//! For each engine one entry decides which requests are placed on it; the others send it placement
//! requests ([`placement`]). In addition every entry sends a heartbeat ([`message::Heartbeat`]) to
//! all others. The loss of one heartbeat does little harm: the next repeats everything except
//! customers whose recent service and demand have not changed since, and the values known of those
//! decay within seconds. In a large fleet most pairs get fewer heartbeats, and customers' service
//! goes by [`report`]. If the deciding entry doesn't reply, the requesting entry decides itself,
//! by the load in the heartbeats.

pub mod addresses;
pub mod binding;
pub mod binding_message;
pub mod case;
pub mod case_message;
pub mod interval;
pub mod lease;
pub mod link;
pub mod loads;
pub mod message;
pub mod outbox;
pub mod placement;
pub mod probe;
pub mod report;
pub mod report_message;
pub mod table;
pub mod update;

use std::{net, rc, time};

use prost::Message as _;

use super::{parts, state};
use crate::decide::{self, evacuation, recent, spread};
use crate::key;

/// Maximum size of a datagram in bytes; a heartbeat about 100 backend servers and 100 customers
/// takes 4 KB.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Delay of a timer from which the process counts as behind: several times the timers' resolution
/// of a millisecond, and less than the 100 ms that a reply may take.
const LATE_TIMER_THRESHOLD: time::Duration = time::Duration::from_millis(10);

/// Maximum number of datagrams read after a late timer: 30 entries send 200 per second, and an
/// entry with a slow processor is seldom more than two seconds behind.
const MAX_CATCH_UP_DATAGRAMS: usize = 400;

/// Maximum number of backend servers that one heartbeat lists for each kind of change.
const MAX_CHANGES_PER_HEARTBEAT: usize = 64;

/// Number of addresses sent with a heartbeat to an entry that knows other entries than the sender.
const ADDRESS_SAMPLE_SIZE: usize = 16;

/// Mean number of entries that send all addresses they know to one that has just started.
const MEAN_INTRODUCERS: usize = 8;

/// Receives datagrams and sends heartbeats until the process ends.
pub async fn run(entry: rc::Rc<state::Entry>) {
    let Some(link) = &entry.link else {
        return;
    };
    let mut sequence = 0;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_heartbeat = tokio::time::Instant::now();
    let mut next_exchange = next_heartbeat;
    loop {
        let next = next_heartbeat.min(next_exchange);
        let received = link.receive(&mut buffer, || entry.now());
        match tokio::time::timeout_at(next, received).await {
            Ok(Ok(len)) => on_bytes(&entry, &buffer[..len]),
            // The network's error for an earlier datagram; the next heartbeat tries again.
            Ok(Err(err)) => log::debug!(event = "datagram_failed", error:% = err; ""),
            Err(_elapsed) if next_exchange <= next_heartbeat => {
                let asked = entry.exchange();
                probe::run_round(&entry, link, &asked);
                report::run_round(&entry, link);
                next_exchange = tokio::time::Instant::now() + entry.exchange_interval();
            }
            Err(_elapsed) => {
                sequence += 1;
                let others = send_heartbeats(&entry, link, sequence);
                next_heartbeat = tokio::time::Instant::now() + interval::heartbeat(others);
            }
        }
    }
}

fn on_bytes(entry: &rc::Rc<state::Entry>, datagram: &[u8]) {
    match message::Datagram::decode(datagram) {
        Ok(datagram) => on_datagram(entry, &datagram),
        Err(err) => drop(entry.log.line("datagram_malformed").with("error", err)),
    }
}

/// Reads the datagrams that have arrived, if a timer that was due at `until` fires late.
///
/// In a process that is behind, an expired timer runs before the task that reads the socket. It
/// would take the deciding entry for silent while the reply is in the receive buffer, and this
/// entry would decide itself for half a second. A process that is on time has read everything
/// already and returns at once.
fn catch_up(entry: &rc::Rc<state::Entry>, link: &link::Link, until: tokio::time::Instant) {
    let now = entry.now();
    if until.elapsed() < LATE_TIMER_THRESHOLD
        || now < link.last_catch_up.get() + LATE_TIMER_THRESHOLD
    {
        return;
    }
    link.last_catch_up.set(now);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    for _ in 0..MAX_CATCH_UP_DATAGRAMS {
        match link.read(&mut buffer, entry.now()) {
            Ok(Some(len)) => on_bytes(entry, &buffer[..len]),
            Ok(None) => return,
            // The network's error for an earlier datagram; more datagrams may follow it.
            Err(err) => log::debug!(event = "datagram_failed", error:% = err; ""),
        }
    }
}

// Sends a heartbeat to every other entry that needs one and returns the number of other entries. In
// a large fleet most pairs of entries act on little of each other's heartbeats, and probes show that
// both are alive.
//
// The common part is encoded once; the part for a single recipient is appended, since protobuf
// decoders merge repeated occurrences of a message's fields.
fn send_heartbeats(entry: &state::Entry, link: &link::Link, sequence: u64) -> usize {
    let heartbeat = heartbeat_message(entry, sequence);
    let entries = heartbeat.entries;
    let has_load = !heartbeat.loads.is_empty();
    // One more without load shows that it has ended.
    let reports_load = link.reported_load.replace(has_load) || has_load;
    let common = message::Datagram {
        heartbeat: Some(heartbeat),
        cases: case::take_unsent(entry),
        leaving: entry
            .backends_leaving
            .unsent
            .take(MAX_CHANGES_PER_HEARTBEAT),
        inspections: entry.inspections.take(MAX_CHANGES_PER_HEARTBEAT),
        ..link.envelope(entry.incarnation)
    };
    let has_items =
        !common.cases.is_empty() || !common.leaving.is_empty() || !common.inspections.is_empty();
    let common = common.encode_to_vec();
    let addresses = entry.peers.borrow().send_addresses().to_vec();
    let to_all = has_items
        || entry.is_leaving()
        || !interval::is_sparse(addresses.len())
        || sequence.is_multiple_of(interval::SPARSE_FACTOR.into());
    for address in &addresses {
        let progress = entry.placement_requests.progress_to_repeat(*address);
        if !to_all && !needs_heartbeat(&entry.peers.borrow(), *address, reports_load) {
            send_progress(entry, link, *address, progress);
            continue;
        }
        let mut bytes = common.clone();
        let specific = message::Datagram {
            heartbeat: membership_update(entry, *address, entries),
            progress,
            evacuations: entry.evacuations_for(*address),
            ..message::Datagram::default()
        };
        bytes.extend_from_slice(&specific.encode_to_vec());
        link.send_bytes(*address, &bytes);
    }
    addresses.len()
}

// Returns whether a peer of a large fleet gets each heartbeat. Those that decide do while this entry
// has put load on backend servers itself.
fn needs_heartbeat(peers: &table::Table, address: net::Ipv4Addr, reports_load: bool) -> bool {
    peers.exchanges_all_heartbeats(address)
        || peers.is_starting(address)
        || reports_load && peers.deciders().binary_search(&address).is_ok()
}

fn send_progress(
    entry: &state::Entry,
    link: &link::Link,
    to: net::Ipv4Addr,
    progress: Vec<message::Progress>,
) {
    if progress.is_empty() {
        return;
    }
    let datagram = message::Datagram {
        progress,
        ..link.envelope(entry.incarnation)
    };
    link.send(to, &datagram);
}

// Returns addresses for an entry whose membership digest differs from this entry's: a random run of
// the known addresses, since the heartbeats of all entries together soon cover the list. A few
// entries send the complete list to one that has just started.
fn membership_update(
    entry: &state::Entry,
    to: net::Ipv4Addr,
    entries: u64,
) -> Option<message::Heartbeat> {
    let peers = entry.peers.borrow();
    let (digest, count) = peers.reported_membership(to).unwrap_or_default();
    if digest == entries {
        return None;
    }
    let mut addresses = peers.known_addresses();
    let mut rng = entry.rng.borrow_mut();
    let sends_all = count < addresses.len() / 2 && rng.below(addresses.len()) < MEAN_INTRODUCERS;
    if !sends_all {
        let from = rng.below(addresses.len().max(1));
        addresses.rotate_left(from);
        addresses.truncate(ADDRESS_SAMPLE_SIZE);
    }
    Some(message::Heartbeat {
        known_addresses: addresses,
        ..message::Heartbeat::default()
    })
}

fn saturating_millis(age: time::Duration) -> u32 {
    age.as_millis().min(u32::MAX.into()) as u32
}

fn heartbeat_message(entry: &state::Entry, sequence: u64) -> message::Heartbeat {
    let now = entry.now();
    let customers = if entry.reports.borrow().is_active() {
        Vec::new()
    } else {
        report::take_changed(entry, recent::Scope::Own)
    };
    let fleet = entry.fleet.borrow();
    let load = |(server, hash): (key::Sidecar, u64)| {
        let load = fleet.own_load(now, server);
        let is_speed_known = load.tokens_per_ms > 0.0;
        let is_reported = load.in_flight > 0 || load.least_service.is_some() || is_speed_known;
        is_reported.then_some(message::Load {
            server: hash,
            running: load.in_flight,
            unread_tokens: load.unread_tokens as u32,
            least_service: load.least_service.map(|least| least as f32),
            queued_tokens: load.queued_tokens as u32,
            tokens_per_s: (load.tokens_per_ms * 1e3) as u32,
            weight_step: load.weight_step.into(),
        })
    };
    let service = customers.iter().map(|c| fleet.own_service(now, *c));
    let demand = customers.iter().map(|c| fleet.own_demand(now, *c));
    let service = service.map(report_message::quantize).collect();
    let demand = demand.map(report_message::quantize).collect();
    message::Heartbeat {
        sequence,
        leaving: entry.is_leaving(),
        loads: entry.server_hashes().into_iter().filter_map(load).collect(),
        customers: entry.hash_customers(&customers),
        service,
        demand,
        entries: entry.peers.borrow().membership_digest(),
        entry_count: entry.peers.borrow().entry_count() as u32,
        known_addresses: Vec::new(),
        configuration_version: entry
            .configuration()
            .map_or(0, |configuration| configuration.version),
        list_digest: entry.list_digest(parts::Version::First),
        store_age_ms: saturating_millis(entry.store_age()),
        list_age_ms: saturating_millis(entry.topic_age(spread::Topic::Backends)),
        millicores: entry.settings.borrow().millicores,
        zone: table::zone(&entry.settings.borrow().zone),
        busy_ago_ms: entry.busy_ago().map(saturating_millis),
        left_ago_ms: entry.left_ago().map(saturating_millis),
        rate: entry.rate(),
        departing_servers: entry.departing(),
        quarantined_digest: entry.quarantine.borrow().digest(),
        era: entry.store_era().unwrap_or_default(),
        evacuations_digest: entry.zones.digest(),
        answer_age_ms: Some(saturating_millis(entry.answer_age())),
        known_age_ms: Some(saturating_millis(entry.known_age())),
        sends_updates: true,
        answers_probes: true,
        sends_reports: true,
    }
}

fn on_datagram(entry: &rc::Rc<state::Entry>, datagram: &message::Datagram) {
    let address = net::Ipv4Addr::from_bits(datagram.address);
    entry.spread.borrow_mut().on_heard(entry.now());
    let incarnation = datagram.sender;
    let sender = decide::probe::Process {
        address,
        incarnation,
    };
    probe::on_heard(entry, sender);
    if let Some(request) = datagram.probe {
        probe::on_probe(entry, address, request);
    }
    probe::on_liveness(entry, &datagram.liveness);
    if let Some(update) = &datagram.update {
        entry.on_update(address, update);
    }
    if let (Some(heartbeat), Some(link)) = (&datagram.heartbeat, &entry.link) {
        on_heartbeat(entry, link, datagram.sender, address, heartbeat);
    }
    case::on_cases(entry, &datagram.cases);
    case::on_part_reports(entry, &datagram.part_reports);
    entry.on_leaving(&datagram.leaving);
    for inspection in &datagram.inspections {
        entry.on_inspection(inspection);
    }
    let evacuations = datagram.evacuations.iter().map(evacuation::Record::from);
    entry.on_evacuations(super::evacuation::Source::Peer, evacuations);
    for progress in &datagram.progress {
        lease::on_progress(entry, datagram.sender, progress);
    }
    if let Some(report) = &datagram.report {
        report::on_report(entry, datagram.sender, address, report);
    }
    binding::on_records(entry, &datagram.bindings);
    binding::on_unwritten(entry, &datagram.unwritten_bindings);
    if let Some(request) = &datagram.binding_request {
        binding::on_request(entry, address, request);
    }
    if let Some(reply) = &datagram.binding_reply {
        entry.binding_requests.on_reply(reply);
    }
    if let Some(request) = &datagram.placement_request {
        lease::on_request(entry, datagram.sender, address, request);
    }
    if let Some(reply) = &datagram.placement_reply {
        if entry.peers.borrow_mut().mark_responsive(address) {
            let line = entry.log.line("neighbour_replies");
            line.with("neighbour", address);
        }
        entry.placement_requests.on_reply(address, reply);
    }
}

fn on_heartbeat(
    entry: &state::Entry,
    link: &link::Link,
    sender: u64,
    address: net::Ipv4Addr,
    heartbeat: &message::Heartbeat,
) {
    let now = entry.now();
    let before = entry.peers.borrow().entry_count();
    let heard = entry
        .peers
        .borrow_mut()
        .on_heartbeat(now, sender, address, heartbeat);
    let Some(replaced) = heard else { return };
    if replaced.is_some() || entry.peers.borrow().entry_count() > before {
        entry.send_leaving_again();
    }
    if let Some(replaced) = replaced {
        forget(entry, address, replaced);
    }
    report::on_heartbeat(entry, sender, heartbeat);
    entry.on_departing(&heartbeat.departing_servers);
    entry.on_held_digest(address, heartbeat.quarantined_digest);
    apply_remote_loads(entry, link);
    // Peers that send updates notify by these.
    if !heartbeat.sends_updates && entry.relies_on_peers() {
        entry.peer_change.notify_one();
    }
}

/// Removes entries that are gone.
pub fn expire(entry: &state::Entry) {
    let now = entry.now();
    let mut gone = entry.peers.borrow_mut().expire(now);
    let silent = entry
        .probes
        .borrow_mut()
        .take_gone(now, entry.extra_timeout());
    let silent = silent.into_iter().map(|p| (p.address, p.incarnation));
    let mut peers = entry.peers.borrow_mut();
    gone.extend(silent.filter(|(address, sender)| peers.remove(now, *address, *sender)));
    drop(peers);
    for (address, sender) in &gone {
        forget(entry, *address, *sender);
    }
    if let (false, Some(link)) = (gone.is_empty(), &entry.link) {
        apply_remote_loads(entry, link);
    }
    log_entries(entry);
}

fn forget(entry: &state::Entry, address: net::Ipv4Addr, sender: u64) {
    report::forget(entry, sender);
    lease::forget(entry, sender);
    entry.placement_requests.on_entry_lost(address);
}

// Logs the number of entries if it has changed. When a fleet starts, this is one line per refresh
// instead of one per entry, at each entry.
fn log_entries(entry: &state::Entry) {
    let Some((before, after)) = entry.peers.borrow_mut().take_count_change() else {
        return;
    };
    entry
        .log
        .line("entries")
        .with("before", before)
        .with("now", after);
}

// Passes the load reported by other entries to the placement decision, and places queued requests
// for which there is room now: on the backend servers whose load changed, and on all of them at
// most once per interval::MIN_HEARTBEAT, since a customer's service at other entries changes the
// order of the queue.
fn apply_remote_loads(entry: &state::Entry, link: &link::Link) {
    let now = entry.now();
    let changed = entry.peers.borrow_mut().take_changed();
    for hash in changed {
        let Some(server) = entry.server_by_hash(hash) else {
            continue;
        };
        let load = entry.peers.borrow().remote_load(hash);
        let mut fleet = entry.fleet.borrow_mut();
        fleet.set_peer_load(server, load);
        fleet.on_speed_report(now, server, load);
        drop(fleet);
        entry.grant_waiting(server);
    }
    if now < link.last_full_pump.get() + interval::MIN_HEARTBEAT {
        return;
    }
    link.last_full_pump.set(now);
    let waiting = entry.fleet.borrow().with_queue();
    for server in waiting {
        entry.grant_waiting(server);
    }
}
