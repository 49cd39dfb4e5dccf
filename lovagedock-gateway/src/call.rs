//! One caller's request after all checks, ready to be placed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::prelude::*;
use lovagedock_wire::HeaderField;

/// A request that may be placed.
#[derive(Clone, Debug)]
pub(crate) struct CallerCall {
    /// Id that the caller sees in every answer.
    pub(crate) id: RequestId,
    /// Organisation that pays for it.
    pub(crate) organisation: OrganisationId,
    /// Tier after all caps.
    pub(crate) tier: PriorityTier,
    /// Weight of the organisation.
    pub(crate) weight: u32,
    /// Service that it addresses.
    pub(crate) service: ServiceId,
    /// Pool that serves it.
    pub(crate) pool: PoolId,
    /// Time that it has.
    pub(crate) deadline: Duration,
    /// Whether it must not run twice.
    pub(crate) non_idempotent: bool,
    /// The caller's key for it.
    pub(crate) idempotency_key: Option<String>,
    /// What is known of the prompt; empty for a plain service.
    pub(crate) prompt: PromptSummary,
    /// HTTP method.
    pub(crate) method: String,
    /// HTTP path with query.
    pub(crate) path: String,
    /// HTTP headers to pass on.
    pub(crate) headers: Vec<HeaderField>,
    /// HTTP body.
    pub(crate) body: Bytes,
}

/// What placement needs to know of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PromptSummary {
    /// Estimated length.
    pub(crate) tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub(crate) answer_tokens: TokenCount,
    /// Hashes of its prefixes.
    pub(crate) prefix_hashes: Arc<[u64]>,
    /// Whether the caller wants the answer as a stream.
    pub(crate) stream: bool,
}

impl PromptSummary {
    /// Upper bound of the prompt and its answer together.
    pub(crate) fn total_tokens(&self) -> TokenCount {
        self.tokens.saturating_add(self.answer_tokens)
    }
}
