//! Clients of what lies outside the fleet: log service, instance list, backend servers.

pub mod backend;
pub mod instances;
pub mod log;
pub mod usage;

/// An HTTP client for the platform's services.
fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(log::CONNECT_TIMEOUT))
        // The services are named by IP number and never lie behind a proxy.
        .proxy(None)
        .build()
        .into()
}
