//! Carries out the actions of the request machine over the modelled links.

use std::time::Duration;

use lovagedock::{PlacementOutcome, RequestAction, RequestEvent, prelude::*};

use super::{
    ENDPOINTS,
    simulation::{Message, RequestSimulation, Step, index, name},
};

const CONNECT_TIMEOUT_MS: u64 = 60;

impl RequestSimulation {
    pub(super) fn carry_out(&mut self, actions: Vec<RequestAction>) {
        for action in actions {
            self.act(action);
        }
    }

    pub(super) fn act(&mut self, action: RequestAction) {
        match action {
            RequestAction::Place { excluded } => {
                let placed = self.place(&excluded);
                self.after(1, Step::Event(RequestEvent::Placed(placed)));
            }
            RequestAction::AskRetry => {
                let event = RequestEvent::RetryAnswered {
                    granted: true,
                    jitter_permille: 500,
                };
                self.after(1, Step::Event(event));
            }
            RequestAction::Submit {
                endpoint,
                incarnation,
                attempt,
                ..
            } => match self.sessions[index(&endpoint)] {
                Some(link) => {
                    let message = Message::Submit(attempt, incarnation);
                    self.send(link, Step::ToSidecar(link, message));
                }
                None => {
                    let end = AnswerEnd::new(ResultCode::EndpointUnreachable);
                    self.after(1, Step::Event(RequestEvent::SubmitRefused { attempt, end }));
                }
            },
            RequestAction::Revoke {
                endpoint,
                attempt,
                incarnation,
            } => self.send_on_new_connection(
                &endpoint,
                Message::Revoke(attempt, incarnation),
                Some(RequestEvent::RevokeFailed { attempt }),
            ),
            RequestAction::Resume {
                endpoint,
                attempt,
                incarnation,
                offset,
            } => self.send_on_new_connection(
                &endpoint,
                Message::Resume(attempt, incarnation, offset),
                Some(RequestEvent::ResumeFailed { attempt }),
            ),
            RequestAction::Cancel {
                endpoint,
                attempt,
                incarnation,
            } => {
                self.send_on_new_connection(&endpoint, Message::Cancel(attempt, incarnation), None);
            }
            RequestAction::Deliver { skip, .. } => self.read.extend(&self.frame[skip as usize..]),
            RequestAction::CheckDigest { expected } => {
                let matches = *blake3::hash(&self.read).as_bytes() == expected;
                self.after(0, Step::Event(RequestEvent::DigestChecked { matches }));
            }
            RequestAction::Finish(outcome) => self.finishes.push((self.now, outcome)),
            RequestAction::WakeAt(at) => {
                let delay = (at.as_micros().div_ceil(1000) as u64).saturating_sub(self.now);
                self.after(delay, Step::Event(RequestEvent::Tick));
            }
            RequestAction::DeliverHead { .. }
            | RequestAction::StartSpan { .. }
            | RequestAction::ReleaseSpan { .. } => {}
        }
    }

    pub(super) fn place(&self, excluded: &[EndpointId]) -> PlacementOutcome {
        let free = (0..ENDPOINTS).find_map(|endpoint| {
            let link = self.sessions[endpoint]?;
            (!excluded.contains(&name(endpoint))).then_some((endpoint, link))
        });
        match free {
            Some((endpoint, link)) => PlacementOutcome::One {
                endpoint: name(endpoint),
                incarnation: self.links[link].incarnation,
            },
            None => PlacementOutcome::Refused {
                code: ResultCode::NoCapacity,
                retry_after: Duration::ZERO,
            },
        }
    }

    pub(super) fn send_on_new_connection(
        &mut self,
        endpoint: &EndpointId,
        message: Message,
        failed: Option<RequestEvent>,
    ) {
        let endpoint = index(endpoint);
        if self.partitioned_until[endpoint] > self.now {
            if let Some(event) = failed {
                self.after(CONNECT_TIMEOUT_MS, Step::Event(event));
            }
            return;
        }
        let link = self.connect(endpoint);
        self.send(link, Step::ToSidecar(link, message));
    }
}
