//! Fleet state that a platform stores as objects and reports through watches.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use lovagedock::{
    DirectEndpoint, HostCapacity, PartReport, StorePosition, SuspectReport, TrafficConfig,
    prelude::*,
};

use crate::store::StoreError;

/// Source of the configuration, the endpoints and the other gateways.
///
/// Implementations decode the platform's objects and return lovagedock's own types.
#[async_trait]
pub trait FleetFeed: Send + Sync {
    /// Reads the complete state of a subject. The result is at least as new as anything
    /// acknowledged before.
    async fn snapshot(&self, subject: FeedSubject) -> Result<FeedSnapshot, FeedError>;

    /// Reads the complete state of a subject as it was at some time in the last seconds. The store
    /// charges less for this and does not count it toward its request rate.
    async fn stale_snapshot(&self, subject: FeedSubject) -> Result<FeedSnapshot, FeedError> {
        self.snapshot(subject).await
    }

    /// Waits up to `wait` for changes of a subject after `after`. A step of another era than that
    /// of `after` does not cover the changes in between; the caller then needs a snapshot.
    async fn follow(
        &self,
        subject: FeedSubject,
        after: StorePosition,
        wait: Duration,
    ) -> Result<FeedStep, FeedError>;

    /// Publishes this gateway's address for other gateways; returns the era of the store in which
    /// the entry was written. A store restored from an older copy loses the entry, although it was
    /// acknowledged.
    async fn announce(&self, gateway: &GatewayEntry) -> Result<StoreEra, FeedError>;

    /// Stores a gateway's observations of requests that were running on an engine when its process
    /// ended, replacing the gateway's previous sheet. Returns the era of the store in which the
    /// sheet was written, as [`announce`](Self::announce) does.
    async fn store_suspects(&self, sheet: &SuspectSheet) -> Result<StoreEra, FeedError>;
}

/// Subject of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedSubject {
    /// The configuration in force.
    Traffic,
    /// Endpoints.
    Endpoints,
    /// Failure domains that operators have drained.
    Drains,
    /// Gateways.
    Gateways,
    /// Observations of gateways about requests that were running on an engine when its process
    /// ended.
    Suspects,
}

impl FeedSubject {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Traffic => "traffic",
            Self::Endpoints => "endpoints",
            Self::Drains => "drains",
            Self::Gateways => "gateways",
            Self::Suspects => "suspects",
        }
    }
}

/// Complete state of a subject.
#[derive(Clone, Debug)]
pub struct FeedSnapshot {
    /// All changes up to this position are included.
    pub position: StorePosition,
    /// Changes that build the complete state.
    pub changes: Vec<FeedChange>,
}

/// Result of waiting for changes.
#[derive(Clone, Debug)]
pub struct FeedStep {
    /// All changes up to this position are covered.
    pub position: StorePosition,
    /// Changes, in order.
    pub changes: Vec<FeedChange>,
}

/// One change.
#[derive(Clone, Debug)]
pub enum FeedChange {
    /// A new configuration.
    Traffic(Arc<TrafficConfig>),
    /// An endpoint was added or changed.
    Endpoint(DirectEndpoint),
    /// An endpoint's entry was removed.
    EndpointRemoved(EndpointId),
    /// A failure domain was drained: nothing new may be sent to its endpoints.
    DomainDrained(DomainId),
    /// The endpoints of a failure domain accept work again.
    DomainRestored(DomainId),
    /// A gateway was added or changed its address.
    Gateway(GatewayEntry),
    /// A gateway's entry was removed.
    GatewayRemoved(GatewayId),
    /// A gateway's suspect sheet was written.
    Suspects(SuspectSheet),
}

/// Observations of one gateway about requests that were running on an engine when its process
/// ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectSheet {
    /// Gateway that wrote the sheet.
    pub gateway: GatewayId,
    /// Time of writing since the Unix epoch, by the gateway's clock.
    pub written_at: Duration,
    /// Reports on the requests, with times relative to the time of writing.
    pub reports: Vec<SuspectReport>,
    /// Reports on parts of their prompts, likewise.
    pub parts: Vec<PartReport>,
}

/// Address at which a gateway listens for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayEntry {
    /// Name of the gateway.
    pub name: GatewayId,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Failure domain of its host; empty if the gateway does not tell it.
    pub domain: DomainId,
    /// Processor time of its host, in thousandths of a core.
    pub capacity: HostCapacity,
}

/// Error of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The call failed.
    Store(StoreError),
    /// The platform no longer has the changes since the revision; the caller needs a snapshot.
    HistoryLost,
    /// An object could not be decoded.
    Undecodable {
        /// The object and the problem.
        detail: String,
    },
}

impl std::fmt::Display for FeedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::HistoryLost => f.write_str("the platform no longer has the change history"),
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
