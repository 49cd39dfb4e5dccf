//! Which requests a gateway still takes after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the request to stop in which a balancer may still send connections: one that asks
/// once a second and wants two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2800);

/// Time before the end of a stop below which nothing is sent to an endpoint: it would run, and hardly be
/// answered.
const MIN_SEND_TIME: Duration = Duration::from_millis(300);

/// A stop that was asked for.
///
/// All gateways of a failure domain may stop one after the other, faster than they come back. So the
/// listener stays open while any request is under way, and requests that cannot be served are refused
/// at once with a time to retry.
///
/// How long a stream takes has no known bound: engines that are full, read for others, or are slow
/// write several times as slowly as declared. So after the notice only requests are taken whose
/// deadline is before the end of the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    requested_at: Timestamp,
    ends_at: Timestamp,
}

/// When a request ends, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOutlook {
    /// When its time is over, for its caller or its route.
    pub deadline: Timestamp,
    /// Time that its stream is expected to take; zero for an answer that comes as a whole.
    pub expected: Duration,
}

impl StopPlan {
    /// A stop that was asked for now and ends all requests after `grace`.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self {
            requested_at: now,
            ends_at: now + grace,
        }
    }

    /// When the stop was asked for.
    pub fn requested_at(&self) -> Timestamp {
        self.requested_at
    }

    /// When the requests that are left are ended.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Until when callers may not know of the stop.
    pub fn notice_ends_at(&self) -> Timestamp {
        (self.requested_at + NOTICE_TIME).min(self.ends_at)
    }

    /// Whether a request that comes now is taken.
    ///
    /// During the notice: whatever may be sent, since a balancer would send it back here. Later: only
    /// what ends by its own deadline.
    pub fn admits(&self, now: Timestamp, outlook: &RequestOutlook) -> bool {
        let is_late = now >= self.notice_ends_at();
        let ends_itself = outlook.deadline <= self.ends_at;
        self.may_send(now, outlook) && (ends_itself || !is_late)
    }

    /// Whether a request is sent to an endpoint now; it may have waited, or come back from another one.
    ///
    /// It is if its deadline is before the end of the stop, or if it is expected to end before that.
    pub fn may_send(&self, now: Timestamp, outlook: &RequestOutlook) -> bool {
        let needed = outlook.expected.max(MIN_SEND_TIME);
        let left = self.ends_at.saturating_sub(now);
        outlook.deadline <= self.ends_at || needed <= left
    }
}

impl ServiceProfile {
    /// Expected time from a request to the end of its stream, which is expected to have `answer`
    /// tokens and never has more than `limit`; `objective` is the one for its first event. Nothing
    /// is expected of engines without a profile.
    pub fn expected_time(
        &self,
        objective: Duration,
        prompt: TokenCount,
        answer: TokenCount,
        limit: Option<TokenCount>,
    ) -> Duration {
        let Some(engine) = &self.engine else {
            return Duration::ZERO;
        };
        let answer = answer.min(limit.unwrap_or(TokenCount::MAX));
        // A prompt that one engine reads too slowly for its objective is shared by several, so that the
        // objective bounds its reading where the pool is not overloaded.
        let reading = engine.prefill_time(prompt).min(objective);
        let pass = engine.full_pass();
        let writing = engine.decode_time(answer, pass);
        reading.saturating_add(pass).saturating_add(writing)
    }
}
