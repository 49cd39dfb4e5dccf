//! Submission and admission of requests.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    endpoint::{
        core::EndpointCore,
        entry::{RequestEntry, RequestPhase},
        ledger::LeaseState,
        messages::{EndpointAction, WorkOrder},
        speed::RunCost,
        work::QueuedWork,
    },
    ids::{Timestamp, TokenCount},
    outcome::{AnswerEnd, AttemptKey},
};

impl EndpointCore {
    pub(super) fn submit(&mut self, now: Timestamp, mut order: WorkOrder) {
        let key = order.key;
        if key.incarnation != self.incarnation {
            return self.refuse(key, AnswerEnd::new(ResultCode::StaleIncarnation));
        }
        if self.safeguards.single_run && self.resolve_duplicate(key) {
            return;
        }
        if let Some(end) = self.tombstone_refusal(key) {
            return self.refuse(key, end);
        }
        self.apply_share(&mut order);
        match self.admission_error(now, &order) {
            Some(end) => {
                self.record_refusal(now, key, &end);
                self.refuse(key, end);
            }
            None => self.admit(now, order),
        }
    }

    fn refuse(&mut self, key: AttemptKey, end: AnswerEnd) {
        self.actions.push(EndpointAction::Refuse { key, end });
    }

    /// Attaches or refuses an attempt of a request that is already known, so that the request never
    /// runs twice. Returns whether the attempt was handled.
    ///
    /// Otherwise a retry through another gateway or on a new connection would start the request a
    /// second time while the first run continues. The caller would get two mixed answers, or an
    /// effect such as a receipt would occur twice.
    fn resolve_duplicate(&mut self, key: AttemptKey) -> bool {
        if let Some(entry) = self.requests.get_mut(&key.request) {
            if key.attempt < entry.key.attempt {
                let ran = match entry.phase {
                    RequestPhase::Queued => RanState::No,
                    RequestPhase::Starting | RequestPhase::Running => RanState::Yes,
                };
                let end = AnswerEnd::new(ResultCode::Revoked)
                    .with_ran(ran)
                    .with_detail("superseded by a newer attempt");
                self.refuse(key, end);
                return true;
            }
            entry.key = key;
            entry.sink_lost_at = None;
            self.schedule_due(key.request);
            self.accept_attached(key, 0, None);
            return true;
        }
        let Some(answer) = self.answers.get(key.request) else {
            return false;
        };
        if key.attempt < answer.key.attempt {
            let end = AnswerEnd::new(ResultCode::Revoked).with_ran(answer.end.ran);
            self.refuse(key, end);
            return true;
        }
        let end = answer.end.clone();
        self.answers.attach(key);
        self.accept_attached(key, 0, Some(end));
        true
    }

    fn accept_attached(&mut self, key: AttemptKey, offset: u64, end: Option<AnswerEnd>) {
        self.actions.push(EndpointAction::Accept(key));
        self.actions
            .push(EndpointAction::ResumeFrom { key, offset, end });
    }

    pub(super) fn tombstone_refusal(&self, key: AttemptKey) -> Option<AnswerEnd> {
        if !self.safeguards.tombstones {
            return None;
        }
        let tombstones = [&self.revoked, &self.refused];
        let mut tombstones = tombstones.iter().filter_map(|table| table.get(key.request));
        let tombstone = tombstones.find(|tombstone| tombstone.covers(key.attempt))?;
        Some(AnswerEnd::new(tombstone.code).with_ran(tombstone.ran))
    }

    /// Applies the sidecar's own configuration. It takes precedence over that of the gateway, which
    /// may be older.
    fn apply_share(&self, order: &mut WorkOrder) {
        if let Some(share) = self.shares.get(&order.organisation) {
            order.tier = order.tier.min(share.highest_tier);
            order.weight = share.weight;
        }
        order.remaining = order.remaining.min(self.limits.max_deadline);
    }

    fn admission_error(&self, now: Timestamp, order: &WorkOrder) -> Option<AnswerEnd> {
        if self.draining {
            return Some(AnswerEnd::new(ResultCode::Draining));
        }
        if !self.engine_up {
            let end = AnswerEnd::new(ResultCode::EngineRefused)
                .with_detail("the engine has ended or is unreachable");
            return Some(end.with_retry_after(self.retry_after()));
        }
        if order.remaining.is_zero() {
            return Some(AnswerEnd::new(ResultCode::ExpiredWaiting));
        }
        if self.safeguards.single_run && self.ledger.is_orphan(order.key.request) {
            // The engine still holds memory of a run from before this sidecar's start or from
            // before the engine was last unreachable.
            let end = AnswerEnd::new(ResultCode::EndpointLost);
            return Some(
                end.with_detail("an earlier run of the request is being cancelled on the engine"),
            );
        }
        self.memory_error(order)
            .or_else(|| self.time_error(now, order))
    }

