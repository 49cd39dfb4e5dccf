//! Fairness and starvation in the queue of a sidecar, simulated with an engine of known run times.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lovagedock::{
    AttemptKey, CostParameters, EndpointAction, EndpointCore, EndpointEvent, EndpointLimits,
    EndpointSafeguards, EngineAnswer, EngineReport, EngineResult, PriorityTier, RequestId,
    Timestamp, WorkOrder,
};

const MEMORY: u64 = 100_000;
const STEP: Duration = Duration::from_millis(100);

/// A sidecar in front of a simulated engine on which each request takes a fixed time.
struct EngineSimulation {
    core: EndpointCore,
    now: Timestamp,
    run_time: Duration,
    ends: BTreeSet<(Timestamp, RequestId)>,
    started: BTreeMap<RequestId, Timestamp>,
    organisations: BTreeMap<RequestId, &'static str>,
    next: RequestId,
}

impl EngineSimulation {
    fn new(limits: EndpointLimits, safeguards: EndpointSafeguards, run_time: Duration) -> Self {
        let mut simulation = Self {
            core: EndpointCore::new(1, limits).with_safeguards(safeguards),
            now: Timestamp::ZERO,
            run_time,
            ends: BTreeSet::new(),
            started: BTreeMap::new(),
            organisations: BTreeMap::new(),
            next: 0,
        };
        simulation.handle(EndpointEvent::EngineAllocations(Vec::new()));
        simulation
    }

    fn submit(&mut self, organisation: &'static str, tier: PriorityTier, prompt: u64) -> RequestId {
        self.next += 1;
        let request = self.next;
        self.organisations.insert(request, organisation);
        self.handle(EndpointEvent::Submit(WorkOrder {
            key: key(request),
            service: "service".into(),
            organisation: organisation.into(),
            tier,
            weight: 1,
            remaining: Duration::from_secs(600),
            prompt_tokens: prompt,
            answer_tokens: 0,
            non_idempotent: false,
            predicted: Duration::ZERO,
            span: Vec::new(),
        }));
        request
    }

    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(&(at, request)) = self.ends.first().filter(|end| end.0 <= until) {
            self.ends.remove(&(at, request));
            self.now = at;
            let answer = EngineAnswer {
                length: 0,
                digest: [0; 32],
                prompt_tokens: 0,
                cached_tokens: 0,
                answer_tokens: 0,
            };
            self.handle(EndpointEvent::EngineEnded {
                key: key(request),
                result: EngineResult::Finished(answer),
            });
        }
        self.now = until;
        self.handle(EndpointEvent::Tick);
    }

    fn handle(&mut self, event: EndpointEvent) {
        for action in self.core.handle(self.now, event) {
            if let EndpointAction::Start(key) = action {
                self.started.insert(key.request, self.now);
                self.ends.insert((self.now + self.run_time, key.request));
            }
        }
    }

    fn started_count(&self, organisation: &str) -> usize {
        let started = self.started.keys();
        let own = started.filter(|request| self.organisations[request] == organisation);
        own.count()
    }
}

fn key(request: RequestId) -> AttemptKey {
    AttemptKey {
        request,
        attempt: 1,
        incarnation: 1,
    }
}

// Short prompts arrive fast enough to use all memory that becomes free. A prompt that needs nine
// tenths of the memory still starts soon with the reservation, and does not start without it.
#[test]
fn stream_of_short_prompts_does_not_starve_a_long_one() {
    struct Case {
        reserve: bool,
        starts: bool,
    }
    let cases = [
        Case {
            reserve: true,
            starts: true,
        },
        Case {
            reserve: false,
            starts: false,
        },
    ];
    for case in cases {
        let limits = EndpointLimits::default()
            .with_memory_tokens(MEMORY)
            .with_concurrency(200);
        let safeguards = EndpointSafeguards {
            head_reservation: case.reserve,
            ..EndpointSafeguards::default()
        };
        let mut simulation = EngineSimulation::new(limits, safeguards, Duration::from_secs(1));
        let mut long = None;
        for round in 0..300 {
            for _ in 0..10 {
                simulation.submit("shop", PriorityTier::Standard, 1_000);
            }
            if round == 20 {
                long = Some(simulation.submit("audit", PriorityTier::Standard, 90_000));
            }
            simulation.advance(STEP);
        }
        let started = simulation.started.get(&long.unwrap());
        assert_eq!(started.is_some(), case.starts, "reserve: {}", case.reserve);
        // The long prompt arrives at 2 s and may be bypassed for 2 s, and each bypassing request
        // runs for 1 s.
        let bound = Duration::from_secs(5);
        assert!(started.is_none_or(|at| *at <= bound), "{started:?}");
    }
}

