//! State machine of the attempts of a request.

use std::time::Duration;

use super::{config::RouteMode, process::EndpointProcess};
use crate::{
    codes::{RanState, ResultCode},
    ids::Timestamp,
};

/// How an attempt at one endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The endpoint's rate limit was reached after the request was placed, so nothing was sent.
    Withheld,
    /// The endpoint confirmed that the request has not run and will not run.
    NotRun,
    /// The address now belongs to another process of the endpoint or to another endpoint. Nothing
    /// ran.
    Misdirected,
    /// The endpoint responded with an error of its own, which can be delivered.
    Failed,
    /// No response, or a damaged one, was received before any part of it was delivered.
    Lost,
    /// The response broke off after part of it was delivered.
    Broken,
    /// The complete response was delivered.
    Complete,
}

/// What a gateway does next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectStep {
    /// Place the request on an endpoint that has not received it yet.
    Place {
        /// Whether the response continues after the last delivered event.
        resume: bool,
    },
    /// Deliver the endpoint's error.
    DeliverFailure,
    /// End the request with a result code of this gateway.
    Answer(ResultCode),
    /// Abort the response, so that it does not look complete.
    Cut,
    /// The response has been delivered completely.
    Done,
}

/// Tracks the attempts of one request.
///
/// A request that must not run twice is sent again only if the endpoint confirmed that it did not
/// run. A connection failure after the first byte does not show this: the endpoint may be running
/// the request.
#[derive(Clone, Debug)]
pub struct DirectMachine {
    mode: RouteMode,
    attempts_allowed: u32,
    deadline: Timestamp,
    sent: u32,
    /// Attempts granted in addition, because the process that had the request became silent and is
    /// gone.
    extra_attempts: u32,
    unreachable: u32,
    /// Whether the request was sent and the result of that attempt is not known yet.
    in_flight: bool,
    may_have_run: bool,
    /// Whether the next attempt resumes an interrupted stream.
    resuming: bool,
    excluded: Vec<EndpointProcess>,
}

/// Maximum number of connections that may fail to open for one request. Each costs a connect
/// timeout. After this many, the cause is the network and not an endpoint.
const MAX_UNREACHABLE: u32 = 4;

/// Maximum number of extra attempts of a request. Single engines may be lost, but a request whose
/// attempts are lost one after the other may itself be the cause.
const MAX_EXTRA_ATTEMPTS: u32 = 1;

/// Minimum time left for another attempt. With less, no endpoint could respond in time.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

impl DirectMachine {
    /// Creates the state of a request that may be sent to `attempts_allowed` endpoints until
    /// `deadline`.
    pub fn new(mode: RouteMode, attempts_allowed: u32, deadline: Timestamp) -> Self {
        Self {
            mode,
            attempts_allowed: attempts_allowed.max(1),
            deadline,
            sent: 0,
            extra_attempts: 0,
            unreachable: 0,
            in_flight: false,
            may_have_run: false,
            resuming: false,
            excluded: Vec::new(),
        }
    }

    /// Returns the endpoints that must not get the request again.
    pub fn excluded(&self) -> &[EndpointProcess] {
        &self.excluded
    }

    /// Excludes an endpoint from further attempts.
    pub fn exclude(&mut self, endpoint: EndpointProcess) {
        self.excluded.push(endpoint);
    }

    /// Returns the number of times that the request was sent.
    pub fn sent_count(&self) -> u32 {
        self.sent
    }

    /// Returns whether any endpoint may have run the request.
    pub fn ran(&self) -> RanState {
        if self.may_have_run {
            RanState::Unknown
        } else {
            RanState::No
        }
    }

    /// Records that the request is about to be written to a connection.
    pub fn begin_sending(&mut self) {
        self.sent += 1;
        self.in_flight = true;
    }

    /// Returns whether the request was sent and the result of that attempt is not known yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Returns whether the request may be sent again.
    pub fn has_attempt_left(&self) -> bool {
        self.sent < self.attempts_allowed + self.extra_attempts
    }

    /// Grants another attempt, because the process that had the request became silent and is gone.
    ///
    /// Without it, a long prompt would have used up its attempts after one engine refused it as not
    /// run and the next engine was lost with it, although no engine has completed any work on it.
    /// The caller would get an error while the rest of the fleet could serve the request.
    pub fn grant_extra_attempt(&mut self) {
        self.extra_attempts = (self.extra_attempts + 1).min(MAX_EXTRA_ATTEMPTS);
    }

