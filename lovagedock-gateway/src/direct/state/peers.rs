//! What the board knows of other gateways, and what it tells them.

use std::sync::atomic::Ordering;

use lovagedock::{
    EndpointProcess, LoadUpdates, PeerContact, PeerLoad, RequestFingerprint, WatchRole, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use slog::info;

use super::{GatewayState, fleet_state::FleetState};

impl GatewayState {
    /// Records that a peer was heard.
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

    /// Whether this gateway has to watch the store itself, and for whom.
    pub(crate) fn watch_role(&self) -> WatchRole {
        let now = self.clock.now();
        self.fleet.lock().watcher_selection.role(now, &self.name)
    }

    /// Takes in a gateway.
    pub(crate) fn upsert_gateway(&self, gateway: GatewayEntry) {
        if gateway.name == self.name {
            return;
        }
        let mut fleet = self.fleet.lock();
        // Each datagram names its sender; nearly all of them are known.
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

    /// Takes in that a gateway's entry is gone.
    pub(crate) fn remove_gateway(&self, name: &GatewayId) {
        let mut fleet = self.fleet.lock();
        fleet.peers.remove(name);
        fleet.peer_liveness.forget(name);
        fleet.ledger.forget_peer(name);
        fleet.rate_limits.forget_peer(self.clock.now(), name);
    }

    /// Other gateways that are known.
    pub(crate) fn peers(&self) -> Vec<GatewayEntry> {
        self.fleet.lock().peers.values().cloned().collect()
    }

    /// Whether somebody is to be told of this gateway who did not know of it, now and not with the next
    /// heartbeat: one of the two has started a moment ago, and places without knowing of the other's
    /// requests until then.
    pub(crate) fn take_announce_pending(&self) -> bool {
        self.announce_pending.swap(false, Ordering::Relaxed)
    }

    /// Says that the list of gateways was read once.
    pub(crate) fn set_gateways_listed(&self) {
        self.gateways_listed.store(true, Ordering::Relaxed);
    }

    /// Other gateways that were heard lately.
    pub(crate) fn reachable_peer_count(&self) -> usize {
        let now = self.clock.now();
        self.fleet.lock().watcher_selection.recent_peer_count(now)
    }

    /// Whether a peer that serves was heard, or everybody who is listed.
    pub(crate) fn has_consulted_peers(&self) -> bool {
        let is_listed = self.gateways_listed.load(Ordering::Relaxed);
        let has_heard_all = is_listed && self.reachable_peer_count() >= self.peers().len();
        has_heard_all || self.serving_peer_heard.load(Ordering::Relaxed)
    }

    /// Records that a peer which serves was heard, and what it tells was taken in.
    pub(crate) fn set_serving_peer_heard(&self) {
        self.serving_peer_heard.store(true, Ordering::Relaxed);
    }

    /// What this gateway has placed, where it has anything.
    pub(crate) fn own_loads(&self) -> Vec<(EndpointProcess, PeerLoad)> {
        let fleet = self.fleet.lock();
        let loads = fleet.ledger.own_loads();
        loads
            .map(|(process, load)| (process.clone(), load.clone()))
            .collect()
    }

    /// Loads that peers have to be told now.
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

    /// Refusals that peers have not been told of.
    pub(crate) fn take_unsent_refusals(&self) -> Vec<RequestFingerprint> {
        self.fleet.lock().refusals.take_unsent()
    }

    /// Takes in what a peer has placed and refused.
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
        // What peers place frees nothing. Woken by each message, everybody who waits would look at all
        // endpoints as often as the pause between two looks allows.
        if has_ended {
            self.capacity_changed.notify_waiters();
        }
    }

    /// Forgets what a peer placed in its former life.
    pub(crate) fn forget_peer(&self, peer: &GatewayId) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.ledger.forget_peer(peer);
        fleet.rate_limits.forget_peer(now, peer);
    }
}