    fn memory_error(&self, order: &WorkOrder) -> Option<AnswerEnd> {
        let no_capacity = AnswerEnd::new(ResultCode::NoCapacity);
        if !order.span.is_empty() {
            let reserved = self.holds_reservation(order.key);
            let end = no_capacity.with_detail("the memory reservation of the span has expired");
            return (!reserved).then_some(end);
        }
        if self.ledger.lease(order.key.request).is_some() {
            // The memory of an earlier attempt has not been freed yet.
            let end =
                no_capacity.with_detail("an earlier attempt of the request still holds memory");
            return Some(end.with_retry_after(self.limits.cancel_retry));
        }
        let too_large = self.memory_need(order) > self.ledger.memory();
        too_large.then(|| {
            no_capacity.with_detail("the request does not fit into the memory of this engine")
        })
    }

    /// Refuses a request that is predicted to miss its deadline. It would expire in the queue or
    /// while running, and would take capacity from requests that can still finish. Since it is
    /// refused immediately as not run, it can still be sent to another endpoint in time.
    fn time_error(&self, now: Timestamp, order: &WorkOrder) -> Option<AnswerEnd> {
        let cost = self.predicted_cost(order);
        let wait = self.predicted_wait(now, order);
        if cost.total().is_zero() || wait + cost.total() <= order.remaining {
            return None;
        }
        let detail = format!(
            "predicted to wait {} ms and run {} ms, but only {} ms remain until the deadline",
            wait.as_millis(),
            cost.total().as_millis(),
            order.remaining.as_millis(),
        );
        let end = AnswerEnd::new(ResultCode::NoCapacity).with_detail(detail);
        Some(end.with_retry_after(self.retry_after()))
    }

    /// Predicts the time until a new request would start.
    fn predicted_wait(&self, now: Timestamp, order: &WorkOrder) -> Duration {
        if self.queue.len() == 0 && self.started_requests.len() < self.concurrency() {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(order.tier, &order.organisation);
        let running = self.running();
        let running =
            running.map(|entry| entry.cost.total().saturating_sub(now - entry.started_at));
        let running: Duration = running.sum();
        let slots = self.concurrency().max(1) as u32;
        ahead.prefill.max((ahead.total + running) / slots)
    }

    fn admit(&mut self, now: Timestamp, order: WorkOrder) {
        let key = order.key;
        if self.queue.len() >= self.limits.queue_length && !self.shed_lower(now, &order) {
            let end = AnswerEnd::new(ResultCode::Shed).with_retry_after(self.retry_after());
            self.record_refusal(now, key, &end);
            return self.refuse(key, end);
        }
        let need = self.memory_need(&order);
        let cost = self.predicted_cost(&order);
        let deadline = now + order.remaining;
        if !order.span.is_empty() {
            // From now on the lease lasts as long as the request.
            self.ledger.grant(key.request, 0, LeaseState::Running);
        }
        self.queue.push(
            now,
            QueuedWork {
                request: key.request,
                organisation: order.organisation.clone(),
                tier: order.tier,
                weight: order.weight,
                cost,
                need,
            },
        );
        let entry = RequestEntry::new(now, order, need, cost, deadline);
        self.requests.insert(key.request, entry);
        self.schedule_due(key.request);
        self.actions.push(EndpointAction::Accept(key));
    }

    /// Sheds a request of the lowest tier to make space in a full queue.
    fn shed_lower(&mut self, now: Timestamp, order: &WorkOrder) -> bool {
        let Some(candidate) = self.queue.shed_candidate(order.tier, &order.organisation) else {
            return false;
        };
        let end = AnswerEnd::new(ResultCode::Shed).with_retry_after(self.retry_after());
        self.finish(now, candidate, end, false);
        true
    }

    /// Returns the memory that must be free for a request. A span has already reserved its memory.
    fn memory_need(&self, order: &WorkOrder) -> TokenCount {
        if self.ledger.memory() == 0 || !order.span.is_empty() {
            return 0;
        }
        order.prompt_tokens.saturating_add(order.answer_tokens)
    }

    /// Returns the predicted run time of a request. For a span this is the time of the answer only.
    fn predicted_cost(&self, order: &WorkOrder) -> RunCost {
        // The engines of a span, including this one, have prefilled the prompt before the submit.
        // If the prefill were counted again, a span would be refused as late although only its
        // answer remains.
        let prefilled = match order.span.is_empty() {
            true => 0,
            false => order.prompt_tokens,
        };
        self.speed
            .predict(order.prompt_tokens, prefilled, order.answer_tokens)
    }
}
