//! How often and how soon a request may be tried again.

use std::time::Duration;

use crate::ids::Timestamp;

/// What a [`RetryBudget`] grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each success, such as 0.1 for one retry in ten successes.
    pub share: f64,
    /// Retries a second that are granted without any success, so that a quiet service can retry.
    pub floor_per_second: f64,
    /// Most retries that can be saved up; this is what makes only recent successes count.
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

/// Bounds the retries of one service by a share of its recent successes.
///
/// Without it, an overloaded or half-lost fleet gets each request several times, which keeps it
/// overloaded after its cause is gone. With it, retries add at most `share` to the load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    tokens: f64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// A budget that starts full.
    pub fn new(now: Timestamp, allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            tokens: allowance.capacity,
            filled_at: now,
        }
    }

    /// Changes what is granted; retries that were saved up stay, up to the new capacity.
    pub fn set_allowance(&mut self, now: Timestamp, allowance: RetryAllowance) {
        self.fill(now);
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.capacity);
    }

    /// Counts a request that completed.
    pub fn record_success(&mut self, now: Timestamp) {
        self.fill(now);
        self.add(self.allowance.share);
    }

    /// Takes one retry, or tells that none is left.
    pub fn try_consume(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that are left now.
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

/// Waiting time before each retry: doubles from `base` up to `limit`, with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffCurve {
    /// Longest wait before the first retry.
    pub base: Duration,
    /// Longest wait before any retry.
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
    /// Wait before retry number `retry` (from 1): between half and all of the doubled base.
    ///
    /// `jitter` is a random number in `0.0..1.0`; it keeps requests that failed together from
    /// coming back together.
    pub fn delay(&self, retry: u32, jitter: f64) -> Duration {
        let doublings = retry.saturating_sub(1).min(31);
        let full = self.base.saturating_mul(1 << doublings).min(self.limit);
        full.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
    }
}
