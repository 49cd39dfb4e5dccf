//! A token bucket with a variable rate that may go into debt.

use std::time::Duration;

use crate::ids::Timestamp;

/// A token bucket that is filled at a rate set by its owner.
#[derive(Clone, Debug)]
pub(super) struct ShareBucket {
    level: f64,
    filled_at: Timestamp,
    rate: f64,
    capacity: f64,
}

impl ShareBucket {
    /// Creates a bucket that is full when its first rate is set.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            level: f64::INFINITY,
            filled_at: now,
            rate: 0.0,
            capacity: f64::INFINITY,
        }
    }

    /// Fills the bucket at the previous rate up to now, then sets the new rate and capacity. Tokens
    /// beyond the new capacity are lost, so a share that has moved to another gateway is not also
    /// spent here.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Whether the bucket contains at least this amount.
    pub(super) fn has_available(&self, amount: f64) -> bool {
        self.level >= amount
    }

    /// Removes an amount. The bucket goes into debt if it contains less.
    pub(super) fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the time until the bucket contains this amount at the current rate.
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
