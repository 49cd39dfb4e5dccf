//! Several gateways, one faulty store and an endpoint that counts executions, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use bytes::Bytes;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimLimits, ClaimPartition, ClaimRequest, DurableSafeguards, KeyHash,
    RequestId, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::store::FakeStore;

mod calls;
mod endpoint;

/// Fault rates in percent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultRates {
    pub(crate) lost_confirmation: u32,
    pub(crate) unavailable: u32,
    pub(crate) crash: u32,
    pub(crate) pause: u32,
    pub(crate) owner_silent: u32,
    pub(crate) abandon: u32,
}

/// Parameters of a schedule.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    pub(crate) keys: u8,
    pub(crate) requests: usize,
    pub(crate) faults: FaultRates,
    pub(crate) safeguards: DurableSafeguards,
    pub(crate) limits: ClaimLimits,
}

/// Results of a schedule.
#[derive(Debug, Default)]
pub(crate) struct SimulationReport {
    pub(crate) violations: Vec<String>,
    pub(crate) granted: usize,
    pub(crate) replayed: usize,
    pub(crate) recorded: usize,
    pub(crate) refused: BTreeMap<u16, usize>,
    pub(crate) partition_writes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    ApplyCall(u64),
    Report(u64),
    Tick(usize, u32),
    Finish(RequestId),
    Crash(usize),
    Resume(usize),
}

#[derive(Debug)]
struct Call {
    gateway: usize,
    incarnation: u32,
    action: ClaimAction,
    outcome: Option<ClaimEvent>,
    takes_effect: bool,
    confirmed: bool,
}

#[derive(Debug)]
struct Gateway {
    machine: ClaimPartition,
    incarnation: u32,
    started: Timestamp,
    paused: bool,
    pending_events: Vec<(u32, ClaimEvent)>,
}

#[derive(Debug)]
struct RequestState {
    key: KeyHash,
    gateway: usize,
    incarnation: u32,
    deadline: Timestamp,
    ended: bool,
    ran: bool,
}

/// Simulation of one schedule.
pub(crate) struct ClaimSimulation {
    schedule: Schedule,
    rng: ChaCha8Rng,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Step)>>,
    count: u64,
    store: FakeStore,
    calls: BTreeMap<u64, Call>,
    gateways: Vec<Gateway>,
    request_states: BTreeMap<RequestId, RequestState>,
    runs: BTreeMap<KeyHash, Vec<RequestId>>,
    answers: BTreeMap<KeyHash, BTreeSet<Bytes>>,
    produced: BTreeMap<RequestId, Bytes>,
    report: SimulationReport,
}

