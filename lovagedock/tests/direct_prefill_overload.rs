//! Long prompts that ask for more reading than the pool has.

mod direct_support;

use std::time::Duration;

use lovagedock::{DirectChoice, DirectPlacer, DirectRequest, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, long, ms};

const ENGINES: usize = 16;

/// Length of the burst, and time between two evaluations of a request that waits.
const BURST: Duration = Duration::from_secs(10);
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// Part of its objective that a request waits.
const WAIT_SHARE: f64 = 0.4;

/// Lengths of prompts as they come: most of some hundred thousand tokens, few of many.
const LENGTHS: [TokenCount; 8] = [
    110_000, 130_000, 160_000, 200_000, 240_000, 300_000, 420_000, 650_000,
];

/// Which late prompts are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateRule {
    /// All for which there is a place.
    All,
    /// Those that are worth it.
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
    asked: f64,
    /// Of those whose first event comes in time, as predicted.
    on_time: f64,
    late: usize,
}

/// Plays a burst of `per_second` prompts.
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
            value.asked += request.value();
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
            let is_taken = match (is_last, rule) {
                (false, _) => choice.is_acceptable(request, 0.5),
                (true, LateRule::Worthwhile) => placer.is_worth_starting(request, &choice),
                (true, LateRule::All) => !is_late || choice.backlog <= ms(300),
            };
            if !is_taken {
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

/// More callers with long prompts get their first event in time while the pool cannot read them all.
///
/// For ten seconds prompts of 110k to 650k tokens ask for about twice the reading that 16 engines
/// have. Each waits for its part of the objective; who finds no good place then is late. Started all the
/// same, one of 420k reads for ten seconds on an engine, which three on time would have shared.
#[test]
fn late_prompts_do_not_make_others_late() {
    const SEEDS: u64 = 12;
    let sum = |rule: LateRule| -> f64 {
        let runs = (0..SEEDS).map(|seed| simulate(9.0, rule, seed));
        runs.map(|run| run.on_time / run.asked).sum::<f64>() / SEEDS as f64
    };
    let (all, worthwhile) = (sum(LateRule::All), sum(LateRule::Worthwhile));
    assert!(
        worthwhile > all * 1.05,
        "{all:.3} with all, {worthwhile:.3} with those worth it"
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
        name: "late, and brings much for its reading",
        prompt: 100_000,
        first_event: 3_100,
        backlog: 0,
        is_started: true,
    },
    StartCase {
        name: "late, and takes an engine for seconds",
        prompt: 400_000,
        first_event: 3_100,
        backlog: 0,
        is_started: false,
    },
    StartCase {
        name: "late, behind others",
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

/// A late prompt is started only if that costs others little; the caller is else told to come back.
#[test]
fn a_late_prompt_is_started_only_if_worth_its_prefill() {
    let placer = DirectPlacer::new(Some(&PROFILE));
    for case in START_CASES {
        let request = long(case.prompt);
        let choice = DirectChoice {
            lead: 0,
            helpers: Vec::new(),
            part_time: ms(0),
            first_event: ms(case.first_event),
            backlog: ms(case.backlog),
            lost_value: 0.0,
            loss: 0.0,
        };
        let is_started = placer.is_worth_starting(&request, &choice);
        assert_eq!(is_started, case.is_started, "{}", case.name);
    }
}
