//! What gateways ask for: submit, revoke, cancel, resume.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    config::PriorityTier,
    endpoint::{
        core::EndpointCore,
        entry::{RequestEntry, RequestPhase},
        ledger::LeaseState,
        messages::{EndpointAction, WorkOrder},
        queue::QueuedWork,
        speed::RunCost,
        tombstones::Tombstone,
    },
    ids::{Timestamp, TokenCount},
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
};

impl EndpointCore {
    pub(super) fn submit(&mut self, now: Timestamp, mut order: WorkOrder) {
        let key = order.key;
        if key.incarnation != self.incarnation {
            return self.refuse(key, AnswerEnd::new(ResultCode::StaleIncarnation));
        }
        if self.safeguards.one_run && self.meet_earlier(key) {
            return;
        }
        if let Some(end) = self.buried(key) {
            return self.refuse(key, end);
        }
        self.apply_share(&mut order);
        match self.admission_error(&order) {
            Some(end) => {
                self.remember_refusal(now, key, &end);
                self.refuse(key, end);
            }
            None => self.admit(now, order),
        }
    }

    fn refuse(&mut self, key: AttemptKey, end: AnswerEnd) {
        self.actions.push(EndpointAction::Refuse { key, end });
    }

    /// Attaches or refuses an attempt whose request is here already, so that it never runs twice.
    ///
    /// A retry through another gateway or on a new connection otherwise starts the same request
    /// beside its first run, and the caller gets two answers mixed or a receipt twice.
    fn meet_earlier(&mut self, key: AttemptKey) -> bool {
        if let Some(entry) = self.table.get_mut(&key.request) {
            if key.attempt < entry.key.attempt {
                let ran = match entry.phase {
                    RequestPhase::Queued => RanState::No,
                    RequestPhase::Starting | RequestPhase::Running => RanState::Yes,
                };
                let end = AnswerEnd::new(ResultCode::Revoked)
                    .with_ran(ran)
                    .with_detail("a newer attempt is here");
                self.refuse(key, end);
                return true;
            }
            entry.key = key;
            entry.sink_lost = None;
            self.arm(key.request);
            self.attach(key, 0, None);
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
        self.attach(key, 0, Some(end));
        true
    }

    fn attach(&mut self, key: AttemptKey, offset: u64, end: Option<AnswerEnd>) {
        self.actions.push(EndpointAction::Accept(key));
        self.actions
            .push(EndpointAction::ResumeFrom { key, offset, end });
    }

    pub(super) fn buried(&self, key: AttemptKey) -> Option<AnswerEnd> {
        if !self.safeguards.tombstones {
            return None;
        }
        let stones = [&self.revoked, &self.refused];
        let mut stones = stones.iter().filter_map(|table| table.get(key.request));
        let stone = stones.find(|stone| stone.covers(key.attempt))?;
        Some(AnswerEnd::new(stone.code).with_ran(stone.ran))
    }

    /// The configuration in force here goes before what an older one at the gateway said.
    fn apply_share(&self, order: &mut WorkOrder) {
        if let Some(share) = self.shares.get(&order.organisation) {
            order.tier = order.tier.min(share.highest_tier);
            order.weight = share.weight;
        }
        order.remaining = order.remaining.min(self.limits.longest_deadline);
    }

    fn admission_error(&self, order: &WorkOrder) -> Option<AnswerEnd> {
        if self.draining {
            return Some(AnswerEnd::new(ResultCode::Draining));
        }
        if !self.engine_up {
            let end = AnswerEnd::new(ResultCode::EngineRefused).with_detail("the engine is down");
            return Some(end.with_retry_after(self.retry_after()));
        }
        if order.remaining.is_zero() {
            return Some(AnswerEnd::new(ResultCode::ExpiredWaiting));
        }
        if self.safeguards.one_run && self.ledger.is_orphan(order.key.request) {
            // A run from before this sidecar's start is still on the engine.
            let end = AnswerEnd::new(ResultCode::EndpointLost);
            return Some(end.with_detail("an earlier run is being cancelled"));
        }
        self.memory_error(order).or_else(|| self.time_error(order))
    }

    fn memory_error(&self, order: &WorkOrder) -> Option<AnswerEnd> {
        let no_capacity = AnswerEnd::new(ResultCode::NoCapacity);
        if !order.span.is_empty() {
            let lease = self.ledger.lease(order.key.request);
            let reserved =
                lease.is_some_and(|lease| matches!(lease.state, LeaseState::Reserved { .. }));
            let end = no_capacity.with_detail("the span's reservation has lapsed");
            return (!reserved).then_some(end);
        }
        if self.ledger.lease(order.key.request).is_some() {
            // Memory of an earlier attempt is still being freed.
            let end = no_capacity.with_detail("an earlier attempt still holds memory");
            return Some(end.with_retry_after(self.limits.cancel_retry));
        }
        let too_large = self.need(order) > self.ledger.memory();
        too_large.then(|| no_capacity.with_detail("it does not fit the memory of this engine"))
    }

    /// Refuses what is predicted to miss its deadline. It would run out of time in the queue or
    /// half-way and take the place of work that can still finish; refused at once as not run, it
    /// may go elsewhere while there is time.
    fn time_error(&self, order: &WorkOrder) -> Option<AnswerEnd> {
        let cost = self.cost(order);
        let wait = self.predicted_wait(order.tier, &order.organisation);
        if cost.total().is_zero() || wait + cost.total() <= order.remaining {
            return None;
        }
        let detail = format!(
            "predicted to wait {} ms and run {} ms, {} ms are left",
            wait.as_millis(),
            cost.total().as_millis(),
            order.remaining.as_millis(),
        );
        let end = AnswerEnd::new(ResultCode::NoCapacity).with_detail(detail);
        Some(end.with_retry_after(self.retry_after()))
    }

    /// Time until a new request of an organisation starts, as far as can be told.
    pub(super) fn predicted_wait(&self, tier: PriorityTier, organisation: &str) -> Duration {
        if self.queue.len() == 0 {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(tier, organisation);
        let slots = self.concurrency().max(1) as u32;
        ahead.prefill.max(ahead.total / slots)
    }

    fn admit(&mut self, now: Timestamp, order: WorkOrder) {
        let key = order.key;
        if self.queue.len() >= self.limits.queue_length && !self.shed_for(now, &order) {
            let end = AnswerEnd::new(ResultCode::Shed).with_retry_after(self.retry_after());
            self.remember_refusal(now, key, &end);
            return self.refuse(key, end);
        }
        let need = self.need(&order);
        let cost = self.cost(&order);
        let deadline = now + order.remaining;
        if !order.span.is_empty() {
            // From here on the reservation lasts as long as the request.
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
        self.table.insert(key.request, entry);
        self.arm(key.request);
        self.actions.push(EndpointAction::Accept(key));
    }

    /// Makes room in a full queue at the cost of the lowest tier.
    fn shed_for(&mut self, now: Timestamp, order: &WorkOrder) -> bool {
        let Some(victim) = self.queue.victim(order.tier, &order.organisation) else {
            return false;
        };
        let end = AnswerEnd::new(ResultCode::Shed).with_retry_after(self.retry_after());
        self.finish(now, victim, end, false);
        true
    }

    /// Memory that has to come free for an order; a span has reserved its own.
    fn need(&self, order: &WorkOrder) -> TokenCount {
        if self.ledger.memory() == 0 || !order.span.is_empty() {
            return 0;
        }
        order.prompt_tokens.saturating_add(order.answer_tokens)
    }

    fn cost(&self, order: &WorkOrder) -> RunCost {
        self.speed.predict(order.prompt_tokens, order.answer_tokens)
    }

    pub(super) fn revoke(&mut self, now: Timestamp, key: AttemptKey) {
        if key.incarnation != self.incarnation {
            return self.tell_verdict(key, RevokeVerdict::OtherLife);
        }
        let phase = self.table.get(&key.request).map(|entry| entry.phase);
        let verdict = match phase {
            Some(RequestPhase::Starting | RequestPhase::Running) => RevokeVerdict::Running,
            Some(RequestPhase::Queued) => {
                self.bury(now, key);
                RevokeVerdict::Revoked
            }
            None if self.has_run(key) => RevokeVerdict::Ended,
            None => {
                self.bury(now, key);
                RevokeVerdict::Revoked
            }
        };
        self.tell_verdict(key, verdict);
    }

    fn has_run(&self, key: AttemptKey) -> bool {
        let stone = self.refused.get(key.request);
        self.answers.get(key.request).is_some()
            || stone.is_some_and(|stone| stone.ran != RanState::No)
    }

    /// Leaves a tombstone, also for a submit that has not come yet, and takes the attempt out of
    /// the queue. A newer attempt that waits is left alone.
    fn bury(&mut self, now: Timestamp, key: AttemptKey) {
        if self.safeguards.tombstones {
            let stone = Tombstone {
                attempt: key.attempt,
                code: ResultCode::Revoked,
                ran: RanState::No,
            };
            self.revoked.insert(now, key.request, stone);
        }
        let waits = self.table.get(&key.request);
        if waits.is_some_and(|entry| entry.key.attempt <= key.attempt) {
            let end = AnswerEnd::new(ResultCode::Revoked);
            return self.finish(now, key.request, end, false);
        }
        if waits.is_none() {
            self.close_reservation(now, key.request);
        }
    }

    pub(super) fn cancel(&mut self, now: Timestamp, key: AttemptKey) {
        if key.incarnation != self.incarnation || self.answers.get(key.request).is_some() {
            return;
        }
        let Some(entry) = self.table.get(&key.request) else {
            return self.bury(now, key);
        };
        if key.attempt < entry.key.attempt || !entry.ends_without_sink() {
            return;
        }
        let end = self.abandoned_end(key.request, "the caller cancelled");
        self.finish(now, key.request, end, false);
    }

    pub(super) fn resume(&mut self, key: AttemptKey, offset: u64) {
        let end = self.resumable(key, offset);
        let Some(end) = end else {
            return self.actions.push(EndpointAction::NotFound(key));
        };
        if let Some(entry) = self.table.get_mut(&key.request) {
            entry.sink_lost = None;
            self.arm(key.request);
        }
        self.actions
            .push(EndpointAction::ResumeFrom { key, offset, end });
    }

    fn resumable(&self, key: AttemptKey, offset: u64) -> Option<Option<AnswerEnd>> {
        if let Some(entry) = self.table.get(&key.request) {
            return (entry.key == key && offset <= entry.delivered).then_some(None);
        }
        let answer = self.answers.get(key.request)?;
        let found = answer.key == key && offset <= answer.end.length;
        found.then(|| Some(answer.end.clone()))
    }

    pub(super) fn lose_sink(&mut self, now: Timestamp, key: AttemptKey) {
        let Some(entry) = self.table.get_mut(&key.request) else {
            return;
        };
        if entry.key != key {
            return;
        }
        entry.sink_lost = Some(now);
        self.arm(key.request);
    }
}
