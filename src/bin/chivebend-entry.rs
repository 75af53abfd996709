//! The entry process.

fn main() {}
