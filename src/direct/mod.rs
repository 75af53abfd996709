//! An entry that calls backend servers itself, without sidecars.
//!
//! Used where a second process on the path of a request would bring no benefit: the entry queues
//! requests, places them by [`crate::decide::place`] and forwards them. A platform adapter provides
//! the header names as a [`dialect::Dialect`], and configuration and backend servers as a
//! [`configuration::Configuration`] and [`listing::Server`]s. Everything runs on one thread.
//!
//! Path of a request: [`serve`] reads it, [`request`] checks it, and [`forward`] makes its
//! attempts, each with a slot from [`slot`], which may wait in [`waiting`] or be requested from a
//! peer in [`peer`], and with a connection from [`pool`]. [`attempt`] classifies the response and
//! [`answer`] passes a stream on, which [`binding`] keeps at the software version that began it. Bodies
//! take their memory from [`memory`]. The state of the entry is in [`state`], that of backend servers
//! in [`backends`].
//!
//! After a lost connection [`losses`] finds out by [`inspect`] whether the backend server crashed.
//! [`suspend`] keeps requests away from one that may be cold, [`quarantine`] stops requests that
//! crash backend servers, and [`evacuation`] keeps requests away from evacuated availability zones.

pub mod answer;
pub mod attempt;
pub mod backends;
pub mod binding;
pub mod body;
pub mod callers;
pub mod configuration;
pub mod conn;
pub mod content;
pub mod dialect;
pub mod evacuation;
pub mod forward;
pub mod inspect;
pub mod leaving;
pub mod listing;
pub mod logger;
pub mod losses;
pub mod memory;
pub mod meter;
pub mod operator;
pub mod parts;
mod passing;
pub mod peer;
pub mod pool;
pub mod quarantine;
pub mod refusal;
pub mod request;
pub mod request_log;
pub mod roster;
pub mod route;
pub mod serve;
pub mod slot;
pub mod source;
pub mod spread;
pub mod state;
pub mod suspend;
pub mod transfer;
pub mod waiting;
mod watched;
