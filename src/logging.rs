//! Logging of key=value lines to standard error.
//!
//! Events arrive as formatted lines ([`event::format_line`]). All other records, including those of
//! libraries, are escaped and formatted as one key=value line here before `log4rs` writes them.

use log::kv;
use log4rs::append::console;
use log4rs::config;
use log4rs::encode::pattern;

use crate::code;
use crate::error;
use crate::event;

/// Format of a log line: time, level, then the key=value pairs.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Prefix of the targets of this crate's records.
const CRATE_TARGET: &str = "chivebend";

/// Most verbose level logged for libraries. At more verbose levels, their records would outnumber
/// the events.
const LIBRARY_LEVEL: log::LevelFilter = log::LevelFilter::Warn;

/// Formats records as key=value lines and passes them to `log4rs`.
struct KeyValueLogger(log4rs::Logger);

impl log::Log for KeyValueLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.0.enabled(record.metadata()) {
            return;
        }
        let text = format_record(record);
        self.0
            .log(&record.to_builder().args(format_args!("{text}")).build());
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Formats a record as key=value pairs, without time and level.
pub fn format_record(record: &log::Record<'_>) -> String {
    let message = record.args().to_string();
    if record.target() == event::TARGET {
        return message;
    }
    let mut line = String::new();
    if !record.target().starts_with(CRATE_TARGET) {
        event::append_pair(&mut line, "event", "library");
        event::append_pair(&mut line, "target", record.target());
    }
    // `visit` fails only if the visitor returns an error, and `PairVisitor` never does.
    drop(record.key_values().visit(&mut PairVisitor(&mut line)));
    if !message.is_empty() {
        event::append_pair(&mut line, "message", &message);
    }
    line.trim_start().to_owned()
}

struct PairVisitor<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for PairVisitor<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        event::append_pair(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Installs the logger. Later calls in the same process have no effect on the level.
pub fn init(level: log::LevelFilter) -> error::Result<()> {
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(Box::new(pattern::PatternEncoder::new(PATTERN)))
        .build();
    let config = config::Config::builder()
        .appender(config::Appender::builder().build("stderr", Box::new(appender)))
        .logger(config::Logger::builder().build(CRATE_TARGET, level))
        .build(
            config::Root::builder()
                .appender("stderr")
                .build(level.min(LIBRARY_LEVEL)),
        )
        .map_err(|err| error::Error::coded(code::Code::Internal, err.to_string()))?;
    let logger = Box::new(KeyValueLogger(log4rs::Logger::new(config)));
    // Several roles may run in one process, as in `chivebend demo`; the first call wins.
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level);
    }
    Ok(())
}
