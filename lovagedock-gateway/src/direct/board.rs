//! What a gateway knows and has decided, shared by all its requests.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use lovagedock::{
    DirectChoice, DirectEndpoint, DirectPlacer, DirectRequest, EndpointTable, LineKind,
    OutlierDetector, OutlierEvent, OutlierSettings, PeerContact, PeerLoad, PlacedWork,
    PlacerCandidate, RefusalLog, RequestFingerprint, RetryShare, RetryShareSettings, StopPlan,
    TrafficConfig, WaitingLine, WatchDuty, WorkKey, WorkLedger, prelude::*, short_lane_size,
};
use lovagedock_daemon::ProcessClock;
use lovagedock_platform::{GatewayEntry, Revision};
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::sync::{Notify, futures::Notified};

use super::{journal::LineBudget, relay::EndpointsState};

/// When endpoints are ejected. Two failures in a row are rare while an endpoint is sound (0.4% of
/// requests fail by themselves), and a second of ejection is short against a restart; a third of
/// the pool may be out, the most that our operators lose at once.
const OUTLIERS: OutlierSettings = OutlierSettings {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(1500),
    max_ejection: Duration::from_secs(6),
    max_ejected_percent: 34,
    probe_timeout: Duration::from_secs(2),
    calm: Duration::from_secs(20),
};

/// Loss up to which a place is taken at once. Above it a request waits a moment for a better one:
/// it is about half a short request that comes late.
const WAIT_LOSS: f64 = 0.4;

/// Steps of the delay after which a gateway takes slots that a peer has freed; a step is longer than
/// it takes to hear of a peer's request.
const SLOT_DELAY_STEP: Duration = Duration::from_millis(20);
const SLOT_DELAY_STEPS: u32 = 5;

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
    /// Clock of the process.
    pub(crate) clock: ProcessClock,
    /// Configuration in force.
    config: ArcSwapOption<TrafficConfig>,
    fleet: Mutex<FleetState>,
    /// Wakes requests that wait for a place.
    changed: Notify,
    /// Wakes the task that tells peers.
    pub(crate) placed: Notify,
    listed: AtomicBool,
    store_reachable: AtomicBool,
    stopping: OnceLock<StopPlan>,
    /// Bounds lines about requests.
    pub(crate) lines: LineBudget,
    /// Log of the process.
    pub(crate) log: Logger,
}

struct FleetState {
    endpoints: EndpointTable,
    ledger: WorkLedger,
    services: HashMap<ServiceId, ServiceState>,
    peers: HashMap<GatewayId, GatewayEntry>,
    retries: RetryShareSettings,
    refusals: RefusalLog,
    duty: WatchDuty,
    endpoints_revision: Revision,
}

struct ServiceState {
    outliers: OutlierDetector,
    ejected: HashSet<EndpointId>,
    /// When an endpoint last sent anything.
    heard: HashMap<EndpointId, Timestamp>,
    retries: RetryShare,
    /// Waiting lines by kind.
    lines: [WaitingLine; LineKind::ALL.len()],
}

/// A request that has a place.
pub(crate) struct PlacedRequest {
    /// The endpoint that answers.
    pub(crate) lead: DirectEndpoint,
    /// Endpoints that read parts of the prompt.
    pub(crate) helpers: Vec<PlacedHelper>,
    /// Predicted time to the first event.
    pub(crate) first_event: Duration,
    /// Value that placement expects to lose.
    pub(crate) loss: f64,
    /// Requests on the endpoint before, over all gateways.
    pub(crate) occupied: u32,
    /// Reading that was placed there before, over all gateways.
    pub(crate) backlog: Duration,
    /// Keys of the work in the ledger.
    pub(crate) hold: WorkHold,
}

/// An endpoint that reads a part of a placed prompt.
#[derive(Clone, Debug)]
pub(crate) struct PlacedHelper {
    /// The endpoint.
    pub(crate) endpoint: DirectEndpoint,
    /// Tokens that it keeps and that have to be reserved.
    pub(crate) kept: TokenCount,
}

/// State of a service's endpoints at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSummary {
    /// Endpoints that take work, ejected ones included.
    pub(crate) ready: usize,
    /// Those of them that are ejected after failures.
    pub(crate) ejected: usize,
    /// Slots that are free, over all gateways.
    pub(crate) free_slots: u32,
    /// Requests that wait at this gateway.
    pub(crate) waiting: usize,
    /// Other gateways whose requests are counted; they were heard within 1.5 s.
    pub(crate) peers: usize,
}

