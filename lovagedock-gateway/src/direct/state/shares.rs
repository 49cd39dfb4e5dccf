//! Shares of organisations in the capacity of an overloaded service.

use std::collections::HashMap;

use lovagedock::{
    FlowLane, LaneShares, OrganisationTag, RateVerdict, ServiceTag, ShareDecision, ShareRequest,
    ShareUpdate, TrafficConfig, WaitingQueue, organisation_tag, prelude::*, service_tag,
};
use serde::Serialize;

use super::{GatewayState, fleet_state::FleetState};

/// Shares in a lane of a service, for operators. Rates are in cost per second: requests in the lane
/// of short prompts, seconds of prefill in the lane of long ones.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ShareReport {
    /// The service, or its tag if the configuration has none.
    pub(crate) service: String,
    /// `short` or `long`.
    pub(crate) lane: &'static str,
    /// Demand at all gateways.
    pub(crate) demand: f64,
    /// What all gateways place.
    pub(crate) served: f64,
    /// Rate above which organisations are refused requests, or `None` while the lane is not
    /// overloaded.
    pub(crate) fair_rate: Option<f64>,
    /// Organisations, largest demand first.
    pub(crate) organisations: Vec<OrganisationReport>,
}

/// Demand of an organisation at all gateways, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrganisationReport {
    /// The organisation, empty for requests without one, or its tag if the configuration has none.
    pub(crate) organisation: String,
    /// Cost of the requests that arrive, per second.
    pub(crate) demand: f64,
    /// Cost of the requests that are placed, per second.
    pub(crate) served: f64,
    /// Whether requests of the organisation are refused because of its share.
    pub(crate) exceeds_share: bool,
}

