//! An organisation's limits hold across all gateways within the documented burst.

mod limit_support;

use limit_support::{GatewayGroup, LIMITS, REQUEST_TOKENS, STEP_MS};
use lovagedock::{LimitKind, ShareStage};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};

const GATEWAYS: usize = 4;
const PHASE_STEPS: u64 = 60;

/// Three seconds of constant demand and constant state of the links.
#[derive(Clone, Debug)]
struct Phase {
    /// Requests per step at each gateway.
    arrivals: Vec<u64>,
    /// Links that lose messages in one direction.
    cuts: Vec<(usize, usize)>,
    restart: Option<usize>,
}

/// A leaky bucket that drains at the rate of the limit. Its highest level is the burst used.
struct LeakyBucket {
    level: f64,
    leak: f64,
    highest: f64,
}

impl LeakyBucket {
    fn new(per_second: f64) -> Self {
        Self {
            level: 0.0,
            leak: per_second * STEP_MS as f64 / 1000.0,
            highest: 0.0,
        }
    }

    fn add(&mut self, amount: f64) {
        self.level = (self.level - self.leak).max(0.0) + amount;
        self.highest = self.highest.max(self.level);
    }
}

#[derive(Debug, Default)]
struct Excess {
    share_sum: f64,
    requests: f64,
    tokens: f64,
    in_flight: u32,
}

fn run_phases(phases: &[Phase], delays: &[u64], request_duration_ms: u64) -> Excess {
    let mut group = GatewayGroup::new(GATEWAYS, delays.to_vec());
    let mut requests = LeakyBucket::new(f64::from(LIMITS.requests_per_second));
    let mut tokens = LeakyBucket::new(LIMITS.tokens_per_minute as f64 / 60.0);
    let mut excess = Excess::default();
    for phase in phases {
        group.cut_links = vec![vec![false; GATEWAYS]; GATEWAYS];
        for (from, to) in &phase.cuts {
            group.cut_links[*from][*to] = true;
        }
        if let Some(index) = phase.restart {
            group.restart(index);
        }
        for _ in 0..PHASE_STEPS {
            group.step(&phase.arrivals, request_duration_ms);
            requests.add(group.admitted_in_step as f64);
            tokens.add((group.admitted_in_step * REQUEST_TOKENS) as f64);
            for kind in [
                LimitKind::Requests,
                LimitKind::Tokens,
                LimitKind::Concurrency,
            ] {
                excess.share_sum = excess.share_sum.max(group.share_sum(kind));
            }
            excess.in_flight = excess.in_flight.max(group.in_flight());
        }
    }
    excess.requests = requests.highest;
    excess.tokens = tokens.highest;
    excess
}

fn phases() -> impl Strategy<Value = Vec<Phase>> {
    let arrivals = prop::collection::vec(prop_oneof![Just(0u64), 0..3u64, 5..20u64], GATEWAYS);
    let cuts = prop::collection::vec((0..GATEWAYS, 0..GATEWAYS), 0..4);
    let cuts = prop_oneof![Just(Vec::new()), cuts];
    let restart = prop_oneof![4 => Just(None), 1 => (0..GATEWAYS).prop_map(Some)];
    let phase = (arrivals, cuts, restart).prop_map(|(arrivals, cuts, restart)| Phase {
        arrivals,
        cuts,
        restart,
    });
    prop::collection::vec(phase, 1..10)
}

// An organisation sends requests through varying gateways far above its limits. Links between
// gateways fail in one or both directions, and gateways restart. The shares never add up to more
// than one, so the limits hold within the documented burst.
#[test]
fn limits_hold_over_all_gateways_within_the_stated_burst() {
    let config = ProptestConfig {
        cases: 60,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let request_duration_ms = prop_oneof![Just(600u64), Just(4000u64)];
    let strategy = (
        phases(),
        prop::collection::vec(1..400u64, 7),
        request_duration_ms,
    );
    let outcome = TestRunner::new_with_rng(config, rng).run(
        &strategy,
        |(phases, delays, request_duration_ms)| {
            let excess = run_phases(&phases, &delays, request_duration_ms);
            let restarts = phases
                .iter()
                .filter(|phase| phase.restart.is_some())
                .count();
            let starts = (GATEWAYS + restarts) as f64;
            let rate = f64::from(LIMITS.requests_per_second);
            let token_rate = LIMITS.tokens_per_minute as f64 / 60.0;
            // A restarted gateway starts with a full bucket for its share.
            prop_assert!(
                excess.share_sum <= 1.0 + 1e-9,
                "shares add up to {}",
                excess.share_sum
            );
            prop_assert!(
                excess.requests <= rate * (1.0 + restarts as f64) + starts,
                "{excess:?}"
            );
            let burst = token_rate * 10.0 * (1.0 + restarts as f64);
            prop_assert!(
                excess.tokens <= burst + starts * REQUEST_TOKENS as f64,
                "{excess:?}"
            );
            prop_assert!(
                excess.in_flight <= 2 * LIMITS.concurrency + GATEWAYS as u32,
                "{excess:?}"
            );
            Ok(())
        },
    );
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

struct ShareCase {
    name: &'static str,
    arrivals: [u64; GATEWAYS],
    cut_off: Option<usize>,
    stage: ShareStage,
    /// Minimum number of requests admitted per second.
    min_per_second: f64,
}

// Measures how much of the limit is used within ten seconds, after ten seconds of the same demand.
#[test]
fn shares_follow_demand_and_survive_a_lost_peer() {
    let cases = [
        ShareCase {
            name: "all demand at one gateway",
            arrivals: [10, 0, 0, 0],
            cut_off: None,
            stage: ShareStage::ByDemand,
            min_per_second: 80.0,
        },
        ShareCase {
            name: "demand spread",
            arrivals: [10, 10, 10, 10],
            cut_off: None,
            stage: ShareStage::ByDemand,
            min_per_second: 90.0,
        },
        ShareCase {
            name: "an unreachable peer: equal shares, the share of the peer is unused",
            arrivals: [10, 10, 10, 0],
            cut_off: Some(3),
            stage: ShareStage::Equal,
            min_per_second: 70.0,
        },
        ShareCase {
            name: "an unreachable peer, all demand at one gateway: only its equal share",
            arrivals: [10, 0, 0, 0],
            cut_off: Some(3),
            stage: ShareStage::Equal,
            min_per_second: 23.0,
        },
    ];
    for case in cases {
        let mut group = GatewayGroup::new(GATEWAYS, vec![3, 2, 4]);
        for peer in 0..GATEWAYS {
            if let Some(index) = case.cut_off {
                group.cut_links[index][peer] = true;
                group.cut_links[peer][index] = true;
            }
        }
        let run = |group: &mut GatewayGroup| {
            (0..200)
                .map(|_| {
                    group.step(&case.arrivals, 100);
                    group.admitted_in_step
                })
                .sum::<u64>()
        };
        run(&mut group);
        let admitted = run(&mut group) as f64 / 10.0;
        assert_eq!(
            group.gateways[0].limiter.stage(),
            case.stage,
            "{}",
            case.name
        );
        assert!(
            admitted >= case.min_per_second,
            "{}: {admitted} a second",
            case.name
        );
        assert!(admitted <= 101.0, "{}: {admitted} a second", case.name);
    }
}
