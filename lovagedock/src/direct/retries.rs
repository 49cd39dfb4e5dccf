//! Share of one gateway in the retries that a service allows.

use std::time::Duration;

use crate::{
    ids::Timestamp,
    retry::{RetryAllowance, RetryBudget},
};

/// Retries that all gateways together may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShareSettings {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Share of the allowance that is used, so that gateways that miscount each other stay within it.
const SAFETY_FACTOR: f64 = 0.8;

/// Limits the retries of one service at one gateway.
///
/// The limit applies to all gateways together. Each may use the ratio of its own requests and an
/// equal part of the slack. Unused retries are not transferred to other gateways. So no message is
/// needed, and the sum stays within the limit even if gateways cannot reach each other.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetryShareSettings,
    gateways: usize,
    budget: RetryBudget,
}

impl RetryShare {
    /// Creates the share of one of `gateways` gateways.
    pub fn new(now: Timestamp, settings: RetryShareSettings, gateways: usize) -> Self {
        let gateways = gateways.max(1);
        Self {
            settings,
            gateways,
            budget: RetryBudget::new(now, allowance(settings, gateways)),
        }
    }

    /// Sets the retries that all gateways together may make.
    pub fn set_settings(&mut self, now: Timestamp, settings: RetryShareSettings) {
        self.settings = settings;
        let allowance = allowance(settings, self.gateways);
        self.budget.set_allowance(now, allowance);
    }

    /// Sets the number of gateways.
    pub fn set_gateway_count(&mut self, now: Timestamp, gateways: usize) {
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

    /// Consumes one retry. Returns `false` if none is left.
    pub fn try_consume(&mut self, now: Timestamp) -> bool {
        self.budget.try_consume(now)
    }
}

fn allowance(settings: RetryShareSettings, gateways: usize) -> RetryAllowance {
    // A bucket with capacity C that fills by F per window admits C + F in that window. Half of the
    // slack is used as the capacity and the other half as the fill rate.
    let slack = settings.slack * SAFETY_FACTOR / gateways as f64;
    RetryAllowance {
        share: settings.ratio * SAFETY_FACTOR,
        floor_per_second: slack / 2.0 / settings.window.as_secs_f64().max(1.0),
        capacity: (slack / 2.0).max(1.0),
    }
}
