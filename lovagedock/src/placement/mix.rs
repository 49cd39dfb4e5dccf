//! How much of the recent work came from long prompts.

use crate::ids::Timestamp;

/// Decaying sums of predicted prefill time, by whether the prompt was long.
#[derive(Debug, Default)]
pub(super) struct MixTracker {
    updated_at: Timestamp,
    long_seconds: f64,
    all_seconds: f64,
}

impl MixTracker {
    pub(super) fn record(&mut self, now: Timestamp, seconds: f64, long: bool) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let keep = (-elapsed / MIX_MEMORY_SECONDS).exp();
        self.updated_at = now;
        self.long_seconds *= keep;
        self.all_seconds *= keep;
        self.all_seconds += seconds;
        if long {
            self.long_seconds += seconds;
        }
    }

    /// Share of a pool that long prompts need, at most `limit`.
    ///
    /// `limit` itself until enough has been seen.
    pub(super) fn long_share(&self, limit: f64) -> f64 {
        if self.all_seconds < MIX_ENOUGH_SECONDS {
            return limit;
        }
        (self.long_seconds / self.all_seconds).min(limit)
    }
}

/// Time in which the weight of what was seen falls to 1/e.
const MIX_MEMORY_SECONDS: f64 = 120.0;
/// Prefill time that has to be seen before the mix is trusted.
const MIX_ENOUGH_SECONDS: f64 = 5.0;
