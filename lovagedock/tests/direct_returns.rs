//! Tests of scheduled returns and of the flow over all gateways.

use std::time::Duration;

use lovagedock::{
    FlowKey, FlowLane, FlowTotals, FlowUpdate, PoolFlow, RefusedRequest, ReturnDecision,
    ReturnOutcome, ReturnSchedule, ReturnUpdate, prelude::*,
};

const KEY: FlowKey = (1, FlowLane::Short);

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn scheduled(fingerprint: u64, due_in_ms: u32) -> ReturnUpdate {
    let (service, lane) = KEY;
    ReturnUpdate::Scheduled {
        fingerprint,
        service,
        lane,
        due_in_ms,
    }
}

/// Events with their times in milliseconds: a peer's report of a return that is due after a time or
/// used, and arrivals of the caller.
struct ReturnCase(&'static str, &'static str);

const RETURN_CASES: &[ReturnCase] = &[
    ReturnCase("twice", "0 due 1000, 1020 on_time, 1100 repeated"),
    ReturnCase("early", "0 due 1000, 850 early, 950 on_time"),
    ReturnCase("just on time", "0 due 1000, 1700 on_time"),
    ReturnCase("late", "0 due 1000, 1800 late, 1900 repeated"),
    ReturnCase("forgotten", "0 due 1000, 2001 none"),
    ReturnCase("lost", "1000 none"),
    ReturnCase("elsewhere", "0 due 1000, 1010 used 0, 1030 repeated"),
    ReturnCase("order", "0 used 0, 20 due 500, 520 repeated"),
    ReturnCase("first late", "400 due 1000, 410 due 590, 1020 on_time"),
    ReturnCase("second late", "0 due 1000, 400 due 1000, 950 on_time"),
    ReturnCase("implausible", "0 due 60000, 1000 none"),
];

/// Guards against returns that are honoured at another time, or more than once.
#[test]
fn a_return_is_honoured_once_at_its_time() {
    for ReturnCase(name, events) in RETURN_CASES {
        let mut schedule = ReturnSchedule::new();
        for event in events.split(", ") {
            let words: Vec<&str> = event.split(' ').collect();
            let now = at(words[0].parse().expect("a time"));
            let due_in = words.get(2).map(|due_in| due_in.parse().expect("a time"));
            match (words[1], due_in) {
                ("due", Some(due_in)) => schedule.apply_update(now, &scheduled(7, due_in)),
                ("used", _) => schedule.apply_update(now, &ReturnUpdate::Used { fingerprint: 7 }),
                (expected, _) => {
                    let outcome = schedule.record_return(now, 7);
                    let outcome = outcome.map_or("none", ReturnOutcome::as_str);
                    assert_eq!(outcome, expected, "{name}: {event}");
                }
            }
        }
    }
}

/// Guards against memory and messages that grow with the number of refusals, returns that are never
/// forgotten, more returns than there is room for, and delays that callers do not follow.
#[test]
fn the_schedule_is_bounded() {
    let mut schedule = ReturnSchedule::new();
    (0..30_000).for_each(|other| schedule.apply_update(at(0), &scheduled(other, 1000)));
    assert_eq!(schedule.len(), 20_000);
    assert!(schedule.take_updates(at(0)).is_empty());
    assert_eq!(schedule.record_return(at(2_200), 1), None);
    assert!(schedule.is_empty());
    let mut totals = FlowTotals::default();
    let mut refuse = |fingerprint, capacity| {
        totals.capacity = capacity;
        let request = RefusedRequest {
            fingerprint,
            key: KEY,
            min_delay: Duration::from_millis(700),
            max_delay: Duration::from_millis(3_000),
        };
        let draw = (fingerprint % 10) as f64 / 10.0;
        match schedule.schedule(at(9_000), &request, &totals, draw) {
            ReturnDecision::Scheduled(delay) => {
                assert!((request.min_delay..=request.max_delay).contains(&delay));
                true
            }
            ReturnDecision::NoRoom | ReturnDecision::NotSchedulable => false,
        }
    };
    assert!(!refuse(0, 0.0), "no capacity is known");
    let count = (0..1000).filter(|other| refuse(*other, 20.0)).count();
    assert!((23..=48).contains(&count), "{count} in 24 slots");
    let more = (0..1000).filter(|other| refuse(*other, 1e6)).count();
    assert_eq!(count + more, 1000, "no request is scheduled twice");
    let sent = [0, 1, 100, 300, 301, 900].map(|after| {
        let messages = (0..20).map(|_| schedule.take_updates(at(9_000 + after)).len());
        messages.inspect(|sent| assert!(*sent <= 64)).sum::<usize>()
    });
    assert_eq!(sent, [1000, 0, 0, 1000, 0, 0]);
}