/// What a search for a place found.
pub(crate) enum PlaceResult {
    /// A place.
    Placed(Box<PlacedRequest>),
    /// Every endpoint is full, or the only places would harm others; the predicted loss.
    Full,
    /// The service has no endpoint that takes work and was not tried.
    NoEndpoint,
}

/// Counts a request's work out of the ledger when it is dropped, however the request ends.
pub(crate) struct WorkHold {
    board: Arc<FleetBoard>,
    lead: WorkKey,
    helpers: Vec<WorkKey>,
    reading: bool,
}

impl WorkHold {
    /// Records that the prompt has been read; helpers are free then.
    pub(crate) fn finish_reading(&mut self) {
        if !std::mem::take(&mut self.reading) {
            return;
        }
        let now = self.board.clock.now();
        let mut fleet = self.board.fleet.lock();
        fleet.ledger.finish_reading(now, self.lead);
        for key in self.helpers.drain(..) {
            fleet.ledger.finish_reading(now, key);
            fleet.ledger.finish(now, key);
        }
        drop(fleet);
        self.board.note_change();
    }
}

impl Drop for WorkHold {
    fn drop(&mut self) {
        let now = self.board.clock.now();
        let mut fleet = self.board.fleet.lock();
        fleet.ledger.finish(now, self.lead);
        for key in self.helpers.drain(..) {
            fleet.ledger.finish(now, key);
        }
        drop(fleet);
        self.board.note_change();
    }
}

impl FleetBoard {
    /// A board of a gateway that knows nothing yet.
    pub(crate) fn new(
        name: GatewayId,
        clock: ProcessClock,
        retries: RetryShareSettings,
        log: Logger,
    ) -> Self {
        Self {
            name,
            clock,
            config: ArcSwapOption::empty(),
            fleet: Mutex::new(FleetState {
                endpoints: EndpointTable::new(),
                ledger: WorkLedger::new().with_slot_delay(slot_delay()),
                services: HashMap::new(),
                peers: HashMap::new(),
                retries,
                refusals: RefusalLog::new(),
                duty: WatchDuty::new(),
                endpoints_revision: 0,
            }),
            changed: Notify::new(),
            placed: Notify::new(),
            listed: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            stopping: OnceLock::new(),
            lines: LineBudget::new(),
            log,
        }
    }

    /// The configuration in force, if any is known.
    pub(crate) fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.load_full()
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

    /// Records whether the last call of the store succeeded.
    pub(crate) fn set_store_reachable(&self, reachable: bool) {
        self.store_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Whether the last call of the store succeeded.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records that a peer was heard.
    pub(crate) fn hear_contact(&self, peer: &GatewayId, store_reachable: bool) {
        let contact = PeerContact {
            heard_at: self.clock.now(),
            store_reachable,
        };
        self.fleet.lock().duty.hear(peer.clone(), contact);
    }

    /// Whether this gateway has to watch the store itself.
    pub(crate) fn watches(&self) -> bool {
        let now = self.clock.now();
        self.fleet.lock().duty.watches(now, &self.name)
    }

    /// Says that the gateway stops.
    pub(crate) fn set_stopping(&self, plan: StopPlan) {
        // A stop is asked for once; a second request changes nothing.
        let _ = self.stopping.set(plan);
    }

    /// How the gateway stops, if it does.
    pub(crate) fn stop_plan(&self) -> Option<StopPlan> {
        self.stopping.get().copied()
    }

    /// Whether the gateway drains.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether the gateway takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.load().is_some() && self.listed.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Waits for a change that may free a place.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    fn note_change(&self) {
        self.changed.notify_waiters();
        self.placed.notify_one();
    }

    /// Takes in an endpoint.
    pub(crate) fn endpoint_changed(&self, endpoint: DirectEndpoint) {
        let mut fleet = self.fleet.lock();
        let event = OutlierEvent::Joined(endpoint.id.clone());
        let now = self.clock.now();
        fleet
            .service(now, &endpoint.service)
            .outliers
            .handle(now, event);
        let text = endpoint_text(&endpoint);
        if fleet.endpoints.insert(endpoint) {
            info!(self.log, "endpoint listed"; "endpoint" => text);
        }
        drop(fleet);
        self.changed.notify_waiters();
    }

