//! The pure decisions, as instances in this process.

use std::time::Duration;

use lovagedock::{
    AttemptKey, EndpointAction, EndpointCore, EndpointEvent, EndpointLimits, EndpointReport,
    EngineAnswer, EngineResult, OrganisationLimits, PlacedOn, PlacementSpec, RequestEvent,
    RequestMachine, RequestSpec, UsageLimiter, WorkOrder, build_policy, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    meter::{cpu_micros, heap_of},
    slope::SlopeSeries,
};

const REPEATS: usize = 5;
const SEED: u64 = 7;
const DOMAINS: usize = 16;
const MEMORY_TOKENS: TokenCount = 2_000_000;
const DEADLINE: Duration = Duration::from_secs(60);

/// What decisions cost.
pub(crate) struct KernelSlopes {
    /// Processor time of a placement, over endpoints of the pool.
    pub(crate) placement_cpu: SlopeSeries,
    /// Processor time to record a report, over endpoints of the pool.
    pub(crate) report_cpu: SlopeSeries,
    /// Heap of a pool's state, over endpoints.
    pub(crate) endpoint_heap: SlopeSeries,
    /// Processor time at the sidecar, over requests from submit to end.
    pub(crate) admission_cpu: SlopeSeries,
    /// Heap at the sidecar, over requests that wait.
    pub(crate) queued_heap: SlopeSeries,
    /// Processor time at the gateway, over requests from admission to answer.
    pub(crate) request_cpu: SlopeSeries,
    /// Heap at the gateway, over requests in flight.
    pub(crate) request_heap: SlopeSeries,
    /// Heap of a gateway's limiter, over organisations.
    pub(crate) limiter_heap: SlopeSeries,
}

impl KernelSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let endpoints = [25, 100, 400, 1_600, 10_000];
        let requests = [1_000, 4_000, 16_000];
        Self {
            placement_cpu: SlopeSeries::new(
                "processor time of a placement",
                "endpoints in the pool's view",
                "µs",
            )
            .with_points(&endpoints, REPEATS, placement_cpu),
            report_cpu: SlopeSeries::new("processor time to take a report", "endpoints", "µs")
                .with_points(&endpoints, REPEATS, report_cpu),
            endpoint_heap: SlopeSeries::new("heap of a pool's state", "endpoints", "B")
                .with_points(&endpoints, REPEATS, |count| {
                    heap_of(|| reported_pool(count)).0
                }),
            admission_cpu: SlopeSeries::new(
                "processor time at a sidecar, submit to end",
                "requests",
                "µs",
            )
            .with_points(&requests, REPEATS, admission_cpu),
            queued_heap: SlopeSeries::new("heap at a sidecar", "requests that wait", "B")
                .with_points(&[100, 400, 1_000], REPEATS, queued_heap),
            request_cpu: SlopeSeries::new(
                "processor time of a gateway's machine",
                "requests",
                "µs",
            )
            .with_points(&requests, REPEATS, request_cpu),
            request_heap: SlopeSeries::new("heap of a gateway's machines", "in flight", "B")
                .with_points(&requests, REPEATS, request_heap),
            limiter_heap: SlopeSeries::new("heap of a gateway's limiter", "organisations", "B")
                .with_points(&[250, 2_500, 25_000], REPEATS, |count| {
                    heap_of(|| limiter(count)).0
                }),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.placement_cpu,
            &self.report_cpu,
            &self.endpoint_heap,
            &self.admission_cpu,
            &self.queued_heap,
            &self.request_cpu,
            &self.request_heap,
            &self.limiter_heap,
        ]
    }
}

fn endpoint_id(number: usize) -> EndpointId {
    format!("engine-{number:05}").into()
}

fn report(rng: &mut ChaCha8Rng) -> EndpointReport {
    EndpointReport {
        memory_tokens: MEMORY_TOKENS,
        free_tokens: rng.random_range(200_000..MEMORY_TOKENS),
        queued: rng.random_range(0..4),
        queued_tokens: rng.random_range(0..20_000),
        running: rng.random_range(0..32),
        ..EndpointReport::default()
    }
}

fn reported_pool(count: usize) -> PoolState {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut state = PoolState::new();
    for number in 0..count {
        let id = endpoint_id(number);
        let domain = format!("domain-{}", number % DOMAINS).into();
        state.insert(id.clone(), domain);
        state.set_usable(&id, true);
        state.record_report(
            Timestamp::ZERO,
            &id,
            report(&mut rng).into(),
            Default::default(),
        );
    }
    state
}

fn placement_cpu(count: usize) -> f64 {
    let state = reported_pool(count);
    let mut policy = build_policy(&PlacementSpec::default()).expect("default policy");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let own_domain: DomainId = "domain-3".into();
    let rounds = (400_000 / count).clamp(200, 4_000);
    cpu_micros(rounds, || {
        for round in 0..rounds {
            let request = PlacementRequest {
                id: round as RequestId,
                organisation: "organisation-07312".into(),
                tier: PriorityTier::Standard,
                prompt_tokens: 1_000 + round as u64,
                answer_tokens: 400,
                remaining: DEADLINE,
                prefix_hashes: &[],
                own_domain: own_domain.clone(),
                excluded: &[],
            };
            let now = Duration::from_millis(round as u64);
            let choice = policy.place(now, &request, &state.view(), &mut rng);
            assert!(matches!(choice, PlacementChoice::One { .. }));
        }
    })
}

