//! Errors of an endpoint, classified by whether the work ran.

use std::fmt;

use lovagedock::prelude::RanState;

/// Why a call to an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The endpoint refused the call; the work certainly did not start.
    Refused {
        /// HTTP status of the response; 501 for calls that the adapter does not support.
        status: u16,
        /// Description of the error.
        detail: String,
    },
    /// No connection was established, so nothing was sent and nothing started.
    Unreachable {
        /// Error of the connection attempt.
        detail: String,
    },
    /// The connection broke or delivered no more data after the request was sent; the work may have
    /// run.
    Lost {
        /// Description of the failure.
        detail: String,
    },
    /// The work started and failed.
    Failed {
        /// Description of the error.
        detail: String,
    },
}

impl EngineError {
    /// Whether the work ran.
    pub fn ran(&self) -> RanState {
        match self {
            Self::Refused { .. } | Self::Unreachable { .. } => RanState::No,
            Self::Lost { .. } => RanState::Unknown,
            Self::Failed { .. } => RanState::Yes,
        }
    }

    /// Whether the endpoint refused the request because of its content, as any other endpoint
    /// would.
    ///
    /// Other refusals, such as 404 for a model that is not loaded or 429, may be specific to this
    /// endpoint.
    pub fn is_invalid_request(&self) -> bool {
        const STATUSES: [u16; 3] = [400, 413, 422];
        matches!(self, Self::Refused { status, .. } if STATUSES.contains(status))
    }

    pub(crate) fn lost(detail: impl ToString) -> Self {
        Self::Lost {
            detail: detail.to_string(),
        }
    }

    pub(crate) fn failed(detail: impl ToString) -> Self {
        Self::Failed {
            detail: detail.to_string(),
        }
    }

    pub(crate) fn unsupported(feature: &str) -> Self {
        Self::Refused {
            status: 501,
            detail: format!("this endpoint does not support {feature}"),
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Unreachable { detail } => write!(f, "unreachable: {detail}"),
            Self::Lost { detail } => write!(f, "lost: {detail}"),
            Self::Failed { detail } => write!(f, "failed: {detail}"),
        }
    }
}

impl std::error::Error for EngineError {}