    /// Takes in that an endpoint's entry is gone.
    pub(crate) fn endpoint_gone(&self, id: &EndpointId) {
        let mut fleet = self.fleet.lock();
        fleet.forget_endpoint(self.clock.now(), id);
        drop(fleet);
        info!(self.log, "endpoint gone"; "endpoint" => &**id);
    }

    /// Everything that is known of endpoints.
    pub(crate) fn endpoints_state(&self) -> EndpointsState {
        let fleet = self.fleet.lock();
        EndpointsState {
            revision: fleet.endpoints_revision,
            endpoints: fleet.endpoints.all().cloned().collect(),
        }
    }

    /// Revision of the store up to which endpoints are known.
    pub(crate) fn endpoints_revision(&self) -> Revision {
        self.fleet.lock().endpoints_revision
    }

    /// Says up to which revision endpoints are known; an older one is refused.
    ///
    /// What a slow watch brings may be older than what a peer told: taken in, it would bring an
    /// endpoint back that has left.
    pub(crate) fn advance_endpoints(&self, revision: Revision) -> bool {
        let mut fleet = self.fleet.lock();
        let is_newer = revision >= fleet.endpoints_revision;
        if is_newer {
            fleet.endpoints_revision = revision;
        }
        drop(fleet);
        self.placed.notify_one();
        is_newer
    }

    /// Replaces all endpoints, unless newer ones are known.
    pub(crate) fn endpoints_listed(&self, revision: Revision, endpoints: Vec<DirectEndpoint>) {
        if !self.advance_endpoints(revision) {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let listed: HashSet<EndpointId> = endpoints.iter().map(|e| e.id.clone()).collect();
        let gone: Vec<EndpointId> = fleet
            .endpoints
            .all()
            .filter(|endpoint| !listed.contains(&endpoint.id))
            .map(|endpoint| endpoint.id.clone())
            .collect();
        for id in &gone {
            fleet.forget_endpoint(now, id);
        }
        drop(fleet);
        for id in gone {
            info!(self.log, "endpoint gone"; "endpoint" => &*id);
        }
        for endpoint in endpoints {
            self.endpoint_changed(endpoint);
        }
        self.set_listed();
    }

    /// Takes in a gateway.
    pub(crate) fn gateway_changed(&self, gateway: GatewayEntry) {
        if gateway.name == self.name {
            return;
        }
        let mut fleet = self.fleet.lock();
        let known = fleet.peers.insert(gateway.name.clone(), gateway.clone());
        drop(fleet);
        if known.as_ref() != Some(&gateway) {
            info!(self.log, "peer listed";
                "peer" => &*gateway.name, "address" => %gateway.address);
        }
    }

    /// Takes in that a gateway's entry is gone.
    pub(crate) fn gateway_gone(&self, name: &GatewayId) {
        let mut fleet = self.fleet.lock();
        fleet.peers.remove(name);
        fleet.ledger.forget_peer(name);
    }

    /// Other gateways that are known.
    pub(crate) fn peers(&self) -> Vec<GatewayEntry> {
        self.fleet.lock().peers.values().cloned().collect()
    }

    /// What this gateway has placed.
    pub(crate) fn own_loads(&self) -> Vec<(EndpointId, PeerLoad)> {
        let fleet = self.fleet.lock();
        let loads = fleet.ledger.own_loads();
        loads.map(|(id, load)| (id.clone(), load.clone())).collect()
    }

    /// Refusals that peers have not been told of.
    pub(crate) fn take_untold_refusals(&self) -> Vec<RequestFingerprint> {
        self.fleet.lock().refusals.take_untold()
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

    /// Takes in what a peer has placed and refused.
    pub(crate) fn hear(
        &self,
        peer: &GatewayId,
        loads: Vec<(EndpointId, PeerLoad)>,
        refused: Vec<RequestFingerprint>,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.ledger.hear(now, peer, loads);
        for fingerprint in refused {
            fleet.refusals.hear(now, fingerprint);
        }
        drop(fleet);
        self.changed.notify_waiters();
    }

    /// Forgets what a peer placed in its former life.
    pub(crate) fn forget_peer(&self, peer: &GatewayId) {
        self.fleet.lock().ledger.forget_peer(peer);
    }

    /// Forgets silent peers and lets ejected endpoints back whose time is over.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let silent = fleet.ledger.forget_silent(now);
        let gateways = fleet.ledger.peer_count() + 1;
        for service in fleet.services.values_mut() {
            service.retries.resize(now, gateways);
            let actions = service.outliers.handle(now, OutlierEvent::Tick);
            service.apply(actions, &self.log);
        }
        drop(fleet);
        for peer in silent {
            info!(self.log, "peer silent"; "peer" => &*peer);
        }
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

    /// What a refusal follows from, for the log.
    pub(crate) fn summary(&self, service: &ServiceId) -> PoolSummary {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let mut summary = PoolSummary::default();
        for endpoint in fleet.endpoints.ready(service) {
            let occupied = fleet.ledger.load(now, &endpoint.id).occupied;
            summary.ready += 1;
            summary.free_slots += endpoint.slots.saturating_sub(occupied);
        }
        summary.peers = fleet.ledger.peer_count();
        let state = fleet.service(now, service);
        summary.ejected = state.ejected.len();
        summary.waiting = state.lines.iter().map(WaitingLine::len).sum();
        summary
    }

    /// Takes a retry of a service.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.fleet
            .lock()
            .service(now, service)
            .retries
            .try_take(now)
    }

    /// Records that an endpoint sent something.
    pub(crate) fn note_heard(&self, service: &ServiceId, endpoint: &EndpointId) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let heard = &mut fleet.service(now, service).heard;
        match heard.get_mut(endpoint) {
            Some(at) => *at = now,
            None => {
                heard.insert(endpoint.clone(), now);
            }
        }
    }