// Interactive requests keep the only slot busy for two minutes. The batch request starts a few
// starts after its ageing time. With ageing disabled it does not start at all.
#[test]
fn stream_of_a_higher_tier_does_not_starve_a_batch_request() {
    struct Case {
        aged_interval: u32,
        starts: bool,
    }
    let cases = [
        Case {
            aged_interval: 4,
            starts: true,
        },
        Case {
            aged_interval: 0,
            starts: false,
        },
    ];
    for case in cases {
        let mut limits = EndpointLimits::default().with_concurrency(1);
        limits.aged_interval = case.aged_interval;
        let run_time = Duration::from_millis(500);
        let mut simulation = EngineSimulation::new(limits, EndpointSafeguards::default(), run_time);
        simulation.submit("shop", PriorityTier::Interactive, 100);
        let batch = simulation.submit("audit", PriorityTier::Batch, 100);
        for _ in 0..240 {
            simulation.submit("shop", PriorityTier::Interactive, 100);
            simulation.advance(Duration::from_millis(500));
        }
        let started = simulation.started.get(&batch);
        assert_eq!(started.is_some(), case.starts, "{}", case.aged_interval);
        let bound = Duration::from_secs(13);
        assert!(started.is_none_or(|at| *at <= bound), "{started:?}");
    }
}

// One organisation sends nine requests for each request of another, and both always have queued
// requests. The engine's time is shared by weight and predicted cost, not by the number of
// requests.
#[test]
fn large_organisation_does_not_delay_a_small_one() {
    let limits = EndpointLimits::default()
        .with_concurrency(1)
        .with_queue_length(10_000);
    let run_time = Duration::from_millis(500);
    let mut simulation = EngineSimulation::new(limits, EndpointSafeguards::default(), run_time);
    simulation.handle(EndpointEvent::EngineReport(EngineReport {
        cost: CostParameters {
            prefill_ns_per_token: 500_000.0,
            ..CostParameters::default()
        },
        ..EngineReport::default()
    }));
    for _ in 0..100 {
        for _ in 0..9 {
            simulation.submit("large", PriorityTier::Standard, 1_000);
        }
        simulation.submit("small", PriorityTier::Standard, 1_000);
        simulation.advance(run_time);
    }
    let (large, small) = (
        simulation.started_count("large"),
        simulation.started_count("small"),
    );
    assert!(large.abs_diff(small) <= 2, "{large} large, {small} small");
}

// Guards against an organisation with ten times its share of a sidecar's engine that takes the
// capacity of three others. The engine starts ten requests per second; the small organisations send
// two per second each, and the large one sends forty, ten times the four that they leave.
#[test]
fn organisation_at_ten_times_its_share_leaves_others_their_capacity() {
    const SMALL: [&str; 3] = ["small-a", "small-b", "small-c"];
    struct Case {
        queue_length: usize,
        large_per_step: usize,
    }
    #[rustfmt::skip] // One line for each case.
    let cases = [
        Case { queue_length: 1_000, large_per_step: 4 },
        Case { queue_length: 20, large_per_step: 4 },
        Case { queue_length: 20, large_per_step: 40 },
    ];
    for case in cases {
        let limits = EndpointLimits::default()
            .with_concurrency(5)
            .with_queue_length(case.queue_length);
        let run_time = Duration::from_millis(500);
        let mut simulation = EngineSimulation::new(limits, EndpointSafeguards::default(), run_time);
        for step in 0..600 {
            for _ in 0..case.large_per_step {
                simulation.submit("large", PriorityTier::Standard, 1_000);
            }
            if step % 5 == 0 {
                for organisation in SMALL {
                    simulation.submit(organisation, PriorityTier::Standard, 1_000);
                }
            }
            simulation.advance(STEP);
        }
        // One request of each may be under way at the end.
        for organisation in SMALL {
            let started = simulation.started_count(organisation);
            assert!(started >= 118, "queue of {}: {started}", case.queue_length);
        }
        let large = simulation.started_count("large");
        let unused = 240_usize.abs_diff(large);
        assert!(
            unused <= 12,
            "queue of {}: {large} large",
            case.queue_length
        );
    }
}
