//! Simulation of a sidecar, its engine and its gateways with faults. It checks the invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lovagedock::{
    AnswerEnd, AttemptKey, EndpointAction, EndpointCore, EndpointEvent, EndpointLimits,
    EndpointSafeguards, EngineAllocation, EngineAnswer, EngineResult, PriorityTier, RanState,
    RequestId, RevokeVerdict, Timestamp, WorkOrder,
};

use crate::endpoint_steps::{Step, StepKey, StepOrder};

const MEMORY: u64 = 1_000;
const POLL: Duration = Duration::from_secs(1);
const FIRST_POLL: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_secs(90);
/// Grace period, one poll to detect the orphan, and one repetition of the cancellation.
const ORPHAN_BOUND: Duration = Duration::from_millis(7_100);

/// A violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Violation {
    StartedTwice,
    StartedAfterNotRun,
    StartedWhileDraining,
    LedgerInconsistent,
    NoEndInTime,
    EndedTwice,
    OrphanKept,
    NotEmptyAtEnd,
}

struct EngineRun {
    key: AttemptKey,
    tokens: u64,
    started: bool,
    bytes: u64,
}

struct OpenRequest {
    deadline: Timestamp,
    ended: bool,
}

/// The simulation of one schedule.
pub(crate) struct EndpointSimulation {
    core: EndpointCore,
    safeguards: EndpointSafeguards,
    incarnation: u64,
    process_started: Timestamp,
    now: Timestamp,
    wake: Option<Timestamp>,
    next_poll: Timestamp,
    engine: BTreeMap<RequestId, EngineRun>,
    last_allocations: Vec<EngineAllocation>,
    last_end: Option<EndpointEvent>,
    cancels_to_lose: u32,
    pending: Vec<EndpointEvent>,
    remaining: Duration,
    open: BTreeMap<RequestId, OpenRequest>,
    not_run: BTreeMap<RequestId, u32>,
    starts: BTreeSet<AttemptKey>,
    ran: BTreeSet<RequestId>,
    unowned_since: BTreeMap<RequestId, Timestamp>,
    draining: bool,
    pub(crate) started: usize,
    pub(crate) violations: BTreeSet<Violation>,
}

impl EndpointSimulation {
    pub(crate) fn new(safeguards: EndpointSafeguards) -> Self {
        Self {
            core: new_core(1, safeguards),
            safeguards,
            incarnation: 1,
            process_started: Timestamp::ZERO,
            now: Timestamp::ZERO,
            wake: None,
            next_poll: FIRST_POLL,
            engine: BTreeMap::new(),
            last_allocations: Vec::new(),
            last_end: None,
            cancels_to_lose: 0,
            pending: Vec::new(),
            remaining: Duration::ZERO,
            open: BTreeMap::new(),
            not_run: BTreeMap::new(),
            starts: BTreeSet::new(),
            ran: BTreeSet::new(),
            unowned_since: BTreeMap::new(),
            draining: false,
            started: 0,
            violations: BTreeSet::new(),
        }
    }

    /// Runs a schedule, then waits until all work has ended.
    pub(crate) fn run(mut self, steps: &[Step]) -> Self {
        for step in steps {
            self.apply_step(step);
        }
        self.cancels_to_lose = 0;
        self.advance(self.now + SETTLE);
        if !self.engine.is_empty() || self.core.ledger().leased() > 0 {
            self.violations.insert(Violation::NotEmptyAtEnd);
        }
        self
    }

