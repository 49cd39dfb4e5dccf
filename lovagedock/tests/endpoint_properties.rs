//! What must hold at a sidecar, over random schedules of gateways, engine and faults.

#[path = "support/endpoint_steps.rs"]
mod endpoint_steps;
#[path = "support/endpoint_world.rs"]
mod endpoint_world;

use std::collections::BTreeSet;

use endpoint_steps::schedules;
use endpoint_world::{EndpointWorld, Violation};
use lovagedock::EndpointSafeguards;
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{RngSeed, TestRunner},
};

const CASES: u32 = 600;
const SWITCHED_CASES: u32 = 200;
const LENGTH: usize = 90;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Gateways submit, repeat, revoke and vanish; the engine confirms, answers, refuses, dies and
    // loses cancellations; the sidecar restarts and drains. No request starts twice or after "not
    // run", each gets one end by its deadline, the ledger adds up, and no memory stays ownerless.
    #[test]
    fn nothing_forbidden_is_seen(steps in schedules(LENGTH)) {
        let world = EndpointWorld::new(EndpointSafeguards::default()).run(&steps);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

struct SwitchCase {
    name: &'static str,
    safeguards: EndpointSafeguards,
    seen: Violation,
}

fn switch_cases() -> Vec<SwitchCase> {
    let on = EndpointSafeguards::default();
    vec![
        SwitchCase {
            name: "tombstones",
            safeguards: EndpointSafeguards {
                tombstones: false,
                ..on
            },
            seen: Violation::StartedAfterNotRun,
        },
        SwitchCase {
            name: "one run",
            safeguards: EndpointSafeguards {
                one_run: false,
                ..on
            },
            seen: Violation::StartedTwice,
        },
        SwitchCase {
            name: "orphan collection",
            safeguards: EndpointSafeguards {
                orphan_collection: false,
                ..on
            },
            seen: Violation::OrphanKept,
        },
        SwitchCase {
            name: "deadlines",
            safeguards: EndpointSafeguards {
                deadlines: false,
                ..on
            },
            seen: Violation::NoEndInTime,
        },
        SwitchCase {
            name: "drain queue",
            safeguards: EndpointSafeguards {
                drain_queue: false,
                ..on
            },
            seen: Violation::StartedWhileLeaving,
        },
    ]
}

// The same schedules with one safeguard off each time: the violation that it prevents is seen. So
// the checks can fail, and the schedules reach the failure that each safeguard is for.
#[test]
fn without_a_safeguard_its_violation_is_seen() {
    for case in switch_cases() {
        let seen = violations(case.safeguards);
        assert!(seen.contains(&case.seen), "{}: {seen:?}", case.name);
    }
}

fn violations(safeguards: EndpointSafeguards) -> BTreeSet<Violation> {
    let mut runner = TestRunner::new(config());
    let strategy = schedules(LENGTH);
    let mut seen = BTreeSet::new();
    for _ in 0..SWITCHED_CASES {
        let steps = strategy.new_tree(&mut runner).unwrap().current();
        seen.extend(EndpointWorld::new(safeguards).run(&steps).violations);
    }
    seen
}

// A world in which nothing starts would hold every property.
#[test]
fn the_schedules_start_work() {
    let mut runner = TestRunner::new(config());
    let strategy = schedules(LENGTH);
    let started: usize = (0..SWITCHED_CASES)
        .map(|_| {
            let steps = strategy.new_tree(&mut runner).unwrap().current();
            let world = EndpointWorld::new(EndpointSafeguards::default()).run(&steps);
            world.started
        })
        .sum();
    assert!(
        started * 2 > SWITCHED_CASES as usize * 5,
        "{started} starts"
    );
}
