//! One gateway's share of the retries that a service bears.

use std::time::Duration;

use crate::{
    ids::Timestamp,
    retry::{RetryAllowance, RetryBudget},
};

/// Retries that all gateways together may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShareSettings {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the allowance that is used, so that gateways that miscount each other stay within it.
const SAFETY: f64 = 0.8;

/// Bounds the retries of one service at one gateway.
///
/// The limit holds for all gateways together. Each takes the ratio of its own requests and an
/// equal part of the slack; what one does not use is not handed to another, so no message is
/// needed and the sum stays within the limit also when gateways cannot hear each other.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    gateways: usize,
    budget: RetryBudget,
}

impl RetryShare {
    /// A share among `gateways` gateways.
    pub fn new(now: Timestamp, settings: RetryShareSettings, gateways: usize) -> Self {
        let gateways = gateways.max(1);
        Self {
            settings,
            gateways,
            budget: RetryBudget::new(now, allowance(settings, gateways)),
        }
    }

    /// Changes what all gateways together may retry.
    pub fn set_settings(&mut self, now: Timestamp, settings: RetryShareSettings) {
        self.settings = settings;
        let allowance = allowance(settings, self.gateways);
        self.budget.set_allowance(now, allowance);
    }

    /// Takes in how many gateways there are.
    pub fn resize(&mut self, now: Timestamp, gateways: usize) {
        let gateways = gateways.max(1);
        if gateways != self.gateways {
            self.gateways = gateways;
            let allowance = allowance(self.settings, gateways);
            self.budget.set_allowance(now, allowance);
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.budget.record_success(now);
    }

    /// Takes one retry, or tells that none is left.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.budget.try_consume(now)
    }
}

fn allowance(settings: RetryShareSettings, gateways: usize) -> RetryAllowance {
    // A bucket of capacity C that fills by F in a window lets C + F through in it: half of the
    // slack is the bucket's size and the other half its flow.
    let slack = settings.slack * SAFETY / gateways as f64;
    RetryAllowance {
        share: settings.ratio * SAFETY,
        floor_per_second: slack / 2.0 / settings.window.as_secs_f64().max(1.0),
        capacity: (slack / 2.0).max(1.0),
    }
}
