//! The operators' port: health, metrics, status and the time line.
