//! Reports service to the home entries of customers, which add up the service of the whole fleet,
//! and sends the totals to sidecars.

use std::{collections, net, time};

use slotmap::SecondaryMap;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3;

use crate::control::dispatch::{Dispatch, Stage};
use crate::decide::ledger;
use crate::wire::frame;
use crate::{key, wire};

/// Maximum bytes per second of reports and their replies at one entry: a third of the 6 KB a second
/// that all control traffic of a node may use.
const MAX_BYTES_PER_SECOND: usize = 2_000;

/// Encoded size in bytes of one account (`examples/measure`).
const ACCOUNT_BYTES: usize = 43;

/// Encoded size in bytes of a report and its reply without their accounts (`examples/measure`).
const EXCHANGE_BYTES: usize = 65;

/// Maximum number of a customer's waiting requests that are scanned for sidecars that need its
/// total.
const MAX_SCANNED: usize = 16;

/// A peer: another entry of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: String,
    /// Its address for processes of the fleet.
    pub address: net::SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Queue of reports to peers.
pub type Outbox = mpsc::UnboundedSender<(net::SocketAddr, wire::Report)>;

/// State of an entry for accounting the service of the whole fleet.
#[derive(Debug)]
pub struct Ledger {
    own: wire::Process,
    peers: Vec<Peer>,
    totals: ledger::Totals,
    reporter: ledger::Reporter,
    outbox: Outbox,
    /// Number of requests in progress in this entry, by customer.
    in_progress: SecondaryMap<key::Customer, u32>,
}

impl Ledger {
    /// Creates the empty ledger of a process that has just started.
    pub fn new(own: wire::Process, outbox: Outbox) -> Self {
        Self {
            own,
            peers: Vec::new(),
            totals: ledger::Totals::new(time::Duration::ZERO),
            reporter: ledger::Reporter::default(),
            outbox,
            in_progress: SecondaryMap::new(),
        }
    }

    /// Adds `change` to the customer's requests in this entry: 1 for a new request, -1 for an ended
    /// one.
    pub fn add_in_progress(&mut self, customer: key::Customer, change: i32) {
        if let Some(entry) = self.in_progress.entry(customer) {
            let in_progress = entry.or_default();
            *in_progress = in_progress.saturating_add_signed(change);
        }
    }

    /// Sets the peers of this entry.
    pub fn set_peers(&mut self, now: time::Duration, peers: Vec<Peer>) {
        let mut old: Vec<_> = self.peers.iter().map(|peer| &peer.id).collect();
        let mut new: Vec<_> = peers.iter().map(|peer| &peer.id).collect();
        old.sort_unstable();
        new.sort_unstable();
        let all_are_homes = old.len().max(new.len()) < ledger::ALL_HOMES_MAX_ENTRIES;
        if old != new && !all_are_homes {
            // This entry may have become a home of customers whose reports it has not seen. It
            // starts again from the totals that reporters send, which are no lower than its own.
            self.totals = ledger::Totals::new(now);
        }
        self.peers = peers;
    }
}

fn source(id: &str, incarnation: u64) -> ledger::Source {
    ledger::Source {
        process: xxh3::xxh3_64(id.as_bytes()),
        incarnation,
    }
}

impl Dispatch {
    /// Sends the reports that are due.
    pub(super) fn report_service(&mut self, now: time::Duration) {
        let ledger = &mut self.ledger;
        let active: SmallVec<[key::Customer; 32]> = ledger
            .in_progress
            .iter()
            .filter(|(_, in_progress)| **in_progress > 0)
            .map(|(customer, _)| customer)
            .collect();
        let own = xxh3::xxh3_64(ledger.own.id.as_bytes());
        let names: Vec<_> = std::iter::once(own)
            .chain(
                ledger
                    .peers
                    .iter()
                    .map(|peer| xxh3::xxh3_64(peer.id.as_bytes())),
            )
            .collect();
        let others = match names.len() {
            few if few <= ledger::ALL_HOMES_MAX_ENTRIES => few - 1,
            _ => ledger::HOMES_PER_CUSTOMER,
        };
        let calls = others.max(active.len().min(names.len()));
        let round = active.len() * others * 4 * ACCOUNT_BYTES + calls * 4 * EXCHANGE_BYTES;
        let interval = ledger::Reporter::interval(round, MAX_BYTES_PER_SECOND);
        let mut sent = collections::BTreeMap::<usize, Vec<ledger::Account>>::new();
        for customer in active {
            let due = ledger
                .reporter
                .due_report(now, customer, interval, &self.shares);
            let Some(account) = due else { continue };
            let name = xxh3::xxh3_64(self.customers.name(customer).as_bytes());
            for home in ledger::homes(name, &names) {
                sent.entry(home).or_default().push(account);
            }
        }
        for (home, accounts) in sent {
            if home == 0 {
                let own = source(&self.ledger.own.id, self.ledger.own.incarnation);
                for account in accounts {
                    let total = self.merge(now, own, account);
                    self.apply_total(now, total);
                }
                continue;
            }
            let report = wire::Report {
                sender: Some(self.ledger.own.clone()),
                accounts: accounts
                    .iter()
                    .map(|account| self.encode_account(account))
                    .collect(),
            };
            let address = self.ledger.peers[home - 1].address;
            // The sending task ends only with the process.
            drop(self.ledger.outbox.send((address, report)));
        }
    }

