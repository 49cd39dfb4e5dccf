//! Claims of slots for short prompts, so that gateways that place at the same moment do not use the
//! same slot.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use super::{ledger::WorkLedger, load::WorkKey, process::EndpointProcess};
use crate::ids::{GatewayId, Timestamp};

/// Free slots of an engine up to which a short prompt claims one. Two placements within the
/// propagation time of a message are common in a burst, three are rare.
const LAST_SLOTS: u32 = 2;

/// Time until a claim has reached the other gateways, without relays: the interval between two
/// datagrams, the distance between two failure domains and the scheduling delay of a small host.
const CLAIM_TIME: Duration = Duration::from_millis(20);

/// Share of the remaining objective that the claim time and the predicted first event may use
/// together. Predictions are off by about a pass of the engine.
const OBJECTIVE_SHARE: f64 = 0.85;

/// A short prompt's choice of an engine, before it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotClaim {
    /// Slots of the engine.
    pub slots: u32,
    /// Requests that were on the engine before, from all gateways.
    pub occupied: u32,
    /// Engines that were about equally good when this one was drawn.
    pub alternatives: usize,
    /// Predicted time from sending to the first event.
    pub first_event: Duration,
    /// Prefill time of the prompt.
    pub prefill_time: Duration,
    /// When the first event is late.
    pub late_at: Timestamp,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request may be sent.
    Confirmed,
    /// Another claim goes first, or the engine has got too much other work.
    Lost,
}

impl SlotClaim {
    /// Returns for how long to claim the slot before the request is sent; zero if it is sent at once.
    ///
    /// `concurrent` is the number of placements of other gateways that are not known to this one
    /// yet. A prompt that has no time left for a claim is sent without one.
    pub fn claim_time(&self, now: Timestamp, concurrent: f64, relay_delay: Duration) -> Duration {
        let is_last = self.occupied + LAST_SLOTS >= self.slots;
        let is_crowded = concurrent > self.alternatives as f64;
        // Without concurrent placements, no other gateway can choose the same slot.
        let is_contended = concurrent >= 1.0 && (is_last || is_crowded);
        let claim_time = CLAIM_TIME + relay_delay;
        let time_left = self.late_at.saturating_sub(now).mul_f64(OBJECTIVE_SHARE);
        match is_contended && claim_time + self.first_event <= time_left {
            true => claim_time,
            false => Duration::ZERO,
        }
    }
}

/// Work and claims on an engine, as known to a gateway that has a claim there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotContention {
    /// Requests on the engine, including all claims.
    pub occupied: u32,
    /// Claims of all gateways, including this one.
    pub claims: u32,
    /// Claims that go before this one.
    pub claims_before: u32,
    /// Prefill time that has been sent to the engine since this claim.
    pub added_backlog: Duration,
}

impl SlotContention {
    /// Decides whether a claim is kept at the end of its claim time.
    pub fn verdict(&self, now: Timestamp, claim: &SlotClaim) -> ClaimVerdict {
        let firm = self.occupied.saturating_sub(self.claims);
        let available = claim.slots.saturating_sub(firm);
        if self.claims_before >= available {
            return ClaimVerdict::Lost;
        }
        let added = self.added_backlog + claim.prefill_time * self.claims_before;
        let time_left = claim.late_at.saturating_sub(now).mul_f64(OBJECTIVE_SHARE);
        match !added.is_zero() && claim.first_event + added > time_left {
            true => ClaimVerdict::Lost,
            false => ClaimVerdict::Confirmed,
        }
    }
}

impl WorkLedger {
    /// Returns the work and the claims on the endpoint of a claim. Without the endpoint, for example
    /// after its process was replaced, or if the work is no claim, nothing is known.
    pub fn slot_contention(
        &self,
        now: Timestamp,
        gateway: &GatewayId,
        key: WorkKey,
    ) -> SlotContention {
        let Some((endpoint, before)) = self.claimed(key) else {
            return SlotContention::default();
        };
        let Some(record) = self.endpoints.get(endpoint) else {
            return SlotContention::default();
        };
        let rank = claim_rank(gateway, endpoint);
        let peers = record.peers.iter();
        let peers = peers.filter(|(_, received)| received.load.claimed > 0);
        let mut contention = SlotContention {
            occupied: record.total.occupied,
            claims: record.own.claimed,
            claims_before: self.earlier_claims(endpoint, key),
            added_backlog: record
                .free_at
                .max(now)
                .saturating_sub(before.free_at.max(now)),
        };
        for (peer, received) in peers {
            contention.claims += received.load.claimed;
            if claim_rank(peer, endpoint) < rank {
                contention.claims_before += received.load.claimed;
            }
        }
        contention
    }
}

/// Returns the rank of a gateway among those that claim slots of one endpoint; the lowest goes first.
/// It differs by endpoint, so that no gateway always gives way.
fn claim_rank(gateway: &GatewayId, endpoint: &EndpointProcess) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(gateway.as_bytes());
    hasher.update(endpoint.id.as_bytes());
    hasher.digest()
}
