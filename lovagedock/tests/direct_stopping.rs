//! Which requests a gateway takes while it stops.

use std::time::Duration;

use lovagedock::{LateRequest, StopPlan};

struct StopCase {
    name: &'static str,
    after_ms: u64,
    /// Time that the request has.
    allowed_ms: u64,
    takes: bool,
}

/// Guards against a closed door while all gateways stop, and against a request that is cut.
#[test]
fn a_stopping_gateway_takes_what_ends_in_time() {
    let cases = [
        StopCase {
            name: "at once, however much time it has",
            after_ms: 100,
            allowed_ms: 15_000,
            takes: true,
        },
        StopCase {
            name: "a stream as the notice ends",
            after_ms: 2_799,
            allowed_ms: 10_000,
            takes: true,
        },
        StopCase {
            name: "a stream after the notice",
            after_ms: 2_800,
            allowed_ms: 10_000,
            takes: false,
        },
        StopCase {
            name: "a plain call whose time is over by the end",
            after_ms: 6_500,
            allowed_ms: 1_200,
            takes: true,
        },
        StopCase {
            name: "a plain call whose time is not",
            after_ms: 6_501,
            allowed_ms: 1_200,
            takes: false,
        },
        StopCase {
            name: "anything after the end",
            after_ms: 8_000,
            allowed_ms: 1,
            takes: false,
        },
    ];
    let plan = StopPlan::new(ms(0), ms(7_700));
    for case in cases {
        let now = ms(case.after_ms);
        let deadline = now + ms(case.allowed_ms);
        let takes = plan.takes(now, &LateRequest { deadline });
        assert_eq!(takes, case.takes, "{}", case.name);
    }
}

/// Guards against a process that is killed with its requests since it waits for the notice to end.
#[test]
fn a_short_stop_ends_before_its_notice_would() {
    let plan = StopPlan::new(ms(500), ms(1_700));
    assert_eq!(plan.ends_at(), ms(2_200));
    assert_eq!(plan.notice_ends_at(), ms(2_200));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
