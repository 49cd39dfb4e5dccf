//! Retries are limited to a share of recent successes and spread over time.

use std::time::Duration;

use lovagedock::{BackoffCurve, RetryAllowance, RetryBudget};

const ALLOWANCE: RetryAllowance = RetryAllowance {
    share: 0.1,
    floor_per_second: 1.0,
    capacity: 20.0,
};

// Every request fails its first attempt, as after the loss of a failure domain under load. Without
// a budget the load would double. With a budget, retries add at most the share, the unused retries
// and the floor.
#[test]
fn retries_do_not_amplify_an_outage() {
    struct OutageCase {
        requests: u32,
        successes: u32,
        max_retries: u32,
    }
    let cases = [
        OutageCase {
            requests: 1000,
            successes: 0,
            max_retries: 30,
        },
        OutageCase {
            requests: 1000,
            successes: 500,
            max_retries: 80,
        },
        OutageCase {
            requests: 1000,
            successes: 1000,
            max_retries: 130,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::new(Duration::ZERO, ALLOWANCE);
        let mut retries = 0;
        for request in 0..case.requests {
            let now = Duration::from_millis(10) * request;
            if request < case.successes {
                budget.record_success(now);
            }
            retries += u32::from(budget.try_consume(now));
        }
        assert!(
            retries <= case.max_retries,
            "{retries} of {}",
            case.max_retries
        );
        assert!(
            retries >= 20,
            "the unused retries are granted, got {retries}"
        );
    }
}

// An hour of successes adds no more than the capacity for the following outage.
#[test]
fn only_recent_successes_count() {
    let mut budget = RetryBudget::new(Duration::ZERO, ALLOWANCE);
    for request in 0..36_000u32 {
        budget.record_success(Duration::from_millis(100) * request);
    }
    let now = Duration::from_secs(3600);
    let granted = (0..1000).filter(|_| budget.try_consume(now)).count();
    assert_eq!(granted, 20);
}

#[test]
fn backoff_doubles_up_to_its_limit_with_jitter() {
    struct BackoffCase {
        retry: u32,
        jitter: f64,
        delay_ms: u64,
    }
    let cases = [
        BackoffCase {
            retry: 1,
            jitter: 0.0,
            delay_ms: 10,
        },
        BackoffCase {
            retry: 1,
            jitter: 1.0,
            delay_ms: 20,
        },
        BackoffCase {
            retry: 3,
            jitter: 0.5,
            delay_ms: 60,
        },
        BackoffCase {
            retry: 8,
            jitter: 1.0,
            delay_ms: 2000,
        },
        BackoffCase {
            retry: u32::MAX,
            jitter: 0.0,
            delay_ms: 1000,
        },
    ];
    for case in cases {
        let delay = BackoffCurve::default().delay(case.retry, case.jitter);
        assert_eq!(
            delay,
            Duration::from_millis(case.delay_ms),
            "retry {}",
            case.retry
        );
    }
}
