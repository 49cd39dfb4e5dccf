//! State of a gateway, shared by all its requests.

mod bookings;
mod drains;
mod era;
mod fleet_state;
mod flows;
mod helper_speeds;
mod limits;
mod listing;
mod notices;
mod parts;
mod peers;
mod placement;
mod previews;
mod releases;
mod returns;
mod shares;
mod suspects;
mod usage;

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
    ColdAllowance, ColdEndpoints, DomainDrains, DomainRelays, EndpointBackoffs, EndpointListing,
    EndpointProcess, EndpointTable, LeavingQueue, LengthShares, ListingLog, OrganisationShares,
    OutlierEvent, PartLedger, PauseDetector, PeerLiveness, PoolFlow, QueueKind, RateLimits,
    RefusalLog, RelayCandidate, RequestFingerprint, RetryShareSettings, ReturnSchedule,
    SlowdownTracker, StopPlan, SuspectLedger, TeamBookings, TrafficConfig, WaitingQueue,
    WatcherSelection, WorkLedger, prelude::*,
};
use lovagedock_daemon::ProcessClock;
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::{
    sync::{Notify, futures::Notified, watch},
    time::{sleep, sleep_until},
};
use xxhash_rust::xxh3::xxh3_64;

use self::fleet_state::FleetState;

use super::{
    body_memory::BodyMemory,
    fleet_tag::FleetTag,
    log_limiter::LogLimiter,
    output_memory::OutputMemory,
    settings::{DEFAULT_HOST_MEMORY_MB, OverloadSettings},
    sheet_writes::SheetWrites,
};

pub(crate) use bookings::BookingGuard;
pub(crate) use helper_speeds::TeamTiming;
pub(crate) use listing::EndpointsSnapshot;
pub(crate) use placement::{PlacedRequest, PlacementResult, PlacementThreshold, RejectedChoice};
pub(crate) use returns::{Refusal, ReturnAdvice};

/// Steps of the delay after which a gateway uses slots that a peer has freed. A step is longer than
/// it takes to receive a peer's update about a new request.
const SLOT_DELAY_STEP: Duration = Duration::from_millis(20);
const SLOT_DELAY_STEPS: u32 = 5;

/// Time between two ticks, which look for silent peers and for endpoints that may be tried again.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start of the process for which callers wait until the gateway knows the fleet. Later,
/// it has no source of its state, and they are refused at once.
const START_TIME: Duration = Duration::from_millis(1500);

/// Time between two checks whether the gateway knows the fleet.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time until a claim for a cold endpoint has reached all gateways.
const COLD_CLAIM_TIME: Duration = Duration::from_millis(200);

/// Source of a change in log lines if it came from the platform's store.
pub(super) const STORE_SOURCE: &str = "store";

/// Returns a random slot delay for this gateway, so that gateways differ.
fn slot_delay() -> Duration {
    SLOT_DELAY_STEP * rand::random_range(1..=SLOT_DELAY_STEPS)
}

/// Shared state of a gateway.
///
/// Lock order: `fleet` is the only lock and is never held across a wait.
pub(crate) struct GatewayState {
    /// Name of the gateway.
    pub(crate) name: GatewayId,
    /// Failure domain and capacity of the gateway's host.
    pub(crate) candidate: RelayCandidate,
    /// Tag of the fleet to which the gateway belongs.
    pub(crate) fleet_tag: FleetTag,
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// The current configuration.
    config: ArcSwapOption<TrafficConfig>,
    fleet: Mutex<FleetState>,
    /// Wakes requests that wait for a placement.
    capacity_changed: Notify,
    /// Wakes the task that sends updates to peers, to send at once.
    pub(crate) urgent_update: Notify,
    /// Wakes the same task, to send after a short delay.
    pub(crate) deferred_update: Notify,
    /// Wakes requests that wait behind others in a queue.
    queue_advanced: Notify,
    /// Wakes requests whose endpoint may have restarted.
    endpoint_restarted: Notify,
    /// Wakes requests that may be in quarantine now.
    request_quarantined: Notify,
    /// Wakes the tasks that have to write this gateway's objects to the store again.
    store_restored: Notify,
    /// Wakes the task that writes suspects to the store.
    pub(crate) suspects_changed: Notify,
    /// Writes of the suspects that operators wait for.
    pub(crate) sheet_writes: SheetWrites,
    /// Wakes the same task to read the suspects that other gateways have written.
    pub(crate) suspects_read_requested: Notify,
    /// Wakes requests that wait for this read.
    pub(crate) suspects_read: Notify,
    endpoints_listed: AtomicBool,
    suspects_requested: AtomicBool,
    peers_consulted: AtomicBool,
    announce_pending: AtomicBool,
    gateways_listed: AtomicBool,
    serving_peer_heard: AtomicBool,
    /// Whether the store has told of a change that peers do not know yet.
    store_news: AtomicBool,
    store_reachable: AtomicBool,
    stopping: watch::Sender<Option<StopPlan>>,
    /// Which decisions under overload are switched on.
    pub(crate) overload: OverloadSettings,
    /// Memory for data that callers and endpoints have not read yet.
    pub(crate) output: OutputMemory,
    /// Memory for request bodies.
    pub(crate) bodies: BodyMemory,
    /// Limits the number of log lines about requests.
    pub(crate) log_limiter: LogLimiter,
    /// Logger of the process.
    pub(crate) log: Logger,
}

