//! Carries out what the request machine decides about one caller's request.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{
    AttemptKey, CostParameters, Outcome, OutlierEvent, PlacedOn, PlacementChoice, PlacementRequest,
    RequestAction, RequestEvent, RequestMachine, RequestSpec, SentWork, SpanEvent, SpanMember,
    SpanPart, prelude::*,
};
use lovagedock_wire::{AnswerHead, SegmentReply, SpanHolder, WorkMessage};
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};

use crate::{
    call::CallerCall,
    front::{CallerEvent, CallerSink},
    link::{AttemptEvent, AttemptSender, LinkCommand},
    shared::GatewayShared,
    span_run::SpanRun,
};

/// Events of attempts that may wait for the driver.
const EVENT_QUEUE: usize = 64;

/// The answer of a keyed request, to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswer {
    /// Status and headers.
    pub(crate) head: AnswerHead,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

/// What a task that the driver started tells it.
pub(crate) enum DriverNote {
    /// Something for the request machine.
    Request(RequestEvent),
    /// Something for the span coordinator.
    Span(SpanEvent),
    /// An engine has prefilled its part of the span.
    Prefilled {
        /// The engine's endpoint.
        endpoint: EndpointId,
        /// First token of the part.
        start: TokenCount,
        /// How it ended, and what the engine calls itself.
        reply: SegmentReply,
        /// Tokens of the part.
        tokens: TokenCount,
    },
}

/// One request on its way.
pub(crate) struct RequestDriver {
    pub(crate) shared: GatewayShared,
    pub(crate) call: Arc<CallerCall>,
    machine: RequestMachine,
    caller: CallerSink,
    sender: mpsc::Sender<(AttemptNumber, AttemptEvent)>,
    events: mpsc::Receiver<(AttemptNumber, AttemptEvent)>,
    notes: mpsc::UnboundedReceiver<DriverNote>,
    pub(crate) note_sender: mpsc::UnboundedSender<DriverNote>,
    pub(crate) span: Option<SpanRun>,
    deadline: Timestamp,
    wake_at: Timestamp,
    head: Option<AnswerHead>,
    chunk: Bytes,
    hasher: blake3::Hasher,
    sent_to: Vec<EndpointId>,
    keep: bool,
    kept: Option<KeptAnswer>,
}

