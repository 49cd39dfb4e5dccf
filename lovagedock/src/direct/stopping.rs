//! Which requests a gateway still takes after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the request to stop in which everything is taken. A balancer that asks once a second
/// and wants two misses sends connections for two seconds more.
const TAKE_ALL_FOR: Duration = Duration::from_millis(2800);

/// Part of the time left that a request may take at the longest. The rest is for its wait and for
/// engines that are late with its first event.
const TIME_SHARE: f64 = 0.85;

/// Longest answer, as a multiple of what its caller expects: of 1,300 answers of a played day one in
/// twenty was over 2.3 times as long, one in a hundred over 2.9 times, none over 4.1 times.
const LONGEST_ANSWER: TokenCount = 5;

/// Longest time of a request to a plain service; the slowest of our operators take 220 ms.
const PLAIN_TIME: Duration = Duration::from_millis(400);

/// Length of a pass of a busy engine.
const BUSY_PASS: Duration = Duration::from_millis(70);

/// A stop that was asked for.
///
/// The load that it answers: all gateways of a failure domain stop one after the other, faster than
/// they come back. With its door closed, each refuses callers a connection while none of the others
/// is back. So the door stays open until the end, what surely ends in time is served, and the rest is
/// told at once to come back. Judged by the expected length of its answer, one request in some hundred
/// was taken and cut off in the middle: callers' estimates hold at the median and no farther.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    asked_at: Timestamp,
    ends_at: Timestamp,
}

impl StopPlan {
    /// A stop that was asked for now and ends the process after `grace`.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self {
            asked_at: now,
            ends_at: now + grace,
        }
    }

    /// When the stop was asked for.
    pub fn asked_at(&self) -> Timestamp {
        self.asked_at
    }

    /// When the process ends by itself.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Until when everything is taken.
    pub fn takes_all_until(&self) -> Timestamp {
        self.asked_at + TAKE_ALL_FOR
    }

    /// Whether a request that takes `longest` at the longest is taken now.
    pub fn takes(&self, now: Timestamp, longest: Duration) -> bool {
        let left = self.ends_at.saturating_sub(now);
        now < self.takes_all_until() || longest <= left.mul_f64(TIME_SHARE)
    }
}

impl ServiceProfile {
    /// Longest time from a request to the end of its answer, which is expected to have `answer` tokens
    /// and never has more than `limit`.
    pub fn longest_time(
        &self,
        prompt: TokenCount,
        answer: TokenCount,
        limit: Option<TokenCount>,
    ) -> Duration {
        let Some(engine) = &self.engine else {
            return PLAIN_TIME;
        };
        let longest = answer.saturating_mul(LONGEST_ANSWER);
        let longest = longest.min(limit.unwrap_or(TokenCount::MAX));
        // Helpers make it shorter, but may be late or missing.
        let reading = engine.read_time(prompt);
        BUSY_PASS + reading + engine.write_time(longest, BUSY_PASS)
    }
}
