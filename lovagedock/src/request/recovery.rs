//! Recovery of a request from silent connections, missing frames and lost sidecars.

use super::{attempt::Attempt, event::RequestAction, machine::RequestMachine, phase::RequestPhase};
use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, EndpointId, Incarnation, Timestamp},
    outcome::{AnswerEnd, RevokeVerdict},
};

impl RequestMachine {
    pub(super) fn on_session_lost(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let Some(attempt) = self
            .attempt
            .as_ref()
            .filter(|attempt| attempt.is_on_incarnation(endpoint, incarnation))
        else {
            return;
        };
        let accepted = attempt.accepted || attempt.started;
        match self.phase {
            // A long prefill may still be running behind the silent connection. Resuming it is
            // cheaper than starting again.
            RequestPhase::Submitting | RequestPhase::Attached if accepted => self.resume(now),
            RequestPhase::Submitting => self.resolve_attempt(now),
            _ => {}
        }
    }

    pub(super) fn on_session_reconnected(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.endpoint == *endpoint)
        else {
            return;
        };
        let same_incarnation = attempt.incarnation == incarnation;
        match self.phase {
            RequestPhase::Resuming {
                until,
                resend_at: Some(_),
            } if same_incarnation => {
                self.send_resume(until);
            }
            RequestPhase::Revoking {
                until,
                resend_at: Some(_),
            } if same_incarnation => {
                self.send_revoke(until);
            }
            RequestPhase::Attached
            | RequestPhase::Resuming { .. }
            | RequestPhase::Revoking { .. }
                if !same_incarnation =>
            {
                attempt.incarnation_ended = true;
                self.fail_endpoint_lost(now);
            }
            _ => {}
        }
    }

    /// Requests the rest of the answer from the same sidecar.
    pub(super) fn resume(&mut self, now: Timestamp) {
        self.send_resume(now + self.spec.timing.resume_wait);
    }

    pub(super) fn on_resume_answered(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        found: bool,
    ) {
        if !self.is_resuming(number) {
            return;
        }
        if found {
            self.phase = RequestPhase::Attached;
            if let Some(attempt) = &mut self.attempt {
                attempt.accepted = true;
            }
            return;
        }
        if self.attempt.as_ref().is_some_and(|attempt| attempt.ended) {
            self.on_attempt_failed(
                now,
                AnswerEnd::new(ResultCode::AnswerLost).with_ran(RanState::Yes),
            );
            return;
        }
        self.resolve_attempt(now);
    }

    pub(super) fn on_resume_failed(&mut self, now: Timestamp, number: AttemptNumber) {
        if !self.is_resuming(number) {
            return;
        }
        let pause = self.spec.timing.reconnect_pause;
        if let RequestPhase::Resuming { resend_at, .. } = &mut self.phase {
            *resend_at = Some(now + pause);
        }
    }

    pub(super) fn resume_tick(
        &mut self,
        now: Timestamp,
        until: Timestamp,
        resend_at: Option<Timestamp>,
    ) {
        if now >= until {
            self.resolve_attempt(now);
        } else if resend_at.is_some_and(|resend_at| now >= resend_at) {
            self.send_resume(until);
        }
    }

    /// Handles missing frames by resuming after the last byte that the caller has.
    pub(super) fn repair_gap(&mut self, now: Timestamp) {
        if matches!(
            self.phase,
            RequestPhase::Resuming { .. } | RequestPhase::Revoking { .. }
        ) {
            return;
        }
        if self.consume_repair() {
            self.resume(now);
        } else {
            self.on_attempt_failed(now, AnswerEnd::new(ResultCode::AnswerDamaged));
        }
    }

    /// Determines the state of an attempt whose connection is lost.
    ///
    /// A non-idempotent request whose connection went silent may still be running. If it were also
    /// sent to another endpoint, it would run twice. A revoke on a new connection leaves a
    /// tombstone, after which the attempt can never start. Only then may the request be retried on
    /// another endpoint.
    pub(super) fn resolve_attempt(&mut self, now: Timestamp) {
        let revokes = self.spec.non_idempotent && self.safeguards.revoke_before_retry;
        if !revokes {
            self.fail_endpoint_lost(now);
            return;
        }
        if self.consume_repair() {
            self.send_revoke(now + self.spec.timing.revoke_wait);
        } else {
            self.fail_endpoint_lost(now);
        }
    }

    pub(super) fn on_revoke_answered(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        incarnation: Incarnation,
        verdict: RevokeVerdict,
    ) {
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == number)
        else {
            return;
        };
        // A restarted sidecar does not know what its former incarnation did. If its "revoked" were
        // trusted, a request that ran could run again. The incarnation number tells the two apart.
        let other_incarnation =
            verdict == RevokeVerdict::OtherIncarnation || incarnation != attempt.incarnation;
        let verdict = match (other_incarnation, self.safeguards.check_verdict_incarnation) {
            (true, true) => RevokeVerdict::OtherIncarnation,
            (true, false) => RevokeVerdict::Revoked,
            (false, _) => verdict,
        };
        attempt.started |= matches!(verdict, RevokeVerdict::Running | RevokeVerdict::Ended);
        attempt.ended |= verdict == RevokeVerdict::Ended;
        attempt.incarnation_ended |= verdict == RevokeVerdict::OtherIncarnation;
        if self.caller_gone && verdict == RevokeVerdict::Revoked {
            self.on_attempt_failed(
                now,
                AnswerEnd::new(ResultCode::CallerGone).with_ran(RanState::No),
            );
            return;
        }
        if !matches!(self.phase, RequestPhase::Revoking { .. }) {
            return;
        }
        match verdict {
            RevokeVerdict::Revoked => self.on_attempt_failed(now, revoked_end()),
            RevokeVerdict::Running | RevokeVerdict::Ended => self.resume(now),
            RevokeVerdict::OtherIncarnation => self.fail_endpoint_lost(now),
        }
    }

    pub(super) fn on_revoke_failed(&mut self, now: Timestamp, number: AttemptNumber) {
        let pause = self.spec.timing.reconnect_pause;
        if number != self.attempts {
            return;
        }
        if let RequestPhase::Revoking { resend_at, .. } = &mut self.phase {
            *resend_at = Some(now + pause);
        }
    }

    pub(super) fn revoke_tick(
        &mut self,
        now: Timestamp,
        until: Timestamp,
        resend_at: Option<Timestamp>,
    ) {
        if now >= until {
            self.fail_endpoint_lost(now);
        } else if resend_at.is_some_and(|resend_at| now >= resend_at) {
            self.send_revoke(until);
        }
    }

    /// Fails the attempt as lost, because its state can no longer be determined.
    fn fail_endpoint_lost(&mut self, now: Timestamp) {
        let ran = self
            .attempt
            .as_ref()
            .map_or(RanState::Unknown, Attempt::ran);
        self.on_attempt_failed(now, AnswerEnd::new(ResultCode::EndpointLost).with_ran(ran));
    }

    fn send_resume(&mut self, until: Timestamp) {
        self.phase = RequestPhase::Resuming {
            until,
            resend_at: None,
        };
        let offset = self.answer.delivered;
        self.actions
            .extend(self.attempt.as_ref().map(|attempt| RequestAction::Resume {
                endpoint: attempt.endpoint.clone(),
                attempt: attempt.number,
                incarnation: attempt.incarnation,
                offset,
            }));
    }

    fn send_revoke(&mut self, until: Timestamp) {
        self.phase = RequestPhase::Revoking {
            until,
            resend_at: None,
        };
        self.push_revoke();
    }

    pub(super) fn push_revoke(&mut self) {
        self.actions
            .extend(self.attempt.as_ref().map(|attempt| RequestAction::Revoke {
                endpoint: attempt.endpoint.clone(),
                attempt: attempt.number,
                incarnation: attempt.incarnation,
            }));
    }

    fn consume_repair(&mut self) -> bool {
        let limit = self.spec.timing.max_repairs;
        self.attempt.as_mut().is_some_and(|attempt| {
            attempt.repairs += 1;
            attempt.repairs <= limit
        })
    }

    fn is_resuming(&self, number: AttemptNumber) -> bool {
        matches!(self.phase, RequestPhase::Resuming { .. }) && number == self.attempts
    }
}

fn revoked_end() -> AnswerEnd {
    AnswerEnd::new(ResultCode::EndpointUnreachable)
        .with_ran(RanState::No)
        .with_detail("connection went silent; the attempt was revoked before it started")
}
