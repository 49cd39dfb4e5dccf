//! The part of the configuration that a sidecar uses.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    EndpointEvent, EndpointLimits, OrganisationShare, PoolKind, PoolSpec, prelude::*,
};
use lovagedock_wire::{ConfigMessage, OrderMessage};
use parking_lot::Mutex;
use slog::{info, warn};

use crate::state::SidecarState;

#[derive(Clone, Debug, Default)]
struct ConfigInForce {
    generation: Generation,
    pool: Option<PoolId>,
    long_tokens: TokenCount,
    bytes_per_token: f64,
}

/// The configuration in force at this sidecar.
///
/// Lock order: this lock first, then the decision core.
pub(crate) struct SidecarConfig {
    limits: EndpointLimits,
    in_force: Mutex<ConfigInForce>,
}

impl SidecarConfig {
    /// Creates an empty configuration; `limits` come from the settings.
    pub(crate) fn new(limits: EndpointLimits) -> Self {
        Self {
            limits,
            in_force: Mutex::default(),
        }
    }

    /// Generation of the configuration in force; 0 if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.in_force.lock().generation
    }

    /// Prompts of at least this many tokens count as long.
    pub(crate) fn long_tokens(&self) -> TokenCount {
        self.in_force.lock().long_tokens
    }

    /// Bytes of prompt text per token of the endpoint's model; 0 while unknown.
    pub(crate) fn bytes_per_token(&self) -> f64 {
        self.in_force.lock().bytes_per_token
    }

    /// Reason why an order conflicts with the configuration in force; `None` if it does not.
    ///
    /// A new lease holder may have an older configuration, or name a pool that the endpoint no
    /// longer belongs to. Its orders would restore what an accepted configuration has replaced.
    pub(crate) fn rejection(&self, message: &OrderMessage) -> Option<String> {
        let in_force = self.in_force.lock();
        if message.generation < in_force.generation {
            let generation = in_force.generation;
            return Some(format!("configuration {generation} is in force here"));
        }
        let is_same = message.generation == in_force.generation;
        if is_same && in_force.pool.as_ref() != Some(&message.pool) {
            return Some(format!("the endpoint is not in pool {}", message.pool));
        }
        None
    }

    /// Applies a configuration if it is newer; returns the generation in force.
    ///
    /// Gateways with different generations send their configuration to the same sidecar. Without
    /// the check the last message would win, and the configuration could revert to an older
    /// generation.
    pub(crate) fn apply(&self, state: &Arc<SidecarState>, message: ConfigMessage) -> Generation {
        let mut in_force = self.in_force.lock();
        if message.generation <= in_force.generation {
            return in_force.generation;
        }
        let fleet: FleetConfig = match serde_json::from_slice(&message.config) {
            Ok(fleet) => fleet,
            Err(error) => {
                warn!(state.log, "configuration refused"; "error" => %error);
                return in_force.generation;
            }
        };
        state.decide(EndpointEvent::Configure {
            limits: self.limits_for(&state.endpoint, &fleet),
            shares: shares(&fleet),
        });
        *in_force = ConfigInForce {
            generation: message.generation,
            pool: pool_of(&state.endpoint, &fleet).map(|pool| pool.id.clone()),
            long_tokens: fleet.placement.long_tokens,
            bytes_per_token: bytes_per_token(&state.endpoint, &fleet),
        };
        info!(state.log, "configuration in force"; "generation" => message.generation);
        message.generation
    }

    fn limits_for(&self, endpoint: &EndpointId, fleet: &FleetConfig) -> EndpointLimits {
        let deadlines_ms = fleet.services.iter().map(|service| service.max_deadline_ms);
        let mut limits = self.limits.clone();
        if let Some(max_deadline_ms) = deadlines_ms.max() {
            limits.max_deadline = Duration::from_millis(max_deadline_ms);
        }
        let spec = fleet
            .pools
            .iter()
            .flat_map(|pool| &pool.endpoints)
            .find(|spec| spec.id == *endpoint);
        match spec {
            Some(spec) => limits.with_memory_tokens(spec.memory_tokens),
            None => limits,
        }
    }
}

/// Bytes per token of the model that the endpoint's pool runs; 0 for a plain service.
fn bytes_per_token(endpoint: &EndpointId, fleet: &FleetConfig) -> f64 {
    let pool = pool_of(endpoint, fleet);
    let Some(PoolKind::Engines { model }) = pool.map(|pool| &pool.kind) else {
        return 0.0;
    };
    let model = fleet.models.iter().find(|spec| spec.id == *model);
    model.map_or(0.0, |spec| spec.bytes_per_token)
}

fn pool_of<'a>(endpoint: &EndpointId, fleet: &'a FleetConfig) -> Option<&'a PoolSpec> {
    let mut pools = fleet.pools.iter();
    pools.find(|pool| pool.endpoints.iter().any(|spec| spec.id == *endpoint))
}

fn shares(fleet: &FleetConfig) -> Vec<OrganisationShare> {
    fleet
        .organisations
        .iter()
        .map(|organisation| OrganisationShare {
            organisation: organisation.id.clone(),
            highest_tier: organisation.priority,
            weight: organisation.weight,
        })
        .collect()
}
