//! What the board knows of other gateways, and what it tells them.

use std::sync::atomic::Ordering;

use lovagedock::{
    EndpointProcess, LoadUpdates, PeerContact, PeerLoad, RequestFingerprint, WatchRole, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use slog::info;

use super::{FleetBoard, state::FleetState};

impl FleetBoard {
    /// Records that a peer was heard.
    pub(crate) fn hear_contact(&self, peer: &GatewayId, store_reachable: bool) {
        let contact = PeerContact {
            received_at: self.clock.now(),
            store_reachable,
        };
        let mut fleet = self.fleet.lock();
        fleet.duty.record_peer(peer.clone(), contact);
        fleet.sight.record_message(contact.received_at, peer);
    }

    /// Whether this gateway has to watch the store itself, and for whom.
    pub(crate) fn watch_role(&self) -> WatchRole {
        let now = self.clock.now();
        self.fleet.lock().duty.role(now, &self.name)
    }

    /// Takes in a gateway.
    pub(crate) fn gateway_changed(&self, gateway: GatewayEntry) {
        if gateway.name == self.name {
            return;
        }
        let mut fleet = self.fleet.lock();
        // Each datagram names its sender; nearly all of them are known.
        if fleet.peers.get(&gateway.name) == Some(&gateway) {
            return;
        }
        fleet.peers.insert(gateway.name.clone(), gateway.clone());
        fleet.sight.record_listed(self.clock.now(), &gateway.name);
        drop(fleet);
        self.greeting.store(true, Ordering::Relaxed);
        self.placed.notify_one();
        info!(self.log, "peer listed";
            "peer" => &*gateway.name, "address" => %gateway.address);
    }

    /// Takes in that a gateway's entry is gone.
    pub(crate) fn gateway_gone(&self, name: &GatewayId) {
        let mut fleet = self.fleet.lock();
        fleet.peers.remove(name);
        fleet.sight.forget(name);
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
    pub(crate) fn take_greeting(&self) -> bool {
        self.greeting.swap(false, Ordering::Relaxed)
    }

    /// Says that the list of gateways was read once.
    pub(crate) fn set_gateways_listed(&self) {
        self.gateways_listed.store(true, Ordering::Relaxed);
    }

    /// Other gateways that were heard lately.
    pub(crate) fn heard_peers(&self) -> usize {
        let now = self.clock.now();
        self.fleet.lock().duty.recent_peer_count(now)
    }

    /// Whether a peer that serves was heard, or everybody who is listed.
    pub(crate) fn has_asked_peers(&self) -> bool {
        let is_listed = self.gateways_listed.load(Ordering::Relaxed);
        let hears_all = is_listed && self.heard_peers() >= self.peers().len();
        hears_all || self.hears_serving.load(Ordering::Relaxed)
    }

    /// Records that a peer which serves was heard, and what it tells was taken in.
    pub(crate) fn set_hears_serving(&self) {
        self.hears_serving.store(true, Ordering::Relaxed);
    }

    /// What this gateway has placed, where it has anything.
    pub(crate) fn own_loads(&self) -> Vec<(EndpointProcess, PeerLoad)> {
        let fleet = self.fleet.lock();
        let loads = fleet.ledger.own_loads();
        loads
            .map(|(life, load)| (life.clone(), load.clone()))
            .collect()
    }

    /// Loads that peers have to be told now.
    pub(crate) fn take_load_news(
        &self,
        news: &mut LoadUpdates,
    ) -> Vec<(EndpointProcess, PeerLoad)> {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let FleetState { ledger, paces, .. } = &mut *fleet;
        news.take_due(now, ledger, |life| paces.slowdown(now, life))
    }

    /// Refusals that peers have not been told of.
    pub(crate) fn take_untold_refusals(&self) -> Vec<RequestFingerprint> {
        self.fleet.lock().refusals.take_unsent()
    }

    /// Takes in what a peer has placed and refused.
    pub(crate) fn hear(
        &self,
        peer: &GatewayId,
        loads: Vec<(EndpointProcess, PeerLoad)>,
        refused: Vec<RequestFingerprint>,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let loads: Vec<_> = loads
            .into_iter()
            .filter(|(life, _)| fleet.counts(life))
            .collect();
        let has_ended = fleet.ledger.apply_peer_loads(now, peer, loads);
        for fingerprint in refused {
            fleet.refusals.record_remote(now, fingerprint);
        }
        drop(fleet);
        // What peers place frees nothing. Woken by each message, everybody who waits would look at all
        // endpoints as often as the pause between two looks allows.
        if has_ended {
            self.changed.notify_waiters();
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
