//! Chivebend: a router fleet that shares language-model capacity fairly between customers.
//!
//! Reading order: [`decide`] holds every decision as a pure module; [`filter`] and [`control`] put
//! them to work in an [`entry`] and a [`sidecar`]; [`wire`] is what the processes say to each
//! other; [`client`] calls what lies outside, and [`standin`] takes its place in tests.

pub mod catalogue;
pub mod client;
pub mod cmd;
pub mod code;
pub mod control;
pub mod core;
pub mod decide;
pub mod direct;
pub mod entry;
pub mod error;
pub mod event;
pub mod filter;
pub mod key;
pub mod logging;
pub mod metric;
pub mod ops;
pub mod process;
pub mod report;
pub mod settings;
pub mod sidecar;
pub mod standin;
pub mod wire;
