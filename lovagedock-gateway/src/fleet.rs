//! State of each endpoint as known to this gateway, shared by all its workers.
//!
//! Lock order: the endpoint table first, then one pool; never two pools. No code waits for anything
//! else while it holds either lock.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use lovagedock::{
    EndpointReport, EndpointSpec, EndpointView, OutlierAction, OutlierDetector, OutlierEvent,
    OutlierSettings, PlacementChoice, PlacementPolicy, PlacementRequest, PoolState, SentWork,
    prelude::*,
};
use lovagedock_wire::LoadMessage;
use parking_lot::{Mutex, RwLock};
use rand::Rng;
use tokio::sync::mpsc;

use crate::link::LinkCommand;

/// One endpoint and the state of the session to it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointEntry {
    /// Pool that the endpoint is in.
    pub(crate) pool: PoolId,
    /// Failure domain of the endpoint's host.
    pub(crate) domain: DomainId,
    /// Host that the endpoint runs on.
    pub(crate) host: HostId,
    /// Address of the endpoint's sidecar.
    pub(crate) address: SocketAddr,
    /// Incarnation of the sidecar while there is a session to it.
    pub(crate) incarnation: Option<Incarnation>,
    /// Generation in force at the sidecar according to the sidecar's last report.
    pub(crate) generation: Generation,
    /// Whether the sidecar's last report said that the endpoint is leaving or its engine is down.
    pub(crate) rejects_work: bool,
    /// Number of requests of this gateway in flight at the endpoint.
    pub(crate) in_flight: u32,
    /// Work sent since the last heartbeat was sent. The response to that heartbeat does not include
    /// the work.
    pub(crate) sent_since_heartbeat: SentWork,
    /// Commands to the task that owns the session.
    pub(crate) commands: mpsc::UnboundedSender<LinkCommand>,
}

impl EndpointEntry {
    /// Creates an entry without a session.
    pub(crate) fn new(
        pool: PoolId,
        spec: &EndpointSpec,
        commands: mpsc::UnboundedSender<LinkCommand>,
    ) -> Self {
        Self {
            pool,
            domain: spec.failure_domain.clone(),
            host: spec.host.clone(),
            address: spec.sidecar,
            incarnation: None,
            generation: 0,
            rejects_work: false,
            in_flight: 0,
            sent_since_heartbeat: SentWork::default(),
            commands,
        }
    }
}

struct PoolEntry {
    state: PoolState,
    policy: Box<dyn PlacementPolicy>,
    outliers: OutlierDetector,
}

impl PoolEntry {
    /// Passes an event to the outlier detector and applies its decisions to placement.
    fn handle_outlier_event(&mut self, now: Timestamp, event: OutlierEvent) -> Vec<OutlierAction> {
        let actions = self.outliers.handle(now, event);
        for action in &actions {
            self.state.set_ejected(&action.endpoint, action.ejected);
        }
        actions
    }
}

#[derive(Default)]
struct FleetState {
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    pools: BTreeMap<PoolId, Arc<Mutex<PoolEntry>>>,
    leaving_hosts: HashSet<HostId>,
}

/// The table of endpoints; cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct FleetTable {
    state: Arc<RwLock<FleetState>>,
}

impl FleetTable {
    /// Sets the policy of a pool, and adds the pool if it is new.
    pub(crate) fn set_policy(&self, pool: &PoolId, policy: Box<dyn PlacementPolicy>) {
        let mut state = self.state.write();
        if let Some(entry) = state.pools.get(pool) {
            entry.lock().policy = policy;
            return;
        }
        let entry = PoolEntry {
            state: PoolState::new(),
            policy,
            outliers: OutlierDetector::new(OutlierSettings::default()),
        };
        state
            .pools
            .insert(pool.clone(), Arc::new(Mutex::new(entry)));
    }

    /// Removes the pools for which `keep` returns false.
    pub(crate) fn retain_pools(&self, keep: impl Fn(&PoolId) -> bool) {
        self.state.write().pools.retain(|pool, _| keep(pool));
    }

    /// Adds an endpoint that the configuration names.
    pub(crate) fn insert(&self, endpoint: EndpointId, entry: EndpointEntry) {
        let mut state = self.state.write();
        if let Some(pool) = state.pools.get(&entry.pool) {
            let domain = entry.domain.clone();
            let mut pool = pool.lock();
            pool.state.insert(endpoint.clone(), domain);
            pool.handle_outlier_event(Timestamp::ZERO, OutlierEvent::Joined(endpoint.clone()));
        }
        state.endpoints.insert(endpoint, entry);
    }

    /// Removes an endpoint that the configuration no longer names; its link ends.
    pub(crate) fn remove(&self, endpoint: &EndpointId) {
        let mut state = self.state.write();
        let Some(entry) = state.endpoints.remove(endpoint) else {
            return;
        };
        if let Some(pool) = state.pools.get(&entry.pool) {
            let mut pool = pool.lock();
            pool.state.remove(endpoint);
            pool.handle_outlier_event(Timestamp::ZERO, OutlierEvent::Left(endpoint.clone()));
        }
    }

    /// Copies of all entries.
    pub(crate) fn entries(&self) -> Vec<(EndpointId, EndpointEntry)> {
        let state = self.state.read();
        state
            .endpoints
            .iter()
            .map(|(endpoint, entry)| (endpoint.clone(), entry.clone()))
            .collect()
    }

    /// Copy of one entry.
    pub(crate) fn get(&self, endpoint: &EndpointId) -> Option<EndpointEntry> {
        self.state.read().endpoints.get(endpoint).cloned()
    }

