//! Tests of gateways that claim engines for the parts of a long prompt before they send them.

mod direct_support;

use std::collections::BTreeMap;

use lovagedock::{
    DirectEndpoint, DirectPlacer, EndpointProcess, PlacerCandidate, WorkKey, WorkLedger, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, long, ms};

/// Time until a gateway receives another gateway's claim.
const UPDATE_DELAY: u64 = 30;

struct ClaimCase {
    name: &'static str,
    gateways: usize,
    engines: usize,
    prompt: TokenCount,
}

const CASES: &[ClaimCase] = &[
    ClaimCase {
        name: "two gateways",
        gateways: 2,
        engines: 24,
        prompt: 500_000,
    },
    ClaimCase {
        name: "more teams than idle engines",
        gateways: 8,
        engines: 24,
        prompt: 600_000,
    },
    ClaimCase {
        name: "a large fleet",
        gateways: 12,
        engines: 60,
        prompt: 300_000,
    },
    ClaimCase {
        name: "a fleet of twice the size",
        gateways: 24,
        engines: 120,
        prompt: 300_000,
    },
];

/// A gateway that places one long prompt.
struct ClaimingGateway {
    name: GatewayId,
    ledger: WorkLedger,
    claims: Vec<(WorkKey, EndpointProcess)>,
    /// Claimed engines that were idle.
    idle: Vec<EndpointProcess>,
    is_sent: bool,
}

impl ClaimingGateway {
    fn new(index: usize) -> Self {
        Self {
            name: format!("gateway-{index}").into(),
            ledger: WorkLedger::new(),
            claims: Vec::new(),
            idle: Vec::new(),
            is_sent: false,
        }
    }

    /// Chooses a team and claims its engines.
    fn claim(
        &mut self,
        now: Timestamp,
        endpoints: &[DirectEndpoint],
        prompt: TokenCount,
        random: &mut ChaCha8Rng,
    ) {
        let candidates: Vec<PlacerCandidate<'_>> = endpoints
            .iter()
            .map(|endpoint| PlacerCandidate {
                endpoint,
                load: self.ledger.load(now, &endpoint.process),
                rank: 0.0,
                short_lane: false,
                is_kept: false,
                may_help: true,
                draw: random.random(),
            })
            .collect();
        let placer = DirectPlacer::new(Some(&PROFILE));
        let request = long(prompt);
        let choice = placer.place(&request, &candidates);
        let Some(choice) = choice.filter(|choice| choice.is_acceptable(&request, 0.0)) else {
            return;
        };
        let works = placer.placed_work(&request, &choice, &candidates);
        let members = std::iter::once(choice.lead).chain(choice.helpers.iter().map(|h| h.index));
        let members = members.map(|index| &candidates[index]);
        let idle = members.filter(|candidate| candidate.load.is_idle());
        self.idle = idle
            .map(|candidate| candidate.endpoint.process.clone())
            .collect();
        for work in works {
            let endpoint = work.endpoint.clone();
            self.claims.push((self.ledger.claim(work), endpoint));
        }
    }

    /// Sends the prompt, or gives the claims up if one of them is lost.
    fn confirm(&mut self, now: Timestamp) {
        let is_lost = |(key, _): &(WorkKey, EndpointProcess)| {
            self.ledger.is_claim_lost(now, &self.name, *key)
        };
        if self.claims.iter().any(is_lost) {
            for (key, _) in self.claims.drain(..) {
                self.ledger.finish(now, key);
            }
            return;
        }
        self.is_sent = !self.claims.is_empty();
        for (key, _) in &self.claims {
            self.ledger.confirm(now, *key);
        }
    }
}

fn exchange_loads(now: Timestamp, gateways: &mut [ClaimingGateway]) {
    let told: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let loads = gateway.ledger.own_loads();
            let loads = loads.map(|(process, load)| (process.clone(), load.clone()));
            (gateway.name.clone(), loads.collect::<Vec<_>>())
        })
        .collect();
    for gateway in gateways {
        for (name, loads) in told.iter().filter(|(name, _)| *name != gateway.name) {
            gateway.ledger.apply_peer_loads(now, name, loads.clone());
        }
    }
}

