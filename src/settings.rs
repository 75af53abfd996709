//! Settings of the processes: flags and environment variables.

use std::net;

/// Settings that every process of the fleet has.
#[derive(Clone, Debug, clap::Args)]
pub struct Process {
    /// Name of this instance, unique in the fleet.
    #[arg(long, env = "CHIVEBEND_ID")]
    pub id: String,
    /// Address for the fleet's own processes; port 0 takes a free one.
    #[arg(long, env = "CHIVEBEND_FLEET_ADDRESS", default_value = "127.0.0.1:0")]
    pub fleet_address: net::SocketAddr,
    /// Address of the operators' port; port 0 takes a free one.
    #[arg(long, env = "CHIVEBEND_OPS_ADDRESS", default_value = "127.0.0.1:0")]
    pub ops_address: net::SocketAddr,
    /// Availability zone this instance runs in.
    #[arg(long, env = "CHIVEBEND_ZONE")]
    pub zone: String,
    /// Region this instance runs in.
    #[arg(long, env = "CHIVEBEND_REGION", default_value = "default")]
    pub region: String,
    /// Address of the platform's log service.
    #[arg(long, env = "CHIVEBEND_LOG_ADDRESS")]
    pub log_address: net::SocketAddr,
    /// Address of the platform's instance list.
    #[arg(long, env = "CHIVEBEND_INSTANCES_ADDRESS")]
    pub instances_address: net::SocketAddr,
    /// Secret that the fleet's processes share; two, separated by a comma, while it is rotated.
    #[arg(
        long,
        env = "CHIVEBEND_SECRET",
        hide_env_values = true,
        hide = true,
        default_value = ""
    )]
    pub secret: String,
}

/// Settings of an entry instance.
#[derive(Clone, Debug, clap::Args)]
pub struct Entry {
    /// What every process has.
    #[command(flatten)]
    pub process: Process,
    /// Address for callers; port 0 takes a free one.
    #[arg(long, env = "CHIVEBEND_CALLER_ADDRESS", default_value = "127.0.0.1:0")]
    pub caller_address: net::SocketAddr,
    /// Largest request body, in bytes.
    #[arg(long, env = "CHIVEBEND_BODY_LIMIT", default_value_t = 4 << 20)]
    pub body_limit: u64,
    /// Most connections of callers at once.
    #[arg(long, env = "CHIVEBEND_CONNECTION_LIMIT", default_value_t = 4096)]
    pub connection_limit: u32,
    /// How long a caller may take to send its request, in milliseconds.
    #[arg(long, env = "CHIVEBEND_REQUEST_TIMEOUT_MS", default_value_t = 10_000)]
    pub request_timeout_ms: u64,
    /// How long a shutdown waits for requests in progress, in milliseconds.
    #[arg(long, env = "CHIVEBEND_SHUTDOWN_LIMIT_MS", default_value_t = 120_000)]
    pub shutdown_limit_ms: u64,
}

/// Settings of a sidecar.
#[derive(Clone, Debug, clap::Args)]
pub struct Sidecar {
    /// What every process has.
    #[command(flatten)]
    pub process: Process,
    /// Address of the backend server this sidecar stands beside.
    #[arg(long, env = "CHIVEBEND_BACKEND_ADDRESS")]
    pub backend_address: net::SocketAddr,
    /// Service of the catalogue that the backend server belongs to.
    #[arg(long, env = "CHIVEBEND_SERVICE")]
    pub service: String,
    /// How long idempotency keys and their answers are remembered, in milliseconds.
    #[arg(long, env = "CHIVEBEND_KEY_RETENTION_MS", default_value_t = 300_000)]
    pub key_retention_ms: u64,
    /// Memory for kept answers, in bytes.
    #[arg(long, env = "CHIVEBEND_ANSWER_MEMORY", default_value_t = 64 << 20)]
    pub answer_memory: u64,
    /// Largest answer of the backend server, in bytes.
    #[arg(long, env = "CHIVEBEND_ANSWER_LIMIT", default_value_t = 16 << 20)]
    pub answer_limit: u64,
    /// How long the backend server may make no progress on a request, in milliseconds.
    #[arg(long, env = "CHIVEBEND_PROGRESS_TIMEOUT_MS", default_value_t = 30_000)]
    pub progress_timeout_ms: u64,
    /// How long a shutdown waits for requests in progress, in milliseconds.
    #[arg(long, env = "CHIVEBEND_SHUTDOWN_LIMIT_MS", default_value_t = 120_000)]
    pub shutdown_limit_ms: u64,
}
