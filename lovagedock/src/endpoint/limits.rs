//! Bounds of a sidecar's decisions.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    ids::{OrganisationId, TokenCount},
    span::SPAN_SHARE_PERCENT,
};

/// Bounds of a sidecar's decisions; each has a default that suits a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimits {
    /// KV memory of the engine in tokens; 0 for a plain service, which has no ledger.
    pub memory_tokens: TokenCount,
    /// Requests that run at once until the engine reports its batch size.
    pub concurrency: usize,
    /// Requests that wait at most.
    pub queue_length: usize,
    /// A request that waited this long goes before higher tiers, in a bounded share of starts.
    pub ageing: Duration,
    /// One start in this many may be an aged one; 0 switches ageing off.
    pub aged_interval: u32,
    /// How long others that fit may pass a request that waits for memory.
    pub bypass: Duration,
    /// How long a running request without a sink is kept for a resume.
    pub resume_grace: Duration,
    /// How long an ended answer is kept for a resume.
    pub answer_hold: Duration,
    /// Ended answers that are kept at most.
    pub answer_count: usize,
    /// Bytes of ended answers that are kept at most.
    pub answer_bytes: u64,
    /// How long it is remembered that an attempt must not run.
    pub tombstone_hold: Duration,
    /// Attempts remembered so at most, for each of the kinds revoked and refused.
    pub tombstone_count: usize,
    /// How long memory may be without an owner before it is cancelled.
    pub orphan_grace: Duration,
    /// How long starts wait for the first account of an engine that may hold old work.
    pub allocations_wait: Duration,
    /// How often a cancellation that had no effect is repeated.
    pub cancel_retry: Duration,
    /// Largest share of the memory that spans may reserve, in percent.
    pub span_share_percent: u8,
    /// Longest hold of a reservation.
    pub reservation_hold: Duration,
    /// Longest time that a request may ask for.
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
            answer_hold: Duration::from_secs(30),
            answer_count: 4_096,
            answer_bytes: 8 << 20,
            tombstone_hold: Duration::from_secs(600),
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
    /// Sets the engine's KV memory in tokens.
    pub fn with_memory_tokens(mut self, memory_tokens: TokenCount) -> Self {
        self.memory_tokens = memory_tokens;
        self
    }

    /// Sets how many requests run at once.
    pub fn with_concurrency(mut self, concurrency: usize) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets how many requests wait at most.
    pub fn with_queue_length(mut self, queue_length: usize) -> Self {
        self.queue_length = queue_length;
        self
    }
}

/// What the configuration in force says of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationShare {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Highest tier that its requests get.
    pub highest_tier: PriorityTier,
    /// Share relative to other organisations of the same tier.
    pub weight: u32,
}

/// Switches of single safeguards, so that a test can show that each is needed.
///
/// All are on by default; nothing but a test has a reason to switch one off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSafeguards {
    /// Remember attempts that must not run.
    pub tombstones: bool,
    /// Attach or refuse another attempt of a request that is here.
    pub one_run: bool,
    /// Cancel memory that nobody owns.
    pub orphan_collection: bool,
    /// End requests at their deadline.
    pub deadlines: bool,
    /// Give queued requests back when the endpoint leaves.
    pub drain_queue: bool,
    /// Reserve memory for the first request that waits for it.
    pub head_reservation: bool,
}

impl Default for EndpointSafeguards {
    fn default() -> Self {
        Self {
            tombstones: true,
            one_run: true,
            orphan_collection: true,
            deadlines: true,
            drain_queue: true,
            head_reservation: true,
        }
    }
}
