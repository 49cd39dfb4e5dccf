//! Requests that a gateway still admits and sends after it was asked to stop.

use std::time::Duration;

use super::config::ServiceProfile;
use crate::ids::{Timestamp, TokenCount};

/// Time after the stop request in which a load balancer may still send connections. This covers one
/// that checks once per second and requires two failed checks.
const NOTICE_TIME: Duration = Duration::from_millis(2800);

/// Minimum time before the end of the stop for sending a request to an endpoint. With less, the
/// request would run, but its response would hardly arrive.
const MIN_SEND_TIME: Duration = Duration::from_millis(300);

/// Schedule of a requested stop.
///
/// All gateways of a failure domain may stop one after the other, faster than they restart. So the
/// listener stays open while any request is in flight, and requests that cannot be served are
/// refused at once with a retry delay.
///
/// The duration of a stream has no known upper bound: decoding takes several times the declared
/// time on engines that are full, prefill for others or are slow. So after the notice period, only
/// requests whose deadline is before the end of the stop are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    requested_at: Timestamp,
    ends_at: Timestamp,
}

/// Known bounds for the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOutlook {
    /// Deadline set by the caller or the route.
    pub deadline: Timestamp,
    /// Expected duration of the stream; zero for a single response.
    pub expected: Duration,
}

impl StopPlan {
    /// Creates the schedule of a stop that is requested now and ends all requests after `grace`.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self {
            requested_at: now,
            ends_at: now + grace,
        }
    }

    /// Returns when the stop was requested.
    pub fn requested_at(&self) -> Timestamp {
        self.requested_at
    }

    /// Returns when the remaining requests are ended.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Returns until when callers may not have noticed the stop.
    pub fn notice_ends_at(&self) -> Timestamp {
        (self.requested_at + NOTICE_TIME).min(self.ends_at)
    }

    /// Returns whether a request that arrives now is admitted.
    ///
    /// During the notice period, this is any request that may be sent, since a load balancer would
    /// direct a refused one to this gateway again. Later, it is only a request whose deadline is
    /// before the end of the stop.
    pub fn admits(&self, now: Timestamp, outlook: &RequestOutlook) -> bool {
        let is_after_notice = now >= self.notice_ends_at();
        let ends_in_time = outlook.deadline <= self.ends_at;
        self.may_send(now, outlook) && (ends_in_time || !is_after_notice)
    }

    /// Returns whether a request may be sent to an endpoint now. The request may have waited, or
    /// another endpoint may have refused or lost it.
    ///
    /// The request may be sent if its deadline is before the end of the stop, or if it is expected
    /// to finish before that.
    pub fn may_send(&self, now: Timestamp, outlook: &RequestOutlook) -> bool {
        let needed = outlook.expected.max(MIN_SEND_TIME);
        let left = self.ends_at.saturating_sub(now);
        outlook.deadline <= self.ends_at || needed <= left
    }
}

impl ServiceProfile {
    /// Returns the expected time from a request to the end of its stream. The stream is expected to
    /// have `answer` tokens and has at most `limit`; `objective` applies to its first event.
    /// Engines without a profile have an expected time of zero.
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
        // A prompt that one engine prefills too slowly for its objective is shared by several
        // engines. So the objective bounds the prefill time unless the pool is overloaded.
        let prefill_time = engine.prefill_time(prompt).min(objective);
        let pass = engine.full_pass();
        let decode_time = engine.decode_time(answer, pass);
        prefill_time
            .saturating_add(pass)
            .saturating_add(decode_time)
    }
}
