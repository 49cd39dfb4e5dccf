//! Runs one call from admission to the final event for its caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{ClaimKey, ClaimRequest, KeyHash, RequestOutcome, prelude::*};
use slog::{Logger, info, warn};

use crate::{
    call::CallerCall,
    claims::ClaimOutcome,
    cuts::{CutNotice, count_cut},
    driver::{BufferedAnswer, RequestDriver},
    front::{CallerEvent, CallerSink, RequestProblem},
    recorded::RecordedAnswer,
    shared::GatewayShared,
};

/// Time limit for recording a failure. If the store is unavailable for longer, the claim stays
/// until its deadline.
const FAILURE_RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a call: claims its idempotency key if it has one, drives the request and records its
/// answer.
pub(crate) struct CallTask {
    shared: GatewayShared,
    call: Arc<CallerCall>,
    caller: CallerSink,
    deadline: Timestamp,
    log: Logger,
}

impl CallTask {
    /// Creates a task for a call that passed all checks.
    pub(crate) fn new(
        shared: GatewayShared,
        call: Arc<CallerCall>,
        caller: CallerSink,
        log: Logger,
    ) -> Self {
        let deadline = shared.context.clock.now() + call.time_limit;
        Self {
            shared,
            call,
            caller,
            deadline,
            log,
        }
    }

    /// Runs the call until the final event was sent to its caller.
    pub(crate) async fn run(self) {
        let started = self.shared.context.clock.now();
        let mut end = match &self.call.idempotency_key {
            None => {
                let (outcome, _) = self.drive(false).await;
                CallEnd::without_failure_record(final_event(&outcome))
            }
            Some(key) => self.run_with_key(key.clone()).await,
        };
        let code = end.event.code();
        if let CallerEvent::Problem(problem) = &mut end.event
            && self.shared.is_cut_by_drain(self.deadline)
        {
            self.log_cut_by_drain(problem, started);
        }
        self.shared.limits.finish_request(&self.call.organisation);
        self.caller.send(end.event).await;
        self.record_outcome(code, started);
        if let Some(failure) = end.failure_record {
            self.record_failure(failure).await;
        }
    }

    async fn run_with_key(&self, key: String) -> CallEnd {
        let key = ClaimKey {
            organisation: self.call.organisation.clone(),
            service: self.call.service.clone(),
            key,
        }
        .hash();
        match self.claim(key).await {
            Some(ClaimOutcome::Granted) => self.run_granted(key).await,
            Some(ClaimOutcome::Replay(answer)) => {
                CallEnd::without_failure_record(self.replay(&answer).await)
            }
            Some(ClaimOutcome::Refused(code)) => {
                self.record_step(format!("key refused with code {}", code.number()));
                CallEnd::without_failure_record(CallerEvent::Problem(RequestProblem::new(code)))
            }
            None => CallEnd::without_failure_record(CallerEvent::Problem(
                RequestProblem::new(ResultCode::CallerGone).with_ran(RanState::No),
            )),
        }
    }

    /// Claims the key; `None` if the caller disconnected before the claim was decided.
    async fn claim(&self, key: KeyHash) -> Option<ClaimOutcome> {
        let call = &self.call;
        let claim = ClaimRequest {
            key,
            request: call.id,
            body: ClaimKey::body_digest(&call.method, &call.path, &call.body),
            deadline: self.deadline,
        };
        tokio::select! {
            answer = self.shared.claims.claim(claim) => Some(answer),
            () = self.caller.closed() => {
                self.shared.claims.withdraw_claim(key, call.id);
                None
            }
            () = self.shared.wait_for_drain_end() => {
                self.shared.claims.withdraw_claim(key, call.id);
                Some(ClaimOutcome::Refused(ResultCode::GatewayStopping))
            }
        }
    }

    async fn run_granted(&self, key: KeyHash) -> CallEnd {
        self.record_step("key claimed");
        let (outcome, buffered) = self.drive(true).await;
        if outcome.ran == RanState::No {
            self.shared.claims.abandon_claim(key, self.call.id);
        }
        if let (ResultCode::Complete, Some(buffered)) = (outcome.code, buffered) {
            return CallEnd::without_failure_record(self.record_answer(key, buffered).await);
        }
        CallEnd {
            event: final_event(&outcome),
            failure_record: FailureRecord::new(key, &outcome),
        }
    }

    /// Records the failure of a request, after it was reported to the caller.
    ///
    /// The claim of a request that may have run stays until its deadline. Without the record, a
    /// retry with the same key would wait until then, although its result is known: the same
    /// failure.
    async fn record_failure(&self, failure: FailureRecord) {
        let answer = RecordedAnswer::failure(&failure.problem, self.call.id);
        let Ok(bytes) = answer.encode() else { return };
        let deadline = self.shared.context.clock.now() + FAILURE_RECORD_TIMEOUT;
        let claims = &self.shared.claims;
        let recorded = claims.record_answer(failure.key, self.call.id, bytes, deadline);
        self.record_step(match recorded.await {
            true => "failure recorded",
            false => "failure not recorded",
        });
    }

