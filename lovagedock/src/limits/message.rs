//! Messages that gateways exchange about the use of limits.

use super::peers::ShareStage;
use crate::ids::{GatewayId, Incarnation, OrganisationId, TokenCount};

/// Demand of one organisation at one gateway. Values are absolute, so a repeated entry has no
/// effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageEntry {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Smoothed number of requests per exchange, including refused ones.
    pub requests: u64,
    /// Smoothed number of tokens per exchange, including those of refused requests.
    pub tokens: TokenCount,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A report from one gateway to another. It contains the entries that changed since the latest
/// report that the receiver has confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the report. It increases by one with each exchange of the sender's incarnation.
    pub sequence: u64,
    /// Number of the report that the entries are changes to; 0 for a complete report.
    pub base: u64,
    /// Stage by which the sender computes its shares.
    pub stage: ShareStage,
    /// The entries.
    pub entries: Vec<UsageEntry>,
}

/// Confirms a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageAck {
    /// Number of the report.
    pub sequence: u64,
    /// Stage by which the confirming gateway computes its shares.
    pub stage: ShareStage,
}

/// An event for a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitEvent {
    /// A session to a peer has been established.
    PeerConnected {
        /// The peer.
        peer: GatewayId,
        /// Incarnation of the peer.
        incarnation: Incarnation,
    },
    /// A report was received.
    ReportReceived {
        /// Sender.
        peer: GatewayId,
        /// The report.
        report: UsageReport,
    },
    /// A confirmation was received for a report of this incarnation.
    AckReceived {
        /// Sender.
        peer: GatewayId,
        /// The confirmation.
        ack: UsageAck,
    },
    /// An exchange is due. This event occurs every [`super::LimitTiming::interval`].
    Tick,
}

/// An action requested by a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitAction {
    /// Send a report to a peer.
    Report {
        /// Receiver.
        peer: GatewayId,
        /// The report.
        report: UsageReport,
    },
    /// Confirm a peer's report.
    Acknowledge {
        /// Receiver.
        peer: GatewayId,
        /// The confirmation.
        ack: UsageAck,
    },
}
