//! Record of the work on one endpoint.

use std::{collections::HashMap, time::Duration};

use super::{
    load::{PeerLoad, PlacedWork, WriterTable},
    rate::EventRate,
};
use crate::ids::{GatewayId, Timestamp, TokenCount};

/// Time without confirmation after which a peer's load on one endpoint no longer counts, although
/// other messages of the peer arrive. A peer sends its loads at least every 1.25 s, so existing
/// work is dropped only after the loss of two consecutive messages, and only until the next one.
/// Without this timeout, the loss of the message that the peer's work has ended would keep its
/// slots occupied forever.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Work on one endpoint, placed by this gateway and by each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointRecord {
    pub(super) own: PeerLoad,
    /// When the engine will have prefilled everything that is known to be placed there.
    pub(super) free_at: Timestamp,
    /// Loads of the peers that have work there.
    pub(super) peers: HashMap<GatewayId, ReceivedLoad>,
    /// Load that this gateway and all peers have placed, updated on every change. Placement
    /// evaluates all endpoints for each request, and each event is compared with the load of its
    /// engine. With 23 peers and 70 endpoints, an evaluation takes 19 us instead of 25
    /// (`examples/direct_cost`).
    pub(super) total: LoadTotal,
    pub(super) reserved: Vec<ReservedSlots>,
    /// Whether this gateway has work there, or has to report to peers that its work has ended.
    pub(super) is_used: bool,
    /// Since when the endpoint has been unlisted.
    pub(super) unlisted_at: Option<Timestamp>,
    /// Prefill time that all gateways place there.
    pub(super) prefill_rate: PrefillRate,
}

/// Averaging window of the prefill time that is placed on an endpoint: longer than the prefill of
/// the longest prompts, which are started some times per minute on each endpoint.
const PREFILL_RATE_WINDOW: Duration = Duration::from_secs(5);

/// Prefill time placed per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillRate(EventRate);

impl Default for PrefillRate {
    fn default() -> Self {
        Self(EventRate::new(PREFILL_RATE_WINDOW))
    }
}

impl PrefillRate {
    pub(super) fn record(&mut self, now: Timestamp, prefill_time: Duration) {
        self.0.record_amount(now, prefill_time.as_secs_f64());
    }

    /// Returns the seconds of prefill placed per second.
    pub(super) fn per_second_at(&self, now: Timestamp) -> f64 {
        self.0.per_second_at(now)
    }
}

/// Latest load that a peer reported for an endpoint.
#[derive(Clone, Debug)]
pub(super) struct ReceivedLoad {
    pub(super) load: PeerLoad,
    pub(super) received_at: Timestamp,
}

/// Load that all gateways have placed on an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTotal {
    pub(super) occupied: u32,
    pub(super) short: u32,
    pub(super) pending_prefills: u32,
    pub(super) suspects: u32,
    pub(super) context: TokenCount,
    pub(super) writers: WriterTable,
}

impl LoadTotal {
    pub(super) fn add(&mut self, load: &PeerLoad) {
        self.occupied += load.occupied;
        self.short += load.short;
        self.pending_prefills += load.pending_prefills;
        self.suspects += load.suspects;
        self.context += load.context;
        load.writers
            .groups()
            .for_each(|group| self.writers.add(*group));
    }

    pub(super) fn subtract(&mut self, load: &PeerLoad) {
        self.occupied = self.occupied.saturating_sub(load.occupied);
        self.short = self.short.saturating_sub(load.short);
        self.pending_prefills = self.pending_prefills.saturating_sub(load.pending_prefills);
        self.suspects = self.suspects.saturating_sub(load.suspects);
        self.context = self.context.saturating_sub(load.context);
        load.writers
            .groups()
            .for_each(|group| self.writers.remove(*group));
    }
}

/// Slots that a peer freed and that stay reserved for it for a short time.
#[derive(Clone, Debug)]
pub(super) struct ReservedSlots {
    pub(super) peer: GatewayId,
    pub(super) slots: u32,
    pub(super) until: Timestamp,
}

impl EndpointRecord {
    /// Replaces the load of a peer.
    pub(super) fn set_peer(&mut self, now: Timestamp, peer: &GatewayId, load: PeerLoad) {
        self.forget_peer(peer);
        if load.is_idle() {
            return;
        }
        self.total.add(&load);
        let received = ReceivedLoad {
            load,
            received_at: now,
        };
        self.peers.insert(peer.clone(), received);
    }

    /// Removes the load of a peer.
    pub(super) fn forget_peer(&mut self, peer: &GatewayId) {
        if let Some(known) = self.peers.remove(peer) {
            self.total.subtract(&known.load);
        }
    }

    /// Removes the loads that peers have not confirmed within the timeout.
    pub(super) fn forget_unconfirmed(&mut self, now: Timestamp) {
        let total = &mut self.total;
        self.peers.retain(|_, received| {
            let is_confirmed = now.saturating_sub(received.received_at) <= UNCONFIRMED_TIMEOUT;
            if !is_confirmed {
                total.subtract(&received.load);
            }
            is_confirmed
        });
    }

    /// Records that a long prompt or part of one that this gateway placed has been prefilled.
    pub(super) fn finish_prefill(&mut self) {
        self.own.pending_prefills = self.own.pending_prefills.saturating_sub(1);
        self.total.pending_prefills = self.total.pending_prefills.saturating_sub(1);
    }

    /// Adds work without its prefill time.
    pub(super) fn add_claim(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.add(&load);
        self.is_used = true;
        self.own.occupied += load.occupied;
        self.own.short += load.short;
        self.own.pending_prefills += load.pending_prefills;
        self.own.suspects += load.suspects;
        self.own.context += load.context;
        let writers = load.writers.groups();
        writers.for_each(|group| self.own.writers.add(*group));
    }

    /// Subtracts work whose prompt has been prefilled.
    pub(super) fn remove_own(&mut self, work: &PlacedWork) {
        let load = PeerLoad {
            pending_prefills: 0,
            ..work.as_load()
        };
        self.total.subtract(&load);
        self.own.occupied = self.own.occupied.saturating_sub(load.occupied);
        self.own.short = self.own.short.saturating_sub(load.short);
        self.own.suspects = self.own.suspects.saturating_sub(load.suspects);
        self.own.context = self.own.context.saturating_sub(load.context);
        let writers = load.writers.groups();
        writers.for_each(|group| self.own.writers.remove(*group));
    }
}
