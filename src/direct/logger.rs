//! Structured logging to standard output, bounded and non-blocking.
//!
//! Lines are buffered in memory and written by a separate thread, so that a stalled reader of the
//! output causes lost lines, but never blocks the process. Dropped lines are counted and reported
//! in the next batch.

use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::mpsc;
use std::{cell, thread, time};

use crate::event;

/// Size in bytes from which a batch is passed to the writer.
const BATCH_BYTES: usize = 8 * 1024;

/// Maximum number of batches queued for the writer: half a megabyte, some 3,000 lines.
const MAX_BATCHES: usize = 64;

/// Maximum length of a field's value in bytes. Some values come from callers or other writers.
const MAX_VALUE_BYTES: usize = 1_024;

/// Maximum number of lines per second; the usual load is a few hundred.
const MAX_LINES_PER_S: u32 = 2_000;

/// Maximum time for writing the last lines when the process ends.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Stack size in bytes of the writer's thread, which only copies.
const STACK_BYTES: usize = 64 * 1024;

/// Log of the process.
#[derive(Debug)]
pub struct Logger {
    started: time::Instant,
    batch: cell::RefCell<String>,
    writer: cell::RefCell<Option<mpsc::SyncSender<String>>>,
    written: mpsc::Receiver<()>,
    second: cell::Cell<(u64, u32)>,
    dropped: cell::Cell<u64>,
}

/// A line under construction; it is written when dropped.
#[derive(Debug)]
pub struct Line<'a> {
    log: &'a Logger,
    text: String,
}

/// Opens a log to standard output and starts the writer's thread.
pub fn open(started: time::Instant) -> io::Result<Logger> {
    open_to(started, io::stdout())
}

/// Opens a log to any output and starts the writer's thread.
pub fn open_to(started: time::Instant, mut out: impl Write + Send + 'static) -> io::Result<Logger> {
    let (writer, batches) = mpsc::sync_channel::<String>(MAX_BATCHES);
    let (done, written) = mpsc::channel();
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            for batch in batches {
                // A closed output leaves no place to report the error.
                if out.write_all(batch.as_bytes()).is_err() {
                    break;
                }
            }
            // The receiver may be gone by now.
            let _unheard = done.send(());
        })?;
    Ok(Logger {
        started,
        batch: cell::RefCell::default(),
        writer: cell::RefCell::new(Some(writer)),
        written,
        second: cell::Cell::default(),
        dropped: cell::Cell::default(),
    })
}

impl Logger {
    /// Begins a line for this event.
    pub fn line(&self, name: &str) -> Line<'_> {
        let now = self.started.elapsed();
        let mut text = format!("t={:.3}", now.as_secs_f64());
        event::append_pair(&mut text, "event", name);
        Line { log: self, text }
    }

    fn end(&self, line: &str) {
        let second = self.started.elapsed().as_secs();
        let (at, lines) = self.second.get();
        let lines = if at == second { lines } else { 0 };
        self.second.set((second, lines + 1));
        if lines >= MAX_LINES_PER_S {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let mut batch = self.batch.borrow_mut();
        batch.push_str(line);
        batch.push('\n');
        let full = batch.len() >= BATCH_BYTES;
        drop(batch);
        if full {
            self.flush();
        }
    }

    /// Passes the buffered lines to the writer; must be called a few times a second and before the
    /// end.
    pub fn flush(&self) {
        let mut batch = std::mem::take(&mut *self.batch.borrow_mut());
        let dropped = self.dropped.take();
        if batch.is_empty() && dropped == 0 {
            return;
        }
        if dropped > 0 {
            batch.push_str("event=log_dropped lines=");
            batch.push_str(&dropped.to_string());
            batch.push('\n');
        }
        let lines = batch.bytes().filter(|b| *b == b'\n').count() as u64;
        let writer = self.writer.borrow();
        let sent = writer.as_ref().map(|writer| writer.try_send(batch));
        if !matches!(sent, Some(Ok(()))) {
            self.dropped.set(dropped + lines);
        }
    }

    /// Writes the remaining lines and waits for the writer, but not long: if the reader stalls, the
    /// last lines are lost. Nothing is logged afterwards.
    pub fn close(&self) {
        self.flush();
        self.writer.borrow_mut().take();
        // A thread that has ended already has written all lines; after a timeout the rest is lost.
        let _late = self.written.recv_timeout(CLOSE_TIMEOUT);
    }
}

#[expect(
    clippy::return_self_not_must_use,
    reason = "a line is written when dropped"
)]
impl Line<'_> {
    /// Adds a field.
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        let value = event::prefix(&value, MAX_VALUE_BYTES);
        event::append_pair(&mut self.text, key, value);
        self
    }

    /// Adds a field with a time in milliseconds.
    pub fn ms(mut self, key: &str, value: time::Duration) -> Self {
        // Writing to a string can't fail.
        let _always = write!(self.text, " {key}={:.1}", value.as_secs_f64() * 1e3);
        self
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        self.log.end(&self.text);
    }
}
