//! Constructors and sizes of the frames on the stream between an entry and a sidecar.

use prost::Message as _;

use super::generated as wire;

/// Frames that an entry sends.
pub use wire::entry_frame::Kind as Entry;
/// Frames that a sidecar sends.
pub use wire::sidecar_frame::Kind as Sidecar;

/// Returns the message for a frame of an entry.
pub fn entry(kind: Entry) -> wire::EntryFrame {
    wire::EntryFrame { kind: Some(kind) }
}

/// Returns the message for a frame of a sidecar.
pub fn sidecar(kind: Sidecar) -> wire::SidecarFrame {
    wire::SidecarFrame { kind: Some(kind) }
}

/// Returns the metric label and the encoded length in bytes of an entry's frame.
///
/// `None` for a frame that carries a caller's bytes: only the fleet's own overhead is counted as
/// control traffic.
pub fn entry_control(kind: &Entry) -> Option<(&'static str, usize)> {
    match kind {
        Entry::Run(_) => None,
        Entry::Hello(frame) => Some(("hello", frame.encoded_len())),
        Entry::Offer(frame) => Some(("offer", frame.encoded_len())),
        Entry::Void(frame) => Some(("void", frame.encoded_len())),
        Entry::Ack(frame) => Some(("ack", frame.encoded_len())),
        Entry::Resume(frame) => Some(("resume", frame.encoded_len())),
        Entry::Cancel(frame) => Some(("cancel", frame.encoded_len())),
        Entry::Beat(frame) => Some(("beat", frame.encoded_len())),
        Entry::Totals(frame) => Some(("totals", frame.encoded_len())),
    }
}

/// Returns the metric label and the encoded length in bytes of a sidecar's frame, or `None` if it
/// carries bytes of a response.
pub fn sidecar_control(kind: &Sidecar) -> Option<(&'static str, usize)> {
    match kind {
        Sidecar::Head(_) | Sidecar::Chunk(_) => None,
        Sidecar::Welcome(frame) => Some(("welcome", frame.encoded_len())),
        Sidecar::Claim(frame) => Some(("claim", frame.encoded_len())),
        Sidecar::Voided(frame) => Some(("voided", frame.encoded_len())),
        Sidecar::End(frame) => Some(("end", frame.encoded_len())),
        Sidecar::Failed(frame) => Some(("failed", frame.encoded_len())),
        Sidecar::Beat(frame) => Some(("beat", frame.encoded_len())),
        Sidecar::Want(frame) => Some(("want", frame.encoded_len())),
    }
}
