//! Executes the decisions of the span coordinator for a prompt that needs several engines.

use std::time::Duration;

use lovagedock::{
    AnswerEnd, PlacementChoice, RequestEvent, SpanAction, SpanCoordinator, SpanEvent, SpanPart,
    SpanPlan, SpanSegment, SpanTiming, prelude::*,
};
use lovagedock_wire::{SegmentRange, SegmentReply, SpanHolder};
use tokio::sync::oneshot;

use super::{RequestDriver, TaskEvent};
use crate::link::LinkCommand;

/// State of the span that serves one request.
pub(crate) struct SpanRun {
    attempt: AttemptNumber,
    coordinator: SpanCoordinator,
    /// When the coordinator's next tick is due.
    pub(crate) wake_at: Timestamp,
    members: Vec<SpanPart>,
    holders: Vec<SpanHolder>,
    decoding: bool,
}

impl SpanRun {
    /// The engines that hold parts of the prompt, in prompt order. The lead, which is the first
    /// member and decodes the answer, is not included.
    pub(crate) fn holders(&self) -> Vec<SpanHolder> {
        self.holders.clone()
    }

    fn is_lead(&self, endpoint: &EndpointId) -> bool {
        self.members
            .first()
            .is_some_and(|lead| lead.endpoint == *endpoint)
    }
}

/// Timing that makes each engine's part of a prompt a single segment.
///
/// Engines already split a prefill into chunks and interleave them with other work. Smaller
/// segments would only add one round trip per segment.
fn span_timing() -> SpanTiming {
    SpanTiming {
        segment_tokens: TokenCount::MAX,
        ..SpanTiming::default()
    }
}

impl RequestDriver {
    /// Starts to reserve memory on the engines of a span.
    pub(crate) fn start_span(
        &mut self,
        attempt: AttemptNumber,
        members: Vec<SpanPart>,
        remaining: Duration,
    ) -> Option<RequestEvent> {
        let now = self.now();
        let tokens = self.call.prompt.tokens;
        let plan =
            SpanPlan::new(self.call.id, attempt, tokens, remaining).with_timing(span_timing());
        let mut coordinator = SpanCoordinator::new(now, plan, rand::random());
        let actions = coordinator.start(now, members.clone());
        self.span = Some(SpanRun {
            attempt,
            coordinator,
            wake_at: Timestamp::MAX,
            members,
            holders: Vec::new(),
            decoding: false,
        });
        self.span_actions(actions)
    }

    /// Releases all engines of the span.
    pub(crate) fn release_span(&mut self) {
        let now = self.now();
        let Some(span) = &mut self.span else { return };
        let actions = span.coordinator.handle(now, SpanEvent::Released);
        self.span_actions(actions);
        self.span = None;
    }

    /// Passes an event to the coordinator. A tick also reports the session state of each member.
    pub(crate) fn span_event(&mut self, event: SpanEvent) -> Option<RequestEvent> {
        let now = self.now();
        let mut request_event = None;
        if event == SpanEvent::Tick {
            for event in self.member_events() {
                let span = self.span.as_mut()?;
                let actions = span.coordinator.handle(now, event);
                request_event = request_event.or(self.span_actions(actions));
            }
        }
        let span = self.span.as_mut()?;
        if event == SpanEvent::Tick {
            span.wake_at = now + MAX_TICK_INTERVAL;
        }
        let actions = span.coordinator.handle(now, event);
        request_event.or(self.span_actions(actions))
    }

    /// Records the locator of an engine that has prefilled its part.
    pub(crate) fn prefilled(
        &mut self,
        endpoint: EndpointId,
        start: TokenCount,
        tokens: TokenCount,
        reply: SegmentReply,
    ) -> Option<RequestEvent> {
        let span = self.span.as_mut()?;
        if reply.end.code == ResultCode::Complete {
            span.holders.push(SpanHolder {
                locator: reply.locator,
                tokens,
            });
        }
        self.span_event(SpanEvent::SegmentDone {
            endpoint,
            start,
            end: reply.end,
        })
    }

    fn member_events(&self) -> Vec<SpanEvent> {
        let Some(span) = &self.span else {
            return Vec::new();
        };
        let members = span.members.iter();
        members
            .map(|member| {
                let endpoint = member.endpoint.clone();
                match self.incarnation(&endpoint) {
                    Some(incarnation) => SpanEvent::MemberReconnected {
                        endpoint,
                        incarnation,
                    },
                    None => SpanEvent::MemberLost {
                        endpoint,
                        incarnation: member.incarnation,
                    },
                }
            })
            .collect()
    }