    fn apply_step(&mut self, step: &Step) {
        let attempt_key = |key: &StepKey| AttemptKey {
            request: key.request,
            attempt: key.attempt,
            incarnation: self.incarnation,
        };
        match step {
            Step::Wait(ms) => self.advance(self.now + Duration::from_millis(*ms)),
            Step::Submit(order) => self.submit(order),
            Step::Revoke(key) => self.handle_event(EndpointEvent::Revoke(attempt_key(key))),
            Step::Cancel(key) => self.handle_event(EndpointEvent::Cancel(attempt_key(key))),
            Step::Resume(key, offset) => {
                let key = attempt_key(key);
                let offset = *offset;
                self.handle_event(EndpointEvent::Resume { key, offset });
            }
            Step::SinkLost(key) => self.handle_event(EndpointEvent::SinkLost(attempt_key(key))),
            Step::Started(run) => self.engine_started(*run),
            Step::Bytes(run, length) => self.engine_bytes(*run, *length),
            Step::Finish(run) => self.engine_ends(*run, |run| {
                EngineResult::Finished(EngineAnswer {
                    length: run.bytes,
                    digest: [0; 32],
                    prompt_tokens: run.tokens,
                    cached_tokens: 0,
                    answer_tokens: run.bytes,
                })
            }),
            Step::Fail(run) => self.engine_ends(*run, |_| EngineResult::Failed {
                detail: String::new(),
            }),
            Step::RefuseRun(run) => self.engine_refuses(*run),
            Step::RepeatEnd => self
                .last_end
                .clone()
                .into_iter()
                .for_each(|e| self.handle_event(e)),
            Step::StaleAllocations => self.handle_event(EndpointEvent::EngineAllocations(
                self.last_allocations.clone(),
            )),
            Step::LoseCancels(count) => self.cancels_to_lose = *count,
            Step::EngineCrashes => {
                self.engine.clear();
                self.reconnect_engine();
            }
            Step::EngineReconnects => self.reconnect_engine(),
            Step::Restart => self.restart(),
            Step::Reserve(key, tokens, hold) => {
                let (key, tokens, hold) = (attempt_key(key), *tokens, Duration::from_millis(*hold));
                self.handle_event(EndpointEvent::Reserve { key, tokens, hold });
            }
            Step::Renew(key, hold) => {
                let (key, hold) = (attempt_key(key), Duration::from_millis(*hold));
                self.handle_event(EndpointEvent::Renew { key, hold });
            }
            Step::Release(key) => self.handle_event(EndpointEvent::Release(attempt_key(key))),
            Step::Segment(key) => self.segment(attempt_key(key)),
            Step::Drain(draining) => {
                self.draining = *draining;
                self.handle_event(EndpointEvent::Drain(*draining));
            }
        }
    }

    fn submit(&mut self, order: &StepOrder) {
        let incarnation = self.incarnation + u64::from(order.other_incarnation);
        self.remaining = Duration::from_millis(order.remaining_ms);
        let tiers = [
            PriorityTier::Batch,
            PriorityTier::Standard,
            PriorityTier::Interactive,
        ];
        self.handle_event(EndpointEvent::Submit(WorkOrder {
            key: AttemptKey {
                request: order.key.request,
                attempt: order.key.attempt,
                incarnation,
            },
            service: "service".into(),
            organisation: format!("org{}", order.prompt % 3).into(),
            tier: tiers[usize::from(order.tier)],
            weight: 1,
            remaining: self.remaining,
            prompt_tokens: order.prompt,
            answer_tokens: 10,
            non_idempotent: order.non_idempotent,
            predicted: Duration::ZERO,
            span: order.span.then(|| "a".into()).into_iter().collect(),
        }));
    }

    fn run_at(&self, index: usize) -> Option<RequestId> {
        let count = self.engine.len().max(1);
        self.engine.keys().nth(index % count).copied()
    }

    fn engine_started(&mut self, index: usize) {
        let Some(request) = self.run_at(index) else {
            return;
        };
        let run = self.engine.get_mut(&request).unwrap();
        run.started = true;
        let key = run.key;
        self.handle_event(EndpointEvent::EngineStarted(key));
    }

    fn engine_bytes(&mut self, index: usize, length: u64) {
        let Some(request) = self.run_at(index) else {
            return;
        };
        let run = self.engine.get_mut(&request).unwrap();
        run.started = true;
        run.bytes += length;
        let key = run.key;
        self.handle_event(EndpointEvent::EngineBytes { key, length });
    }

