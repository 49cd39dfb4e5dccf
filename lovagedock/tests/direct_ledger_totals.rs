//! Comparison of the ledger's totals with sums over everything that gateways have placed.
//!
//! Placement uses these totals. A total that differs from the placed work keeps free slots
//! occupied, or fills an engine beyond its slots, for as long as the gateway runs.

use std::{collections::HashMap, time::Duration};

use lovagedock::{
    EndpointProcess, PeerLoad, PlacedWork, WorkKey, WorkLedger, WriterGroup, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 4;
const PEERS: usize = 5;
const STEPS: usize = 600;
const GAPS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];

/// Reference model that computes the same sums from everything that is placed.
#[derive(Default)]
struct NaiveLedger {
    own: HashMap<WorkKey, PlacedWork>,
    peers: HashMap<(usize, usize), PeerLoad>,
}

impl NaiveLedger {
    fn occupied(&self, endpoint: usize) -> u32 {
        let peers = self
            .peer_loads_on(endpoint)
            .map(|load| load.occupied)
            .sum::<u32>();
        self.own_work_on(endpoint).count() as u32 + peers
    }

    fn short(&self, endpoint: usize) -> u32 {
        let own = self.own_work_on(endpoint).filter(|work| work.short).count();
        own as u32
            + self
                .peer_loads_on(endpoint)
                .map(|load| load.short)
                .sum::<u32>()
    }

    fn pending_prefills(&self, endpoint: usize) -> u32 {
        // An own prefill is pending until the work is removed from `own`.
        let own = self.own_work_on(endpoint);
        let own = own
            .filter(|work| !work.short && !work.prefill_time.is_zero())
            .count();
        own as u32
            + self
                .peer_loads_on(endpoint)
                .map(|load| load.pending_prefills)
                .sum::<u32>()
    }

    fn context(&self, endpoint: usize) -> TokenCount {
        let own: TokenCount = self.own_work_on(endpoint).map(|work| work.context).sum();
        own + self
            .peer_loads_on(endpoint)
            .map(|load| load.context)
            .sum::<TokenCount>()
    }

    fn writers(&self, endpoint: usize) -> u32 {
        let own = self.own_work_on(endpoint).filter(|work| work.gap.is_some());
        let peers = self
            .peer_loads_on(endpoint)
            .map(|load| load.writers.count());
        own.count() as u32 + peers.sum::<u32>()
    }

    fn peer_loads_on(&self, endpoint: usize) -> impl Iterator<Item = &PeerLoad> {
        let peers = self.peers.iter();
        peers
            .filter(move |((_, of), _)| *of == endpoint)
            .map(|(_, load)| load)
    }

    fn own_work_on(&self, endpoint: usize) -> impl Iterator<Item = &PlacedWork> {
        let id = endpoint_process(endpoint);
        self.own.values().filter(move |work| work.endpoint == id)
    }
}

fn endpoint_process(number: usize) -> EndpointProcess {
    EndpointProcess::new(format!("engine-{number}"), 1)
}

fn peer_id(number: usize) -> GatewayId {
    format!("gateway-{number}").into()
}

fn random_work(random: &mut ChaCha8Rng) -> PlacedWork {
    PlacedWork {
        endpoint: endpoint_process(random.random_range(0..ENDPOINTS)),
        prefill_time: Duration::from_millis(random.random_range(0..300)),
        context: random.random_range(0..50_000),
        gap: random
            .random_bool(0.7)
            .then(|| GAPS[random.random_range(0..GAPS.len())]),
        short: random.random_bool(0.5),
        value: random.random_range(1.0..30.0),
        suspect: false,
    }
}

fn random_load(random: &mut ChaCha8Rng) -> PeerLoad {
    let groups = GAPS.iter().map(|gap| WriterGroup {
        gap: *gap,
        count: random.random_range(0..3),
        value: 2.0,
    });
    let writers = groups.filter(|group| group.count > 0).collect();
    PeerLoad {
        occupied: random.random_range(0..6),
        short: random.random_range(0..3),
        claimed: random.random_range(0..2),
        pending_prefills: random.random_range(0..3),
        suspects: random.random_range(0..2),
        context: random.random_range(0..50_000),
        prefill_total: Duration::ZERO,
        slowdown: 1.0,
        writers,
    }
}

#[test]
fn sums_follow_every_change() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = WorkLedger::new();
        let mut naive = NaiveLedger::default();
        for step in 0..STEPS {
            let now = Duration::from_micros(step as u64);
            match random.random_range(0..10) {
                0..3 => {
                    let work = random_work(&mut random);
                    naive.own.insert(ledger.place(now, work.clone()), work);
                }
                3..6 => {
                    let mut keys: Vec<WorkKey> = naive.own.keys().copied().collect();
                    keys.sort_unstable();
                    if let Some(key) = keys.get(random.random_range(0..keys.len().max(1))) {
                        naive.own.remove(key);
                        ledger.finish_prefill(now, *key);
                        ledger.finish(now, *key);
                    }
                }
                6..9 => {
                    let peer = random.random_range(0..PEERS);
                    let endpoint = random.random_range(0..ENDPOINTS);
                    let load = random_load(&mut random);
                    ledger.apply_peer_loads(
                        now,
                        &peer_id(peer),
                        [(endpoint_process(endpoint), load.clone())],
                    );
                    naive.peers.insert((peer, endpoint), load);
                }
                _ => {
                    let peer = random.random_range(0..PEERS);
                    ledger.forget_peer(&peer_id(peer));
                    naive.peers.retain(|(of, _), _| *of != peer);
                }
            }
            for endpoint in 0..ENDPOINTS {
                let id = endpoint_process(endpoint);
                let load = ledger.load(now, &id);
                let label = format!("seed {seed}, step {step}, endpoint {endpoint}");
                assert_eq!(load.occupied, naive.occupied(endpoint), "{label}");
                assert_eq!(
                    load.pending_prefills,
                    naive.pending_prefills(endpoint),
                    "{label}"
                );
                assert_eq!(load.context, naive.context(endpoint), "{label}");
                assert_eq!(load.writer_count(), naive.writers(endpoint), "{label}");
                assert_eq!(ledger.short_count(&id), naive.short(endpoint), "{label}");
            }
        }
    }
}
