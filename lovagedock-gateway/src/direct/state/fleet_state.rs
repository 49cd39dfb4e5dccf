//! State of the fleet, protected by one lock.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use lovagedock::{
    BookedTeam, ColdAllowance, ColdEndpoints, ColdProfile, DirectEndpoint, DomainDrains,
    DomainRelays, EndpointBackoffs, EndpointListing, EndpointProcess, EndpointTable, EntryChange,
    HelperSpeeds, LeavingQueue, LengthOutcome, LengthShares, ListingLog, OrganisationShares,
    OutlierAction, OutlierDetector, OutlierEvent, OutlierSettings, PartLedger, PauseDetector,
    PeerLiveness, PlacerCandidate, PoolFlow, PoolSlots, QueueKind, RateLimits, RateVerdict,
    RefusalLog, ReleaseNotices, RetryShare, RetryShareSettings, ReturnSchedule, SlowdownTracker,
    SuspectLedger, TeamBookings, WaitingQueue, WatcherSelection, WorkLedger, max_kept_endpoints,
    prelude::*, short_lane_size,
};
use lovagedock_platform::GatewayEntry;
use slog::{Logger, info};

use crate::direct::peer_message::GatewayTag;

/// Limits for the ejection of endpoints. Two failures in a row are rare for a healthy endpoint
/// (0.4% of requests fail by themselves), and an ejection of about a second is short compared with
/// a restart. At most a third of the pool may be ejected, the largest part that operators lose at
/// once.
const OUTLIER_SETTINGS: OutlierSettings = OutlierSettings {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(1500),
    max_ejection: Duration::from_secs(6),
    max_ejected_percent: 34,
    probe_timeout: Duration::from_secs(2),
    reset_after: Duration::from_secs(20),
};

pub(super) struct FleetState {
    pub(super) endpoints: EndpointTable,
    pub(super) ledger: WorkLedger,
    /// Shares of long prompts that are started, by length.
    pub(super) lengths: LengthShares,
    /// Outcomes of this gateway's long prompts that were not sent to peers yet.
    pub(super) unsent_lengths: Vec<LengthOutcome>,
    pub(super) bookings: TeamBookings,
    /// Whether a booking of this gateway has changed since the last message to peers.
    pub(super) bookings_changed: bool,
    pub(super) slowdowns: SlowdownTracker,
    /// Speeds of helpers by service; empty if they are not measured.
    pub(super) helper_speeds: HashMap<ServiceId, HelperSpeeds>,
    pub(super) services: HashMap<ServiceId, ServiceState>,
    pub(super) peers: HashMap<GatewayId, GatewayEntry>,
    /// Known other gateways by the short form of their names.
    pub(super) peer_tags: HashMap<GatewayTag, GatewayId>,
    pub(super) relays: DomainRelays,
    pub(super) retries: RetryShareSettings,
    pub(super) refusals: RefusalLog,
    /// Demand of organisations and their shares.
    pub(super) shares: OrganisationShares,
    /// Arrivals and starts over all gateways.
    pub(super) flow: PoolFlow,
    /// Scheduled returns of refused requests.
    pub(super) returns: ReturnSchedule,
    pub(super) suspects: SuspectLedger,
    pub(super) parts: PartLedger,
    pub(super) releases: ReleaseNotices,
    pub(super) peer_liveness: PeerLiveness,
    pub(super) watcher_selection: WatcherSelection,
    pub(super) pause_detector: PauseDetector,
    pub(super) listing: EndpointListing,
    pub(super) listing_log: ListingLog,
    pub(super) rate_limits: RateLimits,
    /// Failure domains to whose endpoints nothing may be sent.
    pub(super) drains: DomainDrains,
    /// Endpoints that tolerate only a low request rate.
    pub(super) cold: ColdEndpoints,
    /// Rates that services declare for cold endpoints.
    pub(super) cold_profiles: HashMap<ServiceId, ColdProfile>,
    /// Limits of cold endpoints, besides those that endpoints advertise.
    pub(super) cold_limits: RateLimits,
    /// `None` if cold endpoints need no protection.
    pub(super) cold_allowance: Option<ColdAllowance>,
    pub(super) backoffs: EndpointBackoffs,
    pub(super) leaving_queue: LeavingQueue,
    /// Latest reported era of the store.
    pub(super) store_era: Option<StoreEra>,
}

pub(super) struct ServiceState {
    pub(super) outliers: OutlierDetector,
    pub(super) ejected: HashSet<EndpointId>,
    /// When each endpoint last sent anything.
    pub(super) last_activity: HashMap<EndpointId, Timestamp>,
    pub(super) retries: RetryShare,
    /// Waiting queues by kind.
    pub(super) queues: [WaitingQueue; QueueKind::ALL.len()],
}

