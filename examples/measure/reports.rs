//! Reports of charged service between entries, and totals sent to sidecars.

use std::{collections, time};

use chivebend::{decide::ledger, key};

use super::{Event, REPORT_CHECK_INTERVAL, Simulation, config::Policy};

/// Encoded size in bytes of one account in a report.
const ACCOUNT_BYTES: usize = 43;
/// Size in bytes of a report without accounts, with the overhead of the call.
const EXCHANGE_BYTES: usize = 65;

impl Simulation {
    pub fn on_report_tick(&mut self, entry: usize) {
        self.after(REPORT_CHECK_INTERVAL, Event::ReportTick { entry });
        if self.config.policy != Policy::Fleet {
            return;
        }
        let mut sent = collections::BTreeMap::<usize, Vec<ledger::Account>>::new();
        let active = self.entries[entry].active_customers();
        let processes = self.process_ids();
        let homes = |customer: usize| ledger::homes(customer as u64, &processes);
        let homes_per_customer = if processes.len() > ledger::ALL_HOMES_MAX_ENTRIES {
            ledger::HOMES_PER_CUSTOMER
        } else {
            processes.len() - 1
        };
        // With a few homes per customer each report gets a reply, and the entry is itself the home
        // of as many customers. Otherwise reports only go out and come in.
        let messages_per_report = if processes.len() > ledger::ALL_HOMES_MAX_ENTRIES {
            4
        } else {
            2
        };
        let messages =
            homes_per_customer.max((active.len() * homes_per_customer).min(processes.len()));
        let round_bytes = messages_per_report
            * (active.len() * homes_per_customer * ACCOUNT_BYTES + messages * EXCHANGE_BYTES);
        let interval = ledger::Reporter::interval(round_bytes, self.config.totals_bytes_per_s);
        for customer in active {
            let own = &mut self.entries[entry];
            let key = self.customer_keys[customer];
            if let Some(account) = own
                .reporter
                .due_report(self.now, key, interval, &own.shares)
            {
                for home in homes(customer) {
                    sent.entry(home).or_default().push(account);
                }
            }
        }
        let source = self.entries[entry].source;
        for (home, accounts) in sent {
            let n = accounts.len();
            let event = Event::Report {
                entry,
                home,
                source,
                accounts,
            };
            self.deliver(entry == home, n, event);
        }
    }

    pub fn process_ids(&self) -> Vec<u64> {
        self.entries
            .iter()
            .map(|entry| entry.source.process)
            .collect()
    }

    pub fn on_report(
        &mut self,
        entry: usize,
        home: usize,
        source: ledger::Source,
        accounts: &[ledger::Account],
    ) {
        if entry != home
            && (self.entries[entry].is_partitioned || self.entries[home].is_partitioned)
        {
            return;
        }
        let mut replies = Vec::new();
        for account in accounts {
            let own = &mut self.entries[home];
            let floor = own.clock.time();
            replies.extend(own.totals.merge(self.now, source, *account, floor));
        }
        if entry != home && self.entries.len() <= ledger::ALL_HOMES_MAX_ENTRIES {
            // Every entry is a home and has the totals itself, so a reply would tell it nothing.
            return;
        }
        let n = replies.len();
        let event = Event::Reply {
            entry,
            source,
            accounts: replies,
        };
        self.deliver(entry == home, n, event);
    }

    // Delivers a report or a reply; within a process that takes no time and no bytes.
    fn deliver(&mut self, is_local: bool, accounts: usize, event: Event) {
        if is_local {
            self.after(time::Duration::ZERO, event);
        } else {
            self.sent.reports += 1;
            self.sent.accounts += accounts as u64;
            self.send(event);
        }
    }

    pub fn on_reply(&mut self, entry: usize, source: ledger::Source, accounts: &[ledger::Account]) {
        if self.entries[entry].source != source || self.entries[entry].is_partitioned {
            return;
        }
        let mut frames = collections::BTreeMap::<usize, Vec<(key::Customer, f64)>>::new();
        for account in accounts {
            let own = &mut self.entries[entry];
            own.shares.observe_exact_total(
                account.customer,
                account.total,
                account.charged_in_total,
            );
            let total = own.shares.total(account.customer);
            for server in own.tickets[self.customer_indices[account.customer]].keys() {
                frames
                    .entry(*server)
                    .or_default()
                    .push((account.customer, total));
            }
        }
        for (server, totals) in frames {
            let previous = self.entries[entry].totals_sent_at.insert(server, self.now);
            if previous.is_some_and(|at| self.now < at + ledger::MIN_TOTALS_INTERVAL) {
                self.entries[entry]
                    .totals_sent_at
                    .extend(previous.map(|at| (server, at)));
                continue;
            }
            self.sent.frames += 1;
            self.sent.totals += totals.len() as u64;
            self.send(Event::Totals { server, totals });
        }
    }
}
