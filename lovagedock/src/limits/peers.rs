//! State of the other gateways: their confirmations, and whether shares may follow demand.

use std::{collections::HashMap, time::Duration};

use super::{demand::DemandVector, message::UsageReport};
use crate::ids::{GatewayId, Incarnation, OrganisationId, Timestamp};

/// Timing of the exchange between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitTiming {
    /// Time between two reports.
    pub interval: Duration,
    /// Time for which a confirmation permits shares to follow demand, measured from the time at
    /// which the confirmed report was sent.
    pub lease: Duration,
    /// Maximum delay of a message that is still treated as current.
    pub max_delay: Duration,
    /// Part of each limit that is split equally regardless of demand, in percent.
    pub floor_percent: u32,
}

impl Default for LimitTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            lease: Duration::from_secs(3),
            max_delay: Duration::from_secs(1),
            floor_percent: 20,
        }
    }
}

/// The method by which a gateway computes its share of each limit.
///
/// Shares by demand add up to one, and so do equal shares, but a mix of both does not. While a
/// network partition begins or ends, the sum could reach twice the limit. An intermediate stage
/// therefore uses the minimum of both. A gateway switches to shares by demand or to equal shares
/// only when no other gateway can still use the opposite method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShareStage {
    /// By demand, while all peers confirm.
    ByDemand,
    /// The minimum of both, while the peers confirm or are expected to confirm.
    Minimum,
    /// The minimum of both. The gateway sends nothing, so that its confirmations expire at all
    /// peers.
    Silent,
    /// Equal shares, because a peer is unreachable.
    Equal,
}

#[derive(Debug, Default)]
struct PeerState {
    incarnation: Option<Incarnation>,
    /// Number of the latest report that the peer has confirmed.
    confirmed: u64,
    /// Time at which this gateway sent that report.
    confirmed_sent_at: Option<Timestamp>,
    /// Number of the latest report received from the peer.
    received: u64,
    received_at: Option<Timestamp>,
    stage: Option<ShareStage>,
    demands: HashMap<OrganisationId, DemandVector>,
}

/// All other gateways in the configuration.
#[derive(Debug)]
pub(super) struct PeerTable {
    timing: LimitTiming,
    peers: HashMap<GatewayId, PeerState>,
    sent_at: HashMap<u64, Timestamp>,
    stage: ShareStage,
    stage_since: Timestamp,
}

impl PeerTable {
    pub(super) fn new(now: Timestamp, peers: Vec<GatewayId>, timing: LimitTiming) -> Self {
        let alone = peers.is_empty();
        let peers = peers.into_iter().map(|peer| (peer, PeerState::default()));
        Self {
            timing,
            peers: peers.collect(),
            sent_at: HashMap::new(),
            stage: if alone {
                ShareStage::Equal
            } else {
                ShareStage::Minimum
            },
            stage_since: now,
        }
    }

    pub(super) fn stage(&self) -> ShareStage {
        self.stage
    }

