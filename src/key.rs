//! Keys of the slot maps that hold a process's state.
//!
//! Processes exchange names; within a process, lookups use these small `Copy` keys.

slotmap::new_key_type! {
    /// Key of a customer known to this process.
    pub struct Customer;
    /// Key of a request that an entry is processing.
    pub struct Request;
    /// Key of a ticket that waits at a sidecar.
    pub struct Ticket;
    /// Key of a sidecar that an entry uses. It also identifies the sidecar's backend server, since
    /// each sidecar has exactly one.
    pub struct Sidecar;
    /// Key of a request that a sidecar has started.
    pub struct Run;
    /// Key of a connection between an entry and a sidecar.
    pub struct Link;
}
