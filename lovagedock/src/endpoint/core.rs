//! The state of a sidecar's decisions and the round of each event.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    codes::{RanState, ResultCode},
    config::PriorityTier,
    endpoint::{
        answers::AnswerTable,
        entry::{RequestEntry, RequestPhase},
        ledger::{LeaseState, MemoryLedger},
        limits::{EndpointLimits, EndpointSafeguards, OrganisationShare},
        messages::{EndpointAction, EndpointEvent},
        queue::{AdmissionQueue, EngineRoom},
        speed::EngineSpeed,
        tombstones::{Tombstone, TombstoneTable},
    },
    ids::{Incarnation, OrganisationId, RequestId, Timestamp},
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
};

/// Everything that a sidecar decides about the work of its endpoint.
///
/// The daemon feeds it each wire call, each piece of engine traffic and, at the time that
/// [`EndpointAction::WakeAt`] names, a tick; it carries the actions out in their order. Payloads
/// and answer bytes stay with the daemon, keyed by request id.
///
/// ```
/// use std::time::Duration;
/// use lovagedock::{EndpointCore, EndpointEvent, EndpointLimits};
///
/// let mut core = EndpointCore::new(7, EndpointLimits::default());
/// let actions = core.handle(Duration::ZERO, EndpointEvent::Tick);
/// assert!(actions.is_empty());
/// ```
#[derive(Debug)]
pub struct EndpointCore {
    pub(super) incarnation: Incarnation,
    pub(super) limits: EndpointLimits,
    pub(super) safeguards: EndpointSafeguards,
    pub(super) shares: BTreeMap<OrganisationId, OrganisationShare>,
    pub(super) table: BTreeMap<RequestId, RequestEntry>,
    pub(super) running: usize,
    pub(super) queue: AdmissionQueue,
    pub(super) ledger: MemoryLedger,
    pub(super) answers: AnswerTable,
    pub(super) revoked: TombstoneTable,
    pub(super) refused: TombstoneTable,
    pub(super) speed: EngineSpeed,
    pub(super) batch_size: usize,
    pub(super) engine_up: bool,
    pub(super) draining: bool,
    pub(super) actions: Vec<EndpointAction>,
    due: BTreeSet<DueRequest>,
    drained_told: bool,
    wake: Option<Timestamp>,
    now: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueRequest {
    at: Timestamp,
    request: RequestId,
}

impl EndpointCore {
    /// The decisions of a sidecar that has just started.
    pub fn new(incarnation: Incarnation, limits: EndpointLimits) -> Self {
        Self {
            incarnation,
            safeguards: EndpointSafeguards::default(),
            shares: BTreeMap::new(),
            table: BTreeMap::new(),
            running: 0,
            queue: AdmissionQueue::default(),
            ledger: MemoryLedger::new(limits.memory_tokens),
            answers: AnswerTable::new(limits.answer_hold, limits.answer_count, limits.answer_bytes),
            revoked: TombstoneTable::new(limits.tombstone_hold, limits.tombstone_count),
            refused: TombstoneTable::new(limits.tombstone_hold, limits.tombstone_count),
            speed: EngineSpeed::new(),
            batch_size: 0,
            engine_up: true,
            draining: false,
            actions: Vec::new(),
            due: BTreeSet::new(),
            drained_told: false,
            wake: None,
            now: Timestamp::ZERO,
            limits,
        }
    }

