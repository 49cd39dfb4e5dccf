//! Faults that can be injected into the stand-in platform.

use std::time::Duration;

use lovagedock::Timestamp;
use serde::{Deserialize, Serialize};

const DEFAULT_DELAY_MS: u64 = 5_000;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// No fault.
    None,
    /// Connections are closed before the call has any effect.
    Down,
    /// Calls are delayed before they take effect. They take effect even if the caller has
    /// disconnected.
    Slow,
    /// Writes take effect, but the connection is closed instead of sending a response.
    LoseConfirmations,
}

/// Body of `POST /v1/faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCommand {
    /// Kind of the fault.
    pub fault: FaultKind,
    /// Duration of the fault in milliseconds; without it the fault lasts until the next command.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Share of the calls that are affected, from 0 to 1.
    #[serde(default = "whole_share")]
    pub share: f64,
    /// Delay of slow calls in milliseconds.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: u64,
}

impl FaultCommand {
    /// Creates a command that affects every call until the next command.
    pub fn new(fault: FaultKind) -> Self {
        Self {
            fault,
            for_ms: None,
            share: whole_share(),
            delay_ms: default_delay_ms(),
        }
    }
}

/// State of the active fault.
#[derive(Debug)]
pub(crate) struct FaultState {
    command: FaultCommand,
    expires_at: Option<Timestamp>,
    accumulated_share: f64,
}

/// Effect of the active fault on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultEffect {
    NoFault,
    Disconnect,
    Delay(Duration),
    ResponseLost,
}

impl FaultState {
    pub(crate) fn new() -> Self {
        Self {
            command: FaultCommand::new(FaultKind::None),
            expires_at: None,
            accumulated_share: 0.0,
        }
    }

    pub(crate) fn set(&mut self, command: FaultCommand, now: Timestamp) {
        self.expires_at = command.for_ms.map(|ms| now + Duration::from_millis(ms));
        self.command = command;
        self.accumulated_share = 0.0;
    }

    /// Decides the effect of the active fault on a call. The affected calls are spread evenly and
    /// not at random, so that the same calls are affected in every run of a test.
    pub(crate) fn effect(&mut self, is_write: bool, now: Timestamp) -> FaultEffect {
        let has_expired = self.expires_at.is_some_and(|expires_at| now >= expires_at);
        let effect = match self.command.fault {
            _ if has_expired => return FaultEffect::NoFault,
            FaultKind::None => return FaultEffect::NoFault,
            FaultKind::LoseConfirmations if !is_write => return FaultEffect::NoFault,
            FaultKind::LoseConfirmations => FaultEffect::ResponseLost,
            FaultKind::Down => FaultEffect::Disconnect,
            FaultKind::Slow => FaultEffect::Delay(Duration::from_millis(self.command.delay_ms)),
        };
        self.accumulated_share += self.command.share;
        if self.accumulated_share < 1.0 {
            return FaultEffect::NoFault;
        }
        self.accumulated_share -= 1.0;
        effect
    }
}

fn whole_share() -> f64 {
    1.0
}

fn default_delay_ms() -> u64 {
    DEFAULT_DELAY_MS
}
