//! Plans of the load generator and the mixes that come with it.

use std::{collections::HashMap, path::Path, time::Duration};

use lovagedock::{FleetConfig, LengthBucket};
use lovagedock_daemon::load_settings;
use lovagedock_standin::load::{
    CallBody, MixSpec, ModelCall, PlannedCall, long_start, plan_calls, prompt_text,
};
use sha2::{Digest, Sha256};

const DURATION: Duration = Duration::from_secs(600);
const DEPLOYMENTS: [&str; 2] = ["mafraq", "nadavaramba"];

fn mix(deployment: &str) -> MixSpec {
    let file = format!("../examples/mixes/{deployment}.jsonc");
    load_settings(Path::new(&file)).unwrap()
}

fn fleet(deployment: &str) -> FleetConfig {
    let file = format!("../examples/{deployment}/fleet.jsonc");
    load_settings(Path::new(&file)).unwrap()
}

fn ordinary(call: &PlannedCall) -> Option<&ModelCall> {
    match &call.body {
        CallBody::Model(model) if model.keyed.is_none() => Some(model),
        _ => None,
    }
}

fn bucket(call: &PlannedCall) -> Option<LengthBucket> {
    ordinary(call).map(|model| LengthBucket::of(model.prompt.tokens))
}

#[test]
fn the_mixes_are_sound_and_use_their_deployments_keys() {
    for deployment in DEPLOYMENTS {
        let (mix, fleet) = (mix(deployment), fleet(deployment));
        assert_eq!(mix.problems(), Vec::<String>::new(), "{deployment}");
        for caller in &mix.organisations {
            let hash: String = Sha256::digest(caller.key.as_bytes())
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect();
            let organisation = fleet.organisations.iter().find(|it| it.id == caller.id);
            let organisation = organisation.unwrap_or_else(|| panic!("{}", caller.id));
            assert!(organisation.key_hashes.contains(&hash), "{}", caller.id);
        }
    }
}

#[test]
fn the_buckets_of_a_mix_hold_the_lengths_that_they_are_named_for() {
    for deployment in DEPLOYMENTS {
        for it in mix(deployment).buckets {
            let length = it.length().unwrap();
            assert_eq!(LengthBucket::of(it.prompt_tokens.0), length, "{deployment}");
            assert_eq!(LengthBucket::of(it.prompt_tokens.1), length, "{deployment}");
        }
    }
}

#[test]
fn a_seed_gives_one_plan_and_another_seed_another() {
    let mix = mix("mafraq");
    let plan = plan_calls(&mix, 7, DURATION);
    assert_eq!(plan, plan_calls(&mix, 7, DURATION));
    assert_ne!(plan, plan_calls(&mix, 8, DURATION));
    assert!(plan.is_sorted_by_key(|call| call.at));
}

#[test]
fn one_in_fifty_of_the_long_mix_is_over_a_hundred_thousand_tokens() {
    for deployment in DEPLOYMENTS {
        let mix = mix(deployment);
        let plan = plan_calls(&mix, 7, DURATION);
        let share = mix.model_requests_per_second
            * DURATION.as_secs_f64()
            * (1.0 - f64::from(mix.baseline_percent) / 100.0);
        let over = plan
            .iter()
            .filter_map(ordinary)
            .filter(|model| model.prompt.tokens > 100_000)
            .count();
        let ratio = over as f64 / share;
        assert!((0.018..=0.022).contains(&ratio), "{deployment}: {ratio}");
    }
}

#[test]
fn every_length_is_sent_even_in_a_short_run_and_long_ones_not_in_its_first_part() {
    for deployment in DEPLOYMENTS {
        let mix = mix(deployment);
        let duration = Duration::from_secs(20);
        let plan = plan_calls(&mix, 1, duration);
        for length in LengthBucket::ALL {
            let first = plan.iter().find(|call| bucket(call) == Some(length));
            let first = first.unwrap_or_else(|| panic!("{deployment}: {length:?}"));
            if length >= LengthBucket::K64 {
                assert!(first.at >= long_start(&mix, duration), "{deployment}");
            }
        }
    }
}

// The slowdown of short prompts compares the two parts of one run, so their rate must not change.
#[test]
fn short_prompts_come_at_one_rate_in_both_parts() {
    let mix = mix("nadavaramba");
    let plan = plan_calls(&mix, 3, DURATION);
    let middle = long_start(&mix, DURATION);
    let short: Vec<&PlannedCall> = plan
        .iter()
        .filter(|call| bucket(call) == Some(LengthBucket::K1))
        .collect();
    let first = short.iter().filter(|call| call.at < middle).count() as f64;
    let second = short.len() as f64 - first;
    let rates = first / middle.as_secs_f64() / (second / (DURATION - middle).as_secs_f64());
    assert!((0.9..=1.1).contains(&rates), "{rates}");
}

#[test]
fn a_repeat_is_the_same_call_and_only_keyed_calls_are_repeated() {
    let plan = plan_calls(&mix("mafraq"), 5, DURATION);
    let mut first: HashMap<&str, &PlannedCall> = HashMap::new();
    let mut repeats = 0;
    for call in &plan {
        let Some(key) = call.key.as_deref() else {
            continue;
        };
        let Some(earlier) = first.insert(key, call) else {
            continue;
        };
        repeats += 1;
        assert_eq!(earlier.body, call.body);
        assert_eq!(earlier.organisation, call.organisation);
    }
    assert!(repeats > 50, "{repeats}");
}

#[test]
fn a_sped_up_call_has_less_time_in_the_same_proportion() {
    let call = plan_calls(&mix("mafraq"), 5, DURATION).swap_remove(100);
    let faster = call.clone().with_time_scale(8.0);
    assert_eq!(faster.at, call.at.div_f64(8.0));
    assert_eq!(faster.deadline, call.deadline.div_f64(8.0));
    assert_eq!(faster.body, call.body);
}

#[test]
fn prompts_have_their_length_and_differ_after_what_they_have_in_common() {
    let plan = plan_calls(&mix("nadavaramba"), 5, DURATION);
    let common: Vec<&ModelCall> = plan
        .iter()
        .filter_map(ordinary)
        .filter(|model| model.prompt.common == Some(0) && model.prompt.tokens >= 1000)
        .take(2)
        .collect();
    let texts = [prompt_text(common[0].prompt), prompt_text(common[1].prompt)];
    for (text, model) in texts.iter().zip(&common) {
        assert_eq!(text.len() as u64, model.prompt.tokens * 4);
    }
    assert_eq!(texts[0][..2000], texts[1][..2000]);
    assert_ne!(texts[0], texts[1]);
}
