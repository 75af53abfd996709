//! Logs: key=value lines on standard error.

use log4rs::append::console;
use log4rs::config;
use log4rs::encode::pattern;

use crate::code;
use crate::error;

/// Time, level, then the event's own pairs.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Only this crate's lines are written: a library's free text could forge pairs.
const TARGET: &str = "chivebend";

/// Starts logging. A second call in one process keeps the first's level.
pub fn init(level: log::LevelFilter) -> error::Result<()> {
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stderr)
        .encoder(Box::new(pattern::PatternEncoder::new(PATTERN)))
        .build();
    let config = config::Config::builder()
        .appender(config::Appender::builder().build("stderr", Box::new(appender)))
        .logger(
            config::Logger::builder()
                .appender("stderr")
                .additive(false)
                .build(TARGET, level),
        )
        .build(config::Root::builder().build(log::LevelFilter::Off))
        .map_err(|err| error::Error::coded(code::Code::Internal, err.to_string()))?;
    // Several roles may share a process, as in `chivebend demo`; the first one's call stands.
    log4rs::init_config(config).map_or(Ok(()), |_| Ok(()))
}
