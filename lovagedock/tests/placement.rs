//! Placement of single requests by the default policy, and properties common to all policies.

use std::{sync::Arc, time::Duration};

use lovagedock::{
    CostParameters, EndpointBacklog, EndpointId, EndpointReport, PlacementReason, PlacementSpec,
    SentWork, build_policy, policy_names, prefix_hashes, prelude::*,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MEMORY: u64 = 400_000;
const NOW: Duration = Duration::from_secs(100);

fn id(index: usize) -> EndpointId {
    format!("e{index:02}").into()
}

fn idle_report() -> EndpointReport {
    EndpointReport {
        memory_tokens: MEMORY,
        free_tokens: MEMORY,
        backlog: Some(EndpointBacklog::default()),
        cost: CostParameters {
            prefill_ns_per_token: 50_000.0,
            prefill_ns_per_token_squared: 0.05,
            decode_ns: 20_000_000.0,
        },
        ..EndpointReport::default()
    }
}

fn waiting(all: u64, short: u64) -> EndpointReport {
    EndpointReport {
        queued: 1,
        backlog: Some(EndpointBacklog {
            all: Duration::from_secs(all),
            short: Duration::from_secs(short),
        }),
        ..idle_report()
    }
}

/// Returns a pool whose endpoints are in the failure domains a, b and c in turn. `report` gives the
/// report of each endpoint.
fn pool(count: usize, report: impl Fn(usize) -> EndpointReport) -> PoolState {
    let mut pool = PoolState::new();
    for index in 0..count {
        pool.insert(id(index), ["a", "b", "c"][index % 3].into());
        pool.set_usable(&id(index), true);
        let report = Arc::new(report(index));
        pool.record_report(NOW, &id(index), report, SentWork::default());
    }
    pool
}

fn request(prompt_tokens: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        id: 1,
        organisation: "museum".into(),
        tier: PriorityTier::Standard,
        prompt_tokens,
        answer_tokens: 100,
        remaining: Duration::from_secs(600),
        prefix_hashes: &[],
        own_domain: "a".into(),
        excluded: &[],
    }
}

fn policy(name: &str) -> Box<dyn PlacementPolicy> {
    let spec = PlacementSpec {
        policy: name.to_owned(),
        ..PlacementSpec::default()
    };
    build_policy(&spec).expect("registered policy")
}

fn place_with(
    policy: &mut dyn PlacementPolicy,
    pool: &PoolState,
    request: &PlacementRequest<'_>,
    seed: u64,
) -> PlacementChoice {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    policy.place(NOW, request, &pool.view(), &mut rng)
}

fn place(pool: &PoolState, request: &PlacementRequest<'_>) -> PlacementChoice {
    place_with(&mut *policy("length-aware"), pool, request, 3)
}

fn chosen(choice: &PlacementChoice) -> &str {
    match choice {
        PlacementChoice::One { endpoint, .. } => endpoint,
        other => panic!("not placed on one endpoint: {other:?}"),
    }
}

#[test]
fn best_endpoint_is_chosen() {
    struct Case {
        name: &'static str,
        pool: PoolState,
        prompt: u64,
        expected: &'static str,
    }
    let mut sent = pool(2, |_| idle_report());
    let work = SentWork {
        requests: 1,
        prefill: Duration::from_secs(1),
        ..SentWork::default()
    };
    sent.record_sent(&id(0), work);
    let mut ejected = pool(2, |_| idle_report());
    ejected.set_ejected(&id(0), true);
    let mut unusable = pool(2, |_| idle_report());
    unusable.set_usable(&id(0), false);
    let cases = [
        Case {
            name: "own failure domain",
            pool: pool(3, |_| idle_report()),
            prompt: 100,
            expected: "e00",
        },
        Case {
            name: "other failure domain because the own one is busy",
            pool: pool(2, |index| {
                if index == 0 {
                    waiting(1, 1)
                } else {
                    idle_report()
                }
            }),
            prompt: 1_000,
            expected: "e01",
        },
        Case {
            name: "short prompt overtakes long ones",
            pool: pool(2, |index| {
                if index == 0 {
                    waiting(9, 9)
                } else {
                    waiting(60, 0)
                }
            }),
            prompt: 1_000,
            expected: "e01",
        },
        Case {
            name: "long prompt waits for all others",
            pool: pool(2, |index| {
                if index == 0 {
                    waiting(9, 9)
                } else {
                    waiting(60, 0)
                }
            }),
            prompt: 64_000,
            expected: "e00",
        },
        Case {
            name: "memory held by other requests",
            pool: pool(2, |index| EndpointReport {
                free_tokens: if index == 0 { 500 } else { MEMORY },
                ..idle_report()
            }),
            prompt: 1_000,
            expected: "e01",
        },
        Case {
            name: "own work sent since the report",
            pool: sent,
            prompt: 1_000,
            expected: "e01",
        },
        Case {
            name: "ejected",
            pool: ejected,
            prompt: 1_000,
            expected: "e01",
        },
        Case {
            name: "draining or without a session",
            pool: unusable,
            prompt: 1_000,
            expected: "e01",
        },
    ];
    for case in cases {
        for seed in 0..10 {
            let choice = place_with(
                &mut *policy("length-aware"),
                &case.pool,
                &request(case.prompt),
                seed,
            );
            assert_eq!(chosen(&choice), case.expected, "{}", case.name);
        }
    }
}

