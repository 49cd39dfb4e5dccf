//! Tests of the next step after each attempt of a request.

use std::time::Duration;

use lovagedock::{AttemptEnd, DirectMachine, DirectStep, EndpointProcess, RouteMode, prelude::*};

const RESUMABLE_STREAM: RouteMode = RouteMode::Stream { resumable: true };
const NON_RESUMABLE_STREAM: RouteMode = RouteMode::Stream { resumable: false };

struct StepCase {
    name: &'static str,
    mode: RouteMode,
    attempts: u32,
    ends: &'static [AttemptEnd],
    retries: bool,
    expected: DirectStep,
    ran: RanState,
}

/// Each case runs a request through the given attempts and checks the last step.
const CASES: &[StepCase] = &[
    StepCase {
        name: "a connection that cannot be opened costs no attempt and no retry",
        mode: RouteMode::NonIdempotent,
        attempts: 1,
        ends: &[AttemptEnd::Unreachable],
        retries: false,
        expected: DirectStep::Place { resume: false },
        ran: RanState::No,
    },
    StepCase {
        name: "unreachable after four endpoints",
        mode: RouteMode::NonIdempotent,
        attempts: 1,
        ends: &[AttemptEnd::Unreachable; 5],
        retries: true,
        expected: DirectStep::Answer(ResultCode::EndpointUnreachable),
        ran: RanState::No,
    },
    StepCase {
        name: "a request with a lost response may have run, so it is not sent again",
        mode: RouteMode::NonIdempotent,
        attempts: 3,
        ends: &[AttemptEnd::Lost],
        retries: true,
        expected: DirectStep::Answer(ResultCode::EndpointLost),
        ran: RanState::Unknown,
    },
    StepCase {
        name: "confirmation that nothing ran allows another endpoint",
        mode: RouteMode::NonIdempotent,
        attempts: 2,
        ends: &[AttemptEnd::NotRun],
        retries: true,
        expected: DirectStep::Place { resume: false },
        ran: RanState::No,
    },
    StepCase {
        name: "attempts are bounded even if nothing ran",
        mode: RouteMode::NonIdempotent,
        attempts: 1,
        ends: &[AttemptEnd::NotRun],
        retries: true,
        expected: DirectStep::Answer(ResultCode::EngineRefused),
        ran: RanState::No,
    },
    StepCase {
        name: "a misdirected request did not run",
        mode: RouteMode::NonIdempotent,
        attempts: 1,
        ends: &[AttemptEnd::Misdirected],
        retries: true,
        expected: DirectStep::Answer(ResultCode::EngineRefused),
        ran: RanState::No,
    },
    StepCase {
        name: "an idempotent request is sent again after a loss",
        mode: RouteMode::Idempotent,
        attempts: 2,
        ends: &[AttemptEnd::Lost],
        retries: true,
        expected: DirectStep::Place { resume: false },
        ran: RanState::Unknown,
    },
    StepCase {
        name: "without a retry left the loss is reported",
        mode: RouteMode::Idempotent,
        attempts: 2,
        ends: &[AttemptEnd::Lost],
        retries: false,
        expected: DirectStep::Answer(ResultCode::EndpointLost),
        ran: RanState::Unknown,
    },
    StepCase {
        name: "\"not run\" after a loss would be untrue",
        mode: RouteMode::Idempotent,
        attempts: 2,
        ends: &[AttemptEnd::Lost, AttemptEnd::NotRun],
        retries: true,
        expected: DirectStep::Answer(ResultCode::EndpointLost),
        ran: RanState::Unknown,
    },
    StepCase {
        name: "an engine's own error is delivered when no attempt is left",
        mode: RouteMode::NonIdempotent,
        attempts: 1,
        ends: &[AttemptEnd::Failed],
        retries: true,
        expected: DirectStep::DeliverFailure,
        ran: RanState::Unknown,
    },
    StepCase {
        name: "a broken stream continues on another endpoint",
        mode: RESUMABLE_STREAM,
        attempts: 2,
        ends: &[AttemptEnd::Broken],
        retries: true,
        expected: DirectStep::Place { resume: true },
        ran: RanState::Unknown,
    },
    StepCase {
        name: "a broken stream that may not continue is cut",
        mode: NON_RESUMABLE_STREAM,
        attempts: 2,
        ends: &[AttemptEnd::Broken],
        retries: true,
        expected: DirectStep::Cut,
        ran: RanState::Unknown,
    },
    StepCase {
        name: "a complete response ends the request",
        mode: RESUMABLE_STREAM,
        attempts: 2,
        ends: &[AttemptEnd::Broken, AttemptEnd::Complete],
        retries: true,
        expected: DirectStep::Done,
        ran: RanState::Unknown,
    },
];

