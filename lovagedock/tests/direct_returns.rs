//! Tests of scheduled returns and of the flow over all gateways.

use std::time::Duration;

use lovagedock::{
    FlowKey, FlowLane, FlowTotals, FlowUpdate, PoolFlow, RefusedRequest, ReturnDecision,
    ReturnOutcome, ReturnSchedule, ReturnUpdate, prelude::*,
};

const KEY: FlowKey = (1, FlowLane::Short);
const START: Duration = Duration::from_secs(100);

/// A pool with spare capacity for 20 returns per second.
const TOTALS: FlowTotals = FlowTotals {
    gateways: 1,
    arrivals: 300.0,
    starts: 200.0,
    refusals: 100.0,
    waiting: 0.0,
    capacity: 200.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(fingerprint: u64) -> RefusedRequest {
    RefusedRequest {
        fingerprint,
        key: KEY,
        min_delay: ms(700),
        max_delay: ms(3_000),
    }
}

fn scheduled(fingerprint: u64, due_in_ms: u32) -> ReturnUpdate {
    ReturnUpdate::Scheduled {
        fingerprint,
        service: KEY.0,
        lane: KEY.1,
        due_in_ms,
    }
}

struct ReturnCase {
    name: &'static str,
    /// Updates of peers about the request, with the times at which they arrive, in milliseconds.
    updates: &'static [(u64, PeerUpdate)],
    /// Times at which the caller comes, in milliseconds, and how it returns.
    returns: &'static [(u64, Option<ReturnOutcome>)],
}

#[derive(Clone, Copy)]
enum PeerUpdate {
    Scheduled(u32),
    Used,
}

const RETURN_CASES: &[ReturnCase] = &[
    ReturnCase {
        name: "on time, and again",
        updates: &[(0, PeerUpdate::Scheduled(1000))],
        returns: &[
            (1020, Some(ReturnOutcome::OnTime)),
            (1100, Some(ReturnOutcome::Repeated)),
        ],
    },
    ReturnCase {
        name: "early, and then on time",
        updates: &[(0, PeerUpdate::Scheduled(1000))],
        returns: &[
            (850, Some(ReturnOutcome::Early)),
            (950, Some(ReturnOutcome::OnTime)),
        ],
    },
    ReturnCase {
        name: "just on time",
        updates: &[(0, PeerUpdate::Scheduled(1000))],
        returns: &[(1700, Some(ReturnOutcome::OnTime))],
    },
    ReturnCase {
        name: "late",
        updates: &[(0, PeerUpdate::Scheduled(1000))],
        returns: &[(1800, Some(ReturnOutcome::Late))],
    },
    ReturnCase {
        name: "after it was forgotten",
        updates: &[(0, PeerUpdate::Scheduled(1000))],
        returns: &[(2001, None)],
    },
    ReturnCase {
        name: "unknown, since both messages were lost",
        updates: &[],
        returns: &[(1000, None)],
    },
    ReturnCase {
        name: "used at a peer",
        updates: &[(0, PeerUpdate::Scheduled(1000)), (1010, PeerUpdate::Used)],
        returns: &[(1030, Some(ReturnOutcome::Repeated))],
    },
    ReturnCase {
        name: "used at a peer before its schedule arrives",
        updates: &[(0, PeerUpdate::Used), (20, PeerUpdate::Scheduled(500))],
        returns: &[(520, Some(ReturnOutcome::Repeated))],
    },
    ReturnCase {
        name: "the first message is late, the second is not",
        updates: &[
            (400, PeerUpdate::Scheduled(1000)),
            (410, PeerUpdate::Scheduled(590)),
        ],
        returns: &[(1020, Some(ReturnOutcome::OnTime))],
    },
    ReturnCase {
        name: "the second message is late",
        updates: &[
            (0, PeerUpdate::Scheduled(1000)),
            (400, PeerUpdate::Scheduled(1000)),
        ],
        returns: &[(950, Some(ReturnOutcome::OnTime))],
    },
    ReturnCase {
        name: "implausibly far ahead",
        updates: &[(0, PeerUpdate::Scheduled(60_000))],
        returns: &[(1000, None)],
    },
];

/// Guards against returns that are honoured at another time, or more than once.
#[test]
fn a_return_is_honoured_once_at_its_time() {
    for case in RETURN_CASES {
        let mut schedule = ReturnSchedule::new();
        let mut updates = case.updates.iter().peekable();
        for (at, expected) in case.returns {
            while let Some((sent, update)) = updates.next_if(|(sent, _)| sent <= at) {
                let update = match update {
                    PeerUpdate::Scheduled(due_in) => scheduled(7, *due_in),
                    PeerUpdate::Used => ReturnUpdate::Used { fingerprint: 7 },
                };
                schedule.apply_update(START + ms(*sent), &update);
            }
            let outcome = schedule.record_return(START + ms(*at), 7);
            assert_eq!(outcome, *expected, "{} at {at}", case.name);
        }
    }
}

/// Guards against memory and messages that grow with the number of refusals, and against returns
/// that are never forgotten.
#[test]
fn the_schedule_is_bounded() {
    let mut schedule = ReturnSchedule::new();
    for fingerprint in 0..30_000 {
        schedule.apply_update(START, &scheduled(fingerprint, 1000));
    }
    assert_eq!(schedule.len(), 20_000);
    let decision = schedule.schedule(START, &request(u64::MAX), &TOTALS, 0.5);
    assert_eq!(decision, ReturnDecision::NotSchedulable);
    assert!(
        schedule.take_updates(START).is_empty(),
        "only own changes are sent"
    );
    let later = START + ms(2_200);
    assert_eq!(schedule.record_return(later, 1), None);
    assert!(schedule.is_empty(), "{} returns are left", schedule.len());
    let huge = FlowTotals {
        capacity: 1e6,
        ..TOTALS
    };
    for fingerprint in 0..100 {
        schedule.schedule(later, &request(fingerprint), &huge, 0.5);
    }
    let sent = |schedule: &mut ReturnSchedule, at| schedule.take_updates(at).len();
    assert_eq!(sent(&mut schedule, later), 64);
    assert_eq!(sent(&mut schedule, later), 36);
    assert_eq!(
        sent(&mut schedule, later + ms(100)),
        0,
        "too early to repeat"
    );
    assert_eq!(sent(&mut schedule, later + ms(300)), 64);
    assert_eq!(sent(&mut schedule, later + ms(300)), 36);
    assert_eq!(sent(&mut schedule, later + ms(900)), 0, "sent twice");
}

/// Guards against more returns than there is room for, and against delays that callers do not follow.
#[test]
fn delays_stay_within_room_and_bounds() {
    let mut schedule = ReturnSchedule::new();
    let mut delays = Vec::new();
    let mut decision = ReturnDecision::Scheduled(Duration::ZERO);
    for fingerprint in 0..1000u32 {
        let draw = f64::from(fingerprint % 10) / 10.0;
        let refused = request(fingerprint.into());
        decision = schedule.schedule(START, &refused, &TOTALS, draw);
        if let ReturnDecision::Scheduled(delay) = decision {
            delays.push(delay);
        }
    }
    assert_eq!(decision, ReturnDecision::NoRoom);
    assert!(
        delays
            .iter()
            .all(|delay| (ms(700)..=ms(3_000)).contains(delay))
    );
    // 2.3 s at 20 per second.
    assert!((23..=48).contains(&delays.len()), "{}", delays.len());
    let again = schedule.schedule(START, &request(0), &TOTALS, 0.5);
    assert_eq!(again, ReturnDecision::NotSchedulable);
    let none = FlowTotals::default();
    let decision = schedule.schedule(START, &request(5000), &none, 0.5);
    assert_eq!(decision, ReturnDecision::NoRoom);
}

fn report(arrivals: f32, starts: f32, waiting: u16) -> FlowUpdate {
    FlowUpdate {
        service: KEY.0,
        lane: KEY.1,
        arrivals,
        starts,
        refusals: 0.0,
        waiting,
    }
}

/// Returns a flow in which ten requests per second have arrived and started for two seconds.
fn measured_flow() -> PoolFlow {
    let mut flow = PoolFlow::new();
    for step in 0..=20 {
        flow.record_arrival(START + ms(step * 100), KEY);
        flow.record_start(START + ms(step * 100), KEY);
    }
    flow
}

struct FlowCase {
    name: &'static str,
    reports: &'static [(&'static str, f32, f32, u16)],
    forgets: Option<&'static str>,
    /// Time from the reports to the totals, in milliseconds.
    after: u64,
    gateways: usize,
    /// Totals beyond this gateway's own ten arrivals and starts per second.
    arrivals: f64,
    capacity: f64,
    waiting: f64,
}

