//! The platform's list of hosts.

use async_trait::async_trait;
use lovagedock::HostId;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// Where the platform's list of hosts is read.
#[async_trait]
pub trait HostDirectory: Send + Sync {
    /// Reads the list, which lags behind the truth.
    async fn hosts(&self) -> Result<HostList, StoreError>;
}

/// Live and leaving hosts, as the platform knew them some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// One line per host; a host that is gone has none.
    pub hosts: Vec<HostEntry>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// What the platform says of it.
    pub state: HostState,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
}