impl GatewayState {
    /// Creates the state of a gateway that knows no configuration and no endpoints.
    pub(crate) fn new(
        name: GatewayId,
        relays: DomainRelays,
        fleet_tag: FleetTag,
        clock: ProcessClock,
        retries: RetryShareSettings,
        cold_allowance: Option<ColdAllowance>,
        log: Logger,
    ) -> Self {
        let rate_limits = RateLimits::new(name.clone());
        let cold_limits = RateLimits::new(name.clone()).with_claim_time(COLD_CLAIM_TIME);
        let candidate = relays.candidate().clone();
        let part_rank = xxh3_64(name.as_bytes());
        Self {
            name,
            candidate,
            fleet_tag,
            clock,
            config: ArcSwapOption::empty(),
            fleet: Mutex::new(FleetState {
                endpoints: EndpointTable::new(),
                ledger: WorkLedger::new().with_slot_delay(slot_delay()),
                lengths: LengthShares::new(),
                unsent_lengths: Vec::new(),
                bookings: TeamBookings::new(),
                bookings_changed: false,
                slowdowns: SlowdownTracker::new(),
                helper_speeds: HashMap::new(),
                services: HashMap::new(),
                peers: HashMap::new(),
                peer_tags: HashMap::new(),
                relays,
                retries,
                refusals: RefusalLog::new(),
                shares: OrganisationShares::new(),
                flow: PoolFlow::new().with_phase(rand::random()),
                returns: ReturnSchedule::new(),
                suspects: SuspectLedger::new(),
                parts: PartLedger::new().with_rank(part_rank),
                releases: Default::default(),
                peer_liveness: PeerLiveness::new(),
                watcher_selection: WatcherSelection::new(),
                pause_detector: PauseDetector::new(),
                listing: EndpointListing::new(),
                listing_log: ListingLog::new(),
                rate_limits,
                drains: DomainDrains::new(),
                cold: ColdEndpoints::new(),
                cold_profiles: HashMap::new(),
                cold_limits,
                cold_allowance,
                backoffs: EndpointBackoffs::new(),
                leaving_queue: LeavingQueue::new(),
                store_era: None,
            }),
            capacity_changed: Notify::new(),
            urgent_update: Notify::new(),
            deferred_update: Notify::new(),
            queue_advanced: Notify::new(),
            endpoint_restarted: Notify::new(),
            request_quarantined: Notify::new(),
            store_restored: Notify::new(),
            suspects_changed: Notify::new(),
            sheet_writes: SheetWrites::new(),
            suspects_read_requested: Notify::new(),
            suspects_read: Notify::new(),
            endpoints_listed: AtomicBool::new(false),
            suspects_requested: AtomicBool::new(false),
            peers_consulted: AtomicBool::new(false),
            announce_pending: AtomicBool::new(false),
            gateways_listed: AtomicBool::new(false),
            serving_peer_heard: AtomicBool::new(false),
            store_news: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            stopping: watch::Sender::new(None),
            overload: OverloadSettings::default(),
            output: OutputMemory::new(clock, None),
            bodies: BodyMemory::new(clock, DEFAULT_HOST_MEMORY_MB),
            log_limiter: LogLimiter::new(),
            log,
        }
    }

