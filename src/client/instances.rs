//! Client of the platform's list of live and leaving instances. The list lags.

use std::{net, time};

use serde::{Deserialize, Serialize};

use crate::{code, error};

/// How long one call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest list that is read, in bytes: 1,270 instances take about 250 KB.
const ANSWER_LIMIT: u64 = 16 << 20;

/// What an instance runs.
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

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    #[display("live")]
    Live,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
}

/// One row of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Unique name.
    pub id: String,
    /// Address for the fleet's own processes.
    pub address: net::SocketAddr,
    /// Address of the operators' port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ops_address: Option<net::SocketAddr>,
    /// What it runs.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of the catalogue, empty for entries.
    #[serde(default)]
    pub service: String,
    /// What the platform says of it.
    pub state: State,
    /// Incarnation, if the platform knows it.
    #[serde(default)]
    pub incarnation: u64,
}

/// The list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct List {
    /// Grows whenever the list changes.
    pub version: u64,
    /// The instances, in order of name.
    pub instances: Vec<Instance>,
}

/// A client of one instance list.
#[derive(Clone, Debug)]
pub struct Instances {
    agent: ureq::Agent,
    base: String,
}

/// A client of the instance list at this address.
pub fn open(addr: net::SocketAddr) -> Instances {
    Instances {
        agent: super::agent(),
        base: format!("http://{addr}/v1/instances"),
    }
}

impl Instances {
    /// The list, or nothing if it is still at `known` version. Most polls return nothing, which
    /// is what keeps them cheap.
    pub fn list(&self, known: Option<u64>) -> error::Result<Option<List>> {
        let url = match known {
            Some(version) => format!("{}?known={version}", self.base),
            None => self.base.clone(),
        };
        let mut resp = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .call()
            .map_err(unavailable)?;
        if resp.status() == http::StatusCode::NO_CONTENT {
            return Ok(None);
        }
        resp.body_mut()
            .with_config()
            .limit(ANSWER_LIMIT)
            .read_json()
            .map(Some)
            .map_err(unavailable)
    }

    /// Registers an instance, or keeps it on the list.
    pub fn put(&self, instance: &Instance) -> error::Result<()> {
        let url = format!("{}/{}", self.base, instance.id);
        let call = self
            .agent
            .put(url)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        call.send_json(instance).map_err(unavailable)?;
        Ok(())
    }

    /// Takes an instance off the list.
    pub fn delete(&self, id: &str) -> error::Result<()> {
        let url = format!("{}/{id}", self.base);
        let call = self
            .agent
            .delete(url)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        call.call().map_err(unavailable)?;
        Ok(())
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function by map_err"
)]
fn unavailable(err: ureq::Error) -> error::Error {
    error::Error::coded(code::Code::LogUnavailable, format!("instance list: {err}"))
}
