//! Puts a configuration in force: updates look-up tables, pools and links.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use lovagedock::{EndpointSpec, PoolSpec, SubsetMember, SubsetPlanner, build_policy, prelude::*};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use crate::{
    active::ActiveConfig,
    context::GatewayContext,
    fleet::EndpointEntry,
    limits::OrganisationLimiter,
    workers::{LinkSpec, WorkerPool},
};

/// Why a configuration was not put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdoptError {
    /// The same or a newer configuration is in force.
    NotNewer,
    /// The configuration cannot be parsed.
    Malformed(String),
}

/// Puts configurations in force; the only component that does.
///
/// Lock order: the adoption lock first, then the fleet table.
pub(crate) struct ConfigAdopter {
    context: GatewayContext,
    limits: OrganisationLimiter,
    workers: WorkerPool,
    adoption: Mutex<()>,
    adopted: watch::Sender<Generation>,
    log: Logger,
}

impl ConfigAdopter {
    /// Creates an adopter without a configuration in force.
    pub(crate) fn new(
        context: GatewayContext,
        limits: OrganisationLimiter,
        workers: WorkerPool,
        log: Logger,
    ) -> Self {
        Self {
            context,
            limits,
            workers,
            adoption: Mutex::new(()),
            adopted: watch::Sender::new(0),
            log,
        }
    }

    /// Subscribes to the generations that come into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Generation> {
        self.adopted.subscribe()
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// Configurations arrive concurrently from the store, peers and polls, and an old one may
    /// arrive last. Without the check under the lock the gateway could return to an older
    /// configuration for a while.
    pub(crate) fn adopt(&self, generation: Generation, text: Bytes) -> Result<(), AdoptError> {
        if generation <= self.context.generation() {
            return Err(AdoptError::NotNewer);
        }
        let fleet: FleetConfig = serde_json::from_slice(&text)
            .map_err(|error| AdoptError::Malformed(error.to_string()))?;
        let active = ActiveConfig::new(generation, fleet, text);
        let adoption = self.adoption.lock();
        if generation <= self.context.generation() {
            return Err(AdoptError::NotNewer);
        }
        self.set_pools(&active.fleet);
        self.set_links(&active.fleet);
        self.limits
            .configure(self.context.clock.now(), &active.fleet);
        self.context.config.store(Arc::new(active));
        drop(adoption);
        self.adopted.send_replace(generation);
        metrics::gauge!("lovagedock_config_generation").set(generation as f64);
        info!(self.log, "configuration in force"; "generation" => generation);
        Ok(())
    }

    /// Logs that a configuration could not be parsed.
    pub(crate) fn log_rejected(&self, detail: &str) {
        warn!(self.log, "configuration rejected"; "detail" => detail);
    }

    fn set_pools(&self, fleet: &FleetConfig) {
        for pool in &fleet.pools {
            match build_policy(&fleet.placement) {
                Ok(policy) => self.context.fleet.set_policy(&pool.id, policy),
                // `lovagedock check` rejects unknown policy names, so this gateway is older than
                // the command line tool. The pool keeps its current policy.
                Err(error) => {
                    warn!(self.log, "unknown placement policy, keeping the current one"; "error" => %error)
                }
            }
        }
    }

    fn set_links(&self, config: &FleetConfig) {
        let wanted = self.linked_endpoints(config);
        let fleet = &self.context.fleet;
        for (endpoint, entry) in fleet.entries() {
            let kept = wanted
                .get(&endpoint)
                .is_some_and(|(pool, spec)| can_keep_link(&entry, pool, spec));
            if !kept {
                fleet.remove(&endpoint);
            }
        }
        for (endpoint, (pool, spec)) in wanted {
            if fleet.get(endpoint).is_none() {
                self.add_link(pool, spec);
            }
        }
        fleet.retain_pools(|id| config.pools.iter().any(|pool| pool.id == *id));
    }

    /// The endpoints to which this gateway keeps a session, with their pools.
    fn linked_endpoints<'a>(
        &self,
        config: &'a FleetConfig,
    ) -> HashMap<&'a EndpointId, (&'a PoolSpec, &'a EndpointSpec)> {
        let all: Vec<(&PoolSpec, &EndpointSpec)> = config
            .pools
            .iter()
            .flat_map(|pool| pool.endpoints.iter().map(move |spec| (pool, spec)))
            .collect();
        let own = config
            .gateways
            .iter()
            .position(|gateway| gateway.id == self.context.name);
        let Some(own) = own else {
            // The plan does not include a gateway that the configuration does not name; it connects
            // to all endpoints.
            return all
                .into_iter()
                .map(|(pool, spec)| (&spec.id, (pool, spec)))
                .collect();
        };
        let member = |id: &Arc<str>, domain: &DomainId| SubsetMember {
            id: id.clone(),
            domain: domain.clone(),
            region: region_of(config, domain),
        };
        let gateways = config.gateways.iter();
        let gateways: Vec<SubsetMember> = gateways
            .map(|gateway| member(&gateway.id, &gateway.failure_domain))
            .collect();
        let endpoints: Vec<SubsetMember> = all
            .iter()
            .map(|(_, spec)| member(&spec.id, &spec.failure_domain))
            .collect();
        let plan = SubsetPlanner::default().plan(&gateways, &endpoints);
        let chosen = plan.endpoints_of(own).iter().map(|index| all[*index]);
        chosen
            .map(|(pool, spec)| (&spec.id, (pool, spec)))
            .collect()
    }

    fn add_link(&self, pool: &PoolSpec, spec: &EndpointSpec) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let entry = EndpointEntry::new(pool.id.clone(), spec, commands);
        self.context.fleet.insert(spec.id.clone(), entry);
        self.workers.start_link(LinkSpec {
            endpoint: spec.id.clone(),
            address: spec.sidecar,
            commands: receiver,
        });
    }
}

/// The region of a failure domain; empty for a failure domain that is not in the configuration.
pub(crate) fn region_of(config: &FleetConfig, domain: &DomainId) -> Arc<str> {
    let spec = config
        .failure_domains
        .iter()
        .find(|spec| spec.id == *domain);
    spec.map_or_else(|| Arc::from(""), |spec| Arc::from(spec.region.as_str()))
}

/// Whether a link can be kept under a new configuration.
fn can_keep_link(entry: &EndpointEntry, pool: &PoolSpec, spec: &EndpointSpec) -> bool {
    entry.pool == pool.id
        && entry.address == spec.sidecar
        && entry.host == spec.host
        && entry.domain == spec.failure_domain
}
