//! Executes the decisions of the request machine for one caller's request.

mod command;
mod deliver;
mod place;
mod span;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{
    OutlierEvent, RequestAction, RequestEvent, RequestMachine, RequestOutcome, RequestSpec,
    SpanEvent, prelude::*,
};
use lovagedock_wire::{AnswerHead, SegmentReply};
use tokio::{sync::mpsc, time::sleep_until};

use self::span::SpanRun;
use crate::{call::CallerCall, front::CallerSink, link::AttemptEvent, shared::GatewayShared};

/// Capacity of the queue of attempt events.
const EVENT_QUEUE: usize = 64;

/// The complete answer of a request with an idempotency key, buffered until it is recorded.
#[derive(Clone, Debug)]
pub(crate) struct BufferedAnswer {
    /// Status and headers.
    pub(crate) head: AnswerHead,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

/// An event from a task that the driver started.
pub(crate) enum TaskEvent {
    /// An event for the request machine.
    Request(RequestEvent),
    /// An event for the span coordinator.
    Span(SpanEvent),
    /// An engine has prefilled its part of the span.
    Prefilled {
        /// The engine's endpoint.
        endpoint: EndpointId,
        /// Offset of the part's first token in the prompt.
        start: TokenCount,
        /// Result, and the locator of the engine.
        reply: SegmentReply,
        /// Number of tokens in the part.
        tokens: TokenCount,
    },
}

/// Drives one request from placement to its final result.
pub(crate) struct RequestDriver {
    pub(crate) shared: GatewayShared,
    pub(crate) call: Arc<CallerCall>,
    machine: RequestMachine,
    caller: CallerSink,
    attempt_event_sender: mpsc::Sender<(AttemptNumber, AttemptEvent)>,
    attempt_events: mpsc::Receiver<(AttemptNumber, AttemptEvent)>,
    task_events: mpsc::UnboundedReceiver<TaskEvent>,
    pub(crate) task_event_sender: mpsc::UnboundedSender<TaskEvent>,
    pub(crate) span: Option<SpanRun>,
    deadline: Timestamp,
    wake_at: Timestamp,
    head: Option<AnswerHead>,
    chunk: Bytes,
    hasher: blake3::Hasher,
    sent_to: Vec<EndpointId>,
    buffer_answer: bool,
    buffered_answer: Option<BufferedAnswer>,
    /// When the first bytes of the current attempt arrived.
    first_bytes_at: Option<Timestamp>,
    /// When the sidecar accepted the latest attempt.
    accepted_at: Timestamp,
}

/// Permanent conditions that were already reported to the request machine.
#[derive(Default)]
struct ReportedConditions {
    caller_gone: bool,
    stopping: bool,
}

impl RequestDriver {
    /// Creates a driver for a request that passed all checks.
    pub(crate) fn new(
        shared: GatewayShared,
        call: Arc<CallerCall>,
        caller: CallerSink,
        deadline: Timestamp,
    ) -> Self {
        let now = shared.context.clock.now();
        let remaining = deadline.saturating_sub(now);
        let spec = RequestSpec::new(call.id, call.service.clone(), remaining)
            .with_organisation(call.organisation.clone())
            .with_tier(call.tier)
            .with_non_idempotent(call.non_idempotent);
        let (attempt_event_sender, attempt_events) = mpsc::channel(EVENT_QUEUE);
        let (task_event_sender, task_events) = mpsc::unbounded_channel();
        Self {
            machine: RequestMachine::new(now, spec),
            deadline,
            wake_at: deadline,
            shared,
            call,
            caller,
            attempt_event_sender,
            attempt_events,
            task_events,
            task_event_sender,
            span: None,
            head: None,
            chunk: Bytes::new(),
            hasher: blake3::Hasher::new(),
            sent_to: Vec::new(),
            buffer_answer: false,
            buffered_answer: None,
            first_bytes_at: None,
            accepted_at: Timestamp::ZERO,
        }
    }

