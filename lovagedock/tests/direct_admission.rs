//! Tests of the limit on new connections of a gateway that is behind.

use std::{collections::VecDeque, time::Duration};

use lovagedock::{ConnectionAdmission, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(1);

/// Pieces of a response, and time between them.
const PIECES: u32 = 30;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which the first piece has to be relayed, and from which a piece is late.
const OBJECTIVE: Duration = Duration::from_millis(300);
const MAX_PIECE_DELAY: Duration = Duration::from_millis(200);

/// When most connections go to the gateway, from when on its callers have to be served, and the end.
const HERD_FROM: Duration = Duration::from_secs(2);
const JUDGED_FROM: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(12);

struct HerdCase {
    name: &'static str,
    /// Cores of the gateway's host.
    cores: f64,
    /// Processor time of a whole response.
    cost: Duration,
    /// New connections per second, before and while most of them go to the gateway.
    rates: (f64, f64),
}

const CASES: &[HerdCase] = &[
    HerdCase {
        name: "a small host, twice of what it can serve",
        cores: 0.063,
        cost: Duration::from_micros(800),
        rates: (8.0, 160.0),
    },
    HerdCase {
        name: "a small host, ten times",
        cores: 0.063,
        cost: Duration::from_micros(800),
        rates: (8.0, 800.0),
    },
    HerdCase {
        name: "a larger host, five times",
        cores: 0.19,
        cost: Duration::from_micros(800),
        rates: (12.0, 1200.0),
    },
    HerdCase {
        name: "no more than it can serve",
        cores: 0.19,
        cost: Duration::from_micros(800),
        rates: (12.0, 100.0),
    },
];

#[derive(Clone, Copy, Debug, Default)]
struct HerdOutcome {
    offered: u32,
    read: u32,
    on_time: u32,
}

struct Relay {
    arrived_at: Timestamp,
    relayed: u32,
    is_late: bool,
}

/// Simulates a gateway whose event loop runs its tasks in the order in which they become ready.
fn simulate_herd(case: &HerdCase, mut admission: Option<ConnectionAdmission>) -> HerdOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut outcome = HerdOutcome::default();
    let mut relays: Vec<Relay> = Vec::new();
    // Ready pieces: the relay, when it became ready, and the processor time that is left.
    let mut ready: VecDeque<(usize, Timestamp, f64)> = VecDeque::new();
    let mut pending: VecDeque<(Timestamp, usize)> = VecDeque::new();
    let piece_cost = case.cost.as_secs_f64() / f64::from(PIECES);
    let mut now = Duration::ZERO;
    while now < END {
        let rate = if now < HERD_FROM {
            case.rates.0
        } else {
            case.rates.1
        };
        if random.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
            let backlog: f64 = ready.iter().map(|(_, _, cost)| cost).sum();
            let lag = Duration::from_secs_f64(backlog / case.cores);
            let is_read = admission.as_mut().is_none_or(|admission| {
                let in_flight = relays.iter().filter(|relay| relay.relayed < PIECES).count();
                let is_admitted = admission.admit(now, in_flight);
                admission.record_lag(now, lag, in_flight);
                is_admitted
            });
            outcome.offered += u32::from(now >= JUDGED_FROM);
            if is_read {
                ready.push_back((relays.len(), now, piece_cost));
                relays.push(Relay {
                    arrived_at: now,
                    relayed: 0,
                    is_late: false,
                });
            }
        }
        while pending.front().is_some_and(|(at, _)| *at <= now) {
            let (at, relay) = pending.pop_front().unwrap_or_default();
            ready.push_back((relay, at, piece_cost));
        }
        let mut time = STEP.as_secs_f64() * case.cores;
        while let Some((index, ready_at, cost)) = ready.front_mut() {
            if *cost > time {
                *cost -= time;
                break;
            }
            time -= *cost;
            let relay = &mut relays[*index];
            let limit = if relay.relayed == 0 {
                OBJECTIVE
            } else {
                MAX_PIECE_DELAY
            };
            relay.is_late |= now.saturating_sub(*ready_at) > limit;
            relay.relayed += 1;
            if relay.relayed < PIECES {
                pending.push_back((*ready_at + PIECE_INTERVAL, *index));
            }
            ready.pop_front();
        }
        now += STEP;
    }
    let response_time = PIECE_INTERVAL * PIECES + OBJECTIVE;
    let judged = JUDGED_FROM..END - response_time;
    for relay in relays
        .iter()
        .filter(|relay| judged.contains(&relay.arrived_at))
    {
        outcome.read += 1;
        outcome.on_time += u32::from(relay.relayed == PIECES && !relay.is_late);
    }
    outcome
}

/// Guards against a gateway that reads more requests than it has processor time for, and is late
/// with all of them.
#[test]
fn what_a_gateway_reads_it_serves_in_time() {
    for case in CASES {
        let without = simulate_herd(case, None);
        let limited = simulate_herd(case, Some(ConnectionAdmission::new()));
        let name = case.name;
        println!("{name}: {without:?} without a limit, {limited:?}");
        let is_overloaded = case.rates.1 * case.cost.as_secs_f64() > case.cores;
        assert!(
            !is_overloaded || without.on_time * 4 < without.read,
            "{name}: {without:?}"
        );
        assert!(
            limited.on_time * 4 >= limited.read * 3,
            "{name}: {limited:?}"
        );
        let capacity = case.cores / case.cost.as_secs_f64();
        let seconds = (END - JUDGED_FROM - PIECE_INTERVAL * PIECES - OBJECTIVE).as_secs_f64();
        let possible = capacity.min(case.rates.1) * seconds;
        assert!(
            f64::from(limited.on_time) > possible / 2.0,
            "{name}: {limited:?}"
        );
    }
}

/// Guards against connections that are closed because of a single long task.
#[test]
fn a_single_delay_closes_no_connection() {
    let mut admission = ConnectionAdmission::new();
    for round in 0..1000_u64 {
        let now = Duration::from_millis(20 * round);
        assert!(admission.admit(now, 10));
        let lag = match round % 10 {
            9 => Duration::from_millis(100),
            _ => Duration::from_millis(2),
        };
        admission.record_lag(now, lag, 10);
    }
}
