//! Backoff between rounds of reserving the engines of a span.

use std::time::Duration;

use crate::retry::BackoffCurve;

/// Backoff that grows with each refused round and shrinks with the span's age.
///
/// With a plain backoff, wide spans starve: the spans that have waited longest have the longest
/// pauses, and narrow spans that arrived later reserve the engines first. Shrinking the pause by
/// age lets the oldest span retry most often, without holding any engine while it waits for
/// another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveBackoff {
    /// Backoff of a span that has just arrived.
    pub curve: BackoffCurve,
    /// Minimum pause at any age, before jitter.
    pub floor: Duration,
}

impl Default for ReserveBackoff {
    fn default() -> Self {
        Self {
            curve: BackoffCurve {
                base: Duration::from_millis(100),
                limit: Duration::from_millis(800),
            },
            floor: Duration::from_millis(20),
        }
    }
}

impl ReserveBackoff {
    /// Returns the pause after refused round number `round` (counted from 1) of a span that has
    /// waited `waited` of its `time_limit`. `jitter` is a random number in `0.0..1.0`.
    pub fn delay(
        &self,
        round: u32,
        waited: Duration,
        time_limit: Duration,
        jitter: f64,
    ) -> Duration {
        let left = time_limit.saturating_sub(waited).as_secs_f64();
        let share = left / time_limit.as_secs_f64().max(f64::MIN_POSITIVE);
        let pause = self.curve.delay(round, jitter).mul_f64(share * share);
        pause.max(self.floor.mul_f64(0.5 + 0.5 * jitter))
    }
}
