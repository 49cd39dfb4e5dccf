//! The state machine of one request.

use std::{mem, time::Duration};

use super::{
    answer::AnswerProgress,
    attempt::Attempt,
    event::{PlacementOutcome, RequestAction, RequestEvent, SpanPart},
    phase::RequestPhase,
    safeguards::RequestSafeguards,
    spec::RequestSpec,
};
use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, EndpointId, Incarnation, Timestamp},
    outcome::AnswerEnd,
};

/// Makes all decisions about one caller's request from its admission to its final result.
///
/// Each event returns actions, which the daemon carries out in order. The machine returns exactly
/// one [`RequestAction::Finish`], by the deadline at the latest, provided that the daemon sends the
/// requested ticks.
#[derive(Debug)]
pub struct RequestMachine {
    pub(super) spec: RequestSpec,
    pub(super) safeguards: RequestSafeguards,
    pub(super) deadline: Timestamp,
    pub(super) phase: RequestPhase,
    pub(super) attempt: Option<Attempt>,
    pub(super) attempts: AttemptNumber,
    pub(super) excluded: Vec<EndpointId>,
    pub(super) answer: AnswerProgress,
    /// Whether any attempt before the current one ran.
    pub(super) earlier_ran: RanState,
    /// Failure of the last earlier attempt that ran or may have run.
    pub(super) earlier_failure: Option<AnswerEnd>,
    pub(super) caller_gone: bool,
    pub(super) stopping: bool,
    pub(super) actions: Vec<RequestAction>,
    wake_at: Option<Timestamp>,
}

impl RequestMachine {
    /// Creates the machine of a request that is admitted at `now`. Call [`RequestMachine::start`]
    /// to begin it.
    pub fn new(now: Timestamp, spec: RequestSpec) -> Self {
        Self {
            deadline: now.saturating_add(spec.deadline),
            spec,
            safeguards: RequestSafeguards::ALL,
            phase: RequestPhase::Placing,
            attempt: None,
            attempts: 0,
            excluded: Vec::new(),
            answer: AnswerProgress::default(),
            earlier_ran: RanState::No,
            earlier_failure: None,
            caller_gone: false,
            stopping: false,
            actions: Vec::new(),
            wake_at: None,
        }
    }

    /// Replaces the safeguards, for tests that show what each of them prevents.
    pub fn with_safeguards(mut self, safeguards: RequestSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Begins the request and returns the first actions.
    pub fn start(&mut self) -> Vec<RequestAction> {
        self.place();
        self.take_actions()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: RequestEvent) -> Vec<RequestAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if event != RequestEvent::Tick || now < self.deadline {
            self.dispatch(now, event);
        }
        if !self.is_finished() && now >= self.deadline {
            self.expire_request();
        }
        self.take_actions()
    }

