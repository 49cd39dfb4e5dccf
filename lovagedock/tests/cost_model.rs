//! The cost model learns an engine's true cost despite delayed, noisy or changing observations.

use std::time::Duration;

use lovagedock::{CostModel, CostParameters, LengthBucket, PrefillObservation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TRUE_COST: CostParameters = CostParameters {
    prefill_ns_per_token: 40_000.0,
    prefill_ns_per_token_squared: 0.06,
    decode_ns: 20_000_000.0,
};
const LENGTHS: [u64; 6] = [1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000];

fn observation(prompt: u64, cached: u64, factor: f64) -> PrefillObservation {
    let queue_wait = Duration::from_millis(700);
    PrefillObservation {
        prompt_tokens: prompt,
        cached_tokens: cached,
        queue_wait,
        first_token: queue_wait + TRUE_COST.prefill(prompt, cached).mul_f64(factor),
        batch: 4,
    }
}

/// Relative error of the model's prediction for an idle engine.
fn error_at(model: &CostModel, prompt: u64, truth: &CostParameters) -> f64 {
    let predicted = model.predict_first_token(0, prompt, 0).as_secs_f64();
    let expected = truth.prefill(prompt, 0).as_secs_f64();
    (predicted - expected).abs() / expected
}

#[test]
fn learns_both_terms_from_a_noisy_mix() {
    struct Case {
        name: &'static str,
        noise: f64,
        /// Share of observations that are too slow by a factor of 2 to 20.
        late: f64,
        /// Share of observations that are ten times too fast because of an unreported cache hit.
        fast: f64,
        tolerance: f64,
    }
    let cases = [
        Case {
            name: "noise only",
            noise: 0.1,
            late: 0.0,
            fast: 0.0,
            tolerance: 0.08,
        },
        Case {
            name: "one in ten late",
            noise: 0.1,
            late: 0.1,
            fast: 0.0,
            tolerance: 0.20,
        },
        Case {
            name: "one in twenty too fast",
            noise: 0.1,
            late: 0.0,
            fast: 0.05,
            tolerance: 0.20,
        },
    ];
    for case in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut model = CostModel::new();
        for round in 0..600 {
            let mut factor = 1.0 + case.noise * (2.0 * rng.random::<f64>() - 1.0);
            if rng.random_bool(case.late) {
                factor *= 2.0 + 18.0 * rng.random::<f64>();
            } else if rng.random_bool(case.fast) {
                factor *= 0.1;
            }
            let prompt = LENGTHS[round % LENGTHS.len()];
            model.observe_prefill(&observation(prompt, 0, factor));
        }
        for prompt in LENGTHS {
            let error = error_at(&model, prompt, &TRUE_COST);
            assert!(error < case.tolerance, "{}: {prompt}: {error}", case.name);
        }
    }
}

#[test]
fn adapts_to_a_change_of_engine_speed() {
    let mut model = CostModel::new();
    for round in 0..300 {
        model.observe_prefill(&observation(LENGTHS[round % 5], 0, 1.0));
    }
    for round in 0..300 {
        model.observe_prefill(&observation(LENGTHS[round % 5], 0, 2.5));
    }
    let slower = CostParameters {
        prefill_ns_per_token: TRUE_COST.prefill_ns_per_token * 2.5,
        prefill_ns_per_token_squared: TRUE_COST.prefill_ns_per_token_squared * 2.5,
        ..TRUE_COST
    };
    for prompt in &LENGTHS[..5] {
        let error = error_at(&model, *prompt, &slower);
        assert!(error < 0.1, "{prompt}: {error}");
    }
}

#[test]
fn cached_tokens_are_not_charged_twice() {
    let mut model = CostModel::new();
    for round in 0..300 {
        let prompt = LENGTHS[round % 5];
        model.observe_prefill(&observation(prompt, prompt / 2, 1.0));
    }
    let predicted = model.predict_first_token(0, 256_000, 128_000);
    let expected = TRUE_COST.prefill(256_000, 128_000).as_secs_f64();
    assert!((predicted.as_secs_f64() / expected - 1.0).abs() < 0.05);
}

/// Guards against the first long prompt after many short ones being refused as out of time. With
/// only short prompts observed, exponential forgetting lets the variance of the squared term grow
/// without bound, and noise moves the coefficient far off. The variance is limited, so the
/// coefficient stays near its prior.
#[test]
fn short_prompts_alone_do_not_distort_the_prediction_for_long_ones() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut model = CostModel::new();
    for _ in 0..20_000 {
        let factor = 1.0 + 0.3 * (2.0 * rng.random::<f64>() - 1.0);
        model.observe_prefill(&observation(1_000, 0, factor));
    }
    let error = error_at(&model, 256_000, &TRUE_COST);
    assert!(error < 1.0, "{error}");
    for _ in 0..10 {
        model.observe_prefill(&observation(256_000, 0, 1.0));
    }
    let error = error_at(&model, 256_000, &TRUE_COST);
    assert!(error < 0.2, "{error}");
}

#[test]
fn errors_are_kept_by_bucket() {
    let mut model = CostModel::new();
    for _ in 0..50 {
        model.observe_prefill(&observation(4_000, 0, 1.0));
    }
    let seen = model.error(LengthBucket::K4);
    assert_eq!(seen.count, 49);
    assert!(seen.absolute < 0.05, "{seen:?}");
    assert_eq!(model.error(LengthBucket::M1).count, 0);
}

#[test]
fn queue_tokens_cost_the_mean_of_the_mix() {
    let mut model = CostModel::new();
    for round in 0..600 {
        model.observe_prefill(&observation(LENGTHS[round % 2], 0, 1.0));
    }
    let wait = model.predict_first_token(50_000, 1_000, 0) - model.predict_first_token(0, 1_000, 0);
    let rate = TRUE_COST.prefill(4_000, 0).as_secs_f64() / 4_000.0;
    let expected = 50_000.0 * rate;
    assert!((wait.as_secs_f64() / expected - 1.0).abs() < 0.1);
}

#[test]
fn model_without_observations_has_unknown_parameters() {
    let mut model = CostModel::new();
    assert_eq!(model.parameters(), CostParameters::default());
    assert_eq!(model.decode_interval(8), None);
    model.observe_prefill(&PrefillObservation {
        prompt_tokens: 100,
        cached_tokens: 100,
        queue_wait: Duration::ZERO,
        first_token: Duration::from_millis(3),
        batch: 1,
    });
    assert_eq!(model.parameters(), CostParameters::default());
}

#[test]
fn decode_interval_grows_with_the_batch_and_ignores_a_stall() {
    let mut model = CostModel::new();
    for _ in 0..50 {
        model.observe_decode(1, Duration::from_millis(20));
        model.observe_decode(64, Duration::from_millis(50));
    }
    model.observe_decode(64, Duration::from_secs(30));
    let at = |batch| model.decode_interval(batch).map(|d| d.as_millis());
    assert_eq!(at(1), Some(20));
    assert_eq!(at(8), Some(36), "interpolated on a logarithmic scale");
    assert_eq!(at(512), at(64), "no larger batch was observed");
}
