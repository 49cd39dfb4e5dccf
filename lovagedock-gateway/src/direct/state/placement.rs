//! Places requests and releases their work from the ledger.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    ClaimVerdict, DirectChoice, DirectEndpoint, DirectPlacer, DirectRequest, EndpointProcess,
    OutlierEvent, PlacedWork, PlacerCandidate, QueueKind, RateVerdict, SlotClaim, TeamPrediction,
    TrafficConfig, WaitingQueue, WorkKey, isolate_suspects, prelude::*,
};

use super::{
    BookingGuard, GatewayState,
    fleet_state::{EndpointSearch, FleetState, LaneDemand},
};

/// A request that has been placed.
pub(crate) struct PlacedRequest {
    service: ServiceId,
    queue: QueueKind,
    /// Time for which the endpoints are claimed before the request is sent, so that gateways that
    /// place in the same moment do not use the same ones.
    pub(crate) claim_time: Duration,
    /// Claim of a slot for a short prompt, if one is made.
    pub(crate) slot_claim: Option<SlotClaim>,
    /// The endpoint that responds.
    pub(crate) lead: DirectEndpoint,
    /// Endpoints that prefill parts of the prompt.
    pub(crate) helpers: Vec<PlacedHelper>,
    /// Predicted time to the first event.
    pub(crate) first_event_delay: Duration,
    /// Expected loss of the placement.
    pub(crate) loss: f64,
    /// Requests that were on the endpoint before, from all gateways.
    pub(crate) occupied: u32,
    /// Prefill time that was placed there before, by all gateways.
    pub(crate) backlog: Duration,
    /// Predicted times of the endpoints that share the prefill.
    pub(crate) prediction: TeamPrediction,
    /// Whether the endpoint has a rate limit and the request has consumed a token.
    pub(crate) is_admitted: bool,
    /// Whether the endpoint is cold and the request has consumed a token of its limit.
    pub(crate) is_cold_admitted: bool,
    /// Releases the work from the ledger when it is dropped.
    pub(crate) work: WorkGuard,
}

/// An endpoint that prefills a part of a prompt.
#[derive(Clone, Debug)]
pub(crate) struct PlacedHelper {
    /// The endpoint.
    pub(crate) endpoint: DirectEndpoint,
    /// Tokens that the helper stores and that have to be reserved.
    pub(crate) reserved_tokens: TokenCount,
}

/// State of a service's endpoints at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSummary {
    /// Endpoints that accept work, including ejected ones.
    pub(crate) ready: usize,
    /// Endpoints in drained failure domains, which would accept work otherwise.
    pub(crate) drained: usize,
    /// Of these, endpoints that are ejected after failures.
    pub(crate) ejected: usize,
    /// Of these, endpoints whose rate limit currently allows no request from this gateway.
    pub(crate) limited: usize,
    /// Of these, endpoints in a backoff period; they are not counted in `limited`.
    pub(crate) in_backoff: usize,
    /// Free slots, counting the load of all gateways.
    pub(crate) free_slots: u32,
    /// Endpoints that are reserved for short prompts.
    pub(crate) short_lane: usize,
    /// Endpoints with long prompts, or parts of them, that are not prefilled yet.
    pub(crate) prefilling: usize,
    /// Requests that wait at this gateway.
    pub(crate) waiting: usize,
    /// Other gateways whose requests are counted; each sent a message within 1.5 s.
    pub(crate) peers: usize,
}

/// Minimum quality of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PlacementThreshold {
    /// With a small lost value only, since the request can wait for a better placement.
    Selective {
        /// Fraction of the waiting time that has passed, from 0 to 1.
        waited_fraction: f64,
    },
    /// Worth starting, since the request cannot wait any longer.
    WorthStarting,
    /// Any placement, since an engine has already worked on the request and that work is lost
    /// otherwise.
    Any,
}

/// Why a placed request is not sent to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WithholdReason {
    /// The endpoint's rate limit, advertised after the placement, does not admit the request.
    RateLimited,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint is in a backoff period.
    Backoff,
    /// The failure domain of the endpoint or of a helper is drained.
    Drained,
}

impl WithholdReason {
    /// Label value in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::RateLimited => "limit",
            Self::Leaving => "leaving",
            Self::Backoff => "backoff",
            Self::Drained => "drained",
        }
    }
}

