use std::{fmt, sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    codes::ResultCode,
    config::PriorityTier,
    cost::CostParameters,
    ids::{DomainId, EndpointId, OrganisationId, RequestId, Timestamp, TokenCount},
};

/// Chooses an endpoint for each request of one pool.
///
/// An instance may remember what it placed, so each pool needs its own.
pub trait PlacementPolicy: Send {
    /// Places one request, or refuses it as not run.
    fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        rng: &mut dyn Rng,
    ) -> PlacementChoice;
}

/// What a policy knows of a request.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The caller's request.
    pub id: RequestId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// Importance.
    pub tier: PriorityTier,
    /// Estimated length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Expected length of the answer; the caller's bound when nothing better is known.
    pub answer_tokens: TokenCount,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Hash of each prefix of the prompt, see [`prefix_hashes`](super::prefix_hashes).
    pub prefix_hashes: &'a [u64],
    /// Failure domain of the gateway.
    pub own_domain: DomainId,
    /// Endpoints that must not get it, such as those that refused it before.
    pub excluded: &'a [EndpointId],
}

/// All endpoints of a pool that this gateway knows, in a stable order.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// The endpoints.
    pub endpoints: &'a [EndpointView],
}

/// What a gateway knows of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Name.
    pub id: EndpointId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Whether there is a live session and the endpoint is not leaving.
    pub usable: bool,
    /// Whether it is ejected after failures, by an outlier detector.
    pub ejected: bool,
    /// The last report, if any.
    pub report: Option<Arc<EndpointReport>>,
    /// When the last report arrived.
    pub reported_at: Timestamp,
    /// What this gateway sent since.
    pub sent_since: SentWork,
}

impl EndpointView {
    /// An endpoint that has not reported yet.
    pub fn new(id: EndpointId, domain: DomainId) -> Self {
        Self {
            id,
            domain,
            usable: false,
            ejected: false,
            report: None,
            reported_at: Timestamp::ZERO,
            sent_since: SentWork::default(),
        }
    }

    /// Time since the last report.
    pub fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Whether new work may go to it.
    pub fn accepts_work(&self) -> bool {
        self.usable && !self.ejected
    }

    /// Requests that wait or run there, as far as this gateway knows.
    pub fn outstanding(&self) -> u64 {
        let reported = match &self.report {
            Some(report) => u64::from(report.queued) + u64::from(report.running),
            None => 0,
        };
        reported + u64::from(self.sent_since.requests)
    }
}

/// Work that a gateway sent to an endpoint and that its last report cannot contain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentWork {
    /// Requests.
    pub requests: u32,
    /// Those of them that count as long.
    pub long_requests: u32,
    /// Prompt and answer tokens together.
    pub tokens: TokenCount,
    /// Predicted prefill time.
    pub prefill: Duration,
    /// The part of it that long requests take.
    pub long_prefill: Duration,
}

impl SentWork {
    /// Adds `other` to it.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.long_requests = self.long_requests.saturating_add(other.long_requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prefill = self.prefill.saturating_add(other.prefill);
        self.long_prefill = self.long_prefill.saturating_add(other.long_prefill);
    }
}

/// What a sidecar tells of itself and its engine with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointReport {
    /// KV memory in tokens; 0 for a plain service.
    pub memory_tokens: TokenCount,
    /// KV memory that nobody holds, in tokens.
    pub free_tokens: TokenCount,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait.
    pub queued_tokens: TokenCount,
    /// Requests that run.
    pub running: u32,
    /// Those of them that count as long.
    pub running_long: u32,
    /// Prompt tokens of running requests that are not prefilled yet.
    pub prefill_tokens_left: TokenCount,
    /// Predicted waits, if the sidecar tells them; otherwise they are estimated from the tokens.
    pub backlog: Option<EndpointBacklog>,
    /// Learned cost of work.
    pub cost: CostParameters,
    /// Hashes of prompt prefixes that the engine lately held; for preference only.
    pub cached_prefixes: Vec<u64>,
}

/// How long a prompt that arrives now is predicted to wait for its prefill to begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointBacklog {
    /// Behind all that waits or runs, as a long prompt does.
    pub all: Duration,
    /// As a short prompt does, which may overtake or interrupt long ones.
    pub short: Duration,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// To one endpoint.
    One {
        /// The endpoint.
        endpoint: EndpointId,
        /// Predicted time to the first token.
        predicted_first_token: Duration,
        /// The part of it that the request's own prefill takes.
        predicted_prefill: Duration,
        /// Why this one.
        reason: PlacementReason,
    },
    /// To several engines, since its memory does not fit one.
    Span {
        /// The engines, first the one that decodes.
        members: Vec<SpanMember>,
        /// Predicted time to the first token.
        predicted_first_token: Duration,
        /// Why these.
        reason: PlacementReason,
    },
    /// Nowhere: the request has not run.
    Refuse {
        /// What the caller is told.
        code: ResultCode,
        /// When it is worth another try.
        retry_after: Duration,
        /// Why.
        reason: PlacementReason,
    },
}

/// One engine of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanMember {
    /// The engine.
    pub endpoint: EndpointId,
    /// Memory to reserve there.
    pub tokens: TokenCount,
}

/// Why a request was placed as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementReason {
    /// The soonest first token, or as good as.
    SoonestFirstToken,
    /// Its prefix is cached there.
    CachedPrefix,
    /// The best of the endpoints that long prompts may use.
    LongShare,
    /// The order of a baseline policy.
    BaselineOrder,
    /// It needs more memory than one engine has.
    ExceedsOneEngine,
    /// No endpoint takes work.
    NoEndpoint,
    /// All engines together have too little memory.
    ExceedsPool,
    /// No endpoint is predicted to finish it in time.
    OutOfTime,
}

impl PlacementReason {
    /// The words in logs and `explain`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SoonestFirstToken => "soonest first token",
            Self::CachedPrefix => "prefix is cached there",
            Self::LongShare => "best endpoint of the long share",
            Self::BaselineOrder => "order of the baseline policy",
            Self::ExceedsOneEngine => "needs more memory than one engine has",
            Self::NoEndpoint => "no endpoint takes work",
            Self::ExceedsPool => "needs more memory than the pool has",
            Self::OutOfTime => "no endpoint can finish it in time",
        }
    }
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
