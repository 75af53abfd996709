//! Reports of customers' recent service and demand between the entries of a large fleet.
//!
//! [`aggregate`] decides who sends which sums to whom. In a small fleet, or as long as an entry of
//! an earlier version runs, heartbeats carry every entry's own service to all others instead.

use std::{collections, net, time};

use prost::Message as _;
use smallvec::{SmallVec, smallvec};

use super::{link, message, report_message, table};
use crate::decide::{aggregate, recent};
use crate::direct::state;
use crate::key;

/// Maximum number of customers in a report; 6 KB.
const MAX_CUSTOMERS: usize = 512;

// Part that an entry has in the exchange of sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Role {
    // Heartbeats carry customers' service.
    #[default]
    None,
    Decider(aggregate::Position),
    Child(net::Ipv4Addr),
}

/// State of an entry's reports.
#[derive(Debug, Default)]
pub struct Reports {
    role: Role,
    // The entries that report to this one, by incarnation.
    children: collections::HashMap<u64, Child>,
    // When the parent last reported.
    parent_reported_at: Option<time::Duration>,
    next_round: time::Duration,
    next_children_round: time::Duration,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    address: net::Ipv4Addr,
    reported_at: time::Duration,
}

/// A report to be sent to some entries.
#[derive(Debug)]
pub struct Outgoing {
    /// Addresses of the entries.
    pub to: aggregate::Addresses,
    /// The report.
    pub report: report_message::Report,
}

// The scope of a report that is due, and the entries that get it.
type Due = (recent::Scope, aggregate::Addresses);

impl Role {
    fn of(peers: &table::Table, own: net::Ipv4Addr) -> Self {
        if !peers.uses_reports() {
            return Self::None;
        }
        if peers.deciders().binary_search(&own).is_ok() {
            return Self::Decider(aggregate::position(own, peers.deciders()));
        }
        peers.parent().map_or(Self::None, Self::Child)
    }

    // Returns whether reports of peers mean the same in both roles.
    fn is_compatible(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Decider(a), Self::Decider(b)) => a.groups == b.groups && a.group == b.group,
            (Self::Child(_), Self::Child(_)) | (Self::None, Self::None) => true,
            _ => false,
        }
    }
}

impl Reports {
    /// Returns whether customers' service goes out by reports instead of heartbeats.
    pub fn is_active(&self) -> bool {
        self.role != Role::None
    }

    /// Returns whether the parent reports the sums over the fleet.
    pub fn has_parent(&self, now: time::Duration) -> bool {
        let is_child = matches!(self.role, Role::Child(_));
        is_child
            && self
                .parent_reported_at
                .is_some_and(|at| now < at + aggregate::REPORT_TIMEOUT)
    }

    // Returns what a report that has just arrived is about; `None` if its sums mean nothing here,
    // since both entries know different deciders.
    fn on_report(
        &mut self,
        now: time::Duration,
        sender: u64,
        from: net::Ipv4Addr,
        report: &report_message::Report,
    ) -> Option<recent::Source> {
        // A later version may have further scopes.
        let scope = report_message::Scope::try_from(report.scope).ok()?;
        match (scope, &self.role) {
            (report_message::Scope::Own, Role::Decider(_)) => {
                let child = Child {
                    address: from,
                    reported_at: now,
                };
                self.children.insert(sender, child);
                Some(recent::Source::Child(sender))
            }
            (report_message::Scope::Subtree, Role::Decider(position)) => {
                let is_member = (position.groups, position.group) == (report.groups, report.group);
                is_member.then_some(recent::Source::Member(sender))
            }
            (report_message::Scope::Group, Role::Decider(position)) => {
                let is_other = position.groups == report.groups && position.group != report.group;
                is_other.then_some(recent::Source::Group(report.group))
            }
            (report_message::Scope::Fleet, Role::Child(parent)) if *parent == from => {
                self.parent_reported_at = Some(now);
                Some(recent::Source::Parent)
            }
            _ => None,
        }
    }

