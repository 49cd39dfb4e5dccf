//! The default policy meets the figures in the tables of `docs/POLICY.md` for fixed seeds.

#[path = "../examples/compare/engine.rs"]
mod engine;
#[path = "../examples/compare/fleet.rs"]
mod fleet;
#[path = "../examples/compare/traffic.rs"]
mod traffic;

use engine::EngineOrder;
use fleet::{FleetResult, FleetSetup, run};
use lovagedock::{LengthBucket, PlacementSpec, policy_names};

const DEFAULT: &str = "length-aware";

fn setup(policy: &str, order: EngineOrder, with_long: bool) -> FleetSetup {
    FleetSetup {
        spec: PlacementSpec {
            policy: policy.to_owned(),
            ..PlacementSpec::default()
        },
        seed: 4,
        load: 0.8,
        engines: 20,
        gateways: 3,
        seconds: 400.0,
        order,
        with_long,
        with_backlog: true,
    }
}

fn best_baseline(order: EngineOrder, bucket: LengthBucket) -> f64 {
    let baselines = policy_names().into_iter().filter(|name| *name != DEFAULT);
    baselines
        .map(|name| run(&setup(name, order, true)).p95(bucket))
        .fold(f64::INFINITY, f64::min)
}

fn default_policy_result(order: EngineOrder) -> FleetResult {
    run(&setup(DEFAULT, order, true))
}

#[test]
fn short_prompts_are_faster_than_with_any_baseline_and_long_ones_no_slower() {
    for order in [EngineOrder::Fifo, EngineOrder::ShortFirst] {
        let result = default_policy_result(order);
        let k1 = result.p95(LengthBucket::K1) / best_baseline(order, LengthBucket::K1);
        assert!(k1 < 0.5, "{order:?} 1k: {k1}");
        let m1 = result.p95(LengthBucket::M1) / best_baseline(order, LengthBucket::M1);
        assert!(m1 < 1.2, "{order:?} 1m: {m1}");
        assert_eq!(result.late, 0, "{order:?}");
    }
}

#[test]
fn long_prompts_hardly_slow_short_ones_where_engines_honour_priorities() {
    let order = EngineOrder::ShortFirst;
    let mixed = default_policy_result(order).p95(LengthBucket::K1);
    let alone = run(&setup(DEFAULT, order, false)).p95(LengthBucket::K1);
    let slowdown = mixed / alone;
    assert!(slowdown < 1.25, "{slowdown}");
}
