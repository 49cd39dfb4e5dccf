//! Returns of a request after a refusal.

use std::time::Duration;

use lovagedock::{DirectStep, RequestFingerprint, ReturnOutcome, prelude::*};
use slog::info;

use super::DirectCall;
use crate::direct::state::{GatewayState, Refusal, ReturnAdvice};

/// What is known of earlier attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestReturn {
    /// Whether the request was refused before.
    pub(super) was_refused: bool,
    /// How it returns, if its return was scheduled.
    pub(super) outcome: Option<ReturnOutcome>,
}

impl RequestReturn {
    /// Recognises a request of a service with engines.
    pub(super) fn new(state: &GatewayState, fingerprint: RequestFingerprint) -> Self {
        let outcome = state.record_return(fingerprint);
        Self {
            was_refused: outcome.is_some() || state.is_return(fingerprint),
            outcome,
        }
    }

    /// Returns whether the request gets only the capacity that others leave.
    pub(super) fn gives_way(self) -> bool {
        self.was_refused && !self.is_on_time()
    }

    /// Returns whether the request returns at the time that was scheduled for it.
    pub(super) fn is_on_time(self) -> bool {
        self.outcome == Some(ReturnOutcome::OnTime)
    }
}

impl DirectCall {
    /// Chooses the retry delay of a request that is refused for lack of capacity, and returns the step
    /// that refuses it. `unavailable_for` is the time for which no endpoint accepts requests, and
    /// `unscheduled_delay` applies unless the return is scheduled.
    pub(super) fn refuse_with_delay(
        &mut self,
        now: Timestamp,
        unavailable_for: Duration,
        unscheduled_delay: Duration,
    ) -> DirectStep {
        let step = self.machine.no_place_step(now);
        let is_first = !self.returning.was_refused && self.machine.sent_count() == 0;
        let advice = self.state.advise_return(&Refusal {
            service: &self.parts.service,
            queue: self.queue,
            fingerprint: self.fingerprint,
            time_left: self.deadline.saturating_sub(now),
            unavailable_for,
            // Only services with engines recognise returning requests. Long prompts wait for prefill
            // time, which the flow of starts does not tell, and may be on time if they return early.
            may_return: self.has_engine && is_first && !self.queue.is_long(),
            unscheduled_delay,
        });
        self.retry_after = Some(advice.delay);
        self.advice = Some(advice);
        step
    }

    pub(super) fn log_return(&self) {
        let Some(outcome) = self.returning.outcome else {
            return;
        };
        if let Some(left_out) = self.state.log_limiter.admit(self.state.clock.now()) {
            info!(self.state.log, "scheduled return";
                "request" => &self.parts.head.request,
                "fingerprint" => lovagedock::format_fingerprint(self.fingerprint),
                "outcome" => outcome.as_str(),
                "line" => ?self.queue,
                "left_out" => left_out);
        }
    }

    pub(super) fn is_scheduled(&self) -> bool {
        self.advice.is_some_and(|advice| advice.is_scheduled)
    }

    pub(super) fn expected_wait_ms(&self) -> Option<u64> {
        let wait = self
            .advice
            .and_then(|advice: ReturnAdvice| advice.expected_wait);
        wait.map(|wait| wait.as_millis() as u64)
    }
}
