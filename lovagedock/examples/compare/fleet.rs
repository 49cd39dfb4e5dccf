//! Simulation of gateways with delayed reports and single-queue engines in virtual time.

use std::{
    cmp::Ordering,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use lovagedock::{
    EndpointId, EndpointReport, LengthBucket, PlacementChoice, PlacementPolicy, PlacementRequest,
    PlacementSpec, PoolState, PriorityTier, SentWork, TokenCount, build_policy,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    engine::{ENGINE_MEMORY, Engine, EngineJob, EngineOrder},
    traffic::{Arrival, arrivals},
};

const REPORT_SECONDS: f64 = 0.5;
const REPORT_LAG_SECONDS: f64 = 0.15;
const DOMAINS: usize = 3;
const SPEED_SPREAD: f64 = 0.15;

/// Settings of one run.
#[derive(Clone, Debug)]
pub(crate) struct FleetSetup {
    pub(crate) spec: PlacementSpec,
    pub(crate) seed: u64,
    pub(crate) load: f64,
    pub(crate) engines: usize,
    pub(crate) gateways: usize,
    pub(crate) seconds: f64,
    pub(crate) order: EngineOrder,
    pub(crate) with_long: bool,
    pub(crate) with_backlog: bool,
}

/// Outcomes of the requests of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetResult {
    /// First-token times in seconds by bucket.
    pub(crate) first_token: [Vec<f64>; 6],
    pub(crate) in_time: u64,
    /// Requests whose first token was late or that were dropped from a queue.
    pub(crate) late: u64,
    pub(crate) refused: [u64; 6],
    /// Prompt tokens of the requests whose first token was in time.
    pub(crate) good_tokens: TokenCount,
    pub(crate) cross_domain: u64,
}

impl FleetResult {
    pub(crate) fn p95(&self, bucket: LengthBucket) -> f64 {
        let mut sorted = self.first_token[bucket.index()].clone();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * 0.95).ceil() as usize;
        sorted
            .get(at.saturating_sub(1))
            .copied()
            .unwrap_or(f64::NAN)
    }
}

enum Event {
    Arrive(usize),
    Prefilled { engine: usize, start: u64 },
    Decoded { request: usize },
    Snapshot,
    Report(Vec<Arc<EndpointReport>>, f64),
}

struct TimedEvent(f64, u64, Event);

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for TimedEvent {}
impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

struct Gateway {
    pool: PoolState,
    policy: Box<dyn PlacementPolicy>,
    sent: VecDeque<(f64, EndpointId, SentWork)>,
}

struct Fleet {
    setup: FleetSetup,
    ids: Vec<EndpointId>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    arrivals: Vec<Arrival>,
    /// Engines of each request, and the number of its parts that remain to be prefilled.
    placed: Vec<(Vec<(usize, TokenCount)>, usize)>,
    events: BinaryHeap<TimedEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
    result: FleetResult,
}

/// Runs one fleet to its end.
pub(crate) fn run(setup: &FleetSetup) -> FleetResult {
    let mut traffic_rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let mut list = arrivals(
        &mut traffic_rng,
        setup.load,
        setup.engines,
        setup.gateways,
        setup.seconds,
    );
    if !setup.with_long {
        list.retain(|arrival| arrival.bucket() <= LengthBucket::K16);
    }
    let mut fleet = Fleet::new(setup.clone(), list);
    fleet.run();
    fleet.result
}

