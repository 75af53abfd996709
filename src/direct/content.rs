//! Data that entries fetch from each other, in plain and in compressed form.
//!
//! Load pattern: a configuration or a list of hundreds of kilobytes passes through every entry of
//! the fleet at each change. It is compressed by the entry that reads it from the store; the others
//! forward the form that they received.

use std::{cell, rc};

use bytes::Bytes;
use lz4_flex::block;

/// Name of the compressed form in HTTP headers.
pub const ENCODING: &str = "lz4";

/// Data in both forms. The compressed form is made once, when it is first needed.
#[derive(Clone, Debug, Default)]
pub struct Content {
    plain: Bytes,
    compressed: rc::Rc<cell::OnceCell<Bytes>>,
}

impl From<Bytes> for Content {
    fn from(plain: Bytes) -> Self {
        Self {
            plain,
            compressed: rc::Rc::default(),
        }
    }
}

impl Content {
    /// Decompresses data; returns `None` if it is malformed or takes more than `max` bytes.
    pub fn decompress(compressed: Bytes, max: usize) -> Option<Self> {
        let (size, _) = block::uncompressed_size(&compressed).ok()?;
        if size > max {
            return None;
        }
        let plain = block::decompress_size_prepended(&compressed).ok()?;
        // A truncated block may decompress to less.
        (plain.len() == size).then(|| Self {
            plain: plain.into(),
            compressed: rc::Rc::new(compressed.into()),
        })
    }

    /// Returns the data.
    pub fn plain(&self) -> &Bytes {
        &self.plain
    }

    /// Returns the data in compressed form.
    pub fn compressed(&self) -> &Bytes {
        let compress = || block::compress_prepend_size(&self.plain).into();
        self.compressed.get_or_init(compress)
    }
}
