//! Settings of the command line.

use std::{net::SocketAddr, path::Path};

use lovagedock_daemon::{SettingsError, TransportSettings, load_settings};
use serde::Deserialize;

/// Content of an operator's settings file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// URL of the platform's object API, such as `http://10.0.0.1:8300`.
    pub platform: Option<String>,
    /// Gateways that `status` and `explain` call.
    pub gateways: Vec<ProcessAddress>,
    /// Sidecars that `dump` and `drain` accept by id.
    pub sidecars: Vec<ProcessAddress>,
    /// Bearer token for writes.
    pub operator_token: Option<String>,
    /// Transport to the operators' ports; plain TCP has to be set explicitly.
    pub transport: Option<TransportSettings>,
}

/// Address of a process's operators' port.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessAddress {
    /// Name of the process.
    pub id: String,
    /// Address of its operators' port.
    pub address: SocketAddr,
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The first error in the file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        load_settings(file)
    }

    /// Address of the process with this id, or the address that `name` itself contains.
    pub fn find_process(&self, name: &str) -> Option<SocketAddr> {
        let processes = self.gateways.iter().chain(&self.sidecars);
        let named = processes.into_iter().find(|process| process.id == name);
        match named {
            Some(process) => Some(process.address),
            None => name.parse().ok(),
        }
    }
}