    /// Sets whether [`RequestDriver::run`] returns the complete answer.
    pub(crate) fn with_answer_buffering(mut self, buffer_answer: bool) -> Self {
        self.buffer_answer = buffer_answer;
        self
    }

    /// Runs the request to its end and returns the outcome.
    pub(crate) async fn run(mut self) -> (RequestOutcome, Option<BufferedAnswer>) {
        let actions = self.machine.start();
        let mut finished = self.execute(actions).await;
        let mut reported = ReportedConditions::default();
        let outcome = loop {
            if let Some(outcome) = finished {
                break outcome;
            }
            let event = self.next_event(&mut reported).await;
            let Some(event) = event else { continue };
            let actions = self.machine.handle(self.now(), event);
            finished = self.execute(actions).await;
        };
        for endpoint in &self.sent_to {
            self.shared.context.fleet.record_work_ended(endpoint);
        }
        (outcome, self.buffered_answer)
    }

    async fn next_event(&mut self, reported: &mut ReportedConditions) -> Option<RequestEvent> {
        let wake = self.shared.context.clock.instant_at(self.wake_at);
        let span_wake = self.span.as_ref().map_or(self.wake_at, |span| span.wake_at);
        let span_wake = self.shared.context.clock.instant_at(span_wake);
        tokio::select! {
            biased;
            () = sleep_until(wake.into()) => Some(RequestEvent::Tick),
            () = self.caller.closed(), if !reported.caller_gone => {
                reported.caller_gone = true;
                Some(RequestEvent::CallerGone)
            }
            () = self.shared.shutdown.wait(), if !reported.stopping => {
                reported.stopping = true;
                let grace = self.shared.remaining_drain_time();
                Some(RequestEvent::Stopping { grace })
            }
            () = sleep_until(span_wake.into()), if self.span.is_some() => {
                self.span_event(SpanEvent::Tick)
            }
            Some(event) = self.task_events.recv() => self.handle_task_event(event),
            Some((attempt, event)) = self.attempt_events.recv() => self.attempt_event(attempt, event),
        }
    }

    fn handle_task_event(&mut self, event: TaskEvent) -> Option<RequestEvent> {
        match event {
            TaskEvent::Request(event) => Some(event),
            TaskEvent::Span(event) => self.span_event(event),
            TaskEvent::Prefilled {
                endpoint,
                start,
                reply,
                tokens,
            } => self.prefilled(endpoint, start, tokens, reply),
        }
    }

    fn attempt_event(
        &mut self,
        attempt: AttemptNumber,
        event: AttemptEvent,
    ) -> Option<RequestEvent> {
        self.report_outlier_event(&event);
        self.record_engine_end(attempt, &event);
        Some(match event {
            AttemptEvent::Accepted { incarnation } => RequestEvent::SubmitAccepted {
                attempt,
                incarnation,
            },
            AttemptEvent::Refused(end) => RequestEvent::SubmitRefused { attempt, end },
            AttemptEvent::Lost { incarnation } => RequestEvent::SessionLost {
                endpoint: self.machine.endpoint()?.clone(),
                incarnation,
            },
            AttemptEvent::Resumed { found } => RequestEvent::ResumeAnswered { attempt, found },
            AttemptEvent::ResumeFailed => RequestEvent::ResumeFailed { attempt },
            AttemptEvent::Head(head) => {
                self.head = Some(head);
                RequestEvent::Head { attempt }
            }
            AttemptEvent::Chunk { offset, bytes } => {
                let length = bytes.len() as u64;
                self.chunk = bytes;
                RequestEvent::Chunk {
                    attempt,
                    offset,
                    length,
                }
            }
            AttemptEvent::Done(end) => RequestEvent::End { attempt, end },
        })
    }

