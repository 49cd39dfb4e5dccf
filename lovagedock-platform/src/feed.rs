//! Fleet state that a platform keeps as objects and tells by watches.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use lovagedock::{DirectEndpoint, StorePosition, SuspectReport, TrafficConfig, prelude::*};

use crate::store::StoreError;

/// Source of the configuration, of endpoints and of other gateways.
///
/// A platform's objects are decoded behind this border; what comes out is the product's own.
#[async_trait]
pub trait FleetFeed: Send + Sync {
    /// Reads a subject as a whole, at least as new as anything that was acknowledged before.
    async fn snapshot(&self, subject: FeedSubject) -> Result<FeedSnapshot, FeedError>;

    /// Waits up to `wait` for changes of a subject after `after`. A step of another era than that of
    /// `after` says nothing of what happened in between; only a snapshot helps then.
    async fn follow(
        &self,
        subject: FeedSubject,
        after: StorePosition,
        wait: Duration,
    ) -> Result<FeedStep, FeedError>;

    /// Tells other gateways where this one listens; returns the era that has it. A store that comes
    /// back from an older copy loses it, though it was acknowledged.
    async fn announce(&self, gateway: &GatewayEntry) -> Result<StoreEra, FeedError>;

    /// Keeps what a gateway has seen of requests that end processes; replaces its former sheet.
    /// Returns the era that has it, as [`announce`](Self::announce) does.
    async fn store_suspects(&self, sheet: &SuspectSheet) -> Result<StoreEra, FeedError>;
}

/// What a feed is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedSubject {
    /// The configuration in force.
    Traffic,
    /// Endpoints.
    Endpoints,
    /// Gateways.
    Gateways,
    /// What gateways have seen of requests that end processes.
    Suspects,
}

impl FeedSubject {
    /// Word in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Traffic => "traffic",
            Self::Endpoints => "endpoints",
            Self::Gateways => "gateways",
            Self::Suspects => "suspects",
        }
    }
}

/// A whole subject.
#[derive(Clone, Debug)]
pub struct FeedSnapshot {
    /// Everything up to this point is in it.
    pub position: StorePosition,
    /// What is there.
    pub changes: Vec<FeedChange>,
}

/// What a wait brought.
#[derive(Clone, Debug)]
pub struct FeedStep {
    /// Everything up to this point is covered.
    pub position: StorePosition,
    /// What changed, in order.
    pub changes: Vec<FeedChange>,
}

/// One change.
#[derive(Clone, Debug)]
pub enum FeedChange {
    /// A configuration.
    Traffic(Arc<TrafficConfig>),
    /// An endpoint came or changed.
    Endpoint(DirectEndpoint),
    /// An endpoint's entry is gone.
    EndpointRemoved(EndpointId),
    /// A gateway came or moved.
    Gateway(GatewayEntry),
    /// A gateway's entry is gone.
    GatewayRemoved(GatewayId),
    /// A gateway's sheet.
    Suspects(SuspectSheet),
}

/// What one gateway has seen of requests that end processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectSheet {
    /// The gateway.
    pub gateway: GatewayId,
    /// When it was written, since 1970 by the gateway's clock.
    pub written_at: Duration,
    /// The requests, with times as of then.
    pub reports: Vec<SuspectReport>,
}

/// Where a gateway listens for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayEntry {
    /// Name.
    pub name: GatewayId,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// Why a feed has nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The call failed.
    Store(StoreError),
    /// The platform no longer knows what happened since the revision; only a snapshot helps.
    HistoryLost,
    /// An object could not be decoded.
    Undecodable {
        /// The object and what is wrong with it.
        detail: String,
    },
}

impl std::fmt::Display for FeedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::HistoryLost => f.write_str("the platform has dropped the history"),
            Self::Undecodable { detail } => f.write_str(detail),
        }
    }
}

impl std::error::Error for FeedError {}

impl From<StoreError> for FeedError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}
