//! The catalogue: what operators declare, as a TOML file under version control.
//!
//! [`parse`] reads and checks a file; a [`Catalogue`] that it returned holds every promise that
//! the rest of the fleet relies on (names are unique, classes exist, a model has one service).

mod check;
mod index;
mod lookup;
mod schema;

use std::sync;

pub use check::{Fault, parse};
pub use index::digest;
pub use lookup::Route;
pub use schema::{Catalogue, Class, Customer, Kind, Limits, Method, RouteRule, Service};

/// A catalogue that every process agrees was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Log offset of the accepted change.
    pub revision: u64,
    /// The catalogue itself.
    pub catalogue: Catalogue,
    /// The text it was published as.
    pub toml: sync::Arc<str>,
}