    fn engine_ends(&mut self, index: usize, result: impl Fn(&EngineRun) -> EngineResult) {
        let Some(request) = self.run_at(index) else {
            return;
        };
        let run = self.engine.remove(&request).unwrap();
        let result = result(&run);
        let event = EndpointEvent::EngineEnded {
            key: run.key,
            result,
        };
        self.last_end = Some(event.clone());
        self.handle_event(event);
    }

    fn engine_refuses(&mut self, index: usize) {
        let request = self.run_at(index);
        if request.is_some_and(|request| !self.engine[&request].started) {
            self.ran.remove(&request.unwrap());
            let detail = String::new();
            self.engine_ends(index, |_| EngineResult::Refused {
                detail: detail.clone(),
            });
        }
    }

    fn reconnect_engine(&mut self) {
        self.handle_event(EndpointEvent::EngineDown);
        self.handle_event(EndpointEvent::EngineUp);
        self.next_poll = self.now + FIRST_POLL;
    }

    /// Restarts the sidecar, which loses its state. The engine continues.
    fn restart(&mut self) {
        self.incarnation += 2;
        self.core = new_core(self.incarnation, self.safeguards);
        self.process_started = self.now;
        self.wake = None;
        self.next_poll = self.now + FIRST_POLL;
        // A process polls the allocations itself, so no list is older than its start.
        self.last_allocations = self.allocations();
        self.open.clear();
        self.not_run.clear();
        self.ran.clear();
        // The bound applies from the last start of the sidecar, since its earlier state is lost.
        self.unowned_since.clear();
        self.draining = false;
    }

    /// Prefills a part of a span into reserved memory.
    fn segment(&mut self, key: AttemptKey) {
        if self.core.holds_reservation(key) {
            self.engine.entry(key.request).or_insert(EngineRun {
                key,
                tokens: 50,
                started: false,
                bytes: 0,
            });
        }
    }

    fn advance(&mut self, until: Timestamp) {
        loop {
            let wake = self.wake.map_or(until, |wake| wake + self.process_started);
            let next = wake.min(self.next_poll).min(until);
            self.now = next.max(self.now);
            if self.next_poll <= self.now {
                self.poll();
            } else if wake <= self.now && self.wake.is_some() {
                self.handle_event(EndpointEvent::Tick);
            } else {
                return;
            }
        }
    }

    fn poll(&mut self) {
        self.next_poll = self.now + POLL;
        self.last_allocations = self.allocations();
        self.handle_event(EndpointEvent::EngineAllocations(
            self.last_allocations.clone(),
        ));
    }

    fn allocations(&self) -> Vec<EngineAllocation> {
        let allocations = self.engine.iter().map(|(request, run)| EngineAllocation {
            request: *request,
            tokens: run.tokens,
        });
        allocations.collect()
    }

    fn handle_event(&mut self, event: EndpointEvent) {
        self.pending.push(event);
        while let Some(event) = self.pending.pop() {
            let now = self.now - self.process_started;
            self.wake = self.wake.filter(|wake| *wake > now);
            let actions = self.core.handle(now, event);
            for (index, action) in actions.iter().enumerate() {
                self.check_action(action, actions.get(index + 1));
            }
            self.check();
        }
    }

    fn check_action(&mut self, action: &EndpointAction, next: Option<&EndpointAction>) {
        match action {
            EndpointAction::Accept(key)
                if !matches!(next, Some(EndpointAction::ResumeFrom { .. })) =>
            {
                self.open_request(key);
            }
            EndpointAction::Refuse { key, end } if end.ran == RanState::No => {
                self.check_not_run(key);
            }
            EndpointAction::Start(key) => self.check_start(key),
            EndpointAction::CancelOnEngine(request) => self.check_cancel(*request),
            EndpointAction::EndAnswer { key, end } => self.check_end(key, end),
            EndpointAction::Verdict {
                key,
                verdict: RevokeVerdict::Revoked,
            } => self.check_not_run(key),
            EndpointAction::WakeAt(at) => self.wake = Some(*at),
            _ => {}
        }
    }

