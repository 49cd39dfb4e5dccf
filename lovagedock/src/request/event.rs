//! Events and actions of a request machine.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, EndpointId, Incarnation, Timestamp, TokenCount},
    outcome::{AnswerEnd, RevokeVerdict},
};

/// Result of placing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// One endpoint serves the request.
    One {
        /// The endpoint.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that the gateway has a session to. The submit carries it.
        incarnation: Incarnation,
    },
    /// Several engines serve the request, starting with the one that decodes.
    Span(Vec<SpanPart>),
    /// No endpoint can serve the request.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// One engine of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanPart {
    /// The engine's endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of its sidecar that the gateway has a session to.
    pub incarnation: Incarnation,
    /// Number of prompt tokens that the engine holds.
    pub tokens: TokenCount,
}

/// An event that a request machine reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// Placement answered a [`RequestAction::Place`].
    Placed(PlacementOutcome),
    /// The retry budget answered a [`RequestAction::AskRetry`].
    RetryAnswered {
        /// Whether the budget had a retry left.
        granted: bool,
        /// Random number in thousandths (`0..1000`) that spreads the retries.
        jitter_permille: u16,
    },
    /// Every engine of the span holds its part of the prompt.
    SpanReady {
        /// Attempt that the span belongs to.
        attempt: AttemptNumber,
    },
    /// The span failed, and its engines are released.
    SpanFailed {
        /// Attempt that the span belongs to.
        attempt: AttemptNumber,
        /// Reason, and whether any engine computed.
        end: AnswerEnd,
    },
    /// The sidecar queued the attempt.
    SubmitAccepted {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Incarnation of the sidecar that accepted it.
        incarnation: Incarnation,
    },
    /// The sidecar refused the attempt, or the submit could not be sent.
    SubmitRefused {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Reason for the refusal.
        end: AnswerEnd,
    },
    /// The session closed, or no heartbeat arrived within the timeout.
    SessionLost {
        /// Endpoint of the session.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that the session was connected to.
        incarnation: Incarnation,
    },
    /// A new session to the endpoint is established.
    SessionReconnected {
        /// Endpoint of the session.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that answered.
        incarnation: Incarnation,
    },
    /// A sidecar answered a [`RequestAction::Revoke`].
    RevokeAnswered {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Incarnation of the sidecar that answered.
        incarnation: Incarnation,
        /// State of the attempt at the sidecar.
        verdict: RevokeVerdict,
    },
    /// A revoke could not be delivered.
    RevokeFailed {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// A sidecar answered a [`RequestAction::Resume`].
    ResumeAnswered {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Whether the sidecar has the attempt. If so, its frames follow.
        found: bool,
    },
    /// A resume could not be delivered.
    ResumeFailed {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The head of the answer arrived. The daemon keeps it until [`RequestAction::DeliverHead`].
    Head {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
    },
    /// Bytes of the answer arrived. The daemon keeps them for [`RequestAction::Deliver`].
    Chunk {
        /// Attempt that they belong to.
        attempt: AttemptNumber,
        /// Offset of the first byte in the whole answer.
        offset: u64,
        /// Number of bytes in the frame.
        length: u64,
    },
    /// The end frame arrived.
    End {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
        /// How the attempt ended.
        end: AnswerEnd,
    },
    /// The daemon compared the digest for [`RequestAction::CheckDigest`].
    DigestChecked {
        /// Whether the delivered bytes have the expected digest.
        matches: bool,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The gateway shuts down: it starts no new attempts, and running ones must end within the
    /// grace period.
    Stopping {
        /// Time until the gateway exits.
        grace: Duration,
    },
    /// The time of the last [`RequestAction::WakeAt`] is due.
    Tick,
}

/// An action that the daemon carries out for a request machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Place the request on an endpoint that is not among these.
    Place {
        /// Endpoints that refused or lost an earlier attempt.
        excluded: Vec<EndpointId>,
    },
    /// Ask the service's retry budget, and answer with [`RequestEvent::RetryAnswered`].
    AskRetry,
    /// Reserve and prefill a span with a [`crate::SpanCoordinator`].
    StartSpan {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
        /// The engines, starting with the one that decodes.
        members: Vec<SpanPart>,
        /// Time that is left.
        remaining: Duration,
    },
    /// Release the engines of a span.
    ReleaseSpan {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
    },
    /// Submit an attempt on the session to the endpoint.
    Submit {
        /// Endpoint to submit to.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that the submit carries.
        incarnation: Incarnation,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Time that is left to the sidecar.
        remaining: Duration,
        /// Engines of the span, starting with the one that decodes; empty without a span.
        span: Vec<EndpointId>,
    },
    /// Revoke an attempt, always on a new connection.
    Revoke {
        /// Endpoint that has the attempt.
        endpoint: EndpointId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Incarnation of the sidecar that may have it.
        incarnation: Incarnation,
    },
    /// Continue the answer from this offset on a new connection. Frames that arrive on the former
    /// connection are to be dropped.
    Resume {
        /// Endpoint that has the attempt.
        endpoint: EndpointId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Incarnation of the sidecar that has it.
        incarnation: Incarnation,
        /// Number of bytes that the caller has already; the head is sent again if it is 0.
        offset: u64,
    },
    /// Stop an attempt whose answer is no longer needed. No reply is expected.
    Cancel {
        /// Endpoint that may have the attempt.
        endpoint: EndpointId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Incarnation of the sidecar that may have it.
        incarnation: Incarnation,
    },
    /// Send the head of this attempt's answer to the caller.
    DeliverHead {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// Send the frame at this offset to the caller, without its first `skip` bytes.
    Deliver {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Offset of the frame.
        offset: u64,
        /// Number of bytes at its start that the caller has already.
        skip: u64,
    },
    /// Compare the digest of all delivered bytes with this one.
    CheckDigest {
        /// BLAKE3 hash of the whole answer.
        expected: [u8; 32],
    },
    /// Give the caller the final result; no action follows it. Unless the code is `Complete`, a
    /// stream that has begun is aborted instead of being ended cleanly.
    Finish(RequestOutcome),
    /// Send [`RequestEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Result code of the request.
    pub code: ResultCode,
    /// Whether any attempt ran. This takes precedence over what the code implies.
    pub ran: RanState,
    /// Time after which the caller may retry; zero if there is no advice.
    pub retry_after: Duration,
    /// A one-line description for humans.
    pub detail: String,
    /// Number of attempts made.
    pub attempts: AttemptNumber,
    /// End frame of the attempt that determined the result, for its token counts.
    pub end: Option<AnswerEnd>,
}