/// The best choice of a placement attempt, which was not good enough.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedChoice {
    /// Endpoints of the choice.
    pub(crate) team: usize,
    /// Predicted time to the first event.
    pub(crate) first_event_delay: Duration,
    /// Value that is expected to be lost.
    pub(crate) loss: f64,
    /// Endpoints that could help to prefill the prompt at once.
    pub(crate) idle: usize,
}

/// Returns the number of endpoints that could help to prefill a long prompt at once.
fn idle_count(candidates: &[PlacerCandidate<'_>]) -> usize {
    let is_idle = |candidate: &&PlacerCandidate<'_>| {
        candidate.load.is_idle() && candidate.may_help && !candidate.short_lane
    };
    candidates.iter().filter(is_idle).count()
}

/// Result of a placement attempt.
pub(crate) enum PlacementResult {
    /// The request was placed.
    Placed(Box<PlacedRequest>),
    /// Every endpoint is full, or no placement is good enough.
    Full(Option<RejectedChoice>),
    /// All endpoints are rate limited or in backoff, at least until this time.
    Unavailable { until: Timestamp },
    /// All endpoints of the service are in drained failure domains.
    Drained,
    /// The service has no endpoint that accepts work and was not tried already.
    NoEndpoint,
}

/// Releases a request's work from the ledger when it is dropped, however the request ends.
pub(crate) struct WorkGuard {
    state: Arc<GatewayState>,
    lead: WorkKey,
    helpers: Vec<WorkKey>,
    is_prefilling: bool,
    has_missed: bool,
    /// Keeps the endpoints that are booked for the request until its prompt is prefilled.
    booking: Option<BookingGuard>,
}

impl WorkGuard {
    fn keys(&self) -> impl Iterator<Item = WorkKey> {
        std::iter::once(self.lead).chain(self.helpers.iter().copied())
    }

    /// Keeps the endpoints that were booked for the request until its prompt is prefilled.
    pub(crate) fn keep_booking(&mut self, booking: BookingGuard) {
        booking.start();
        self.booking = Some(booking);
    }

    /// Records that the prompt has been prefilled. This releases the helpers.
    pub(crate) fn finish_prefill(&mut self) {
        if !std::mem::take(&mut self.is_prefilling) {
            return;
        }
        self.booking = None;
        let now = self.state.clock.now();
        let mut fleet = self.state.fleet.lock();
        fleet.ledger.finish_prefill(now, self.lead);
        for key in self.helpers.drain(..) {
            fleet.ledger.finish_prefill(now, key);
            fleet.ledger.finish(now, key);
        }
        drop(fleet);
        self.state.notify_work_ended();
    }

    /// Records that the request has missed an objective. Further gaps then cost no more value.
    pub(crate) fn record_missed_objective(&mut self) {
        if std::mem::replace(&mut self.has_missed, true) {
            return;
        }
        self.state
            .fleet
            .lock()
            .ledger
            .record_missed_objective(self.lead);
        self.state.notify_work_ended();
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut fleet = self.state.fleet.lock();
        fleet.ledger.finish(now, self.lead);
        for key in self.helpers.drain(..) {
            fleet.ledger.finish(now, key);
        }
        drop(fleet);
        self.state.notify_work_ended();
    }
}

impl GatewayState {
    /// Returns the state of the pool that led to a refusal, for the log.
    pub(crate) fn pool_summary(&self, service: &ServiceId) -> PoolSummary {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let mut summary = PoolSummary::default();
        let mut lane = LaneDemand::default();
        for endpoint in fleet.endpoints.ready(service) {
            if fleet.drains.is_drained(&endpoint.domain) {
                summary.drained += 1;
                continue;
            }
            let (load, short) = fleet.ledger.load_with_short_count(now, &endpoint.process);
            summary.ready += 1;
            summary.prefilling += usize::from(load.pending_prefills > 0);
            if fleet.backoffs.backoff_end(now, &endpoint.process).is_some() {
                summary.in_backoff += 1;
                continue;
            }
            if let RateVerdict::RateLimited { .. } =
                fleet.rate_limits.verdict(now, &endpoint.process)
            {
                summary.limited += 1;
                continue;
            }
            lane.add(endpoint, short);
            summary.free_slots += endpoint.slots.saturating_sub(load.occupied);
        }
        summary.short_lane = lane.short_lane();
        summary.peers = fleet.ledger.peer_count();
        let state = fleet.service(now, service);
        summary.ejected = state.ejected.len();
        summary.waiting = state.queues.iter().map(WaitingQueue::len).sum();
        summary
    }

