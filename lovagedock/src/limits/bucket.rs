//! A token bucket whose rate changes, and which may go into debt.

use std::time::Duration;

use crate::ids::Timestamp;

/// Tokens that may be spent now, filled at a rate that the owner gives.
#[derive(Clone, Debug)]
pub(super) struct ShareBucket {
    level: f64,
    filled_at: Timestamp,
    rate: f64,
    capacity: f64,
}

impl ShareBucket {
    /// A bucket that is full at its first rate.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            level: f64::INFINITY,
            filled_at: now,
            rate: 0.0,
            capacity: f64::INFINITY,
        }
    }

    /// Fills at the former rate up to now, then applies the new one; what does not fit is lost, so
    /// that a share that moved to another gateway is not spent here as well.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Whether the bucket has this much.
    pub(super) fn has_available(&self, amount: f64) -> bool {
        self.level >= amount
    }

    /// Takes an amount, into debt when there is less.
    pub(super) fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Time until the bucket has this much at the present rate.
    pub(super) fn time_until(&self, amount: f64) -> Duration {
        let missing = (amount - self.level).max(0.0);
        if self.rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64((missing / self.rate).min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
    }
}

const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
