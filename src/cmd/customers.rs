//! `chivebend customers`: shows the customers with their service, waiting requests and refusals.

use std::collections;
use std::fmt::Write as _;

use crate::cmd;
use crate::cmd::fleet;
use crate::cmd::table;
use crate::error;
use crate::ops;

/// Show the customers, those with the most recent service first.
///
/// Values are summed over all entries: service since the entries started and in the last 10 s,
/// share of the latter, waiting and refused requests, and the gap between backlogged customers.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    fleet: fleet::Args,
    /// Maximum number of customers to show.
    #[arg(long, value_name = "ROWS", default_value_t = 20)]
    limit: usize,
    /// Print all customers as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let responses = args.fleet.query::<ops::Customers>("/customers")?;
    // Sidecars report the same requests, so only entries are summed.
    let entries = responses.items.iter().filter(|all| all.role == "entry");
    let total = sum(entries.flat_map(|all| &all.customers));
    if args.json {
        cmd::print_json(&total)?;
    } else {
        cmd::print(&text(&total, args.limit))?;
    }
    responses.report_failures()
}

/// Sums the entries' rows of each customer. Returns the customers with the most recent service
/// first.
pub fn sum<'a>(rows: impl Iterator<Item = &'a ops::Customer>) -> Vec<ops::Customer> {
    let mut total = collections::BTreeMap::<&str, ops::Customer>::new();
    for row in rows {
        let sum = total.entry(&row.customer).or_default();
        sum.customer.clone_from(&row.customer);
        // An entry that has received no request of the customer does not know its weight.
        sum.weight = sum.weight.max(row.weight);
        sum.service += row.service;
        sum.recent += row.recent;
        sum.waiting += row.waiting;
        sum.running += row.running;
        sum.oldest_wait_ms = sum.oldest_wait_ms.max(row.oldest_wait_ms);
        for (code, count) in &row.refused {
            *sum.refused.entry(*code).or_default() += count;
        }
    }
    let mut total: Vec<_> = total.into_values().collect();
    total.sort_by(|a, b| {
        b.recent
            .total_cmp(&a.recent)
            .then(b.waiting.cmp(&a.waiting))
    });
    total
}

/// Formats the customers as a table.
pub fn text(total: &[ops::Customer], limit: usize) -> String {
    let recent: f64 = total.iter().map(|row| row.recent).sum();
    let rows: Vec<_> = total
        .iter()
        .take(limit)
        .map(|row| cells(row, recent))
        .collect();
    let headers = [
        "CUSTOMER",
        "WEIGHT",
        "SERVICE",
        "LAST 10 S",
        "SHARE",
        "WAITING",
        "RUNNING",
        "LONGEST WAIT",
        "REFUSED",
    ];
    let mut text = table::render(&headers, &rows);
    if total.len() > limit {
        let more = total.len() - limit;
        writeln!(text, "and {more} more; see --limit").expect("writing to a String never fails");
    }
    let gap = ops::backlogged_gap(total);
    let line = "gap between backlogged customers in the last 10 s";
    writeln!(text, "{line}: {gap:.0} cost units").expect("writing to a String never fails");
    text
}

fn cells(row: &ops::Customer, recent: f64) -> Vec<String> {
    let refused = row
        .refused
        .iter()
        .map(|(code, count)| format!("{code}:{count}"));
    let refused: Vec<_> = refused.collect();
    let share = if recent > 0.0 {
        row.recent / recent * 100.0
    } else {
        0.0
    };
    vec![
        row.customer.clone(),
        row.weight.to_string(),
        format!("{:.0}", row.service),
        format!("{:.0}", row.recent),
        format!("{share:.1}%"),
        row.waiting.to_string(),
        row.running.to_string(),
        format!("{} ms", row.oldest_wait_ms),
        if refused.is_empty() {
            "-".into()
        } else {
            refused.join(" ")
        },
    ]
}
