//! Which requests a gateway still takes after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the request to stop in which everything is taken. A balancer that asks once a second
/// and wants two misses sends connections for two seconds more.
const TAKE_ALL_FOR: Duration = Duration::from_millis(2800);

/// Part of the time left that a request may be expected to take. Under load a request takes up to
/// half as long again as expected.
const TIME_SHARE: f64 = 0.65;

/// Expected time of a request to a plain service; the slowest of our operators take 220 ms.
const PLAIN_TIME: Duration = Duration::from_millis(400);

/// Length of a pass of a busy engine.
const BUSY_PASS: Duration = Duration::from_millis(70);

/// Engines that share the reading of a long prompt on average.
const USUAL_TEAM: u32 = 4;

/// A stop that was asked for.
///
/// The load that it answers: all gateways of a failure domain stop one after the other, faster than
/// they come back. With its door closed, each refuses callers a connection while none of the others
/// is back. So the door stays open until the end, short requests are served, and those that would
/// not end in time are told at once to come back.
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

    /// When the process ends by itself.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Until when everything is taken.
    pub fn takes_all_until(&self) -> Timestamp {
        self.asked_at + TAKE_ALL_FOR
    }

    /// Whether a request that is expected to take `expected` is taken now.
    pub fn takes(&self, now: Timestamp, expected: Duration) -> bool {
        let left = self.ends_at.saturating_sub(now);
        now < self.takes_all_until() || expected <= left.mul_f64(TIME_SHARE)
    }
}

impl ServiceProfile {
    /// Expected time from a request to the end of its answer.
    pub fn expected_time(&self, prompt: TokenCount, answer: TokenCount) -> Duration {
        let Some(engine) = &self.engine else {
            return PLAIN_TIME;
        };
        let reading = engine.read_time(prompt) / USUAL_TEAM;
        BUSY_PASS + reading + engine.write_time(answer, BUSY_PASS)
    }
}
