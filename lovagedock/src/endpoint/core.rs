//! The state of the sidecar core and the handling of events.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    codes::ResultCode,
    endpoint::{
        answers::AnswerTable,
        entry::{RequestEntry, RequestPhase},
        ledger::{LeaseState, MemoryLedger},
        limits::{EndpointLimits, EndpointSafeguards, OrganisationShare},
        messages::{EndpointAction, EndpointEvent},
        queue::AdmissionQueue,
        speed::EngineSpeed,
        tombstones::TombstoneTable,
        work::EngineCapacity,
    },
    ids::{Incarnation, OrganisationId, RequestId, Timestamp, TokenCount},
    outcome::{AttemptKey, RevokeVerdict},
};

/// The state machine of a sidecar. It makes all decisions about the work of the endpoint.
///
/// The daemon passes in an event for each wire call, for each message from the engine, and a tick
/// at the time given by [`EndpointAction::WakeAt`]. It executes the returned actions in order.
/// Payloads and answer bytes stay with the daemon, keyed by request id.
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
    pub(super) requests: BTreeMap<RequestId, RequestEntry>,
    /// Requests that have started and not ended.
    pub(super) started_requests: BTreeSet<RequestId>,
    pub(super) queue: AdmissionQueue,
    pub(super) ledger: MemoryLedger,
    pub(super) answers: AnswerTable,
    pub(super) revoked: TombstoneTable,
    pub(super) refused: TombstoneTable,
    pub(super) speed: EngineSpeed,
    pub(super) batch_size: usize,
    pub(super) engine_up: bool,
    pub(super) draining: bool,
    pub(super) allocations_due_at: Timestamp,
    pub(super) actions: Vec<EndpointAction>,
    pub(super) due: BTreeSet<DueRequest>,
    drained_reported: bool,
    pub(super) wake: Option<Timestamp>,
    pub(super) now: Timestamp,
}

/// The time of the next decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueRequest {
    pub(super) at: Timestamp,
    pub(super) request: RequestId,
}

impl EndpointCore {
    /// Creates the core of a sidecar that has just started.
    pub fn new(incarnation: Incarnation, limits: EndpointLimits) -> Self {
        Self {
            incarnation,
            safeguards: EndpointSafeguards::default(),
            shares: BTreeMap::new(),
            requests: BTreeMap::new(),
            started_requests: BTreeSet::new(),
            queue: AdmissionQueue::default(),
            ledger: MemoryLedger::new(limits.memory_tokens),
            answers: AnswerTable::new(
                limits.answer_retention,
                limits.answer_count,
                limits.answer_bytes,
            ),
            revoked: TombstoneTable::new(limits.tombstone_retention, limits.tombstone_count),
            refused: TombstoneTable::new(limits.tombstone_retention, limits.tombstone_count),
            speed: EngineSpeed::new(),
            batch_size: 0,
            engine_up: true,
            draining: false,
            allocations_due_at: limits.allocations_wait,
            actions: Vec::new(),
            due: BTreeSet::new(),
            drained_reported: false,
            wake: None,
            now: Timestamp::ZERO,
            limits,
        }
    }

