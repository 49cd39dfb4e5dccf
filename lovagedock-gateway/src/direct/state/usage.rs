//! Use of services by all gateways, as known to this one.

use std::collections::{BTreeMap, BTreeSet};

use lovagedock::{DirectEndpoint, FlowLane, PeerLoad, PreviewDemand, QueueKind, prelude::*};
use serde::Serialize;

use super::{
    GatewayState, fleet_state::FleetState, flows::FlowReport, returns::ReturnReport,
    shares::ShareReport,
};

/// What a gateway knows about the use of all services.
#[derive(Debug, Serialize)]
pub(crate) struct FleetUsage {
    gateway: GatewayId,
    /// Gateways whose loads are included, this one included.
    gateways_heard: usize,
    /// Gateways that may be serving, this one included.
    gateways_known: usize,
    /// Requests that were refused in the last 8 s, by all gateways.
    refused_recently: usize,
    services: Vec<ServiceUsage>,
    #[serde(flatten)]
    overload: OverloadReports,
}

/// Use of one service.
#[derive(Debug, Default, Serialize)]
struct ServiceUsage {
    service: ServiceId,
    lanes: Vec<LaneUsage>,
    /// Work by the gateway that placed it.
    gateways: Vec<GatewayUsage>,
    /// Work by endpoint, over all gateways.
    endpoints: Vec<EndpointUsage>,
}

/// Use of one lane of a service.
#[derive(Debug, Serialize)]
struct LaneUsage {
    lane: &'static str,
    /// Requests of all gateways that hold a slot.
    slots_in_use: u32,
    /// Requests that wait at this gateway.
    waiting: usize,
}

/// Work that one gateway has placed on the endpoints of a service.
#[derive(Debug, Serialize)]
struct GatewayUsage {
    gateway: GatewayId,
    slots_in_use: u32,
    /// Of these, requests with short prompts.
    short: u32,
    /// Long prompts, and parts of long prompts, that are not prefilled yet.
    pending_prefills: u32,
}

/// Work that all gateways have placed on one endpoint.
#[derive(Debug, Serialize)]
struct EndpointUsage {
    endpoint: String,
    domain: DomainId,
    slots: u32,
    slots_in_use: u32,
    /// Time until all prompts that were placed there are prefilled, in milliseconds.
    backlog_ms: u64,
    /// Prefill time placed there per second, in seconds.
    prefill_per_second: f64,
    /// Ratio of measured to declared time.
    slowdown: f64,
}

/// Reports of the decisions under overload, each a list of objects; empty for those that are
/// switched off. The command prints each list as a table.
#[derive(Debug, Serialize)]
pub(crate) struct OverloadReports {
    /// Rates by service and lane, across all gateways.
    flows: Vec<FlowReport>,
    /// Demand and served requests by organisation.
    shares: Vec<ShareReport>,
    /// Scheduled returns.
    returns: Vec<ReturnReport>,
    /// Demand by organisation, for drain previews.
    #[serde(skip)]
    pub(crate) demands: Vec<PreviewDemand>,
}

impl GatewayState {
    /// Returns the reports of the decisions under overload.
    pub(crate) fn overload_reports(&self) -> OverloadReports {
        let shares = self.share_report();
        OverloadReports {
            flows: self.flow_report(),
            demands: shares.iter().flat_map(preview_demands).collect(),
            shares,
            returns: self.return_report(),
        }
    }

    /// Returns what this gateway knows about the use of all services.
    pub(crate) fn usage(&self) -> FleetUsage {
        let overload = self.overload_reports();
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let gateways = fleet.peer_liveness.count(now);
        let listed = fleet.endpoints.all();
        let services: BTreeSet<&ServiceId> = listed.map(|endpoint| &endpoint.service).collect();
        let services = services.into_iter();
        FleetUsage {
            gateway: self.name.clone(),
            gateways_heard: gateways.reachable,
            gateways_known: gateways.known,
            refused_recently: fleet.refusals.recent_count(now),
            services: services
                .map(|service| fleet.service_usage(now, &self.name, service))
                .collect(),
            overload,
        }
    }

