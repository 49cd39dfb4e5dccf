//! Prediction of drains from the loads of all gateways.

use lovagedock::{
    DirectEndpoint, DrainPreview, EndpointState, PreviewDemand, PreviewEndpoint, prelude::*,
};

use super::{GatewayState, fleet_state::FleetState};

impl GatewayState {
    /// Predicts what a drain of `domain` would do.
    pub(crate) fn preview_drain(
        &self,
        domain: &DomainId,
        demands: &[PreviewDemand],
    ) -> DrainPreview {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let endpoints = fleet.endpoints.all();
        let endpoints: Vec<PreviewEndpoint> = endpoints
            .map(|endpoint| fleet.preview_endpoint(now, endpoint))
            .collect();
        let is_drained = fleet.drains.is_drained(domain);
        let gateways = fleet.peer_liveness.count(now);
        drop(fleet);
        DrainPreview::new(domain, is_drained, &endpoints, demands, gateways)
    }
}

impl FleetState {
    fn preview_endpoint(&self, now: Timestamp, endpoint: &DirectEndpoint) -> PreviewEndpoint {
        let process = &endpoint.process;
        let service = self.services.get(&endpoint.service);
        let is_ejected = service.is_some_and(|service| service.ejected.contains(&process.id));
        let is_ready = endpoint.state == EndpointState::Ready;
        PreviewEndpoint {
            service: endpoint.service.clone(),
            domain: endpoint.domain.clone(),
            slots: endpoint.slots,
            is_available: is_ready && !is_ejected && !self.drains.is_drained(&endpoint.domain),
            occupied: self.ledger.load(now, process).occupied,
            prefill_rate: self.ledger.prefill_rate(now, process),
            slowdown: self.slowdown(now, endpoint),
        }
    }

    /// Returns the ratio of measured to declared time of an endpoint, as measured by this gateway
    /// or a peer; 1 without a measurement.
    pub(super) fn slowdown(&self, now: Timestamp, endpoint: &DirectEndpoint) -> f64 {
        let process = &endpoint.process;
        let by_peers = f64::from(self.ledger.load(now, process).slowdown);
        self.slowdowns.slowdown(now, process).max(by_peers)
    }
}
