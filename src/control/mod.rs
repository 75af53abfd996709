//! Controllers: the actors that keep the state of a process.
