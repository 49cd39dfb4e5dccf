//! A lease has one holder at a time, and orders take effect in the order of their epochs, over
//! random schedules.

mod support;

use lovagedock::DurableSafeguards;
use proptest::prelude::*;
use support::lease_simulation::{LeaseFaults, LeaseSimulation};

const CASES: u32 = 150;

const HIGH_FAULT_RATES: LeaseFaults = LeaseFaults {
    lost_confirmation: 25,
    unavailable: 20,
    pause: 10,
    release: 1,
};

fn faults() -> impl Strategy<Value = LeaseFaults> {
    let rates = (0..50u32, 0..50u32, 0..30u32, 0..4u32);
    rates.prop_map(|rates| LeaseFaults {
        lost_confirmation: rates.0,
        unavailable: rates.1,
        pause: rates.2,
        release: rates.3,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        ..ProptestConfig::default()
    })]

    // Three processes whose clocks run up to 2% fast or slow contend for a lease. Meanwhile the
    // store is slow, down or loses confirmations, and holders are paused beyond the end of their
    // lease. Two processes never have a fence at the same time, no epoch has two holders, and
    // orders take effect at the receiver in the order of their epochs, including long-delayed ones.
    #[test]
    fn one_holder_at_a_time(seed in any::<u64>(), faults in faults()) {
        let report = LeaseSimulation::new(seed, faults, DurableSafeguards::default()).run();
        prop_assert!(report.violations.is_empty(), "{:?}", report.violations);
    }
}

// The schedules reach changes of the holder and late orders. Without them the property would be
// trivially true.
#[test]
fn the_schedules_reach_late_orders() {
    let reports = (0..20).map(|seed| {
        LeaseSimulation::new(seed, HIGH_FAULT_RATES, DurableSafeguards::default()).run()
    });
    let reports: Vec<_> = reports.collect();
    let epochs: usize = reports.iter().map(|report| report.epochs.len()).sum();
    let orders: usize = reports.iter().map(|report| report.orders).sum();
    let refused: usize = reports.iter().map(|report| report.refused).sum();
    assert!(epochs > 50, "{epochs}");
    assert!(orders > 1_000, "{orders}");
    assert!(refused > 20, "{refused}");
}

struct SafeguardCase {
    name: &'static str,
    switch_off: fn(&mut DurableSafeguards),
    symptom: &'static str,
}

const SAFEGUARD_CASES: &[SafeguardCase] = &[
    SafeguardCase {
        name: "lease counted from the confirmation",
        switch_off: |safeguards| safeguards.lease_from_request = false,
        symptom: "hold the lease at the same time",
    },
    SafeguardCase {
        name: "taken over before the expiry",
        switch_off: |safeguards| safeguards.wait_for_lease_expiry = false,
        symptom: "hold the lease at the same time",
    },
    SafeguardCase {
        name: "writes without a condition",
        switch_off: |safeguards| safeguards.conditional_writes = false,
        symptom: "has two holders",
    },
];

// With a safeguard off, at least one schedule shows the failure that the safeguard prevents.
#[test]
fn each_safeguard_prevents_its_failure() {
    for case in SAFEGUARD_CASES {
        let mut safeguards = DurableSafeguards::default();
        (case.switch_off)(&mut safeguards);
        let seen = (0..40).any(|seed| {
            let report = LeaseSimulation::new(seed, HIGH_FAULT_RATES, safeguards).run();
            report.violations.iter().any(|v| v.contains(case.symptom))
        });
        assert!(seen, "{}: no schedule shows the failure", case.name);
    }
}
