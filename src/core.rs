//! The core thread of a process: a stakker loop fed by typed messages.
//!
//! All state of a process is kept by actors on this one thread, so no decision needs a lock. Network
//! code runs on the tokio runtime and talks to the core through a channel. Actors read the time from
//! stakker, so a test can run them under a clock of its own.

use std::{io, thread, time};

use crossbeam_channel as channel;
use stakker::Stakker;

/// Longest sleep without a message: bounds how late a timer set by another thread can fire.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(250);

/// Most messages handled before the actors run: bounds how long a flood can delay timers.
const BATCH: usize = 256;

/// Handles one message; owns the actors.
pub type Handler<M> = Box<dyn FnMut(&mut Stakker, M)>;

/// Exit code of a process whose core has panicked.
const EXIT_PANICKED: i32 = 70;

/// Ends the process if the core panics. Without its core it would go on answering health checks
/// while its callers wait for ever.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        if thread::panicking() {
            log::error!(event = "internal_fault"; "the core panicked");
            std::process::exit(EXIT_PANICKED);
        }
    }
}

/// A running core thread.
#[derive(Debug)]
pub struct Core {
    thread: thread::JoinHandle<()>,
}

impl Core {
    /// Waits until the core has shut down.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!(event = "core_panicked"; "");
        }
    }
}

/// Starts a core thread that creates its actors with `start` and feeds them from `rx`.
///
/// The core ends when an actor shuts stakker down or when every sender is gone.
pub fn spawn<M: Send + 'static>(
    name: &str,
    rx: channel::Receiver<M>,
    start: impl FnOnce(&mut Stakker) -> Handler<M> + Send + 'static,
) -> io::Result<Core> {
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&rx, start))?;
    Ok(Core { thread })
}

fn run<M>(rx: &channel::Receiver<M>, start: impl FnOnce(&mut Stakker) -> Handler<M>) {
    let _guard = Guard;
    let mut stakker = Stakker::new(time::Instant::now());
    let mut handle = start(&mut stakker);
    stakker.run(time::Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(time::Instant::now(), MAX_SLEEP, false);
        match rx.recv_timeout(wait) {
            Ok(msg) => {
                handle(&mut stakker, msg);
                for msg in rx.try_iter().take(BATCH) {
                    handle(&mut stakker, msg);
                }
            }
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => break,
        }
        stakker.run(time::Instant::now(), false);
    }
}