    /// Switches on decisions under overload.
    pub(crate) fn with_overload(mut self, overload: OverloadSettings) -> Self {
        self.output = OutputMemory::new(self.clock, overload.output_memory_mb);
        self.overload = overload;
        self
    }

    /// Sets the memory of the host, in megabytes.
    pub(crate) fn with_host_memory(mut self, megabytes: f64) -> Self {
        self.bodies = BodyMemory::new(self.clock, megabytes);
        self
    }

    /// Returns the current configuration, if any.
    pub(crate) fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.load_full()
    }

    /// Returns the configuration for serving callers. It is available after
    /// [`set_peers_consulted`](Self::set_peers_consulted), and once the drained failure domains are
    /// known.
    pub(crate) fn trusted_config(&self) -> Option<Arc<TrafficConfig>> {
        let is_trusted =
            self.peers_consulted.load(Ordering::Relaxed) && self.fleet.lock().drains.is_known();
        self.config().filter(|_| is_trusted)
    }

    /// Applies a configuration if it is newer than the current one, and returns whether it was.
    ///
    /// Versions never decrease: a delayed read, or a peer, may return an older one.
    pub(crate) fn apply_config(&self, config: Arc<TrafficConfig>, source: &str) -> bool {
        let known = self.config().map_or(0, |known| known.version);
        if self.config.load().is_some() && config.version <= known {
            return false;
        }
        info!(self.log, "configuration in force";
            "version" => config.version, "before" => known, "source" => source,
            "routes" => config.route_count(), "services" => config.services.len());
        self.apply_cold_profiles(&config);
        self.config.store(Some(config));
        if source == STORE_SOURCE {
            self.set_store_news();
        }
        self.urgent_update.notify_one();
        true
    }

    /// Records that the store has told of a change, of which peers have to be told at once.
    pub(super) fn set_store_news(&self) {
        self.store_news.store(true, Ordering::Relaxed);
    }

    /// Returns whether the store has told of a change since the last call.
    pub(crate) fn take_store_news(&self) -> bool {
        self.store_news.swap(false, Ordering::Relaxed)
    }

    /// Returns whether endpoints have been listed once.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.endpoints_listed.load(Ordering::Relaxed)
    }

    /// Returns whether the drained failure domains are known.
    pub(crate) fn has_drains(&self) -> bool {
        self.fleet.lock().drains.is_known()
    }

    /// Records that endpoints have been listed once.
    pub(crate) fn set_endpoints_listed(&self) {
        self.endpoints_listed.store(true, Ordering::Relaxed);
    }

    /// Records that the suspects in the store were requested once, with or without a response.
    pub(crate) fn set_suspects_requested(&self) {
        self.suspects_requested.store(true, Ordering::Relaxed);
    }

    /// Records that peers had time to report a newer configuration than the store has.
    pub(crate) fn set_peers_consulted(&self) {
        self.peers_consulted.store(true, Ordering::Relaxed);
    }

    /// Records whether the last call to the store succeeded.
    pub(crate) fn set_store_reachable(&self, reachable: bool) {
        self.store_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Returns whether the last call to the store succeeded.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Starts the stop of the gateway. Further calls have no effect.
    pub(crate) fn set_stopping(&self, plan: StopPlan) {
        self.stopping.send_if_modified(|stopping| {
            let is_first = stopping.is_none();
            stopping.get_or_insert(plan);
            is_first
        });
    }

    /// Returns the stop plan if the gateway is stopping.
    pub(crate) fn stop_plan(&self) -> Option<StopPlan> {
        *self.stopping.borrow()
    }

    /// Returns whether the gateway is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_plan().is_some()
    }

    /// Waits until the gateway has been asked to stop.
    pub(crate) async fn wait_for_stop_request(&self) -> StopPlan {
        let mut plans = self.stopping.subscribe();
        loop {
            if let Some(plan) = *plans.borrow_and_update() {
                return plan;
            }
            // The sender is a field of `self`, so the channel cannot close meanwhile.
            let _ = plans.changed().await;
        }
    }

    /// Waits until the gateway has been asked to stop and the time for its requests has passed.
    pub(crate) async fn wait_for_stop_end(&self) {
        let plan = self.wait_for_stop_request().await;
        sleep_until(self.clock.instant_at(plan.ends_at()).into()).await;
    }

    /// Returns whether the gateway accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        // A restarted gateway without the suspects would send a crashing request to further engines.
        let has_suspects = self.suspects_requested.load(Ordering::Relaxed);
        self.knows_fleet() && has_suspects && !self.is_stopping()
    }

    /// Waits while the gateway has just started and does not know the fleet yet.
    ///
    /// If all gateways start at once, the balancer sends to those that are not ready, too. A caller
    /// that is refused comes back later than the gateway needs to be ready.
    pub(crate) async fn wait_for_start(&self) {
        while self.clock.now() < START_TIME && !self.knows_fleet() {
            sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Returns whether requests can be placed: the configuration, the endpoints and the drained
    /// domains are known.
    pub(crate) fn knows_fleet(&self) -> bool {
        self.has_endpoints() && self.trusted_config().is_some()
    }

    /// Waits for a change that may free capacity.
    pub(crate) fn capacity_changed(&self) -> Notified<'_> {
        self.capacity_changed.notified()
    }

    /// Waits until a request leaves a waiting queue.
    pub(crate) fn queue_advanced(&self) -> Notified<'_> {
        self.queue_advanced.notified()
    }

    /// Notifies waiting requests that a request has left a waiting queue.
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

    /// Returns whether a request was refused recently, by this gateway or a peer.
    pub(crate) fn is_return(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.clock.now();
        self.fleet.lock().refusals.is_return(now, fingerprint)
    }

    /// Drops silent peers and readmits ejected endpoints whose ejection has ended.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if let Some(pause) = fleet.pause_detector.record_tick(now, TICK_INTERVAL) {
            fleet.relays.record_pause(now);
            drop(fleet);
            metrics::counter!("lovagedock_stoppages_total").increment(1);
            info!(self.log, "the process was stopped"; "ms" => pause.as_millis() as u64);
            return;
        }
        let silent = fleet.ledger.forget_silent(now);
        for peer in &silent {
            fleet.bookings.forget_peer(peer);
            fleet.rate_limits.forget_peer(now, peer);
            fleet.cold_limits.forget_peer(now, peer);
        }
        fleet.tick_limits(now);
        let ended_backoffs = fleet.backoffs.take_ended(now);
        fleet.ledger.forget_unlisted(now);
        fleet.suspects.forget_old(now);
        fleet.parts.forget_old(now);
        let applied = fleet.endpoints.apply_deferred(now);
        for (endpoint, change) in &applied {
            fleet.apply_change(now, &endpoint.service, endpoint.process.id.clone(), change);
        }
        let gateways = fleet.gateway_count(now);
        for service in fleet.services.values_mut() {
            service.retries.set_gateway_count(now, gateways);
            let actions = service.outliers.handle(now, OutlierEvent::Tick);
            service.apply(actions, &self.log);
        }
        drop(fleet);
        for (endpoint, change) in &applied {
            self.log_entry_change(endpoint, change);
        }
        self.settle_listing();
        self.settle_drains();
        self.tick_shares();
        self.report_helper_changes(None);
        self.log_ended_backoffs(&ended_backoffs);
        for peer in silent {
            info!(self.log, "peer silent"; "peer" => &*peer);
        }
    }

    /// Returns how much longer placements have to wait for peer updates after a pause of the
    /// process.
    pub(crate) fn placement_delay(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.fleet
            .lock()
            .pause_detector
            .remaining_wait(now, TICK_INTERVAL)
    }

    /// Changes the retry limits that all gateways share.
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

    /// Consumes a retry of a service's share. Returns whether one was available.
    pub(crate) fn try_consume_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.fleet
            .lock()
            .service(now, service)
            .retries
            .try_consume(now)
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

    /// Records the time between two events of an engine's response.
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

    /// Returns when an endpoint last sent anything to this gateway, or zero if it never did.
    pub(crate) fn last_activity(&self, service: &ServiceId, endpoint: &EndpointId) -> Timestamp {
        let fleet = self.fleet.lock();
        let state = fleet.services.get(service);
        let last_activity = state.and_then(|state| state.last_activity.get(endpoint));
        last_activity.copied().unwrap_or_default()
    }

    /// Records an outlier event of an endpoint.
    ///
    /// Requests that failed with a former process may end after the next process has started. If
    /// they were counted against the next process, they would eject an endpoint that has not
    /// failed.
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

    /// Calls `work` with the waiting queue of a service.
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