    // Returns the incarnations of children that have been silent.
    fn take_silent(&mut self, now: time::Duration) -> Vec<u64> {
        let is_silent = |child: &Child| now >= child.reported_at + aggregate::REPORT_TIMEOUT;
        let children = self.children.iter();
        let silent = children.filter(|(_, child)| is_silent(child));
        let silent: Vec<u64> = silent.map(|(sender, _)| *sender).collect();
        self.children.retain(|_, child| !is_silent(child));
        silent
    }

    // Returns the reports that are due. An entry that shuts down no longer sums for others: they
    // report to its successors.
    fn due(&mut self, now: time::Duration, is_leaving: bool) -> SmallVec<[Due; 3]> {
        let mut due = SmallVec::new();
        if now < self.next_round {
            return due;
        }
        match &self.role {
            Role::None => {}
            Role::Child(parent) => {
                self.next_round = now.max(self.next_round + aggregate::CHILD_INTERVAL);
                due.push((recent::Scope::Own, smallvec![*parent]));
            }
            Role::Decider(position) => {
                self.next_round = now.max(self.next_round + aggregate::DECIDER_INTERVAL);
                due.push((recent::Scope::Subtree, position.members.clone()));
                if is_leaving {
                    return due;
                }
                due.push((recent::Scope::Group, position.counterparts.clone()));
                if now >= self.next_children_round {
                    let next = self.next_children_round + aggregate::CHILD_INTERVAL;
                    self.next_children_round = now.max(next);
                    let children = self.children.values().map(|child| child.address);
                    due.push((recent::Scope::Fleet, children.collect()));
                }
            }
        }
        due
    }
}

/// Sends the reports that are due.
pub fn run_round(entry: &state::Entry, link: &link::Link) {
    for outgoing in take_due(entry) {
        let datagram = message::Datagram {
            report: Some(outgoing.report),
            ..link.envelope(entry.incarnation)
        };
        let bytes = datagram.encode_to_vec();
        for address in &outgoing.to {
            link.send_bytes(*address, &bytes);
        }
    }
}

/// Adapts to changes of the fleet, and returns the reports that are due.
pub fn take_due(entry: &state::Entry) -> Vec<Outgoing> {
    let now = entry.now();
    let own = entry.settings.borrow().address;
    set_role(entry, Role::of(&entry.peers.borrow(), own));
    let silent = entry.reports.borrow_mut().take_silent(now);
    forget_sources(entry, |source| {
        silent
            .iter()
            .any(|sender| source == recent::Source::Child(*sender))
    });
    let due = entry.reports.borrow_mut().due(now, entry.is_leaving());
    let reports = due.into_iter().flat_map(|(scope, to)| {
        let reports = report_messages(entry, scope).into_iter();
        reports.map(move |report| Outgoing {
            to: to.clone(),
            report,
        })
    });
    reports.collect()
}

fn set_role(entry: &state::Entry, role: Role) {
    let before = std::mem::replace(&mut entry.reports.borrow_mut().role, role);
    let reports = entry.reports.borrow();
    if reports.role.is_compatible(&before) {
        return;
    }
    let is_active = reports.is_active();
    let role = match &reports.role {
        Role::None => "none",
        Role::Decider(_) => "decider",
        Role::Child(_) => "child",
    };
    entry.log.line("reports").with("role", role);
    drop(reports);
    // What was reported before would count twice.
    let is_direct = |source| matches!(source, recent::Source::Entry(_));
    forget_sources(entry, |source| !is_direct(source) || is_active);
    entry.fleet.borrow_mut().set_reports_delayed(is_active);
}

fn forget_sources(entry: &state::Entry, is_gone: impl Fn(recent::Source) -> bool) {
    let (now, mut fleet) = (entry.now(), entry.fleet.borrow_mut());
    fleet.service_mut().forget_all(now, &is_gone);
    fleet.demand_mut().forget_all(now, &is_gone);
}

