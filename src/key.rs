//! Small `Copy` keys into arenas.
//!
//! Names travel between processes; inside one process everything is looked up by these keys.

slotmap::new_key_type! {
    /// A customer known to this process.
    pub struct Customer;
    /// A request that an entry holds.
    pub struct Request;
    /// A ticket that waits at a sidecar.
    pub struct Ticket;
    /// A sidecar that an entry uses, or a backend server, which is the same.
    pub struct Sidecar;
    /// A request that a sidecar has started.
    pub struct Run;
    /// A link between an entry and a sidecar.
    pub struct Link;
}
