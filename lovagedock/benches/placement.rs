//! Time of one placement by the number of endpoints known to the gateway.

use std::{hint::black_box, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lovagedock::{
    CostParameters, EndpointBacklog, EndpointReport, PlacementRequest, PlacementSpec, PoolState,
    PriorityTier, SentWork, build_policy,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [usize; 3] = [28, 200, 10_000];
const LENGTHS: [u64; 2] = [4_000, 64_000];

fn pool(count: usize, rng: &mut ChaCha8Rng) -> PoolState {
    let mut pool = PoolState::new();
    for index in 0..count {
        let id = format!("endpoint-{index:05}").into();
        pool.insert(id, format!("domain-{}", index % 3).into());
    }
    let ids: Vec<_> = pool
        .view()
        .endpoints
        .iter()
        .map(|view| view.id.clone())
        .collect();
    for id in ids {
        pool.set_usable(&id, true);
        let wait = Duration::from_millis(rng.random_range(0..2_000));
        let report = EndpointReport {
            memory_tokens: 450_000,
            free_tokens: rng.random_range(0..450_000),
            queued: 1,
            backlog: Some(EndpointBacklog {
                all: wait,
                short: wait / 2,
            }),
            cost: CostParameters::ASSUMED,
            cached_prefixes: (0..16).map(|_| rng.random()).collect(),
            ..EndpointReport::default()
        };
        pool.record_report(Duration::ZERO, &id, Arc::new(report), SentWork::default());
    }
    pool
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in SIZES {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let pool = pool(count, &mut rng);
        for prompt in LENGTHS {
            let hashes: Vec<u64> = (0..prompt / 1_024).map(|_| rng.random()).collect();
            let request = PlacementRequest {
                id: 1,
                organisation: "o".into(),
                tier: PriorityTier::Standard,
                prompt_tokens: prompt,
                answer_tokens: 200,
                remaining: Duration::from_secs(600),
                prefix_hashes: &hashes,
                own_domain: "domain-1".into(),
                excluded: &[],
            };
            let mut policy = build_policy(&PlacementSpec::default()).expect("registered policy");
            let name = BenchmarkId::new(format!("{prompt} tokens"), count);
            group.bench_function(name, |bencher| {
                bencher.iter(|| {
                    let view = pool.view();
                    policy.place(Duration::from_secs(1), black_box(&request), &view, &mut rng)
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, place);
criterion_main!(benches);
