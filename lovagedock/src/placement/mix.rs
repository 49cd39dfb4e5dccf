//! Estimates the share of a pool that long prompts need.

use crate::ids::Timestamp;

/// Exponentially decaying sums of the predicted prefill time, in total and for long prompts, and
/// decaying means of the pool's activity.
#[derive(Debug, Default)]
pub(super) struct MixTracker {
    updated_at: Timestamp,
    long_seconds: f64,
    all_seconds: f64,
    busy: DecayingMean,
    overtaking: DecayingMean,
    throttle: ShareThrottle,
}

/// Activity of a pool according to the latest reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PoolActivity {
    /// Share of the endpoints with prefill work queued or running.
    pub(super) busy: f64,
    /// Share of the waiting time that a short prompt would skip; `None` if there is no backlog.
    pub(super) overtaking: Option<f64>,
}

#[derive(Debug, Default)]
struct DecayingMean {
    sum: f64,
    weight: f64,
}

/// Reduces the share of long prompts while short prompts wait too long.
///
/// The utilisation of a fully busy pool is the same at any degree of overload, so it does not show
/// how much capacity short prompts need. Their waiting time does. The share shrinks while short
/// prompts wait too long and recovers at a lower rate.
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

    /// Returns the mean, or zero if there are no values yet.
    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

impl MixTracker {
    /// Records a placed request with its predicted prefill time, and the activity of the pool.
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

    /// Returns the share of a pool that long prompts may use, at most `limit`. Returns `limit`
    /// until at least [`MIX_MIN_SECONDS`] of prefill time have been recorded.
    ///
    /// Enough endpoints are kept for short prompts to hold their utilisation at
    /// [`SHORT_TARGET_UTILISATION`]. If the rest is too little for the long prompts, the share of
    /// long prompts grows up to what they need, as long as the utilisation of the endpoints for
    /// short prompts does not exceed [`SHORT_MAX_UTILISATION`].
    /// Short prompts that overtake long ones on the engines need fewer endpoints of their own.
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

    /// Records the predicted waiting time of a short prompt.
    pub(super) fn record_short_wait(&mut self, now: Timestamp, seconds: f64) {
        self.throttle.record(now, seconds);
    }
}

/// Time in which the weight of an observation falls to 1/e.
const MIX_DECAY_SECONDS: f64 = 120.0;
/// Prefill time that must be recorded before the mix is used.
const MIX_MIN_SECONDS: f64 = 5.0;
/// Target utilisation of the endpoints kept for short prompts.
const SHORT_TARGET_UTILISATION: f64 = 0.5;
/// Highest utilisation of these endpoints that is accepted in favour of long prompts.
const SHORT_MAX_UTILISATION: f64 = 0.8;
/// Share of the waiting time above which short prompts count as overtaking all long ones. The
/// remaining time is short prompts waiting for each other.
const FULL_OVERTAKING: f64 = 0.8;
/// Highest utilisation of the endpoints that long prompts use.
const LONG_MAX_UTILISATION: f64 = 0.9;
/// Time constant of the mean wait of short prompts.
const WAIT_DECAY_SECONDS: f64 = 5.0;
/// Mean wait of short prompts above which the share of long prompts shrinks.
const SHORT_MAX_WAIT_SECONDS: f64 = 0.5;
/// Decrease of the share factor per second while short prompts wait too long.
const THROTTLE_PER_SECOND: f64 = 0.02;
/// Increase of the share factor per second otherwise.
const RECOVERY_PER_SECOND: f64 = 0.005;
const MIN_THROTTLE_FACTOR: f64 = 0.1;
