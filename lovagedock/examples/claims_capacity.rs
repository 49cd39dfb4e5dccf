//! Measures claims per store write, and the latency that claims add to a request: `cargo run
//! --release --example claims_capacity`.
//!
//! Partitions are real state machines with simulated time and store. A write takes 4 to 8 ms plus
//! 10 ms per megabyte, and a read takes half of that. A granted request runs for 500 ms on average
//! and has an answer of 64 bytes. The write interval of a partition is long enough that all
//! partitions together stay below the store's rate limit. With a number as argument, only the cases
//! of that rate run.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use bytes::Bytes;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimLimits, ClaimPartition, ClaimRequest, KeyHash, ObjectVersion,
    ReadOutcome, RequestId, ResultCode, Timestamp, WriteCondition, WriteOutcome,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STORE_WRITES_PER_SECOND: u64 = 300;
const WINDOW: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(24);
const END: Duration = Duration::from_secs(32);
const REQUEST_TIME: Duration = Duration::from_secs(10);
const MEAN_RUN_SECONDS: f64 = 0.5;
const ANSWER_BYTES: usize = 64;
const ALL_REQUESTS: f64 = 43_000.0;

struct LoadCase {
    claims_per_second: f64,
    partitions: usize,
    gateways: usize,
}

const fn load(claims_per_second: f64, partitions: usize, gateways: usize) -> LoadCase {
    LoadCase {
        claims_per_second,
        partitions,
        gateways,
    }
}

/// One gateway writes each partition, as with home gateways.
const HOME_CASES: &[LoadCase] = &[
    load(5.0, 4, 1),
    load(43.0, 4, 1),
    load(430.0, 4, 1),
    load(430.0, 16, 1),
    load(430.0, 64, 1),
    load(1_300.0, 16, 1),
    load(1_300.0, 64, 1),
    load(4_300.0, 64, 1),
    load(4_300.0, 150, 1),
    load(13_000.0, 64, 1),
    load(13_000.0, 150, 1),
    load(43_000.0, 64, 1),
    load(43_000.0, 150, 1),
];

/// Claims of a partition arrive at several gateways, all of which write it.
const SPREAD_CASES: &[LoadCase] = &[
    load(40.0, 1, 1),
    load(40.0, 1, 2),
    load(40.0, 1, 4),
    load(40.0, 1, 8),
    load(40.0, 1, 16),
];

fn main() {
    println!(
        "Store: {STORE_WRITES_PER_SECOND} writes/s shared by all partitions; window {WINDOW:?}.\n"
    );
    println!(
        "| claims/s | % of 43,000 | partitions | gateways writing each | writes/s | conflicts/s | \
         claims per write | added p50 ms | added p99 ms | record p50 ms | record p99 ms | refused % \
         | largest object KB | MB/s written |"
    );
    println!("|{}", "---|".repeat(14));
    let only: Option<f64> = std::env::args().nth(1).and_then(|rate| rate.parse().ok());
    for case in SPREAD_CASES.iter().chain(HOME_CASES) {
        if only.is_some_and(|rate| rate != case.claims_per_second) {
            continue;
        }
        CapacitySimulation::new(case).run().print(case);
    }
}

enum Step {
    Arrive(usize),
    Event(usize, ClaimEvent),
    Call(usize, ClaimAction),
    Record(usize, KeyHash, RequestId),
}

#[derive(Default)]
struct Report {
    writes: usize,
    conflicts: usize,
    bytes: usize,
    claims: usize,
    granted: usize,
    refused: usize,
    largest: usize,
    added: Vec<Duration>,
    record: Vec<Duration>,
}

struct CapacitySimulation<'a> {
    case: &'a LoadCase,
    rng: ChaCha8Rng,
    now: Timestamp,
    count: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: BTreeMap<u64, Step>,
    machines: Vec<ClaimPartition>,
    objects: Vec<Option<(ObjectVersion, Bytes)>>,
    arrived: BTreeMap<RequestId, (KeyHash, Timestamp)>,
    recorded: BTreeMap<RequestId, Timestamp>,
    report: Report,
}

