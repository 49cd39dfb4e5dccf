//! Typed messages used by the other crates.

use std::{fmt, time::Duration};

use bytes::Bytes;
use lovagedock::{
    AnswerEnd, AttemptKey, CostParameters, EndpointBacklog, LoadOrder, LoadedReport, prelude::*,
};

use crate::fleet_name::FleetName;

/// Identity of one side of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Protocol version of the process.
    pub version: u32,
    /// Name of the gateway or endpoint.
    pub name: String,
    /// Its incarnation; another number means that it has restarted.
    pub incarnation: Incarnation,
    /// Generation of the configuration in force; 0 for none.
    pub generation: Generation,
    /// Fleet of the process; `None` matches any fleet.
    pub fleet: Option<FleetName>,
}

/// One HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value, which is not necessarily valid text.
    pub value: Bytes,
}

/// One request as sent to a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkMessage {
    /// Identifies the attempt and the incarnation of the sidecar that may run it.
    pub key: AttemptKey,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Organisation that the request is accounted to.
    pub organisation: OrganisationId,
    /// Priority tier after the caps of the organisation and of the length rules.
    pub tier: PriorityTier,
    /// Weight of the organisation.
    pub weight: u32,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Estimated prompt length.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub answer_tokens: TokenCount,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// Time to the first token as predicted by the gateway.
    pub predicted: Duration,
    /// Engines that hold parts of the prompt, in prompt order; empty unless the prompt is split
    /// over several engines.
    pub span: Vec<SpanHolder>,
    /// HTTP method.
    pub method: String,
    /// HTTP path with query.
    pub path: String,
    /// HTTP headers to forward.
    pub headers: Vec<HeaderField>,
    /// HTTP body.
    pub body: Bytes,
}

/// One engine's part of a prompt that exceeds the memory of any single engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanHolder {
    /// Locator that the engine returned when it prefilled the part.
    pub locator: String,
    /// Tokens of the part.
    pub tokens: TokenCount,
}

/// Response of a sidecar after prefilling one part of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentReply {
    /// Result of the prefill.
    pub end: AnswerEnd,
    /// Locator of the engine; empty unless the prefill is complete.
    pub locator: String,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers to forward.
    pub headers: Vec<HeaderField>,
}

/// Response of a sidecar to a submit.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitReply {
    /// The request is queued or running; its answer goes to the sink.
    Accepted,
    /// The request was refused and did not run.
    Refused(AnswerEnd),
}

/// Response of a sidecar to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveReply {
    /// Whether the memory was reserved.
    pub granted: bool,
    /// Remaining free memory, in tokens.
    pub free_tokens: TokenCount,
}

/// The part of a span's prompt that one endpoint holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentRange {
    /// First token.
    pub start: TokenCount,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// State of a sidecar and its engine, sent with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadMessage {
    /// Sequence number; increases with each report of one incarnation.
    pub sequence: u64,
    /// Whether the endpoint is draining and accepts no new work.
    pub leaving: bool,
    /// Whether the engine does not respond.
    pub engine_down: bool,
    /// KV memory of the engine, in tokens.
    pub memory_tokens: TokenCount,
    /// KV memory that is not leased, in tokens.
    pub free_tokens: TokenCount,
    /// Queued requests.
    pub queued: u32,
    /// Prompt tokens of the queued requests.
    pub queued_tokens: TokenCount,
    /// Requests running on the engine.
    pub running: u32,
    /// Long requests among the running ones.
    pub running_long: u32,
    /// Prompt tokens on the engine that are not prefilled yet.
    pub prefill_tokens_left: TokenCount,
    /// Predicted time until the prefill of a newly arriving prompt would start.
    pub backlog: EndpointBacklog,
    /// Cost parameters estimated from completed work.
    pub cost: CostParameters,
    /// Generation of the configuration in force at the sidecar.
    pub generation: Generation,
    /// Hashes of prompt prefixes that the engine recently held in its cache.
    pub cached_prefixes: Vec<u64>,
}

/// A complete configuration sent between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigMessage {
    /// Generation of the configuration.
    pub generation: Generation,
    /// The configuration as JSON.
    pub config: Bytes,
}

/// An order to an engine, with the lease that authorises it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    /// Pool that the lease belongs to.
    pub pool: PoolId,
    /// Fencing number of the lease.
    pub epoch: Epoch,
    /// Sequence number of the order, counted per lease holder.
    pub sequence: u64,
    /// Generation of the configuration that the order implements.
    pub generation: Generation,
    /// What to load; `None` announces the fencing number and queries what is loaded.
    pub order: Option<LoadOrder>,
}

/// Response of a sidecar to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// Result code of the order.
    pub code: ResultCode,
    /// One-line detail for users.
    pub detail: String,
    /// What the engine currently has loaded.
    pub report: LoadedReport,
}

/// Error of a call that got no valid response over a session.
///
/// The call may still have taken effect at the other side; only the other side can report whether
/// it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection was lost or could not be opened.
    Disconnected(String),
    /// The other side sent a message that violates the protocol.
    Malformed(String),
    /// The other side uses another protocol version.
    OtherVersion(u32),
    /// The other side belongs to another fleet, which is named here. It accepts no calls.
    OtherFleet(FleetName),
    /// No response within the time limit.
    TimedOut,
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disconnected(detail) => write!(formatter, "session disconnected: {detail}"),
            Self::Malformed(detail) => write!(formatter, "malformed message: {detail}"),
            Self::OtherVersion(version) => {
                write!(formatter, "peer uses protocol version {version}")
            }
            Self::OtherFleet(fleet) => write!(formatter, "peer belongs to fleet {fleet}"),
            Self::TimedOut => write!(formatter, "no response within the time limit"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Disconnected | capnp::ErrorKind::Failed => {
                Self::Disconnected(error.extra)
            }
            _ => Self::Malformed(error.to_string()),
        }
    }
}