    /// Records with the suspect tracker that an engine process ended while it executed the request.
    fn record_engine_end(&mut self, attempt: AttemptNumber, event: &AttemptEvent) {
        let now = self.now();
        match event {
            AttemptEvent::Accepted { .. } => {
                self.first_bytes_at = None;
                self.accepted_at = now;
            }
            AttemptEvent::Chunk { .. } if self.first_bytes_at.is_none() => {
                self.first_bytes_at = Some(now);
                self.shared.suspects.record_answered(now, &self.call);
            }
            AttemptEvent::Done(end) if end.engine_ended => {
                let Some(endpoint) = self.machine.endpoint() else {
                    return;
                };
                let first_bytes_at = self.first_bytes_at.unwrap_or(now);
                let streamed = now.saturating_sub(first_bytes_at);
                let suspects = &self.shared.suspects;
                let ran_for = now.saturating_sub(self.accepted_at);
                suspects.record_end(now, &self.call, attempt, endpoint, streamed, ran_for);
            }
            _ => {}
        }
    }

    /// Reports an event of the current attempt's endpoint to the outlier detector.
    fn report_outlier_event(&self, event: &AttemptEvent) {
        let Some(endpoint) = self.machine.endpoint() else {
            return;
        };
        let Some(event) = outlier_event(endpoint, event) else {
            return;
        };
        let now = self.now();
        for action in self
            .shared
            .context
            .fleet
            .record_outlier_event(now, endpoint, event)
        {
            self.record_step(format!("{}: {:?}", action.endpoint, action.cause));
        }
    }

    async fn execute(&mut self, actions: Vec<RequestAction>) -> Option<RequestOutcome> {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                RequestAction::Place { excluded } => {
                    let outcome = self.place(&excluded);
                    queue.extend(self.handle_event(RequestEvent::Placed(outcome)));
                }
                RequestAction::AskRetry => {
                    let answer = self.ask_retry();
                    queue.extend(self.handle_event(answer));
                }
                RequestAction::CheckDigest { expected } => {
                    let matches = *self.hasher.finalize().as_bytes() == expected;
                    queue.extend(self.handle_event(RequestEvent::DigestChecked { matches }));
                }
                RequestAction::StartSpan {
                    attempt,
                    members,
                    remaining,
                } => {
                    let event = self.start_span(attempt, members, remaining);
                    queue.extend(event.map_or_else(Vec::new, |event| self.handle_event(event)));
                }
                RequestAction::ReleaseSpan { .. } => self.release_span(),
                RequestAction::Deliver { skip, .. } => self.deliver_chunk(skip).await,
                RequestAction::DeliverHead { .. } => self.deliver_head().await,
                RequestAction::WakeAt(wake_at) => self.wake_at = wake_at,
                RequestAction::Finish(outcome) => return Some(outcome),
                other => self.send_command(other),
            }
        }
        None
    }

    fn handle_event(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        self.machine.handle(self.now(), event)
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.now())
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.shared.context.clock.now()
    }

    pub(crate) fn record_step(&self, text: impl Into<String>) {
        self.shared
            .trails
            .record_step(self.call.id, self.now(), text);
    }
}

/// The outlier event that an attempt's event implies for its endpoint, if any.
fn outlier_event(endpoint: &EndpointId, event: &AttemptEvent) -> Option<OutlierEvent> {
    let endpoint = endpoint.clone();
    match event {
        AttemptEvent::Lost { .. } => Some(OutlierEvent::WentSilent(endpoint)),
        AttemptEvent::Done(end) | AttemptEvent::Refused(end) => match end.code {
            ResultCode::Complete => Some(OutlierEvent::Succeeded(endpoint)),
            ResultCode::EngineFailed
            | ResultCode::EngineRefused
            | ResultCode::EndpointLost
            | ResultCode::AnswerDamaged => Some(OutlierEvent::Failed(endpoint)),
            _ => None,
        },
        AttemptEvent::Accepted { .. }
        | AttemptEvent::Resumed { .. }
        | AttemptEvent::ResumeFailed
        | AttemptEvent::Head(_)
        | AttemptEvent::Chunk { .. } => None,
    }
}
