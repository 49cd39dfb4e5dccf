//! Arrivals and starts of requests over all gateways.

use std::time::Duration;

use lovagedock::{FlowKey, FlowLane, FlowTotals, FlowUpdate, QueueKind, prelude::*, service_tag};
use serde::Serialize;

use super::{GatewayState, fleet_state::FleetState};

/// Flow of one service and lane over this gateway and its peers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct FlowReport {
    pub(crate) service: String,
    pub(crate) lane: &'static str,
    /// Gateways whose flow is counted.
    pub(crate) gateways: usize,
    /// First attempts per second.
    pub(crate) arrivals: f64,
    /// Placed requests per second.
    pub(crate) starts: f64,
    /// Refused requests per second.
    pub(crate) refusals: f64,
    /// Requests that wait.
    pub(crate) waiting: f64,
    /// Highest rate of starts within the last seconds, per second.
    pub(crate) capacity: f64,
    /// Returns per second for which there is capacity.
    pub(crate) spare: f64,
}

impl FlowReport {
    fn new(service: &ServiceId, lane: FlowLane, totals: &FlowTotals) -> Self {
        Self {
            service: service.to_string(),
            lane: lane.as_str(),
            gateways: totals.gateways,
            arrivals: totals.arrivals,
            starts: totals.starts,
            refusals: totals.refusals,
            waiting: totals.waiting,
            capacity: totals.capacity,
            spare: totals.spare(),
        }
    }
}

/// Returns the service and lane of a request.
pub(super) fn flow_key(service: &ServiceId, kind: QueueKind) -> FlowKey {
    (service_tag(service), FlowLane::new(kind.is_long()))
}

impl FleetState {
    /// Returns the flow of a service and lane over all gateways if it is known.
    pub(super) fn flow_totals(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        kind: QueueKind,
    ) -> Option<FlowTotals> {
        let key = flow_key(service, kind);
        self.count_waiting(service, key);
        self.flow.totals(now, key)
    }

    /// Counts the requests that wait at this gateway. Returning requests are left out: new ones do not
    /// wait for them.
    fn count_waiting(&mut self, service: &ServiceId, key: FlowKey) {
        let kind = QueueKind::new(key.1 == FlowLane::Long, false);
        let state = self.services.get(service);
        let waiting = state.map_or(0, |state| state.queues[kind as usize].len());
        self.flow.set_waiting(key, waiting);
    }

    fn count_all_waiting(&mut self) {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in &services {
            for kind in [QueueKind::Short, QueueKind::Long] {
                self.count_waiting(service, flow_key(service, kind));
            }
        }
    }

    /// Returns the flows of known services.
    fn flow_reports(&mut self, now: Timestamp) -> Vec<FlowReport> {
        self.count_all_waiting();
        let totals = self.flow.all_totals(now);
        let reports = totals.iter().filter_map(|((tag, lane), totals)| {
            let mut services = self.services.keys();
            let service = services.find(|service| service_tag(service) == *tag)?;
            Some(FlowReport::new(service, *lane, totals))
        });
        reports.collect()
    }
}

impl GatewayState {
    /// Records the first attempt of a request.
    pub(crate) fn record_arrival(&self, service: &ServiceId, kind: QueueKind) {
        if self.overload.scheduled_returns {
            let now = self.clock.now();
            let mut fleet = self.fleet.lock();
            fleet.flow.record_arrival(now, flow_key(service, kind));
        }
    }

    /// Records that a placed request is being sent.
    pub(super) fn record_flow_start(
        &self,
        now: Timestamp,
        fleet: &mut FleetState,
        service: &ServiceId,
        kind: QueueKind,
    ) {
        if self.overload.scheduled_returns {
            fleet.flow.record_start(now, flow_key(service, kind));
        }
    }

    /// Records that a request cannot be placed at once, and returns how long it is expected to wait if
    /// the flow over all gateways is known. Returning requests wait for what others leave, and long
    /// prompts for prefill time, which the flow does not tell.
    pub(crate) fn expected_wait(&self, service: &ServiceId, kind: QueueKind) -> Option<Duration> {
        if !self.overload.scheduled_returns {
            return None;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.flow.record_queued(now, flow_key(service, kind));
        if kind.is_return() || kind.is_long() {
            return None;
        }
        let totals = fleet.flow_totals(now, service, kind)?;
        totals.expected_wait(kind.settings().min_rate)
    }

    /// Returns the flow of this gateway that is due to be sent to peers.
    pub(crate) fn take_flow_updates(&self) -> Vec<FlowUpdate> {
        if !self.overload.scheduled_returns {
            return Vec::new();
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.flow.is_due(now) {
            return Vec::new();
        }
        let reports = fleet.flow_reports(now);
        let receivers = fleet.peers.len();
        let updates = fleet.flow.take_reports(now, receivers);
        drop(fleet);
        reports.iter().for_each(record_gauges);
        updates
    }

    /// Applies the flow that a peer reported.
    pub(crate) fn apply_peer_flows(&self, peer: &GatewayId, updates: Vec<FlowUpdate>) {
        if !self.overload.scheduled_returns || updates.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        for update in &updates {
            fleet.flow.apply_report(now, peer, update);
        }
    }

    /// Returns the flow of each service and lane over all gateways.
    pub(crate) fn flow_report(&self) -> Vec<FlowReport> {
        let now = self.clock.now();
        self.fleet.lock().flow_reports(now)
    }
}

fn record_gauges(report: &FlowReport) {
    let gauge = |name: &'static str, value: f64| {
        metrics::gauge!(name, "service" => report.service.clone(), "lane" => report.lane)
            .set(value);
    };
    gauge("lovagedock_pool_arrivals", report.arrivals);
    gauge("lovagedock_pool_starts", report.starts);
    gauge("lovagedock_pool_waiting", report.waiting);
}