impl FleetState {
    pub(super) fn service(&mut self, now: Timestamp, id: &ServiceId) -> &mut ServiceState {
        let retries = self.retries;
        let gateways = self.gateway_count(now);
        self.services
            .entry(id.clone())
            .or_insert_with(|| ServiceState {
                outliers: OutlierDetector::new(OUTLIER_SETTINGS),
                ejected: HashSet::new(),
                last_activity: HashMap::new(),
                retries: RetryShare::new(now, retries, gateways),
                queues: QueueKind::ALL.map(|kind| WaitingQueue::new(kind.settings())),
            })
    }

    /// Returns the number of gateways that share limits, this one included.
    pub(super) fn gateway_count(&self, now: Timestamp) -> usize {
        let reachable = self.peer_liveness.count(now).reachable;
        reachable.max(self.ledger.peer_count() + 1)
    }

    /// Applies an entry. If it replaces a process, all state of the former process is dropped.
    pub(super) fn apply_entry(&mut self, now: Timestamp, endpoint: DirectEndpoint) -> EntryChange {
        let service = endpoint.service.clone();
        let id = endpoint.process.id.clone();
        let change = self.endpoints.insert(now, endpoint);
        self.apply_change(now, &service, id, &change);
        change
    }

    /// Applies an entry from a store that was restored from an earlier copy.
    pub(super) fn apply_restored_entry(
        &mut self,
        now: Timestamp,
        endpoint: DirectEndpoint,
    ) -> EntryChange {
        let service = endpoint.service.clone();
        let id = endpoint.process.id.clone();
        let change = self.endpoints.insert_restored(now, endpoint);
        self.apply_change(now, &service, id, &change);
        change
    }

    pub(super) fn apply_change(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        id: EndpointId,
        change: &EntryChange,
    ) {
        if let EntryChange::Restarted(former) = change {
            self.ledger.forget_process(&former.process);
            self.rate_limits.forget(&former.process);
            self.cold_limits.forget(&former.process);
            self.cold.forget(&former.process);
            self.backoffs.forget(&former.process);
            self.forget_endpoint_health(now, former);
        }
        if let Some(endpoint) = self.endpoints.get(&id).cloned() {
            self.ledger.record_listed(&endpoint.process);
            self.record_cold(now, &endpoint);
        }
        let joined = OutlierEvent::Joined(id);
        self.service(now, service).outliers.handle(now, joined);
    }

