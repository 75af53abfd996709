//! Responses that are event streams: passes on complete events only, and resumes broken streams
//! where that is allowed.

use std::{io, pin, time};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::{attempt, body, conn, forward, memory, refusal, slot};
use crate::code;
use crate::decide;

/// Maximum size of one event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Capacity in bytes for an incomplete event that isn't counted: most events fit, so that their streams
/// never wait for memory. The buffers of a connection hold as much, and so does the first piece of an event,
/// which never waits.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// Separator behind each event.
const EVENT_END: &[u8] = b"\n\n";

/// A stream that is passed on to the caller.
struct Stream {
    call: forward::Call,
    slot: slot::Slot,
    conn: Option<conn::Conn>,
    body: conn::Body,
    // Bytes of an event that is not complete yet.
    partial: Vec<u8>,
    // Memory of these bytes.
    hold: memory::Hold,
    // Time that it waited for memory.
    waited: time::Duration,
    // Id of the last event passed on.
    last_id: Option<String>,
    // Number of events passed on.
    event_count: u64,
    closes_connection: bool,
    // Whether only the end of the connection shows the end of the stream.
    ends_with_connection: bool,
    status: u16,
    is_over: bool,
}

/// Returns the response that passes a stream on to the caller.
pub fn stream(call: forward::Call, response: attempt::Response) -> http::Response<body::Body> {
    let attempt::Response {
        mut head,
        body,
        conn,
        slot,
    } = response;
    let state = Stream {
        hold: call.entry.memory.empty(decide::memory::Owner::Event),
        waited: time::Duration::ZERO,
        call,
        slot,
        conn: Some(conn),
        body,
        partial: Vec::new(),
        last_id: None,
        event_count: 0,
        closes_connection: forward::closes_connection(&head.headers),
        ends_with_connection: forward::ends_with_connection(&head.headers),
        status: head.status.as_u16(),
        is_over: false,
    };
    forward::strip_connection_headers(&mut head.headers);
    let deadline =
        tokio::time::Instant::from_std(state.call.entry.started + state.call.req.deadline);
    // One timer for the whole stream: resetting it for each event would cost as much as passing the
    // event on.
    let deadline = Box::pin(tokio::time::sleep_until(deadline));
    let chunks = stream::unfold((state, deadline), next_frame);
    http::Response::from_parts(head, Box::pin(StreamBody::new(chunks)))
}

type Deadline = pin::Pin<Box<tokio::time::Sleep>>;

async fn next_frame(
    (mut stream, mut deadline): (Stream, Deadline),
) -> Option<(io::Result<Frame<Bytes>>, (Stream, Deadline))> {
    if stream.is_over {
        return None;
    }
    let next = tokio::select! {
        biased;
        next = stream.next() => next,
        () = deadline.as_mut() => Err(refusal::Refusal::new(code::Code::BackendSilent)),
    };
    let next = match next {
        Ok(events) => Ok(Frame::data(events?)),
        Err(refusal) => Err(stream.abort(refusal)),
    };
    Some((next, (stream, deadline)))
}

