//! Places requests and counts them out again.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    DirectChoice, DirectEndpoint, DirectPlacer, DirectRequest, EndpointProcess, OutlierEvent,
    PlacedWork, PlacerCandidate, QueueKind, RateVerdict, TrafficConfig, WaitingQueue, WorkKey,
    isolate_suspects, prelude::*,
};

use super::{
    FleetBoard,
    state::{EndpointSearch, FleetState},
};

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
    /// Whether the endpoint has a rate limit and the request has consumed a token.
    pub(crate) is_admitted: bool,
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
    /// Those of them whose rate limit allows no request from this gateway now.
    pub(crate) limited: usize,
    /// Those of them in a backoff period; they are not counted in `limited`.
    pub(crate) in_backoff: usize,
    /// Slots that are free, over all gateways.
    pub(crate) free_slots: u32,
    /// Requests that wait at this gateway.
    pub(crate) waiting: usize,
    /// Other gateways whose requests are counted; they were heard within 1.5 s.
    pub(crate) peers: usize,
}

/// How good a place has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PlaceEffort {
    /// Without much harm; the request can wait for a better one.
    Choosy {
        /// Part of its patience that it has used, from 0 to 1.
        waited: f64,
    },
    /// Worth starting; the request cannot wait any longer.
    Last,
    /// Any: an engine has worked on the request already, and all of that is lost without a place.
    Any,
}

/// Why a placed request is not sent to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WithheldReason {
    /// The endpoint's rate limit, advertised since the placement, does not admit it.
    RateLimited,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint is in a backoff period.
    Backoff,
}

impl WithheldReason {
    /// Label value in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::RateLimited => "limit",
            Self::Leaving => "leaving",
            Self::Backoff => "backoff",
        }
    }
}

/// What a search for a place found.
pub(crate) enum PlaceResult {
    /// A place.
    Placed(Box<PlacedRequest>),
    /// Every endpoint is full, or no place is good enough.
    Full,
    /// All endpoints are rate limited or in backoff, at least until this time.
    Unavailable { until: Timestamp },
    /// The service has no endpoint that takes work and was not tried.
    NoEndpoint,
}

/// Counts a request's work out of the ledger when it is dropped, however the request ends.
pub(crate) struct WorkHold {
    board: Arc<FleetBoard>,
    lead: WorkKey,
    helpers: Vec<WorkKey>,
    reading: bool,
    missed: bool,
}

impl WorkHold {
    /// Records that the prompt has been read; helpers are free then.
    pub(crate) fn finish_reading(&mut self) {
        if !std::mem::take(&mut self.reading) {
            return;
        }
        let now = self.board.clock.now();
        let mut fleet = self.board.fleet.lock();
        fleet.ledger.finish_prefill(now, self.lead);
        for key in self.helpers.drain(..) {
            fleet.ledger.finish_prefill(now, key);
            fleet.ledger.finish(now, key);
        }
        drop(fleet);
        self.board.note_ended();
    }

    /// Records that the request has missed an objective; further pauses cost its caller no more.
    pub(crate) fn note_missed(&mut self) {
        if std::mem::replace(&mut self.missed, true) {
            return;
        }
        self.board
            .fleet
            .lock()
            .ledger
            .record_missed_objective(self.lead);
        self.board.note_ended();
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
        self.board.note_ended();
    }
}

impl FleetBoard {
    /// What a refusal follows from, for the log.
    pub(crate) fn summary(&self, service: &ServiceId) -> PoolSummary {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let mut summary = PoolSummary::default();
        for endpoint in fleet.endpoints.ready(service) {
            let occupied = fleet.ledger.load(now, &endpoint.process).occupied;
            summary.ready += 1;
            if fleet.backoffs.end(now, &endpoint.process).is_some() {
                summary.in_backoff += 1;
                continue;
            }
            if let RateVerdict::RateLimited { .. } =
                fleet.rate_limits.verdict(now, &endpoint.process)
            {
                summary.limited += 1;
                continue;
            }
            summary.free_slots += endpoint.slots.saturating_sub(occupied);
        }
        summary.peers = fleet.ledger.peer_count();
        let state = fleet.service(now, service);
        summary.ejected = state.ejected.len();
        summary.waiting = state.lines.iter().map(WaitingQueue::len).sum();
        summary
    }

    /// Looks for a place.
    pub(crate) fn place(
        self: &Arc<Self>,
        config: &TrafficConfig,
        service: &ServiceId,
        request: &DirectRequest,
        excluded: &[EndpointProcess],
        kind: QueueKind,
        effort: PlaceEffort,
    ) -> PlaceResult {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let profile = config.services.get(service).and_then(|s| s.engine.as_ref());
        if fleet.note_demand(now, service) {
            self.placed.notify_one();
        }
        let mut search = match fleet.search(now, service, excluded) {
            EndpointSearch::Found(candidates) => candidates,
            EndpointSearch::Unavailable { until } => return PlaceResult::Unavailable { until },
            EndpointSearch::NoEndpoint => return PlaceResult::NoEndpoint,
        };
        if request.suspect {
            isolate_suspects(&mut search);
        }
        let unheard = fleet.ledger.concurrent_placements(now);
        let placer = DirectPlacer::new(profile).with_concurrent_placements(unheard);
        let Some(choice) = placer.place(request, &search) else {
            return PlaceResult::Full;
        };
        let acceptable = match effort {
            PlaceEffort::Choosy { waited } => choice.is_acceptable(request, waited),
            PlaceEffort::Last => placer.is_worth_starting(request, &choice),
            PlaceEffort::Any => true,
        };
        if !acceptable {
            return PlaceResult::Full;
        }
        let works = placer.works(request, &choice, &search);
        let placed = PlacedParts::new(&choice, &search);
        drop(search);
        let is_admitted =
            fleet.rate_limits.admit(now, &placed.lead.process) == RateVerdict::Admitted;
        let hold = self.hold(now, &mut fleet, works);
        let state = fleet.service(now, service);
        state.lines[kind as usize].record_start(now);
        let probe = OutlierEvent::ProbeSent(placed.lead.process.id.clone());
        let actions = state.outliers.handle(now, probe);
        state.apply(actions, &self.log);
        drop(fleet);
        self.placed.notify_one();
        PlaceResult::Placed(Box::new(PlacedRequest {
            lead: placed.lead,
            helpers: placed.helpers,
            first_event: choice.first_event,
            loss: choice.lost_value,
            occupied: placed.occupied,
            backlog: placed.backlog,
            is_admitted,
            hold,
        }))
    }

    /// Returns why a placed request must not be sent, or `None` if it may be. Since the placement, the
    /// endpoint may have advertised a limit, asked for a backoff, or announced that it is leaving.
    pub(crate) fn withheld_reason(&self, placed: &PlacedRequest) -> Option<WithheldReason> {
        let now = self.clock.now();
        let life = &placed.lead.process;
        let mut fleet = self.fleet.lock();
        if fleet.endpoints.is_leaving(life) {
            return Some(WithheldReason::Leaving);
        }
        if fleet.backoffs.end(now, life).is_some() {
            return Some(WithheldReason::Backoff);
        }
        if placed.is_admitted {
            return None;
        }
        match fleet.rate_limits.admit(now, life) {
            RateVerdict::RateLimited { .. } => Some(WithheldReason::RateLimited),
            RateVerdict::Unlimited | RateVerdict::Admitted => None,
        }
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
            missed: false,
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
    fn new(choice: &DirectChoice, candidates: &[PlacerCandidate<'_>]) -> Self {
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
