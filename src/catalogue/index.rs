//! Lookup tables of a catalogue, which contain positions of customers and services.

use std::collections;

use sha2::Digest;
use subtle::ConstantTimeEq;

/// Returns the SHA-256 digest of an API key, which catalogues contain instead of the key.
pub fn digest(api_key: &str) -> [u8; 32] {
    sha2::Sha256::digest(api_key.as_bytes()).into()
}

/// Decodes a digest from 64 hexadecimal digits.
pub(super) fn decode_hash(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, offset) in hash.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(hex.get(offset..offset + 2)?, 16).ok()?;
    }
    Some(hash)
}

/// Lookup tables, built once for each valid catalogue.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Digests of API keys and positions of their customers, by the first 8 bytes of the digest.
    keys: collections::HashMap<u64, Vec<([u8; 32], usize)>>,
    /// Positions of services by model.
    pub(super) models: collections::HashMap<String, usize>,
    /// Positions of customers by name.
    pub(super) customers: collections::HashMap<String, usize>,
}

impl Index {
    /// Adds the digest of an API key with the position of its customer.
    pub(super) fn add_key(&mut self, hash: [u8; 32], customer: usize) {
        let bucket = self.keys.entry(bucket_key(&hash)).or_default();
        bucket.push((hash, customer));
    }

    /// Returns the position of the customer that an API key belongs to.
    ///
    /// The lookup uses the digest of the key, which a caller cannot choose, and complete digests
    /// are compared in constant time. The duration therefore does not reveal keys.
    pub(super) fn customer_by_key(&self, api_key: &str) -> Option<usize> {
        let hash = digest(api_key);
        let candidates = self.keys.get(&bucket_key(&hash))?;
        let found = candidates
            .iter()
            .find(|(h, _)| bool::from(h.ct_eq(&hash)))?;
        Some(found.1)
    }
}

fn bucket_key(hash: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
