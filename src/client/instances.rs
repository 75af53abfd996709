//! Client of the platform's list of live and leaving instances. The list lags behind the fleet.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{code, error};

/// Timeout of one request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Maximum size of a list in bytes; 1,270 instances take about 250 KB.
const MAX_LIST_BYTES: u64 = 16 << 20;

/// Program that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry instance.
    #[display("entry")]
    Entry,
    /// A sidecar beside a backend server.
    #[display("sidecar")]
    Sidecar,
}

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Running.
    #[display("live")]
    Live,
    /// About to stop.
    #[display("leaving")]
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Unique id.
    pub id: String,
    /// Address for other processes of the fleet.
    pub address: net::SocketAddr,
    /// Address of the operator HTTP server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ops_address: Option<net::SocketAddr>,
    /// Program that it runs.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Name of its service in the catalogue, empty for entries.
    #[serde(default)]
    pub service: String,
    /// State according to the platform.
    pub state: State,
    /// Incarnation, 0 if the platform doesn't know it.
    #[serde(default)]
    pub incarnation: u64,
}

/// One version of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct List {
    /// Version number, increased by every change of the list.
    pub version: u64,
    /// Instances, ordered by id.
    pub instances: Vec<Instance>,
}

/// Client of an instance list.
#[derive(Clone, Debug)]
pub struct Instances {
    agent: ureq::Agent,
    base: String,
}

/// Creates a client of the instance list at an address.
pub fn open(addr: net::SocketAddr) -> Instances {
    Instances {
        agent: super::agent(),
        base: format!("http://{addr}/v1/instances"),
    }
}

impl Instances {
    /// Returns the list, or `None` if its version is still `known`. Most polls return `None`, which
    /// keeps them cheap.
    pub fn list(&self, known: Option<u64>) -> error::Result<Option<List>> {
        let url = match known {
            Some(version) => format!("{}?known={version}", self.base),
            None => self.base.clone(),
        };
        let mut resp = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .call()
            .map_err(unavailable)?;
        if resp.status() == http::StatusCode::NO_CONTENT {
            return Ok(None);
        }
        resp.body_mut()
            .with_config()
            .limit(MAX_LIST_BYTES)
            .read_json()
            .map(Some)
            .map_err(unavailable)
    }

    /// Registers an instance or renews its registration.
    pub fn put(&self, instance: &Instance) -> error::Result<()> {
        let url = format!("{}/{}", self.base, instance.id);
        let call = self
            .agent
            .put(url)
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        call.send_json(instance).map_err(unavailable)?;
        Ok(())
    }

    /// Removes an instance from the list.
    pub fn delete(&self, id: &str) -> error::Result<()> {
        let url = format!("{}/{id}", self.base);
        let call = self
            .agent
            .delete(url)
            .config()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        call.call().map_err(unavailable)?;
        Ok(())
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "passed to map_err, which hands over the error by value"
)]
fn unavailable(err: ureq::Error) -> error::Error {
    error::Error::coded(code::Code::LogUnavailable, format!("instance list: {err}"))
}
