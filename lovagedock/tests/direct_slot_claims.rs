//! Tests of gateways that place short prompts on the last slots of engines at the same moment.

mod direct_support;

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{
    ClaimVerdict, DirectEndpoint, DirectPlacer, EndpointProcess, PeerLoad, PlacedWork,
    PlacerCandidate, SlotClaim, WorkKey, WorkLedger, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, VirtualPool, ms, short};

/// A short prompt that is claimed or sent at one gateway.
struct ShortPrompt {
    gateway: usize,
    claim: Option<(WorkKey, SlotClaim)>,
    decide_at: Timestamp,
}

/// A burst of short prompts at gateways whose engines have one free slot each.
#[derive(Clone, Copy)]
struct BurstCase {
    name: &'static str,
    gateways: usize,
    engines: usize,
    prompts: usize,
    /// Time in which the prompts arrive.
    arrival: Duration,
    /// Share of messages that are lost.
    loss: f64,
    uses_claims: bool,
    /// Maximum share of prompts that are sent to an engine without a free slot.
    max_overfull: f64,
    /// Minimum share of free slots that are used.
    min_used: f64,
}

/// Without lost messages no two claims of a slot may both be sent. With them, a conflict is missed if
/// one of two messages is lost, a tenth of the conflicts, which are less than a third of the prompts.
const BURST_CASES: &[BurstCase] = &[
    BurstCase {
        name: "one gateway needs no claims",
        gateways: 1,
        engines: 40,
        prompts: 40,
        arrival: ms_const(100),
        loss: 0.0,
        uses_claims: true,
        max_overfull: 0.0,
        min_used: 1.0,
    },
    BurstCase {
        name: "48 gateways",
        gateways: 48,
        engines: 60,
        prompts: 50,
        arrival: ms_const(120),
        loss: 0.0,
        uses_claims: true,
        max_overfull: 0.0,
        min_used: 0.8,
    },
    BurstCase {
        name: "48 gateways and lost messages",
        gateways: 48,
        engines: 60,
        prompts: 50,
        arrival: ms_const(120),
        loss: 0.05,
        uses_claims: true,
        max_overfull: 0.05,
        min_used: 0.75,
    },
    BurstCase {
        name: "more prompts than free slots",
        gateways: 48,
        engines: 30,
        prompts: 60,
        arrival: ms_const(120),
        loss: 0.0,
        uses_claims: true,
        max_overfull: 0.0,
        min_used: 0.9,
    },
];

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time until a message arrives.
const MESSAGE_DELAY: Duration = Duration::from_millis(10);

/// Time after which a prompt that found no slot searches again, and for how long.
const SEARCH_INTERVAL: Duration = Duration::from_millis(8);
const SEARCH_TIME: Duration = Duration::from_millis(120);

/// Loads that are on their way from one gateway to another.
struct LoadMessage {
    arrives_at: Timestamp,
    from: usize,
    to: usize,
    loads: Vec<(EndpointProcess, PeerLoad)>,
}

struct BurstPool {
    endpoints: Vec<DirectEndpoint>,
    gateways: Vec<(GatewayId, WorkLedger)>,
    messages: Vec<LoadMessage>,
}

impl BurstPool {
    /// Creates a pool in which each engine has one free slot, as all gateways know.
    fn new(case: &BurstCase) -> Self {
        let endpoints = VirtualPool::new(case.engines).endpoints;
        let mut gateways: Vec<(GatewayId, WorkLedger)> = (0..case.gateways)
            .map(|index| (format!("gateway-{index}").into(), WorkLedger::new()))
            .collect();
        let full: Vec<(EndpointProcess, PeerLoad)> = endpoints
            .iter()
            .map(|endpoint| {
                let load = PeerLoad {
                    occupied: endpoint.slots - 1,
                    ..PeerLoad::default()
                };
                (endpoint.process.clone(), load)
            })
            .collect();
        for (_, ledger) in &mut gateways {
            ledger.apply_peer_loads(ms(0), &"filler".into(), full.clone());
        }
        Self {
            endpoints,
            gateways,
            messages: Vec::new(),
        }
    }

    fn deliver(&mut self, now: Timestamp) {
        let messages = std::mem::take(&mut self.messages).into_iter();
        let (due, later): (Vec<_>, Vec<_>) =
            messages.partition(|message| message.arrives_at <= now);
        self.messages = later;
        for message in due {
            let name = self.gateways[message.from].0.clone();
            let ledger = &mut self.gateways[message.to].1;
            ledger.apply_peer_loads(now, &name, message.loads);
        }
    }

