//! State that all parts of one gateway share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagedock::{AdoptionStatus, prelude::*};
use lovagedock_daemon::ProcessClock;
use lovagedock_wire::{FleetName, PROTOCOL_VERSION, PeerIdentity};

use crate::{active::ActiveConfig, fleet::FleetTable};

/// Shared, read-mostly state; cheap to clone.
///
/// Lock order: none of the fields acquires the lock of another. The configuration is replaced as a
/// whole, so a request that has loaded it uses the same generation from beginning to end.
#[derive(Clone)]
pub(crate) struct GatewayContext {
    /// Name of this gateway.
    pub(crate) name: GatewayId,
    /// Fleet of this gateway; `None` matches sidecars of any fleet.
    pub(crate) fleet_name: Option<FleetName>,
    /// Failure domain of the gateway's host.
    pub(crate) domain: DomainId,
    /// Incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// Monotonic time since the process started.
    pub(crate) clock: ProcessClock,
    /// Configuration in force.
    pub(crate) config: Arc<ArcSwap<ActiveConfig>>,
    /// Status of the configuration relay.
    pub(crate) adoption: Arc<ArcSwap<AdoptionStatus>>,
    /// Table of endpoints.
    pub(crate) fleet: FleetTable,
}

impl GatewayContext {
    /// Generation of the configuration in force; 0 for none.
    pub(crate) fn generation(&self) -> Generation {
        self.config.load().generation
    }

    /// How this gateway introduces itself to sidecars, with the generation of its configuration.
    pub(crate) fn identity(&self, generation: Generation) -> PeerIdentity {
        PeerIdentity {
            version: PROTOCOL_VERSION,
            name: self.name.to_string(),
            incarnation: self.incarnation,
            generation,
            fleet: self.fleet_name.clone(),
        }
    }
}
