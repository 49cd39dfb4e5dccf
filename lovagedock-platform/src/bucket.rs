//! A token bucket that receives the time from its caller.

use std::time::Duration;

use lovagedock::Timestamp;

/// Limits calls to a steady rate with a bounded burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second, up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Timestamp) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Consumes one token if one is available.
    pub fn try_consume(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Consumes one token, going into debt if necessary, and returns how long the caller has to
    /// wait. Consumes none and returns `None` if the wait would exceed `max_wait`.
    pub fn reserve(&mut self, now: Timestamp, max_wait: Duration) -> Option<Duration> {
        self.refill(now);
        let debt = (1.0 - self.tokens).max(0.0);
        let refill_time = Duration::try_from_secs_f64(debt / self.rate).ok()?;
        let wait = self.filled_at.saturating_sub(now) + refill_time;
        if wait > max_wait {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }

    /// Empties the bucket until the given time, so that a burst accumulates again only from then
    /// on.
    pub fn empty_until(&mut self, until: Timestamp) {
        self.refill(until);
        self.tokens = self.tokens.min(0.0);
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
    }
}
