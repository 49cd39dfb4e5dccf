//! What all parts of one gateway share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagedock::{AdoptionStatus, prelude::*};
use lovagedock_daemon::ProcessClock;

use crate::{active::ActiveConfig, fleet::FleetTable};

/// Shared, read-mostly state; cheap to clone.
///
/// Lock order: none of these takes another's lock. The configuration is swapped whole, so a
/// request that has loaded it keeps one generation from beginning to end.
#[derive(Clone)]
pub(crate) struct GatewayContext {
    /// Name of this gateway.
    pub(crate) name: GatewayId,
    /// Failure domain of its host.
    pub(crate) domain: DomainId,
    /// This life of the process.
    pub(crate) incarnation: Incarnation,
    /// Monotonic time since the start.
    pub(crate) clock: ProcessClock,
    /// Configuration in force.
    pub(crate) config: Arc<ArcSwap<ActiveConfig>>,
    /// What the relay knows of configurations.
    pub(crate) adoption: Arc<ArcSwap<AdoptionStatus>>,
    /// Endpoints.
    pub(crate) fleet: FleetTable,
}

impl GatewayContext {
    /// Number of the configuration in force; 0 for none.
    pub(crate) fn generation(&self) -> Generation {
        self.config.load().generation
    }
}
