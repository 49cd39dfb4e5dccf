//! Events and actions of the sidecar core.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    cost::CostParameters,
    endpoint::limits::{EndpointLimits, OrganisationShare},
    ids::{EndpointId, OrganisationId, RequestId, ServiceId, Timestamp, TokenCount},
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
};

/// The properties of a submitted request that decisions need. The daemon keeps the payload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkOrder {
    /// Key of the attempt.
    pub key: AttemptKey,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Organisation that the work is billed to.
    pub organisation: OrganisationId,
    /// Priority tier of the request.
    pub tier: PriorityTier,
    /// Weight of the organisation when the endpoint is busy.
    pub weight: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Prompt length as estimated by the gateway.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub answer_tokens: TokenCount,
    /// Whether the request must not run a second time.
    pub non_idempotent: bool,
    /// First-token time predicted by the gateway.
    pub predicted: Duration,
    /// Endpoints with memory reserved for this request, the decoding one first. Empty for a request
    /// that fits on one engine.
    pub span: Vec<EndpointId>,
}

/// Result of a request as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// The answer is complete.
    Finished(EngineAnswer),
    /// The engine refused the request and has not started it.
    Refused {
        /// The engine's reason.
        detail: String,
    },
    /// The engine refused the content of the request. Any other engine would refuse it too.
    Invalid {
        /// The engine's reason.
        detail: String,
    },
    /// The engine failed and may have started the request.
    Failed {
        /// The engine's reason.
        detail: String,
    },
    /// The connection to the engine broke or timed out after the request was sent.
    Lost {
        /// Last observation on the connection.
        detail: String,
    },
    /// The connection was lost and the engine's process has ended.
    Ended {
        /// Last observation on the connection.
        detail: String,
    },
    /// The engine stopped the request after a cancellation.
    Cancelled,
}

/// Properties of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAnswer {
    /// Number of bytes received by the daemon.
    pub length: u64,
    /// BLAKE3 of these bytes.
    pub digest: [u8; 32],
    /// Number of prompt tokens counted by the engine.
    pub prompt_tokens: TokenCount,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: TokenCount,
    /// Number of answer tokens counted by the engine.
    pub answer_tokens: TokenCount,
}

/// KV memory held by a request according to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAllocation {
    /// The request.
    pub request: RequestId,
    /// Tokens of KV memory.
    pub tokens: TokenCount,
}

/// Properties reported by the engine or its adapter; zero means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Size of the KV memory in tokens.
    pub memory_tokens: TokenCount,
    /// Maximum number of requests in the engine's batch.
    pub batch_size: usize,
    /// Cost parameters measured by the engine or its adapter.
    pub cost: CostParameters,
}

/// An event at a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// A gateway submits a request.
    Submit(WorkOrder),
    /// A gateway revokes an attempt so that it never runs.
    Revoke(AttemptKey),
    /// The caller cancelled the request.
    Cancel(AttemptKey),
    /// A gateway requests the answer from an offset on this connection.
    Resume {
        /// The attempt.
        key: AttemptKey,
        /// Offset of the first requested byte.
        offset: u64,
    },
    /// The session that received the answer was lost.
    SinkLost(AttemptKey),
    /// The engine started a request.
    EngineStarted(AttemptKey),
    /// The engine produced bytes of an answer.
    EngineBytes {
        /// Attempt that was started.
        key: AttemptKey,
        /// Number of bytes.
        length: u64,
    },
    /// The engine finished a request.
    EngineEnded {
        /// Attempt that was started.
        key: AttemptKey,
        /// Result of the request.
        result: EngineResult,
    },
    /// The engine's complete list of the KV memory held by requests.
    EngineAllocations(Vec<EngineAllocation>),
    /// The engine reported its size and speed.
    EngineReport(EngineReport),
    /// The engine has ended or is unreachable.
    EngineDown,
    /// The engine is reachable. It may have been restarted.
    EngineUp,
    /// A gateway reserves memory for a part of a span.
    Reserve {
        /// The attempt that will use the memory.
        key: AttemptKey,
        /// Tokens of KV memory.
        tokens: TokenCount,
        /// Time after which the reservation expires unless it is renewed.
        hold: Duration,
    },
    /// A gateway renews its reservation.
    Renew {
        /// The attempt that holds the reservation.
        key: AttemptKey,
        /// Time from now after which the reservation expires.
        hold: Duration,
    },
    /// A gateway releases its reservation.
    Release(AttemptKey),
    /// The endpoint starts to drain (`true`), or the drain is cancelled (`false`).
    Drain(bool),
    /// A configuration came into effect.
    Configure {
        /// Bounds of the decisions.
        limits: EndpointLimits,
        /// Tier and weight of each organisation that differs from the default.
        shares: Vec<OrganisationShare>,
    },
    /// Time has passed.
    Tick,
}

/// An action for the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointAction {
    /// Report to the gateway that the request is accepted: it is queued, running or already
    /// answered.
    Accept(AttemptKey),
    /// Report to the gateway that the attempt is refused.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// The end of the request, with the reason.
        end: AnswerEnd,
    },
    /// Start the request on the engine now. Requested at most once per attempt.
    Start(AttemptKey),
    /// Cancel all work of the request on the engine and free its memory.
    CancelOnEngine(RequestId),
    /// Send bytes of the answer to the sink, the connection that receives it, if there is one.
    Deliver {
        /// Attempt whose sink receives the answer.
        key: AttemptKey,
        /// Offset of the first byte.
        offset: u64,
        /// Number of bytes.
        length: u64,
    },
    /// Send the end of the request to the sink after all bytes. Requested once per accepted
    /// request.
    EndAnswer {
        /// Attempt whose sink receives the end.
        key: AttemptKey,
        /// The end of the request.
        end: AnswerEnd,
    },
    /// Reply to a revocation.
    Verdict {
        /// The attempt to be revoked.
        key: AttemptKey,
        /// The state of the attempt.
        verdict: RevokeVerdict,
    },
    /// Make the requesting connection the sink, and send the retained bytes from the offset on.
    ResumeFrom {
        /// Attempt whose sink receives the answer from now on.
        key: AttemptKey,
        /// First byte to send.
        offset: u64,
        /// The end of the answer, if it has ended.
        end: Option<AnswerEnd>,
    },
    /// Report on the requesting connection that there is nothing to resume.
    NotFound(AttemptKey),
    /// Report to the gateway that the memory is reserved.
    GrantReservation {
        /// The attempt that holds the reservation.
        key: AttemptKey,
        /// Memory that is still free, in tokens.
        free_tokens: TokenCount,
    },
    /// Report to the gateway that the memory is not reserved or no longer reserved.
    RefuseReservation {
        /// The attempt that requested the memory.
        key: AttemptKey,
        /// Memory that is free, in tokens.
        free_tokens: TokenCount,
    },
    /// Delete the payload and the retained answer of a request.
    ForgetAnswer(AttemptKey),
    /// Send a tick at this time unless another event occurs before.
    WakeAt(Timestamp),
    /// The endpoint is draining and has no work left.
    Drained,
}
