//! The configuration in force never reverts, is always an accepted one and reaches all processes.

mod support;

use std::time::Duration;

use lovagedock::DurableSafeguards;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::relay_simulation::{RelaySetup, RelaySimulation};

const CASES: u32 = 60;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Runs a random sequence of changes, crashes, restarts, store outages and region partitions.
fn run_with_faults(setup: RelaySetup) -> RelaySimulation {
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let regions = setup.regions;
    let mut simulation = RelaySimulation::new(setup);
    for _ in 0..40 {
        simulation.run(Duration::from_millis(rng.random_range(1..900)));
        let position = rng.random_range(0..simulation.len());
        match rng.random_range(0..9) {
            0..3 => {
                simulation.accept();
            }
            3 => simulation.kill(position),
            4 => simulation.restart(position),
            5 => simulation.store_up = false,
            6 => simulation.store_up = true,
            7 => {
                simulation.cut_regions.insert(rng.random_range(0..regions));
            }
            _ => simulation.cut_regions.clear(),
        }
    }
    simulation
}

/// Ends all faults, accepts a change and runs until it must be in force everywhere.
fn repair_and_accept(simulation: &mut RelaySimulation) {
    simulation.store_up = true;
    simulation.cut_regions.clear();
    simulation.setup.loss = 0;
    simulation.setup.damage = 0;
    for position in 0..simulation.len() {
        if !simulation.is_alive(position) {
            simulation.restart(position);
        }
    }
    simulation.run(Duration::from_secs(12));
    simulation.accept();
    simulation.run(IN_FORCE_TIMEOUT);
}

fn setups() -> impl Strategy<Value = RelaySetup> {
    let sizes = (any::<u64>(), 1..4usize, 3..20usize, 0..30usize);
    let faults = (0..30u32, 0..20u32);
    (sizes, faults).prop_map(
        |((seed, regions, relays, leaves), (loss, damage))| RelaySetup {
            seed,
            regions,
            domains: regions * 2,
            relays,
            leaves,
            loss,
            damage,
            ..RelaySetup::default()
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    // Operators apply changes while processes die, messages are lost and damaged, the store goes
    // down and regions are cut off. No process ever reverts to an older generation or adopts a
    // configuration that was not accepted. After the faults, a change is in force everywhere within
    // 6 s.
    #[test]
    fn a_generation_never_goes_back(setup in setups()) {
        let mut simulation = run_with_faults(setup);
        repair_and_accept(&mut simulation);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        for position in 0..simulation.len() {
            prop_assert_eq!(simulation.generation(position), simulation.accepted(), "process {}", position);
        }
    }
}

struct SafeguardCase {
    name: &'static str,
    switch_off: fn(&mut DurableSafeguards),
    symptom: &'static str,
}

const SAFEGUARD_CASES: &[SafeguardCase] = &[
    SafeguardCase {
        name: "lower generations adopted",
        switch_off: |safeguards| safeguards.monotonic_generations = false,
        symptom: "went back",
    },
    SafeguardCase {
        name: "digests not verified",
        switch_off: |safeguards| safeguards.verified_digests = false,
        symptom: "a configuration that was not accepted",
    },
];

// With a safeguard off, at least one schedule shows the failure that the safeguard prevents.
#[test]
fn each_safeguard_prevents_its_failure() {
    for case in SAFEGUARD_CASES {
        let mut safeguards = DurableSafeguards::default();
        (case.switch_off)(&mut safeguards);
        let seen = (0..20).any(|seed| {
            let simulation = run_with_faults(RelaySetup {
                seed,
                regions: 2,
                domains: 4,
                relays: 10,
                loss: 20,
                damage: 10,
                safeguards,
                ..RelaySetup::default()
            });
            simulation
                .violations
                .iter()
                .any(|v| v.contains(case.symptom))
        });
        assert!(seen, "{}: no schedule shows the failure", case.name);
    }
}
