//! What follows each attempt of a request.

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
    /// The endpoint promised that the request has not run and will not.
    NotRun,
    /// Another life of the endpoint, or another endpoint, has the address; nothing ran.
    Misdirected,
    /// The endpoint answered with a failure of its own; the answer can be delivered.
    Failed,
    /// Nothing, or nothing sound, came back before any part of the answer was delivered.
    Lost,
    /// The answer broke off after part of it was delivered.
    Broken,
    /// The whole answer was delivered.
    Complete,
}

/// What a gateway does next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectStep {
    /// Place it on an endpoint that has not had it; `resume` after what was delivered.
    Place {
        /// Whether the answer continues after the last event that was delivered.
        resume: bool,
    },
    /// Deliver the failure that the endpoint gave.
    DeliverFailure,
    /// End with a code of our own.
    Answer(ResultCode),
    /// Break the answer off, so that it does not look complete.
    Cut,
    /// Everything was delivered.
    Done,
}

/// Follows one request from attempt to attempt.
///
/// A request that must not run twice is sent again only after an endpoint's word that it did not
/// run. A connection that fails after the first byte says nothing: the endpoint may be at work.
#[derive(Clone, Debug)]
pub struct DirectMachine {
    mode: RouteMode,
    attempts_allowed: u32,
    deadline: Timestamp,
    sent: u32,
    /// Times that it was sent to a process that fell silent and is gone, and that do not count.
    extra_attempts: u32,
    unreachable: u32,
    /// Whether it was sent and the end of that attempt is not known.
    in_flight: bool,
    may_have_run: bool,
    /// Whether the next attempt resumes an interrupted stream.
    resuming: bool,
    excluded: Vec<EndpointProcess>,
}

/// Connections that may fail to open for one request. Each costs a connect timeout; after this
/// many the network is at fault and not an endpoint.
const MAX_UNREACHABLE: u32 = 4;

/// Attempts of a request that may be extra_attempts. One engine at a time is lost; a request whose attempts are
/// lost one after the other may be what ends the engines.
const MAX_EXTRA_ATTEMPTS: u32 = 1;

/// Least time left for another attempt: with less, no endpoint could answer.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

impl DirectMachine {
    /// A request that may be sent to `attempts_allowed` endpoints until `deadline`.
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

    /// Endpoints that have had the request.
    pub fn excluded(&self) -> &[EndpointProcess] {
        &self.excluded
    }

    /// Keeps the request from an endpoint that would not help with it.
    pub fn exclude(&mut self, endpoint: EndpointProcess) {
        self.excluded.push(endpoint);
    }

    /// Times that the request was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether any endpoint may have run the request.
    pub fn ran(&self) -> RanState {
        if self.may_have_run {
            RanState::Unknown
        } else {
            RanState::No
        }
    }

    /// Records that bytes of the request are about to be written.
    pub fn begin_sending(&mut self) {
        self.sent += 1;
        self.in_flight = true;
    }

    /// Whether it was sent and the end of that attempt is not known.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether the request may be sent once more than it was.
    pub fn has_attempt_left(&self) -> bool {
        self.sent < self.attempts_allowed + self.extra_attempts
    }

    /// Records that the process which had the request fell silent and is gone.
    ///
    /// The failure that it answers: a long prompt is refused as not run by one engine and lost with the
    /// next. Its attempts are used up, though nobody has worked on it to any end, and the caller gets a
    /// failure that the rest of the fleet could have spared him.
    pub fn grant_extra_attempt(&mut self) {
        self.extra_attempts = (self.extra_attempts + 1).min(MAX_EXTRA_ATTEMPTS);
    }

