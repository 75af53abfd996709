//! Decisions as pure modules without network, clock or threads.
//!
//! Each module takes time and observations as arguments and returns a typed decision. Nothing
//! outside this folder decides whom to serve, who waits, who is refused or where work goes.

pub mod accept;
pub mod admit;
pub mod aggregate;
pub mod binding;
pub mod capacity;
pub mod drain;
pub mod era;
pub mod evacuation;
pub mod feature;
pub mod health;
pub mod home;
pub mod keys;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod memory;
pub mod outage;
pub mod outcome;
pub mod overload;
pub mod pause;
pub mod place;
pub mod prefill;
pub mod probe;
pub mod quarantine;
pub mod queue;
pub mod random;
pub mod recent;
pub mod rendezvous;
pub mod restart;
pub mod retry;
pub mod rotation;
pub mod route;
pub mod share;
pub mod shutdown;
pub mod spread;
pub mod standby;
pub mod subset;
pub mod window;
