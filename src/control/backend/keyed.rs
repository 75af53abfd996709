//! Idempotency keys: which calls with a key may start here, and what answers a repeated one.

use std::{collections, net, sync, time};

use xxhash_rust::xxh3;

use crate::control::response_buffer;
use crate::decide::{home, keys};
use crate::{code, settings, wire};

/// What a sidecar keeps about keys.
#[derive(Debug)]
pub struct Keyed {
    pub(super) home: home::Table,
    pub(super) keys: keys::Table,
    pub(super) answers: Answers,
    pub(super) retention: time::Duration,
    /// Where sidecars of the service listen, of all that were ever listed or have asked: a few
    /// hundred bytes for each of the few replaced in a day.
    pub(super) addresses: collections::HashMap<String, net::SocketAddr>,
    /// When each sidecar is to be asked next, and after which time once more.
    pub(super) asked: collections::HashMap<sync::Arc<str>, (time::Duration, time::Duration)>,
    /// Calls with a key that run.
    pub(super) running: u32,
    /// Members that are still to be given the keys, once this sidecar leaves.
    pub(super) giving: Option<u32>,
}

/// What becomes of a handed-over call with a key.
#[derive(Debug)]
pub enum Verdict {
    /// Start it; its end is remembered.
    Start,
    /// Start it as if it had no key: it is idempotent, and this is not the place to decide.
    Plain,
    /// Send the answer that was kept.
    Replay(response_buffer::Buffer),
    /// Refuse it.
    Refuse {
        /// Why.
        code: code::Code,
        /// When the caller may come back.
        retry_after: time::Duration,
    },
}

type Name = (String, String);

/// Answers of calls with a key, oldest first, within bounds.
#[derive(Debug, Default)]
pub(super) struct Answers {
    limit: u64,
    bytes: u64,
    pub(super) kept: collections::HashMap<Name, response_buffer::Buffer>,
    order: collections::VecDeque<(time::Duration, Name)>,
}

impl Answers {
    pub(super) fn insert(
        &mut self,
        now: time::Duration,
        name: Name,
        answer: response_buffer::Buffer,
    ) {
        if answer.length() > self.limit || self.kept.contains_key(&name) {
            return;
        }
        self.bytes += answer.length();
        self.order.push_back((now, name.clone()));
        self.kept.insert(name, answer);
        while self.bytes > self.limit {
            self.drop_oldest();
        }
    }

    pub(super) fn expire(&mut self, before: time::Duration) {
        while self.order.front().is_some_and(|(at, _)| *at < before) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, name)) = self.order.pop_front() else {
            return;
        };
        if let Some(answer) = self.kept.remove(&name) {
            self.bytes -= answer.length();
        }
    }
}

impl Keyed {
    /// The tables of a sidecar that has just started.
    pub fn new(process: &wire::Process, settings: &settings::Sidecar) -> Self {
        let ms = time::Duration::from_millis;
        let retention = ms(settings.key_retention_ms);
        let terms = home::Timing {
            retention,
            lease: ms(settings.key_lease_ms),
            list_lag: ms(settings.list_lag_ms),
            ..home::Timing::default()
        };
        let history = if settings.first_start {
            home::History::Fresh
        } else {
            home::History::Unknown
        };
        let limits = keys::Limits {
            keys: keys::MAX_KEYS,
            bytes: keys::MAX_BYTES,
            retention,
        };
        Self {
            home: home::Table::open(
                time::Duration::ZERO,
                &process.id,
                process.incarnation,
                terms,
                history,
            ),
            keys: keys::Table::new(limits),
            answers: Answers {
                limit: settings.answer_memory / 2,
                ..Answers::default()
            },
            retention,
            addresses: collections::HashMap::new(),
            asked: collections::HashMap::new(),
            running: 0,
            giving: None,
        }
    }

    /// Decides about a call with a key at the moment of its start.
    pub fn begin(&mut self, now: time::Duration, run: &wire::Run) -> Verdict {
        let (customer, key) = (&run.customer, &run.idempotency_key);
        let home = self.home.verdict(now, customer, key);
        if let Some(code) = home.code() {
            if run.idempotent {
                return Verdict::Plain;
            }
            let retry_after = match home {
                home::Verdict::Lost { until } => until.saturating_sub(now),
                _ => time::Duration::ZERO,
            };
            return Verdict::Refuse { code, retry_after };
        }
        match self.keys.begin(now, customer, key, digest(run)) {
            keys::Verdict::Start => {
                self.running += 1;
                Verdict::Start
            }
            keys::Verdict::Replay => {
                let kept = self.answers.kept.get(&(customer.clone(), key.clone()));
                match kept {
                    Some(answer) => Verdict::Replay(answer.clone()),
                    None if run.idempotent => Verdict::Plain,
                    None => refuse(code::Code::AnswerNotKept),
                }
            }
            keys::Verdict::Refuse(code::Code::OutcomeUnknown) if run.idempotent => Verdict::Plain,
            keys::Verdict::Refuse(code) => refuse(code),
        }
    }

    /// A call that was begun has ended.
    pub fn end(
        &mut self,
        now: time::Duration,
        name: Name,
        failed: Option<code::Code>,
        answer: &response_buffer::Buffer,
    ) {
        self.running -= 1;
        let (customer, key) = &name;
        match failed.map(|code| code.row().ran) {
            Some(code::Ran::No) => self.keys.cancel(customer, key),
            Some(code::Ran::Unknown) => self.keys.end(now, customer, key, false),
            Some(code::Ran::Yes) => self.keys.end(now, customer, key, true),
            None => {
                self.keys.end(now, customer, key, true);
                self.answers.insert(now, name, answer.clone());
            }
        }
    }

    /// Whether this sidecar decides about the keys it is the home of.
    pub fn settled(&self, now: time::Duration) -> bool {
        self.home.is_settled(now)
    }

    /// True once the keys were given away, as far as that could be done.
    pub fn given(&self) -> bool {
        self.giving == Some(0)
    }

    /// Members that are still to be given this sidecar's keys.
    pub fn giving(&self) -> u32 {
        self.giving.unwrap_or_default()
    }
}

fn refuse(code: code::Code) -> Verdict {
    Verdict::Refuse {
        code,
        retry_after: time::Duration::ZERO,
    }
}

/// Digest of what makes two requests the same: method, path and body.
fn digest(run: &wire::Run) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(run.method.as_bytes());
    hasher.update(b" ");
    hasher.update(run.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(&run.body);
    hasher.digest()
}
