//! Contenders with separate clocks, one faulty store and one receiver of orders.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lovagedock::{
    DurableSafeguards, Epoch, FenceMark, LeaseAction, LeaseEvent, LeaseHolder, LeaseLimits,
    ReadOutcome, Timestamp, WriteOutcome,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::store::FakeStore;

const CONTENDERS: usize = 3;
const SCHEDULE: Duration = Duration::from_secs(240);
const RELEASE_PAUSE: Duration = Duration::from_secs(3);
const ORDER_INTERVAL: Duration = Duration::from_millis(200);

/// Fault rates in percent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseFaults {
    pub(crate) lost_confirmation: u32,
    pub(crate) unavailable: u32,
    /// Rate per order interval, in tenths of a percent.
    pub(crate) pause: u32,
    pub(crate) release: u32,
}

/// Results of a schedule.
#[derive(Debug, Default)]
pub(crate) struct LeaseReport {
    pub(crate) violations: Vec<String>,
    pub(crate) epochs: BTreeMap<Epoch, usize>,
    pub(crate) orders: usize,
    pub(crate) refused: usize,
}

#[derive(Clone, Debug)]
enum Step {
    ApplyCall(usize, LeaseAction, bool, bool),
    Event(usize, LeaseEvent),
    GiveOrder(usize),
    Order(usize, Epoch),
    Resume(usize),
}

struct Contender {
    machine: LeaseHolder,
    offset: Duration,
    /// Rate of its clock, in thousandths.
    rate: u32,
    paused: bool,
    pending_events: Vec<LeaseEvent>,
}

/// Simulation of one schedule.
pub(crate) struct LeaseSimulation {
    rng: ChaCha8Rng,
    faults: LeaseFaults,
    now: Timestamp,
    count: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: BTreeMap<u64, Step>,
    store: FakeStore,
    contenders: Vec<Contender>,
    receiver: FenceMark,
    applied: Epoch,
    report: LeaseReport,
}

