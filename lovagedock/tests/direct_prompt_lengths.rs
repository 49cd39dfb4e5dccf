//! Simulation of long prompts that arrive faster than the pool prefills them, by their length.

mod direct_support;

use std::time::Duration;

use lovagedock::{DirectPlacer, DirectRequest, may_book_team, prelude::*};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, long};

const DURATION: Duration = Duration::from_secs(20);
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
const OBJECTIVE: Duration = Duration::from_secs(4);

/// Share of its objective that a request waits.
const WAIT_SHARE: f64 = 0.4;

/// Mean and maximum length of the prompts, in tokens, and the spread of its logarithm.
const MEAN_TOKENS: f64 = 300_000.0;
const MAX_TOKENS: f64 = 1_000_000.0;
const SPREAD: f64 = 0.514;

/// Share of the prompts of a part that has to be served, relative to all prompts.
const MIN_RELATIVE_SHARE: f64 = 0.5;

struct LengthCase {
    name: &'static str,
    engines: usize,
    per_second: f64,
}

const CASES: &[LengthCase] = &[
    LengthCase {
        name: "slightly too many",
        engines: 48,
        per_second: 9.0,
    },
    LengthCase {
        name: "slightly too many for twice as many engines",
        engines: 96,
        per_second: 18.0,
    },
    LengthCase {
        name: "twice too many",
        engines: 48,
        per_second: 16.0,
    },
    LengthCase {
        name: "twice too many for twice as many engines",
        engines: 96,
        per_second: 32.0,
    },
];

struct WaitingPrompt {
    request: DirectRequest,
    arrived: Timestamp,
}

/// A prompt that was placed or refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndedPrompt {
    prompt: TokenCount,
    is_served: bool,
}

/// Draws a length from an approximately log-normal distribution.
fn draw_length(random: &mut ChaCha8Rng) -> TokenCount {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let length = MEAN_TOKENS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
    length.min(MAX_TOKENS) as TokenCount
}

fn simulate(case: &LengthCase, seed: u64) -> Vec<EndedPrompt> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = VirtualPool::new(case.engines);
    let placer = DirectPlacer::new(Some(&PROFILE));
    let mut waiting: Vec<WaitingPrompt> = Vec::new();
    let mut ended = Vec::new();
    let searches = (DURATION.as_millis() / SEARCH_INTERVAL.as_millis()) as u32;
    for search in 0..searches {
        let now = SEARCH_INTERVAL * search;
        pool.advance(now);
        let expected = case.per_second * SEARCH_INTERVAL.as_secs_f64();
        let arrivals = expected as usize + usize::from(random.random_bool(expected.fract()));
        waiting.extend((0..arrivals).map(|_| WaitingPrompt {
            request: DirectRequest {
                objective_left: OBJECTIVE,
                ..long(draw_length(&mut random))
            },
            arrived: now,
        }));
        waiting.shuffle(&mut random);
        waiting.retain_mut(|prompt| {
            let request = &mut prompt.request;
            request.objective_left = (prompt.arrived + OBJECTIVE).saturating_sub(now);
            let waited_time = now - prompt.arrived;
            let waited = waited_time.as_secs_f64();
            let waited = waited / (OBJECTIVE.as_secs_f64() * WAIT_SHARE);
            let is_last = match request.booked {
                Some(_) => waited_time >= OBJECTIVE,
                None => waited >= 1.0,
            };
            let choice = placer.place(request, &pool.candidates_for(request.booked));
            let is_served = choice.is_some_and(|choice| {
                choice.fills_booking(request, waited)
                    || match waited >= 1.0 {
                        true => placer.is_worth_starting(request, &choice),
                        false => choice.is_acceptable(request, waited),
                    }
            });
            if is_served {
                pool.place(request).expect("the same choice");
            } else if request.booked.is_none() && may_book_team(waited_time, OBJECTIVE) {
                request.booked = pool.book(request, OBJECTIVE);
            }
            if let Some(team) = request.booked.filter(|_| is_last && !is_served) {
                pool.bookings.end(team.key);
            }
            if is_served || is_last {
                pool.record_length(request, is_served);
                ended.push(EndedPrompt {
                    prompt: request.prompt,
                    is_served,
                });
            }
            !is_served && !is_last
        });
    }
    ended
}

fn served_share(prompts: &[EndedPrompt]) -> f64 {
    let served = prompts.iter().filter(|prompt| prompt.is_served).count();
    served as f64 / prompts.len() as f64
}

/// Guards against long prompts that are refused the more often the longer they are.
#[test]
fn the_longest_prompts_are_served_half_as_often_as_all() {
    let mut short = Vec::new();
    for case in CASES {
        let mut prompts: Vec<EndedPrompt> = (0..2).flat_map(|seed| simulate(case, seed)).collect();
        prompts.sort_unstable_by(|a, b| b.cmp(a));
        let tenth = prompts.len() / 10;
        let all = served_share(&prompts);
        let parts = [&prompts[..tenth], &prompts[tenth..tenth * 3]].map(served_share);
        if parts.iter().any(|share| *share < MIN_RELATIVE_SHARE * all) {
            let [longest, below] = parts;
            short.push(format!(
                "{}: {longest:.2} of the longest tenth, {below:.2} of the fifth below, {all:.2} of all",
                case.name
            ));
        }
    }
    assert!(short.is_empty(), "{}", short.join("\n"));
}