impl RequestDriver {
    /// A driver for a request that passed all checks.
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
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let (note_sender, notes) = mpsc::unbounded_channel();
        Self {
            machine: RequestMachine::new(now, spec),
            deadline,
            wake_at: deadline,
            shared,
            call,
            caller,
            sender,
            events,
            notes,
            note_sender,
            span: None,
            head: None,
            chunk: Bytes::new(),
            hasher: blake3::Hasher::new(),
            sent_to: Vec::new(),
            keep: false,
            kept: None,
        }
    }

    /// Sets whether the whole answer is returned at the end.
    pub(crate) fn with_kept_answer(mut self, keep: bool) -> Self {
        self.keep = keep;
        self
    }

    /// Runs the request to its final answer.
    pub(crate) async fn run(mut self) -> (Outcome, Option<KeptAnswer>) {
        let actions = self.machine.start();
        let mut finished = self.carry_out(actions).await;
        let mut caller_gone = false;
        let outcome = loop {
            if let Some(outcome) = finished {
                break outcome;
            }
            let event = self.next_event(&mut caller_gone).await;
            let Some(event) = event else { continue };
            let actions = self.machine.handle(self.now(), event);
            finished = self.carry_out(actions).await;
        };
        for endpoint in &self.sent_to {
            self.shared.context.fleet.work_ended(endpoint);
        }
        (outcome, self.kept)
    }

    async fn next_event(&mut self, caller_gone: &mut bool) -> Option<RequestEvent> {
        let wake = self.shared.context.clock.instant_at(self.wake_at);
        let span_wake = self.span.as_ref().map_or(self.wake_at, |span| span.wake_at);
        let span_wake = self.shared.context.clock.instant_at(span_wake);
        tokio::select! {
            biased;
            () = sleep_until(wake.into()) => Some(RequestEvent::Tick),
            () = self.caller.closed(), if !*caller_gone => {
                *caller_gone = true;
                Some(RequestEvent::CallerGone)
            }
            () = sleep_until(span_wake.into()), if self.span.is_some() => {
                self.span_event(SpanEvent::Tick)
            }
            Some(note) = self.notes.recv() => self.note(note),
            Some((attempt, event)) = self.events.recv() => self.attempt_event(attempt, event),
        }
    }

    fn note(&mut self, note: DriverNote) -> Option<RequestEvent> {
        match note {
            DriverNote::Request(event) => Some(event),
            DriverNote::Span(event) => self.span_event(event),
            DriverNote::Prefilled {
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
        self.watch_outlier(&event);
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

    /// Tells the outlier detector what the endpoint of the current attempt did.
    fn watch_outlier(&self, event: &AttemptEvent) {
        let Some(endpoint) = self.machine.endpoint() else {
            return;
        };
        let Some(event) = outlier_event(endpoint, event) else {
            return;
        };
        let now = self.now();
        for action in self.shared.context.fleet.watch(now, endpoint, event) {
            self.step(format!("{}: {:?}", action.endpoint, action.cause));
        }
    }

    async fn carry_out(&mut self, actions: Vec<RequestAction>) -> Option<Outcome> {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                RequestAction::Place { excluded } => {
                    let placed = self.place(&excluded);
                    queue.extend(self.feed(RequestEvent::Placed(placed)));
                }
                RequestAction::AskRetry => {
                    let answer = self.ask_retry();
                    queue.extend(self.feed(answer));
                }
                RequestAction::CheckDigest { expected } => {
                    let matches = *self.hasher.finalize().as_bytes() == expected;
                    queue.extend(self.feed(RequestEvent::DigestChecked { matches }));
                }
                RequestAction::StartSpan {
                    attempt,
                    members,
                    remaining,
                } => {
                    let event = self.start_span(attempt, members, remaining);
                    queue.extend(event.map_or_else(Vec::new, |event| self.feed(event)));
                }
                RequestAction::ReleaseSpan { .. } => self.release_span(),
                RequestAction::Deliver { skip, .. } => self.deliver(skip).await,
                RequestAction::DeliverHead { .. } => self.deliver_head().await,
                RequestAction::WakeAt(wake_at) => self.wake_at = wake_at,
                RequestAction::Finish(outcome) => return Some(outcome),
                other => self.command(other),
            }
        }
        None
    }

    fn feed(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        self.machine.handle(self.now(), event)
    }

    fn place(&mut self, excluded: &[EndpointId]) -> PlacedOn {
        let choice = self.choose(excluded);
        self.placed(choice)
    }

    pub(crate) fn choose(&self, excluded: &[EndpointId]) -> Option<PlacementChoice> {
        let now = self.now();
        let request = PlacementRequest {
            id: self.call.id,
            organisation: self.call.organisation.clone(),
            tier: self.call.tier,
            prompt_tokens: self.call.prompt.tokens,
            answer_tokens: self.call.prompt.answer_tokens,
            remaining: self.deadline.saturating_sub(now),
            prefix_hashes: &self.call.prompt.prefix_hashes,
            own_domain: self.shared.context.domain.clone(),
            excluded,
        };
        let fleet = &self.shared.context.fleet;
        fleet.place(now, &self.call.pool, &request, &mut rand::rng())
    }

    fn placed(&mut self, choice: Option<PlacementChoice>) -> PlacedOn {
        match choice {
            None => refused(ResultCode::NotConfigured, Duration::ZERO),
            Some(PlacementChoice::Refuse {
                code,
                retry_after,
                reason,
            }) => {
                self.step(format!("refused with code {}: {reason}", code.number()));
                refused(code, retry_after)
            }
            Some(PlacementChoice::One {
                endpoint,
                predicted_first_token,
                predicted_prefill,
                reason,
            }) => {
                self.step(format!(
                    "placed on {endpoint}: {reason}, first token predicted in {predicted_first_token:?}"
                ));
                let tokens = self.call.prompt.tokens;
                self.count_sent(&endpoint, tokens, predicted_prefill);
                match self.incarnation(&endpoint) {
                    Some(incarnation) => PlacedOn::One {
                        endpoint,
                        incarnation,
                    },
                    None => refused(ResultCode::EndpointUnreachable, Duration::ZERO),
                }
            }
            Some(PlacementChoice::Span {
                members, reason, ..
            }) => {
                let parts = self.span_parts(members);
                if parts.is_empty() {
                    return refused(ResultCode::EndpointUnreachable, Duration::ZERO);
                }
                self.step(format!("placed on {} engines: {reason}", parts.len()));
                PlacedOn::Span(parts)
            }
        }
    }

    /// Engines of a span with the lives of their sidecars; empty if one is out of reach.
    pub(crate) fn span_parts(&mut self, members: Vec<SpanMember>) -> Vec<SpanPart> {
        let mut parts = Vec::with_capacity(members.len());
        for member in members {
            let Some(incarnation) = self.incarnation(&member.endpoint) else {
                return Vec::new();
            };
            parts.push(SpanPart {
                endpoint: member.endpoint,
                incarnation,
                tokens: member.tokens,
            });
        }
        for part in &parts {
            let prefill = CostParameters::ASSUMED.prefill(part.tokens, 0);
            self.count_sent(&part.endpoint, part.tokens, prefill);
        }
        parts
    }

    pub(crate) fn count_sent(
        &mut self,
        endpoint: &EndpointId,
        tokens: TokenCount,
        prefill: Duration,
    ) {
        let long_tokens = self
            .shared
            .context
            .config
            .load()
            .fleet
            .placement
            .long_tokens;
        let long = self.call.prompt.tokens >= long_tokens;
        let work = SentWork {
            requests: 1,
            long_requests: u32::from(long),
            tokens: tokens + self.call.prompt.answer_tokens,
            prefill,
            long_prefill: if long { prefill } else { Duration::ZERO },
        };
        self.shared
            .context
            .fleet
            .work_sent(self.now(), endpoint, work);
        self.sent_to.push(endpoint.clone());
    }

    pub(crate) fn incarnation(&self, endpoint: &EndpointId) -> Option<Incarnation> {
        self.shared.context.fleet.get(endpoint)?.incarnation
    }

    fn ask_retry(&self) -> RequestEvent {
        let granted = self.shared.take_retry(&self.call.service, self.now());
        self.step(match granted {
            true => "retry granted",
            false => "retry budget is spent",
        });
        RequestEvent::RetryAnswered {
            granted,
            jitter_permille: rand::rng().next_u32() as u16 % 1_000,
        }
    }

    fn command(&mut self, action: RequestAction) {
        match action {
            RequestAction::Submit {
                endpoint,
                incarnation,
                attempt,
                remaining,
                ..
            } => {
                self.step(format!("attempt {attempt} submitted to {endpoint}"));
                let key = self.key(attempt, incarnation);
                let holders = self.span.as_ref().map_or_else(Vec::new, SpanRun::holders);
                let work = Box::new(self.work(key, remaining, holders));
                let events = self.attempt_sender(attempt);
                self.send(&endpoint, LinkCommand::Submit { work, events });
            }
            RequestAction::Resume {
                endpoint,
                attempt,
                incarnation,
                offset,
            } => {
                self.step(format!(
                    "attempt {attempt} resumed on {endpoint} at byte {offset}"
                ));
                let command = LinkCommand::Resume {
                    key: self.key(attempt, incarnation),
                    offset,
                    events: self.attempt_sender(attempt),
                };
                self.send(&endpoint, command);
            }
            RequestAction::Revoke {
                endpoint,
                attempt,
                incarnation,
            } => self.revoke(&endpoint, attempt, incarnation),
            RequestAction::Cancel {
                endpoint,
                attempt,
                incarnation,
            } => {
                let key = self.key(attempt, incarnation);
                self.send(&endpoint, LinkCommand::Cancel { key });
            }
            RequestAction::Place { .. }
            | RequestAction::AskRetry
            | RequestAction::StartSpan { .. }
            | RequestAction::ReleaseSpan { .. }
            | RequestAction::CheckDigest { .. }
            | RequestAction::Deliver { .. }
            | RequestAction::DeliverHead { .. }
            | RequestAction::WakeAt(_)
            | RequestAction::Finish(_) => unreachable!("carry_out handles these"),
        }
    }

    fn revoke(&self, endpoint: &EndpointId, attempt: AttemptNumber, incarnation: Incarnation) {
        self.step(format!("attempt {attempt} on {endpoint} revoked"));
        let (reply, verdict) = oneshot::channel();
        let key = self.key(attempt, incarnation);
        self.send(endpoint, LinkCommand::Revoke { key, reply });
        let notes = self.note_sender.clone();
        tokio::spawn(async move {
            let event = match verdict.await {
                Ok(Ok(verdict)) => RequestEvent::RevokeAnswered {
                    attempt,
                    incarnation,
                    verdict,
                },
                Ok(Err(_)) | Err(_) => RequestEvent::RevokeFailed { attempt },
            };
            // A driver that has finished does not need the verdict.
            let _finished = notes.send(DriverNote::Request(event));
        });
    }

    pub(crate) fn key(&self, attempt: AttemptNumber, incarnation: Incarnation) -> AttemptKey {
        AttemptKey {
            request: self.call.id,
            attempt,
            incarnation,
        }
    }

    pub(crate) fn work(
        &self,
        key: AttemptKey,
        remaining: Duration,
        span: Vec<SpanHolder>,
    ) -> WorkMessage {
        let call = &self.call;
        WorkMessage {
            key,
            service: call.service.clone(),
            organisation: call.organisation.clone(),
            tier: call.tier,
            weight: call.weight,
            remaining,
            prompt_tokens: call.prompt.tokens,
            answer_tokens: call.prompt.answer_tokens,
            non_idempotent: call.non_idempotent,
            predicted: Duration::ZERO,
            span,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        }
    }

    fn attempt_sender(&self, attempt: AttemptNumber) -> AttemptSender {
        AttemptSender {
            attempt,
            sender: self.sender.clone(),
        }
    }

    /// Gives a command to the endpoint's link; an endpoint that has left the configuration has
    /// none, and the machine's own times end the wait.
    pub(crate) fn send(&self, endpoint: &EndpointId, command: LinkCommand) {
        if let Some(entry) = self.shared.context.fleet.get(endpoint) {
            let _link_ended = entry.commands.send(command);
        }
    }

    async fn deliver_head(&mut self) {
        if let Some(head) = self.head.take() {
            if self.keep {
                self.kept = Some(KeptAnswer {
                    head: head.clone(),
                    body: Vec::new(),
                });
            }
            self.send_to_caller(CallerEvent::Head(head)).await;
        }
    }

    async fn deliver(&mut self, skip: u64) {
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let bytes = self.chunk.slice(skip.min(self.chunk.len())..);
        self.hasher.update(&bytes);
        if let Some(kept) = &mut self.kept {
            kept.body.extend_from_slice(&bytes);
        }
        self.send_to_caller(CallerEvent::Bytes(bytes)).await;
    }

    /// Waits for a slow caller, but not past the deadline: the next tick then ends the request.
    async fn send_to_caller(&self, event: CallerEvent) {
        let deadline = self.shared.context.clock.instant_at(self.deadline);
        tokio::select! {
            _sent = self.caller.send(event) => {}
            () = sleep_until(deadline.into()) => {}
        }
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.now())
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.shared.context.clock.now()
    }

    pub(crate) fn step(&self, step: impl Into<String>) {
        self.shared.trails.step(self.call.id, self.now(), step);
    }
}

/// What an event of an attempt says about the endpoint, if anything.
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

fn refused(code: ResultCode, retry_after: Duration) -> PlacedOn {
    PlacedOn::Refused { code, retry_after }
}
