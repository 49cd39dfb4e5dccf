//! Tests of the requests that a stopping gateway admits and sends.

mod direct_support;

use std::time::Duration;

use lovagedock::{RequestOutlook, ServiceProfile, StopPlan, prelude::*};

struct StopCase {
    name: &'static str,
    after_ms: u64,
    /// Time until the request's deadline.
    time_left_ms: u64,
    expected_ms: u64,
    is_admitted: bool,
}

/// Guards against requests that are refused without need while all gateways stop, and against
/// requests that are cut.
#[test]
fn a_stopping_gateway_admits_requests_that_end_in_time() {
    let cases = [
        StopCase {
            name: "at once, with any deadline",
            after_ms: 100,
            time_left_ms: 15_000,
            expected_ms: 4_000,
            is_admitted: true,
        },
        StopCase {
            name: "a stream at the end of the notice period",
            after_ms: 2_799,
            time_left_ms: 10_000,
            expected_ms: 4_901,
            is_admitted: true,
        },
        StopCase {
            name: "a stream at the end of the notice period, expected to outlast the stop",
            after_ms: 2_799,
            time_left_ms: 10_000,
            expected_ms: 4_902,
            is_admitted: false,
        },
        StopCase {
            name: "a stream after the notice period",
            after_ms: 2_800,
            time_left_ms: 10_000,
            expected_ms: 100,
            is_admitted: false,
        },
        StopCase {
            name: "a plain call with a deadline before the end",
            after_ms: 6_500,
            time_left_ms: 1_200,
            expected_ms: 0,
            is_admitted: true,
        },
        StopCase {
            name: "a plain call with a deadline after the end",
            after_ms: 6_501,
            time_left_ms: 1_200,
            expected_ms: 0,
            is_admitted: false,
        },
        StopCase {
            name: "any request after the end",
            after_ms: 8_000,
            time_left_ms: 1,
            expected_ms: 1,
            is_admitted: false,
        },
    ];
    let plan = StopPlan::new(ms(0), ms(7_700));
    for case in cases {
        let now = ms(case.after_ms);
        let deadline = now + ms(case.time_left_ms);
        let expected = ms(case.expected_ms);
        let is_admitted = plan.admits(now, &RequestOutlook { deadline, expected });
        assert_eq!(is_admitted, case.is_admitted, "{}", case.name);
    }
}

struct SendCase {
    name: &'static str,
    at_ms: u64,
    deadline_ms: u64,
    expected_ms: u64,
    is_sent: bool,
}

/// Guards against a request that was admitted, waits until the stop is nearly over, and is sent
/// then.
#[test]
fn a_request_that_waited_is_sent_only_if_it_ends_in_time() {
    let cases = [
        SendCase {
            name: "a plain call with little time left",
            at_ms: 7_400,
            deadline_ms: 9_000,
            expected_ms: 0,
            is_sent: true,
        },
        SendCase {
            name: "a plain call with almost no time left",
            at_ms: 7_401,
            deadline_ms: 9_000,
            expected_ms: 0,
            is_sent: false,
        },
        SendCase {
            name: "a request with a deadline before the end",
            at_ms: 7_401,
            deadline_ms: 7_600,
            expected_ms: 0,
            is_sent: true,
        },
        SendCase {
            name: "a stream that still fits",
            at_ms: 4_700,
            deadline_ms: 12_000,
            expected_ms: 3_000,
            is_sent: true,
        },
        SendCase {
            name: "a stream that has waited too long",
            at_ms: 4_701,
            deadline_ms: 12_000,
            expected_ms: 3_000,
            is_sent: false,
        },
    ];
    let plan = StopPlan::new(ms(0), ms(7_700));
    for case in cases {
        let request = RequestOutlook {
            deadline: ms(case.deadline_ms),
            expected: ms(case.expected_ms),
        };
        let is_sent = plan.may_send(ms(case.at_ms), &request);
        assert_eq!(is_sent, case.is_sent, "{}", case.name);
    }
}

struct ExpectedCase {
    name: &'static str,
    prompt: TokenCount,
    answer: TokenCount,
    limit: Option<TokenCount>,
    after_ms: u64,
    is_admitted: bool,
}

/// Guards against streams that are admitted during the notice period and expected to outlast the
/// stop.
#[test]
fn expected_time_covers_long_answers() {
    let cases = [
        ExpectedCase {
            name: "short",
            prompt: 5_000,
            answer: 800,
            limit: Some(4_002),
            after_ms: 2_700,
            is_admitted: true,
        },
        ExpectedCase {
            name: "long",
            prompt: 5_000,
            answer: 3_000,
            limit: Some(4_002),
            after_ms: 2_700,
            is_admitted: false,
        },
        ExpectedCase {
            name: "long, with more time left",
            prompt: 5_000,
            answer: 3_000,
            limit: Some(4_002),
            after_ms: 100,
            is_admitted: true,
        },
        ExpectedCase {
            name: "expected to be longer than it may be",
            prompt: 5_000,
            answer: 3_000,
            limit: Some(800),
            after_ms: 2_700,
            is_admitted: true,
        },
        ExpectedCase {
            name: "a prompt that several engines prefill in time",
            prompt: 600_000,
            answer: 800,
            limit: None,
            after_ms: 1_000,
            is_admitted: true,
        },
        ExpectedCase {
            name: "the same with less time left",
            prompt: 600_000,
            answer: 1_800,
            limit: None,
            after_ms: 2_700,
            is_admitted: false,
        },
    ];
    let plan = StopPlan::new(ms(0), ms(7_700));
    let service = ServiceProfile {
        id: "model".into(),
        max_connections: 100,
        engine: Some(direct_support::PROFILE),
        cold: None,
    };
    for case in cases {
        let request = RequestOutlook {
            deadline: ms(15_000),
            expected: service.expected_time(ms(3_000), case.prompt, case.answer, case.limit),
        };
        let is_admitted = plan.admits(ms(case.after_ms), &request);
        assert_eq!(is_admitted, case.is_admitted, "{}", case.name);
    }
}

/// Guards against a process that is killed with its requests because it waits for the end of the
/// notice period.
#[test]
fn a_short_stop_ends_before_its_notice_would() {
    let plan = StopPlan::new(ms(500), ms(1_700));
    assert_eq!(plan.ends_at(), ms(2_200));
    assert_eq!(plan.notice_ends_at(), ms(2_200));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
