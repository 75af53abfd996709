//! Clients of services outside the fleet: log service, instance list and backend servers.

pub mod backend;
pub mod instances;
pub mod log;
pub mod usage;

/// Creates an HTTP client for the platform's services.
fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(log::CONNECT_TIMEOUT))
        // The services are addressed by IP address and are never behind a proxy.
        .proxy(None)
        .build()
        .into()
}
