//! The sidecar process.

fn main() {}