impl Fleet {
    fn new(setup: FleetSetup, arrivals: Vec<Arrival>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed ^ 0x5eed);
        let ids: Vec<EndpointId> = (0..setup.engines)
            .map(|i| format!("e{i:04}").into())
            .collect();
        let engines = ids
            .iter()
            .map(|_| {
                let spread = SPEED_SPREAD * (2.0 * rng.random::<f64>() - 1.0);
                Engine::new(setup.order, 1.0 + spread)
            })
            .collect();
        let gateways = (0..setup.gateways)
            .map(|_| Gateway::new(&setup, &ids))
            .collect();
        Self {
            placed: vec![Default::default(); arrivals.len()],
            setup,
            ids,
            engines,
            gateways,
            arrivals,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            result: FleetResult::default(),
        }
    }

    fn run(&mut self) {
        self.push(0.0, Event::Snapshot);
        for index in 0..self.arrivals.len() {
            self.push(self.arrivals[index].at, Event::Arrive(index));
        }
        while let Some(TimedEvent(now, _, event)) = self.events.pop() {
            match event {
                Event::Arrive(request) => self.arrive(now, request),
                Event::Prefilled { engine, start } => self.prefilled(now, engine, start),
                Event::Decoded { request } => self.decoded(now, request),
                Event::Snapshot => self.snapshot(now),
                Event::Report(reports, taken_at) => self.report(now, &reports, taken_at),
            }
        }
        let refused: u64 = self.result.refused.iter().sum();
        self.result.late = self.arrivals.len() as u64 - refused - self.result.in_time;
    }

    fn push(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.push(TimedEvent(at, self.sequence, event));
    }

    fn snapshot(&mut self, now: f64) {
        let with_backlog = self.setup.with_backlog;
        let reports = self
            .engines
            .iter()
            .map(|e| e.report(now, with_backlog))
            .collect();
        self.push(now + REPORT_LAG_SECONDS, Event::Report(reports, now));
        if now < self.setup.seconds {
            self.push(now + REPORT_SECONDS, Event::Snapshot);
        }
    }

    fn report(&mut self, now: f64, reports: &[Arc<EndpointReport>], taken_at: f64) {
        for gateway in &mut self.gateways {
            gateway.sent.retain(|(at, _, _)| *at >= taken_at);
            for (id, report) in self.ids.iter().zip(reports) {
                let mut unreported = SentWork::default();
                for (_, _, work) in gateway.sent.iter().filter(|(_, to, _)| to == id) {
                    unreported.add(work);
                }
                // A report was generated one lag before it arrives.
                let at = Duration::from_secs_f64(now - REPORT_LAG_SECONDS);
                gateway
                    .pool
                    .record_report(at, id, report.clone(), unreported);
            }
        }
    }

    fn arrive(&mut self, now: f64, index: usize) {
        let arrival = &self.arrivals[index];
        let request = PlacementRequest {
            id: index as u128,
            organisation: "o".into(),
            tier: PriorityTier::Standard,
            prompt_tokens: arrival.prompt,
            answer_tokens: arrival.answer,
            remaining: arrival.deadline,
            prefix_hashes: &arrival.prefix,
            own_domain: domain(arrival.gateway),
            excluded: &[],
        };
        let gateway = &mut self.gateways[arrival.gateway];
        let at = Duration::from_secs_f64(now);
        let view = gateway.pool.view();
        let choice = gateway.policy.place(at, &request, &view, &mut self.rng);
        let members = match choice {
            PlacementChoice::One { endpoint, .. } => {
                vec![(endpoint, arrival.prompt + arrival.answer)]
            }
            PlacementChoice::Span { members, .. } => members
                .into_iter()
                .map(|m| (m.endpoint, m.tokens))
                .collect(),
            PlacementChoice::Refuse { .. } => {
                self.result.refused[arrival.bucket().index()] += 1;
                return;
            }
        };
        self.submit(now, index, &members);
    }

    fn submit(&mut self, now: f64, index: usize, members: &[(EndpointId, TokenCount)]) {
        let arrival = self.arrivals[index].clone();
        let share = 1.0 / members.len() as f64;
        self.placed[index].1 = members.len();
        for (id, memory) in members {
            let engine = self
                .ids
                .iter()
                .position(|known| known == id)
                .expect("known endpoint");
            self.placed[index].0.push((engine, *memory));
            if engine % DOMAINS != arrival.gateway % DOMAINS {
                self.result.cross_domain += 1;
            }
            let job = EngineJob {
                request: index,
                prompt: arrival.prompt,
                memory: (*memory).min(ENGINE_MEMORY),
                shared: arrival.shared,
                share,
                deadline: arrival.at + arrival.deadline.as_secs_f64(),
                remaining_seconds: None,
            };
            let prefill = Duration::from_secs_f64(self.engines[engine].prefill_seconds(&job));
            let long = arrival.prompt >= self.setup.spec.long_tokens;
            let work = SentWork {
                requests: 1,
                long_requests: u32::from(long),
                tokens: *memory,
                prefill,
                long_prefill: if long { prefill } else { Duration::ZERO },
            };
            let gateway = &mut self.gateways[arrival.gateway];
            gateway.pool.record_sent(id, work);
            gateway.sent.push_back((now, id.clone(), work));
            self.engines[engine].enqueue(now, job);
        }
        for (engine, _) in self.placed[index].0.clone() {
            self.start(now, engine);
        }
    }

    fn start(&mut self, now: f64, engine: usize) {
        if let Some((end, start)) = self.engines[engine].start(now) {
            self.push(end, Event::Prefilled { engine, start });
        }
    }

    fn prefilled(&mut self, now: f64, index: usize, start: u64) {
        let engine = &mut self.engines[index];
        if engine.starts != start {
            return;
        }
        let Some((job, _)) = engine.current.take() else {
            return;
        };
        let request = job.request;
        let decode = engine
            .cost
            .decode(self.arrivals[request].answer)
            .as_secs_f64();
        self.placed[request].1 -= 1;
        if self.placed[request].1 == 0 {
            self.record(now, request);
            self.engines[self.placed[request].0[0].0].decoding += 1;
            self.push(now + decode, Event::Decoded { request });
        }
        self.start(now, index);
    }

    fn record(&mut self, now: f64, request: usize) {
        let arrival = &self.arrivals[request];
        let seconds = now - arrival.at;
        self.result.first_token[arrival.bucket().index()].push(seconds);
        if seconds <= arrival.deadline.as_secs_f64() {
            self.result.in_time += 1;
            self.result.good_tokens += arrival.prompt;
        }
    }

    fn decoded(&mut self, now: f64, request: usize) {
        let members = self.placed[request].0.clone();
        self.engines[members[0].0].decoding -= 1;
        for (engine, memory) in members {
            self.engines[engine].used -= memory.min(ENGINE_MEMORY);
            self.start(now, engine);
        }
    }
}

impl Gateway {
    fn new(setup: &FleetSetup, ids: &[EndpointId]) -> Self {
        let mut pool = PoolState::new();
        for (index, id) in ids.iter().enumerate() {
            pool.insert(id.clone(), domain(index));
            pool.set_usable(id, true);
        }
        Self {
            pool,
            policy: build_policy(&setup.spec).expect("registered policy"),
            sent: VecDeque::new(),
        }
    }
}

fn domain(index: usize) -> Arc<str> {
    ["a", "b", "c"][index % DOMAINS].into()
}
