//! Stand-ins for the platform and for backend servers, with switches for their faults.

pub mod instances;
pub mod log;
pub mod serve;