    /// Switches safeguards, for tests that show what happens without one.
    pub fn with_safeguards(mut self, safeguards: EndpointSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Decides on an event; `now` never goes back.
    pub fn handle(&mut self, now: Timestamp, event: EndpointEvent) -> Vec<EndpointAction> {
        self.now = now.max(self.now);
        let now = self.now;
        self.expire(now);
        self.dispatch(now, event);
        self.start_next(now);
        self.tell_drained();
        self.ask_wake();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, now: Timestamp, event: EndpointEvent) {
        match event {
            EndpointEvent::Submit(order) => self.submit(now, order),
            EndpointEvent::Revoke(key) => self.revoke(now, key),
            EndpointEvent::Cancel(key) => self.cancel(now, key),
            EndpointEvent::Resume { key, offset } => self.resume(key, offset),
            EndpointEvent::SinkLost(key) => self.lose_sink(now, key),
            EndpointEvent::EngineStarted(key) => self.engine_started(key),
            EndpointEvent::EngineBytes { key, length } => self.engine_bytes(now, key, length),
            EndpointEvent::EngineEnded { key, result } => self.engine_ended(now, key, result),
            EndpointEvent::EngineAccount(account) => self.engine_account(now, &account),
            EndpointEvent::EngineReport(report) => self.engine_report(now, report),
            EndpointEvent::EngineDown => self.engine_down(now),
            EndpointEvent::EngineUp => self.engine_up = true,
            EndpointEvent::Reserve { key, tokens, hold } => self.reserve(now, key, tokens, hold),
            EndpointEvent::Renew { key, hold } => self.renew(now, key, hold),
            EndpointEvent::Release(key) => self.release(now, key),
            EndpointEvent::Drain(leaving) => self.drain(now, leaving),
            EndpointEvent::Configure { limits, shares } => self.configure(now, limits, shares),
            EndpointEvent::Tick => {}
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.revoked.expire(now);
        self.refused.expire(now);
        self.expire_requests(now);
        self.forget_answers(now);
        self.lapse_reservations(now);
        self.collect_memory(now);
    }

    fn expire_requests(&mut self, now: Timestamp) {
        while let Some(&first) = self.due.first() {
            if first.at > now {
                return;
            }
            self.due.remove(&first);
            self.expire_request(now, first.request);
        }
    }

    fn expire_request(&mut self, now: Timestamp, request: RequestId) {
        let Some(entry) = self.table.get(&request) else {
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
        if entry.ends_without_sink() && entry.sink_lost.is_some_and(|at| at + grace <= now) {
            let end = self.abandoned_end(request, "nobody took the answer");
            return self.finish(now, request, end, false);
        }
        if entry.latest_start().is_some_and(|at| at <= now) {
            let end = AnswerEnd::new(ResultCode::NoCapacity)
                .with_retry_after(self.retry_after())
                .with_detail("it waited so long that it cannot finish in time any more");
            return self.finish(now, request, end, false);
        }
        self.arm(request);
    }

    /// Sets when something is to be decided about a request next.
    pub(super) fn arm(&mut self, request: RequestId) {
        let Some(entry) = self.table.get_mut(&request) else {
            return;
        };
        self.due.remove(&DueRequest {
            at: entry.due,
            request,
        });
        let grace = self.limits.resume_grace;
        let lost = entry.sink_lost.filter(|_| entry.ends_without_sink());
        let lost = lost.map(|at| at + grace);
        let times = [Some(entry.deadline), lost, entry.latest_start()];
        entry.due = times.into_iter().flatten().min().unwrap_or(entry.deadline);
        let at = entry.due;
        if self.safeguards.deadlines {
            self.due.insert(DueRequest { at, request });
        }
    }

    /// Ends a request: the caller's end, its memory, and what is remembered of it.
    ///
    /// Without the engine's word that it is done, the memory stays leased and the engine is told
    /// to cancel until its account lacks the request.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        mut end: AnswerEnd,
        engine_done: bool,
    ) {
        let Some(entry) = self.table.remove(&request) else {
            return;
        };
        self.due.remove(&DueRequest {
            at: entry.due,
            request,
        });
        self.queue.remove(request);
        if !entry.is_queued() {
            self.running -= 1;
            end.length = entry.delivered;
        }
        if engine_done {
            self.free_memory(request);
        } else {
            self.close_memory(now, request);
        }
        let key = entry.key;
        self.actions.push(EndpointAction::EndAnswer {
            key,
            end: end.clone(),
        });
        if end.ran != RanState::No {
            self.answers.insert(now, key, end);
            return self.forget_answers(now);
        }
        self.remember_refusal(now, key, &end);
        self.actions.push(EndpointAction::ForgetAnswer(key));
    }

    /// An end for a request that nobody waits for.
    pub(super) fn abandoned_end(&self, request: RequestId, detail: &str) -> AnswerEnd {
        let queued = self
            .table
            .get(&request)
            .is_some_and(|entry| entry.is_queued());
        let ran = if queued { RanState::No } else { RanState::Yes };
        AnswerEnd::new(ResultCode::CallerGone)
            .with_ran(ran)
            .with_detail(detail)
    }

    pub(super) fn remember_refusal(&mut self, now: Timestamp, key: AttemptKey, end: &AnswerEnd) {
        if !self.safeguards.tombstones {
            return;
        }
        let stone = Tombstone {
            attempt: key.attempt,
            code: end.code,
            ran: end.ran,
        };
        self.refused.insert(now, key.request, stone);
    }

    fn forget_answers(&mut self, now: Timestamp) {
        for answer in self.answers.expire(now) {
            // A submit that comes even later must not run a second time.
            let end = AnswerEnd::new(ResultCode::AnswerLost).with_ran(answer.end.ran);
            self.remember_refusal(now, answer.key, &end);
            self.actions.push(EndpointAction::ForgetAnswer(answer.key));
        }
    }

    fn start_next(&mut self, now: Timestamp) {
        while self.engine_up && self.may_start() && self.running < self.concurrency() {
            let room = self.room();
            let reserve = self.safeguards.head_reservation;
            let Some(work) = self.queue.pop(now, room, &self.limits, reserve) else {
                return;
            };
            let Some(entry) = self.table.get_mut(&work.request) else {
                continue;
            };
            self.ledger
                .grant(work.request, work.need, LeaseState::Running);
            entry.phase = RequestPhase::Starting;
            entry.started = Some(entry.key);
            entry.started_at = now;
            self.running += 1;
            self.actions.push(EndpointAction::Start(entry.key));
            self.arm(work.request);
        }
    }

    fn may_start(&self) -> bool {
        !self.draining || !self.safeguards.drain_queue
    }

    /// Requests that run at once at most.
    pub(super) fn concurrency(&self) -> usize {
        if self.batch_size > 0 {
            return self.batch_size;
        }
        self.limits.concurrency
    }

    pub(super) fn room(&self) -> EngineRoom {
        EngineRoom {
            memory: self.ledger.memory(),
            free: self.ledger.free(),
        }
    }

    fn drain(&mut self, now: Timestamp, leaving: bool) {
        self.draining = leaving;
        self.drained_told = false;
        if !leaving || !self.safeguards.drain_queue {
            return;
        }
        // Nothing that waits may start after the endpoint has announced that it leaves; given
        // back as not run, it is placed elsewhere at once.
        self.finish_queued(now, ResultCode::Draining);
    }

    /// Ends everything that waits.
    pub(super) fn finish_queued(&mut self, now: Timestamp, code: ResultCode) {
        let queued = self.table.values().filter(|entry| entry.is_queued());
        let queued: Vec<_> = queued.map(|entry| entry.key.request).collect();
        for request in queued {
            self.finish(now, request, AnswerEnd::new(code), false);
        }
    }

    fn tell_drained(&mut self) {
        let empty = self.table.is_empty() && self.ledger.reserved() == 0;
        if !self.draining || self.drained_told || !empty {
            return;
        }
        self.drained_told = true;
        self.actions.push(EndpointAction::Drained);
    }

    fn ask_wake(&mut self) {
        let request = self.due.first().map(|due| due.at);
        let times = [request, self.answers.next_due(), self.ledger.next_due()];
        let wake = times.into_iter().flatten().min();
        if let Some(at) = wake
            && self.wake != wake
        {
            self.actions.push(EndpointAction::WakeAt(at));
        }
        self.wake = wake;
    }

    /// The verdict on an attempt, as an action.
    pub(super) fn tell_verdict(&mut self, key: AttemptKey, verdict: RevokeVerdict) {
        self.actions.push(EndpointAction::Verdict { key, verdict });
    }

    /// When another try may succeed.
    pub(super) fn retry_after(&self) -> Duration {
        const LEAST: Duration = Duration::from_secs(1);
        const MOST: Duration = Duration::from_secs(60);
        let ahead = self.queue.ahead_of(PriorityTier::Batch, "");
        let slots = self.concurrency().max(1) as u32;
        ahead.prefill.max(ahead.total / slots).clamp(LEAST, MOST)
    }
}