#[test]
fn cached_prefix_is_preferred_until_its_queue_costs_more() {
    let prompt = vec![b'x'; 40_000];
    let hashes = prefix_hashes(&prompt, 4.0);
    assert_eq!(hashes.len(), 9);
    let request = PlacementRequest {
        prefix_hashes: &hashes,
        ..request(10_000)
    };
    let with_cache = |backlog: u64| {
        let hash = hashes[7];
        pool(3, move |index| match index {
            1 => EndpointReport {
                cached_prefixes: vec![hash],
                ..waiting(backlog, backlog)
            },
            _ => idle_report(),
        })
    };
    let choice = place(&with_cache(0), &request);
    assert_eq!(chosen(&choice), "e01");
    assert!(matches!(
        choice,
        PlacementChoice::One {
            reason: PlacementReason::CachedPrefix,
            ..
        }
    ));
    assert_eq!(
        chosen(&place(&with_cache(5), &request)),
        "e00",
        "the cache does not create a hot spot"
    );
}

/// Guards against a burst of short prompts queueing on one engine while others are idle. This
/// happens if gateways with the same stale reports all choose the same best engine. They choose
/// randomly among engines with nearly the same score instead.
#[test]
fn gateways_with_the_same_reports_spread_their_requests() {
    let pool = pool(30, |_| idle_report());
    let mut counts = [0; 30];
    for seed in 0..200 {
        let choice = place_with(&mut *policy("length-aware"), &pool, &request(4_000), seed);
        let index: usize = chosen(&choice)[1..].parse().expect("endpoint number");
        counts[index] += 1;
    }
    assert!(counts.iter().all(|count| *count < 60), "{counts:?}");
}

#[test]
fn long_prompts_stay_in_the_share_of_each_domain() {
    let spec = PlacementSpec {
        long_share_percent: 34,
        ..PlacementSpec::default()
    };
    let pool = pool(30, |_| idle_report());
    let mut used = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let mut policy = build_policy(&spec).expect("registered policy");
        let choice = place_with(&mut *policy, &pool, &request(200_000), seed);
        used.insert(chosen(&choice).to_owned());
    }
    assert!(
        used.len() <= 9,
        "three of ten in each of three domains: {used:?}"
    );
}

/// Spans may hold half of an engine's memory, so 900,100 tokens need five of 400,000.
#[test]
fn prompts_beyond_one_engine_become_a_span_of_equal_parts() {
    let pool = pool(6, |_| idle_report());
    for name in policy_names() {
        let choice = place_with(&mut *policy(name), &pool, &request(900_000), 1);
        let PlacementChoice::Span { members, .. } = choice else {
            panic!("{name}: {choice:?}");
        };
        let tokens: u64 = members.iter().map(|member| member.tokens).sum();
        assert_eq!(members.len(), 5, "{name}");
        assert_eq!(tokens, 900_100, "{name}");
        assert!(
            members.iter().all(|member| member.tokens == 180_020),
            "{name}: {members:?}"
        );
    }
}