    fn span_actions(&mut self, actions: Vec<SpanAction>) -> Option<RequestEvent> {
        let mut request_event = None;
        for action in actions {
            let event = match action {
                SpanAction::ChooseEngines => self.choose_engines_again(),
                SpanAction::Reserve {
                    endpoint,
                    incarnation,
                    round,
                    tokens,
                    hold,
                } => {
                    self.reserve_memory(endpoint, incarnation, round, tokens, hold);
                    None
                }
                SpanAction::Release {
                    endpoint,
                    incarnation,
                } => {
                    self.release_memory(&endpoint, incarnation);
                    None
                }
                SpanAction::Segment(segment) => {
                    self.prefill_segment(segment);
                    None
                }
                SpanAction::Decode { .. } => self.start_decoding(),
                SpanAction::Fail(end) => self.span_failed(end),
                SpanAction::WakeAt(at) => {
                    if let Some(span) = &mut self.span {
                        span.wake_at = at;
                    }
                    None
                }
            };
            request_event = request_event.or(event);
        }
        request_event
    }

    fn choose_engines_again(&mut self) -> Option<RequestEvent> {
        let parts = match self.choose(&[]) {
            Some(PlacementChoice::Span { members, .. }) => self.span_parts(members),
            Some(PlacementChoice::One { .. } | PlacementChoice::Refuse { .. }) | None => Vec::new(),
        };
        if let Some(span) = &mut self.span {
            span.members.clone_from(&parts);
            span.holders.clear();
        }
        self.span_event(SpanEvent::EnginesChosen(parts))
    }

    fn reserve_memory(
        &self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        round: u32,
        tokens: TokenCount,
        hold: Duration,
    ) {
        let Some(span) = &self.span else { return };
        let task_events = self.task_event_sender.clone();
        // After the submit, the lead's reservation lasts until the request ends.
        if span.decoding && span.is_lead(&endpoint) {
            let granted = SpanEvent::ReserveAnswered {
                endpoint,
                round,
                granted: true,
            };
            let _infallible = task_events.send(TaskEvent::Span(granted));
            return;
        }
        let (reply, answer) = oneshot::channel();
        let command = LinkCommand::Reserve {
            key: self.attempt_key(span.attempt, incarnation),
            tokens,
            hold,
            reply,
        };
        self.send_to_link(&endpoint, command);
        tokio::spawn(async move {
            let event = match answer.await {
                Ok(Ok(reply)) => SpanEvent::ReserveAnswered {
                    endpoint,
                    round,
                    granted: reply.granted,
                },
                Ok(Err(_)) | Err(_) => SpanEvent::MemberLost {
                    endpoint,
                    incarnation,
                },
            };
            // The send fails only if the driver has finished; it then does not need the event.
            let _finished = task_events.send(TaskEvent::Span(event));
        });
    }

    fn release_memory(&self, endpoint: &EndpointId, incarnation: Incarnation) {
        let Some(span) = &self.span else { return };
        let key = self.attempt_key(span.attempt, incarnation);
        self.send_to_link(endpoint, LinkCommand::Release { key });
    }

    fn prefill_segment(&mut self, segment: SpanSegment) {
        let Some(span) = &self.span else { return };
        let SpanSegment {
            endpoint,
            incarnation,
            start,
            tokens,
        } = segment;
        let task_events = self.task_event_sender.clone();
        if span.is_lead(&endpoint) {
            // The lead prefills its own part as the first step of decoding.
            let done = SpanEvent::SegmentDone {
                endpoint,
                start,
                end: AnswerEnd::new(ResultCode::Complete),
            };
            let _infallible = task_events.send(TaskEvent::Span(done));
            return;
        }
        self.record_step(format!(
            "{tokens} tokens from offset {start} sent to {endpoint}"
        ));
        let limit = self.remaining();
        let key = self.attempt_key(span.attempt, incarnation);
        let (reply, answer) = oneshot::channel();
        let command = LinkCommand::Segment {
            work: Box::new(self.work_message(key, limit, Vec::new())),
            range: SegmentRange { start, tokens },
            limit,
            reply,
        };
        self.send_to_link(&endpoint, command);
        tokio::spawn(async move {
            let event = match answer.await {
                Ok(Ok(reply)) => TaskEvent::Prefilled {
                    endpoint,
                    start,
                    reply,
                    tokens,
                },
                Ok(Err(_)) | Err(_) => TaskEvent::Span(SpanEvent::MemberLost {
                    endpoint,
                    incarnation,
                }),
            };
            let _finished = task_events.send(event);
        });
    }

    fn start_decoding(&mut self) -> Option<RequestEvent> {
        let span = self.span.as_mut()?;
        span.decoding = true;
        Some(RequestEvent::SpanReady {
            attempt: span.attempt,
        })
    }

    fn span_failed(&mut self, end: AnswerEnd) -> Option<RequestEvent> {
        let span = self.span.take()?;
        self.record_step(format!("span ended with code {}", end.code.number()));
        Some(RequestEvent::SpanFailed {
            attempt: span.attempt,
            end,
        })
    }
}

/// Maximum time between checks of the members' sessions.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