#[test]
fn steps_follow_from_attempts() {
    for case in CASES {
        let mut machine = DirectMachine::new(case.mode, case.attempts, ms(1_000));
        let mut step = DirectStep::Place { resume: false };
        for (index, end) in case.ends.iter().enumerate() {
            if *end != AttemptEnd::Unreachable {
                machine.begin_sending();
            }
            let endpoint = EndpointProcess::new(format!("engine-{index}"), 1);
            step = machine.attempt_ended(ms(10), &endpoint, *end, || case.retries);
            assert!(machine.excluded().contains(&endpoint), "{}", case.name);
        }
        assert_eq!(step, case.expected, "{}", case.name);
        assert_eq!(machine.ran(), case.ran, "{}", case.name);
    }
}

/// Guards against another attempt without time left, which would only use engine capacity.
#[test]
fn nothing_is_sent_just_before_the_deadline() {
    let mut machine = DirectMachine::new(RouteMode::Idempotent, 3, ms(1_000));
    machine.begin_sending();
    let step = machine.attempt_ended(
        ms(990),
        &EndpointProcess::new("engine", 1),
        AttemptEnd::Lost,
        || true,
    );
    assert_eq!(step, DirectStep::Answer(ResultCode::ExpiredUnknown));
}

/// Guards against a wrong statement about whether an expired request ran: a request that was sent
/// to an endpoint may have run, and one that only waited has not.
#[test]
fn an_expired_request_reports_whether_it_may_have_run() {
    let mut waited = DirectMachine::new(RouteMode::NonIdempotent, 1, ms(1_000));
    let expired = waited.expired_attempt_step(AttemptEnd::Unreachable);
    assert_eq!(expired, DirectStep::Answer(ResultCode::ExpiredWaiting));
    let mut sent = DirectMachine::new(RouteMode::NonIdempotent, 1, ms(1_000));
    let expired = sent.expired_attempt_step(AttemptEnd::Lost);
    assert_eq!(expired, DirectStep::Answer(ResultCode::ExpiredUnknown));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a request that is sent more than once in addition to its route's attempts after
/// its engines became silent. A request that is lost repeatedly may itself be the cause.
#[test]
fn one_silent_process_grants_an_extra_attempt() {
    let mut machine = DirectMachine::new(RouteMode::Idempotent, 2, ms(10_000));
    let mut sent = 0;
    loop {
        machine.begin_sending();
        sent += 1;
        machine.grant_extra_attempt();
        let endpoint = EndpointProcess::new(format!("i-{sent}"), 1);
        let step = machine.attempt_ended(ms(10), &endpoint, AttemptEnd::Lost, || true);
        if step != (DirectStep::Place { resume: false }) {
            break;
        }
    }
    assert_eq!(sent, 3);
}

struct StopCase {
    name: &'static str,
    /// Ends of earlier attempts; `in_flight` states whether another attempt has started.
    ends: &'static [AttemptEnd],
    in_flight: bool,
    expected: ResultCode,
}

/// Guards against the statement "not run" to the caller of a request that an engine may continue to
/// run.
#[test]
fn a_stopped_request_reports_whether_it_may_have_run() {
    let cases = [
        StopCase {
            name: "never sent",
            ends: &[],
            in_flight: false,
            expected: ResultCode::GatewayStopping,
        },
        StopCase {
            name: "in flight",
            ends: &[],
            in_flight: true,
            expected: ResultCode::GatewayStopped,
        },
        StopCase {
            name: "refused as not run, and not sent since",
            ends: &[AttemptEnd::NotRun],
            in_flight: false,
            expected: ResultCode::GatewayStopping,
        },
        StopCase {
            name: "refused as not run, and sent again",
            ends: &[AttemptEnd::NotRun],
            in_flight: true,
            expected: ResultCode::GatewayStopped,
        },
        StopCase {
            name: "lost, and not sent since",
            ends: &[AttemptEnd::Lost],
            in_flight: false,
            expected: ResultCode::GatewayStopped,
        },
    ];
    for case in cases {
        let mut machine = DirectMachine::new(RESUMABLE_STREAM, 3, ms(10_000));
        for end in case.ends {
            machine.begin_sending();
            let endpoint = EndpointProcess::new("i-0", 1);
            machine.attempt_ended(ms(100), &endpoint, *end, || true);
        }
        if case.in_flight {
            machine.begin_sending();
        }
        assert_eq!(machine.stopped_code(), case.expected, "{}", case.name);
    }
}
