//! Shares of organisations in the capacity of an overloaded service.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    pool_flow::{FlowLane, ServiceTag},
    share_lane::{REPORTING_TIME, ShareLane, ShareRates},
};
use crate::ids::{GatewayId, Timestamp};

/// Short form of an organisation's name in messages between gateways.
pub type OrganisationTag = u32;

/// Returns the short form of an organisation's name.
pub fn organisation_tag(name: &str) -> OrganisationTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as OrganisationTag
}

/// Demand of one organisation at one gateway, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// The organisation.
    pub organisation: OrganisationTag,
    /// Cost of the requests that arrive, per second: one for a short request, seconds of prefill
    /// for a long prompt.
    pub demand: f32,
    /// Cost of the requests that are placed, per second.
    pub served: f32,
    /// Whether the sender itself has refused a request of the lane for lack of capacity since its
    /// last report, or let one wait during an overload.
    pub refused: bool,
}

/// Interval of reports to peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a peer's report expires.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of entries in a message. They take about 1,000 bytes of a datagram.
const MAX_UPDATES: usize = 48;

/// Maximum rate that is accepted from a peer, in cost per second. Larger ones, and those that are no
/// numbers, would make sums useless until the report expires.
const MAX_RATE: f32 = 1e6;

/// A request whose share is checked or counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRequest {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// The organisation.
    pub organisation: OrganisationTag,
    /// One for a short request, seconds of prefill for a long prompt.
    pub cost: f64,
    /// Whether the request was refused before and returns. It then does not add to demand.
    pub is_return: bool,
}

/// Whether a request may be placed in view of its organisation's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareDecision {
    /// The request may be placed.
    Admitted,
    /// The organisation exceeds its share, and the request is refused.
    Refused {
        /// Demand of the organisation at all gateways, in cost per second.
        demand: f64,
        /// Fair rate of the lane, in cost per second.
        fair_rate: f64,
    },
}

/// Shares in a lane, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneShares {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// Demand at all gateways, in cost per second.
    pub demand: f64,
    /// Cost of the requests that all gateways place, per second.
    pub served: f64,
    /// Fair rate, in cost per second, or `None` while the lane is not overloaded.
    pub fair_rate: Option<f64>,
    /// Organisations, largest demand first.
    pub organisations: Vec<OrganisationDemand>,
}

/// Demand of an organisation at all gateways, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationDemand {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// Cost of the requests that arrive, per second.
    pub demand: f64,
    /// Cost of the requests that are placed, per second.
    pub served: f64,
    /// Whether the lane is overloaded and the demand exceeds the fair rate.
    pub exceeds_share: bool,
}

/// What a peer last reported.
#[derive(Clone, Debug)]
struct PeerReport {
    reported_at: Timestamp,
    updates: Vec<ShareUpdate>,
}

/// Shares of organisations in the capacity of overloaded services: core-stateless fair queueing.
///
/// While a lane is overloaded, a request of an organisation with demand `d` is admitted with
/// probability `min(1, f / d)`. The fair rate `f` is the rate at which the sum of `min(d, f)` over
/// all organisations equals what the lane serves. Demands and what is served are sums over all
/// gateways, so all of them admit with the same probability.
#[derive(Clone, Debug, Default)]
pub struct OrganisationShares {
    lanes: HashMap<(ServiceTag, FlowLane), ShareLane>,
    peers: HashMap<GatewayId, PeerReport>,
    /// When the last report was taken.
    reported_at: Option<Timestamp>,
}

impl OrganisationShares {
    /// Creates shares without any known demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a request and decides whether it may be placed. `draw` is a uniform
    /// random number from 0 to 1.
    pub fn decide(&mut self, now: Timestamp, request: &ShareRequest, draw: f64) -> ShareDecision {
        let lane = self.lane(request.service, request.lane);
        // Without the request itself: otherwise the first request of an organisation would count
        // as a rate of half a request per second.
        let demand = lane.demand(now, request.organisation);
        if !request.is_return {
            lane.record_demand(now, request.organisation, request.cost);
        }
        match lane.fair_rate(now) {
            Some(fair_rate) if demand * draw > fair_rate => {
                ShareDecision::Refused { demand, fair_rate }
            }
            Some(_) | None => ShareDecision::Admitted,
        }
    }

    /// Records that a request was placed.
    pub fn record_served(&mut self, now: Timestamp, request: &ShareRequest) {
        let lane = self.lane(request.service, request.lane);
        lane.record_served(now, request.organisation, request.cost);
    }

    /// Records that this gateway refused a request for lack of capacity. Refusals because of shares
    /// do not count: otherwise an overload would never end.
    pub fn record_refusal(&mut self, now: Timestamp, request: &ShareRequest) {
        self.lane(request.service, request.lane).record_refusal(now);
    }

