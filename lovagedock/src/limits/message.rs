//! What gateways tell each other about the use of limits.

use super::peers::ShareStage;
use crate::ids::{GatewayId, Incarnation, OrganisationId, TokenCount};

/// What one organisation wants at one gateway. Values are absolute, so repeating one is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageEntry {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests that lately came within one exchange, refused ones included.
    pub requests: u64,
    /// Tokens that lately came within one exchange, refused ones included.
    pub tokens: TokenCount,
    /// Requests in flight.
    pub in_flight: u32,
}

/// One gateway's report to another: the entries that changed since the last one it confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the report; grows by one with each exchange of the sender's life.
    pub sequence: u64,
    /// Report that the entries are changes to; 0 for a whole one.
    pub base: u64,
    /// How the sender computes its shares.
    pub stage: ShareStage,
    /// The entries.
    pub entries: Vec<UsageEntry>,
}

/// Confirms a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageAck {
    /// Number of the report.
    pub sequence: u64,
    /// How the confirming gateway computes its shares.
    pub stage: ShareStage,
}

/// What a limiter is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitEvent {
    /// A session to a peer is up.
    PeerConnected {
        /// The peer.
        peer: GatewayId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// A report came.
    ReportReceived {
        /// Sender.
        peer: GatewayId,
        /// The report.
        report: UsageReport,
    },
    /// A confirmation came, as the reply to a report of this life.
    AckReceived {
        /// Sender.
        peer: GatewayId,
        /// The confirmation.
        ack: UsageAck,
    },
    /// Time for an exchange; due every [`super::LimitTiming::interval`].
    Tick,
}

/// What a limiter asks for.
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
