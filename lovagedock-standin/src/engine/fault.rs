//! Faults that can be injected into a stand-in engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fault that is active in the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum EngineFault {
    /// No fault.
    #[default]
    None,
    /// The process crashed: its memory is lost, its connections break and new ones are refused.
    #[serde(rename = "die")]
    Crash,
    /// Connections stay open, but the engine makes no progress and sends nothing.
    Hang,
    /// Every response starts with a delay.
    Late {
        /// Delay in real milliseconds.
        delay_ms: u64,
    },
    /// Callers receive the answer text of another request.
    #[serde(rename = "crossed")]
    SwapsResponses,
    /// Steps take longer than normal.
    Slow {
        /// Factor by which the duration of a step is multiplied.
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
    /// Real milliseconds until the fault ends; without it the fault lasts until the next command.
    #[serde(default)]
    pub(crate) for_ms: Option<u64>,
}
