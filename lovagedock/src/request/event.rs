//! What a request machine is told and what it asks for.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, EndpointId, Incarnation, Timestamp, TokenCount},
    outcome::{AnswerEnd, RevokeVerdict},
};

/// Where placement puts a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// On one endpoint.
    One {
        /// The endpoint.
        endpoint: EndpointId,
        /// Life of its sidecar that the gateway has a session to; the submit names it.
        incarnation: Incarnation,
    },
    /// On several engines, first the one that decodes.
    Span(Vec<SpanPart>),
    /// Nowhere.
    Refused {
        /// Why.
        code: ResultCode,
        /// When another try makes sense.
        retry_after: Duration,
    },
}

/// One engine of a span and the life of its sidecar that the gateway has a session to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanPart {
    /// The engine's endpoint.
    pub endpoint: EndpointId,
    /// Life of its sidecar that the gateway has a session to.
    pub incarnation: Incarnation,
    /// Tokens of the prompt that it holds.
    pub tokens: TokenCount,
}

/// What a request machine is told.
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
    /// The span was given up and its engines are free.
    SpanFailed {
        /// Attempt that the span belongs to.
        attempt: AttemptNumber,
        /// Why, and whether any engine computed.
        end: AnswerEnd,
    },
    /// The sidecar queued the attempt.
    SubmitAccepted {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Life of the sidecar that took it.
        incarnation: Incarnation,
    },
    /// The sidecar refused the attempt, or the submit could not be sent at all.
    SubmitRefused {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Why.
        end: AnswerEnd,
    },
    /// The session closed, or no heartbeat came within the limit.
    SessionLost {
        /// Endpoint at the other end.
        endpoint: EndpointId,
        /// Life of the sidecar that the session was to.
        incarnation: Incarnation,
    },
    /// A new session to the endpoint is up.
    SessionReconnected {
        /// Endpoint at the other end.
        endpoint: EndpointId,
        /// Life of the sidecar that answered.
        incarnation: Incarnation,
    },
    /// A sidecar answered a [`RequestAction::Revoke`].
    RevokeAnswered {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Life of the sidecar that answered.
        incarnation: Incarnation,
        /// What became of the attempt.
        verdict: RevokeVerdict,
    },
    /// A revoke could not be delivered.
    RevokeFailed {
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// A sidecar answered a [`RequestAction::Resume`].
    ResumeAnswered {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Whether the sidecar has the attempt; its frames follow when it does.
        found: bool,
    },
    /// A resume could not be delivered.
    ResumeFailed {
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// The head of the answer came; the daemon keeps it until [`RequestAction::DeliverHead`].
    Head {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
    },
    /// Bytes of the answer came; the daemon keeps them for [`RequestAction::Deliver`].
    Chunk {
        /// Attempt that they belong to.
        attempt: AttemptNumber,
        /// Place of the first byte in the whole answer.
        offset: u64,
        /// Bytes in the frame.
        length: u64,
    },
    /// The end frame came.
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
    /// The gateway shuts down: nothing new starts and what runs has this long.
    Stopping {
        /// Time until the gateway exits.
        grace: Duration,
    },
    /// The time of [`RequestAction::WakeAt`] came.
    Tick,
}

/// What a request machine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Place the request on an endpoint that is not among these.
    Place {
        /// Endpoints that refused or lost it.
        excluded: Vec<EndpointId>,
    },
    /// Ask the service's retry budget, and answer with [`RequestEvent::RetryAnswered`].
    AskRetry,
    /// Reserve and prefill a span; a span coordinator does it.
    StartSpan {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
        /// The engines, first the one that decodes.
        members: Vec<SpanPart>,
        /// Time that is left.
        remaining: Duration,
    },
    /// The span's engines are not needed any more.
    ReleaseSpan {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
    },
    /// Submit an attempt on the session to the endpoint.
    Submit {
        /// Endpoint to submit to.
        endpoint: EndpointId,
        /// Life of the sidecar that the submit names.
        incarnation: Incarnation,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Time that is left to the sidecar.
        remaining: Duration,
        /// Engines of the span, first the one that decodes; empty without a span.
        span: Vec<EndpointId>,
    },
    /// Revoke an attempt, always on a new connection.
    Revoke {
        /// Endpoint that has the attempt.
        endpoint: EndpointId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Life of the sidecar that may have it.
        incarnation: Incarnation,
    },
    /// Read the answer on from this offset, on a new connection; frames of the former one are
    /// not wanted any more.
    Resume {
        /// Endpoint that has the attempt.
        endpoint: EndpointId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Life of the sidecar that has it.
        incarnation: Incarnation,
        /// Bytes that the caller has already; the head comes again when it is 0.
        offset: u64,
    },
    /// Stop an attempt that nobody waits for; no answer is needed.
    Cancel {
        /// Endpoint that may have the attempt.
        endpoint: EndpointId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Life of the sidecar that may have it.
        incarnation: Incarnation,
    },
    /// Give the caller the head of this attempt's answer.
    DeliverHead {
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// Give the caller the frame at this offset without its first `skip` bytes.
    Deliver {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Offset of the frame.
        offset: u64,
        /// Bytes at its beginning that the caller has already.
        skip: u64,
    },
    /// Compare the digest of all delivered bytes with this one.
    CheckDigest {
        /// BLAKE3 of the whole answer.
        expected: [u8; 32],
    },
    /// The final answer; nothing comes after it. Unless the code is `Complete`, a stream that
    /// has begun is cut and not ended.
    Finish(RequestOutcome),
    /// Send [`RequestEvent::Tick`] at this time; replaces the time given before.
    WakeAt(Timestamp),
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// What became of the request.
    pub code: ResultCode,
    /// Whether any attempt ran; goes before what the code says.
    pub ran: RanState,
    /// When another try makes sense; zero when there is no advice.
    pub retry_after: Duration,
    /// One line for people.
    pub detail: String,
    /// Attempts that were made.
    pub attempts: AttemptNumber,
    /// Last frame of the attempt that decided, for its token counts.
    pub end: Option<AnswerEnd>,
}
