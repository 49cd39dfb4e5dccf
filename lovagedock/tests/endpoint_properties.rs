//! Invariants of a sidecar over random schedules of gateway requests, engine events and faults.

#[path = "support/endpoint_simulation.rs"]
mod endpoint_simulation;
#[path = "support/endpoint_steps.rs"]
mod endpoint_steps;

use std::collections::BTreeSet;

use endpoint_simulation::{EndpointSimulation, Violation};
use endpoint_steps::schedules;
use lovagedock::EndpointSafeguards;
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{RngSeed, TestRunner},
};

const CASES: u32 = 600;
const SAFEGUARD_CASES: u32 = 200;
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

    // Gateways submit, repeat and revoke requests and disconnect. The engine confirms starts,
    // produces bytes, refuses and ends requests, loses cancellations, crashes and reconnects. The
    // sidecar restarts and drains. No request starts twice or after it was reported as not run,
    // each request gets one end by its deadline, the ledger is consistent, and no memory stays
    // without an owner.
    #[test]
    fn invariants_hold_over_random_schedules(steps in schedules(LENGTH)) {
        let simulation = EndpointSimulation::new(EndpointSafeguards::default()).run(&steps);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
    }
}

struct SafeguardCase {
    name: &'static str,
    safeguards: EndpointSafeguards,
    expected: Violation,
}

fn safeguard_cases() -> Vec<SafeguardCase> {
    let on = EndpointSafeguards::default();
    vec![
        SafeguardCase {
            name: "tombstones",
            safeguards: EndpointSafeguards {
                tombstones: false,
                ..on
            },
            expected: Violation::StartedAfterNotRun,
        },
        SafeguardCase {
            name: "one run",
            safeguards: EndpointSafeguards {
                single_run: false,
                ..on
            },
            expected: Violation::StartedTwice,
        },
        SafeguardCase {
            name: "orphan collection",
            safeguards: EndpointSafeguards {
                orphan_collection: false,
                ..on
            },
            expected: Violation::OrphanKept,
        },
        SafeguardCase {
            name: "deadlines",
            safeguards: EndpointSafeguards {
                deadlines: false,
                ..on
            },
            expected: Violation::NoEndInTime,
        },
        SafeguardCase {
            name: "drain queue",
            safeguards: EndpointSafeguards {
                drain_queue: false,
                ..on
            },
            expected: Violation::StartedWhileDraining,
        },
    ]
}

// Runs the same schedules with one safeguard off at a time. The violation that the safeguard
// prevents must occur, which shows that the checks can fail and that the schedules reach the
// failure.
#[test]
fn without_a_safeguard_its_violation_occurs() {
    for case in safeguard_cases() {
        let seen = violations(case.safeguards);
        assert!(seen.contains(&case.expected), "{}: {seen:?}", case.name);
    }
}

fn violations(safeguards: EndpointSafeguards) -> BTreeSet<Violation> {
    let mut runner = TestRunner::new(config());
    let strategy = schedules(LENGTH);
    let mut seen = BTreeSet::new();
    for _ in 0..SAFEGUARD_CASES {
        let steps = strategy.new_tree(&mut runner).unwrap().current();
        seen.extend(EndpointSimulation::new(safeguards).run(&steps).violations);
    }
    seen
}

// A simulation in which no request starts would satisfy all invariants.
#[test]
fn schedules_start_requests() {
    let mut runner = TestRunner::new(config());
    let strategy = schedules(LENGTH);
    let started: usize = (0..SAFEGUARD_CASES)
        .map(|_| {
            let steps = strategy.new_tree(&mut runner).unwrap().current();
            let simulation = EndpointSimulation::new(EndpointSafeguards::default()).run(&steps);
            simulation.started
        })
        .sum();
    assert!(
        started * 2 > SAFEGUARD_CASES as usize * 5,
        "{started} starts"
    );
}