    fn announce(&mut self, now: Timestamp, from: usize, loss: f64, random: &mut ChaCha8Rng) {
        let loads = self.gateways[from].1.own_loads();
        let loads: Vec<_> = loads.map(|(p, load)| (p.clone(), load.clone())).collect();
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if random.random_range(0.0..1.0) >= loss {
                self.messages.push(LoadMessage {
                    arrives_at: now + MESSAGE_DELAY,
                    from,
                    to,
                    loads: loads.clone(),
                });
            }
        }
    }

    /// Chooses an engine and claims its slot, or sends the prompt at once.
    fn place(
        &mut self,
        now: Timestamp,
        prompt: &mut ShortPrompt,
        case: &BurstCase,
        random: &mut ChaCha8Rng,
    ) {
        let (_, ledger) = &mut self.gateways[prompt.gateway];
        let candidates: Vec<PlacerCandidate<'_>> = self
            .endpoints
            .iter()
            .map(|endpoint| PlacerCandidate {
                endpoint,
                load: ledger.load(now, &endpoint.process),
                rank: 0.0,
                short_lane: true,
                is_kept: false,
                may_help: true,
                draw: random.random(),
            })
            .filter(|candidate| candidate.load.occupied < candidate.endpoint.slots)
            .collect();
        // Placements of the others within the propagation time of a message.
        let concurrent = (case.gateways - 1).min(12) as f64;
        let placer = DirectPlacer::new(Some(&PROFILE)).with_concurrent_placements(concurrent);
        let request = short();
        let Some(choice) = placer.place(&request, &candidates) else {
            prompt.decide_at = now + SEARCH_INTERVAL;
            return;
        };
        let claim = SlotClaim {
            slots: candidates[choice.lead].endpoint.slots,
            occupied: candidates[choice.lead].load.occupied,
            alternatives: choice.alternatives,
            first_event: choice.first_event,
            prefill_time: choice.part_prefill_time,
            late_at: now + request.objective_left,
        };
        let works: Vec<PlacedWork> = placer.placed_work(&request, &choice, &candidates);
        let work = works.into_iter().next().expect("a lead");
        let key = ledger.claim(work);
        let claim_time = match case.uses_claims {
            true => claim.claim_time(now, concurrent, Duration::ZERO),
            false => Duration::ZERO,
        };
        prompt.claim = Some((key, claim));
        prompt.decide_at = now + claim_time;
        self.announce(now, prompt.gateway, case.loss, random);
    }

    /// Sends a claimed prompt, or gives the claim up. Returns whether it was sent.
    fn decide(
        &mut self,
        now: Timestamp,
        prompt: &mut ShortPrompt,
        case: &BurstCase,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let Some((key, claim)) = prompt.claim.take() else {
            self.place(now, prompt, case, random);
            return false;
        };
        let (name, ledger) = &mut self.gateways[prompt.gateway];
        let contention = ledger.slot_contention(now, name, key);
        if case.uses_claims && contention.verdict(now, &claim) == ClaimVerdict::Lost {
            ledger.finish(now, key);
            prompt.decide_at = now + SEARCH_INTERVAL;
            self.announce(now, prompt.gateway, case.loss, random);
            return false;
        }
        ledger.confirm(now, key);
        true
    }
}

/// Returns the share of prompts that were sent to a full engine, and the share of used slots.
fn play(case: &BurstCase, seed: u64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = BurstPool::new(case);
    let mut prompts: Vec<(Timestamp, ShortPrompt)> = (0..case.prompts)
        .map(|_| {
            let arrived = case.arrival.mul_f64(random.random_range(0.0..1.0));
            let prompt = ShortPrompt {
                gateway: random.random_range(0..case.gateways),
                claim: None,
                decide_at: arrived,
            };
            (arrived, prompt)
        })
        .collect();
    let mut sent = 0;
    for step in 0..300 {
        let now = ms(step);
        pool.deliver(now);
        let mut waiting = Vec::new();
        for (arrived, mut prompt) in prompts {
            let has_ended = now > arrived + SEARCH_TIME && prompt.claim.is_none();
            if prompt.decide_at > now {
                waiting.push((arrived, prompt));
            } else if !has_ended {
                match pool.decide(now, &mut prompt, case, &mut random) {
                    true => sent += 1,
                    false => waiting.push((arrived, prompt)),
                }
            }
        }
        prompts = waiting;
    }
    // All prompts last longer than the burst, so what a gateway holds is what it sent.
    let mut on_engine: BTreeMap<EndpointProcess, u32> = BTreeMap::new();
    for (_, ledger) in &pool.gateways {
        for (process, load) in ledger.own_loads() {
            *on_engine.entry(process.clone()).or_default() += load.occupied;
        }
    }
    let overfull: u32 = on_engine.values().map(|sent| sent.saturating_sub(1)).sum();
    let used = on_engine.values().filter(|sent| **sent > 0).count();
    let usable = case.engines.min(case.prompts);
    (
        f64::from(overfull) / f64::from(sent.max(1)),
        used as f64 / usable as f64,
    )
}

