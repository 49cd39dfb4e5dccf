//! Decides whether a failed request is retried, and builds its final result.

use std::time::Duration;

use super::{
    attempt::{Attempt, merge_ran_states},
    event::{RequestAction, RequestOutcome},
    machine::RequestMachine,
    phase::RequestPhase,
};
use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, Timestamp},
    outcome::AnswerEnd,
};

/// Retry advice for a failed request if no sidecar or placement gave any.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestMachine {
    pub(super) fn on_submit_refused(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        end: AnswerEnd,
    ) {
        let waiting = matches!(
            self.phase,
            RequestPhase::Submitting | RequestPhase::Revoking { .. }
        );
        if waiting && number == self.attempts {
            self.on_attempt_failed(now, end);
        }
    }

    pub(super) fn on_span_failed(&mut self, now: Timestamp, number: AttemptNumber, end: AnswerEnd) {
        if number != self.attempts {
            return;
        }
        match self.phase {
            RequestPhase::Spanning => self.on_attempt_failed(now, end),
            RequestPhase::Submitting | RequestPhase::Attached | RequestPhase::Resuming { .. } => {
                self.resolve_attempt(now);
            }
            _ => {}
        }
    }

    /// Handles the end of the current attempt without an answer. Retries if that is safe and there
    /// is enough time left.
    pub(super) fn on_attempt_failed(&mut self, now: Timestamp, end: AnswerEnd) {
        // A frame or a verdict that shows a start takes precedence over a later "not run".
        let started = self.attempt.as_ref().is_some_and(|attempt| attempt.started);
        let prefilling = matches!(self.phase, RequestPhase::Spanning);
        // The parts of a span are prefilled before its submit. A refusal of the submit means that
        // there is no answer, but the engines have already worked on the request.
        let is_span = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| !attempt.span.is_empty());
        let only_prefilled = is_span && !prefilling && !started && end.ran == RanState::No;
        let ran = if only_prefilled || started && self.safeguards.remember_ran {
            RanState::Yes
        } else {
            end.ran
        };
        let mut end = end.with_ran(ran);
        if end.code == ResultCode::Revoked && self.caller_gone {
            end.code = ResultCode::CallerGone;
        }
        if !self.may_retry(&end, prefilling, only_prefilled) {
            self.abandon_attempt_unless(end.ran == RanState::No || is_released_by_sidecar(&end));
            self.conclude(end);
            return;
        }
        self.abandon_attempt_unless(end.ran == RanState::No || is_released_by_sidecar(&end));
        self.exclude_failed_endpoint(&end);
        self.earlier_ran = merge_ran_states(self.earlier_ran, end.ran);
        if end.ran != RanState::No {
            self.earlier_failure = Some(end.clone());
        }
        self.release_span();
        self.attempt = None;
        if now + self.spec.timing.backoff.base >= self.deadline {
            self.conclude(end);
            return;
        }
        self.phase = RequestPhase::AskingRetry { failure: end };
        self.actions.push(RequestAction::AskRetry);
    }

    fn may_retry(&self, end: &AnswerEnd, prefilling: bool, only_prefilled: bool) -> bool {
        let is_abandoned = self.caller_gone || self.stopping;
        let no_attempts_left = self.attempts >= self.spec.timing.max_attempts;
        if is_abandoned || no_attempts_left || self.answer.delivered > 0 {
            return false;
        }
        // An attempt that this request revoked can end on its old connection before the verdict
        // arrives. That end is equivalent to the verdict.
        let endpoint_failed = matches!(
            end.code,
            ResultCode::EndpointLost
                | ResultCode::EngineFailed
                | ResultCode::AnswerDamaged
                | ResultCode::Revoked
        );
        // Prefill produces no answer and has no effect outside the engine, so it may be repeated
        // even for a request that must not run twice.
        let repeatable = end.ran == RanState::No
            || prefilling
            || only_prefilled
            || !self.spec.non_idempotent
            || !self.safeguards.revoke_before_retry;
        // The span coordinator has already tried other engines until its time limit.
        let span_gave_up = prefilling && end.code == ResultCode::NoCapacity;
        (endpoint_failed || end.code.is_retryable_elsewhere()) && repeatable && !span_gave_up
    }

    fn exclude_failed_endpoint(&mut self, end: &AnswerEnd) {
        // A restarted sidecar may get the next attempt. If a span failed before its submit, the
        // placement excludes the failed engine itself, because it sees the lost session.
        let restarted = end.code == ResultCode::StaleIncarnation;
        let attempt = self
            .attempt
            .as_ref()
            .filter(|attempt| attempt.submitted && !restarted);
        self.excluded
            .extend(attempt.map(|attempt| attempt.endpoint.clone()));
    }

    pub(super) fn on_retry_answered(
        &mut self,
        now: Timestamp,
        granted: bool,
        jitter_permille: u16,
    ) {
        let RequestPhase::AskingRetry { failure } = &self.phase else {
            return;
        };
        let failure = failure.clone();
        if !granted {
            let detail = format!("last refusal: {}", failure.code.title());
            let end = AnswerEnd::new(ResultCode::RetriesExhausted)
                .with_retry_after(failure.retry_after)
                .with_detail(detail);
            self.conclude(end);
            return;
        }
        let jitter = f64::from(jitter_permille) / 1000.0;
        let until = now + self.spec.timing.backoff.delay(self.attempts, jitter);
        if until >= self.deadline {
            self.conclude(failure);
        } else {
            self.phase = RequestPhase::BackingOff { until };
        }
    }

    /// Handles the deadline: the caller gets the final result at once.
    pub(super) fn expire_request(&mut self) {
        let code = match self.ran_so_far() {
            RanState::No if self.stopping => ResultCode::GatewayStopping,
            RanState::No => ResultCode::ExpiredWaiting,
            RanState::Yes => ResultCode::ExpiredRunning,
            RanState::Unknown => ResultCode::ExpiredUnknown,
        };
        self.abandon_attempt_unless(false);
        self.conclude(AnswerEnd::new(code).with_ran(self.ran_so_far()));
    }

    pub(super) fn on_caller_gone(&mut self) {
        if self.caller_gone {
            return;
        }
        self.caller_gone = true;
        let submitted = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.submitted);
        if submitted && self.spec.non_idempotent {
            // The answer must be recorded for a caller that repeats the request with the same key.
            // Therefore only a revoke is sent, which stops the attempt only if it has not started.
            self.abandon_attempt_unless(matches!(self.phase, RequestPhase::Checking { .. }));
            return;
        }
        self.abandon_attempt_unless(false);
        let ran = self.ran_so_far();
        self.conclude(AnswerEnd::new(ResultCode::CallerGone).with_ran(ran));
    }

    pub(super) fn on_stopping(&mut self, now: Timestamp, grace: Duration) {
        self.stopping = true;
        self.deadline = self.deadline.min(now.saturating_add(grace));
        let idle = matches!(
            self.phase,
            RequestPhase::Placing
                | RequestPhase::AskingRetry { .. }
                | RequestPhase::BackingOff { .. }
        );
        if idle {
            self.conclude(AnswerEnd::new(ResultCode::GatewayStopping));
        }
    }

    /// Ends the request with its final result.
    pub(super) fn conclude(&mut self, end: AnswerEnd) {
        let ran = match end.code {
            ResultCode::Complete => RanState::Yes,
            _ if !self.safeguards.remember_ran => end.ran,
            // A refused attempt does not undo an earlier one that may have run. If "not run" were
            // reported, the caller would repeat a request that ran.
            _ => merge_ran_states(self.earlier_ran, end.ran),
        };
        // A code that implies "not run" would contradict `ran`, so the earlier failure is reported
        // instead.
        let contradicts = end.code.ran() == RanState::No && ran != RanState::No;
        let decisive = match (contradicts, &self.earlier_failure) {
            (true, Some(failure)) => failure.clone(),
            (true, None) => AnswerEnd::new(ResultCode::EndpointLost),
            (false, _) => end,
        };
        let retry_after = match decisive.code.number() / 1000 {
            2 | 3 if decisive.retry_after.is_zero() => DEFAULT_RETRY_AFTER,
            _ => decisive.retry_after,
        };
        self.release_span();
        self.phase = RequestPhase::Finished;
        self.actions.push(RequestAction::Finish(RequestOutcome {
            code: decisive.code,
            ran,
            retry_after,
            detail: decisive.detail.clone(),
            attempts: self.attempts,
            end: Some(decisive),
        }));
    }

    fn release_span(&mut self) {
        let attempt = self
            .attempt
            .as_ref()
            .filter(|attempt| !attempt.span.is_empty());
        self.actions
            .extend(attempt.map(|attempt| RequestAction::ReleaseSpan {
                attempt: attempt.number,
            }));
    }

    fn ran_so_far(&self) -> RanState {
        let current = self.attempt.as_ref().map_or(RanState::No, Attempt::ran);
        merge_ran_states(self.earlier_ran, current)
    }

    /// Releases the resources of the current attempt, unless it is known to hold none.
    ///
    /// A non-idempotent attempt is revoked instead of cancelled: once started it runs to its end,
    /// so that its answer can be recorded.
    fn abandon_attempt_unless(&mut self, is_released: bool) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let revoking = matches!(self.phase, RequestPhase::Revoking { .. });
        if is_released || attempt.incarnation_ended || !attempt.submitted {
            return;
        }
        if !self.spec.non_idempotent {
            self.actions.push(RequestAction::Cancel {
                endpoint: attempt.endpoint.clone(),
                attempt: attempt.number,
                incarnation: attempt.incarnation,
            });
        } else if !attempt.started && !revoking {
            self.push_revoke();
        }
    }
}

/// Whether this end came from a sidecar's end frame, which means that the sidecar has already
/// released the attempt.
fn is_released_by_sidecar(end: &AnswerEnd) -> bool {
    matches!(
        end.code,
        ResultCode::EngineFailed | ResultCode::ExpiredRunning | ResultCode::Complete
    )
}
