//! The answer of one run as a sidecar keeps it until the entry has all of it.

use std::collections;

use bytes::Bytes;

use crate::wire;

/// Pieces shorter than this many bytes are copied: a token's hundred bytes would otherwise hold the
/// whole buffer that they were read into, 8 KiB or more, for as long as the answer is kept.
const COPIED: usize = 4 << 10;

/// A kept answer: whole from its first byte, so that an entry can resume from any offset.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    /// HTTP status, 0 before the head has arrived.
    pub status: u32,
    /// HTTP headers.
    pub headers: Vec<wire::Header>,
    chunks: collections::VecDeque<(u64, Bytes)>,
    length: u64,
    checksum: crc32fast::Hasher,
    is_complete: bool,
}

impl Buffer {
    /// Appends bytes.
    pub fn append(&mut self, data: Bytes) {
        if data.is_empty() {
            return;
        }
        self.checksum.update(&data);
        let data = if data.len() < COPIED {
            Bytes::copy_from_slice(&data)
        } else {
            data
        };
        let offset = self.length;
        self.length += data.len() as u64;
        self.chunks.push_back((offset, data));
    }

    /// Marks the answer as whole.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// True once the answer is whole.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Bytes appended so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// CRC-32 of all bytes appended so far.
    pub fn checksum(&self) -> u32 {
        self.checksum.clone().finalize()
    }

    /// The next bytes from `offset`, at most one chunk.
    pub fn read_from(&self, offset: u64) -> Option<Bytes> {
        if offset >= self.length {
            return None;
        }
        let at = self
            .chunks
            .partition_point(|(start, data)| start + data.len() as u64 <= offset);
        let (start, data) = self.chunks.get(at)?;
        Some(data.slice((offset - start) as usize..))
    }

    /// All bytes in one piece.
    pub fn body(&self) -> Bytes {
        let mut buf = Vec::with_capacity(self.length as usize);
        for (_, data) in &self.chunks {
            buf.extend_from_slice(data);
        }
        Bytes::from(buf)
    }
}
