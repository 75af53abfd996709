//! Division of the list of backend servers into parts, so that entries exchange only the parts that
//! differ.
//!
//! Load pattern: three thousand backend servers, some of which are added or removed in any second,
//! and three hundred entries that fetch the list from two. The complete list is half a megabyte for
//! each of them each time. The changes can't be sent as a sequence: two entries reach the same list
//! by different sequences, and some have newer data than the list that they are sent.

use std::fmt::Write as _;

use xxhash_rust::xxh3;

use super::listing;

/// Approximate number of backend servers in a part. Each part costs a digest of 8 bytes in the
/// request, and each part that differs costs all of its backend servers in the response.
const PART_SIZE: usize = 8;

/// Maximum number of parts: two kilobytes of digests.
const MAX_PARTS: usize = 256;

/// Version of the digests that entries compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Without zone and slots, as in heartbeats and in requests of entries that compare only these.
    First,
    /// With every field that entries act on.
    Second,
}

impl Version {
    /// All versions.
    pub const ALL: [Self; 2] = [Self::First, Self::Second];
}

/// Returns the number of parts into which a list of this many backend servers is divided.
pub fn count(servers: usize) -> usize {
    (servers / PART_SIZE).clamp(1, MAX_PARTS)
}

/// Returns the index of the part, out of `parts`, that a backend server is in.
pub fn index(id: &str, parts: usize) -> usize {
    (xxh3::xxh3_64(id.as_bytes()) % parts.max(1) as u64) as usize
}

/// Returns the digests of a list divided into `parts` parts.
pub fn digests<'a>(
    version: Version,
    servers: impl Iterator<Item = &'a listing::Server>,
    parts: usize,
) -> Vec<u64> {
    let mut digests = vec![0_u64; parts.max(1)];
    for server in servers {
        // The digest is a sum, so that it doesn't depend on the order.
        let digest = &mut digests[index(&server.id, parts)];
        *digest = digest.wrapping_add(entry_hash(version, server));
    }
    digests
}

/// Returns a hash of what peers act on in a list entry, so without the number of the
/// report.
pub fn entry_hash(version: Version, server: &listing::Server) -> u64 {
    let start = server.report.start;
    let (id, service, address) = (&server.id, &server.service, server.address);
    let (leaving, cold) = (server.leaving, server.is_cold());
    let mut text = format!("{id} {service} {address} {leaving} {cold} {start}");
    if version == Version::Second {
        // Writing to a string can't fail.
        let _written = write!(text, " {} {}", server.zone, server.slots);
    }
    xxh3::xxh3_64(text.as_bytes())
}

/// Encodes digests for a request.
pub fn encode(digests: &[u64]) -> Vec<u8> {
    digests.iter().flat_map(|d| d.to_le_bytes()).collect()
}

/// Decodes the digests of a request; `None` if they are malformed, missing or too many.
pub fn decode(bytes: &[u8]) -> Option<Vec<u64>> {
    let (digests, rest) = bytes.as_chunks();
    let good = !digests.is_empty() && digests.len() <= MAX_PARTS && rest.is_empty();
    good.then(|| digests.iter().map(|d| u64::from_le_bytes(*d)).collect())
}