    /// Decides the next step after an attempt at `endpoint` ended. `consume_retry` consumes a retry
    /// of the service's budget and returns `false` if none is left.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        end: AttemptEnd,
        consume_retry: impl FnOnce() -> bool,
    ) -> DirectStep {
        self.in_flight = false;
        if end != AttemptEnd::Withheld {
            self.excluded.push(endpoint.clone());
        }
        match end {
            AttemptEnd::Withheld if self.has_time_left(now) => DirectStep::Place {
                resume: self.resuming,
            },
            AttemptEnd::Withheld if self.resuming => DirectStep::Cut,
            AttemptEnd::Withheld => self.expired_step(),
            AttemptEnd::Complete => DirectStep::Done,
            AttemptEnd::Unreachable => {
                self.unreachable += 1;
                if self.unreachable > MAX_UNREACHABLE || !self.has_time_left(now) {
                    return self.final_step(now, ResultCode::EndpointUnreachable);
                }
                DirectStep::Place { resume: false }
            }
            AttemptEnd::NotRun | AttemptEnd::Misdirected => {
                if self.may_send_again(now) && consume_retry() {
                    return DirectStep::Place { resume: false };
                }
                self.final_step(now, ResultCode::EngineRefused)
            }
            AttemptEnd::Failed => {
                self.may_have_run = true;
                if self.mode.may_repeat() && self.may_send_again(now) && consume_retry() {
                    return DirectStep::Place { resume: false };
                }
                DirectStep::DeliverFailure
            }
            AttemptEnd::Lost => {
                self.may_have_run = true;
                if self.mode.may_repeat() && self.may_send_again(now) && consume_retry() {
                    return DirectStep::Place { resume: false };
                }
                self.final_step(now, ResultCode::EndpointLost)
            }
            AttemptEnd::Broken => {
                self.may_have_run = true;
                let resumable = self.mode == RouteMode::Stream { resumable: true };
                if resumable && self.may_send_again(now) && consume_retry() {
                    self.resuming = true;
                    return DirectStep::Place { resume: true };
                }
                DirectStep::Cut
            }
        }
    }

    /// Returns the result for a request that no endpoint can accept now.
    pub fn no_place_step(&self, now: Timestamp) -> DirectStep {
        self.final_step(now, ResultCode::NoCapacity)
    }

    /// Returns the result for a request that must not be sent to engines, see [`SuspectLedger`].
    ///
    /// [`SuspectLedger`]: super::SuspectLedger
    pub fn quarantined_step(&self, now: Timestamp) -> DirectStep {
        self.final_step(now, ResultCode::Quarantined)
    }

    /// Returns the result for a request whose deadline passed in an attempt that ended as `end`.
    pub fn expired_attempt_step(&mut self, end: AttemptEnd) -> DirectStep {
        let not_run = matches!(
            end,
            AttemptEnd::Unreachable
                | AttemptEnd::Withheld
                | AttemptEnd::NotRun
                | AttemptEnd::Misdirected
        );
        self.in_flight = false;
        self.may_have_run |= !not_run;
        self.expired_step()
    }

    /// Returns the result code for a request that is cut because its gateway stops.
    pub fn stopped_code(&mut self) -> ResultCode {
        self.may_have_run |= std::mem::take(&mut self.in_flight);
        match self.ran() {
            RanState::No => ResultCode::GatewayStopping,
            RanState::Yes | RanState::Unknown => ResultCode::GatewayStopped,
        }
    }

    /// Returns the result for a request whose deadline has passed.
    pub fn expired_step(&self) -> DirectStep {
        DirectStep::Answer(match self.ran() {
            RanState::No => ResultCode::ExpiredWaiting,
            RanState::Yes | RanState::Unknown => ResultCode::ExpiredUnknown,
        })
    }

    fn may_send_again(&self, now: Timestamp) -> bool {
        self.has_attempt_left() && self.has_time_left(now)
    }

    fn has_time_left(&self, now: Timestamp) -> bool {
        now + MIN_ATTEMPT_TIME < self.deadline
    }

    /// Ends the request. A code that states "not run" must be true for all attempts, not only for
    /// the last one.
    fn final_step(&self, now: Timestamp, code: ResultCode) -> DirectStep {
        if !self.may_have_run {
            return DirectStep::Answer(code);
        }
        if !self.has_time_left(now) {
            return DirectStep::Answer(ResultCode::ExpiredUnknown);
        }
        DirectStep::Answer(ResultCode::EndpointLost)
    }
}
