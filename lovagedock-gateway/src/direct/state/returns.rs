//! Scheduled returns of refused requests.

use lovagedock::ReturnUpdate;

use super::GatewayState;

impl GatewayState {
    /// Returns the changes of scheduled returns that were not yet sent to peers.
    pub(crate) fn take_return_updates(&self) -> Vec<ReturnUpdate> {
        Vec::new()
    }

    /// Applies changes of scheduled returns that a peer reported.
    pub(crate) fn apply_peer_returns(&self, updates: Vec<ReturnUpdate>) {
        if !self.overload.scheduled_returns {
            return;
        }
        let _ = updates;
    }
}