    /// Returns the specification of the request.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Whether the final result was returned.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, RequestPhase::Finished)
    }

    /// Number of answer bytes delivered in order.
    pub fn delivered(&self) -> u64 {
        self.answer.delivered
    }

    /// Endpoint that has the current attempt.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        self.attempt.as_ref().map(|attempt| &attempt.endpoint)
    }

    /// Name of the current phase, for dumps.
    pub fn state_name(&self) -> &'static str {
        self.phase.name()
    }

    fn dispatch(&mut self, now: Timestamp, event: RequestEvent) {
        match event {
            RequestEvent::Placed(placed) => self.on_placed(now, placed),
            RequestEvent::RetryAnswered {
                granted,
                jitter_permille,
            } => {
                self.on_retry_answered(now, granted, jitter_permille);
            }
            RequestEvent::SpanReady { attempt } => self.on_span_ready(now, attempt),
            RequestEvent::SpanFailed { attempt, end } => self.on_span_failed(now, attempt, end),
            RequestEvent::SubmitAccepted {
                attempt,
                incarnation,
            } => {
                self.on_submit_accepted(attempt, incarnation);
            }
            RequestEvent::SubmitRefused { attempt, end } => {
                self.on_submit_refused(now, attempt, end)
            }
            RequestEvent::SessionLost {
                endpoint,
                incarnation,
            } => {
                self.on_session_lost(now, &endpoint, incarnation);
            }
            RequestEvent::SessionReconnected {
                endpoint,
                incarnation,
            } => {
                self.on_session_reconnected(now, &endpoint, incarnation);
            }
            RequestEvent::RevokeAnswered {
                attempt,
                incarnation,
                verdict,
            } => {
                self.on_revoke_answered(now, attempt, incarnation, verdict);
            }
            RequestEvent::RevokeFailed { attempt } => self.on_revoke_failed(now, attempt),
            RequestEvent::ResumeAnswered { attempt, found } => {
                self.on_resume_answered(now, attempt, found);
            }
            RequestEvent::ResumeFailed { attempt } => self.on_resume_failed(now, attempt),
            RequestEvent::Head { attempt } => self.on_head(attempt),
            RequestEvent::Chunk {
                attempt,
                offset,
                length,
            } => {
                self.on_chunk(now, attempt, offset, length);
            }
            RequestEvent::End { attempt, end } => self.on_end(now, attempt, end),
            RequestEvent::DigestChecked { matches } => self.on_digest_checked(now, matches),
            RequestEvent::CallerGone => self.on_caller_gone(),
            RequestEvent::Stopping { grace } => self.on_stopping(now, grace),
            RequestEvent::Tick => self.tick(now),
        }
    }

    pub(super) fn place(&mut self) {
        self.phase = RequestPhase::Placing;
        let excluded = self.excluded.clone();
        self.actions.push(RequestAction::Place { excluded });
    }

    fn on_placed(&mut self, now: Timestamp, placed: PlacementOutcome) {
        if !matches!(self.phase, RequestPhase::Placing) {
            return;
        }
        match placed {
            PlacementOutcome::One {
                endpoint,
                incarnation,
            } => {
                self.begin_attempt(endpoint, incarnation);
                self.submit(now);
            }
            PlacementOutcome::Span(members) => self.begin_span(now, members),
            PlacementOutcome::Refused { code, retry_after } => {
                self.conclude(AnswerEnd::new(code).with_retry_after(retry_after));
            }
        }
    }

    fn begin_attempt(&mut self, endpoint: EndpointId, incarnation: Incarnation) {
        self.attempts += 1;
        self.answer.begin_attempt();
        self.attempt = Some(Attempt::new(self.attempts, endpoint, incarnation));
    }

    fn begin_span(&mut self, now: Timestamp, members: Vec<SpanPart>) {
        let Some(lead) = members.first() else {
            self.conclude(AnswerEnd::new(ResultCode::NoCapacity));
            return;
        };
        self.begin_attempt(lead.endpoint.clone(), lead.incarnation);
        let remaining = self.remaining(now);
        if let Some(attempt) = &mut self.attempt {
            attempt.span = members
                .iter()
                .map(|member| member.endpoint.clone())
                .collect();
        }
        self.phase = RequestPhase::Spanning;
        self.actions.push(RequestAction::StartSpan {
            attempt: self.attempts,
            members,
            remaining,
        });
    }

    fn on_span_ready(&mut self, now: Timestamp, attempt: AttemptNumber) {
        if matches!(self.phase, RequestPhase::Spanning) && attempt == self.attempts {
            self.submit(now);
        }
    }

    fn submit(&mut self, now: Timestamp) {
        let remaining = self.remaining(now);
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        attempt.submitted = true;
        self.phase = RequestPhase::Submitting;
        self.actions.push(RequestAction::Submit {
            endpoint: attempt.endpoint.clone(),
            incarnation: attempt.incarnation,
            attempt: attempt.number,
            remaining,
            span: attempt.span.clone(),
        });
    }

    fn on_submit_accepted(&mut self, number: AttemptNumber, incarnation: Incarnation) {
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == number)
        else {
            return;
        };
        attempt.accepted = true;
        if matches!(self.phase, RequestPhase::Submitting) {
            attempt.incarnation = incarnation;
            self.phase = RequestPhase::Attached;
        }
    }

    /// Time limit for a sidecar. It is shorter than the remaining time, so that the sidecar's final
    /// message arrives before the deadline.
    fn remaining(&self, now: Timestamp) -> Duration {
        let margin = self.spec.timing.answer_margin;
        self.deadline.saturating_sub(now).saturating_sub(margin)
    }

    fn tick(&mut self, now: Timestamp) {
        match self.phase {
            RequestPhase::BackingOff { until } if now >= until => self.place(),
            RequestPhase::Resuming { until, resend_at } => self.resume_tick(now, until, resend_at),
            RequestPhase::Revoking { until, resend_at } => self.revoke_tick(now, until, resend_at),
            _ => {}
        }
    }

    fn take_actions(&mut self) -> Vec<RequestAction> {
        let wake_at = self.next_wake();
        if wake_at.is_some() && wake_at != self.wake_at {
            self.actions.extend(wake_at.map(RequestAction::WakeAt));
        }
        self.wake_at = wake_at;
        mem::take(&mut self.actions)
    }

    fn next_wake(&self) -> Option<Timestamp> {
        if self.is_finished() {
            return None;
        }
        let phase_wake = self.phase.wake_at().unwrap_or(self.deadline);
        Some(phase_wake.min(self.deadline))
    }
}
