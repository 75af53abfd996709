//! What lies outside the fleet: log service, instance list, backend servers.
