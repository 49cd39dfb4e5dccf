//! Settings of a gateway without sidecars.

use std::{net::SocketAddr, time::Duration};

use lovagedock::{
    ColdAllowance, DomainRelays, HostCapacity, MAX_DIRECT_GATEWAYS, RelayCandidate,
    RetryShareSettings, prelude::*,
};
use lovagedock_daemon::{AdminSettings, DaemonSettings, LogSettings};
use serde::{Deserialize, Serialize};

use super::fleet_tag::FleetTag;

/// Settings of a gateway at startup. Everything else comes from the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of the gateway, unique in the fleet.
    pub name: GatewayId,
    /// Name of the fleet; the address of the store is used if there is none. Messages from gateways
    /// of other fleets are ignored.
    #[serde(default)]
    pub fleet: Option<String>,
    /// Failure domain of the gateway's host.
    pub failure_domain: DomainId,
    /// Processor time of the gateway's host, in cores. In a large fleet, gateways on larger hosts
    /// forward the messages of others.
    #[serde(default = "one_core")]
    pub host_cores: f64,
    /// Memory of the gateway's host, in megabytes. Limits what callers can make the gateway hold.
    #[serde(default = "default_host_memory")]
    pub host_memory_mb: f64,
    /// Descriptors that the gateway's process may open. Half of them are for callers.
    #[serde(default = "default_host_descriptors")]
    pub host_descriptors: usize,
    /// Number of gateways up to which each sends to all others. In a larger fleet, relays of each
    /// failure domain forward messages.
    #[serde(default = "max_direct_gateways")]
    pub max_direct_gateways: usize,
    /// Whether all gateways of the fleet start for the first time. They then wait for each other's
    /// entries.
    #[serde(default)]
    pub bootstrap: bool,
    /// Address for connections of callers.
    pub callers: SocketAddr,
    /// Address for health checks of the balancer.
    pub health: SocketAddr,
    /// Address for datagrams and connections of other gateways.
    pub peers: SocketAddr,
    /// Address and credentials for operators.
    pub admin: AdminSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of the fleet.
    pub bounds: FleetBounds,
    /// Decisions under overload that are switched on; none by default.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Decisions under overload, each switched on by its setting. All gateways of a fleet should have the
/// same settings; those of a gateway without a setting decide by its own load alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverloadSettings {
    /// Whether organisations that demand more than their share of an overloaded service are refused
    /// first. All organisations have the same weight. Without it, nothing is counted or reported,
    /// and requests are refused regardless of their organisation.
    pub organisation_shares: bool,
    /// Whether refused requests are told to return at a time for which capacity is scheduled.
    pub scheduled_returns: bool,
    /// Whether a short prompt claims one of the last slots of an engine before it is sent.
    pub placement_claims: bool,
    /// Whether engines that are slow as helpers are found and avoided.
    pub helper_speeds: bool,
    /// Maximum memory for data that callers and endpoints have not read yet, in megabytes, or
    /// `None` for no limit.
    pub output_memory_mb: Option<f64>,
}

/// Limits of the fleet, as declared by its operator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Allowed retries for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Allowed retries in a window beyond the ratio, over all gateways.
    pub retry_slack: f64,
    /// Length of the window, in seconds.
    pub retry_window_s: f64,
    /// Time from the stop signal until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Factor by which all gateways together may exceed the rate that a cold endpoint declares.
    /// Without it, cold endpoints are not protected.
    #[serde(default)]
    pub cold_overshoot: Option<f64>,
    /// Requests in a second beyond that.
    #[serde(default)]
    pub cold_slack: f64,
}

impl FleetBounds {
    /// Returns the limits on retries, shared by all gateways.
    pub fn retries(&self) -> RetryShareSettings {
        RetryShareSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns by how much the declared rate of a cold endpoint may be exceeded, or `None` if cold
    /// endpoints need no protection.
    pub fn cold_allowance(&self) -> Option<ColdAllowance> {
        Some(ColdAllowance {
            overshoot: self.cold_overshoot?,
            slack: self.cold_slack,
        })
    }

    /// Returns the time from the stop signal until the process is killed.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }
}

fn max_direct_gateways() -> usize {
    MAX_DIRECT_GATEWAYS
}

/// Memory of a host whose settings do not declare it, in megabytes.
pub(crate) const DEFAULT_HOST_MEMORY_MB: f64 = 256.0;

fn default_host_memory() -> f64 {
    DEFAULT_HOST_MEMORY_MB
}

/// Descriptors of a process whose settings do not declare them.
const DEFAULT_HOST_DESCRIPTORS: usize = 4096;

fn default_host_descriptors() -> usize {
    DEFAULT_HOST_DESCRIPTORS
}

/// Descriptors for files; sockets and pipes share the remainder.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the host's memory for what connections hold beside bodies and responses, and the most
/// that one holds, in bytes: the buffers of the process and of the kernel.
const CONNECTION_SHARE: f64 = 0.25;
const CONNECTION_BYTES: f64 = (64 << 10) as f64;

fn one_core() -> f64 {
    1.0
}

impl DirectSettings {
    /// Returns what other gateways need to know for the choice of relays.
    pub(crate) fn relay_candidate(&self) -> RelayCandidate {
        RelayCandidate {
            domain: self.failure_domain.clone(),
            capacity: (self.host_cores * 1000.0) as HostCapacity,
        }
    }