    /// Records that a request has to wait for capacity. It does not begin an overload, but while
    /// there is one, it shows like a refusal that the lane is still full: shares should leave few
    /// refusals for lack of capacity.
    pub fn record_wait(&mut self, now: Timestamp, request: &ShareRequest) {
        let lane = self.lane(request.service, request.lane);
        if lane.is_overloaded(now) {
            lane.record_refusal(now);
        }
    }

    /// Returns the demand at this gateway that is due to be sent to peers, largest first: every
    /// 500 ms for lanes with a refusal for lack of capacity within 2 s, here or at a peer.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<ShareUpdate> {
        if self
            .reported_at
            .is_some_and(|at| now < at + REPORT_INTERVAL)
        {
            return Vec::new();
        }
        let mut updates = Vec::new();
        for ((service, lane), state) in &self.lanes {
            if !state.has_refused_within(now, REPORTING_TIME) {
                continue;
            }
            let refused = state.has_own_refusal_within(now, REPORT_INTERVAL);
            updates.extend(
                state
                    .own_rates(now)
                    .map(|(organisation, rates)| ShareUpdate {
                        service: *service,
                        lane: *lane,
                        organisation,
                        demand: rates.demand as f32,
                        served: rates.served as f32,
                        refused,
                    }),
            );
        }
        if !updates.is_empty() {
            self.reported_at = Some(now);
        }
        updates.sort_unstable_by(|a, b| b.demand.total_cmp(&a.demand));
        updates.truncate(MAX_UPDATES);
        updates
    }

    /// Replaces what a peer reported before.
    pub fn apply_peer(&mut self, now: Timestamp, peer: &GatewayId, updates: Vec<ShareUpdate>) {
        if updates.is_empty() {
            return;
        }
        self.forget_peer(peer);
        let updates: Vec<ShareUpdate> = updates.into_iter().filter(is_valid).collect();
        for update in &updates {
            let lane = self.lane(update.service, update.lane);
            lane.add_reported(update.organisation, reported_rates(update));
            if update.refused {
                lane.record_overload(now);
            }
        }
        let report = PeerReport {
            reported_at: now,
            updates,
        };
        self.peers.insert(peer.clone(), report);
    }

    /// Discards what a peer reported.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        let Some(report) = self.peers.remove(peer) else {
            return;
        };
        for update in &report.updates {
            if let Some(lane) = self.lanes.get_mut(&(update.service, update.lane)) {
                lane.subtract_reported(update.organisation, reported_rates(update));
            }
        }
    }

    /// Discards expired reports of peers and organisations that no longer send requests. It is to
    /// be called about every 250 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let expired: Vec<GatewayId> = self
            .peers
            .iter()
            .filter(|(_, report)| now >= report.reported_at + REPORT_TIMEOUT)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &expired {
            self.forget_peer(peer);
        }
        for lane in self.lanes.values_mut() {
            lane.forget_idle(now);
        }
    }

    /// Returns the fair rate of a lane, in cost per second, or `None` while it is not overloaded.
    pub fn fair_rate(
        &mut self,
        now: Timestamp,
        service: ServiceTag,
        lane: FlowLane,
    ) -> Option<f64> {
        self.lanes.get_mut(&(service, lane))?.fair_rate(now)
    }

    /// Returns the demand of all organisations, by service and lane.
    pub fn report(&mut self, now: Timestamp) -> Vec<LaneShares> {
        let lanes = self.lanes.iter_mut();
        let mut report: Vec<LaneShares> = lanes
            .map(|((service, lane), state)| lane_shares(now, *service, *lane, state))
            .collect();
        report.sort_unstable_by_key(|shares| (shares.service, shares.lane));
        report
    }

    fn lane(&mut self, service: ServiceTag, lane: FlowLane) -> &mut ShareLane {
        let known = self.lanes.entry((service, lane));
        known.or_insert_with(ShareLane::new)
    }
}

fn lane_shares(
    now: Timestamp,
    service: ServiceTag,
    lane: FlowLane,
    state: &mut ShareLane,
) -> LaneShares {
    let fair_rate = state.fair_rate(now);
    let totals = state.totals(now);
    let organisations = state
        .rates(now)
        .map(|(organisation, rates)| OrganisationDemand {
            organisation,
            demand: rates.demand,
            served: rates.served,
            exceeds_share: fair_rate.is_some_and(|fair_rate| rates.demand > fair_rate),
        });
    let mut organisations: Vec<OrganisationDemand> = organisations.collect();
    organisations.sort_unstable_by(|a, b| b.demand.total_cmp(&a.demand));
    LaneShares {
        service,
        lane,
        demand: totals.demand,
        served: totals.served,
        fair_rate,
        organisations,
    }
}

fn is_valid(update: &ShareUpdate) -> bool {
    let accepted = 0.0..=MAX_RATE;
    accepted.contains(&update.demand) && accepted.contains(&update.served)
}

fn reported_rates(update: &ShareUpdate) -> ShareRates {
    ShareRates {
        demand: f64::from(update.demand),
        served: f64::from(update.served),
    }
}
