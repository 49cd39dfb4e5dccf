//! Pauses between two tries to reserve all engines of a span.

use std::time::Duration;

use crate::retry::BackoffCurve;

/// Pause that grows with each refused round and shrinks with the span's age.
///
/// With a plain back-off a wide span starves: the pauses of those that waited long are the
/// longest, and narrow spans that came later find the engines first. Shrinking by age lets the
/// oldest ask most often, without anyone holding an engine while it waits for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveBackoff {
    /// Pauses of a span that has just come.
    pub curve: BackoffCurve,
    /// Shortest pause at any age.
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
    /// Pause after refused round number `round` (from 1) of a span that has waited this long of
    /// its patience; `jitter` is a random number in `0.0..1.0`.
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
