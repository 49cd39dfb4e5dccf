//! Failing endpoints are ejected up to a limit and readmitted after a successful probe.

use std::time::Duration;

use lovagedock::{
    EndpointId, OutlierAction, OutlierCause, OutlierDetector, OutlierEvent, OutlierSettings,
};
use proptest::prelude::*;

const SETTINGS: OutlierSettings = OutlierSettings {
    consecutive_failures: 3,
    base_ejection: Duration::from_secs(5),
    max_ejection: Duration::from_secs(60),
    max_ejected_percent: 30,
    probe_timeout: Duration::from_secs(10),
    reset_after: Duration::from_secs(100),
};

fn id(index: usize) -> EndpointId {
    format!("e{index}").into()
}

fn detector(endpoints: usize) -> OutlierDetector {
    let mut detector = OutlierDetector::new(SETTINGS);
    for index in 0..endpoints {
        detector.handle(Duration::ZERO, OutlierEvent::Joined(id(index)));
    }
    detector
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Cause of the only action, if there is one.
fn cause(actions: &[OutlierAction]) -> Option<OutlierCause> {
    assert!(actions.len() <= 1, "{actions:?}");
    actions.first().map(|action| action.cause)
}

fn eject(detector: &mut OutlierDetector, now: Duration, index: usize) -> Vec<OutlierAction> {
    (0..SETTINGS.consecutive_failures)
        .flat_map(|_| detector.handle(now, OutlierEvent::Failed(id(index))))
        .collect()
}

#[test]
fn only_consecutive_failures_eject() {
    let mut detector = detector(10);
    for _ in 0..10 {
        for event in [
            OutlierEvent::Failed(id(0)),
            OutlierEvent::Failed(id(0)),
            OutlierEvent::Succeeded(id(0)),
        ] {
            assert_eq!(detector.handle(at(1), event), []);
        }
    }
    let actions = eject(&mut detector, at(2), 0);
    assert_eq!(cause(&actions), Some(OutlierCause::ConsecutiveFailures));
    assert!(actions[0].ejected);
}

/// Guards against every request to an endpoint waiting for the heartbeat timeout. The connections
/// of the host are dead but each new session opens, so no single request fails quickly. One session
/// that stops responding is therefore enough to eject.
#[test]
fn one_silent_session_ejects() {
    let mut detector = detector(10);
    let actions = detector.handle(at(1), OutlierEvent::WentSilent(id(4)));
    assert_eq!(cause(&actions), Some(OutlierCause::SilentSession));
}

/// A burst of failures may affect all endpoints, for example because of a bad prompt or a failed
/// network switch. Ejecting all of them would leave no endpoint, so only a share is ejected.
#[test]
fn at_most_a_share_is_ejected() {
    struct Case {
        endpoints: usize,
        ejected: usize,
    }
    let cases = [
        Case {
            endpoints: 1,
            ejected: 0,
        },
        Case {
            endpoints: 2,
            ejected: 1,
        },
        Case {
            endpoints: 3,
            ejected: 1,
        },
        Case {
            endpoints: 10,
            ejected: 3,
        },
        Case {
            endpoints: 28,
            ejected: 8,
        },
    ];
    for case in cases {
        let mut detector = detector(case.endpoints);
        for index in 0..case.endpoints {
            eject(&mut detector, at(1), index);
        }
        assert_eq!(detector.ejected_count(), case.ejected);
    }
}

#[test]
fn one_probe_decides_and_ejections_grow_longer() {
    let mut detector = detector(10);
    eject(&mut detector, at(0), 0);
    let mut now = 0;
    for expected in [5, 10, 20, 40, 60, 60] {
        assert_eq!(
            detector.handle(at(now + expected - 1), OutlierEvent::Tick),
            []
        );
        now += expected;
        let allowed = detector.handle(at(now), OutlierEvent::Tick);
        assert_eq!(cause(&allowed), Some(OutlierCause::ProbeAllowed));
        let sent = detector.handle(at(now), OutlierEvent::ProbeSent(id(0)));
        assert_eq!(cause(&sent), Some(OutlierCause::ProbeSent));
        assert!(sent[0].ejected, "no request may follow the probe");
        assert_eq!(detector.handle(at(now), OutlierEvent::ProbeSent(id(0))), []);
        let failed = detector.handle(at(now), OutlierEvent::Failed(id(0)));
        assert_eq!(cause(&failed), Some(OutlierCause::ProbeFailed));
    }
}

/// A probe may be cancelled or its outcome lost. Without a timeout the endpoint would stay ejected
/// for good.
#[test]
fn probe_without_an_outcome_counts_as_failed() {
    let mut detector = detector(10);
    eject(&mut detector, at(0), 0);
    detector.handle(at(5), OutlierEvent::Tick);
    detector.handle(at(6), OutlierEvent::ProbeSent(id(0)));
    assert_eq!(detector.handle(at(15), OutlierEvent::Tick), []);
    let actions = detector.handle(at(16), OutlierEvent::Tick);
    assert_eq!(cause(&actions), Some(OutlierCause::ProbeFailed));
}

/// An endpoint alternates between a successful and a failed request. If its failures were counted
/// from zero after each probe, several requests would fail in each cycle. During probation a single
/// failure ejects it again, for twice as long.
#[test]
fn flapping_endpoint_is_ejected_after_one_failure() {
    let mut detector = detector(10);
    eject(&mut detector, at(0), 0);
    let mut now = 5;
    for expected in [10, 20, 40] {
        detector.handle(at(now), OutlierEvent::Tick);
        detector.handle(at(now), OutlierEvent::ProbeSent(id(0)));
        let readmitted = detector.handle(at(now), OutlierEvent::Succeeded(id(0)));
        assert_eq!(cause(&readmitted), Some(OutlierCause::Readmitted));
        let again = detector.handle(at(now), OutlierEvent::Failed(id(0)));
        assert_eq!(cause(&again), Some(OutlierCause::FailedOnProbation));
        assert_eq!(
            detector.handle(at(now + expected - 1), OutlierEvent::Tick),
            []
        );
        now += expected;
    }
    detector.handle(at(now), OutlierEvent::Tick);
    detector.handle(at(now), OutlierEvent::ProbeSent(id(0)));
    detector.handle(at(now), OutlierEvent::Succeeded(id(0)));
    detector.handle(at(now + 100), OutlierEvent::Succeeded(id(0)));
    eject(&mut detector, at(now + 101), 0);
    let allowed = detector.handle(at(now + 106), OutlierEvent::Tick);
    assert_eq!(
        cause(&allowed),
        Some(OutlierCause::ProbeAllowed),
        "a period without failures resets the duration"
    );
}

#[test]
fn answer_from_before_the_ejection_does_not_readmit() {
    let mut detector = detector(10);
    eject(&mut detector, at(0), 0);
    assert_eq!(detector.handle(at(1), OutlierEvent::Succeeded(id(0))), []);
    assert_eq!(detector.ejected_count(), 1);
}

fn any_event() -> impl Strategy<Value = OutlierEvent> {
    (0..8_usize, 0..7_u8).prop_map(|(index, kind)| match kind {
        0 => OutlierEvent::Joined(id(index)),
        1 => OutlierEvent::Left(id(index)),
        2 => OutlierEvent::Succeeded(id(index)),
        3 => OutlierEvent::Failed(id(index)),
        4 => OutlierEvent::WentSilent(id(index)),
        5 => OutlierEvent::ProbeSent(id(index)),
        _ => OutlierEvent::Tick,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// No event ejects endpoints beyond the limit, and every ejected endpoint is eventually probed.
    #[test]
    fn ejections_stay_within_the_limit_and_end(events in prop::collection::vec(any_event(), 1..200)) {
        let mut detector = detector(8);
        let mut now = 0;
        for event in events {
            now += 1;
            for action in detector.handle(at(now), event) {
                let newly = matches!(
                    action.cause,
                    OutlierCause::ConsecutiveFailures
                        | OutlierCause::SilentSession
                        | OutlierCause::FailedOnProbation
                );
                if newly {
                    prop_assert!(detector.ejected_count() <= detector.ejection_limit());
                }
            }
        }
        detector.handle(at(now + 60), OutlierEvent::Tick);
        detector.handle(at(now + 120), OutlierEvent::Tick);
        for index in 0..8 {
            detector.handle(at(now + 120), OutlierEvent::ProbeSent(id(index)));
            detector.handle(at(now + 120), OutlierEvent::Succeeded(id(index)));
        }
        prop_assert_eq!(detector.ejected_count(), 0);
    }
}
