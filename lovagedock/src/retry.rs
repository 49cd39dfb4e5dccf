//! Retry budgets and backoff.

use std::time::Duration;

use crate::ids::Timestamp;

/// Number of retries that a [`RetryBudget`] allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Number of retries per success, for example 0.1 for one retry per ten successes.
    pub share: f64,
    /// Retries per second that are allowed without any success, so that a service with little
    /// traffic can retry.
    pub floor_per_second: f64,
    /// Maximum number of unused retries. The maximum ensures that only recent successes count.
    pub capacity: f64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self {
            share: 0.1,
            floor_per_second: 1.0,
            capacity: 20.0,
        }
    }
}

/// Limits the retries of one service to a share of its recent successes.
///
/// Without a budget, an overloaded or partly failed fleet receives each request several times,
/// which keeps it overloaded after the cause is gone. With a budget, retries add at most `share` to
/// the load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    tokens: f64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Timestamp, allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            tokens: allowance.capacity,
            filled_at: now,
        }
    }

    /// Changes the allowance. Unused retries are kept up to the new capacity.
    pub fn set_allowance(&mut self, now: Timestamp, allowance: RetryAllowance) {
        self.fill(now);
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.capacity);
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Timestamp) {
        self.fill(now);
        self.add(self.allowance.share);
    }

    /// Consumes one retry. Returns `false` if none is left.
    pub fn try_consume(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.allowance.floor_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.allowance.capacity);
    }
}

/// Exponential backoff with jitter. The delay doubles from `base` up to `limit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffCurve {
    /// Maximum delay before the first retry.
    pub base: Duration,
    /// Maximum delay before any retry.
    pub limit: Duration,
}

impl Default for BackoffCurve {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(20),
            limit: Duration::from_secs(2),
        }
    }
}

impl BackoffCurve {
    /// Returns the delay before retry number `retry` (from 1), between half and all of the doubled
    /// base.
    ///
    /// `jitter` is a random number in `0.0..1.0`. It spreads the retries of requests that failed at
    /// the same time.
    pub fn delay(&self, retry: u32, jitter: f64) -> Duration {
        let doublings = retry.saturating_sub(1).min(31);
        let full = self.base.saturating_mul(1 << doublings).min(self.limit);
        full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }
}