    /// When an endpoint last sent anything to this gateway.
    pub(crate) fn heard_at(&self, service: &ServiceId, endpoint: &EndpointId) -> Timestamp {
        let fleet = self.fleet.lock();
        let state = fleet.services.get(service);
        let heard = state.and_then(|state| state.heard.get(endpoint));
        heard.copied().unwrap_or_default()
    }

    /// Records what an endpoint did.
    pub(crate) fn watch(&self, service: &ServiceId, event: OutlierEvent) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let state = fleet.service(now, service);
        let actions = state.outliers.handle(now, event);
        state.apply(actions, &self.log);
    }

    /// Runs `work` on the waiting line of a service.
    pub(crate) fn with_line<T>(
        &self,
        service: &ServiceId,
        kind: LineKind,
        work: impl FnOnce(&mut WaitingLine) -> T,
    ) -> T {
        let now = self.clock.now();
        work(&mut self.fleet.lock().service(now, service).lines[kind as usize])
    }

    /// Looks for a place; `last` says that the request cannot wait for a better one.
    pub(crate) fn place(
        self: &Arc<Self>,
        config: &TrafficConfig,
        service: &ServiceId,
        request: &DirectRequest,
        excluded: &[EndpointId],
        kind: LineKind,
        last: bool,
    ) -> PlaceResult {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let profile = config.services.get(service).and_then(|s| s.engine.as_ref());
        let Some(search) = fleet.search(now, service, excluded) else {
            return PlaceResult::NoEndpoint;
        };
        let placer = DirectPlacer::new(profile);
        let Some(choice) = placer.place(request, &search) else {
            return PlaceResult::Full;
        };
        let acceptable = match last {
            true => choice.is_worth_starting(request),
            false => choice.harm <= WAIT_LOSS,
        };
        if !acceptable {
            return PlaceResult::Full;
        }
        let works = placer.works(request, &choice, &search);
        let placed = PlacedParts::new(&choice, &search);
        drop(search);
        let hold = self.hold(now, &mut fleet, works);
        let state = fleet.service(now, service);
        state.lines[kind as usize].record_start(now);
        let probe = OutlierEvent::ProbeSent(placed.lead.id.clone());
        let actions = state.outliers.handle(now, probe);
        state.apply(actions, &self.log);
        drop(fleet);
        self.placed.notify_one();
        PlaceResult::Placed(Box::new(PlacedRequest {
            lead: placed.lead,
            helpers: placed.helpers,
            first_event: choice.first_event,
            loss: choice.harm,
            occupied: placed.occupied,
            backlog: placed.backlog,
            hold,
        }))
    }

    fn hold(
        self: &Arc<Self>,
        now: Timestamp,
        fleet: &mut FleetState,
        works: Vec<PlacedWork>,
    ) -> WorkHold {
        let mut keys = works.into_iter().map(|work| fleet.ledger.place(now, work));
        let lead = keys.next().unwrap_or_default();
        WorkHold {
            board: Arc::clone(self),
            lead,
            helpers: keys.collect(),
            reading: true,
        }
    }
}

