//! Typed messages, as the other crates see them.

use std::{fmt, time::Duration};

use bytes::Bytes;
use lovagedock::{
    AnswerEnd, AttemptKey, CostParameters, EndpointBacklog, LoadOrder, LoadedReport, prelude::*,
};

/// Who speaks at one end of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Protocol version that it speaks.
    pub version: u32,
    /// Name of the gateway or endpoint.
    pub name: String,
    /// Its life; another number means that it has restarted.
    pub incarnation: Incarnation,
    /// Configuration that it has in force; 0 for none.
    pub generation: Generation,
}

/// One HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value, not always text.
    pub value: Bytes,
}

/// One request on its way to a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkMessage {
    /// Names the attempt and the life of the sidecar that may run it.
    pub key: AttemptKey,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// Tier after the organisation's and the length rules' caps.
    pub tier: PriorityTier,
    /// Weight of the organisation.
    pub weight: u32,
    /// Time left for the whole request.
    pub remaining: Duration,
    /// Estimated prompt length.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the answer's length.
    pub answer_tokens: TokenCount,
    /// Whether it must not run twice.
    pub non_idempotent: bool,
    /// First-token time that the gateway predicted.
    pub predicted: Duration,
    /// Engines that hold parts of the prompt, in its order; empty unless a span.
    pub span: Vec<SpanHolder>,
    /// HTTP method.
    pub method: String,
    /// HTTP path with query.
    pub path: String,
    /// HTTP headers to pass on.
    pub headers: Vec<HeaderField>,
    /// HTTP body.
    pub body: Bytes,
}

/// One engine's part of a prompt that is larger than any engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanHolder {
    /// What the engine called itself when it prefilled the part.
    pub locator: String,
    /// Tokens of the part.
    pub tokens: TokenCount,
}

/// What a sidecar says when it has prefilled one part of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentReply {
    /// How the prefill ended.
    pub end: AnswerEnd,
    /// What the engine calls itself; empty unless complete.
    pub locator: String,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers to pass on.
    pub headers: Vec<HeaderField>,
}

/// What a sidecar says to a submit.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitReply {
    /// Queued or running; the answer goes to the sink.
    Accepted,
    /// Not taken; it did not run.
    Refused(AnswerEnd),
}

/// What a sidecar says to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveReply {
    /// Whether the memory is held.
    pub granted: bool,
    /// Memory that is left, in tokens.
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

/// What a sidecar tells of itself and its engine with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadMessage {
    /// Grows with each report of one life.
    pub sequence: u64,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// Whether the engine does not answer.
    pub engine_down: bool,
    /// KV memory of the engine.
    pub memory_tokens: TokenCount,
    /// KV memory without a lease.
    pub free_tokens: TokenCount,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait.
    pub queued_tokens: TokenCount,
    /// Requests on the engine.
    pub running: u32,
    /// Long ones among them.
    pub running_long: u32,
    /// Prompt tokens on the engine that are not prefilled yet.
    pub prefill_tokens_left: TokenCount,
    /// Predicted time until a prompt that comes now would begin to be prefilled.
    pub backlog: EndpointBacklog,
    /// Learned cost of work.
    pub cost: CostParameters,
    /// Configuration in force at the sidecar.
    pub generation: Generation,
    /// Hashes of prompt prefixes that the engine lately held.
    pub cached_prefixes: Vec<u64>,
}

/// A whole configuration on its way between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigMessage {
    /// Its number.
    pub generation: Generation,
    /// The configuration as JSON.
    pub config: Bytes,
}

/// An order to an engine, with the lease that gives the right to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    /// Pool that the lease is of.
    pub pool: PoolId,
    /// Fencing number of the lease.
    pub epoch: Epoch,
    /// Counts the orders of one holder.
    pub sequence: u64,
    /// Configuration that the order follows from.
    pub generation: Generation,
    /// What to load; `None` to announce the fencing number and see what is loaded.
    pub order: Option<LoadOrder>,
}

/// What a sidecar says to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// What became of it.
    pub code: ResultCode,
    /// One line for people.
    pub detail: String,
    /// What the engine has loaded now.
    pub report: LoadedReport,
}

/// Why a call over a session brought no answer.
///
/// The call may have taken effect at the other end: only a verdict of the other end tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection is gone or could not be opened.
    Disconnected(String),
    /// The other end sent something that is not in the protocol.
    Malformed(String),
    /// The other end speaks another version.
    OtherVersion(u32),
    /// No answer within the time given.
    TimedOut,
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disconnected(detail) => write!(formatter, "session is gone: {detail}"),
            Self::Malformed(detail) => write!(formatter, "malformed message: {detail}"),
            Self::OtherVersion(version) => write!(formatter, "peer speaks version {version}"),
            Self::TimedOut => write!(formatter, "no answer in time"),
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
