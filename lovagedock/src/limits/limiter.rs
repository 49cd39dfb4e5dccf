//! Admission of requests within the limits of their organisation.

use std::{collections::HashMap, time::Duration};

use super::{
    demand::DemandVector,
    message::{LimitAction, LimitEvent, UsageAck, UsageEntry, UsageReport},
    peers::{LimitTiming, PeerTable, ShareStage},
    usage::{LimitShares, OrganisationUsage},
};
use crate::{
    config::OrganisationLimits,
    ids::{GatewayId, OrganisationId, Timestamp, TokenCount},
};

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per minute.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// The decision whether a request is within its organisation's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limits and has been counted.
    Admitted,
    /// The request exceeds a limit.
    Refused {
        /// The limit that the request would exceed.
        limit: LimitKind,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Enforces the limits of organisations across all gateways.
///
/// Each gateway has a share of each limit. Shares follow the demand that gateways report to each
/// other, and their sum never exceeds one. Within any period `w`, all gateways together admit at
/// most `limit * (w + 1 s)` requests plus one request per gateway, and at most
/// `limit * (w + 10 s)` tokens plus one request per gateway. The concurrency limit may be exceeded
/// by the requests that were admitted before a share moved; see the design record.
#[derive(Debug)]
pub struct UsageLimiter {
    timing: LimitTiming,
    peers: PeerTable,
    sequence: u64,
    organisations: HashMap<OrganisationId, OrganisationUsage>,
}

impl UsageLimiter {
    /// Creates the limiter of a gateway with these peers.
    pub fn new(now: Timestamp, peers: Vec<GatewayId>, timing: LimitTiming) -> Self {
        Self {
            timing,
            peers: PeerTable::new(now, peers, timing),
            sequence: 0,
            organisations: HashMap::new(),
        }
    }

    /// Sets an organisation's limits from the configuration.
    pub fn set_limits(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        limits: OrganisationLimits,
    ) {
        let entry = self.organisations.entry(organisation.clone());
        entry.or_insert_with(|| OrganisationUsage::new(now)).limits = limits;
    }

    /// Decides whether to admit a request with this many tokens, and counts it if it is admitted.
    pub fn admit(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        tokens: TokenCount,
    ) -> LimitDecision {
        self.peers.advance_stage(now);
        let shares = self.shares(organisation);
        let Some(usage) = self.organisations.get_mut(organisation) else {
            return LimitDecision::Admitted;
        };
        usage.apply_shares(now, &shares);
        usage.admit(&shares, tokens)
    }

    /// Records the end of a request, with the tokens that were not known at its admission.
    pub fn finish(&mut self, organisation: &OrganisationId, extra_tokens: TokenCount) {
        if let Some(usage) = self.organisations.get_mut(organisation) {
            usage.finish(extra_tokens);
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Timestamp, event: LimitEvent) -> Vec<LimitAction> {
        self.peers.advance_stage(now);
        let actions = match event {
            LimitEvent::PeerConnected { peer, incarnation } => {
                self.peers.connect(&peer, incarnation);
                Vec::new()
            }
            LimitEvent::ReportReceived { peer, report } => self.receive_report(now, peer, &report),
            LimitEvent::AckReceived { peer, ack } => {
                if ack.sequence <= self.sequence {
                    self.peers
                        .record_confirmation(&peer, ack.sequence, ack.stage);
                }
                Vec::new()
            }
            LimitEvent::Tick => self.report_usage(now),
        };
        self.peers.advance_stage(now);
        self.apply_all_shares(now);
        actions
    }

    /// Returns the stage by which shares are currently computed.
    pub fn stage(&self) -> ShareStage {
        self.peers.stage()
    }

    /// Returns this gateway's current share of a limit, `0.0..=1.0`.
    pub fn share(&mut self, now: Timestamp, organisation: &OrganisationId, kind: LimitKind) -> f64 {
        self.peers.advance_stage(now);
        let shares = self.shares(organisation);
        match kind {
            LimitKind::Requests => shares.requests,
            LimitKind::Tokens => shares.tokens,
            LimitKind::Concurrency => shares.concurrency,
        }
    }

    /// Returns the number of an organisation's requests in flight at this gateway.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |usage| usage.in_flight)
    }

    fn receive_report(
        &mut self,
        now: Timestamp,
        peer: GatewayId,
        report: &UsageReport,
    ) -> Vec<LimitAction> {
        if !self.peers.store_report(now, &peer, report) || !self.peers.may_send() {
            return Vec::new();
        }
        // This gateway's shares must shrink before the confirmation allows the peer's to grow.
        self.peers.advance_stage(now);
        self.apply_all_shares(now);
        let ack = UsageAck {
            sequence: report.sequence,
            stage: self.peers.stage(),
        };
        vec![LimitAction::Acknowledge { peer, ack }]
    }

    fn report_usage(&mut self, now: Timestamp) -> Vec<LimitAction> {
        self.sequence += 1;
        for usage in self.organisations.values_mut() {
            usage.close_exchange(self.sequence);
        }
        // A lower demand takes effect on this gateway before it is reported to a peer.
        self.apply_all_shares(now);
        if !self.peers.may_send() {
            return Vec::new();
        }
        self.peers.record_sent(now, self.sequence);
        let peers: Vec<GatewayId> = self.peers.ids().cloned().collect();
        let report = |peer: GatewayId| LimitAction::Report {
            report: self.report_to(&peer),
            peer,
        };
        peers.into_iter().map(report).collect()
    }

    fn report_to(&self, peer: &GatewayId) -> UsageReport {
        let confirmed = self.peers.confirmed_by(peer);
        let changed = self.organisations.iter();
        let changed = changed.filter(|(_, usage)| usage.demand.changed_since(confirmed));
        let entries = changed.map(|(organisation, usage)| {
            let demand = usage.demand.latest();
            UsageEntry {
                organisation: organisation.clone(),
                requests: demand.requests,
                tokens: demand.tokens,
                in_flight: demand.in_flight,
            }
        });
        UsageReport {
            sequence: self.sequence,
            base: confirmed,
            stage: self.peers.stage(),
            entries: entries.collect(),
        }
    }

    fn apply_all_shares(&mut self, now: Timestamp) {
        let busy = self
            .organisations
            .iter()
            .filter(|(_, usage)| !usage.is_idle());
        let busy: Vec<OrganisationId> = busy.map(|(name, _)| name.clone()).collect();
        for organisation in busy {
            let shares = self.shares(&organisation);
            if let Some(usage) = self.organisations.get_mut(&organisation) {
                usage.apply_shares(now, &shares);
            }
        }
    }

    fn shares(&mut self, organisation: &OrganisationId) -> LimitShares {
        let confirmed = self.peers.confirmed_by_all();
        let peers = self.peers.demands(organisation);
        let usage = self.organisations.get_mut(organisation);
        let own = usage.map_or(DemandVector::default(), |usage| {
            usage.demand.confirmed_demand(confirmed)
        });
        let share = |field: fn(&DemandVector) -> u64| {
            let others = peers
                .as_ref()
                .map(|peers| peers.iter().map(field).sum::<u64>());
            self.share_in_stage(field(&own), others)
        };
        LimitShares {
            requests: share(|demand| demand.requests),
            tokens: share(|demand| demand.tokens),
            concurrency: share(DemandVector::concurrency_demand),
            peers_in_flight: peers
                .iter()
                .flatten()
                .map(|demand| u64::from(demand.in_flight))
                .sum(),
        }
    }

    fn share_in_stage(&self, own: u64, others: Option<u64>) -> f64 {
        let by_demand = match others {
            Some(others) if own > 0 => own as f64 / (own + others) as f64,
            _ => 0.0,
        };
        let equal = 1.0 / self.peers.gateway_count() as f64;
        let variable = match self.peers.stage() {
            ShareStage::ByDemand => by_demand,
            ShareStage::Minimum | ShareStage::Silent => by_demand.min(equal),
            ShareStage::Equal => equal,
        };
        let floor = f64::from(self.timing.floor_percent) / 100.0;
        floor * equal + (1.0 - floor) * variable
    }
}
