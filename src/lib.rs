//! Chivebend: a router fleet that shares language-model capacity fairly between customers.
//!
//! Suggested reading order: [`decide`] contains the decisions as pure functions and data
//! structures. [`filter`] and [`control`] apply them in an [`entry`] and a [`sidecar`]. [`wire`]
//! defines the protocol between the processes. [`client`] calls external services, and [`standin`]
//! simulates these services in tests.

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
pub mod listener;
pub mod logging;
pub mod metric;
pub mod ops;
pub mod process;
pub mod report;
pub mod settings;
pub mod sidecar;
pub mod standin;
pub mod wire;
