//! Structured log lines on standard output: bounded, never blocking.
//!
//! Lines gather in memory and a thread of its own writes them, so that a reader of the output that
//! stalls costs lines, never time. What was dropped is counted and told in the next batch.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::mpsc;
use std::{cell, thread, time};

use crate::event;

/// Bytes that gather before they go to the writer.
const BATCH: usize = 8 * 1024;

/// Batches that may wait for the writer: half a megabyte, some 3,000 lines.
const BATCHES: usize = 64;

/// Lines a second that one process writes at most; the usual load is a few hundred.
const LINES_PER_S: u32 = 2_000;

/// Stack of the writer's thread, which only copies.
const STACK: usize = 64 * 1024;

/// The process's log.
#[derive(Debug)]
pub struct Log {
    started: time::Instant,
    batch: cell::RefCell<String>,
    writer: mpsc::SyncSender<String>,
    second: cell::Cell<(u64, u32)>,
    dropped: cell::Cell<u64>,
}

/// One line that is being made up; it is written when dropped.
#[derive(Debug)]
pub struct Line<'a> {
    log: &'a Log,
    text: String,
}

/// Starts the writer's thread.
pub fn open(started: time::Instant) -> std::io::Result<Log> {
    let (writer, batches) = mpsc::sync_channel::<String>(BATCHES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK)
        .spawn(move || {
            for batch in batches {
                // Nobody is left to tell if standard output is closed.
                if std::io::stdout().write_all(batch.as_bytes()).is_err() {
                    return;
                }
            }
        })?;
    Ok(Log {
        started,
        batch: cell::RefCell::default(),
        writer,
        second: cell::Cell::default(),
        dropped: cell::Cell::default(),
    })
}

impl Log {
    /// Begins a line about this event.
    pub fn line(&self, name: &str) -> Line<'_> {
        let now = self.started.elapsed();
        let mut text = format!("t={:.3}", now.as_secs_f64());
        event::pair(&mut text, "event", name);
        Line { log: self, text }
    }

    fn end(&self, line: &str) {
        let second = self.started.elapsed().as_secs();
        let (at, lines) = self.second.get();
        let lines = if at == second { lines } else { 0 };
        self.second.set((second, lines + 1));
        if lines >= LINES_PER_S {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let mut batch = self.batch.borrow_mut();
        batch.push_str(line);
        batch.push('\n');
        let full = batch.len() >= BATCH;
        drop(batch);
        if full {
            self.flush();
        }
    }

    /// Hands gathered lines to the writer; call it a few times a second and before the end.
    pub fn flush(&self) {
        let mut batch = std::mem::take(&mut *self.batch.borrow_mut());
        if batch.is_empty() {
            return;
        }
        let dropped = self.dropped.take();
        if dropped > 0 {
            batch.push_str("event=log_dropped lines=");
            batch.push_str(&dropped.to_string());
            batch.push('\n');
        }
        let lines = batch.bytes().filter(|b| *b == b'\n').count() as u64;
        if self.writer.try_send(batch).is_err() {
            self.dropped.set(dropped + lines);
        }
    }
}

#[expect(
    clippy::return_self_not_must_use,
    reason = "a line is written when dropped"
)]
impl Line<'_> {
    /// Adds a pair.
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        event::pair(&mut self.text, key, &value.to_string());
        self
    }

    /// Adds a time in milliseconds.
    pub fn ms(mut self, key: &str, value: time::Duration) -> Self {
        // Writing to a string cannot fail.
        let _always = write!(self.text, " {key}={:.1}", value.as_secs_f64() * 1e3);
        self
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        self.log.end(&self.text);
    }
}
