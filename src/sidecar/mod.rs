//! The sidecar process, from settings to running handle.