impl<'a> CapacitySimulation<'a> {
    fn new(case: &'a LoadCase) -> Self {
        let write_interval =
            Duration::from_secs(case.partitions as u64) / STORE_WRITES_PER_SECOND as u32;
        let limits = ClaimLimits {
            window: WINDOW,
            write_interval,
            ..ClaimLimits::default()
        };
        let machines = (0..case.partitions * case.gateways).map(|index| {
            let partition = (index / case.gateways) as u32;
            ClaimPartition::new(partition, index as u64 + 1, limits.clone())
        });
        let mut simulation = Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Duration::ZERO,
            count: 0,
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            machines: machines.collect(),
            objects: vec![None; case.partitions],
            arrived: BTreeMap::new(),
            recorded: BTreeMap::new(),
            report: Report::default(),
        };
        simulation.schedule_arrival();
        simulation
    }

    fn run(mut self) -> Report {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match self.steps.remove(&id).expect("step is queued once") {
                Step::Arrive(machine) => self.arrive(machine),
                Step::Event(machine, event) => self.handle(machine, event),
                Step::Call(machine, call) => self.end_call(machine, call),
                Step::Record(machine, key, request) => self.record(machine, key, request),
            }
        }
        self.report
    }

    fn measures(&self) -> bool {
        self.now >= WARM_UP
    }

    fn schedule_arrival(&mut self) {
        let machine = self.rng.random_range(0..self.machines.len());
        let gap = self.exponential(1.0 / self.case.claims_per_second);
        self.push(self.now + gap, Step::Arrive(machine));
    }

    fn arrive(&mut self, machine: usize) {
        self.schedule_arrival();
        let mut key = [0; 16];
        self.rng.fill_bytes(&mut key);
        let request = RequestId::from(self.count);
        self.arrived.insert(request, (key, self.now));
        self.report.claims += usize::from(self.measures());
        let claim = ClaimRequest {
            key,
            request,
            body: key,
            deadline: self.now + REQUEST_TIME,
        };
        self.handle(machine, ClaimEvent::Claim(claim));
    }

    fn record(&mut self, machine: usize, key: KeyHash, request: RequestId) {
        self.recorded.insert(request, self.now);
        let event = ClaimEvent::Record {
            key,
            request,
            answer: Bytes::from(vec![7; ANSWER_BYTES]),
            deadline: self.now + REQUEST_TIME,
        };
        self.handle(machine, event);
    }

    fn handle(&mut self, machine: usize, event: ClaimEvent) {
        for action in self.machines[machine].handle(self.now, event) {
            self.act(machine, action);
        }
    }

    fn act(&mut self, machine: usize, action: ClaimAction) {
        let measures = self.measures();
        match action {
            ClaimAction::WakeAt(at) => self.push(at, Step::Event(machine, ClaimEvent::Tick)),
            ClaimAction::Grant { request } => {
                let (key, arrived) = self.arrived.remove(&request).expect("arrived");
                if measures {
                    self.report.granted += 1;
                    self.report.added.push(self.now - arrived);
                }
                let run = self.exponential(MEAN_RUN_SECONDS);
                self.push(self.now + run, Step::Record(machine, key, request));
            }
            ClaimAction::Recorded { request } => {
                let since = self.recorded.remove(&request).expect("is recorded");
                if measures {
                    self.report.record.push(self.now - since);
                }
            }
            ClaimAction::Refuse { request, code } => {
                assert_eq!(code, ResultCode::ClaimUnavailable);
                self.arrived.remove(&request);
                self.report.refused += usize::from(measures);
            }
            ClaimAction::Read { .. } => {
                let time = self.call_time(0) / 2;
                self.push(self.now + time, Step::Call(machine, action));
            }
            ClaimAction::Write { ref bytes, .. } => {
                if measures {
                    self.report.writes += 1;
                    self.report.bytes += bytes.len();
                    self.report.largest = self.report.largest.max(bytes.len());
                }
                let time = self.call_time(bytes.len());
                self.push(self.now + time, Step::Call(machine, action));
            }
            ClaimAction::NotRecorded { .. } => {}
            ClaimAction::Delete { nonce, .. } => {
                self.report.writes += usize::from(measures);
                let outcome = WriteOutcome::Applied(1);
                let event = ClaimEvent::StoreWriteEnded { nonce, outcome };
                let time = self.call_time(0);
                self.push(self.now + time, Step::Event(machine, event));
            }
            other => panic!("unexpected action: {other:?}"),
        }
    }

    fn end_call(&mut self, machine: usize, call: ClaimAction) {
        let slot = &mut self.objects[machine / self.case.gateways];
        let event = match call {
            ClaimAction::Read { object } => {
                let outcome = match slot.clone() {
                    None => ReadOutcome::Absent,
                    Some((version, bytes)) => ReadOutcome::Found { version, bytes },
                };
                ClaimEvent::StoreReadEnded { object, outcome }
            }
            ClaimAction::Write { object, nonce, .. } if object.contains("answers") => {
                // The answer did not fit into its partition.
                let outcome = WriteOutcome::Applied(1);
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            ClaimAction::Write {
                condition,
                bytes,
                nonce,
                ..
            } => {
                let version = slot.as_ref().map(|(version, _)| *version);
                let expected = match condition {
                    WriteCondition::Version(version) => Some(version),
                    WriteCondition::Absent | WriteCondition::Always => None,
                };
                let outcome = if version == expected {
                    let next = version.unwrap_or(0) + 1;
                    *slot = Some((next, bytes));
                    WriteOutcome::Applied(next)
                } else {
                    self.report.conflicts += usize::from(self.now >= WARM_UP);
                    WriteOutcome::Conflict
                };
                ClaimEvent::StoreWriteEnded { nonce, outcome }
            }
            other => panic!("not a store call: {other:?}"),
        };
        self.handle(machine, event);
    }

    fn call_time(&mut self, bytes: usize) -> Duration {
        let base = self.rng.random_range(4_000..8_000);
        Duration::from_micros(base + bytes as u64 / 100)
    }

    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let drawn: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-drawn.ln() * mean_seconds)
    }

    fn push(&mut self, at: Timestamp, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.steps.insert(self.count, step);
    }
}

impl Report {
    fn print(mut self, case: &LoadCase) {
        let seconds = (END - WARM_UP).as_secs_f64();
        self.added.sort();
        self.record.sort();
        println!(
            "| {} | {:.1} | {} | {} | {:.0} | {:.1} | {:.1} | {} | {} | {} | {} | {:.1} | {} | {:.1} |",
            case.claims_per_second,
            case.claims_per_second / ALL_REQUESTS * 100.0,
            case.partitions,
            case.gateways,
            self.writes as f64 / seconds,
            self.conflicts as f64 / seconds,
            self.granted as f64 / self.writes.max(1) as f64,
            quantile_ms(&self.added, 0.5),
            quantile_ms(&self.added, 0.99),
            quantile_ms(&self.record, 0.5),
            quantile_ms(&self.record, 0.99),
            self.refused as f64 / self.claims.max(1) as f64 * 100.0,
            self.largest / 1_000,
            self.bytes as f64 / seconds / 1e6,
        );
    }
}

fn quantile_ms(sorted: &[Duration], share: f64) -> u128 {
    let index = (sorted.len().saturating_sub(1)) as f64 * share;
    sorted.get(index as usize).map_or(0, Duration::as_millis)
}
