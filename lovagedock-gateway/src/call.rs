//! A caller's request that passed all checks and can be placed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{PromptParts, prelude::*};
use lovagedock_wire::HeaderField;

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub(crate) struct CallerCall {
    /// Id that is returned to the caller in every response.
    pub(crate) id: RequestId,
    /// Organisation that the request is charged to.
    pub(crate) organisation: OrganisationId,
    /// Tier after all caps.
    pub(crate) tier: PriorityTier,
    /// Weight of the organisation.
    pub(crate) weight: u32,
    /// Requested service.
    pub(crate) service: ServiceId,
    /// Pool that serves the service.
    pub(crate) pool: PoolId,
    /// Time limit of the request.
    pub(crate) time_limit: Duration,
    /// Whether the request must not run twice.
    pub(crate) non_idempotent: bool,
    /// The caller's idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// Summary of the prompt; empty for a plain service.
    pub(crate) prompt: PromptSummary,
    /// HTTP method.
    pub(crate) method: String,
    /// HTTP path with query.
    pub(crate) path: String,
    /// HTTP headers to forward.
    pub(crate) headers: Vec<HeaderField>,
    /// HTTP body.
    pub(crate) body: Bytes,
}

/// The properties of a prompt that placement uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PromptSummary {
    /// Estimated length in tokens.
    pub(crate) tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub(crate) answer_tokens: TokenCount,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefix_hashes: Arc<[u64]>,
    /// Parts of the prompt, which other prompts may share.
    pub(crate) parts: PromptParts,
    /// Whether the caller wants the answer as a stream.
    pub(crate) stream: bool,
}

impl PromptSummary {
    /// Upper bound of the length of prompt and answer together.
    pub(crate) fn total_tokens(&self) -> TokenCount {
        self.tokens.saturating_add(self.answer_tokens)
    }
}
