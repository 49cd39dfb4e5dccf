//! Events from the engine: starts, bytes, ends, reported allocations and loss of the engine.

use crate::{
    codes::{RanState, ResultCode},
    endpoint::{
        core::EndpointCore,
        entry::{RequestEntry, RequestPhase},
        limits::{EndpointLimits, OrganisationShare},
        messages::{EndpointAction, EngineAllocation, EngineAnswer, EngineReport, EngineResult},
        speed::RunSample,
    },
    ids::{RequestId, Timestamp},
    outcome::{AnswerEnd, AttemptKey},
};

impl EndpointCore {
    pub(super) fn on_engine_started(&mut self, key: AttemptKey) {
        if let Some(entry) = self.started_entry(key) {
            entry.phase = RequestPhase::Running;
        }
    }

    pub(super) fn on_engine_bytes(&mut self, now: Timestamp, key: AttemptKey, length: u64) {
        let Some(entry) = self.started_entry(key) else {
            return;
        };
        entry.phase = RequestPhase::Running;
        entry.first_bytes_at.get_or_insert(now);
        let offset = entry.delivered;
        entry.delivered += length;
        let key = entry.key;
        self.actions.push(EndpointAction::Deliver {
            key,
            offset,
            length,
        });
    }

    pub(super) fn on_engine_ended(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        result: EngineResult,
    ) {
        let Some(entry) = self.started_entry(key) else {
            return self.release_after_late_end(key);
        };
        let delivered = entry.delivered;
        let started = entry.phase == RequestPhase::Running;
        let end = match result {
            EngineResult::Finished(answer) => {
                self.learn_speed(now, key.request, &answer);
                finished_end(&answer, delivered)
            }
            EngineResult::Refused { detail } if !started => {
                AnswerEnd::new(ResultCode::EngineRefused)
                    .with_detail(detail)
                    .with_retry_after(self.retry_after())
            }
            EngineResult::Invalid { detail } if !started => {
                AnswerEnd::new(ResultCode::MalformedRequest).with_detail(detail)
            }
            EngineResult::Refused { detail }
            | EngineResult::Invalid { detail }
            | EngineResult::Failed { detail } => {
                AnswerEnd::new(ResultCode::EngineFailed).with_detail(detail)
            }
            EngineResult::Lost { detail } => {
                let end = connection_lost_end(entry).with_detail(detail);
                // The engine may still be running and hold the memory, so the memory is freed only
                // when the engine no longer reports it. If it were freed immediately, new requests
                // would be admitted into memory that is still in use.
                return self.finish(now, key.request, end, false);
            }
            EngineResult::Ended { detail } => {
                let end = connection_lost_end(entry)
                    .with_detail(detail)
                    .mark_engine_ended();
                return self.finish(now, key.request, end, false);
            }
            EngineResult::Cancelled => AnswerEnd::new(ResultCode::EngineFailed)
                .with_detail("the engine cancelled the request"),
        };
        self.finish(now, key.request, end, true);
    }

    /// Frees the memory of a request that had already ended when the engine reported its end. The
    /// end of an attempt that does not hold the memory has no effect.
    fn release_after_late_end(&mut self, key: AttemptKey) {
        let known =
            self.requests.contains_key(&key.request) || self.ledger.is_reserved(key.request);
        if !known && key.incarnation == self.incarnation {
            self.free_memory(key.request);
        }
    }

    pub(super) fn on_engine_allocations(
        &mut self,
        now: Timestamp,
        allocations: &[EngineAllocation],
    ) {
        let grace = self.limits.orphan_grace;
        let lost = self.ledger.reconcile(now, allocations, grace);
        for request in lost {
            // The engine has lost the request, so the caller need not wait until the deadline.
            let end = AnswerEnd::new(ResultCode::EngineFailed)
                .with_detail("the engine no longer reports memory of the request");
            self.finish(now, request, end, false);
        }
        self.end_orphaned_requests(now);
    }

    /// Ends queued requests whose earlier run, from before this sidecar's start, continues on the
    /// engine.
    fn end_orphaned_requests(&mut self, now: Timestamp) {
        if !self.safeguards.single_run {
            return;
        }
        let orphans: Vec<_> = self.ledger.orphans().collect();
        let is_queued = |request: &RequestId| {
            let entry = self.requests.get(request);
            entry.is_some_and(RequestEntry::is_queued)
        };
        let queued: Vec<_> = orphans.into_iter().filter(is_queued).collect();
        for request in queued {
            let end = AnswerEnd::new(ResultCode::EndpointLost)
                .with_detail("an earlier run of the request is being cancelled on the engine");
            self.finish(now, request, end, false);
        }
    }

    pub(super) fn on_engine_report(&mut self, now: Timestamp, report: EngineReport) {
        self.speed.set_reported(report.cost);
        self.batch_size = report.batch_size;
        if report.memory_tokens > 0 {
            self.ledger.set_memory(report.memory_tokens);
            self.refuse_too_large(now);
        }
    }

    pub(super) fn record_engine_up(&mut self, now: Timestamp) {
        if !self.engine_up {
            self.engine_up = true;
            self.allocations_due_at = now + self.limits.allocations_wait;
        }
    }

