//! Tests the request rate of an endpoint that is cold, over all gateways.

use std::{collections::VecDeque, time::Duration};

use lovagedock::{
    ColdAllowance, ColdEndpoints, ColdProfile, EndpointProcess, GatewayCount, RateLimits,
    RateUpdate, RateVerdict, prelude::*,
};

/// Time from the send of a claim until it has arrived everywhere.
const CLAIM_DELAY: Duration = Duration::from_millis(45);

/// Claim time of the gateways.
const CLAIM_TIME: Duration = Duration::from_millis(200);

/// Steps of the simulation.
const STEP: Duration = Duration::from_millis(5);

struct ColdCase {
    name: &'static str,
    gateways: usize,
    requests_per_second: f64,
    /// Gateways that are paused for the first two seconds, have requests then, and send nothing
    /// meanwhile.
    paused: usize,
    /// Every how many claims one is lost; 0 for none.
    lost_every: usize,
}

const CASES: &[ColdCase] = &[
    ColdCase {
        name: "few gateways",
        gateways: 3,
        requests_per_second: 28.0,
        paused: 0,
        lost_every: 0,
    },
    ColdCase {
        name: "a hundred gateways at once",
        gateways: 100,
        requests_per_second: 28.0,
        paused: 0,
        lost_every: 0,
    },
    ColdCase {
        name: "a low rate",
        gateways: 100,
        requests_per_second: 2.0,
        paused: 0,
        lost_every: 0,
    },
    ColdCase {
        name: "paused gateways wake",
        gateways: 27,
        requests_per_second: 28.0,
        paused: 11,
        lost_every: 0,
    },
    ColdCase {
        name: "claims are lost",
        gateways: 27,
        requests_per_second: 28.0,
        paused: 0,
        lost_every: 5,
    },
];

const ALLOWANCE: ColdAllowance = ColdAllowance {
    overshoot: 1.5,
    slack: 5.0,
};

/// Guards against a cold endpoint that crashes because gateways together exceed its rate.
#[test]
fn all_gateways_together_keep_the_rate_of_a_cold_endpoint() {
    for case in CASES {
        let profile = ColdProfile {
            duration: Duration::from_secs(3),
            requests_per_second: case.requests_per_second,
        };
        let sent = play(case, ALLOWANCE.shared_rate(&profile));
        let most = case.requests_per_second * ALLOWANCE.overshoot + ALLOWANCE.slack;
        let worst = worst_second(&sent);
        assert!(worst as f64 <= most, "{}: {worst} in a second", case.name);
        assert!(!sent.is_empty(), "{}: nothing was sent", case.name);
    }
}

/// Plays four seconds in which every gateway always has requests; returns when they were sent.
fn play(case: &ColdCase, rate: f64) -> Vec<Duration> {
    let process = EndpointProcess::new("engine", 1);
    let start = Duration::from_secs(10);
    let name = |index: usize| GatewayId::from(format!("gateway-{index}"));
    let mut gateways: Vec<RateLimits> = (0..case.gateways)
        .map(|index| RateLimits::new(name(index)).with_claim_time(CLAIM_TIME))
        .collect();
    for gateway in &mut gateways {
        gateway.set_limit(start, &process, Some(rate));
    }
    let count = GatewayCount {
        reachable: case.gateways,
        known: case.gateways,
    };
    let mut sent = Vec::new();
    let mut claims: VecDeque<(Duration, usize, RateUpdate)> = VecDeque::new();
    let mut claim_count = 0;
    let mut now = start;
    while now < start + Duration::from_secs(4) {
        while claims.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, update)) = claims.pop_front() else {
                break;
            };
            for (index, gateway) in gateways.iter_mut().enumerate() {
                if index != from {
                    gateway.apply_update(now, &name(from), update.clone());
                }
            }
        }
        let is_paused = now < start + Duration::from_secs(2);
        let first = if is_paused { case.paused } else { 0 };
        for (index, gateway) in gateways.iter_mut().enumerate().skip(first) {
            gateway.tick(now, count, |_| true);
            gateway.record_demand(now, &process);
            if gateway.admit(now, &process) == RateVerdict::Admitted {
                sent.push(now);
            }
            for update in gateway.take_updates(now) {
                claim_count += 1;
                if case.lost_every == 0 || claim_count % case.lost_every != 0 {
                    claims.push_back((now + CLAIM_DELAY, index, update));
                }
            }
        }
        now += STEP;
    }
    sent
}

fn worst_second(sent: &[Duration]) -> usize {
    let within = |from: Duration| {
        let until = from + Duration::from_secs(1);
        sent.iter().filter(|at| (from..until).contains(*at)).count()
    };
    sent.iter().map(|at| within(*at)).max().unwrap_or(0)
}

/// Guards against an endpoint that counts as warm too early, since its latest entry is older than
/// what made it cold, or forever.
#[test]
fn an_endpoint_is_cold_for_the_longest_reported_time() {
    let process = EndpointProcess::new("engine", 1);
    let mut cold = ColdEndpoints::new();
    let second = Duration::from_secs(1);
    assert!(cold.record(second, &process, 3 * second));
    assert!(!cold.record(2 * second, &process, second));
    assert!(!cold.record(2 * second, &process, Duration::ZERO));
    assert!(cold.take_warm(3 * second).is_empty());
    assert_eq!(cold.take_warm(4 * second), std::slice::from_ref(&process));
    assert_eq!(cold.processes().count(), 0);
}
