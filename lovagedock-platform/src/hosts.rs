//! The platform's list of hosts.

use async_trait::async_trait;
use lovagedock::HostId;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// Source of the platform's list of hosts.
#[async_trait]
pub trait HostDirectory: Send + Sync {
    /// Reads the list, which lags behind the actual state.
    async fn hosts(&self) -> Result<HostList, StoreError>;
}

/// Live and leaving hosts as recorded by the platform; the list may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// One entry per host; a host that no longer exists has none.
    pub hosts: Vec<HostEntry>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// State reported by the platform.
    pub state: HostState,
}

/// State of a host as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is available.
    Live,
    /// The host will be removed soon.
    Leaving,
}