/// What is told of a choice after the search that it was made from is gone.
struct PlacedParts {
    lead: DirectEndpoint,
    helpers: Vec<PlacedHelper>,
    occupied: u32,
    backlog: Duration,
}

impl PlacedParts {
    fn new(choice: &DirectChoice, candidates: &[PlacerCandidate]) -> Self {
        let lead = &candidates[choice.lead];
        let helpers = choice.helpers.iter().map(|helper| PlacedHelper {
            endpoint: candidates[helper.index].endpoint.clone(),
            kept: helper.kept,
        });
        Self {
            lead: lead.endpoint.clone(),
            helpers: helpers.collect(),
            occupied: lead.load.occupied,
            backlog: lead.load.backlog,
        }
    }
}

impl FleetState {
    fn service(&mut self, now: Timestamp, id: &ServiceId) -> &mut ServiceState {
        let retries = self.retries;
        let gateways = self.ledger.peer_count() + 1;
        self.services
            .entry(id.clone())
            .or_insert_with(|| ServiceState {
                outliers: OutlierDetector::new(OUTLIERS),
                ejected: HashSet::new(),
                heard: HashMap::new(),
                retries: RetryShare::new(now, retries, gateways),
                lines: LineKind::ALL.map(|kind| WaitingLine::new(kind.settings())),
            })
    }

    fn forget_endpoint(&mut self, now: Timestamp, id: &EndpointId) {
        let Some(service) = self.endpoints.get(id).map(|e| e.service.clone()) else {
            return;
        };
        self.endpoints.remove(id);
        self.ledger.forget_endpoint(id);
        let state = self.service(now, &service);
        state.ejected.remove(id);
        state.heard.remove(id);
        state.outliers.handle(now, OutlierEvent::Left(id.clone()));
    }

    /// Endpoints, from the first, that are kept for short prompts. All gateways list endpoints in
    /// the same order and hear of each other's requests, so they agree but for the moment.
    fn short_lane(&self, service: &ServiceId) -> usize {
        let mut short = 0;
        let mut slots = 1;
        let mut endpoints = 0;
        for endpoint in self.endpoints.ready(service) {
            short += self.ledger.short_count(&endpoint.id);
            slots = slots.max(endpoint.slots);
            endpoints += 1;
        }
        short_lane_size(short, slots, endpoints)
    }

    /// Endpoints with a free slot; `None` when the service has none that takes work.
    fn search(
        &self,
        now: Timestamp,
        service: &ServiceId,
        excluded: &[EndpointId],
    ) -> Option<Vec<PlacerCandidate>> {
        let ejected = self.services.get(service).map(|state| &state.ejected);
        let mut candidates = Vec::new();
        let mut found = false;
        let lane = self.short_lane(service);
        for (position, endpoint) in self.endpoints.ready(service).enumerate() {
            if excluded.contains(&endpoint.id) {
                continue;
            }
            if ejected.is_some_and(|ejected| ejected.contains(&endpoint.id)) {
                continue;
            }
            found = true;
            let load = self.ledger.load(now, &endpoint.id);
            if load.occupied < endpoint.slots {
                let endpoint = endpoint.clone();
                candidates.push(PlacerCandidate {
                    endpoint,
                    load,
                    position,
                    short_lane: position < lane,
                });
            }
        }
        found.then_some(candidates)
    }
}

impl ServiceState {
    fn apply(&mut self, actions: Vec<lovagedock::OutlierAction>, log: &Logger) {
        for action in actions {
            info!(log, "endpoint admission";
                "endpoint" => &*action.endpoint, "ejected" => action.ejected,
                "cause" => ?action.cause);
            if action.ejected {
                self.ejected.insert(action.endpoint);
            } else {
                self.ejected.remove(&action.endpoint);
            }
        }
    }
}

fn endpoint_text(endpoint: &DirectEndpoint) -> String {
    format!(
        "{} {} {} {:?} {} slots",
        endpoint.id, endpoint.service, endpoint.address, endpoint.state, endpoint.slots
    )
}
