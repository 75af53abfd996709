//! The answer of one attempt as an entry receives it.
//!
//! Frames can arrive late, twice or after a gap. Only contiguous bytes of the current attempt go on
//! to the caller; the end counts only if length and checksum agree.

use bytes::Bytes;

/// What to do with a frame's bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum ChunkResult {
    /// These bytes come next and go to the caller.
    Next(Bytes),
    /// All of it has been seen.
    Duplicate,
    /// Bytes before it are missing: ask for them from the offset.
    Gap(u64),
}

/// Verdict on an end frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndResult {
    /// The answer is whole.
    Complete,
    /// Bytes before the end are missing: ask for them from the offset.
    Gap(u64),
    /// Length or checksum disagree with what was received.
    Corrupt,
}

/// Progress of an answer.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    received: u64,
    checksum: crc32fast::Hasher,
}

impl Progress {
    /// Bytes received in order.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Takes the bytes of a chunk frame.
    pub fn chunk(&mut self, offset: u64, mut data: Bytes) -> ChunkResult {
        if offset > self.received {
            return ChunkResult::Gap(self.received);
        }
        let seen = self.received - offset;
        if seen >= data.len() as u64 {
            return ChunkResult::Duplicate;
        }
        let next = data.split_off(seen as usize);
        self.checksum.update(&next);
        self.received += next.len() as u64;
        ChunkResult::Next(next)
    }

    /// Checks an end frame.
    pub fn end(&self, length: u64, checksum: u32) -> EndResult {
        if length > self.received {
            return EndResult::Gap(self.received);
        }
        if length == self.received && checksum == self.checksum.clone().finalize() {
            EndResult::Complete
        } else {
            EndResult::Corrupt
        }
    }
}
