//! A token bucket with injected time.

use lovagedock::Timestamp;

/// Admits calls at a steady rate with a bounded burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Timestamp) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes one token, going into debt if need be, and returns how long its caller has to wait.
    pub fn reserve(&mut self, now: Timestamp) -> Timestamp {
        self.fill(now);
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            return Timestamp::ZERO;
        }
        Timestamp::from_secs_f64(-self.tokens / self.rate)
    }

    /// Tokens that are left; negative while calls wait for theirs.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Empties the bucket, so that a burst is not allowed before it has been earned again.
    pub fn drain(&mut self, now: Timestamp) {
        self.fill(now);
        self.tokens = self.tokens.min(0.0);
    }

    fn fill(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
    }
}
