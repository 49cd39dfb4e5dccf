//! Simulation of a fleet of gateways that place a burst of short prompts. Each gateway only knows
//! the updates that it has received.

mod direct_support;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use lovagedock::{
    CombinedLoad, DirectEndpoint, DirectPlacer, DirectRequest, EndpointProcess, EndpointState,
    LoadUpdates, PeerLoad, PlacedWork, PlacerCandidate, WorkKey, WorkLedger, prelude::*,
    short_lane_size,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use direct_support::{PROFILE, ms, short};

const SLOTS: u32 = 10;

/// Time until a gateway receives another gateway's placement.
const UPDATE_DELAY: Duration = Duration::from_millis(30);

/// Time for which a response occupies its slot.
const RESPONSE_TIME: Duration = Duration::from_millis(1_900);

/// Time from the end of the prefill to the first event: one and a half passes.
const FIRST_EVENT: Duration = Duration::from_millis(110);

struct BurstCase {
    name: &'static str,
    gateways: usize,
    engines: usize,
    /// Short prompts per second, before the burst and during it.
    rates: (u64, u64),
    /// Maximum number of late prompts per thousand if gateways draw among the best endpoints.
    max_late: usize,
    /// Minimum number of late prompts per thousand if all choose the best endpoint.
    min_late: usize,
}

enum FleetEvent {
    BurstBegins,
    Arrive,
    Receive(usize, Vec<(EndpointProcess, PeerLoad)>),
    Prefilled(usize, WorkKey),
    End(usize, WorkKey, usize),
}

/// Gateways in virtual time, with the actual state of the engines.
struct SimulatedFleet {
    ledgers: Vec<WorkLedger>,
    updates: Vec<LoadUpdates>,
    endpoints: Vec<DirectEndpoint>,
    prefill_until: Vec<Timestamp>,
    running: Vec<u32>,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending: HashMap<u64, FleetEvent>,
    next: u64,
    random: ChaCha8Rng,
    is_drawing: bool,
    late: usize,
    placed: usize,
}

impl SimulatedFleet {
    fn new(case: &BurstCase, seed: u64, is_drawing: bool) -> Self {
        let endpoints = (0..case.engines).map(|index| DirectEndpoint {
            process: EndpointProcess::new(format!("engine-{index:03}"), 1),
            service: "model".into(),
            address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            domain: "a".into(),
            slots: SLOTS,
            state: EndpointState::Ready,
            cold_left: Duration::ZERO,
        });
        Self {
            ledgers: vec![WorkLedger::new(); case.gateways],
            updates: vec![LoadUpdates::new(); case.gateways],
            endpoints: endpoints.collect(),
            prefill_until: vec![Duration::ZERO; case.engines],
            running: vec![0; case.engines],
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            is_drawing,
            late: 0,
            placed: 0,
        }
    }

    fn schedule(&mut self, at: Timestamp, event: FleetEvent) {
        self.events.push(Reverse((at, self.next)));
        self.pending.insert(self.next, event);
        self.next += 1;
    }

    /// Returns the number of late prompts per thousand in the first second and a half of the burst.
    fn run(&mut self, case: &BurstCase) -> usize {
        let (burst, end) = (ms(3_000), ms(4_500));
        let mut at = Duration::ZERO;
        while at < end {
            let rate = if at < burst {
                case.rates.0
            } else {
                case.rates.1
            };
            self.schedule(at, FleetEvent::Arrive);
            let mean = Duration::from_secs(1) / rate as u32;
            at += mean.mul_f64(self.random.random_range(0.0..2.0));
        }
        self.schedule(burst, FleetEvent::BurstBegins);
        while let Some(Reverse((now, key))) = self.events.pop() {
            let event = self.pending.remove(&key).expect("the event was scheduled");
            self.handle(now, event, now >= burst);
        }
        self.late * 1_000 / self.placed
    }

    fn handle(&mut self, now: Timestamp, event: FleetEvent, is_counted: bool) {
        match event {
            FleetEvent::BurstBegins => self.add_long_prefills(now),
            FleetEvent::Arrive => self.arrive(now, is_counted),
            FleetEvent::Receive(from, loads) => {
                let name: GatewayId = format!("gateway-{from}").into();
                for (index, ledger) in self.ledgers.iter_mut().enumerate() {
                    if index != from {
                        ledger.apply_peer_loads(now, &name, loads.iter().cloned());
                    }
                }
            }
            FleetEvent::Prefilled(gateway, key) => self.ledgers[gateway].finish_prefill(now, key),
            FleetEvent::End(gateway, key, engine) => {
                self.running[engine] -= 1;
                self.ledgers[gateway].finish(now, key);
                self.send_updates(now, gateway);
            }
        }
    }

