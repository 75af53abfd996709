//! Tables by which a catalogue is looked up: positions of customers and services.

use std::collections;

use sha2::Digest;
use subtle::ConstantTimeEq;

/// SHA-256 of an API key, as catalogues hold it.
pub fn digest(api_key: &str) -> [u8; 32] {
    sha2::Sha256::digest(api_key.as_bytes()).into()
}

/// Decodes a digest from 64 hexadecimal digits.
pub(super) fn decode_hash(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, at) in hash.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(hex.get(at..at + 2)?, 16).ok()?;
    }
    Some(hash)
}

/// Tables built once for each accepted catalogue.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Key digests and their customers by the digest's first bytes.
    keys: collections::HashMap<u64, Vec<([u8; 32], usize)>>,
    /// Services by the models that they serve.
    pub(super) models: collections::HashMap<String, usize>,
    /// Customers by name.
    pub(super) customers: collections::HashMap<String, usize>,
}

impl Index {
    /// Adds the digest of a key and its customer.
    pub(super) fn add_key(&mut self, hash: [u8; 32], customer: usize) {
        let bucket = self.keys.entry(bucket(&hash)).or_default();
        bucket.push((hash, customer));
    }

    /// The customer that an API key belongs to.
    ///
    /// The key is hashed first, so the table lookup depends on a digest that a caller cannot
    /// steer, and whole digests are compared in constant time.
    pub(super) fn customer_by_key(&self, api_key: &str) -> Option<usize> {
        let hash = digest(api_key);
        let candidates = self.keys.get(&bucket(&hash))?;
        let found = candidates
            .iter()
            .find(|(h, _)| bool::from(h.ct_eq(&hash)))?;
        Some(found.1)
    }
}

fn bucket(hash: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
