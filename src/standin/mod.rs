//! Stand-ins for the platform's services and for backend servers, with faults that can be injected.

pub mod engine;
pub mod instances;
pub mod log;
pub mod serve;
pub mod service;
