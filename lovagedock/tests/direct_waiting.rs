//! Tests of waiting queues, refusals and the recognition of returning requests.

use std::time::Duration;

use lovagedock::{QueueDecision, QueueKind, QueueSettings, RefusalLog, WaitingQueue};

fn waiting_queue() -> WaitingQueue {
    WaitingQueue::new(QueueSettings::default())
}

/// Guards against a request that waits for longer than its share of the objective.
#[test]
fn a_request_waits_for_a_part_of_its_objective() {
    let mut queue = waiting_queue();
    let decision = queue.decide(ms(100), ms(400), ms(10_000), None, 0.0);
    assert_eq!(decision, QueueDecision::Wait { until: ms(220) });
}

/// Guards against requests that are refused only when their waiting time has passed, instead of at
/// once.
///
/// 30 requests start per second and ten wait. The eleventh would wait for 330 ms, and its objective
/// is 300 ms.
#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut queue = waiting_queue();
    for start in 0..60 {
        queue.record_start(ms(start * 33));
    }
    for _ in 0..10 {
        queue.enqueue(ms(2_300));
    }
    let decision = queue.decide(ms(2_000), ms(2_300), ms(9_900), None, 0.0);
    assert!(
        matches!(decision, QueueDecision::Refuse { .. }),
        "{decision:?}"
    );
}

/// Guards against an estimate of the queue's own starts where the flow over all gateways is known.
#[test]
fn a_known_wait_replaces_the_estimate() {
    let mut queue = waiting_queue();
    let mut decide = |expected| queue.decide(ms(100), ms(400), ms(10_000), Some(expected), 0.0);
    let refused = matches!(decide(ms(121)), QueueDecision::Refuse { .. });
    assert!(refused, "nobody waits here, but at other gateways");
    let waiting = matches!(decide(ms(120)), QueueDecision::Wait { .. });
    assert!(waiting);
}

/// Guards against requests refused at the same moment that get the same retry delay, or a longer
/// one than callers follow.
#[test]
fn retry_delays_are_spread_and_bounded() {
    let queue = waiting_queue();
    let soonest = queue.retry_after(Duration::ZERO, ms(9_000), 0.0);
    let latest = queue.retry_after(Duration::ZERO, ms(9_000), 1.0);
    assert_eq!((soonest, latest), (ms(700), ms(2_700)));
    let short = queue.retry_after(Duration::ZERO, ms(900), 0.5);
    assert_eq!(short, ms(270));
}

/// Guards against an order of the queue other than by objective, whatever the order of arrival.
#[test]
fn the_request_with_the_earliest_objective_goes_first() {
    let mut queue = waiting_queue();
    let later = queue.enqueue(ms(500));
    let sooner = queue.enqueue(ms(300));
    assert!(queue.is_first(&sooner) && !queue.is_first(&later));
    queue.remove(&sooner);
    assert!(queue.is_first(&later));
    queue.remove(&later);
    assert!(queue.is_empty());
}

/// Guards against a queue without any started request that refuses the second long prompt.
#[test]
fn long_prompts_may_wait_before_any_has_started() {
    let mut queue = WaitingQueue::new(QueueKind::Long.settings());
    queue.enqueue(ms(3_000));
    let decision = queue.decide(ms(0), ms(3_000), ms(15_000), None, 0.0);
    assert!(
        matches!(decision, QueueDecision::Wait { .. }),
        "{decision:?}"
    );
}

struct WaitCase {
    is_long: bool,
    is_return: bool,
    max_wait_ms: u64,
}

/// Guards against a refusal that comes too late for the caller to do something else.
///
/// Long prompts find all engines busy. A new one may wait for two fifths of its objective. A
/// returning one is late already; if it waited for its whole objective, it would be refused in most
/// cases anyway, seconds later. Returning short requests wait for a free slot, which takes a
/// moment.
#[test]
fn each_queue_bounds_its_waiting_time() {
    let cases = [
        WaitCase {
            is_long: false,
            is_return: false,
            max_wait_ms: 1_600,
        },
        WaitCase {
            is_long: true,
            is_return: false,
            max_wait_ms: 1_600,
        },
        WaitCase {
            is_long: false,
            is_return: true,
            max_wait_ms: 4_000,
        },
        WaitCase {
            is_long: true,
            is_return: true,
            max_wait_ms: 1_000,
        },
    ];
    for case in cases {
        let kind = QueueKind::new(case.is_long, case.is_return);
        assert_eq!(
            (kind.is_long(), kind.is_return()),
            (case.is_long, case.is_return)
        );
        let mut queue = WaitingQueue::new(kind.settings());
        let decision = queue.decide(ms(0), ms(4_000), ms(15_000), None, 0.0);
        let until = ms(case.max_wait_ms);
        assert_eq!(decision, QueueDecision::Wait { until }, "{kind:?}");
    }
}

/// Guards against a returning request that a gateway does not recognise within the time in which
/// callers retry.
#[test]
fn refusals_expire() {
    let mut own = RefusalLog::new();
    let mut peer = RefusalLog::new();
    own.record(ms(0), 7);
    for fingerprint in own.take_unsent() {
        peer.record_remote(ms(10), fingerprint);
    }
    assert!(own.take_unsent().is_empty());
    assert!(own.is_return(ms(3_000), 7) && peer.is_return(ms(3_000), 7));
    assert!(!peer.is_return(ms(3_000), 8));
    assert!(!peer.is_return(ms(9_000), 7));
}

/// Guards against a log of refusals that grows without bound.
#[test]
fn refusals_are_bounded() {
    let mut log = RefusalLog::new();
    for fingerprint in 0..50_000 {
        log.record(ms(1), fingerprint);
    }
    assert!(!log.is_return(ms(1), 0));
    assert!(log.is_return(ms(1), 49_999));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