const FLOW_CASES: &[FlowCase] = &[
    FlowCase {
        name: "a gateway that hears nobody",
        reports: &[],
        forgets: None,
        after: 0,
        gateways: 1,
        arrivals: 0.0,
        capacity: 0.0,
        waiting: 0.0,
    },
    FlowCase {
        name: "peers report",
        reports: &[
            ("a", 30.0, 20.0, 3),
            ("b", 10.0, 10.0, 1),
            ("a", 40.0, 20.0, 4),
        ],
        forgets: None,
        after: 100,
        gateways: 3,
        arrivals: 50.0,
        capacity: 30.0,
        waiting: 5.0,
    },
    FlowCase {
        name: "silent peers",
        reports: &[("a", 30.0, 20.0, 3), ("b", 10.0, 10.0, 1)],
        forgets: None,
        after: 1_600,
        gateways: 1,
        arrivals: 0.0,
        capacity: 0.0,
        waiting: 0.0,
    },
    FlowCase {
        name: "a peer restarts",
        reports: &[("a", 30.0, 20.0, 3), ("b", 10.0, 10.0, 1)],
        forgets: Some("a"),
        after: 100,
        gateways: 2,
        arrivals: 10.0,
        capacity: 10.0,
        waiting: 1.0,
    },
    FlowCase {
        name: "implausible rates",
        reports: &[("a", f32::NAN, f32::INFINITY, 0), ("b", -5.0, -5.0, 0)],
        forgets: None,
        after: 0,
        gateways: 3,
        arrivals: 0.0,
        capacity: 0.0,
        waiting: 0.0,
    },
];

