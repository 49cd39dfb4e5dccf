//! Tests of placement on direct endpoints under the loads for which it is designed.

mod direct_support;

use std::{collections::HashSet, time::Duration};

use lovagedock::{
    CombinedLoad, DirectPlacer, DirectRequest, EndpointProcess, PlacedWork, PlacerCandidate,
    prelude::*, short_lane_size,
};

use direct_support::{PROFILE, VirtualPool, long, ms, short};

struct PrefillCase {
    prompt: TokenCount,
    expected_ms: u64,
}

/// Guards against a wrong prefill model. The times were measured on engines of this profile, to the
/// millisecond.
#[test]
fn prefill_time_matches_measurements() {
    let cases = [
        PrefillCase {
            prompt: 5_000,
            expected_ms: 20,
        },
        PrefillCase {
            prompt: 45_000,
            expected_ms: 268,
        },
        PrefillCase {
            prompt: 210_000,
            expected_ms: 2_842,
        },
    ];
    for case in cases {
        let prefill_ms = PROFILE.prefill_time(case.prompt).as_millis() as u64;
        assert_eq!(prefill_ms, case.expected_ms, "{} tokens", case.prompt);
    }
}

/// Guards against long prompts that delay the events of short ones.
///
/// For ten seconds, 20 short prompts arrive per second, and with them 2.5 long ones per second,
/// about half of what 21 engines can prefill. A long prefill on an engine with writers would
/// lengthen all their gaps. So no part of a long prompt may be placed on the engines of the short
/// lane.
#[test]
fn long_prompts_stay_off_the_short_lane() {
    let mut pool = VirtualPool::new(21);
    let mut lane_hits = 0;
    let mut late_shorts = 0;
    for tick in 0..500_u64 {
        pool.advance(ms(tick * 20));
        if tick % 20 == 7 {
            let placed = pool
                .place(&long(210_000))
                .expect("half of the pool is idle");
            let lane: HashSet<_> = placed.lane.iter().collect();
            lane_hits += placed.members.iter().filter(|id| lane.contains(id)).count();
        }
        if tick % 5 < 2 {
            let placed = pool.place(&short()).expect("slots are free");
            late_shorts += u32::from(placed.choice.first_event > ms(300));
        }
    }
    assert_eq!(lane_hits, 0);
    assert_eq!(late_shorts, 0);
}

/// Guards against short prompts that queue behind each other in a sudden burst.
///
/// 100 per second arrive at an idle pool. If all were placed on one engine, each would wait for the
/// prompts before it. Placement uses the next engine before the waiting time exceeds an objective.
#[test]
fn a_burst_of_short_prompts_uses_further_engines_in_time() {
    let mut pool = VirtualPool::new(21);
    let mut worst = Duration::ZERO;
    for index in 0..150_u64 {
        pool.advance(ms(index * 10));
        let placed = pool.place(&short()).expect("slots are free");
        worst = worst.max(placed.choice.first_event);
    }
    assert!(worst <= ms(255), "{worst:?}");
}

/// Guards against a short lane that grows only after its engines are full, or that leaves no
/// engines to long prompts.
#[test]
fn the_short_lane_grows_ahead_of_the_load() {
    struct LaneCase {
        short: u32,
        engines: usize,
        expected: usize,
    }
    let cases = [
        LaneCase {
            short: 0,
            engines: 21,
            expected: 1,
        },
        LaneCase {
            short: 32,
            engines: 21,
            expected: 4,
        },
        LaneCase {
            short: 250,
            engines: 21,
            expected: 19,
        },
        LaneCase {
            short: 10_000,
            engines: 21,
            expected: 19,
        },
        LaneCase {
            short: 10,
            engines: 1,
            expected: 0,
        },
        LaneCase {
            short: 10,
            engines: 0,
            expected: 0,
        },
    ];
    for case in cases {
        let size = short_lane_size(case.short, 16, case.engines);
        assert_eq!(
            size, case.expected,
            "{} short on {}",
            case.short, case.engines
        );
    }
}

