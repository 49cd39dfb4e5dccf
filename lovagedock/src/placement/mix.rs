//! How much of a pool long prompts need.

use crate::ids::Timestamp;

/// Decaying sums of predicted prefill time by whether the prompt was long, and of how busy the
/// pool was.
#[derive(Debug, Default)]
pub(super) struct MixTracker {
    updated_at: Timestamp,
    long_seconds: f64,
    all_seconds: f64,
    busy: DecayingMean,
    overtaking: DecayingMean,
    throttle: ShareThrottle,
}

/// What the last reports say of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PoolActivity {
    /// Share of the endpoints that had a prefill to do.
    pub(super) busy: f64,
    /// Share of the waiting time that a short prompt would skip; `None` when nothing waits.
    pub(super) overtaking: Option<f64>,
}

#[derive(Debug, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
}

/// Takes room from long prompts while short ones wait.
///
/// A pool that is busy all over looks the same at any overload, so the room that short prompts
/// need cannot be told from it. Their wait tells: the share shrinks while they wait too long and
/// grows back more slowly.
#[derive(Debug)]
struct ShareThrottle {
    factor: f64,
    mean_wait: f64,
    updated_at: Timestamp,
}

impl Default for ShareThrottle {
    fn default() -> Self {
        Self {
            factor: 1.0,
            mean_wait: 0.0,
            updated_at: Timestamp::ZERO,
        }
    }
}

impl ShareThrottle {
    fn record(&mut self, now: Timestamp, wait: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let gain = 1.0 - (-elapsed / WAIT_DECAY_SECONDS).exp();
        self.mean_wait += gain * (wait - self.mean_wait);
        let rate = if self.mean_wait > SHORT_MAX_WAIT_SECONDS {
            -THROTTLE_PER_SECOND
        } else {
            RECOVERY_PER_SECOND
        };
        self.factor = (self.factor + rate * elapsed).clamp(MIN_THROTTLE_FACTOR, 1.0);
    }
}

impl DecayingMean {
    fn record(&mut self, decay: f64, value: f64) {
        self.sum = self.sum * decay + value;
        self.weight = self.weight * decay + 1.0;
    }

    /// Zero until something was recorded.
    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

impl MixTracker {
    /// Counts a request that was placed, and the state of the pool then.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        seconds: f64,
        long: bool,
        activity: PoolActivity,
    ) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / MIX_DECAY_SECONDS).exp();
        self.updated_at = now;
        self.long_seconds *= decay;
        self.all_seconds = self.all_seconds * decay + seconds;
        if long {
            self.long_seconds += seconds;
        }
        self.busy.record(decay, activity.busy);
        if let Some(overtaking) = activity.overtaking {
            self.overtaking.record(decay, overtaking);
        }
    }

    /// Share of a pool that long prompts may use, at most `limit`; `limit` itself until enough has
    /// been seen.
    ///
    /// Short prompts keep enough of the pool to be busy to [`SHORT_TARGET_UTILISATION`]. Where long ones could
    /// not live with the rest, they get up to what they need, as long as the short ones' part is
    /// busy to no more than [`SHORT_MAX_UTILISATION`]. Where short prompts overtake long ones at the
    /// engines, they need that much less room of their own.
    pub(super) fn long_share(&self, limit: f64) -> f64 {
        if self.all_seconds < MIX_MIN_SECONDS {
            return limit;
        }
        let busy = self.busy.mean();
        let long = busy * self.long_seconds / self.all_seconds;
        let overtaking = (self.overtaking.mean() / FULL_OVERTAKING).min(1.0);
        let short = (busy - long) * (1.0 - overtaking);
        let at_target = 1.0 - short / SHORT_TARGET_UTILISATION;
        let at_limit = (long / LONG_MAX_UTILISATION).min(1.0 - short / SHORT_MAX_UTILISATION);
        (at_target.max(at_limit) * self.throttle.factor).clamp(0.0, limit)
    }

    /// Takes in how long a short prompt is about to wait.
    pub(super) fn record_short_wait(&mut self, now: Timestamp, seconds: f64) {
        self.throttle.record(now, seconds);
    }
}

/// Time in which the weight of what was seen falls to 1/e.
const MIX_DECAY_SECONDS: f64 = 120.0;
/// Prefill time that has to be seen before the mix is trusted.
const MIX_MIN_SECONDS: f64 = 5.0;
/// How busy the short prompts' part of a pool should be.
const SHORT_TARGET_UTILISATION: f64 = 0.5;
/// How busy it may become to make room for long prompts.
const SHORT_MAX_UTILISATION: f64 = 0.8;
/// Share of the waiting time from which on short prompts count as overtaking all long ones; the
/// rest of it are short prompts that wait for each other.
const FULL_OVERTAKING: f64 = 0.8;
/// How busy the long prompts' part may be.
const LONG_MAX_UTILISATION: f64 = 0.9;
/// Time over which the wait of short prompts is averaged.
const WAIT_DECAY_SECONDS: f64 = 5.0;
/// Mean wait of short prompts above which long ones lose room.
const SHORT_MAX_WAIT_SECONDS: f64 = 0.5;
const THROTTLE_PER_SECOND: f64 = 0.02;
const RECOVERY_PER_SECOND: f64 = 0.005;
const MIN_THROTTLE_FACTOR: f64 = 0.1;
