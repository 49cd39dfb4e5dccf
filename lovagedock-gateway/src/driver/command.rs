//! Sends the commands of the request machine to the links of endpoints.

use std::time::Duration;

use lovagedock::{AttemptKey, RequestAction, RequestEvent, prelude::*};
use lovagedock_wire::{SpanHolder, WorkMessage};
use tokio::sync::oneshot;

use super::{RequestDriver, TaskEvent, span::SpanRun};
use crate::link::{AttemptSender, LinkCommand};

impl RequestDriver {
    pub(super) fn send_command(&mut self, action: RequestAction) {
        match action {
            RequestAction::Submit {
                endpoint,
                incarnation,
                attempt,
                remaining,
                ..
            } => {
                self.record_step(format!("attempt {attempt} submitted to {endpoint}"));
                let key = self.attempt_key(attempt, incarnation);
                let holders = self.span.as_ref().map_or_else(Vec::new, SpanRun::holders);
                let work = Box::new(self.work_message(key, remaining, holders));
                let events = self.attempt_sender(attempt);
                self.send_to_link(&endpoint, LinkCommand::Submit { work, events });
            }
            RequestAction::Resume {
                endpoint,
                attempt,
                incarnation,
                offset,
            } => {
                self.record_step(format!(
                    "attempt {attempt} resumed on {endpoint} at byte {offset}"
                ));
                let command = LinkCommand::Resume {
                    key: self.attempt_key(attempt, incarnation),
                    offset,
                    events: self.attempt_sender(attempt),
                };
                self.send_to_link(&endpoint, command);
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
                let key = self.attempt_key(attempt, incarnation);
                self.send_to_link(&endpoint, LinkCommand::Cancel { key });
            }
            RequestAction::Place { .. }
            | RequestAction::AskRetry
            | RequestAction::StartSpan { .. }
            | RequestAction::ReleaseSpan { .. }
            | RequestAction::CheckDigest { .. }
            | RequestAction::Deliver { .. }
            | RequestAction::DeliverHead { .. }
            | RequestAction::WakeAt(_)
            | RequestAction::Finish(_) => unreachable!("RequestDriver::execute handles these"),
        }
    }

    fn revoke(&self, endpoint: &EndpointId, attempt: AttemptNumber, incarnation: Incarnation) {
        self.record_step(format!("attempt {attempt} on {endpoint} revoked"));
        let (reply, verdict) = oneshot::channel();
        let key = self.attempt_key(attempt, incarnation);
        self.send_to_link(endpoint, LinkCommand::Revoke { key, reply });
        let task_events = self.task_event_sender.clone();
        tokio::spawn(async move {
            let event = match verdict.await {
                Ok(Ok(verdict)) => RequestEvent::RevokeAnswered {
                    attempt,
                    incarnation,
                    verdict,
                },
                Ok(Err(_)) | Err(_) => RequestEvent::RevokeFailed { attempt },
            };
            // The send fails only if the driver has finished; it then does not need the verdict.
            let _finished = task_events.send(TaskEvent::Request(event));
        });
    }

    pub(crate) fn attempt_key(
        &self,
        attempt: AttemptNumber,
        incarnation: Incarnation,
    ) -> AttemptKey {
        AttemptKey {
            request: self.call.id,
            attempt,
            incarnation,
        }
    }

    pub(crate) fn work_message(
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
            sender: self.attempt_event_sender.clone(),
        }
    }

    /// Sends a command to the endpoint's link.
    ///
    /// An endpoint that was removed from the configuration has no link. The command is then
    /// dropped, and the timeouts of the request machine end the wait.
    pub(crate) fn send_to_link(&self, endpoint: &EndpointId, command: LinkCommand) {
        if let Some(entry) = self.shared.context.fleet.get(endpoint) {
            let _link_ended = entry.commands.send(command);
        }
    }
}
