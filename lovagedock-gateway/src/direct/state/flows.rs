//! Arrivals and starts of requests over all gateways.

use lovagedock::{FlowUpdate, prelude::*};

use super::GatewayState;

impl GatewayState {
    /// Returns the flow of this gateway that is due to be sent to peers.
    pub(crate) fn take_flow_updates(&self) -> Vec<FlowUpdate> {
        Vec::new()
    }

    /// Applies the flow that a peer reported.
    pub(crate) fn apply_peer_flows(&self, peer: &GatewayId, updates: Vec<FlowUpdate>) {
        if !self.overload.scheduled_returns {
            return;
        }
        let _ = (peer, updates);
    }
}
