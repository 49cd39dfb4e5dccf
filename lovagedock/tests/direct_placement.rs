//! Placement on endpoints that a gateway calls itself, under the loads that it is made for.

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

/// Reading times that were measured on engines of this profile, to the millisecond.
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

/// Callers of short prompts see events without pauses while long prompts come.
///
/// 20 short prompts a second arrive for ten seconds, and with them 2.5 long ones a second, which is
/// about half of what 21 engines can read. A long read on an engine with writers would stretch all
/// their pauses. So no part of a long prompt may land on the engines kept for short ones.
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

/// Callers of short prompts that come in a sudden burst do not queue behind each other.
///
/// 100 a second arrive at an idle pool. Packed onto one engine, each would wait for the prompts
/// before it; placement opens the next engine before the wait costs anybody the objective.
#[test]
fn a_burst_of_short_prompts_opens_engines_in_time() {
    let mut pool = VirtualPool::new(21);
    let mut worst = Duration::ZERO;
    for index in 0..150_u64 {
        pool.advance(ms(index * 10));
        let placed = pool.place(&short()).expect("slots are free");
        worst = worst.max(placed.choice.first_event);
    }
    assert!(worst <= ms(255), "{worst:?}");
}

/// The short lane follows the load: it grows before its engines are full and leaves engines to long
/// prompts whatever comes.
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

/// A caller of a long prompt gets its first event in the predicted time, not seconds later.
///
/// An engine reads the helper's part that came last first. Asked again while it still reads, it
/// would leave the older part, and with it a whole prompt, until nothing new comes. So a helper has
/// next to nothing to read when it is asked.
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

/// A prompt that no engine has memory for is spread over several, and all of it has a place.
#[test]
fn a_prompt_larger_than_an_engine_is_spread() {
    let mut pool = VirtualPool::new(8);
    let request = DirectRequest {
        objective_left: ms(20_000),
        ..long(900_000)
    };
    let placed = pool.place(&request).expect("eight engines have the memory");
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

/// A prompt larger than all engines together has no place, now or later.
#[test]
fn a_prompt_larger_than_the_pool_has_no_place() {
    let mut pool = VirtualPool::new(2);
    assert!(pool.place(&long(3_000_000)).is_none());
}

/// Who was refused and comes back takes no slot that a new caller needs.
///
/// One engine of 16 slots has one left. A new request takes it; one that came back would be late in
/// any case, and waits for a tenth of the slots to be free.
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

/// Harm counts writers whose pauses a read would stretch beyond what their callers bear.
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
        may_help: true,
        draw: 0.0,
    }];
    let placer = DirectPlacer::new(Some(&PROFILE));
    let harmless = placer.place(&short(), &candidates).expect("a slot is free");
    let harsh = placer
        .place(&long(60_000), &candidates)
        .expect("a slot is free");
    assert_eq!(harmless.lost_value, 0.0);
    assert_eq!(harsh.lost_value, 1.5);
}

/// Plain services get the endpoint with the largest share of free slots.
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
            may_help: true,
            draw: 0.0,
        })
        .collect();
    let choice = DirectPlacer::new(None)
        .place(&short(), &candidates)
        .unwrap();
    assert_eq!(choice.lead, 1);
}