impl GatewayState {
    /// Records the arrival of a request, and decides whether its organisation's share allows it.
    pub(crate) fn decide_share(
        &self,
        service: &ServiceId,
        request: &ShareRequest,
        draw: f64,
    ) -> ShareDecision {
        if !self.overload.organisation_shares {
            return ShareDecision::Admitted;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        match fleet.shares.decide(now, request, draw) {
            ShareDecision::Admitted => ShareDecision::Admitted,
            ShareDecision::Refused { .. } if fleet.has_spare(now, service, request.lane) => {
                ShareDecision::Admitted
            }
            refused @ ShareDecision::Refused { .. } => refused,
        }
    }

    /// Records that a request was placed.
    pub(crate) fn record_share_served(&self, request: &ShareRequest) {
        if !self.overload.organisation_shares {
            return;
        }
        let now = self.clock.now();
        self.fleet.lock().shares.record_served(now, request);
    }

    /// Records that a request was refused for lack of capacity, unless the service has spare
    /// capacity.
    pub(crate) fn record_share_overload(&self, service: &ServiceId, request: &ShareRequest) {
        if !self.overload.organisation_shares {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.has_spare(now, service, request.lane) {
            fleet.shares.record_refusal(now, request);
        }
    }

    /// Records that a request has to wait for capacity.
    pub(crate) fn record_share_wait(&self, request: &ShareRequest) {
        if !self.overload.organisation_shares {
            return;
        }
        let now = self.clock.now();
        self.fleet.lock().shares.record_wait(now, request);
    }

    /// Returns the demand at this gateway that is due to be sent to peers.
    pub(crate) fn take_share_updates(&self) -> Vec<ShareUpdate> {
        if !self.overload.organisation_shares {
            return Vec::new();
        }
        let now = self.clock.now();
        self.fleet.lock().shares.take_updates(now)
    }

    /// Applies the demand that a peer reported.
    pub(crate) fn apply_peer_shares(&self, peer: &GatewayId, updates: Vec<ShareUpdate>) {
        if !self.overload.organisation_shares {
            return;
        }
        let now = self.clock.now();
        self.fleet.lock().shares.apply_peer(now, peer, updates);
    }

    /// Drops expired reports of peers, and updates the gauges of fair rates.
    pub(super) fn tick_shares(&self) {
        if !self.overload.organisation_shares {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let FleetState {
            shares, services, ..
        } = &mut *fleet;
        shares.tick(now);
        for service in services.keys() {
            for lane in [FlowLane::Short, FlowLane::Long] {
                let rate = shares.fair_rate(now, service_tag(service), lane);
                metrics::gauge!("lovagedock_share_fair_rate",
                    "service" => service.to_string(), "lane" => lane.as_str())
                .set(rate.unwrap_or(0.0));
            }
        }
    }

    /// Returns the demand and the fair rates of all services, as far as this gateway knows them.
    pub(crate) fn share_report(&self) -> Vec<ShareReport> {
        let now = self.clock.now();
        let shares = self.fleet.lock().shares.report(now);
        if shares.is_empty() {
            return Vec::new();
        }
        let names = ReportNames::new(self.config().as_deref());
        shares
            .into_iter()
            .map(|lane| names.share_report(lane))
            .collect()
    }
}

impl FleetState {
    /// Returns whether less than half of the available slots are in use and nothing is queued. For
    /// long prompts, prefills that have not ended at half of the endpoints count as a queue.
    ///
    /// A request is then not refused because of its share: the rates still reflect an overload that
    /// has just ended.
    fn has_spare(&mut self, now: Timestamp, service: &ServiceId, lane: FlowLane) -> bool {
        let state = self.service(now, service);
        if !state.queues.iter().all(WaitingQueue::is_empty) {
            return false;
        }
        let (mut slots, mut occupied) = (0, 0);
        let (mut endpoints, mut prefilling) = (0, 0);
        for endpoint in self.endpoints.ready(service) {
            let process = &endpoint.process;
            let limits = [&self.rate_limits, &self.cold_limits];
            let is_limited = limits.iter().any(|limits| {
                matches!(
                    limits.verdict(now, process),
                    RateVerdict::RateLimited { .. }
                )
            });
            let is_unavailable = self.drains.is_drained(&endpoint.domain)
                || self.backoffs.backoff_end(now, process).is_some()
                || is_limited;
            if is_unavailable {
                continue;
            }
            let (load, _) = self.ledger.load_with_short_count(now, process);
            slots += endpoint.slots;
            occupied += load.occupied.min(endpoint.slots);
            endpoints += 1;
            prefilling += u32::from(load.pending_prefills > 0);
        }
        let is_prefilling = lane == FlowLane::Long && prefilling * 2 >= endpoints;
        occupied * 2 < slots && !is_prefilling
    }
}

/// Names by their short forms.
struct ReportNames {
    services: HashMap<ServiceTag, String>,
    organisations: HashMap<OrganisationTag, String>,
}

impl ReportNames {
    fn new(config: Option<&TrafficConfig>) -> Self {
        let services = config.into_iter().flat_map(|config| config.services.keys());
        let organisations = config.into_iter().flat_map(TrafficConfig::organisations);
        Self {
            services: services
                .map(|name| (service_tag(name), name.to_string()))
                .collect(),
            organisations: organisations
                .map(|name| (organisation_tag(name), name.to_string()))
                .chain([(organisation_tag(""), String::new())])
                .collect(),
        }
    }

    fn share_report(&self, lane: LaneShares) -> ShareReport {
        let organisations = lane.organisations.iter();
        let organisations = organisations.map(|demand| OrganisationReport {
            organisation: name_of(&self.organisations, demand.organisation),
            demand: demand.demand,
            served: demand.served,
            exceeds_share: demand.exceeds_share,
        });
        ShareReport {
            service: name_of(&self.services, lane.service),
            lane: lane.lane.as_str(),
            demand: lane.demand,
            served: lane.served,
            fair_rate: lane.fair_rate,
            organisations: organisations.collect(),
        }
    }
}

fn name_of(names: &HashMap<u32, String>, tag: u32) -> String {
    let name = names.get(&tag).cloned();
    name.unwrap_or_else(|| format!("{tag:08x}"))
}
