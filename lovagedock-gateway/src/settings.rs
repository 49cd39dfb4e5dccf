//! Settings of a gateway.

use std::{net::SocketAddr, time::Duration};

use lovagedock::prelude::*;
use lovagedock_daemon::{AdminSettings, DaemonSettings, LogSettings, TransportSettings};
use lovagedock_wire::{FleetName, fleet_name_problem};
use serde::{Deserialize, Serialize};

use crate::link::LinkTimes;

/// Minimum duration of a lease. The time of the store calls would use up a shorter lease.
const MIN_LEASE_MS: u64 = 500;

/// Settings that a gateway reads when it starts; everything else is in the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the gateway, as in the configuration.
    pub name: GatewayId,
    /// Name of the fleet. Sidecars that have the name of another fleet get no work and no orders;
    /// without it, or for sidecars without it, fleets are not compared.
    #[serde(default)]
    pub fleet: Option<FleetName>,
    /// Failure domain of the gateway's host.
    pub failure_domain: DomainId,
    /// Listener for callers.
    pub callers: ListenerSettings,
    /// Listener for other gateways.
    pub peers: ListenerSettings,
    /// Sessions to sidecars and other gateways.
    pub links: LinkSettings,
    /// Gateways to ask for a configuration while the platform's store is unreachable.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Administration interface for operators.
    pub admin: AdminSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits for callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Orders to engines.
    #[serde(default)]
    pub orders: OrderSettings,
}

impl DaemonSettings for GatewaySettings {
    fn log(&self) -> LogSettings {
        self.log
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::from_iter(fleet_name_problem(self.fleet.as_ref()));
        let links = &self.links;
        if links.heartbeat_ms == 0 {
            problems.push("links.heartbeat_ms: found 0, expected at least 1".to_owned());
        }
        if links.silence_ms <= links.heartbeat_ms {
            problems.push(format!(
                "links.silence_ms: found {}, expected more than links.heartbeat_ms ({})",
                links.silence_ms, links.heartbeat_ms
            ));
        }
        if links.workers == 0 {
            problems.push("links.workers: found 0, expected at least 1".to_owned());
        }
        if self.orders.lease_ms < MIN_LEASE_MS {
            problems.push(format!(
                "orders.lease_ms: found {}, expected at least {MIN_LEASE_MS}",
                self.orders.lease_ms
            ));
        }
        problems.extend(links.transport.mutual_tls_problem("links.transport"));
        problems.extend(self.peers.transport.mutual_tls_problem("peers.transport"));
        problems
    }
}

/// A listening address and its transport.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Address; port 0 selects any free port.
    pub address: SocketAddr,
    /// TLS, or plain TCP if it is selected explicitly.
    pub transport: TransportSettings,
}

/// Settings of the sessions to sidecars and other gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// TLS, or plain TCP if it is selected explicitly.
    pub transport: TransportSettings,
    /// Threads that own sessions.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Time between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time without a response after which a session is closed, in milliseconds.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Time between attempts to connect, in milliseconds.
    #[serde(default = "default_reconnect_ms")]
    pub reconnect_ms: u64,
}

impl LinkSettings {
    pub(crate) fn link_times(&self) -> LinkTimes {
        LinkTimes {
            heartbeat: Duration::from_millis(self.heartbeat_ms),
            silence: Duration::from_millis(self.silence_ms),
            reconnect: Duration::from_millis(self.reconnect_ms),
        }
    }
}

/// Location of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the platform's HTTP API, such as `http://10.0.0.1:8080`.
    pub base: String,
}

/// Settings of the orders to engines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderSettings {
    /// Duration of a pool's lease without renewal, in milliseconds. The holder calls the store
    /// three times within this time. The duration is long because orders can wait longer than
    /// requests.
    pub lease_ms: u64,
}

impl OrderSettings {
    /// Duration of a pool's lease without renewal.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { lease_ms: 30_000 }
    }
}

/// Limits for callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests in flight.
    pub streams: usize,
    /// Maximum size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Time limit for reading the headers of a request, in milliseconds.
    pub header_ms: u64,
    /// Time limit for reading the body of a request, in milliseconds.
    pub body_ms: u64,
    /// Time that a shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

impl CallerLimits {
    /// Time limit for reading the headers of a request.
    pub fn header_time(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Time limit for reading the body of a request.
    pub fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Time that a shutdown waits for requests in flight.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            streams: 10_000,
            header_bytes: 32 * 1024,
            body_bytes: 16 * 1024 * 1024,
            header_ms: 10_000,
            body_ms: 60_000,
            drain_ms: 600_000,
        }
    }
}

fn default_workers() -> usize {
    2
}

fn default_heartbeat_ms() -> u64 {
    500
}

fn default_silence_ms() -> u64 {
    2_000
}

fn default_reconnect_ms() -> u64 {
    250
}
