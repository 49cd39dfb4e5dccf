//! Updates of the ledger from other gateways.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ledger::WorkLedger,
    load::{PeerLoad, WorkKey},
    member::MAX_HELPER_BACKLOG,
    process::EndpointProcess,
    record::ReservedSlots,
};
use crate::ids::{GatewayId, Timestamp};

/// Time without a message after which a peer's load no longer counts. Its requests have ended with
/// its connections.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Window around a placement in which gateways that send to each other place without knowing of each
/// other's placements: 30 ms before it and 30 ms after it. This covers the interval between two
/// datagrams and the scheduling delays of two small hosts.
pub(super) const PROPAGATION_WINDOW: Duration = Duration::from_millis(60);

impl WorkLedger {
    /// Applies a peer's loads. Returns whether some of its work ended, in which case placement of
    /// waiting requests is to be attempted again.
    pub fn apply_peer_loads(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        loads: impl IntoIterator<Item = (EndpointProcess, PeerLoad)>,
    ) -> bool {
        let mut has_ended = false;
        let is_known = self.last_message_at.insert(peer.clone(), now).is_some();
        for (endpoint, load) in loads {
            let record = self.endpoints.entry(endpoint).or_default();
            let known = record.peers.get(peer).map(|received| &received.load);
            let added = added_prefill(known, &load, is_known);
            let freed = known.map_or(0, |known| known.occupied.saturating_sub(load.occupied));
            has_ended |= freed > 0
                || known.is_some_and(|known| known.pending_prefills > load.pending_prefills);
            if !added.is_zero() {
                record.free_at = record.free_at.max(now) + added;
                record.prefill_rate.record(now, added);
            }
            if !added.is_zero() && load.pending_prefills == 0 {
                self.short_rate.record(now);
            }
            record
                .reserved
                .retain(|reserved| reserved.peer != *peer && now < reserved.until);
            if freed > 0 {
                record.reserved.push(ReservedSlots {
                    peer: peer.clone(),
                    slots: freed,
                    until: now + self.slot_delay,
                });
            }
            record.set_peer(now, peer, load);
        }
        has_ended
    }

    /// Removes the load of a peer, for example after its restart.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        self.last_message_at.remove(peer);
        for record in self.endpoints.values_mut() {
            record.forget_peer(peer);
            record.reserved.retain(|reserved| reserved.peer != *peer);
        }
    }

    /// Removes peers that have been silent for longer than the timeout, and loads that other peers
    /// have not confirmed. Returns the silent peers.
    pub fn forget_silent(&mut self, now: Timestamp) -> Vec<GatewayId> {
        let silent: Vec<GatewayId> = self
            .last_message_at
            .iter()
            .filter(|(_, received_at)| now.saturating_sub(**received_at) > PEER_TIMEOUT)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &silent {
            self.forget_peer(peer);
        }
        for record in self.endpoints.values_mut() {
            record.forget_unconfirmed(now);
        }
        silent
    }

    /// Returns the expected number of short prompts, on any service, that peers place around `now`
    /// such that neither this gateway nor the peer knows of the other's placement.
    pub fn concurrent_placements(&self, now: Timestamp) -> f64 {
        self.short_rate.per_second_at(now) * self.propagation_window.as_secs_f64()
    }

    /// Returns whether the endpoint of claimed work has got other work since, or a claim of a peer
    /// that goes before `gateway`.
    pub fn is_claim_lost(&self, now: Timestamp, gateway: &GatewayId, key: WorkKey) -> bool {
        let Some((endpoint, before)) = self.claimed(key) else {
            return false;
        };
        let Some(record) = self.endpoints.get(endpoint) else {
            return true;
        };
        let was_free_at = before.free_at.max(now);
        if record.free_at.saturating_sub(was_free_at) > MAX_HELPER_BACKLOG {
            return true;
        }
        if record.total.pending_prefills <= before.pending_prefills + 1 {
            return false;
        }
        let rank = claim_rank(gateway);
        let claims = record.peers.iter();
        let mut claims = claims.filter(|(_, received)| received.load.pending_prefills > 0);
        claims.any(|(peer, _)| claim_rank(peer) < rank)
    }

    /// Returns the time after which a claim has reached all gateways, and those that were sent
    /// before it arrived there have reached this one; zero if no other gateway is heard.
    pub fn claim_time(&self) -> Duration {
        match self.last_message_at.is_empty() {
            true => Duration::ZERO,
            false => self.propagation_window,
        }
    }

    /// Returns by how much relays delay messages between gateways.
    pub fn relay_delay(&self) -> Duration {
        self.propagation_window.saturating_sub(PROPAGATION_WINDOW) / 2
    }

    /// Records a sign of life of a peer whose loads are known. Its loads count on.
    pub fn refresh_peer(&mut self, now: Timestamp, peer: &GatewayId) {
        if let Some(received_at) = self.last_message_at.get_mut(peer) {
            *received_at = now;
        }
    }

    /// Sets by how much messages between gateways are delayed by relays.
    pub fn set_relay_delay(&mut self, delay: Duration) {
        self.propagation_window = PROPAGATION_WINDOW + delay * 2;
    }

    /// Returns the number of peers whose loads are counted.
    pub fn peer_count(&self) -> usize {
        self.last_message_at.len()
    }
}

/// Returns the rank of a gateway among those that claim endpoints at the same moment; the lowest goes
/// first. If the rank differed by endpoint, of two teams that share many endpoints each would lose
/// one, over and over.
fn claim_rank(gateway: &GatewayId) -> u64 {
    xxh3_64(gateway.as_bytes())
}

/// Returns the prefill time that a peer has added to an endpoint since its previous message about
/// it.
fn added_prefill(known: Option<&PeerLoad>, load: &PeerLoad, is_known: bool) -> Duration {
    if load.is_idle() {
        // All prefills that the peer placed have finished.
        return Duration::ZERO;
    }
    let total = load.prefill_total;
    match known {
        // The total was reset after the peer had no work there.
        Some(known) if total < known.prefill_total => total,
        Some(known) => total - known.prefill_total,
        // A known peer had no work on an endpoint that it did not report.
        None if is_known => total,
        // The prefills that a new peer reports may have finished long ago.
        None => Duration::ZERO,
    }
}
