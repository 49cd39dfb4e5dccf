//! Which requests a gateway still takes after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the request to stop in which a balancer may still send connections: one that asks
/// once a second and wants two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2800);

/// Least time before the end of a stop in which a request is sent to an endpoint. With less it would run,
/// hardly be answered, and its caller could only be told that it may have run.
const LEAST_TIME: Duration = Duration::from_millis(300);

/// A stop that was asked for.
///
/// The load that it answers: all gateways of a failure domain stop one after the other, faster than
/// they come back. With its door closed, each refuses callers a connection while none of the others
/// is back. So the door stays open while any request is under way, and who cannot be served is told at
/// once to come back.
///
/// No bound of a stream's time is known: engines that are full, read for others, or are slow write
/// several times as slowly as declared. So after the notice only requests are taken that end by their
/// own deadline before the stop does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    asked_at: Timestamp,
    ends_at: Timestamp,
}

/// A request that comes to a gateway which was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// When its time is over, for its caller or its route.
    pub deadline: Timestamp,
    /// Time that its stream is expected to take; zero for an answer that comes as a whole.
    pub expected: Duration,
}

impl StopPlan {
    /// A stop that was asked for now and ends all requests after `grace`.
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

    /// When the requests that are left are ended.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Until when callers may not know of the stop.
    pub fn notice_ends_at(&self) -> Timestamp {
        (self.asked_at + NOTICE_TIME).min(self.ends_at)
    }

    /// Whether a request that comes now is taken.
    ///
    /// The others than those that [`sends`](Self::sends) lets through to the end are taken only during
    /// the notice, since a balancer sends them back here.
    pub fn takes(&self, now: Timestamp, request: &LateRequest) -> bool {
        let is_late = now >= self.notice_ends_at();
        let ends_itself = request.deadline <= self.ends_at;
        self.sends(now, request) && (ends_itself || !is_late)
    }

    /// Whether a request that was taken, and may have waited since or come back from another endpoint,
    /// is sent to an endpoint now.
    ///
    /// One whose own time is over before the stop ends is: it ends by then, whatever its engine
    /// does. The others are if they are expected to end in time.
    pub fn sends(&self, now: Timestamp, request: &LateRequest) -> bool {
        let needed = request.expected.max(LEAST_TIME);
        request.deadline <= self.ends_at || now + needed <= self.ends_at
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
        let reading = engine.read_time(prompt).min(objective);
        let pass = engine.full_pass();
        reading + pass + engine.write_time(answer, pass)
    }
}
