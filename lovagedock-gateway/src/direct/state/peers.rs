//! State that is received from other gateways or sent to them.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use lovagedock::{
    EndpointProcess, LoadUpdates, PeerContact, PeerLoad, RelayCandidate, RequestFingerprint,
    SendPlan, WatchRole, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use slog::debug;

use super::{GatewayState, fleet_state::FleetState};
use crate::direct::peer_message::{GatewayTag, gateway_tag};

/// Time by which two relays delay a message: the interval between two rounds of datagrams, half of it
/// on average, at each of them.
const RELAY_DELAY: Duration = Duration::from_millis(30);

impl GatewayState {
    /// Records the receipt of a message from a peer.
    pub(crate) fn record_peer_contact(&self, peer: &GatewayId, store_reachable: bool) {
        let contact = PeerContact {
            received_at: self.clock.now(),
            store_reachable,
        };
        let mut fleet = self.fleet.lock();
        fleet.relays.record_heard(contact.received_at, peer);
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
        let tag = gateway_tag(&gateway.name);
        fleet.peer_tags.insert(tag, gateway.name.clone());
        let candidate = RelayCandidate {
            domain: gateway.domain.clone(),
            capacity: gateway.capacity,
        };
        fleet
            .relays
            .record_listed(self.clock.now(), &gateway.name, &candidate);
        fleet
            .peer_liveness
            .record_listed(self.clock.now(), &gateway.name);
        fleet.parts.resend_quarantines();
        drop(fleet);
        self.announce_pending.store(true, Ordering::Relaxed);
        self.urgent_update.notify_one();
        debug!(self.log, "peer listed";
            "peer" => &*gateway.name, "address" => %gateway.address);
    }

    /// Removes a gateway whose entry was deleted.
    pub(crate) fn remove_gateway(&self, name: &GatewayId) {
        let mut fleet = self.fleet.lock();
        fleet.peers.remove(name);
        fleet.relays.forget(name);
        fleet.peer_liveness.forget(name);
        fleet.ledger.forget_peer(name);
        fleet.bookings.forget_peer(name);
        fleet.shares.forget_peer(name);
        fleet.rate_limits.forget_peer(self.clock.now(), name);
        fleet.cold_limits.forget_peer(self.clock.now(), name);
    }

    /// Returns the known other gateways.
    pub(crate) fn peers(&self) -> Vec<GatewayEntry> {
        self.fleet.lock().peers.values().cloned().collect()
    }

    /// Returns the addresses of gateways.
    pub(crate) fn peer_addresses(&self, names: &[GatewayId]) -> Vec<SocketAddr> {
        let fleet = self.fleet.lock();
        let known = names.iter().filter_map(|name| fleet.peers.get(name));
        known.map(|peer| peer.address).collect()
    }

    /// Returns to whom this gateway sends its messages.
    pub(crate) fn send_plan(&self) -> SendPlan {
        let now = self.clock.now();
        let is_stopping = self.is_stopping();
        let mut fleet = self.fleet.lock();
        fleet.relays.record_stopping(&self.name, is_stopping);
        let plan = fleet.relays.plan(now);
        let relay_delay = match plan {
            SendPlan::Direct => Duration::ZERO,
            SendPlan::Member { .. } | SendPlan::Relay { .. } => RELAY_DELAY,
        };
        fleet.ledger.set_relay_delay(relay_delay);
        plan
    }

    /// Returns whether this gateway reads the store when it starts, instead of waiting for the state
    /// of its relay.
    pub(crate) fn reads_store_first(&self) -> bool {
        let fleet = self.fleet.lock();
        !fleet.relays.is_relayed() || fleet.relays.is_chosen(self.clock.now())
    }

    /// Returns whether other gateways tell this one of all that start or end.
    pub(crate) fn hears_relays(&self) -> bool {
        let is_relayed = self.fleet.lock().relays.is_relayed();
        is_relayed && self.reachable_peer_count() > 0
    }

    /// Returns whether the list of gateways was read once.
    pub(crate) fn has_gateways(&self) -> bool {
        self.gateways_listed.load(Ordering::Relaxed)
    }

    /// Records a message of a relay.
    pub(crate) fn record_relayed(&self, relay: &GatewayId) {
        let now = self.clock.now();
        self.fleet.lock().relays.record_relayed(now, relay);
    }

    /// Records a message of a gateway that this one forwards.
    pub(crate) fn record_member(&self, member: &GatewayId, is_subscribed: bool) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.relays.record_member(now, member, is_subscribed);
    }

    /// Records whether a gateway is stopping.
    pub(crate) fn record_peer_stopping(&self, peer: &GatewayId, is_stopping: bool) {
        let mut fleet = self.fleet.lock();
        fleet.relays.record_stopping(peer, is_stopping);
    }

    /// Returns the gateways of this failure domain whose messages arrive.
    pub(crate) fn present_members(&self) -> Vec<GatewayId> {
        let now = self.clock.now();
        self.fleet.lock().relays.present_members(now)
    }

    /// Returns the gateways of this failure domain that have become silent.
    pub(crate) fn take_silent_members(&self) -> Vec<GatewayId> {
        let now = self.clock.now();
        self.fleet.lock().relays.take_silent(now)
    }

    /// Returns whether a gateway is in this one's failure domain.
    pub(crate) fn is_in_domain(&self, peer: &GatewayId) -> bool {
        let fleet = self.fleet.lock();
        let known = fleet.peers.get(peer);
        known.is_some_and(|peer| peer.domain == self.candidate.domain)
    }

    /// Records signs of life of gateways that their relays report as present.
    pub(crate) fn refresh_peers(&self, tags: &[GatewayTag]) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let FleetState {
            peer_tags,
            watcher_selection,
            peer_liveness,
            ledger,
            relays,
            ..
        } = &mut *fleet;
        for peer in tags.iter().filter_map(|tag| peer_tags.get(tag)) {
            watcher_selection.refresh_peer(now, peer);
            peer_liveness.record_message(now, peer);
            ledger.refresh_peer(now, peer);
            relays.record_heard(now, peer);
        }
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
        fleet.bookings.forget_peer(peer);
        fleet.shares.forget_peer(peer);
        fleet.rate_limits.forget_peer(now, peer);
        fleet.cold_limits.forget_peer(now, peer);
        fleet.flow.forget_peer(peer);
        fleet.parts.resend_quarantines();
    }
}
