//! Tests of long prompts that need more prefill time than the pool has.

mod direct_support;

use std::time::Duration;

use lovagedock::{DirectChoice, DirectPlacer, DirectRequest, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, long, ms};

const ENGINES: usize = 16;

/// Length of the burst, and time between two placement attempts of a waiting request.
const BURST: Duration = Duration::from_secs(10);
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// Share of its objective that a request waits.
const WAIT_SHARE: f64 = 0.4;

/// Lengths of prompts, drawn with equal probability: most have some hundred thousand tokens, few
/// have many more.
const LENGTHS: [TokenCount; 8] = [
    110_000, 130_000, 160_000, 200_000, 240_000, 300_000, 420_000, 650_000,
];

/// Rule for starting late prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateRule {
    /// All prompts that can be placed.
    All,
    /// Prompts that are worth their prefill time.
    Worthwhile,
}

struct WaitingPrompt {
    request: DirectRequest,
    late_at: Timestamp,
    until: Timestamp,
}

/// Value of the prompts of a burst.
#[derive(Debug, Default)]
struct BurstValue {
    total: f64,
    /// Value of the prompts whose first event is predicted to be in time.
    on_time: f64,
    late: usize,
}

/// Simulates a burst of `per_second` prompts per second.
fn simulate(per_second: f64, rule: LateRule, seed: u64) -> BurstValue {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = VirtualPool::new(ENGINES);
    let placer = DirectPlacer::new(Some(&PROFILE));
    let mut waiting: Vec<WaitingPrompt> = Vec::new();
    let mut value = BurstValue::default();
    let evaluations = (BURST.as_millis() / EVALUATION_INTERVAL.as_millis()) as u32;
    for evaluation in 0..evaluations {
        let now = EVALUATION_INTERVAL * evaluation;
        pool.advance(now);
        if random.random_bool(per_second * EVALUATION_INTERVAL.as_secs_f64()) {
            let request = long(LENGTHS[random.random_range(0..LENGTHS.len())]);
            value.total += request.value();
            waiting.push(WaitingPrompt {
                late_at: now + request.objective_left,
                until: now + request.objective_left.mul_f64(WAIT_SHARE),
                request,
            });
        }
        waiting.retain_mut(|prompt| {
            prompt.request.objective_left = prompt.late_at.saturating_sub(now);
            let request = &prompt.request;
            let is_last = now >= prompt.until;
            let Some(choice) = placer.place(request, &pool.candidates()) else {
                return !is_last;
            };
            let is_late = choice.first_event > request.objective_left;
            let is_started = match (is_last, rule) {
                (false, _) => choice.is_acceptable(request, 0.5),
                (true, LateRule::Worthwhile) => placer.is_worth_starting(request, &choice),
                (true, LateRule::All) => !is_late || choice.backlog <= ms(300),
            };
            if !is_started {
                return !is_last;
            }
            match is_late {
                true => value.late += 1,
                false => value.on_time += request.value(),
            }
            pool.place(request).expect("the same choice");
            false
        });
    }
    value
}

/// Guards against late prompts that make others late while the pool cannot prefill all of them.
///
/// For ten seconds, prompts of 110k to 650k tokens need about twice the prefill time that 16
/// engines have. Each waits for its share of the objective, and one for which there is no
/// acceptable choice by then is late. If it is started anyway, a prompt of 420k tokens occupies an
/// engine for ten seconds, in which three prompts could have been on time.
#[test]
fn late_prompts_do_not_make_others_late() {
    const SEEDS: u64 = 12;
    let sum = |rule: LateRule| -> f64 {
        let runs = (0..SEEDS).map(|seed| simulate(9.0, rule, seed));
        runs.map(|run| run.on_time / run.total).sum::<f64>() / SEEDS as f64
    };
    let (all, worthwhile) = (sum(LateRule::All), sum(LateRule::Worthwhile));
    assert!(
        worthwhile > all * 1.05,
        "{all:.3} with all, {worthwhile:.3} with worthwhile ones"
    );
}

struct StartCase {
    name: &'static str,
    prompt: TokenCount,
    first_event: u64,
    backlog: u64,
    is_started: bool,
}

const START_CASES: &[StartCase] = &[
    StartCase {
        name: "on time, however long",
        prompt: 900_000,
        first_event: 2_900,
        backlog: 1_000,
        is_started: true,
    },
    StartCase {
        name: "late, with a high value for its prefill time",
        prompt: 100_000,
        first_event: 3_100,
        backlog: 0,
        is_started: true,
    },
    StartCase {
        name: "late, and occupies an engine for seconds",
        prompt: 400_000,
        first_event: 3_100,
        backlog: 0,
        is_started: false,
    },
    StartCase {
        name: "late, behind a backlog",
        prompt: 100_000,
        first_event: 3_100,
        backlog: 400,
        is_started: false,
    },
    StartCase {
        name: "late and short",
        prompt: 5_000,
        first_event: 3_100,
        backlog: 200,
        is_started: true,
    },
];

/// Guards against a late prompt that is started at a high cost to others, instead of being refused
/// with a retry delay.
#[test]
fn a_late_prompt_is_started_only_if_worth_its_prefill() {
    let placer = DirectPlacer::new(Some(&PROFILE));
    for case in START_CASES {
        let request = long(case.prompt);
        let choice = DirectChoice {
            lead: 0,
            helpers: Vec::new(),
            part_prefill_time: ms(0),
            first_event: ms(case.first_event),
            backlog: ms(case.backlog),
            alternatives: 1,
            lost_value: 0.0,
            delayed_value: 0.0,
            loss: 0.0,
        };
        let is_started = placer.is_worth_starting(&request, &choice);
        assert_eq!(is_started, case.is_started, "{}", case.name);
    }
}
