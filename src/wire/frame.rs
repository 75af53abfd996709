//! Shorthands for the frames of a link.

use prost::Message as _;

use super::generated as wire;

/// Kinds of frames an entry sends.
pub use wire::entry_frame::Kind as Entry;
/// Kinds of frames a sidecar sends.
pub use wire::sidecar_frame::Kind as Sidecar;

/// Wraps a frame of an entry.
pub fn entry(kind: Entry) -> wire::EntryFrame {
    wire::EntryFrame { kind: Some(kind) }
}

/// Wraps a frame of a sidecar.
pub fn sidecar(kind: Sidecar) -> wire::SidecarFrame {
    wire::SidecarFrame { kind: Some(kind) }
}

/// Name and encoded length of an entry's frame if it is control, which the fleet spends on itself;
/// nothing if it carries a caller's bytes.
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

/// The same of a sidecar's frame.
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