    pub(super) fn gateway_count(&self) -> usize {
        self.peers.len() + 1
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &GatewayId> {
        self.peers.keys()
    }

    pub(super) fn confirmed_by(&self, peer: &GatewayId) -> u64 {
        self.peers.get(peer).map_or(0, |state| state.confirmed)
    }

    /// Returns the latest report that all peers have confirmed; 0 while a peer has confirmed none.
    pub(super) fn confirmed_by_all(&self) -> u64 {
        self.peers
            .values()
            .map(|state| state.confirmed)
            .min()
            .unwrap_or(0)
    }

    /// Returns the demand of each peer; `None` until every peer has reported.
    pub(super) fn demands(&self, organisation: &OrganisationId) -> Option<Vec<DemandVector>> {
        let reported = |state: &PeerState| {
            let demand = state.demands.get(organisation).copied().unwrap_or_default();
            (state.received > 0).then_some(demand)
        };
        self.peers.values().map(reported).collect()
    }

    pub(super) fn connect(&mut self, peer: &GatewayId, incarnation: Incarnation) {
        let Some(state) = self.peers.get_mut(peer) else {
            return;
        };
        if state.incarnation != Some(incarnation) {
            *state = PeerState {
                incarnation: Some(incarnation),
                ..PeerState::default()
            };
        }
    }

    pub(super) fn record_sent(&mut self, now: Timestamp, sequence: u64) {
        let lease = self.timing.lease;
        self.sent_at.retain(|_, sent_at| now < *sent_at + lease);
        self.sent_at.insert(sequence, now);
    }

    /// Stores a report. Returns whether it is new, applicable and from a known peer.
    pub(super) fn store_report(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        report: &UsageReport,
    ) -> bool {
        let Some(state) = self.peers.get_mut(peer) else {
            return false;
        };
        // The report may be based on one that this gateway does not have, for example after its
        // restart. Unchanged demand would then be missing, and this gateway's share would be too
        // large.
        if report.sequence <= state.received || report.base > state.received {
            return false;
        }
        state.received = report.sequence;
        state.received_at = Some(now);
        state.stage = Some(report.stage);
        for entry in &report.entries {
            let demand = DemandVector {
                requests: entry.requests,
                tokens: entry.tokens,
                in_flight: entry.in_flight,
            };
            state.demands.insert(entry.organisation.clone(), demand);
        }
        true
    }

    pub(super) fn record_confirmation(
        &mut self,
        peer: &GatewayId,
        sequence: u64,
        stage: ShareStage,
    ) {
        let sent_at = self.sent_at.get(&sequence).copied();
        let Some(state) = self.peers.get_mut(peer) else {
            return;
        };
        state.stage = Some(stage);
        if sequence < state.confirmed {
            return;
        }
        state.confirmed = sequence;
        if permits_demand_shares(stage) {
            state.confirmed_sent_at = state.confirmed_sent_at.max(sent_at);
        }
    }

    /// Switches to the stage that is safe now. Must be called before any share is used.
    pub(super) fn advance_stage(&mut self, now: Timestamp) {
        let next = match self.stage {
            ShareStage::ByDemand if !self.all_leases_valid(now) => ShareStage::Minimum,
            ShareStage::Minimum if self.all_leases_valid(now) => ShareStage::ByDemand,
            ShareStage::Minimum if self.stage_lasted(now, self.timing.lease) => ShareStage::Silent,
            ShareStage::Silent if self.stage_lasted(now, self.silence_period()) => {
                ShareStage::Equal
            }
            ShareStage::Equal if self.all_reachable(now) => ShareStage::Minimum,
            same => same,
        };
        if next != self.stage {
            self.stage = next;
            self.stage_since = now;
        }
    }

    /// Whether this gateway may send reports and confirmations to its peers.
    pub(super) fn may_send(&self) -> bool {
        self.stage != ShareStage::Silent
    }

    fn stage_lasted(&self, now: Timestamp, time: Duration) -> bool {
        !self.peers.is_empty() && now >= self.stage_since + time
    }

    /// Time without messages after which no peer has a valid lease from a confirmation of this
    /// gateway.
    fn silence_period(&self) -> Duration {
        self.timing.lease + self.timing.max_delay
    }

    /// Whether no peer can be using equal shares. Each peer has recently confirmed that it is not,
    /// and a peer switches to equal shares only after a silence that is longer than this lease.
    fn all_leases_valid(&self, now: Timestamp) -> bool {
        let lease = self.timing.lease;
        let lease_valid = |state: &PeerState| {
            state
                .confirmed_sent_at
                .is_some_and(|sent_at| now < sent_at + lease)
                && state.stage.is_some_and(permits_demand_shares)
        };
        !self.peers.is_empty() && self.peers.values().all(lease_valid)
    }

    fn all_reachable(&self, now: Timestamp) -> bool {
        let lease = self.timing.lease;
        let reachable = |state: &PeerState| {
            state
                .received_at
                .is_some_and(|received_at| now < received_at + lease)
        };
        !self.peers.is_empty() && self.peers.values().all(reachable)
    }
}

fn permits_demand_shares(stage: ShareStage) -> bool {
    matches!(stage, ShareStage::ByDemand | ShareStage::Minimum)
}
