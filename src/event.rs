//! Events: one log line each, and a bounded ring that the time line is read from.