/// Returns the customers whose service or demand, summed over these entries, has changed since the
/// last call.
pub fn take_changed(entry: &state::Entry, scope: recent::Scope) -> Vec<key::Customer> {
    let mut fleet = entry.fleet.borrow_mut();
    let mut customers = fleet.service_mut().take_changed(scope);
    customers.extend(fleet.demand_mut().take_changed(scope));
    customers.sort_unstable();
    customers.dedup();
    customers
}

// Returns the report of this scope, in parts if there are many customers. An empty one shows that
// this entry is alive and has nothing more to say.
fn report_messages(entry: &state::Entry, scope: recent::Scope) -> Vec<report_message::Report> {
    let customers = take_changed(entry, scope);
    if customers.is_empty() {
        return vec![report_message(entry, scope, &[])];
    }
    let parts = customers.chunks(MAX_CUSTOMERS);
    parts
        .map(|part| report_message(entry, scope, part))
        .collect()
}

fn report_message(
    entry: &state::Entry,
    scope: recent::Scope,
    customers: &[key::Customer],
) -> report_message::Report {
    let (now, fleet) = (entry.now(), entry.fleet.borrow());
    let service = customers
        .iter()
        .map(|c| fleet.service().service(now, *c, scope));
    let demand = customers
        .iter()
        .map(|c| fleet.demand().service(now, *c, scope));
    let (groups, group) = match &entry.reports.borrow().role {
        Role::Decider(position) => (position.groups, position.group),
        Role::None | Role::Child(_) => (0, 0),
    };
    report_message::Report {
        scope: report_message::Scope::from(scope).into(),
        groups,
        group,
        customers: entry.hash_customers(customers),
        service: service.map(report_message::quantize).collect(),
        demand: demand.map(report_message::quantize).collect(),
    }
}

/// Applies a report.
pub fn on_report(
    entry: &state::Entry,
    sender: u64,
    from: net::Ipv4Addr,
    report: &report_message::Report,
) {
    let now = entry.now();
    let source = entry
        .reports
        .borrow_mut()
        .on_report(now, sender, from, report);
    let Some(source) = source else {
        return entry.meter.count("reports", "ignored");
    };
    let amounts = report_message::amounts(&report.customers, &report.service, &report.demand);
    // Customers that are unknown here are part of the sums that this entry reports.
    let known =
        amounts.map(|(hash, service, demand)| (entry.customer_with_hash(hash), service, demand));
    merge(entry, source, &known.collect::<Vec<_>>());
}

/// Applies the service and demand of customers that a heartbeat carries.
pub fn on_heartbeat(entry: &state::Entry, sender: u64, heartbeat: &message::Heartbeat) {
    // The parent's sums contain them.
    if heartbeat.customers.is_empty() || entry.reports.borrow().has_parent(entry.now()) {
        return;
    }
    let amounts =
        report_message::amounts(&heartbeat.customers, &heartbeat.service, &heartbeat.demand);
    let known = amounts.filter_map(|(hash, service, demand)| {
        Some((entry.customer_by_hash(hash)?, service, demand))
    });
    let source = recent::Source::Entry(sender);
    merge(entry, source, &known.collect::<Vec<_>>());
}

fn merge(entry: &state::Entry, source: recent::Source, customers: &[(key::Customer, f64, f64)]) {
    let (now, mut fleet) = (entry.now(), entry.fleet.borrow_mut());
    let service = customers
        .iter()
        .map(|(customer, service, _)| (*customer, *service));
    let demand = customers
        .iter()
        .map(|(customer, _, demand)| (*customer, *demand));
    if source == recent::Source::Parent {
        fleet.service_mut().merge_totals(now, service);
        fleet.demand_mut().merge_totals(now, demand);
    } else {
        fleet.service_mut().merge(now, source, service);
        fleet.demand_mut().merge(now, source, demand);
    }
}

/// Removes what an incarnation of another entry reported that is gone.
pub fn forget(entry: &state::Entry, sender: u64) {
    entry.reports.borrow_mut().children.remove(&sender);
    forget_sources(entry, |source| {
        use recent::Source;
        matches!(source, Source::Entry(s) | Source::Child(s) | Source::Member(s) if s == sender)
    });
}
