//! What a gateway knows and has decided, shared by all its requests.

mod era;
mod limits;
mod listing;
mod notices;
mod peers;
mod place;
mod state;
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

use self::state::FleetState;
use super::{fleet_tag::FleetTag, journal::LineBudget};

pub(crate) use listing::EndpointsState;
pub(crate) use place::{PlaceEffort, PlaceResult, PlacedRequest};

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
pub(crate) struct FleetBoard {
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
    changed: Notify,
    /// Wakes the task that tells peers at once.
    pub(crate) placed: Notify,
    /// Wakes it for what can wait a moment.
    pub(crate) ended: Notify,
    /// Wakes requests that wait behind others.
    line_moved: Notify,
    /// Wakes requests whose endpoint may have started again.
    restarted: Notify,
    /// Wakes requests that may be in quarantine now.
    quarantined: Notify,
    /// Wakes those who have to write their own objects of the store again.
    store_returned: Notify,
    /// Wakes the task that keeps suspects in the store.
    pub(crate) suspects_changed: Notify,
    /// Wakes it to read what other gateways have kept.
    pub(crate) suspects_wanted: Notify,
    /// Wakes those who wait for that.
    pub(crate) suspects_read: Notify,
    listed: AtomicBool,
    suspects_asked: AtomicBool,
    peers_asked: AtomicBool,
    greeting: AtomicBool,
    gateways_listed: AtomicBool,
    hears_serving: AtomicBool,
    store_reachable: AtomicBool,
    stopping: watch::Sender<Option<StopPlan>>,
    /// Bounds lines about requests.
    pub(crate) lines: LineBudget,
    /// Log of the process.
    pub(crate) log: Logger,
}

