//! Events, actions and limits of orders.

use std::time::Duration;

use serde::Serialize;

use super::artifact::{ArtifactSet, LoadOrder};
use crate::{
    codes::ResultCode,
    ids::{EndpointId, Epoch, Timestamp},
};

/// A sidecar's report about its engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedReport {
    /// Loaded artifacts; `None` if they are not known.
    pub loaded: Option<ArtifactSet>,
    /// Whether the engine is carrying out an order, possibly one of a former lease holder.
    pub busy: bool,
    /// Whether the last load of a model began and is not known to have succeeded.
    pub unsettled: bool,
    /// Highest fencing number that this incarnation of the sidecar has seen for the pool; 0 for
    /// none.
    pub highest: Epoch,
}

/// Result of a call to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// Result code of the order.
    pub code: ResultCode,
    /// The sidecar's report; `None` if there was no reply.
    pub report: Option<LoadedReport>,
}

/// An event that an order planner reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent {
    /// This process has acquired or renewed the lease of the pool.
    Lease {
        /// Fencing number.
        epoch: Epoch,
        /// When the lease expires.
        expires_at: Timestamp,
    },
    /// This process no longer holds the lease.
    LeaseLost,
    /// A configuration came into force.
    Configure {
        /// Artifacts that each engine of the pool must have loaded.
        wanted: ArtifactSet,
        /// Endpoints of the engines.
        endpoints: Vec<EndpointId>,
    },
    /// A call ended. There is exactly one such event for each [`OrderAction::Send`].
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// Sequence number of the call.
        sequence: u64,
        /// Result of the call.
        answer: OrderAnswer,
    },
    /// The time of the last [`OrderAction::WakeAt`] is due.
    Tick,
}

/// An action to carry out for an order planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Call a sidecar, provided the lease is still held when the connection is open, and report
    /// [`OrderEvent::Answered`].
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Fencing number.
        epoch: Epoch,
        /// Sequence number of the call at this process.
        sequence: u64,
        /// Order to load; `None` only announces the fencing number and requests a report.
        order: Option<LoadOrder>,
    },
    /// Send [`OrderEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Limits and intervals of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderLimits {
    /// Maximum number of concurrent loads of one pool, which limits the load on the weight store.
    pub max_loads: usize,
    /// Maximum share of a pool's engines whose model is replaced at the same time, in percent; at
    /// least one engine.
    pub max_replaced_percent: usize,
    /// Interval of polling an engine that has loaded everything.
    pub poll_interval: Duration,
    /// Interval of polling an engine that is busy with another holder's order.
    pub busy_poll_interval: Duration,
    /// Pause after the first failure at an endpoint. It doubles with each further failure.
    pub retry: Duration,
    /// Maximum pause after a failure.
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

/// State of the orders of one pool for a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderStatus {
    /// Artifacts that each engine must have loaded.
    pub wanted: ArtifactSet,
    /// Number of engines that have loaded them.
    pub met: usize,
    /// Number of loads in progress.
    pub loading: usize,
    /// Engines that failed to load their model. They delay the others.
    pub failed: Vec<EndpointId>,
}
