//! The controller of the catalogue: what is in force in this process.
//!
//! A thread of its own reads the log and applies the accept rule; the exchange with other processes
//! feeds the same reader. A zone's watchers hold a long poll at the log; the others hear of changes
//! from peers and look at the log now and then, so that hundreds of processes cost the log about as
//! much as a few dozen.

pub mod history;

use std::sync::atomic;
use std::{net, sync, thread, time};

use crate::client::log;
use crate::decide::{accept, random};
use crate::{catalogue, code, error, event};

/// How often, and how patiently.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a watcher's read waits at the log for a record.
    pub long_poll: time::Duration,
    /// Mean time between two reads of a process that is no watcher. With 1,270 processes and 120 s
    /// the log answers about ten such reads a second.
    pub poll_interval: time::Duration,
    /// Most time that a process without a catalogue waits for its peers before it reads the log.
    pub startup_wait: time::Duration,
    /// Shortest and longest wait after a read that failed.
    pub backoff: [time::Duration; 2],
    /// When snapshots are put on the log.
    pub snapshots: accept::Schedule,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            long_poll: time::Duration::from_secs(20),
            poll_interval: time::Duration::from_secs(120),
            startup_wait: time::Duration::from_secs(5),
            backoff: [
                time::Duration::from_millis(500),
                time::Duration::from_secs(15),
            ],
            snapshots: accept::Schedule::default(),
        }
    }
}

/// Longest sleep before the thread looks again whether it is to stop or to watch.
const SLICE: time::Duration = time::Duration::from_millis(100);

type Listener = Box<dyn Fn(&sync::Arc<catalogue::Accepted>) + Send + Sync>;

struct Shared {
    reader: sync::Mutex<accept::Reader>,
    current: sync::RwLock<Option<sync::Arc<catalogue::Accepted>>>,
    listeners: sync::Mutex<Vec<Listener>>,
    stop: atomic::AtomicBool,
    ring: event::Ring,
}

/// The running controller; clones share it.
#[derive(Clone)]
pub struct Handle(sync::Arc<Shared>);

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle")
            .field("revision", &self.revision())
            .finish_non_exhaustive()
    }
}

/// Follows the catalogue on the log at this address. `watches` says whether this process is one of
/// its zone's watchers.
pub fn spawn(
    addr: net::SocketAddr,
    timing: Timing,
    ring: event::Ring,
    watches: impl Fn() -> bool + Send + 'static,
) -> error::Result<Handle> {
    let handle = Handle(sync::Arc::new(Shared {
        reader: sync::Mutex::default(),
        current: sync::RwLock::default(),
        listeners: sync::Mutex::default(),
        stop: atomic::AtomicBool::new(false),
        ring,
    }));
    let seed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    let poller = Poller {
        handle: handle.clone(),
        client: log::open(addr),
        timing,
        watches: Box::new(watches),
        random: random::Random::new(seed.as_nanos() as u64),
        plan: accept::Planner::default(),
        began: time::Instant::now(),
        failures: 0,
    };
    thread::Builder::new()
        .name("catalogue".into())
        .spawn(move || poller.run())?;
    Ok(handle)
}

impl Handle {
    /// The catalogue in force.
    pub fn current(&self) -> Option<sync::Arc<catalogue::Accepted>> {
        self.0
            .current
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Its revision, 0 for none.
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |accepted| accepted.revision)
    }

    /// Calls `listener` with the catalogue in force, if any, and with each later one in order.
    pub fn subscribe(
        &self,
        listener: impl Fn(&sync::Arc<catalogue::Accepted>) + Send + Sync + 'static,
    ) {
        let mut listeners = self.listeners();
        if let Some(accepted) = self.current() {
            listener(&accepted);
        }
        listeners.push(Box::new(listener));
    }

    /// Whether this process wants a whole state: it has none, or records are missing.
    pub fn wants_full_state(&self) -> bool {
        let reader = self.reader();
        reader.has_gap() || reader.state().revision == 0
    }

    /// What to send to a process at this revision, if it is behind.
    pub fn update(&self, revision: u64, whole: bool) -> Option<accept::Update> {
        self.reader().update_for(revision, whole)
    }

    /// Takes over what another process sent. False if it was not newer.
    pub fn apply(&self, update: accept::Update) -> bool {
        let mut reader = self.reader();
        let taken = reader.apply_update(update);
        self.publish(&reader);
        taken
    }

    /// Stops reading the log; the catalogue stays in force.
    pub fn stop(&self) {
        self.0.stop.store(true, atomic::Ordering::Relaxed);
    }

    fn reader(&self) -> sync::MutexGuard<'_, accept::Reader> {
        self.0
            .reader
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn listeners(&self) -> sync::MutexGuard<'_, Vec<Listener>> {
        self.0
            .listeners
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts the reader's catalogue in force. The caller holds the reader's lock, so that two
    /// threads can't do this in the wrong order.
    fn publish(&self, reader: &accept::Reader) {
        let Some(accepted) = reader.current() else {
            return;
        };
        let listeners = self.listeners();
        if accepted.revision <= self.revision() {
            return;
        }
        *self
            .0
            .current
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = Some(sync::Arc::clone(&accepted));
        self.0
            .ring
            .note(event::Kind::CatalogueAccepted)
            .revision(accepted.revision)
            .send();
        for listener in listeners.iter() {
            listener(&accepted);
        }
    }
}

struct Poller {
    handle: Handle,
    client: log::Log,
    timing: Timing,
    watches: Box<dyn Fn() -> bool + Send>,
    random: random::Random,
    plan: accept::Planner,
    began: time::Instant,
    failures: u32,
}