/// Guards against flows of gateways that are gone, or of a former process, in the sums.
#[test]
fn flows_of_reachable_gateways_are_summed() {
    for case in FLOW_CASES {
        let mut flow = measured_flow();
        let now = START + ms(2_000);
        for (peer, arrivals, starts, waiting) in case.reports {
            let report = report(*arrivals, *starts, *waiting);
            flow.apply_report(now, &GatewayId::from(*peer), &report);
        }
        let known = flow.totals(now, KEY).expect("rates are measured");
        if let Some(peer) = case.forgets {
            flow.forget_peer(&GatewayId::from(peer));
        }
        let later = now + ms(case.after);
        let totals = flow.totals(later, KEY).expect("rates are measured");
        assert_eq!(totals.gateways, case.gateways, "{}", case.name);
        assert_eq!(totals.waiting, case.waiting, "{}", case.name);
        // This gateway's own rates decay without further requests.
        let own = 10.0 * (-(case.after as f64) / 2_000.0).exp();
        let is_near = |found: f64, expected: f64| (found - expected).abs() < 2.5;
        assert!(
            is_near(totals.arrivals, own + case.arrivals),
            "{}: {totals:?}",
            case.name
        );
        let highest = 10.0 + case.capacity;
        assert!(
            is_near(totals.capacity, highest),
            "{}: {totals:?}, {known:?}",
            case.name
        );
    }
}

/// Guards against messages of an idle fleet, a report that keeps two gateways reporting forever, and
/// reports that exceed their part of the traffic.
#[test]
fn flows_are_reported_while_a_lane_is_overloaded() {
    let mut overloaded = measured_flow();
    let mut peer = measured_flow();
    let (mut now, mut reports, mut last) = (START + ms(2_100), 0, START);
    assert!(
        overloaded.take_reports(now, 47).is_empty(),
        "nothing is refused yet"
    );
    overloaded.record_refusal(now, KEY);
    let end = now + ms(8_000);
    while now < end {
        for report in overloaded.take_reports(now, 47) {
            reports += 1;
            peer.apply_report(now, &GatewayId::from("overloaded"), &report);
        }
        for report in peer.take_reports(now, 47) {
            last = now;
            overloaded.apply_report(now, &GatewayId::from("peer"), &report);
        }
        now += ms(8);
    }
    // Two seconds, and at most 3 kB per second to 47 peers.
    assert!((6..=9).contains(&reports), "{reports}");
    assert!((ms(3_000)..ms(6_000)).contains(&(last - START)), "{last:?}");
}

/// Guards against schedules and waits that follow from a few requests after a start.
#[test]
fn rates_are_unknown_for_the_first_second() {
    let mut flow = PoolFlow::new();
    for step in 0..10 {
        flow.record_arrival(START + ms(step * 100), KEY);
        flow.apply_report(
            START + ms(step * 100),
            &GatewayId::from("a"),
            &report(9.0, 9.0, 1),
        );
        assert_eq!(flow.totals(START + ms(step * 100), KEY), None);
    }
    let totals = flow
        .totals(START + ms(1_000), KEY)
        .expect("rates are measured");
    // The average over two seconds is corrected for the first one.
    assert!((16.0..22.0).contains(&totals.arrivals), "{totals:?}");
    assert_eq!(
        totals.expected_wait(1.0),
        Some(Duration::from_secs_f64(1.0 / 9.0))
    );
}
