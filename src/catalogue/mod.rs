//! The catalogue of customers, classes and services, which operators declare in a TOML file under
//! version control.
//!
//! [`parse`] reads and validates a file. The [`Catalogue`] that it returns satisfies all invariants
//! that the rest of the fleet relies on: names are unique, classes exist, and each model has one
//! service.

mod check;
mod index;
mod lookup;
mod schema;

use std::sync;

pub use check::{Fault, parse};
pub use index::digest;
pub use lookup::Route;
pub use schema::{Catalogue, Class, Customer, Kind, Limits, Method, RouteRule, Service};

/// A catalogue accepted by the fleet. All processes agree on its acceptance.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Log offset of the accepted change.
    pub revision: u64,
    /// Parsed catalogue.
    pub catalogue: Catalogue,
    /// TOML text as published.
    pub toml: sync::Arc<str>,
}