    /// Merges the report of a peer and replies with the totals.
    pub(super) fn on_report(
        &mut self,
        now: time::Duration,
        report: &wire::Report,
        reply: oneshot::Sender<wire::Report>,
    ) {
        let Some(sender) = &report.sender else { return };
        let source = source(&sender.id, sender.incarnation);
        let mut accounts = Vec::with_capacity(report.accounts.len());
        for account in &report.accounts {
            let decoded = self.decode_account(account);
            if let Some(merged) = self.merge(now, source, decoded) {
                accounts.push(self.encode_account(&merged));
            }
        }
        let sender = Some(self.ledger.own.clone());
        // The caller may have timed out; it will report again.
        drop(reply.send(wire::Report { sender, accounts }));
    }

    /// Applies the totals from a home's reply.
    pub(super) fn on_report_reply(&mut self, now: time::Duration, report: &wire::Report) {
        for account in &report.accounts {
            let decoded = self.decode_account(account);
            self.apply_total(now, Some(decoded));
        }
    }

    fn merge(
        &mut self,
        now: time::Duration,
        source: ledger::Source,
        account: ledger::Account,
    ) -> Option<ledger::Account> {
        let floor = self.clock.time();
        self.ledger.totals.merge(now, source, account, floor)
    }

    fn apply_total(&mut self, now: time::Duration, account: Option<ledger::Account>) {
        let Some(account) = account else { return };
        let customer = account.customer;
        self.shares
            .observe_exact_total(customer, account.total, account.charged_in_total);
        let charged = self.shares.charged(customer);
        self.limits.learn(now, customer, account.total, charged);
        let total = wire::Total {
            customer: self.customers.name(customer).to_owned(),
            service: self.shares.total(customer),
        };
        for sidecar in self.sidecars_with_tickets(customer) {
            let totals = vec![total.clone()];
            self.sidecars[sidecar].send(frame::Entry::Totals(wire::Totals { totals }));
        }
    }

    /// Returns the sidecars with a ticket of the customer, found by its oldest requests.
    fn sidecars_with_tickets(&self, customer: key::Customer) -> SmallVec<[key::Sidecar; 8]> {
        let mut found = SmallVec::new();
        for request in self.waiting.customer(customer).take(MAX_SCANNED) {
            let Some(state) = self.requests.get(request) else {
                continue;
            };
            let Stage::Waiting { tickets, .. } = &state.stage else {
                continue;
            };
            for sidecar in tickets {
                if !found.contains(sidecar) {
                    found.push(*sidecar);
                }
            }
        }
        found
    }

    fn encode_account(&self, account: &ledger::Account) -> wire::Account {
        wire::Account {
            customer: self.customers.name(account.customer).to_owned(),
            charged: account.charged,
            total: account.total,
            charged_in_total: account.charged_in_total,
        }
    }

    fn decode_account(&mut self, account: &wire::Account) -> ledger::Account {
        let finite = |value: f64| {
            if value.is_finite() {
                value.max(0.0)
            } else {
                0.0
            }
        };
        ledger::Account {
            customer: self.customers.intern(&account.customer),
            charged: finite(account.charged),
            total: finite(account.total),
            charged_in_total: finite(account.charged_in_total),
        }
    }
}
