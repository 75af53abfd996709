//! The standin process.

fn main() {}
