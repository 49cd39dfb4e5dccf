//! Returns of refused requests in a burst, over all gateways.

mod direct_return_support;

use direct_return_support::{BurstCase, BurstResult, CAPACITY, ReturnMode, play_burst, rate_at};

const BASE: BurstCase = BurstCase {
    name: "48 gateways",
    gateways: 48,
    mode: ReturnMode::Scheduled,
    lost_percent: 0,
    repeated: false,
    delay_ms: 15,
    silent: 0,
    deaf: 0,
    kills_first: false,
    restarts_all: false,
    min_known: 0.99,
};

/// Cases under which the share of scheduled returns that another gateway recognises is at least
/// `min_known`: each of two messages arrives with the probability that the case gives.
const CASES: &[BurstCase] = &[
    BASE,
    BurstCase {
        name: "one gateway",
        gateways: 1,
        ..BASE
    },
    BurstCase {
        name: "27 gateways",
        gateways: 27,
        ..BASE
    },
    BurstCase {
        name: "371 gateways",
        gateways: 371,
        ..BASE
    },
    BurstCase {
        name: "a gateway is killed",
        kills_first: true,
        ..BASE
    },
    BurstCase {
        name: "messages are lost",
        lost_percent: 20,
        min_known: 0.94,
        ..BASE
    },
    BurstCase {
        name: "messages are repeated",
        repeated: true,
        ..BASE
    },
    BurstCase {
        name: "messages are late",
        delay_ms: 90,
        ..BASE
    },
    BurstCase {
        name: "a quarter of the gateways is silent",
        silent: 12,
        min_known: 0.7,
        ..BASE
    },
    BurstCase {
        name: "a gateway hears nobody",
        deaf: 1,
        min_known: 0.95,
        ..BASE
    },
    BurstCase {
        name: "all gateways restart",
        restarts_all: true,
        min_known: 0.5,
        ..BASE
    },
];

/// Share of the scheduled returns on time that are placed at least. They return into a tenth of the
/// capacity while the burst lasts, and wait four times as long as a new request.
const MIN_PLACED: f64 = 0.9;

/// Guards against callers that return in vain, schedules that a gateway does not know after the one
/// that made them was killed, and returns that take the place of new requests.
#[test]
fn scheduled_returns_find_spare_capacity() {
    for case in CASES {
        let result = play_burst(case);
        let known = result.on_time as f64 / result.followed.max(1) as f64;
        assert!(known >= case.min_known, "{}: {result:?}", case.name);
        assert!(result.scheduled > 0, "{}: {result:?}", case.name);
        let placed = result.placed_on_time as f64 / result.on_time.max(1) as f64;
        assert!(placed >= MIN_PLACED, "{}: {result:?}", case.name);
        assert_spare(case, &result);
    }
}

/// Asserts that in each second, no more returns are scheduled than capacity is spare: what new requests
/// leave, or a tenth.
fn assert_spare(case: &BurstCase, result: &BurstResult) {
    // Gateways that do not hear each other cannot count each other's returns.
    if case.silent + case.deaf > 0 || case.lost_percent > 0 {
        return;
    }
    for (second, returned) in result.on_time_by_second.iter().enumerate() {
        // Rates are averages over two seconds, so a change of the load is seen that much later.
        let seconds = second.saturating_sub(2)..=second;
        let load = seconds
            .map(|second| rate_at(second as f64))
            .fold(f64::MAX, f64::min);
        let spare = (CAPACITY - load).max(CAPACITY * 0.1);
        let deviation = 3.0 * spare.sqrt();
        // Refusals that are on their way to peers fill slots a second time.
        let on_their_way = 0.4 * CAPACITY * (case.delay_ms + 10) as f64 / 1000.0;
        let most = spare + deviation + 1.5 * on_their_way;
        assert!(
            (*returned as f64) <= most,
            "{}: second {second}, {result:?}",
            case.name
        );
    }
}

/// Guards against a schedule that is no better than random delays under the same load.
#[test]
fn fewer_returns_are_refused_than_with_random_delays() {
    let scheduled = play_burst(&BASE);
    let random = play_burst(&BurstCase {
        name: "random delays",
        mode: ReturnMode::Random,
        ..BASE
    });
    println!("scheduled {scheduled:?}\nrandom {random:?}");
    let refused = |result: &BurstResult| result.refused_again as f64 / result.returned as f64;
    assert!(
        refused(&scheduled) < refused(&random),
        "{scheduled:?}, {random:?}"
    );
    assert!(
        scheduled.placed >= random.placed * 98 / 100,
        "what is placed in all: {scheduled:?}, {random:?}"
    );
}

/// Guards against returns that are scheduled by rates of less than a second.
#[test]
fn nothing_is_scheduled_until_rates_are_known() {
    let result = play_burst(&BurstCase {
        restarts_all: true,
        ..BASE
    });
    assert_eq!(result.scheduled_after_restart, 0, "{result:?}");
}