    /// Returns the tag of the fleet to which the gateway belongs.
    pub(crate) fn fleet_tag(&self) -> FleetTag {
        match &self.fleet {
            Some(name) => FleetTag::new(name),
            None => FleetTag::new(&self.store.to_string()),
        }
    }

    /// Returns the state from which the gateway chooses relays.
    pub(crate) fn relays(&self) -> DomainRelays {
        DomainRelays::new(self.name.clone(), self.relay_candidate())
            .with_max_direct(self.max_direct_gateways)
    }

    /// Returns the maximum number of connections of callers.
    pub(crate) fn max_connections(&self) -> usize {
        let by_descriptors = self.host_descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        let by_memory = self.host_memory_mb * 1e6 * CONNECTION_SHARE / CONNECTION_BYTES;
        by_descriptors.min(by_memory as usize)
    }

    /// Returns whether a changed file has changes that take effect only after a restart.
    pub fn needs_restart_for(&self, changed: &Self) -> bool {
        let addresses = |settings: &Self| {
            let admin = settings.admin.address;
            let store = settings.store;
            [
                settings.callers,
                settings.health,
                settings.peers,
                admin,
                store,
            ]
        };
        self.name != changed.name
            || self.fleet != changed.fleet
            || self.relay_candidate() != changed.relay_candidate()
            || self.host_memory_mb != changed.host_memory_mb
            || self.host_descriptors != changed.host_descriptors
            || self.max_direct_gateways != changed.max_direct_gateways
            || addresses(self) != addresses(changed)
            || self.bounds.stop_grace_s != changed.bounds.stop_grace_s
            || self.bounds.cold_allowance() != changed.bounds.cold_allowance()
            || self.overload != changed.overload
            || self.log != changed.log
    }
}

impl DaemonSettings for DirectSettings {
    fn log(&self) -> LogSettings {
        self.log
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.name.is_empty() {
            problems.push("name: found nothing, expected a name".to_owned());
        }
        let limits = [
            ("host_cores", self.host_cores, 0.0),
            ("host_memory_mb", self.host_memory_mb, MIN_HOST_MEMORY_MB),
            ("bounds.retry_ratio", self.bounds.retry_ratio, 0.0),
            ("bounds.retry_slack", self.bounds.retry_slack, 0.0),
            ("bounds.retry_window_s", self.bounds.retry_window_s, 1.0),
            ("bounds.stop_grace_s", self.bounds.stop_grace_s, 1.0),
            (
                "bounds.cold_overshoot",
                self.bounds.cold_overshoot.unwrap_or(1.0),
                0.0,
            ),
            ("bounds.cold_slack", self.bounds.cold_slack, 0.0),
        ];
        for (path, found, min) in limits {
            if !(min..=MAX_BOUND).contains(&found) {
                problems.push(format!(
                    "{path}: found {found}, expected {min} to {MAX_BOUND}"
                ));
            }
        }
        if self.host_descriptors < MIN_HOST_DESCRIPTORS {
            problems.push(format!(
                "host_descriptors: found {}, expected at least {MIN_HOST_DESCRIPTORS}",
                self.host_descriptors
            ));
        }
        let output_memory_mb = self.overload.output_memory_mb;
        if let Some(found) = output_memory_mb.filter(|mb| !(*mb > 0.0 && *mb <= MAX_BOUND)) {
            problems.push(format!(
                "overload.output_memory_mb: found {found}, expected more than 0, at most {MAX_BOUND}"
            ));
        }
        problems
    }
}

/// Least memory of a host, in megabytes. With less, a body of 4 MiB might never be received.
const MIN_HOST_MEMORY_MB: f64 = 32.0;

/// Least number of descriptors of a process.
const MIN_HOST_DESCRIPTORS: usize = 400;

/// Maximum plausible value of a limit. A larger one probably has the wrong unit.
const MAX_BOUND: f64 = 1e6;
