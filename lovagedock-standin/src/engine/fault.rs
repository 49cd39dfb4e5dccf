//! Faults that a stand-in engine shows on command.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is wrong with the engine at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// The process is gone: its memory is lost, its connections break, new ones are refused.
    #[serde(rename = "die")]
    Crash,
    /// Connections stay open and nothing moves.
    Hang,
    /// Every answer starts later than it should.
    Late {
        /// Delay in real milliseconds.
        delay_ms: u64,
    },
    /// Callers get chunks of another request's answer.
    #[serde(rename = "crossed")]
    SwapsResponses,
    /// Steps take longer.
    Slow {
        /// Factor on the time of a step.
        factor: f64,
    },
}

impl EngineFault {
    pub(crate) fn stops_steps(self) -> bool {
        matches!(self, Self::Crash | Self::Hang)
    }

    pub(crate) fn slowdown(self) -> f64 {
        match self {
            Self::Slow { factor } => factor,
            _ => 1.0,
        }
    }

    pub(crate) fn delay(self) -> Duration {
        match self {
            Self::Late { delay_ms } => Duration::from_millis(delay_ms),
            _ => Duration::ZERO,
        }
    }
}

/// Body of `POST /faults`.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct FaultCommand {
    #[serde(flatten)]
    pub(crate) fault: EngineFault,
    /// Real milliseconds until the fault is over; without it the fault stays.
    #[serde(default)]
    pub(crate) for_ms: Option<u64>,
}