impl LeaseSimulation {
    pub(crate) fn new(seed: u64, faults: LeaseFaults, safeguards: DurableSafeguards) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let contenders = (0..CONTENDERS).map(|index| Contender {
            machine: LeaseHolder::new(
                "leases/pool".into(),
                index as u64 + 1,
                LeaseLimits::default(),
            )
            .with_safeguards(safeguards),
            offset: Duration::from_secs(rng.random_range(1..1_000)),
            rate: rng.random_range(980..1_020),
            paused: false,
            pending_events: Vec::new(),
        });
        let contenders = contenders.collect();
        let mut simulation = Self {
            rng,
            faults,
            now: Duration::ZERO,
            count: 0,
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            store: FakeStore::default(),
            contenders,
            receiver: FenceMark::new(0),
            applied: 0,
            report: LeaseReport::default(),
        };
        for index in 0..CONTENDERS {
            simulation.push(Duration::ZERO, Step::Event(index, LeaseEvent::Want));
            simulation.push(ORDER_INTERVAL, Step::GiveOrder(index));
        }
        simulation
    }

    pub(crate) fn run(mut self) -> LeaseReport {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > SCHEDULE {
                break;
            }
            self.now = at;
            let step = self.steps.remove(&id).expect("step is queued once");
            self.step(step);
            self.check_holders();
        }
        self.report
    }

    fn local_time(&self, index: usize) -> Timestamp {
        let contender = &self.contenders[index];
        contender.offset + self.now * contender.rate / 1_000
    }

    fn global_time(&self, index: usize, local: Timestamp) -> Timestamp {
        let contender = &self.contenders[index];
        local.saturating_sub(contender.offset) * 1_000 / contender.rate + Duration::from_micros(1)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Event(index, event) => self.deliver(index, event),
            Step::ApplyCall(index, action, takes_effect, confirmed) => {
                self.apply_call(index, action, takes_effect, confirmed);
            }
            Step::GiveOrder(index) => self.give_order(index),
            Step::Order(index, epoch) => self.order(index, epoch),
            Step::Resume(index) => {
                self.contenders[index].paused = false;
                for event in std::mem::take(&mut self.contenders[index].pending_events) {
                    self.deliver(index, event);
                }
            }
        }
    }

    fn deliver(&mut self, index: usize, event: LeaseEvent) {
        let now = self.local_time(index);
        let contender = &mut self.contenders[index];
        if contender.paused {
            contender.pending_events.push(event);
            return;
        }
        for action in contender.machine.handle(now, event) {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: LeaseAction) {
        match action {
            LeaseAction::WakeAt(at) => {
                let at = self.global_time(index, at);
                self.push(at, Step::Event(index, LeaseEvent::Tick));
            }
            LeaseAction::Acquired { epoch, .. } => {
                let holder = *self.report.epochs.entry(epoch).or_insert(index);
                if holder != index {
                    let text = format!("epoch {epoch} has two holders");
                    self.report.violations.push(text);
                }
            }
            LeaseAction::Renewed { .. } | LeaseAction::Lost { .. } => {}
            LeaseAction::Read { .. } | LeaseAction::Write { .. } => {
                let takes_effect = !self.chance(self.faults.unavailable);
                let confirmed = !self.chance(self.faults.lost_confirmation);
                // Some calls are slow, and the reply arrives long after the write took effect.
                let delay = match self.chance(10) {
                    true => self.millis(500..4_000),
                    false => self.millis(1..30),
                };
                if let (LeaseAction::Write { nonce, .. }, false) = (&action, confirmed) {
                    let event = LeaseEvent::StoreWriteEnded {
                        nonce: *nonce,
                        outcome: WriteOutcome::Unknown,
                    };
                    // The write may still take effect after the daemon's call has timed out.
                    let at = self.now + self.millis(1..60);
                    self.push(at, Step::Event(index, event));
                }
                let at = self.now + delay;
                self.push(at, Step::ApplyCall(index, action, takes_effect, confirmed));
            }
        }
    }

    fn apply_call(
        &mut self,
        index: usize,
        action: LeaseAction,
        takes_effect: bool,
        confirmed: bool,
    ) {
        let event = match action {
            LeaseAction::Read { object } => LeaseEvent::StoreReadEnded(match takes_effect {
                true => self.store.read(&object),
                false => ReadOutcome::Unavailable,
            }),
            LeaseAction::Write {
                object,
                condition,
                bytes,
                nonce,
            } => {
                let outcome = match takes_effect {
                    true => self.store.write(&object, condition, bytes),
                    false => WriteOutcome::Unavailable,
                };
                if !confirmed {
                    return;
                }
                LeaseEvent::StoreWriteEnded { nonce, outcome }
            }
            other => panic!("not a store call: {other:?}"),
        };
        let delay = match self.chance(10) {
            true => self.millis(500..6_000),
            false => self.millis(1..30),
        };
        self.push(self.now + delay, Step::Event(index, event));
    }

    fn give_order(&mut self, index: usize) {
        self.push(self.now + ORDER_INTERVAL, Step::GiveOrder(index));
        if self.contenders[index].paused {
            return;
        }
        let fence = self.contenders[index].machine.fence(self.local_time(index));
        if let Some(epoch) = fence {
            // The process may be paused between the check of its fence and the sending of the
            // order.
            let delay = match self.chance(3) {
                true => self.millis(5_000..40_000),
                false => self.millis(1..20),
            };
            self.push(self.now + delay, Step::Order(index, epoch));
        }
        if fence.is_some() && self.chance(self.faults.release) {
            self.deliver(index, LeaseEvent::Release);
            self.push(
                self.now + RELEASE_PAUSE,
                Step::Event(index, LeaseEvent::Want),
            );
        }
        if self.rng.random_range(0..1_000) < self.faults.pause {
            self.contenders[index].paused = true;
            let at = self.now + self.millis(1_000..30_000);
            self.push(at, Step::Resume(index));
        }
    }

    fn order(&mut self, index: usize, epoch: Epoch) {
        if !self.receiver.admit(epoch) {
            self.report.refused += 1;
            return;
        }
        self.report.orders += 1;
        if epoch < self.applied || self.report.epochs.get(&epoch) != Some(&index) {
            let text = format!(
                "an order of epoch {epoch} took effect after {}",
                self.applied
            );
            self.report.violations.push(text);
        }
        self.applied = epoch;
    }

    fn check_holders(&mut self) {
        let holders = (0..CONTENDERS).filter(|index| {
            let now = self.local_time(*index);
            self.contenders[*index].machine.fence(now).is_some()
        });
        let holders: Vec<usize> = holders.collect();
        if holders.len() > 1 {
            let text = format!(
                "{holders:?} hold the lease at the same time at {:?}",
                self.now
            );
            self.report.violations.push(text);
        }
    }

    fn push(&mut self, at: Timestamp, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count)));
        self.steps.insert(self.count, step);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}
