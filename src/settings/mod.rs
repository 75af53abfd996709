//! Settings of the processes, read from flags and environment variables and validated at startup.
//!
//! The upper-case value name of a flag is its unit. Addresses contain IP addresses, not host names,
//! so that no process depends on a DNS resolver.

use std::net;

use crate::event;

mod check;
mod read;
mod secret;

pub use check::{Fault, check_entry, check_sidecar};
pub use read::{StartupError, entry, sidecar};
pub use secret::{SECRET_VARIABLE, Secret};

/// Settings common to all processes of the fleet.
#[derive(Clone, Debug, clap::Args)]
pub struct Process {
    /// Name of this instance, unique in the fleet.
    #[arg(long, env = "CHIVEBEND_ID", value_name = "NAME", value_parser = check::parse_name)]
    pub id: String,
    /// Address for other processes of the fleet; port 0 selects a free port.
    #[arg(
        long,
        env = "CHIVEBEND_FLEET_ADDRESS",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:0"
    )]
    pub fleet_address: net::SocketAddr,
    /// Address of the operators' port; port 0 selects a free port.
    #[arg(
        long,
        env = "CHIVEBEND_OPS_ADDRESS",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:0"
    )]
    pub ops_address: net::SocketAddr,
    /// Availability zone of this instance.
    #[arg(long, env = "CHIVEBEND_ZONE", value_name = "NAME", value_parser = check::parse_name)]
    pub zone: String,
    /// Region of this instance.
    #[arg(
        long,
        env = "CHIVEBEND_REGION",
        value_name = "NAME",
        value_parser = check::parse_name,
        default_value = "default"
    )]
    pub region: String,
    /// Address of the platform's log service.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS", value_name = "IP:PORT")]
    pub log_address: net::SocketAddr,
    /// Address of the platform's instance list.
    #[arg(long, env = "CHIVEBEND_INSTANCES_ADDRESS", value_name = "IP:PORT")]
    pub instances_address: net::SocketAddr,
    /// Shared secret of the fleet. It is read from the environment only, because a flag would be
    /// visible in the process list.
    #[arg(skip = Secret::from_environment())]
    pub secret: Secret,
    /// Most verbose log level written.
    #[arg(
        long,
        env = "CHIVEBEND_LOG_LEVEL",
        value_name = "off|error|warn|info|debug|trace",
        default_value = "info"
    )]
    pub log_level: log::LevelFilter,
}

impl Process {
    /// Returns settings of a process on free loopback ports.
    pub fn local(id: &str, zone: &str, log: net::SocketAddr, instances: net::SocketAddr) -> Self {
        let loopback = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            id: id.into(),
            fleet_address: loopback,
            ops_address: loopback,
            zone: zone.into(),
            region: "default".into(),
            log_address: log,
            instances_address: instances,
            secret: Secret::default(),
            log_level: log::LevelFilter::Info,
        }
    }

    /// Returns the identity under which the process records events.
    pub fn identity(&self, role: &'static str) -> event::Identity {
        event::Identity {
            instance: self.id.clone(),
            zone: self.zone.clone(),
            role,
        }
    }
}

/// Settings of an entry instance.
#[derive(Clone, Debug, clap::Args)]
pub struct Entry {
    /// Settings common to all processes.
    #[command(flatten)]
    pub process: Process,
    /// Address for callers; port 0 selects a free port.
    #[arg(
        long,
        env = "CHIVEBEND_CALLER_ADDRESS",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:0"
    )]
    pub caller_address: net::SocketAddr,
    /// Maximum size of a request body.
    #[arg(
        long,
        env = "CHIVEBEND_BODY_LIMIT",
        value_name = "BYTES",
        value_parser = check::body_bytes_parser(),
        default_value_t = 4 << 20
    )]
    pub body_limit: u64,
    /// Maximum number of concurrent connections of callers.
    #[arg(
        long,
        env = "CHIVEBEND_CONNECTION_LIMIT",
        value_name = "CONNECTIONS",
        value_parser = clap::value_parser!(u32).range(1..=check::MAX_CONNECTIONS),
        default_value_t = 4096
    )]
    pub connection_limit: u32,
    /// Maximum time that a caller may take to send its request.
    #[arg(
        long,
        env = "CHIVEBEND_REQUEST_TIMEOUT_MS",
        value_name = "MILLISECONDS",
        value_parser = check::timeout_parser(),
        default_value_t = 10_000
    )]
    pub request_timeout_ms: u64,
    /// Maximum time that a shutdown waits for requests in progress.
    #[arg(
        long,
        env = "CHIVEBEND_SHUTDOWN_LIMIT_MS",
        value_name = "MILLISECONDS",
        value_parser = check::shutdown_parser(),
        default_value_t = 120_000
    )]
    pub shutdown_limit_ms: u64,
}

