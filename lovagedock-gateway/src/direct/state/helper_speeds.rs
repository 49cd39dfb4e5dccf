//! Measured speeds of helpers.

use lovagedock::{HelperSpeed, prelude::*};

use super::GatewayState;

impl GatewayState {
    /// Returns the speeds of helpers that are due to be sent to peers.
    pub(crate) fn take_helper_speeds(&self) -> Vec<HelperSpeed> {
        Vec::new()
    }

    /// Applies the speeds of helpers that a peer measured.
    pub(crate) fn apply_peer_helper_speeds(&self, peer: &GatewayId, updates: Vec<HelperSpeed>) {
        if !self.overload.helper_speeds {
            return;
        }
        let _ = (peer, updates);
    }
}
