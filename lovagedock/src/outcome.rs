//! Messages between gateways and sidecars about one attempt of a request.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, Incarnation, RequestId, TokenCount},
};

/// Identifies one attempt of one request at one incarnation of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Incarnation of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
}

/// Result of an attempt; the last frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Result code of the attempt.
    pub code: ResultCode,
    /// Whether the work started. More precise than [`ResultCode::ran`] where that is `Unknown`.
    pub ran: RanState,
    /// Bytes of the whole answer.
    pub length: u64,
    /// BLAKE3 digest of the whole answer; `None` unless it is complete.
    pub digest: Option<[u8; 32]>,
    /// Time to wait before a retry; zero if the sidecar gives no advice.
    pub retry_after: Duration,
    /// One-line detail for users.
    pub detail: String,
    /// Prompt tokens as counted by the engine.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that the engine had in its cache.
    pub cached_tokens: TokenCount,
    /// Tokens of the answer.
    pub answer_tokens: TokenCount,
    /// Whether the engine's process ended while it had the request.
    pub engine_ended: bool,
}

impl AnswerEnd {
    /// Creates a result with this code, the code's own [`ResultCode::ran`] and no delivered bytes.
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

    /// Creates the result of a complete answer of `length` bytes.
    pub fn complete(length: u64, digest: [u8; 32]) -> Self {
        Self {
            length,
            digest: Some(digest),
            ..Self::new(ResultCode::Complete)
        }
    }

    /// Sets the time to wait before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Sets the one-line detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Records that the engine's process ended while it had the request.
    pub fn mark_engine_ended(mut self) -> Self {
        self.engine_ended = true;
        self
    }

    /// Sets whether the work started.
    pub fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }
}

/// Response of a sidecar to a revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RevokeVerdict {
    /// The request did not run and never will: the sidecar keeps a tombstone that rejects a late
    /// submit.
    Revoked,
    /// The request is running.
    Running,
    /// The request ran and ended.
    Ended,
    /// The named incarnation of the sidecar no longer exists, and no other process has a record of
    /// the outcome.
    OtherIncarnation,
}