    pub(super) fn forget_endpoint(&mut self, now: Timestamp, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.ledger.record_unlisted(now, &endpoint.process);
            self.forget_endpoint_health(now, &endpoint);
        }
    }

    /// Returns whether load that a peer reports for this process is counted.
    pub(super) fn accepts_peer_load(&self, process: &EndpointProcess) -> bool {
        if self.endpoints.is_replaced(process) {
            return false;
        }
        self.ledger.contains(process) || !self.endpoints.is_unlisted(process)
    }

    fn forget_endpoint_health(&mut self, now: Timestamp, endpoint: &DirectEndpoint) {
        let id = &endpoint.process.id;
        self.slowdowns.forget(&endpoint.process);
        if let Some(speeds) = self.helper_speeds.get_mut(&endpoint.service) {
            speeds.forget(&endpoint.process);
        }
        let state = self.service(now, &endpoint.service);
        state.ejected.remove(id);
        state.last_activity.remove(id);
        state.outliers.handle(now, OutlierEvent::Left(id.clone()));
    }

    /// Updates the shares of rate limits for the current set of gateways, and forgets malformed
    /// delays of endpoints that are no longer listed.
    pub(super) fn tick_limits(&mut self, now: Timestamp) {
        let count = self.peer_liveness.count(now);
        let endpoints = &self.endpoints;
        self.rate_limits
            .tick(now, count, |process| endpoints.is_current(process));
        self.cold_limits
            .tick(now, count, |process| endpoints.is_current(process));
        self.backoffs
            .forget_unlisted_malformed(|process| endpoints.is_current(process));
    }

    /// Records demand for the rate-limited endpoints of a service. Returns whether peers must be
    /// notified.
    pub(super) fn record_demand(&mut self, now: Timestamp, service: &ServiceId) -> bool {
        let limited: Vec<EndpointProcess> = self
            .rate_limits
            .limited()
            .chain(self.cold_limits.limited())
            .map(|(process, _)| process)
            .filter(|process| self.endpoints.is_current(process))
            .filter(|process| {
                self.endpoints
                    .get(&process.id)
                    .is_some_and(|known| known.service == *service)
            })
            .cloned()
            .collect();
        let mut is_new = false;
        for process in &limited {
            is_new |= self.rate_limits.record_demand(now, process);
            is_new |= self.cold_limits.record_demand(now, process);
        }
        is_new
    }

    /// Returns the maximum number of endpoints of a service that are kept for booked teams.
    pub(super) fn max_kept(&self, service: &ServiceId) -> usize {
        let mut pool = LaneDemand::default();
        for endpoint in self.endpoints.ready(service) {
            if !self.drains.is_drained(&endpoint.domain) {
                pool.add(endpoint, self.ledger.short_count(&endpoint.process));
            }
        }
        pool.max_kept()
    }

    /// Finds endpoints with a free slot.
    ///
    /// The first endpoints of the list, the short lane, are reserved for short prompts. All gateways
    /// list endpoints in the same order and receive each other's load, so they agree on these
    /// endpoints except for short intervals.
    pub(super) fn search(
        &self,
        now: Timestamp,
        service: &ServiceId,
        excluded: &[EndpointProcess],
        booked: Option<BookedTeam>,
    ) -> EndpointSearch<'_> {
        let ejected = self.services.get(service).map(|state| &state.ejected);
        let helper_speeds = self.helper_speeds.get(service);
        let mut candidates = Vec::new();
        let mut positions = Vec::new();
        let mut found = false;
        let mut is_drained = false;
        let mut next_available_at: Option<Timestamp> = None;
        let mut pool = LaneDemand::default();
        let mut slots = PoolSlots::default();
        for endpoint in self.endpoints.ready(service) {
            if self.drains.is_drained(&endpoint.domain) {
                is_drained = true;
                continue;
            }
            let (mut load, short) = self.ledger.load_with_short_count(now, &endpoint.process);
            let verdict = self.rate_limits.verdict(now, &endpoint.process);
            // Rate-limited endpoints accept too few requests to be part of the short lane.
            let position = (verdict == RateVerdict::Unlimited).then_some(pool.endpoints);
            match position {
                Some(_) => pool.add(endpoint, short),
                None => pool.short += short,
            }
            let cold_verdict = self.cold_limits.verdict(now, &endpoint.process);
            let limits = [verdict, cold_verdict];
            let limited_until = limits.iter().filter_map(RateVerdict::limited_until).max();
            let available_at = self
                .backoffs
                .backoff_end(now, &endpoint.process)
                .max(limited_until);
            if let Some(at) = available_at {
                next_available_at = Some(next_available_at.map_or(at, |next| next.min(at)));
                continue;
            }
            if excluded.contains(&endpoint.process) {
                continue;
            }
            if ejected.is_some_and(|ejected| ejected.contains(&endpoint.process.id)) {
                continue;
            }
            found = true;
            slots.add(endpoint.slots, load.occupied);
            load.slowdown = load
                .slowdown
                .max(self.slowdowns.slowdown(now, &endpoint.process) as f32);
            if let Some(speeds) = helper_speeds {
                let slowdown = speeds.slowdown(now, &endpoint.process);
                load.slowdown = load.slowdown.max(slowdown as f32);
            }
            if load.occupied < endpoint.slots {
                candidates.push(PlacerCandidate {
                    endpoint,
                    load,
                    rank: 0.0,
                    short_lane: false,
                    is_kept: false,
                    may_help: position.is_some(),
                    draw: rand::random(),
                });
                positions.push(position);
            }
        }
        let lane = pool.short_lane();
        let kept = self
            .bookings
            .kept_from(now, booked.map(|team| team.key))
            .min(pool.max_kept());
        for (candidate, position) in candidates.iter_mut().zip(positions) {
            candidate.rank =
                position.map_or(1.0, |position| position as f64 / pool.endpoints as f64);
            candidate.short_lane = position.is_some_and(|position| position < lane);
            candidate.is_kept = position.is_some_and(|position| position + kept >= pool.endpoints);
        }
        match (found, next_available_at) {
            (true, _) => EndpointSearch::Found(candidates, slots),
            (false, Some(until)) => EndpointSearch::Unavailable { until },
            (false, None) if is_drained && pool.endpoints == 0 => EndpointSearch::Drained,
            (false, None) => EndpointSearch::NoEndpoint,
        }
    }
}

/// Result of a search for endpoints.
pub(super) enum EndpointSearch<'a> {
    /// Endpoints with a free slot, empty if all are full, and the slots of all that accept work.
    Found(Vec<PlacerCandidate<'a>>, PoolSlots),
    /// All endpoints are rate limited or in backoff, at least until this time.
    Unavailable { until: Timestamp },
    /// All endpoints of the service are in drained failure domains.
    Drained,
    /// The service has no endpoint that accepts work.
    NoEndpoint,
}

/// Inputs for the size of the short lane.
#[derive(Default)]
pub(super) struct LaneDemand {
    /// Requests with short prompts from all gateways.
    short: u32,
    /// Number of slots of the largest endpoint.
    slots: u32,
    endpoints: usize,
}

impl LaneDemand {
    /// Adds an endpoint that may be part of the lane, and the requests with short prompts on it.
    pub(super) fn add(&mut self, endpoint: &DirectEndpoint, short: u32) {
        self.short += short;
        self.slots = self.slots.max(endpoint.slots);
        self.endpoints += 1;
    }

    /// Returns the maximum number of endpoints that are kept for booked teams.
    pub(super) fn max_kept(&self) -> usize {
        max_kept_endpoints(self.endpoints - self.short_lane())
    }

    /// Returns the number of endpoints of the short lane.
    pub(super) fn short_lane(&self) -> usize {
        short_lane_size(self.short, self.slots, self.endpoints)
    }
}

impl ServiceState {
    pub(super) fn apply(&mut self, actions: Vec<OutlierAction>, log: &Logger) {
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