fn report_cpu(count: usize) -> f64 {
    let mut state = reported_pool(count);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let rounds = 4_000;
    let ids: Vec<_> = (0..rounds)
        .map(|round| endpoint_id(round % count))
        .collect();
    cpu_micros(rounds, || {
        for id in &ids {
            state.record_report(
                Timestamp::ZERO,
                id,
                report(&mut rng).into(),
                Default::default(),
            );
        }
    })
}

fn work_order(number: usize) -> WorkOrder {
    WorkOrder {
        key: AttemptKey {
            request: number as RequestId,
            attempt: 1,
            incarnation: 7,
        },
        service: "summaries".into(),
        organisation: format!("organisation-{:05}", number % 100).into(),
        tier: PriorityTier::Standard,
        weight: 1,
        remaining: DEADLINE,
        prompt_tokens: 1_000,
        answer_tokens: 400,
        non_idempotent: false,
        predicted: Duration::from_millis(300),
        span: Vec::new(),
    }
}

fn accounted_core() -> EndpointCore {
    let limits = EndpointLimits::default().with_memory_tokens(MEMORY_TOKENS);
    let mut core = EndpointCore::new(7, limits);
    core.handle(Timestamp::ZERO, EndpointEvent::EngineAccount(Vec::new()));
    core
}

/// A request a millisecond, each of which runs for 32 ms with eight chunks.
fn admission_cpu(count: usize) -> f64 {
    let mut core = accounted_core();
    cpu_micros(1, || {
        for number in 0..count {
            let now = Duration::from_millis(number as u64);
            let actions = core.handle(now, EndpointEvent::Submit(work_order(number)));
            let started = |action: &EndpointAction| matches!(action, EndpointAction::Start(_));
            assert!(actions.iter().any(started));
            let key = work_order(number).key;
            core.handle(now, EndpointEvent::EngineStarted(key));
            if number >= 31 {
                end_on_engine(&mut core, now, work_order(number - 31).key);
            }
        }
    })
}

fn end_on_engine(core: &mut EndpointCore, now: Timestamp, key: AttemptKey) {
    for _ in 0..8 {
        core.handle(now, EndpointEvent::EngineBytes { key, length: 64 });
    }
    let answer = EngineAnswer {
        length: 512,
        digest: [7; 32],
        prompt_tokens: 1_000,
        cached_tokens: 0,
        answer_tokens: 400,
    };
    let result = EngineResult::Finished(answer);
    core.handle(now, EndpointEvent::EngineEnded { key, result });
}

fn queued_heap(count: usize) -> f64 {
    let mut core = accounted_core();
    for number in 0..32 {
        core.handle(Timestamp::ZERO, EndpointEvent::Submit(work_order(number)));
    }
    heap_of(|| {
        for number in 32..32 + count {
            core.handle(Timestamp::ZERO, EndpointEvent::Submit(work_order(number)));
        }
    })
    .0
}

fn machine(number: usize) -> RequestMachine {
    let spec = RequestSpec::new(number as RequestId, "summaries", DEADLINE)
        .with_organisation("organisation-07312");
    RequestMachine::new(Timestamp::ZERO, spec)
}

fn accepted(number: usize) -> RequestMachine {
    let mut machine = machine(number);
    machine.start();
    let placed = PlacedOn::One {
        endpoint: endpoint_id(7_312),
        incarnation: 7,
    };
    let accepted = RequestEvent::SubmitAccepted {
        attempt: 1,
        incarnation: 7,
    };
    machine.handle(Timestamp::ZERO, RequestEvent::Placed(placed));
    machine.handle(Timestamp::ZERO, accepted);
    machine
}

fn request_cpu(count: usize) -> f64 {
    cpu_micros(1, || {
        for number in 0..count {
            let mut machine = accepted(number);
            machine.handle(Timestamp::ZERO, RequestEvent::Head { attempt: 1 });
            for chunk in 0..8 {
                let event = RequestEvent::Chunk {
                    attempt: 1,
                    offset: chunk * 64,
                    length: 64,
                };
                machine.handle(Timestamp::ZERO, event);
            }
            let end = lovagedock::AnswerEnd::complete(512, [7; 32]);
            machine.handle(Timestamp::ZERO, RequestEvent::End { attempt: 1, end });
            let checked = RequestEvent::DigestChecked { matches: true };
            machine.handle(Timestamp::ZERO, checked);
            assert!(machine.is_finished());
        }
    })
}

fn request_heap(count: usize) -> f64 {
    heap_of(|| (0..count).map(accepted).collect::<Vec<_>>()).0
}

fn limiter(organisations: usize) -> UsageLimiter {
    let peers = (0..3)
        .map(|peer| format!("gateway-{peer}").into())
        .collect();
    let mut limiter = UsageLimiter::new(Timestamp::ZERO, peers, Default::default());
    let limits = OrganisationLimits {
        requests_per_second: 50,
        ..OrganisationLimits::default()
    };
    for number in 0..organisations {
        let id = format!("organisation-{number:05}").into();
        limiter.set_limits(Timestamp::ZERO, &id, limits);
    }
    limiter
}