    /// Records the answer before the response ends cleanly.
    ///
    /// A caller that received a clean end may retry with the same key and rely on receiving the
    /// same bytes. If the answer could not be stored, the request ends with a failure that reports
    /// it.
    async fn record_answer(&self, key: KeyHash, buffered: BufferedAnswer) -> CallerEvent {
        let answer = RecordedAnswer::new(&buffered.head, buffered.body);
        let recorded = match answer.encode() {
            Ok(bytes) => {
                let claims = &self.shared.claims;
                tokio::select! {
                    recorded = claims.record_answer(
                        key, self.call.id, bytes, self.deadline,
                    ) => recorded,
                    () = self.shared.wait_for_drain_end() => false,
                }
            }
            Err(_) => false,
        };
        if recorded {
            self.record_step("answer recorded");
            if !self.call.prompt.stream {
                self.deliver(answer).await;
            }
            return CallerEvent::Complete;
        }
        self.record_step("answer not recorded");
        CallerEvent::Problem(RequestProblem::new(ResultCode::AnswerLost).with_ran(RanState::Yes))
    }

    async fn replay(&self, recorded: &Bytes) -> CallerEvent {
        self.record_step("key already used; delivering its recorded answer");
        let Ok(answer) = RecordedAnswer::decode(recorded) else {
            let problem = RequestProblem::new(ResultCode::AnswerLost);
            return CallerEvent::Problem(
                problem.with_detail("the recorded answer cannot be decoded"),
            );
        };
        self.deliver(answer).await;
        CallerEvent::Complete
    }

    async fn deliver(&self, answer: RecordedAnswer) {
        let (head, body) = answer.into_parts();
        self.caller.send(CallerEvent::Head(head)).await;
        self.caller.send(CallerEvent::Bytes(body)).await;
    }

    async fn drive(&self, buffer_answer: bool) -> (RequestOutcome, Option<BufferedAnswer>) {
        let shared = self.shared.clone();
        let driver = RequestDriver::new(
            shared,
            Arc::clone(&self.call),
            self.caller.clone(),
            self.shared.limit_to_drain(self.deadline),
        );
        let (outcome, buffered) = driver.with_answer_buffering(buffer_answer).run().await;
        info!(self.log, "request execution ended";
            "request" => format_request_id(self.call.id),
            "code" => outcome.code.number(),
            "ran" => outcome.ran.as_str(),
            "attempts" => outcome.attempts,
            "detail" => &outcome.detail);
        (outcome, buffered)
    }

    fn record_outcome(&self, code: ResultCode, started: Timestamp) {
        let now = self.shared.context.clock.now();
        if code == ResultCode::Complete {
            self.shared.record_success(&self.call.service, now);
            self.shared.suspects.record_served(now, &self.call);
        }
        count_outcome(code);
        self.record_step(format!("ended with code {}", code.number()));
        info!(self.log, "request ended";
            "request" => format_request_id(self.call.id),
            "organisation" => &*self.call.organisation,
            "service" => &*self.call.service,
            "code" => code.number(),
            "prompt_tokens" => self.call.prompt.tokens,
            "ms" => (now - started).as_millis() as u64);
    }

    /// Logs and counts a request that the end of the drain cut. If the problem has no detail, the
    /// drain is named there, since the result code may be that of an expired deadline.
    fn log_cut_by_drain(&self, problem: &mut RequestProblem, started: Timestamp) {
        if problem.detail.is_empty() {
            problem.detail = ResultCode::GatewayStopping.title().to_owned();
        }
        count_cut(CutNotice::Sent);
        let now = self.shared.context.clock.now();
        warn!(self.log, "request cut by the shutdown";
            "request" => format_request_id(self.call.id),
            "organisation" => &*self.call.organisation,
            "service" => &*self.call.service,
            "code" => problem.code.number(),
            "ran" => problem.ran.as_str(),
            "ms" => (now - started).as_millis() as u64);
    }

    fn record_step(&self, text: impl Into<String>) {
        let now = self.shared.context.clock.now();
        self.shared.trails.record_step(self.call.id, now, text);
    }
}

/// Result of a call.
struct CallEnd {
    event: CallerEvent,
    failure_record: Option<FailureRecord>,
}

impl CallEnd {
    fn without_failure_record(event: CallerEvent) -> Self {
        Self {
            event,
            failure_record: None,
        }
    }
}

/// A failure to be recorded for retries with the same key.
struct FailureRecord {
    key: KeyHash,
    problem: RequestProblem,
}

impl FailureRecord {
    /// `None` if the request did not run: a retry may then run.
    fn new(key: KeyHash, outcome: &RequestOutcome) -> Option<Self> {
        let code = match outcome.code {
            // The caller of a retry is still connected; what is missing is the answer.
            ResultCode::CallerGone | ResultCode::Complete => ResultCode::AnswerLost,
            code => code,
        };
        let problem = RequestProblem::new(code)
            .with_ran(outcome.ran)
            .with_detail(&outcome.detail);
        (outcome.ran != RanState::No).then_some(Self { key, problem })
    }
}

/// Counts the result of a request.
pub(crate) fn count_outcome(code: ResultCode) {
    metrics::counter!("lovagedock_requests_total", "code" => code.number().to_string())
        .increment(1);
}

fn final_event(outcome: &RequestOutcome) -> CallerEvent {
    if outcome.code == ResultCode::Complete {
        return CallerEvent::Complete;
    }
    let problem = RequestProblem::new(outcome.code)
        .with_ran(outcome.ran)
        .with_retry_after(outcome.retry_after)
        .with_detail(&outcome.detail);
    CallerEvent::Problem(problem)
}
