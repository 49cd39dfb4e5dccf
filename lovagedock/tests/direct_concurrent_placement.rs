//! Tests of gateways that place at the same moment, before they receive each other's placements.

mod direct_support;

use std::collections::BTreeMap;

use lovagedock::{DirectPlacer, EndpointProcess, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, long, ms, short};

/// Number of gateways that place before they receive each other's placements.
const CONCURRENT_GATEWAYS: usize = 8;

/// Returns the number of gateways that chose the most frequently chosen endpoint.
fn max_on_one(request: &lovagedock::DirectRequest, draws: Option<u64>) -> usize {
    let pool = VirtualPool::new(21);
    let mut random = ChaCha8Rng::seed_from_u64(draws.unwrap_or_default());
    let mut chosen: BTreeMap<EndpointProcess, usize> = BTreeMap::new();
    for _ in 0..CONCURRENT_GATEWAYS {
        let mut candidates = pool.candidates();
        for candidate in &mut candidates {
            candidate.short_lane = request.prompt < 10_000;
            candidate.draw = draws.map_or(0.0, |_| random.random());
        }
        let placer = DirectPlacer::new(Some(&PROFILE));
        let choice = placer.place(request, &candidates).expect("all are idle");
        let lead = candidates[choice.lead].endpoint.process.clone();
        *chosen.entry(lead).or_default() += 1;
    }
    chosen.into_values().max().unwrap_or_default()
}

/// Guards against gateways that all place short prompts on the same engine.
///
/// In a burst of 300 per second, eight gateways place before they receive each other's placements.
/// All rank the endpoints alike. On one engine, the last of eight prompts would wait for 140 ms of
/// prefill.
#[test]
fn short_prompts_of_many_gateways_spread() {
    assert_eq!(
        max_on_one(&short(), None),
        CONCURRENT_GATEWAYS,
        "without draws all choose the same engine"
    );
    for seed in 1..20 {
        let most = max_on_one(&short(), Some(seed));
        assert!(most <= 4, "seed {seed}: {most} on one engine");
    }
}

/// Guards against gateways that all choose the same lead for long prompts that arrive at the same
/// moment.
#[test]
fn long_prompts_of_many_gateways_spread() {
    assert_eq!(max_on_one(&long(200_000), None), CONCURRENT_GATEWAYS);
    for seed in 1..20 {
        let most = max_on_one(&long(200_000), Some(seed));
        assert!(most <= 4, "seed {seed}: {most} with one lead");
    }
}

/// Guards against a late prefill of a part of a long prompt behind which further prompts are
/// placed.
///
/// An engine counts as idle from the time at which the part should have been prefilled. If it were
/// chosen again, it would prefill the new part first, and the caller of the first prompt would wait
/// for seconds. So all gateways count the part as pending until the prompt's first event, and long
/// prompts avoid the engine.
#[test]
fn an_engine_with_a_pending_prefill_is_not_chosen() {
    let mut pool = VirtualPool::new(3);
    let late = pool.endpoints[0].process.clone();
    let part = lovagedock::PlacedWork {
        endpoint: late.clone(),
        prefill_time: ms(500),
        context: 0,
        gap: None,
        short: false,
        value: 20.0,
        suspect: false,
    };
    let key = pool.ledger.place(ms(0), part);
    for now in [501, 700, 800] {
        pool.now = ms(now);
        let load = pool.ledger.load(pool.now, &late);
        assert_eq!(
            (load.pending_prefills, load.backlog),
            (1, ms(0)),
            "after {now} ms"
        );
        let sent = pool.ledger.own_loads();
        let sent: Vec<u32> = sent.map(|(_, load)| load.pending_prefills).collect();
        assert_eq!(sent, [1], "after {now} ms");
    }
    let placed = pool.place(&long(200_000)).expect("two are idle");
    assert!(!placed.members.contains(&late), "{:?}", placed.members);
    pool.ledger.finish_prefill(pool.now, key);
    assert_eq!(pool.ledger.load(pool.now, &late).pending_prefills, 0);
}

/// Guards against long prompts that wait for the sake of writers that have already missed their
/// objective.
///
/// When a burst of short prompts ends and long prompts arrive, each engine has a writer that has
/// exceeded its gap already. With its full value, its next gap would keep every long prompt waiting
/// next to idle engines. So it counts with a third of its value, and only for gaps that would make
/// its caller disconnect.
#[test]
fn a_writer_that_missed_its_objective_weighs_less() {
    let mut pool = VirtualPool::new(1);
    let engine = pool.endpoints[0].process.clone();
    let writer = lovagedock::PlacedWork {
        endpoint: engine.clone(),
        prefill_time: ms(20),
        context: 5_000,
        gap: Some(ms(200)),
        short: true,
        value: 1.5,
        suspect: false,
    };
    let key = pool.ledger.place(ms(0), writer);
    let delayed_value = |pool: &VirtualPool, gap| {
        let value = pool.ledger.load(ms(0), &engine).value_delayed_by(ms(gap));
        (value * 100.0).round() / 100.0
    };
    assert_eq!(
        (delayed_value(&pool, 300), delayed_value(&pool, 1_500)),
        (1.5, 1.5)
    );
    pool.ledger.record_missed_objective(key);
    assert_eq!(
        (delayed_value(&pool, 300), delayed_value(&pool, 1_500)),
        (0.0, 0.5)
    );
    pool.ledger.record_missed_objective(key);
    assert_eq!(delayed_value(&pool, 1_500), 0.5, "once");
    assert_eq!(pool.ledger.load(ms(0), &engine).writer_count(), 1);
    pool.ledger.finish(ms(0), key);
    assert_eq!(pool.ledger.load(ms(0), &engine).writer_count(), 0);
}

struct AcceptanceCase {
    name: &'static str,
    prompt: TokenCount,
    lost_value: f64,
    waited: f64,
    accepted: bool,
}

/// Guards against long prompts that wait without limit for a choice that delays no writer.
///
/// Such prompts accumulate while engines are idle, then use all engines at once or are refused. So
/// the accepted lost value grows with the waiting time and with the request's value. A short prompt
/// never costs others more than its own value.
#[test]
fn accepted_loss_grows_with_waiting() {
    let cases = [
        AcceptanceCase {
            name: "a little lost value at once",
            prompt: 200_000,
            lost_value: 0.4,
            waited: 0.0,
            accepted: true,
        },
        AcceptanceCase {
            name: "more lost value at once",
            prompt: 200_000,
            lost_value: 1.0,
            waited: 0.0,
            accepted: false,
        },
        AcceptanceCase {
            name: "the same after a sixth of the waiting time",
            prompt: 200_000,
            lost_value: 1.0,
            waited: 0.17,
            accepted: true,
        },
        AcceptanceCase {
            name: "as much as half of its own value",
            prompt: 200_000,
            lost_value: 10.0,
            waited: 1.0,
            accepted: false,
        },
        AcceptanceCase {
            name: "short, one other late",
            prompt: 5_000,
            lost_value: 1.1,
            waited: 0.99,
            accepted: false,
        },
    ];
    for case in cases {
        let request = long(case.prompt);
        let mut pool = VirtualPool::new(1);
        let mut choice = pool.place(&request).expect("the engine is idle").choice;
        choice.lost_value = case.lost_value;
        let accepted = choice.is_acceptable(&request, case.waited);
        assert_eq!(accepted, case.accepted, "{}", case.name);
    }
}