impl Poller {
    fn run(mut self) {
        if !(self.watches)() {
            let wait = self.timing.startup_wait.mul_f64(self.random.unit());
            self.sleep(wait, |handle| !handle.wants_full_state());
        }
        while !self.stopped() {
            let watches = (self.watches)();
            match self.step(watches) {
                Ok(()) => {
                    self.recovered();
                    if !watches && !self.handle.reader().has_gap() {
                        // Half to one and a half of the mean, so that reads do not bunch.
                        let wait = self.timing.poll_interval.mul_f64(0.5 + self.random.unit());
                        self.sleep(wait, |_| false);
                    }
                }
                Err(err) => self.failed(&err),
            }
        }
    }

    fn stopped(&self) -> bool {
        self.handle.0.stop.load(atomic::Ordering::Relaxed)
    }

    fn step(&mut self, watches: bool) -> error::Result<()> {
        if self.handle.reader().next_offset() == 1 {
            self.find_snapshot()?;
        }
        let (from, position) = {
            let reader = self.handle.reader();
            (reader.next_offset(), reader.state().next)
        };
        let wait = if watches {
            self.wait()
        } else {
            time::Duration::ZERO
        };
        let batch = self
            .client
            .read(log::CATALOGUE_STREAM, from, history::BATCH, wait)?;
        check_end(&batch, position)?;
        self.apply(from, &batch);
        if watches && batch.records.len() < history::BATCH as usize {
            self.put_snapshot(batch.first)?;
        }
        Ok(())
    }

    /// A watcher comes back from the log in time for a snapshot that may be due.
    fn wait(&self) -> time::Duration {
        self.timing
            .long_poll
            .min(self.timing.snapshots.append_delay)
    }

    /// Starts from the newest snapshot, rather than from all of the log.
    fn find_snapshot(&mut self) -> error::Result<()> {
        if let Some(state) = history::newest_snapshot(&self.client)? {
            let mut reader = self.handle.reader();
            reader.adopt(state);
            self.handle.publish(&reader);
        }
        Ok(())
    }

    fn apply(&mut self, from: u64, batch: &log::Batch) {
        let ring = self.handle.0.ring.clone();
        let now = self.began.elapsed();
        let mut reader = self.handle.reader();
        let gap = reader.has_gap();
        let first = batch.first;
        let judged = reader.apply(accept::Batch {
            from,
            oldest_offset: first,
            records: &history::entries(batch),
        });
        if reader.has_gap() && !gap {
            ring.note(event::Kind::LogGap).field("first", first).send();
        }
        for judged in &judged {
            if judged.verdict == accept::Verdict::Snapshot {
                self.plan
                    .observe(now, judged.offset, reader.state().revision);
            }
            refused(&ring, judged);
        }
        self.handle.publish(&reader);
    }

    fn put_snapshot(&mut self, first: u64) -> error::Result<()> {
        let (state, gap) = {
            let reader = self.handle.reader();
            (reader.state().clone(), reader.has_gap())
        };
        let now = self.began.elapsed();
        let part = self.random.unit();
        if gap
            || !self
                .plan
                .is_due(self.timing.snapshots, now, first, &state, part)
        {
            return Ok(());
        }
        let revision = state.revision;
        let body = accept::Record::Snapshot(state).encode();
        let offset = self.client.append(log::CATALOGUE_STREAM, &body)?;
        let ring = &self.handle.0.ring;
        let note = ring.note(event::Kind::CatalogueSnapshot).revision(revision);
        note.field("offset", offset).send();
        Ok(())
    }

    fn recovered(&mut self) {
        if self.failures > 0 {
            self.handle.0.ring.note(event::Kind::LogRecovered).send();
        }
        self.failures = 0;
    }

    fn failed(&mut self, err: &error::Error) {
        if self.failures == 0 {
            let note = self.handle.0.ring.note(event::Kind::LogUnavailable);
            note.code(err.code()).field("error", err).send();
        }
        let [least, most] = self.timing.backoff;
        let wait = least.saturating_mul(1 << self.failures.min(10)).min(most);
        self.failures += 1;
        // Full jitter: after an outage everybody is here.
        let wait = least.max(wait.mul_f64(self.random.unit()));
        self.sleep(wait, |_| false);
    }

    /// Sleeps, unless the process stops, becomes a watcher or `enough` is reached.
    fn sleep(&self, wait: time::Duration, enough: impl Fn(&Handle) -> bool) {
        let end = time::Instant::now() + wait;
        let watched = (self.watches)();
        while !self.stopped() && !enough(&self.handle) && (self.watches)() == watched {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(SLICE));
        }
    }
}

/// A log that ends before this process's position is not the one that was read: its offsets
/// would be taken for others.
fn check_end(batch: &log::Batch, position: u64) -> error::Result<()> {
    if batch.next >= position {
        return Ok(());
    }
    let text = format!("the log ends at {}, before position {position}", batch.next);
    Err(error::Error::coded(code::Code::LogUnavailable, text))
}

fn refused(ring: &event::Ring, judged: &accept::Decision) {
    let reason = match &judged.verdict {
        accept::Verdict::LostRace(to) => format!("lost the race to revision {to}"),
        accept::Verdict::Invalid(fault) => fault.clone(),
        accept::Verdict::Unrecognised => "not a record".into(),
        _ => return,
    };
    let note = ring
        .note(event::Kind::CatalogueRefused)
        .revision(judged.offset);
    note.field("change", &judged.change_id)
        .field("reason", reason)
        .send();
}
