//! Usage limits of organisations at this gateway.

use std::sync::Arc;

use lovagedock::{
    LimitAction, LimitDecision, LimitEvent, LimitTiming, UsageAck, UsageLimiter, UsageReport,
    prelude::*,
};
use parking_lot::Mutex;

/// A usage report to send to a peer.
pub(crate) struct PeerReport {
    /// The peer.
    pub(crate) peer: GatewayId,
    /// The report.
    pub(crate) report: UsageReport,
}

/// The usage limiter of a gateway; cheap to clone.
///
/// Lock order: this lock is a leaf.
#[derive(Clone)]
pub(crate) struct OrganisationLimiter {
    own: GatewayId,
    state: Arc<Mutex<LimiterState>>,
}

struct LimiterState {
    peers: Vec<GatewayId>,
    limiter: UsageLimiter,
}

impl OrganisationLimiter {
    /// Creates a limiter without limits, before the first configuration.
    pub(crate) fn new(own: GatewayId, now: Timestamp) -> Self {
        let state = LimiterState {
            peers: Vec::new(),
            limiter: UsageLimiter::new(now, Vec::new(), LimitTiming::default()),
        };
        Self {
            own,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Applies the gateways and limits of a configuration.
    ///
    /// A change of the gateways changes their shares, so the limiter restarts with equal shares.
    pub(crate) fn configure(&self, now: Timestamp, fleet: &FleetConfig) {
        let gateways = fleet.gateways.iter().map(|gateway| gateway.id.clone());
        let peers: Vec<GatewayId> = gateways.filter(|id| *id != self.own).collect();
        let mut state = self.state.lock();
        if state.peers != peers {
            state.limiter = UsageLimiter::new(now, peers.clone(), LimitTiming::default());
            state.peers = peers;
        }
        for organisation in &fleet.organisations {
            let limits = organisation.limits;
            state.limiter.set_limits(now, &organisation.id, limits);
        }
    }

    /// Decides whether a request is admitted, and counts it if it is.
    pub(crate) fn admit_request(
        &self,
        now: Timestamp,
        organisation: &OrganisationId,
        tokens: TokenCount,
    ) -> LimitDecision {
        self.state.lock().limiter.admit(now, organisation, tokens)
    }

    /// Records that an admitted request has ended.
    pub(crate) fn finish_request(&self, organisation: &OrganisationId) {
        self.state.lock().limiter.finish(organisation, 0);
    }

    /// The usage reports that are due to be sent to peers.
    pub(crate) fn due_usage_reports(&self, now: Timestamp) -> Vec<PeerReport> {
        let actions = self.state.lock().limiter.handle(now, LimitEvent::Tick);
        let due_usage_reports = actions.into_iter().filter_map(|action| match action {
            LimitAction::Report { peer, report } => Some(PeerReport { peer, report }),
            LimitAction::Acknowledge { .. } => None,
        });
        due_usage_reports.collect()
    }

    /// Records a connection to a peer and the peer's incarnation.
    pub(crate) fn record_connection(
        &self,
        now: Timestamp,
        peer: GatewayId,
        incarnation: Incarnation,
    ) {
        let event = LimitEvent::PeerConnected { peer, incarnation };
        self.state.lock().limiter.handle(now, event);
    }

    /// Handles a peer's report; returns the acknowledgement, if one is to be sent.
    pub(crate) fn handle_report(
        &self,
        now: Timestamp,
        peer: GatewayId,
        report: UsageReport,
    ) -> Option<UsageAck> {
        let event = LimitEvent::ReportReceived { peer, report };
        let actions = self.state.lock().limiter.handle(now, event);
        actions.into_iter().find_map(|action| match action {
            LimitAction::Acknowledge { ack, .. } => Some(ack),
            LimitAction::Report { .. } => None,
        })
    }

    /// Handles a peer's acknowledgement.
    pub(crate) fn handle_ack(&self, now: Timestamp, peer: GatewayId, ack: UsageAck) {
        let event = LimitEvent::AckReceived { peer, ack };
        self.state.lock().limiter.handle(now, event);
    }
}

/// Time between two exchanges of usage reports.
pub(crate) fn usage_exchange_interval() -> std::time::Duration {
    LimitTiming::default().interval
}