impl FleetBoard {
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
                paces: SlowdownTracker::new(),
                services: HashMap::new(),
                peers: HashMap::new(),
                retries,
                refusals: RefusalLog::new(),
                suspects: SuspectLedger::new(),
                sight: PeerLiveness::new(),
                duty: WatcherSelection::new(),
                stoppage: PauseDetector::new(),
                listing: EndpointListing::new(),
                rate_limits,
                backoffs: EndpointBackoffs::new(),
                leaving_news: LeavingQueue::new(),
                store_era: None,
            }),
            changed: Notify::new(),
            placed: Notify::new(),
            ended: Notify::new(),
            line_moved: Notify::new(),
            restarted: Notify::new(),
            quarantined: Notify::new(),
            store_returned: Notify::new(),
            suspects_changed: Notify::new(),
            suspects_wanted: Notify::new(),
            suspects_read: Notify::new(),
            listed: AtomicBool::new(false),
            suspects_asked: AtomicBool::new(false),
            peers_asked: AtomicBool::new(false),
            greeting: AtomicBool::new(false),
            gateways_listed: AtomicBool::new(false),
            hears_serving: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            stopping: watch::Sender::new(None),
            lines: LineBudget::new(),
            log,
        }
    }

    /// The configuration in force, if any is known.
    pub(crate) fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.load_full()
    }

    /// The configuration that callers may be served by, see [`set_peers_asked`](Self::set_peers_asked).
    pub(crate) fn trusted_config(&self) -> Option<Arc<TrafficConfig>> {
        let is_trusted = self.peers_asked.load(Ordering::Relaxed);
        self.config().filter(|_| is_trusted)
    }

    /// Takes a configuration in force unless a newer one is; tells whether it was.
    ///
    /// A version never goes back: a read that was answered late, or by a peer, may be an older one.
    pub(crate) fn adopt(&self, config: Arc<TrafficConfig>, source: &str) -> bool {
        let known = self.config().map_or(0, |known| known.version);
        if self.config.load().is_some() && config.version <= known {
            return false;
        }
        info!(self.log, "configuration in force";
            "version" => config.version, "before" => known, "source" => source,
            "routes" => config.route_count(), "services" => config.services.len());
        self.config.store(Some(config));
        self.placed.notify_one();
        true
    }

    /// Says that endpoints have been listed once.
    pub(crate) fn set_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Says that what gateways have kept of suspects was asked for once, with or without an answer.
    pub(crate) fn set_suspects_asked(&self) {
        self.suspects_asked.store(true, Ordering::Relaxed);
    }

    /// Says that peers had the time to tell of a newer configuration than the store has.
    pub(crate) fn set_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Relaxed);
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
        let is_listed = self.listed.load(Ordering::Relaxed);
        // A gateway that started anew would send a request that ends engines to some more of them.
        let has_asked =
            self.suspects_asked.load(Ordering::Relaxed) && self.peers_asked.load(Ordering::Relaxed);
        self.config.load().is_some() && is_listed && has_asked && !self.is_stopping()
    }

    /// Waits for a change that may free a place.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Waits until a request leaves a waiting line.
    pub(crate) fn line_moved(&self) -> Notified<'_> {
        self.line_moved.notified()
    }

    /// Says that a request has left a waiting line.
    pub(crate) fn note_line_moved(&self) {
        self.line_moved.notify_waiters();
    }

    fn note_ended(&self) {
        self.changed.notify_waiters();
        self.ended.notify_one();
    }

    /// Records that a request was refused.
    pub(crate) fn record_refusal(&self, fingerprint: RequestFingerprint) {
        let now = self.clock.now();
        self.fleet.lock().refusals.record(now, fingerprint);
        self.placed.notify_one();
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
        if let Some(stopped) = fleet.stoppage.record_tick(now, TICK_INTERVAL) {
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
        for (endpoint, news) in &settled {
            fleet.apply_news(now, &endpoint.service, endpoint.process.id.clone(), news);
        }
        let gateways = fleet.ledger.peer_count() + 1;
        for service in fleet.services.values_mut() {
            service.retries.set_gateway_count(now, gateways);
            let actions = service.outliers.handle(now, OutlierEvent::Tick);
            service.apply(actions, &self.log);
        }
        drop(fleet);
        for (endpoint, news) in &settled {
            self.note_entry(endpoint, news);
        }
        self.settle_listing();
        self.note_backoffs_ended(&ended_backoffs);
        for peer in silent {
            info!(self.log, "peer silent"; "peer" => &*peer);
        }
    }

    /// How much longer placements have to wait for news, since the process was stopped.
    pub(crate) fn news_wait(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.fleet
            .lock()
            .stoppage
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
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.fleet
            .lock()
            .service(now, service)
            .retries
            .try_consume(now)
    }

    /// Records that an endpoint sent something.
    pub(crate) fn note_heard(&self, service: &ServiceId, endpoint: &EndpointProcess) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let heard = &mut fleet.service(now, service).heard;
        match heard.get_mut(&endpoint.id) {
            Some(at) => *at = now,
            None => {
                heard.insert(endpoint.id.clone(), now);
            }
        }
    }

    /// Records the gap between two events of an engine's answer.
    pub(crate) fn note_gap(&self, service: &ServiceId, endpoint: &EndpointProcess, gap: Duration) {
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
        fleet.paces.record(now, endpoint, gap, expected);
    }

    /// When an endpoint last sent anything to this gateway.
    pub(crate) fn heard_at(&self, service: &ServiceId, endpoint: &EndpointId) -> Timestamp {
        let fleet = self.fleet.lock();
        let state = fleet.services.get(service);
        let heard = state.and_then(|state| state.heard.get(endpoint));
        heard.copied().unwrap_or_default()
    }

    /// Records what an endpoint did.
    ///
    /// Requests that a former process took down with it end after the next one has started. Counted
    /// against that one, they would eject an endpoint which has failed nobody.
    pub(crate) fn watch(
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
    pub(crate) fn with_line<T>(
        &self,
        service: &ServiceId,
        kind: QueueKind,
        work: impl FnOnce(&mut WaitingQueue) -> T,
    ) -> T {
        let now = self.clock.now();
        work(&mut self.fleet.lock().service(now, service).lines[kind as usize])
    }
}
