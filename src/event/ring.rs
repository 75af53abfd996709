//! Ring buffer of a process's most recent events.

use std::borrow;
use std::collections;
use std::fmt;
use std::sync;
use std::time;

use crate::code;
use crate::event::{Event, Filter, Identity, Kind, Page, Stamp, TARGET, limit, text};

/// Maximum lead of a received timestamp over this machine's clock. Clocks synchronized by NTP
/// differ by far less. A timestamp further ahead would advance the clock of every process, so it is
/// ignored.
const MAX_CLOCK_LEAD: time::Duration = time::Duration::from_secs(60);

struct Shared {
    identity: Identity,
    clock: uhlc::HLC,
    capacity: usize,
    state: sync::Mutex<State>,
}

struct State {
    events: collections::VecDeque<Event>,
    overwritten: u64,
    rate_limiter: limit::RateLimiter,
}

/// Ring buffer of a process's events. Clones share the buffer.
#[derive(Clone)]
pub struct Ring(sync::Arc<Shared>);

impl fmt::Debug for Ring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Ring").field(&self.0.identity).finish()
    }
}

impl Ring {
    /// Creates a ring that keeps the last `capacity` events.
    pub fn open(capacity: usize, identity: &Identity) -> Self {
        let clock = uhlc::HLCBuilder::new()
            .with_max_delta(MAX_CLOCK_LEAD)
            .build();
        Self(sync::Arc::new(Shared {
            identity: identity.clone(),
            clock,
            capacity: capacity.max(1),
            state: sync::Mutex::new(State {
                events: collections::VecDeque::new(),
                overwritten: 0,
                rate_limiter: limit::RateLimiter::new(time::Instant::now()),
            }),
        }))
    }

    /// Returns the identity of the process that records the events.
    pub fn identity(&self) -> &Identity {
        &self.0.identity
    }

    /// Starts building an event, which [`EventBuilder::send`] records.
    pub fn note(&self, kind: Kind) -> EventBuilder<'_> {
        EventBuilder {
            ring: self,
            kind,
            request: None,
            customer: None,
            revision: None,
            code: None,
            fields: collections::BTreeMap::new(),
        }
    }

    /// Returns a new timestamp to send to another process.
    pub fn stamp(&self) -> Stamp {
        Stamp(self.0.clock.new_timestamp().get_time().as_u64())
    }

    /// Advances the clock past a timestamp received from another process, so that later events of
    /// this process have higher timestamps.
    ///
    /// Returns false if the timestamp was ignored because it is too far ahead of this machine's
    /// clock.
    pub fn observe(&self, stamp: Stamp) -> bool {
        let (clock, time) = (&self.0.clock, uhlc::NTP64(stamp.0));
        // The library performs the same check, but logs a line each time.
        if time > uhlc::system_time_clock() + uhlc::NTP64::from(MAX_CLOCK_LEAD) {
            return false;
        }
        let other = uhlc::Timestamp::new(time, *clock.get_id());
        clock.update_with_timestamp(&other).is_ok()
    }

    /// Returns the events that match a filter, oldest first.
    pub fn read(&self, filter: &Filter) -> Page {
        let state = self.state();
        let events = state.events.iter().filter(|event| filter.accepts(event));
        Page {
            instance: self.0.identity.instance.clone(),
            now: self.stamp(),
            overwritten: state.overwritten,
            events: events.cloned().collect(),
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        // The state is consistent between any two statements, so a poisoned lock can be ignored.
        self.0
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn record(&self, builder: EventBuilder<'_>) {
        let identity = &self.0.identity;
        let mut state = self.state();
        let now = time::Instant::now();
        let customer = builder.customer.as_deref();
        let Some(repeats) = state
            .rate_limiter
            .admit(now, builder.kind, builder.code, customer)
        else {
            return;
        };
        let row = builder.kind.row();
        let event = Event {
            stamp: self.stamp(),
            name: row.name.into(),
            instance: identity.instance.clone(),
            zone: identity.zone.clone(),
            role: identity.role.into(),
            request: builder.request,
            customer: builder.customer,
            revision: builder.revision,
            code: builder.code.map(code::Code::number),
            fields: builder.fields,
            repeats,
        };
        let line = log::log_enabled!(target: TARGET, row.level).then(|| text::format_line(&event));
        if state.events.len() == self.0.capacity {
            state.events.pop_front();
            state.overwritten += 1;
        }
        state.events.push_back(event);
        drop(state);
        if let Some(line) = line {
            log::log!(target: TARGET, row.level, "{line}");
        }
    }
}

/// Builder of an event.
#[derive(Debug)]
#[must_use = "an event is recorded by `send`"]
pub struct EventBuilder<'a> {
    ring: &'a Ring,
    kind: Kind,
    request: Option<String>,
    customer: Option<String>,
    revision: Option<u64>,
    code: Option<code::Code>,
    fields: collections::BTreeMap<borrow::Cow<'static, str>, String>,
}

impl EventBuilder<'_> {
    /// Sets the id of the related request, as callers see it.
    pub fn request(mut self, id: impl fmt::Display) -> Self {
        self.request = Some(text::truncate(&id.to_string()));
        self
    }

    /// Sets the related customer.
    pub fn customer(mut self, name: &str) -> Self {
        self.customer = Some(text::truncate(name));
        self
    }

    /// Sets the related catalogue revision.
    pub fn revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }

    /// Sets the result code.
    pub fn code(mut self, code: code::Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Adds a field. Values must not contain secrets or request bodies.
    pub fn field(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        self.fields
            .insert(key.into(), text::truncate(&value.to_string()));
        self
    }

    /// Logs the event and adds it to the ring.
    pub fn send(self) {
        let ring = self.ring;
        ring.record(self);
    }
}