    fn open_request(&mut self, key: &AttemptKey) {
        let request = OpenRequest {
            deadline: self.now + self.remaining,
            ended: false,
        };
        let before = self.open.insert(key.request, request);
        if before.is_some_and(|request| !request.ended) {
            self.violations.insert(Violation::StartedTwice);
        }
    }

    fn check_not_run(&mut self, key: &AttemptKey) {
        if key.incarnation != self.incarnation {
            return;
        }
        let attempt = self.not_run.entry(key.request).or_default();
        *attempt = key.attempt.max(*attempt);
        let run = self.engine.get(&key.request);
        if run.is_some_and(|run| run.key == *key && self.starts.contains(key)) {
            self.violations.insert(Violation::StartedAfterNotRun);
        }
    }

    fn check_start(&mut self, key: &AttemptKey) {
        self.started += 1;
        let not_run_attempt = self.not_run.get(&key.request).copied().unwrap_or(0);
        if key.attempt <= not_run_attempt {
            self.violations.insert(Violation::StartedAfterNotRun);
        }
        if self.draining {
            self.violations.insert(Violation::StartedWhileDraining);
        }
        let is_segment = |run: &EngineRun| !self.starts.contains(&run.key);
        let existing = self.engine.get(&key.request);
        let already_running = existing.is_some_and(|run| !is_segment(run));
        let already_ran = !self.ran.insert(key.request);
        if !self.starts.insert(*key) || already_running || already_ran {
            self.violations.insert(Violation::StartedTwice);
        }
        let run = EngineRun {
            key: *key,
            tokens: 50,
            started: false,
            bytes: 0,
        };
        self.engine.insert(key.request, run);
    }

    fn check_cancel(&mut self, request: RequestId) {
        self.unowned_since.insert(request, self.now);
        if self.cancels_to_lose > 0 {
            self.cancels_to_lose -= 1;
            return;
        }
        let Some(run) = self.engine.remove(&request) else {
            return;
        };
        // Half of the cancellations are confirmed. The others show only in the reported
        // allocations.
        if request.is_multiple_of(2) {
            let result = EngineResult::Cancelled;
            let key = run.key;
            self.pending
                .push(EndpointEvent::EngineEnded { key, result });
        }
    }

    fn check_end(&mut self, key: &AttemptKey, end: &AnswerEnd) {
        let Some(request) = self.open.get_mut(&key.request) else {
            self.violations.insert(Violation::EndedTwice);
            return;
        };
        if request.ended {
            self.violations.insert(Violation::EndedTwice);
        }
        request.ended = true;
        if end.ran == RanState::No {
            self.check_not_run(key);
        }
    }

    fn check(&mut self) {
        let ledger = self.core.ledger();
        let sum: u64 = ledger.leases().map(|(_, lease)| lease.tokens).sum();
        if sum != ledger.leased() || sum > MEMORY {
            self.violations.insert(Violation::LedgerInconsistent);
        }
        let mut open = self.open.values();
        if open.any(|request| !request.ended && request.deadline < self.now) {
            self.violations.insert(Violation::NoEndInTime);
        }
        self.check_owners();
    }

    fn check_owners(&mut self) {
        for (request, run) in &self.engine {
            let open = self.open.get(request).is_some_and(|open| !open.ended);
            let started = run.key.incarnation == self.incarnation && open;
            // A newer attempt takes over the reservation of its request and the memory in it.
            if started || self.core.ledger().is_reserved(*request) {
                self.unowned_since.remove(request);
                continue;
            }
            let since = *self.unowned_since.entry(*request).or_insert(self.now);
            if since + ORPHAN_BOUND < self.now {
                self.violations.insert(Violation::OrphanKept);
            }
        }
        let engine = &self.engine;
        self.unowned_since
            .retain(|request, _| engine.contains_key(request));
    }
}

fn new_core(incarnation: u64, safeguards: EndpointSafeguards) -> EndpointCore {
    let limits = EndpointLimits::default()
        .with_memory_tokens(MEMORY)
        .with_concurrency(4)
        .with_queue_length(6);
    EndpointCore::new(incarnation, limits).with_safeguards(safeguards)
}
