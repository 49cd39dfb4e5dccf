//! Events, actions and limits of orders.

use std::time::Duration;

use serde::Serialize;

use super::artifact::{ArtifactSet, LoadOrder};
use crate::{
    codes::ResultCode,
    ids::{EndpointId, Epoch, Timestamp},
};

/// What a sidecar tells of its engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedReport {
    /// What is loaded; `None` while that is not known.
    pub loaded: Option<ArtifactSet>,
    /// Whether the engine is carrying an order out, perhaps one of a former lease holder.
    pub busy: bool,
    /// Whether the last load of a model began and is not known to have succeeded.
    pub unsettled: bool,
    /// Highest fencing number that this life of the sidecar has seen for the pool; 0 for none.
    pub highest: Epoch,
}

/// How a call to a sidecar ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// What became of the order.
    pub code: ResultCode,
    /// What the sidecar told; `None` if nothing came back.
    pub report: Option<LoadedReport>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// This process holds the lease of the pool, or holds it for longer.
    Lease {
        /// Fencing number.
        epoch: Epoch,
        /// When it lapses.
        until: Timestamp,
    },
    /// It does not hold the lease any more.
    LeaseLost,
    /// A configuration is in force.
    Configure {
        /// What each engine of the pool has to have loaded.
        wanted: ArtifactSet,
        /// The engines.
        endpoints: Vec<EndpointId>,
    },
    /// A call ended; each [`OrderAction::Send`] brings exactly one.
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of the call.
        sequence: u64,
        /// How it ended.
        answer: OrderAnswer,
    },
    /// Time passed; due at the last [`OrderAction::WakeAt`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Call a sidecar, if the lease is still held when the connection is open, and report
    /// [`OrderEvent::Answered`].
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Fencing number.
        epoch: Epoch,
        /// Counts the calls of this process.
        sequence: u64,
        /// What to load; `None` to announce the fencing number and see what is loaded.
        order: Option<LoadOrder>,
    },
    /// Send [`OrderEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Pace of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Loads of one pool in flight, for the weight store's sake.
    pub max_loads: usize,
    /// Engines of a pool whose model may be exchanged at once, in percent; at least one.
    pub max_replaced_percent: usize,
    /// Between looks at an engine that has all that is wanted.
    pub poll_interval: Duration,
    /// Between looks at an engine that is busy with another's order.
    pub busy_poll_interval: Duration,
    /// Pause after the first failure at an endpoint; it doubles with each.
    pub retry: Duration,
    /// Longest pause after a failure.
    pub max_retry: Duration,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            max_loads: 2,
            max_replaced_percent: 25,
            poll_interval: Duration::from_secs(30),
            busy_poll_interval: Duration::from_secs(2),
            retry: Duration::from_secs(1),
            max_retry: Duration::from_secs(60),
        }
    }
}

/// What a dump shows of the orders of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderStatus {
    /// What each engine has to have loaded.
    pub wanted: ArtifactSet,
    /// Engines that have it.
    pub met: usize,
    /// Loads in flight.
    pub loading: usize,
    /// Engines that failed to load their model; they hold up the others.
    pub failed: Vec<EndpointId>,
}