/// Lets all gateways place a prompt at the same moment, and returns them after some rounds.
fn place_at_once(case: &ClaimCase, seed: u64) -> Vec<ClaimingGateway> {
    const ROUNDS: u64 = 6;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let endpoints = VirtualPool::new(case.engines).endpoints;
    let mut gateways: Vec<ClaimingGateway> = (0..case.gateways).map(ClaimingGateway::new).collect();
    exchange_loads(ms(0), &mut gateways);
    for round in 0..ROUNDS {
        let start = ms(round * UPDATE_DELAY * 3);
        for gateway in gateways.iter_mut().filter(|gateway| !gateway.is_sent) {
            gateway.claim(start, &endpoints, case.prompt, &mut random);
        }
        exchange_loads(start + ms(UPDATE_DELAY), &mut gateways);
        let claim_time = gateways[0].ledger.claim_time();
        for gateway in gateways.iter_mut().filter(|gateway| !gateway.is_sent) {
            gateway.confirm(start + claim_time);
        }
        exchange_loads(start + ms(UPDATE_DELAY * 3), &mut gateways);
    }
    gateways
}

/// Guards against gateways that send parts of long prompts to the same engines at the same moment.
#[test]
fn teams_placed_at_the_same_moment_share_no_engine() {
    for case in CASES {
        for seed in 0..4 {
            let gateways = place_at_once(case, seed);
            let sent: Vec<_> = gateways.iter().filter(|gateway| gateway.is_sent).collect();
            assert!(!sent.is_empty(), "{}, seed {seed}: all gave up", case.name);
            let mut parts: BTreeMap<&EndpointProcess, usize> = BTreeMap::new();
            for endpoint in sent.iter().flat_map(|gateway| &gateway.idle) {
                *parts.entry(endpoint).or_default() += 1;
            }
            let most = parts.values().max();
            assert_eq!(most, Some(&1), "{}, seed {seed}", case.name);
        }
    }
}

/// Guards against the prefill time of a claim that was given up, which peers would wait for.
#[test]
fn a_claim_that_is_given_up_leaves_no_backlog() {
    let mut gateways: Vec<ClaimingGateway> = (0..2).map(ClaimingGateway::new).collect();
    let endpoints = VirtualPool::new(16).endpoints;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    exchange_loads(ms(0), &mut gateways);
    gateways[0].claim(ms(0), &endpoints, 500_000, &mut random);
    exchange_loads(ms(10), &mut gateways);
    let claims = std::mem::take(&mut gateways[0].claims);
    let load = |gateway: &ClaimingGateway, endpoint| gateway.ledger.load(ms(20), endpoint);
    for (_, endpoint) in &claims {
        assert!(
            !load(&gateways[1], endpoint).is_idle(),
            "while it is claimed"
        );
    }
    for (key, _) in &claims {
        gateways[0].ledger.finish(ms(20), *key);
    }
    exchange_loads(ms(20), &mut gateways);
    for (_, endpoint) in &claims {
        for gateway in &gateways {
            assert_eq!(
                load(gateway, endpoint),
                Default::default(),
                "{}",
                gateway.name
            );
        }
    }
}

/// Guards against a claim that is kept although a peer has sent work to the engine meanwhile.
#[test]
fn a_claim_is_lost_to_work_that_was_sent() {
    let endpoints = VirtualPool::new(1).endpoints;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for first in [0, 1] {
        let mut gateways: Vec<ClaimingGateway> = (0..2).map(ClaimingGateway::new).collect();
        exchange_loads(ms(0), &mut gateways);
        let second = 1 - first;
        for index in [first, second] {
            gateways[index].claim(ms(0), &endpoints, 100_000, &mut random);
        }
        let (key, _) = gateways[first].claims[0];
        gateways[first].ledger.confirm(ms(0), key);
        exchange_loads(ms(10), &mut gateways);
        gateways[second].confirm(ms(60));
        assert!(!gateways[second].is_sent, "gateway {first} was first");
    }
}
