//! What gateways and sidecars tell each other about one attempt of a request.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, Incarnation, RequestId, TokenCount},
};

/// Names one attempt of one request at one life of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The caller's request.
    pub request: RequestId,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// Life of the sidecar that the attempt was made to.
    pub incarnation: Incarnation,
}

/// How an attempt ended; the last frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// What became of the attempt.
    pub code: ResultCode,
    /// Whether the work started; more exact than [`ResultCode::ran`] where that is `Unknown`.
    pub ran: RanState,
    /// Bytes of the whole answer.
    pub length: u64,
    /// BLAKE3 of the whole answer; `None` unless complete.
    pub digest: Option<[u8; 32]>,
    /// How long to wait before another try; zero when there is no advice.
    pub retry_after: Duration,
    /// One line for people.
    pub detail: String,
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: TokenCount,
    /// Tokens of the prompt that the engine had in its cache.
    pub cached_tokens: TokenCount,
    /// Tokens of the answer.
    pub answer_tokens: TokenCount,
    /// Whether the engine's process ended while it had the request.
    pub engine_ended: bool,
}

impl AnswerEnd {
    /// An end with this code, what the code says about having run, and nothing delivered.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            ran: code.ran(),
            length: 0,
            digest: None,
            retry_after: Duration::ZERO,
            detail: String::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            answer_tokens: 0,
            engine_ended: false,
        }
    }

    /// A clean end of an answer of this many bytes.
    pub fn complete(length: u64, digest: [u8; 32]) -> Self {
        Self {
            length,
            digest: Some(digest),
            ..Self::new(ResultCode::Complete)
        }
    }

    /// Sets how long to wait before another try.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Sets the line for people.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Says that the engine's process ended while it had the request.
    pub fn with_engine_ended(mut self) -> Self {
        self.engine_ended = true;
        self
    }

    /// Sets whether the work started.
    pub fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }
}

/// A sidecar's answer to a revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RevokeVerdict {
    /// It did not run and never will: a tombstone stands in its place.
    Revoked,
    /// It is running.
    Running,
    /// It ran and ended.
    Ended,
    /// The named life of the sidecar is over; nobody can tell.
    OtherIncarnation,
}
