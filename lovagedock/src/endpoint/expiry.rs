//! Expiry of deadlines, grace periods, reservations and retained state.

use crate::{
    codes::ResultCode,
    endpoint::{
        core::{DueRequest, EndpointCore},
        entry::RequestPhase,
        messages::EndpointAction,
    },
    ids::{RequestId, Timestamp},
    outcome::AnswerEnd,
};

impl EndpointCore {
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.revoked.expire(now);
        self.refused.expire(now);
        self.expire_requests(now);
        self.expire_answers(now);
        self.expire_reservations(now);
        self.collect_memory(now);
    }

    pub(super) fn expire_requests(&mut self, now: Timestamp) {
        while let Some(&first) = self.due.first() {
            if first.at > now {
                return;
            }
            self.due.remove(&first);
            self.expire_request(now, first.request);
        }
    }

    pub(super) fn expire_request(&mut self, now: Timestamp, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let grace = self.limits.resume_grace;
        if entry.deadline <= now {
            let code = match entry.phase {
                RequestPhase::Queued => ResultCode::ExpiredWaiting,
                RequestPhase::Starting | RequestPhase::Running => ResultCode::ExpiredRunning,
            };
            let end = AnswerEnd::new(code).with_retry_after(self.retry_after());
            return self.finish(now, request, end, false);
        }
        if entry.ends_without_sink() && entry.sink_lost_at.is_some_and(|at| at + grace <= now) {
            let end = self.abandoned_end(
                request,
                "the answer had no receiver until the grace period ended",
            );
            return self.finish(now, request, end, false);
        }
        if entry.latest_start().is_some_and(|at| at <= now) {
            let end = AnswerEnd::new(ResultCode::NoCapacity)
                .with_retry_after(self.retry_after())
                .with_detail("waited too long in the queue to finish before the deadline");
            return self.finish(now, request, end, false);
        }
        self.schedule_due(request);
    }

    /// Sets the time of the next decision about a request.
    pub(super) fn schedule_due(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        self.due.remove(&DueRequest {
            at: entry.due,
            request,
        });
        let grace = self.limits.resume_grace;
        let lost = entry.sink_lost_at.filter(|_| entry.ends_without_sink());
        let lost = lost.map(|at| at + grace);
        let times = [Some(entry.deadline), lost, entry.latest_start()];
        entry.due = times.into_iter().flatten().min().unwrap_or(entry.deadline);
        let at = entry.due;
        if self.safeguards.deadlines {
            self.due.insert(DueRequest { at, request });
        }
    }

    pub(super) fn schedule_wake(&mut self) {
        let request = self.due.first().map(|due| due.at);
        let waits_for_allocations = self.queue.len() > 0 && !self.is_engine_state_known(self.now);
        let allocations = waits_for_allocations.then_some(self.allocations_due_at);
        let answer = self.answers.next_due();
        let collects = self.engine_up && self.safeguards.orphan_collection;
        let memory = self.ledger.next_due().filter(|_| collects);
        let times = [request, allocations, answer, memory];
        let wake = times.into_iter().flatten().min();
        let wake = wake.map(|at| at.max(self.now));
        let fired = self.wake.is_some_and(|at| at <= self.now);
        if let Some(at) = wake
            && (self.wake != wake || fired)
        {
            self.actions.push(EndpointAction::WakeAt(at));
        }
        self.wake = wake;
    }
}
