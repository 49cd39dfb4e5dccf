//! Settings of a sidecar.

use std::{net::SocketAddr, time::Duration};

use lovagedock::prelude::*;
use lovagedock_daemon::{AdminSettings, DaemonSettings, LogSettings, TransportSettings};
use lovagedock_wire::{FleetName, fleet_name_problem};
use serde::{Deserialize, Serialize};

use crate::adapter::{AdapterOptions, adapter_names};

/// Start-up settings of a sidecar; everything else is in the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of the endpoint, as in the configuration.
    pub endpoint: EndpointId,
    /// Name of the fleet. Sessions of gateways that have the name of another fleet are refused;
    /// without it, or for gateways without it, fleets are not compared.
    #[serde(default)]
    pub fleet: Option<FleetName>,
    /// Listener for gateways.
    pub gateways: SessionSettings,
    /// Listener for operators.
    pub admin: AdminSettings,
    /// Connection to the endpoint.
    pub engine: EngineSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// How long a shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How long a drained sidecar continues to refuse requests before it exits, in milliseconds;
    /// it should be longer than the gateways' heartbeat interval.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
}

impl SidecarSettings {
    /// How long a shutdown waits for requests in flight.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// How long a drained sidecar continues to refuse requests before it exits.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

impl DaemonSettings for SidecarSettings {
    fn log(&self) -> LogSettings {
        self.log
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::from_iter(fleet_name_problem(self.fleet.as_ref()));
        let adapter = self.engine.adapter.as_str();
        if !adapter_names().contains(&adapter) {
            problems.push(format!(
                "engine.adapter: found {adapter:?}, expected one of {}",
                adapter_names().join(", ")
            ));
        }
        if self.engine.poll_ms == 0 {
            problems.push("engine.poll_ms: found 0, expected at least 1".to_owned());
        }
        let transport = &self.gateways.transport;
        problems.extend(transport.mutual_tls_problem("gateways.transport"));
        problems
    }
}

/// Settings of the listener for gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// TLS, or plain TCP if it is set explicitly.
    pub transport: TransportSettings,
    /// Time without a heartbeat after which a session is closed, in milliseconds.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
}

impl SessionSettings {
    /// Time without a heartbeat after which a session is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

/// Settings of the connection to the endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the adapter for the vendor's engine.
    pub adapter: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time limit for opening a connection, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
    /// Maximum time without data from the endpoint during an answer, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// Interval between polls of the endpoint's load and allocations, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Maximum number of concurrent requests on the endpoint; 0 uses what the engine reports.
    #[serde(default)]
    pub concurrency: usize,
}

impl EngineSettings {
    /// Interval between polls of the endpoint's load and allocations.
    pub fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    pub(crate) fn options(&self) -> AdapterOptions {
        AdapterOptions {
            address: self.address,
            connect_timeout: Duration::from_millis(self.connect_ms),
            idle_timeout: Duration::from_millis(self.idle_ms),
        }
    }
}

fn default_drain_ms() -> u64 {
    600_000
}

fn default_linger_ms() -> u64 {
    1_500
}

fn default_silence_ms() -> u64 {
    3_000
}

fn default_connect_ms() -> u64 {
    1_000
}

fn default_idle_ms() -> u64 {
    30_000
}

fn default_poll_ms() -> u64 {
    250
}
