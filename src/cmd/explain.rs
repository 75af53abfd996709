//! `chivebend explain`: prints the table of result codes.

use std::fmt::Write as _;

use crate::cmd;
use crate::code;
use crate::error;

/// Explain one result code, or all of them.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Number or name of the code.
    #[arg(required_unless_present = "all")]
    code: Option<String>,
    /// Explain all codes.
    #[arg(long, conflicts_with = "code")]
    all: bool,
    /// Print all codes as the page docs/CODES.md.
    #[arg(long, requires = "all", conflicts_with = "json")]
    markdown: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A row of the table in the JSON output.
#[derive(serde::Serialize)]
struct Json {
    number: u16,
    name: &'static str,
    status: u16,
    ran: String,
    retry: bool,
    text: &'static str,
    operator: &'static str,
}

/// Runs the command.
pub fn run(args: &Args) -> error::Result<()> {
    let all = code::TABLE.iter().map(|(_, row)| row);
    let rows: Vec<_> = match &args.code {
        None => all.collect(),
        Some(code) => all
            .filter(|row| row.name == code || row.number.to_string() == *code)
            .collect(),
    };
    if rows.is_empty() {
        let text = format!(
            "there is no result code {:?}",
            args.code.as_deref().unwrap_or_default()
        );
        return Err(error::Error::coded(code::Code::BadSettings, text));
    }
    if args.markdown {
        return cmd::print(&markdown());
    }
    if args.json {
        return cmd::print_json(&rows.iter().map(|row| json(row)).collect::<Vec<_>>());
    }
    let texts: Vec<_> = rows.iter().map(|row| text(row)).collect();
    cmd::print(&texts.join("\n"))
}

fn json(row: &code::Row) -> Json {
    Json {
        number: row.number,
        name: row.name,
        status: row.status,
        ran: row.ran.to_string(),
        retry: row.retry,
        text: row.text,
        operator: row.operator,
    }
}

fn text(row: &code::Row) -> String {
    format!(
        "{} {}\n  {}\n  HTTP status: {}\n  ran:         {}\n  retry:       {}\n  operator:    {}\n",
        row.number,
        row.name,
        row.text,
        row.status,
        row.ran,
        yes_no(row.retry),
        row.operator,
    )
}

fn yes_no(is: bool) -> &'static str {
    if is { "yes" } else { "no" }
}

/// Returns the text of the page `docs/CODES.md`.
pub fn markdown() -> String {
    let mut page = String::from(PAGE_HEADER);
    for (_, row) in code::TABLE {
        let cells = (row.number, row.name, row.status, row.ran, yes_no(row.retry));
        let (number, name, status, ran, retry) = cells;
        writeln!(
            page,
            "| {number} | `{name}` | {status} | {ran} | {retry} | {} | {} |",
            row.text, row.operator
        )
        .expect("writing to a String never fails");
    }
    page
}

const PAGE_HEADER: &str = "\
# Result codes

Written by `chivebend explain --all --markdown` from the table in `src/code.rs`; a test compares.

*Ran* says whether the request ran at the backend server: `no` means it did not and never will,
`unknown` that it may have. *Retry* says whether the same request may be sent again with hope; a
request that is not idempotent and whose outcome is `unknown` must not be sent again without a look
at its effect.

| Code | Name | HTTP status | Ran | Retry | Meaning | Operator |
|---|---|---|---|---|---|---|
";