    pub(super) fn on_engine_down(&mut self, now: Timestamp) {
        self.engine_up = false;
        self.ledger.orphan_all(now);
        let running = self.running();
        let running: Vec<_> = running
            .map(|entry| (entry.key.request, engine_lost_end(entry)))
            .collect();
        for (request, end) in running {
            self.finish(now, request, end, true);
        }
        self.finish_queued(now, ResultCode::EngineRefused);
    }

    pub(super) fn configure(
        &mut self,
        now: Timestamp,
        limits: EndpointLimits,
        shares: Vec<OrganisationShare>,
    ) {
        let bounds = (limits.tombstone_retention, limits.tombstone_count);
        self.revoked.set_bounds(bounds.0, bounds.1);
        self.refused.set_bounds(bounds.0, bounds.1);
        self.answers.set_bounds(
            limits.answer_retention,
            limits.answer_count,
            limits.answer_bytes,
        );
        if limits.memory_tokens != self.limits.memory_tokens {
            self.ledger.set_memory(limits.memory_tokens);
        }
        self.limits = limits;
        let shares = shares.into_iter();
        self.shares = shares
            .map(|share| (share.organisation.clone(), share))
            .collect();
        self.refuse_too_large(now);
    }

    /// Ends queued requests that need more memory than the engine has, since they would never
    /// start.
    fn refuse_too_large(&mut self, now: Timestamp) {
        for request in self.queue.requests_too_large(self.ledger.memory()) {
            let end = AnswerEnd::new(ResultCode::NoCapacity)
                .with_detail("the request no longer fits into the memory of this engine");
            self.finish(now, request, end, false);
        }
    }

    pub(super) fn collect_memory(&mut self, now: Timestamp) {
        if !self.engine_up || !self.safeguards.orphan_collection {
            return;
        }
        let limits = &self.limits;
        let due = self
            .ledger
            .collect(now, limits.orphan_grace, limits.cancel_retry);
        let cancels = due.into_iter().map(EndpointAction::CancelOnEngine);
        self.actions.extend(cancels);
    }

    pub(super) fn free_memory(&mut self, request: RequestId) {
        self.ledger.release(request);
        self.queue.record_end(request);
    }

    /// Cancels a request on the engine so that its memory is freed. The lease is kept until the
    /// memory is free.
    pub(super) fn close_memory(&mut self, now: Timestamp, request: RequestId) {
        self.queue.record_end(request);
        let retry = self.limits.cancel_retry;
        if self.ledger.close(now, request, retry) {
            self.actions.push(EndpointAction::CancelOnEngine(request));
        }
    }

    /// Returns the entry of a started attempt. Bytes and ends of other attempts, or of requests
    /// that have already ended, never reach a caller.
    fn started_entry(&mut self, key: AttemptKey) -> Option<&mut RequestEntry> {
        let entry = self.requests.get_mut(&key.request)?;
        (entry.started_attempt == Some(key)).then_some(entry)
    }

    fn learn_speed(&mut self, now: Timestamp, request: RequestId, answer: &EngineAnswer) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let Some(first) = entry.first_bytes_at else {
            return;
        };
        // For a span, the engine counts the whole prompt but has prefilled only a part of it.
        if !entry.order.span.is_empty() {
            return;
        }
        let batch = u32::try_from(self.started_requests.len()).unwrap_or(u32::MAX);
        self.speed.observe(RunSample {
            prompt: answer.prompt_tokens,
            cached: answer.cached_tokens,
            batch,
            prefill: first - entry.started_at,
            decode: now - first,
            answer_tokens: answer.answer_tokens,
            answer_limit: entry.order.answer_tokens,
        });
    }
}

/// Returns the end of a finished answer. If bytes are missing, the answer counts as damaged: its
/// digest would otherwise confirm bytes that the caller has not received.
fn finished_end(answer: &EngineAnswer, delivered: u64) -> AnswerEnd {
    if answer.length != delivered {
        let detail = format!(
            "answer truncated: got {} of {} bytes",
            delivered, answer.length
        );
        return AnswerEnd::new(ResultCode::AnswerDamaged).with_detail(detail);
    }
    AnswerEnd {
        digest: Some(answer.digest),
        prompt_tokens: answer.prompt_tokens,
        cached_tokens: answer.cached_tokens,
        answer_tokens: answer.answer_tokens,
        ..AnswerEnd::new(ResultCode::Complete)
    }
}

/// Returns the end of a request whose connection to the engine was lost. Only received bytes prove
/// that the request ran. Without them it is unknown whether it ran, and reporting either would make
/// the caller act on a guess.
fn connection_lost_end(entry: &RequestEntry) -> AnswerEnd {
    match entry.first_bytes_at {
        Some(_) => AnswerEnd::new(ResultCode::EngineFailed),
        None => AnswerEnd::new(ResultCode::EndpointLost),
    }
}

fn engine_lost_end(entry: &RequestEntry) -> AnswerEnd {
    match entry.phase {
        RequestPhase::Running => AnswerEnd::new(ResultCode::EngineFailed)
            .with_detail("the engine ended or became unreachable"),
        RequestPhase::Queued | RequestPhase::Starting => AnswerEnd::new(ResultCode::EndpointLost)
            .with_ran(RanState::Unknown)
            .with_detail("the engine ended or became unreachable before it confirmed the start"),
    }
}
