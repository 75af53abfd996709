//! `chivebend catalogue`: shows the catalogue in force.

use std::net;

use crate::client::log;
use crate::cmd::table;
use crate::control::catalogue::history;
use crate::{catalogue, cmd, code, error};

/// Show the catalogue in force with its revision, author and owners.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Address of the platform's log service.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS", value_name = "IP:PORT")]
    log: net::SocketAddr,
    /// Print the TOML text as published.
    #[arg(long, conflicts_with = "json")]
    toml: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// JSON output of the command.
#[derive(serde::Serialize)]
struct Json<'a> {
    revision: u64,
    author: &'a str,
    catalogue: &'a catalogue::Catalogue,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let reader = history::load(&log::open(args.log))?;
    let Some(accepted) = reader.current() else {
        let text = if reader.has_gap() {
            "the log no longer contains the accepted changes, and contains no snapshot yet"
        } else {
            "no catalogue has been published yet"
        };
        return Err(error::Error::coded(code::Code::NoCatalogue, text));
    };
    let author = &reader.state().author;
    if args.toml {
        return cmd::print(&accepted.toml);
    }
    let catalogue = &accepted.catalogue;
    if args.json {
        return cmd::print_json(&Json {
            revision: accepted.revision,
            author,
            catalogue,
        });
    }
    let header = format!(
        "revision {} by {}\n\n",
        accepted.revision,
        table::printable(author)
    );
    cmd::print(&(header + &text(catalogue)))
}

/// Formats a catalogue as tables.
pub fn text(catalogue: &catalogue::Catalogue) -> String {
    let customers: Vec<_> = catalogue.customers.iter().map(customer).collect();
    let headers = ["CUSTOMER", "OWNER", "CLASS", "KEYS", "LIMITS"];
    let customers = table::render(&headers, &customers);
    let classes: Vec<_> = catalogue
        .classes
        .iter()
        .map(|(name, c)| class(name, c))
        .collect();
    let classes = table::render(&["CLASS", "WEIGHT", "DEADLINE"], &classes);
    let services: Vec<_> = catalogue.services.iter().map(service).collect();
    let headers = ["SERVICE", "OWNER", "KIND", "WINDOW", "MODELS", "ROUTES"];
    let services = table::render(&headers, &services);
    [classes, services, customers].join("\n")
}

fn class(name: &str, class: &catalogue::Class) -> Vec<String> {
    let deadline = class
        .deadline_ms
        .map_or("-".into(), |ms| format!("{ms} ms"));
    vec![name.to_owned(), class.weight.to_string(), deadline]
}

fn service(service: &catalogue::Service) -> Vec<String> {
    let paths: Vec<_> = service
        .routes
        .iter()
        .map(|rule| rule.path.as_str())
        .collect();
    vec![
        service.name.clone(),
        or_dash(&service.owner),
        service.kind.to_string(),
        service.window.to_string(),
        or_dash(&service.models.join(" ")),
        or_dash(&paths.join(" ")),
    ]
}

fn customer(customer: &catalogue::Customer) -> Vec<String> {
    let limits = &customer.limits;
    let limits_text = [
        limits.concurrency.map(|n| format!("concurrency={n}")),
        limits.requests_per_s.map(|n| format!("requests_per_s={n}")),
        limits.tokens_per_s.map(|n| format!("tokens_per_s={n}")),
        limits.queue.map(|n| format!("queue={n}")),
        limits.queue_bytes.map(|n| format!("queue_bytes={n}")),
    ];
    let limits_text: Vec<_> = limits_text.into_iter().flatten().collect();
    vec![
        customer.name.clone(),
        customer.owner.clone(),
        customer.class.clone(),
        customer.key_hashes.len().to_string(),
        or_dash(&limits_text.join(" ")),
    ]
}

fn or_dash(text: &str) -> String {
    if text.is_empty() {
        "-".into()
    } else {
        text.into()
    }
}
