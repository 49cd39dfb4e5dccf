//! Phases of a request.

use crate::{ids::Timestamp, outcome::AnswerEnd};

/// The phase of a request, named by what it waits for.
#[derive(Clone, Debug)]
pub(super) enum RequestPhase {
    Placing,
    AskingRetry {
        failure: AnswerEnd,
    },
    BackingOff {
        until: Timestamp,
    },
    Spanning,
    Submitting,
    Attached,
    /// A resume was sent, or will be sent again at `resend_at`.
    Resuming {
        until: Timestamp,
        resend_at: Option<Timestamp>,
    },
    /// A revoke was sent, or will be sent again at `resend_at`.
    Revoking {
        until: Timestamp,
        resend_at: Option<Timestamp>,
    },
    Checking {
        end: AnswerEnd,
    },
    Finished,
}

impl RequestPhase {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Placing => "placing",
            Self::AskingRetry { .. } => "asking_retry",
            Self::BackingOff { .. } => "backing_off",
            Self::Spanning => "spanning",
            Self::Submitting => "submitting",
            Self::Attached => "attached",
            Self::Resuming { .. } => "resuming",
            Self::Revoking { .. } => "revoking",
            Self::Checking { .. } => "checking",
            Self::Finished => "finished",
        }
    }

    /// Time at which the phase needs a tick, if that is before the deadline.
    pub(super) fn wake_at(&self) -> Option<Timestamp> {
        match *self {
            Self::BackingOff { until } => Some(until),
            Self::Resuming { until, resend_at } | Self::Revoking { until, resend_at } => {
                Some(resend_at.unwrap_or(until).min(until))
            }
            _ => None,
        }
    }
}