    /// Sets the safeguards, for tests that show the effect of switching one off.
    pub fn with_safeguards(mut self, safeguards: EndpointSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Handles an event and returns the resulting actions. `now` must not decrease.
    pub fn handle(&mut self, now: Timestamp, event: EndpointEvent) -> Vec<EndpointAction> {
        self.now = now.max(self.now);
        let now = self.now;
        self.expire(now);
        self.dispatch(now, event);
        self.start_next(now);
        self.report_drained();
        self.schedule_wake();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, now: Timestamp, event: EndpointEvent) {
        match event {
            EndpointEvent::Submit(order) => self.submit(now, order),
            EndpointEvent::Revoke(key) => self.revoke(now, key),
            EndpointEvent::Cancel(key) => self.cancel(now, key),
            EndpointEvent::Resume { key, offset } => self.resume(key, offset),
            EndpointEvent::SinkLost(key) => self.record_sink_loss(now, key),
            EndpointEvent::EngineStarted(key) => self.on_engine_started(key),
            EndpointEvent::EngineBytes { key, length } => self.on_engine_bytes(now, key, length),
            EndpointEvent::EngineEnded { key, result } => self.on_engine_ended(now, key, result),
            EndpointEvent::EngineAllocations(allocations) => {
                self.on_engine_allocations(now, &allocations)
            }
            EndpointEvent::EngineReport(report) => self.on_engine_report(now, report),
            EndpointEvent::EngineDown => self.on_engine_down(now),
            EndpointEvent::EngineUp => self.record_engine_up(now),
            EndpointEvent::Reserve { key, tokens, hold } => self.reserve(now, key, tokens, hold),
            EndpointEvent::Renew { key, hold } => self.renew(now, key, hold),
            EndpointEvent::Release(key) => self.release(now, key),
            EndpointEvent::Drain(draining) => self.set_draining(now, draining),
            EndpointEvent::Configure { limits, shares } => self.configure(now, limits, shares),
            EndpointEvent::Tick => {}
        }
    }

    fn start_next(&mut self, now: Timestamp) {
        while self.may_start(now) && self.started_requests.len() < self.concurrency() {
            let running = || {
                self.started_requests
                    .iter()
                    .filter_map(|id| self.requests.get(id))
            };
            let free_at = |need| predict_free_at(now, need, running(), &self.ledger);
            let capacity = EngineCapacity {
                memory: self.ledger.memory(),
                free: self.ledger.free(),
                free_at: &free_at,
            };
            let reserve = self.safeguards.head_reservation;
            let Some(work) = self.queue.pop(now, capacity, &self.limits, reserve) else {
                return;
            };
            let Some(entry) = self.requests.get_mut(&work.request) else {
                continue;
            };
            self.ledger
                .grant(work.request, work.need, LeaseState::Running);
            entry.phase = RequestPhase::Starting;
            entry.started_attempt = Some(entry.key);
            entry.started_at = now;
            self.started_requests.insert(work.request);
            self.actions.push(EndpointAction::Start(entry.key));
            self.schedule_due(work.request);
        }
    }

    fn may_start(&self, now: Timestamp) -> bool {
        let draining = self.draining && self.safeguards.drain_queue;
        self.engine_up && !draining && self.is_engine_state_known(now)
    }

    /// Whether the engine has reported its allocations, or the time to wait for them is over.
    ///
    /// After a restart of this sidecar, earlier work may still run on the engine. A start before
    /// the first report could run a request twice or exceed the memory.
    pub(super) fn is_engine_state_known(&self, now: Timestamp) -> bool {
        self.ledger.memory() == 0
            || self.ledger.allocations_known()
            || self.allocations_due_at <= now
    }

    /// Returns the requests that have started and not ended.
    pub(super) fn running(&self) -> impl Iterator<Item = &RequestEntry> {
        self.started_requests
            .iter()
            .filter_map(|id| self.requests.get(id))
    }

    /// Returns the maximum number of running requests.
    pub(super) fn concurrency(&self) -> usize {
        if self.batch_size > 0 {
            return self.batch_size;
        }
        self.limits.concurrency
    }

    fn set_draining(&mut self, now: Timestamp, draining: bool) {
        self.draining = draining;
        self.drained_reported = false;
        if !draining || !self.safeguards.drain_queue {
            return;
        }
        // Queued requests must not start once the endpoint has announced that it drains. They are
        // returned as not run, so that they are placed on other endpoints immediately.
        self.finish_queued(now, ResultCode::Draining);
    }

    fn report_drained(&mut self) {
        let empty = self.requests.is_empty() && self.ledger.reserved() == 0;
        if !self.draining || self.drained_reported || !empty {
            return;
        }
        self.drained_reported = true;
        self.actions.push(EndpointAction::Drained);
    }

    /// Adds an action with the verdict on an attempt.
    pub(super) fn push_verdict(&mut self, key: AttemptKey, verdict: RevokeVerdict) {
        self.actions.push(EndpointAction::Verdict { key, verdict });
    }
}

/// Predicts when this much memory is free, assuming that each running request ends as predicted.
fn predict_free_at<'a>(
    now: Timestamp,
    need: TokenCount,
    running: impl Iterator<Item = &'a RequestEntry>,
    ledger: &MemoryLedger,
) -> Timestamp {
    let mut ends: Vec<_> = running
        .map(|entry| (entry.started_at + entry.cost.total(), entry.need))
        .collect();
    ends.sort_unstable();
    let mut free = ledger.free();
    for (ends_at, tokens) in ends {
        free += tokens;
        if free >= need {
            return ends_at.max(now);
        }
    }
    now
}
