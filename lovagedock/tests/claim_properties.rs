//! A key runs at most once and always returns the same bytes, over random schedules of several
//! gateways and a faulty store.

mod support;

use lovagedock::{ClaimLimits, DurableSafeguards};
use proptest::prelude::*;
use support::claim_simulation::{ClaimSimulation, FaultRates, Schedule, SimulationReport};

const CASES: u32 = 300;

fn test_limits() -> ClaimLimits {
    ClaimLimits {
        inline_bytes: 256,
        part_bytes: 2_000,
        partition_bytes: 20_000,
        ..ClaimLimits::default()
    }
}

fn schedule(seed: u64, faults: FaultRates) -> Schedule {
    Schedule {
        seed,
        gateways: 3,
        keys: 12,
        requests: 60,
        faults,
        safeguards: DurableSafeguards::default(),
        limits: test_limits(),
    }
}

const HIGH_FAULT_RATES: FaultRates = FaultRates {
    lost_confirmation: 20,
    unavailable: 15,
    crash: 5,
    pause: 5,
    owner_silent: 15,
    abandon: 15,
};

fn fault_rates() -> impl Strategy<Value = FaultRates> {
    let rates = (0..40u32, 0..40u32, 0..15u32, 0..15u32, 0..30u32, 0..30u32);
    rates.prop_map(|rates| FaultRates {
        lost_confirmation: rates.0,
        unavailable: rates.1,
        crash: rates.2,
        pause: rates.3,
        owner_silent: rates.4,
        abandon: rates.5,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    // Callers repeat keyed requests through several gateways. Meanwhile confirmations are lost, the
    // store refuses calls, and gateways crash and pause. No key runs twice, every delivery of a key
    // has the same bytes, each request ends exactly once, and no object exceeds its size limit.
    #[test]
    fn a_key_runs_at_most_once(seed in any::<u64>(), faults in fault_rates()) {
        let report = ClaimSimulation::new(schedule(seed, faults)).run();
        prop_assert!(report.violations.is_empty(), "{:?}", report.violations);
    }
}

// The schedules above reach every outcome. Without grants and replays the property would be
// trivially true.
#[test]
fn the_schedules_reach_every_outcome() {
    let mut total = SimulationReport::default();
    for seed in 0..40 {
        let report = ClaimSimulation::new(schedule(seed, HIGH_FAULT_RATES)).run();
        total.granted += report.granted;
        total.replayed += report.replayed;
        total.recorded += report.recorded;
        for (code, count) in report.refused {
            *total.refused.entry(code).or_default() += count;
        }
    }
    assert!(total.granted > 100, "{total:?}");
    assert!(total.replayed > 100, "{total:?}");
    assert!(total.recorded > 100, "{total:?}");
    for code in [2006, 2007, 3004] {
        assert!(total.refused.contains_key(&code), "{code} in {total:?}");
    }
}

struct SafeguardCase {
    name: &'static str,
    switch_off: fn(&mut DurableSafeguards),
    symptom: &'static str,
}

const SAFEGUARD_CASES: &[SafeguardCase] = &[
    SafeguardCase {
        name: "writes without a condition",
        switch_off: |safeguards| safeguards.conditional_writes = false,
        symptom: "ran twice",
    },
    SafeguardCase {
        name: "grants before the confirmation",
        switch_off: |safeguards| safeguards.confirmed_grants = false,
        symptom: "ran twice",
    },
    SafeguardCase {
        name: "lapsed claims taken over",
        switch_off: |safeguards| safeguards.retain_expired_claims = false,
        symptom: "ran twice",
    },
];

// With a safeguard off, at least one schedule shows the failure that the safeguard prevents.
#[test]
fn each_safeguard_prevents_its_failure() {
    for case in SAFEGUARD_CASES {
        let mut safeguards = DurableSafeguards::default();
        (case.switch_off)(&mut safeguards);
        let seen = (0..60).any(|seed| {
            let mut schedule = schedule(seed, HIGH_FAULT_RATES);
            schedule.safeguards = safeguards;
            let report = ClaimSimulation::new(schedule).run();
            report.violations.iter().any(|v| v.contains(case.symptom))
        });
        assert!(seen, "{}: no schedule shows the failure", case.name);
    }
}
