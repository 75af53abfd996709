//! Settings of the processes: flags and environment variables.

use std::env;
use std::fmt;
use std::net;

use subtle::ConstantTimeEq as _;

use crate::event;

/// Variable that holds the fleet's secret.
pub const SECRET_VARIABLE: &str = "CHIVEBEND_SECRET";

/// The fleet's secret: one, or two while it is rotated. Never printed.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(Vec<String>);

impl Secret {
    /// Reads `CHIVEBEND_SECRET`: one secret, or two separated by a comma.
    pub fn from_environment() -> Self {
        Self::from_text(&env::var(SECRET_VARIABLE).unwrap_or_default())
    }

    /// Splits one or two secrets at the comma.
    pub fn from_text(text: &str) -> Self {
        let parts = text.split(',').map(str::trim);
        Self(
            parts
                .filter(|part| !part.is_empty())
                .map(String::from)
                .collect(),
        )
    }

    /// The secret to send to other processes: the first.
    pub fn sent(&self) -> &str {
        self.0.first().map_or("", String::as_str)
    }

    /// Whether another process's secret is one of those accepted, in constant time for each.
    pub fn accepts(&self, given: &str) -> bool {
        let same = |own: &String| own.as_bytes().ct_eq(given.as_bytes());
        self.0
            .iter()
            .fold(subtle::Choice::from(0), |any, own| any | same(own))
            .into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} hidden)", self.0.len())
    }
}

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
    /// Secret that the fleet's processes share, from the environment alone: a flag would show in
    /// the list of processes.
    #[arg(skip = Secret::from_environment())]
    pub secret: Secret,
    /// Least level of the log lines written.
    #[arg(
        long,
        env = "CHIVEBEND_LOG_LEVEL",
        default_value = "info",
        value_name = "LEVEL"
    )]
    pub log_level: log::LevelFilter,
}

impl Process {
    /// Settings of a process on this machine's loopback, on free ports.
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

    /// Who records this process's events.
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
