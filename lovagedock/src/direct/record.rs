//! What is known of one endpoint's work.

use std::{collections::HashMap, time::Duration};

use super::load::{PeerLoad, PlacedWork, WriterTable};
use crate::ids::{GatewayId, Timestamp, TokenCount};

/// Time after which what a peer placed on one endpoint no longer counts, though the peer is heard. A peer
/// tells what it has at least every 1.25 s, so that two messages in a row have to be lost before work that
/// is there is dropped, until the next one. If the message that nothing is there any more is lost, its
/// slots would stay taken for good without this.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Work on one endpoint, of this gateway and of each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointRecord {
    pub(super) own: PeerLoad,
    /// When the engine has read everything that is known to be placed there.
    pub(super) free_at: Timestamp,
    /// Peers that have something there.
    pub(super) peers: HashMap<GatewayId, ReceivedLoad>,
    /// What this gateway and all peers have placed, kept up with every change. Placement looks at
    /// all endpoints for each request and each event is compared with the load of its engine:
    /// beside 23 peers and 70 endpoints a look takes 19 us instead of 25 (`examples/direct_cost`).
    pub(super) total: LoadTotal,
    pub(super) reserved: Vec<ReservedSlots>,
    /// Whether this gateway has something there that peers know of, or have to be told of.
    pub(super) is_used: bool,
    /// Since when the endpoint is not listed.
    pub(super) unlisted_at: Option<Timestamp>,
}

/// What a peer told of an endpoint, and when it did last.
#[derive(Clone, Debug)]
pub(super) struct ReceivedLoad {
    pub(super) load: PeerLoad,
    pub(super) received_at: Timestamp,
}

/// What all gateways have placed on an endpoint.
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

/// Slots that a peer freed a moment ago and that are left to it for a while.
#[derive(Clone, Debug)]
pub(super) struct ReservedSlots {
    pub(super) peer: GatewayId,
    pub(super) slots: u32,
    pub(super) until: Timestamp,
}

impl EndpointRecord {
    /// Replaces what a peer has placed.
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

    /// Forgets what a peer has placed.
    pub(super) fn forget_peer(&mut self, peer: &GatewayId) {
        if let Some(known) = self.peers.remove(peer) {
            self.total.subtract(&known.load);
        }
    }

    /// Forgets what peers have not told again.
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

    /// Records that a long prompt or part of this gateway has been read.
    pub(super) fn finish_prefill(&mut self) {
        self.own.pending_prefills = self.own.pending_prefills.saturating_sub(1);
        self.total.pending_prefills = self.total.pending_prefills.saturating_sub(1);
    }

    pub(super) fn add_own(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.add(&load);
        self.is_used = true;
        self.own.occupied += load.occupied;
        self.own.short += load.short;
        self.own.pending_prefills += load.pending_prefills;
        self.own.suspects += load.suspects;
        self.own.context += load.context;
        self.own.prefill_total += load.prefill_total;
        let writers = load.writers.groups();
        writers.for_each(|group| self.own.writers.add(*group));
    }

    /// Counts out work whose prompt has been read.
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
