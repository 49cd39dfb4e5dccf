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
/// Policies may be stateful, so each pool needs its own instance.
pub trait PlacementPolicy: Send {
    /// Places one request, or refuses it. A refused request has not run.
    fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        rng: &mut dyn Rng,
    ) -> PlacementChoice;
}

/// The properties of a request that a policy may use.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that the request is billed to.
    pub organisation: OrganisationId,
    /// Priority tier.
    pub tier: PriorityTier,
    /// Estimated prompt length.
    pub prompt_tokens: TokenCount,
    /// Expected length of the answer. The caller's limit is used when there is no better estimate.
    pub answer_tokens: TokenCount,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Hashes of the prompt's prefixes, as [`prefix_hashes`](super::prefix_hashes) returns them.
    pub prefix_hashes: &'a [u64],
    /// Failure domain of the gateway.
    pub own_domain: DomainId,
    /// Endpoints to skip, such as those that already refused the request.
    pub excluded: &'a [EndpointId],
}

/// All endpoints of a pool known to this gateway, in a stable order.
#[derive(Clone, Copy, Debug)]
pub struct PoolView<'a> {
    /// The endpoints.
    pub endpoints: &'a [EndpointView],
}

/// A gateway's view of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Whether a session to the endpoint is open and the endpoint is not draining.
    pub usable: bool,
    /// Whether an outlier detector has ejected the endpoint after failures.
    pub ejected: bool,
    /// The latest report, if any has been received.
    pub report: Option<Arc<EndpointReport>>,
    /// Time at which the latest report was received.
    pub reported_at: Timestamp,
    /// Work that this gateway has sent since the latest report.
    pub sent_since: SentWork,
}

impl EndpointView {
    /// Creates an endpoint that has not reported yet.
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

    /// Returns the time since the latest report.
    pub fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.reported_at)
    }

    /// Whether the endpoint may receive new work.
    pub fn accepts_work(&self) -> bool {
        self.usable && !self.ejected
    }

    /// Returns the number of requests known to be queued or running on the endpoint.
    pub fn outstanding(&self) -> u64 {
        let reported = match &self.report {
            Some(report) => u64::from(report.queued) + u64::from(report.running),
            None => 0,
        };
        reported + u64::from(self.sent_since.requests)
    }
}

/// Work that a gateway sent to an endpoint too late for the endpoint's latest report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentWork {
    /// Number of requests.
    pub requests: u32,
    /// Number of these requests whose prompt counts as long.
    pub long_requests: u32,
    /// Sum of prompt and answer tokens.
    pub tokens: TokenCount,
    /// Predicted prefill time.
    pub prefill: Duration,
    /// Part of the predicted prefill time that belongs to long requests.
    pub long_prefill: Duration,
}

impl SentWork {
    /// Adds `other` to this total.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.long_requests = self.long_requests.saturating_add(other.long_requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prefill = self.prefill.saturating_add(other.prefill);
        self.long_prefill = self.long_prefill.saturating_add(other.long_prefill);
    }
}

/// Status of a sidecar and its engine, sent with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointReport {
    /// Size of the KV memory in tokens; 0 for a plain service.
    pub memory_tokens: TokenCount,
    /// Unallocated KV memory in tokens.
    pub free_tokens: TokenCount,
    /// Number of queued requests.
    pub queued: u32,
    /// Prompt tokens of all queued requests.
    pub queued_tokens: TokenCount,
    /// Number of running requests.
    pub running: u32,
    /// Number of running requests whose prompt counts as long.
    pub running_long: u32,
    /// Prompt tokens of running requests that remain to be prefilled.
    pub prefill_tokens_left: TokenCount,
    /// Predicted waiting times. If the sidecar does not report them, they are estimated from the
    /// token counts.
    pub backlog: Option<EndpointBacklog>,
    /// Learned cost parameters of the engine.
    pub cost: CostParameters,
    /// Hashes of prompt prefixes that the engine recently had in its cache. They are only a hint.
    pub cached_prefixes: Vec<u64>,
}

/// Predicted time from the arrival of a prompt to the start of its prefill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointBacklog {
    /// Wait of a long prompt, which queues behind all queued and running prompts.
    pub all: Duration,
    /// Wait of a short prompt, which may overtake or interrupt long ones.
    pub short: Duration,
}

/// The result of placing a request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// The request goes to one endpoint.
    One {
        /// The endpoint.
        endpoint: EndpointId,
        /// Predicted time to the first token.
        predicted_first_token: Duration,
        /// The part of this time that the prefill of the request itself takes.
        predicted_prefill: Duration,
        /// Reason for the choice.
        reason: PlacementReason,
    },
    /// The request goes to several engines because it does not fit into the memory of one.
    Span {
        /// The engines. The first one decodes the answer.
        members: Vec<SpanMember>,
        /// Predicted time to the first token.
        predicted_first_token: Duration,
        /// Reason for the choice.
        reason: PlacementReason,
    },
    /// The request is refused and has not run.
    Refuse {
        /// Result code for the caller.
        code: ResultCode,
        /// Time after which a retry may succeed.
        retry_after: Duration,
        /// Reason for the refusal.
        reason: PlacementReason,
    },
}

/// One engine of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanMember {
    /// The engine.
    pub endpoint: EndpointId,
    /// Memory to reserve on this engine.
    pub tokens: TokenCount,
}

/// The reason for a placement or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementReason {
    /// The predicted first-token time is the shortest, or close to the shortest.
    SoonestFirstToken,
    /// The endpoint has a prefix of the prompt in its cache.
    CachedPrefix,
    /// The endpoint is the best one of the share that long prompts may use.
    LongShare,
    /// A baseline policy chose the endpoint by its own order.
    BaselineOrder,
    /// The request needs more memory than one engine has.
    ExceedsOneEngine,
    /// No endpoint accepts work.
    NoEndpoint,
    /// The request needs more memory than all engines of the pool have together.
    ExceedsPool,
    /// No endpoint is predicted to finish the request before its deadline.
    OutOfTime,
}

impl PlacementReason {
    /// Returns the text used in logs and in `explain`.
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