impl Entry {
    /// Returns settings of an entry on loopback with the default limits.
    pub fn local(process: Process) -> Self {
        Self {
            caller_address: process.fleet_address,
            process,
            body_limit: 4 << 20,
            connection_limit: 4096,
            request_timeout_ms: 10_000,
            shutdown_limit_ms: 120_000,
        }
    }
}

/// Settings of a sidecar.
#[derive(Clone, Debug, clap::Args)]
pub struct Sidecar {
    /// Settings common to all processes.
    #[command(flatten)]
    pub process: Process,
    /// Address of this sidecar's backend server.
    #[arg(long, env = "CHIVEBEND_BACKEND_ADDRESS", value_name = "IP:PORT")]
    pub backend_address: net::SocketAddr,
    /// Catalogue service that the backend server belongs to.
    #[arg(long, env = "CHIVEBEND_SERVICE", value_name = "NAME", value_parser = check::parse_name)]
    pub service: String,
    /// Retention of idempotency keys and their stored responses.
    #[arg(
        long,
        env = "CHIVEBEND_KEY_RETENTION_MS",
        value_name = "MILLISECONDS",
        value_parser = check::retention_parser(),
        default_value_t = 300_000
    )]
    pub key_retention_ms: u64,
    /// Time for which a confirmation by the instance list allows requests with an idempotency key.
    #[arg(
        long,
        env = "CHIVEBEND_KEY_LEASE_MS",
        value_name = "MILLISECONDS",
        value_parser = check::timeout_parser(),
        default_value_t = 10_000
    )]
    pub key_lease_ms: u64,
    /// Maximum lag of the instance list.
    #[arg(
        long,
        env = "CHIVEBEND_LIST_LAG_MS",
        value_name = "MILLISECONDS",
        value_parser = check::timeout_parser(),
        default_value_t = 5_000
    )]
    pub list_lag_ms: u64,
    /// Assert that no sidecar of this service ran within the key retention, so that requests with
    /// an idempotency key can start immediately.
    #[arg(long, env = "CHIVEBEND_FIRST_START")]
    pub first_start: bool,
    /// Memory for stored responses.
    #[arg(
        long,
        env = "CHIVEBEND_ANSWER_MEMORY",
        value_name = "BYTES",
        value_parser = check::memory_parser(),
        default_value_t = 64 << 20
    )]
    pub answer_memory: u64,
    /// Maximum size of a response of the backend server.
    #[arg(
        long,
        env = "CHIVEBEND_ANSWER_LIMIT",
        value_name = "BYTES",
        value_parser = check::body_bytes_parser(),
        default_value_t = 16 << 20
    )]
    pub answer_limit: u64,
    /// Maximum time without progress of the backend server on a request.
    #[arg(
        long,
        env = "CHIVEBEND_PROGRESS_TIMEOUT_MS",
        value_name = "MILLISECONDS",
        value_parser = check::timeout_parser(),
        default_value_t = 30_000
    )]
    pub progress_timeout_ms: u64,
    /// Maximum time that a shutdown waits for requests in progress.
    #[arg(
        long,
        env = "CHIVEBEND_SHUTDOWN_LIMIT_MS",
        value_name = "MILLISECONDS",
        value_parser = check::shutdown_parser(),
        default_value_t = 120_000
    )]
    pub shutdown_limit_ms: u64,
}

impl Sidecar {
    /// Returns settings of a sidecar on loopback with the default limits.
    pub fn local(process: Process, service: &str, backend: net::SocketAddr) -> Self {
        Self {
            process,
            backend_address: backend,
            service: service.into(),
            key_retention_ms: 300_000,
            key_lease_ms: 10_000,
            list_lag_ms: 5_000,
            first_start: false,
            answer_memory: 64 << 20,
            answer_limit: 16 << 20,
            progress_timeout_ms: 30_000,
            shutdown_limit_ms: 120_000,
        }
    }
}
