//! Journals of the callers, of the stand-ins and of changes to the fleet.
//!
//! All times of a run are measured on one clock that starts with the run.

use std::time::Duration;

use lovagedock::{
    EndpointId, LengthBucket, OrganisationId, RanState, RequestId, ServiceId, Timestamp,
};

/// Calls of one run, as seen by the callers.
#[derive(Clone, Debug, Default)]
pub struct CallerJournal {
    /// One record per call, redeliveries included.
    pub calls: Vec<CallRecord>,
}

/// One call, as seen by its caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Number of the call in the plan.
    pub number: u64,
    /// Request id in the response; `None` if there was no response.
    pub request: Option<RequestId>,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Called service.
    pub service: ServiceId,
    /// Length bucket of the prompt; `None` for a call of a plain service.
    pub bucket: Option<LengthBucket>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the configuration forbids to run the call twice.
    pub non_idempotent: bool,
    /// Name of the gateway that the call was sent to.
    pub gateway: String,
    /// Planned time of the call.
    pub intended_at: Timestamp,
    /// Time at which the call was sent.
    pub sent_at: Timestamp,
    /// Time of the first token; `None` for a response that is not streamed.
    pub first_token_at: Option<Timestamp>,
    /// Times between consecutive chunks of a streamed response.
    pub token_gaps: Vec<Duration>,
    /// Time at which the call ended.
    pub ended_at: Timestamp,
    /// Deadline of the call, relative to `sent_at`.
    pub deadline: Duration,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Result of the comparison with the expected answer.
    pub answer: AnswerCheck,
    /// BLAKE3 hash of the answer's content; `None` unless the call is complete.
    pub answer_digest: Option<[u8; 32]>,
}

/// Outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response ended cleanly.
    Complete,
    /// The caller received a problem document or a stream error that says whether the request ran.
    Problem {
        /// Number of the result code.
        code: u16,
        /// Whether the request ran, as stated in the problem document.
        ran: RanState,
    },
    /// The connection broke before the response was complete.
    Broken,
    /// No gateway accepted a connection.
    Unsent,
    /// The call neither ended nor failed within its deadline and the wait after it.
    NoOutcome,
}

/// Result of the comparison of an answer with the one that the stand-in is expected to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer is complete and correct.
    Complete,
    /// The answer is empty or a prefix of the correct one.
    Prefix,
    /// The answer differs from the correct one.
    Different,
    /// There is no expected answer for this call.
    Unchecked,
}

/// Work that the stand-ins ran, and memory that they leaked.
#[derive(Clone, Debug, Default)]
pub struct ExecutionJournal {
    /// One record per start.
    pub starts: Vec<ExecutionRecord>,
    /// Memory still allocated after the settle time.
    pub leaks: Vec<LeakRecord>,
}

/// One start of work at a stand-in.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Endpoint that ran the work.
    pub endpoint: EndpointId,
    /// Start time.
    pub started_at: Timestamp,
    /// Time at which the work completed, failed or was cancelled; `None` if it never ended.
    pub ended_at: Option<Timestamp>,
}

/// Memory of an engine that is allocated without a request in flight.
#[derive(Clone, Debug)]
pub struct LeakRecord {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Number of leaked blocks.
    pub blocks: u64,
}

/// Changes to the fleet during the run.
#[derive(Clone, Debug, Default)]
pub struct FleetJournal {
    /// Endpoints and gateways that were drained.
    pub drains: Vec<DrainRecord>,
    /// Exclusions by configurations that were accepted during the run.
    pub changes: Vec<ConfigChange>,
}

/// One drain of an endpoint or a gateway.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    /// Endpoint or gateway that was drained.
    pub target: DrainTarget,
    /// Start of the drain.
    pub started_at: Timestamp,
    /// End of the drain, when the target serves again; `None` if the run ended first.
    pub ended_at: Option<Timestamp>,
}

/// Endpoint or gateway that is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// An endpoint with its sidecar.
    Endpoint(EndpointId),
    /// A gateway, by its name in the callers' journal.
    Gateway(String),
}

/// Exclusion by an accepted configuration.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Time at which the configuration was accepted.
    pub accepted_at: Timestamp,
    /// Time at which a later configuration reverted the exclusion.
    pub reverted_at: Option<Timestamp>,
    /// Endpoint on which, or organisation for which, no more work may start.
    pub excluded: ExcludedTarget,
}

/// Target that a configuration excludes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExcludedTarget {
    /// All work on the endpoint.
    Endpoint(EndpointId),
    /// All work of the organisation.
    Organisation(OrganisationId),
}