    /// Adds prefills of parts of long prompts to seven in ten endpoints, except for the first ones.
    fn add_long_prefills(&mut self, now: Timestamp) {
        for engine in self.endpoints.len() / 8..self.endpoints.len() {
            if self.random.random_bool(0.3) {
                continue;
            }
            let prefill_time = ms(self.random.random_range(100..1_200));
            let gateway = self.random.random_range(0..self.ledgers.len());
            let part = PlacedWork {
                endpoint: self.endpoints[engine].process.clone(),
                prefill_time,
                context: 0,
                gap: None,
                short: false,
                value: 20.0,
                suspect: false,
            };
            let key = self.ledgers[gateway].place(now, part);
            self.prefill_until[engine] = self.prefill_until[engine].max(now) + prefill_time;
            self.running[engine] += 1;
            self.schedule(now + prefill_time, FleetEvent::End(gateway, key, engine));
            self.send_updates(now, gateway);
        }
    }

    fn send_updates(&mut self, now: Timestamp, gateway: usize) {
        let ledger = &mut self.ledgers[gateway];
        let message = self.updates[gateway].take_due(now, ledger, |_| 1.0);
        self.schedule(now + UPDATE_DELAY, FleetEvent::Receive(gateway, message));
    }

    fn arrive(&mut self, now: Timestamp, is_counted: bool) {
        let gateway = self.random.random_range(0..self.ledgers.len());
        let request = short();
        let Some((engine, key)) = self.place(now, gateway, &request) else {
            self.late += usize::from(is_counted);
            self.placed += usize::from(is_counted);
            return;
        };
        self.send_updates(now, gateway);
        let prefilled_at =
            self.prefill_until[engine].max(now) + PROFILE.prefill_time(request.prompt);
        self.prefill_until[engine] = prefilled_at;
        self.running[engine] += 1;
        let is_late = self.running[engine] > SLOTS || prefilled_at + FIRST_EVENT > now + ms(300);
        self.late += usize::from(is_counted && is_late);
        self.placed += usize::from(is_counted);
        let first_event = prefilled_at + FIRST_EVENT;
        self.schedule(first_event, FleetEvent::Prefilled(gateway, key));
        self.schedule(
            first_event + RESPONSE_TIME,
            FleetEvent::End(gateway, key, engine),
        );
    }

    fn place(
        &mut self,
        now: Timestamp,
        gateway: usize,
        request: &DirectRequest,
    ) -> Option<(usize, WorkKey)> {
        let ledger = &self.ledgers[gateway];
        let loads: Vec<(CombinedLoad, u32)> = self
            .endpoints
            .iter()
            .map(|endpoint| ledger.load_with_short_count(now, &endpoint.process))
            .collect();
        let short_count = loads.iter().map(|(_, short)| short).sum();
        let lane = short_lane_size(short_count, SLOTS, self.endpoints.len());
        let mut candidates = Vec::new();
        for (position, (load, _)) in loads.into_iter().enumerate() {
            if load.occupied < SLOTS {
                candidates.push(PlacerCandidate {
                    endpoint: &self.endpoints[position],
                    load,
                    rank: position as f64 / self.endpoints.len() as f64,
                    short_lane: position < lane,
                    is_kept: false,
                    may_help: true,
                    draw: self.random.random(),
                });
            }
        }
        let concurrent = match self.is_drawing {
            true => ledger.concurrent_placements(now),
            false => 0.0,
        };
        let placer = DirectPlacer::new(Some(&PROFILE)).with_concurrent_placements(concurrent);
        let choice = placer.place(request, &candidates)?;
        let work = placer.placed_work(request, &choice, &candidates).remove(0);
        let engine = self
            .endpoints
            .iter()
            .position(|e| e.process == work.endpoint);
        let key = self.ledgers[gateway].place(now, work);
        engine.map(|engine| (engine, key))
    }
}

/// Guards against gateways that place a burst on the same engines because their updates arrive
/// late.
///
/// A burst of long prompts ends and a burst of short ones begins: five to seven times as many
/// arrive as before, while most engines still prefill. All gateways have received the same loads
/// and choose the endpoint that looks best, as do the others in the 30 ms until they receive the
/// placement. On that engine the prompts are prefilled one after the other, while other engines are
/// idle.
#[test]
fn a_burst_at_many_gateways_is_served_in_time() {
    let cases = [
        BurstCase {
            name: "68 gateways, 172 engines",
            gateways: 68,
            engines: 172,
            rates: (90, 620),
            max_late: 90,
            min_late: 140,
        },
        BurstCase {
            name: "4 gateways, 16 engines",
            gateways: 4,
            engines: 16,
            rates: (10, 50),
            max_late: 60,
            min_late: 0,
        },
    ];
    for case in cases {
        for seed in 1..4 {
            let drawn = SimulatedFleet::new(&case, seed, true).run(&case);
            let undrawn = SimulatedFleet::new(&case, seed, false).run(&case);
            let message = format!("{}, seed {seed}: {drawn} late, {undrawn}", case.name);
            assert!(drawn <= case.max_late, "{message}");
            assert!(undrawn >= case.min_late, "{message}");
        }
    }
}
