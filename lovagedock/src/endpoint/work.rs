//! Properties of requests and of the engine that the queue uses.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    endpoint::speed::RunCost,
    ids::{OrganisationId, RequestId, Timestamp, TokenCount},
};

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedWork {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Organisation that the request is billed to.
    pub(crate) organisation: OrganisationId,
    /// Priority tier.
    pub(crate) tier: PriorityTier,
    /// Weight of the organisation.
    pub(crate) weight: u32,
    /// Predicted run time.
    pub(crate) cost: RunCost,
    /// Memory that the request needs, in tokens.
    pub(crate) need: TokenCount,
}

/// Memory of the engine that is available for a start.
#[derive(Clone, Copy)]
pub(crate) struct EngineCapacity<'a> {
    /// Size of the memory in tokens.
    pub(crate) memory: TokenCount,
    /// Free memory in tokens.
    pub(crate) free: TokenCount,
    /// Predicts the earliest time at which the given amount of memory is free.
    pub(crate) free_at: &'a dyn Fn(TokenCount) -> Timestamp,
}

/// Work that starts before a new request of a tier and organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkAhead {
    /// Sum of prefill times.
    pub(crate) prefill: Duration,
    /// Sum of run times.
    pub(crate) total: Duration,
}

impl WorkAhead {
    /// Adds the cost of one request.
    pub(crate) fn add(&mut self, cost: RunCost) {
        self.prefill += cost.prefill;
        self.total += cost.total();
    }
}