    /// The state of an endpoint that the placement policy of its pool uses.
    pub(crate) fn view(&self, endpoint: &EndpointId) -> Option<EndpointView> {
        let state = self.state.read();
        let entry = state.endpoints.get(endpoint)?;
        let pool = state.pools.get(&entry.pool)?.lock();
        pool.state.endpoint(endpoint).cloned()
    }

    /// Places a request with the policy of a pool; `None` if there is no such pool.
    pub(crate) fn place(
        &self,
        now: Timestamp,
        pool: &PoolId,
        request: &PlacementRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<PlacementChoice> {
        let pool = Arc::clone(self.state.read().pools.get(pool)?);
        let mut pool = pool.lock();
        let PoolEntry { state, policy, .. } = &mut *pool;
        Some(policy.place(now, request, &state.view(), rng))
    }

    /// Records a new session.
    pub(crate) fn record_session_opened(&self, endpoint: &EndpointId, incarnation: Incarnation) {
        let mut state = self.state.write();
        if let Some(entry) = state.endpoints.get_mut(endpoint) {
            entry.incarnation = Some(incarnation);
        }
        state.update_usable(endpoint);
    }

    /// Records that the session was lost.
    pub(crate) fn record_session_lost(&self, endpoint: &EndpointId) {
        let mut state = self.state.write();
        if let Some(entry) = state.endpoints.get_mut(endpoint) {
            entry.incarnation = None;
        }
        state.update_usable(endpoint);
    }

    /// Records that a heartbeat is sent. The response does not include work that is sent from now
    /// on.
    pub(crate) fn record_heartbeat_sent(&self, endpoint: &EndpointId) {
        if let Some(entry) = self.state.write().endpoints.get_mut(endpoint) {
            entry.sent_since_heartbeat = SentWork::default();
        }
    }

    /// Records the load report in the response to a heartbeat.
    pub(crate) fn record_load_report(
        &self,
        endpoint: &EndpointId,
        now: Timestamp,
        load: &LoadMessage,
    ) {
        let mut state = self.state.write();
        let Some(entry) = state.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.generation = load.generation;
        entry.rejects_work = load.leaving || load.engine_down;
        let unreported = entry.sent_since_heartbeat;
        let pool = entry.pool.clone();
        if let Some(pool) = state.pools.get(&pool) {
            let report = Arc::new(endpoint_report(load));
            pool.lock()
                .state
                .record_report(now, endpoint, report, unreported);
        }
        state.update_usable(endpoint);
    }

    /// Records a request that is sent to an endpoint.
    pub(crate) fn record_work_sent(&self, now: Timestamp, endpoint: &EndpointId, work: SentWork) {
        let mut state = self.state.write();
        let Some(entry) = state.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.in_flight += 1;
        entry.sent_since_heartbeat.add(&work);
        let pool = entry.pool.clone();
        if let Some(pool) = state.pools.get(&pool) {
            let mut pool = pool.lock();
            pool.state.record_sent(endpoint, work);
            pool.handle_outlier_event(now, OutlierEvent::ProbeSent(endpoint.clone()));
        }
    }

    /// Records that a request has ended at an endpoint.
    pub(crate) fn record_work_ended(&self, endpoint: &EndpointId) {
        if let Some(entry) = self.state.write().endpoints.get_mut(endpoint) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Passes an event to the outlier detector of the endpoint's pool; returns the endpoints whose
    /// ejection changed.
    pub(crate) fn record_outlier_event(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        event: OutlierEvent,
    ) -> Vec<OutlierAction> {
        let state = self.state.read();
        let pool = state
            .endpoints
            .get(endpoint)
            .and_then(|entry| state.pools.get(&entry.pool));
        pool.map_or_else(Vec::new, |pool| {
            pool.lock().handle_outlier_event(now, event)
        })
    }

    /// Sends a tick to all outlier detectors; returns the endpoints whose ejection changed.
    pub(crate) fn tick_outliers(&self, now: Timestamp) -> Vec<OutlierAction> {
        let state = self.state.read();
        let pools = state.pools.values();
        pools
            .flat_map(|pool| pool.lock().handle_outlier_event(now, OutlierEvent::Tick))
            .collect()
    }

    /// Sets the hosts that the platform lists as leaving.
    ///
    /// Normally a sidecar reports itself that it is leaving. The list covers sidecars that were not
    /// notified and would otherwise receive work until their host is gone.
    pub(crate) fn set_leaving_hosts(&self, hosts: HashSet<HostId>) {
        let mut state = self.state.write();
        state.leaving_hosts = hosts;
        let names: Vec<EndpointId> = state.endpoints.keys().cloned().collect();
        for endpoint in names {
            state.update_usable(&endpoint);
        }
    }
}

impl FleetState {
    fn update_usable(&self, endpoint: &EndpointId) {
        let Some(entry) = self.endpoints.get(endpoint) else {
            return;
        };
        let leaving = entry.rejects_work || self.leaving_hosts.contains(&entry.host);
        let usable = entry.incarnation.is_some() && !leaving;
        if let Some(pool) = self.pools.get(&entry.pool) {
            pool.lock().state.set_usable(endpoint, usable);
        }
    }
}

fn endpoint_report(load: &LoadMessage) -> EndpointReport {
    EndpointReport {
        memory_tokens: load.memory_tokens,
        free_tokens: load.free_tokens,
        queued: load.queued,
        queued_tokens: load.queued_tokens,
        running: load.running,
        running_long: load.running_long,
        prefill_tokens_left: load.prefill_tokens_left,
        backlog: Some(load.backlog),
        cost: load.cost,
        cached_prefixes: load.cached_prefixes.clone(),
    }
}
