//! Shorthands for the frames of a link.

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
