//! Tests of backoff periods that endpoints request.

use std::time::Duration;

use lovagedock::{
    AttemptEnd, BackoffEvent, DirectMachine, DirectStep, EndpointBackoffs, EndpointProcess,
    ResultCode, RetryAfter, RouteMode,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct BackoffCase {
    name: &'static str,
    /// Arrival time and retry delay of each response, in milliseconds.
    responses: &'static [(u64, u64)],
    end_ms: u64,
}

const BACKOFF_CASES: &[BackoffCase] = &[
    BackoffCase {
        name: "single delay",
        responses: &[(100, 3_000)],
        end_ms: 3_100,
    },
    BackoffCase {
        name: "a longer delay replaces a shorter one",
        responses: &[(100, 500), (200, 3_000)],
        end_ms: 3_200,
    },
    BackoffCase {
        name: "a shorter delay does not end a longer one",
        responses: &[(100, 3_000), (200, 500)],
        end_ms: 3_100,
    },
];

/// Guards against a backoff that ends before the latest requested end, or does not end.
#[test]
fn overlapping_delays_end_at_the_latest_end() {
    let endpoint = EndpointProcess::new("i-0", 1);
    for case in BACKOFF_CASES {
        let mut backoffs = EndpointBackoffs::new();
        for (at, delay) in case.responses {
            backoffs.record(ms(*at), &endpoint, RetryAfter::Delay(ms(*delay)));
        }
        let end = backoffs.backoff_end(ms(300), &endpoint);
        assert_eq!(end, Some(ms(case.end_ms)), "{}", case.name);
        assert_eq!(
            backoffs.backoff_end(ms(case.end_ms), &endpoint),
            None,
            "{}",
            case.name
        );
        let ended = backoffs.take_ended(ms(case.end_ms));
        assert_eq!(ended, std::slice::from_ref(&endpoint), "{}", case.name);
    }
}

/// Guards against a malformed delay that starts a backoff, and a backoff that outlives the process that
/// requested it.
#[test]
fn malformed_delays_and_former_processes_cause_no_backoff() {
    let (former, next) = (
        EndpointProcess::new("i-0", 1),
        EndpointProcess::new("i-0", 2),
    );
    let mut backoffs = EndpointBackoffs::new();
    let first = backoffs.record(ms(100), &former, RetryAfter::Malformed);
    assert_eq!(first, Some(BackoffEvent::Malformed));
    assert_eq!(
        backoffs.record(ms(200), &former, RetryAfter::Malformed),
        None
    );
    assert_eq!(backoffs.backoff_end(ms(200), &former), None);
    backoffs.record(ms(200), &former, RetryAfter::Delay(ms(1_000)));
    assert_eq!(backoffs.backoff_end(ms(300), &next), None);
}

/// Guards against a withheld request that uses up an attempt or does not resume its stream.
#[test]
fn a_withheld_request_is_placed_again() {
    let endpoint = EndpointProcess::new("i-0", 1);
    let mode = RouteMode::Stream { resumable: true };
    let mut machine = DirectMachine::new(mode, 2, ms(1_000));
    let step = machine.attempt_ended(ms(10), &endpoint, AttemptEnd::Withheld, || false);
    assert_eq!(step, DirectStep::Place { resume: false });
    assert!(machine.excluded().is_empty());
    machine.begin_sending();
    machine.attempt_ended(ms(20), &endpoint, AttemptEnd::Broken, || true);
    let other = EndpointProcess::new("i-1", 1);
    let step = machine.attempt_ended(ms(30), &other, AttemptEnd::Withheld, || false);
    assert_eq!(step, DirectStep::Place { resume: true });
    let step = machine.attempt_ended(ms(990), &other, AttemptEnd::Withheld, || false);
    assert_eq!(step, DirectStep::Cut);
    let mut machine = DirectMachine::new(RouteMode::NonIdempotent, 1, ms(1_000));
    let step = machine.attempt_ended(ms(990), &endpoint, AttemptEnd::Withheld, || false);
    assert_eq!(step, DirectStep::Answer(ResultCode::ExpiredWaiting));
}
