//! Determines the relay role of this gateway under a configuration.

use std::{net::SocketAddr, sync::Arc};

use lovagedock::{
    ProcessId, RelayKind, RelayLimits, RelayMember, RelayPlan, RelayRole, prelude::*,
};

use crate::adopt::region_of;

/// The role of a gateway. While no configuration names gateways, the seed peers of the settings are
/// used.
pub(crate) fn relay_role(config: &FleetConfig, own: &GatewayId, seeds: &[SocketAddr]) -> RelayRole {
    if config.gateways.is_empty() {
        return RelayRole {
            // Without a seed peer the store is the only source.
            watches: seeds.is_empty(),
            peers: seeds.iter().map(seed_name).collect(),
            ..RelayRole::default()
        };
    }
    if config.gateways.iter().all(|gateway| gateway.id != *own) {
        // No peer pushes to a gateway that the configuration does not name. It has to compare
        // generations with the peers itself.
        return RelayRole {
            peers: config.gateways.iter().map(|g| g.id.clone()).collect(),
            ..RelayRole::default()
        };
    }
    let members = config.gateways.iter().map(|gateway| RelayMember {
        process: gateway.id.clone(),
        host: gateway.host.clone(),
        domain: gateway.failure_domain.clone(),
        region: region_of(config, &gateway.failure_domain).to_string(),
        kind: RelayKind::Relay,
    });
    let members: Vec<RelayMember> = members.collect();
    RelayPlan::new(&members, &RelayLimits::default()).role_of(own)
}

/// Name of a peer of which only the address is known.
pub(crate) fn seed_name(address: &SocketAddr) -> ProcessId {
    Arc::from(address.to_string())
}
