//! Rate of events.

use std::time::Duration;

use crate::ids::Timestamp;

/// Events per second, averaged exponentially over a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventRate {
    per_second: f64,
    last: Timestamp,
    window: Duration,
}

impl EventRate {
    /// Creates a rate of zero; events count for about `window`.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            per_second: 0.0,
            last: Timestamp::ZERO,
            window,
        }
    }

    pub(super) fn record(&mut self, now: Timestamp) {
        self.record_amount(now, 1.0);
    }

    /// Records an event that counts `amount` times.
    pub(super) fn record_amount(&mut self, now: Timestamp, amount: f64) {
        self.per_second = self.per_second_at(now) + amount / self.window.as_secs_f64();
        self.last = now;
    }

    pub(super) fn per_second_at(&self, now: Timestamp) -> f64 {
        let idle = now.saturating_sub(self.last).as_secs_f64();
        self.per_second * (-idle / self.window.as_secs_f64()).exp()
    }
}
