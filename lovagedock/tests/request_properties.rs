//! Properties of a request under random faults, and the failure that each safeguard prevents.

mod request_support;

use lovagedock::RequestSafeguards;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use request_support::{FaultSchedule, Violation, check_schedule, schedules};

const CASES: u32 = 2000;
const MAX_CASES_UNTIL_VIOLATION: u32 = 20_000;

fn runner(cases: u32, shrinks: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: shrinks,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

// Faults in any order and number: connections go silent, sidecars restart, frames are lost,
// repeated, delayed or damaged, the caller disconnects, the gateway stops. The caller gets exactly
// one correct final result by its deadline and a clean end only after a complete answer. A
// non-idempotent request never starts twice.
#[test]
fn guarantees_hold_under_any_schedule() {
    guarantees_hold(false);
}

// The same with the sidecar's real state machine at the other end of the links.
#[test]
fn guarantees_hold_with_the_real_sidecar() {
    guarantees_hold(true);
}

fn guarantees_hold(real_sidecars: bool) {
    let outcome = runner(CASES, 500).run(&schedules(real_sidecars, 0), |schedule| {
        check_schedule(&schedule, RequestSafeguards::ALL)
            .map_err(|violation| fail(violation, &schedule))
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

struct SafeguardCase {
    name: &'static str,
    safeguards: RequestSafeguards,
    violation: Violation,
}

// With one safeguard off, the same schedules violate the guarantee that it protects.
#[test]
fn each_safeguard_is_needed() {
    guarantees_break_without_each_safeguard(false);
}

#[test]
fn each_safeguard_is_needed_with_the_real_sidecar() {
    guarantees_break_without_each_safeguard(true);
}

fn guarantees_break_without_each_safeguard(real_sidecars: bool) {
    let all = RequestSafeguards::ALL;
    let cases = [
        SafeguardCase {
            name: "revoke_before_retry",
            safeguards: RequestSafeguards {
                revoke_before_retry: false,
                ..all
            },
            violation: Violation::RanTwice,
        },
        SafeguardCase {
            name: "check_verdict_incarnation",
            safeguards: RequestSafeguards {
                check_verdict_incarnation: false,
                ..all
            },
            violation: Violation::RanTwice,
        },
        SafeguardCase {
            name: "drop_old_attempts",
            safeguards: RequestSafeguards {
                drop_old_attempts: false,
                ..all
            },
            violation: Violation::MixedAnswer,
        },
        SafeguardCase {
            name: "check_offsets",
            safeguards: RequestSafeguards {
                check_offsets: false,
                ..all
            },
            violation: Violation::MixedAnswer,
        },
        SafeguardCase {
            name: "check_end",
            safeguards: RequestSafeguards {
                check_end: false,
                ..all
            },
            violation: Violation::WrongAnswer,
        },
        SafeguardCase {
            name: "remember_ran",
            safeguards: RequestSafeguards {
                remember_ran: false,
                ..all
            },
            violation: Violation::RanAfterNotRun,
        },
    ];
    for case in cases {
        let outcome =
            runner(MAX_CASES_UNTIL_VIOLATION, 0).run(&schedules(real_sidecars, 4), |schedule| {
                match check_schedule(&schedule, case.safeguards) {
                    Err(violation) if violation == case.violation => {
                        Err(fail(violation, &schedule))
                    }
                    _ => Ok(()),
                }
            });
        assert!(outcome.is_err(), "no violation found without {}", case.name);
    }
}

fn fail(violation: Violation, schedule: &FaultSchedule) -> TestCaseError {
    TestCaseError::fail(format!("{violation:?} by {schedule:?}"))
}
