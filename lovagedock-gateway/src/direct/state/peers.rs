//! State that is received from other gateways or sent to them.

use std::sync::atomic::Ordering;

use lovagedock::{
    EndpointProcess, LoadUpdates, PeerContact, PeerLoad, RequestFingerprint, WatchRole, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use slog::info;

use super::{GatewayState, fleet_state::FleetState};

impl GatewayState {
    /// Records the receipt of a message from a peer.
    pub(crate) fn record_peer_contact(&self, peer: &GatewayId, store_reachable: bool) {
        let contact = PeerContact {
            received_at: self.clock.now(),
            store_reachable,
        };
        let mut fleet = self.fleet.lock();
        fleet.watcher_selection.record_peer(peer.clone(), contact);
        fleet
            .peer_liveness
            .record_message(contact.received_at, peer);
    }

    /// Returns whether this gateway has to watch the store itself, and in which role.
    pub(crate) fn watch_role(&self) -> WatchRole {
        let now = self.clock.now();
        self.fleet.lock().watcher_selection.role(now, &self.name)
    }

    /// Applies a new or changed entry of a gateway.
    pub(crate) fn upsert_gateway(&self, gateway: GatewayEntry) {
        if gateway.name == self.name {
            return;
        }
        let mut fleet = self.fleet.lock();
        // Each datagram carries the entry of its sender, which is usually known already.
        if fleet.peers.get(&gateway.name) == Some(&gateway) {
            return;
        }
        fleet.peers.insert(gateway.name.clone(), gateway.clone());
        fleet
            .peer_liveness
            .record_listed(self.clock.now(), &gateway.name);
        drop(fleet);
        self.announce_pending.store(true, Ordering::Relaxed);
        self.urgent_update.notify_one();
        info!(self.log, "peer listed";
            "peer" => &*gateway.name, "address" => %gateway.address);
    }

    /// Removes a gateway whose entry was deleted.
    pub(crate) fn remove_gateway(&self, name: &GatewayId) {
        let mut fleet = self.fleet.lock();
        fleet.peers.remove(name);
        fleet.peer_liveness.forget(name);
        fleet.ledger.forget_peer(name);
        fleet.rate_limits.forget_peer(self.clock.now(), name);
        fleet.cold_limits.forget_peer(self.clock.now(), name);
    }

    /// Returns the known other gateways.
    pub(crate) fn peers(&self) -> Vec<GatewayEntry> {
        self.fleet.lock().peers.values().cloned().collect()
    }

    /// Returns whether a datagram has to be sent immediately, instead of with the next heartbeat,
    /// because a peer does not know this gateway yet. One of the two has just started and, until
    /// then, places requests without knowing the load of the other.
    pub(crate) fn take_announce_pending(&self) -> bool {
        self.announce_pending.swap(false, Ordering::Relaxed)
    }

    /// Records that the list of gateways was read once.
    pub(crate) fn set_gateways_listed(&self) {
        self.gateways_listed.store(true, Ordering::Relaxed);
    }

    /// Returns the number of other gateways that sent a message recently.
    pub(crate) fn reachable_peer_count(&self) -> usize {
        let now = self.clock.now();
        self.fleet.lock().watcher_selection.recent_peer_count(now)
    }

    /// Returns whether a serving peer, or every listed peer, has sent a message.
    pub(crate) fn has_consulted_peers(&self) -> bool {
        let is_listed = self.gateways_listed.load(Ordering::Relaxed);
        let has_heard_all = is_listed && self.reachable_peer_count() >= self.peers().len();
        has_heard_all || self.serving_peer_heard.load(Ordering::Relaxed)
    }

    /// Records that a message of a serving peer was received and applied.
    pub(crate) fn set_serving_peer_heard(&self) {
        self.serving_peer_heard.store(true, Ordering::Relaxed);
    }

    /// Returns the load that this gateway has placed, for endpoints that have any.
    pub(crate) fn own_loads(&self) -> Vec<(EndpointProcess, PeerLoad)> {
        let fleet = self.fleet.lock();
        let loads = fleet.ledger.own_loads();
        loads
            .map(|(process, load)| (process.clone(), load.clone()))
            .collect()
    }

    /// Returns the load updates that are due to be sent to peers.
    pub(crate) fn take_load_updates(
        &self,
        updates: &mut LoadUpdates,
    ) -> Vec<(EndpointProcess, PeerLoad)> {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let FleetState {
            ledger, slowdowns, ..
        } = &mut *fleet;
        updates.take_due(now, ledger, |process| slowdowns.slowdown(now, process))
    }

    /// Returns the refusals that were not yet sent to peers.
    pub(crate) fn take_unsent_refusals(&self) -> Vec<RequestFingerprint> {
        self.fleet.lock().refusals.take_unsent()
    }

    /// Applies the load and the refusals that a peer reported.
    pub(crate) fn apply_peer_loads(
        &self,
        peer: &GatewayId,
        loads: Vec<(EndpointProcess, PeerLoad)>,
        refused: Vec<RequestFingerprint>,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let loads: Vec<_> = loads
            .into_iter()
            .filter(|(process, _)| fleet.accepts_peer_load(process))
            .collect();
        let has_ended = fleet.ledger.apply_peer_loads(now, peer, loads);
        for fingerprint in refused {
            fleet.refusals.record_remote(now, fingerprint);
        }
        drop(fleet);
        // New load of peers frees no capacity. If each message woke all waiting requests, they
        // would search all endpoints at the highest rate that the minimum search interval allows.
        if has_ended {
            self.capacity_changed.notify_waiters();
        }
    }

    /// Drops the load of a peer's former incarnation.
    pub(crate) fn forget_peer(&self, peer: &GatewayId) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.ledger.forget_peer(peer);
        fleet.rate_limits.forget_peer(now, peer);
        fleet.cold_limits.forget_peer(now, peer);
    }
}
