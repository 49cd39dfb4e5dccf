//! Sidecars that use the real state machine in place of the model, with the same links and faults.

use std::time::Duration;

use lovagedock::{
    EndpointAction, EndpointCore, EndpointEvent, EndpointLimits, RequestEvent, WorkOrder,
    prelude::*,
};

use super::{
    sidecar::{Work, WorkState},
    simulation::{Message, RequestSimulation, Step},
    work::chunk,
};

const REQUEST: RequestId = 1;

pub(super) fn new_core(incarnation: Incarnation) -> EndpointCore {
    EndpointCore::new(incarnation, EndpointLimits::default())
}

impl RequestSimulation {
    pub(super) fn receive_core(&mut self, link: usize, message: Message) {
        let endpoint = self.links[link].endpoint;
        let (attempt, event) = match message {
            Message::Submit(attempt, incarnation) => {
                let order = self.order(key(attempt, incarnation));
                (attempt, EndpointEvent::Submit(order))
            }
            Message::Revoke(attempt, incarnation) => {
                (attempt, EndpointEvent::Revoke(key(attempt, incarnation)))
            }
            Message::Cancel(attempt, incarnation) => {
                (attempt, EndpointEvent::Cancel(key(attempt, incarnation)))
            }
            Message::Resume(attempt, incarnation, offset) => {
                let key = key(attempt, incarnation);
                (attempt, EndpointEvent::Resume { key, offset })
            }
        };
        let expects_answer = matches!(
            event,
            EndpointEvent::Submit(_) | EndpointEvent::Resume { .. }
        );
        if expects_answer {
            let work = self.sidecars[endpoint].work.entry(attempt).or_insert(Work {
                state: WorkState::Queued,
                link,
                produced: 0,
            });
            work.link = link;
        }
        self.send_to_core(endpoint, link, event);
    }

    fn order(&self, key: AttemptKey) -> WorkOrder {
        WorkOrder {
            key,
            service: "registry".into(),
            organisation: "cooperative".into(),
            tier: PriorityTier::Standard,
            weight: 1,
            remaining: Duration::from_millis(self.deadline_ms.saturating_sub(self.now + 50)),
            prompt_tokens: 1_000,
            answer_tokens: 100,
            non_idempotent: self.non_idempotent,
            predicted: Duration::ZERO,
            span: Vec::new(),
        }
    }

    /// Passes an event to the sidecar and carries out its actions. Replies go to `link`.
    pub(super) fn send_to_core(&mut self, endpoint: usize, link: usize, event: EndpointEvent) {
        let now = Duration::from_millis(self.now);
        let Some(core) = self.sidecars[endpoint].core.as_mut() else {
            return;
        };
        for action in core.handle(now, event) {
            self.apply_core_action(endpoint, link, action);
        }
    }

    fn apply_core_action(&mut self, endpoint: usize, origin: usize, action: EndpointAction) {
        let sidecar_incarnation = self.sidecars[endpoint].incarnation;
        match action {
            EndpointAction::Accept(key) => {
                let (attempt, incarnation) = (key.attempt, key.incarnation);
                self.reply(
                    origin,
                    RequestEvent::SubmitAccepted {
                        attempt,
                        incarnation,
                    },
                );
            }
            EndpointAction::Refuse { key, end } => {
                self.reply(
                    origin,
                    RequestEvent::SubmitRefused {
                        attempt: key.attempt,
                        end,
                    },
                );
            }
            EndpointAction::Start(key) => {
                let delay = 2 * self.delay();
                self.after(
                    delay,
                    Step::Begin(endpoint, sidecar_incarnation, key.attempt),
                );
            }
            EndpointAction::CancelOnEngine(_) => {
                let works = self.sidecars[endpoint].work.values_mut();
                for work in works.filter(|work| work.state != WorkState::Ended) {
                    work.state = WorkState::Failed;
                }
            }
            EndpointAction::Deliver {
                key,
                offset,
                length,
            } => {
                let link = self.sink(endpoint, key.attempt);
                self.send_frame(chunk(link, key.attempt, offset, offset + length));
            }
            EndpointAction::EndAnswer { key, end } => {
                let link = self.sink(endpoint, key.attempt);
                let attempt = key.attempt;
                self.after(
                    1,
                    Step::ToGateway(link, RequestEvent::End { attempt, end }, vec![]),
                );
            }
            EndpointAction::Verdict { key, verdict } => {
                let attempt = key.attempt;
                let event = RequestEvent::RevokeAnswered {
                    attempt,
                    incarnation: sidecar_incarnation,
                    verdict,
                };
                self.reply(origin, event);
            }
            EndpointAction::ResumeFrom { key, offset, end } => {
                self.resume_core(endpoint, origin, key.attempt, offset, end);
            }
            EndpointAction::NotFound(key) => {
                let attempt = key.attempt;
                self.reply(
                    origin,
                    RequestEvent::ResumeAnswered {
                        attempt,
                        found: false,
                    },
                );
            }
            EndpointAction::WakeAt(at) => {
                let at = at.as_micros().div_ceil(1000) as u64;
                self.after(
                    at.saturating_sub(self.now),
                    Step::Wake(endpoint, sidecar_incarnation),
                );
            }
            EndpointAction::ForgetAnswer(_)
            | EndpointAction::GrantReservation { .. }
            | EndpointAction::RefuseReservation { .. }
            | EndpointAction::Drained => {}
        }
    }

    fn resume_core(
        &mut self,
        endpoint: usize,
        link: usize,
        attempt: AttemptNumber,
        offset: u64,
        end: Option<AnswerEnd>,
    ) {
        let found = RequestEvent::ResumeAnswered {
            attempt,
            found: true,
        };
        self.after(1, Step::ToGateway(link, found, vec![]));
        let work = self.sidecars[endpoint].work.get(&attempt).cloned();
        let Some(work) = work.filter(|work| work.state != WorkState::Queued) else {
            return;
        };
        if offset == 0 {
            self.after(
                2,
                Step::ToGateway(link, RequestEvent::Head { attempt }, vec![]),
            );
        }
        if work.produced > offset {
            self.after(3, chunk(link, attempt, offset, work.produced));
        }
        if let Some(end) = end {
            self.after(
                4,
                Step::ToGateway(link, RequestEvent::End { attempt, end }, vec![]),
            );
        }
    }

    /// Reports the loss of a session to the sidecar.
    pub(super) fn lose_sinks(&mut self, endpoint: usize, link: usize) {
        let incarnation = self.sidecars[endpoint].incarnation;
        let works = self.sidecars[endpoint].work.iter();
        let lost = works.filter(|(_, work)| work.link == link);
        let lost: Vec<AttemptNumber> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in lost {
            self.send_to_core(
                endpoint,
                link,
                EndpointEvent::SinkLost(key(attempt, incarnation)),
            );
        }
    }

    fn sink(&self, endpoint: usize, attempt: AttemptNumber) -> usize {
        self.sidecars[endpoint]
            .work
            .get(&attempt)
            .map_or(0, |work| work.link)
    }

    fn reply(&mut self, link: usize, event: RequestEvent) {
        self.send(link, Step::ToGateway(link, event, Vec::new()));
    }
}

pub(super) fn key(attempt: AttemptNumber, incarnation: Incarnation) -> AttemptKey {
    AttemptKey {
        request: REQUEST,
        attempt,
        incarnation,
    }
}
