//! Ends requests and records their outcomes.

use std::time::Duration;

use crate::{
    codes::{RanState, ResultCode},
    endpoint::{
        core::{DueRequest, EndpointCore},
        messages::EndpointAction,
        tombstones::Tombstone,
    },
    ids::{RequestId, Timestamp},
    outcome::{AnswerEnd, AttemptKey},
};

impl EndpointCore {
    /// Ends a request: sends the end to the caller, frees its memory and records the outcome.
    ///
    /// If the engine has not confirmed the end, the memory stays leased and the cancellation is
    /// repeated until the engine no longer reports an allocation of the request.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        mut end: AnswerEnd,
        engine_done: bool,
    ) {
        let Some(entry) = self.requests.remove(&request) else {
            return;
        };
        self.due.remove(&DueRequest {
            at: entry.due,
            request,
        });
        self.queue.remove(request);
        if !entry.is_queued() {
            self.started_requests.remove(&request);
            end.length = entry.delivered;
        }
        if engine_done {
            self.free_memory(request);
        } else {
            self.close_memory(now, request);
        }
        if self.requests.is_empty() {
            self.queue.reset_tags();
        }
        let key = entry.key;
        self.actions.push(EndpointAction::EndAnswer {
            key,
            end: end.clone(),
        });
        if end.ran != RanState::No {
            self.answers.insert(now, key, end);
            return self.expire_answers(now);
        }
        self.record_refusal(now, key, &end);
        self.actions.push(EndpointAction::ForgetAnswer(key));
    }

    /// Returns the end of a request that no caller is waiting for.
    pub(super) fn abandoned_end(&self, request: RequestId, detail: &str) -> AnswerEnd {
        let queued = self
            .requests
            .get(&request)
            .is_some_and(|entry| entry.is_queued());
        let ran = if queued { RanState::No } else { RanState::Yes };
        AnswerEnd::new(ResultCode::CallerGone)
            .with_ran(ran)
            .with_detail(detail)
    }

    pub(super) fn record_refusal(&mut self, now: Timestamp, key: AttemptKey, end: &AnswerEnd) {
        if !self.safeguards.tombstones {
            return;
        }
        let tombstone = Tombstone {
            attempt: key.attempt,
            code: end.code,
            ran: end.ran,
        };
        self.refused.insert(now, key.request, tombstone);
    }

    pub(super) fn expire_answers(&mut self, now: Timestamp) {
        for answer in self.answers.expire(now) {
            // A submit that arrives after the answer is deleted must not run the request a second
            // time.
            let end = AnswerEnd::new(ResultCode::AnswerLost).with_ran(answer.end.ran);
            self.record_refusal(now, answer.key, &end);
            self.actions.push(EndpointAction::ForgetAnswer(answer.key));
        }
    }

    /// Ends all queued requests.
    pub(super) fn finish_queued(&mut self, now: Timestamp, code: ResultCode) {
        let queued = self.requests.values().filter(|entry| entry.is_queued());
        let queued: Vec<_> = queued.map(|entry| entry.key.request).collect();
        for request in queued {
            self.finish(now, request, AnswerEnd::new(code), false);
        }
    }

    /// Returns the time after which a retry may succeed.
    pub(super) fn retry_after(&self) -> Duration {
        const MIN: Duration = Duration::from_secs(1);
        const MAX: Duration = Duration::from_secs(60);
        let ahead = self.queue.queued_work();
        let slots = self.concurrency().max(1) as u32;
        ahead.prefill.max(ahead.total / slots).clamp(MIN, MAX)
    }
}
