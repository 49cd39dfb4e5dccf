//! What a gateway knows and has decided, shared by all its requests.

mod era;
mod fleet_state;
mod limits;
mod listing;
mod notices;
mod peers;
mod placement;
mod suspects;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use lovagedock::{
    EndpointBackoffs, EndpointListing, EndpointProcess, EndpointTable, LeavingQueue, OutlierEvent,
    PauseDetector, PeerLiveness, QueueKind, RateLimits, RefusalLog, RequestFingerprint,
    RetryShareSettings, SlowdownTracker, StopPlan, SuspectLedger, TrafficConfig, WaitingQueue,
    WatcherSelection, WorkLedger, prelude::*,
};
use lovagedock_daemon::ProcessClock;
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::{
    sync::{Notify, futures::Notified, watch},
    time::sleep_until,
};

use self::fleet_state::FleetState;
use super::{fleet_tag::FleetTag, log_limiter::LogLimiter};

pub(crate) use listing::EndpointsSnapshot;
pub(crate) use placement::{PlacedRequest, PlacementBar, PlacementResult};

/// Steps of the delay after which a gateway takes slots that a peer has freed; a step is longer than
/// it takes to hear of a peer's request.
const SLOT_DELAY_STEP: Duration = Duration::from_millis(20);
const SLOT_DELAY_STEPS: u32 = 5;

/// Time between two ticks, which look for peers that are gone and for endpoints that may be tried again.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The delay of this gateway; it differs between gateways.
fn slot_delay() -> Duration {
    SLOT_DELAY_STEP * rand::random_range(1..=SLOT_DELAY_STEPS)
}

/// Shared state of a gateway.
///
/// Lock order: `fleet` is the only lock and is never held across a wait.
pub(crate) struct GatewayState {
    /// Name of the gateway.
    pub(crate) name: GatewayId,
    /// The fleet that it belongs to.
    pub(crate) fleet_tag: FleetTag,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// Configuration in force.
    config: ArcSwapOption<TrafficConfig>,
    fleet: Mutex<FleetState>,
    /// Wakes requests that wait for a place.
    capacity_changed: Notify,
    /// Wakes the task that tells peers at once.
    pub(crate) urgent_update: Notify,
    /// Wakes it for what can wait a moment.
    pub(crate) deferred_update: Notify,
    /// Wakes requests that wait behind others.
    queue_advanced: Notify,
    /// Wakes requests whose endpoint may have started again.
    restarted: Notify,
    /// Wakes requests that may be in quarantine now.
    quarantined: Notify,
    /// Wakes those who have to write their own objects of the store again.
    store_returned: Notify,
    /// Wakes the task that keeps suspects in the store.
    pub(crate) suspects_changed: Notify,
    /// Wakes it to read what other gateways have kept.
    pub(crate) suspects_read_requested: Notify,
    /// Wakes those who wait for that.
    pub(crate) suspects_read: Notify,
    endpoints_listed: AtomicBool,
    suspects_requested: AtomicBool,
    peers_consulted: AtomicBool,
    announce_pending: AtomicBool,
    gateways_listed: AtomicBool,
    serving_peer_heard: AtomicBool,
    store_reachable: AtomicBool,
    stopping: watch::Sender<Option<StopPlan>>,
    /// Bounds lines about requests.
    pub(crate) log_limiter: LogLimiter,
    /// Log of the process.
    pub(crate) log: Logger,
}

impl GatewayState {
    /// A board of a gateway that knows nothing yet.
    pub(crate) fn new(
        name: GatewayId,
        fleet_tag: FleetTag,
        clock: ProcessClock,
        retries: RetryShareSettings,
        log: Logger,
    ) -> Self {
        let rate_limits = RateLimits::new(name.clone());
        Self {
            name,
            fleet_tag,
            clock,
            config: ArcSwapOption::empty(),
            fleet: Mutex::new(FleetState {
                endpoints: EndpointTable::new(),
                ledger: WorkLedger::new().with_slot_delay(slot_delay()),
                slowdowns: SlowdownTracker::new(),
                services: HashMap::new(),
                peers: HashMap::new(),
                retries,
                refusals: RefusalLog::new(),
                suspects: SuspectLedger::new(),
                peer_liveness: PeerLiveness::new(),
                watcher_selection: WatcherSelection::new(),
                pause_detector: PauseDetector::new(),
                listing: EndpointListing::new(),
                rate_limits,
                backoffs: EndpointBackoffs::new(),
                leaving_queue: LeavingQueue::new(),
                store_era: None,
            }),
            capacity_changed: Notify::new(),
            urgent_update: Notify::new(),
            deferred_update: Notify::new(),
            queue_advanced: Notify::new(),
            restarted: Notify::new(),
            quarantined: Notify::new(),
            store_returned: Notify::new(),
            suspects_changed: Notify::new(),
            suspects_read_requested: Notify::new(),
            suspects_read: Notify::new(),
            endpoints_listed: AtomicBool::new(false),
            suspects_requested: AtomicBool::new(false),
            peers_consulted: AtomicBool::new(false),
            announce_pending: AtomicBool::new(false),
            gateways_listed: AtomicBool::new(false),
            serving_peer_heard: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            stopping: watch::Sender::new(None),
            log_limiter: LogLimiter::new(),
            log,
        }
    }

