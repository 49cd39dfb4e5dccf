//! What the ledger takes in from other gateways.

use std::time::Duration;

use super::{ledger::WorkLedger, load::PeerLoad, process::EndpointProcess, record::ReservedSlots};
use crate::ids::{GatewayId, Timestamp};

/// Time without a message after which what a peer had placed no longer counts: its requests have
/// ended with its connections.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time around a placement in which gateways place without knowing of each other's: 30 ms before it and
/// 30 ms after it. That is the pause between two datagrams and the turns of two small hosts, by joined
/// logs of a day with 68 gateways.
const PROPAGATION_WINDOW: Duration = Duration::from_millis(60);

impl WorkLedger {
    /// Takes in what a peer has placed on some endpoints; tells whether something of it ended, which
    /// those who wait for a place have to know.
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
            let is_long = load.pending_prefills > known.map_or(0, |known| known.pending_prefills);
            has_ended |= freed > 0
                || known.is_some_and(|known| known.pending_prefills > load.pending_prefills);
            if !added.is_zero() {
                record.free_at = record.free_at.max(now) + added;
            }
            if !added.is_zero() && !is_long {
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

    /// Forgets what a peer placed, such as one that restarted.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        self.last_message_at.remove(peer);
        for record in self.endpoints.values_mut() {
            record.forget_peer(peer);
            record.reserved.retain(|reserved| reserved.peer != *peer);
        }
    }

    /// Forgets peers that have been silent for too long, and what the others no longer tell; returns
    /// the silent ones.
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

    /// Short prompts that peers place around `now`, on any service, without having heard of one that is
    /// placed here now, nor this gateway of theirs.
    pub fn concurrent_placements(&self, now: Timestamp) -> f64 {
        self.short_rate.per_second_at(now) * PROPAGATION_WINDOW.as_secs_f64()
    }

    /// Peers that were heard lately.
    pub fn peer_count(&self) -> usize {
        self.last_message_at.len()
    }
}

/// Reading that a peer has placed on an endpoint since it told of it last.
fn added_prefill(known: Option<&PeerLoad>, load: &PeerLoad, is_known: bool) -> Duration {
    if load.is_idle() {
        // Whatever it placed has been read.
        return Duration::ZERO;
    }
    let total = load.prefill_total;
    match known {
        // A lower total has begun anew after the peer had nothing there.
        Some(known) if total < known.prefill_total => total,
        Some(known) => total - known.prefill_total,
        // A peer that was heard before had nothing on an endpoint that it did not name.
        None if is_known => total,
        // What a new one has placed may be read long since.
        None => Duration::ZERO,
    }
}
