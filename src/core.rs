//! The core thread of a process: a stakker actor loop that receives typed messages.
//!
//! Actors on this thread own all state of the process, so decisions need no locks. Network code
//! runs on the tokio runtime and sends messages to the core through a channel. Actors read the time
//! from stakker, so that tests can run them with a simulated clock.

use std::{io, thread, time};

use crossbeam_channel as channel;
use stakker::Stakker;

/// Maximum time to block without a message, which bounds the delay of a timer that another thread
/// sets.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(250);

/// Maximum number of messages handled before the actors run, which bounds how long a burst of
/// messages can delay timers.
const MAX_BATCH: usize = 256;

/// Handles one message. The closure owns the actors.
pub type Handler<M> = Box<dyn FnMut(&mut Stakker, M)>;

/// Exit code of a process whose core thread panicked.
const EXIT_PANICKED: i32 = 70;

/// Exits the process if the core thread panics. Without the core, the process would still answer
/// health checks while its callers wait forever.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            log::error!(event = "internal_fault"; "the core thread panicked");
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
    /// Waits until the core thread has ended.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!(event = "core_panicked"; "");
        }
    }
}

/// Starts a core thread. `start` creates the actors and returns the handler of messages from `rx`.
///
/// The thread ends when an actor shuts stakker down or when all senders are dropped.
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
    let _exit_on_panic = ExitOnPanic;
    let mut stakker = Stakker::new(time::Instant::now());
    let mut handler = start(&mut stakker);
    stakker.run(time::Instant::now(), false);
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(time::Instant::now(), MAX_SLEEP, false);
        match rx.recv_timeout(wait) {
            Ok(msg) => {
                handler(&mut stakker, msg);
                for msg in rx.try_iter().take(MAX_BATCH) {
                    handler(&mut stakker, msg);
                }
            }
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => break,
        }
        stakker.run(time::Instant::now(), false);
    }
}