#[test]
fn refusals_carry_a_reason_and_a_retry_time() {
    struct Case {
        name: &'static str,
        pool: PoolState,
        prompt: u64,
        code: ResultCode,
        reason: PlacementReason,
        retry_after: u64,
    }
    let cases = [
        Case {
            name: "even the shortest queue ends too late",
            pool: pool(3, |index| waiting(610 + index as u64, 610 + index as u64)),
            prompt: 1_000,
            code: ResultCode::NoCapacity,
            reason: PlacementReason::OutOfTime,
            retry_after: 12,
        },
        Case {
            name: "last member of the span is free too late",
            pool: pool(6, |_| waiting(700, 0)),
            prompt: 900_000,
            code: ResultCode::NoCapacity,
            reason: PlacementReason::OutOfTime,
            retry_after: 60,
        },
        Case {
            name: "no endpoint",
            pool: PoolState::new(),
            prompt: 1_000,
            code: ResultCode::NoCapacity,
            reason: PlacementReason::NoEndpoint,
            retry_after: 1,
        },
        Case {
            name: "exceeds the memory of the pool",
            pool: pool(2, |_| idle_report()),
            prompt: 900_000,
            code: ResultCode::PromptTooLong,
            reason: PlacementReason::ExceedsPool,
            retry_after: 1,
        },
    ];
    for case in cases {
        let choice = place(&case.pool, &request(case.prompt));
        let PlacementChoice::Refuse {
            code,
            retry_after,
            reason,
        } = choice
        else {
            panic!("{}: {choice:?}", case.name);
        };
        assert_eq!((code, reason), (case.code, case.reason), "{}", case.name);
        assert_eq!(retry_after.as_secs(), case.retry_after, "{}", case.name);
    }
}

#[test]
fn no_policy_uses_excluded_or_unusable_endpoints() {
    let mut state = pool(4, |_| idle_report());
    state.set_usable(&id(1), false);
    state.set_ejected(&id(2), true);
    let excluded = [id(0)];
    let request = PlacementRequest {
        excluded: &excluded,
        ..request(1_000)
    };
    for name in policy_names() {
        for seed in 0..20 {
            let choice = place_with(&mut *policy(name), &state, &request, seed);
            assert_eq!(chosen(&choice), "e03", "{name}");
        }
    }
}

/// A long answer is placed on an idle pool. It must not be refused because of one engine that is
/// known to decode too slowly while another one can finish in time. An engine that has not run
/// anything must not be rejected because of an assumed speed: it would never be tried, and its real
/// speed would never be learned.
#[test]
fn long_answer_is_placed_where_it_can_finish_in_time() {
    struct Case {
        name: &'static str,
        decode_ns: [f64; 2],
        endpoints: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "one is too slow",
            decode_ns: [20_000_000.0, 2_000_000.0],
            endpoints: &["e01"],
        },
        Case {
            name: "the speed of one is unknown",
            decode_ns: [20_000_000.0, 0.0],
            endpoints: &["e01"],
        },
        Case {
            name: "the speed of both is unknown",
            decode_ns: [0.0, 0.0],
            endpoints: &["e00", "e01"],
        },
        Case {
            name: "both are too slow",
            decode_ns: [20_000_000.0, 20_000_000.0],
            endpoints: &[],
        },
    ];
    for case in cases {
        let pool = pool(2, |index| EndpointReport {
            cost: match case.decode_ns[index] {
                0.0 => CostParameters::default(),
                decode_ns => CostParameters {
                    decode_ns,
                    ..idle_report().cost
                },
            },
            ..idle_report()
        });
        let request = PlacementRequest {
            answer_tokens: 4_000,
            remaining: Duration::from_secs(60),
            ..request(100)
        };
        for seed in 0..20 {
            let choice = place_with(&mut *policy("length-aware"), &pool, &request, seed);
            match choice {
                PlacementChoice::Refuse { code, .. } => {
                    assert_eq!(code, ResultCode::NoCapacity, "{}", case.name);
                    assert!(case.endpoints.is_empty(), "{}, seed {seed}", case.name);
                }
                other => {
                    let endpoint = chosen(&other);
                    let expected = case.endpoints.contains(&endpoint);
                    assert!(expected, "{}, seed {seed}: {endpoint}", case.name);
                }
            }
        }
    }
}