impl ClaimSimulation {
    pub(crate) fn new(schedule: Schedule) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(schedule.seed);
        let mut simulation = Self {
            rng,
            now: Duration::from_secs(1_000),
            queue: BinaryHeap::new(),
            count: 0,
            store: FakeStore::default(),
            calls: BTreeMap::new(),
            gateways: Vec::new(),
            request_states: BTreeMap::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            produced: BTreeMap::new(),
            report: SimulationReport::default(),
            schedule,
        };
        for index in 0..simulation.schedule.gateways {
            let gateway = simulation.start_gateway(index, 0);
            simulation.gateways.push(gateway);
        }
        for index in 0..simulation.schedule.requests {
            let at = simulation.now + simulation.millis(0..3_000);
            simulation.push(at, Step::Arrive(index));
        }
        simulation
    }

    /// Runs the schedule to its end.
    pub(crate) fn run(mut self) -> SimulationReport {
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            self.now = at;
            if at > Duration::from_secs(1_000 + 120) {
                break;
            }
            self.step(step);
        }
        self.check_end();
        self.report
    }

    fn start_gateway(&mut self, index: usize, incarnation: u32) -> Gateway {
        let owner = (index as u64 + 1) * 1_000 + u64::from(incarnation);
        let machine = ClaimPartition::new(0, owner, self.schedule.limits.clone())
            .with_safeguards(self.schedule.safeguards);
        Gateway {
            machine,
            incarnation,
            // Each process has a different clock.
            started: self.now - Duration::from_secs(17 * (index as u64 + 1)),
            paused: false,
            pending_events: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(index) => self.arrive(index),
            Step::ApplyCall(call) => self.apply_call(call),
            Step::Report(call) => self.report_call(call),
            Step::Tick(gateway, incarnation) => {
                self.deliver(gateway, incarnation, ClaimEvent::Tick)
            }
            Step::Finish(request) => self.finish(request),
            Step::Crash(gateway) => self.crash(gateway),
            Step::Resume(gateway) => self.resume(gateway),
        }
    }

    fn arrive(&mut self, index: usize) {
        let gateway = self.rng.random_range(0..self.schedule.gateways);
        if self.chance(self.schedule.faults.crash) {
            let at = self.now + self.millis(0..40);
            self.push(at, Step::Crash(gateway));
        }
        if self.chance(self.schedule.faults.pause) {
            self.gateways[gateway].paused = true;
            let at = self.now + self.millis(100..6_000);
            self.push(at, Step::Resume(gateway));
        }
        let key = [self.rng.random_range(0..self.schedule.keys); 16];
        let request = index as RequestId + 1;
        let timeout = self.millis(200..4_000);
        let local = self.now - self.gateways[gateway].started;
        let incarnation = self.gateways[gateway].incarnation;
        let state = RequestState {
            key,
            gateway,
            incarnation,
            deadline: self.now + timeout,
            ended: false,
            ran: false,
        };
        self.request_states.insert(request, state);
        let claim = ClaimRequest {
            key,
            request,
            body: key,
            deadline: local + timeout,
        };
        self.deliver(gateway, incarnation, ClaimEvent::Claim(claim));
    }

    fn deliver(&mut self, gateway: usize, incarnation: u32, event: ClaimEvent) {
        let target = &mut self.gateways[gateway];
        if target.incarnation != incarnation {
            return;
        }
        if target.paused {
            target.pending_events.push((incarnation, event));
            return;
        }
        let local = self.now - target.started;
        let actions = target.machine.handle(local, event);
        for action in actions {
            self.act(gateway, incarnation, action);
        }
    }

    fn act(&mut self, gateway: usize, incarnation: u32, action: ClaimAction) {
        match action {
            ClaimAction::Grant { request } => self.grant(request),
            ClaimAction::Replay { request, answer } => {
                self.report.replayed += 1;
                self.record_end(request);
                self.record_answer(request, answer);
            }
            ClaimAction::Refuse { request, code } => {
                *self.report.refused.entry(code.number()).or_default() += 1;
                self.record_end(request);
            }
            ClaimAction::Recorded { request } => {
                self.report.recorded += 1;
                let answer = self.produced[&request].clone();
                self.record_answer(request, answer);
            }
            ClaimAction::NotRecorded { .. } | ClaimAction::InProgress { .. } => {}
            ClaimAction::WakeAt(at) => {
                let at = self.gateways[gateway].started + at;
                self.push(at, Step::Tick(gateway, incarnation));
            }
            ClaimAction::Read { .. } | ClaimAction::Write { .. } | ClaimAction::Delete { .. } => {
                self.call(gateway, incarnation, action);
            }
        }
    }

    fn crash(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].incarnation + 1;
        self.gateways[gateway] = self.start_gateway(gateway, incarnation);
        let lost = |d: &&mut RequestState| d.gateway == gateway && d.incarnation < incarnation;
        for state in self.request_states.values_mut().filter(lost) {
            state.ended = true;
        }
    }

    fn resume(&mut self, gateway: usize) {
        self.gateways[gateway].paused = false;
        for (incarnation, event) in std::mem::take(&mut self.gateways[gateway].pending_events) {
            self.deliver(gateway, incarnation, event);
        }
    }

    fn push(&mut self, at: Timestamp, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, step)));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}