    /// Tries to place a request.
    pub(crate) fn place(
        self: &Arc<Self>,
        config: &TrafficConfig,
        service: &ServiceId,
        request: &DirectRequest,
        excluded: &[EndpointProcess],
        kind: QueueKind,
        threshold: PlacementThreshold,
    ) -> PlacementResult {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let profile = config.services.get(service).and_then(|s| s.engine.as_ref());
        if fleet.record_demand(now, service) {
            self.urgent_update.notify_one();
        }
        let (mut candidates, pool) = match fleet.search(now, service, excluded, request.booked) {
            EndpointSearch::Found(candidates, pool) => (candidates, pool),
            EndpointSearch::Unavailable { until } => {
                return PlacementResult::Unavailable { until };
            }
            EndpointSearch::Drained => return PlacementResult::Drained,
            EndpointSearch::NoEndpoint => return PlacementResult::NoEndpoint,
        };
        if request.suspect {
            isolate_suspects(&mut candidates);
        }
        let concurrent = fleet.ledger.concurrent_placements(now);
        let placer = DirectPlacer::new(profile).with_concurrent_placements(concurrent);
        let placer = match self.overload.scheduled_returns {
            true => placer.with_pool(pool),
            false => placer,
        };
        let Some(choice) = placer.place(request, &candidates) else {
            return PlacementResult::Full(None);
        };
        let acceptable = match threshold {
            PlacementThreshold::Selective { waited_fraction } => {
                choice.is_acceptable(request, waited_fraction)
                    || choice.fills_booking(request, waited_fraction)
            }
            PlacementThreshold::WorthStarting => {
                placer.is_worth_starting(request, &choice) || choice.fills_booking(request, 1.0)
            }
            PlacementThreshold::Any => true,
        };
        if !acceptable {
            return PlacementResult::Full(Some(RejectedChoice {
                team: 1 + choice.helpers.len(),
                first_event_delay: choice.first_event,
                loss: choice.lost_value,
                idle: idle_count(&candidates),
            }));
        }
        let works = placer.placed_work(request, &choice, &candidates);
        let placed = PlacementDetails::new(&choice, &candidates);
        drop(candidates);
        let is_admitted =
            fleet.rate_limits.admit(now, &placed.lead.process) == RateVerdict::Admitted;
        let is_cold_admitted =
            fleet.cold_limits.admit(now, &placed.lead.process) == RateVerdict::Admitted;
        let work = self.claim_work(&mut fleet, works);
        let has_slot_claims = self.overload.placement_claims && placer.is_short_prompt(request);
        let slot_claim = has_slot_claims.then(|| SlotClaim {
            slots: placed.lead.slots,
            occupied: placed.occupied,
            alternatives: choice.alternatives,
            first_event: choice.first_event,
            prefill_time: choice.part_prefill_time,
            late_at: now + request.objective_left,
        });
        let claim_time = match &slot_claim {
            Some(claim) => claim.claim_time(now, concurrent, fleet.ledger.relay_delay()),
            None if placed.helpers.is_empty() => Duration::ZERO,
            None => fleet.ledger.claim_time(),
        };
        let placed = PlacedRequest {
            service: service.clone(),
            queue: kind,
            claim_time,
            slot_claim: slot_claim.filter(|_| !claim_time.is_zero()),
            lead: placed.lead,
            helpers: placed.helpers,
            first_event_delay: choice.first_event,
            loss: choice.lost_value,
            occupied: placed.occupied,
            backlog: placed.backlog,
            prediction: placed.prediction,
            is_admitted,
            is_cold_admitted,
            work,
        };
        if claim_time.is_zero() {
            self.record_start(now, &mut fleet, &placed);
        }
        drop(fleet);
        self.urgent_update.notify_one();
        PlacementResult::Placed(Box::new(placed))
    }