    /// The configuration in force, if any is known.
    pub(crate) fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.load_full()
    }

    /// The configuration that callers may be served by, see [`set_peers_asked`](Self::set_peers_asked).
    pub(crate) fn trusted_config(&self) -> Option<Arc<TrafficConfig>> {
        let is_trusted = self.peers_consulted.load(Ordering::Relaxed);
        self.config().filter(|_| is_trusted)
    }

    /// Takes a configuration in force unless a newer one is; tells whether it was.
    ///
    /// A version never goes back: a read that was answered late, or by a peer, may be an older one.
    pub(crate) fn apply_config(&self, config: Arc<TrafficConfig>, source: &str) -> bool {
        let known = self.config().map_or(0, |known| known.version);
        if self.config.load().is_some() && config.version <= known {
            return false;
        }
        info!(self.log, "configuration in force";
            "version" => config.version, "before" => known, "source" => source,
            "routes" => config.route_count(), "services" => config.services.len());
        self.config.store(Some(config));
        self.urgent_update.notify_one();
        true
    }

    /// Says that endpoints have been listed once.
    pub(crate) fn set_endpoints_listed(&self) {
        self.endpoints_listed.store(true, Ordering::Relaxed);
    }

    /// Says that what gateways have kept of suspects was asked for once, with or without an answer.
    pub(crate) fn set_suspects_requested(&self) {
        self.suspects_requested.store(true, Ordering::Relaxed);
    }

    /// Says that peers had the time to tell of a newer configuration than the store has.
    pub(crate) fn set_peers_consulted(&self) {
        self.peers_consulted.store(true, Ordering::Relaxed);
    }

    /// Records whether the last call of the store succeeded.
    pub(crate) fn set_store_reachable(&self, reachable: bool) {
        self.store_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Whether the last call of the store succeeded.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Says that the gateway stops; a second request to stop changes nothing.
    pub(crate) fn set_stopping(&self, plan: StopPlan) {
        self.stopping.send_if_modified(|stopping| {
            let is_first = stopping.is_none();
            stopping.get_or_insert(plan);
            is_first
        });
    }

    /// How the gateway stops, if it does.
    pub(crate) fn stop_plan(&self) -> Option<StopPlan> {
        *self.stopping.borrow()
    }

    /// Whether the gateway drains.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_plan().is_some()
    }

    /// Waits until the gateway has been asked to stop.
    pub(crate) async fn stop_requested(&self) -> StopPlan {
        let mut plans = self.stopping.subscribe();
        loop {
            if let Some(plan) = *plans.borrow_and_update() {
                return plan;
            }
            // The sender lives in `self`, so the channel cannot close meanwhile.
            let _ = plans.changed().await;
        }
    }

    /// Waits until the gateway has been asked to stop and the time of its requests is over.
    pub(crate) async fn stop_ended(&self) {
        let plan = self.stop_requested().await;
        sleep_until(self.clock.instant_at(plan.ends_at()).into()).await;
    }

    /// Whether the gateway takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let is_listed = self.endpoints_listed.load(Ordering::Relaxed);
        // A gateway that started anew would send a request that ends engines to some more of them.
        let has_asked = self.suspects_requested.load(Ordering::Relaxed)
            && self.peers_consulted.load(Ordering::Relaxed);
        self.config.load().is_some() && is_listed && has_asked && !self.is_stopping()
    }

    /// Waits for a change that may free a place.
    pub(crate) fn capacity_changed(&self) -> Notified<'_> {
        self.capacity_changed.notified()
    }

    /// Waits until a request leaves a waiting line.
    pub(crate) fn queue_advanced(&self) -> Notified<'_> {
        self.queue_advanced.notified()
    }

    /// Says that a request has left a waiting line.
    pub(crate) fn notify_queue_advanced(&self) {
        self.queue_advanced.notify_waiters();
    }

    fn notify_work_ended(&self) {
        self.capacity_changed.notify_waiters();
        self.deferred_update.notify_one();
    }

    /// Records that a request was refused.
    pub(crate) fn record_refusal(&self, fingerprint: RequestFingerprint) {
        let now = self.clock.now();
        self.fleet.lock().refusals.record(now, fingerprint);
        self.urgent_update.notify_one();
    }

    /// Whether a request was refused lately, here or at a peer.
    pub(crate) fn is_return(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.clock.now();
        self.fleet.lock().refusals.is_return(now, fingerprint)
    }

    /// Forgets silent peers and lets ejected endpoints back whose time is over.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if let Some(stopped) = fleet.pause_detector.record_tick(now, TICK_INTERVAL) {
            drop(fleet);
            metrics::counter!("lovagedock_stoppages_total").increment(1);
            info!(self.log, "the process was stopped"; "ms" => stopped.as_millis() as u64);
            return;
        }
        let silent = fleet.ledger.forget_silent(now);
        for peer in &silent {
            fleet.rate_limits.forget_peer(now, peer);
        }
        fleet.tick_limits(now);
        let ended_backoffs = fleet.backoffs.take_ended(now);
        fleet.ledger.forget_unlisted(now);
        fleet.suspects.forget_old(now);
        let settled = fleet.endpoints.apply_deferred(now);
        for (endpoint, change) in &settled {
            fleet.apply_change(now, &endpoint.service, endpoint.process.id.clone(), change);
        }
        let gateways = fleet.ledger.peer_count() + 1;
        for service in fleet.services.values_mut() {
            service.retries.set_gateway_count(now, gateways);
            let actions = service.outliers.handle(now, OutlierEvent::Tick);
            service.apply(actions, &self.log);
        }
        drop(fleet);
        for (endpoint, change) in &settled {
            self.log_entry_change(endpoint, change);
        }
        self.settle_listing();
        self.log_ended_backoffs(&ended_backoffs);
        for peer in silent {
            info!(self.log, "peer silent"; "peer" => &*peer);
        }
    }

    /// How much longer placements have to wait for news, since the process was stopped.
    pub(crate) fn placement_delay(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.fleet
            .lock()
            .pause_detector
            .remaining_wait(now, TICK_INTERVAL)
    }

    /// Changes what all gateways together may retry.
    pub(crate) fn set_retries(&self, retries: RetryShareSettings) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.retries = retries;
        for service in fleet.services.values_mut() {
            service.retries.set_settings(now, retries);
        }
    }

    /// Records the first attempt of a request.
    pub(crate) fn record_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.fleet
            .lock()
            .service(now, service)
            .retries
            .record_request(now);
    }

    /// Takes a retry of a service.
    pub(crate) fn try_take_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.fleet
            .lock()
            .service(now, service)
            .retries
            .try_take(now)
    }

    /// Records that an endpoint sent something.
    pub(crate) fn record_activity(&self, service: &ServiceId, endpoint: &EndpointProcess) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let last_activity = &mut fleet.service(now, service).last_activity;
        match last_activity.get_mut(&endpoint.id) {
            Some(at) => *at = now,
            None => {
                last_activity.insert(endpoint.id.clone(), now);
            }
        }
    }

    /// Records the gap between two events of an engine's answer.
    pub(crate) fn record_event_gap(
        &self,
        service: &ServiceId,
        endpoint: &EndpointProcess,
        gap: Duration,
    ) {
        let Some(config) = self.config() else {
            return;
        };
        let profile = config.services.get(service);
        let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) else {
            return;
        };
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let load = fleet.ledger.load(now, endpoint);
        let expected = engine.pass_time(load.writer_count(), load.context);
        fleet.slowdowns.record(now, endpoint, gap, expected);
    }

    /// When an endpoint last sent anything to this gateway.
    pub(crate) fn last_activity(&self, service: &ServiceId, endpoint: &EndpointId) -> Timestamp {
        let fleet = self.fleet.lock();
        let state = fleet.services.get(service);
        let last_activity = state.and_then(|state| state.last_activity.get(endpoint));
        last_activity.copied().unwrap_or_default()
    }

    /// Records what an endpoint did.
    ///
    /// Requests that a former process took down with it end after the next one has started. Counted
    /// against that one, they would eject an endpoint which has failed nobody.
    pub(crate) fn record_outlier_event(
        &self,
        service: &ServiceId,
        endpoint: &EndpointProcess,
        event: impl FnOnce(EndpointId) -> OutlierEvent,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let event = event(endpoint.id.clone());
        let state = fleet.service(now, service);
        let actions = state.outliers.handle(now, event);
        state.apply(actions, &self.log);
    }

    /// Runs `work` on the waiting line of a service.
    pub(crate) fn with_queue<T>(
        &self,
        service: &ServiceId,
        kind: QueueKind,
        work: impl FnOnce(&mut WaitingQueue) -> T,
    ) -> T {
        let now = self.clock.now();
        work(&mut self.fleet.lock().service(now, service).queues[kind as usize])
    }
}
