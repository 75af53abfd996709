//! An entry that calls backend servers itself, without sidecars.
//!
//! Used where a request's bytes gain nothing from a second process on their way: the entry keeps the
//! requests that wait, decides by [`crate::decide::place`] and forwards. What the outside calls its
//! headers comes in as a [`dialect::Dialect`]; configuration and backend servers come in as a
//! [`plan::Plan`] and [`plan::Server`]s. Everything runs on one thread.

pub mod answer;
pub mod body;
pub mod callers;
pub mod conn;
pub mod dialect;
pub mod forward;
pub mod line;
pub mod meter;
pub mod neighbour;
pub mod peer;
pub mod plan;
pub mod refusal;
pub mod request;
pub mod serve;
pub mod state;
