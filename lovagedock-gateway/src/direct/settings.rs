//! Settings of a gateway without sidecars.

use std::{net::SocketAddr, time::Duration};

use lovagedock::{RetryShareSettings, prelude::*};
use lovagedock_daemon::{AdminSettings, DaemonSettings, LogSettings};
use serde::{Deserialize, Serialize};

use super::fleet_tag::FleetTag;

/// What a gateway is told when it starts; everything else comes from the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of the gateway, unique in the fleet.
    pub name: GatewayId,
    /// Name of the fleet; the address of its store if there is none. Gateways of other fleets are not
    /// listened to.
    #[serde(default)]
    pub fleet: Option<String>,
    /// Failure domain of its host.
    pub failure_domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the gateway takes connections.
    pub health: SocketAddr,
    /// Where other gateways send datagrams.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub admin: AdminSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What the fleet bears.
    pub bounds: FleetBounds,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// What the fleet bears, as its operator declares it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Retries for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Retries in a window beyond the ratio, over all gateways.
    pub retry_slack: f64,
    /// Length of the window, in seconds.
    pub retry_window_s: f64,
    /// Time from the request to stop until the process is killed, in seconds.
    pub stop_grace_s: f64,
}

impl FleetBounds {
    /// The retries that all gateways together may make.
    pub fn retries(&self) -> RetryShareSettings {
        RetryShareSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Time from the request to stop until the process is killed.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }
}

impl DirectSettings {
    /// The fleet that the gateway belongs to.
    pub(crate) fn fleet(&self) -> FleetTag {
        match &self.fleet {
            Some(name) => FleetTag::new(name),
            None => FleetTag::new(&self.store.to_string()),
        }
    }

    /// Whether a changed file has changes that only a restart brings into force.
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
            || self.failure_domain != changed.failure_domain
            || addresses(self) != addresses(changed)
            || self.bounds.stop_grace_s != changed.bounds.stop_grace_s
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
        let figures = [
            ("bounds.retry_ratio", self.bounds.retry_ratio, 0.0),
            ("bounds.retry_slack", self.bounds.retry_slack, 0.0),
            ("bounds.retry_window_s", self.bounds.retry_window_s, 1.0),
            ("bounds.stop_grace_s", self.bounds.stop_grace_s, 1.0),
        ];
        for (path, found, least) in figures {
            if !(least..=MAX_BOUND).contains(&found) {
                problems.push(format!(
                    "{path}: found {found}, expected {least} to {MAX_BOUND}"
                ));
            }
        }
        problems
    }
}

/// Largest figure of a bound that makes sense; above it a unit was probably mistaken.
const MAX_BOUND: f64 = 1e6;
