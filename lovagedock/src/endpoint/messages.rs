//! What a sidecar's decisions are told and what they ask for.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    cost::CostParameters,
    endpoint::limits::{EndpointLimits, OrganisationShare},
    ids::{EndpointId, OrganisationId, RequestId, ServiceId, Timestamp, TokenCount},
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
};

/// One request as far as decisions need it; the daemon keeps the payload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkOrder {
    /// Which attempt this is.
    pub key: AttemptKey,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Organisation that pays for the work.
    pub organisation: OrganisationId,
    /// Priority of the request.
    pub tier: PriorityTier,
    /// Share of its organisation when the endpoint is busy.
    pub weight: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// The gateway's estimate of the prompt's length.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub answer_tokens: TokenCount,
    /// Whether a second run would do harm.
    pub non_idempotent: bool,
    /// First-token time that the gateway predicted.
    pub predicted: Duration,
    /// Endpoints with memory reserved for this request, the decoding one first; empty for a
    /// request that fits one engine.
    pub span: Vec<EndpointId>,
}

/// How the engine says that a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// The whole answer came.
    Finished(EngineAnswer),
    /// The engine never started it.
    Refused {
        /// The engine's reason.
        detail: String,
    },
    /// The engine refused the request for what it says; no other engine would take it.
    Invalid {
        /// The engine's reason.
        detail: String,
    },
    /// The engine failed after it may have started.
    Failed {
        /// The engine's reason.
        detail: String,
    },
    /// The connection to the engine broke or went silent after the request was sent.
    Lost {
        /// What was seen last.
        detail: String,
    },
    /// The same, and the engine's process has ended.
    Ended {
        /// What was seen last.
        detail: String,
    },
    /// The engine stopped because it was told to.
    Cancelled,
}

/// What the engine and the daemon know of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAnswer {
    /// Bytes that the daemon received.
    pub length: u64,
    /// BLAKE3 of these bytes.
    pub digest: [u8; 32],
    /// Prompt tokens as the engine counted them.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: TokenCount,
    /// Answer tokens as the engine counted them.
    pub answer_tokens: TokenCount,
}

/// Memory that the engine says a request holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAllocation {
    /// The request.
    pub request: RequestId,
    /// Tokens of KV memory.
    pub tokens: TokenCount,
}

/// What the engine or its adapter reports of itself; zero means not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// KV memory in tokens.
    pub memory_tokens: TokenCount,
    /// Requests that the engine batches at once.
    pub batch_size: usize,
    /// Speed as the engine or its adapter measured it.
    pub cost: CostParameters,
}

/// Something that happened at a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// A gateway hands over a request.
    Submit(WorkOrder),
    /// A gateway asks that an attempt never runs.
    Revoke(AttemptKey),
    /// The caller does not want the answer any more.
    Cancel(AttemptKey),
    /// A gateway wants the answer from an offset, on this connection.
    Resume {
        /// The attempt.
        key: AttemptKey,
        /// First byte that is wanted.
        offset: u64,
    },
    /// The session that took the answer is gone.
    SinkLost(AttemptKey),
    /// The engine began to work on a request.
    EngineStarted(AttemptKey),
    /// Bytes of an answer came from the engine.
    EngineBytes {
        /// Attempt that was started.
        key: AttemptKey,
        /// Number of bytes.
        length: u64,
    },
    /// The engine is done with a request.
    EngineEnded {
        /// Attempt that was started.
        key: AttemptKey,
        /// How it ended.
        result: EngineResult,
    },
    /// The engine's own account of its memory, complete.
    EngineAllocations(Vec<EngineAllocation>),
    /// The engine reports size and speed.
    EngineReport(EngineReport),
    /// The engine died or cannot be reached.
    EngineDown,
    /// The engine can be reached, perhaps in a new life.
    EngineUp,
    /// A gateway wants memory for a part of a span.
    Reserve {
        /// The attempt that will use the memory.
        key: AttemptKey,
        /// Tokens of KV memory.
        tokens: TokenCount,
        /// How long the reservation lasts without renewal.
        hold: Duration,
    },
    /// A gateway still wants its reservation.
    Renew {
        /// The attempt that holds it.
        key: AttemptKey,
        /// How long it lasts from now.
        hold: Duration,
    },
    /// A gateway does not need its reservation any more.
    Release(AttemptKey),
    /// The endpoint begins to leave, or stays after all.
    Drain(bool),
    /// A configuration came into force.
    Configure {
        /// Bounds of the decisions.
        limits: EndpointLimits,
        /// Tier and weight of each organisation that differs from the default.
        shares: Vec<OrganisationShare>,
    },
    /// Time passed.
    Tick,
}

/// Something that the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointAction {
    /// Tell the gateway that the request is queued, running or answered here.
    Accept(AttemptKey),
    /// Tell the gateway that this attempt is not taken.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        end: AnswerEnd,
    },
    /// Start the request on the engine now; at most once for each attempt.
    Start(AttemptKey),
    /// Stop whatever the engine does under this request and free its memory.
    CancelOnEngine(RequestId),
    /// Hand bytes of the answer to the sink, if there is one.
    Deliver {
        /// Attempt whose sink takes the answer.
        key: AttemptKey,
        /// Offset of the first byte.
        offset: u64,
        /// Number of bytes.
        length: u64,
    },
    /// Tell the sink how the request ended, after all bytes; once for each accepted request.
    EndAnswer {
        /// Attempt whose sink takes the end.
        key: AttemptKey,
        /// How it ended.
        end: AnswerEnd,
    },
    /// Answer a revocation.
    Verdict {
        /// The attempt that was asked about.
        key: AttemptKey,
        /// What is true of it.
        verdict: RevokeVerdict,
    },
    /// Make the connection that asked the sink, and send what is kept from the offset on.
    ResumeFrom {
        /// Attempt whose sink takes the answer from now on.
        key: AttemptKey,
        /// First byte to send.
        offset: u64,
        /// How the answer ended, when it has.
        end: Option<AnswerEnd>,
    },
    /// Tell the connection that asked that there is nothing to resume.
    NotFound(AttemptKey),
    /// Tell the gateway that the memory is reserved.
    GrantReservation {
        /// The attempt that holds it.
        key: AttemptKey,
        /// Memory that is still free.
        free_tokens: TokenCount,
    },
    /// Tell the gateway that the memory is not reserved, or not any more.
    RefuseReservation {
        /// The attempt that asked.
        key: AttemptKey,
        /// Memory that is free.
        free_tokens: TokenCount,
    },
    /// Drop the payload and the kept answer of a request.
    ForgetAnswer(AttemptKey),
    /// Send a tick at this time, if nothing happens before.
    WakeAt(Timestamp),
    /// The endpoint is leaving and nothing is left on it.
    Drained,
}
