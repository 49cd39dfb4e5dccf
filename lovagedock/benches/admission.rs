//! Time of one admission and of one start at a sidecar by the number of queued requests.

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use lovagedock::{
    AttemptKey, CostParameters, EndpointCore, EndpointEvent, EndpointLimits, EngineAnswer,
    EngineReport, EngineResult, PriorityTier, RequestId, Timestamp, WorkOrder,
};

const RUNNING: u128 = 64;
const QUEUED: [u128; 3] = [100, 1_000, 10_000];
const ORGANISATIONS: u128 = 50;
const NOW: Timestamp = Duration::from_secs(10);

fn key(request: RequestId) -> AttemptKey {
    AttemptKey {
        request,
        attempt: 1,
        incarnation: 1,
    }
}

fn order(request: RequestId) -> WorkOrder {
    let tiers = [
        PriorityTier::Batch,
        PriorityTier::Standard,
        PriorityTier::Interactive,
    ];
    WorkOrder {
        key: key(request),
        service: "service".into(),
        organisation: format!("organisation-{}", request % ORGANISATIONS).into(),
        tier: tiers[(request % 3) as usize],
        weight: 1,
        remaining: Duration::from_secs(3_600),
        prompt_tokens: 1_000 + (request % 7) as u64 * 500,
        answer_tokens: 200,
        non_idempotent: false,
        predicted: Duration::ZERO,
        span: Vec::new(),
    }
}

/// Creates a sidecar with a full engine and this many queued requests.
fn full_core(queued: u128) -> EndpointCore {
    let limits = EndpointLimits::default()
        .with_memory_tokens(1_000_000)
        .with_concurrency(RUNNING as usize)
        .with_queue_length(queued as usize + 10);
    let mut core = EndpointCore::new(1, limits);
    core.handle(NOW, EndpointEvent::EngineAllocations(Vec::new()));
    core.handle(
        NOW,
        EndpointEvent::EngineReport(EngineReport {
            cost: CostParameters {
                prefill_ns_per_token: 10_000.0,
                prefill_ns_per_token_squared: 0.01,
                decode_ns: 1_000_000.0,
            },
            ..EngineReport::default()
        }),
    );
    for request in 1..=RUNNING + queued {
        core.handle(NOW, EndpointEvent::Submit(order(request)));
    }
    assert_eq!(core.load().queued as u128, queued);
    core
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for queued in QUEUED {
        let mut core = full_core(queued);
        let mut request = 1_000_000;
        group.bench_function(BenchmarkId::new("submit_and_revoke", queued), |bencher| {
            bencher.iter_batched(
                || {
                    request += 1;
                    order(request)
                },
                |order| {
                    let key = order.key;
                    black_box(core.handle(NOW, EndpointEvent::Submit(order)));
                    black_box(core.handle(NOW, EndpointEvent::Revoke(key)))
                },
                BatchSize::SmallInput,
            );
        });
        group.bench_function(BenchmarkId::new("end_and_start", queued), |bencher| {
            bencher.iter_batched_ref(
                || full_core(queued),
                |core| {
                    let answer = EngineAnswer {
                        length: 0,
                        digest: [0; 32],
                        prompt_tokens: 1_000,
                        cached_tokens: 0,
                        answer_tokens: 100,
                    };
                    let result = EngineResult::Finished(answer);
                    let key = key(1);
                    black_box(core.handle(NOW, EndpointEvent::EngineEnded { key, result }))
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, admission);
criterion_main!(benches);
