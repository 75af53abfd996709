//! Counts the tokens of a response while it is forwarded.
//!
//! Engines stream about one server-sent event per token and state the exact usage in the last event
//! if the request asks for it. Events are counted as they pass; a usage object corrects the count.

use serde::Deserialize;

/// Assumed number of prompt bytes per token, for charging before the engine states the usage. A
/// common rule of thumb for English text; the stated usage corrects it.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Maximum number of bytes buffered of an incomplete line; a usage object is far shorter.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Token usage stated by an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct Body {
    usage: Option<Usage>,
}

/// Token counter of one response.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    line: Vec<u8>,
    usage: Option<Usage>,
}

impl Meter {
    /// Parses the next bytes of the response and returns the number of events completed by them.
    pub fn feed(&mut self, data: &[u8]) -> u32 {
        let mut events = 0;
        for part in data.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(part);
            }
            if part.ends_with(b"\n") {
                events += self.finish_line();
            }
        }
        events
    }

    /// Returns the usage stated by the engine; the response may also be a single JSON object.
    pub fn finish(&mut self) -> Option<Usage> {
        self.parse_usage(0);
        self.usage
    }

    fn finish_line(&mut self) -> u32 {
        let is_event = self.line.starts_with(b"data:");
        let is_token = is_event && !self.line.starts_with(b"data: [DONE]");
        if is_event {
            self.parse_usage(b"data:".len());
        }
        self.line.clear();
        u32::from(is_token)
    }

    fn parse_usage(&mut self, skip: usize) {
        let line = self.line.get(skip..).unwrap_or_default();
        // A substring search is cheaper than parsing the event of every token.
        if !line
            .windows(b"\"usage\"".len())
            .any(|window| window == b"\"usage\"")
        {
            return;
        }
        if let Ok(Body { usage: Some(usage) }) = serde_json::from_slice(line) {
            self.usage = Some(usage);
        }
    }
}
