//! Which requests a gateway still takes after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the request to stop in which a balancer may still send connections: one that asks
/// once a second and wants two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2800);

/// A stop that was asked for.
///
/// The load that it answers: all gateways of a failure domain stop one after the other, faster than
/// they come back. With its door closed, each refuses callers a connection while none of the others
/// is back. So the door stays open until the end, and who cannot be served is told at once to come
/// back.
///
/// How long a stream takes is known when it has ended: engines that are full, read for others, or
/// are slow write several times as slowly as declared. So after the notice time none is taken.
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
    /// One whose own time is over before the stop ends is: it ends by then, whatever its engine
    /// does. The others are taken only during the notice, since a balancer sends them back here, and
    /// if they are expected to end in time.
    pub fn takes(&self, now: Timestamp, request: &LateRequest) -> bool {
        if request.deadline <= self.ends_at {
            return true;
        }
        now < self.notice_ends_at() && now + request.expected <= self.ends_at
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
