//! What is known of one endpoint's work.

use std::{collections::HashMap, time::Duration};

use super::load::{PeerLoad, PlacedWork, WorkKey, WriterTable};
use crate::ids::{GatewayId, Timestamp, TokenCount};

/// Lateness from which a read is overdue. Predictions miss by a pass or two of up to 100 ms, and the
/// end of a read shows by the event that follows it.
const OVERDUE_TIME: Duration = Duration::from_millis(250);

/// Work on one endpoint, of this gateway and of each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointRecord {
    pub(super) own: PeerLoad,
    /// When this gateway's long prompts that are not read yet should be.
    pub(super) own_reads: Vec<(WorkKey, Timestamp)>,
    /// When the engine has read everything that is known to be placed there.
    pub(super) free_at: Timestamp,
    pub(super) peers: HashMap<GatewayId, PeerLoad>,
    /// What this gateway and all peers have placed, kept up with every change. Placement looks at
    /// all endpoints for each request and each event is compared with the load of its engine:
    /// beside 23 peers and 70 endpoints a look takes 19 us instead of 25 (`examples/direct_cost`).
    pub(super) total: LoadTotal,
    pub(super) held: Vec<HeldSlots>,
    /// Whether this gateway ever placed anything there; peers are told of nothing else.
    pub(super) is_used: bool,
    /// Since when the endpoint is not listed.
    pub(super) gone_at: Option<Timestamp>,
}

/// What all gateways have placed on an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTotal {
    pub(super) occupied: u32,
    pub(super) short: u32,
    /// Of peers; this gateway's own come due with time.
    pub(super) overdue: u32,
    pub(super) context: TokenCount,
    pub(super) writers: WriterTable,
}

impl LoadTotal {
    pub(super) fn add(&mut self, load: &PeerLoad) {
        self.occupied += load.occupied;
        self.short += load.short;
        self.overdue += load.overdue;
        self.context += load.context;
        load.writers
            .groups()
            .for_each(|group| self.writers.add(*group));
    }

    pub(super) fn subtract(&mut self, load: &PeerLoad) {
        self.occupied = self.occupied.saturating_sub(load.occupied);
        self.short = self.short.saturating_sub(load.short);
        self.overdue = self.overdue.saturating_sub(load.overdue);
        self.context = self.context.saturating_sub(load.context);
        load.writers
            .groups()
            .for_each(|group| self.writers.remove(*group));
    }
}

/// Slots that a peer freed a moment ago and that are left to it for a while.
#[derive(Clone, Debug)]
pub(super) struct HeldSlots {
    pub(super) peer: GatewayId,
    pub(super) slots: u32,
    pub(super) until: Timestamp,
}

impl EndpointRecord {
    /// Replaces what a peer has placed; `None` forgets the peer.
    pub(super) fn set_peer(&mut self, peer: &GatewayId, load: Option<PeerLoad>) {
        if let Some(load) = &load {
            self.total.add(load);
        }
        let known = match load {
            Some(load) => self.peers.insert(peer.clone(), load),
            None => self.peers.remove(peer),
        };
        if let Some(known) = known {
            self.total.subtract(&known);
        }
    }

    pub(super) fn own_overdue(&self, now: Timestamp) -> u32 {
        let due = self.own_reads.iter();
        due.filter(|(_, due)| now > *due + OVERDUE_TIME).count() as u32
    }

    pub(super) fn add_own(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.add(&load);
        self.is_used = true;
        self.own.occupied += load.occupied;
        self.own.short += load.short;
        self.own.context += load.context;
        self.own.reading_total += load.reading_total;
        let writers = load.writers.groups();
        writers.for_each(|group| self.own.writers.add(*group));
    }

    pub(super) fn remove_own(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.subtract(&load);
        self.own.occupied = self.own.occupied.saturating_sub(load.occupied);
        self.own.short = self.own.short.saturating_sub(load.short);
        self.own.context = self.own.context.saturating_sub(load.context);
        let writers = load.writers.groups();
        writers.for_each(|group| self.own.writers.remove(*group));
    }
}