    /// Records that a placed request is being sent, unless an endpoint has got other work since the
    /// placement, or a gateway that goes first claims it. Returns whether the request may be sent.
    pub(crate) fn confirm_claims(&self, placed: &PlacedRequest) -> bool {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let ledger = &fleet.ledger;
        let is_lost = match &placed.slot_claim {
            Some(claim) => {
                let contention = ledger.slot_contention(now, &self.name, placed.work.lead);
                contention.verdict(now, claim) == ClaimVerdict::Lost
            }
            None => {
                let mut keys = placed.work.keys();
                keys.any(|key| ledger.is_claim_lost(now, &self.name, key))
            }
        };
        if is_lost {
            return false;
        }
        self.record_start(now, &mut fleet, placed);
        drop(fleet);
        self.urgent_update.notify_one();
        true
    }

    fn record_start(&self, now: Timestamp, fleet: &mut FleetState, placed: &PlacedRequest) {
        for key in placed.work.keys() {
            fleet.ledger.confirm(now, key);
        }
        let state = fleet.service(now, &placed.service);
        state.queues[placed.queue as usize].record_start(now);
        let probe = OutlierEvent::ProbeSent(placed.lead.process.id.clone());
        let actions = state.outliers.handle(now, probe);
        state.apply(actions, &self.log);
        self.record_flow_start(now, fleet, &placed.service, placed.queue);
    }

    /// Returns why a placed request must not be sent, or `None` if it may be. Since the placement,
    /// the endpoint may have advertised a limit, asked for a backoff, announced that it is leaving,
    /// or become cold, and its failure domain may have been drained.
    pub(crate) fn withheld_reason(&self, placed: &PlacedRequest) -> Option<WithholdReason> {
        let now = self.clock.now();
        let process = &placed.lead.process;
        let mut fleet = self.fleet.lock();
        if fleet.endpoints.is_leaving(process) {
            return Some(WithholdReason::Leaving);
        }
        if fleet.backoffs.backoff_end(now, process).is_some() {
            return Some(WithholdReason::Backoff);
        }
        let members = placed.helpers.iter().map(|helper| &helper.endpoint);
        if std::iter::once(&placed.lead)
            .chain(members)
            .any(|endpoint| fleet.drains.is_drained(&endpoint.domain))
        {
            return Some(WithholdReason::Drained);
        }
        let mut limited = false;
        if !placed.is_admitted {
            limited |= fleet
                .rate_limits
                .admit(now, process)
                .limited_until()
                .is_some();
        }
        if !placed.is_cold_admitted {
            limited |= fleet
                .cold_limits
                .admit(now, process)
                .limited_until()
                .is_some();
        }
        limited.then_some(WithholdReason::RateLimited)
    }

    fn claim_work(self: &Arc<Self>, fleet: &mut FleetState, works: Vec<PlacedWork>) -> WorkGuard {
        let mut keys = works.into_iter().map(|work| fleet.ledger.claim(work));
        let lead = keys.next().unwrap_or_default();
        WorkGuard {
            state: Arc::clone(self),
            lead,
            helpers: keys.collect(),
            is_prefilling: true,
            has_missed: false,
            booking: None,
        }
    }
}

/// The parts of a choice that outlive the search result from which it was made.
struct PlacementDetails {
    lead: DirectEndpoint,
    helpers: Vec<PlacedHelper>,
    occupied: u32,
    backlog: Duration,
    prediction: TeamPrediction,
}

impl PlacementDetails {
    fn new(choice: &DirectChoice, candidates: &[PlacerCandidate<'_>]) -> Self {
        let lead = &candidates[choice.lead];
        let helpers = choice.helpers.iter().map(|helper| PlacedHelper {
            endpoint: candidates[helper.index].endpoint.clone(),
            reserved_tokens: helper.kept,
        });
        Self {
            lead: lead.endpoint.clone(),
            helpers: helpers.collect(),
            occupied: lead.load.occupied,
            backlog: lead.load.backlog,
            prediction: predict_team(choice, candidates),
        }
    }
}

/// Returns the predicted times of a team at its declared speed.
fn predict_team(choice: &DirectChoice, candidates: &[PlacerCandidate<'_>]) -> TeamPrediction {
    let helpers = choice.helpers.iter().map(|helper| helper.index);
    let delays = helpers
        .chain([choice.lead])
        .map(|index| candidates[index].load.long_prefill_delay());
    let prefilled = choice.backlog + choice.part_prefill_time;
    let passes = choice.first_event.saturating_sub(prefilled);
    TeamPrediction {
        part_prefill_time: choice.part_prefill_time,
        delay: delays.max().unwrap_or_default() + passes,
    }
}