/// Guards against long prompts whose first event comes seconds later than predicted.
///
/// An engine prefills the helper's part that arrived last first. If it were chosen again while it
/// still prefills, the older part, and with it a whole prompt, would wait until no new parts
/// arrive. So a helper must have almost no backlog when it is chosen.
#[test]
fn helpers_have_no_backlog() {
    let mut pool = VirtualPool::new(21);
    for _ in 0..4 {
        pool.advance(pool.now + ms(10));
        let busy: HashSet<EndpointProcess> = pool
            .endpoints
            .iter()
            .filter(|endpoint| pool.ledger.load(pool.now, &endpoint.process).backlog > ms(80))
            .map(|endpoint| endpoint.process.clone())
            .collect();
        let Some(placed) = pool.place(&long(300_000)) else {
            continue;
        };
        let helpers = &placed.members[1..];
        assert!(helpers.iter().all(|helper| !busy.contains(helper)));
    }
}

/// Guards against a prompt that is not placed although several engines together have enough memory
/// for it.
#[test]
fn a_prompt_larger_than_an_engine_is_spread() {
    let mut pool = VirtualPool::new(8);
    let request = DirectRequest {
        objective_left: ms(20_000),
        ..long(900_000)
    };
    let placed = pool
        .place(&request)
        .expect("eight engines have enough memory");
    let kept: TokenCount = placed.choice.helpers.iter().map(|helper| helper.kept).sum();
    let lead = pool.ledger.load(pool.now, &placed.members[0]).context;
    assert_eq!(lead + kept, request.memory());
    assert!(lead <= PROFILE.memory_tokens);
    assert!(
        placed
            .choice
            .helpers
            .iter()
            .all(|helper| helper.kept <= PROFILE.memory_tokens)
    );
}

/// Guards against placing a prompt that is larger than the memory of all engines together.
#[test]
fn a_prompt_larger_than_the_pool_has_no_place() {
    let mut pool = VirtualPool::new(2);
    assert!(pool.place(&long(3_000_000)).is_none());
}

/// Guards against returning requests that use slots that new requests need.
///
/// One engine of 16 slots has one free slot. A new request may use it. A returning request would be
/// late in any case, and waits until a tenth of the slots is free.
#[test]
fn returning_requests_leave_the_last_slots() {
    let mut pool = VirtualPool::new(1);
    for _ in 0..15 {
        pool.place(&short()).expect("slots are free");
    }
    let returned = DirectRequest {
        returned: true,
        ..short()
    };
    assert!(pool.place(&returned).is_none());
    assert!(pool.place(&short()).is_some());
}

/// Guards against a lost value that omits writers whose gaps a prefill would extend beyond their
/// callers' tolerance.
#[test]
fn lost_value_counts_delayed_writers() {
    let mut pool = VirtualPool::new(1);
    let writer = PlacedWork {
        endpoint: pool.endpoints[0].process.clone(),
        prefill_time: Duration::ZERO,
        context: 5_000,
        gap: Some(ms(200)),
        short: true,
        value: 2.0,
        suspect: false,
    };
    pool.ledger.place(pool.now, writer);
    let candidates = vec![PlacerCandidate {
        endpoint: &pool.endpoints[0],
        load: pool.ledger.load(pool.now, &pool.endpoints[0].process),
        rank: 0.0,
        short_lane: false,
        is_kept: false,
        may_help: true,
        draw: 0.0,
    }];
    let placer = DirectPlacer::new(Some(&PROFILE));
    let short_choice = placer.place(&short(), &candidates).expect("a slot is free");
    let long_choice = placer
        .place(&long(60_000), &candidates)
        .expect("a slot is free");
    assert_eq!(short_choice.lost_value, 0.0);
    assert_eq!(long_choice.lost_value, 1.5);
}

/// Guards against plain requests that are not placed on the endpoint with the largest share of free
/// slots.
#[test]
fn plain_requests_go_to_the_emptiest_endpoint() {
    let pool = VirtualPool::new(3);
    let loads = [5, 2, 9];
    let endpoints = pool.endpoints.iter().enumerate();
    let candidates: Vec<_> = endpoints
        .map(|(position, endpoint)| PlacerCandidate {
            endpoint,
            load: CombinedLoad {
                occupied: loads[position],
                ..CombinedLoad::default()
            },
            rank: position as f64 / loads.len() as f64,
            short_lane: false,
            is_kept: false,
            may_help: true,
            draw: 0.0,
        })
        .collect();
    let choice = DirectPlacer::new(None)
        .place(&short(), &candidates)
        .unwrap();
    assert_eq!(choice.lead, 1);
}
