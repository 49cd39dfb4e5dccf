//! Settings of the command line.

use std::{net::SocketAddr, path::Path};

use lovagedock_daemon::{SettingsError, TransportSettings, load_settings};
use serde::Deserialize;

/// What an operator's settings file holds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// URL of the platform's object API, such as `http://10.0.0.1:8300`.
    pub platform: Option<String>,
    /// Gateways, by which `status` and `explain` go.
    pub gateways: Vec<ProcessAddress>,
    /// Sidecars that `dump` and `drain` may name by id.
    pub sidecars: Vec<ProcessAddress>,
    /// Bearer token for writes.
    pub operator_token: Option<String>,
    /// How the operators' ports are reached; plain TCP has to be asked for.
    pub transport: Option<TransportSettings>,
}

/// Where operators reach a process.
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
    /// The first thing that is wrong with the file.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        load_settings(file)
    }

    /// The address that a process's id stands for, or that is written out.
    pub fn find_process(&self, name: &str) -> Option<SocketAddr> {
        let processes = self.gateways.iter().chain(&self.sidecars);
        let named = processes.into_iter().find(|process| process.id == name);
        match named {
            Some(process) => Some(process.address),
            None => name.parse().ok(),
        }
    }
}