    /// Returns the endpoints that are slower than declared, with the ratio of measured to declared
    /// time.
    pub(crate) fn slow_endpoints(&self) -> Vec<(String, f64)> {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let endpoints = fleet.endpoints.all();
        let slowdowns =
            endpoints.map(|endpoint| (endpoint.process.to_string(), fleet.slowdown(now, endpoint)));
        slowdowns.filter(|(_, slowdown)| *slowdown > 1.0).collect()
    }
}

/// Returns the parts of a lane's demand by organisation.
fn preview_demands(lane: &ShareReport) -> impl Iterator<Item = PreviewDemand> {
    let total = lane.demand.max(f64::MIN_POSITIVE);
    let organisations = lane.organisations.iter();
    organisations.map(move |organisation| PreviewDemand {
        service: lane.service.as_str().into(),
        organisation: organisation.organisation.as_str().into(),
        share: organisation.demand / total,
    })
}

impl FleetState {
    fn service_usage(&self, now: Timestamp, own: &GatewayId, service: &ServiceId) -> ServiceUsage {
        let listed = self.endpoints.all();
        let listed = listed.filter(|endpoint| endpoint.service == *service);
        let mut gateways: BTreeMap<&GatewayId, GatewayUsage> = BTreeMap::new();
        let mut endpoints = Vec::new();
        let (mut short, mut occupied) = (0, 0);
        for endpoint in listed {
            let usage = self.endpoint_usage(now, endpoint);
            short += self.ledger.short_count(&endpoint.process);
            occupied += usage.slots_in_use;
            endpoints.push(usage);
            let own_load = self.ledger.own_load(&endpoint.process);
            let own_load = own_load.map(|load| (own, load));
            let peer_loads = self.ledger.peer_loads(&endpoint.process);
            for (gateway, load) in own_load.into_iter().chain(peer_loads) {
                let usage = gateways.entry(gateway);
                usage
                    .or_insert_with(|| GatewayUsage::new(gateway))
                    .add(load);
            }
        }
        let lanes = [
            (FlowLane::Short, short),
            (FlowLane::Long, occupied.saturating_sub(short)),
        ];
        ServiceUsage {
            service: service.clone(),
            lanes: lanes
                .into_iter()
                .map(|(lane, slots_in_use)| LaneUsage {
                    lane: lane.as_str(),
                    slots_in_use,
                    waiting: self.waiting_count(service, lane),
                })
                .collect(),
            gateways: gateways.into_values().collect(),
            endpoints,
        }
    }

    fn endpoint_usage(&self, now: Timestamp, endpoint: &DirectEndpoint) -> EndpointUsage {
        let load = self.ledger.load(now, &endpoint.process);
        EndpointUsage {
            endpoint: endpoint.process.to_string(),
            domain: endpoint.domain.clone(),
            slots: endpoint.slots,
            slots_in_use: load.occupied,
            backlog_ms: load.backlog.as_millis() as u64,
            prefill_per_second: self.ledger.prefill_rate(now, &endpoint.process),
            slowdown: self.slowdown(now, endpoint),
        }
    }

    /// Returns the number of requests of a lane that wait at this gateway.
    fn waiting_count(&self, service: &ServiceId, lane: FlowLane) -> usize {
        let Some(state) = self.services.get(service) else {
            return 0;
        };
        let kinds = QueueKind::ALL.into_iter();
        let kinds = kinds.filter(|kind| FlowLane::new(kind.is_long()) == lane);
        kinds.map(|kind| state.queues[kind as usize].len()).sum()
    }
}

impl GatewayUsage {
    fn new(gateway: &GatewayId) -> Self {
        Self {
            gateway: gateway.clone(),
            slots_in_use: 0,
            short: 0,
            pending_prefills: 0,
        }
    }

    fn add(&mut self, load: &PeerLoad) {
        self.slots_in_use += load.occupied;
        self.short += load.short;
        self.pending_prefills += load.pending_prefills;
    }
}
