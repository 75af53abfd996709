//! The entry process, from settings to running handle.