    /// Decides after an attempt at `endpoint`; `take_retry` asks the service's retry share.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        end: AttemptEnd,
        take_retry: impl FnOnce() -> bool,
    ) -> DirectStep {
        self.in_flight = false;
        if end != AttemptEnd::Withheld {
            self.excluded.push(endpoint.clone());
        }
        match end {
            AttemptEnd::Withheld if self.has_time(now) => DirectStep::Place {
                resume: self.resuming,
            },
            AttemptEnd::Withheld if self.resuming => DirectStep::Cut,
            AttemptEnd::Withheld => self.expired(),
            AttemptEnd::Complete => DirectStep::Done,
            AttemptEnd::Unreachable => {
                self.unreachable += 1;
                if self.unreachable > MAX_UNREACHABLE || !self.has_time(now) {
                    return self.give_up(now, ResultCode::EndpointUnreachable);
                }
                DirectStep::Place { resume: false }
            }
            AttemptEnd::NotRun | AttemptEnd::Misdirected => {
                if self.may_send_again(now) && take_retry() {
                    return DirectStep::Place { resume: false };
                }
                self.give_up(now, ResultCode::EngineRefused)
            }
            AttemptEnd::Failed => {
                self.may_have_run = true;
                if self.mode.may_repeat() && self.may_send_again(now) && take_retry() {
                    return DirectStep::Place { resume: false };
                }
                DirectStep::DeliverFailure
            }
            AttemptEnd::Lost => {
                self.may_have_run = true;
                if self.mode.may_repeat() && self.may_send_again(now) && take_retry() {
                    return DirectStep::Place { resume: false };
                }
                self.give_up(now, ResultCode::EndpointLost)
            }
            AttemptEnd::Broken => {
                self.may_have_run = true;
                let resumable = self.mode == RouteMode::Stream { resumable: true };
                if resumable && self.may_send_again(now) && take_retry() {
                    self.resuming = true;
                    return DirectStep::Place { resume: true };
                }
                DirectStep::Cut
            }
        }
    }

    /// The code for a request that no endpoint can take now.
    pub fn no_place(&self, now: Timestamp) -> DirectStep {
        self.give_up(now, ResultCode::NoCapacity)
    }

    /// The code for a request that must not be sent to engines, see [`SuspectLedger`].
    ///
    /// [`SuspectLedger`]: super::SuspectLedger
    pub fn quarantined(&self, now: Timestamp) -> DirectStep {
        self.give_up(now, ResultCode::Quarantined)
    }

    /// The code for a request whose time passed in an attempt that ended as `end`.
    pub fn expired_after(&mut self, end: AttemptEnd) -> DirectStep {
        let not_run = matches!(
            end,
            AttemptEnd::Unreachable
                | AttemptEnd::Withheld
                | AttemptEnd::NotRun
                | AttemptEnd::Misdirected
        );
        self.in_flight = false;
        self.may_have_run |= !not_run;
        self.expired()
    }

    /// The code for a request that its gateway can follow no further.
    pub fn stopped(&mut self) -> ResultCode {
        self.may_have_run |= std::mem::take(&mut self.in_flight);
        match self.ran() {
            RanState::No => ResultCode::GatewayStopping,
            RanState::Yes | RanState::Unknown => ResultCode::GatewayStopped,
        }
    }

    /// The code for a request whose time has passed.
    pub fn expired(&self) -> DirectStep {
        DirectStep::Answer(match self.ran() {
            RanState::No => ResultCode::ExpiredWaiting,
            RanState::Yes | RanState::Unknown => ResultCode::ExpiredUnknown,
        })
    }

    fn may_send_again(&self, now: Timestamp) -> bool {
        self.has_attempt_left() && self.has_time(now)
    }

    fn has_time(&self, now: Timestamp) -> bool {
        now + MIN_ATTEMPT_TIME < self.deadline
    }

    /// A code that says "not run" must be true over all attempts, not only the last.
    fn give_up(&self, now: Timestamp, code: ResultCode) -> DirectStep {
        if !self.may_have_run {
            return DirectStep::Answer(code);
        }
        if !self.has_time(now) {
            return DirectStep::Answer(ResultCode::ExpiredUnknown);
        }
        DirectStep::Answer(ResultCode::EndpointLost)
    }
}