/// Reports of peers: arrivals and starts per second, and waiting requests. Totals a time later, in
/// milliseconds: gateways, arrivals, capacity and waiting requests. This gateway has ten arrivals and
/// starts per second.
struct FlowCase(&'static str, &'static [PeerReport], u64, [f64; 4]);
type PeerReport = (&'static str, f32, f32, u16);

const TWO: &[PeerReport] = &[("a", 30.0, 20.0, 3), ("b", 10.0, 10.0, 1)];
const FLOW_CASES: &[FlowCase] = &[
    FlowCase("hears nobody", &[], 0, [1.0, 10.0, 10.0, 0.0]),
    FlowCase("reports", TWO, 0, [3.0, 50.0, 40.0, 4.0]),
    FlowCase("silent", TWO, 1600, [1.0, 4.5, 10.0, 0.0]),
    FlowCase("again", &[TWO[0], TWO[0]], 0, [2.0, 40.0, 30.0, 3.0]),
    FlowCase(
        "damaged",
        &[("a", f32::NAN, -5.0, 0)],
        0,
        [2.0, 10.0, 10.0, 0.0],
    ),
];

fn report((_, arrivals, starts, waiting): PeerReport) -> FlowUpdate {
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
        let is_known = flow.totals(at(step * 100), KEY).is_some();
        assert_eq!(
            is_known,
            step >= 10,
            "rates of less than a second are not used"
        );
        flow.record_arrival(at(step * 100), KEY);
        flow.record_start(at(step * 100), KEY);
    }
    flow
}

/// Guards against flows of gateways that are gone, or of a former process, in the sums, and against
/// rates that are used before they are known.
#[test]
fn flows_of_reachable_gateways_are_summed() {
    for FlowCase(name, reports, after, expected) in FLOW_CASES {
        let mut flow = measured_flow();
        let sent = reports
            .iter()
            .map(|sent| (GatewayId::from(sent.0), report(*sent)));
        sent.for_each(|(peer, report)| flow.apply_report(at(2_000), &peer, &report));
        assert!(flow.totals(at(2_000), KEY).is_some());
        let totals = flow.totals(at(2_060 + after), KEY).unwrap_or_default();
        let FlowTotals {
            gateways,
            arrivals,
            capacity,
            waiting,
            ..
        } = totals;
        let found = [gateways as f64, arrivals, capacity, waiting];
        let is_near = found.iter().zip(expected).all(|(a, b)| (a - b).abs() < 2.5);
        assert!(is_near, "{name}: {found:?}, expected {expected:?}");
        reports
            .iter()
            .for_each(|sent| flow.forget_peer(&GatewayId::from(sent.0)));
        let left = flow.totals(at(2_060 + after), KEY).unwrap_or_default();
        assert!(
            left.gateways == 1 && left.capacity < 12.5,
            "{name}: {left:?}"
        );
    }
}

/// Guards against messages of an idle fleet, a report that keeps two gateways reporting forever, and
/// reports that exceed their part of the traffic.
#[test]
fn flows_are_reported_while_a_lane_is_overloaded() {
    let (mut overloaded, mut peer) = (measured_flow(), measured_flow());
    assert!(overloaded.take_reports(at(2_100), 47).is_empty());
    overloaded.record_refusal(at(2_100), KEY);
    let (mut reports, mut last) = (0, 0);
    for now in (2_100..10_000).step_by(8) {
        for report in overloaded.take_reports(at(now), 47) {
            reports += 1;
            peer.apply_report(at(now), &GatewayId::from("overloaded"), &report);
        }
        for report in peer.take_reports(at(now), 47) {
            last = now;
            overloaded.apply_report(at(now), &GatewayId::from("peer"), &report);
        }
    }
    assert!(
        (6..=9).contains(&reports),
        "{reports} in 2 s, at most 3 kB per second"
    );
    assert!((4_000..6_000).contains(&last), "{last}");
}
