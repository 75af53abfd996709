//! Stand-ins for the platform and for backend servers, with switches for their faults.