impl Stream {
    // Returns the next complete events; `None` after the last.
    async fn next(&mut self) -> Result<Option<Bytes>, refusal::Refusal> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && let Some(events) = self.split_complete_events(data).await
                    {
                        return Ok(Some(events));
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        self.resume("the event doesn't end").await?;
                    }
                }
                None if !self.partial.is_empty() => self.resume("cut").await?,
                // Every stream has an event, so its connection ended before that.
                None if self.ends_with_connection && self.slot.first_event_after.is_none() => {
                    self.resume("no event").await?;
                }
                None => {
                    self.complete();
                    return Ok(None);
                }
                Some(Err(err)) => self.resume(&err.to_string()).await?,
            }
        }
    }

    // Returns the complete events in the data received so far, without those that were passed on
    // before. Mostly the data is exactly that, and then it isn't copied.
    async fn split_complete_events(&mut self, data: Bytes) -> Option<Bytes> {
        // Only the new data is searched: of an event that doesn't end, all of it would be searched
        // with each piece.
        let is_end = self.partial.is_empty() || self.ends_event(&data);
        if !is_end {
            self.extend_partial(&data).await;
            return None;
        }
        let mut complete = self.join_partial(data);
        let end = rfind_event_end(&complete).map_or(0, |at| at + EVENT_END.len());
        // A wait for memory would hold back the complete events, and what they hold.
        self.partial.extend_from_slice(&complete.split_off(end));
        let events = self.drop_duplicates(complete);
        if events.is_empty() {
            return None;
        }
        self.slot.record_events();
        Some(events)
    }

    // Appends bytes to the partial event once there is memory for them. The rest stays in the backend
    // server's connection meanwhile, which makes it stop sending.
    async fn extend_partial(&mut self, data: &[u8]) {
        let (capacity, needed) = (self.partial.capacity(), self.partial.len() + data.len());
        if needed > capacity {
            let larger = needed.max((capacity * 2).min(MAX_EVENT_BYTES));
            let more = larger.saturating_sub(UNCOUNTED_BYTES) as u64 - self.hold.bytes();
            if !self.hold.try_extend(more) {
                self.wait_for_memory(more).await;
            }
            self.partial.reserve_exact(larger - self.partial.len());
        }
        self.partial.extend_from_slice(data);
    }

    async fn wait_for_memory(&mut self, more: u64) {
        let entry = &self.call.entry;
        let started = entry.now();
        if self.waited.is_zero() {
            let id = self.call.req.head.id.to_str().unwrap_or("?");
            let line = entry.log.line("event_waits").with("id", id);
            line.with("backend", self.call.backend(self.slot.server))
                .with("event_bytes", self.partial.len());
        }
        self.hold.extend(more).await;
        self.waited += self.call.entry.now().saturating_sub(started);
    }

    // Returns the partial event with the data that completes it. That doesn't wait: the event gives its
    // memory back once it is sent.
    fn join_partial(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return data;
        }
        let mut joined = std::mem::take(&mut self.partial);
        joined.reserve_exact(data.len());
        joined.extend_from_slice(&data);
        self.take_hold().attach(joined)
    }

    fn take_hold(&mut self) -> memory::Hold {
        let empty = self.call.entry.memory.empty(decide::memory::Owner::Event);
        std::mem::replace(&mut self.hold, empty)
    }

    // Returns whether an event ends in the data that follows the partial one.
    fn ends_event(&self, data: &[u8]) -> bool {
        let is_split = self.partial.ends_with(b"\n") && data.starts_with(b"\n");
        is_split || rfind_event_end(data).is_some()
    }

    // Counts complete events, and removes those that were passed on before.
    fn drop_duplicates(&mut self, complete: Bytes) -> Bytes {
        let (mut rest, mut new) = (complete.clone(), BytesMut::new());
        let mut dropped = false;
        while let Some(at) = find_event_end(&rest) {
            let event = rest.split_to(at + EVENT_END.len());
            if self.count_if_new(&event) {
                if dropped {
                    new.extend_from_slice(&event);
                }
            } else if !std::mem::replace(&mut dropped, true) {
                let before = complete.len() - rest.len() - event.len();
                new.extend_from_slice(&complete[..before]);
            }
        }
        if dropped { new.freeze() } else { complete }
    }

    // Counts an event and returns true, unless it was passed on before.
    fn count_if_new(&mut self, event: &[u8]) -> bool {
        let id = event_id(event);
        if self.event_count > 0 && id.is_some() && is_duplicate(id, self.last_id.as_deref()) {
            return false;
        }
        if let Some(id) = id {
            let last = self.last_id.get_or_insert_default();
            last.clear();
            last.push_str(id);
        }
        if self.slot.first_event_after.is_none() {
            self.record_first_event();
        }
        if self.event_count == 0 {
            self.call.on_first_event(&self.slot);
        }
        self.event_count += 1;
        true
    }

    fn record_first_event(&mut self) {
        self.slot.record_first_event();
        let entry = &self.call.entry;
        let now = entry.now();
        let took = now.saturating_sub(self.slot.taken_at);
        entry.meter.time("first_event_at_backend", took);
        if self.event_count > 0 {
            return;
        }
        let since = now.saturating_sub(self.call.req.received);
        entry.meter.time("first_event", since);
    }

    fn complete(&mut self) {
        self.is_over = true;
        self.call.on_stream_end();
        let took = self.call.entry.now().saturating_sub(self.slot.taken_at);
        // The wait for memory is no matter of the backend server.
        let took = took.saturating_sub(self.waited);
        let pace = took / (self.event_count.max(1) as u32);
        self.call.entry.record_result(self.slot.server, true, pace);
        self.call.log_answered(&self.slot, self.status, "stream");
        if !self.closes_connection
            && let Some(conn) = self.conn.take()
        {
            self.call.entry.return_connection(self.slot.server, conn);
        }
    }

    // Resumes the stream at another backend server, or fails.
    async fn resume(&mut self, cause: &str) -> Result<(), refusal::Refusal> {
        let entry = std::rc::Rc::clone(&self.call.entry);
        // Closing the connection makes the backend server stop.
        self.conn = None;
        self.partial = Vec::new();
        drop(self.take_hold());
        entry.record_result(self.slot.server, false, time::Duration::ZERO);
        self.call.on_connection_lost(&self.slot);
        let kind = self.call.req.route.kind;
        let can_resume = kind.is_retryable() && self.call.try_spend_retry();
        entry
            .log
            .line("stream_broken")
            .with("id", self.call.req.head.id.to_str().unwrap_or("?"))
            .with("backend", self.call.backend(self.slot.server))
            .with("fingerprint", self.call.req.fingerprint())
            .with("error", cause)
            .with("events", self.event_count)
            .with("last", self.last_id.as_deref().unwrap_or("-"))
            .with("resumed", can_resume);
        if !can_resume {
            return Err(refusal::Refusal::new(code::Code::AnswerBroken));
        }
        let response = self.call.send(self.last_id.as_deref()).await;
        let response = response.map_err(|cause| {
            let id = self.call.req.head.id.to_str().unwrap_or("?");
            let line = entry.log.line("not_resumed").with("id", id);
            line.with("code", cause.code);
            refusal::Refusal::new(code::Code::AnswerBroken)
        })?;
        if !response.head.status.is_success() {
            return Err(refusal::Refusal::new(code::Code::AnswerBroken));
        }
        self.closes_connection = forward::closes_connection(&response.head.headers);
        self.ends_with_connection = forward::ends_with_connection(&response.head.headers);
        self.conn = Some(response.conn);
        self.body = response.body;
        self.slot = response.slot;
        Ok(())
    }

    fn abort(&mut self, refusal: refusal::Refusal) -> io::Error {
        self.is_over = true;
        self.conn = None;
        self.call.log_refusal(refusal);
        io::Error::other(refusal.code.to_string())
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).position(|w| w == EVENT_END)
}

fn rfind_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_END.len()).rposition(|w| w == EVENT_END)
}

/// Returns the id of an event, if it has one.
pub fn event_id(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}

// Returns whether an event was passed on before: ids are increasing numbers.
fn is_duplicate(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |id: Option<&str>| id.and_then(|id| id.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}
