//! Limits of the sidecar core.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    ids::{OrganisationId, TokenCount},
    span::SPAN_SHARE_PERCENT,
};

/// Limits of the sidecar core. The defaults suit a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimits {
    /// Size of the engine's KV memory in tokens; 0 for a plain service, which has no ledger.
    pub memory_tokens: TokenCount,
    /// Maximum number of running requests until the engine reports its batch size.
    pub concurrency: usize,
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// Waiting time after which a request may start before higher tiers, in a bounded share of
    /// starts.
    pub ageing: Duration,
    /// At most one start in this many goes to an aged request; 0 disables ageing.
    pub aged_interval: u32,
    /// Time for which any request that fits may start before a request that waits for memory.
    pub bypass: Duration,
    /// Time for which a running request without a sink is kept for a resume.
    pub resume_grace: Duration,
    /// Time for which an ended answer is kept for a resume.
    pub answer_retention: Duration,
    /// Maximum number of retained answers.
    pub answer_count: usize,
    /// Maximum number of bytes of retained answers.
    pub answer_bytes: u64,
    /// Lifetime of a tombstone.
    pub tombstone_retention: Duration,
    /// Maximum number of tombstones of each kind, revoked and refused.
    pub tombstone_count: usize,
    /// Time after which memory without a lease is cancelled.
    pub orphan_grace: Duration,
    /// Time for which starts wait for the first list of allocations of an engine, which may still
    /// hold earlier work.
    pub allocations_wait: Duration,
    /// Interval at which a cancellation without effect is repeated.
    pub cancel_retry: Duration,
    /// Maximum share of the memory that spans may reserve, in percent.
    pub span_share_percent: u8,
    /// Maximum time until a reservation must be renewed.
    pub reservation_hold: Duration,
    /// Maximum time until the deadline of a request.
    pub max_deadline: Duration,
}

impl Default for EndpointLimits {
    fn default() -> Self {
        Self {
            memory_tokens: 0,
            concurrency: 32,
            queue_length: 1_000,
            ageing: Duration::from_secs(10),
            aged_interval: 4,
            bypass: Duration::from_secs(2),
            resume_grace: Duration::from_secs(5),
            answer_retention: Duration::from_secs(30),
            answer_count: 4_096,
            answer_bytes: 8 << 20,
            tombstone_retention: Duration::from_secs(600),
            tombstone_count: 50_000,
            orphan_grace: Duration::from_secs(5),
            allocations_wait: Duration::from_secs(1),
            cancel_retry: Duration::from_secs(1),
            span_share_percent: SPAN_SHARE_PERCENT,
            reservation_hold: Duration::from_secs(60),
            max_deadline: Duration::from_secs(3_600),
        }
    }
}

impl EndpointLimits {
    /// Sets the size of the engine's KV memory in tokens.
    pub fn with_memory_tokens(mut self, memory_tokens: TokenCount) -> Self {
        self.memory_tokens = memory_tokens;
        self
    }

    /// Sets the maximum number of running requests.
    pub fn with_concurrency(mut self, concurrency: usize) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets the maximum number of queued requests.
    pub fn with_queue_length(mut self, queue_length: usize) -> Self {
        self.queue_length = queue_length;
        self
    }
}

/// Settings of one organisation in the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Highest tier that the organisation's requests may have.
    pub highest_tier: PriorityTier,
    /// Weight relative to other organisations in the same tier.
    pub weight: u32,
}

/// Switches for individual safeguards, so that tests can show that each one is needed.
///
/// All are on by default and are switched off only in tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSafeguards {
    /// Record tombstones for attempts that must not run.
    pub tombstones: bool,
    /// Attach or refuse another attempt of a known request instead of running it again.
    pub single_run: bool,
    /// Cancel memory that the engine holds without a lease.
    pub orphan_collection: bool,
    /// End requests at their deadline.
    pub deadlines: bool,
    /// Return queued requests to their gateways when the endpoint drains.
    pub drain_queue: bool,
    /// Keep memory free for the first request that waits for memory.
    pub head_reservation: bool,
}

impl Default for EndpointSafeguards {
    fn default() -> Self {
        Self {
            tombstones: true,
            single_run: true,
            orphan_collection: true,
            deadlines: true,
            drain_queue: true,
            head_reservation: true,
        }
    }
}
