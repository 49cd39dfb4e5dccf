//! Shares of organisations in the capacity of an overloaded service.

use lovagedock::{ShareUpdate, prelude::*};

use super::GatewayState;

impl GatewayState {
    /// Returns the demand at this gateway that is due to be sent to peers.
    pub(crate) fn take_share_updates(&self) -> Vec<ShareUpdate> {
        Vec::new()
    }

    /// Applies the demand that a peer reported.
    pub(crate) fn apply_peer_shares(&self, peer: &GatewayId, updates: Vec<ShareUpdate>) {
        if !self.overload.organisation_shares {
            return;
        }
        let _ = (peer, updates);
    }
}
