//! What callers, stand-ins and whoever runs the fleet wrote down.
//!
//! All times of one run are on one clock that starts with the run.

use std::time::Duration;

use lovagedock::{
    EndpointId, LengthBucket, OrganisationId, RanState, RequestId, ServiceId, Timestamp,
};

/// Everything that the callers of one run saw.
#[derive(Clone, Debug, Default)]
pub struct CallerJournal {
    /// One record for each call, redeliveries included.
    pub calls: Vec<CallRecord>,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Number of the call in the plan.
    pub number: u64,
    /// Request id that the answer carried; `None` when no answer came.
    pub request: Option<RequestId>,
    /// Organisation that called.
    pub organisation: OrganisationId,
    /// Service that was called.
    pub service: ServiceId,
    /// Length of the prompt; `None` for a plain call.
    pub bucket: Option<LengthBucket>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the configuration says that the call must not run twice.
    pub non_idempotent: bool,
    /// Name of the gateway that the call was sent to.
    pub gateway: String,
    /// When the plan wanted the call.
    pub intended_at: Timestamp,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// When the first token came; `None` for a whole answer.
    pub first_token_at: Option<Timestamp>,
    /// Times between two pieces of a streamed answer.
    pub token_gaps: Vec<Duration>,
    /// When the answer ended.
    pub ended_at: Timestamp,
    /// Time that the call asked for, from `sent_at`.
    pub deadline: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Whether the bytes were those of this call's answer.
    pub answer: AnswerCheck,
    /// BLAKE3 of the answer's content; `None` unless complete.
    pub answer_digest: Option<[u8; 32]>,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A clean end.
    Complete,
    /// A problem document or a stream error that says whether the request ran.
    Problem {
        /// Number of the result code.
        code: u16,
        /// What it says about the run.
        ran: RanState,
    },
    /// The connection broke without a clean end.
    Broken,
    /// No connection to any gateway.
    Unsent,
    /// Neither an end nor an error within the deadline and the grace.
    NoOutcome,
}

/// What the bytes of an answer are, compared with the stand-in's rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The whole answer to this request.
    Complete,
    /// The beginning of the answer to this request, or nothing.
    Prefix,
    /// Something else.
    Different,
    /// The stand-in has no rule for this call.
    Unchecked,
}

/// What the stand-ins ran and hold.
#[derive(Clone, Debug, Default)]
pub struct ExecutionJournal {
    /// One record for each start.
    pub starts: Vec<ExecutionRecord>,
    /// Memory held after the settle time.
    pub leaks: Vec<LeakRecord>,
}

/// One start at a stand-in.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Request id that came with the work.
    pub request: RequestId,
    /// Idempotency key that came with the work.
    pub key: Option<String>,
    /// Endpoint that ran it.
    pub endpoint: EndpointId,
    /// When it started.
    pub started_at: Timestamp,
    /// When it ended, in whatever way; `None` when it never did.
    pub ended_at: Option<Timestamp>,
}

/// Memory that an engine holds for no request that it has.
#[derive(Clone, Debug)]
pub struct LeakRecord {
    /// The engine.
    pub endpoint: EndpointId,
    /// Blocks without a request.
    pub blocks: u64,
}

/// What was done to the fleet during the run.
#[derive(Clone, Debug, Default)]
pub struct FleetJournal {
    /// Endpoints and gateways that left in an orderly way.
    pub drains: Vec<DrainRecord>,
    /// Configurations that were accepted during the run.
    pub changes: Vec<ConfigChange>,
}

/// One orderly departure.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    /// Who left.
    pub target: DrainTarget,
    /// When it began to leave.
    pub started_at: Timestamp,
    /// When it was gone; `None` when it came back or the run ended first.
    pub ended_at: Option<Timestamp>,
}

/// Who leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// An endpoint with its sidecar.
    Endpoint(EndpointId),
    /// A gateway, by the name that callers write down.
    Gateway(String),
}

/// What an accepted configuration rules out from then on.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// When a later one allowed it again.
    pub reverted_at: Option<Timestamp>,
    /// What may not start any more.
    pub excluded: ExcludedTarget,
}

/// What a configuration rules out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExcludedTarget {
    /// Any work on the endpoint.
    Endpoint(EndpointId),
    /// Any work of the organisation.
    Organisation(OrganisationId),
}