/// Returns the means over ten plays, since a play has too few prompts for the rates of lost messages.
fn mean_of_plays(case: &BurstCase) -> (f64, f64) {
    const PLAYS: u64 = 10;
    let plays = (0..PLAYS).map(|seed| play(case, seed));
    let (overfull, used) = plays.fold((0.0, 0.0), |sum, (overfull, used)| {
        (sum.0 + overfull, sum.1 + used)
    });
    (overfull / PLAYS as f64, used / PLAYS as f64)
}

/// Guards against gateways that send short prompts to the same last slot of an engine.
///
/// Without claims the same burst overfills engines, so that the test could not pass without them.
#[test]
fn claims_keep_gateways_from_using_the_same_slot() {
    for case in BURST_CASES {
        let (overfull, used) = mean_of_plays(case);
        assert!(
            overfull <= case.max_overfull && used >= case.min_used,
            "{}: {overfull:.3} overfull, {used:.2} used",
            case.name
        );
    }
    let (without_claims, _) = mean_of_plays(&BurstCase {
        uses_claims: false,
        ..BURST_CASES[1]
    });
    let max_with_loss = BURST_CASES[2].max_overfull;
    assert!(
        without_claims > max_with_loss,
        "{without_claims:.3} overfull"
    );
}

struct ClaimTimeCase {
    name: &'static str,
    occupied: u32,
    alternatives: usize,
    concurrent: f64,
    first_event_ms: u64,
    relay_delay_ms: u64,
    claim_ms: u64,
}

const CLAIM_TIME_CASES: &[ClaimTimeCase] = &[
    ClaimTimeCase {
        name: "nobody places at the same time",
        occupied: 11,
        alternatives: 1,
        concurrent: 0.4,
        first_event_ms: 120,
        relay_delay_ms: 0,
        claim_ms: 0,
    },
    ClaimTimeCase {
        name: "free slots and many equal engines",
        occupied: 4,
        alternatives: 12,
        concurrent: 8.0,
        first_event_ms: 120,
        relay_delay_ms: 0,
        claim_ms: 0,
    },
    ClaimTimeCase {
        name: "one of the last slots",
        occupied: 10,
        alternatives: 12,
        concurrent: 8.0,
        first_event_ms: 120,
        relay_delay_ms: 0,
        claim_ms: 20,
    },
    ClaimTimeCase {
        name: "all choose one of few engines",
        occupied: 2,
        alternatives: 3,
        concurrent: 8.0,
        first_event_ms: 120,
        relay_delay_ms: 0,
        claim_ms: 20,
    },
    ClaimTimeCase {
        name: "relays forward the claim",
        occupied: 11,
        alternatives: 1,
        concurrent: 8.0,
        first_event_ms: 120,
        relay_delay_ms: 30,
        claim_ms: 50,
    },
    ClaimTimeCase {
        name: "no time left for a claim",
        occupied: 11,
        alternatives: 1,
        concurrent: 8.0,
        first_event_ms: 250,
        relay_delay_ms: 0,
        claim_ms: 0,
    },
];

/// Guards against prompts that wait for a claim although no other gateway can choose the same slot,
/// or that become late by it.
#[test]
fn a_slot_is_claimed_only_if_it_is_contended() {
    for case in CLAIM_TIME_CASES {
        let claim = SlotClaim {
            slots: 12,
            occupied: case.occupied,
            alternatives: case.alternatives,
            first_event: ms(case.first_event_ms),
            prefill_time: ms(30),
            late_at: ms(1_300),
        };
        let time = claim.claim_time(ms(1_000), case.concurrent, ms(case.relay_delay_ms));
        assert_eq!(time, ms(case.claim_ms), "{}", case.name);
    }
}
