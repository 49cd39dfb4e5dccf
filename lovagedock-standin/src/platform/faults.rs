//! Faults of the stand-in platform on command.

use std::time::Duration;

use lovagedock::Timestamp;
use serde::{Deserialize, Serialize};

const DEFAULT_DELAY_MS: u64 = 5_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    None,
    /// Connections are cut before the call has any effect.
    Down,
    /// Calls wait before they take effect, and take effect even when the caller has gone.
    Slow,
    /// Writes take effect and the connection is cut in place of an answer.
    LoseConfirmations,
}

/// Body of `POST /v1/faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// What goes wrong.
    pub fault: FaultKind,
    /// For how long; absent means until the next order.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Share of the calls that are hit, from 0 to 1.
    #[serde(default = "whole_share")]
    pub share: f64,
    /// How long slow calls wait.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: u64,
}

impl FaultOrder {
    /// An order that hits every call until the next order.
    pub fn new(fault: FaultKind) -> Self {
        Self {
            fault,
            for_ms: None,
            share: whole_share(),
            delay_ms: default_delay_ms(),
        }
    }
}

/// The order in force.
#[derive(Debug)]
pub(crate) struct FaultState {
    order: FaultOrder,
    until: Option<Timestamp>,
    carried: f64,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFate {
    Served,
    Cut,
    Delayed(Duration),
    AnswerLost,
}

impl FaultState {
    pub(crate) fn new() -> Self {
        Self {
            order: FaultOrder::new(FaultKind::None),
            until: None,
            carried: 0.0,
        }
    }

    pub(crate) fn set(&mut self, order: FaultOrder, now: Timestamp) {
        self.until = order.for_ms.map(|ms| now + Duration::from_millis(ms));
        self.order = order;
        self.carried = 0.0;
    }

    /// Decides the fate of a call. Shares are dealt out evenly and not by chance, so that a test
    /// sees the same calls hit in every run.
    pub(crate) fn fate(&mut self, is_write: bool, now: Timestamp) -> CallFate {
        let over = self.until.is_some_and(|until| now >= until);
        let fate = match self.order.fault {
            _ if over => return CallFate::Served,
            FaultKind::None => return CallFate::Served,
            FaultKind::LoseConfirmations if !is_write => return CallFate::Served,
            FaultKind::LoseConfirmations => CallFate::AnswerLost,
            FaultKind::Down => CallFate::Cut,
            FaultKind::Slow => CallFate::Delayed(Duration::from_millis(self.order.delay_ms)),
        };
        self.carried += self.order.share;
        if self.carried < 1.0 {
            return CallFate::Served;
        }
        self.carried -= 1.0;
        fate
    }
}

fn whole_share() -> f64 {
    1.0
}

fn default_delay_ms() -> u64 {
    DEFAULT_DELAY_MS
}
