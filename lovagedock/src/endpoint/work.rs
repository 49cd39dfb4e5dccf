//! What the queue is told of requests and of the engine.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    endpoint::speed::RunCost,
    ids::{OrganisationId, RequestId, Timestamp, TokenCount},
};

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct QueuedWork {
    /// The request.
    pub(crate) request: RequestId,
    /// Organisation that pays for it.
    pub(crate) organisation: OrganisationId,
    /// Its priority.
    pub(crate) tier: PriorityTier,
    /// Share of the organisation.
    pub(crate) weight: u32,
    /// What it is predicted to take.
    pub(crate) cost: RunCost,
    /// Memory that it needs.
    pub(crate) need: TokenCount,
}

/// What is left of the engine for a start.
#[derive(Clone, Copy)]
pub(crate) struct EngineCapacity<'a> {
    /// All memory.
    pub(crate) memory: TokenCount,
    /// Memory that no lease takes.
    pub(crate) free: TokenCount,
    /// When so much memory is predicted to be free at the earliest.
    pub(crate) free_at: &'a dyn Fn(TokenCount) -> Timestamp,
}

/// Work that goes before a new request of some tier and organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkAhead {
    /// Sum of prefill times.
    pub(crate) prefill: Duration,
    /// Sum of whole run times.
    pub(crate) total: Duration,
}

impl WorkAhead {
    /// Adds one request.
    pub(crate) fn add(&mut self, cost: RunCost) {
        self.prefill += cost.prefill;
        self.total += cost.total();
    }
}
